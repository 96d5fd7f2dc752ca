package control

import (
	"bytes"
	"fmt"
	"iter"
	"maps"
	"slices"
	"testing"
	"time"

	"ivybank/control/replica"
	"ivybank/wire"
)

// partGroup is what a world has seen of the replica group of one coordination part.
type partGroup struct {
	members    []wire.Member // of the newest entry that a leader with a lease had as committed
	at         replica.Position
	lastLeader string
	changes    int // of leader
}

// newCoordinationWorld makes a world of control processes alone, whose settings ask for coordination.
func newCoordinationWorld(t *testing.T, seed uint64, tolerate int) *world {
	w := newWorld(t, seed, tolerate, "coord")
	w.machines, w.opers = w.machines[:2*tolerate+1], nil
	w.links = slices.DeleteFunc(w.links, func(l *link) bool { return !l.owner.machine.core })
	w.groups = make([]partGroup, coordinationParts)
	w.applications = newApplications(w)
	return w
}

// partLeader is the machine that leads a part, or any.
func (w *world) partLeader(number int) *machine {
	for _, m := range w.machines {
		if m.node != nil && m.node.node.parts[number].replica.Role() == replica.Leader {
			return m
		}
	}
	return w.anyCore()
}

// servesPart says whether some process may answer for a part from memory.
func (w *world) servesPart(number int) bool {
	return slices.ContainsFunc(w.machines, func(m *machine) bool {
		return m.node != nil && m.running(w.now) && m.node.node.parts[number].replica.Leading(m.node.Now())
	})
}

// servesAllParts says whether each part has a process that may answer from memory.
func (w *world) servesAllParts() bool {
	for number := range w.groups {
		if !w.servesPart(number) {
			return false
		}
	}
	return true
}

// checkParts holds for each part what check does for the configuration.
func (w *world) checkParts() {
	for number := range w.groups {
		leading := ""
		for _, m := range w.machines {
			if m.node == nil || !m.node.node.parts[number].replica.Leading(m.node.Now()) {
				continue
			}
			r := m.node.node.parts[number].replica
			if leading != "" {
				w.fail("%s and %s lead part %d", leading, r.Self().ID, number)
			}
			leading = r.Self().ID
			w.notePartLeader(number, r)
		}
	}
}

func (w *world) notePartLeader(number int, r *replica.Replica) {
	g, committed := &w.groups[number], r.Committed()
	if id := r.Self().ID; id != g.lastLeader {
		g.lastLeader = id
		g.changes++
	}
	if committed.Position().Less(g.at) {
		w.fail("%s leads part %d with %v committed after %v", r.Self().ID, number, committed.Position(), g.at)
	}
	g.members, g.at = committed.Members, committed.Position()
}

// partsBearLoss says whether each part keeps a quorum of its members with those machines that keep their disks.
func (w *world) partsBearLoss(kept func(id string) bool) bool {
	for number := range w.groups {
		for _, members := range w.partMembersUnderWay(number) {
			if !replica.Quorum(members, kept) {
				return false
			}
		}
	}
	return true
}

// partMembersUnderWay gives the members that a part has, and those that it may come to have by what is under way.
func (w *world) partMembersUnderWay(number int) [][]wire.Member {
	g := &w.groups[number]
	all := [][]wire.Member{g.members}
	take := func(e *wire.Entry) {
		if e != nil && e.Members != nil && !e.Position().Less(g.at) {
			all = append(all, e.Members)
		}
	}
	for _, m := range w.machines {
		if m.disk.parts != nil {
			kept := m.disk.parts[number]
			if n := len(kept.entries); n > 0 && kept.members != nil && !kept.entries[n-1].Position().Less(g.at) {
				all = append(all, kept.members)
			}
		}
		if m.node == nil {
			continue
		}
		r := m.node.node.parts[number].replica
		take(r.Newest())
		for _, learner := range r.Learners() {
			all = append(all, append(slices.Clone(g.members), learner))
		}
	}
	for _, a := range w.appendsUnderWay(uint32(number + 1)) {
		take(a.Entry)
		for _, step := range a.Steps {
			take(step)
		}
	}
	return all
}

// checkPartsEnd holds what must be true of the parts once all trouble is over: whole groups of machines that are there, and
// one state at each position.
func (w *world) checkPartsEnd() {
	for number, g := range w.groups {
		if len(g.members) != 2*w.tolerate+1 {
			w.fail("members of part %d at the end: %s", number, describeMembers(g.members))
		}
		for _, member := range g.members {
			if m := w.machineAt(member.IP); m == nil || m.gone || m.disk.identity.ID != member.ID {
				w.fail("%s is a member of part %d at the end, and is no more", member.ID, number)
			}
		}
		w.checkStatesAlike(number)
	}
}

func (w *world) checkStatesAlike(number int) {
	states := map[replica.Position][]byte{}
	for _, m := range w.machines {
		if m.node == nil {
			continue
		}
		p := m.node.node.parts[number]
		if p.replica.Role() == replica.Leader && p.replica.HasUncommitted() {
			continue // its machine stands at the entry before
		}
		at, state := p.replica.Newest().Position(), p.machine.Snapshot()
		if other, seen := states[at]; seen && !bytes.Equal(other, state) {
			w.fail("part %d has two states at %v", number, at)
		}
		states[at] = state
	}
}

// describeParts tells how the parts of a node stand.
func describeParts(n *Node) (all string) {
	for _, p := range n.parts {
		r := p.replica
		all += fmt.Sprintf("\n    part %d %v/%d entry %v committed %v members %s", p.number, r.Role(), r.Term(), r.Newest().Position(),
			r.Committed().Position(), describeMembers(r.Members()))
	}
	return all
}

// playUntilServed lets the world go on until all parts are served, and gives how long that took.
func (w *world) playUntilServed(longest time.Duration) time.Duration {
	w.t.Helper()
	began := w.now
	for !w.servesAllParts() {
		w.stepDelayed()
		if w.step(); w.now > began+longest {
			w.fail("not all parts are served after %v", longest)
		}
	}
	return w.now - began
}

// sortedLocks gives the names of all locks that were asked for.
func (w *world) sortedLocks() iter.Seq[string] {
	return slices.Values(slices.Sorted(maps.Keys(w.applications.rules.locks)))
}
