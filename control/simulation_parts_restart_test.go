package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/wire"
)

const (
	partRestarts              = 600
	partRestartsPerSimulation = 10
)

// restartAllParts cuts the power of all machines, starts them again within kind.span, and returns how long after the
// last start all parts are served.
func (sim *simulation) restartAllParts(kind restartOfAll) restartOfAll {
	for _, m := range sim.machines {
		sim.kill(m, true)
	}
	last := time.Duration(0)
	for _, m := range sim.machines {
		m.downUntil = sim.now + 600*time.Millisecond + sim.randomSpan(kind.span)
		last = max(last, m.downUntil)
	}
	servedAt := time.Duration(0)
	for sim.now < last || servedAt == 0 {
		sim.step()
		if servedAt == 0 && sim.servesAllParts() {
			servedAt = sim.now
		}
		if sim.now > last+answeredWithin {
			sim.fail("not all parts are served")
		}
	}
	kind.duration = servedAt - last
	return kind
}

// After a power loss of all machines each part is served soon, whatever the latencies of links and disks.
func TestAllPartsServedSoonAfterAllRestart(t *testing.T) {
	var restarts []restartOfAll
	for seed := range uint64(partRestarts / partRestartsPerSimulation) {
		sim, kind := newRestartSimulation(t, seed, "coord")
		sim.partGroups = make([]partGroup, coordinationParts)
		sim.runUntilServed(5 * time.Second)
		for range partRestartsPerSimulation {
			restarts = append(restarts, sim.restartAllParts(kind))
			sim.runUntil(sim.now + 300*time.Millisecond)
			sim.runUntilServed(5 * time.Second)
		}
	}
	assertSoon(t, "all parts served", restarts, partRestarts)
}

// All acknowledged state survives a power loss of all machines: numbers continue, a key has its value, and a lock that
// is held is given to nobody else.
func TestAcknowledgedStateSurvivesRestartOfAll(t *testing.T) {
	const hold = 6 * time.Second
	number := wire.Command{Kind: wire.NextNumber, Name: "n"}
	for seed := range uint64(12) {
		sim := newServedSimulation(t, seed, 1+int(seed%2))
		put := sim.do(putCommand("first"))
		last := sim.do(number).Number
		held := sim.do(beginCommand("a", hold))
		sim.killAll(true)
		began := sim.now
		assert.Equal(t, sim.do(getCommand()).Revision, put.Revision)
		next := sim.do(number).Number
		assert.Assert(t, next > last)
		assert.Equal(t, sim.do(beginCommand("b", hold)).Outcome, wire.HeldByOther)
		again := sim.do(beginCommand("a", hold))
		assert.Assert(t, again.Outcome == wire.Done && again.Fence > held.Fence)
		assert.Assert(t, sim.now-began < 3*time.Second, "seed %d: %v", seed, sim.now-began)
	}
}
