package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Among the times that one leader reports, the latest one as counted on by the local clock is closest to the leader's
// time, as its message had the shortest delay.
func TestGroupTimeContinuesFromTheLatestReport(t *testing.T) {
	var c groupClock
	c.observe(1, 10*time.Second, 100*time.Second)
	c.observe(1, 10500*time.Millisecond, 101*time.Second) // delayed by half a second
	assert.Equal(t, c.at(101*time.Second), 11*time.Second)
	c.observe(1, 12*time.Second, 101500*time.Millisecond)
	assert.Equal(t, c.at(102*time.Second), 12500*time.Millisecond)
	assert.Equal(t, c.at(101*time.Second), 12*time.Second)
}

// A later leader's time may lie behind the earlier one's. A replica that kept the earlier leader's time would expire
// too soon what the later leader grants.
func TestGroupTimeFollowsALaterLeaderBack(t *testing.T) {
	var c groupClock
	c.observe(0, 4*time.Second, 0) // from the entry on disk
	c.observe(1, 10*time.Second, 2*time.Second)
	c.observe(2, 7*time.Second, 3*time.Second)
	assert.Equal(t, c.at(3*time.Second), 7*time.Second)
	assert.Equal(t, c.at(5*time.Second), 9*time.Second)
}
