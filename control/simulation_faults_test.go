package control

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"ivybank/control/hostlist"
	"ivybank/control/replica"
	"ivybank/wire"
)

var (
	scheduleCount = flag.Int("schedules", 160, "number of schedules that the simulation runs")
	firstSeed     = flag.Uint64("seed", 0, "seed of the first schedule")
)

const (
	simulationLength   = 26 * time.Second
	simulationRecovery = 12 * time.Second // without faults, at the end
	quotaWindow        = 8 * time.Second
)

func (sim *simulation) randomSpan(longest time.Duration) time.Duration {
	return time.Duration(sim.random.Int64N(int64(longest)))
}

func (sim *simulation) anyControlMachine() *machine {
	for {
		if m := sim.machines[sim.random.IntN(len(sim.machines))]; m.control && !m.removed {
			return m
		}
	}
}

func (sim *simulation) leaderMachine() *machine {
	for _, m := range sim.machines {
		if m.node != nil && m.node.node.replica.Role() == replica.Leader {
			return m
		}
	}
	return sim.anyControlMachine()
}

// ownerMachine returns the machine that owns shard 0, or a random one.
func (sim *simulation) ownerMachine() *machine {
	for _, m := range sim.machines {
		if m.node != nil && m.node.node.shards[0].holder.Holds(m.node.Now()) {
			return m
		}
	}
	return sim.anyControlMachine()
}

func (sim *simulation) faultTarget() *machine {
	if sim.applications != nil && sim.random.IntN(2) == 0 {
		return sim.partLeader(sim.random.IntN(coordinationParts))
	}
	switch sim.random.IntN(4) {
	case 0, 1:
		return sim.leaderMachine()
	case 2:
		return sim.ownerMachine()
	default:
		return sim.anyControlMachine()
	}
}

// injectFault injects one random fault.
func (sim *simulation) injectFault() {
	m := sim.faultTarget()
	switch sim.random.IntN(23) {
	case 0: // a long partition from the control machines or from all
		span := 3*time.Second + sim.randomSpan(9*time.Second)
		sim.isolate(m, span, true, true, sim.random.IntN(2) == 0)
	case 1: // a one-way partition
		in := sim.random.IntN(2) == 0
		sim.isolate(m, time.Second+sim.randomSpan(6*time.Second), in, !in, sim.random.IntN(2) == 0)
	case 2:
		sim.split(sim.randomSpan(6 * time.Second))
	case 3: // all others are killed as a partition ends; they have seen changes that m has not
		sim.isolate(m, 2*time.Second, true, true, false)
		sim.schedule(2*time.Second, func() { sim.killOthers(m) })
	case 4: // a minority misses changes, then one of the others loses its disk and the rest are down for a while
		sim.leaveBehind(m)
	case 5, 6:
		sim.kill(m, sim.random.IntN(2) == 0)
	case 7:
		if sim.toleratesLossOf(m) {
			sim.wipeDisk(m)
		}
	case 8: // a second loss right after or during the repair of the first
		if sim.toleratesLossOf(m) {
			sim.wipeDisk(m)
			sim.schedule(sim.randomSpan(4*time.Second), func() {
				if other := sim.faultTarget(); sim.toleratesLossOf(other) {
					sim.wipeDisk(other)
				}
			})
		}
	case 9:
		sim.killAll(sim.random.IntN(2) == 0)
	case 10: // all lose power, and one its disk
		if sim.toleratesLossOf(m) {
			sim.killAll(true)
			sim.wipeDisk(m)
		}
	case 11, 12:
		m.diskStalledUntil = sim.now + sim.randomSpan(4*time.Second)
	case 13, 14:
		m.frozenUntil = sim.now + sim.randomSpan(4*time.Second)
	case 15:
		sim.replace(m)
	case 16: // a planned stop
		sim.stopGracefully(m)
	case 17: // agents are killed, partitioned or frozen, or a router restarts alone
		sim.injectAgentFaults()
	case 18:
		sim.ackLoss = sim.random.Float64() * 0.9
		sim.schedule(3*time.Second, func() { sim.ackLoss = 0 })
	case 19:
		sim.resetConnections()
	case 20, 21: // a partition between two machines, both ways or one way
		other := sim.anyControlMachine()
		sim.blocked[[2]string{m.ip, other.ip}] = sim.now + sim.randomSpan(6*time.Second)
		if sim.random.IntN(2) == 0 {
			sim.blocked[[2]string{other.ip, m.ip}] = sim.blocked[[2]string{m.ip, other.ip}]
		}
	case 22: // a link takes as long for one entry as for several to be made
		sim.slowLinks[[2]string{m.ip, sim.anyControlMachine().ip}] = sim.now + sim.randomSpan(6*time.Second)
	}
}

type scheduledEvent struct {
	at     time.Duration
	act    func()
	always bool // runs even after all faults have ended
}

func (sim *simulation) stopGracefully(m *machine) {
	if m.node != nil && m.node.stopBy == 0 {
		m.node.stopBy = sim.now + 2400*time.Millisecond
		m.node.node.StartLeaving()
	}
}

func (sim *simulation) split(span time.Duration) {
	var core []*machine
	for _, m := range sim.machines {
		if m.control && !m.removed {
			core = append(core, m)
		}
	}
	sim.random.Shuffle(len(core), func(i, j int) { core[i], core[j] = core[j], core[i] })
	for i, one := range core {
		for j, other := range core {
			if (i < len(core)/2) != (j < len(core)/2) {
				sim.blocked[[2]string{one.ip, other.ip}] = sim.now + span
			}
		}
	}
}

func (sim *simulation) killOthers(spared *machine) {
	for _, m := range sim.machines {
		if m.control && !m.removed && m != spared {
			sim.kill(m, false)
		}
	}
}

func (sim *simulation) killAll(powerLoss bool) {
	for _, m := range sim.machines {
		if m.control && !m.removed || powerLoss && sim.random.IntN(2) == 0 && !m.removed {
			sim.kill(m, powerLoss)
		}
	}
}

func (sim *simulation) leaveBehind(m *machine) {
	span := time.Second + sim.randomSpan(3*time.Second)
	sim.isolate(m, span, true, true, false)
	sim.schedule(span, func() {
		lost := sim.leaderMachine()
		if lost == m || !sim.toleratesLossOf(lost) {
			return
		}
		sim.wipeDisk(lost)
		for _, other := range sim.machines {
			if other.control && !other.removed && other != m && other != lost {
				sim.kill(other, true)
				other.downUntil = sim.now + 3*time.Second
			}
		}
	})
}

// replace removes a machine for good; an empty one at another address takes its place, before or after.
func (sim *simulation) replace(m *machine) {
	if !sim.toleratesLossOf(m) || sim.counts.replaced > 3*sim.counts.schedules+6 {
		return
	}
	sim.counts.replaced++
	if sim.random.IntN(2) == 0 { // planned: the new one comes first
		sim.addReplacement(m)
		sim.schedule(time.Second+sim.randomSpan(2*time.Second), func() {
			sim.stopGracefully(m)
			sim.schedule(2500*time.Millisecond, func() {
				if sim.toleratesLossOf(m) {
					sim.remove(m)
				}
			})
		})
		return
	}
	sim.remove(m)
	sim.scheduled = append(sim.scheduled, scheduledEvent{sim.now + sim.randomSpan(2*time.Second), func() {
		sim.addReplacement(m)
	}, true})
}

func (sim *simulation) remove(m *machine) {
	sim.kill(m, true)
	m.removed, m.removedAt, m.awaitingMembership = true, sim.now, false
}

func (sim *simulation) addReplacement(old *machine) {
	m := sim.addMachine(true)
	m.downUntil, m.awaitingMembership = sim.now, true
	sim.counts.wipedDisks++
	for i, ip := range sim.seeds {
		if ip == old.ip {
			sim.seeds[i] = m.ip
		}
	}
}

func (sim *simulation) injectAgentFaults() {
	for _, m := range sim.machines {
		if m.control || sim.random.IntN(2) == 0 {
			continue
		}
		switch sim.random.IntN(4) {
		case 0:
			sim.kill(m, true)
		case 1:
			sim.isolate(m, sim.randomSpan(6*time.Second), true, true, true)
		case 2:
			m.frozenUntil = sim.now + sim.randomSpan(4*time.Second)
		case 3:
			if m.agent != nil {
				m.agent.router.restart()
			}
		}
	}
}

func (sim *simulation) resetConnections() {
	for _, l := range sim.links {
		if l.conn != nil && sim.random.IntN(2) == 0 {
			l.conn.queue = [2][]frame{}
			l.conn.end(sim.random.IntN(2))
		}
	}
}

func (sim *simulation) schedule(after time.Duration, act func()) {
	sim.scheduled = append(sim.scheduled, scheduledEvent{sim.now + after, act, false})
}

func (sim *simulation) runScheduled() {
	due := sim.scheduled
	sim.scheduled = nil
	for _, d := range due {
		if d.at > sim.now {
			sim.scheduled = append(sim.scheduled, d)
		} else if !sim.noFaults || d.always {
			d.act()
		}
	}
}

// endFaults ends all faults.
func (sim *simulation) endFaults() {
	sim.noFaults, sim.ackLoss = true, 0
	clear(sim.blocked)
	clear(sim.slowLinks)
	sim.releaseFrames()
	for _, m := range sim.machines {
		m.diskStalledUntil, m.frozenUntil = 0, 0
		m.downUntil = min(m.downUntil, sim.now+time.Second)
	}
}

// checkEnd checks what must hold some time after all faults have ended.
func (sim *simulation) checkEnd() {
	if len(sim.members) != 2*sim.tolerate+1 {
		sim.fail("wrong number of members at the end: %s", describeMembers(sim.members))
	}
	for _, member := range sim.members {
		if m := sim.machineAt(member.IP); m == nil || m.removed || m.disk.identity.ID != member.ID {
			sim.fail("%s is a member at the end, but no longer exists", member.ID)
		}
	}
	for _, o := range sim.operators {
		if o.current != nil {
			sim.fail("an operator has no definite answer at the end: %+v, %d attempts in progress", o.current, len(o.inFlight))
		}
	}
	leader := sim.leaderMachine().node.node
	for _, m := range sim.machines {
		if m.agent != nil && m.agent.router.revision != leader.state.Revision {
			sim.fail("agent %s has revision %d; the current one is %d", m.ip, m.agent.router.revision, leader.state.Revision)
		}
	}
	for i := range hostlist.ShardCount {
		owned := 0
		for _, m := range sim.machines {
			if m.node != nil && m.node.node.shards[i].holder.Holds(m.node.Now()) {
				owned++
			}
		}
		if owned != 1 {
			sim.fail("shard %d has %d owners at the end", i, owned)
		}
	}
	sim.checkGrants()
	ok, err := linearizable(sim.operatorCalls)
	if err != nil || !ok {
		sim.fail("the operators' %d calls are not linearizable: %v\n%s", len(sim.operatorCalls), err, sim.printCalls())
	}
}

// checkGrants checks the tenant's limit in every window, also across changes of its owner.
func (sim *simulation) checkGrants() {
	bounds := sim.settingsOf(sim.machines[0], false).Bounds
	allowed := (tenantRate*quotaWindow.Seconds() + tenantBurst) * (1 + bounds.QuotaOverage)
	allowed += bounds.QuotaSlack
	sum, first := 0.0, 0
	for _, g := range sim.grants {
		sum += g.amount
		for sim.grants[first].at <= g.at-quotaWindow {
			sum -= sim.grants[first].amount
			first++
		}
		if sum > allowed {
			sim.fail("%.0f granted within %v; %.0f are allowed", sum, quotaWindow, allowed)
		}
	}
}

func (sim *simulation) printCalls() string {
	text := ""
	for _, c := range sim.operatorCalls {
		if c.outcome != outcomeNoEffect {
			text += fmt.Sprintf("%v-%v kind %d base %d order %d/%x outcome %d read %d/%x\n", c.sent, c.done, c.kind, c.base,
				c.version.revision, c.version.digest[:2], c.outcome, c.read.revision, c.read.digest[:2])
		}
	}
	return text
}

func runSimulation(t *testing.T, seed uint64) simulationCounts {
	sim := newSimulation(t, seed, 1+int(seed/3%2))
	nextFault := 2 * time.Second
	faultInterval := []time.Duration{400 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second}[seed/6%3]
	for sim.now < simulationLength {
		if sim.now >= nextFault && sim.now < simulationLength-simulationRecovery {
			sim.injectFault()
			nextFault = sim.now + sim.randomSpan(faultInterval)
		}
		if !sim.noFaults && sim.now >= simulationLength-simulationRecovery {
			sim.endFaults()
		}
		if sim.now >= simulationLength-5*time.Second {
			for _, o := range sim.operators {
				o.noUpdates, o.onlyReads = true, sim.now < simulationLength-3*time.Second
			}
		}
		sim.runScheduled()
		sim.step()
	}
	sim.checkEnd()
	sim.counts.schedules = 1
	return sim.counts
}

// runSchedules runs schedules with seeds from firstSeed on, on all processors, and returns their results.
func runSchedules[T any](t *testing.T, schedules int, run func(t *testing.T, seed uint64) T) <-chan T {
	results := make(chan T, schedules)
	t.Run("run", func(t *testing.T) {
		parts := min(schedules, 2*runtime.GOMAXPROCS(0))
		for part := range parts {
			t.Run(fmt.Sprint(part), func(t *testing.T) {
				t.Parallel()
				for i := part; i < schedules; i += parts {
					results <- run(t, *firstSeed+uint64(i))
				}
			})
		}
	})
	close(results)
	return results
}

// TestControlUnderRandomFaults runs schedules on all processors. A failed schedule is repeated with -seed and
// -schedules 1.
func TestControlUnderRandomFaults(t *testing.T) {
	schedules := *scheduleCount
	if testing.Short() {
		schedules = max(1, schedules/10)
	}
	var played simulationCounts
	for c := range runSchedules(t, schedules, runSimulation) {
		played.add(c)
	}
	t.Logf("ran %+v", played)
	n := played.schedules
	if n < 50 {
		return
	}
	if played.wipedDisks < n/2 || played.rejoined < n/4 || played.leaderChanges < 2*n || played.acked < 10*n ||
		played.reads < 10*n ||
		played.refused < n || played.unknown < n/4 || played.firstConfigs < 3*n || played.grants < 20*n ||
		played.replaced < n/8 {
		t.Errorf("the simulation exercised too little: %+v", played)
	}
}

var _ wire.Sender = (*routerStub)(nil)
