package policy

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// countKeys gives how many of a thousand prompts of own and shared tokens each host gets.
func countKeys(s *Service, own, shared float64, now time.Duration) map[string]int {
	count := map[string]int{}
	for i := range 1000 {
		a, _ := s.Begin(Request{Key: fmt.Sprint(i), Tokens: own + shared, Shared: shared}, now)
		s.End(a, Withdrawn, now)
		count[a.Host.ID]++
	}
	return count
}

func TestSlowHostIsAvoidedWhereItCostsLess(t *testing.T) {
	s := service(5)
	usual := countKeys(s, 600, 200, 0)
	s.SetSlow(map[string]float64{"host-1": 3}, 0)
	assert.Equal(t, countKeys(s, 600, 200, 0)["host-1"], 0, "another one reads 200 tokens anew")
	assert.DeepEqual(t, countKeys(s, 600, 6000, 0), usual)
	assert.Equal(t, countKeys(s, 6000, 6000, 0)["host-1"], 0)
	assert.DeepEqual(t, countKeys(s, 600, 200, slowFor), usual)
	s.SetSlow(map[string]float64{"host-1": 3}, 0)
	s.SetSlow(nil, 0)
	assert.DeepEqual(t, countKeys(s, 600, 200, 0), usual)
}

func TestManySlowHostsAreNoException(t *testing.T) {
	s := service(5)
	usual := countKeys(s, 600, 200, 0)
	s.SetSlow(map[string]float64{"host-1": 3, "host-2": 3, "host-3": 3}, 0)
	assert.DeepEqual(t, countKeys(s, 600, 200, 0), usual)
}

// The pace of a host doesn't hang on what it reads in between, or on events that arrive together.
func TestPaceIsThatBetweenTwoPlainEvents(t *testing.T) {
	s := service(1)
	a, _ := s.Begin(Request{}, 0)
	now := 100 * millisecond
	s.Event(a, now)
	for i := range 2 * gapsInPace {
		switch i % gapsInPace {
		case 3, 4, 5:
			now += 300 * millisecond
		case 6:
			now += millisecond / 10
		default:
			now += 28 * millisecond
		}
		s.Event(a, now)
	}
	paces := s.TakePaces()
	assert.Equal(t, len(paces), 1)
	assert.Assert(t, paces["host-0"] > 27*millisecond && paces["host-0"] < 29*millisecond, "%v", paces)
	assert.Equal(t, len(s.TakePaces()), 0)
}
