package balance

import (
	"fmt"
	"testing"

	"ivybank/internal/decay"
)

// All balancers together must not overload a server that is warming up (rule 4). Each has only one request for it at a
// time, so that budgets of their own cannot limit them, and it got the more the fewer other servers were up.
func TestColdServerUnderAllBalancers(t *testing.T) {
	const balancers, requests, servers = 600, 8, 20
	for _, c := range []struct {
		name    string
		ejected int     // servers that each balancer has ejected
		failed  float64 // fraction of first dispatches without an answer
		kinds   []string
		tries   int // earlier dispatches of each request
		setup   func(b *Balancer)
		want    float64 // multiple of the share that a server with its capacity should get
	}{
		{name: "all others up", want: 1},
		{name: "most are ejected", ejected: servers - 2, want: 1},
		{name: "all others are ejected", ejected: servers - 1, want: 1},
		{name: "most requests get no answer", ejected: servers - 2, failed: 0.75, want: 0.25},
		{name: "a retry", tries: 1, ejected: servers - 2},
		{name: "one of two of its kind, the other is ejected", ejected: servers - 1, kinds: []string{"small"},
			want: servers / 2},
		{name: "the others have just gone", setup: func(b *Balancer) {
			for _, s := range b.servers[1:] {
				b.applyEntry(Server{ID: s.ID, State: Gone}, 101*sec)
			}
		}, want: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := 0.0
			for seed := range uint64(balancers) {
				b := newBalancer(servers, func(x *Config) {
					x.Seed, x.FleetSize, x.RuleSets[0].Kinds = seed, balancers, c.kinds
				})
				for i, s := range b.servers {
					if s.Kind = "large"; i < 2 {
						s.Kind = "small"
					}
				}
				in := b.placementOf(&b.cfg.RuleSets[0])
				b.reviewServers(100 * sec)
				b.UpdateList(ListUpdate, []Server{{ID: "a", Kind: "small", Zone: "z", Share: 1, Since: 101 * sec}}, 101*sec)
				for _, s := range b.servers[servers-c.ejected:] {
					s.ejected, s.ejectedUntil = true, 200*sec
				}
				if c.setup != nil {
					c.setup(b)
				}
				b.reviewServers(101 * sec)
				in.firstDispatches = decay.Counter{Value: 1000, At: 101 * sec}
				in.answers = decay.Counter{Value: 1000 * (1 - c.failed), At: 101 * sec}
				for i := range uint64(requests) {
					b.AddRequest(Arrival{ID: i, RuleSet: "replayable", Key: fmt.Sprint("key-", i), Budget: sec}, 101*sec)
					r := b.requests[i]
					for range c.tries {
						r.dispatches = append(r.dispatches, &dispatch{request: r, server: b.servers[1]})
					}
					if s := b.pickServer(r, 101*sec); s != nil && s.ID == "a" {
						got++
					}
				}
			}
			share := float64(balancers*requests) / servers * 0.2 * coldFactor
			assertNear(t, "requests at the cold server", got, c.want*share, 0.35*share*max(1, c.want))
		})
	}
}
