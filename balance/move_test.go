package balance

import (
	"cmp"
	"fmt"
	"testing"

	"ivybank/internal/fade"
)

// What the deployments of another shape brought: each of these failed on them before the module was changed.

func TestHotKeys(t *testing.T) {
	// A key that is several servers' worth of work was led to one server by all balancers: it had 12 times the mean.
	t.Run("a key that would fill a server alone has several orders of servers", func(t *testing.T) {
		b := fleet(20, nil)
		n, others := map[string]int{}, map[string]bool{}
		for i := range uint64(4000) {
			now := int64(i) * ms
			key := fmt.Sprint("rare-", i%500)
			if i%4 == 0 {
				key = "hot"
			}
			b.Req(Arrival{ID: i, RuleSet: "again", Key: key, Budget: 2 * sec}, now)
			r := b.reqs[i]
			b.inflight = 0
			b.weigh(0)
			if s := b.pick(r, now); i > 1000 && key == "hot" {
				n[s.ID]++
			} else if i > 1000 {
				others[cmp.Or(r.order, r.Key)] = true
			}
			delete(b.reqs, i)
		}
		most := 0
		for _, x := range n {
			most = max(most, x)
		}
		if most > 750/3 { // a quarter of all reqs is five servers' worth
			t.Errorf("a server gets %d of 750 reqs of the hot key", most)
		}
		if len(others) != 375 {
			t.Errorf("rare keys were split: %d orders", len(others))
		}
	})
}

func TestFirstSeconds(t *testing.T) {
	// The fading count held 0.63 of the rate after four seconds: two in five reqs were denied while the fleet had room.
	for _, at := range []int64{sec, 4 * sec, 30 * sec} {
		b := fleet(4, nil)
		b.t.Copies = 4
		r := take(b, 1, "again", "k")
		for now := int64(0); now < at; now += 10 * ms {
			b.rate.Add(now, span)
		}
		near(t, fmt.Sprint("bound after ", at/sec, " s"), b.bound(r, at), leastShare+100*flightShare, 1)
	}
}

func TestBoundByMean(t *testing.T) {
	// A req of a short target was denied first though what stands in flight is mostly that of others.
	b := fleet(4, func(t *Terms) {
		t.Copies = 4
		t.RuleSets = append(t.RuleSets, RuleSet{Name: "short", ResponseTarget: sec / 10})
	})
	long, short := take(b, 1, "again", "k"), take(b, 2, "short", "k")
	long.value, short.value = 1, 1
	b.rate.N, b.rate.At = 400, 100*sec
	near(t, "bounds", b.bound(long, 100*sec), b.bound(short, 100*sec), 1e-9)
	// When short, the less valuable give way.
	b.worth.V, short.value = 1, 8
	if x, y := b.bound(short, 100*sec), b.bound(long, 100*sec); x <= 1.2*y {
		t.Errorf("the more valuable may fill %.1f, the less %.1f", x, y)
	}
}

func TestTail(t *testing.T) {
	// A late answer costs the tail of the score, an early denial does not; it was sent on until the client gave up.
	for _, c := range []struct {
		rules string
		tail  float64
		end   int64
	}{{"again", 0.3, sec}, {"again", 0, 2 * sec}, {"all", 0.3, sec}, {"cell", 0.3, 2 * sec}, {"once", 0.3, 2 * sec}} {
		b := fleet(2, func(t *Terms) {
			t.Tail = c.tail
			for i := range t.RuleSets {
				t.RuleSets[i].OverdueValue = 0.3
			}
		})
		if r := take(b, 1, c.rules, "k"); r.giveUp != c.end-2*b.t.Tick {
			t.Errorf("%s with tail %.1f: given up at %d ms", c.rules, c.tail, r.giveUp/ms)
		}
	}
}

func TestMovingWeights(t *testing.T) {
	// Weights that move with load were taken for sizes: all balancers moved their keys with each list.
	b := fleet(2, func(t *Terms) { t.Live = true })
	b.Listed(Changes, []Server{{ID: "a", Zone: "z", Share: 0.1}}, sec)
	b.tend(sec)
	if a := b.servers[0]; a.size != 1 || a.ready < 0.8 || a.ready >= 1 {
		t.Errorf("size %.2f, may bear %.2f", a.size, a.ready)
	}
	for range 50 {
		b.Listed(Changes, []Server{{ID: "a", Zone: "z", Share: 0.1}}, sec)
	}
	b.weigh(0)
	near(t, "in the long run", b.servers[0].ready, 0.1, 0.02)
}

// The first seconds after the shape has changed: what was measured in the old one is no bound, what is known of the
// servers' health stays, a host that is out stays out, and none gets a burst.
func TestMoveByRetune(t *testing.T) {
	b := fleet(4, func(t *Terms) { t.MustAsk, t.AskWithin, t.Copies = true, 10*sec, 2 })
	b.askAt = 0 // subscribed
	b.servers[0].ejected, b.servers[0].until = true, 100*sec
	b.servers[1].health = 0.4
	b.Listed(Changes, []Server{{ID: "c", Zone: "z", State: Draining}}, sec)
	for _, s := range b.servers {
		s.unit, s.lat, s.grow = float64(sec), float64(sec), 50
	}
	b.rate, b.jam = fade.Count{N: 1, At: 60 * sec}, 1 // hardly a req came in the old shape
	open := take(b, 1, "once", "k")
	b.servers[3].known = false // off the list
	next := b.t
	next.MustAsk, next.Live, next.Copies, next.Tail = false, true, 40, 0.3
	next.RuleSets = []RuleSet{{Name: "once", Effect: Replayable, ResponseTarget: sec / 5, BillingValue: 1}}
	b.Retune(next, 60*sec)
	if open.rules.Effect != NonReplayable || open.rules.ResponseTarget != sec {
		t.Error("the open req lost its rules")
	}
	if s := b.servers[0]; !s.ejected || s.until != 100*sec || b.servers[1].health != 0.4 {
		t.Error("what is known of the servers' health was lost")
	}
	for _, s := range b.servers {
		if s.unit != 0 || s.lat != 0 || s.grow > newcomer {
			t.Errorf("%s keeps times of the old shape: %v, %v, cap %v", s.ID, s.unit, s.lat, s.grow)
		}
	}
	if b.begun != 60*sec || b.rate.N != 0 || b.jam != 0 {
		t.Error("a bound of the old shape is left")
	}
	for _, d := range pull(b, 60*sec, Dispatch) {
		if d.Server != "b" {
			t.Errorf("a dispatch to %s, which is out", d.Server)
		}
	}
	if n := len(pull(b, 90*sec, Watch)); n != 0 {
		t.Error("it asks for a list that comes unasked")
	}
	next.MustAsk, next.Live, next.Copies = true, false, 2
	b.Retune(next, 100*sec)
	if n := len(pull(b, 112*sec, Watch)); n != 1 {
		t.Errorf("asked %d times after the way back, want once", n)
	}
	// Other terms of the same shape keep what was measured.
	b.servers[1].unit, b.rate.N = 7, 5
	next.Copies = 3
	if b.Retune(next, 113*sec); b.servers[1].unit != 7 || b.rate.N != 5 {
		t.Error("a change of terms within the shape costs what was measured")
	}
}

// A cold server is new and so looks idle by a weight that moves with load: it drew five times its share (rule 4,
// ebene-main with servers that crash).
func TestColdAmongIdle(t *testing.T) {
	b := fleet(40, func(t *Terms) { t.Live, t.Copies, t.Overload, t.FallTime, t.StartCapacity = true, 20, 3, sec, 0.4 })
	list := []Server{}
	for _, s := range b.servers {
		list = append(list, Server{ID: s.ID, Zone: "z", Share: 0.2})
	}
	for range 100 {
		b.Listed(Changes, list, sec)
	}
	b.rate.N, b.rate.At = 35*float64(span/sec), 10*sec
	b.Listed(Changes, []Server{{ID: list[0].ID, Zone: "z", Share: 1, Since: 10 * sec}}, 10*sec)
	b.tend(10 * sec)
	s := b.servers[0]
	near(t, "part of all", s.ready/b.scope(&RuleSet{}).total, 0.4/39.4, 0.002)
}

// What other balancers' word comes to: a req that all deny is denied before it is sent, a further dispatch waits for the budget, a server
// of which care is due gets less.
func TestAdvice(t *testing.T) {
	t.Run("shed", func(t *testing.T) {
		b := New(Terms{Seed: 1, Copies: 1, MaxDispatches: 3, MaxAdvice: sec, Tick: 5 * ms, RuleSets: []RuleSet{{Name: "a", Effect: NonReplayable, ResponseTarget: sec, BillingValue: 1}}}, 0)
		b.Listed(Whole, []Server{{ID: "s", Share: 1}}, 0)
		b.Req(Arrival{ID: 1, RuleSet: "a", Budget: 3 * sec, Shed: true, Back: 700 * ms}, 0)
		var got []Decision
		for d, ok := b.Next(0); ok; d, ok = b.Next(0) {
			if d.Kind == Deny || d.Kind == Dispatch {
				got = append(got, d)
			}
		}
		if len(got) != 1 || got[0].Kind != Deny || got[0].Time != 700*ms {
			t.Errorf("got %+v, want one deny with its wait", got)
		}
	})
	t.Run("further", func(t *testing.T) {
		for further, want := range []int{1, 2} {
			b := New(Terms{Seed: 1, Copies: 1, MaxDispatches: 3, Tick: 5 * ms, RuleSets: []RuleSet{{Name: "a", Effect: Replayable, ResponseTarget: sec, BillingValue: 1}}}, 0)
			b.Advised(Advice{Bounded: true, Further: further})
			b.Listed(Whole, []Server{{ID: "s", Share: 1}, {ID: "u", Share: 1}, {ID: "v", Share: 1}}, 0)
			b.Req(Arrival{ID: 1, RuleSet: "a", Budget: 3 * sec}, 0)
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
				t.Errorf("%d further ones allowed: %d dispatches, want %d", further, sent, want)
			}
		}
	})
	t.Run("care", func(t *testing.T) {
		b := New(Terms{Seed: 1, Copies: 1, Tick: 5 * ms}, 0)
		b.Listed(Whole, []Server{{ID: "s", Share: 1}, {ID: "u", Share: 1}}, 0)
		b.Advised(Advice{Wary: map[string]float64{"s": 0.25}})
		b.tend(0)
		if s, u := b.servers[0].ready, b.servers[1].ready; s != u/4 {
			t.Errorf("ready %v and %v, want a quarter", s, u)
		}
	})
}
