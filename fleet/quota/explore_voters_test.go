package quota

import (
	"fmt"
	"slices"
	"testing"
)

// voterSearchState is a state of the second part of the search: three voters and two owners in successive terms,
// without holders. The first owner saves states, the second starts at any time, and both go on; saves reach a voter at
// any time, late and repeatedly. One voter crashes once and restarts with its file, or with any older copy if the
// configuration allows one. It is then silent for two leases: in the first all promises from before its crash expire,
// in the second those from before the end of the first. The search shows that the second term starts with the newest
// state that a majority held, and that no majority accepts a state of the first term after that.
type voterSearchState struct {
	owners      [2]*Owner
	voters      [3]Voter
	files       [3][]Voter // all versions as stored, oldest first
	sent        [2][]State
	crashed     bool
	unavailable int   // voter that is down or silent; -1: none
	phase       int64 // 1 before the crash, 2 after it, 3 a lease later, 4 once the voter answers again
	confirmed   int64 // granted in the first term, as far as a majority has saved it
	startedWith int64 // what the second term read as granted; -1 before
	violation   string
	path        string
}

// saves is how many states each owner saves.
const saves = 1

func voterConfig(old int) Config {
	return Config{ReportInterval: second, LeaseDuration: 1000 * second, SealAfter: second,
		MaxSkew: 1000 * second, Members: 3, MaxRolledBack: old}
}

func (b *voterSearchState) o(k int) *Owner {
	b.owners[k] = b.owners[k].clone()
	return b.owners[k]
}

func newVoterSearchState(old int) *voterSearchState {
	b := &voterSearchState{unavailable: -1, startedWith: -1, phase: 1}
	q := minuteQuota(1 << 40)
	q.WriteAhead = 1
	b.owners[0], _ = NewOwner(0, 1, q, voterConfig(old), []int{0, 1, 2}, NewClocks(0, 3, second, -1), exploreNow)
	return b
}

func (b *voterSearchState) next(old int, trust bool) (out []*voterSearchState) {
	add := func(change func(x *voterSearchState)) {
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
		if o.phase == Granting && !o.saving && o.state.Seq < saves {
			add(func(x *voterSearchState) { // more is granted, so that a new state is saved
				o := x.o(k)
				o.granted[0] = o.state.Windows[0].MaxGranted[0]
				o.raiseMaxGranted(firstWindow)
				x.recordSaves(k, o.save(exploreNow, firstWindow))
			})
		}
		for v := range b.voters {
			if v == b.unavailable {
				continue
			}
			if o.phase == Reading && (!o.promises[v].given || o.promises[v].incarnation != b.voters[v].DoubtIncarnation) {
				add(func(x *voterSearchState) {
					o := x.o(k)
					x.promise(o, v, PromiseRequest{1, o.term, k, x.phase, o.promises[v].incarnation}, true)
				})
			}
			if d := o.doubts[v]; o.phase == Granting && d.incarnation != 0 && o.sent.Seq >= d.seq && !o.saving {
				add(func(x *voterSearchState) {
					x.promise(x.o(k), v, PromiseRequest{1, o.term, k, x.phase, d.incarnation}, true)
				})
			}
			// An old message whose answer nobody waits for.
			if b.voters[v].HighestTerm <= o.term {
				add(func(x *voterSearchState) { x.promise(x.owners[k], v, PromiseRequest{1, o.term, k, x.phase, 0}, false) })
			}
			for _, s := range b.sent[k] {
				add(func(x *voterSearchState) { x.save(k, v, s) })
			}
		}
	}
	if b.owners[1] == nil {
		add(func(x *voterSearchState) {
			q, clocks := x.owners[0].quota, NewClocks(1, 3, second, -1)
			x.owners[1], _ = NewOwner(1, 2, q, voterConfig(old), []int{0, 1, 2}, clocks, exploreNow)
		})
	}
	for v := range b.voters {
		if !b.crashed && len(b.files[v]) > 0 {
			for n := range b.files[v] {
				if old == 0 && n < len(b.files[v])-1 {
					continue
				}
				add(func(x *voterSearchState) {
					x.crashed, x.phase = true, 2
					x.path += fmt.Sprint(" crash", v, "file", n)
					incarnation := uint64(7)
					x.voters[v] = RestoreVoter(x.files[v][n], voterConfig(old), incarnation, exploreNow)
					x.voters[v].SilentUntil = 0 // the field unavailable models its silence
					if trust {
						x.voters[v].DoubtIncarnation = 0
					}
					x.unavailable = v
				})
			}
		}
	}
	if b.unavailable >= 0 {
		add(func(x *voterSearchState) {
			x.phase++
			for k, o := range x.owners {
				if o == nil || o.phase != Reading || old == 0 {
					continue
				}
				for v, p := range o.promises {
					if p.given && p.sent < x.phase-1 {
						x.o(k).promises[v] = promiseState{}
					}
				}
			}
			if x.phase == 4 {
				x.path += " up"
				x.unavailable = -1
			}
		})
	}
	return out
}

func (b *voterSearchState) recordSaves(k int, out []Message) {
	for _, l := range out {
		if s, is := l.Body.(SaveRequest); is {
			b.sent[k] = append(b.sent[k], s.State)
			return
		}
	}
}

func (b *voterSearchState) promise(o *Owner, v int, p PromiseRequest, answered bool) {
	b.path += fmt.Sprint(" promise", p.Term, "v", v, "life", p.Incarnation, answered)
	voter := b.voters[v]
	out := voter.HandlePromise(p, v, exploreNow)
	b.write(v, voter)
	if !answered {
		return
	}
	reading := o.phase == Reading
	b.recordSaves(o.member, o.HandlePromiseReply(out[0].Body.(PromiseReply), exploreNow, firstWindow))
	if reading && o.phase == Granting && o.term == 2 {
		b.startedWith = o.granted[0]
		b.check()
	}
}

// check compares what a majority saved in the first term, at any time, with what the second term started with.
func (b *voterSearchState) check() {
	if b.startedWith >= 0 && b.confirmed > b.startedWith {
		b.violation = fmt.Sprintf("%d was saved, the second term started with %d:%s", b.confirmed, b.startedWith, b.path)
	}
}

func (b *voterSearchState) save(k, v int, s State) {
	b.path += fmt.Sprint(" save", s.Term, "/", s.Seq, "v", v)
	voter := b.voters[v]
	out := voter.HandleSave(SaveRequest{1, k, s}, v, voterConfig(0), exploreNow, firstWindow)
	b.write(v, voter)
	a := out[0].Body.(SaveReply)
	o := b.o(k)
	was := o.saving
	more := o.HandleSaveReply(a, exploreNow, firstWindow)
	b.recordSaves(k, more)
	if was && a.OK && a.Seq == s.Seq && k == 0 && o.maxGranted[0] >= s.Windows[0].MaxGranted[0] {
		b.confirmed = max(b.confirmed, o.maxGranted[0])
		b.check()
	}
}

func (b *voterSearchState) write(v int, voter Voter) {
	x := &b.voters[v]
	if x.HighestTerm != voter.HighestTerm || x.DoubtIncarnation != voter.DoubtIncarnation ||
		x.PromisedTerm != voter.PromisedTerm ||
		x.State.Term != voter.State.Term || x.State.Seq != voter.State.Seq {
		b.files[v] = append(b.files[v], voter)
	}
	*x = voter
}

// key is the same for states that differ only in the order of the voters.
func (b *voterSearchState) key() string {
	var votes [3]string
	for v, x := range b.voters {
		s := fmt.Sprint(x.HighestTerm, x.DoubtIncarnation, x.PromisedTerm, x.State.Term, x.State.Seq, v == b.unavailable)
		if !b.crashed {
			for _, f := range b.files[v] {
				s += fmt.Sprint("f", f.HighestTerm, f.PromisedTerm, f.State.Term, f.State.Seq)
			}
		}
		for _, o := range b.owners {
			if o != nil {
				p := o.promises[v]
				late := p.given && o.phase == Reading && p.sent >= 2
				s += fmt.Sprint("o", o.acks[v], p.given, late, p.sent >= 3, p.inDoubt, p.incarnation, p.state.Term, p.state.Seq,
					o.doubts[v])
			}
		}
		votes[v] = s
	}
	slices.Sort(votes[:])
	s := fmt.Sprint(votes, b.crashed, b.phase, b.confirmed, b.startedWith, b.violation != "")
	for k, o := range b.owners {
		if o != nil {
			s += fmt.Sprint("O", o.phase, o.state.Seq, o.granted[0], o.maxGranted[0], o.saving, o.dirty, o.sent.Seq,
				len(b.sent[k]))
			if w := o.openWindow(); w != nil {
				s += fmt.Sprint("m", w.MaxGranted[0])
			}
		}
	}
	return s
}

func walkVoterStates(old, copies int, trust bool, most int) (states int, whole bool, bad string) {
	first := newVoterSearchState(old)
	seen := map[string]bool{first.key(): true}
	for todo := []*voterSearchState{first}; len(todo) > 0; {
		b := todo[0]
		todo = todo[1:]
		for _, x := range b.next(copies, trust) {
			k := x.key()
			if seen[k] {
				continue
			}
			seen[k] = true
			if x.violation != "" {
				return len(seen), false, x.violation
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
		states, whole, bad := walkVoterStates(old, old, false, 400_000)
		t.Logf("older copies of %d voters: %d states, whole: %t", old, states, whole)
		if bad != "" || !whole {
			t.Error(bad, whole)
		}
	}
	states, _, bad := walkVoterStates(1, 1, true, 400_000)
	t.Logf("older copy trusted: %d states, %s", states, bad)
	if bad == "" {
		t.Error("the variant that trusts an older copy was not found")
	}
}
