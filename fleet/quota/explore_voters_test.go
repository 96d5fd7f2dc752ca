package quota

import (
	"fmt"
	"slices"
	"testing"
)

// The other part of the graph: three voters and two owners, one term after the other, nobody else. The first
// owner has states written down, the second begins at any moment, both go on; writings reach a voter at any
// time, late and again; a voter dies once, returns with its file, or with any older copy where the terms
// allow for one, and is silent for two leases: in the first all promises from before its end run out, in the
// second those from before the first was over. What is shown: the second term begins with the newest state
// that a majority held, and no majority takes a state of the first after that.
type booth struct {
	owners  [2]*Owner
	voters  [3]Voter
	files   [3][]Voter // as written, oldest first; all of them
	sent    [2][]State
	crashed bool
	down    int   // a voter that is away or silent; -1
	phase   int64 // 1, 2 from its end, 3 a lease later, 4 when it speaks
	best    int64 // handed out in the first term, as far as a majority has written it down
	began   int64 // what the second term read as handed out; -1 before
	bad     string
	path    string
}

// saves is how many states each owner has written down.
const saves = 1

func boothTerms(old int) Terms {
	return Terms{Every: second, Lease: 1000 * second, Seal: second, Skew: 1000 * second, Places: 3, Old: old}
}

func (b *booth) o(k int) *Owner {
	b.owners[k] = b.owners[k].clone()
	return b.owners[k]
}

func newBooth(old int) *booth {
	b := &booth{down: -1, began: -1, phase: 1}
	q := minutely(1 << 40)
	q.Ahead = 1
	b.owners[0], _ = NewOwner(0, 1, q, boothTerms(old), []int{0, 1, 2}, NewClocks(0, 3, second, -1), exploreNow)
	return b
}

func (b *booth) next(old int, trust bool) (out []*booth) {
	may := func(change func(x *booth)) {
		x := *b
		for v := range x.files {
			x.files[v] = slices.Clone(x.files[v])
		}
		for k := range x.sent {
			x.sent[k] = slices.Clone(x.sent[k])
		}
		change(&x)
		out = append(out, &x)
	}
	for k, o := range b.owners {
		if o == nil {
			continue
		}
		if o.standing == Granting && !o.busy && o.s.Seq < saves {
			may(func(x *booth) { // more is handed out, so more is written down
				o := x.o(k)
				o.out[0] = o.s.Windows[0].Mark[0]
				o.mark(firstWindow)
				x.note(k, o.save(exploreNow, firstWindow))
			})
		}
		for v := range b.voters {
			if v == b.down {
				continue
			}
			if o.standing == Reading && (!o.promised[v].given || o.promised[v].life != b.voters[v].Life) {
				may(func(x *booth) {
					o := x.o(k)
					x.promise(o, v, Promise{1, o.term, k, x.phase, o.promised[v].life}, true)
				})
			}
			if d := o.doubts[v]; o.standing == Granting && d.life != 0 && o.sent.Seq >= d.seq && !o.busy {
				may(func(x *booth) { x.promise(x.o(k), v, Promise{1, o.term, k, x.phase, d.life}, true) })
			}
			// A letter of long ago, whose answer nobody waits for.
			if b.voters[v].Promised <= o.term {
				may(func(x *booth) { x.promise(x.owners[k], v, Promise{1, o.term, k, x.phase, 0}, false) })
			}
			for _, s := range b.sent[k] {
				may(func(x *booth) { x.save(k, v, s) })
			}
		}
	}
	if b.owners[1] == nil {
		may(func(x *booth) {
			q, clocks := x.owners[0].q, NewClocks(1, 3, second, -1)
			x.owners[1], _ = NewOwner(1, 2, q, boothTerms(old), []int{0, 1, 2}, clocks, exploreNow)
		})
	}
	for v := range b.voters {
		if !b.crashed && len(b.files[v]) > 0 {
			for n := range b.files[v] {
				if old == 0 && n < len(b.files[v])-1 {
					continue
				}
				may(func(x *booth) {
					x.crashed, x.phase = true, 2
					x.path += fmt.Sprint(" crash", v, "file", n)
					life := uint64(7)
					x.voters[v] = Return(x.files[v][n], boothTerms(old), life, exploreNow)
					x.voters[v].Mute = 0 // its silence is down
					if trust {
						x.voters[v].Life = 0
					}
					x.down = v
				})
			}
		}
	}
	if b.down >= 0 {
		may(func(x *booth) {
			x.phase++
			for k, o := range x.owners {
				if o == nil || o.standing != Reading || old == 0 {
					continue
				}
				for v, p := range o.promised {
					if p.given && p.sent < x.phase-1 {
						x.o(k).promised[v] = promise{}
					}
				}
			}
			if x.phase == 4 {
				x.path += " up"
				x.down = -1
			}
		})
	}
	return out
}

func (b *booth) note(k int, out []Letter) {
	for _, l := range out {
		if s, is := l.Body.(Save); is {
			b.sent[k] = append(b.sent[k], s.State)
			return
		}
	}
}

func (b *booth) promise(o *Owner, v int, p Promise, answered bool) {
	b.path += fmt.Sprint(" promise", p.Term, "v", v, "life", p.Life, answered)
	voter := b.voters[v]
	out := voter.Promise(p, v, exploreNow)
	b.write(v, voter)
	if !answered {
		return
	}
	reading := o.standing == Reading
	b.note(o.me, o.Promised(out[0].Body.(Promised), exploreNow, firstWindow))
	if reading && o.standing == Granting && o.term == 2 {
		b.began = o.out[0]
		b.judge()
	}
}

// judge holds what a majority wrote down of the first term, at any time, against what the second began with.
func (b *booth) judge() {
	if b.began >= 0 && b.best > b.began {
		b.bad = fmt.Sprintf("%d was written down, the second term began with %d:%s", b.best, b.began, b.path)
	}
}

func (b *booth) save(k, v int, s State) {
	b.path += fmt.Sprint(" save", s.Term, "/", s.Seq, "v", v)
	voter := b.voters[v]
	out := voter.Save(Save{1, k, s}, v, boothTerms(0), exploreNow, firstWindow)
	b.write(v, voter)
	a := out[0].Body.(Saved)
	o := b.o(k)
	was := o.busy
	more := o.Saved(a, exploreNow, firstWindow)
	b.note(k, more)
	if was && a.OK && a.Seq == s.Seq && k == 0 && o.marked[0] >= s.Windows[0].Mark[0] {
		b.best = max(b.best, o.marked[0])
		b.judge()
	}
}

func (b *booth) write(v int, voter Voter) {
	x := &b.voters[v]
	if x.Promised != voter.Promised || x.Life != voter.Life || x.Asked != voter.Asked ||
		x.State.Term != voter.State.Term || x.State.Seq != voter.State.Seq {
		b.files[v] = append(b.files[v], voter)
	}
	*x = voter
}

// key is the same for booths that differ in the voters' names alone.
func (b *booth) key() string {
	var votes [3]string
	for v, x := range b.voters {
		s := fmt.Sprint(x.Promised, x.Life, x.Asked, x.State.Term, x.State.Seq, v == b.down)
		if !b.crashed {
			for _, f := range b.files[v] {
				s += fmt.Sprint("f", f.Promised, f.Asked, f.State.Term, f.State.Seq)
			}
		}
		for _, o := range b.owners {
			if o != nil {
				p := o.promised[v]
				late := p.given && o.standing == Reading && p.sent >= 2
				s += fmt.Sprint("o", o.acks[v], p.given, late, p.sent >= 3, p.doubt, p.life, p.state.Term, p.state.Seq,
					o.doubts[v])
			}
		}
		votes[v] = s
	}
	slices.Sort(votes[:])
	s := fmt.Sprint(votes, b.crashed, b.phase, b.best, b.began, b.bad != "")
	for k, o := range b.owners {
		if o != nil {
			s += fmt.Sprint("O", o.standing, o.s.Seq, o.out[0], o.marked[0], o.busy, o.dirty, o.sent.Seq,
				len(b.sent[k]))
			if w := o.last(); w != nil {
				s += fmt.Sprint("m", w.Mark[0])
			}
		}
	}
	return s
}

func walkBooths(old, copies int, trust bool, most int) (states int, whole bool, bad string) {
	first := newBooth(old)
	seen := map[string]bool{first.key(): true}
	for todo := []*booth{first}; len(todo) > 0; {
		b := todo[0]
		todo = todo[1:]
		for _, x := range b.next(copies, trust) {
			k := x.key()
			if seen[k] {
				continue
			}
			seen[k] = true
			if x.bad != "" {
				return len(seen), false, x.bad
			}
			if len(seen) >= most {
				return len(seen), false, ""
			}
			todo = append(todo, x)
		}
	}
	return len(seen), true, ""
}

func TestGraphOfVoters(t *testing.T) {
	for old := range 2 {
		states, whole, bad := walkBooths(old, old, false, 400_000)
		t.Logf("older copies of %d voters: %d states, whole: %t", old, states, whole)
		if bad != "" || !whole {
			t.Error(bad, whole)
		}
	}
	states, _, bad := walkBooths(1, 1, true, 400_000)
	t.Logf("older copy trusted: %d states, %s", states, bad)
	if bad == "" {
		t.Error("an older copy that is trusted was not found")
	}
}
