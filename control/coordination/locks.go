package coordination

import (
	"time"

	"ivybank/wire"
)

// lock is a held lock. Free locks are not stored.
type lock struct {
	name   string
	holder string
	// firstFence is the fencing token with which the holder acquired the lock while it was free; fence is the newest
	// one that it has been granted since. The tokens from firstFence to fence belong to the same uninterrupted hold; a
	// lower token belongs to a hold that ended before.
	firstFence uint64
	fence      uint64
	expires    time.Duration // group time at which the lock becomes free
	heapIndex  int           // position in lockTable.byExpiry
}

// lockTable holds the held locks and the fence counter. One counter serves all locks, so the fences of a lock increase
// even though nothing is stored about a free lock.
//
// A call may arrive late and more than once. Each granted Begin gets a higher fence, so a late Finish of an earlier
// hold of the same holder never has the newest fence and releases nothing. After a late Begin its caller has a fence
// that is no longer the newest one: its Heartbeat is still accepted within the same uninterrupted hold, and its Finish
// has no effect, so the lock expires.
type lockTable struct {
	lastFence uint64 // the newest fence that was granted
	byName    map[string]*lock
	byExpiry  expiryHeap
}

func newLockTable() lockTable { return lockTable{byName: map[string]*lock{}} }

// expire releases the locks that have expired at a group time. All locks that remain are held at that time.
func (t *lockTable) expire(at time.Duration) {
	for len(t.byExpiry) > 0 && t.byExpiry[0].expires <= at {
		t.release(t.byExpiry[0])
	}
}

// begin acquires a free lock, or renews the lock for its current holder with a new fence.
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

// acquire gives a free lock to the holder that a command names.
func (t *lockTable) acquire(c *wire.Command, at time.Duration) *lock {
	fence := t.nextFence()
	acquired := &lock{name: c.Name, holder: c.Holder, firstFence: fence, fence: fence, expires: at + holdDuration(c)}
	t.add(acquired)
	return acquired
}

// heartbeat extends the hold of a lock and never shortens it. It accepts any fence of the current uninterrupted hold.
func (t *lockTable) heartbeat(c *wire.Command, at time.Duration) wire.Answer {
	held := t.byName[c.Name]
	if held == nil || held.holder != c.Holder || c.Fence < held.firstFence || c.Fence > held.fence {
		return wire.Answer{Outcome: wire.LockLost}
	}
	t.extend(held, at+holdDuration(c))
	return wire.Answer{Outcome: wire.Done}
}

// finish releases a lock if the caller has its newest fence. It is answered Done in any case.
func (t *lockTable) finish(c *wire.Command) wire.Answer {
	held := t.byName[c.Name]
	if held != nil && held.holder == c.Holder && held.fence == c.Fence {
		t.release(held)
	}
	return wire.Answer{Outcome: wire.Done}
}

// heldByOther reports whether a holder other than the caller holds the lock at a group time. That time may be later
// than the newest one that was applied.
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
