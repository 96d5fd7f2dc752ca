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

// act is one thing that befalls a run, after some ms.
type act struct {
	after int
	place int
	verb  string
	arg   string
}

// script draws faults for some members.
func script(members int) *rapid.Generator[[]act] {
	names := "abcdefghijkl"[:members]
	group := rapid.Custom(func(t *rapid.T) string {
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
	one := rapid.Custom(func(t *rapid.T) act {
		a := act{after: rapid.IntRange(0, 2500).Draw(t, "after")}
		a.place = rapid.IntRange(0, members-1).Draw(t, "place")
		verbs := []string{"kill", "back", "back", "stop", "stop", "wake", "wake", "clock", "cut", "cut",
			"heal", "heal", "loss", "double", "late", "ask", "one-way", "flap", "steady"}
		switch a.verb = rapid.SampledFrom(verbs).Draw(t, "verb"); a.verb {
		case "cut":
			a.place, a.arg = -1, group.Draw(t, "groups")
		case "one-way":
			x := strconv.QuoteRune(rune(names[a.place]))[1:2]
			y := string(names[(a.place+rapid.IntRange(1, members-1).Draw(t, "to"))%members])
			a.place, a.verb = -1, x+"-x->"+y
		case "heal":
			a.place = -1
		case "loss", "double", "late":
			a.place, a.arg = -1, fmt.Sprintf("%.1f", rapid.Float64Range(0, 0.6).Draw(t, "part"))
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
	return rapid.SliceOfN(one, 5, 25)
}

// play has a script befall a fleet; the judges' error.
func play(acts []act, members int, x Limit, f flaw, seed uint64) error {
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
	for _, a := range acts {
		if err := tw.Run(tw.Now + int64(a.after)*ms); err != nil {
			return err
		}
		var args []string
		if a.arg != "" {
			args = []string{a.arg}
		}
		if a.verb == "ask" {
			_ = w.Apply(a.place, a.verb, args)
		} else if err := tw.Inject(a.place, a.verb, args...); err != nil {
			return err
		}
	}
	return tw.Run(tw.Now + 3*sec)
}

var strict = Limit{Name: "one", Units: 7, Period: 250 * ms, LeaseDuration: 2 * sec, Strict: true, MaxRequestDuration: sec}

func flight() Limit {
	x := strict
	x.Kind, x.Period = InFlight, 0
	return x
}

// Whatever befalls, what may be in use never passes a strict limit, of a rate and of work in flight, nor a
// bounded one its bound.
func TestNeverOver(t *testing.T) {
	bounded := strict
	bounded.Strict, bounded.Floor = false, 2
	for name, x := range map[string]Limit{"rate": strict, "in flight": flight(), "bounded": bounded} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				members := rapid.IntRange(3, 5).Draw(t, "members")
				acts := script(members).Draw(t, "script")
				if err := play(acts, members, x, sound, rapid.Uint64().Draw(t, "seed")); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}

// Each flawed build is caught by the same judges and scripts.
func TestFlawsAreCaught(t *testing.T) {
	for name, c := range map[string]struct {
		flaw
		Limit
	}{"no fencing": {unfenced, strict}, "lease counted from receipt": {fromReceipt, strict},
		"fresh allowance on restart": {fresh, flight()}} {
		t.Run(name, func(t *testing.T) {
			for i := range 2000 {
				if err := play(script(4).Example(i), 4, c.Limit, c.flaw, uint64(i)); err != nil {
					t.Logf("script %d: %v", i, err)
					return
				}
			}
			t.Error("not caught")
		})
	}
}

// An owner stopped for 10 s at each point of its grants, and woken, is never over, and the others have the
// limit by then.
func TestStoppedAtEachPoint(t *testing.T) {
	for point := range 40 {
		text := fmt.Sprintf("at  rig  a  b  c  d\n0s  .  ask 9  ask 3  ask 9  ask 3\n"+
			"5s  .  ask 0  ask 9  stop %d  ask 9\n"+
			"12s  sum?  .  .  .  .\n15s  .  .  .  wake  .\n20s  sum?  owns?  owns?  owns?  owns?\n", point+1)
		r := timeline.Play(text, uint64(point), func(w *timeline.Simulation) timeline.Cluster {
			return newWorld(w, strict, 100, sound)
		})
		if r.Err != nil {
			t.Errorf("stopped after %d datagrams: %v\n%s", point+1, r.Err, r.Table)
		}
	}
}

// Three hundred members: none but the owner sends ten datagrams a second, and the owner no more than it is
// bound to.
func TestMany(t *testing.T) {
	const members = 300
	text, row := "at  rig", "  ."
	for i := range members {
		text, row = fmt.Sprintf("%s  n%d", text, i), row+"  ask 2"
	}
	dots := strings.Repeat("  .", members+1)
	text += "\n0s" + row + "\n14s" + dots + "\n24s  sum?; let?" + dots[3:] + "\n"
	x := strict
	x.Units, x.LeaseDuration = 300, 5*sec
	var w *world
	r := timeline.Play(text, 1, func(v *timeline.Simulation) timeline.Cluster {
		w = newWorld(v, x, 100, sound)
		return w
	})
	if r.Err != nil {
		t.Fatal(r.Err)
	}
	before := make([]int, members)
	for i, p := range w.procs {
		before[i] = p.sent
	}
	let := w.admitted
	if err := w.Run(w.Now + 10*sec); err != nil {
		t.Fatal(err)
	}
	var rates []int
	for i, p := range w.procs {
		rates = append(rates, (p.sent-before[i])/10)
	}
	slices.Sort(rates)
	used := float64(w.admitted-let) / (float64(x.Units) * 40)
	t.Logf("datagrams a second: median %d, the two most %v; used %.3f", rates[members/2], rates[members-2:],
		used)
	if rates[members-4] >= 10 || rates[members-1] > 500 || used < 0.95 {
		t.Error("too many datagrams, or too little used")
	}
}

// Twelve that are asked by chance and unevenly (the n-th as 1 over n to 0.7) for more than there is: how much
// of it is used, beside what equal division could at the best.
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
		x := strict
		x.Period, x.Units = c.burst, int(c.rate*float64(c.burst)/1e9)
		text, row, sum := "at  rig", "0s  .", 0.0
		for i := range members {
			text, row, sum = fmt.Sprintf("%s  n%d", text, i), row+"  .", sum+math.Pow(float64(i+1), -0.7)
		}
		var w *world
		r := timeline.Play(text+"\n"+row+"\n", 1, func(v *timeline.Simulation) timeline.Cluster {
			w = newWorld(v, x, 100, sound)
			w.dice = &rng.Source{Seed: 5}
			return w
		})
		equal := 0.0
		for i, p := range w.procs {
			d := c.rate * c.load * math.Pow(float64(i+1), -0.7) / sum
			p.asks = d * float64(x.Period) / 1e9
			equal += min(d, c.rate/members) / c.rate
		}
		for _, until := range []int64{10 * sec, 40 * sec} {
			if w.admitted = 0; r.Err == nil {
				r.Err = w.Run(until)
			}
		}
		used := float64(w.admitted) / (c.rate * 30)
		t.Logf("%3.0f a second, asked for %.1f times, burst %.2f s: used %.3f, by equal division %.3f at the best",
			c.rate, c.load, float64(c.burst)/1e9, used, equal)
		if r.Err != nil || used < c.least || used > c.most*(1+float64(c.burst)/30e9) {
			t.Errorf("used %.3f, expected %.2f to %.2f: %v", used, c.least, c.most, r.Err)
		}
	}
}

// Many limits at once: each has one owner, they are spread over the voters, and what is said of several
// shares datagrams that fit.
func TestSpread(t *testing.T) {
	var limits []Limit
	for i := range 12 {
		x := strict
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
					if len(d.Items) == mostItems {
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
				owners[m.t.Index]++
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
	d := Datagram{From: 1, Life: 5, Items: []Item{{Kind: Ask, Limit: 3, Term: 9, Want: 4, Use: 2}}}
	b, err := Encode(fleetName, &d)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b[head : len(b)-tail])
	f.Fuzz(func(t *testing.T, body []byte) { // whole as far as its sum goes, so that the form itself is met
		b := append(binary.BigEndian.AppendUint32([]byte{Version}, fleetName), body...)
		b = binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b))
		d, err := Decode(fleetName, b)
		if err != nil {
			return
		}
		m := New(Config{Index: 0, Members: 3, Voters: 3, Incarnation: 1, Limits: []Limit{strict}}, 1)
		m.Receive(&d, 2)
		m.Tick(3)
		for _, out, ok := m.NextDatagram(); ok; _, out, ok = m.NextDatagram() {
			if _, err := Encode(fleetName, &out); err != nil {
				t.Errorf("%+v cannot be sent", out)
			}
		}
	})
}

// The longest items that there may be fit into a datagram, as many as are put into one.
func TestLongestFits(t *testing.T) {
	it := Item{Kind: Ask, Limit: 1<<32 - 1, Term: 1<<64 - 1, Epoch: 1<<64 - 1, Count: 1<<64 - 1,
		Want: mostUnits, Use: mostUnits, Settled: true}
	d := Datagram{From: 1 << 16, Life: 1<<64 - 1}
	for range mostItems {
		d.Items = append(d.Items, it)
	}
	b, err := Encode(fleetName, &d)
	if err != nil {
		t.Fatal(err)
	}
	if back, err := Decode(fleetName, b); err != nil || len(back.Items) != mostItems || back.Items[0] != it {
		t.Errorf("%v: %+v", err, back)
	}
	for i := range b {
		b[i] ^= 4
		if _, err := Decode(fleetName, b); err == nil {
			t.Errorf("byte %d garbled, and read", i)
		}
		b[i] ^= 4
	}
}

// What there is goes round: max-min fair by weight, what is left over by turns, and to the idle what nobody
// wants.
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
			x := strict
			x.Units = c.units
			m := New(Config{Members: len(c.wants), Voters: 1, Incarnation: 1, Weight: c.weight, Limits: []Limit{x}}, 0)
			l := m.limits[0]
			l.own = newOwner(1, len(c.wants), 0)
			for i, w := range c.wants {
				l.own.who[i] = holding{life: 1, want: w}
			}
			if got := m.shares(l); !slices.Equal(got, c.parts) {
				t.Errorf("got %v, want %v", got, c.parts)
			}
		})
	}
}

// The cost of one member's tick at rest with ten limits, and of an owner's answer in a large fleet.
func BenchmarkTick(b *testing.B) {
	var all []Limit
	for i := range 10 {
		x := strict
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

func BenchmarkAsked(b *testing.B) {
	x := strict
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
		it := Item{Kind: Ask, Limit: l.id, Term: l.own.term, Epoch: 1, Count: uint64(i + 1), Want: 3}
		if i%4 == 0 { // 200 a second
			now += TickInterval
			m.Tick(now)
		}
		m.Receive(&Datagram{From: 1 + i%1999, Life: 1, Items: []Item{it}}, now)
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
	m.limits[0].hold.line.left.Store(1 << 60)
	m.limits[0].hold.line.until.Store(1 << 62)
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
