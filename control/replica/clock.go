package replica

import "time"

// groupClock is a group's time, by which its state expires. Between two moments of it never passes more than between
// them by the steady clocks, also where the leader changes: what is granted for a while by one leader holds for as long
// with the next. And it never falls from entry to entry. Steps of the time of day touch nothing.
//
// A leader's time goes on by its steady clock from what it was told by the one before. As a message takes time, each
// leader's time lies behind that of the one before: so what a leader of a later term tells replaces what is known, also by
// an earlier time, while what one leader tells is counted on from the message that came soonest. Who wins has heard of
// each term of which an entry is committed, or holds that entry on disk, whose time is counted on from the start. The time
// stands still while no process runs.
type groupClock struct {
	term    uint64        // whose leader told it, in this life or by an entry
	known   time.Duration // the group's time
	knownAt time.Duration // on the steady clock
}

// at gives the group's time at a moment of the steady clock.
func (c *groupClock) at(now time.Duration) time.Duration { return c.known + max(0, now-c.knownAt) }

// observe takes a moment of the group's time that the leader of a term has told.
func (c *groupClock) observe(term uint64, told, now time.Duration) {
	if term > c.term || term == c.term && told > c.at(now) {
		*c = groupClock{term, told, now}
	}
}

// reach takes the time of an entry that is to be followed by one of a new leader.
func (c *groupClock) reach(told, now time.Duration) {
	if told > c.at(now) {
		c.known, c.knownAt = told, now
	}
}

// GroupTime gives the group's time as far as this replica knows it. It is the group's own only at a leader.
func (r *Replica) GroupTime(now time.Duration) time.Duration { return r.clock.at(now) }
