package emu

import (
	"math"
	"testing"

	"ivybank/balance"
	"ivybank/internal/rng"
)

func newTestFleet(t *testing.T, n int, change func(*ServerParams)) (*VirtualClock, *Fleet) {
	t.Helper()
	c := NewVirtualClock(1e12)
	params := ServerParams{QueueCapacity: 1 << 20}
	if change != nil {
		change(&params)
	}
	var all []Machine
	for i := range n {
		all = append(all, Machine{ID: string(rune('a' + i)), Zone: string(rune('x' + i%2)), Cores: 1, Speed: 1, Share: 1})
	}
	return c, NewFleet(c, 1, params, Network{SameZoneDelay: 1e5, CrossZoneDelay: 1e6, DiscoveryDelay: 1e8}, all, 1e9)
}

// The model of a server is compared with closed-form results: in a queue with exponential gaps and work, M/M/1 or M/M/2,
// the mean wait follows from the load, and the cores are as busy as the load.
func TestClosedForms(t *testing.T) {
	for _, x := range []struct {
		name  string
		cores int
		load  float64
		wait  float64 // ratio of mean wait to mean work
	}{
		{"M/M/1 at half", 1, 0.5, 0.5 / (1 - 0.5)},
		{"M/M/1 at 0.8", 1, 0.8, 0.8 / (1 - 0.8)},
		{"M/M/2 at 0.8", 2, 0.8, 0.8 * 0.8 / (1 - 0.8*0.8)},
	} {
		t.Run(x.name, func(t *testing.T) {
			c, f := newTestFleet(t, 1, nil)
			s := f.Servers[0]
			s.Cores = x.cores
			random := rng.Source{Seed: 5}
			const mean, requests = 1e7, 200000
			var waited, worked float64
			at := float64(c.Now())
			for i := range requests {
				at += -math.Log(random.Next()) * mean / (x.load * float64(x.cores))
				work := int64(-math.Log(random.Next())*mean) + 1
				c.Run(int64(at))
				arrivedAt := c.Now()
				s.Offer(&Job{RequestID: string(rune(i)), Work: work, RuleSet: balance.RuleSet{Effect: balance.Replayable},
					Done: func(balance.Outcome) { waited += float64(c.Now() - arrivedAt - work); worked += float64(work) }})
			}
			c.Run(math.MaxInt64)
			if got := waited / worked; math.Abs(got/x.wait-1) > 0.05 {
				t.Errorf("got a wait of %.3f times the work, want %.3f within 5%%", got, x.wait)
			}
			if got := worked / (at - 1e12) / float64(x.cores); math.Abs(got/x.load-1) > 0.02 {
				t.Errorf("got a load of %.3f, want %.3f within 2%%", got, x.load)
			}
		})
	}
}

// offer offers a request to a server and gives its outcome after the time wait; -1 if there is none yet.
func offer(c *VirtualClock, s *Server, work, wait int64) balance.Outcome {
	got := balance.Outcome(-1)
	s.Offer(&Job{RequestID: "r", Key: "k", Work: work, RuleSet: balance.RuleSet{Effect: balance.Replayable},
		Done: func(o balance.Outcome) { got = o }})
	c.Run(c.Now() + wait)
	return got
}

func TestFaults(t *testing.T) {
	const s = int64(1e9)
	for name, x := range map[string]struct {
		fault                Fault
		during               balance.Outcome
		after                balance.Outcome
		staysWarm, announced bool
	}{
		"crash":   {Fault{Kind: "crash"}, balance.NoConnection, balance.Served, false, true},
		"hang":    {Fault{Kind: "hang"}, -1, balance.Served, false, true},
		"vanish":  {Fault{Kind: "vanish"}, -1, balance.Served, false, true},
		"errors":  {Fault{Kind: "errors", Magnitude: 1}, balance.Errored, balance.Served, true, false},
		"reset":   {Fault{Kind: "reset", Magnitude: 1}, balance.Reset, balance.Served, true, false},
		"slow":    {Fault{Kind: "slow", Magnitude: 25}, -1, balance.Served, true, false},
		"drain":   {Fault{Kind: "drain"}, balance.Served, balance.Served, false, true},
		"restart": {Fault{Kind: "restart"}, -1, -1, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			c, f := newTestFleet(t, 2, func(n *ServerParams) { n.RampTime, n.StartCapacity = 100*s, 0.01 })
			x.fault.At, x.fault.Duration, x.fault.Servers = s, 3*s, []string{"a"}
			if err := f.Schedule([]Fault{x.fault}); err != nil {
				t.Fatal(err)
			}
			changes := 0
			f.Watch(func(ListChange) { changes++ }, func() {})
			c.Run(c.Now() + s + s/2)
			if got := offer(c, f.Server("a"), s/10, s); got != x.during {
				t.Errorf("got outcome %d during the fault, want %d", got, x.during)
			}
			if got := offer(c, f.Server("b"), s/10, s/5); got != balance.Served {
				t.Errorf("got outcome %d from another server", got)
			}
			c.Run(1e12 + 5*s)
			// Except after a restart, the server counts as warmed up again.
			f.Server("a").startTime = map[bool]int64{true: f.Server("a").startTime, false: 1}[name == "restart"]
			if got := offer(c, f.Server("a"), s/10, s); got != x.after {
				t.Errorf("got outcome %d after the fault, want %d", got, x.after)
			}
			if changes > 0 != x.announced {
				t.Errorf("discovery announced %d changes", changes)
			}
		})
	}
	t.Run("overlapping faults", func(t *testing.T) {
		c, f := newTestFleet(t, 1, nil)
		_ = f.Schedule([]Fault{{Kind: "slow", At: s, Duration: 2 * s, Servers: []string{"a"}, Magnitude: 4},
			{Kind: "slow", At: 2 * s, Duration: 2 * s, Servers: []string{"a"}, Magnitude: 10}})
		for _, want := range []float64{0, 4, 40, 10, 1} {
			c.Run(c.Now() + s/2)
			if got := f.Server("a").faults.slowdown; math.Abs(got-want) > 1e-9 {
				t.Errorf("at %.1f s: got %v times slower, want %v", float64(c.Now()-1e12)/1e9, got, want)
			}
			c.Run(c.Now() + s/2)
		}
	})
	t.Run("the network", func(t *testing.T) {
		c, f := newTestFleet(t, 2, nil)
		_ = f.Schedule([]Fault{{Kind: "cut", At: s, Duration: s, Zone: "x"},
			{Kind: "lossy", At: 3 * s, Duration: s, Servers: []string{"b"}, Magnitude: 0.5},
			{Kind: "discovery_down", At: 5 * s, Duration: s}, {Kind: "late", At: 7 * s, Duration: s, Magnitude: 2},
			{Kind: "wrong", At: 9 * s, Duration: 3 * s, Servers: []string{"a"}},
			{Kind: "drain", At: 10 * s, Duration: s, Servers: []string{"a"}}})
		c.Run(1e12 + s + 1)
		if _, ok := f.Delivery("y", f.Server("a")); ok {
			t.Error("a cut zone is reachable from outside")
		}
		if _, ok := f.Delivery("x", f.Server("a")); !ok {
			t.Error("a cut zone is not reachable from inside")
		}
		c.Run(1e12 + 3*s + 1)
		lost := 0
		for range 1000 {
			if _, ok := f.Delivery("y", f.Server("b")); !ok {
				lost++
			}
		}
		if lost < 400 || lost > 600 {
			t.Errorf("lost %d of 1000, want half", lost)
		}
		ended := false
		f.Watch(func(ListChange) {}, func() { ended = true })
		if c.Run(1e12 + 5*s + 1); !f.DiscoveryDown() || !ended {
			t.Error("discovery is up, or its watch has not ended")
		}
		c.Run(1e12 + 10*s + s/2)
		if list, _ := f.List(); list[0].State != balance.Running {
			t.Error("a wrong list shows the true state")
		}
	})
}

func TestServer(t *testing.T) {
	const s = int64(1e9)
	t.Run("queue", func(t *testing.T) {
		c, f := newTestFleet(t, 1, func(n *ServerParams) { n.QueueCapacity = 1 })
		a := f.Servers[0]
		var got []balance.Outcome
		for range 3 {
			a.Offer(&Job{Work: s, Done: func(o balance.Outcome) { got = append(got, o) }})
		}
		if len(got) != 1 || got[0] != balance.Refused || a.Report().Waiting != 1 {
			t.Errorf("got %v, want the third refused", got)
		}
		if c.Run(c.Now() + 2*s); len(got) != 3 {
			t.Errorf("got %v, want the others served", got)
		}
	})
	t.Run("cache", func(t *testing.T) {
		c, f := newTestFleet(t, 1, func(n *ServerParams) { n.CacheKeys, n.CacheTTL, n.CacheSavings = 1, 10*s, 0.75 })
		a := f.Servers[0]
		if offer(c, a, s, s-1) == balance.Served || offer(c, a, s, s) != balance.Served {
			t.Fatal("the first request does not take its full work")
		}
		c.Run(c.Now() + 2*s)
		if offer(c, a, s, s/4+1) != balance.Served {
			t.Error("a cached key saves no work")
		}
		c.Run(c.Now() + 11*s)
		if offer(c, a, s, s/4+1) == balance.Served {
			t.Error("an expired key still saves work")
		}
	})
	t.Run("cancel", func(t *testing.T) {
		c, f := newTestFleet(t, 1, nil)
		a := f.Servers[0]
		cancelled := &Job{Work: s, Done: func(balance.Outcome) { t.Error("a cancelled job got an answer") }}
		served := false
		a.Offer(cancelled)
		a.Offer(&Job{Work: s, Done: func(balance.Outcome) { served = true }})
		a.Cancel(cancelled)
		if c.Run(c.Now() + s); !served {
			t.Error("a cancelled job still occupies its core")
		}
	})
}

// The checker reports each violation of a rule, and nothing else.
func TestChecker(t *testing.T) {
	const s = int64(1e9)
	once := balance.RuleSet{Name: "once", Effect: balance.NonReplayable}
	cell := balance.RuleSet{Name: "cell", Effect: balance.Deduplicated, Group: balance.GroupCell, Window: s}
	for name, x := range map[string]struct {
		do   func(c *VirtualClock, f *Fleet)
		rule int
	}{
		"answered":       {func(c *VirtualClock, f *Fleet) { f.Checker.RequestAccepted("r", c.Now()+s); f.Checker.Answered("r") }, 0},
		"client left":    {func(c *VirtualClock, f *Fleet) { f.Checker.RequestAccepted("r", c.Now()+s); f.Checker.ClientLeft("r") }, 0},
		"never answered": {func(c *VirtualClock, f *Fleet) { f.Checker.RequestAccepted("r", c.Now()+s) }, 1},
		"late": {func(c *VirtualClock, f *Fleet) {
			f.Checker.RequestAccepted("r", c.Now()+s)
			c.Run(c.Now() + 2*s)
			f.Checker.Answered("r")
		}, 1},
		"answered twice": {func(c *VirtualClock, f *Fleet) {
			f.Checker.RequestAccepted("r", c.Now()+s)
			f.Checker.Answered("r")
			f.Checker.Answered("r")
		}, 1},
		"ran once": {func(c *VirtualClock, f *Fleet) {
			f.Checker.executionStarted(f.Servers[0], &Job{RequestID: "r", RuleSet: once})
		}, 0},
		"ran twice": {func(c *VirtualClock, f *Fleet) {
			f.Checker.executionStarted(f.Servers[0], &Job{RequestID: "r", RuleSet: once})
			f.Checker.executionStarted(f.Servers[0], &Job{RequestID: "r", RuleSet: once})
		}, 2},
		"repeat dropped": {func(c *VirtualClock, f *Fleet) {
			f.Checker.executionStarted(f.Servers[0], &Job{RequestID: "r", RuleSet: cell})
			f.Checker.executionStarted(f.Servers[0], &Job{RequestID: "r", RuleSet: cell})
		}, 0},
		"repeat past its window": {func(c *VirtualClock, f *Fleet) {
			f.Checker.executionStarted(f.Servers[0], &Job{RequestID: "r", RuleSet: cell})
			c.Run(c.Now() + s)
			f.Checker.executionStarted(f.Servers[0], &Job{RequestID: "r", RuleSet: cell})
		}, 2},
		"repeat in another group": {func(c *VirtualClock, f *Fleet) {
			f.Checker.executionStarted(f.Servers[0], &Job{RequestID: "r", RuleSet: cell})
			f.Checker.executionStarted(f.Servers[1], &Job{RequestID: "r", RuleSet: cell})
		}, 2},
		"within the drain grace": {func(c *VirtualClock, f *Fleet) {
			f.Checker.StateAnnounced(0, "a", balance.Draining)
			c.Run(c.Now() + s)
			f.Checker.AttemptSent(0, "a", "r")
		}, 0},
		"past the drain grace": {func(c *VirtualClock, f *Fleet) {
			f.Checker.StateAnnounced(0, "a", balance.Draining)
			c.Run(c.Now() + s/2)
			f.Checker.StateAnnounced(0, "a", balance.Gone) // counts from the first announcement
			c.Run(c.Now() + s)
			f.Checker.AttemptSent(0, "a", "r")
		}, 3},
		"running again in between": {func(c *VirtualClock, f *Fleet) {
			f.Checker.StateAnnounced(0, "a", balance.Draining)
			f.Checker.StateAnnounced(0, "a", balance.Running)
			c.Run(c.Now() + 9*s)
			f.Checker.AttemptSent(0, "a", "r")
		}, 0},
		"overloaded": {func(c *VirtualClock, f *Fleet) {
			f.Servers[0].Start()
			for range 11 {
				f.Servers[0].Offer(&Job{Work: s / 10, Done: func(balance.Outcome) {}})
			}
			if !f.Servers[0].overloaded || offer(c, f.Servers[0], 1, s) != balance.NoConnection {
				panic("the server has not failed")
			}
		}, 4},
		"not overloaded": {func(c *VirtualClock, f *Fleet) {
			f.Servers[0].Start()
			for range 9 {
				f.Servers[0].Offer(&Job{Work: s / 10, Done: func(balance.Outcome) {}})
			}
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c, f := newTestFleet(t, 2, func(n *ServerParams) {
				n.RampTime, n.StartCapacity, n.OverloadFactor, n.OverloadWindow = 1000*s, 0.5, 2, s
			})
			f.Servers[1].Cell = 1
			x.do(c, f)
			f.Checker.CountUnanswered()
			for rule, n := range f.Checker.Violations {
				if n > 0 != (rule == x.rule && rule > 0) {
					t.Errorf("got %v, want violations of rule %d only: %v", f.Checker.Violations, x.rule, f.Checker.Notes)
				}
			}
		})
	}
}

func TestWallClock(t *testing.T) {
	w := NewWallClock()
	defer w.Stop()
	got := make(chan int, 3)
	w.Do(func() {
		w.At(w.Now()+2e6, func() { got <- 2 })
		w.At(w.Now(), func() { got <- 1; w.At(w.Now()+1e7, func() { got <- 3 }) })
	})
	for want := 1; want <= 3; want++ {
		if x := <-got; x != want {
			t.Errorf("got %d, want %d", x, want)
		}
	}
}
