package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const millisecond = time.Millisecond

// began has an answer to a prompt of so many tokens begin after a while.
func began(s *Service, took time.Duration, tokens float64) {
	a, _ := s.Begin(Request{Key: "key", Tokens: tokens}, 0)
	s.Began(a, took)
	s.End(a, Served, took)
}

func TestNothingIsUsualAtFirst(t *testing.T) {
	s := service(1)
	for range leastSamples - 1 {
		began(s, 100*millisecond, 9000)
		assert.Equal(t, s.UsualWait(9000), time.Duration(0))
	}
	began(s, 100*millisecond, 9000)
	assert.Assert(t, s.UsualWait(9000) > 100*millisecond)
}

// Prompts that are read cold take three times as long as warm ones, and long ones take in proportion: neither is unusual.
func TestUsualWaitGrowsWithThePromptAndWithScatter(t *testing.T) {
	steady, scattered := service(1), service(1)
	for i := range 100 {
		began(steady, 90*millisecond, 9000)
		began(scattered, time.Duration(90+180*(i%2))*millisecond, 9000)
	}
	assert.Assert(t, steady.UsualWait(9000) < 100*millisecond, "%v", steady.UsualWait(9000))
	assert.Assert(t, scattered.UsualWait(9000) > 300*millisecond, "%v", scattered.UsualWait(9000))
	assert.Assert(t, scattered.UsualWait(36000) > 3*scattered.UsualWait(9000))
}

func TestShortPromptsAreNotMeasuredByTheirTokens(t *testing.T) {
	s := service(1)
	for range 20 {
		began(s, 30*millisecond, 10)
	}
	assert.Assert(t, s.UsualWait(0) > 29*millisecond && s.UsualWait(0) < 60*millisecond, "%v", s.UsualWait(0))
}
