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
func settledWorld(t *testing.T, seed uint64, tolerate int) *world {
	t.Helper()
	w := newWorld(t, seed, tolerate)
	w.calm = true
	w.playUntil(4 * time.Second)
	assert.Equal(t, len(w.members), 2*tolerate+1)
	assert.Assert(t, w.ackedRevision > 0)
	return w
}

func (w *world) playUntil(end time.Duration) {
	for w.now < end {
		w.stepDelayed()
		w.step()
	}
}

// ask makes a call at a machine, beside the operators, and returns its answer if there is one within operatorTimeout.
func (w *world) ask(m *machine, base int64, body string) (response, bool) {
	var answer *response
	take := func(resp response) { answer = &resp }
	if body == "" {
		m.node.handler.get(nil, nil, take)
	} else {
		r := httptest.NewRequest(http.MethodPost, pathReplace, strings.NewReader(body))
		r.Header.Set(baseVersionHeader, fmt.Sprint(base))
		m.node.handler.replace(httptest.NewRecorder(), r, take)
	}
	for end := w.now + callPatience; answer == nil && w.now < end; {
		w.step()
	}
	if answer == nil {
		return response{}, false
	}
	return *answer, true
}

func isUnsure(resp response) bool {
	return resp.status == http.StatusServiceUnavailable || resp.status == http.StatusTemporaryRedirect
}

// A control machine that is partitioned from the others for twenty seconds, while agents and operators still reach it,
// must neither confirm nor reject updates, answer no reads, own no shard, and give no agent its first configuration.
// It must have caught up within 1.2 s of the end of the partition.
func TestCutOffForTwentySeconds(t *testing.T) {
	const span = 20 * time.Second
	roles := map[string]func(*world) *machine{
		"leader": (*world).leaderMachine,
		"owner":  (*world).ownerMachine,
		"follower": func(w *world) *machine {
			for _, m := range w.machines {
				if m.core && m != w.leaderMachine() && m != w.ownerMachine() {
					return m
				}
			}
			return w.machines[0]
		},
	}
	for role, pick := range roles {
		for direction, way := range map[string][2]bool{"both ways": {true, true}, "receives nothing": {true, false}, "sends nothing": {false, true}} {
			for _, replaced := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %s, replaced %v", role, direction, replaced), func(t *testing.T) {
					t.Parallel()
					playLongCut(t, pick, way, replaced, span)
				})
			}
		}
	}
}

func playLongCut(t *testing.T, pick func(*world) *machine, way [2]bool, replaced bool, span time.Duration) {
	w := settledWorld(t, 11, 1)
	if replaced {
		w.machineAt(w.addMachine(true).ip).downTill = w.now
		w.playUntil(w.now + time.Second)
	}
	m := pick(w)
	began := w.now
	w.isolate(m, span, way[0], way[1], false)
	w.playUntil(began + 1500*time.Millisecond)

	fresh := w.addMachine(false) // a new agent that can reach only this machine
	w.isolate(fresh, span, true, true, true)
	w.isolateFromAllBut(fresh, m, span)
	for w.now < began+span-time.Second {
		now := m.node.Now()
		assert.Assert(t, !m.node.node.replica.Leading(now))
		for _, s := range m.node.node.shards {
			assert.Assert(t, !s.holder.Holds(now) && s.table == nil && s.limits == nil)
		}
		known := m.node.node.state.Revision
		if resp, ok := w.ask(m, known, configText(known+1, "late")); ok {
			assert.Assert(t, isUnsure(resp), "an update was answered %d", resp.status)
		}
		if resp, ok := w.ask(m, 0, ""); ok {
			assert.Assert(t, isUnsure(resp), "a read was answered %d", resp.status)
		}
		if fresh.agent != nil {
			assert.Equal(t, fresh.agent.router.revision, int64(0), "the agent applied a configuration from a partitioned machine")
		}
		w.playUntil(w.now + 300*time.Millisecond)
	}
	w.playUntil(began + span)
	acked := w.ackedRevision
	assert.Assert(t, acked > 50, "only revision %d was acknowledged during the partition", acked)
	heard := w.now
	for m.node.node.state.Revision < acked {
		w.step()
		assert.Assert(t, w.now < heard+1200*time.Millisecond, "the machine has not caught up")
	}
	for fresh.agent.router.revision < acked {
		w.step()
		assert.Assert(t, w.now < heard+3*time.Second, "the agent has not received the configuration")
	}
	if replaced {
		assert.Assert(t, !w.isMember(m) || len(w.members) == 3)
	}
	w.finish()
}

// isolateFromAllBut reconnects two machines.
func (w *world) isolateFromAllBut(one, other *machine, _ time.Duration) {
	delete(w.cut, [2]string{one.ip, other.ip})
	delete(w.cut, [2]string{other.ip, one.ip})
}

// finish ends all faults, lets the operators finish, and checks the whole run.
func (w *world) finish() {
	w.settle()
	w.playUntil(w.now + 3*time.Second)
	for _, o := range w.opers {
		o.quiet, o.follow = true, false
	}
	w.playUntil(w.now + 5*time.Second)
	w.checkEnd()
}

// Two different updates with the same revision reach two control processes in the same millisecond, before or after a
// change of leader, and all acknowledgements are lost. Exactly one of them must become current and stay so.
func TestTwoOrdersUnderOneNumber(t *testing.T) {
	for seed := range uint64(40) {
		w := settledWorld(t, seed, 1)
		for _, o := range w.opers {
			o.quiet, o.follow = true, false
		}
		w.playUntil(w.now + 2*time.Second)
		base := w.ackedRevision
		leader := w.leaderMachine()
		one, other := configText(base+1, "one"), configText(base+1, "other")
		if seed%2 == 0 {
			w.isolate(leader, 2*time.Second, true, true, false)
		}
		if seed%4 < 2 {
			w.later(w.randomSpan(40*time.Millisecond), func() { w.kill(leader, seed%8 < 4) })
		}
		sent := map[string]*machine{one: leader, other: w.anyCore()}
		status := map[string]int{}
		w.calm = false
		for end := w.now + 8*time.Second; len(status) < 2 && w.now < end; {
			for _, body := range []string{one, other} {
				m := sent[body]
				if _, done := status[body]; done || m.node == nil {
					sent[body] = w.anyCore()
					continue
				}
				resp, ok := w.ask(m, base, body)
				if ok && !isUnsure(resp) && w.random.IntN(3) > 0 { // otherwise the answer is lost
					status[body] = resp.status
				}
				sent[body] = w.anyCore()
			}
			w.playUntil(w.now + 20*time.Millisecond)
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
func TestOrderSentAgainMuchLater(t *testing.T) {
	for seed := range uint64(6) {
		w := settledWorld(t, 3*seed, 1)
		base := w.ackedRevision
		body := w.bodies[base]
		var first call
		for _, c := range w.calls {
			if c.kind == replaceCall && c.outcome == accept && c.order.revision == base {
				first = c
			}
		}
		w.playUntil(w.now + 25*time.Second)
		assert.Assert(t, w.counts.acked > 200, "only %d updates were acknowledged", w.counts.acked)
		trouble := []func(){
			func() {},
			func() { w.killAll(true) },
			func() { w.wipe(w.leaderMachine()) },
			func() { m := w.anyCore(); w.remove(m); w.arrive(m) },
			func() { w.killAll(false); w.wipe(w.anyCore()) },
		}
		for i, act := range trouble {
			act()
			confirmed := 0
			for end := w.now + 4*time.Second; w.now < end; {
				m := w.anyCore()
				if m.node == nil {
					w.step()
					continue
				}
				resp, ok := w.ask(m, first.base, body)
				if ok && resp.status == http.StatusOK {
					confirmed++
				} else if ok {
					assert.Assert(t, isUnsure(resp), "seed %d, fault %d: answered %d", seed, i, resp.status)
				}
				w.playUntil(w.now + 50*time.Millisecond)
			}
			assert.Assert(t, confirmed > 5, "seed %d, fault %d: confirmed only %d times", seed, i, confirmed)
			assert.Assert(t, w.ackedRevision > base)
		}
		w.finish()
	}
}

// A machine that missed hundreds of updates returns with its old disk while all others restart. It must not lead with
// its old state, and must have caught up within a second after a leader is elected.
func TestHundredsOfChangesThenARestart(t *testing.T) {
	for seed := range uint64(8) {
		w := settledWorld(t, 3*seed, 1+int(seed%2))
		away := w.leaderMachine()
		w.kill(away, true)
		away.downTill = time.Hour
		old := away.disk.state.Entry.Position()
		w.playUntil(w.now + 25*time.Second)
		acked := w.ackedRevision
		assert.Assert(t, w.counts.acked > 200)
		w.killAll(true)
		for _, m := range w.machines {
			m.downTill = min(m.downTill, w.now+time.Second)
		}
		away.downTill = w.now // it is the first to return
		for leads := false; !leads; {
			w.step()
			for _, m := range w.machines {
				leads = leads || m.node != nil && m.node.node.replica.Leading(m.node.Now())
			}
		}
		led := w.now
		for away.node.node.state == nil || away.node.node.state.Revision < acked {
			w.step()
			assert.Assert(t, w.now < led+time.Second, "seed %d: the machine has not caught up", seed)
		}
		assert.Assert(t, old.Less(away.disk.state.Entry.Position()) || away.node.writing != nil)
		w.finish()
	}
}

// A leader's memory stays bounded when updates are large, arrive faster than a link can carry them, and a replica is
// unreachable.
func TestMemoryIsBoundedUnderLargeOrders(t *testing.T) {
	const (
		size   = 4 << 20
		orders = 30
	)
	w := settledWorld(t, 2, 1)
	for _, o := range w.opers {
		o.quiet = true
	}
	w.playUntil(w.now + 2*time.Second)
	leader := w.leaderMachine()
	away := w.machines[0]
	for _, m := range w.machines {
		if m.core && m != leader {
			away = m
		}
	}
	w.isolate(away, time.Hour, true, true, false)
	padding := strings.Repeat(" ", size)
	most := uint64(0)
	for i := range orders {
		base := leader.node.node.state.Revision
		resp, ok := w.ask(leader, base, configText(base+1, fmt.Sprint(i))+padding)
		assert.Assert(t, ok && resp.status == http.StatusOK, "update %d: %d", i, resp.status)
		clear(w.bodies) // kept by the test itself
		if i%10 == 9 {
			most = max(most, heapInUse())
		}
	}
	// Three machines hold the newest and the committed entry, the decoded state and the published configuration, plus
	// what is in transit.
	assert.Assert(t, most < 20*size, "%d MB of heap after %d updates of %d MB", most>>20, orders, size>>20)
	clear(w.cut)
	healed := w.now
	for away.node.node.state.Revision < leader.node.node.state.Revision {
		w.step()
		assert.Assert(t, w.now < healed+1200*time.Millisecond, "the partitioned machine has not caught up")
	}
	resp, ok := w.ask(leader, 0, strings.Repeat(" ", maxConfigBytes+1))
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
func TestLargestOrderFitsInAFrame(t *testing.T) {
	state := &store.State{Revision: 1 << 60, Body: make([]byte, maxConfigBytes), AcceptedUpdates: make([]store.Digest, 4096)}
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
func TestBadOrdersChangeNothing(t *testing.T) {
	w := settledWorld(t, 5, 1)
	for _, o := range w.opers {
		o.quiet = true
	}
	w.playUntil(w.now + 2*time.Second)
	leader := w.leaderMachine()
	before := leader.node.node.state
	next := before.Revision + 1
	for name, one := range map[string]struct {
		base   int64
		body   string
		status int
	}{
		"truncated":       {before.Revision, configText(next, "x")[:150], http.StatusBadRequest},
		"empty":           {before.Revision, " ", http.StatusBadRequest},
		"same revision":   {before.Revision, configText(before.Revision, "x"), http.StatusBadRequest},
		"older revision":  {before.Revision, configText(1, "x"), http.StatusBadRequest},
		"older base":      {before.Revision - 1, configText(next, "x"), http.StatusPreconditionFailed},
		"future base":     {next, configText(next+1, "x"), http.StatusPreconditionFailed},
		"unknown service": {before.Revision, strings.Replace(configText(next, "x"), `"backend":"service-0"`, `"backend":"other"`, 1), http.StatusBadRequest},
	} {
		resp, ok := w.ask(leader, one.base, one.body)
		assert.Assert(t, ok && resp.status == one.status, "%s: %d", name, resp.status)
		for _, m := range w.machines {
			if m.core && m != leader {
				resp, ok := w.ask(m, one.base, one.body)
				assert.Assert(t, ok && isUnsure(resp), "%s: %d from a machine that isn't the leader", name, resp.status)
			}
		}
	}
	assert.Equal(t, leader.node.node.state.Revision, before.Revision)
	assert.Equal(t, string(leader.node.node.state.Body), string(before.Body))
}

// A process of another fleet that connects to an address of this fleet is rejected.
func TestProcessOfAnotherFleetIsLeftOut(t *testing.T) {
	w := settledWorld(t, 4, 1)
	node := w.leaderMachine().node.node
	stranger := wire.Hello{Role: wire.RoleControl, Node: "10.7.0.1/founder", IP: "10.7.0.1", Fleet: node.replica.Fleet() + 2}
	assert.Assert(t, node.FromOtherFleet(stranger))
	assert.Equal(t, node.dropped.OtherFleet, int64(1))
	stranger.Fleet = 0 // a process with an empty disk knows of no fleet
	assert.Assert(t, !node.FromOtherFleet(stranger))
	stranger.Fleet = node.replica.Fleet()
	assert.Assert(t, !node.FromOtherFleet(stranger))
	w.playUntil(w.now + 5*time.Second)
	assert.Equal(t, w.leaderMachine().node.node.replica.Fleet(), stranger.Fleet, "the fleet number must not change")
}

// Two runs with the same seed are identical.
func TestARunRepeats(t *testing.T) {
	for seed := range uint64(12) {
		one, other := playWorld(t, seed), playWorld(t, seed)
		assert.Equal(t, one, other)
	}
}
