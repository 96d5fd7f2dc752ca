package replica

import "time"

// groupClock is a group's time, by which its state expires. It goes on from the newest moment that is known, by the steady
// clock: what a message told is counted on from its receipt, and what a disk holds from the start of the process. It stands
// still while no process runs, and no time of day touches it.
//
// The time of a new leader may be behind that of the one before, as by the time for which all were down. From then on it is
// the group's: whoever still counts by an earlier leader is ahead, and would let end what the new one has given before its
// time. So the first word of a newer term replaces what was known. Then the group's time never goes faster than a steady
// clock, over any change of leader.
type groupClock struct {
	term    uint64        // of the leader that told it; 0 for none
	known   time.Duration // the group's time
	knownAt time.Duration // on the steady clock
}

// at gives the group's time at a moment of the steady clock.
func (c *groupClock) at(now time.Duration) time.Duration { return c.known + max(0, now-c.knownAt) }

// observe takes a moment of the group's time that the leader of a term has told. What the same one tells came with
// different delays: the latest moment is the closest.
func (c *groupClock) observe(term uint64, told, now time.Duration) {
	if term > c.term || told > c.at(now) {
		c.term, c.known, c.knownAt = term, told, now
	}
}

// GroupTime gives the group's time as far as this replica knows it. It is the group's own only at a leader.
func (r *Replica) GroupTime(now time.Duration) time.Duration { return r.clock.at(now) }
