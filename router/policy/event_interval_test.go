package policy

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// countKeys returns how many of 1000 prompts with the given numbers of own and shared tokens each host gets.
func countKeys(s *Service, own, shared float64, now time.Duration) map[string]int {
	count := map[string]int{}
	for i := range 1000 {
		a, _ := s.Begin(Request{Key: fmt.Sprint(i), Tokens: own + shared, Shared: shared}, now)
		s.End(a, Withdrawn, now)
		count[a.Host.ID]++
	}
	return count
}

func TestSlowHostIsAvoidedIfAnotherIsFaster(t *testing.T) {
	s := newTestService(5)
	usual := countKeys(s, 600, 200, 0)
	s.SetSlowHosts(map[string]float64{"host-1": 3}, 0)
	assert.Equal(t, countKeys(s, 600, 200, 0)["host-1"], 0, "another host reads the 200 shared tokens sooner")
	assert.DeepEqual(t, countKeys(s, 600, 6000, 0), usual)
	assert.Equal(t, countKeys(s, 6000, 6000, 0)["host-1"], 0)
	assert.DeepEqual(t, countKeys(s, 600, 200, slowHostsTTL), usual)
	s.SetSlowHosts(map[string]float64{"host-1": 3}, 0)
	s.SetSlowHosts(nil, 0)
	assert.DeepEqual(t, countKeys(s, 600, 200, 0), usual)
}

func TestSlowHostsAreNotAvoidedIfMany(t *testing.T) {
	s := newTestService(5)
	usual := countKeys(s, 600, 200, 0)
	s.SetSlowHosts(map[string]float64{"host-1": 3, "host-2": 3, "host-3": 3}, 0)
	assert.DeepEqual(t, countKeys(s, 600, 200, 0), usual)
}

// The event interval does not depend on pauses in which a host reads prompts, or on events that arrive together.
func TestEventIntervalIgnoresPausesAndBursts(t *testing.T) {
	s := newTestService(1)
	a, _ := s.Begin(Request{}, 0)
	now := 100 * millisecond
	s.RecordEvent(a, now)
	for i := range 2 * intervalsPerSample {
		switch i % intervalsPerSample {
		case 3, 4, 5:
			now += 300 * millisecond
		case 6:
			now += millisecond / 10
		default:
			now += 28 * millisecond
		}
		s.RecordEvent(a, now)
	}
	intervals := s.TakeEventIntervals()
	assert.Equal(t, len(intervals), 1)
	assert.Assert(t, intervals["host-0"] > 27*millisecond && intervals["host-0"] < 29*millisecond, "%v", intervals)
	assert.Equal(t, len(s.TakeEventIntervals()), 0)
}
