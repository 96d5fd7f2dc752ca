package outlier

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const second = time.Second

func TestHealthFollowsOutcomes(t *testing.T) {
	health := 1.0
	for range 20 {
		health = NextHealth(health, false)
	}
	assert.Equal(t, health, MinHealth)
	near := func(got, want float64) { t.Helper(); assert.Assert(t, got > want-1e-9 && got < want+1e-9, "%v", got) }
	near(NextHealth(1, false), 0.7)
	near(NextHealth(0.7, true), 0.79)
}

func TestTwoFailuresInARowEject(t *testing.T) {
	r := Record{Health: 1}
	assert.Assert(t, !r.Failure(5*second, 0.5, 0))
	r.Success()
	assert.Assert(t, !r.Failure(5*second, 0.5, 0))
	assert.Assert(t, r.Failure(5*second, 0.5, 0))
	assert.Assert(t, r.IsEjected(5*second-1) && !r.IsEjected(5*second) && r.IsProbing(5*second))
}

func TestBackoffGrowsToItsMaximumAndResets(t *testing.T) {
	r, now := Record{Health: 1}, time.Duration(0)
	r.Failure(5*second, 0.5, now)
	for _, want := range []time.Duration{5, 10, 20, 30, 30} {
		assert.Assert(t, r.Failure(5*second, 0.5, now))
		assert.Equal(t, r.EjectedUntil-now, want*second)
		now = r.EjectedUntil
	}
	for range 12 {
		r.Success()
	}
	r.Failure(5*second, 0.5, now)
	r.Failure(5*second, 0.5, now)
	assert.Equal(t, r.EjectedUntil-now, 5*second)
}

func TestFailuresDuringAnEjectionOnlyChangeHealth(t *testing.T) {
	r := Record{Health: 1}
	r.Failure(5*second, 0.5, 0)
	r.Failure(5*second, 0.5, 0)
	assert.Assert(t, !r.Failure(5*second, 0.5, second), "an attempt that was started before the ejection")
	assert.Equal(t, r.EjectedUntil, 5*second)
}

func TestBackoffIsJittered(t *testing.T) {
	assert.Equal(t, Backoff(10*second, 0, 0), 8*second)
	assert.Equal(t, Backoff(10*second, 0, 1), 12*second)
}
