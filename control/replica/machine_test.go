package replica

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"ivybank/wire"
)

// maxStartupTime is the longest time for which a process runs before it creates its replica.
const maxStartupTime = 300 * time.Millisecond

// fullSaveOneIn makes one write in so many, on average, a full one.
const fullSaveOneIn = 20

// chainMachine holds the newest command, and a hash over all commands that were applied and their times.
type chainMachine struct {
	newest string
	hash   uint64
	at     time.Duration
}

func (m *chainMachine) Apply(commands []byte, at time.Duration) {
	if commands != nil {
		m.newest = string(commands)
	}
	m.hash = xxhash.Sum64String(fmt.Sprintf("%d %q %d", m.hash, commands, at))
	m.at = at
}

func (m *chainMachine) Snapshot() []byte { return fmt.Appendf(nil, "%q %d %d", m.newest, m.hash, m.at) }

func (m *chainMachine) SnapshotAfter(commands []byte, at time.Duration) []byte {
	next := *m
	next.Apply(commands, at)
	return next.Snapshot()
}

func (m *chainMachine) Restore(value []byte) error {
	*m = chainMachine{}
	if value == nil {
		return nil
	}
	_, err := fmt.Sscanf(string(value), "%q %d %d", &m.newest, &m.hash, &m.at)
	return err
}

// machineCounts counts events of a simulation run of a group with a state machine.
type machineCounts struct {
	steps, fulls, gaps, replays, replayedSteps, fullSaves, finishedWrites, uncommittedAtEnd int
}

func (c *machineCounts) add(o machineCounts) {
	c.steps += o.steps
	c.fulls += o.fulls
	c.gaps += o.gaps
	c.replays += o.replays
	c.replayedSteps += o.replayedSteps
	c.fullSaves += o.fullSaves
	c.finishedWrites += o.finishedWrites
	c.uncommittedAtEnd += o.uncommittedAtEnd
}

// machineChecks is what the simulation has recorded about a group with a state machine.
type machineChecks struct {
	states  map[Position]chainMachine  // state at each position
	entries map[Position]*wire.Entry   // entry at each position, as any replica holds it
	madeAt  map[Position]time.Duration // when an entry was first seen, which is when it was made
	acked   *wire.Entry                // newest entry that a leader acknowledged
	leading map[string]bool            // replicas that led with an uncommitted entry
}

func newMachineChecks() *machineChecks {
	return &machineChecks{states: map[Position]chainMachine{}, entries: map[Position]*wire.Entry{},
		madeAt: map[Position]time.Duration{}, leading: map[string]bool{}}
}

// steadyNow returns a node's own steady-clock time.
func (s *sim) steadyNow(n *simNode) time.Duration { return s.now - n.origin }

// content is the value that a leader serves from.
func (n *simNode) content() []byte {
	if n.machine == nil {
		return n.replica.Committed().Value
	}
	return []byte(n.machine.newest)
}

// replay creates a new machine and advances it through what has reached the disk.
func (s *sim) replay(n *simNode) {
	n.machine = &chainMachine{}
	newest, err := Replay(n.machine, n.journal)
	if err != nil {
		s.fail("%s: %v", n.ip, err)
	}
	if newest.Position() != n.disk.Entry.Position() {
		s.fail("%s has saved %v but loads %v", n.ip, n.disk.Entry.Position(), newest.Position())
	}
	n.disk.Entry = newest
	s.replays++
	s.replayedSteps += max(0, len(n.journal)-1)
}

// takeSave takes the pending write; now and then it takes a full one instead.
func (s *sim) takeSave(n *simNode) *Save {
	n.writingFull = s.machines != nil && s.random.IntN(fullSaveOneIn) == 0 && n.replica.pending != nil
	if n.writingFull {
		s.fullSaves++
		return n.replica.TakeFullSave()
	}
	return n.replica.TakeSave()
}

// finishWrite randomly lets the write in progress at the time a process stops reach its disk or not.
func (s *sim) finishWrite(n *simNode) {
	if s.machines != nil && n.writing != nil && s.random.IntN(2) == 0 {
		n.journal, n.disk = n.journalAfter(n.writing), n.writing.State
		s.finishedWrites++
	}
}

// journalAfter returns what the disk holds once a write is done.
func (n *simNode) journalAfter(done *Save) []*wire.Entry {
	if n.writingFull {
		return done.Entries
	}
	return append(slices.Clone(n.journal), done.Entries...)
}

// countAppend counts in which form entries arrive.
func (s *sim) countAppend(n *simNode, a *wire.Append) {
	if s.machines == nil || a == nil || a.Term < n.replica.Term() {
		return
	}
	at := n.replica.Newest().Position()
	if a.Entry != nil && at.Less(a.Entry.Position()) {
		s.fulls++
	}
	for _, step := range a.Steps {
		switch {
		case step.After == at:
			s.steps++
			at = step.Position()
		case at.Less(step.Position()):
			s.gaps++
		}
	}
}

// machineAt returns the position of a replica's machine.
func machineAt(r *Replica) Position {
	if r.unapplied != nil {
		return r.unapplied.After
	}
	return r.state.Entry.Position()
}

// checkMachines checks that a position identifies one entry and one state, and that a leader serves from what is
// committed.
func (s *sim) checkMachines() {
	if s.machines == nil {
		return
	}
	for _, n := range s.nodes {
		if n.replica == nil {
			continue
		}
		s.checkEntry(n)
		s.checkState(n)
		s.checkTime(n)
	}
}

func (s *sim) checkEntry(n *simNode) {
	e := n.replica.Newest()
	if e == nil {
		return
	}
	known := s.machines.entries[e.Position()]
	if known == nil {
		s.machines.entries[e.Position()], s.machines.madeAt[e.Position()] = e, s.now
		if before := s.machines.entries[e.After]; before != nil && e.Time < before.Time {
			s.fail("%s has %v of %v after %v of %v", n.ip, e.Position(), e.Time, before.Position(), before.Time)
		}
		return
	}
	if !slices.Equal(known.Members, e.Members) || known.Fleet != e.Fleet || known.Time != e.Time {
		s.fail("%s has entry %+v, another replica %+v", n.ip, e, known)
	}
}

func (s *sim) checkState(n *simNode) {
	r, state := n.replica, *n.machine
	at := machineAt(r)
	known, ok := s.machines.states[at]
	if ok && known != state {
		s.fail("%s has state %+v at %v, another replica %+v", n.ip, state, at, known)
	}
	s.machines.states[at] = state
	if r.Leading(s.steadyNow(n)) && at != r.Committed().Position() {
		s.fail("%s serves from %v, but %v is committed", n.ip, at, r.Committed().Position())
	}
	id := r.Self().ID
	if s.machines.leading[id] && r.Role() != Leader {
		s.uncommittedAtEnd++
	}
	s.machines.leading[id] = r.Role() == Leader && r.HasUncommitted()
}

// checkTime checks that the group time never falls and never runs faster than real time, neither within a leadership
// nor from one to the next, so that what one leader grants for a duration lasts at least as long under the next.
func (s *sim) checkTime(n *simNode) {
	r := n.replica
	if r.GroupTime(s.steadyNow(n)) > s.now {
		s.fail("%s: the group time is %v, ahead of real time", n.ip, r.GroupTime(s.steadyNow(n)))
	}
	if !r.Leading(s.steadyNow(n)) {
		return
	}
	before, now := s.machines.acked, r.Committed()
	if before != nil && before.Position() != now.Position() {
		passed := s.machines.madeAt[now.Position()] - s.machines.madeAt[before.Position()]
		if elapsed := now.Time - before.Time; elapsed < 0 || elapsed > passed {
			s.fail("%s: the group time advanced %v from %v to %v, which were made %v apart", n.ip, elapsed, before.Position(), now.Position(), passed)
		}
	}
	s.machines.acked = now
}

// Among one leader's reports the one with the shortest delay counts, and a later leader's report replaces them.
func TestGroupTimeIsThatOfTheNewestLeader(t *testing.T) {
	c := groupClock{knownAt: 10 * time.Second}
	assert.Equal(t, c.at(10*time.Second), time.Duration(0), "time before the start doesn't count")
	c.observe(1, 5*time.Second, 11*time.Second)
	c.observe(1, 6*time.Second, 13*time.Second) // a second late
	assert.Equal(t, c.at(13*time.Second), 7*time.Second)
	c.observe(2, 6500*time.Millisecond, 13*time.Second)
	assert.Equal(t, c.at(14*time.Second), 7500*time.Millisecond)
	c.observe(1, 20*time.Second, 14*time.Second)
	assert.Equal(t, c.at(14*time.Second), 7500*time.Millisecond)
	c.raiseTo(7*time.Second, 14*time.Second)
	assert.Equal(t, c.at(14*time.Second), 7500*time.Millisecond, "an entry may be older")
	c.raiseTo(8*time.Second, 14*time.Second)
	assert.Equal(t, c.at(15*time.Second), 9*time.Second)
}

func TestGroupTimeContinuesFromTheDisk(t *testing.T) {
	s := newSim(t, 1, 3)
	entry := *s.nodes[0].disk.Entry
	entry.Time = time.Minute
	r := NewWithStateMachine(s.members[0], GroupConfig{TargetSize: 3}, PersistentState{Entry: &entry}, &chainMachine{}, s.random, 4*time.Second)
	assert.Equal(t, r.GroupTime(5*time.Second), time.Minute+time.Second)
}

// A leader whose newest entry was made under a leader before the one that it heard last continues from that entry's
// time.
func TestGroupTimeNeverFallsFromEntryToEntry(t *testing.T) {
	s := newSim(t, 1, 3)
	founded := s.nodes[0].disk.Entry
	r := NewWithStateMachine(s.members[0], GroupConfig{TargetSize: 3}, PersistentState{Entry: founded}, &chainMachine{}, s.random, 0)
	step := &wire.Entry{Term: 1, Index: 2, After: founded.Position(), Time: 10 * time.Second}
	first := &wire.Append{Term: 1, Leader: s.members[1].ID, Time: 10 * time.Second, Steps: []*wire.Entry{step}}
	second := &wire.Append{Term: 2, Leader: s.members[2].ID, Time: 9 * time.Second}
	r.Receive(s.members[1], &wire.Message{Append: first}, 0)
	r.Receive(s.members[2], &wire.Message{Append: second}, 0)
	r.startElection(0, false, 0)
	r.becomeLeader(0)
	assert.Equal(t, r.Newest().After, step.Position())
	assert.Equal(t, r.Newest().Time, step.Time)
}

// A change of leader costs the group time no more than the delay of a message. A restart of all replicas costs the
// time between the newest entry and the start.
func TestGroupTimeLosesLittle(t *testing.T) {
	const longestMessage = 20*time.Millisecond + simStep
	for seed := range uint64(20) {
		s := newSimOf(t, seed, 3, 0, newMachineChecks())
		s.fastDisks = true
		s.runUntil(2 * time.Second)
		lag := func() time.Duration { return s.now - s.leader().replica.GroupTime(s.steadyNow(s.leader())) }
		before, old := lag(), s.leader()
		s.stop(old)
		old.downUntil = s.now + time.Hour
		for s.leader() == nil {
			s.step()
		}
		lost := lag() - before
		assert.Assert(t, lost >= 0 && lost <= longestMessage, "seed %d: %v lost", seed, lost)
	}
}

// Once a full entry has come, the steps before it need not be written any more.
func TestFullEntryReplacesUnsavedSteps(t *testing.T) {
	s := newSim(t, 1, 3)
	leader := s.members[1]
	founded := s.nodes[0].disk.Entry
	r := NewWithStateMachine(s.members[0], GroupConfig{TargetSize: 3}, PersistentState{Entry: founded}, &chainMachine{}, s.random, 0)
	step := &wire.Entry{Term: 1, Index: 2, After: founded.Position(), Commands: []byte("1/1")}
	full := &wire.Entry{Term: 1, Index: 5, Members: founded.Members, Value: (&chainMachine{newest: "4/4"}).Snapshot()}
	r.Receive(leader, &wire.Message{Append: &wire.Append{Term: 1, Leader: leader.ID, Steps: []*wire.Entry{step}}}, 0)
	r.Receive(leader, &wire.Message{Append: &wire.Append{Term: 1, Leader: leader.ID, Entry: full}}, 0)
	assert.DeepEqual(t, r.TakeSave().Entries, []*wire.Entry{full})

	r.Receive(leader, &wire.Message{Append: &wire.Append{Term: 1, Leader: leader.ID, Steps: []*wire.Entry{step}}}, 0)
	assert.Equal(t, r.Newest().Position(), full.Position(), "a step that arrives late is ignored")
	assert.Assert(t, r.TakeSave() == nil)
}

// followSteps has a new follower accept a number of steps, none of which reaches its disk.
func followSteps(t *testing.T, count int, command []byte) (*Replica, *chainMachine) {
	t.Helper()
	s := newSim(t, 1, 3)
	leader, newest, machine := s.members[1], s.nodes[0].disk.Entry, &chainMachine{}
	r := NewWithStateMachine(s.members[0], GroupConfig{TargetSize: 3}, PersistentState{Entry: newest}, machine, s.random, 0)
	for index := newest.Index + 1; index <= newest.Index+uint64(count); index++ {
		step := &wire.Entry{Term: 1, Index: index, After: r.Newest().Position(), Commands: command}
		r.Receive(leader, &wire.Message{Append: &wire.Append{Term: 1, Leader: leader.ID, Steps: []*wire.Entry{step}}}, 0)
	}
	assert.Equal(t, r.Newest().Index, newest.Index+uint64(count))
	return r, machine
}

// Guards against unbounded memory use while a disk hangs: all unsaved steps used to be kept until it continued.
func TestUnsavedStepsAreBounded(t *testing.T) {
	for _, steps := range []struct {
		count   int
		command []byte
	}{{3 * maxUnsavedSteps, []byte("1/1")}, {8, []byte(strings.Repeat("x", maxUnsavedBytes/4))}} {
		r, machine := followSteps(t, steps.count, steps.command)
		assert.Assert(t, len(r.unsaved) <= maxUnsavedSteps && commandBytes(r.unsaved) <= maxUnsavedBytes)
		save := r.TakeSave()
		assert.Equal(t, len(save.Entries), 1)
		replayed := &chainMachine{}
		entry, err := Replay(replayed, save.Entries)
		assert.NilError(t, err)
		assert.Equal(t, entry.Position(), r.Newest().Position())
		assert.Equal(t, replayed.hash, machine.hash)
		assert.Assert(t, r.TakeSave() == nil)
	}
}

// Steps that are kept to bring others up to date are bounded in total size; beyond it the full state is sent.
func TestKeptStepsAreBounded(t *testing.T) {
	r, _ := followSteps(t, maxKeptSteps, []byte(strings.Repeat("x", maxKeptStepBytes/4)))
	assert.Assert(t, len(r.steps) > 0 && commandBytes(r.steps) <= maxKeptStepBytes)
}

func TestRandomFaultsWithAMachine(t *testing.T) {
	schedules := simSchedules
	if testing.Short() {
		schedules /= 10
	}
	var played simCounts
	for seed := range uint64(schedules) {
		played.add(runSchedule(t, seed, newMachineChecks()))
	}
	t.Logf("played %+v", played)
	assert.Assert(t, played.commits > schedules*20 && played.wipes > schedules/2 && played.repaired > schedules/2)
	assert.Assert(t, played.leaderChanges > schedules*2 && played.leaves > schedules/4)
	assert.Assert(t, played.steps > schedules*50 && played.fulls > schedules && played.gaps > schedules/2, "%+v", played)
	assert.Assert(t, played.replays > schedules*3 && played.replayedSteps > schedules*10 && played.fullSaves > schedules*5, "%+v", played)
	assert.Assert(t, played.uncommittedAtEnd > schedules/4 && played.finishedWrites > schedules/2, "%+v", played)
}
