package lease

// This file owns what the req path reads: one immutable list of lines, whose numbers are counted down in
// place. It must never wait for a member's other parts, allocate, or let in by a picture that was not looked
// after lately.

import "sync/atomic"

const stale = 200 * ms // a picture that was not ticked for so long lets nothing in

// Scope is what a req is counted by.
type Scope struct{ RuleSet, Tenant string }

// Limiter is the limits in force. What was let in by one is given back to the same.
type Limiter struct {
	lines []*line
	tick  *atomic.Int64
}

// line is one limit as reqs see it.
type line struct {
	scope  Scope
	flight bool
	per    int64 // ns, Rate
	retry  int64

	until, units, left, open, tries, denied atomic.Int64
}

func newLine(l *Limit) *line {
	return &line{scope: Scope{l.RuleSet, l.Tenant}, flight: l.Kind == InFlight, per: l.Period,
		retry: l.LeaseDuration / renewals}
}

// publish puts the limits before the req path.
func (m *Member) publish(now int64) {
	b := &Limiter{tick: &m.tick}
	for _, l := range m.limits {
		m.show(l, now)
		b.lines = append(b.lines, l.hold.line)
	}
	m.tick.Store(now)
	m.book.Store(b)
}

// Limiter is the limits in force. Any goroutine may ask for it.
func (m *Member) Limiter() *Limiter { return m.book.Load() }

func (x *line) meets(s Scope) bool {
	return (x.scope.RuleSet == "" || x.scope.RuleSet == s.RuleSet) &&
		(x.scope.Tenant == "" || x.scope.Tenant == s.Tenant)
}

// Admit says whether a req may come in by all limits that it meets, or for how many ns its client is to stay
// away. What it took is to be given back by Done. Any goroutine may call it; a clock that reads less than at
// the latest tick lets nothing in.
func (b *Limiter) Admit(s Scope, now int64) (ok bool, retry int64) {
	fresh := now - b.tick.Load()
	for i, x := range b.lines {
		if !x.meets(s) {
			continue
		}
		x.tries.Add(1)
		if ok, retry = false, x.retry; fresh >= 0 && fresh <= stale && now < x.until.Load() {
			ok, retry = x.take()
		}
		if !ok {
			x.denied.Add(1)
			for _, y := range b.lines[:i] {
				if y.meets(s) {
					y.give()
				}
			}
			return false, retry
		}
	}
	return true, 0
}

// Done tells that a req that this book let in runs no more, nor will.
func (b *Limiter) Done(s Scope) {
	for _, x := range b.lines {
		if x.flight && x.meets(s) {
			x.open.Add(-1)
		}
	}
}

// take takes one, or tells how long it is about until there is one.
func (x *line) take() (ok bool, retry int64) {
	if x.flight {
		if x.open.Add(1) <= x.units.Load() {
			return true, 0
		}
		x.open.Add(-1)
		return false, x.retry
	}
	if x.left.Add(-1) >= 0 {
		return true, 0
	}
	x.left.Add(1)
	if n := x.units.Load(); n > 0 {
		return false, x.per / n
	}
	return false, x.retry
}

// give takes back what another limit did not let come in.
func (x *line) give() {
	if x.flight {
		x.open.Add(-1)
	} else {
		x.left.Add(1)
	}
}
