package control

import (
	"time"

	"github.com/anishathalye/porcupine"

	"ivybank/control/coordination"
	"ivybank/wire"
)

// groupRules are the rules for one group of keys, and what they have recorded.
type groupRules struct {
	sim        *simulation
	name       string
	puts       map[string]*putSent // by value
	shown      map[uint64]putShown // by revision
	covered    map[uint64]bool     // revisions within the range of some watch
	acked      map[string]uint64   // by key, the newest revision that was answered to a put
	newest     uint64              // the newest revision that was answered to any put
	rejections []namedRevision
	history    []porcupine.Operation // reads, watches and rejections
}

// putSent is a put that a caller has sent.
type putSent struct {
	key            string
	ifRevision     *uint64
	sent           time.Duration // its first attempt
	newestBefore   uint64        // the newest revision of the group that had been answered then
	revision       uint64        // its revision, once an answer has shown it
	shownAt        time.Duration // when the first answer showed it
	ackedAt        time.Duration // of the first acknowledgement; 0 for none
	refusedBecause string        // why it must never become visible; "" if it may
}

// putShown is a put that an answer has shown.
type putShown struct{ key, value string }

// namedRevision is a key's current revision according to a rejection.
type namedRevision struct {
	key      string
	revision uint64
}

func newGroupRules(sim *simulation, name string) *groupRules {
	return &groupRules{sim: sim, name: name, puts: map[string]*putSent{}, shown: map[uint64]putShown{},
		covered: map[uint64]bool{}, acked: map[string]uint64{}}
}

func (g *groupRules) sendingPut(c *wire.Command, now time.Duration) {
	if g.puts[c.Value] == nil {
		g.puts[c.Value] = &putSent{key: c.Name, ifRevision: c.IfRevision, sent: now, newestBefore: g.newest}
	}
}

// refuse records that a value must never become visible.
func (g *groupRules) refuse(value, cause string) {
	p := g.puts[value]
	if p.revision != 0 {
		g.sim.fail("REFUSED: %s of %s was %s, and has revision %d", value, p.key, cause, p.revision)
	}
	p.refusedBecause = cause
}

// show records that an answer shows a key's value at a revision. If a watch has passed that revision, it must have
// returned it.
func (g *groupRules) show(key, value string, revision uint64, byWatch bool) {
	sim, p := g.sim, g.puts[value]
	switch other, had := g.shown[revision]; {
	case p == nil || p.key != key:
		sim.fail("MIXED: %s has value %s, which nobody put there", key, value)
	case had && other != (putShown{key, value}):
		sim.fail("ORDER: revision %d is both %s=%s and %v", revision, key, value, other)
	case p.revision != 0 && p.revision != revision:
		sim.fail("MIXED: %s=%s has revisions %d and %d", key, value, p.revision, revision)
	case p.refusedBecause != "":
		sim.fail("REFUSED: %s=%s was %s, and is visible at revision %d", key, value, p.refusedBecause, revision)
	case revision <= p.newestBefore:
		sim.fail("ORDER: %s=%s got revision %d; %d had been answered before it was sent", key, value, revision,
			p.newestBefore)
	case !had && g.covered[revision] && !byWatch:
		sim.fail("ORDER: a watch skipped revision %d: %s=%s", revision, key, value)
	}
	if p.revision == 0 {
		p.revision, p.shownAt = revision, sim.now
	}
	g.shown[revision] = putShown{key, value}
}

func (g *groupRules) answeredPut(t *task) {
	c, a := &t.command, &t.answer
	switch a.Outcome {
	case wire.Done:
		g.show(c.Name, c.Value, a.Revision, false)
		g.acked[c.Name] = max(g.acked[c.Name], a.Revision)
		g.newest = max(g.newest, a.Revision)
		if p := g.puts[c.Value]; p.ackedAt == 0 {
			p.ackedAt = t.answered
		}
	case wire.Mismatched:
		g.refuse(c.Value, "rejected")
		if c.IfRevision == nil || *c.IfRevision == a.Revision {
			g.sim.fail("MIXED: %s", describeAnswer(t))
		}
		g.rejections = append(g.rejections, namedRevision{c.Name, a.Revision})
		g.history = append(g.history, newOperation(keyRead{key: c.Name, revision: a.Revision}, t.sent, t.answered))
	default:
		g.sim.fail("a put was answered with outcome %d", a.Outcome)
	}
}

func (g *groupRules) wasRead(t *task, before uint64) {
	c, a := &t.command, &t.answer
	if a.Revision < before {
		g.sim.fail("STALE: %s after revision %d was answered", describeAnswer(t), before)
	}
	switch a.Outcome {
	case wire.Done:
		g.show(c.Name, a.Value, a.Revision, false)
	case wire.NotFound:
	default:
		g.sim.fail("a read was answered %d", a.Outcome)
	}
	g.history = append(g.history, newOperation(keyRead{key: c.Name, revision: a.Revision}, t.sent, t.answered))
}

// watched checks the answer to a watch: it must contain all puts of its range, in order.
func (g *groupRules) watched(t *task, before uint64) {
	sim, a, after := g.sim, &t.answer, t.command.After
	if a.Outcome == wire.Compacted {
		return // watcher.took checks whether that is allowed, as it knows when it got the revision
	}
	if a.Outcome != wire.Done || a.Revision < after {
		sim.fail("LOST: %s", describeAnswer(t))
	}
	if complete := len(a.Events) < coordination.MaxEvents; complete && a.Revision < before {
		sim.fail("STALE: %s after revision %d was answered", describeAnswer(t), before)
	}
	returned := map[uint64]bool{}
	last := after
	for _, event := range a.Events {
		if event.Revision <= last || event.Revision > a.Revision || coordination.GroupOf(event.Key) != g.name {
			sim.fail("ORDER: %s", describeAnswer(t))
		}
		last = event.Revision
		returned[last] = true
		g.show(event.Key, event.Value, event.Revision, true)
	}
	if after == 0 {
		g.history = append(g.history, newOperation(groupRead{a.Revision}, t.sent, t.answered))
		return
	}
	for revision := after + 1; revision <= a.Revision; revision++ {
		if _, known := g.shown[revision]; known && !returned[revision] {
			sim.fail("ORDER: a watch skipped revision %d: %s", revision, describeAnswer(t))
		}
		g.covered[revision] = true
	}
	if len(a.Events) < coordination.MaxEvents {
		g.history = append(g.history, newOperation(groupRead{a.Revision}, t.sent, t.answered))
	}
}

// checkEnd checks what only the complete history of the group shows: each revision named by a rejection belongs to a
// put, and each conditional put follows the revision of its condition.
func (g *groupRules) checkEnd() {
	for _, n := range g.rejections {
		if n.revision != 0 && g.shown[n.revision].key != n.key {
			g.sim.fail("MIXED: a rejection named revision %d for %s, which is %v", n.revision, n.key, g.shown[n.revision])
		}
	}
	newest := map[string]uint64{}
	highest := uint64(0)
	for revision := range g.shown {
		highest = max(highest, revision)
	}
	for revision := uint64(1); revision <= highest; revision++ {
		shown, known := g.shown[revision]
		if !known {
			continue
		}
		if p := g.puts[shown.value]; p.ifRevision != nil && *p.ifRevision != newest[shown.key] {
			g.sim.fail("ORDER: %s=%s has revision %d after %d; its condition was %d", shown.key, shown.value, revision,
				newest[shown.key], *p.ifRevision)
		}
		newest[shown.key] = revision
	}
}
