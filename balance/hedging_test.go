package balance

import "testing"

// If many balancers share the few servers of a placement, a second dispatch of each at once overloads them: requests
// that were slow because they were heavy ran twice and slowed all others.
func TestNoHedgingWithFewServers(t *testing.T) {
	for _, c := range []struct {
		name      string
		balancers int
		kinds     []string
		want      bool
	}{
		{"one server for each eight balancers", 4 * hedgeBalancers, nil, true},
		{"fewer", 4*hedgeBalancers + 1, nil, false},
		{"only the servers of its placement count", 4 * hedgeBalancers, []string{"small"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBalancer(4, func(t *Config) {
				t.AllowParallel, t.FleetSize, t.RuleSets[0].Kinds = true, c.balancers, c.kinds
			})
			b.servers[0].Kind, b.servers[1].Kind = "small", "small"
			r := addRequest(b, 1, "replayable", "k")
			r.random = 0
			if drain(b, 0, Dispatch); len(r.dispatches) != 1 {
				t.Fatalf("sent %d times", len(r.dispatches))
			}
			r.dispatches[0].server.latency = float64(sec) // slow, not silent
			if drain(b, int64(hedgeShare*float64(sec)), Dispatch); (len(r.dispatches) == 2) != c.want {
				t.Errorf("sent %d times, second dispatch wanted: %v", len(r.dispatches), c.want)
			}
		})
	}
}
