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

// The tests of this file play the crossings of two events that the design of the parts names, each on its own. Most of them fail
// where the guard that they are for is taken out of the code.

const (
	crossingLock  = "crossing"
	crossingKey   = "crossing.key"
	crossingGroup = "crossing."
)

// servedWorld is one whose parts are all served.
func servedWorld(t *testing.T, seed uint64, tolerate int) *world {
	t.Helper()
	w := newCoordinationWorld(t, seed, tolerate)
	w.calm = true
	w.playUntilServed(5 * time.Second)
	w.playUntil(w.now + time.Second)
	return w
}

// leaderOf is the machine that leads the part of a command.
func (w *world) leaderOf(c wire.Command) *machine {
	for _, m := range w.machines {
		if m.node == nil {
			continue
		}
		if p := partOf(m.node.node, &c); p.replica.Role() == replica.Leader {
			return m
		}
	}
	w.fail("nobody leads the part of %s", c.Name)
	return nil
}

// partOf is the part of a node that a command belongs to.
func partOf(n *Node, c *wire.Command) *part {
	return n.parts[coordination.PartOf(c, len(n.parts))]
}

// followerOf is a machine that follows in the part of a command.
func (w *world) followerOf(c wire.Command) *machine {
	leader := w.leaderOf(c)
	return w.machines[slices.IndexFunc(w.machines, func(m *machine) bool { return m != leader && m.node != nil })]
}

// tell hands a call to a machine's loop, and gives where its answer will be.
func (w *world) tell(m *machine, c wire.Command) **wire.Answer {
	if c.Kind == wire.ReplaceKey {
		w.applications.rules.group(c.Name).sendingPut(&c, w.now)
	}
	answer := new(*wire.Answer)
	m.node.node.takeCall(c, m.node.Now(), func(a wire.Answer) { *answer = &a })
	m.node.node.Flush()
	return answer
}

// get hands a call to a machine and gives its answer; nil where there is none within a caller's patience.
func (w *world) get(m *machine, c wire.Command) *wire.Answer {
	answer := w.tell(m, c)
	for end := w.now + callSilence; *answer == nil && w.now < end; {
		w.step()
	}
	return *answer
}

// do pursues a command as callers do until it has a clear answer.
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

// A call that a leader has proposed gets its true outcome or silence, never 503, when the leader is cut off amid it: here the
// entry reaches no other disk, or one before the cut.
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
			assert.Equal(t, after.Value, "first", "seed %d: a put that was answered 503 shows", seed)
		}
		if outcome == wire.Done {
			assert.Equal(t, after.Value, "second", "seed %d", seed)
		}
	}
	assert.Assert(t, shown > 5 && shown < 60, "%d of 60 puts took effect", shown)
	assert.Equal(t, refused, 0)
}

// A call whose entry can't be committed, as all disks stand still, is left without an answer once its caller has gone elsewhere.
func TestCallOfAnEntryThatStandsStillIsLeft(t *testing.T) {
	w := servedWorld(t, 3, 1)
	leader := w.leaderOf(getCommand())
	for _, m := range w.machines {
		m.stalled = w.now + 4*time.Second
	}
	answer := w.tell(leader, putCommand("first"))
	w.playUntil(w.now + callerPatience/2)
	assert.Assert(t, *answer == nil)
	w.playUntil(w.now + callerPatience)
	assert.Assert(t, *answer != nil && (*answer).Outcome == wire.OutcomeUnknown)
	assert.Equal(t, leader.node.node.callsUnderWay(), 0)
	w.playUntil(w.now + 5*time.Second)
	assert.Equal(t, w.do(getCommand()).Value, "first")
}

// A call that was passed on gets its true outcome or silence where the leader that has it ends.
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
		assert.Assert(t, *answer != nil, "seed %d: the caller waits forever", seed)
		switch (*answer).Outcome {
		case wire.Done:
			assert.Equal(t, after.Value, "second", "seed %d", seed)
		case wire.NotServed:
			assert.Equal(t, after.Value, "first", "seed %d: a put that was answered 503 shows", seed)
		default:
			silent++
		}
	}
	assert.Assert(t, shown > 5 && silent > 5, "%d shown, %d without an answer", shown, silent)
}

// A leader that has stood still wakes with calls that were taken before, whose callers have long gone on: it drops them.
func TestCallThatIsOlderThanItsCallersPatienceIsDropped(t *testing.T) {
	w := servedWorld(t, 1, 1)
	leader := w.leaderOf(getCommand())
	for _, m := range []*machine{leader, w.followerOf(getCommand())} {
		since := m.node.Now()
		w.playUntil(w.now + callSilence + 10*time.Millisecond)
		var answer *wire.Answer
		m.node.node.takeCall(putCommand("late at "+m.ip), since, func(a wire.Answer) { answer = &a })
		m.node.node.Flush()
		w.playUntil(w.now + 500*time.Millisecond)
		assert.Assert(t, answer != nil && answer.Outcome == wire.OutcomeUnknown, "%+v", answer)
		assert.Equal(t, w.do(getCommand()).Outcome, wire.NotFound)
	}
}

// What a call has waited in a follower counts at the leader too: it is too old there to be begun.
func TestCallThatWasPassedOnLateIsDropped(t *testing.T) {
	w := servedWorld(t, 2, 1)
	follower := w.followerOf(getCommand())
	node := follower.node.node
	since := follower.node.Now()
	w.playUntil(w.now + 950*time.Millisecond)
	passed := node.nextPassed
	var answer *wire.Answer
	node.takeCall(putCommand("late"), since, func(a wire.Answer) { answer = &a })
	node.Flush()
	assert.Equal(t, node.nextPassed, passed+1)
	w.playUntil(w.now + time.Second)
	assert.Assert(t, answer != nil && answer.Outcome != wire.Done, "%+v", answer)
	assert.Equal(t, w.do(getCommand()).Outcome, wire.NotFound)
}

// An old Finish that arrives once its holder has begun anew doesn't free the lock.
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

// A Begin that arrives twice leaves the caller with the older fence: it may go on, and its Finish costs no more than the hold.
func TestLateBeginCostsItsHoldAtMost(t *testing.T) {
	const hold = time.Second
	w := servedWorld(t, 4, 1)
	mine := w.do(beginCommand("a", hold))
	again := w.get(w.anyCore(), beginCommand("a", hold)) // its caller has gone
	assert.Assert(t, again != nil && again.Fence > mine.Fence)
	assert.Equal(t, w.do(heartbeatCommand("a", mine.Fence, hold)).Outcome, wire.Done)
	w.do(finishCommand("a", mine.Fence))
	freed := w.now
	for w.do(beginCommand("b", hold)).Outcome != wire.Done {
		w.playUntil(w.now + 20*time.Millisecond)
		assert.Assert(t, w.now < freed+hold+500*time.Millisecond, "still held")
	}
	assert.Equal(t, w.do(heartbeatCommand("a", mine.Fence, hold)).Outcome, wire.LockLost)
	assert.Equal(t, w.do(heartbeatCommand("a", again.Fence, hold)).Outcome, wire.LockLost)
}

// The time of a part never goes faster than a steady clock: neither over a leader whose time went on from its disk, nor when
// one that still counts by an earlier leader follows it.
func TestHoldLastsOverLeadersWhoseTimesDiffer(t *testing.T) {
	const hold = 3 * time.Second
	crossed := 0
	for seed := range uint64(20) {
		w := servedWorld(t, seed, 1)
		w.playUntil(w.now + 3*time.Second) // without an entry: the disks' time falls behind
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
			assert.Assert(t, w.now < began+3*hold, "seed %d: still held", seed)
		}
	}
	assert.Assert(t, crossed > 3, "%d of 20 went over to the one whose time was ahead", crossed)
}

// playUntilLedBy lets the world go on until some machine serves a command's part, one of those that are meant.
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
	w.fail("nobody serves the part of %s", c.Name)
	return nil
}

// A leader that is cut off answers nothing from memory once its lease is over, refuses what it has not begun so soon that
// the caller can go on elsewhere, and keeps silent on what it has proposed.
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

// A watch that waits at a leader which loses its lease is told of the put that comes at the next one, within its own time.
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
		assert.Assert(t, *passedOn != nil, "seed %d: not told", seed)
		assert.DeepEqual(t, (*passedOn).Events, []wire.Change{{Key: crossingKey, Value: "second", Revision: put.Revision}})
	}
}

// leaderBeside is the machine that serves the crossing's key, another one than that.
func (w *world) leaderBeside(other *machine) *machine {
	return w.playUntilLedBy(getCommand(), func(m *machine) bool { return m != other })
}

// Watches go on from revisions that were told before all lost their power, and two of five their disks: nothing is skipped.
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

// A put that comes again has its first revision, or its rejection, whatever happened since: later puts, all power cut, a lost
// disk.
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
			assert.Equal(t, w.do(rejected).Outcome, wire.Mismatched, "seed %d, trouble %d", seed, i)
			assert.Equal(t, w.do(getCommand()).Value, "third")
		}
	}
}
