package policy

import (
	"math"
	"time"
)

const (
	meanGain      = 1.0 / 8 // weight of the newest sample in the mean of a latency,
	deviationGain = 1.0 / 4 // and in its mean deviation; both are those of RFC 6298
	deviations    = 4       // beyond the mean, up to which a latency is taken for usual
	leastSamples  = 4       // before anything is taken for usual
	// leastTokens is the size of a prompt below which what a host does once for each request counts more than its tokens.
	leastTokens = 1000
)

// latency estimates how long hosts take until an answer begins, for each token of the prompt, as RFC 6298 estimates
// round-trip times.
type latency struct {
	mean      float64 // seconds a token
	deviation float64 // likewise
	samples   int
}

// observe takes one answer that began.
func (l *latency) observe(took time.Duration, tokens float64) {
	sample := took.Seconds() / max(leastTokens, tokens)
	if l.samples++; l.samples == 1 {
		l.mean, l.deviation = sample, sample/2
		return
	}
	l.deviation += deviationGain * (math.Abs(sample-l.mean) - l.deviation)
	l.mean += meanGain * (sample - l.mean)
}

// usual is how long an answer to a prompt may take to begin and still be nothing unusual; 0 while too little is known.
func (l *latency) usual(tokens float64) time.Duration {
	if l.samples < leastSamples {
		return 0
	}
	return time.Duration((l.mean + deviations*l.deviation) * max(leastTokens, tokens) * float64(time.Second))
}

// Began tells that the answer of an attempt's host has begun.
func (s *Service) Began(a *Attempt, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency.observe(now-a.sent, a.tokens)
}

// UsualWait is how long an answer may take to begin at a host that is well, by what the service's hosts took of late; 0
// while too little is known.
func (s *Service) UsualWait(tokens float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latency.usual(tokens)
}
