package proxy

// This file owns limits of the whole fleet on the proxy's side: the lease core's ticks and datagrams, and the
// word that a req gets. It must never decide who holds how much, nor let a req wait for that. The core lives
// whether peers are heard or not: unheard, a strict limit lets nothing in and a bounded one its floor.

import (
	"reflect"

	"ivybank/fleet/lease"
	"ivybank/fleet/swim"
)

const limitsLate = 100e6 // a core that was not ticked for so long is, before it is asked

// limits is the owner's side of them.
type limits struct {
	*lease.Member
	terms  lease.Terms
	ticked int64
	timer  *timer
	bad    int64 // datagrams that are none
}

// but is a fleet with another's limits.
func (x Fleet) but(y *Fleet) Fleet {
	x.Limits, x.Voters, x.Drift = y.Limits, y.Voters, y.Drift
	return x
}

// relimit takes the limits as they are from now on. With other members all begins anew; what was held is
// given back first.
func (p *Proxy) relimit(x *Fleet, now int64) {
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

// leaveLimits gives back what is held.
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

// hearLimits takes a datagram that speaks of leases.
func (p *Proxy) hearLimits(q *peers, place int, b []byte, now int64) {
	l := p.limits
	if l == nil {
		q.drops.Version++ // a build or a file that knows no limits says the same
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

// sendLimits sends what the core has to say; unheard it is lost, as any datagram may be.
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

// limited says whether a limit of the fleet denies a req, and for how long its client is to stay away.
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

// unlimit gives back what a req took of work in flight.
func (r *req) unlimit() {
	if r.book != nil {
		r.book.Done(lease.Scope{RuleSet: r.call.RuleSet, Tenant: r.call.Tenant})
		r.book = nil
	}
}

// limitsStatus is what operators are told of limits.
func (p *Proxy) limitsStatus(now int64) []lease.Status {
	if p.limits == nil {
		return nil
	}
	return p.limits.Status(now)
}
