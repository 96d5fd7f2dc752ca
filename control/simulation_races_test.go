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
func servedWorld(t *testing.T, seed uint64, tolerate int) *world {
	t.Helper()
	w := newCoordinationWorld(t, seed, tolerate)
	w.calm = true
	w.playUntilServed(5 * time.Second)
	w.playUntil(w.now + time.Second)
	return w
}

// leaderOf returns the machine that leads the part of a command.
func (w *world) leaderOf(c wire.Command) *machine {
	for _, m := range w.machines {
		if m.node == nil {
			continue
		}
		if p := partOf(m.node.node, &c); p.replica.Role() == replica.Leader {
			return m
		}
	}
	w.fail("the part of %s has no leader", c.Name)
	return nil
}

// partOf returns the part of a node that a command belongs to.
func partOf(n *Node, c *wire.Command) *part {
	return n.parts[coordination.PartOf(c, len(n.parts))]
}

// followerOf returns a machine that is a follower in the part of a command.
func (w *world) followerOf(c wire.Command) *machine {
	leader := w.leaderOf(c)
	return w.machines[slices.IndexFunc(w.machines, func(m *machine) bool { return m != leader && m.node != nil })]
}

// submit passes a call to a machine's event loop, and returns where its answer will be stored.
func (w *world) tell(m *machine, c wire.Command) **wire.Answer {
	if c.Kind == wire.ReplaceKey {
		w.applications.rules.group(c.Name).sendingPut(&c, w.now)
	}
	answer := new(*wire.Answer)
	m.node.node.submitCall(c, m.node.Now(), func(a wire.Answer) { *answer = &a })
	m.node.node.Flush()
	return answer
}

// call passes a call to a machine and returns its answer, or nil if there is none within the caller's timeout.
func (w *world) get(m *machine, c wire.Command) *wire.Answer {
	answer := w.tell(m, c)
	for end := w.now + callSilence; *answer == nil && w.now < end; {
		w.step()
	}
	return *answer
}

// do retries a command as callers do until it has a definite answer.
func (w *world) do(c wire.Command) wire.Answer {
	return w.pursueUntilClear(w.applications.begin(c, answeredWithin)).answer
}

func beginCommand(holder string, hold time.Duration) wire.Command {
	return wire.Command{Kind: wire.BeginLock, Name: crossingLock, Holder: holder, HoldMS: hold.Milliseconds()}
}

func heartbeatCommand(holder string, fence uint64, hold time.Duration) wire.Command {
	return wire.Command{Kind: wire.HeartbeatLock, Name: crossingLock, Holder: holder, Fence: fence, HoldMS: hold.Milliseconds()}
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
		w := servedWorld(t, seed, 1)
		w.do(putCommand("first"))
		leader := w.leaderOf(getCommand())
		answer := w.tell(leader, putCommand("second"))
		w.playUntil(w.now + w.randomSpan(40*time.Millisecond))
		w.isolate(leader, 3*time.Second, true, true, false)
		w.playUntil(w.now + 4*time.Second)
		after := w.do(getCommand())
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
func TestCallOfAnEntryThatStandsStillIsLeft(t *testing.T) {
	w := servedWorld(t, 3, 1)
	leader := w.leaderOf(getCommand())
	for _, m := range w.machines {
		m.stalled = w.now + 4*time.Second
	}
	answer := w.tell(leader, putCommand("first"))
	w.playUntil(w.now + callerTimeout/2)
	assert.Assert(t, *answer == nil)
	w.playUntil(w.now + callerTimeout)
	assert.Assert(t, *answer != nil && (*answer).Outcome == wire.OutcomeUnknown)
	assert.Equal(t, leader.node.node.callsInFlight(), 0)
	w.playUntil(w.now + 5*time.Second)
	assert.Equal(t, w.do(getCommand()).Value, "first")
}

// A forwarded call gets its true outcome or no answer if the leader that received it ends.
func TestPassedOnCallIsNeverRefused(t *testing.T) {
	shown, silent := 0, 0
	for seed := range uint64(60) {
		w := servedWorld(t, seed, 1)
		w.do(putCommand("first"))
		leader, follower := w.leaderOf(getCommand()), w.followerOf(getCommand())
		answer := w.tell(follower, putCommand("second"))
		w.playUntil(w.now + 5*time.Millisecond + w.randomSpan(60*time.Millisecond))
		w.kill(leader, seed%2 == 0)
		w.playUntil(w.now + 4*time.Second)
		after := w.do(getCommand())
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
func TestCallThatIsOlderThanItsCallersPatienceIsDropped(t *testing.T) {
	w := servedWorld(t, 1, 1)
	leader := w.leaderOf(getCommand())
	for _, m := range []*machine{leader, w.followerOf(getCommand())} {
		since := m.node.Now()
		w.playUntil(w.now + callSilence + 10*time.Millisecond)
		var answer *wire.Answer
		m.node.node.submitCall(putCommand("late at "+m.ip), since, func(a wire.Answer) { answer = &a })
		m.node.node.Flush()
		w.playUntil(w.now + 500*time.Millisecond)
		assert.Assert(t, answer != nil && answer.Outcome == wire.OutcomeUnknown, "%+v", answer)
		assert.Equal(t, w.do(getCommand()).Outcome, wire.NotFound)
	}
}

// The time that a call has waited at a follower counts at the leader too: the call is too old to be started there.
func TestCallThatWasPassedOnLateIsDropped(t *testing.T) {
	w := servedWorld(t, 2, 1)
	follower := w.followerOf(getCommand())
	node := follower.node.node
	since := follower.node.Now()
	w.playUntil(w.now + 950*time.Millisecond)
	passed := node.nextForwardNumber
	var answer *wire.Answer
	node.submitCall(putCommand("late"), since, func(a wire.Answer) { answer = &a })
	node.Flush()
	assert.Equal(t, node.nextForwardNumber, passed+1)
	w.playUntil(w.now + time.Second)
	assert.Assert(t, answer != nil && answer.Outcome != wire.Done, "%+v", answer)
	assert.Equal(t, w.do(getCommand()).Outcome, wire.NotFound)
}

// A Finish that arrives after its holder has acquired the lock again must not release the lock.
func TestLateFinishFreesNothing(t *testing.T) {
	w := servedWorld(t, 3, 1)
	first := w.do(beginCommand("a", time.Second))
	assert.Equal(t, w.do(finishCommand("a", first.Fence)).Outcome, wire.Done)
	for range 3 {
		next := w.do(beginCommand("a", 3*time.Second))
		assert.Assert(t, next.Fence > first.Fence)
		assert.Equal(t, w.do(finishCommand("a", first.Fence)).Outcome, wire.Done)
		assert.Equal(t, w.do(beginCommand("b", time.Second)).Outcome, wire.HeldByOther)
		assert.Equal(t, w.do(heartbeatCommand("a", next.Fence, 3*time.Second)).Outcome, wire.Done)
		first = next
	}
}

// A duplicate Begin leaves the caller with the older fence: it may continue, and its Finish delays others by one hold
// at most.
func TestLateBeginCostsItsHoldAtMost(t *testing.T) {
	const hold = time.Second
	w := servedWorld(t, 4, 1)
	mine := w.do(beginCommand("a", hold))
	again := w.get(w.anyCore(), beginCommand("a", hold)) // its caller has disconnected
	assert.Assert(t, again != nil && again.Fence > mine.Fence)
	assert.Equal(t, w.do(heartbeatCommand("a", mine.Fence, hold)).Outcome, wire.Done)
	w.do(finishCommand("a", mine.Fence))
	freed := w.now
	for w.do(beginCommand("b", hold)).Outcome != wire.Done {
		w.playUntil(w.now + 20*time.Millisecond)
		assert.Assert(t, w.now < freed+hold+500*time.Millisecond, "the lock is still held")
	}
	assert.Equal(t, w.do(heartbeatCommand("a", mine.Fence, hold)).Outcome, wire.LockLost)
	assert.Equal(t, w.do(heartbeatCommand("a", again.Fence, hold)).Outcome, wire.LockLost)
}

// The time of a part never runs faster than the monotonic clock: neither after a leader that continued from the time
// on its disk, nor when a node that still follows an earlier leader's time succeeds it.
func TestHoldLastsOverLeadersWhoseTimesDiffer(t *testing.T) {
	const hold = 3 * time.Second
	crossed := 0
	for seed := range uint64(20) {
		w := servedWorld(t, seed, 1)
		w.playUntil(w.now + 3*time.Second) // without an entry, so that the times on the disks fall behind
		apart := w.machines[seed%3]
		apart.frozen = w.now + time.Hour
		for _, m := range w.machines {
			if m != apart {
				w.kill(m, true)
				m.downTill = w.now + 100*time.Millisecond
			}
		}
		slow := w.playUntilLedBy(beginCommand("a", hold), func(m *machine) bool { return m != apart })
		w.do(beginCommand("a", hold))
		began := w.now
		apart.frozen = 0
		w.playUntil(w.now + 300*time.Millisecond)
		w.kill(slow, true)
		slow.downTill = w.now + hold
		next := w.playUntilLedBy(beginCommand("b", hold), func(m *machine) bool { return m != slow })
		if next == apart {
			crossed++
		}
		for w.do(beginCommand("b", hold)).Outcome != wire.Done {
			w.playUntil(w.now + 20*time.Millisecond)
			assert.Assert(t, w.now < began+3*hold, "seed %d: the lock is still held", seed)
		}
	}
	assert.Assert(t, crossed > 3, "only %d of 20 changed over to the machine whose time was ahead", crossed)
}

// runUntilLedBy runs the simulation until an accepted machine serves a command's part, and returns it.
func (w *world) playUntilLedBy(c wire.Command, meant func(*machine) bool) *machine {
	w.t.Helper()
	for end := w.now + 10*time.Second; w.now < end; {
		w.step()
		for _, m := range w.machines {
			if m.node != nil && m.running(w.now) && meant(m) && partOf(m.node.node, &c).replica.Leading(m.node.Now()) {
				return m
			}
		}
	}
	w.fail("the part of %s is not served", c.Name)
	return nil
}

// A partitioned leader answers nothing from memory once its lease is over, refuses what it has not proposed soon
// enough for the caller to retry elsewhere, and leaves what it has proposed unanswered.
func TestLeaderThatIsCutOffKeepsItsPromises(t *testing.T) {
	for seed := range uint64(20) {
		w := servedWorld(t, seed, 1+int(seed%2))
		w.do(putCommand("first"))
		leader := w.leaderOf(getCommand())
		under := w.tell(leader, putCommand("under way"))
		w.isolate(leader, 5*time.Second, true, true, false)
		w.playUntil(w.now + replica.LeaseDuration)
		read, put := w.tell(leader, getCommand()), w.tell(leader, putCommand("begun"))
		asked := w.now
		w.playUntil(w.now + 900*time.Millisecond)
		for _, answer := range []*wire.Answer{*read, *put} {
			assert.Assert(t, answer != nil, "seed %d: no answer after %v", seed, w.now-asked)
			assert.Equal(t, answer.Outcome, wire.NotServed, "seed %d", seed)
		}
		w.playUntil(w.now + 3*time.Second)
		if *under != nil {
			assert.Assert(t, (*under).Outcome == wire.OutcomeUnknown || (*under).Outcome == wire.Done, "seed %d: %v", seed, (*under).Outcome)
		}
		w.playUntil(w.now + 4*time.Second)
		value := w.do(getCommand()).Value
		assert.Assert(t, value == "first" || value == "under way", "seed %d: %s", seed, value)
	}
}

// A watch that waits at a leader which loses its lease gets the put at the next leader, within the watch's own
// deadline.
func TestWatchGoesOnAtTheNextLeader(t *testing.T) {
	const wait = 8 * time.Second
	for seed := range uint64(20) {
		w := servedWorld(t, seed, 1+int(seed%2))
		first := w.do(putCommand("first"))
		leader, follower := w.leaderOf(getCommand()), w.followerOf(getCommand())
		watch := wire.Command{Kind: wire.WatchGroup, Name: crossingGroup, After: first.Revision, WaitMS: wait.Milliseconds()}
		passedOn := w.tell(follower, watch)
		w.playUntil(w.now + 300*time.Millisecond)
		w.isolate(leader, 20*time.Second, true, true, false)
		w.playUntil(w.now + 2*time.Second)
		put := w.get(w.leaderBeside(leader), putCommand("second"))
		assert.Assert(t, put != nil && put.Outcome == wire.Done, "seed %d", seed)
		committed := w.now
		for *passedOn == nil && w.now < committed+300*time.Millisecond {
			w.step()
		}
		assert.Assert(t, *passedOn != nil, "seed %d: the watch got no event", seed)
		assert.DeepEqual(t, (*passedOn).Events, []wire.Change{{Key: crossingKey, Value: "second", Revision: put.Revision}})
	}
}

// leaderBeside returns the machine that serves crossingKey and isn't other.
func (w *world) leaderBeside(other *machine) *machine {
	return w.playUntilLedBy(getCommand(), func(m *machine) bool { return m != other })
}

// Watches continue from revisions that were known before all machines lost power, and two of five their disks: no put
// is skipped.
func TestWatchesResumeAfterAllPowerIsCut(t *testing.T) {
	for seed := range uint64(8) {
		w := servedWorld(t, seed, 2)
		first := w.do(putCommand("first"))
		second := w.do(putCommand("second"))
		w.killAll(true)
		w.wipe(w.machines[seed%5])
		w.wipe(w.machines[(seed+2)%5])
		w.playUntil(w.now + time.Second)
		watch := wire.Command{Kind: wire.WatchGroup, Name: crossingGroup, After: first.Revision}
		assert.DeepEqual(t, w.do(watch).Events, []wire.Change{{Key: crossingKey, Value: "second", Revision: second.Revision}})
		assert.DeepEqual(t, w.do(putCommand("first")), wire.Answer{Outcome: wire.Done, Revision: first.Revision})
		assert.Equal(t, w.do(getCommand()).Value, "second")
	}
}

// A repeated put gets its first revision or its rejection again, whatever happened since: later puts, a power loss of
// all, a lost disk.
func TestPutThatComesAgainMuchLater(t *testing.T) {
	for seed := range uint64(6) {
		w := servedWorld(t, seed, 1)
		first := w.do(putCommand("first"))
		none := uint64(0)
		rejected := wire.Command{Kind: wire.ReplaceKey, Name: crossingKey, Value: "rejected", IfRevision: &none}
		assert.Equal(t, w.do(rejected).Outcome, wire.Mismatched)
		second := wire.Command{Kind: wire.ReplaceKey, Name: crossingKey, Value: "second", IfRevision: &first.Revision}
		secondAnswer := w.do(second)
		assert.Equal(t, secondAnswer.Outcome, wire.Done)
		for i, trouble := range []func(){
			func() { w.do(putCommand("third")) },
			func() { w.killAll(true) },
			func() { w.wipe(w.leaderOf(getCommand())) },
			func() { w.playUntil(w.now + coordinationHistory) },
		} {
			trouble()
			assert.DeepEqual(t, w.do(putCommand("first")), first)
			assert.DeepEqual(t, w.do(second), secondAnswer)
			assert.Equal(t, w.do(rejected).Outcome, wire.Mismatched, "seed %d, fault %d", seed, i)
			assert.Equal(t, w.do(getCommand()).Value, "third")
		}
	}
}
