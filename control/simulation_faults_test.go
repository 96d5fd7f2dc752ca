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
	worldSchedules = flag.Int("schedules", 160, "schedules that the simulation of the control side plays")
	worldSeed      = flag.Uint64("seed", 0, "seed of the first schedule")
)

const (
	worldLength = 26 * time.Second
	worldCalm   = 12 * time.Second // without faults, at the end
	quotaWindow = 8 * time.Second
)

func (w *world) randomSpan(longest time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(longest)))
}

func (w *world) anyCore() *machine {
	for {
		if m := w.machines[w.random.IntN(len(w.machines))]; m.core && !m.gone {
			return m
		}
	}
}

func (w *world) leaderMachine() *machine {
	for _, m := range w.machines {
		if m.node != nil && m.node.node.replica.Role() == replica.Leader {
			return m
		}
	}
	return w.anyCore()
}

// ownerMachine returns the machine that owns shard 0, or a random one.
func (w *world) ownerMachine() *machine {
	for _, m := range w.machines {
		if m.node != nil && m.node.node.shards[0].holder.Holds(m.node.Now()) {
			return m
		}
	}
	return w.anyCore()
}

func (w *world) someCore() *machine {
	if w.applications != nil && w.random.IntN(2) == 0 {
		return w.partLeader(w.random.IntN(coordinationParts))
	}
	switch w.random.IntN(4) {
	case 0, 1:
		return w.leaderMachine()
	case 2:
		return w.ownerMachine()
	default:
		return w.anyCore()
	}
}

// injectFault injects one random fault.
func (w *world) harm() {
	m := w.someCore()
	switch w.random.IntN(23) {
	case 0: // a long partition from the control machines or from all
		span := 3*time.Second + w.randomSpan(9*time.Second)
		w.isolate(m, span, true, true, w.random.IntN(2) == 0)
	case 1: // a one-way partition
		in := w.random.IntN(2) == 0
		w.isolate(m, time.Second+w.randomSpan(6*time.Second), in, !in, w.random.IntN(2) == 0)
	case 2:
		w.split(w.randomSpan(6 * time.Second))
	case 3: // all others are killed as a partition ends; they have seen changes that m has not
		w.isolate(m, 2*time.Second, true, true, false)
		w.later(2*time.Second, func() { w.killOthers(m) })
	case 4: // a minority misses changes, then one of the others loses its disk and the rest are down for a while
		w.behind(m)
	case 5, 6:
		w.kill(m, w.random.IntN(2) == 0)
	case 7:
		if w.bearsLossOf(m) {
			w.wipe(m)
		}
	case 8: // a second loss right after or during the repair of the first
		if w.bearsLossOf(m) {
			w.wipe(m)
			w.later(w.randomSpan(4*time.Second), func() {
				if other := w.someCore(); w.bearsLossOf(other) {
					w.wipe(other)
				}
			})
		}
	case 9:
		w.killAll(w.random.IntN(2) == 0)
	case 10: // all lose power, and one its disk
		if w.bearsLossOf(m) {
			w.killAll(true)
			w.wipe(m)
		}
	case 11, 12:
		m.stalled = w.now + w.randomSpan(4*time.Second)
	case 13, 14:
		m.frozen = w.now + w.randomSpan(4*time.Second)
	case 15:
		w.replace(m)
	case 16: // a planned stop
		w.leave(m)
	case 17: // agents are killed, partitioned or frozen, or a router restarts alone
		w.harmAgent()
	case 18:
		w.ackLoss = w.random.Float64() * 0.9
		w.later(3*time.Second, func() { w.ackLoss = 0 })
	case 19:
		w.resetConnections()
	case 20, 21: // a partition between two machines, both ways or one way
		other := w.anyCore()
		w.cut[[2]string{m.ip, other.ip}] = w.now + w.randomSpan(6*time.Second)
		if w.random.IntN(2) == 0 {
			w.cut[[2]string{other.ip, m.ip}] = w.cut[[2]string{m.ip, other.ip}]
		}
	case 22: // a link takes as long for one entry as for several to be made
		w.slow[[2]string{m.ip, w.anyCore().ip}] = w.now + w.randomSpan(6*time.Second)
	}
}

type delayed struct {
	at     time.Duration
	act    func()
	always bool // runs even after all faults have ended
}

func (w *world) leave(m *machine) {
	if m.node != nil && m.node.leaveBy == 0 {
		m.node.leaveBy = w.now + 2400*time.Millisecond
		m.node.node.StartLeaving()
	}
}

func (w *world) split(span time.Duration) {
	var core []*machine
	for _, m := range w.machines {
		if m.core && !m.gone {
			core = append(core, m)
		}
	}
	w.random.Shuffle(len(core), func(i, j int) { core[i], core[j] = core[j], core[i] })
	for i, one := range core {
		for j, other := range core {
			if (i < len(core)/2) != (j < len(core)/2) {
				w.cut[[2]string{one.ip, other.ip}] = w.now + span
			}
		}
	}
}

func (w *world) killOthers(spared *machine) {
	for _, m := range w.machines {
		if m.core && !m.gone && m != spared {
			w.kill(m, false)
		}
	}
}

func (w *world) killAll(power bool) {
	for _, m := range w.machines {
		if m.core && !m.gone || power && w.random.IntN(2) == 0 && !m.gone {
			w.kill(m, power)
		}
	}
}

func (w *world) behind(m *machine) {
	span := time.Second + w.randomSpan(3*time.Second)
	w.isolate(m, span, true, true, false)
	w.later(span, func() {
		lost := w.leaderMachine()
		if lost == m || !w.bearsLossOf(lost) {
			return
		}
		w.wipe(lost)
		for _, other := range w.machines {
			if other.core && !other.gone && other != m && other != lost {
				w.kill(other, true)
				other.downTill = w.now + 3*time.Second
			}
		}
	})
}

// replace removes a machine for good; an empty one at another address takes its place, before or after.
func (w *world) replace(m *machine) {
	if !w.bearsLossOf(m) || w.counts.replaced > 3*w.counts.schedules+6 {
		return
	}
	w.counts.replaced++
	if w.random.IntN(2) == 0 { // planned: the new one comes first
		w.arrive(m)
		w.later(time.Second+w.randomSpan(2*time.Second), func() {
			w.leave(m)
			w.later(2500*time.Millisecond, func() {
				if w.bearsLossOf(m) {
					w.remove(m)
				}
			})
		})
		return
	}
	w.remove(m)
	w.delayed = append(w.delayed, delayed{w.now + w.randomSpan(2*time.Second), func() { w.arrive(m) }, true})
}

func (w *world) remove(m *machine) {
	w.kill(m, true)
	m.gone, m.goneAt, m.wiped = true, w.now, false
}

func (w *world) arrive(old *machine) {
	m := w.addMachine(true)
	m.downTill, m.wiped = w.now, true
	w.counts.wipes++
	for i, ip := range w.seeds {
		if ip == old.ip {
			w.seeds[i] = m.ip
		}
	}
}

func (w *world) harmAgent() {
	for _, m := range w.machines {
		if m.core || w.random.IntN(2) == 0 {
			continue
		}
		switch w.random.IntN(4) {
		case 0:
			w.kill(m, true)
		case 1:
			w.isolate(m, w.randomSpan(6*time.Second), true, true, true)
		case 2:
			m.frozen = w.now + w.randomSpan(4*time.Second)
		case 3:
			if m.agent != nil {
				m.agent.router.restart()
			}
		}
	}
}

func (w *world) resetConnections() {
	for _, l := range w.links {
		if l.conn != nil && w.random.IntN(2) == 0 {
			l.conn.queue = [2][]frame{}
			l.conn.end(w.random.IntN(2))
		}
	}
}

func (w *world) later(after time.Duration, act func()) {
	w.delayed = append(w.delayed, delayed{w.now + after, act, false})
}

func (w *world) stepDelayed() {
	due := w.delayed
	w.delayed = nil
	for _, d := range due {
		if d.at > w.now {
			w.delayed = append(w.delayed, d)
		} else if !w.calm || d.always {
			d.act()
		}
	}
}

// endFaults ends all faults.
func (w *world) settle() {
	w.calm, w.ackLoss = true, 0
	clear(w.cut)
	clear(w.slow)
	w.releaseFrames()
	for _, m := range w.machines {
		m.stalled, m.frozen = 0, 0
		m.downTill = min(m.downTill, w.now+time.Second)
	}
}

// checkEnd checks what must hold some time after all faults have ended.
func (w *world) checkEnd() {
	if len(w.members) != 2*w.tolerate+1 {
		w.fail("wrong number of members at the end: %s", describeMembers(w.members))
	}
	for _, member := range w.members {
		if m := w.machineAt(member.IP); m == nil || m.gone || m.disk.identity.ID != member.ID {
			w.fail("%s is a member at the end, but no longer exists", member.ID)
		}
	}
	for _, o := range w.opers {
		if o.order != nil {
			w.fail("an operator has no definite answer at the end: %+v, %d attempts in progress", o.order, len(o.flying))
		}
	}
	leader := w.leaderMachine().node.node
	for _, m := range w.machines {
		if m.agent != nil && m.agent.router.revision != leader.state.Revision {
			w.fail("agent %s has revision %d; the current one is %d", m.ip, m.agent.router.revision, leader.state.Revision)
		}
	}
	for i := range hostlist.ShardCount {
		owned := 0
		for _, m := range w.machines {
			if m.node != nil && m.node.node.shards[i].holder.Holds(m.node.Now()) {
				owned++
			}
		}
		if owned != 1 {
			w.fail("shard %d has %d owners at the end", i, owned)
		}
	}
	w.checkGrants()
	ok, err := linearizable(w.calls)
	if err != nil || !ok {
		w.fail("the operators' %d calls are not linearizable: %v\n%s", len(w.calls), err, w.printCalls())
	}
}

// checkGrants checks the tenant's limit in every window, also across changes of its owner.
func (w *world) checkGrants() {
	bounds := w.settingsOf(w.machines[0], false).Bounds
	most := (tenantRate*quotaWindow.Seconds() + tenantBurst) * (1 + bounds.QuotaOverage)
	most += bounds.QuotaSlack
	sum, first := 0.0, 0
	for _, g := range w.grants {
		sum += g.amount
		for w.grants[first].at <= g.at-quotaWindow {
			sum -= w.grants[first].amount
			first++
		}
		if sum > most {
			w.fail("%.0f granted within %v; %.0f are allowed", sum, quotaWindow, most)
		}
	}
}

func (w *world) printCalls() string {
	text := ""
	for _, c := range w.calls {
		if c.outcome != nothing {
			text += fmt.Sprintf("%v-%v kind %d base %d order %d/%x outcome %d read %d/%x\n", c.sent, c.done, c.kind, c.base, c.order.revision,
				c.order.digest[:2], c.outcome, c.read.revision, c.read.digest[:2])
		}
	}
	return text
}

func playWorld(t *testing.T, seed uint64) worldCounts {
	w := newWorld(t, seed, 1+int(seed/3%2))
	nextHarm := 2 * time.Second
	pace := []time.Duration{400 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second}[seed/6%3]
	for w.now < worldLength {
		if w.now >= nextHarm && w.now < worldLength-worldCalm {
			w.harm()
			nextHarm = w.now + w.randomSpan(pace)
		}
		if !w.calm && w.now >= worldLength-worldCalm {
			w.settle()
		}
		if w.now >= worldLength-5*time.Second {
			for _, o := range w.opers {
				o.quiet, o.follow = true, w.now < worldLength-3*time.Second
			}
		}
		w.stepDelayed()
		w.step()
	}
	w.checkEnd()
	w.counts.schedules = 1
	return w.counts
}

// runSchedules runs schedules with seeds from firstSeed on, on all processors, and returns their results.
func playSchedules[T any](t *testing.T, schedules int, play func(t *testing.T, seed uint64) T) <-chan T {
	results := make(chan T, schedules)
	t.Run("run", func(t *testing.T) {
		parts := min(schedules, 2*runtime.GOMAXPROCS(0))
		for part := range parts {
			t.Run(fmt.Sprint(part), func(t *testing.T) {
				t.Parallel()
				for i := part; i < schedules; i += parts {
					results <- play(t, *worldSeed+uint64(i))
				}
			})
		}
	})
	close(results)
	return results
}

// TestControlUnderRandomFaults runs schedules on all processors. A failed schedule is repeated with -seed and
// -schedules 1.
func TestControlSideUnderRandomTroubles(t *testing.T) {
	schedules := *worldSchedules
	if testing.Short() {
		schedules = max(1, schedules/10)
	}
	var played worldCounts
	for c := range playSchedules(t, schedules, playWorld) {
		played.add(c)
	}
	t.Logf("ran %+v", played)
	n := played.schedules
	if n < 50 {
		return
	}
	if played.wipes < n/2 || played.repaired < n/4 || played.leaderChanges < 2*n || played.acked < 10*n || played.reads < 10*n ||
		played.refused < n || played.unknown < n/4 || played.firstConfigs < 3*n || played.grants < 20*n || played.replaced < n/8 {
		t.Errorf("the simulation exercised too little: %+v", played)
	}
}

var _ wire.Sender = (*routerStub)(nil)
