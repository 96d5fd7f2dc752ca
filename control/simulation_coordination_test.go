package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/wire"
)

const (
	coordinationWarmUp    = 2 * time.Second // before the first fault
	coordinationFaultTime = 14 * time.Second
	// answeredWithin is how long after the last fault all calls have their answers: well within recovery_s, 15 s.
	answeredWithin = 8 * time.Second
	// grantedWithin is how long after the last fault every lock can be acquired: once the longest hold is over.
	grantedWithin = longestHold + answeredWithin
	// wholeWithin is how long after the last fault each group has all its members again.
	wholeWithin = 10 * time.Second
	finalPause  = 50 * time.Millisecond
)

// startApplications puts one key into each group, then adds the callers of a run.
func (sim *simulation) startApplications() {
	a := sim.applications
	for group := range groupCount {
		command := wire.Command{Kind: wire.ReplaceKey, Name: keyName(group, 0), Value: "first-" + groupName(group)}
		sim.runUntilDone(a.newTask(command, answeredWithin))
	}
	a.addHolders(6)
	a.addNumberCallers(2)
	a.addReaders(2)
	a.addPutters(4)
	a.addWatchers(1)
}

// runUntilDone runs the simulation until a task has a definite answer.
func (sim *simulation) runUntilDone(t *task) *task {
	sim.t.Helper()
	for began := sim.now; !sim.applications.advance(t); {
		sim.runScheduled()
		if sim.step(); sim.now > began+answeredWithin+callTimeout {
			sim.fail("no answer after %v: %+v", sim.now-began, t.command)
		}
	}
	if !t.hasAnswer() {
		sim.fail("no definite answer: %+v", t.command)
	}
	return t
}

// askAtEnd reads every key, draws every kind of number and requests every lock, and returns how long it took until all
// calls had a definite answer. For a lock, HeldByOther is such an answer; takeAllLocks acquires them later.
func (sim *simulation) askAtEnd() time.Duration {
	a, began := sim.applications, sim.now
	a.stopping = true
	var errands []*task
	ask := func(command wire.Command) { errands = append(errands, a.newTask(command, answeredWithin)) }
	for group := range groupCount {
		for key := range keysPerGroup {
			ask(wire.Command{Kind: wire.GetKey, Name: keyName(group, key)})
		}
	}
	for i := range numberCount {
		ask(wire.Command{Kind: wire.NextNumber, Name: numberName(i)})
	}
	for name := range sim.sortedLocks() {
		ask(wire.Command{Kind: wire.BeginLock, Name: name, Holder: "last", HoldMS: shortestHold.Milliseconds()})
	}
	for _, t := range errands {
		a.advance(t) // all at once
	}
	for _, t := range errands {
		sim.runUntilDone(t)
	}
	sim.watchAllFromTheBeginning()
	return sim.now - began
}

// watchAllFromTheBeginning checks that each group returns all its puts, which it keeps for longer than a run.
func (sim *simulation) watchAllFromTheBeginning() {
	for group := range groupCount {
		for after := uint64(1); ; {
			c := wire.Command{Kind: wire.WatchGroup, Name: groupName(group), After: after}
			answer := sim.runUntilDone(sim.applications.newTask(c, answeredWithin)).answer
			if answer.Outcome == wire.Compacted {
				sim.fail("the history of %s has been compacted", c.Name)
			}
			if len(answer.Events) == 0 {
				break
			}
			after = answer.Revision
		}
	}
}

// takeAllLocks acquires each lock once it is free, with the same holder.
func (sim *simulation) takeAllLocks() time.Duration {
	began := sim.now
	for name := range sim.sortedLocks() {
		for {
			c := wire.Command{Kind: wire.BeginLock, Name: name, Holder: "last", HoldMS: shortestHold.Milliseconds()}
			if sim.runUntilDone(sim.applications.newTask(c, answeredWithin)).answer.Outcome == wire.Done {
				break
			}
			if sim.now > began+grantedWithin {
				sim.fail("lock %s can't be acquired", name)
			}
			sim.runUntil(sim.now + finalPause)
		}
	}
	return sim.now - began
}

// finishCoordination ends all faults and checks the whole run. It returns how long it took until all calls were
// answered.
func (sim *simulation) finishCoordination() time.Duration {
	sim.endFaults()
	ended := sim.now
	took := sim.askAtEnd()
	sim.takeAllLocks()
	sim.runUntil(max(sim.now, ended+wholeWithin))
	sim.watchAllFromTheBeginning()
	sim.checkPartsEnd()
	sim.applications.rules.checkHistories()
	return took
}

// coordinationRun is the result of one schedule.
type coordinationRun struct {
	simulation    simulationCounts
	calls         applicationCounts
	leaderChanges int // leader changes of parts
	answered      time.Duration
}

func runCoordination(t *testing.T, seed uint64) coordinationRun {
	sim := newCoordinationSimulation(t, seed, 1+int(seed/3%2))
	sim.runUntilServed(5 * time.Second)
	sim.startApplications()
	sim.runUntil(sim.now + coordinationWarmUp)
	faultInterval := []time.Duration{400 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second}[seed/6%3]
	nextFault := sim.now
	for end := sim.now + coordinationFaultTime; sim.now < end; {
		if sim.now >= nextFault {
			sim.injectCoordinationFault()
			nextFault = sim.now + sim.randomSpan(faultInterval)
		}
		sim.runScheduled()
		sim.step()
	}
	run := coordinationRun{answered: sim.finishCoordination(), calls: sim.applications.counts}
	sim.counts.schedules = 1
	run.simulation = sim.counts
	for _, g := range sim.partGroups {
		run.leaderChanges += g.leaderChanges
	}
	return run
}

// TestCoordinationUnderRandomFaults runs schedules on all processors. A failed schedule is repeated with -seed and
// -schedules 1.
func TestCoordinationUnderRandomFaults(t *testing.T) {
	schedules := max(1, *scheduleCount/coordinationShare)
	if testing.Short() {
		schedules = max(1, schedules/10)
	}
	var played coordinationRun
	for r := range runSchedules(t, schedules, runCoordination) {
		played.simulation.add(r.simulation)
		played.calls.add(r.calls)
		played.leaderChanges += r.leaderChanges
		played.answered = max(played.answered, r.answered)
	}
	t.Logf("ran %+v; %d leader changes; all calls answered within %v of the last fault", played.simulation,
		played.leaderChanges, played.answered)
	t.Logf("calls %v", &played.calls)
	played.assertCoverage(t)
}

// coordinationShare is how many schedules without applications take as long as one with applications.
const coordinationShare = 2

// assertCoverage fails if the schedules have exercised too little of what they are meant to test.
func (r *coordinationRun) assertCoverage(t *testing.T) {
	n, w, c := r.simulation.schedules, &r.simulation, &r.calls
	if n < 20 {
		return
	}
	for what, exercised := range map[string]struct{ count, least int }{
		"disks lost":                        {w.wipedDisks, 2 * n},
		"disks replaced":                    {w.rejoined, n},
		"two disks lost at once":            {c.doubleWipes, n / 8},
		"restarts":                          {w.restarts, 10 * n},
		"changes of leaders":                {r.leaderChanges, 5 * n},
		"power lost after acknowledgements": {c.killedAfterAck, n / 4},
		"locks granted":                     {c.grants, 10 * n},
		"locks held by others":              {c.refusedLocks, 30 * n},
		"renewals":                          {c.renewals, 4 * n},
		"renewals that were refused":        {c.lostLocks, n / 2},
		"locks begun again by their holder": {c.begunAgain, n},
		"grants that arrived too late":      {c.lateGrants, n / 4},
		"numbers":                           {c.numbers, 15 * n},
		"puts":                              {c.puts, 20 * n},
		"puts that were rejected":           {c.mismatches, 15 * n},
		"puts that were never served":       {c.refusedPuts, n},
		"reads":                             {c.reads, 40 * n},
		"watches":                           {c.watches, 25 * n},
		"resumed watches":                   {c.resumed, 2 * n},
		"calls not served":                  {c.notServed, 50 * n},
		"calls without an answer":           {c.timedOut + c.disconnected, 50 * n},
		"calls executed late":               {c.lateCalls, 10 * n},
	} {
		if exercised.count < exercised.least {
			t.Errorf("%d schedules exercised too few %s: %d", n, what, exercised.count)
		}
	}
}

// Two runs with the same seed are identical.
func TestCoordinationSimulationIsReproducible(t *testing.T) {
	for seed := range uint64(6) {
		one, other := runCoordination(t, seed), runCoordination(t, seed)
		assert.Equal(t, one, other)
	}
}
