package router

import (
	"sync"
	"time"

	"ivybank/router/policy"
	"ivybank/router/upstream"
)

const (
	// headerSilenceShare is the part of a route's target time for the first event after which a silent host is given
	// up. The rest of the target is enough for another host that has the shared parts of the prompt in its cache.
	headerSilenceShare = 0.6
	// defaultHeaderSilenceShare replaces headerSilenceShare while too little is known of how long hosts take to begin
	// a response.
	defaultHeaderSilenceShare = 2.0
	// eventSilenceShare is the multiple of the target time between two events after which another host takes over a
	// stream. That host has to read the prompt first, so it misses the target anyway, and a host that reads the
	// prompts of other requests in between is silent for longer than the target.
	eventSilenceShare = 2.5
	minSilenceLimit   = 250 * time.Millisecond
)

// canReroute reports whether the request may be sent to one more host while the current one has not failed.
func (x *exchange) canReroute() bool {
	return x.isRetryable() && x.sendCount+1 < x.route.MaxAttempts && x.router.retries.canSpend(x.serviceName)
}

// headerSilenceLimit is how long a host may be silent before it begins its response: as long as recent responses to
// prompts of this size usually took. A long prompt takes long to read, and another host would have to read it again.
func (x *exchange) headerSilenceLimit() time.Duration {
	usual := x.service.UsualResponseDelay(x.promptTokens)
	if usual == 0 && x.promptTokens > 0 {
		return silenceLimit(defaultHeaderSilenceShare, x.route.FirstEventTargetMS)
	}
	return max(usual, silenceLimit(headerSilenceShare, x.route.FirstEventTargetMS))
}

func silenceLimit(share, targetMS float64) time.Duration {
	return max(minSilenceLimit, time.Duration(share*targetMS*float64(time.Millisecond)))
}

// onSilence calls act once the host of the attempt has sent nothing at all to this router for the limit: a host that
// answers other requests is only slow. stop ends the timer and reports false if act has been called.
func (x *exchange) onSilence(a *policy.Attempt, limit time.Duration, act func()) (stop func() bool) {
	var mu sync.Mutex
	var timer *time.Timer
	done := false
	check := func() {
		mu.Lock()
		if done {
			mu.Unlock()
			return
		}
		silent := x.router.now() - x.service.LastActivity(a)
		if silent < limit {
			timer.Reset(limit - silent)
			mu.Unlock()
			return
		}
		done = true
		mu.Unlock()
		act()
	}
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(limit, check)
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		wasDone := done
		done = true
		timer.Stop()
		return !wasDone
	}
}

// watchHeader closes a connection whose host is silent for too long before it begins its response, if another host
// may be tried.
func (x *exchange) watchHeader(a *policy.Attempt, conn *upstream.Conn) (stop func() bool) {
	if !x.canReroute() {
		return func() bool { return true }
	}
	return x.onSilence(a, x.headerSilenceLimit(), func() {
		x.router.metrics.rerouted[rerouteSilentBeforeResponse].Inc()
		conn.Close()
	})
}

// successorWatch opens a successor, a host that continues a stream, once the current host is silent.
type successorWatch struct {
	x     *exchange
	stop  func() bool
	ready chan *streamSource
}

// watchStream opens a successor when the host of a stream is silent for too long. The connection to the silent host
// is closed only once the successor has begun its response.
func (x *exchange) watchStream(from streamSource, last *lastEventID) *successorWatch {
	s := &successorWatch{x: x, stop: func() bool { return true }, ready: make(chan *streamSource, 1)}
	if !x.isRetryable() || x.sendCount >= x.route.MaxAttempts {
		return s
	}
	s.stop = x.onSilence(from.attempt, silenceLimit(eventSilenceShare, x.route.EventIntervalTargetMS), func() {
		if !x.reserveRetry() {
			s.ready <- nil
			return
		}
		next := x.openSuccessor(last.get())
		if next != nil {
			x.router.metrics.rerouted[rerouteSilentInStream].Inc()
			from.conn.Close() // closed first, so that it cannot be put back into the pool and serve another request
		}
		s.ready <- next
	})
	return s
}

// finish stops the timer and returns the successor if one has been opened and is wanted.
func (s *successorWatch) finish(wanted bool) *streamSource {
	if s.stop() {
		return nil
	}
	next := <-s.ready
	if next != nil && !wanted {
		s.x.discard(next)
		return nil
	}
	return next
}

// discard closes a source that is no longer needed.
func (x *exchange) discard(s *streamSource) {
	s.conn.Close()
	x.endAttempt(s.attempt, policy.Withdrawn)
}
