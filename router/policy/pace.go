package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// gapsPerSample is how many gaps between events make one sample of a host's pace.
	gapsPerSample = 8
	// gapRank is the rank of the gap that is taken as the sample, counted from 0 for the shortest: so events that arrive
	// together do not count, nor do pauses in which the host reads long prompts.
	gapRank = 2
	// slowHostsTTL is how long a list of slow hosts is valid.
	slowHostsTTL = time.Second
	// maxSlowShare is the share of the healthy hosts up to which slow ones are avoided: if more are slow, they are
	// not the exception.
	maxSlowShare = 0.4
)

// gapSampler collects the gaps between the events of one stream.
type gapSampler struct {
	last time.Duration
	gaps [gapsPerSample]time.Duration
	n    int
}

// event records the time of one event. It returns a sample of the pace once enough gaps have been collected.
func (s *gapSampler) event(now time.Duration) (pace time.Duration, ok bool) {
	if s.last == 0 {
		s.last = now
		return 0, false
	}
	s.gaps[s.n] = now - s.last
	s.last = now
	if s.n++; s.n < gapsPerSample {
		return 0, false
	}
	s.n = 0
	slices.Sort(s.gaps[:])
	return s.gaps[gapRank], true
}

// paceSum sums up the pace samples of one host since they were last taken.
type paceSum struct {
	logSum float64 // of the samples in seconds
	n      int
}

// RecordEvent records that a complete event of an attempt's stream has arrived. It returns the time since the
// previous one; 0 for the first.
func (s *Service) RecordEvent(a *Attempt, now time.Duration) (gap time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.state.lastActivity = now
	if a.gaps.last > 0 {
		gap = now - a.gaps.last
	}
	if pace, ok := a.gaps.event(now); ok && pace > 0 {
		a.state.pace.logSum += math.Log(pace.Seconds())
		a.state.pace.n++
	}
	return gap
}

// TakePaces returns the typical time between two events for each host that has streamed since the last call, as the
// geometric mean of its samples.
func (s *Service) TakePaces() map[string]time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var paces map[string]time.Duration
	for _, h := range s.listed {
		if h.pace.n == 0 {
			continue
		}
		if paces == nil {
			paces = map[string]time.Duration{}
		}
		paces[h.ID] = time.Duration(math.Exp(h.pace.logSum/float64(h.pace.n)) * float64(time.Second))
		h.pace = paceSum{}
	}
	return paces
}

// SetSlowHosts sets the slow hosts as the shard's owner reports them: how many times the usual time each takes per
// event.
func (s *Service) SetSlowHosts(ratios map[string]float64, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.listed {
		h.slowness, h.slowUntil = ratios[h.ID], now+slowHostsTTL
	}
}

// slownessAt returns how many times slower than usual the host is; 1 if nothing is known.
func (h *hostState) slownessAt(now time.Duration) float64 {
	if now >= h.slowUntil || !(h.slowness > 1) {
		return 1
	}
	return h.slowness
}

// avoids reports whether another host than a slow one serves the request better: the extra time of the slow host for
// the tokens of this request alone exceeds the time of another host to read the shared tokens.
func (q *Request) avoids(slowness float64) bool {
	return slowness > 1 && (slowness-1)*max(1, q.Tokens-q.Shared) > q.Shared
}
