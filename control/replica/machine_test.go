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

// longestStart is for how long a process may run before it makes its replica.
const longestStart = 300 * time.Millisecond

// wholeSaveEvery is how many writes there are for one of all that there is to find again.
const wholeSaveEvery = 20

// chainMachine holds the newest command and a hash over all that were applied, and when.
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

// machineCounts is what a run has played of a group with a machine.
type machineCounts struct {
	steps, wholes, gaps, replays, replayedSteps, wholeSaves, endedWrites, uncommittedAtEnd int
}

func (c *machineCounts) add(o machineCounts) {
	c.steps += o.steps
	c.wholes += o.wholes
	c.gaps += o.gaps
	c.replays += o.replays
	c.replayedSteps += o.replayedSteps
	c.wholeSaves += o.wholeSaves
	c.endedWrites += o.endedWrites
	c.uncommittedAtEnd += o.uncommittedAtEnd
}

// machineChecks is what the simulation knows of a group with a machine.
type machineChecks struct {
	states  map[Position]chainMachine  // at a position
	entries map[Position]*wire.Entry   // as any replica holds it
	made    map[Position]time.Duration // when it was first seen, which is when it was made
	acked   *wire.Entry                // newest entry that a leader acknowledged
	leading map[string]bool            // replicas that had the role with an uncommitted entry
}

func newMachineChecks() *machineChecks {
	return &machineChecks{states: map[Position]chainMachine{}, entries: map[Position]*wire.Entry{},
		made: map[Position]time.Duration{}, leading: map[string]bool{}}
}

// steady is a node's own steady clock.
func (s *sim) steady(n *simNode) time.Duration { return s.now - n.origin }

// content is what a leader answers from.
func (n *simNode) content() []byte {
	if n.machine == nil {
		return n.replica.Committed().Value
	}
	return []byte(n.machine.newest)
}

// replay leads a new machine through what has reached the disk.
func (s *sim) replay(n *simNode) {
	n.machine = &chainMachine{}
	newest, err := Replay(n.machine, n.journal)
	if err != nil {
		s.fail("%s: %v", n.ip, err)
	}
	if newest.Position() != n.disk.Entry.Position() {
		s.fail("%s has saved %v and finds %v", n.ip, n.disk.Entry.Position(), newest.Position())
	}
	n.disk.Entry = newest
	s.replays++
	s.replayedSteps += max(0, len(n.journal)-1)
}

// takeSave takes the write that is due; now and then it is one of everything, due or not.
func (s *sim) takeSave(n *simNode) *Save {
	n.writingWhole = s.machines != nil && s.random.IntN(wholeSaveEvery) == 0 && n.replica.pending != nil
	if n.writingWhole {
		s.wholeSaves++
		return n.replica.TakeWholeSave()
	}
	return n.replica.TakeSave()
}

// endWrite lets the write that is under way as a process stops reach its disk or not.
func (s *sim) endWrite(n *simNode) {
	if s.machines != nil && n.writing != nil && s.random.IntN(2) == 0 {
		n.journal, n.disk = n.journalAfter(n.writing), n.writing.Disk
		s.endedWrites++
	}
}

// journalAfter is what the disk holds once a write is done.
func (n *simNode) journalAfter(done *Save) []*wire.Entry {
	if n.writingWhole {
		return done.Entries
	}
	return append(slices.Clone(n.journal), done.Entries...)
}

// countAppend counts how entries come.
func (s *sim) countAppend(n *simNode, a *wire.Append) {
	if s.machines == nil || a == nil || a.Term < n.replica.Term() {
		return
	}
	at := n.replica.Newest().Position()
	if a.Entry != nil && at.Less(a.Entry.Position()) {
		s.wholes++
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

// machineAt is the position at which a replica's machine stands.
func machineAt(r *Replica) Position {
	if r.unapplied != nil {
		return r.unapplied.After
	}
	return r.disk.Entry.Position()
}

// checkMachines checks that a position names one entry and one state, and that a leader answers from what is committed.
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
		s.machines.entries[e.Position()], s.machines.made[e.Position()] = e, s.now
		if before := s.machines.entries[e.After]; before != nil && e.Time < before.Time {
			s.fail("%s has %v of %v after %v of %v", n.ip, e.Position(), e.Time, before.Position(), before.Time)
		}
		return
	}
	if !slices.Equal(known.Members, e.Members) || known.Fleet != e.Fleet || known.Time != e.Time {
		s.fail("%s has %+v, another one %+v", n.ip, e, known)
	}
}

func (s *sim) checkState(n *simNode) {
	r, state := n.replica, *n.machine
	at := machineAt(r)
	known, ok := s.machines.states[at]
	if ok && known != state {
		s.fail("%s has %+v at %v, another one %+v", n.ip, state, at, known)
	}
	s.machines.states[at] = state
	if r.Leading(s.steady(n)) && at != r.Committed().Position() {
		s.fail("%s answers from %v, committed is %v", n.ip, at, r.Committed().Position())
	}
	id := r.Self().ID
	if s.machines.leading[id] && r.Role() != Leader {
		s.uncommittedAtEnd++
	}
	s.machines.leading[id] = r.Role() == Leader && r.Uncommitted()
}

// checkTime checks that the group's time never falls, and never goes faster than the clock on the wall: not within a
// leadership nor from one to the next, so that what was granted for a while by one leader holds for as long with the next.
func (s *sim) checkTime(n *simNode) {
	r := n.replica
	if r.GroupTime(s.steady(n)) > s.now {
		s.fail("%s: the group's time is %v", n.ip, r.GroupTime(s.steady(n)))
	}
	if !r.Leading(s.steady(n)) {
		return
	}
	before, now := s.machines.acked, r.Committed()
	if before != nil && before.Position() != now.Position() {
		passed := s.machines.made[now.Position()] - s.machines.made[before.Position()]
		if told := now.Time - before.Time; told < 0 || told > passed {
			s.fail("%s: %v by the group's time from %v to %v, which were made in %v", n.ip, told, before.Position(), now.Position(), passed)
		}
	}
	s.machines.acked = now
}

// What one leader tells is counted on from the message that came soonest, and what a later one tells replaces it.
func TestGroupTimeIsThatOfTheNewestLeader(t *testing.T) {
	c := groupClock{knownAt: 10 * time.Second}
	assert.Equal(t, c.at(10*time.Second), time.Duration(0), "what ran before counts for nothing")
	c.observe(1, 5*time.Second, 11*time.Second)
	c.observe(1, 6*time.Second, 13*time.Second) // a second late
	assert.Equal(t, c.at(13*time.Second), 7*time.Second)
	c.observe(2, 6500*time.Millisecond, 13*time.Second)
	assert.Equal(t, c.at(14*time.Second), 7500*time.Millisecond)
	c.observe(1, 20*time.Second, 14*time.Second)
	assert.Equal(t, c.at(14*time.Second), 7500*time.Millisecond)
	c.reach(7*time.Second, 14*time.Second)
	assert.Equal(t, c.at(14*time.Second), 7500*time.Millisecond, "an entry may be older")
	c.reach(8*time.Second, 14*time.Second)
	assert.Equal(t, c.at(15*time.Second), 9*time.Second)
}

func TestGroupTimeGoesOnFromTheDisk(t *testing.T) {
	s := newSim(t, 1, 3)
	entry := *s.nodes[0].disk.Entry
	entry.Time = time.Minute
	r := NewWithMachine(s.members[0], Group{Target: 3}, Disk{Entry: &entry}, &chainMachine{}, s.random, 4*time.Second)
	assert.Equal(t, r.GroupTime(5*time.Second), time.Minute+time.Second)
}

// A leader whose newest entry is from a leader before the one that it heard last goes on from that entry's time.
func TestGroupTimeNeverFallsFromEntryToEntry(t *testing.T) {
	s := newSim(t, 1, 3)
	founded := s.nodes[0].disk.Entry
	r := NewWithMachine(s.members[0], Group{Target: 3}, Disk{Entry: founded}, &chainMachine{}, s.random, 0)
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

// A change of leader costs the group's time no more than a message takes, and a restart of all what lies between the newest
// entry and the start.
func TestGroupTimeLosesLittle(t *testing.T) {
	const longestMessage = 20*time.Millisecond + simStep
	for seed := range uint64(20) {
		s := newSimOf(t, seed, 3, 0, newMachineChecks())
		s.calmDisk = true
		s.playUntil(2 * time.Second)
		lag := func() time.Duration { return s.now - s.leader().replica.GroupTime(s.steady(s.leader())) }
		before, old := lag(), s.leader()
		s.stop(old)
		old.downTil = s.now + time.Hour
		for s.leader() == nil {
			s.step()
		}
		lost := lag() - before
		assert.Assert(t, lost >= 0 && lost <= longestMessage, "seed %d: %v lost", seed, lost)
	}
}

// A whole entry needs none of the steps before it on the disk.
func TestWholeEntryReplacesTheStepsThatWaitToBeSaved(t *testing.T) {
	s := newSim(t, 1, 3)
	leader := s.members[1]
	founded := s.nodes[0].disk.Entry
	r := NewWithMachine(s.members[0], Group{Target: 3}, Disk{Entry: founded}, &chainMachine{}, s.random, 0)
	step := &wire.Entry{Term: 1, Index: 2, After: founded.Position(), Commands: []byte("1/1")}
	whole := &wire.Entry{Term: 1, Index: 5, Members: founded.Members, Value: (&chainMachine{newest: "4/4"}).Snapshot()}
	r.Receive(leader, &wire.Message{Append: &wire.Append{Term: 1, Leader: leader.ID, Steps: []*wire.Entry{step}}}, 0)
	r.Receive(leader, &wire.Message{Append: &wire.Append{Term: 1, Leader: leader.ID, Entry: whole}}, 0)
	assert.DeepEqual(t, r.TakeSave().Entries, []*wire.Entry{whole})

	r.Receive(leader, &wire.Message{Append: &wire.Append{Term: 1, Leader: leader.ID, Steps: []*wire.Entry{step}}}, 0)
	assert.Equal(t, r.Newest().Position(), whole.Position(), "a step that came late")
	assert.Assert(t, r.TakeSave() == nil)
}

// followSteps has a new follower take a number of steps, none of which its disk gets.
func followSteps(t *testing.T, count int, command []byte) (*Replica, *chainMachine) {
	t.Helper()
	s := newSim(t, 1, 3)
	leader, newest, machine := s.members[1], s.nodes[0].disk.Entry, &chainMachine{}
	r := NewWithMachine(s.members[0], Group{Target: 3}, Disk{Entry: newest}, machine, s.random, 0)
	for index := newest.Index + 1; index <= newest.Index+uint64(count); index++ {
		step := &wire.Entry{Term: 1, Index: index, After: r.Newest().Position(), Commands: command}
		r.Receive(leader, &wire.Message{Append: &wire.Append{Term: 1, Leader: leader.ID, Steps: []*wire.Entry{step}}}, 0)
	}
	assert.Equal(t, r.Newest().Index, newest.Index+uint64(count))
	return r, machine
}

// While a disk stood still, all steps were kept in memory until it went on.
func TestStepsThatWaitForTheDiskAreBounded(t *testing.T) {
	for _, steps := range []struct {
		count   int
		command []byte
	}{{3 * mostUnsaved, []byte("1/1")}, {8, []byte(strings.Repeat("x", mostUnsavedBytes/4))}} {
		r, machine := followSteps(t, steps.count, steps.command)
		assert.Assert(t, len(r.unsaved) <= mostUnsaved && commandBytes(r.unsaved) <= mostUnsavedBytes)
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

// Others are led on by steps of a bounded size in all, or by the whole state.
func TestStepsThatAreKeptForOthersAreBounded(t *testing.T) {
	r, _ := followSteps(t, stepsKept, []byte(strings.Repeat("x", stepBytesKept/4)))
	assert.Assert(t, len(r.steps) > 0 && commandBytes(r.steps) <= stepBytesKept)
}

func TestRandomFaultsWithAMachine(t *testing.T) {
	schedules := simSchedule
	if testing.Short() {
		schedules /= 10
	}
	var played simCounts
	for seed := range uint64(schedules) {
		played.add(playSchedule(t, seed, newMachineChecks()))
	}
	t.Logf("played %+v", played)
	assert.Assert(t, played.commits > schedules*20 && played.wipes > schedules/2 && played.repaired > schedules/2)
	assert.Assert(t, played.leaderChanges > schedules*2 && played.leaves > schedules/4)
	assert.Assert(t, played.steps > schedules*50 && played.wholes > schedules && played.gaps > schedules/2, "%+v", played)
	assert.Assert(t, played.replays > schedules*3 && played.replayedSteps > schedules*10 && played.wholeSaves > schedules*5, "%+v", played)
	assert.Assert(t, played.uncommittedAtEnd > schedules/4 && played.endedWrites > schedules/2, "%+v", played)
}
