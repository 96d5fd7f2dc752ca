package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// intervalsPerSample is how many intervals between events make one sample of a host's typical event interval.
	intervalsPerSample = 8
	// intervalRank is the rank of the interval that is taken as the sample, counted from 0 for the shortest: so
	// events that arrive together do not count, nor do pauses in which the host reads long prompts.
	intervalRank = 2
	// slowHostsTTL is how long a list of slow hosts is valid.
	slowHostsTTL = time.Second
	// maxSlowShare is the share of the healthy hosts up to which slow ones are avoided: if more are slow, they are
	// not the exception.
	maxSlowShare = 0.4
)

// intervalSampler collects the intervals between the events of one stream.
type intervalSampler struct {
	last      time.Duration
	intervals [intervalsPerSample]time.Duration
	n         int
}

// event records the time of one event. It returns a sample of the event interval once enough intervals have been
// collected.
func (s *intervalSampler) event(now time.Duration) (sample time.Duration, ok bool) {
	if s.last == 0 {
		s.last = now
		return 0, false
	}
	s.intervals[s.n] = now - s.last
	s.last = now
	if s.n++; s.n < intervalsPerSample {
		return 0, false
	}
	s.n = 0
	slices.Sort(s.intervals[:])
	return s.intervals[intervalRank], true
}

// intervalSum sums up the samples of one host since they were last taken.
type intervalSum struct {
	logSum float64 // of the samples in seconds
	n      int
}

// RecordEvent records that a complete event of an attempt's stream has arrived. It returns the time since the
// previous one; 0 for the first.
func (s *Service) RecordEvent(a *Attempt, now time.Duration) (interval time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.state.lastActivity = now
	if a.sampler.last > 0 {
		interval = now - a.sampler.last
	}
	if sample, ok := a.sampler.event(now); ok && sample > 0 {
		a.state.intervals.logSum += math.Log(sample.Seconds())
		a.state.intervals.n++
	}
	return interval
}

// TakeEventIntervals returns the typical time between two events for each host that has streamed since the last call,
// as the geometric mean of its samples.
func (s *Service) TakeEventIntervals() map[string]time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var intervals map[string]time.Duration
	for _, h := range s.listed {
		if h.intervals.n == 0 {
			continue
		}
		if intervals == nil {
			intervals = map[string]time.Duration{}
		}
		intervals[h.ID] = time.Duration(math.Exp(h.intervals.logSum/float64(h.intervals.n)) * float64(time.Second))
		h.intervals = intervalSum{}
	}
	return intervals
}

// SetSlowHosts sets how many times slower than usual hosts stream, as reported by the shard's owner. Hosts that are
// not in ratios count as not slow.
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
