package lab

// This file holds the clients of the sockets and processes modes: each request is sent at its time, with its retries,
// whether or not the machine keeps up. A request must never be held back for an earlier one.

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

// play sends the load, each request at its time. Latency counts from the time at which a request was due, so that a
// delay of the load generator itself is included.
func (r *rig) play(l load, m *measure, f *Figures) error {
	client := &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: 1 << 14, DisableCompression: true}
	defer client.CloseIdleConnections()
	late := hdrhistogram.New(1, 600e6, 3)
	results := make(chan emu.Result, 1024)
	var asks sync.WaitGroup
	var collector sync.WaitGroup
	collector.Go(func() {
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
			if x, asked := r.runClient(client, r.procs[at%len(r.procs)], number, a, due); asked {
				x.Balancer = at
				results <- x
			}
		})
	}
	asks.Wait()
	close(results)
	collector.Wait()
	f.Late = float64(late.ValueAtPercentile(99)) / 1e3
	f.Unusable = unusable(f.Late)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return err
}

// unusable returns the reason why a run does not count, or "" if it does. late is the 99th percentile in ms.
func unusable(late float64) string {
	if late*1e3 <= maxLateMicroseconds {
		return ""
	}
	return fmt.Sprintf("the load came %.0f ms late (99 in 100)", late)
}

// runClient sends one request with its retries. It returns false if the proxy was already gone at the first attempt: a
// client stops and starts together with its proxy.
func (r *rig) runClient(client *http.Transport, p *process, n int, a emu.Request, due time.Time) (emu.Result, bool) {
	x := r.e.clientConfig()
	key := ""
	if r.e.Load.Key != "" {
		key = fmt.Sprint("filing-", n)
	}
	for try := 1; ; try++ {
		got := r.sendAttempt(client, p, n, try, key, a)
		if got.connectionRefused && try == 1 {
			return emu.Result{}, false
		}
		again := got.kind == emu.Denied || key != "" && (got.kind == emu.Unanswered || got.stillOpen)
		if !again || try > x.MaxRetries || key == "" && int64(time.Since(due)) >= x.Timeout {
			if key != "" {
				r.checkKeyedAnswer(key, got.kind, a)
			}
			return emu.Result{Request: a, Kind: got.kind, Latency: int64(time.Since(due)), Attempts: try}, true
		}
		if got.retryAfter <= 0 || r.e.Load.Ignores {
			got.retryAfter = time.Duration(x.RetryDelay)
		}
		time.Sleep(got.retryAfter)
	}
}

// checkKeyedAnswer compares the final answer for an idempotency key with the executions that the servers counted.
func (r *rig) checkKeyedAnswer(key string, kind emu.ResultKind, a emu.Request) {
	if r.ruleSet(a.RuleSet).Effect == balance.Replayable {
		return
	}
	r.clock.Do(func() {
		switch runs := r.fleet.Checker.Executions(key); {
		case kind == emu.Done && runs != 1:
			r.fleet.Checker.ContradictedAnswer("%s was answered as done, but was executed %d times", key, runs)
		case kind == emu.Denied && runs != 0:
			r.fleet.Checker.ContradictedAnswer("%s was denied, but was executed %d times", key, runs)
		}
	})
}

// attemptResult is the outcome of one attempt.
type attemptResult struct {
	kind              emu.ResultKind
	retryAfter        time.Duration
	stillOpen         bool // the first attempt with this key is still in progress
	connectionRefused bool // the proxy was down and nothing listened on its port
}

func (r *rig) sendAttempt(client *http.Transport, p *process, n, number int, key string, a emu.Request) attemptResult {
	id := fmt.Sprintf("%d-%d", n, number)
	x := r.e.clientConfig()
	// Wait past the timeout, so that a late answer is recorded as late.
	ctx, cancel := context.WithTimeout(r.ctx, time.Duration(x.Timeout)+100*time.Millisecond)
	defer cancel()
	method := http.MethodPost
	if r.ruleSet(a.RuleSet).Effect == balance.Replayable {
		method = http.MethodGet
	}
	q, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/api?n=%d", p.listen, n), nil)
	if err != nil {
		return attemptResult{kind: emu.Unanswered}
	}
	q.Header = http.Header{"Request-Id": {id}, "Request-Class": {a.RuleSet}, "Tenant": {a.Tenant}, "Affinity-Key": {a.Key},
		"Request-Timeout": {fmt.Sprintf("%.3f", float64(x.Timeout)/1e9)}, "Request-Info": {fmt.Sprintf("CostGuessNs=%d", a.Work)}}
	want := id
	if key != "" {
		q.Header.Set(r.e.Load.Key, key)
		want = key
	}
	outageChangesBefore := p.outageChanges.Load()
	r.clock.Do(func() {
		r.requestTimes[id] = r.clock.Now()
		r.fleet.Checker.RequestAccepted(id, r.requestTimes[id]+x.Timeout+50e6)
	})
	answer, err := client.RoundTrip(q)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(answer.Body)
		_ = answer.Body.Close()
	}
	if err != nil {
		// Requests held by a killed proxy are for the client to retry, and a paused proxy could not answer.
		if p.outageChanges.Load() != outageChangesBefore || p.outages.Load() > 0 {
			r.clock.Do(func() { r.fleet.Checker.ClientLeft(id) })
		}
		return attemptResult{kind: emu.Unanswered, connectionRefused: p.outages.Load() > 0 && errors.Is(err, syscall.ECONNREFUSED)}
	}
	r.clock.Do(func() {
		if p.outageChanges.Load() != outageChangesBefore || p.outages.Load() > 0 { // the answer may be late by as long as its proxy was paused
			r.fleet.Checker.ClientLeft(id)
			return
		}
		if answer.StatusCode == http.StatusOK && string(body) != want {
			r.fleet.Checker.ContradictedAnswer("request %s received the answer to another request: %q", id, body)
		}
		r.fleet.Checker.Answered(id)
	})
	var s float64
	_, _ = fmt.Sscan(answer.Header.Get("Retry-After"), &s)
	back := time.Duration(s * 1e9)
	switch answer.StatusCode {
	case http.StatusOK:
		return attemptResult{kind: emu.Done}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return attemptResult{kind: emu.Denied, retryAfter: back}
	}
	return attemptResult{kind: emu.Aborted, retryAfter: back, stillOpen: answer.Header.Get("Idempotency-Outcome") == "open"}
}
