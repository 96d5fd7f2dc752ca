package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/wire"
)

// reportEventIntervals has a machine's router report for a while how fast six hosts stream, the last one slower by a
// factor.
func reportEventIntervals(sim *simulation, m *machine, slowness int64, span time.Duration) {
	for end := sim.now + span; sim.now < end; {
		report := &wire.EventIntervals{Shard: 0, Service: "service-0"}
		for i := range int64(6) {
			interval := wire.HostEventInterval{Host: fmt.Sprint("h", i), Microseconds: 28_000}
			if i == 5 {
				interval.Microseconds *= slowness
			}
			report.Hosts = append(report.Hosts, interval)
		}
		m.agent.agent.OnRouterMessage(m.agent.router, &wire.Message{EventIntervals: report})
		sim.runUntil(sim.now + 200*time.Millisecond)
	}
}

// A slow host that one router has measured is published to all routers by the shard's owner, and later withdrawn.
func TestSlowHostsReachAllRouters(t *testing.T) {
	sim := newSettledSimulation(t, 5, 1)
	var agents []*machine
	for _, m := range sim.machines {
		if m.agent != nil {
			agents = append(agents, m)
		}
	}
	assert.Assert(t, len(agents) > 1)
	reportEventIntervals(sim, agents[0], 3, 2*time.Second)
	for _, m := range agents {
		slow := m.agent.router.slow
		assert.Assert(t, slow != nil && len(slow.Hosts) == 1, "%+v", slow)
		assert.Equal(t, slow.Hosts[0].ID, "h5")
		assert.Assert(t, slow.Hosts[0].Ratio > 2.5 && slow.Hosts[0].Ratio < 3.5)
	}
	reportEventIntervals(sim, agents[0], 1, 3*time.Second)
	for _, m := range agents {
		assert.Equal(t, len(m.agent.router.slow.Hosts), 0)
	}
}

// A process that doesn't own the shard records and publishes nothing.
func TestEventIntervalsAreRecordedOnlyByTheOwner(t *testing.T) {
	sim := newSettledSimulation(t, 6, 1)
	for _, m := range sim.machines {
		if m.node == nil {
			continue
		}
		n := m.node.node
		n.onEventIntervals(&wire.EventIntervals{Shard: 99})
		n.onEventIntervals(&wire.EventIntervals{Shard: 0, Service: "service-0",
			Hosts: []wire.HostEventInterval{{Host: "h", Microseconds: 1}}})
		assert.Equal(t, n.shards[0].slowHosts.detector != nil, n.shards[0].holder.Holds(m.node.Now()))
	}
}
