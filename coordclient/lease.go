package coordclient

import "time"

const (
	// renewalsPerHold is how often a lock is renewed within the time for which it is asked.
	renewalsPerHold = 3
	// marginDivisor is the part of that time, at most longestMargin, by which the holder stops early.
	marginDivisor = 10
	maxMargin     = time.Second
)

// lease is for how long a holder may count on its lock. The fleet counts the hold from a moment after the call was sent, so
// counting from the sending ends it early, never late. It does no I/O and reads no clock.
type lease struct {
	hold time.Duration
	sent time.Time // the last good call
}

// margin is how much earlier than the hold the tenure ends.
func (t *lease) margin() time.Duration { return min(t.hold/marginDivisor, maxMargin) }

// end is when the holder stops.
func (t *lease) end() time.Time { return t.sent.Add(t.hold - t.margin()) }

// expired says whether the holder has to have stopped.
func (t *lease) expired(now time.Time) bool { return !now.Before(t.end()) }

// renewalDue is when the next renewal is to be sent.
func (t *lease) renewalDue() time.Time { return t.sent.Add(t.hold / renewalsPerHold) }

// renew takes a good answer that came at a moment to a call that was sent at another. One that comes after the end has no
// effect: the holder has stopped, and doesn't begin again.
func (t *lease) renew(sent, now time.Time) {
	if !t.expired(now) && sent.After(t.sent) {
		t.sent = sent
	}
}
