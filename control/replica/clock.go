package replica

import "time"

// groupClock is a group's time, by which its state expires. It goes on from the newest moment that is known, by the steady
// clock: what a message told is counted on from its receipt, and what a disk holds from the start of the process. So it
// never runs ahead of the steady clock of the process that told it, stands still while no process runs, and no time of
// day touches it.
type groupClock struct {
	known   time.Duration // the group's time
	knownAt time.Duration // on the steady clock
}

// at gives the group's time at a moment of the steady clock.
func (c *groupClock) at(now time.Duration) time.Duration { return c.known + max(0, now-c.knownAt) }

// observe takes a moment of the group's time that another process, or an entry, has told.
func (c *groupClock) observe(told, now time.Duration) {
	if told > c.at(now) {
		c.known, c.knownAt = told, now
	}
}

// GroupTime gives the group's time as far as this replica knows it. It is the group's own only at a leader.
func (r *Replica) GroupTime(now time.Duration) time.Duration { return r.clock.at(now) }
