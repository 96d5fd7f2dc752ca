package replica

import "time"

// groupClock is a group's logical time, by which its replicated state expires. Between two readings of it no more
// time passes than between them on the steady clocks, even if the leader changes in between, so what one leader
// grants for a duration lasts at least as long under the next. It never falls from entry to entry. Changes of the
// time of day have no effect on it.
//
// A leader's time continues on its steady clock from what the previous leader reported. Because messages take time,
// each leader's time lags behind its predecessor's. A report by the leader of a later term therefore replaces the
// known time even if it is earlier, while among reports by one leader the one that arrived with the least delay
// counts. The winner of an election has heard of each term that has a committed entry, or has that entry on disk and
// continues from its time as of its own start. The time stands still while no process runs.
type groupClock struct {
	term    uint64        // of the leader that reported it, during this run or in a stored entry
	known   time.Duration // group time
	knownAt time.Duration // steady-clock time at which known held
}

// at returns the group time at a steady-clock time.
func (c *groupClock) at(now time.Duration) time.Duration { return c.known + max(0, now-c.knownAt) }

// observe records the group time that the leader of a term reported.
func (c *groupClock) observe(term uint64, reported, now time.Duration) {
	if term > c.term || term == c.term && reported > c.at(now) {
		*c = groupClock{term, reported, now}
	}
}

// raiseTo raises the time to that of an entry which a new leader's first entry is to follow.
func (c *groupClock) raiseTo(reported, now time.Duration) {
	if reported > c.at(now) {
		c.known, c.knownAt = reported, now
	}
}

// GroupTime returns the group time as far as this replica knows it. It is authoritative only on the leader.
func (r *Replica) GroupTime(now time.Duration) time.Duration { return r.clock.at(now) }
