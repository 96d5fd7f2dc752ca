package control

import (
	"time"

	"github.com/anishathalye/porcupine"

	"ivybank/control/coordination"
	"ivybank/wire"
)

// groupRules are the rules for one group of keys, and what they have recorded.
type groupRules struct {
	world   *world
	name    string
	puts    map[string]*putSent // by value
	shown   map[uint64]putShown // by revision
	covered map[uint64]bool     // revisions within the range of some watch
	acked   map[string]uint64   // by key, the newest revision that was answered to a put
	newest  uint64              // the newest revision that was answered to any put
	named   []namedRevision
	history []porcupine.Operation // reads, watches and rejections
}

// putSent is a put that a caller has sent.
type putSent struct {
	key        string
	ifRevision *uint64
	sent       time.Duration // its first attempt
	before     uint64        // the newest revision of the group that had been answered then
	revision   uint64        // its revision, once an answer has shown it
	shownAt    time.Duration // when the first answer showed it
	ackedAt    time.Duration // of the first acknowledgement; 0 for none
	refused    string        // why it must never become visible; "" if it may
}

// putShown is a put that an answer has shown.
type putShown struct{ key, value string }

// namedRevision is a key's current revision according to a rejection.
type namedRevision struct {
	key      string
	revision uint64
}

func newGroupRules(w *world, name string) *groupRules {
	return &groupRules{world: w, name: name, puts: map[string]*putSent{}, shown: map[uint64]putShown{}, covered: map[uint64]bool{},
		acked: map[string]uint64{}}
}

func (g *groupRules) sendingPut(c *wire.Command, now time.Duration) {
	if g.puts[c.Value] == nil {
		g.puts[c.Value] = &putSent{key: c.Name, ifRevision: c.IfRevision, sent: now, before: g.newest}
	}
}

// refuse records that a value must never become visible.
func (g *groupRules) refuse(value, cause string) {
	p := g.puts[value]
	if p.revision != 0 {
		g.world.fail("REFUSED: %s of %s was %s, and has revision %d", value, p.key, cause, p.revision)
	}
	p.refused = cause
}

// show records that an answer shows a key's value at a revision. If a watch has passed that revision, it must have
// returned it.
func (g *groupRules) show(key, value string, revision uint64, byWatch bool) {
	w, p := g.world, g.puts[value]
	switch other, had := g.shown[revision]; {
	case p == nil || p.key != key:
		w.fail("MIXED: %s has value %s, which nobody put there", key, value)
	case had && other != (putShown{key, value}):
		w.fail("ORDER: revision %d is both %s=%s and %v", revision, key, value, other)
	case p.revision != 0 && p.revision != revision:
		w.fail("MIXED: %s=%s has revisions %d and %d", key, value, p.revision, revision)
	case p.refused != "":
		w.fail("REFUSED: %s=%s was %s, and is visible at revision %d", key, value, p.refused, revision)
	case revision <= p.before:
		w.fail("ORDER: %s=%s got revision %d; %d had been answered before it was sent", key, value, revision, p.before)
	case !had && g.covered[revision] && !byWatch:
		w.fail("ORDER: a watch skipped revision %d: %s=%s", revision, key, value)
	}
	if p.revision == 0 {
		p.revision, p.shownAt = revision, w.now
	}
	g.shown[revision] = putShown{key, value}
}

func (g *groupRules) answeredPut(e *errand) {
	c, a := &e.command, &e.answer
	switch a.Outcome {
	case wire.Done:
		g.show(c.Name, c.Value, a.Revision, false)
		g.acked[c.Name] = max(g.acked[c.Name], a.Revision)
		g.newest = max(g.newest, a.Revision)
		if p := g.puts[c.Value]; p.ackedAt == 0 {
			p.ackedAt = e.answered
		}
	case wire.Mismatched:
		g.refuse(c.Value, "rejected")
		if c.IfRevision == nil || *c.IfRevision == a.Revision {
			g.world.fail("MIXED: %s", describeAnswer(e))
		}
		g.named = append(g.named, namedRevision{c.Name, a.Revision})
		g.history = append(g.history, operation(keyRead{key: c.Name, revision: a.Revision}, e.sent, e.answered))
	default:
		g.world.fail("a put was answered with outcome %d", a.Outcome)
	}
}

func (g *groupRules) wasRead(e *errand, before uint64) {
	c, a := &e.command, &e.answer
	if a.Revision < before {
		g.world.fail("STALE: %s after revision %d was answered", describeAnswer(e), before)
	}
	switch a.Outcome {
	case wire.Done:
		g.show(c.Name, a.Value, a.Revision, false)
	case wire.NotFound:
	default:
		g.world.fail("a read was answered %d", a.Outcome)
	}
	g.history = append(g.history, operation(keyRead{key: c.Name, revision: a.Revision}, e.sent, e.answered))
}

// watched checks the answer to a watch: it must contain all puts of its range, in order.
func (g *groupRules) watched(e *errand, before uint64) {
	w, a, after := g.world, &e.answer, e.command.After
	if a.Outcome == wire.Compacted {
		return // watcher.took checks whether that is allowed, as it knows when it got the revision
	}
	if a.Outcome != wire.Done || a.Revision < after {
		w.fail("LOST: %s", describeAnswer(e))
	}
	if complete := len(a.Events) < coordination.MaxEvents; complete && a.Revision < before {
		w.fail("STALE: %s after revision %d was answered", describeAnswer(e), before)
	}
	told := map[uint64]bool{}
	last := after
	for _, event := range a.Events {
		if event.Revision <= last || event.Revision > a.Revision || coordination.GroupOf(event.Key) != g.name {
			w.fail("ORDER: %s", describeAnswer(e))
		}
		last = event.Revision
		told[last] = true
		g.show(event.Key, event.Value, event.Revision, true)
	}
	if after == 0 {
		g.history = append(g.history, operation(groupRead{a.Revision}, e.sent, e.answered))
		return
	}
	for revision := after + 1; revision <= a.Revision; revision++ {
		if _, known := g.shown[revision]; known && !told[revision] {
			w.fail("ORDER: a watch skipped revision %d: %s", revision, describeAnswer(e))
		}
		g.covered[revision] = true
	}
	if len(a.Events) < coordination.MaxEvents {
		g.history = append(g.history, operation(groupRead{a.Revision}, e.sent, e.answered))
	}
}

// checkEnd checks what only the complete history of the group shows: each revision named by a rejection belongs to a
// put, and each conditional put follows the revision of its condition.
func (g *groupRules) checkEnd() {
	for _, n := range g.named {
		if n.revision != 0 && g.shown[n.revision].key != n.key {
			g.world.fail("MIXED: a rejection named revision %d for %s, which is %v", n.revision, n.key, g.shown[n.revision])
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
			g.world.fail("ORDER: %s=%s has revision %d after %d; its condition was %d", shown.key, shown.value, revision, newest[shown.key], *p.ifRevision)
		}
		newest[shown.key] = revision
	}
}
