package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/wire"
)

const (
	coordinationSeedTime = 2 * time.Second // before the first fault
	coordinationTroubles = 14 * time.Second
	// answeredWithin is how long after the last fault all calls have their answers: well within recovery_s, 15 s.
	answeredWithin = 8 * time.Second
	// grantedWithin is how long after the last fault every lock can be acquired: once the longest hold is over.
	grantedWithin = longestHold + answeredWithin
	// wholeWithin is how long after the last fault each group has all its members again.
	wholeWithin = 10 * time.Second
	finalPause  = 50 * time.Millisecond
)

// startApplications puts one key into each group, then adds the callers of a run.
func (w *world) startApplications() {
	a := w.applications
	for group := range groupsOfWorld {
		command := wire.Command{Kind: wire.ReplaceKey, Name: keyName(group, 0), Value: "first-" + groupName(group)}
		w.pursueUntilClear(a.begin(command, answeredWithin))
	}
	a.addHolders(6)
	a.addNumberCallers(2)
	a.addReaders(2)
	a.addPutters(4)
	a.addWatchers(1)
}

// runUntilDone runs the simulation until a task has a definite answer.
func (w *world) pursueUntilClear(e *errand) *errand {
	w.t.Helper()
	for began := w.now; !w.applications.pursue(e); {
		w.stepDelayed()
		if w.step(); w.now > began+answeredWithin+callSilence {
			w.fail("no answer after %v: %+v", w.now-began, e.command)
		}
	}
	if !e.clear() {
		w.fail("no definite answer: %+v", e.command)
	}
	return e
}

// askAtEnd reads every key, draws every kind of number and requests every lock, and returns how long it took until all
// calls had a definite answer. For a lock, HeldByOther is such an answer; takeAllLocks acquires them later.
func (w *world) askAtEnd() time.Duration {
	a, began := w.applications, w.now
	a.quiet = true
	var errands []*errand
	ask := func(command wire.Command) { errands = append(errands, a.begin(command, answeredWithin)) }
	for group := range groupsOfWorld {
		for key := range keysOfGroup {
			ask(wire.Command{Kind: wire.GetKey, Name: keyName(group, key)})
		}
	}
	for i := range numberNames {
		ask(wire.Command{Kind: wire.NextNumber, Name: numberName(i)})
	}
	for name := range w.sortedLocks() {
		ask(wire.Command{Kind: wire.BeginLock, Name: name, Holder: "last", HoldMS: shortestHold.Milliseconds()})
	}
	for _, e := range errands {
		a.pursue(e) // all at once
	}
	for _, e := range errands {
		w.pursueUntilClear(e)
	}
	w.watchAllFromTheBeginning()
	return w.now - began
}

// watchAllFromTheBeginning checks that each group returns all its puts, which it keeps for longer than a run.
func (w *world) watchAllFromTheBeginning() {
	for group := range groupsOfWorld {
		for after := uint64(1); ; {
			c := wire.Command{Kind: wire.WatchGroup, Name: groupName(group), After: after}
			answer := w.pursueUntilClear(w.applications.begin(c, answeredWithin)).answer
			if answer.Outcome == wire.Compacted {
				w.fail("the history of %s has been compacted", c.Name)
			}
			if len(answer.Events) == 0 {
				break
			}
			after = answer.Revision
		}
	}
}

// takeAllLocks acquires each lock once it is free, with the same holder.
func (w *world) takeAllLocks() time.Duration {
	began := w.now
	for name := range w.sortedLocks() {
		for {
			c := wire.Command{Kind: wire.BeginLock, Name: name, Holder: "last", HoldMS: shortestHold.Milliseconds()}
			if w.pursueUntilClear(w.applications.begin(c, answeredWithin)).answer.Outcome == wire.Done {
				break
			}
			if w.now > began+grantedWithin {
				w.fail("lock %s can't be acquired", name)
			}
			w.playUntil(w.now + finalPause)
		}
	}
	return w.now - began
}

// finishCoordination ends all faults and checks the whole run. It returns how long it took until all calls were
// answered.
func (w *world) finishCoordination() time.Duration {
	w.settle()
	settled := w.now
	took := w.askAtEnd()
	w.takeAllLocks()
	w.playUntil(max(w.now, settled+wholeWithin))
	w.watchAllFromTheBeginning()
	w.checkPartsEnd()
	w.applications.rules.checkHistories()
	return took
}

// coordinationRun is the result of one schedule.
type coordinationRun struct {
	world    worldCounts
	calls    applicationCounts
	changes  int // leader changes of parts
	answered time.Duration
}

func playCoordination(t *testing.T, seed uint64) coordinationRun {
	w := newCoordinationWorld(t, seed, 1+int(seed/3%2))
	w.playUntilServed(5 * time.Second)
	w.startApplications()
	w.playUntil(w.now + coordinationSeedTime)
	pace := []time.Duration{400 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second}[seed/6%3]
	nextHarm := w.now
	for end := w.now + coordinationTroubles; w.now < end; {
		if w.now >= nextHarm {
			w.harmCoordination()
			nextHarm = w.now + w.randomSpan(pace)
		}
		w.stepDelayed()
		w.step()
	}
	run := coordinationRun{answered: w.finishCoordination(), calls: w.applications.counts}
	w.counts.schedules = 1
	run.world = w.counts
	for _, g := range w.groups {
		run.changes += g.changes
	}
	return run
}

// TestCoordinationUnderRandomFaults runs schedules on all processors. A failed schedule is repeated with -seed and
// -schedules 1.
func TestCoordinationUnderRandomTroubles(t *testing.T) {
	schedules := max(1, *worldSchedules/coordinationShare)
	if testing.Short() {
		schedules = max(1, schedules/10)
	}
	var played coordinationRun
	for r := range playSchedules(t, schedules, playCoordination) {
		played.world.add(r.world)
		played.calls.add(r.calls)
		played.changes += r.changes
		played.answered = max(played.answered, r.answered)
	}
	t.Logf("ran %+v; %d leader changes; all calls answered within %v of the last fault", played.world, played.changes, played.answered)
	t.Logf("calls %v", &played.calls)
	played.assertMuch(t)
}

// coordinationShare is how many schedules without applications take as long as one with applications.
const coordinationShare = 2

// assertCoverage fails if the schedules have exercised too little of what they are meant to test.
func (r *coordinationRun) assertMuch(t *testing.T) {
	n, w, c := r.world.schedules, &r.world, &r.calls
	if n < 20 {
		return
	}
	for what, played := range map[string]struct{ count, least int }{
		"disks lost":                        {w.wipes, 2 * n},
		"disks replaced":                    {w.repaired, n},
		"two disks lost at once":            {c.twoWiped, n / 8},
		"restarts":                          {w.restarts, 10 * n},
		"changes of leaders":                {r.changes, 5 * n},
		"power lost after acknowledgements": {c.killedAfterAck, n / 4},
		"locks granted":                     {c.grants, 10 * n},
		"locks held by others":              {c.refusedLocks, 30 * n},
		"renewals":                          {c.renewals, 4 * n},
		"renewals that were refused":        {c.lost, n / 2},
		"locks begun again by their holder": {c.ownAgain, n},
		"grants that arrived too late":      {c.overtime, n / 4},
		"numbers":                           {c.numbers, 15 * n},
		"puts":                              {c.puts, 20 * n},
		"puts that were rejected":           {c.mismatches, 15 * n},
		"puts that were never served":       {c.refusedPuts, n},
		"reads":                             {c.reads, 40 * n},
		"watches":                           {c.watches, 25 * n},
		"resumed watches":                   {c.resumed, 2 * n},
		"calls not served":                  {c.notServed, 50 * n},
		"calls without an answer":           {c.silent + c.ended, 50 * n},
		"calls executed late":               {c.late, 10 * n},
	} {
		if played.count < played.least {
			t.Errorf("%d schedules exercised too few %s: %d", n, what, played.count)
		}
	}
}

// Two runs with the same seed are identical.
func TestACoordinationRunRepeats(t *testing.T) {
	for seed := range uint64(6) {
		one, other := playCoordination(t, seed), playCoordination(t, seed)
		assert.Equal(t, one, other)
	}
}
