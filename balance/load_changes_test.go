package balance

import (
	"cmp"
	"fmt"
	"testing"

	"ivybank/internal/decay"
)

// Faults that appeared in deployments of another kind. Each of these tests failed before package balance was changed.

func TestHotKeys(t *testing.T) {
	// All balancers sent a key that needs several servers to the same one, which got 12 times the mean.
	t.Run("a key that would fill a server alone has several rank orders", func(t *testing.T) {
		b := newBalancer(20, nil)
		n, others := map[string]int{}, map[string]bool{}
		for i := range uint64(4000) {
			now := int64(i) * ms
			key := fmt.Sprint("rare-", i%500)
			if i%4 == 0 {
				key = "hot"
			}
			b.AddRequest(Arrival{ID: i, RuleSet: "replayable", Key: key, Budget: 2 * sec}, now)
			r := b.requests[i]
			b.inflight = 0
			b.computeWeights(0)
			if s := b.pickServer(r, now); i > 1000 && key == "hot" {
				n[s.ID]++
			} else if i > 1000 {
				others[cmp.Or(r.rankKey, r.Key)] = true
			}
			delete(b.requests, i)
		}
		most := 0
		for _, x := range n {
			most = max(most, x)
		}
		if most > 750/3 { // a quarter of all requests needs five of the 20 servers
			t.Errorf("a server gets %d of 750 requests of the hot key", most)
		}
		if len(others) != 375 {
			t.Errorf("rare keys were split: %d rank orders", len(others))
		}
	})
}

func TestInflightBoundInTheFirstSeconds(t *testing.T) {
	// The decaying count reached only 0.63 of the rate after four seconds: two in five requests were denied although the
	// fleet had capacity.
	for _, at := range []int64{sec, 4 * sec, 30 * sec} {
		b := newBalancer(4, nil)
		b.cfg.FleetSize = 4
		r := addRequest(b, 1, "replayable", "k")
		for now := int64(0); now < at; now += 10 * ms {
			b.answerRate.Add(now, span)
		}
		assertNear(t, fmt.Sprint("bound after ", at/sec, " s"), b.inflightBound(r, at),
			minInflight+100*(inflightShare+extraShare), 1)
	}
}

func TestInflightBoundUsesMeanTarget(t *testing.T) {
	// Requests with a short response target were denied first, although most of what is in flight belongs to others.
	b := newBalancer(4, func(t *Config) {
		t.FleetSize = 4
		t.RuleSets = append(t.RuleSets, RuleSet{Name: "short", ResponseTarget: sec / 10})
	})
	long, short := addRequest(b, 1, "replayable", "k"), addRequest(b, 2, "short", "k")
	long.value, short.value = 1, 1
	b.answerRate.Value, b.answerRate.At = 400, 100*sec
	assertNear(t, "bounds", b.inflightBound(long, 100*sec), b.inflightBound(short, 100*sec), 1e-9)
	// When capacity is short, less valuable requests give way.
	b.meanValue.Value, short.value = 1, 8
	if x, y := b.inflightBound(short, 100*sec), b.inflightBound(long, 100*sec); x <= 1.2*y {
		t.Errorf("bound of the more valuable request %.1f, of the less valuable one %.1f", x, y)
	}
}

func TestRequestsEndAtTheirTargetForTheTail(t *testing.T) {
	// A late answer reduces the tail part of the score, an early denial does not; requests were retried until the client
	// gave up.
	for _, c := range []struct {
		rules string
		tail  float64
		end   int64
	}{{"replayable", 0.3, sec}, {"replayable", 0, 2 * sec},
		{"all", 0.3, sec}, {"cell", 0.3, 2 * sec}, {"once", 0.3, 2 * sec}} {
		b := newBalancer(2, func(t *Config) {
			t.TailWeight = c.tail
			for i := range t.RuleSets {
				t.RuleSets[i].OverdueValue = 0.3
			}
		})
		if r := addRequest(b, 1, c.rules, "k"); r.giveUpAt != c.end-2*b.cfg.Tick {
			t.Errorf("%s with tail %.1f: given up at %d ms", c.rules, c.tail, r.giveUpAt/ms)
		}
	}
}

func TestSharesThatFollowLoad(t *testing.T) {
	// Shares that follow load were taken for sizes: all balancers moved their keys with each list.
	b := newBalancer(2, func(t *Config) { t.LiveWeights = true })
	b.UpdateList(ListUpdate, []Server{{ID: "a", Zone: "z", Share: 0.1}}, sec)
	b.reviewServers(sec)
	if a := b.servers[0]; a.size != 1 || a.weight < 0.8 || a.weight >= 1 {
		t.Errorf("size %.2f, weight %.2f", a.size, a.weight)
	}
	for range 50 {
		b.UpdateList(ListUpdate, []Server{{ID: "a", Zone: "z", Share: 0.1}}, sec)
	}
	b.computeWeights(0)
	assertNear(t, "in the long run", b.servers[0].weight, 0.1, 0.02)
}

// When the deployment changes in kind, old measurements must not limit the new one. The servers' health and ejections
// stay, and no server gets a burst.
func TestRetuneToAnotherDeployment(t *testing.T) {
	b := newBalancer(4, func(t *Config) { t.ListOnRequest, t.AskWithin, t.FleetSize = true, 10*sec, 2 })
	b.askAt = 0 // subscribed
	b.servers[0].ejected, b.servers[0].ejectedUntil = true, 100*sec
	b.servers[1].health = 0.4
	b.UpdateList(ListUpdate, []Server{{ID: "c", Zone: "z", State: Draining}}, sec)
	for _, s := range b.servers {
		s.slotTime, s.latency, s.inflightCap = float64(sec), float64(sec), 50
	}
	b.answerRate, b.latencyRatio = decay.Counter{Value: 1, At: 60 * sec}, 1 // almost no requests came in the old deployment
	open := addRequest(b, 1, "once", "k")
	b.servers[3].listed = false // off the list
	next := b.cfg
	next.ListOnRequest, next.LiveWeights, next.FleetSize, next.TailWeight = false, true, 40, 0.3
	next.RuleSets = []RuleSet{{Name: "once", Effect: Replayable, ResponseTarget: sec / 5, BillingValue: 1}}
	b.Reconfigure(next, 60*sec)
	if open.rules.Effect != NonReplayable || open.rules.ResponseTarget != sec {
		t.Error("the open request lost its old rules")
	}
	if s := b.servers[0]; !s.ejected || s.ejectedUntil != 100*sec || b.servers[1].health != 0.4 {
		t.Error("the servers' health was lost")
	}
	for _, s := range b.servers {
		if s.slotTime != 0 || s.latency != 0 || s.inflightCap > newServerCap {
			t.Errorf("%s keeps times of the old deployment: %v, %v, cap %v", s.ID, s.slotTime, s.latency, s.inflightCap)
		}
	}
	if b.rateStart != 60*sec || b.answerRate.Value != 0 || b.latencyRatio != 0 {
		t.Error("a measurement of the old deployment is left")
	}
	for _, d := range drain(b, 60*sec, Dispatch) {
		if d.Server != "b" {
			t.Errorf("a dispatch to %s, which is not available", d.Server)
		}
	}
	if n := len(drain(b, 90*sec, RequestList)); n != 0 {
		t.Error("requested a list that is pushed")
	}
	next.ListOnRequest, next.LiveWeights, next.FleetSize = true, false, 2
	b.Reconfigure(next, 100*sec)
	if n := len(drain(b, 112*sec, RequestList)); n != 1 {
		t.Errorf("requested the list %d times after the change back, want once", n)
	}
	// New settings that do not change the kind of deployment keep the measurements.
	b.servers[1].slotTime, b.answerRate.Value = 7, 5
	next.FleetSize = 3
	if b.Reconfigure(next, 113*sec); b.servers[1].slotTime != 7 || b.answerRate.Value != 5 {
		t.Error("new settings of the same kind of deployment discarded measurements")
	}
}

// A share that follows load makes a new server look idle: it got five times its share while cold (rule 4, ebene-main
// with servers that crash).
func TestColdServerWithShareThatFollowsLoad(t *testing.T) {
	b := newBalancer(40, func(t *Config) {
		t.LiveWeights, t.FleetSize, t.OverloadFactor, t.OverloadTime, t.StartCapacity = true, 20, 3, sec, 0.4
	})
	list := []Server{}
	for _, s := range b.servers {
		list = append(list, Server{ID: s.ID, Zone: "z", Share: 0.2})
	}
	for range 100 {
		b.UpdateList(ListUpdate, list, sec)
	}
	b.answerRate.Value, b.answerRate.At = 35*float64(span/sec), 10*sec
	b.UpdateList(ListUpdate, []Server{{ID: list[0].ID, Zone: "z", Share: 1, Since: 10 * sec}}, 10*sec)
	b.reviewServers(10 * sec)
	s := b.servers[0]
	assertNear(t, "fraction of all", s.weight/b.placementOf(&RuleSet{}).readyWeight, 0.4/39.4, 0.002)
}

// The advice of other balancers: a request that all deny is denied before it is sent, repeated dispatches are limited to
// the budget, and a suspect server gets less.
func TestAdvice(t *testing.T) {
	t.Run("shed", func(t *testing.T) {
		b := New(Config{Seed: 1, FleetSize: 1, MaxDispatches: 3, MaxRetryAfter: sec, Tick: 5 * ms,
			RuleSets: []RuleSet{{Name: "a", Effect: NonReplayable, ResponseTarget: sec, BillingValue: 1}}}, 0)
		b.UpdateList(ListReplace, []Server{{ID: "s", Share: 1}}, 0)
		b.AddRequest(Arrival{ID: 1, RuleSet: "a", Budget: 3 * sec, Shed: true, RetryAfter: 700 * ms}, 0)
		var got []Decision
		for d, ok := b.Next(0); ok; d, ok = b.Next(0) {
			if d.Kind == Deny || d.Kind == Dispatch {
				got = append(got, d)
			}
		}
		if len(got) != 1 || got[0].Kind != Deny || got[0].Time != 700*ms {
			t.Errorf("got %+v, want one deny with the advised wait", got)
		}
	})
	t.Run("further", func(t *testing.T) {
		for further, want := range []int{1, 2} {
			b := New(Config{Seed: 1, FleetSize: 1, MaxDispatches: 3, Tick: 5 * ms,
				RuleSets: []RuleSet{{Name: "a", Effect: Replayable, ResponseTarget: sec, BillingValue: 1}}}, 0)
			b.ApplyAdvice(Advice{RetriesLimited: true, RetriesLeft: further})
			b.UpdateList(ListReplace, []Server{{ID: "s", Share: 1}, {ID: "u", Share: 1}, {ID: "v", Share: 1}}, 0)
			b.AddRequest(Arrival{ID: 1, RuleSet: "a", Budget: 3 * sec}, 0)
			sent := 0
			for now := int64(0); now < 60*ms; now += 5 * ms {
				for d, ok := b.Next(now); ok; d, ok = b.Next(now) {
					if d.Kind == Dispatch {
						sent++
						b.Finished(1, sent-1, Errored, false, ms, now)
					}
				}
			}
			if sent != want {
				t.Errorf("%d repeated dispatches allowed: %d dispatches, want %d", further, sent, want)
			}
		}
	})
	t.Run("suspect server", func(t *testing.T) {
		b := New(Config{Seed: 1, FleetSize: 1, Tick: 5 * ms}, 0)
		b.UpdateList(ListReplace, []Server{{ID: "s", Share: 1}, {ID: "u", Share: 1}}, 0)
		b.ApplyAdvice(Advice{ShareFactors: map[string]float64{"s": 0.25}})
		b.reviewServers(0)
		if s, u := b.servers[0].weight, b.servers[1].weight; s != u/4 {
			t.Errorf("weights %v and %v, want a quarter", s, u)
		}
	})
}
