package lease

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"ivybank/internal/rng"
	"ivybank/rehearse/timeline"
)

// event is a fault or a change of demand in a run.
type event struct {
	after  int // ms after the previous event
	member int
	verb   string
	arg    string
}

// drawEvents generates faults for a fleet of that many members.
func drawEvents(members int) *rapid.Generator[[]event] {
	names := "abcdefghijkl"[:members]
	groups := rapid.Custom(func(t *rapid.T) string {
		var sides [2]string
		for _, c := range names {
			i := rapid.IntRange(0, 1).Draw(t, "side")
			sides[i] += string(c)
		}
		if sides[0] == "" || sides[1] == "" {
			return names[:1] + "|" + names[1:]
		}
		return sides[0] + "|" + sides[1]
	})
	eventGen := rapid.Custom(func(t *rapid.T) event {
		a := event{after: rapid.IntRange(0, 2500).Draw(t, "after")}
		a.member = rapid.IntRange(0, members-1).Draw(t, "place")
		verbs := []string{"kill", "back", "back", "stop", "stop", "wake", "wake", "clock", "cut", "cut",
			"heal", "heal", "loss", "double", "late", "ask", "one-way", "flap", "steady"}
		switch a.verb = rapid.SampledFrom(verbs).Draw(t, "verb"); a.verb {
		case "cut":
			a.member, a.arg = -1, groups.Draw(t, "groups")
		case "one-way":
			x := strconv.QuoteRune(rune(names[a.member]))[1:2]
			y := string(names[(a.member+rapid.IntRange(1, members-1).Draw(t, "to"))%members])
			a.member, a.verb = -1, x+"-x->"+y
		case "heal":
			a.member = -1
		case "loss", "double", "late":
			a.member, a.arg = -1, fmt.Sprintf("%.1f", rapid.Float64Range(0, 0.6).Draw(t, "part"))
		case "clock":
			a.arg = fmt.Sprintf("%ds", rapid.SampledFrom([]int{-120, -90, -1, 1, 2, 90}).Draw(t, "jump"))
		case "stop":
			if n := rapid.IntRange(0, 6).Draw(t, "fuse"); n > 0 {
				a.arg = strconv.Itoa(n)
			}
		case "ask":
			a.arg = strconv.Itoa(rapid.IntRange(0, 9).Draw(t, "units"))
		case "flap":
			a.arg = "1s"
		}
		return a
	})
	return rapid.SliceOfN(eventGen, 5, 25)
}

// playEvents applies events to a fleet and returns the first violation of an invariant.
func playEvents(events []event, members int, x Limit, f flaw, seed uint64) error {
	text := "at  rig"
	row := "0s  ."
	for _, c := range "abcdefghijkl"[:members] {
		text, row = text+"  "+string(c), row+"  ask 9"
	}
	var w *world
	var tw *timeline.Simulation
	text += "\n" + row + "\n4s  ." + row[len("0s  ."):] + "\n"
	r := timeline.Play(text, seed, func(v *timeline.Simulation) timeline.Cluster {
		tw, w = v, newWorld(v, x, 100, f)
		w.runFor = x.MaxRequestDuration - 10*ms
		return w
	})
	if r.Err != nil {
		return r.Err
	}
	for _, a := range events {
		if err := tw.Run(tw.Now + int64(a.after)*ms); err != nil {
			return err
		}
		var args []string
		if a.arg != "" {
			args = []string{a.arg}
		}
		if a.verb == "ask" {
			_ = w.Apply(a.member, a.verb, args)
		} else if err := tw.Inject(a.member, a.verb, args...); err != nil {
			return err
		}
	}
	return tw.Run(tw.Now + 3*sec)
}

var strictLimit = Limit{Name: "one", Units: 7, Period: 250 * ms, LeaseDuration: 2 * sec, Strict: true,
	MaxRequestDuration: sec}

func inFlightLimit() Limit {
	x := strictLimit
	x.Kind, x.Period = InFlight, 0
	return x
}

// Under any faults, the units that may be in use never exceed a strict limit, of a rate or of reqs in flight, nor the
// bound of a limit that is not strict.
func TestNeverOver(t *testing.T) {
	bounded := strictLimit
	bounded.Strict, bounded.Floor = false, 2
	for name, x := range map[string]Limit{"rate": strictLimit, "in flight": inFlightLimit(), "bounded": bounded} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				members := rapid.IntRange(3, 5).Draw(t, "members")
				acts := drawEvents(members).Draw(t, "script")
				if err := playEvents(acts, members, x, flawNone, rapid.Uint64().Draw(t, "seed")); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}

// The same checks and events catch each faulty variant.
func TestFlawsAreCaught(t *testing.T) {
	for name, c := range map[string]struct {
		flaw
		Limit
	}{"no fencing": {flawUnfenced, strictLimit}, "lease counted from receipt": {flawLeaseFromReceipt, strictLimit},
		"fresh allowance on restart": {flawForgetsEarlierLeases, inFlightLimit()}} {
		t.Run(name, func(t *testing.T) {
			for i := range 2000 {
				if err := playEvents(drawEvents(4).Example(i), 4, c.Limit, c.flaw, uint64(i)); err != nil {
					t.Logf("events %d: %v", i, err)
					return
				}
			}
			t.Error("the faulty variant was not caught")
		})
	}
}

// An owner that is stopped for 10 s at any point of its grants, and resumed, never exceeds the limit; by then the
// others use the whole limit.
func TestStoppedAtEachPoint(t *testing.T) {
	for point := range 40 {
		text := fmt.Sprintf("at  rig  a  b  c  d\n0s  .  ask 9  ask 3  ask 9  ask 3\n"+
			"5s  .  ask 0  ask 9  stop %d  ask 9\n"+
			"12s  sum?  .  .  .  .\n15s  .  .  .  wake  .\n20s  sum?  owns?  owns?  owns?  owns?\n", point+1)
		r := timeline.Play(text, uint64(point), func(w *timeline.Simulation) timeline.Cluster {
			return newWorld(w, strictLimit, 100, flawNone)
		})
		if r.Err != nil {
			t.Errorf("stopped after %d datagrams: %v\n%s", point+1, r.Err, r.Table)
		}
	}
}

// In a fleet of 300 members, all but at most three send fewer than ten datagrams a second, and none more than 500.
func TestMany(t *testing.T) {
	const members = 300
	text, row := "at  rig", "  ."
	for i := range members {
		text, row = fmt.Sprintf("%s  n%d", text, i), row+"  ask 2"
	}
	dots := strings.Repeat("  .", members+1)
	text += "\n0s" + row + "\n14s" + dots + "\n24s  sum?; let?" + dots[3:] + "\n"
	x := strictLimit
	x.Units, x.LeaseDuration = 300, 5*sec
	var w *world
	r := timeline.Play(text, 1, func(v *timeline.Simulation) timeline.Cluster {
		w = newWorld(v, x, 100, flawNone)
		return w
	})
	if r.Err != nil {
		t.Fatal(r.Err)
	}
	before := make([]int, members)
	for i, p := range w.procs {
		before[i] = p.datagramsSent
	}
	admittedBefore := w.admitted
	if err := w.Run(w.Now + 10*sec); err != nil {
		t.Fatal(err)
	}
	var rates []int
	for i, p := range w.procs {
		rates = append(rates, (p.datagramsSent-before[i])/10)
	}
	slices.Sort(rates)
	used := float64(w.admitted-admittedBefore) / (float64(x.Units) * 40)
	t.Logf("datagrams a second: median %d, the two most %v; used %.3f", rates[members/2], rates[members-2:],
		used)
	if rates[members-4] >= 10 || rates[members-1] > 500 || used < 0.95 {
		t.Error("too many datagrams sent, or too little of the limit used")
	}
}

// How much of a limit twelve members use whose demand is random and uneven (of the n-th proportional to n to the power
// of -0.7), compared with the most that an equal division could use.
func TestUsed(t *testing.T) {
	const members = 12
	for _, c := range []struct {
		rate, load  float64
		burst       int64
		least, most float64
	}{
		{60, 0.8, 2 * sec, 0.72, 0.8}, {60, 1.2, 250 * ms, 0.5, 1}, {60, 1.2, 2 * sec, 0.9, 1},
		{60, 2, 2 * sec, 0.95, 1},
		{600, 1.2, sec, 0.95, 1},
	} {
		x := strictLimit
		x.Period, x.Units = c.burst, int(c.rate*float64(c.burst)/1e9)
		text, row, sum := "at  rig", "0s  .", 0.0
		for i := range members {
			text, row, sum = fmt.Sprintf("%s  n%d", text, i), row+"  .", sum+math.Pow(float64(i+1), -0.7)
		}
		var w *world
		r := timeline.Play(text+"\n"+row+"\n", 1, func(v *timeline.Simulation) timeline.Cluster {
			w = newWorld(v, x, 100, flawNone)
			w.random = &rng.Source{Seed: 5}
			return w
		})
		equal := 0.0
		for i, p := range w.procs {
			d := c.rate * c.load * math.Pow(float64(i+1), -0.7) / sum
			p.demand = d * float64(x.Period) / 1e9
			equal += min(d, c.rate/members) / c.rate
		}
		for _, until := range []int64{10 * sec, 40 * sec} {
			if w.admitted = 0; r.Err == nil {
				r.Err = w.Run(until)
			}
		}
		used := float64(w.admitted) / (c.rate * 30)
		t.Logf("%3.0f a second, demand %.1f times that, burst %.2f s: used %.3f, at most %.3f by equal division",
			c.rate, c.load, float64(c.burst)/1e9, used, equal)
		if r.Err != nil || used < c.least || used > c.most*(1+float64(c.burst)/30e9) {
			t.Errorf("used %.3f, want %.2f to %.2f: %v", used, c.least, c.most, r.Err)
		}
	}
}

// With many limits, each has one owner, the owners are spread over the voters, and items of several limits share
// datagrams within the size bound.
func TestSpread(t *testing.T) {
	var limits []Limit
	for i := range 12 {
		x := strictLimit
		x.Name = strconv.Itoa(i)
		limits = append(limits, x)
	}
	var all []*Member
	for i := range 3 {
		all = append(all, New(Config{Index: i, Members: 3, Voters: 3, Incarnation: 1, Limits: limits}, 0))
	}
	full := 0
	now := int64(0)
	for ; now < 6*sec; now += TickInterval {
		for _, m := range all {
			m.Tick(now)
		}
		for again := true; again; {
			again = false
			for _, m := range all {
				for to, d, ok := m.NextDatagram(); ok; to, d, ok = m.NextDatagram() {
					b, err := Encode(fleetName, &d)
					if err != nil {
						t.Fatal(err)
					}
					got, err := Decode(fleetName, b)
					if err != nil {
						t.Fatal(err)
					}
					if len(d.Items) == maxItems {
						full++
					}
					all[to].Receive(&got, now)
					again = true
				}
			}
		}
	}
	owners := map[int]int{}
	for i, l := range limits {
		held := 0
		for _, m := range all {
			if m.owns(m.limits[i], now) {
				owners[m.cfg.Index]++
				held++
			}
		}
		if s := all[0].Status(now)[i]; held != 1 || s.Held < 1 {
			t.Errorf("limit %s: %d owners, %+v", l.Name, held, s)
		}
	}
	if len(owners) != 3 || full == 0 {
		t.Errorf("owned by %v, %d full datagrams", owners, full)
	}
}

func FuzzDecode(f *testing.F) {
	d := Datagram{From: 1, Incarnation: 5, Items: []Item{{Kind: LeaseRequest, Limit: 3, Term: 9, Want: 4, Units: 2}}}
	b, err := Encode(fleetName, &d)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b[headerBytes : len(b)-checksumBytes])
	f.Fuzz(func(t *testing.T, body []byte) { // with a valid checksum, so that the decoder of the body is reached
		b := append(binary.BigEndian.AppendUint32([]byte{Version}, fleetName), body...)
		b = binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b))
		d, err := Decode(fleetName, b)
		if err != nil {
			return
		}
		m := New(Config{Index: 0, Members: 3, Voters: 3, Incarnation: 1, Limits: []Limit{strictLimit}}, 1)
		m.Receive(&d, 2)
		m.Tick(3)
		for _, out, ok := m.NextDatagram(); ok; _, out, ok = m.NextDatagram() {
			if _, err := Encode(fleetName, &out); err != nil {
				t.Errorf("%+v cannot be encoded", out)
			}
		}
	})
}

// maxItems of the longest items fit into a datagram, and a corrupted byte is detected.
func TestLongestFits(t *testing.T) {
	it := Item{Kind: LeaseRequest, Limit: 1<<32 - 1, Term: 1<<64 - 1, Epoch: 1<<64 - 1, Seq: 1<<64 - 1,
		Want: maxUnits, Units: maxUnits, Settled: true}
	d := Datagram{From: 1 << 16, Incarnation: 1<<64 - 1}
	for range maxItems {
		d.Items = append(d.Items, it)
	}
	b, err := Encode(fleetName, &d)
	if err != nil {
		t.Fatal(err)
	}
	if back, err := Decode(fleetName, b); err != nil || len(back.Items) != maxItems || back.Items[0] != it {
		t.Errorf("%v: %+v", err, back)
	}
	for i := range b {
		b[i] ^= 4
		if _, err := Decode(fleetName, b); err == nil {
			t.Errorf("datagram with byte %d corrupted was decoded", i)
		}
		b[i] ^= 4
	}
}

// Shares are max-min fair by weight; a remainder goes by turns, and units that nobody wants go to idle members too.
func TestShare(t *testing.T) {
	for name, c := range map[string]struct {
		units        int
		wants, parts []int
		weight       []int
	}{
		"enough":                {18, []int{3, 4, 2}, []int{6, 8, 4}, nil},
		"too little":            {9, []int{9, 9, 9}, []int{3, 3, 3}, nil},
		"one wants little":      {9, []int{1, 9, 9}, []int{1, 4, 4}, nil},
		"a thousandfold claim":  {9, []int{3, 3, 9000}, []int{3, 3, 3}, nil},
		"by weight":             {12, []int{12, 12, 12}, []int{6, 3, 3}, []int{2, 1, 1}},
		"weight that is no use": {12, []int{2, 12, 12}, []int{2, 5, 5}, []int{2, 1, 1}},
		"some are idle":         {9, []int{0, 4, 0}, []int{1, 7, 1}, nil},
		"all are idle":          {9, []int{0, 0, 0}, []int{1, 1, 1}, nil},
		"less than one each":    {1, []int{1, 1, 1}, []int{1, 0, 0}, nil},
		"none":                  {0, []int{1, 1, 1}, []int{0, 0, 0}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			x := strictLimit
			x.Units = c.units
			m := New(Config{Members: len(c.wants), Voters: 1, Incarnation: 1, Weight: c.weight, Limits: []Limit{x}}, 0)
			l := m.limits[0]
			l.ownership = newOwnership(1, len(c.wants), 0)
			for i, w := range c.wants {
				l.ownership.members[i] = memberLease{incarnation: 1, want: w}
			}
			if got := m.computeShares(l); !slices.Equal(got, c.parts) {
				t.Errorf("got %v, want %v", got, c.parts)
			}
		})
	}
}

// BenchmarkTick measures the tick of an idle member with ten limits.
func BenchmarkTick(b *testing.B) {
	var all []Limit
	for i := range 10 {
		x := strictLimit
		x.Name = strconv.Itoa(i)
		all = append(all, x)
	}
	m := New(Config{Index: 5, Members: 12, Voters: 3, Incarnation: 1, Limits: all}, 1)
	b.ReportAllocs()
	for i := range b.N {
		m.Tick(int64(i) * TickInterval)
		for _, _, ok := m.NextDatagram(); ok; _, _, ok = m.NextDatagram() {
		}
	}
}

// BenchmarkAsked measures an owner's answer in a fleet of 2000 members.
func BenchmarkAsked(b *testing.B) {
	x := strictLimit
	x.Units = 5000
	m := New(Config{Members: 2000, Voters: 1, Incarnation: 1, Limits: []Limit{x}}, 1)
	now := int64(1)
	for range 400 {
		now += TickInterval
		m.Tick(now)
	}
	l := m.limits[0]
	b.ReportAllocs()
	for i := range b.N {
		it := Item{Kind: LeaseRequest, Limit: l.id, Term: l.ownership.term, Epoch: 1, Seq: uint64(i + 1), Want: 3}
		if i%4 == 0 { // 200 requests a second
			now += TickInterval
			m.Tick(now)
		}
		m.Receive(&Datagram{From: 1 + i%1999, Incarnation: 1, Items: []Item{it}}, now)
		for _, _, ok := m.NextDatagram(); ok; _, _, ok = m.NextDatagram() {
		}
	}
}

func BenchmarkAdmit(b *testing.B) {
	x := Limit{Name: "x", RuleSet: "web", Units: 1 << 29, Period: ms, LeaseDuration: sec, Strict: true}
	m := New(Config{Index: 0, Members: 1, Voters: 1, Incarnation: 1, Limits: []Limit{x}}, 1)
	now := int64(1)
	for range 400 {
		now += TickInterval
		m.Tick(now)
	}
	m.limits[0].holder.local.tokens.Store(1 << 60)
	m.limits[0].holder.local.validUntil.Store(1 << 62)
	book, s := m.Limiter(), Scope{"web", "acme"}
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if ok, _ := book.Admit(s, now); !ok {
				b.Error("denied")
			}
		}
	})
}
