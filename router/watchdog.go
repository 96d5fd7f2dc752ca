package router

import (
	"sync"
	"time"

	"ivybank/router/policy"
	"ivybank/router/upstream"
)

const (
	// headSilenceShare is the part of a route's aim for the first event before which no other host is tried: after it, one
	// that has the prompt's shared parts may still answer within the aim.
	headSilenceShare = 0.6
	// unknownSilenceShare is used in its place while too little is known of how long answers take to begin.
	unknownSilenceShare = 2.0
	// gapSilenceShare is the part of the aim between events after which another host takes a stream over. It has to read the
	// prompt first, so it can't keep the aim, and a host that reads prompts of others in between is silent for longer than that.
	gapSilenceShare = 2.5
	shortestSilence = 250 * time.Millisecond
)

// mayMove says whether the request that is out may go to one more host.
func (x *exchange) mayMove() bool {
	return x.repeatable() && x.sent+1 < x.route.MaxAttempts && x.router.retries.has(x.backend)
}

// headSilence is how long a host may be silent before it has begun its answer: as long as answers to prompts of that size
// usually take, by what this router saw of late. A long prompt is read for long, and another host would read it anew.
func (x *exchange) headSilence() time.Duration {
	usual := x.service.UsualWait(x.prompt)
	if usual == 0 && x.prompt > 0 {
		return silenceLimit(unknownSilenceShare, x.route.TargetMS)
	}
	return max(usual, silenceLimit(headSilenceShare, x.route.TargetMS))
}

func silenceLimit(share, aimMS float64) time.Duration {
	return max(shortestSilence, time.Duration(share*aimMS*float64(time.Millisecond)))
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
	return x.onSilence(a, x.headSilence(), func() {
		x.router.decisions.moved[moveHeadSilence].Inc()
		conn.Close()
	})
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
	s.stop = x.onSilence(from.attempt, silenceLimit(gapSilenceShare, x.route.GapAimMS), func() {
		if !x.again() {
			s.ready <- nil
			return
		}
		next := x.open(last.get())
		if next != nil {
			x.router.decisions.moved[moveGapSilence].Inc()
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
	x.end(s.attempt, policy.Withdrawn)
}
