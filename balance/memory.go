package balance

import (
	"slices"

	"ivybank/internal/fade"
)

// This file exports and imports the state that an instance has learnt. It must not decide which of it to trust: package
// recall does that for what it stores and passes on.

// Memory is what an instance has learnt. All times are ages or times left, in ns, so that no clocks have to agree.
type Memory struct {
	Servers []Learnt    // by ID
	Rate    float64     // answers per second
	Tenants []Load      // dispatches per second by tenant
	Jam     float64     // mean time of dispatches over their response target
	Target  float64     // mean response target of requests; 0: unknown
	Worth   float64     // mean billing value of requests; 0: unknown
	Keys    []fade.Part // request counts of popular keys
}

// Load is the dispatch rate of a tenant.
type Load struct {
	Name string
	Rate float64
}

// Learnt is what is known of one process of a server.
type Learnt struct {
	ID        string
	Since     int64 // start of the process by the list; the record says nothing of any other process
	Draining  bool  // by the list
	Health    float64
	Streak    int
	Ejections int
	Left      int64   // time left of its ejection; 0: it is in use
	Unit, Lat float64 // mean time per in-flight slot and per answer, in ns; 0: unknown
	Grow      float64 // in-flight cap
	Blips     float64 // fraction of its answers that followed a failure and so refute it
	Met       int64   // age of the latest outcome that this process saw there itself; -1: none
}

// Memory returns what is known now.
func (b *Balancer) Memory(now int64) Memory {
	perSecond := func(c *fade.Count) float64 { return c.Now(now, span) * float64(sec) / float64(span) }
	m := Memory{Rate: perSecond(&b.answerRate), Jam: b.latencyRatio, Target: b.meanTarget.V, Worth: b.meanValue.V, Keys: b.keyCounts.Parts(now, keySpan)}
	for i, t := range b.cfg.Tenants {
		m.Tenants = append(m.Tenants, Load{t.Name, perSecond(&b.tenantRates[i])})
	}
	m.Servers = b.Learnt(now)
	return m
}

// Learnt returns what is known of the servers alone.
func (b *Balancer) Learnt(now int64) (all []Learnt) {
	for _, s := range b.servers {
		if !s.listed {
			continue
		}
		l := Learnt{ID: s.ID, Since: s.Since, Draining: s.State == Draining, Health: s.health, Streak: s.streak, Ejections: s.ejections,
			Unit: s.slotTime, Lat: s.latency, Grow: s.inflightCap, Blips: s.refutedShare, Met: -1}
		if s.ejected {
			l.Left = max(1, s.ejectedUntil-now)
		}
		if s.lastOutcomeAt > 0 {
			l.Met = now - s.lastOutcomeAt
		}
		all = append(all, l)
	}
	return all
}

// Recall imports what was known of servers of which this process has seen no outcome itself. It is called after Listed.
func (b *Balancer) Recall(m Memory, now int64) {
	for _, l := range m.Servers {
		i, had := slices.BinarySearchFunc(b.servers, l.ID, byID)
		if !had || b.servers[i].Since != l.Since || b.servers[i].lastOutcomeAt > 0 {
			continue
		}
		s := b.servers[i]
		s.health, s.streak, s.ejections = max(minHealth, l.Health), l.Streak, l.Ejections
		s.ejected, s.ejectedUntil = l.Left > 0, now+l.Left
		s.slotTime, s.latency, s.refutedShare, s.answeredAt = l.Unit, l.Lat, l.Blips, now
		if s.inflightCap = max(1, l.Grow); b.rampCapacity(s, now) < 1 { // a cold server starts with the default cap
			s.inflightCap = min(s.inflightCap, newServerCap)
		}
	}
	if m.Rate > b.answerRate.Now(now, span)*float64(sec)/float64(span) {
		b.answerRate = fade.Count{N: m.Rate * float64(span) / float64(sec), At: now}
		b.rateStart = min(b.rateStart, now-10*span) // the imported rate covers the whole span
	}
	for _, x := range m.Tenants {
		if i := b.cfg.Tenant(x.Name); i >= 0 {
			b.tenantRates[i] = fade.Count{N: max(b.tenantRates[i].Now(now, span), x.Rate*float64(span)/float64(sec)), At: now}
		}
	}
	b.latencyRatio = max(b.latencyRatio, m.Jam)
	if m.Target > 0 && b.meanTarget.V == 0 {
		b.meanTarget.Add(m.Target)
		b.meanValue.Add(m.Worth)
	}
	b.reviewNow = true
	b.keyCounts.Recall(m.Keys, now)
}
