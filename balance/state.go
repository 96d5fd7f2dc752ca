package balance

// This file owns the records of what an instance knows: dispatches, reqs, servers and scopes. It must never
// decide anything.

import (
	"slices"

	"ivybank/internal/fade"
)

// dispatch is one attempt for a req.
type dispatch struct {
	req        *req
	srv        *server
	sent       int64
	rank       float64 // this balancer's dispatches at the server, itself counted
	out, maybe bool    // still out; may have run
	rested     int     // how long its connection had rested, 0: not
	counts     bool    // in flight: its body is whole, its answer not begun
	passed     bool    // its answer has begun
}

// req is one request; it is dropped once it has ended and nothing of it is out.
type req struct {
	Arrival
	rules            *RuleSet
	in               *scope
	taken, giveUp    int64
	until            int64   // the end of its client's wait, as far as it is told
	value, luck      float64 // luck: a random number below 1
	sends            []*dispatch
	tenant, outs     int
	ended, streaming bool
	odd              int          // errors of servers that were well
	most             int          // dispatches that its terms allow
	order            string       // what its order of servers goes by, where it isn't the key
	from             []*fade.Odds // its key and its tenant, as far as told
}

// server is what this balancer knows of one listed server; tend drops it when off the list and idle.
type server struct {
	Server
	known, ejected, silent bool // known: still on the list
	health                 float64
	streak, ejections      int
	until, answered, used  int64       // end of the ejection; last answer; last outcome
	started                int64       // at the latest
	full                   int64       // turned a req away until then
	out                    []*dispatch // oldest first
	unit, lat              float64     // time for each place in flight, and of an answer; 0: not measured
	grow                   float64     // in-flight cap that grows with answers
	cold, ready, score     float64     // part of its capacity by age; weight and score now
	size, ease             float64     // what it can bear beside others; mean listed weight of late
	left                   float64     // part that reqs of placed rule sets, which have no other servers, leave
	blips                  float64     // part of its answers that followed a failure, which they refute
}

// scope is what all servers open to reqs of one placement come to. Where no rule set is placed there is one.
type scope struct {
	rules        *RuleSet   // one of that placement
	total, whole float64    // ready now; of late, over the span of rates, ejected and silent ones too
	sent, served fade.Count // first dispatches and answers
	unit         float64    // mean time for each place
	healthy      int        // servers that are not ejected
	dazed        bool       // there are none
}

// scope finds that of a rule set's placement, the placed ones first.
func (b *Balancer) scope(x *RuleSet) *scope {
	i := slices.IndexFunc(b.scopes, func(c *scope) bool {
		return slices.Equal(c.rules.Zones, x.Zones) && slices.Equal(c.rules.Kinds, x.Kinds)
	})
	if i < 0 {
		if i = 0; !x.placed() {
			i = len(b.scopes)
		}
		b.scopes = slices.Insert(b.scopes, i, &scope{rules: x})
		b.weigh(b.weighed)
	}
	return b.scopes[i]
}
