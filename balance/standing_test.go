package balance

// The terms of the operators' standing test that the module keeps, a test each; docs/sockets.md lists them.
// Many instances run side by side on one driven clock before servers with a queue each; chance comes from
// seeds.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"

	"ivybank/internal/draw"
)

const step = 5 * ms // of the clock

// crowd is many instances of one fleet before the same servers.
type crowd struct {
	all    []*Balancer
	wakes  []int64 // by instance
	dice   draw.Dice
	now    int64
	last   uint64           // a req's number
	due    []answer         // by time; emptied as they fall due
	work   int64            // time of a req at a server that is free
	busy   map[string]int64 // by server, until when
	sent   map[string][]int64
	open   map[uint64]string // what a req is of; emptied with its final answer
	asked  map[string]int    // by what reqs are of
	served map[string]int
}

type answer struct {
	at, sent int64
	instance int
	req      uint64
	attempt  int
	outcome  Outcome
}

func crowded(instances, servers int, change func(*Terms)) *crowd {
	c := &crowd{dice: draw.Dice{Seed: 3}, work: 100 * ms, busy: map[string]int64{}, sent: map[string][]int64{},
		open: map[uint64]string{}, asked: map[string]int{}, served: map[string]int{},
		wakes: make([]int64, instances)}
	list := make([]Server, servers)
	for i := range list {
		list[i] = Server{ID: fmt.Sprintf("s-%03d", i), Zone: "z", Share: 1}
	}
	for i := range instances {
		t := Terms{Seed: uint64(i + 1), Zone: "z", Copies: instances, MaxDispatches: 3, CanCancel: true, Tick: step,
			StartCapacity: 0.2, RampTime: 20 * sec, Overload: 3, FallTime: 3 * sec, WastePrice: 1,
			RuleSets: []RuleSet{{Name: "dear", Effect: NonReplayable, ResponseTarget: 800 * ms, BillingValue: 1},
				{Name: "cheap", Effect: Replayable, ResponseTarget: 800 * ms, BillingValue: 0.2}}}
		if change != nil {
			change(&t)
		}
		b := New(t, 0)
		b.Listed(Whole, list, 0)
		c.all = append(c.all, b)
	}
	return c
}

// take hands an instance a req.
func (c *crowd) take(instance int, rules, tenant, key string) {
	c.last++
	what := tenant + rules
	c.open[c.last] = what
	c.asked[what]++
	c.all[instance].Req(Arrival{ID: c.last, RuleSet: rules, Tenant: tenant, Key: key, Budget: 3 * sec}, c.now)
	c.wakes[instance] = c.now
}

// play lets time pass; each names what comes in one step.
func (c *crowd) play(until int64, each func()) {
	for ; c.now < until; c.now += step {
		for len(c.due) > 0 && c.due[0].at <= c.now {
			a := c.due[0]
			c.due = c.due[1:]
			_, open := c.open[a.req]
			if a.outcome == Served && open {
				c.served[c.open[a.req]]++
				delete(c.open, a.req)
			}
			c.all[a.instance].Finished(a.req, a.attempt, a.outcome, a.outcome == Served || !open, c.now-a.sent, c.now)
			c.wakes[a.instance] = c.now
		}
		each()
		for i, b := range c.all {
			if c.wakes[i] > c.now {
				continue
			}
			c.wakes[i] = math.MaxInt64
			for d, ok := b.Next(c.now); ok; d, ok = b.Next(c.now) {
				switch d.Kind {
				case Wake:
					c.wakes[i] = min(c.wakes[i], c.now+d.Time)
				case Deny, Abort:
					delete(c.open, d.Req)
				case Dispatch:
					c.dispatch(i, d)
				}
			}
		}
	}
}

// dispatch queues at a server, which turns away what would wait for a second.
func (c *crowd) dispatch(instance int, d Decision) {
	attempt := 0
	if r := c.all[instance].reqs[d.Req]; r != nil {
		attempt = len(r.sends) - 1
	}
	c.sent[d.Server] = append(c.sent[d.Server], c.now)
	a := answer{at: c.now + ms, sent: c.now, instance: instance, req: d.Req, attempt: attempt, outcome: Refused}
	if from := max(c.now, c.busy[d.Server]); from < c.now+sec {
		c.busy[d.Server] = from + c.work
		if a.at, a.outcome = from+c.work, Served; a.at > d.Time {
			a.at, a.outcome = d.Time, TimedOut
		}
	}
	i, _ := slices.BinarySearchFunc(c.due, a.at+1, func(x answer, at int64) int { return cmp.Compare(x.at, at) })
	c.due = slices.Insert(c.due, i, a)
}

// comes says whether one of so many a second comes in this step.
func (c *crowd) comes(rate float64) bool { return c.dice.Next() < rate*float64(step)/float64(sec) }

func (c *crowd) part(what string) float64 {
	return float64(c.served[what]) / float64(max(1, c.asked[what]))
}

// All instances are told at one moment that a server has started. What it gets from them all together in the
// settings' time stays under N + 3 x root of N + 3, N being what they allow it then; also with a key that is
// many servers' worth.
func TestColdServerBears(t *testing.T) {
	for _, hot := range []float64{0, 0.06} {
		t.Run(fmt.Sprint("hot key ", hot), func(t *testing.T) {
			const servers, used = 20, 0.85
			c := crowded(300, servers, func(t *Terms) { t.StartCapacity = 0.16 })
			c.work = 20 * ms // some have several cores
			rate := used * servers * float64(sec) / float64(c.work) / 300
			each := func() {
				for i := range c.all {
					if c.comes(rate) {
						key := fmt.Sprint("key-", int(400*c.dice.Next()))
						if c.dice.Next() < hot {
							key = "hot"
						}
						c.take(i, "dear", "", key)
					}
				}
			}
			c.play(5*sec, each)
			told := c.now
			for i, b := range c.all {
				b.Listed(Changes, []Server{{ID: "s-007", Zone: "z", Share: 1, Since: told}}, told)
				c.wakes[i] = told
			}
			c.play(told+10*sec, each)
			got, terms := c.sent["s-007"], c.all[0].t
			got = got[slices.IndexFunc(got, func(at int64) bool { return at >= told }):]
			for i, from := range got {
				n := 0
				for _, at := range got[i:] {
					if at < from+terms.FallTime {
						n++
					}
				}
				full := float64(terms.FallTime) / float64(c.work)
				warm := terms.StartCapacity + (1-terms.StartCapacity)*float64(from-told)/float64(terms.RampTime)
				allowed := terms.Overload * warm * full
				if most := allowed + 3*math.Sqrt(allowed) + 3; float64(n) > most {
					t.Fatalf("%d reqs in the time after %d ms, %.0f are allowed", n, (from-told)/ms, most)
				}
			}
			if len(got) < 5 {
				t.Errorf("a cold server gets %d reqs in 10 s", len(got))
			}
			if x := c.part("dear"); x < 0.8 {
				t.Errorf("%.2f of the reqs are served", x)
			}
		})
	}
}

// Under a load of twice what servers bear the dear class, which may not simply be repeated, has about what
// there is, and the cheap one is not shut out for it.
func TestEachClassIsServed(t *testing.T) {
	for name, each := range map[string]struct{ dear, cheap float64 }{
		"half each": {10, 10}, "few cheap": {18, 2}, "few dear": {2, 18},
	} {
		t.Run(name, func(t *testing.T) {
			c := crowded(10, 10, nil)
			c.play(30*sec, func() {
				for i := range c.all {
					if c.comes(each.dear) {
						c.take(i, "dear", "", "")
					}
					if c.comes(each.cheap) {
						c.take(i, "cheap", "", "")
					}
				}
			})
			dear, cheap := c.part("dear"), c.part("cheap")
			t.Logf("dear %.2f, cheap %.2f", dear, cheap)
			if dear < 0.45 || cheap < 0.1 || dear < cheap {
				t.Errorf("served: dear %.2f, cheap %.2f", dear, cheap)
			}
		})
	}
}

// A tenant that stays inside its share is served though others ask for twice what servers bear.
func TestTenantInsideShare(t *testing.T) {
	c := crowded(10, 10, func(t *Terms) { t.Tenants = []Tenant{{"small", 0.1}, {"mid", 0.3}, {"flood", 0.6}} })
	c.play(30*sec, func() {
		for i := range c.all {
			for tenant, rate := range []float64{0.8, 2.5, 20} {
				if c.comes(rate) {
					c.take(i, "dear", c.all[0].t.Tenants[tenant].Name, "")
				}
			}
		}
	})
	small, mid, flood := c.part("smalldear"), c.part("middear"), c.part("flooddear")
	t.Logf("small %.2f, mid %.2f, flood %.2f", small, mid, flood)
	if small < 0.5 || mid < 0.5 || flood > small || flood > mid {
		t.Errorf("served: small %.2f, mid %.2f, the flood %.2f", small, mid, flood)
	}
}

// 45 minutes on the clock: each third is served as the first was, and what is kept does not grow.
func TestSoakThirds(t *testing.T) {
	c := crowded(2, 4, nil)
	var kept []int
	for third := range 3 {
		clear(c.asked)
		clear(c.served)
		clear(c.sent)
		c.play(int64(third+1)*900*sec, func() {
			for i := range c.all {
				if c.comes(6) {
					c.take(i, "dear", "", fmt.Sprint("key-", c.last%5000))
				}
			}
		})
		if x := c.part("dear"); x < 0.97 {
			t.Errorf("third %d: %.3f served", third+1, x)
		}
		b := c.all[0]
		kept = append(kept, len(b.reqs)+len(b.open)+len(b.todo)+cap(b.servers)+len(b.Memory(c.now).Keys))
	}
	t.Log(kept)
	if kept[2] > 2*kept[0]+20 {
		t.Errorf("what is kept grows: %v", kept)
	}
}

// A balancer with no watch is held to its list for the settings' time from its last call: it asks well
// within, at its start, when a watch has ended and when calls fail on and on, and not all do at one moment.
func TestAsksWithinItsTime(t *testing.T) {
	for _, within := range []int64{sec, 2 * sec, 4 * sec, 30 * sec} {
		at := map[int64]bool{}
		for seed := range uint64(100) {
			b := New(Terms{Seed: seed, MustAsk: true, AskWithin: within, Copies: 300, Tick: step}, 0)
			first := b.askAt
			b.Listed(Whole, nil, first)
			if b.askAt != 0 {
				t.Fatal("asks though it is subscribed")
			}
			for now := 10 * sec; now < 40*sec; now = b.askAt { // discovery is down
				b.Listed(Unavailable, nil, now)
				if wait := b.askAt - now; wait <= 0 || wait >= within {
					t.Fatalf("asks %d ms after a failure, %d allowed", wait/ms, within/ms)
				}
			}
			if at[first] = true; first <= 0 || first >= within {
				t.Fatalf("asks first after %d ms of %d", first/ms, within/ms)
			}
		}
		if len(at) < 90 {
			t.Errorf("%d of 100 ask at a time of their own", len(at))
		}
	}
}
