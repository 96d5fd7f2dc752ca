package balance

import (
	"fmt"
	"testing"

	"ivybank/internal/fade"
)

// What all balancers together send to a cold server (rule 4): each has one req for it in hand at any time, so
// budgets of their own cannot hold them back, and the fewer of the others are up the more came to it.
func TestColdTogether(t *testing.T) {
	const copies, reqs, servers = 600, 8, 20
	for _, c := range []struct {
		name   string
		out    int     // servers that each balancer has ejected
		failed float64 // part of first dispatches without an answer
		kinds  []string
		tries  int
		spoil  func(b *Balancer)
		want   float64 // parts of a warm server's share, without its warmth
	}{
		{name: "all others up", want: 1},
		{name: "most are out", out: servers - 2, want: 1},
		{name: "all others are out", out: servers - 1, want: 1},
		{name: "most goes unanswered", out: servers - 2, failed: 0.75, want: 0.25},
		{name: "a retry", tries: 1, out: servers - 2},
		{name: "one of two of its kind, the other is out", out: servers - 1, kinds: []string{"small"},
			want: servers / 2},
		{name: "the others have just gone", spoil: func(b *Balancer) {
			for _, s := range b.servers[1:] {
				b.list(Server{ID: s.ID, State: Gone}, 101*sec)
			}
		}, want: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := 0.0
			for seed := range uint64(copies) {
				b := fleet(servers, func(x *Terms) {
					x.Seed, x.Copies, x.RuleSets[0].Kinds = seed, copies, c.kinds
				})
				for i, s := range b.servers {
					if s.Kind = "large"; i < 2 {
						s.Kind = "small"
					}
				}
				in := b.scope(&b.t.RuleSets[0])
				b.tend(100 * sec)
				b.Listed(Changes, []Server{{ID: "a", Kind: "small", Zone: "z", Share: 1, Since: 101 * sec}}, 101*sec)
				for _, s := range b.servers[servers-c.out:] {
					s.ejected, s.until = true, 200*sec
				}
				if c.spoil != nil {
					c.spoil(b)
				}
				b.tend(101 * sec)
				in.sent = fade.Count{N: 1000, At: 101 * sec}
				in.served = fade.Count{N: 1000 * (1 - c.failed), At: 101 * sec}
				for i := range uint64(reqs) {
					b.Req(Arrival{ID: i, RuleSet: "again", Key: fmt.Sprint("key-", i), Budget: sec}, 101*sec)
					r := b.reqs[i]
					for range c.tries {
						r.sends = append(r.sends, &dispatch{req: r, srv: b.servers[1]})
					}
					if s := b.pick(r, 101*sec); s != nil && s.ID == "a" {
						got++
					}
				}
			}
			share := float64(copies*reqs) / servers * 0.2 * coldShare
			near(t, "reqs at the cold server", got, c.want*share, 0.35*share*max(1, c.want))
		})
	}
}
