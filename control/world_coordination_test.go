package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/wire"
)

const (
	coordinationSeedTime = 2 * time.Second // before the first trouble
	coordinationTroubles = 14 * time.Second
	// answeredWithin is after how long without trouble all that is asked has its answer: well within recovery_s, 15 s.
	answeredWithin = 8 * time.Second
	// grantedWithin is after how long every lock can be had: once the longest hold is over.
	grantedWithin = longestHold + answeredWithin
	// wholeWithin is after how long without trouble each group has all its members again.
	wholeWithin = 10 * time.Second
	finalPause  = 50 * time.Millisecond
)

// startApplications adds the callers of a run, once each group has a first put.
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

// pursueUntilClear lets the world go on until an errand has a clear answer.
func (w *world) pursueUntilClear(e *errand) *errand {
	w.t.Helper()
	for began := w.now; !w.applications.pursue(e); {
		w.stepDelayed()
		if w.step(); w.now > began+answeredWithin+callSilence {
			w.fail("no answer after %v: %+v", w.now-began, e.command)
		}
	}
	if !e.clear() {
		w.fail("no clear answer: %+v", e.command)
	}
	return e
}

// askAtEnd asks for all that there is, each again until it has a clear answer, and gives how long that took. Where a lock is
// held, that is one; later on, each lock is given.
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

// watchAllFromTheBeginning has each group tell all its puts, which it remembers for longer than a run.
func (w *world) watchAllFromTheBeginning() {
	for group := range groupsOfWorld {
		for after := uint64(1); ; {
			c := wire.Command{Kind: wire.WatchGroup, Name: groupName(group), After: after}
			answer := w.pursueUntilClear(w.applications.begin(c, answeredWithin)).answer
			if answer.Outcome == wire.Compacted {
				w.fail("the history of %s doesn't reach back to the beginning", c.Name)
			}
			if len(answer.Events) == 0 {
				break
			}
			after = answer.Revision
		}
	}
}

// takeAllLocks has one caller take each lock once it is free.
func (w *world) takeAllLocks() time.Duration {
	began := w.now
	for name := range w.sortedLocks() {
		for {
			c := wire.Command{Kind: wire.BeginLock, Name: name, Holder: "last", HoldMS: shortestHold.Milliseconds()}
			if w.pursueUntilClear(w.applications.begin(c, answeredWithin)).answer.Outcome == wire.Done {
				break
			}
			if w.now > began+grantedWithin {
				w.fail("lock %s isn't given", name)
			}
			w.playUntil(w.now + finalPause)
		}
	}
	return w.now - began
}

// finishCoordination ends all trouble, and checks the whole run. It gives how long it took until all had answers.
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

// coordinationRun is what came of one schedule.
type coordinationRun struct {
	world    worldCounts
	calls    applicationCounts
	changes  int // of leaders of parts
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

// TestCoordinationUnderRandomTroubles plays schedules on all processors. One that fails is played again by -seed and
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
	t.Logf("played %+v; %d changes of leaders; all answered %v after the last trouble at worst", played.world, played.changes, played.answered)
	t.Logf("calls %v", &played.calls)
	played.assertMuch(t)
}

// coordinationShare is how many schedules of the control side take the time of one with applications.
const coordinationShare = 2

// assertMuch fails where the schedules have played too little of what they are for.
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
		"grants that came too late":         {c.overtime, n / 4},
		"numbers":                           {c.numbers, 15 * n},
		"puts":                              {c.puts, 20 * n},
		"puts that were rejected":           {c.mismatches, 15 * n},
		"puts that were refused for good":   {c.refusedPuts, n},
		"reads":                             {c.reads, 40 * n},
		"watches":                           {c.watches, 25 * n},
		"watches taken up again":            {c.resumed, 2 * n},
		"calls not served":                  {c.notServed, 50 * n},
		"calls without an answer":           {c.silent + c.ended, 50 * n},
		"calls carried out late":            {c.late, 10 * n},
	} {
		if played.count < played.least {
			t.Errorf("%d schedules played too few %s: %d", n, what, played.count)
		}
	}
}

// The same seed plays the same run.
func TestACoordinationRunRepeats(t *testing.T) {
	for seed := range uint64(6) {
		one, other := playCoordination(t, seed), playCoordination(t, seed)
		assert.Equal(t, one, other)
	}
}
