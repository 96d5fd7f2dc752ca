package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/wire"
)

const (
	partRestarts         = 600
	partRestartsPerWorld = 10
)

// restartAllParts cuts the power of all machines, starts them again within kind.span, and returns how long after the
// last start all parts are served.
func (w *world) restartAllParts(kind restartOfAll) restartOfAll {
	for _, m := range w.machines {
		w.kill(m, true)
	}
	last := time.Duration(0)
	for _, m := range w.machines {
		m.downTill = w.now + 600*time.Millisecond + w.randomSpan(kind.span)
		last = max(last, m.downTill)
	}
	servedAt := time.Duration(0)
	for w.now < last || servedAt == 0 {
		w.step()
		if servedAt == 0 && w.servesAllParts() {
			servedAt = w.now
		}
		if w.now > last+answeredWithin {
			w.fail("not all parts are served")
		}
	}
	kind.took = servedAt - last
	return kind
}

// After a power loss of all machines each part is served soon, whatever the latencies of links and disks.
func TestAllPartsServedSoonAfterAllRestart(t *testing.T) {
	var played []restartOfAll
	for seed := range uint64(partRestarts / partRestartsPerWorld) {
		w, kind := newRestartWorld(t, seed, "coord")
		w.groups = make([]partGroup, coordinationParts)
		w.playUntilServed(5 * time.Second)
		for range partRestartsPerWorld {
			played = append(played, w.restartAllParts(kind))
			w.playUntil(w.now + 300*time.Millisecond)
			w.playUntilServed(5 * time.Second)
		}
	}
	assertSoon(t, "all parts served", played, partRestarts)
}

// All acknowledged state survives a power loss of all machines: numbers continue, a key has its value, and a lock that
// is held is given to nobody else.
func TestAcknowledgedIsThereAfterAllRestart(t *testing.T) {
	const hold = 6 * time.Second
	number := wire.Command{Kind: wire.NextNumber, Name: "n"}
	for seed := range uint64(12) {
		w := servedWorld(t, seed, 1+int(seed%2))
		put := w.do(putCommand("first"))
		last := w.do(number).Number
		held := w.do(beginCommand("a", hold))
		w.killAll(true)
		began := w.now
		assert.Equal(t, w.do(getCommand()).Revision, put.Revision)
		next := w.do(number).Number
		assert.Assert(t, next > last)
		assert.Equal(t, w.do(beginCommand("b", hold)).Outcome, wire.HeldByOther)
		again := w.do(beginCommand("a", hold))
		assert.Assert(t, again.Outcome == wire.Done && again.Fence > held.Fence)
		assert.Assert(t, w.now-began < 3*time.Second, "seed %d: %v", seed, w.now-began)
	}
}
