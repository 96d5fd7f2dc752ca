package balance

import (
	"slices"

	"ivybank/internal/decay"
)

// The types of this file record what an instance knows; they make no decisions.

// dispatch is one attempt to run a request at a server.
type dispatch struct {
	request           *request
	server            *server
	sentAt            int64
	inflightRank      float64 // this balancer's dispatches in flight at the server, itself included
	pending, maybeRan bool    // not finished yet; may have run at the server
	idleStep          int     // for how long its connection was idle, in doubling steps; 0: not idle
	inFlight          bool    // its body is complete, its answer has not begun
	answering         bool    // its answer has begun
}

// request is one request; it is dropped once it has ended and has no dispatch pending.
type request struct {
	Arrival
	rules               *RuleSet
	placement           *placement
	arrivedAt, giveUpAt int64
	clientDeadline      int64   // end of the client's wait, as far as known
	value, random       float64 // random: a random number between 0 and 1
	dispatches          []*dispatch
	tenant, pending     int // index of the tenant, -1 if unknown; number of pending dispatches
	ended, streaming    bool
	healthyErrors       int               // errors from servers without a current failure
	maxDispatches       int               // by the settings it arrived under
	rankKey             string            // key of its server ranking, if other than Key
	sources             []*decay.Outcomes // outcomes of its key and its tenant, if it has them
}

// server is what this balancer knows of one listed server; it is dropped when off the list and idle.
type server struct {
	Server
	listed, ejected, silent                 bool // listed: still on the list
	health                                  float64
	streak, ejections                       int
	ejectedUntil, answeredAt, lastOutcomeAt int64
	startedAt                               int64       // at the latest
	fullUntil                               int64       // it refused a request: it gets none until then
	inflight                                []*dispatch // oldest first
	slotTime, latency                       float64     // mean time per in-flight slot and per answer; 0: not measured
	inflightCap                             float64     // grows with answers
	rampShare, weight, score                float64     // fraction of its capacity by age; current weight and score
	size, avgWeight                         float64     // capacity relative to other servers; mean of recent listed shares
	leftShare                               float64     // fraction left by restricted rule sets, which have no other servers
	refutedShare                            float64     // fraction of its answers that followed a failure and so refute it
}

// placement sums up the servers that are open to the requests of one set of zones and kinds. Without restricted
// rule sets there is only one placement.
type placement struct {
	rules                    *RuleSet      // one rule set of that placement
	readyWeight, totalWeight float64       // current weight in use; decaying mean, with ejected and silent servers
	firstDispatches, answers decay.Counter // decaying counts
	slotTime                 float64       // mean time per in-flight slot
	healthy                  int           // number of servers that are not ejected
	panicMode                bool          // all servers are ejected: requests are spread over all of them
}

// placementOf returns the placement of a rule set; restricted ones come first in the list.
func (b *Balancer) placementOf(x *RuleSet) *placement {
	i := slices.IndexFunc(b.placements, func(p *placement) bool {
		return slices.Equal(p.rules.Zones, x.Zones) && slices.Equal(p.rules.Kinds, x.Kinds)
	})
	if i < 0 {
		if i = 0; !x.restricted() {
			i = len(b.placements)
		}
		b.placements = slices.Insert(b.placements, i, &placement{rules: x})
		b.computeWeights(b.weighedAt)
	}
	return b.placements[i]
}
