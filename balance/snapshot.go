package balance

import (
	"slices"

	"ivybank/internal/decay"
)

// This file exports and imports the state that an instance has learnt. It must not decide which of it to trust: package
// recall does that for what it stores and passes on.

// Snapshot is what an instance has learnt. All times are ages or times left, in ns, so that no clocks have to agree.
// The tags keep the field names of stored snapshots.
type Snapshot struct {
	Servers      []ServerSnapshot // by ID
	Rate         float64          // answers per second
	Tenants      []TenantRate     // dispatches per second by tenant
	LatencyRatio float64          `json:"Jam"`    // mean time of dispatches over their response target
	MeanTarget   float64          `json:"Target"` // mean response target of requests; 0: unknown
	MeanValue    float64          `json:"Worth"`  // mean billing value of requests; 0: unknown
	Keys         []decay.KeyCount // request counts of popular keys
}

// TenantRate is the dispatch rate of a tenant.
type TenantRate struct {
	Name string
	Rate float64
}

// ServerSnapshot is what is known of one process of a server.
type ServerSnapshot struct {
	ID             string
	Since          int64 // start of the process by the list; the record says nothing of any other process
	Draining       bool  // by the list
	Health         float64
	Streak         int
	Ejections      int
	EjectionLeft   int64   `json:"Left"`  // time left of its ejection; 0: it is in use
	SlotTime       float64 `json:"Unit"`  // mean time per in-flight slot, in ns; 0: unknown
	Latency        float64 `json:"Lat"`   // mean time of an answer, in ns; 0: unknown
	InflightCap    float64 `json:"Grow"`  // in-flight cap
	RefutedShare   float64 `json:"Blips"` // fraction of its answers that followed a failure and so refute it
	LastOutcomeAge int64   `json:"Met"`   // age of the latest outcome that this process saw there itself; -1: none
}

// Snapshot returns what is known now.
func (b *Balancer) Snapshot(now int64) Snapshot {
	perSecond := func(c *decay.Counter) float64 { return c.Now(now, span) * float64(sec) / float64(span) }
	m := Snapshot{Rate: perSecond(&b.answerRate), LatencyRatio: b.latencyRatio, MeanTarget: b.meanTarget.Value,
		MeanValue: b.meanValue.Value, Keys: b.keyCounts.Entries(now, keySpan)}
	for i, t := range b.cfg.Tenants {
		m.Tenants = append(m.Tenants, TenantRate{t.Name, perSecond(&b.tenantRates[i])})
	}
	m.Servers = b.ServerSnapshots(now)
	return m
}

// ServerSnapshots returns what is known of the servers alone.
func (b *Balancer) ServerSnapshots(now int64) (all []ServerSnapshot) {
	for _, s := range b.servers {
		if !s.listed {
			continue
		}
		l := ServerSnapshot{ID: s.ID, Since: s.Since, Draining: s.State == Draining, Health: s.health, Streak: s.streak,
			Ejections: s.ejections, SlotTime: s.slotTime, Latency: s.latency,
			InflightCap: s.inflightCap, RefutedShare: s.refutedShare, LastOutcomeAge: -1}
		if s.ejected {
			l.EjectionLeft = max(1, s.ejectedUntil-now)
		}
		if s.lastOutcomeAt > 0 {
			l.LastOutcomeAge = now - s.lastOutcomeAt
		}
		all = append(all, l)
	}
	return all
}

// Restore imports what was known of servers of which this process has seen no outcome itself. It is called after
// UpdateList.
func (b *Balancer) Restore(m Snapshot, now int64) {
	for _, l := range m.Servers {
		i, had := slices.BinarySearchFunc(b.servers, l.ID, byID)
		if !had || b.servers[i].Since != l.Since || b.servers[i].lastOutcomeAt > 0 {
			continue
		}
		s := b.servers[i]
		s.health, s.streak, s.ejections = max(minHealth, l.Health), l.Streak, l.Ejections
		s.ejected, s.ejectedUntil = l.EjectionLeft > 0, now+l.EjectionLeft
		s.slotTime, s.latency, s.refutedShare, s.answeredAt = l.SlotTime, l.Latency, l.RefutedShare, now
		if s.inflightCap = max(1, l.InflightCap); b.rampCapacity(s, now) < 1 { // a cold server starts with the default cap
			s.inflightCap = min(s.inflightCap, newServerCap)
		}
	}
	if m.Rate > b.answerRate.Now(now, span)*float64(sec)/float64(span) {
		b.answerRate = decay.Counter{Value: m.Rate * float64(span) / float64(sec), At: now}
		b.rateStart = min(b.rateStart, now-10*span) // the imported rate covers the whole span
	}
	for _, x := range m.Tenants {
		if i := b.cfg.Tenant(x.Name); i >= 0 {
			b.tenantRates[i] = decay.Counter{
				Value: max(b.tenantRates[i].Now(now, span), x.Rate*float64(span)/float64(sec)), At: now}
		}
	}
	b.latencyRatio = max(b.latencyRatio, m.LatencyRatio)
	if m.MeanTarget > 0 && b.meanTarget.Value == 0 {
		b.meanTarget.Add(m.MeanTarget)
		b.meanValue.Add(m.MeanValue)
	}
	b.reviewNow = true
	b.keyCounts.Restore(m.Keys, now)
}
