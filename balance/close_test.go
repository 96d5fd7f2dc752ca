package balance

import (
	"testing"

	"ivybank/internal/fade"
)

// Balancers that are few for the servers hold more in flight, since each sees how the servers are. The like of a
// hundred on so many servers would crowd them and keep to the narrow bound; servers that are out change neither.
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
