package balance

import (
	"testing"

	"ivybank/internal/fade"
)

// Balancers that are few for the servers hold more in flight, since each sees how the servers are. The like
// of a hundred on so many servers would crowd them and keep to the narrow bound; servers that are out change
// neither.
func TestBoundWhereBalancersAreFew(t *testing.T) {
	for _, c := range []struct {
		name            string
		copies, servers int
		out             int
		share           float64
	}{
		{"as many as servers", 8, 8, 0, 0.8},
		{"fewer than servers", 2, 8, 0, 0.8},
		{"with servers out", 8, 8, 4, 0.8},
		{"a little more", 10, 8, 0, 0.5},
		{"half again as many", 12, 8, 0, 0.3},
		{"many more", 100, 8, 0, 0.3},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := fleet(c.servers, func(t *Terms) { t.Copies = c.copies })
			r := take(b, 1, "again", "k")
			b.healthy -= c.out
			quiet := b.bound(r, 100*sec)
			b.rate = fade.Count{N: 100 * float64(span/sec), At: 100 * sec} // reqs of 1 s, 100 a second
			near(t, "in flight for the rate", b.bound(r, 100*sec)-quiet, 100*c.share, 0.5)
		})
	}
}

// Where servers turn away most of what comes, more in flight only adds to it: at half of the dispatches the
// bound is the narrow one, and few refusals leave it wide. Answers bring it back.
func TestRefusalsNarrowTheBound(t *testing.T) {
	b := fleet(8, func(t *Terms) { t.Copies = 2 })
	r := take(b, 1, "again", "k")
	share := func() float64 {
		b.rate = fade.Count{}
		quiet := b.bound(r, 100*sec)
		b.rate = fade.Count{N: 100 * float64(span/sec), At: 100 * sec}
		return (b.bound(r, 100*sec) - quiet) / 100
	}
	s, d := b.servers[0], &dispatch{req: r, srv: b.servers[0], rank: 1}
	for i := range 100 { // one in five
		b.judge(s, d, []Outcome{Refused, Served, Served, Served, Served}[i%5], sec/10, 0)
	}
	near(t, "share with few refusals", share(), flightShare+closeShare, 0.01)
	for range 30 {
		b.judge(s, d, Refused, sec/10, 0)
	}
	near(t, "share in a storm of refusals", share(), flightShare, 0.01)
	for range 60 {
		b.judge(s, d, Served, sec/10, 0)
	}
	near(t, "share after it", share(), flightShare+closeShare, 0.01)
}
