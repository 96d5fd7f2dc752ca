package coordclient

import "time"

const (
	// renewalsOfHold is how often a lock is renewed within the time for which it is asked.
	renewalsOfHold = 3
	// marginOfHold is the part of that time, at most longestMargin, by which the holder stops early.
	marginOfHold  = 10
	longestMargin = time.Second
)

// tenure is for how long a holder may count on its lock. The fleet counts the hold from a moment after the call was sent, so
// counting from the sending ends it early, never late. It does no I/O and reads no clock.
type tenure struct {
	hold time.Duration
	sent time.Time // the last good call
}

// margin is how much earlier than the hold the tenure ends.
func (t *tenure) margin() time.Duration { return min(t.hold/marginOfHold, longestMargin) }

// end is when the holder stops.
func (t *tenure) end() time.Time { return t.sent.Add(t.hold - t.margin()) }

// over says whether the holder has to have stopped.
func (t *tenure) over(now time.Time) bool { return !now.Before(t.end()) }

// renewalDue is when the next renewal is to be sent.
func (t *tenure) renewalDue() time.Time { return t.sent.Add(t.hold / renewalsOfHold) }

// renew takes a good answer that came at a moment to a call that was sent at another. One that comes after the end has no
// effect: the holder has stopped, and doesn't begin again.
func (t *tenure) renew(sent, now time.Time) {
	if !t.over(now) && sent.After(t.sent) {
		t.sent = sent
	}
}
