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

// partGroup is what a simulation has recorded about the replica group of one coordination part.
type partGroup struct {
	members    []wire.Member // of the newest entry that a leader with a valid lease had committed
	at         replica.Position
	lastLeader string
	changes    int // number of leader changes
}

// newCoordinationSimulation creates a simulation of control processes only, with coordination enabled.
func newCoordinationWorld(t *testing.T, seed uint64, tolerate int) *world {
	w := newWorld(t, seed, tolerate, "coord")
	w.machines, w.opers = w.machines[:2*tolerate+1], nil
	w.links = slices.DeleteFunc(w.links, func(l *link) bool { return !l.owner.machine.core })
	w.groups = make([]partGroup, coordinationParts)
	w.applications = newApplications(w)
	return w
}

// partLeader returns the machine that leads a part, or a random one.
func (w *world) partLeader(number int) *machine {
	for _, m := range w.machines {
		if m.node != nil && m.node.node.parts[number].replica.Role() == replica.Leader {
			return m
		}
	}
	return w.anyCore()
}

// servesPart reports whether some process may answer for a part from memory.
func (w *world) servesPart(number int) bool {
	return slices.ContainsFunc(w.machines, func(m *machine) bool {
		return m.node != nil && m.running(w.now) && m.node.node.parts[number].replica.Leading(m.node.Now())
	})
}

// servesAllParts reports whether every part has a process that may answer from memory.
func (w *world) servesAllParts() bool {
	for number := range w.groups {
		if !w.servesPart(number) {
			return false
		}
	}
	return true
}

// checkParts checks for each part what checkInvariants checks for the configuration's group.
func (w *world) checkParts() {
	for number := range w.groups {
		leading := ""
		for _, m := range w.machines {
			if m.node == nil || !m.node.node.parts[number].replica.Leading(m.node.Now()) {
				continue
			}
			r := m.node.node.parts[number].replica
			if leading != "" {
				w.fail("%s and %s are both leaders of part %d", leading, r.Self().ID, number)
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
		w.fail("leader %s of part %d has %v committed after %v", r.Self().ID, number, committed.Position(), g.at)
	}
	g.members, g.at = committed.Members, committed.Position()
}

// partsTolerateLoss reports whether each part keeps a quorum if only the members accepted by kept keep their disks.
func (w *world) partsBearLoss(kept func(id string) bool) bool {
	for number := range w.groups {
		for _, members := range w.partMembersUnderWay(number) {
			if !replica.HasQuorum(members, kept) {
				return false
			}
		}
	}
	return true
}

// partMembersInProgress returns a part's members, and all sets of members that changes in progress may lead to.
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

// checkPartsEnd checks what must hold for the parts some time after all faults have ended: groups are complete, with
// existing machines only, and there is one state at each position.
func (w *world) checkPartsEnd() {
	for number, g := range w.groups {
		if len(g.members) != 2*w.tolerate+1 {
			w.fail("wrong number of members of part %d at the end: %s", number, describeMembers(g.members))
		}
		for _, member := range g.members {
			if m := w.machineAt(member.IP); m == nil || m.gone || m.disk.identity.ID != member.ID {
				w.fail("%s is a member of part %d at the end, but no longer exists", member.ID, number)
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
			continue // its state machine is at the previous entry
		}
		at, state := p.replica.Newest().Position(), p.machine.Snapshot()
		if other, seen := states[at]; seen && !bytes.Equal(other, state) {
			w.fail("part %d has two states at %v", number, at)
		}
		states[at] = state
	}
}

// describeParts describes the state of a node's parts.
func describeParts(n *Node) (all string) {
	for _, p := range n.parts {
		r := p.replica
		all += fmt.Sprintf("\n    part %d %v/%d entry %v committed %v members %s", p.number, r.Role(), r.Term(), r.Newest().Position(),
			r.Committed().Position(), describeMembers(r.Members()))
	}
	return all
}

// runUntilServed runs the simulation until all parts are served, and returns how long that took.
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

// sortedLocks returns the names of all locks that were requested.
func (w *world) sortedLocks() iter.Seq[string] {
	return slices.Values(slices.Sorted(maps.Keys(w.applications.rules.locks)))
}
