package lease

import (
	"cmp"
	"fmt"
	"hash/maphash"
	"slices"
	"strconv"
	"testing"

	"ivybank/internal/rng"
)

// The graph of a fleet of three with one strict limit: in steps of a fifth of a second, in any of which one
// member may be killed, or stopped before it, amid it when it has sent and not heard, or heard and not sent
// (and come back in any later one), and one member cut off, both ways or one. What ran at servers for one
// that is killed runs on. States are the cores' own, with times, terms and counts taken from where they stand
// now, so that what differs by age alone is one state.

const (
	quantum = 200 * ms
	three   = 3
)

var walked = Limit{Name: "one", Kind: InFlight, Units: 6, LeaseDuration: 1200 * ms, MaxRequestDuration: 600 * ms, Strict: true}

// cuts: 0 none; else member (c-1)/3 is cut off, both ways, from what it sends or from what it hears.
const kindsOfCut = 3 * three

type letter struct {
	from, to int
	d        Datagram
}

// graphState is one of the fleet.
type graphState struct {
	procs   [three]*process // nil: it is dead
	lives   [three]uint64
	now     int64
	hurt    int // member that is killed or stopped; -1: none now
	stopped bool
	midway  int // in which it stops: 0 before it, 1 having sent, 2 having heard
	runs    int // reqs of one that was killed,
	until   int64
	waits   []letter // at the one that is stopped
	cut     int
	hurts   int // that may still come
	cuts    int
}

func (p *process) clone() *process {
	if p == nil {
		return nil
	}
	m := p.Member
	n := &Member{t: m.t, last: m.last, sure: m.sure, dice: m.dice, Count: m.Count, todo: slices.Clone(m.todo)}
	for _, l := range m.limits {
		c := &limit{Limit: l.Limit, id: l.id, rank: l.rank, vote: l.vote, bid: l.bid, hold: l.hold}
		c.bid.oks = slices.Clone(l.bid.oks)
		if l.own != nil {
			o := *l.own
			o.who, o.parts = slices.Clone(o.who), slices.Clone(o.parts)
			for i := range o.who {
				o.who[i].ghosts = slices.Clone(o.who[i].ghosts)
			}
			c.own = &o
		}
		x := newLine(&l.Limit)
		x.until.Store(l.hold.line.until.Load())
		x.units.Store(l.hold.line.units.Load())
		c.hold.line = x
		n.limits = append(n.limits, c)
	}
	n.publish(m.last)
	n.tick.Store(m.tick.Load())
	return &process{Member: n, flaw: p.flaw}
}

func (g *graphState) clone() *graphState {
	n := *g
	for i, p := range g.procs {
		n.procs[i] = p.clone()
	}
	n.waits = slices.Clone(g.waits)
	return &n
}

func (g *graphState) start(i int, f flaw) {
	g.lives[i]++
	t := Config{Index: i, Members: three, Voters: three, Incarnation: g.lives[i], DriftPPM: 100, Limits: []Limit{walked}}
	g.procs[i] = &process{Member: New(t, g.now), flaw: f}
}

func (g *graphState) passes(from, to int) bool {
	if g.cut == 0 {
		return true
	}
	who, way := (g.cut-1)/3, (g.cut-1)%3
	return !(from == who && way != 2) && !(to == who && way != 1)
}

// step lets a quantum of time pass.
func (g *graphState) step() {
	g.now += quantum
	var wire []letter
	send := func(i int) {
		for p := g.procs[i]; ; {
			to, d, ok := p.Member.NextDatagram()
			if !ok {
				return
			}
			wire = append(wire, letter{i, to, d})
		}
	}
	hear := func(l letter) {
		l.d.Items = slices.Clone(l.d.Items)
		g.procs[l.to].hears(l.from, &l.d, g.now)
		if !(g.stopped && g.hurt == l.to && g.midway == 2) {
			send(l.to)
		}
	}
	for _, l := range g.waits {
		if !g.stopped && g.procs[l.to] != nil {
			hear(l)
		}
	}
	if !g.stopped {
		g.waits = nil
	}
	for i, p := range g.procs {
		if p == nil || g.stopped && g.hurt == i && g.midway == 0 {
			continue
		}
		h := &p.limits[0].hold
		h.line.denied.Store(1) // always more is wanted
		p.Tick(g.now)
		h.want = walked.Units
		if !(g.stopped && g.hurt == i && g.midway == 2) {
			send(i)
		}
	}
	for n := 0; n < len(wire); n++ {
		l := wire[n]
		switch {
		case g.procs[l.to] == nil || !g.passes(l.from, l.to):
		case g.stopped && g.hurt == l.to && g.midway != 2:
			if len(g.waits) < 6 { // what came first is what is oldest when it wakes
				g.waits = append(g.waits, l)
			}
		default:
			hear(l)
		}
	}
	g.midway = 0
	for _, p := range g.procs {
		if p != nil {
			p.dice, p.Count = rng.Source{}, Count{} // the same draw each time
		}
	}
}

// sum is what may be in use.
func (g *graphState) sum() (n int) {
	if g.now < g.until {
		n = g.runs
	}
	for _, p := range g.procs {
		if p != nil {
			if x := p.limits[0].hold.line; g.now < x.until.Load() && g.now-p.tick.Load() <= stale {
				n += int(x.units.Load())
			}
		}
	}
	return n
}

// next is all that may follow.
func (g *graphState) next(f flaw) (all []*graphState) {
	add := func(change func(n *graphState)) {
		n := g.clone()
		change(n)
		n.step()
		all = append(all, n)
	}
	add(func(*graphState) {})
	if g.hurt >= 0 {
		add(func(n *graphState) {
			if !n.stopped {
				n.start(n.hurt, f)
			}
			n.hurt, n.stopped = -1, false
		})
	}
	for i := range three {
		if g.hurts > 0 && g.hurt < 0 {
			add(func(n *graphState) {
				if l := n.procs[i].limits[0]; n.now < l.hold.end {
					n.runs, n.until = l.hold.units, n.now+walked.MaxRequestDuration
				}
				n.hurts--
				n.hurt, n.procs[i] = i, nil
			})
			for midway := range 3 {
				add(func(n *graphState) { n.hurts--; n.hurt, n.stopped, n.midway = i, true, midway })
			}
		}
	}
	if g.cut > 0 {
		add(func(n *graphState) { n.cut = 0 })
	}
	for c := range kindsOfCut {
		if g.cuts > 0 {
			add(func(n *graphState) { n.cuts--; n.cut = c + 1 })
		}
	}
	return all
}

// letters are those that have not arrived.
func (g *graphState) letters() []letter {
	all := slices.Clone(g.waits)
	for i, p := range g.procs {
		if p != nil {
			for _, x := range p.todo {
				all = append(all, letter{i, x.to, Datagram{Life: p.t.Incarnation, Items: []Item{x.Item}}})
			}
		}
	}
	return all
}

// key is a state with all that is told by ages alone left out.
func (g *graphState) key(seed maphash.Seed) uint64 {
	least := ^uint64(0)
	low := func(t uint64) {
		if t > 0 {
			least = min(least, t>>6)
		}
	}
	for _, p := range g.procs {
		if p != nil {
			l := p.limits[0]
			low(l.vote.seen)
			low(l.vote.term)
			low(max(l.vote.seen, l.bid.seen))
			low(l.hold.term)
			if l.bid.on {
				low(l.bid.term)
			}
		}
	}
	for _, w := range g.letters() {
		for _, it := range w.d.Items {
			low(it.Term)
		}
	}
	term := func(t uint64) uint64 {
		if t == 0 {
			return 0
		}
		return t - least<<6 + 64
	}
	var b []byte
	put := func(all ...int64) {
		for _, x := range all {
			b = strconv.AppendInt(append(b, ' '), x, 36)
		}
	}
	bit := func(x bool) int64 {
		if x {
			return 1
		}
		return 0
	}
	put(int64(g.hurt), bit(g.stopped), int64(g.cut), int64(g.hurts), int64(g.cuts))
	if g.now < g.until {
		put(int64(g.runs), g.until-g.now)
	}
	past := func(at, now, most int64) int64 { return max(at-now, -most) }
	// Of asks' counts only the order matters: those to come are above all.
	var counts [three][]uint64
	for i, p := range g.procs {
		for _, q := range g.procs {
			if q != nil && q.limits[0].own != nil {
				counts[i] = append(counts[i], q.limits[0].own.who[i].count)
			}
		}
		if p != nil {
			counts[i] = append(counts[i], p.limits[0].hold.count)
		}
	}
	for _, w := range g.letters() {
		for _, it := range w.d.Items {
			switch it.Kind {
			case Ask:
				counts[w.from] = append(counts[w.from], it.Count)
			case Grant:
				counts[w.to] = append(counts[w.to], it.Count)
			}
		}
	}
	for i := range counts {
		slices.Sort(counts[i])
		counts[i] = slices.Compact(counts[i])
	}
	rank := func(i int, count uint64) int64 { return int64(slices.Index(counts[i], count)) }
	for i, p := range g.procs {
		put(int64(g.lives[i]))
		if p == nil {
			put(-1)
			continue
		}
		l, s := p.limits[0], p.sure
		v, d, h := &l.vote, &l.bid, &l.hold
		full := p.lasts(l.LeaseDuration) + p.linger(l)
		put(past(p.last, g.now, full), past(v.mute, s, 0), int64(term(v.seen)), past(v.end, s, 0), min(s, full+1))
		if s < v.end {
			put(int64(v.to), int64(v.life), int64(term(v.term)))
		}
		put(bit(d.on), int64(term(max(v.seen, d.seen))), past(d.next, s, 0))
		if d.on {
			put(int64(term(d.term)), min(int64(d.count), 1))
			if d.count == 0 {
				put(int64(d.would))
			}
			if l.own == nil {
				put(past(d.from, s, standFor+1))
			}
			for _, at := range d.oks {
				put(past(at, g.now, full))
			}
			put(past(d.sent, g.now, full))
		}
		if o := l.own; o != nil {
			put(int64(term(o.term)), past(o.ready, s, 0), int64(o.cried))
			if s < o.ready {
				put(int64(o.pool), int64(o.told))
			}
			for j := range o.who {
				x := &o.who[j]
				put(int64(x.life), rank(j, x.count), bit(x.told), past(x.heard, s, full+1), past(x.end, s, 0))
				if s < x.end {
					put(int64(x.use))
				}
				for _, gh := range x.ghosts {
					if s < gh.end {
						put(int64(gh.use), past(gh.end, s, 0))
					}
				}
			}
		}
		put(int64(h.owner), int64(term(h.term)), int64(h.epoch), bit(h.open), int64(min(h.silent, patient)),
			past(h.at, s, l.LeaseDuration), bit(h.soon), past(h.end, g.now, 0), bit(h.paused), rank(i, h.count))
		if h.open {
			put(past(h.sent, g.now, full))
		}
		if g.now < h.end {
			put(int64(h.units))
		}
		if h.owner < 0 || h.silent > 0 {
			put(int64(h.count % three))
		}
	}
	tried := func(who int, it Item) int64 { // of a bid: none, the latest, an older one
		if p := g.procs[who]; it.Count > 0 && p != nil && p.limits[0].bid.count == it.Count {
			return 2
		}
		return min(int64(it.Count), 1)
	}
	for _, w := range g.letters() {
		put(int64(w.from), int64(w.to), int64(w.d.Life))
		for _, it := range w.d.Items {
			var count int64
			switch it.Kind {
			case Ask:
				count = rank(w.from, it.Count)
			case Grant:
				count = rank(w.to, it.Count)
			case Stand:
				count = tried(w.from, it)
			case Vote:
				count = tried(w.to, it)
			}
			put(int64(it.Kind), int64(term(it.Term)), int64(it.Epoch), count, int64(it.Want), int64(it.Use),
				bit(it.Settled))
		}
	}
	return maphash.Bytes(seed, b)
}

// walk goes through the graph, first what is nearest, and gives the number of states, and the first that is
// over.
func walk(f flaw, hurts, cuts, most int) (states int, over string) {
	seed := maphash.MakeSeed()
	g := &graphState{now: sec, hurt: -1, hurts: hurts, cuts: cuts}
	for i := range three {
		g.start(i, f)
	}
	for range 60 { // in calm, until a lease is out
		g.step()
	}
	seen := map[uint64]bool{g.key(seed): true}
	for todo := []*graphState{g}; len(todo) > 0; {
		g, todo = todo[0], todo[1:]
		for _, n := range g.next(f) {
			if sum := n.sum(); sum > walked.Units {
				return len(seen), fmt.Sprintf("%d in force of %d", sum, walked.Units)
			}
			if k := n.key(seed); !seen[k] {
				seen[k] = true
				todo = append(todo, n)
			}
		}
		if len(seen) > most {
			return len(seen), ""
		}
	}
	return len(seen), ""
}

// The whole graph has no state that is over, and each flawed build is found in it.
func TestGraph(t *testing.T) {
	for f, name := range map[flaw]string{sound: "sound", unfenced: "no fencing",
		fromReceipt: "lease counted from receipt", fresh: "fresh allowance on restart"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			states, over := walk(f, 1, 1, 1<<20)
			t.Logf("%d states: %s", states, cmp.Or(over, "the whole graph, none over"))
			if states > 1<<20 || (over == "") != (f == sound) {
				t.Errorf("%s", cmp.Or(over, "not whole, or not found"))
			}
		})
	}
}
