package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const millisecond = time.Millisecond

// respondAfter lets the response to a prompt of this many tokens begin after a delay.
func respondAfter(s *Service, delay time.Duration, tokens float64) {
	a, _ := s.Begin(Request{Key: "key", Tokens: tokens}, 0)
	s.RecordResponseStart(a, delay)
	s.End(a, Served, delay)
}

func TestUsualDelayNeedsSamples(t *testing.T) {
	s := newTestService(1)
	for range minSamples - 1 {
		respondAfter(s, 100*millisecond, 9000)
		assert.Equal(t, s.UsualResponseDelay(9000), time.Duration(0))
	}
	respondAfter(s, 100*millisecond, 9000)
	assert.Assert(t, s.UsualResponseDelay(9000) > 100*millisecond)
}

// A prompt that is not in a host's cache takes three times as long as one that is, and long prompts take
// proportionally longer: neither is unusual.
func TestUsualDelayGrowsWithPromptSizeAndVariance(t *testing.T) {
	steady, scattered := newTestService(1), newTestService(1)
	for i := range 100 {
		respondAfter(steady, 90*millisecond, 9000)
		respondAfter(scattered, time.Duration(90+180*(i%2))*millisecond, 9000)
	}
	assert.Assert(t, steady.UsualResponseDelay(9000) < 100*millisecond, "%v", steady.UsualResponseDelay(9000))
	assert.Assert(t, scattered.UsualResponseDelay(9000) > 300*millisecond, "%v", scattered.UsualResponseDelay(9000))
	assert.Assert(t, scattered.UsualResponseDelay(36000) > 3*scattered.UsualResponseDelay(9000))
}

func TestShortPromptsCountAsMinTokens(t *testing.T) {
	s := newTestService(1)
	for range 20 {
		respondAfter(s, 30*millisecond, 10)
	}
	assert.Assert(t, s.UsualResponseDelay(0) > 29*millisecond && s.UsualResponseDelay(0) < 60*millisecond, "%v", s.UsualResponseDelay(0))
}
