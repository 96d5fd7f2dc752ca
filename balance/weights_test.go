package balance

import (
	"fmt"
	"testing"

	"ivybank/internal/decay"
)

// Unrestricted requests overloaded the few servers that are the only choice of restricted rule sets.
func TestRestrictedRequestsHaveRoom(t *testing.T) {
	for _, c := range []struct {
		name             string
		restricted, free float64 // recent first dispatches of each
		want             float64 // fraction of the free requests at the one server of four that the restricted ones may use
	}{
		{"restricted requests need all of it", 100, 100, minLeftShare / (3 + minLeftShare)},
		{"restricted requests need half of it", 100, 700, 0.5 / 3.5},
		{"there are no restricted requests", 0, 100, 0.25},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBalancer(4, func(t *Config) { t.RuleSets[1].Kinds = []string{"small"} })
			b.servers[0].Kind = "small"
			free, restricted := b.placementOf(&b.cfg.RuleSets[0]), b.placementOf(&b.cfg.RuleSets[1])
			free.firstDispatches, restricted.firstDispatches = decay.Counter{Value: c.free}, decay.Counter{Value: c.restricted}
			free.slotTime, restricted.slotTime = float64(ms), float64(ms)
			b.reviewServers(0)
			got := 0.0
			for i := range 4000 {
				r := &request{maxDispatches: 3, rules: free.rules, placement: free, Arrival: Arrival{Key: fmt.Sprint("key-", i)}}
				if b.pickServer(r, 0).ID == "a" {
					got += 1.0 / 4000
				}
			}
			assertNear(t, "fraction at that server", got, c.want, 0.02)
		})
	}
}

// Servers are reviewed only when something has changed or is due, as a review at each wake of hundreds of instances is
// costly.
func TestServersAreReviewedWhenDue(t *testing.T) {
	b := newBalancer(3, nil)
	r := addRequest(b, 1, "replayable", "k")
	drain(b, 0, -1)
	r.dispatches[0].server.latency = 10 * float64(ms)
	drain(b, ms, -1)
	b.weighedAt = 0
	if drain(b, 2*ms, -1); b.weighedAt != 0 {
		t.Error("servers were reviewed although nothing had changed")
	}
	b.Finished(1, 0, Errored, false, 3*ms, 3*ms)
	if drain(b, 3*ms, -1); b.weighedAt != 3*ms {
		t.Error("servers were not reviewed after an outcome")
	}
}
