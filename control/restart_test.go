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
		{zone: 100 * time.Microsecond, zones: 500 * time.Microsecond, regions: 8 * time.Millisecond},
		{zone: 100 * time.Microsecond, zones: 900 * time.Microsecond, regions: 8 * time.Millisecond},
		{zone: 200 * time.Microsecond, zones: 1400 * time.Microsecond, regions: 20 * time.Millisecond},
	}
	restartSyncs = []time.Duration{500 * time.Microsecond, 2 * time.Millisecond, 5 * time.Millisecond}
	restartSpans = []time.Duration{5 * time.Millisecond, 100 * time.Millisecond, 700 * time.Millisecond}
)

const (
	restartsOfAll = 2000
	// restartsPerSimulation is how many of them one simulation runs in a row.
	restartsPerWorld = 20
	// syncsPerWrite is the number of syncs in a write of the state: the file, then its folder.
	syncsOfWrite = 2
	// writeJitter is the share of its duration by which a write may take longer.
	writeJitter = 0.5

	leaderSoonAt99  = 250 * time.Millisecond
	leaderSoonWorst = 400 * time.Millisecond
)

// linkTimes holds the one-way latencies of a frame.
type linkTimes struct{ zone, zones, regions time.Duration }

// restartOfAll is one restart of all members and its result.
type restartOfAll struct {
	seed    uint64
	members int
	sync    time.Duration
	span    time.Duration // within which the machines start
	regions bool          // the members are in two regions
	took    time.Duration // from the last start until a leader may act; 0 or less if one could before
	roles   string        // the members' roles over time, after the last start
}

func (r restartOfAll) String() string {
	return fmt.Sprintf("%v: seed %d, %d members, sync %v, started within %v, regions %v%s", r.took, r.seed, r.members, r.sync, r.span, r.regions, r.roles)
}

// newRestartSimulation creates a simulation of control processes only, whose latencies depend on the seed.
func newRestartWorld(t *testing.T, seed uint64, guarantees ...string) (*world, restartOfAll) {
	kind := restartOfAll{seed: seed, members: 3 + 2*int(seed%2), sync: restartSyncs[seed/2%3], span: restartSpans[seed/6%3], regions: seed/18%2 == 1}
	links := restartLinks[seed%3]
	w := newWorld(t, seed, kind.members/2, guarantees...)
	w.machines, w.opers = w.machines[:kind.members], nil
	w.links = slices.DeleteFunc(w.links, func(l *link) bool { return !l.owner.machine.core })
	zone := func(ip string) int {
		return slices.IndexFunc(w.machines, func(m *machine) bool { return m.ip == ip }) % 3
	}
	w.pace = worldPace{
		step: time.Millisecond,
		frame: func(from, to string) time.Duration {
			switch one, other := zone(from), zone(to); {
			case one == other:
				return links.zone
			case kind.regions && (one == 2 || other == 2):
				return links.regions
			default:
				return links.zones
			}
		},
		write: func() time.Duration {
			once := syncsOfWrite * kind.sync
			return once + w.randomSpan(time.Duration(writeJitter*float64(once))+1)
		},
		firstRedial:   50 * time.Millisecond, // as in wire.Link
		longestRedial: 300 * time.Millisecond,
	}
	return w, kind
}

// hasLeader reports whether some process may act as the leader.
func (w *world) leads() bool {
	return slices.ContainsFunc(w.machines, func(m *machine) bool { return m.node != nil && m.node.node.replica.Leading(m.node.Now()) })
}

// restartAll cuts the power of all machines, starts them again within kind.span, and returns how long after the last
// start a leader may act.
func (w *world) restartAll(kind restartOfAll) restartOfAll {
	for _, m := range w.machines {
		w.kill(m, true)
	}
	last := time.Duration(0)
	for _, m := range w.machines {
		m.downTill = w.now + 600*time.Millisecond + w.randomSpan(kind.span)
		last = max(last, m.downTill)
	}
	ledAt := time.Duration(0)
	roles := ""
	for w.now < last || ledAt == 0 {
		w.step()
		if ledAt == 0 && w.leads() {
			ledAt = w.now
		}
		if now := w.roles(); w.now >= last && !strings.HasSuffix(roles, now) {
			roles += fmt.Sprintf("\n  %4d ms:%s", (w.now - last).Milliseconds(), now)
		}
	}
	kind.took, kind.roles = ledAt-last, roles
	return kind
}

func (w *world) roles() (all string) {
	for _, m := range w.machines {
		if m.node == nil {
			all += " down"
			continue
		}
		all += fmt.Sprintf(" %v/%d", m.node.node.replica.Role(), m.node.node.replica.Term())
	}
	return all
}

// runUntilLed runs the simulation until some process may act as the leader, and 300 ms longer.
func (w *world) playUntilLed(longest time.Duration) {
	w.t.Helper()
	for end := w.now + longest; !w.leads(); {
		if w.step(); w.now > end {
			w.fail("no leader within %v", longest)
		}
	}
	for end := w.now + 300*time.Millisecond; w.now < end; {
		w.step()
	}
}

func TestLeaderSoonAfterAllRestart(t *testing.T) {
	var played []restartOfAll
	for seed := range uint64(restartsOfAll / restartsPerWorld) {
		w, kind := newRestartWorld(t, seed)
		w.playUntilLed(5 * time.Second)
		for range restartsPerWorld {
			played = append(played, w.restartAll(kind))
			w.playUntilLed(5 * time.Second)
		}
	}
	assertSoon(t, "a leader", played, restartsOfAll)
}

// assertSoon checks the durations of restarts against their bounds. count is the expected number of restarts.
func assertSoon(t *testing.T, what string, played []restartOfAll, count int) {
	t.Helper()
	slices.SortFunc(played, func(a, b restartOfAll) int { return int(a.took - b.took) })
	middle, at99, worst := played[len(played)/2], played[len(played)*99/100], played[len(played)-1]
	t.Logf("%d restarts of all: %s %v after the last start (median), %v (99th percentile), %v (maximum)", len(played),
		what, middle.took, at99.took, worst.took)
	for _, r := range played[len(played)-5:] {
		t.Log(r)
	}
	assert.Equal(t, len(played), count)
	assert.Assert(t, at99.took <= leaderSoonAt99, "%v", at99)
	assert.Assert(t, worst.took <= leaderSoonWorst, "%v", worst)
}

// A member that starts long before the others must grant no lease, not even to itself: its confirmation that it has
// just restarted is needed for the first leader.
func TestMemberThatStartsEarlyGrantsNothingBeforeTheOthersCome(t *testing.T) {
	w, _ := newRestartWorld(t, 1)
	w.playUntilLed(5 * time.Second)
	early := w.machines[0]
	for _, m := range w.machines {
		w.kill(m, true)
		m.downTill = w.now + 2*time.Second
	}
	early.downTill = w.now
	for w.now < early.downTill+1500*time.Millisecond {
		w.step()
	}
	assert.Assert(t, early.node.node.replica.AwaitsLeader(early.node.Now()))
	request := &wire.LeaseRequest{Resource: early.node.node.shards[0].resource(), Holder: early.disk.identity.ID, Term: 99}
	assert.Assert(t, !early.node.node.grantLease(request, early.node.Now()).Granted)
}
