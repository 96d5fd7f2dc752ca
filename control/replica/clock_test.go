package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The latest moment that one leader has told is the closest to its time, as it has come with the shortest delay.
func TestGroupTimeGoesOnFromTheLatestMoment(t *testing.T) {
	var c groupClock
	c.observe(1, 10*time.Second, 100*time.Second)
	c.observe(1, 10500*time.Millisecond, 101*time.Second) // came late
	assert.Equal(t, c.at(101*time.Second), 11*time.Second)
	c.observe(1, 12*time.Second, 101500*time.Millisecond)
	assert.Equal(t, c.at(102*time.Second), 12500*time.Millisecond)
	assert.Equal(t, c.at(101*time.Second), 12*time.Second)
}

// A later leader's time may be behind: who went on by the earlier one's would end too soon what the later one has given.
func TestGroupTimeFollowsALaterLeaderBack(t *testing.T) {
	var c groupClock
	c.observe(0, 4*time.Second, 0) // what the disk held
	c.observe(1, 10*time.Second, 2*time.Second)
	c.observe(2, 7*time.Second, 3*time.Second)
	assert.Equal(t, c.at(3*time.Second), 7*time.Second)
	assert.Equal(t, c.at(5*time.Second), 9*time.Second)
}
