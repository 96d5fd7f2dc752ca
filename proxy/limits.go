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
const maxLimitTickAgeNs = 100e6

// limits is the event loop's state of the fleet-wide limits.
type limits struct {
	*lease.Member
	terms        lease.Config
	lastTick     int64
	timer        *timer
	badDatagrams int64 // undecodable datagrams and those with a wrong sender
}

// withLimitsOf returns c with the limits of other.
func (c FleetConfig) withLimitsOf(other *FleetConfig) FleetConfig {
	c.Limits, c.Voters, c.Drift = other.Limits, other.Voters, other.Drift
	return c
}

// reconfigureLimits applies new limits. If the members changed, the core starts anew, after what was held is given
// back.
func (p *Proxy) reconfigureLimits(cfg *FleetConfig, now int64) {
	var terms lease.Config
	if cfg != nil && len(cfg.Limits) > 0 {
		terms = lease.Config{Index: cfg.Terms.Index, Members: len(cfg.Peers), Voters: cfg.Voters, DriftPPM: cfg.Drift,
			Limits: cfg.Limits}
	}
	if l := p.limits; l != nil {
		unchanged := l.terms
		if unchanged.Limits = terms.Limits; reflect.DeepEqual(unchanged, terms) {
			l.terms = terms
			l.Member.SetLimits(terms.Limits, now)
			return
		}
		p.releaseLimits(now)
	}
	if terms.Members == 0 {
		return
	}
	l := &limits{terms: terms, lastTick: now}
	terms.Incarnation, terms.Seed = swim.IncarnationAt(now), p.terms.Seed^4
	l.Member = lease.New(terms, now)
	p.limits = l
	p.tickLimits(now)
}

// releaseLimits gives back what is held.
func (p *Proxy) releaseLimits(now int64) {
	if l := p.limits; l != nil {
		p.stop(l.timer)
		l.Leave(now)
		p.sendLimits()
		p.limits = nil
	}
}

func (p *Proxy) tickLimits(now int64) {
	l := p.limits
	if ps := p.peers; ps != nil {
		p.readDatagrams(ps, now)
	}
	l.Tick(now)
	l.lastTick = now
	p.sendLimits()
	p.stop(l.timer)
	l.timer = p.after(now, lease.TickInterval, p.tickLimits)
}

// handleLimitDatagram handles a datagram of the lease protocol.
func (p *Proxy) handleLimitDatagram(ps *peers, member int, b []byte, now int64) {
	l := p.limits
	if l == nil {
		ps.drops.Version++ // a build or configuration without limits counts it the same way
		return
	}
	d, err := lease.Decode(ps.fleetID, b)
	if err != nil || d.From != member {
		l.badDatagrams++
		return
	}
	l.Receive(&d, now)
	p.sendLimits()
}

// sendLimits sends the core's datagrams; without peers they are lost, as any datagram may be.
func (p *Proxy) sendLimits() {
	ps := p.peers
	for to, d, ok := p.limits.NextDatagram(); ok; to, d, ok = p.limits.NextDatagram() {
		if ps == nil || to >= len(ps.Peers) {
			continue
		}
		b, err := lease.Encode(ps.fleetID, &d)
		if err == nil {
			_, err = ps.conn.WriteToUDPAddrPort(b, ps.Peers[to])
		}
		if err != nil {
			ps.drops.Unsent++
		}
	}
}

// deniedByLimit reports whether a fleet-wide limit denies a request, and for how many ns the client is to back off.
func (p *Proxy) deniedByLimit(r *request) (denied bool, retryAfter int64) {
	l := p.limits
	if l == nil {
		return false, 0
	}
	now := p.now()
	if now-l.lastTick > maxLimitTickAgeNs {
		p.tickLimits(now)
		now = p.now()
	}
	book := l.Limiter()
	admitted, retryAfter := book.Admit(lease.Scope{RuleSet: r.msg.RuleSet, Tenant: r.msg.Tenant}, now)
	if admitted {
		r.limiter = book
	}
	return !admitted, retryAfter
}

// releaseLimit gives back the request's share of work in flight.
func (r *request) releaseLimit() {
	if r.limiter != nil {
		r.limiter.Done(lease.Scope{RuleSet: r.msg.RuleSet, Tenant: r.msg.Tenant})
		r.limiter = nil
	}
}

// limitsStatus returns the limits' status for operators.
func (p *Proxy) limitsStatus(now int64) []lease.Status {
	if p.limits == nil {
		return nil
	}
	return p.limits.Status(now)
}
