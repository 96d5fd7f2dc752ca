package balance

import (
	"fmt"
	"testing"

	"ivybank/internal/draw"
)

// play hands in reqs of a key each 10 ms and answers what is sent at once; end says how.
func play(b *Balancer, from int64, n int, key func(int) string, end func(key, srv string) Outcome) (
	sent, shed map[string]int) {
	sent, shed = map[string]int{}, map[string]int{}
	for i := range n {
		now, id := from+int64(i)*10*ms, uint64(from)+uint64(i)
		b.Req(Arrival{ID: id, RuleSet: "once", Key: key(i), Tenant: "t", Budget: 2 * sec}, now)
		for _, d := range pull(b, now, -1) {
			switch d.Kind {
			case Dispatch:
				sent[key(i)]++
				if o := end(key(i), d.Server); o != TimedOut {
					b.Finished(d.Req, len(b.reqs[d.Req].sends)-1, o, o == Served, 5*ms, now)
				}
			case Deny:
				shed[key(i)]++
			}
		}
		pull(b, now, -1)
	}
	return sent, shed
}

// failing answers with an error what is bad, and serves the rest.
func failing(bad func(key, srv string) bool) func(key, srv string) Outcome {
	return func(key, srv string) Outcome {
		if bad(key, srv) {
			return Errored
		}
		return Served
	}
}

func TestFailsAnywhere(t *testing.T) {
	begin := func() *Balancer {
		return fleet(6, func(t *Terms) { t.Tenants = []Tenant{{Name: "t", Share: 1}} })
	}
	good := func(i int) string { return fmt.Sprint("key-", i%50) }
	bad := func(i int) string { // two in ten are of a key that no server serves
		if i%5 == 0 {
			return "bad"
		}
		return good(i)
	}
	t.Run("no server is blamed for a key that fails at each", func(t *testing.T) {
		// All thirteen servers were ejected by each balancer within a second (altiplano-pedidos rough-1).
		b := begin()
		_, shed := play(b, 0, 2000, bad, failing(func(key, _ string) bool { return key == "bad" }))
		for _, s := range b.servers {
			if s.ejections > 0 || s.ejected || s.health < 0.9 {
				t.Errorf("%s: health %.2f, ejected %d times", s.ID, s.health, s.ejections)
			}
		}
		if shed["bad"] < 300 {
			t.Errorf("%d of 400 reqs of the key were denied at once, want most", shed["bad"])
		}
		if n := len(shed); n != 1 {
			t.Errorf("%d keys had denials, want the one", n)
		}
		// It is tried again now and then, and comes back when it is well.
		sent, _ := play(b, 100*sec, 100, bad, func(string, string) Outcome { return Served })
		if sent["bad"] < 15 {
			t.Errorf("%d of 20 sent after it was well again", sent["bad"])
		}
	})
	t.Run("a server that fails is not taken for its keys", func(t *testing.T) {
		b := begin()
		_, shed := play(b, 0, 300, good, failing(func(_, srv string) bool { return srv == "c" }))
		if c := b.servers[2]; c.ejections == 0 {
			t.Error("c was never ejected")
		}
		if len(shed) > 0 {
			t.Errorf("denied %v", shed)
		}
	})
	t.Run("what strikes all alike is nobody's own", func(t *testing.T) {
		b := begin()
		dice := draw.Dice{Seed: 3}
		_, shed := play(b, 0, 500, good, failing(func(string, string) bool { return dice.Next() < 0.5 }))
		all := 0
		for _, x := range shed {
			all += x
		}
		if all > 100 {
			t.Errorf("%d of 500 denied", all)
		}
	})
}

func TestFailsAtTwo(t *testing.T) {
	// A bad req went to all six servers that its terms allow, and cost each its good name (pnw-core rough-1).
	b := fleet(6, func(t *Terms) { t.MaxDispatches = 6 })
	b.Req(Arrival{ID: 1, RuleSet: "again", Key: "k", Budget: sec}, 0)
	for i := range 6 {
		now := int64(i) * 10 * ms
		for _, d := range pull(b, now, -1) {
			if d.Kind == Dispatch {
				b.Finished(d.Req, len(b.reqs[1].sends)-1, Errored, false, 5*ms, now)
			}
		}
	}
	r := b.reqs[1]
	if r != nil {
		t.Errorf("still open after %d dispatches", len(r.sends))
	}
	blamed := 0
	for _, s := range b.servers {
		blamed += s.streak
	}
	if blamed > 1 {
		t.Errorf("%d servers blamed for one req, want the first alone", blamed)
	}
	// One that only an ill server failed goes on: that server's word is no second opinion.
	b = fleet(6, func(t *Terms) { t.MaxDispatches = 6 })
	b.Req(Arrival{ID: 1, RuleSet: "again", Key: "k", Budget: sec}, 0)
	for i := range 3 {
		now := int64(i) * 10 * ms
		for _, s := range b.servers {
			s.streak = 1
		}
		for _, d := range pull(b, now, Dispatch) {
			b.Finished(d.Req, len(b.reqs[1].sends)-1, Errored, false, 5*ms, now)
		}
	}
	if r := b.reqs[1]; r == nil || len(r.sends) < 3 {
		t.Error("given up after errors of servers that failed others as well")
	}
}
