package balance

import (
	"testing"

	"ivybank/internal/decay"
)

// If there are few balancers for the servers, each sees the servers' state and may have more in flight. A hundred
// balancers would overload the servers and keep to the narrow bound. Ejected servers change neither bound.
func TestInflightBoundByNumberOfBalancers(t *testing.T) {
	for _, c := range []struct {
		name               string
		balancers, servers int
		ejected            int
		share              float64
	}{
		{"as many as servers", 8, 8, 0, 0.8},
		{"fewer than servers", 2, 8, 0, 0.8},
		{"with servers ejected", 8, 8, 4, 0.8},
		{"a few more than servers", 10, 8, 0, 0.5},
		{"half again as many", 12, 8, 0, 0.3},
		{"many more", 100, 8, 0, 0.3},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBalancer(c.servers, func(t *Config) { t.FleetSize = c.balancers })
			r := addRequest(b, 1, "replayable", "k")
			b.healthy -= c.ejected
			idle := b.inflightBound(r, 100*sec)
			b.answerRate = decay.Counter{Value: 100 * float64(span/sec), At: 100 * sec} // requests of 1 s, 100 a second
			assertNear(t, "in flight for the rate", b.inflightBound(r, 100*sec)-idle, 100*c.share, 0.5)
		})
	}
}

// More in flight only adds to the refusals of servers that refuse most requests: with half of the dispatches refused
// the narrow bound must apply, and few refusals must leave the wide one. Answers restore it.
func TestRefusalsNarrowTheInflightBound(t *testing.T) {
	b := newBalancer(8, func(t *Config) { t.FleetSize = 2 })
	r := addRequest(b, 1, "replayable", "k")
	share := func() float64 {
		b.answerRate = decay.Counter{}
		idle := b.inflightBound(r, 100*sec)
		b.answerRate = decay.Counter{Value: 100 * float64(span/sec), At: 100 * sec}
		return (b.inflightBound(r, 100*sec) - idle) / 100
	}
	s, d := b.servers[0], &dispatch{request: r, server: b.servers[0], inflightRank: 1}
	for i := range 100 { // one in five
		b.recordOutcome(s, d, []Outcome{Refused, Served, Served, Served, Served}[i%5], sec/10, 0)
	}
	assertNear(t, "share with few refusals", share(), inflightShare+extraShare, 0.01)
	for range 30 {
		b.recordOutcome(s, d, Refused, sec/10, 0)
	}
	assertNear(t, "share with many refusals", share(), inflightShare, 0.01)
	for range 60 {
		b.recordOutcome(s, d, Served, sec/10, 0)
	}
	assertNear(t, "share after answers", share(), inflightShare+extraShare, 0.01)
}
