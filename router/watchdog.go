package router

import (
	"sync"
	"time"

	"ivybank/router/policy"
	"ivybank/router/upstream"
)

const (
	// silenceShare is the part of a route's aim, for the first event or between events, after which the silence of a
	// host has another one tried for a request that may run twice.
	silenceShare    = 0.6
	shortestSilence = 250 * time.Millisecond
)

// mayMove says whether the request that is out may go to one more host.
func (x *exchange) mayMove() bool {
	return x.repeatable() && x.sent+1 < x.route.MaxAttempts && x.router.retries.has(x.backend)
}

func silenceLimit(aimMS float64) time.Duration {
	return max(shortestSilence, time.Duration(silenceShare*aimMS*float64(time.Millisecond)))
}

// onSilence calls act once a host has been silent for the limit towards this router altogether: one that answers other
// requests is merely slow. stop ends the watch, and reports false where act has been called.
func (x *exchange) onSilence(a *policy.Attempt, limit time.Duration, act func()) (stop func() bool) {
	var mu sync.Mutex
	var timer *time.Timer
	over := false
	check := func() {
		mu.Lock()
		if over {
			mu.Unlock()
			return
		}
		silent := x.router.now() - x.service.SilentSince(a)
		if silent < limit {
			timer.Reset(limit - silent)
			mu.Unlock()
			return
		}
		over = true
		mu.Unlock()
		act()
	}
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(limit, check)
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		was := over
		over = true
		timer.Stop()
		return !was
	}
}

// watchHead ends a connection whose host is silent before it has begun its answer, where another may be tried.
func (x *exchange) watchHead(a *policy.Attempt, conn *upstream.Conn) (stop func() bool) {
	if !x.mayMove() {
		return func() bool { return true }
	}
	return x.onSilence(a, silenceLimit(x.route.TargetMS), conn.Close)
}

// successor is the host that takes a stream over, once one is needed.
type successor struct {
	x     *exchange
	stop  func() bool
	ready chan *source
}

// await prepares a successor while a stream's host is silent. The host is left only once the successor has begun.
func (x *exchange) await(from source, last *position) *successor {
	s := &successor{x: x, stop: func() bool { return true }, ready: make(chan *source, 1)}
	if !x.repeatable() || x.sent >= x.route.MaxAttempts {
		return s
	}
	s.stop = x.onSilence(from.attempt, silenceLimit(x.route.GapAimMS), func() {
		if !x.again() {
			s.ready <- nil
			return
		}
		next := x.open(last.get())
		if next != nil {
			from.conn.Close() // before it could be given back, and serve another request
		}
		s.ready <- next
	})
	return s
}

// finish ends the watch and gives the successor where one has been opened and is wanted.
func (s *successor) finish(wanted bool) *source {
	if s.stop() {
		return nil
	}
	next := <-s.ready
	if next != nil && !wanted {
		s.x.drop(next)
		return nil
	}
	return next
}

// drop ends a source that is no longer wanted.
func (x *exchange) drop(s *source) {
	s.conn.Close()
	x.service.End(s.attempt, policy.Withdrawn, x.router.now())
}
