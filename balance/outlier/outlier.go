// Package outlier tracks one host's health as one proxy sees it: an average of outcomes, a streak of consecutive
// failures, and an ejection with a growing, jittered backoff. It does no I/O; callers pass in time and random numbers.
package outlier

import "time"

// Parameters of outlier detection, see docs/design.md.
const (
	Alpha               = 0.3  // weight of the newest outcome in a host's health
	MinHealth           = 0.05 // lower bound of the health
	ConsecutiveFailures = 2    // consecutive failures that eject a host
	BackoffJitter       = 0.2  // random fraction of a backoff, either way
	FirstBackoff        = 5 * time.Second
	MaxBackoff          = 30 * time.Second
	RecoveredHealth     = 0.9 // health above which the backoff starts over
	maxDoublings        = 10
)

// Record is one host's health as one proxy sees it.
type Record struct {
	Health       float64
	Streak       int // consecutive failures
	Ejections    int // since the host last recovered
	Ejected      bool
	EjectedUntil time.Duration // end of the ejection
}

// NextHealth returns the health after one more outcome.
func NextHealth(health float64, ok bool) float64 {
	if health *= 1 - Alpha; ok {
		health += Alpha
	}
	return max(MinHealth, health)
}

// Backoff returns the duration of an ejection after that many earlier ones; random is a random number between 0 and 1.
func Backoff(first time.Duration, ejections int, random float64) time.Duration {
	backoff := min(MaxBackoff, first<<min(ejections, maxDoublings))
	return time.Duration(float64(backoff) * (1 + BackoffJitter*(2*random-1)))
}

// Success records an attempt that succeeded.
func (r *Record) Success() {
	if r.Streak = 0; r.Health > RecoveredHealth {
		r.Ejections = 0
	}
	r.Health = NextHealth(r.Health, true)
	r.Ejected = false
}

// Failure records an attempt that failed, and ejects the host after enough consecutive ones. It reports whether it did.
func (r *Record) Failure(first time.Duration, random float64, now time.Duration) bool {
	r.Health = NextHealth(r.Health, false)
	r.Streak++
	if r.Ejected && now < r.EjectedUntil || r.Streak < ConsecutiveFailures {
		return false
	}
	r.Ejected, r.EjectedUntil = true, now+Backoff(first, r.Ejections, random)
	r.Ejections++
	return true
}

// IsEjected reports whether the host is ejected at now.
func (r *Record) IsEjected(now time.Duration) bool { return r.Ejected && now < r.EjectedUntil }

// IsProbing reports whether an ejection has ended and no attempt has succeeded since: one more failure ejects again.
func (r *Record) IsProbing(now time.Duration) bool { return r.Ejected && now >= r.EjectedUntil }
