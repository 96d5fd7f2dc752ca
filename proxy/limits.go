package proxy

// This file connects the fleet-wide limits to the proxy: the lease core's ticks and datagrams, and the decision for
// each request. It must never decide how much each member may use, nor let a request wait for that. The core runs
// with or without peers: without them a strict limit admits nothing and a bounded one its floor.

import (
	"reflect"

	"ivybank/fleet/lease"
	"ivybank/fleet/swim"
)

// maxLimitTickAgeNs bounds the age of the last tick: above it the core is ticked before it is asked.
const limitsLate = 100e6

// limits is the event loop's state of the fleet-wide limits.
type limits struct {
	*lease.Member
	terms  lease.Terms
	ticked int64
	timer  *timer
	bad    int64 // undecodable datagrams and those with a wrong sender
}

// withLimitsOf returns c with the limits of other.
func (x FleetConfig) but(y *FleetConfig) FleetConfig {
	x.Limits, x.Voters, x.Drift = y.Limits, y.Voters, y.Drift
	return x
}

// reconfigureLimits applies new limits. If the members changed, the core starts anew, after what was held is given
// back.
func (p *Proxy) relimit(x *FleetConfig, now int64) {
	var t lease.Terms
	if x != nil && len(x.Limits) > 0 {
		t = lease.Terms{Me: x.Terms.Me, Of: len(x.Peers), Voters: x.Voters, Drift: x.Drift, Limits: x.Limits}
	}
	if l := p.limits; l != nil {
		same := l.terms
		if same.Limits = t.Limits; reflect.DeepEqual(same, t) {
			l.terms = t
			l.Member.Limits(t.Limits, now)
			return
		}
		p.leaveLimits(now)
	}
	if t.Of == 0 {
		return
	}
	l := &limits{terms: t, ticked: now}
	t.Life, t.Seed = swim.LifeOf(now), p.terms.Seed^4
	l.Member = lease.New(t, now)
	p.limits = l
	p.tickLimits(now)
}

// releaseLimits gives back what is held.
func (p *Proxy) leaveLimits(now int64) {
	if l := p.limits; l != nil {
		p.stop(l.timer)
		l.Leave(now)
		p.sendLimits()
		p.limits = nil
	}
}

func (p *Proxy) tickLimits(now int64) {
	l := p.limits
	if q := p.peers; q != nil {
		p.hear(q, now)
	}
	l.Tick(now)
	l.ticked = now
	p.sendLimits()
	p.stop(l.timer)
	l.timer = p.after(now, lease.TickEvery, p.tickLimits)
}

// handleLimitDatagram handles a datagram of the lease protocol.
func (p *Proxy) hearLimits(q *peers, place int, b []byte, now int64) {
	l := p.limits
	if l == nil {
		q.drops.Version++ // a build or configuration without limits counts it the same way
		return
	}
	d, err := lease.Decode(q.name, b)
	if err != nil || d.From != place {
		l.bad++
		return
	}
	l.Heard(&d, now)
	p.sendLimits()
}

// sendLimits sends the core's datagrams; without peers they are lost, as any datagram may be.
func (p *Proxy) sendLimits() {
	q := p.peers
	for to, d, ok := p.limits.Next(); ok; to, d, ok = p.limits.Next() {
		if q == nil || to >= len(q.Peers) {
			continue
		}
		b, err := lease.Encode(q.name, &d)
		if err == nil {
			_, err = q.conn.WriteToUDPAddrPort(b, q.Peers[to])
		}
		if err != nil {
			q.drops.Unsent++
		}
	}
}

// deniedByLimit reports whether a fleet-wide limit denies a request, and for how many ns the client is to back off.
func (p *Proxy) limited(r *req) (denied bool, back int64) {
	l := p.limits
	if l == nil {
		return false, 0
	}
	now := p.now()
	if now-l.ticked > limitsLate {
		p.tickLimits(now)
		now = p.now()
	}
	book := l.Book()
	ok, back := book.Admit(lease.Scope{RuleSet: r.call.RuleSet, Tenant: r.call.Tenant}, now)
	if ok {
		r.book = book
	}
	return !ok, back
}

// releaseLimit gives back the request's share of work in flight.
func (r *req) unlimit() {
	if r.book != nil {
		r.book.Done(lease.Scope{RuleSet: r.call.RuleSet, Tenant: r.call.Tenant})
		r.book = nil
	}
}

// limitsStatus returns the limits' status for operators.
func (p *Proxy) limitsStatus(now int64) []lease.Status {
	if p.limits == nil {
		return nil
	}
	return p.limits.Status(now)
}
