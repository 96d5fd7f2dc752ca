package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const millisecond = time.Millisecond

func TestNothingIsUsualAtFirst(t *testing.T) {
	s := service(1)
	for range leastSamples - 1 {
		s.Began(100*millisecond, 9000)
		assert.Equal(t, s.UsualWait(9000), time.Duration(0))
	}
	s.Began(100*millisecond, 9000)
	assert.Assert(t, s.UsualWait(9000) > 100*millisecond)
}

// Prompts that are read cold take three times as long as warm ones, and long ones take in proportion: neither is unusual.
func TestUsualWaitGrowsWithThePromptAndWithScatter(t *testing.T) {
	steady, scattered := service(1), service(1)
	for i := range 100 {
		steady.Began(90*millisecond, 9000)
		scattered.Began(time.Duration(90+180*(i%2))*millisecond, 9000)
	}
	assert.Assert(t, steady.UsualWait(9000) < 100*millisecond, "%v", steady.UsualWait(9000))
	assert.Assert(t, scattered.UsualWait(9000) > 300*millisecond, "%v", scattered.UsualWait(9000))
	assert.Assert(t, scattered.UsualWait(36000) > 3*scattered.UsualWait(9000))
}

func TestShortPromptsAreNotMeasuredByTheirTokens(t *testing.T) {
	s := service(1)
	for range 20 {
		s.Began(30*millisecond, 10)
	}
	assert.Assert(t, s.UsualWait(0) > 29*millisecond && s.UsualWait(0) < 60*millisecond, "%v", s.UsualWait(0))
}
