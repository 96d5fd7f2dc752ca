package lab

// This file owns the clients on sockets: each ask at its time, whether or not the machine keeps up, with its retries. It must never
// hold an ask back for one before it.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ivybank/balance"
	"ivybank/rehearse/emu"
)

// play sends the load, each ask at its time. What waits for a machine that is late counts from the time at which it was due.
func (r *rig) play(l load, m *measure, f *Figures) error {
	client := &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: 1 << 14, DisableCompression: true}
	defer client.CloseIdleConnections()
	late := hdrhistogram.New(1, 600e6, 3)
	results := make(chan emu.Result, 1024)
	var asks sync.WaitGroup
	var gathered sync.WaitGroup
	gathered.Go(func() {
		for x := range results {
			m.add(x)
		}
	})
	start := time.Now().Add(50 * time.Millisecond)
	n := 0
	var err error
	for {
		var a emu.Request
		var at int
		if a, at, err = l.next(); err != nil {
			break
		}
		due := start.Add(time.Duration(a.At))
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		_ = late.RecordValue(max(1, time.Since(due).Microseconds()))
		n++
		number := n
		asks.Go(func() {
			if x, asked := r.ask(client, r.procs[at%len(r.procs)], number, a, due); asked {
				x.Balancer = at
				results <- x
			}
		})
	}
	asks.Wait()
	close(results)
	gathered.Wait()
	f.Late = float64(late.ValueAtPercentile(99)) / 1e3
	f.Unusable = unusable(f.Late)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return err
}

// unusable says why a run does not count, empty where it does.
func unusable(late float64) string {
	if late*1e3 <= mostLate {
		return ""
	}
	return fmt.Sprintf("the load came %.0f ms late (99 in 100)", late)
}

// ask is one client with its retries; false where its proxy has gone before the first: the two stop and start together.
func (r *rig) ask(client *http.Transport, p *process, n int, a emu.Request, due time.Time) (emu.Result, bool) {
	x := r.e.clients()
	key := ""
	if r.e.Load.Key != "" {
		key = fmt.Sprint("filing-", n)
	}
	for try := 1; ; try++ {
		got := r.try(client, p, n, try, key, a)
		if got.gone && try == 1 {
			return emu.Result{}, false
		}
		again := got.kind == emu.Denied || key != "" && (got.kind == emu.Unanswered || got.open)
		if !again || try > x.MaxRetries || key == "" && int64(time.Since(due)) >= x.Timeout {
			if key != "" {
				r.hold(key, got.kind, a)
			}
			return emu.Result{Request: a, Kind: got.kind, Latency: int64(time.Since(due)), Attempts: try}, true
		}
		if got.back <= 0 || r.e.Load.Ignores {
			got.back = time.Duration(x.RetryDelay)
		}
		time.Sleep(got.back)
	}
}

// hold holds what a client was told of its key against what the servers saw.
func (r *rig) hold(key string, kind emu.ResultKind, a emu.Request) {
	if r.rules(a.RuleSet).Effect == balance.Replayable {
		return
	}
	r.clock.Do(func() {
		switch runs := r.fleet.Checker.Executions(key); {
		case kind == emu.Done && runs != 1:
			r.fleet.Checker.ContradictedAnswer("%s was answered as done, and ran %d times", key, runs)
		case kind == emu.Denied && runs != 0:
			r.fleet.Checker.ContradictedAnswer("%s was denied, and ran %d times", key, runs)
		}
	})
}

// told is what one try got.
type told struct {
	kind emu.ResultKind
	back time.Duration
	open bool // the first attempt is still open
	gone bool // nobody listened
}

func (r *rig) try(client *http.Transport, p *process, n, number int, key string, a emu.Request) told {
	id := fmt.Sprintf("%d-%d", n, number)
	x := r.e.clients()
	ctx, cancel := context.WithTimeout(r.ctx, time.Duration(x.Timeout)+100*time.Millisecond) // an answer that is late is seen to be
	defer cancel()
	method := http.MethodPost
	if r.rules(a.RuleSet).Effect == balance.Replayable {
		method = http.MethodGet
	}
	q, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/api?n=%d", p.listen, n), nil)
	if err != nil {
		return told{kind: emu.Unanswered}
	}
	q.Header = http.Header{"Request-Id": {id}, "Request-Class": {a.RuleSet}, "Tenant": {a.Tenant}, "Affinity-Key": {a.Key},
		"Request-Timeout": {fmt.Sprintf("%.3f", float64(x.Timeout)/1e9)}, "Request-Info": {fmt.Sprintf("CostGuessNs=%d", a.Work)}}
	want := id
	if key != "" {
		q.Header.Set(r.e.Load.Key, key)
		want = key
	}
	hurt := p.hurt.Load()
	r.clock.Do(func() {
		r.asked[id] = r.clock.Now()
		r.fleet.Checker.RequestAccepted(id, r.asked[id]+x.Timeout+50e6)
	})
	answer, err := client.RoundTrip(q)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(answer.Body)
		_ = answer.Body.Close()
	}
	if err != nil {
		// What a proxy held when it was killed is for the client to ask again, and one that was stopped could not answer.
		if p.hurt.Load() != hurt || p.down.Load() > 0 {
			r.clock.Do(func() { r.fleet.Checker.ClientLeft(id) })
		}
		return told{kind: emu.Unanswered, gone: p.down.Load() > 0 && errors.Is(err, syscall.ECONNREFUSED)}
	}
	r.clock.Do(func() {
		if p.hurt.Load() != hurt || p.down.Load() > 0 { // it may be late by as long as its proxy was stopped
			r.fleet.Checker.ClientLeft(id)
			return
		}
		if answer.StatusCode == http.StatusOK && string(body) != want {
			r.fleet.Checker.ContradictedAnswer("req %s got an answer that was not made for it: %q", id, body)
		}
		r.fleet.Checker.Answered(id)
	})
	var s float64
	_, _ = fmt.Sscan(answer.Header.Get("Retry-After"), &s)
	back := time.Duration(s * 1e9)
	switch answer.StatusCode {
	case http.StatusOK:
		return told{kind: emu.Done}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return told{kind: emu.Denied, back: back}
	}
	return told{kind: emu.Aborted, back: back, open: answer.Header.Get("Idempotency-Outcome") == "open"}
}
