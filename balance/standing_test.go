package balance

// One test for each limit of the operators' standing test that package balance has to keep; docs/sockets.md lists them.
// Many instances run on one simulated clock in front of servers with a queue each; random numbers come from seeds.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"

	"ivybank/internal/rng"
)

const step = 5 * ms // of the simulated clock

// simulation runs many instances of one fleet in front of the same servers.
type simulation struct {
	all    []*Balancer
	wakes  []int64 // by instance
	rng    rng.Source
	now    int64
	last   uint64           // number of the latest request
	due    []answer         // by time
	work   int64            // time of a request at an idle server
	busy   map[string]int64 // by server, until when
	sent   map[string][]int64
	open   map[uint64]string // class of each request without a final answer
	asked  map[string]int    // by class
	served map[string]int    // by class
}

type answer struct {
	at, sent int64
	instance int
	request  uint64
	attempt  int
	outcome  Outcome
}

func newSimulation(instances, servers int, change func(*Config)) *simulation {
	c := &simulation{rng: rng.Source{Seed: 3}, work: 100 * ms, busy: map[string]int64{}, sent: map[string][]int64{},
		open: map[uint64]string{}, asked: map[string]int{}, served: map[string]int{},
		wakes: make([]int64, instances)}
	list := make([]Server, servers)
	for i := range list {
		list[i] = Server{ID: fmt.Sprintf("s-%03d", i), Zone: "z", Share: 1}
	}
	for i := range instances {
		t := Config{Seed: uint64(i + 1), Zone: "z", FleetSize: instances, MaxDispatches: 3, CanCancel: true, Tick: step,
			StartCapacity: 0.2, RampTime: 20 * sec, OverloadFactor: 3, OverloadTime: 3 * sec, WastePrice: 1,
			RuleSets: []RuleSet{{Name: "expensive", Effect: NonReplayable, ResponseTarget: 800 * ms, BillingValue: 1},
				{Name: "cheap", Effect: Replayable, ResponseTarget: 800 * ms, BillingValue: 0.2}}}
		if change != nil {
			change(&t)
		}
		b := New(t, 0)
		b.UpdateList(ListReplace, list, 0)
		c.all = append(c.all, b)
	}
	return c
}

// addRequest adds a request at an instance. Its class is the tenant and the rule set.
func (c *simulation) addRequest(instance int, rules, tenant, key string) {
	c.last++
	what := tenant + rules
	c.open[c.last] = what
	c.asked[what]++
	c.all[instance].AddRequest(Arrival{ID: c.last, RuleSet: rules, Tenant: tenant, Key: key, Budget: 3 * sec}, c.now)
	c.wakes[instance] = c.now
}

// play advances the clock; each adds the requests of one step.
func (c *simulation) play(until int64, each func()) {
	for ; c.now < until; c.now += step {
		for len(c.due) > 0 && c.due[0].at <= c.now {
			a := c.due[0]
			c.due = c.due[1:]
			_, open := c.open[a.request]
			if a.outcome == Served && open {
				c.served[c.open[a.request]]++
				delete(c.open, a.request)
			}
			c.all[a.instance].Finished(a.request, a.attempt, a.outcome, a.outcome == Served || !open, c.now-a.sent, c.now)
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
					delete(c.open, d.Request)
				case Dispatch:
					c.dispatch(i, d)
				}
			}
		}
	}
}

// dispatch queues a request at a server, which refuses it if it would wait for a second.
func (c *simulation) dispatch(instance int, d Decision) {
	attempt := 0
	if r := c.all[instance].requests[d.Request]; r != nil {
		attempt = len(r.dispatches) - 1
	}
	c.sent[d.Server] = append(c.sent[d.Server], c.now)
	a := answer{at: c.now + ms, sent: c.now, instance: instance, request: d.Request, attempt: attempt, outcome: Refused}
	if from := max(c.now, c.busy[d.Server]); from < c.now+sec {
		c.busy[d.Server] = from + c.work
		if a.at, a.outcome = from+c.work, Served; a.at > d.Time {
			a.at, a.outcome = d.Time, TimedOut
		}
	}
	i, _ := slices.BinarySearchFunc(c.due, a.at+1, func(x answer, at int64) int { return cmp.Compare(x.at, at) })
	c.due = slices.Insert(c.due, i, a)
}

// arrives reports whether a request of a stream of that rate per second arrives in this step.
func (c *simulation) arrives(rate float64) bool {
	return c.rng.Next() < rate*float64(step)/float64(sec)
}

func (c *simulation) servedShare(what string) float64 {
	return float64(c.served[what]) / float64(max(1, c.asked[what]))
}

// All instances learn at the same moment that a server has started. What they send to it together within OverloadTime
// must stay below N + 3 x root of N + 3, where N is what the settings allow, even with a key that needs
// many servers.
func TestColdServerIsNotOverloaded(t *testing.T) {
	for _, hot := range []float64{0, 0.06} {
		t.Run(fmt.Sprint("hot key ", hot), func(t *testing.T) {
			const servers, utilisation = 20, 0.85
			c := newSimulation(300, servers, func(t *Config) { t.StartCapacity = 0.16 })
			c.work = 20 * ms // some have several cores
			rate := utilisation * servers * float64(sec) / float64(c.work) / 300
			each := func() {
				for i := range c.all {
					if c.arrives(rate) {
						key := fmt.Sprint("key-", int(400*c.rng.Next()))
						if c.rng.Next() < hot {
							key = "hot"
						}
						c.addRequest(i, "expensive", "", key)
					}
				}
			}
			c.play(5*sec, each)
			startedAt := c.now
			for i, b := range c.all {
				b.UpdateList(ListUpdate, []Server{{ID: "s-007", Zone: "z", Share: 1, Since: startedAt}}, startedAt)
				c.wakes[i] = startedAt
			}
			c.play(startedAt+10*sec, each)
			got, cfg := c.sent["s-007"], c.all[0].cfg
			got = got[slices.IndexFunc(got, func(at int64) bool { return at >= startedAt }):]
			for i, from := range got {
				n := 0
				for _, at := range got[i:] {
					if at < from+cfg.OverloadTime {
						n++
					}
				}
				full := float64(cfg.OverloadTime) / float64(c.work)
				warm := cfg.StartCapacity + (1-cfg.StartCapacity)*float64(from-startedAt)/float64(cfg.RampTime)
				allowed := cfg.OverloadFactor * warm * full
				if most := allowed + 3*math.Sqrt(allowed) + 3; float64(n) > most {
					t.Fatalf("%d requests in the OverloadTime after %d ms, %.0f are allowed", n, (from-startedAt)/ms, most)
				}
			}
			if len(got) < 5 {
				t.Errorf("a cold server gets %d requests in 10 s, want at least 5", len(got))
			}
			if x := c.servedShare("expensive"); x < 0.8 {
				t.Errorf("%.2f of the requests are served", x)
			}
		})
	}
}

// Under twice the load that servers can take, the expensive class, whose requests must not be repeated, gets most of the
// capacity, and the cheap one still gets some.
func TestEachClassIsServed(t *testing.T) {
	for name, each := range map[string]struct{ expensive, cheap float64 }{
		"half each": {10, 10}, "few cheap": {18, 2}, "few expensive": {2, 18},
	} {
		t.Run(name, func(t *testing.T) {
			c := newSimulation(10, 10, nil)
			c.play(30*sec, func() {
				for i := range c.all {
					if c.arrives(each.expensive) {
						c.addRequest(i, "expensive", "", "")
					}
					if c.arrives(each.cheap) {
						c.addRequest(i, "cheap", "", "")
					}
				}
			})
			expensive, cheap := c.servedShare("expensive"), c.servedShare("cheap")
			t.Logf("expensive %.2f, cheap %.2f", expensive, cheap)
			if expensive < 0.45 || cheap < 0.1 || expensive < cheap {
				t.Errorf("served: expensive %.2f, cheap %.2f", expensive, cheap)
			}
		})
	}
}

// A tenant inside its share is served even if others ask for twice what servers can take.
func TestTenantInsideShare(t *testing.T) {
	c := newSimulation(10, 10, func(t *Config) { t.Tenants = []Tenant{{"small", 0.1}, {"mid", 0.3}, {"flood", 0.6}} })
	c.play(30*sec, func() {
		for i := range c.all {
			for tenant, rate := range []float64{0.8, 2.5, 20} {
				if c.arrives(rate) {
					c.addRequest(i, "expensive", c.all[0].cfg.Tenants[tenant].Name, "")
				}
			}
		}
	})
	small, mid, flood := c.servedShare("smallexpensive"), c.servedShare("midexpensive"), c.servedShare("floodexpensive")
	t.Logf("small %.2f, mid %.2f, flood %.2f", small, mid, flood)
	if small < 0.5 || mid < 0.5 || flood > small || flood > mid {
		t.Errorf("served: small %.2f, mid %.2f, flood %.2f", small, mid, flood)
	}
}

// 45 simulated minutes: each third is served like the first, and the size of the state does not grow.
func TestSoakThirds(t *testing.T) {
	c := newSimulation(2, 4, nil)
	var kept []int
	for third := range 3 {
		clear(c.asked)
		clear(c.served)
		clear(c.sent)
		c.play(int64(third+1)*900*sec, func() {
			for i := range c.all {
				if c.arrives(6) {
					c.addRequest(i, "expensive", "", fmt.Sprint("key-", c.last%5000))
				}
			}
		})
		if x := c.servedShare("expensive"); x < 0.97 {
			t.Errorf("third %d: %.3f served", third+1, x)
		}
		b := c.all[0]
		kept = append(kept, len(b.requests)+len(b.open)+len(b.decisions)+cap(b.servers)+len(b.Snapshot(c.now).Keys))
	}
	t.Log(kept)
	if kept[2] > 2*kept[0]+20 {
		t.Errorf("state grows: %v", kept)
	}
}

// A balancer without a subscription must request the list again within AskWithin. It does so well before, at its start,
// after a subscription has ended and while calls keep failing, and balancers do not all call at one moment.
func TestListIsRequestedWithinAskWithin(t *testing.T) {
	for _, within := range []int64{sec, 2 * sec, 4 * sec, 30 * sec} {
		at := map[int64]bool{}
		for seed := range uint64(100) {
			b := New(Config{Seed: seed, ListOnRequest: true, AskWithin: within, FleetSize: 300, Tick: step}, 0)
			first := b.askAt
			b.UpdateList(ListReplace, nil, first)
			if b.askAt != 0 {
				t.Fatal("requests the list although it is subscribed")
			}
			for now := 10 * sec; now < 40*sec; now = b.askAt { // discovery is down
				b.UpdateList(ListUnavailable, nil, now)
				if wait := b.askAt - now; wait <= 0 || wait >= within {
					t.Fatalf("requests the list %d ms after a failure, %d allowed", wait/ms, within/ms)
				}
			}
			if at[first] = true; first <= 0 || first >= within {
				t.Fatalf("first requests the list after %d ms of %d", first/ms, within/ms)
			}
		}
		if len(at) < 90 {
			t.Errorf("%d of 100 request the list at different times, want 90", len(at))
		}
	}
}
