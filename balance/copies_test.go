package balance

import "testing"

// Where many balancers share the few servers that a placement has, a copy of each at once crowds them: reqs
// that were slow as they were heavy ran twice, and slowed all others.
func TestNoCopiesOntoFew(t *testing.T) {
	for _, c := range []struct {
		name   string
		copies int
		kinds  []string
		want   bool
	}{
		{"one server for each eight balancers", 4 * copiesEach, nil, true},
		{"fewer", 4*copiesEach + 1, nil, false},
		{"the servers of its placement count alone", 4 * copiesEach, []string{"small"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := fleet(4, func(t *Terms) {
				t.Parallel, t.Copies, t.RuleSets[0].Kinds = true, c.copies, c.kinds
			})
			b.servers[0].Kind, b.servers[1].Kind = "small", "small"
			r := take(b, 1, "again", "k")
			r.luck = 0
			if pull(b, 0, Dispatch); len(r.sends) != 1 {
				t.Fatalf("sent %d times", len(r.sends))
			}
			r.sends[0].srv.lat = float64(sec) // slow, not silent
			if pull(b, int64(hedge*float64(sec)), Dispatch); (len(r.sends) == 2) != c.want {
				t.Errorf("sent %d times, copy wanted: %v", len(r.sends), c.want)
			}
		})
	}
}
