package coordination

import (
	"time"

	"ivybank/wire"
)

// lock is one that is held. One that is free is in no table.
type lock struct {
	name   string
	holder string
	// firstFence is the one with which the holder took the lock while it was free, fence the newest one that it got since.
	// Those between are of the same uninterrupted hold; any lower one is of a hold that was over before.
	firstFence uint64
	fence      uint64
	expires    time.Duration // of the group's time, at which the lock is free
	heapIndex  int           // in deadlines
}

// lockTable has the locks that are held, and the counter of all fences. The fences of all locks rise together, so that those
// of one lock rise although a free lock is forgotten.
//
// A call may arrive late and more than once. Each Begin that is granted gets a higher fence, so a late Finish of an earlier
// hold of the same holder never has the newest fence, and frees nothing. A late Begin leaves its caller with a fence that is
// no longer the newest one: its Heartbeat still counts within the same uninterrupted hold, and its Finish leaves the lock to
// expire.
type lockTable struct {
	lastFence uint64 // the newest that was handed out
	byName    map[string]*lock
	byExpiry  expiryHeap
}

func newLockTable() lockTable { return lockTable{byName: map[string]*lock{}} }

// expire frees the locks whose time is over. Those that are left are held at that time.
func (t *lockTable) expire(at time.Duration) {
	for len(t.byExpiry) > 0 && t.byExpiry[0].expires <= at {
		t.release(t.byExpiry[0])
	}
}

// begin takes a lock, or takes it again for its holder.
func (t *lockTable) begin(c *wire.Command, at time.Duration) wire.Answer {
	held := t.byName[c.Name]
	switch {
	case held == nil && len(t.byName) >= MaxLocks:
		return wire.Answer{Outcome: wire.Full}
	case held == nil:
		held = t.acquire(c, at)
	case held.holder != c.Holder:
		return wire.Answer{Outcome: wire.HeldByOther}
	default:
		held.fence = t.nextFence()
		t.extend(held, at+holdDuration(c))
	}
	return wire.Answer{Outcome: wire.Done, Fence: held.fence}
}

// acquire gives a free lock to a holder.
func (t *lockTable) acquire(c *wire.Command, at time.Duration) *lock {
	fence := t.nextFence()
	acquired := &lock{name: c.Name, holder: c.Holder, firstFence: fence, fence: fence, expires: at + holdDuration(c)}
	t.add(acquired)
	return acquired
}

// heartbeat holds a lock for longer, never shorter. It counts with any fence of the present uninterrupted hold.
func (t *lockTable) heartbeat(c *wire.Command, at time.Duration) wire.Answer {
	held := t.byName[c.Name]
	if held == nil || held.holder != c.Holder || c.Fence < held.firstFence || c.Fence > held.fence {
		return wire.Answer{Outcome: wire.LockLost}
	}
	t.extend(held, at+holdDuration(c))
	return wire.Answer{Outcome: wire.Done}
}

// finish frees a lock where the caller has its newest fence, and is done in any case.
func (t *lockTable) finish(c *wire.Command) wire.Answer {
	held := t.byName[c.Name]
	if held != nil && held.holder == c.Holder && held.fence == c.Fence {
		t.release(held)
	}
	return wire.Answer{Outcome: wire.Done}
}

// heldByOther tells whether another one than the caller holds the lock at a time that may be later than the newest one that
// was applied.
func (t *lockTable) heldByOther(c *wire.Command, at time.Duration) bool {
	held := t.byName[c.Name]
	return held != nil && held.holder != c.Holder && at < held.expires
}

func (t *lockTable) nextFence() uint64 {
	t.lastFence++
	return t.lastFence
}

func (t *lockTable) add(l *lock) {
	t.byName[l.name] = l
	t.byExpiry.add(l)
}

func (t *lockTable) release(l *lock) {
	delete(t.byName, l.name)
	t.byExpiry.remove(l)
}

func (t *lockTable) extend(l *lock, expires time.Duration) {
	if expires > l.expires {
		l.expires = expires
		t.byExpiry.update(l)
	}
}
