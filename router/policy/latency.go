package policy

import (
	"math"
	"time"
)

const (
	meanGain        = 1.0 / 8 // weight of the newest sample in the mean; meanGain and deviationGain are those of RFC 6298
	deviationGain   = 1.0 / 4 // weight of the newest sample in the mean deviation
	usualDeviations = 4       // latencies up to the mean plus this many mean deviations are usual
	minSamples      = 4       // samples needed before a latency is taken for usual
	// minTokens is the prompt size below which the fixed cost of a request outweighs the cost of its tokens.
	minTokens = 1000
)

// latency estimates how long hosts take to begin a response, per token of the prompt, in the way in which RFC 6298
// estimates round-trip times.
type latency struct {
	mean      float64 // seconds per token
	deviation float64 // mean deviation, seconds per token
	samples   int
}

// observe records one response that began.
func (l *latency) observe(elapsed time.Duration, tokens float64) {
	sample := elapsed.Seconds() / max(minTokens, tokens)
	if l.samples++; l.samples == 1 {
		l.mean, l.deviation = sample, sample/2
		return
	}
	l.deviation += deviationGain * (math.Abs(sample-l.mean) - l.deviation)
	l.mean += meanGain * (sample - l.mean)
}

// usualDelay returns how long a response to a prompt may take to begin and still be usual; 0 while too little is
// known.
func (l *latency) usualDelay(tokens float64) time.Duration {
	if l.samples < minSamples {
		return 0
	}
	return time.Duration((l.mean + usualDeviations*l.deviation) * max(minTokens, tokens) * float64(time.Second))
}

// RecordResponseStart records that the host of an attempt has begun its response.
func (s *Service) RecordResponseStart(a *Attempt, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency.observe(now-a.sentAt, a.tokens)
}

// UsualResponseDelay returns how long a healthy host may take to begin a response, judged by recent responses of the
// service's hosts; 0 while too little is known.
func (s *Service) UsualResponseDelay(tokens float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latency.usualDelay(tokens)
}
