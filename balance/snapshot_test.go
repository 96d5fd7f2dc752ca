package balance

import "testing"

// State that one instance exports must be imported by another: the same ejections, times and rates, but nothing of
// another process of a server.
func TestMemoryRoundTrip(t *testing.T) {
	source := newBalancer(4, func(t *Config) { t.Tenants = []Tenant{{Name: "x", Share: 1}} })
	now := 60 * sec
	for i := range 200 {
		now += 20 * ms
		id := uint64(i + 1)
		source.AddRequest(Arrival{ID: id, RuleSet: "replayable", Tenant: "x", Key: "k", Budget: 2 * sec}, now)
		for _, d := range drain(source, now, Dispatch) {
			o := Served
			if d.Server == "a" {
				o = Errored
			}
			source.Finished(d.Request, 0, o, true, 10*ms, now+10*ms)
		}
	}
	// All requests have the same key and may have gone to other servers only.
	a := source.servers[0]
	a.lastOutcomeAt, a.health = now, 0.3
	source.eject(a, now)
	m := source.Snapshot(now + sec)
	other := newBalancer(4, func(t *Config) { t.Tenants = []Tenant{{Name: "x", Share: 1}} })
	other.servers[3].Since = 5
	later := now + 3*sec
	other.Restore(m, later)
	assertNear(t, "rate", other.answerRate.Now(later, span), source.answerRate.Now(now+sec, span), 0.01)
	assertNear(t, "rate of the tenant", other.tenantRates[0].Now(later, span),
		source.tenantRates[0].Now(now+sec, span), 0.01)
	x := other.servers[0]
	if !x.ejected || x.health != 0.3 || x.ejectedUntil-later != a.ejectedUntil-now-sec || x.lastOutcomeAt != 0 {
		t.Errorf("got %+v, want it ejected for the time that was left, and without an outcome of its own", x)
	}
	if b := other.servers[1]; b.latency != source.servers[1].latency || b.slotTime != source.servers[1].slotTime {
		t.Errorf("got latency %v and slot time %v", b.latency, b.slotTime)
	}
	if d := other.servers[3]; d.latency != 0 {
		t.Error("state of another process was imported")
	}
	if len(m.Keys) != 1 {
		t.Errorf("%d popular keys", len(m.Keys))
	}
	// Servers with outcomes of its own are not overwritten.
	other.servers[1].lastOutcomeAt, other.servers[1].health = later, 0.8
	other.Restore(Snapshot{Servers: []ServerSnapshot{{ID: "b", Health: 0.1, EjectionLeft: sec}}}, later)
	if b := other.servers[1]; b.ejected || b.health != 0.8 {
		t.Errorf("got %+v, want its own state to be kept", b)
	}
}

// A server whose ejection was imported gets no requests, and returns like any other ejected server.
func TestImportedEjection(t *testing.T) {
	b := newBalancer(2, nil)
	b.Restore(Snapshot{Servers: []ServerSnapshot{{ID: "a", Health: 0.2, Streak: 2, EjectionLeft: 2 * sec,
		Ejections: 1, InflightCap: 3}}}, sec)
	for i := range uint64(20) {
		b.AddRequest(Arrival{ID: i + 1, RuleSet: "replayable", Key: "k" + string(rune('a'+i)), Budget: 2 * sec}, sec)
		for _, d := range drain(b, sec, Dispatch) {
			if d.Server == "a" {
				t.Fatal("dispatched to an ejected server")
			}
			b.Finished(d.Request, 0, Served, true, 10*ms, sec)
		}
	}
	b.reviewServers(4 * sec)
	if a := b.servers[0]; a.ejected || a.streak != b.ejectionStreak()-1 {
		t.Errorf("got %+v, want it back, one failure short of the next ejection", a)
	}
}
