package lease

// This file holds the admission path: an immutable list of limits with atomic counters. It must never block on
// the rest of the member, allocate, or admit by usable units that were not refreshed lately.

import "sync/atomic"

const maxTickAge = 200 * ms // above it since the latest tick nothing is admitted

// Scope is the rule set and the tenant by which a req is matched to limits.
type Scope struct{ RuleSet, Tenant string }

// Limiter admits reqs by the limits in force. A req that it admitted is released on the same Limiter.
type Limiter struct {
	limits   []*localLimit
	lastTick *atomic.Int64
}

// localLimit is what the admission path sees of one limit.
type localLimit struct {
	scope      Scope
	isInFlight bool
	period     int64 // ns; Rate only
	retryAfter int64

	validUntil, units, tokens, active, attempts, denied atomic.Int64
}

func newLocalLimit(l *Limit) *localLimit {
	return &localLimit{scope: Scope{l.RuleSet, l.Tenant}, isInFlight: l.Kind == InFlight, period: l.Period,
		retryAfter: l.LeaseDuration / renewalsPerLease}
}

// publishLimiter replaces the Limiter that the admission path reads.
func (m *Member) publishLimiter(now int64) {
	lim := &Limiter{lastTick: &m.lastTick}
	for _, l := range m.limits {
		m.publishUnits(l, now)
		lim.limits = append(lim.limits, l.holder.local)
	}
	m.lastTick.Store(now)
	m.limiter.Store(lim)
}

// Limiter returns the Limiter in force. It is safe for concurrent use.
func (m *Member) Limiter() *Limiter { return m.limiter.Load() }

func (l *localLimit) matches(s Scope) bool {
	return (l.scope.RuleSet == "" || l.scope.RuleSet == s.RuleSet) &&
		(l.scope.Tenant == "" || l.scope.Tenant == s.Tenant)
}

// Admit reports whether all limits that match a req admit it, and otherwise after how many ns its client may
// retry. An admitted req must be released by Done. It is safe for concurrent use; with a clock that reads less
// than at the latest tick nothing is admitted.
func (lim *Limiter) Admit(s Scope, now int64) (ok bool, retry int64) {
	age := now - lim.lastTick.Load()
	for i, l := range lim.limits {
		if !l.matches(s) {
			continue
		}
		l.attempts.Add(1)
		if ok, retry = false, l.retryAfter; age >= 0 && age <= maxTickAge && now < l.validUntil.Load() {
			ok, retry = l.acquire()
		}
		if !ok {
			l.denied.Add(1)
			for _, taken := range lim.limits[:i] {
				if taken.matches(s) {
					taken.release()
				}
			}
			return false, retry
		}
	}
	return true, 0
}

// Done releases a req that this Limiter admitted and that has ended, or will never run.
func (lim *Limiter) Done(s Scope) {
	for _, l := range lim.limits {
		if l.isInFlight && l.matches(s) {
			l.active.Add(-1)
		}
	}
}

// acquire takes one unit or token, or returns the approximate wait for one, in ns.
func (l *localLimit) acquire() (ok bool, retry int64) {
	if l.isInFlight {
		if l.active.Add(1) <= l.units.Load() {
			return true, 0
		}
		l.active.Add(-1)
		return false, l.retryAfter
	}
	if l.tokens.Add(-1) >= 0 {
		return true, 0
	}
	l.tokens.Add(1)
	if n := l.units.Load(); n > 0 {
		return false, l.period / n
	}
	return false, l.retryAfter
}

// release undoes acquire for a req that another limit denied.
func (l *localLimit) release() {
	if l.isInFlight {
		l.active.Add(-1)
	} else {
		l.tokens.Add(1)
	}
}
