package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["memory"] = playMemory }

const (
	reviewService = "review"
	reviewPath    = "/review/"
	reviewWork    = 4 * time.Second
	largeBody     = 7 << 19 // bytes; the configuration allows 4 MiB
	smallBody     = 1 << 10
	smallPerS     = 20.0
	largePerS     = 2.0 // what the large tenant usually sends
	hotFactor     = 7.5
	hotTime       = 6500 * time.Millisecond
	calmTime      = 12 * time.Second
	memoryPoll    = 20 * time.Millisecond
	restartDelay  = 500 * time.Millisecond
	mostLost      = 3 // requests that LOST lets a machine lose at any time
)

// anonymousMemory returns the memory in bytes that a process holds, without what it shares with files.
func anonymousMemory(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kilobytes << 10
		}
	}
	return 0
}

// watchMemory is the platform: it kills the router once it goes over its limit, and starts it again after a short delay.
func (f *fleet) watchMemory(r *record, done <-chan struct{}) (peak func() int) {
	var mu sync.Mutex
	highest := 0
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(memoryPoll):
			}
			router := f.router()
			used := anonymousMemory(router.command.Process.Pid)
			mu.Lock()
			highest = max(highest, used)
			mu.Unlock()
			if used <= frontMemory<<20 {
				continue
			}
			r.printf("the router holds %d MB of the %d MB that memory_mb allows; the platform kills it", used>>20, frontMemory)
			f.mu.Lock()
			f.stopping = true // its end is the platform's doing
			f.mu.Unlock()
			_ = router.command.Process.Kill()
			<-router.ended
			time.Sleep(restartDelay)
			f.mu.Lock()
			f.stopping = false
			f.mu.Unlock()
			if err := f.start(front, "target/ivyfleet", "router"); err != nil {
				r.printf("the router does not start again: %v", err)
				return
			}
		}
	}()
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		return highest
	}
}

// router returns the newest process of the router.
func (f *fleet) router() *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[len(f.processes)-1]
}

// exchange is one request of the memory case and what became of it.
type exchange struct {
	id       string
	large    bool
	kept     bool // it went over a connection that had carried requests before
	status   int
	complete bool
	problem  error
}

// sender sends requests over kept connections.
type sender struct {
	record  *record
	client  *client
	bodies  map[bool][]byte
	mu      sync.Mutex
	all     []exchange
	pending sync.WaitGroup
}

func (s *sender) send(id string, large bool) {
	x := exchange{id: id, large: large}
	key := "key-small"
	if large {
		key = "key-large"
	}
	s.record.printf("%s sent, %d bytes", id, len(s.bodies[large]))
	request, err := s.client.request(id, reviewPath+"x", key, map[string]string{"Deadline-Ms": "12000"})
	if err == nil {
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(s.bodies[large])), int64(len(s.bodies[large]))
		request.GetBody = nil
		trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { x.kept = info.Reused }}
		var answer *http.Response
		if answer, err = s.client.http.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace))); err == nil {
			x.status = answer.StatusCode
			_, err = io.Copy(io.Discard, answer.Body)
			answer.Body.Close()
			x.complete = err == nil
		}
	}
	x.problem = err
	s.record.printf("%s answered %d, kept connection: %v, error: %v", id, x.status, x.kept, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, x)
}

// load sends requests at a rate for a time.
func (s *sender) load(name string, large bool, perS float64, duration time.Duration) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perS))
	defer ticker.Stop()
	end := time.After(duration)
	for number := 1; ; number++ {
		select {
		case <-end:
			return
		case <-ticker.C:
		}
		s.pending.Go(func() { s.send(fmt.Sprintf("%s-%04d", name, number), large) })
	}
}

// playMemory lets one tenant send several times its usual, each request within the limits of the configuration.
func playMemory(r *record, trouble bool) (int, error) {
	hostRuns := &runs{}
	var list []instance
	for i := range 4 {
		h, err := startHost(fmt.Sprintf("i-host%d", i), reviewWork, hostRuns)
		if err != nil {
			return 0, err
		}
		list = append(list, h.entry(reviewService, "ready"))
	}
	p, err := startPlatform(list...)
	if err != nil {
		return 0, err
	}
	f, err := startFleet(0, p.address)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return 0, err
	}
	route := map[string]any{"name": "r-review", "path_prefix": reviewPath, "route_type": "unsafe", "timeout_ms": 12000, "target_ms": 600, "max_attempts": 1}
	tenants := []any{map[string]any{"name": "small", "api_keys": []string{"key-small"}}, map[string]any{"name": "large", "api_keys": []string{"key-large"}}}
	if status, _, err := f.replaceConfig(0, config(1, reviewService, route, tenants)); err != nil || status != 200 {
		return 0, fmt.Errorf("the configuration was answered %d: %w", status, err)
	}
	if err := f.awaitReady(); err != nil {
		return 0, err
	}
	done := make(chan struct{})
	peak := f.watchMemory(r, done)
	c := newClient(f.address(front, frontPort))
	c.http.Timeout = 13 * time.Second
	s := &sender{record: r, client: c, bodies: map[bool][]byte{true: bytes.Repeat([]byte("x"), largeBody), false: bytes.Repeat([]byte("x"), smallBody)}}
	var loads sync.WaitGroup
	loads.Go(func() { s.load("small", false, smallPerS, 2*calmTime+hotTime) })
	loads.Go(func() {
		s.load("usual", true, largePerS, calmTime)
		if trouble {
			r.printf("the large tenant sends %v times its usual", hotFactor)
			s.load("hot", true, largePerS*hotFactor, hotTime)
			r.printf("the large tenant sends its usual")
		} else {
			s.load("usual-again", true, largePerS, hotTime)
		}
		s.load("later", true, largePerS, calmTime)
	})
	loads.Wait()
	s.pending.Wait()
	close(done)
	if exits := f.ownExits(); len(exits) > 0 {
		return 0, fmt.Errorf("processes ended: %v", exits)
	}
	r.conclude("the router held at most %d MB of %d MB", peak()>>20, frontMemory)
	return judgeLost(r, s, hostRuns), nil
}

// judgeLost checks LOST: a machine passes a request from a kept connection on to a sound host and closes the connection
// without an answer, more than three times.
func judgeLost(r *record, s *sender, hostRuns *runs) int {
	ran := map[string]bool{}
	for _, one := range hostRuns.list() {
		r.printf("%s ran at %s at %.3f", one.request, one.host, r.seconds(one.at))
		ran[one.request] = true
	}
	answers, lost, lostOnKept := map[int]int{}, 0, 0
	for _, x := range s.all {
		answers[x.status]++
		if !ran[x.id] || x.complete {
			continue
		}
		lost++
		if x.kept {
			lostOnKept++
		}
	}
	r.conclude("answers by status: %v", answers)
	r.conclude("%d requests ran at sound hosts, and their clients got no answer; %d of these came over kept connections", lost, lostOnKept)
	switch {
	case len(ran) < 100:
		return notPlayed
	case lostOnKept > mostLost:
		r.conclude("LOST is broken")
		return broken
	}
	r.conclude("LOST is kept")
	return held
}
