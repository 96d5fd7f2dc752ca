package control

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"ivybank/control/store"
	"ivybank/wire"
)

// newSettledSimulation returns a simulation with complete groups and agents and a first configuration committed.
func newSettledSimulation(t *testing.T, seed uint64, tolerate int) *simulation {
	t.Helper()
	sim := newSimulation(t, seed, tolerate)
	sim.noFaults = true
	sim.runUntil(4 * time.Second)
	assert.Equal(t, len(sim.members), 2*tolerate+1)
	assert.Assert(t, sim.ackedRevision > 0)
	return sim
}

func (sim *simulation) runUntil(end time.Duration) {
	for sim.now < end {
		sim.runScheduled()
		sim.step()
	}
}

// ask makes a call at a machine, beside the operators, and returns its answer if there is one within operatorTimeout.
func (sim *simulation) ask(m *machine, base int64, body string) (response, bool) {
	var answer *response
	take := func(resp response) { answer = &resp }
	if body == "" {
		m.node.handler.get(nil, nil, take)
	} else {
		r := httptest.NewRequest(http.MethodPost, pathReplace, strings.NewReader(body))
		r.Header.Set(baseVersionHeader, fmt.Sprint(base))
		m.node.handler.replace(httptest.NewRecorder(), r, take)
	}
	for end := sim.now + operatorTimeout; answer == nil && sim.now < end; {
		sim.step()
	}
	if answer == nil {
		return response{}, false
	}
	return *answer, true
}

func notDecided(resp response) bool {
	return resp.status == http.StatusServiceUnavailable || resp.status == http.StatusTemporaryRedirect
}

// A control machine that is partitioned from the others for twenty seconds, while agents and operators still reach it,
// must neither confirm nor reject updates, answer no reads, own no shard, and give no agent its first configuration.
// It must have caught up within 1.2 s of the end of the partition.
func TestPartitionForTwentySeconds(t *testing.T) {
	const span = 20 * time.Second
	roles := map[string]func(*simulation) *machine{
		"leader": (*simulation).leaderMachine,
		"owner":  (*simulation).ownerMachine,
		"follower": func(sim *simulation) *machine {
			for _, m := range sim.machines {
				if m.control && m != sim.leaderMachine() && m != sim.ownerMachine() {
					return m
				}
			}
			return sim.machines[0]
		},
	}
	for role, pick := range roles {
		for direction, way := range map[string][2]bool{"both ways": {true, true}, "receives nothing": {true, false},
			"sends nothing": {false, true}} {
			for _, replaced := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %s, replaced %v", role, direction, replaced), func(t *testing.T) {
					t.Parallel()
					runLongPartition(t, pick, way, replaced, span)
				})
			}
		}
	}
}

func runLongPartition(t *testing.T, pick func(*simulation) *machine, blocked [2]bool, replaced bool,
	span time.Duration) {
	sim := newSettledSimulation(t, 11, 1)
	if replaced {
		sim.machineAt(sim.addMachine(true).ip).downUntil = sim.now
		sim.runUntil(sim.now + time.Second)
	}
	m := pick(sim)
	began := sim.now
	sim.isolate(m, span, blocked[0], blocked[1], false)
	sim.runUntil(began + 1500*time.Millisecond)

	newAgent := sim.addMachine(false) // a new agent that can reach only this machine
	sim.isolate(newAgent, span, true, true, true)
	sim.isolateFromAllBut(newAgent, m, span)
	for sim.now < began+span-time.Second {
		now := m.node.Now()
		assert.Assert(t, !m.node.node.replica.Leading(now))
		for _, s := range m.node.node.shards {
			assert.Assert(t, !s.holder.Holds(now) && s.table == nil && s.limits == nil)
		}
		known := m.node.node.state.Revision
		if resp, ok := sim.ask(m, known, configText(known+1, "late")); ok {
			assert.Assert(t, notDecided(resp), "an update was answered %d", resp.status)
		}
		if resp, ok := sim.ask(m, 0, ""); ok {
			assert.Assert(t, notDecided(resp), "a read was answered %d", resp.status)
		}
		if newAgent.agent != nil {
			assert.Equal(t, newAgent.agent.router.revision, int64(0),
				"the agent applied a configuration from a partitioned machine")
		}
		sim.runUntil(sim.now + 300*time.Millisecond)
	}
	sim.runUntil(began + span)
	acked := sim.ackedRevision
	assert.Assert(t, acked > 50, "only revision %d was acknowledged during the partition", acked)
	healed := sim.now
	for m.node.node.state.Revision < acked {
		sim.step()
		assert.Assert(t, sim.now < healed+1200*time.Millisecond, "the machine has not caught up")
	}
	for newAgent.agent.router.revision < acked {
		sim.step()
		assert.Assert(t, sim.now < healed+3*time.Second, "the agent has not received the configuration")
	}
	if replaced {
		assert.Assert(t, !sim.isMember(m) || len(sim.members) == 3)
	}
	sim.finish()
}

// isolateFromAllBut reconnects two machines.
func (sim *simulation) isolateFromAllBut(one, other *machine, _ time.Duration) {
	delete(sim.blocked, [2]string{one.ip, other.ip})
	delete(sim.blocked, [2]string{other.ip, one.ip})
}

// finish ends all faults, lets the operators finish, and checks the whole run.
func (sim *simulation) finish() {
	sim.endFaults()
	sim.runUntil(sim.now + 3*time.Second)
	for _, o := range sim.operators {
		o.noUpdates, o.onlyReads = true, false
	}
	sim.runUntil(sim.now + 5*time.Second)
	sim.checkEnd()
}

// Two different updates with the same revision reach two control processes in the same millisecond, before or after a
// change of leader, and all acknowledgements are lost. Exactly one of them must become current and stay so.
func TestConcurrentUpdatesWithOneRevision(t *testing.T) {
	for seed := range uint64(40) {
		sim := newSettledSimulation(t, seed, 1)
		for _, o := range sim.operators {
			o.noUpdates, o.onlyReads = true, false
		}
		sim.runUntil(sim.now + 2*time.Second)
		base := sim.ackedRevision
		leader := sim.leaderMachine()
		one, other := configText(base+1, "one"), configText(base+1, "other")
		if seed%2 == 0 {
			sim.isolate(leader, 2*time.Second, true, true, false)
		}
		if seed%4 < 2 {
			sim.schedule(sim.randomSpan(40*time.Millisecond), func() { sim.kill(leader, seed%8 < 4) })
		}
		sent := map[string]*machine{one: leader, other: sim.anyControlMachine()}
		status := map[string]int{}
		sim.noFaults = false
		for end := sim.now + 8*time.Second; len(status) < 2 && sim.now < end; {
			for _, body := range []string{one, other} {
				m := sent[body]
				if _, done := status[body]; done || m.node == nil {
					sent[body] = sim.anyControlMachine()
					continue
				}
				resp, ok := sim.ask(m, base, body)
				if ok && !notDecided(resp) && sim.random.IntN(3) > 0 { // otherwise the answer is lost
					status[body] = resp.status
				}
				sent[body] = sim.anyControlMachine()
			}
			sim.runUntil(sim.now + 20*time.Millisecond)
		}
		accepted := 0
		for _, s := range status {
			if s == http.StatusOK {
				accepted++
			} else {
				assert.Equal(t, s, http.StatusPreconditionFailed)
			}
		}
		assert.Equal(t, accepted, 1, "seed %d: %v", seed, status)
		assert.Equal(t, len(status), 2)
	}
}

// An update that was accepted is acknowledged whenever it is repeated, or gets no definite answer: after hundreds of
// other updates, a restart of all, a lost disk and a replaced machine.
func TestUpdateRepeatedMuchLater(t *testing.T) {
	for seed := range uint64(6) {
		sim := newSettledSimulation(t, 3*seed, 1)
		base := sim.ackedRevision
		body := sim.bodies[base]
		var first callRecord
		for _, c := range sim.operatorCalls {
			if c.kind == replaceKind && c.outcome == outcomeAccepted && c.version.revision == base {
				first = c
			}
		}
		sim.runUntil(sim.now + 25*time.Second)
		assert.Assert(t, sim.counts.acked > 200, "only %d updates were acknowledged", sim.counts.acked)
		faults := []func(){
			func() {},
			func() { sim.killAll(true) },
			func() { sim.wipeDisk(sim.leaderMachine()) },
			func() { m := sim.anyControlMachine(); sim.remove(m); sim.addReplacement(m) },
			func() { sim.killAll(false); sim.wipeDisk(sim.anyControlMachine()) },
		}
		for i, act := range faults {
			act()
			confirmed := 0
			for end := sim.now + 4*time.Second; sim.now < end; {
				m := sim.anyControlMachine()
				if m.node == nil {
					sim.step()
					continue
				}
				resp, ok := sim.ask(m, first.base, body)
				if ok && resp.status == http.StatusOK {
					confirmed++
				} else if ok {
					assert.Assert(t, notDecided(resp), "seed %d, fault %d: answered %d", seed, i, resp.status)
				}
				sim.runUntil(sim.now + 50*time.Millisecond)
			}
			assert.Assert(t, confirmed > 5, "seed %d, fault %d: confirmed only %d times", seed, i, confirmed)
			assert.Assert(t, sim.ackedRevision > base)
		}
		sim.finish()
	}
}

// A machine that missed hundreds of updates returns with its old disk while all others restart. It must not lead with
// its old state, and must have caught up within a second after a leader is elected.
func TestOutdatedDiskAtRestartOfAll(t *testing.T) {
	for seed := range uint64(8) {
		sim := newSettledSimulation(t, 3*seed, 1+int(seed%2))
		outdated := sim.leaderMachine()
		sim.kill(outdated, true)
		outdated.downUntil = time.Hour
		old := outdated.disk.state.Entry.Position()
		sim.runUntil(sim.now + 25*time.Second)
		acked := sim.ackedRevision
		assert.Assert(t, sim.counts.acked > 200)
		sim.killAll(true)
		for _, m := range sim.machines {
			m.downUntil = min(m.downUntil, sim.now+time.Second)
		}
		outdated.downUntil = sim.now // it is the first to return
		for leads := false; !leads; {
			sim.step()
			for _, m := range sim.machines {
				leads = leads || m.node != nil && m.node.node.replica.Leading(m.node.Now())
			}
		}
		leaderAt := sim.now
		for outdated.node.node.state == nil || outdated.node.node.state.Revision < acked {
			sim.step()
			assert.Assert(t, sim.now < leaderAt+time.Second, "seed %d: the machine has not caught up", seed)
		}
		assert.Assert(t, old.Less(outdated.disk.state.Entry.Position()) || outdated.node.writing != nil)
		sim.finish()
	}
}

// A leader's memory stays bounded when updates are large, arrive faster than a link can carry them, and a replica is
// unreachable.
func TestMemoryIsBoundedUnderLargeUpdates(t *testing.T) {
	const (
		size    = 4 << 20
		updates = 30
	)
	sim := newSettledSimulation(t, 2, 1)
	for _, o := range sim.operators {
		o.noUpdates = true
	}
	sim.runUntil(sim.now + 2*time.Second)
	leader := sim.leaderMachine()
	unreachable := sim.machines[0]
	for _, m := range sim.machines {
		if m.control && m != leader {
			unreachable = m
		}
	}
	sim.isolate(unreachable, time.Hour, true, true, false)
	padding := strings.Repeat(" ", size)
	maxHeap := uint64(0)
	for i := range updates {
		base := leader.node.node.state.Revision
		resp, ok := sim.ask(leader, base, configText(base+1, fmt.Sprint(i))+padding)
		assert.Assert(t, ok && resp.status == http.StatusOK, "update %d: %d", i, resp.status)
		clear(sim.bodies) // kept by the test itself
		if i%10 == 9 {
			maxHeap = max(maxHeap, heapInUse())
		}
	}
	// Three machines hold the newest and the committed entry, the decoded state and the published configuration, plus
	// what is in transit.
	assert.Assert(t, maxHeap < 20*size, "%d MB of heap after %d updates of %d MB", maxHeap>>20, updates, size>>20)
	clear(sim.blocked)
	healed := sim.now
	for unreachable.node.node.state.Revision < leader.node.node.state.Revision {
		sim.step()
		assert.Assert(t, sim.now < healed+1200*time.Millisecond, "the partitioned machine has not caught up")
	}
	resp, ok := sim.ask(leader, 0, strings.Repeat(" ", maxConfigBytes+1))
	assert.Assert(t, ok && resp.status == http.StatusRequestEntityTooLarge)
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// The largest configuration in the largest state must fit in a frame; otherwise neither it nor any later entry would
// ever be replicated.
func TestLargestConfigurationFitsInAFrame(t *testing.T) {
	state := &store.State{Revision: 1 << 60, Body: make([]byte, maxConfigBytes),
		AcceptedUpdates: make([]store.Digest, 4096)}
	value, err := state.Encode()
	assert.NilError(t, err)
	members := make([]wire.Member, 16)
	for i := range members {
		members[i] = wire.Member{ID: strings.Repeat("m", 64), IP: "255.255.255.255"}
	}
	m := &wire.Message{Append: &wire.Append{Entry: &wire.Entry{Members: members, Value: value}}}
	body, err := cbor.Marshal(m)
	assert.NilError(t, err)
	assert.Assert(t, len(body) < wire.MaxFrame, "%d bytes", len(body))
}

// Invalid updates get a 4xx from the leader and change nothing. A node that isn't the leader must not reject any.
func TestInvalidUpdatesChangeNothing(t *testing.T) {
	sim := newSettledSimulation(t, 5, 1)
	for _, o := range sim.operators {
		o.noUpdates = true
	}
	sim.runUntil(sim.now + 2*time.Second)
	leader := sim.leaderMachine()
	before := leader.node.node.state
	next := before.Revision + 1
	for name, one := range map[string]struct {
		base   int64
		body   string
		status int
	}{
		"truncated":      {before.Revision, configText(next, "x")[:150], http.StatusBadRequest},
		"empty":          {before.Revision, " ", http.StatusBadRequest},
		"same revision":  {before.Revision, configText(before.Revision, "x"), http.StatusBadRequest},
		"older revision": {before.Revision, configText(1, "x"), http.StatusBadRequest},
		"older base":     {before.Revision - 1, configText(next, "x"), http.StatusPreconditionFailed},
		"future base":    {next, configText(next+1, "x"), http.StatusPreconditionFailed},
		"unknown service": {before.Revision, strings.Replace(configText(next, "x"), `"backend":"service-0"`, `"backend":"other"`,
			1), http.StatusBadRequest},
	} {
		resp, ok := sim.ask(leader, one.base, one.body)
		assert.Assert(t, ok && resp.status == one.status, "%s: %d", name, resp.status)
		for _, m := range sim.machines {
			if m.control && m != leader {
				resp, ok := sim.ask(m, one.base, one.body)
				assert.Assert(t, ok && notDecided(resp), "%s: %d from a machine that isn't the leader", name, resp.status)
			}
		}
	}
	assert.Equal(t, leader.node.node.state.Revision, before.Revision)
	assert.Equal(t, string(leader.node.node.state.Body), string(before.Body))
}

// A process of another fleet that connects to an address of this fleet is rejected.
func TestProcessOfAnotherFleetIsRejected(t *testing.T) {
	sim := newSettledSimulation(t, 4, 1)
	node := sim.leaderMachine().node.node
	stranger := wire.Hello{Role: wire.RoleControl, Node: "10.7.0.1/founder", IP: "10.7.0.1",
		Fleet: node.replica.Fleet() + 2}
	assert.Assert(t, node.FromOtherFleet(stranger))
	assert.Equal(t, node.dropped.OtherFleet, int64(1))
	stranger.Fleet = 0 // a process with an empty disk knows of no fleet
	assert.Assert(t, !node.FromOtherFleet(stranger))
	stranger.Fleet = node.replica.Fleet()
	assert.Assert(t, !node.FromOtherFleet(stranger))
	sim.runUntil(sim.now + 5*time.Second)
	assert.Equal(t, sim.leaderMachine().node.node.replica.Fleet(), stranger.Fleet, "the fleet number must not change")
}

// Two runs with the same seed are identical.
func TestSimulationIsReproducible(t *testing.T) {
	for seed := range uint64(12) {
		one, other := runSimulation(t, seed), runSimulation(t, seed)
		assert.Equal(t, one, other)
	}
}
