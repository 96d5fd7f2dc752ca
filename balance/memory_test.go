package balance

import "testing"

// What one instance hands out another takes: the same servers out, the same pace and rate; of another process of a server nothing.
func TestMemoryThereAndBack(t *testing.T) {
	one := fleet(4, func(t *Terms) { t.Tenants = []Tenant{{Name: "x", Share: 1}} })
	now := 60 * sec
	for i := range 200 {
		now += 20 * ms
		id := uint64(i + 1)
		one.Req(Arrival{ID: id, RuleSet: "again", Tenant: "x", Key: "k", Budget: 2 * sec}, now)
		for _, d := range pull(one, now, Dispatch) {
			o := Served
			if d.Server == "a" {
				o = Errored
			}
			one.Finished(d.Req, 0, o, true, 10*ms, now+10*ms)
		}
	}
	// The keyed reqs may have gone to others alone.
	a := one.servers[0]
	a.used, a.health = now, 0.3
	one.eject(a, now)
	m := one.Memory(now + sec)
	other := fleet(4, func(t *Terms) { t.Tenants = []Tenant{{Name: "x", Share: 1}} })
	other.servers[3].Since = 5
	later := now + 3*sec
	other.Recall(m, later)
	near(t, "rate", other.rate.Now(later, span), one.rate.Now(now+sec, span), 0.01)
	near(t, "of the tenant", other.served[0].Now(later, span), one.served[0].Now(now+sec, span), 0.01)
	x := other.servers[0]
	if !x.ejected || x.health != 0.3 || x.until-later != a.until-now-sec || x.used != 0 {
		t.Errorf("got %+v, want it out for what was left, and not to be told as met here", x)
	}
	if b := other.servers[1]; b.lat != one.servers[1].lat || b.unit != one.servers[1].unit {
		t.Errorf("got pace %v and %v", b.lat, b.unit)
	}
	if d := other.servers[3]; d.lat != 0 {
		t.Error("what was known of another process was taken")
	}
	if len(m.Keys) != 1 {
		t.Errorf("%d popular keys", len(m.Keys))
	}
	// What it has met itself since then is not overwritten.
	other.servers[1].used, other.servers[1].health = later, 0.8
	other.Recall(Memory{Servers: []Learnt{{ID: "b", Health: 0.1, Left: sec}}}, later)
	if b := other.servers[1]; b.ejected || b.health != 0.8 {
		t.Errorf("got %+v, want its own word to count", b)
	}
}

// A server that is known to be out is not dispatched to; its return is that of any.
func TestRecalledEjection(t *testing.T) {
	b := fleet(2, nil)
	b.Recall(Memory{Servers: []Learnt{{ID: "a", Health: 0.2, Streak: 2, Left: 2 * sec, Ejections: 1, Grow: 3}}}, sec)
	for i := range uint64(20) {
		b.Req(Arrival{ID: i + 1, RuleSet: "again", Key: "k" + string(rune('a'+i)), Budget: 2 * sec}, sec)
		for _, d := range pull(b, sec, Dispatch) {
			if d.Server == "a" {
				t.Fatal("dispatched to a server that was known to be out")
			}
			b.Finished(d.Req, 0, Served, true, 10*ms, sec)
		}
	}
	b.tend(4 * sec)
	if a := b.servers[0]; a.ejected || a.streak != b.streak()-1 {
		t.Errorf("got %+v, want it back, one failure away from the next", a)
	}
}
