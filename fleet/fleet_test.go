package fleet

import (
	"fmt"
	"slices"
	"testing"

	"ivybank/balance"
	"ivybank/fleet/aggregate"
	"ivybank/fleet/assign"
	"ivybank/fleet/peer"
	"ivybank/fleet/swim"
	"ivybank/internal/rng"
)

const start = int64(1e15)

func testConfig(index, members int) Config {
	return Config{Index: index, Members: members, Incarnation: swim.IncarnationAt(start) + uint64(index),
		Seed: uint64(index + 1), DatagramsPerSecond: 40, AckTimeout: 300 * ms, MinSilence: 2300 * ms,
		RuleSets:      []balance.RuleSet{{Name: "low", BillingValue: 1}, {Name: "high", BillingValue: 8}},
		MaxRetryAfter: sec, OverShareFactor: 0.2,
		Overload: &Overload{RetryRatio: 0.1, MaxMemberRate: 1000},
		Probes:   &assign.Config{Interval: sec, TakeOverAfter: 3 * sec}}
}

// testNetwork delivers datagrams between members without delay, and advances time in steps of 10 ms.
type testNetwork struct {
	members  []*Fleet
	now      int64
	delivers func(from, to int) bool
	probes   map[string][]int // members that probed each server
	advice   []balance.Advice
	logged   []string
}

func newTestNetwork(n int) *testNetwork {
	m := &testNetwork{now: start, delivers: func(int, int) bool { return true }, probes: map[string][]int{},
		advice: make([]balance.Advice, n)}
	for i := range n {
		m.members = append(m.members, New(testConfig(i, n), m.now))
		m.members[i].SetServers(serverIDs(10), m.now)
	}
	return m
}

func serverIDs(n int) (ids []string) {
	for i := range n {
		ids = append(ids, fmt.Sprintf("s-%d", i))
	}
	return ids
}

func (m *testNetwork) run(duration int64, each func()) {
	for end := m.now + duration; m.now < end; m.now += 10 * ms {
		for i, f := range m.members {
			if f.lastTick+50*ms <= m.now {
				f.Tick(m.now)
			}
			m.perform(i)
		}
		if each != nil {
			each()
		}
	}
}

func (m *testNetwork) perform(i int) {
	for a, ok := m.members[i].Next(); ok; a, ok = m.members[i].Next() {
		switch a.Kind {
		case Send:
			if m.delivers(i, a.To) {
				m.members[a.To].Receive(&a.Datagram, m.now)
			}
		case Probe:
			m.probes[a.Server] = append(m.probes[a.Server], i)
			m.members[i].ProbeEnded(a.Server, true, m.now)
		case Advise:
			m.advice[i] = a.Advice
		case Log:
			m.logged = append(m.logged, a.Text)
		}
	}
}

// load gives each member so many requests of each rule set every 100 ms, and serves no more of the admitted ones
// than the capacity, in requests per second.
func (m *testNetwork) load(low, high int, capacity float64) func() {
	n, carry, random := 0, 0.0, rng.Source{Seed: 1}
	latency := 200 * ms
	if float64(10*(low+high)*len(m.members)) > capacity {
		latency = 400 * ms // an overloaded fleet is slower
	}
	return func() {
		if n++; n%10 != 0 {
			return
		}
		left := capacity/10 + carry
		for _, f := range m.members {
			for k := range low + high {
				ruleSet := 0
				if k < high {
					ruleSet = 1
				}
				clientHash := random.Next()
				if rejected, _ := f.Admit(ruleSet, 0, clientHash, false, m.now); rejected {
					continue
				}
				if left >= 1 {
					left--
					f.DispatchEnded("s-1", balance.Served, true, latency, m.now)
					f.ServedInTime(m.now)
				} else {
					f.Missed(clientHash, m.now)
				}
			}
		}
		carry = min(left, 1)
	}
}

// Under an overload all members admit the same parts and reject the lowest value first. After it they reject
// nothing.
func TestMembersShedAlike(t *testing.T) {
	m := newTestNetwork(6)
	m.run(3*sec, m.load(1, 1, 1000))
	m.run(10*sec, m.load(3, 1, 120)) // 240 requests a second, of which half can be served
	var parts []float64
	for i, f := range m.members {
		if !f.shedder.Active {
			t.Fatalf("member %d does not shed", i)
		}
		if high := f.shedder.AdmittedByClass[f.shedder.Class(1, 0)]; high < 0.99 {
			t.Errorf("member %d admits %.2f of the high value requests", i, high)
		}
		parts = append(parts, f.shedder.AdmittedByClass[f.shedder.Class(0, 0)])
	}
	if low, high := slices.Min(parts), slices.Max(parts); high-low > 0.1 || low < 0.15 || high > 0.5 {
		t.Errorf("admitted parts %.2f of the low value requests, want about a third at each member", parts)
	}
	m.run(3*sec, m.load(1, 1, 1000))
	for i, f := range m.members {
		if shed, _ := f.Admit(0, 0, 0.999, false, m.now); shed {
			t.Errorf("member %d sheds after the overload", i)
		}
	}
}

// A rejected request is rejected again at any member while shedding lasts, and its retries add no demand.
func TestClientRetries(t *testing.T) {
	f := New(testConfig(0, 1), start)
	f.shedder.Active = true
	f.shedder.AdmittedByClass[f.shedder.Class(0, 0)] = 0.5
	for range 3 {
		if shed, wait := f.Admit(0, 0, 0.7, false, start); !shed || wait < int64(0.3*float64(sec)) || wait > sec {
			t.Errorf("shed %v for %d ms", shed, wait/ms)
		}
	}
	if f.Count.Retries != 2 || f.offered[f.shedder.Class(0, 0)].Value != 1 {
		t.Errorf("%d retries and a demand of %v, want 2 and 1", f.Count.Retries, f.offered[f.shedder.Class(0, 0)].Value)
	}
	// A request that was missed and then retried is not lost yet.
	f.Missed(0.2, start)
	if f.Admit(0, 0, 0.2, false, start); f.unserved.Value != 0 {
		t.Errorf("%v unserved, want 0", f.unserved.Value)
	}
	if f.Admit(0, 0, 0.3, true, start); f.Count.Retries != 4 {
		t.Error("a marked retry counts as demand")
	}
}

// A server's share is reduced when two members lose dispatches to it. It is not reduced by one member's report, by
// that of a member whose own link is broken, or against this member's own success.
func TestShareFactors(t *testing.T) {
	lost := func(server string, by int) peer.Hint {
		return peer.Hint{Server: peer.ServerHash(server), Origin: by, Observation: peer.DispatchesLost}
	}
	all := func(int) bool { return true }
	for name, c := range map[string]struct {
		hints      []peer.Hint
		lastServed string // server that has just served this member
		alive      func(int) bool
		want       map[string]float64
	}{
		"one report":            {[]peer.Hint{lost("s-1", 1)}, "", all, nil},
		"the same report twice": {[]peer.Hint{lost("s-1", 1), lost("s-1", 1)}, "", all, nil},
		"two reports": {[]peer.Hint{lost("s-1", 1), lost("s-1", 2)}, "", all,
			map[string]float64{"s-1": reducedShare}},
		"three reports": {[]peer.Hint{lost("s-1", 1), lost("s-1", 2), lost("s-1", 3)}, "", all,
			map[string]float64{"s-1": lowestShare}},
		"two reports, but served here": {[]peer.Hint{lost("s-1", 1), lost("s-1", 2)}, "s-1", all, nil},
		"one of them dead": {[]peer.Hint{lost("s-1", 1), lost("s-1", 2)}, "",
			func(i int) bool { return i != 2 }, nil},
		"one reporter with a broken link": {[]peer.Hint{lost("s-1", 1), lost("s-1", 2),
			lost("s-2", 2), lost("s-3", 2), lost("s-4", 2)}, "", all, nil},
		"a prober and another member": {[]peer.Hint{lost("s-1", 1),
			{Server: peer.ServerHash("s-1"), Origin: 2, Observation: peer.ProbeUnanswered}}, "", all,
			map[string]float64{"s-1": reducedShare}},
		"a prober that reports both": {[]peer.Hint{lost("s-1", 2),
			{Server: peer.ServerHash("s-1"), Origin: 2, Observation: peer.ProbeUnanswered}}, "", all, nil},
		"not a listed server": {[]peer.Hint{lost("other", 1), lost("other", 2)}, "", all, nil},
	} {
		t.Run(name, func(t *testing.T) {
			w := &serverReports{}
			w.setServers(serverIDs(10))
			if c.lastServed != "" {
				w.served(c.lastServed, start)
			}
			for _, h := range c.hints {
				w.receiveHint(h, start)
			}
			if got := w.shareFactors(0, c.alive, start); fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
			if got := w.shareFactors(0, c.alive, start+reportMaxAge); len(got) > 0 {
				t.Errorf("%v remains after the reports have expired", got)
			}
		})
	}
}

// A third member that has sent nothing to a server gets a reduced share for it when two others lose dispatches
// there.
func TestReportsSpread(t *testing.T) {
	m := newTestNetwork(4)
	m.run(2*sec, nil)
	n := 0
	m.run(1500*ms, func() {
		if n++; n%10 != 0 {
			return
		}
		for i := range 2 {
			m.members[i].Dispatched("s-4", false, m.now)
			m.members[i].DispatchEnded("s-4", balance.TimedOut, true, 0, m.now)
		}
	})
	if got := m.advice[3].ShareFactors["s-4"]; got == 0 || got > reducedShare || len(m.advice[3].ShareFactors) != 1 {
		t.Errorf("the third member got %v", m.advice[3].ShareFactors)
	}
	m.run(6*sec, nil)
	if len(m.advice[3].ShareFactors) != 0 {
		t.Error("the reduced share remains after the reports have expired")
	}
}

// Each server is probed about once a second by one member, and the others receive the results.
func TestProbes(t *testing.T) {
	m := newTestNetwork(6)
	m.run(4*sec, nil)
	m.probes = map[string][]int{}
	m.run(20*sec, nil)
	for id, by := range m.probes {
		if len(by) < 18 || len(by) > 26 {
			t.Errorf("%s probed %d times in 20 s", id, len(by))
		}
	}
	if len(m.probes) != 10 {
		t.Errorf("%d servers probed", len(m.probes))
	}
}

// A process that was stalled for seconds drops the datagrams that waited for it, and discards shedding and loads
// from before.
func TestStall(t *testing.T) {
	m := newTestNetwork(3)
	m.run(2*sec, m.load(1, 1, 1000))
	m.run(3*sec, m.load(4, 1, 20))
	f := m.members[1]
	if !f.shedder.Active {
		t.Fatal("no shedding before the stall")
	}
	waiting := peer.Datagram{From: 0, Incarnation: m.members[0].swim.Incarnation(), Number: 1 << 40, Kind: peer.Push}
	now := m.now + 5*sec
	f.Receive(&waiting, now)
	if f.Count.Stale != 1 {
		t.Error("a datagram that waited was accepted")
	}
	f.Tick(now)
	if _, counted := f.load.FleetLoad(now); f.shedder.Active || counted != 1 {
		t.Errorf("shedding %v, %d counted; want no state from before the stall", f.shedder.Active, counted)
	}
	for i := range 3 {
		if !f.swim.Alive(i) {
			t.Errorf("the stalled process considers member %d dead", i)
		}
	}
	f.Receive(&waiting, now+ignoreAfterStall)
	if f.Count.Stale != 1 {
		t.Error("a datagram after the stall was dropped")
	}
}

// A load that no member can have is not believed, and the member that reported it is left out.
func TestImplausibleLoad(t *testing.T) {
	m := newTestNetwork(2)
	m.run(2*sec, nil)
	implausible := aggregate.Load{First: 1e9}
	implausible.Offered[0] = 1e9
	m.members[0].load.Receive([]peer.LoadSum{{Block: 1, Members: 1, Incarnation: 1 << 60, Load: implausible.Bytes()}},
		m.now)
	if got, _ := m.members[0].load.FleetLoad(m.now); got.TotalOffered() > 1000 {
		t.Errorf("got an offered load of %v", got.TotalOffered())
	}
	if m.members[0].load.Implausible != 1 {
		t.Error("the implausible sum was not counted")
	}
}

// A member without peers spends the retries that it earns, and the balancer is told what is left.
func TestRetryBudget(t *testing.T) {
	m := newTestNetwork(1)
	m.run(sec, nil)
	for range 40 {
		m.members[0].Dispatched("s-1", false, m.now)
	}
	m.run(200*ms, nil)
	if a := m.advice[0]; !a.RetriesLimited || a.RetriesLeft < 2 {
		t.Fatalf("got %+v", a)
	}
	for range 10 {
		m.members[0].Dispatched("s-1", true, m.now)
	}
	m.run(200*ms, nil)
	if a := m.advice[0]; a.RetriesLeft != 0 {
		t.Errorf("got %+v with all retries spent", a)
	}
}

// The hot path of a request does not allocate.
func TestRequestDoesNotAllocate(t *testing.T) {
	f, n := New(testConfig(0, 12), start), int64(0)
	f.SetServers(serverIDs(10), start)
	if got := testing.AllocsPerRun(1000, func() { handleRequest(f, &n) }); got != 0 {
		t.Errorf("%v allocations", got)
	}
}

func handleRequest(f *Fleet, n *int64) {
	*n++
	clientHash := float64(*n%9973)/9973 + 1e-9
	now := start + *n*ms
	f.Admit(1, 0, clientHash, false, now)
	f.Dispatched("s-3", false, now)
	f.DispatchEnded("s-3", balance.Served, true, ms, now)
	f.ServedInTime(now)
}

func BenchmarkRequest(b *testing.B) {
	f, n := New(testConfig(0, 12), start), int64(0)
	f.SetServers(serverIDs(10), start)
	b.ReportAllocs()
	for b.Loop() {
		handleRequest(f, &n)
	}
}

func BenchmarkTick(b *testing.B) {
	m := newTestNetwork(12)
	m.run(2*sec, nil)
	b.ReportAllocs()
	for b.Loop() {
		m.run(sec, nil)
	}
}
