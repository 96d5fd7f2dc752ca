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

const begun = int64(1e15)

func terms(me, of int) Config {
	return Config{Index: me, Members: of, Incarnation: swim.IncarnationAt(begun) + uint64(me), Seed: uint64(me + 1), DatagramsPerSecond: 40, AckTimeout: 300 * ms, MinSilence: 2300 * ms,
		RuleSets: []balance.RuleSet{{Name: "low", BillingValue: 1}, {Name: "high", BillingValue: 8}}, MaxRetryAfter: sec, OverShareFactor: 0.2,
		Overload: &Overload{RetryRatio: 0.1, MaxMemberRate: 1000}, Probes: &assign.Config{Interval: sec, TakeOverAfter: 3 * sec}}
}

// mesh carries datagrams between members at once, and time by steps of 10 ms.
type mesh struct {
	members []*Fleet
	now     int64
	passes  func(from, to int) bool
	probes  map[string][]int // by server, who probed it
	advice  []balance.Advice
	told    []string
}

func newMesh(n int) *mesh {
	m := &mesh{now: begun, passes: func(int, int) bool { return true }, probes: map[string][]int{}, advice: make([]balance.Advice, n)}
	for i := range n {
		m.members = append(m.members, New(terms(i, n), m.now))
		m.members[i].SetServers(servers(10), m.now)
	}
	return m
}

func servers(n int) (ids []string) {
	for i := range n {
		ids = append(ids, fmt.Sprintf("s-%d", i))
	}
	return ids
}

func (m *mesh) run(d int64, each func()) {
	for end := m.now + d; m.now < end; m.now += 10 * ms {
		for i, f := range m.members {
			if f.lastTick+50*ms <= m.now {
				f.Tick(m.now)
			}
			m.carry(i)
		}
		if each != nil {
			each()
		}
	}
}

func (m *mesh) carry(i int) {
	for a, ok := m.members[i].Next(); ok; a, ok = m.members[i].Next() {
		switch a.Kind {
		case Send:
			if m.passes(i, a.To) {
				m.members[a.To].Receive(&a.Datagram, m.now)
			}
		case Probe:
			m.probes[a.Server] = append(m.probes[a.Server], i)
			m.members[i].ProbeEnded(a.Server, true, m.now)
		case Advise:
			m.advice[i] = a.Advice
		case Log:
			m.told = append(m.told, a.Text)
		}
	}
}

// load has each member take so many reqs of each rule set every 100 ms and serve no more than a part of those that are let in.
func (m *mesh) load(low, high int, bears float64) func() {
	n, carry, dice := 0, 0.0, rng.Source{Seed: 1}
	took := 200 * ms
	if float64(10*(low+high)*len(m.members)) > bears {
		took = 400 * ms // what is crowded is slow
	}
	return func() {
		if n++; n%10 != 0 {
			return
		}
		left := bears/10 + carry
		for _, f := range m.members {
			for k := range low + high {
				set := 0
				if k < high {
					set = 1
				}
				luck := dice.Next()
				if shed, _ := f.Admit(set, 0, luck, false, m.now); shed {
					continue
				}
				if left >= 1 {
					left--
					f.DispatchEnded("s-1", balance.Served, true, took, m.now)
					f.ServedInTime(m.now)
				} else {
					f.Missed(luck, m.now)
				}
			}
		}
		carry = min(left, 1)
	}
}

// Under an overload all members deny by one cut, the least worth first; after it they deny nothing.
func TestOneCut(t *testing.T) {
	m := newMesh(6)
	m.run(3*sec, m.load(1, 1, 1000))
	m.run(10*sec, m.load(3, 1, 120)) // 240 a second come, half of them can be borne
	var parts []float64
	for i, f := range m.members {
		if !f.shedder.Active {
			t.Fatalf("member %d has no cut", i)
		}
		if high := f.shedder.AdmittedByClass[f.shedder.Class(1, 0)]; high < 0.99 {
			t.Errorf("member %d lets in %.2f of the valuable", i, high)
		}
		parts = append(parts, f.shedder.AdmittedByClass[f.shedder.Class(0, 0)])
	}
	if low, high := slices.Min(parts), slices.Max(parts); high-low > 0.1 || low < 0.15 || high > 0.5 {
		t.Errorf("of the others %.2f are let in, want one part of about a third", parts)
	}
	m.run(3*sec, m.load(1, 1, 1000))
	for i, f := range m.members {
		if shed, _ := f.Admit(0, 0, 0.999, false, m.now); shed {
			t.Errorf("member %d sheds after the overload", i)
		}
	}
}

// What was denied is denied again at any member while the cut stands, and is no further demand.
func TestRetries(t *testing.T) {
	f := New(terms(0, 1), begun)
	f.shedder.Active = true
	f.shedder.AdmittedByClass[f.shedder.Class(0, 0)] = 0.5
	for range 3 {
		if shed, wait := f.Admit(0, 0, 0.7, false, begun); !shed || wait < int64(0.3*float64(sec)) || wait > sec {
			t.Errorf("shed %v for %d ms", shed, wait/ms)
		}
	}
	if f.Count.Retries != 2 || f.offered[f.shedder.Class(0, 0)].Value != 1 {
		t.Errorf("%d retries, %v asked, want two and one", f.Count.Retries, f.offered[f.shedder.Class(0, 0)].Value)
	}
	// Lost and come again: not lost yet.
	f.Missed(0.2, begun)
	if f.Admit(0, 0, 0.2, false, begun); f.unserved.Value != 0 {
		t.Errorf("%v lacked", f.unserved.Value)
	}
	if f.Admit(0, 0, 0.3, true, begun); f.Count.Retries != 4 {
		t.Error("a marked retry counts as demand")
	}
}

// Care is due where two members lost what they sent, and not by one member's word, of one whose own link is broken, or against what was
// served here.
func TestWary(t *testing.T) {
	lost := func(server string, by int) peer.Hint {
		return peer.Hint{Server: peer.ServerHash(server), Origin: by, Observation: peer.DispatchesLost}
	}
	all := func(int) bool { return true }
	for name, c := range map[string]struct {
		hints []peer.Hint
		good  string // a server that has just served here
		alive func(int) bool
		want  map[string]float64
	}{
		"one's word":              {[]peer.Hint{lost("s-1", 1)}, "", all, nil},
		"the same twice":          {[]peer.Hint{lost("s-1", 1), lost("s-1", 1)}, "", all, nil},
		"two":                     {[]peer.Hint{lost("s-1", 1), lost("s-1", 2)}, "", all, map[string]float64{"s-1": reducedShare}},
		"three":                   {[]peer.Hint{lost("s-1", 1), lost("s-1", 2), lost("s-1", 3)}, "", all, map[string]float64{"s-1": lowestShare}},
		"two, but served here":    {[]peer.Hint{lost("s-1", 1), lost("s-1", 2)}, "s-1", all, nil},
		"one of them dead":        {[]peer.Hint{lost("s-1", 1), lost("s-1", 2)}, "", func(i int) bool { return i != 2 }, nil},
		"one with a broken link":  {[]peer.Hint{lost("s-1", 1), lost("s-1", 2), lost("s-2", 2), lost("s-3", 2), lost("s-4", 2)}, "", all, nil},
		"a prober and another":    {[]peer.Hint{lost("s-1", 1), {Server: peer.ServerHash("s-1"), Origin: 2, Observation: peer.ProbeUnanswered}}, "", all, map[string]float64{"s-1": reducedShare}},
		"a prober that says both": {[]peer.Hint{lost("s-1", 2), {Server: peer.ServerHash("s-1"), Origin: 2, Observation: peer.ProbeUnanswered}}, "", all, nil},
		"no server of the list":   {[]peer.Hint{lost("other", 1), lost("other", 2)}, "", all, nil},
	} {
		t.Run(name, func(t *testing.T) {
			w := &serverReports{}
			w.setServers(servers(10))
			if c.good != "" {
				w.served(c.good, begun)
			}
			for _, h := range c.hints {
				w.receiveHint(h, begun)
			}
			if got := w.shareFactors(0, c.alive, begun); fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
			if got := w.shareFactors(0, c.alive, begun+reportMaxAge); len(got) > 0 {
				t.Errorf("%v is still there when the reports are old", got)
			}
		})
	}
}

// A server at which two members lose what they send is met with care by a third that has sent nothing there.
func TestCareSpreads(t *testing.T) {
	m := newMesh(4)
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
		t.Errorf("a third is told %v", m.advice[3].ShareFactors)
	}
	m.run(6*sec, nil)
	if len(m.advice[3].ShareFactors) != 0 {
		t.Error("care outlives its reports")
	}
}

// Each server is probed about once a second by one member, whose results the others hear.
func TestProbes(t *testing.T) {
	m := newMesh(6)
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

// A process that did not run for seconds takes nothing that waited for it, and holds neither the cut nor the picture from before.
func TestStoodStill(t *testing.T) {
	m := newMesh(3)
	m.run(2*sec, m.load(1, 1, 1000))
	m.run(3*sec, m.load(4, 1, 20))
	f := m.members[1]
	if !f.shedder.Active {
		t.Fatal("no cut to begin with")
	}
	late := peer.Datagram{From: 0, Incarnation: m.members[0].swim.Incarnation(), Number: 1 << 40, Kind: peer.Push}
	now := m.now + 5*sec
	f.Receive(&late, now)
	if f.Count.Stale != 1 {
		t.Error("what waited was taken")
	}
	f.Tick(now)
	if _, of := f.load.FleetLoad(now); f.shedder.Active || of != 1 {
		t.Errorf("cut %v, %d counted, want neither from before", f.shedder.Active, of)
	}
	for i := range 3 {
		if !f.swim.Alive(i) {
			t.Errorf("member %d is held to be dead by one that did not run", i)
		}
	}
	f.Receive(&late, now+ignoreAfterStall)
	if f.Count.Stale != 1 {
		t.Error("what comes afterwards is not taken")
	}
}

// A load that no member can have is not believed; one of zero only leaves its member's part out.
func TestImpossible(t *testing.T) {
	m := newMesh(2)
	m.run(2*sec, nil)
	wild := aggregate.Load{First: 1e9}
	wild.Offered[0] = 1e9
	m.members[0].load.Receive([]peer.LoadSum{{Block: 1, Members: 1, Incarnation: 1 << 60, Load: wild.Bytes()}}, m.now)
	if got, _ := m.members[0].load.FleetLoad(m.now); got.TotalOffered() > 1000 {
		t.Errorf("%v believed", got.TotalOffered())
	}
	if m.members[0].load.Implausible != 1 {
		t.Error("not counted")
	}
}

// Alone a member spends what it earns, and the module is told.
func TestBudget(t *testing.T) {
	m := newMesh(1)
	m.run(sec, nil)
	for range 40 {
		m.members[0].Dispatched("s-1", false, m.now)
	}
	m.run(200*ms, nil)
	if a := m.advice[0]; !a.RetriesLimited || a.RetriesLeft < 2 {
		t.Fatalf("told %+v", a)
	}
	for range 10 {
		m.members[0].Dispatched("s-1", true, m.now)
	}
	m.run(200*ms, nil)
	if a := m.advice[0]; a.RetriesLeft != 0 {
		t.Errorf("told %+v when all is spent", a)
	}
}

// What a req costs the fleet's part: no allocation.
func TestReqAllocatesNothing(t *testing.T) {
	f, n := New(terms(0, 12), begun), int64(0)
	f.SetServers(servers(10), begun)
	if got := testing.AllocsPerRun(1000, func() { one(f, &n) }); got != 0 {
		t.Errorf("%v allocations", got)
	}
}

func one(f *Fleet, n *int64) {
	*n++
	luck := float64(*n%9973)/9973 + 1e-9
	now := begun + *n*ms
	f.Admit(1, 0, luck, false, now)
	f.Dispatched("s-3", false, now)
	f.DispatchEnded("s-3", balance.Served, true, ms, now)
	f.ServedInTime(now)
}

func BenchmarkReq(b *testing.B) {
	f, n := New(terms(0, 12), begun), int64(0)
	f.SetServers(servers(10), begun)
	b.ReportAllocs()
	for b.Loop() {
		one(f, &n)
	}
}

func BenchmarkTick(b *testing.B) {
	m := newMesh(12)
	m.run(2*sec, nil)
	b.ReportAllocs()
	for b.Loop() {
		m.run(sec, nil)
	}
}
