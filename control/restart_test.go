package control

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/wire"
)

// Conditions of a restart of all members: link and disk latencies of the known deployments, and the interval within
// which the machines start.
var (
	restartLinks = []linkTimes{
		{sameZone: 100 * time.Microsecond, otherZone: 500 * time.Microsecond, otherRegion: 8 * time.Millisecond},
		{sameZone: 100 * time.Microsecond, otherZone: 900 * time.Microsecond, otherRegion: 8 * time.Millisecond},
		{sameZone: 200 * time.Microsecond, otherZone: 1400 * time.Microsecond, otherRegion: 20 * time.Millisecond},
	}
	restartSyncs = []time.Duration{500 * time.Microsecond, 2 * time.Millisecond, 5 * time.Millisecond}
	restartSpans = []time.Duration{5 * time.Millisecond, 100 * time.Millisecond, 700 * time.Millisecond}
)

const (
	restartsOfAll = 2000
	// restartsPerSimulation is how many of them one simulation runs in a row.
	restartsPerSimulation = 20
	// syncsPerWrite is the number of syncs in a write of the state: the file, then its folder.
	syncsPerWrite = 2
	// writeJitter is the share of its duration by which a write may take longer.
	writeJitter = 0.5

	maxLeaderTime99 = 250 * time.Millisecond
	maxLeaderTime   = 400 * time.Millisecond
)

// linkTimes holds the one-way latencies of a frame.
type linkTimes struct{ sameZone, otherZone, otherRegion time.Duration }

// restartOfAll is one restart of all members and its result.
type restartOfAll struct {
	seed     uint64
	members  int
	sync     time.Duration
	span     time.Duration // within which the machines start
	regions  bool          // the members are in two regions
	duration time.Duration // from the last start until a leader may act; 0 or less if one could before
	roles    string        // the members' roles over time, after the last start
}

func (r restartOfAll) String() string {
	return fmt.Sprintf("%v: seed %d, %d members, sync %v, started within %v, regions %v%s", r.duration, r.seed,
		r.members, r.sync, r.span, r.regions, r.roles)
}

// newRestartSimulation creates a simulation of control processes only, whose latencies depend on the seed.
func newRestartSimulation(t *testing.T, seed uint64, guarantees ...string) (*simulation, restartOfAll) {
	kind := restartOfAll{seed: seed, members: 3 + 2*int(seed%2), sync: restartSyncs[seed/2%3],
		span: restartSpans[seed/6%3], regions: seed/18%2 == 1}
	links := restartLinks[seed%3]
	sim := newSimulation(t, seed, kind.members/2, guarantees...)
	sim.machines, sim.operators = sim.machines[:kind.members], nil
	sim.links = slices.DeleteFunc(sim.links, func(l *link) bool { return !l.owner.machine.control })
	zone := func(ip string) int {
		return slices.IndexFunc(sim.machines, func(m *machine) bool { return m.ip == ip }) % 3
	}
	sim.timing = simulationTiming{
		step: time.Millisecond,
		frame: func(from, to string) time.Duration {
			switch one, other := zone(from), zone(to); {
			case one == other:
				return links.sameZone
			case kind.regions && (one == 2 || other == 2):
				return links.otherRegion
			default:
				return links.otherZone
			}
		},
		write: func() time.Duration {
			once := syncsPerWrite * kind.sync
			return once + sim.randomSpan(time.Duration(writeJitter*float64(once))+1)
		},
		firstRedial:   50 * time.Millisecond, // as in wire.Link
		longestRedial: 300 * time.Millisecond,
	}
	return sim, kind
}

// hasLeader reports whether some process may act as the leader.
func (sim *simulation) hasLeader() bool {
	return slices.ContainsFunc(sim.machines, func(m *machine) bool {
		return m.node != nil && m.node.node.replica.Leading(m.node.Now())
	})
}

// restartAll cuts the power of all machines, starts them again within kind.span, and returns how long after the last
// start a leader may act.
func (sim *simulation) restartAll(kind restartOfAll) restartOfAll {
	for _, m := range sim.machines {
		sim.kill(m, true)
	}
	last := time.Duration(0)
	for _, m := range sim.machines {
		m.downUntil = sim.now + 600*time.Millisecond + sim.randomSpan(kind.span)
		last = max(last, m.downUntil)
	}
	ledAt := time.Duration(0)
	roles := ""
	for sim.now < last || ledAt == 0 {
		sim.step()
		if ledAt == 0 && sim.hasLeader() {
			ledAt = sim.now
		}
		if now := sim.roles(); sim.now >= last && !strings.HasSuffix(roles, now) {
			roles += fmt.Sprintf("\n  %4d ms:%s", (sim.now - last).Milliseconds(), now)
		}
	}
	kind.duration, kind.roles = ledAt-last, roles
	return kind
}

func (sim *simulation) roles() (all string) {
	for _, m := range sim.machines {
		if m.node == nil {
			all += " down"
			continue
		}
		all += fmt.Sprintf(" %v/%d", m.node.node.replica.Role(), m.node.node.replica.Term())
	}
	return all
}

// runUntilLed runs the simulation until some process may act as the leader, and 300 ms longer.
func (sim *simulation) runUntilLed(longest time.Duration) {
	sim.t.Helper()
	for end := sim.now + longest; !sim.hasLeader(); {
		if sim.step(); sim.now > end {
			sim.fail("no leader within %v", longest)
		}
	}
	for end := sim.now + 300*time.Millisecond; sim.now < end; {
		sim.step()
	}
}

func TestLeaderSoonAfterAllRestart(t *testing.T) {
	var restarts []restartOfAll
	for seed := range uint64(restartsOfAll / restartsPerSimulation) {
		sim, kind := newRestartSimulation(t, seed)
		sim.runUntilLed(5 * time.Second)
		for range restartsPerSimulation {
			restarts = append(restarts, sim.restartAll(kind))
			sim.runUntilLed(5 * time.Second)
		}
	}
	assertSoon(t, "a leader", restarts, restartsOfAll)
}

// assertSoon checks the durations of restarts against their bounds. count is the expected number of restarts.
func assertSoon(t *testing.T, what string, restarts []restartOfAll, count int) {
	t.Helper()
	slices.SortFunc(restarts, func(a, b restartOfAll) int { return int(a.duration - b.duration) })
	median, at99, worst := restarts[len(restarts)/2], restarts[len(restarts)*99/100], restarts[len(restarts)-1]
	t.Logf("%d restarts of all: %s %v after the last start (median), %v (99th percentile), %v (maximum)", len(restarts),
		what, median.duration, at99.duration, worst.duration)
	for _, r := range restarts[len(restarts)-5:] {
		t.Log(r)
	}
	assert.Equal(t, len(restarts), count)
	assert.Assert(t, at99.duration <= maxLeaderTime99, "%v", at99)
	assert.Assert(t, worst.duration <= maxLeaderTime, "%v", worst)
}

// A member that starts long before the others must grant no lease, not even to itself: its confirmation that it has
// just restarted is needed for the first leader.
func TestMemberThatStartsEarlyGrantsNothingBeforeTheOthersCome(t *testing.T) {
	sim, _ := newRestartSimulation(t, 1)
	sim.runUntilLed(5 * time.Second)
	early := sim.machines[0]
	for _, m := range sim.machines {
		sim.kill(m, true)
		m.downUntil = sim.now + 2*time.Second
	}
	early.downUntil = sim.now
	for sim.now < early.downUntil+1500*time.Millisecond {
		sim.step()
	}
	assert.Assert(t, early.node.node.replica.AwaitsLeader(early.node.Now()))
	request := &wire.LeaseRequest{Resource: early.node.node.shards[0].resource(), Holder: early.disk.identity.ID, Term: 99}
	assert.Assert(t, !early.node.node.grantLease(request, early.node.Now()).Granted)
}
