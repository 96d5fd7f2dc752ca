package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// gapsInPace is how many times between events make one sample of a host's pace, and gapTaken which of them it is, counted
	// from the shortest: events that arrive together don't count, nor does the time in which the host reads long prompts.
	gapsInPace = 8
	gapTaken   = 2
	// slowFor is how long the word of the fleet on slow hosts holds.
	slowFor = time.Second
	// mostSlow is the part of the hosts up to which slow ones are passed over: more are no exception.
	mostSlow = 0.4
)

// stride collects the times between the events of one stream.
type stride struct {
	last time.Duration
	gaps [gapsInPace]time.Duration
	n    int
}

// event takes the time of one event. It reports the stream's pace once enough have come.
func (s *stride) event(now time.Duration) (pace time.Duration, ok bool) {
	if s.last == 0 {
		s.last = now
		return 0, false
	}
	s.gaps[s.n] = now - s.last
	s.last = now
	if s.n++; s.n < gapsInPace {
		return 0, false
	}
	s.n = 0
	slices.Sort(s.gaps[:])
	return s.gaps[gapTaken], true
}

// paceSum is what was seen of one host's pace since it was taken last.
type paceSum struct {
	logs float64 // of seconds
	n    int
}

// Event tells that a whole event of an attempt's stream has come. It gives the time since the one before; 0 for the first.
func (s *Service) Event(a *Attempt, now time.Duration) (gap time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.state.heard = now
	if a.stride.last > 0 {
		gap = now - a.stride.last
	}
	if pace, ok := a.stride.event(now); ok && pace > 0 {
		a.state.pace.logs += math.Log(pace.Seconds())
		a.state.pace.n++
	}
	return gap
}

// TakePaces gives, for each host that has streamed since it was called last, the time that usually passed between two events.
func (s *Service) TakePaces() map[string]time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var taken map[string]time.Duration
	for _, h := range s.listed {
		if h.pace.n == 0 {
			continue
		}
		if taken == nil {
			taken = map[string]time.Duration{}
		}
		taken[h.ID] = time.Duration(math.Exp(h.pace.logs/float64(h.pace.n)) * float64(time.Second))
		h.pace = paceSum{}
	}
	return taken
}

// SetSlow takes the fleet's word on which hosts stream how many times as slowly as usual.
func (s *Service) SetSlow(ratios map[string]float64, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.listed {
		h.slowness, h.slowTill = ratios[h.ID], now+slowFor
	}
}

// slownessAt is how many times as slow as usual a host is; 1 where nothing is known.
func (h *state) slownessAt(now time.Duration) float64 {
	if now >= h.slowTill || !(h.slowness > 1) {
		return 1
	}
	return h.slowness
}

// avoids says whether a request is better served by another host than by one that is slow: what the slow one takes longer
// for the tokens that are the request's own is more than another one takes to read the shared ones.
func (q *Request) avoids(slowness float64) bool {
	return slowness > 1 && (slowness-1)*max(1, q.Tokens-q.Shared) > q.Shared
}
