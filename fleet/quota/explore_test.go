package quota

import (
	"crypto/sha256"
	"encoding/binary"
	"flag"
	"slices"
	"sync"
	"testing"
)

// The cores themselves, walked as a graph in two parts. Here: three processes that hold, one quota, one turn
// of the window, one process that dies and returns, an owner that is followed by another while it goes on,
// stopped and woken or cut off at each point. Reports, grants and writings come late, twice or never: each
// link keeps a letter for as long as it likes, so a cut of any length is a part of it. A writing reaches all
// voters, one, or none, and the next term reads a majority that holds it or one that does not; that a
// majority's word is always read, whatever befalls the voters, is the other part's (explore_voters_test.go).
// In every state, for each window: what is held by those alive, and what the dead had, is within the quota.
// As whoever holds a token may spend it, that is the count of what may have run.
const (
	firstWindow   = 1_800_000_000 * second
	exploreAmount = 1
	exploreCarry  = 1
	exploreAsks   = 3 // reports that ask, of all together
	exploreBacks  = 1 // times that a process gives a token back
	exploreNow    = 1
)

// scene is one state; next copies it.
type scene struct {
	q       Quota
	wall    int64
	turned  bool
	crashed bool
	still   bool // no turn and no second owner
	backs   int
	most    int // asks
	owners  [2]*Owner
	voters  [3]Voter
	holders [3]*Holder
	asks    int
	reports [3]*Report
	grants  [3]*Grant
	dead    [3]int64 // what the one that died had, by window: none, the first, the next
	added   [3]Pair
	f       flaw
}

func exploreTerms() Terms {
	return Terms{Every: second, Lease: 1000 * second, Seal: 1000 * second, Skew: second, Places: 3}
}

func firstScene(f flaw, asks int) *scene {
	q := minutely(exploreAmount)
	q.Slice, q.Ahead, q.Carry, q.Spread = 1<<20, 1, exploreCarry, 0
	s := &scene{q: q, most: asks, wall: firstWindow + 10*second, f: f}
	for i := range s.holders {
		s.holders[i] = NewHolder(q, exploreTerms(), i, 1, 1, NewClocks(i, 3, second, -1))
		s.holders[i].Owner(0)
	}
	s.owners[0], _ = NewOwner(0, 1, q, exploreTerms(), []int{0, 1, 2}, NewClocks(0, 3, second, -1), exploreNow)
	for v := range s.voters {
		s.promise(0, v)
	}
	return s
}

func (h *Holder) clone() *Holder {
	x := *h
	x.cell = h.cell.clone()
	x.slot = &Slot{id: h.slot.id}
	x.old = slices.Clone(h.old)
	for i := range x.old {
		x.old[i].cell = x.old[i].cell.clone()
	}
	return &x
}

func (c *Cell) clone() *Cell {
	x := &Cell{window: c.window}
	for i := range classes {
		x.left[i].Store(c.left[i].Load())
		x.asked[i].Store(c.asked[i].Load())
	}
	return x
}

func (o *Owner) clone() *Owner {
	x := *o
	x.promised, x.doubts = slices.Clone(o.promised), slices.Clone(o.doubts)
	x.acks, x.demand = slices.Clone(o.acks), slices.Clone(o.demand)
	x.s = o.s.copy()
	for i := range x.s.Windows {
		x.s.Windows[i].held = slices.Clone(o.s.Windows[i].held)
	}
	return &x
}

// h and o give a part of this scene to be changed; what is not changed is shared among scenes.
func (s *scene) h(i int) *Holder {
	s.holders[i] = s.holders[i].clone()
	return s.holders[i]
}

func (s *scene) o(k int) *Owner {
	s.owners[k] = s.owners[k].clone()
	return s.owners[k]
}

// knows says that a grant changes nothing any more, now or later: its life, window or term is past, or its
// total is heard.
func (h *Holder) knows(g *Grant) bool {
	if g.Life != h.life || g.Window < h.cell.window || g.Window == h.cell.window && g.Term < h.term {
		return true
	}
	recalls := g.Recall != None && h.asks[g.Num%8].num == g.Num
	return g.Window == h.cell.window && g.Term == h.term && g.Total[0] <= h.total[0] && !recalls
}

// next gives all states that may follow.
func (s *scene) next() (out []*scene) {
	may := func(change func(x *scene)) {
		x := *s
		change(&x)
		for i, g := range x.grants {
			if g != nil && x.holders[i].knows(g) {
				x.grants[i] = nil
			}
		}
		out = append(out, &x)
	}
	for i := range s.holders {
		if s.asks < s.most {
			may(func(x *scene) { // it asks; its letter takes the place of the one on the way
				h := x.h(i)
				h.next, h.rate, h.lowAt, h.last, h.slice = 0, Pair{}, exploreNow, 0, 8 // it wants one
				x.asks++
				x.post(i, h.Tick(exploreNow))
				h.rate = Pair{1, 0} // and needs what it gets: nothing goes back at once
			})
		}
		if s.backs < exploreBacks && s.holders[i].cell.left[0].Load() > 0 {
			may(func(x *scene) {
				x.backs++
				h := x.h(i)
				h.giveBack(Pair{1, 0})
				if x.f.refundTwice {
					h.cell.left[0].Add(1)
				}
			})
		}
		if len(s.holders[i].old) > 0 {
			may(func(x *scene) {
				h := x.h(i)
				for k := range h.old {
					h.old[k].heard = Pair{-1, -1} // whatever it heard, it may say so again
				}
				x.post(i, h.reportOld(exploreNow))
			})
		}
		if g := s.grants[i]; g != nil {
			may(func(x *scene) { x.h(i).Grant(*g, exploreNow) })
		}
		if !s.crashed {
			may(func(x *scene) { x.crash(i) })
		}
		for k, o := range s.owners {
			if r := s.reports[i]; r != nil && o != nil && o.standing != Reading {
				for _, replaces := range []bool{true, false} {
					may(func(x *scene) {
						m := *r
						if x.f.addReports {
							m.Returned[0] += x.added[i][0]
							x.added[i] = Pair{min(m.Returned[0], 2), 0}
						}
						for _, l := range x.o(k).Report(m, exploreNow, x.wall) {
							if g, is := l.Body.(Grant); is && replaces {
								x.grants[i] = &g
							}
						}
					})
				}
			}
		}
	}
	for k, o := range s.owners {
		if o == nil || k == 0 && s.owners[1] != nil && !s.f.noFence {
			// of an earlier term no majority takes a writing any more: it hands out what it may, and no
			// window turns by it
			continue
		}
		if o.busy && o.standing != Deposed {
			may(func(x *scene) { x.save(k, 0, 1, 2) })
			if !o.acks[0] && s.owners[1] == nil {
				may(func(x *scene) { x.save(k, 0) })
			}
		}
		w := o.last()
		if s.turned && o.standing == Granting && w != nil && w.End <= s.wall && o.window == w.Start {
			may(func(x *scene) { x.o(k).Tick(exploreNow, x.wall) })
		}
	}
	if s.owners[1] == nil && !s.still {
		for _, unheard := range []int{0, 2} {
			may(func(x *scene) {
				clocks := NewClocks(1, 3, second, -1)
				x.owners[1], _ = NewOwner(1, 2, x.q, exploreTerms(), []int{0, 1, 2}, clocks, exploreNow)
				for v := range x.voters {
					if v != unheard {
						x.promise(1, v)
					}
				}
			})
		}
	}
	if !s.turned && !s.still {
		may(func(x *scene) { x.turned = true; x.wall += 60 * second })
	}
	return out
}

func (s *scene) post(i int, out []Letter) {
	for _, l := range out {
		if r, is := l.Body.(Report); is {
			s.reports[i] = &r
		}
	}
}

func (s *scene) crash(i int) {
	s.crashed = true
	old := s.holders[i]
	for _, c := range append([]*Cell{old.cell}, cells(old)...) {
		s.dead[index(c.window)] += c.left[0].Load()
	}
	if s.f.freshAtRestart {
		return // it goes on with all that it had been given
	}
	s.holders[i] = NewHolder(s.q, exploreTerms(), i, 2, 1, NewClocks(i, 3, second, -1))
	s.holders[i].Owner(0)
}

func cells(h *Holder) (out []*Cell) {
	for _, p := range h.old {
		out = append(out, p.cell)
	}
	return out
}

func (s *scene) promise(k, v int) {
	o := s.o(k)
	voter := s.voters[v]
	if s.f.noFence {
		voter.Promised = 0
	}
	for _, l := range voter.Promise(Promise{1, o.term, o.me, exploreNow, 0}, v, exploreNow) {
		p := l.Body.(Promised)
		if s.f.noMark {
			for i := range p.State.Windows {
				p.State.Windows[i].Mark = Pair{}
			}
		}
		o.Promised(p, exploreNow, s.wall)
	}
	s.voters[v] = voter
}

func (s *scene) save(k int, voters ...int) {
	o := s.o(k)
	sent := o.sent
	for _, v := range voters {
		voter := s.voters[v]
		if s.f.noFence {
			voter.Promised = 0
		}
		for _, l := range voter.Save(Save{1, o.me, sent}, v, exploreTerms(), exploreNow, s.wall) {
			o.Saved(l.Body.(Saved), exploreNow, s.wall)
		}
		s.voters[v] = voter
	}
}

// wrong says in which window more may be spent than there is.
func (s *scene) wrong() bool {
	held := s.dead
	for _, h := range s.holders {
		held[index(h.cell.window)] += h.cell.left[0].Load()
		for _, p := range h.old {
			held[index(p.cell.window)] += p.cell.left[0].Load()
		}
	}
	return held[1] > exploreAmount || held[2] > exploreAmount+min(exploreCarry, exploreAmount-held[1])
}

// index is 0 for no window, 1 for the first, 2 for the next.
func index(window int64) int {
	if window == 0 {
		return 0
	}
	return 1 + int((window-firstWindow)/(60*second))
}

// key is the same for scenes that differ in names alone, and in what nothing that follows depends on: a slice
// that never binds here, clocks, and of states on their way to voters what the next term drops. A process as
// a holder and as a voter are apart here, as either may be stopped or lost without the other.
func (s *scene) key() [16]byte {
	var who, votes [3]row
	room := make(row, 6*80)
	for i := range 3 {
		who[i], votes[i] = room[160*i:160*i:160*i+120], room[160*i+120:160*i+120:160*i+160]
	}
	asked := 3 // voters that a later term will read
	if s.owners[1] != nil && !s.f.noFence {
		asked = 0
	}
	for i, h := range s.holders {
		p := who[i][:0]
		p = p.add(h.life, h.term, h.total[0], h.returned[0], h.num, index(h.cell.window),
			h.cell.left[0].Load(), s.added[i][0])
		for _, o := range h.old {
			p = p.add(index(o.cell.window), o.cell.left[0].Load(), o.returned[0])
		}
		p = p.add(-1)
		if r := s.reports[i]; r != nil {
			p = p.add(index(r.Window), r.Num, r.Returned[0], r.Want[0], r.Life, r.Term)
		}
		p = p.add(-1)
		if g := s.grants[i]; g != nil {
			p = p.add(index(g.Window), g.Total[0], g.Term, g.Life, g.Num, int(g.Recall))
		}
		for _, o := range s.owners {
			if o != nil && o.standing != Deposed {
				for k := range o.s.Windows {
					if x := heldBy(&o.s.Windows[k], i); x != nil {
						p = p.add(k, x.Life, x.Returned[0], x.Total[0], x.Num)
					}
				}
				p = p.add(-1)
			}
		}
		who[i] = p
	}
	for v := range s.voters[:asked] {
		x := &s.voters[v]
		p := votes[v][:0].add(x.Promised, x.State.Term, x.State.Seq).marks(&x.State)
		for _, o := range s.owners {
			if o != nil {
				p = p.add(yes(o.acks[v]))
			}
		}
		votes[v] = p
	}
	slices.SortFunc(who[:], slices.Compare)
	all := make(row, 0, 480).add(yes(s.turned), yes(s.crashed), s.backs, s.asks, s.dead[0], s.dead[1], s.dead[2])
	for i := range who {
		all = append(append(append(append(all, who[i]...), -2), votes[i]...), -3)
	}
	for _, o := range s.owners {
		if o != nil && o.standing == Deposed {
			all = all.add(-4)
		} else if o != nil && asked == 0 && o.term == 1 {
			all = all.add(int(o.standing), o.out[0], o.marked[0], index(o.window)).marks(&o.s)
		} else if o != nil {
			all = all.add(int(o.standing), o.s.Seq, o.out[0], o.marked[0], index(o.window),
				yes(o.busy), yes(o.dirty), o.sent.Seq).marks(&o.s).marks(&o.sent)
		}
		all = all.add(-5)
	}
	b := make([]byte, 0, 4*len(all))
	for _, n := range all {
		b = binary.AppendVarint(b, n)
	}
	sum := sha256.Sum256(b)
	return [16]byte(sum[:16])
}

// row is numbers, one after another.
type row []int64

func (r row) add(all ...any) row {
	for _, x := range all {
		switch n := x.(type) {
		case int:
			r = append(r, int64(n))
		case int64:
			r = append(r, n)
		case uint64:
			r = append(r, int64(n))
		case uint32:
			r = append(r, int64(n))
		}
	}
	return r
}

func (r row) marks(s *State) row {
	for _, w := range s.Windows {
		r = append(r, int64(index(w.Start)), w.Mark[0], w.Returned[0])
	}
	return append(r, -1)
}

func yes(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func heldBy(w *Window, place int) *Held {
	for i := range w.held {
		if w.held[i].Place == place {
			return &w.held[i]
		}
	}
	return nil
}

// explore walks, one step further at a time, until nothing is new, something is
// wrong, or so many states were seen.
func explore(f flaw, asks int, crash, still bool, most int) (states int, whole, wrong bool) {
	type found struct {
		key   [16]byte
		scene *scene
	}
	seen := map[[16]byte]bool{}
	first := firstScene(f, asks)
	first.crashed, first.still = !crash, still
	seen[first.key()] = true
	for todo := []*scene{first}; len(todo) > 0; {
		const hands = 4
		var new [hands][]found
		var wg sync.WaitGroup
		for hand := range hands {
			wg.Go(func() {
				for i := hand; i < len(todo); i += hands {
					for _, x := range todo[i].next() {
						if k := x.key(); !seen[k] {
							new[hand] = append(new[hand], found{k, x})
						}
					}
				}
			})
		}
		wg.Wait()
		todo = nil
		for _, all := range new {
			for _, x := range all {
				if seen[x.key] {
					continue
				}
				seen[x.key] = true
				if x.scene.wrong() {
					return len(seen), false, true
				}
				todo = append(todo, x.scene)
			}
		}
		if len(seen) >= most {
			return len(seen), false, false
		}
	}
	return len(seen), true, false
}

var wholeGraph = flag.Bool("whole", false, "walk the whole graph of two asks and a crash: 1.2 million states")

// Of each bound the whole graph where it says so, else the states that are nearest to the start.
func TestGraph(t *testing.T) {
	type bound struct {
		asks  int
		crash bool
		most  int
		whole bool
	}
	all := []bound{{1, true, 1 << 30, true}, {2, false, 1 << 30, true}, {2, true, 50_000, false},
		{3, true, 50_000, false}}
	if *wholeGraph {
		all = []bound{{2, true, 1 << 30, true}}
	}
	for _, x := range all {
		states, whole, wrong := explore(flaw{}, x.asks, x.crash, false, x.most)
		t.Logf("%d asks, crash %t: %d states, whole: %t", x.asks, x.crash, states, whole)
		if wrong {
			t.Fatal("more may be spent than there is")
		}
		if whole != x.whole {
			t.Error("it was to be whole:", x.whole)
		}
	}
}

// Broken variants are found in the graph, two of them in the part with no turn and no second owner.
func TestGraphFindsBroken(t *testing.T) {
	for _, x := range []struct {
		name string
		f    flaw
		asks int
	}{
		{"refund twice", flaw{refundTwice: true}, 3},
		{"report added instead of the highest", flaw{addReports: true}, 4},
		{"fresh allowance on restart", flaw{freshAtRestart: true}, 1},
		{"no fencing", flaw{noFence: true}, 2},
		{"granted before it is written down", flaw{noMark: true}, 2},
	} {
		states, _, wrong := explore(x.f, x.asks, x.f.freshAtRestart, x.asks > 2, 300_000)
		t.Logf("%s: found %t after %d states", x.name, wrong, states)
		if !wrong {
			t.Errorf("%s: not found", x.name)
		}
	}
}
