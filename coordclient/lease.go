package coordclient

import "time"

const (
	// renewalsPerHold is how many times a lock is renewed within one hold.
	renewalsPerHold = 3
	// marginDivisor divides the hold into the margin, at most maxMargin, by which the holder stops early.
	marginDivisor = 10
	maxMargin     = time.Second
)

// lease is the time for which a holder may rely on its lock. The fleet counts the hold from some time after the call
// was sent, so a lease that counts from the sending ends early and never late. It does no I/O and reads no clock.
type lease struct {
	hold time.Duration
	sent time.Time // when the last successful call was sent
}

// margin returns by how much the lease is shorter than the hold.
func (l *lease) margin() time.Duration { return min(l.hold/marginDivisor, maxMargin) }

// end returns when the holder has to stop.
func (l *lease) end() time.Time { return l.sent.Add(l.hold - l.margin()) }

// expired reports whether the holder must have stopped.
func (l *lease) expired(now time.Time) bool { return !now.Before(l.end()) }

// renewalDue returns when the next renewal is to be sent.
func (l *lease) renewalDue() time.Time { return l.sent.Add(l.hold / renewalsPerHold) }

// renew extends the lease by a successful call that was sent at one time and answered now. An answer after the end has
// no effect: the holder has stopped and must not resume.
func (l *lease) renew(sent, now time.Time) {
	if !l.expired(now) && sent.After(l.sent) {
		l.sent = sent
	}
}
