package control

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/control/coordination"
	"ivybank/control/replica"
	"ivybank/wire"
)

// The tests of this file cover the races between two events that the design of the parts names, each on its own. Most
// of them fail if the check that they cover is removed from the code.

const (
	crossingLock  = "crossing"
	crossingKey   = "crossing.key"
	crossingGroup = "crossing."
)

// newServedSimulation returns a simulation in which all parts are served.
func newServedSimulation(t *testing.T, seed uint64, tolerate int) *simulation {
	t.Helper()
	sim := newCoordinationSimulation(t, seed, tolerate)
	sim.noFaults = true
	sim.runUntilServed(5 * time.Second)
	sim.runUntil(sim.now + time.Second)
	return sim
}

// leaderOf returns the machine that leads the part of a command.
func (sim *simulation) leaderOf(c wire.Command) *machine {
	for _, m := range sim.machines {
		if m.node == nil {
			continue
		}
		if p := partOf(m.node.node, &c); p.replica.Role() == replica.Leader {
			return m
		}
	}
	sim.fail("the part of %s has no leader", c.Name)
	return nil
}

// partOf returns the part of a node that a command belongs to.
func partOf(n *Node, c *wire.Command) *part {
	return n.parts[coordination.PartOf(c, len(n.parts))]
}

// followerOf returns a machine that is a follower in the part of a command.
func (sim *simulation) followerOf(c wire.Command) *machine {
	leader := sim.leaderOf(c)
	return sim.machines[slices.IndexFunc(sim.machines, func(m *machine) bool { return m != leader && m.node != nil })]
}

// submit passes a call to a machine's event loop, and returns where its answer will be stored.
func (sim *simulation) submit(m *machine, c wire.Command) **wire.Answer {
	if c.Kind == wire.ReplaceKey {
		sim.applications.rules.group(c.Name).sendingPut(&c, sim.now)
	}
	answer := new(*wire.Answer)
	m.node.node.submitCall(c, m.node.Now(), func(a wire.Answer) { *answer = &a })
	m.node.node.Flush()
	return answer
}

// call passes a call to a machine and returns its answer, or nil if there is none within the caller's timeout.
func (sim *simulation) call(m *machine, c wire.Command) *wire.Answer {
	answer := sim.submit(m, c)
	for end := sim.now + callTimeout; *answer == nil && sim.now < end; {
		sim.step()
	}
	return *answer
}

// do retries a command as callers do until it has a definite answer.
func (sim *simulation) do(c wire.Command) wire.Answer {
	return sim.runUntilDone(sim.applications.newTask(c, answeredWithin)).answer
}

func beginCommand(holder string, hold time.Duration) wire.Command {
	return wire.Command{Kind: wire.BeginLock, Name: crossingLock, Holder: holder, HoldMS: hold.Milliseconds()}
}

func heartbeatCommand(holder string, fence uint64, hold time.Duration) wire.Command {
	return wire.Command{Kind: wire.HeartbeatLock, Name: crossingLock, Holder: holder, Fence: fence,
		HoldMS: hold.Milliseconds()}
}

func finishCommand(holder string, fence uint64) wire.Command {
	return wire.Command{Kind: wire.FinishLock, Name: crossingLock, Holder: holder, Fence: fence}
}

func putCommand(value string) wire.Command {
	return wire.Command{Kind: wire.ReplaceKey, Name: crossingKey, Value: value}
}

func getCommand() wire.Command { return wire.Command{Kind: wire.GetKey, Name: crossingKey} }

// A call that a leader has proposed gets its true outcome or no answer, but never 503, if the leader is partitioned
// meanwhile. In some runs the entry reaches no other disk, in others one before the partition.
func TestProposedCallIsNeverRefused(t *testing.T) {
	refused, shown := 0, 0
	for seed := range uint64(60) {
		sim := newServedSimulation(t, seed, 1)
		sim.do(putCommand("first"))
		leader := sim.leaderOf(getCommand())
		answer := sim.submit(leader, putCommand("second"))
		sim.runUntil(sim.now + sim.randomSpan(40*time.Millisecond))
		sim.isolate(leader, 3*time.Second, true, true, false)
		sim.runUntil(sim.now + 4*time.Second)
		after := sim.do(getCommand())
		outcome := wire.OutcomeUnknown
		if *answer != nil {
			outcome = (*answer).Outcome
		}
		if after.Value == "second" {
			shown++
		}
		if outcome == wire.NotServed {
			refused++
			assert.Equal(t, after.Value, "first", "seed %d: a put that was answered 503 is visible", seed)
		}
		if outcome == wire.Done {
			assert.Equal(t, after.Value, "second", "seed %d", seed)
		}
	}
	assert.Assert(t, shown > 5 && shown < 60, "%d of 60 puts took effect", shown)
	assert.Equal(t, refused, 0)
}

// A call whose entry can't be committed, since all disks stall, is left unanswered once its caller has timed out.
func TestCallOfStalledEntryIsLeftUnanswered(t *testing.T) {
	sim := newServedSimulation(t, 3, 1)
	leader := sim.leaderOf(getCommand())
	for _, m := range sim.machines {
		m.diskStalledUntil = sim.now + 4*time.Second
	}
	answer := sim.submit(leader, putCommand("first"))
	sim.runUntil(sim.now + callerTimeout/2)
	assert.Assert(t, *answer == nil)
	sim.runUntil(sim.now + callerTimeout)
	assert.Assert(t, *answer != nil && (*answer).Outcome == wire.OutcomeUnknown)
	assert.Equal(t, leader.node.node.callsInFlight(), 0)
	sim.runUntil(sim.now + 5*time.Second)
	assert.Equal(t, sim.do(getCommand()).Value, "first")
}

// A forwarded call gets its true outcome or no answer if the leader that received it ends.
func TestForwardedCallIsNeverRefused(t *testing.T) {
	shown, silent := 0, 0
	for seed := range uint64(60) {
		sim := newServedSimulation(t, seed, 1)
		sim.do(putCommand("first"))
		leader, follower := sim.leaderOf(getCommand()), sim.followerOf(getCommand())
		answer := sim.submit(follower, putCommand("second"))
		sim.runUntil(sim.now + 5*time.Millisecond + sim.randomSpan(60*time.Millisecond))
		sim.kill(leader, seed%2 == 0)
		sim.runUntil(sim.now + 4*time.Second)
		after := sim.do(getCommand())
		if after.Value == "second" {
			shown++
		}
		assert.Assert(t, *answer != nil, "seed %d: the call was never ended", seed)
		switch (*answer).Outcome {
		case wire.Done:
			assert.Equal(t, after.Value, "second", "seed %d", seed)
		case wire.NotServed:
			assert.Equal(t, after.Value, "first", "seed %d: a put that was answered 503 is visible", seed)
		default:
			silent++
		}
	}
	assert.Assert(t, shown > 5 && silent > 5, "%d visible, %d without an answer", shown, silent)
}

// A leader that was frozen resumes with calls whose callers have timed out meanwhile: it must drop them.
func TestCallOlderThanCallerTimeoutIsDropped(t *testing.T) {
	sim := newServedSimulation(t, 1, 1)
	leader := sim.leaderOf(getCommand())
	for _, m := range []*machine{leader, sim.followerOf(getCommand())} {
		since := m.node.Now()
		sim.runUntil(sim.now + callTimeout + 10*time.Millisecond)
		var answer *wire.Answer
		m.node.node.submitCall(putCommand("late at "+m.ip), since, func(a wire.Answer) { answer = &a })
		m.node.node.Flush()
		sim.runUntil(sim.now + 500*time.Millisecond)
		assert.Assert(t, answer != nil && answer.Outcome == wire.OutcomeUnknown, "%+v", answer)
		assert.Equal(t, sim.do(getCommand()).Outcome, wire.NotFound)
	}
}

// The time that a call has waited at a follower counts at the leader too: the call is too old to be started there.
func TestCallForwardedLateIsDropped(t *testing.T) {
	sim := newServedSimulation(t, 2, 1)
	follower := sim.followerOf(getCommand())
	node := follower.node.node
	since := follower.node.Now()
	sim.runUntil(sim.now + 950*time.Millisecond)
	passed := node.nextForwardNumber
	var answer *wire.Answer
	node.submitCall(putCommand("late"), since, func(a wire.Answer) { answer = &a })
	node.Flush()
	assert.Equal(t, node.nextForwardNumber, passed+1)
	sim.runUntil(sim.now + time.Second)
	assert.Assert(t, answer != nil && answer.Outcome != wire.Done, "%+v", answer)
	assert.Equal(t, sim.do(getCommand()).Outcome, wire.NotFound)
}

// A Finish that arrives after its holder has acquired the lock again must not release the lock.
func TestLateFinishReleasesNothing(t *testing.T) {
	sim := newServedSimulation(t, 3, 1)
	first := sim.do(beginCommand("a", time.Second))
	assert.Equal(t, sim.do(finishCommand("a", first.Fence)).Outcome, wire.Done)
	for range 3 {
		next := sim.do(beginCommand("a", 3*time.Second))
		assert.Assert(t, next.Fence > first.Fence)
		assert.Equal(t, sim.do(finishCommand("a", first.Fence)).Outcome, wire.Done)
		assert.Equal(t, sim.do(beginCommand("b", time.Second)).Outcome, wire.HeldByOther)
		assert.Equal(t, sim.do(heartbeatCommand("a", next.Fence, 3*time.Second)).Outcome, wire.Done)
		first = next
	}
}

// A duplicate Begin leaves the caller with the older fence: it may continue, and its Finish delays others by one hold
// at most.
func TestDuplicateBeginLastsOneHoldAtMost(t *testing.T) {
	const hold = time.Second
	sim := newServedSimulation(t, 4, 1)
	mine := sim.do(beginCommand("a", hold))
	again := sim.call(sim.anyControlMachine(), beginCommand("a", hold)) // its caller has disconnected
	assert.Assert(t, again != nil && again.Fence > mine.Fence)
	assert.Equal(t, sim.do(heartbeatCommand("a", mine.Fence, hold)).Outcome, wire.Done)
	sim.do(finishCommand("a", mine.Fence))
	freed := sim.now
	for sim.do(beginCommand("b", hold)).Outcome != wire.Done {
		sim.runUntil(sim.now + 20*time.Millisecond)
		assert.Assert(t, sim.now < freed+hold+500*time.Millisecond, "the lock is still held")
	}
	assert.Equal(t, sim.do(heartbeatCommand("a", mine.Fence, hold)).Outcome, wire.LockLost)
	assert.Equal(t, sim.do(heartbeatCommand("a", again.Fence, hold)).Outcome, wire.LockLost)
}

// The time of a part never runs faster than the monotonic clock: neither after a leader that continued from the time
// on its disk, nor when a node that still follows an earlier leader's time succeeds it.
func TestHoldLastsAcrossLeadersWithDifferentTimes(t *testing.T) {
	const hold = 3 * time.Second
	changedOver := 0
	for seed := range uint64(20) {
		sim := newServedSimulation(t, seed, 1)
		sim.runUntil(sim.now + 3*time.Second) // without an entry, so that the times on the disks fall behind
		ahead := sim.machines[seed%3]
		ahead.frozenUntil = sim.now + time.Hour
		for _, m := range sim.machines {
			if m != ahead {
				sim.kill(m, true)
				m.downUntil = sim.now + 100*time.Millisecond
			}
		}
		firstLeader := sim.runUntilLedBy(beginCommand("a", hold), func(m *machine) bool { return m != ahead })
		sim.do(beginCommand("a", hold))
		began := sim.now
		ahead.frozenUntil = 0
		sim.runUntil(sim.now + 300*time.Millisecond)
		sim.kill(firstLeader, true)
		firstLeader.downUntil = sim.now + hold
		next := sim.runUntilLedBy(beginCommand("b", hold), func(m *machine) bool { return m != firstLeader })
		if next == ahead {
			changedOver++
		}
		for sim.do(beginCommand("b", hold)).Outcome != wire.Done {
			sim.runUntil(sim.now + 20*time.Millisecond)
			assert.Assert(t, sim.now < began+3*hold, "seed %d: the lock is still held", seed)
		}
	}
	assert.Assert(t, changedOver > 3, "only %d of 20 changed over to the machine whose time was ahead", changedOver)
}

// runUntilLedBy runs the simulation until an accepted machine serves a command's part, and returns it.
func (sim *simulation) runUntilLedBy(c wire.Command, accepted func(*machine) bool) *machine {
	sim.t.Helper()
	for end := sim.now + 10*time.Second; sim.now < end; {
		sim.step()
		for _, m := range sim.machines {
			if m.node != nil && m.running(sim.now) && accepted(m) && partOf(m.node.node, &c).replica.Leading(m.node.Now()) {
				return m
			}
		}
	}
	sim.fail("the part of %s is not served", c.Name)
	return nil
}

// A partitioned leader answers nothing from memory once its lease is over, refuses what it has not proposed soon
// enough for the caller to retry elsewhere, and leaves what it has proposed unanswered.
func TestPartitionedLeaderAnswersCorrectly(t *testing.T) {
	for seed := range uint64(20) {
		sim := newServedSimulation(t, seed, 1+int(seed%2))
		sim.do(putCommand("first"))
		leader := sim.leaderOf(getCommand())
		proposed := sim.submit(leader, putCommand("under way"))
		sim.isolate(leader, 5*time.Second, true, true, false)
		sim.runUntil(sim.now + replica.LeaseDuration)
		read, put := sim.submit(leader, getCommand()), sim.submit(leader, putCommand("begun"))
		asked := sim.now
		sim.runUntil(sim.now + 900*time.Millisecond)
		for _, answer := range []*wire.Answer{*read, *put} {
			assert.Assert(t, answer != nil, "seed %d: no answer after %v", seed, sim.now-asked)
			assert.Equal(t, answer.Outcome, wire.NotServed, "seed %d", seed)
		}
		sim.runUntil(sim.now + 3*time.Second)
		if *proposed != nil {
			assert.Assert(t, (*proposed).Outcome == wire.OutcomeUnknown || (*proposed).Outcome == wire.Done, "seed %d: %v",
				seed, (*proposed).Outcome)
		}
		sim.runUntil(sim.now + 4*time.Second)
		value := sim.do(getCommand()).Value
		assert.Assert(t, value == "first" || value == "under way", "seed %d: %s", seed, value)
	}
}

// A watch that waits at a leader which loses its lease gets the put at the next leader, within the watch's own
// deadline.
func TestWatchContinuesAtTheNextLeader(t *testing.T) {
	const wait = 8 * time.Second
	for seed := range uint64(20) {
		sim := newServedSimulation(t, seed, 1+int(seed%2))
		first := sim.do(putCommand("first"))
		leader, follower := sim.leaderOf(getCommand()), sim.followerOf(getCommand())
		watch := wire.Command{Kind: wire.WatchGroup, Name: crossingGroup, After: first.Revision, WaitMS: wait.Milliseconds()}
		watchAnswer := sim.submit(follower, watch)
		sim.runUntil(sim.now + 300*time.Millisecond)
		sim.isolate(leader, 20*time.Second, true, true, false)
		sim.runUntil(sim.now + 2*time.Second)
		put := sim.call(sim.leaderBeside(leader), putCommand("second"))
		assert.Assert(t, put != nil && put.Outcome == wire.Done, "seed %d", seed)
		committed := sim.now
		for *watchAnswer == nil && sim.now < committed+300*time.Millisecond {
			sim.step()
		}
		assert.Assert(t, *watchAnswer != nil, "seed %d: the watch got no event", seed)
		assert.DeepEqual(t, (*watchAnswer).Events, []wire.Change{{Key: crossingKey, Value: "second", Revision: put.Revision}})
	}
}

// leaderBeside returns the machine that serves crossingKey and isn't other.
func (sim *simulation) leaderBeside(other *machine) *machine {
	return sim.runUntilLedBy(getCommand(), func(m *machine) bool { return m != other })
}

// Watches continue from revisions that were known before all machines lost power, and two of five their disks: no put
// is skipped.
func TestWatchesResumeAfterPowerLossOfAll(t *testing.T) {
	for seed := range uint64(8) {
		sim := newServedSimulation(t, seed, 2)
		first := sim.do(putCommand("first"))
		second := sim.do(putCommand("second"))
		sim.killAll(true)
		sim.wipeDisk(sim.machines[seed%5])
		sim.wipeDisk(sim.machines[(seed+2)%5])
		sim.runUntil(sim.now + time.Second)
		watch := wire.Command{Kind: wire.WatchGroup, Name: crossingGroup, After: first.Revision}
		assert.DeepEqual(t, sim.do(watch).Events,
			[]wire.Change{{Key: crossingKey, Value: "second", Revision: second.Revision}})
		assert.DeepEqual(t, sim.do(putCommand("first")), wire.Answer{Outcome: wire.Done, Revision: first.Revision})
		assert.Equal(t, sim.do(getCommand()).Value, "second")
	}
}

// A repeated put gets its first revision or its rejection again, whatever happened since: later puts, a power loss of
// all, a lost disk.
func TestPutRepeatedMuchLater(t *testing.T) {
	for seed := range uint64(6) {
		sim := newServedSimulation(t, seed, 1)
		first := sim.do(putCommand("first"))
		none := uint64(0)
		rejected := wire.Command{Kind: wire.ReplaceKey, Name: crossingKey, Value: "rejected", IfRevision: &none}
		assert.Equal(t, sim.do(rejected).Outcome, wire.Mismatched)
		second := wire.Command{Kind: wire.ReplaceKey, Name: crossingKey, Value: "second", IfRevision: &first.Revision}
		secondAnswer := sim.do(second)
		assert.Equal(t, secondAnswer.Outcome, wire.Done)
		for i, injectFault := range []func(){
			func() { sim.do(putCommand("third")) },
			func() { sim.killAll(true) },
			func() { sim.wipeDisk(sim.leaderOf(getCommand())) },
			func() { sim.runUntil(sim.now + coordinationHistory) },
		} {
			injectFault()
			assert.DeepEqual(t, sim.do(putCommand("first")), first)
			assert.DeepEqual(t, sim.do(second), secondAnswer)
			assert.Equal(t, sim.do(rejected).Outcome, wire.Mismatched, "seed %d, fault %d", seed, i)
			assert.Equal(t, sim.do(getCommand()).Value, "third")
		}
	}
}
