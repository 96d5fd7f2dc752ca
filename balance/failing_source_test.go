package balance

import (
	"fmt"
	"testing"

	"ivybank/internal/rng"
)

// play adds a request every 10 ms, with the key that the function key returns, and answers each dispatch at once with
// the outcome that end returns.
func play(b *Balancer, from int64, n int, key func(int) string, end func(key, server string) Outcome) (
	sent, shed map[string]int) {
	sent, shed = map[string]int{}, map[string]int{}
	for i := range n {
		now, id := from+int64(i)*10*ms, uint64(from)+uint64(i)
		b.AddRequest(Arrival{ID: id, RuleSet: "once", Key: key(i), Tenant: "t", Budget: 2 * sec}, now)
		for _, d := range drain(b, now, -1) {
			switch d.Kind {
			case Dispatch:
				sent[key(i)]++
				if o := end(key(i), d.Server); o != TimedOut {
					b.Finished(d.Request, len(b.requests[d.Request].dispatches)-1, o, o == Served, 5*ms, now)
				}
			case Deny:
				shed[key(i)]++
			}
		}
		drain(b, now, -1)
	}
	return sent, shed
}

// failing returns outcomes: an error for what is bad, served for the rest.
func failing(bad func(key, server string) bool) func(key, server string) Outcome {
	return func(key, server string) Outcome {
		if bad(key, server) {
			return Errored
		}
		return Served
	}
}

func TestFailuresOfASource(t *testing.T) {
	start := func() *Balancer {
		return newBalancer(6, func(t *Config) { t.Tenants = []Tenant{{Name: "t", Share: 1}} })
	}
	good := func(i int) string { return fmt.Sprint("key-", i%50) }
	bad := func(i int) string { // one in five has a key that fails at every server
		if i%5 == 0 {
			return "bad"
		}
		return good(i)
	}
	t.Run("no server is blamed for a key that fails at every server", func(t *testing.T) {
		// Each balancer ejected all thirteen servers within a second (altiplano-pedidos rough-1).
		b := start()
		_, shed := play(b, 0, 2000, bad, failing(func(key, _ string) bool { return key == "bad" }))
		for _, s := range b.servers {
			if s.ejections > 0 || s.ejected || s.health < 0.9 {
				t.Errorf("%s: health %.2f, ejected %d times", s.ID, s.health, s.ejections)
			}
		}
		if shed["bad"] < 300 {
			t.Errorf("%d of 400 requests of the key were denied at once, want at least 300", shed["bad"])
		}
		if n := len(shed); n != 1 {
			t.Errorf("%d keys had denials, want only the failing one", n)
		}
		// The key is tried occasionally, and is accepted again when it no longer fails.
		sent, _ := play(b, 100*sec, 100, bad, func(string, string) Outcome { return Served })
		if sent["bad"] < 15 {
			t.Errorf("%d of 20 sent after the key had recovered", sent["bad"])
		}
	})
	t.Run("failures of a server are not attributed to its keys", func(t *testing.T) {
		b := start()
		_, shed := play(b, 0, 300, good, failing(func(_, server string) bool { return server == "c" }))
		if c := b.servers[2]; c.ejections == 0 {
			t.Error("c was never ejected")
		}
		if len(shed) > 0 {
			t.Errorf("denied %v", shed)
		}
	})
	t.Run("failures that affect all sources alike are attributed to none", func(t *testing.T) {
		b := start()
		random := rng.Source{Seed: 3}
		_, shed := play(b, 0, 500, good, failing(func(string, string) bool { return random.Next() < 0.5 }))
		all := 0
		for _, x := range shed {
			all += x
		}
		if all > 100 {
			t.Errorf("%d of 500 denied", all)
		}
	})
}

func TestFailuresAtTwoHealthyServersEndARequest(t *testing.T) {
	// A request that fails everywhere went to all six servers that its settings allow and lowered the health of each
	// (pnw-core rough-1).
	b := newBalancer(6, func(t *Config) { t.MaxDispatches = 6 })
	b.AddRequest(Arrival{ID: 1, RuleSet: "replayable", Key: "k", Budget: sec}, 0)
	for i := range 6 {
		now := int64(i) * 10 * ms
		for _, d := range drain(b, now, -1) {
			if d.Kind == Dispatch {
				b.Finished(d.Request, len(b.requests[1].dispatches)-1, Errored, false, 5*ms, now)
			}
		}
	}
	r := b.requests[1]
	if r != nil {
		t.Errorf("still open after %d dispatches", len(r.dispatches))
	}
	blamed := 0
	for _, s := range b.servers {
		blamed += s.streak
	}
	if blamed > 1 {
		t.Errorf("%d servers blamed for one request, want only the first", blamed)
	}
	// A request that failed only at servers with other failures is tried again: their errors say nothing of the request.
	b = newBalancer(6, func(t *Config) { t.MaxDispatches = 6 })
	b.AddRequest(Arrival{ID: 1, RuleSet: "replayable", Key: "k", Budget: sec}, 0)
	for i := range 3 {
		now := int64(i) * 10 * ms
		for _, s := range b.servers {
			s.streak = 1
		}
		for _, d := range drain(b, now, Dispatch) {
			b.Finished(d.Request, len(b.requests[1].dispatches)-1, Errored, false, 5*ms, now)
		}
	}
	if r := b.requests[1]; r == nil || len(r.dispatches) < 3 {
		t.Error("given up after errors of servers that failed other requests as well")
	}
}
