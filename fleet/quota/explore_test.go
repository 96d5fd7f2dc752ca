package quota

import (
	"crypto/sha256"
	"encoding/binary"
	"flag"
	"slices"
	"sync"
	"testing"
)

// Exhaustive search of the states of the code under test, in two parts. This part has three processes with holders, one
// quota, one turn of the window, one process that crashes and restarts, and an owner that is followed by another while
// it goes on: at each point it may be stopped and resumed, or cut off. Reports, grants and saves arrive late, twice or
// never: each link may keep a message for any time, which includes cuts of any length. A save reaches all voters, one,
// or none, and the next term reads a majority that holds it or one that does not. That a state saved by a majority is
// always read, whatever happens to the voters, is shown by the other part (explore_voters_test.go).
//
// Invariant in every state, for each window: the tokens held by live processes, plus those of crashed ones, are within
// the quota. As whoever holds a token may spend it, this bounds what may have run.
const (
	firstWindow    = 1_800_000_000 * second
	exploreAmount  = 1
	exploreCarry   = 1
	exploreAsks    = 3 // reports that request tokens, of all processes together
	exploreRefunds = 1 // times that a process returns a token
	exploreNow     = 1
)

// searchState is one state of the search; next copies it.
type searchState struct {
	quota         Quota
	wall          int64
	turned        bool
	crashed       bool
	noTurn        bool // no turn of the window and no second owner
	refunds       int
	maxAsks       int // bound of asks
	owners        [2]*Owner
	voters        [3]Voter
	holders       [3]*Holder
	asks          int
	reports       [3]*Report
	grants        [3]*Grant
	crashedTokens [3]int64 // tokens of the crashed process, by window: none, the first, the next
	added         [3]Pair
	flaw          flaw
}

func exploreConfig() Config {
	return Config{ReportInterval: second, LeaseDuration: 1000 * second, SealAfter: 1000 * second,
		MaxSkew: second, Members: 3}
}

func firstState(f flaw, asks int) *searchState {
	q := minuteQuota(exploreAmount)
	q.MaxUnspent, q.WriteAhead, q.MaxCarry, q.Spread = 1<<20, 1, exploreCarry, 0
	s := &searchState{quota: q, maxAsks: asks, wall: firstWindow + 10*second, flaw: f}
	for i := range s.holders {
		s.holders[i] = NewHolder(q, exploreConfig(), i, 1, 1, NewClocks(i, 3, second, -1))
		s.holders[i].SetOwner(0)
	}
	s.owners[0], _ = NewOwner(0, 1, q, exploreConfig(), []int{0, 1, 2}, NewClocks(0, 3, second, -1), exploreNow)
	for v := range s.voters {
		s.promise(0, v)
	}
	return s
}

func (h *Holder) clone() *Holder {
	x := *h
	x.tokens = h.tokens.clone()
	x.slot = &Slot{id: h.slot.id}
	x.closed = slices.Clone(h.closed)
	for i := range x.closed {
		x.closed[i].tokens = x.closed[i].tokens.clone()
	}
	return &x
}

func (t *WindowTokens) clone() *WindowTokens {
	x := &WindowTokens{window: t.window}
	for i := range classes {
		x.left[i].Store(t.left[i].Load())
		x.demanded[i].Store(t.demanded[i].Load())
	}
	return x
}

func (o *Owner) clone() *Owner {
	x := *o
	x.promises, x.doubts = slices.Clone(o.promises), slices.Clone(o.doubts)
	x.acks, x.demandUntil = slices.Clone(o.acks), slices.Clone(o.demandUntil)
	x.state = o.state.copy()
	for i := range x.state.Windows {
		x.state.Windows[i].held = slices.Clone(o.state.Windows[i].held)
	}
	return &x
}

// h and o return a private copy of a holder or an owner; unchanged parts are shared among states.
func (s *searchState) h(i int) *Holder {
	s.holders[i] = s.holders[i].clone()
	return s.holders[i]
}

func (s *searchState) o(k int) *Owner {
	s.owners[k] = s.owners[k].clone()
	return s.owners[k]
}

// hasApplied reports whether a grant changes nothing any more, now or later: its incarnation, window or term is past,
// or its total is known.
func (h *Holder) hasApplied(g *Grant) bool {
	if g.Incarnation != h.incarnation || g.Window < h.tokens.window || g.Window == h.tokens.window && g.Term < h.term {
		return true
	}
	recalls := g.Recall != RecallNone && h.requests[g.Num%8].num == g.Num
	return g.Window == h.tokens.window && g.Term == h.term && g.Total[0] <= h.total[0] && !recalls
}

// next returns all successor states.
func (s *searchState) next() (out []*searchState) {
	add := func(change func(x *searchState)) {
		x := *s
		change(&x)
		for i, g := range x.grants {
			if g != nil && x.holders[i].hasApplied(g) {
				x.grants[i] = nil
			}
		}
		out = append(out, &x)
	}
	for i := range s.holders {
		if s.asks < s.maxAsks {
			add(func(x *searchState) { // it reports; the message replaces the one in flight
				h := x.h(i)
				h.nextTick, h.demand, h.minLeftSince, h.lastReport, h.maxUnspent = 0, Pair{}, exploreNow, 0, 8 // it wants one token
				x.asks++
				x.post(i, h.Tick(exploreNow))
				h.demand = Pair{1, 0} // and needs what it gets, so that nothing is returned at once
			})
		}
		if s.refunds < exploreRefunds && s.holders[i].tokens.left[0].Load() > 0 {
			add(func(x *searchState) {
				x.refunds++
				h := x.h(i)
				h.giveBack(Pair{1, 0})
				if x.flaw.refundTwice {
					h.tokens.left[0].Add(1)
				}
			})
		}
		if len(s.holders[i].closed) > 0 {
			add(func(x *searchState) {
				h := x.h(i)
				for k := range h.closed {
					h.closed[k].returnedKnown = Pair{-1, -1} // it may return tokens again even if they were acknowledged
				}
				x.post(i, h.reportClosed(exploreNow))
			})
		}
		if g := s.grants[i]; g != nil {
			add(func(x *searchState) { x.h(i).HandleGrant(*g, exploreNow) })
		}
		if !s.crashed {
			add(func(x *searchState) { x.crash(i) })
		}
		for k, o := range s.owners {
			if r := s.reports[i]; r != nil && o != nil && o.phase != Reading {
				for _, replaces := range []bool{true, false} {
					add(func(x *searchState) {
						m := *r
						if x.flaw.addReports {
							m.Returned[0] += x.added[i][0]
							x.added[i] = Pair{min(m.Returned[0], 2), 0}
						}
						for _, l := range x.o(k).HandleReport(m, exploreNow, x.wall) {
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
		if o == nil || k == 0 && s.owners[1] != nil && !s.flaw.noFence {
			// no majority accepts a save of an earlier term any more: that owner may grant what is saved, and turns no
			// window
			continue
		}
		if o.saving && o.phase != Superseded {
			add(func(x *searchState) { x.save(k, 0, 1, 2) })
			if !o.acks[0] && s.owners[1] == nil {
				add(func(x *searchState) { x.save(k, 0) })
			}
		}
		w := o.openWindow()
		if s.turned && o.phase == Granting && w != nil && w.End <= s.wall && o.confirmedWindow == w.Start {
			add(func(x *searchState) { x.o(k).Tick(exploreNow, x.wall) })
		}
	}
	if s.owners[1] == nil && !s.noTurn {
		for _, unheard := range []int{0, 2} {
			add(func(x *searchState) {
				clocks := NewClocks(1, 3, second, -1)
				x.owners[1], _ = NewOwner(1, 2, x.quota, exploreConfig(), []int{0, 1, 2}, clocks, exploreNow)
				for v := range x.voters {
					if v != unheard {
						x.promise(1, v)
					}
				}
			})
		}
	}
	if !s.turned && !s.noTurn {
		add(func(x *searchState) { x.turned = true; x.wall += 60 * second })
	}
	return out
}

func (s *searchState) post(i int, out []Message) {
	for _, l := range out {
		if r, is := l.Body.(Report); is {
			s.reports[i] = &r
		}
	}
}

func (s *searchState) crash(i int) {
	s.crashed = true
	old := s.holders[i]
	for _, c := range append([]*WindowTokens{old.tokens}, cells(old)...) {
		s.crashedTokens[index(c.window)] += c.left[0].Load()
	}
	if s.flaw.freshAtRestart {
		return // it continues with all tokens that it had been granted
	}
	s.holders[i] = NewHolder(s.quota, exploreConfig(), i, 2, 1, NewClocks(i, 3, second, -1))
	s.holders[i].SetOwner(0)
}

func cells(h *Holder) (out []*WindowTokens) {
	for _, p := range h.closed {
		out = append(out, p.tokens)
	}
	return out
}

func (s *searchState) promise(k, v int) {
	o := s.o(k)
	voter := s.voters[v]
	if s.flaw.noFence {
		voter.HighestTerm = 0
	}
	for _, l := range voter.HandlePromise(PromiseRequest{1, o.term, o.member, exploreNow, 0}, v, exploreNow) {
		p := l.Body.(PromiseReply)
		if s.flaw.grantBeforeSave {
			for i := range p.State.Windows {
				p.State.Windows[i].MaxGranted = Pair{}
			}
		}
		o.HandlePromiseReply(p, exploreNow, s.wall)
	}
	s.voters[v] = voter
}

func (s *searchState) save(k int, voters ...int) {
	o := s.o(k)
	sent := o.sent
	for _, v := range voters {
		voter := s.voters[v]
		if s.flaw.noFence {
			voter.HighestTerm = 0
		}
		for _, l := range voter.HandleSave(SaveRequest{1, o.member, sent}, v, exploreConfig(), exploreNow, s.wall) {
			o.HandleSaveReply(l.Body.(SaveReply), exploreNow, s.wall)
		}
		s.voters[v] = voter
	}
}

// exceeded reports whether more may be spent in a window than the quota allows.
func (s *searchState) exceeded() bool {
	held := s.crashedTokens
	for _, h := range s.holders {
		held[index(h.tokens.window)] += h.tokens.left[0].Load()
		for _, p := range h.closed {
			held[index(p.tokens.window)] += p.tokens.left[0].Load()
		}
	}
	return held[1] > exploreAmount || held[2] > exploreAmount+min(exploreCarry, exploreAmount-held[1])
}

// index returns 0 for no window, 1 for the first, 2 for the next.
func index(window int64) int {
	if window == 0 {
		return 0
	}
	return 1 + int((window-firstWindow)/(60*second))
}

// key is the same for states that differ only in the order of the processes and in what no later state depends on:
// MaxUnspent, which is never reached here, clocks, and of states sent to voters what the next term drops. The holder
// and the voter of a process are separate here, as either may be stopped or lost without the other.
func (s *searchState) key() [16]byte {
	var holders, voters [3]row
	room := make(row, 6*80)
	for i := range 3 {
		holders[i], voters[i] = room[160*i:160*i:160*i+120], room[160*i+120:160*i+120:160*i+160]
	}
	readableVoters := 3 // voters that a later term may read
	if s.owners[1] != nil && !s.flaw.noFence {
		readableVoters = 0
	}
	for i, h := range s.holders {
		p := holders[i][:0]
		p = p.add(h.incarnation, h.term, h.total[0], h.returned[0], h.reportNum, index(h.tokens.window),
			h.tokens.left[0].Load(), s.added[i][0])
		for _, o := range h.closed {
			p = p.add(index(o.tokens.window), o.tokens.left[0].Load(), o.returned[0])
		}
		p = p.add(-1)
		if r := s.reports[i]; r != nil {
			p = p.add(index(r.Window), r.Num, r.Returned[0], r.Want[0], r.Incarnation, r.Term)
		}
		p = p.add(-1)
		if g := s.grants[i]; g != nil {
			p = p.add(index(g.Window), g.Total[0], g.Term, g.Incarnation, g.Num, int(g.Recall))
		}
		for _, o := range s.owners {
			if o != nil && o.phase != Superseded {
				for k := range o.state.Windows {
					if x := heldBy(&o.state.Windows[k], i); x != nil {
						p = p.add(k, x.Incarnation, x.Returned[0], x.Total[0], x.Num)
					}
				}
				p = p.add(-1)
			}
		}
		holders[i] = p
	}
	for v := range s.voters[:readableVoters] {
		x := &s.voters[v]
		p := voters[v][:0].add(x.HighestTerm, x.State.Term, x.State.Seq).marks(&x.State)
		for _, o := range s.owners {
			if o != nil {
				p = p.add(boolToInt(o.acks[v]))
			}
		}
		voters[v] = p
	}
	slices.SortFunc(holders[:], slices.Compare)
	all := make(row, 0, 480).add(boolToInt(s.turned), boolToInt(s.crashed), s.refunds, s.asks,
		s.crashedTokens[0], s.crashedTokens[1], s.crashedTokens[2])
	for i := range holders {
		all = append(append(append(append(all, holders[i]...), -2), voters[i]...), -3)
	}
	for _, o := range s.owners {
		if o != nil && o.phase == Superseded {
			all = all.add(-4)
		} else if o != nil && readableVoters == 0 && o.term == 1 {
			all = all.add(int(o.phase), o.granted[0], o.maxGranted[0], index(o.confirmedWindow)).marks(&o.state)
		} else if o != nil {
			all = all.add(int(o.phase), o.state.Seq, o.granted[0], o.maxGranted[0], index(o.confirmedWindow),
				boolToInt(o.saving), boolToInt(o.dirty), o.sent.Seq).marks(&o.state).marks(&o.sent)
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

// row is a list of numbers that is hashed into a key.
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
		r = append(r, int64(index(w.Start)), w.MaxGranted[0], w.Returned[0])
	}
	return append(r, -1)
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func heldBy(w *Window, member int) *HeldTokens {
	for i := range w.held {
		if w.held[i].Member == member {
			return &w.held[i]
		}
	}
	return nil
}

// explore searches breadth-first until there are no new states, a state violates the invariant, or most states were
// seen.
func explore(f flaw, asks int, crash, still bool, most int) (states int, whole, wrong bool) {
	type found struct {
		key   [16]byte
		scene *searchState
	}
	seen := map[[16]byte]bool{}
	first := firstState(f, asks)
	first.crashed, first.noTurn = !crash, still
	seen[first.key()] = true
	for todo := []*searchState{first}; len(todo) > 0; {
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
				if x.scene.exceeded() {
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

// Searches the whole graph of each bound where it says so, otherwise the states nearest to the start.
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
			t.Fatal("more may be spent than the quota allows")
		}
		if whole != x.whole {
			t.Error("search of the whole graph: want", x.whole)
		}
	}
}

// The search finds faulty variants, two of them in the part without a turn of the window and a second owner.
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
		{"granted before it is written down", flaw{grantBeforeSave: true}, 2},
	} {
		states, _, wrong := explore(x.f, x.asks, x.f.freshAtRestart, x.asks > 2, 300_000)
		t.Logf("%s: found %t after %d states", x.name, wrong, states)
		if !wrong {
			t.Errorf("%s: not found", x.name)
		}
	}
}
