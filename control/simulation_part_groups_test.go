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
	members       []wire.Member // of the newest entry that a leader with a valid lease had committed
	position      replica.Position
	lastLeader    string
	leaderChanges int // number of leader changes
}

// newCoordinationSimulation creates a simulation of control processes only, with coordination enabled.
func newCoordinationSimulation(t *testing.T, seed uint64, tolerate int) *simulation {
	sim := newSimulation(t, seed, tolerate, "coord")
	sim.machines, sim.operators = sim.machines[:2*tolerate+1], nil
	sim.links = slices.DeleteFunc(sim.links, func(l *link) bool { return !l.owner.machine.control })
	sim.partGroups = make([]partGroup, coordinationParts)
	sim.applications = newApplications(sim)
	return sim
}

// partLeader returns the machine that leads a part, or a random one.
func (sim *simulation) partLeader(number int) *machine {
	for _, m := range sim.machines {
		if m.node != nil && m.node.node.parts[number].replica.Role() == replica.Leader {
			return m
		}
	}
	return sim.anyControlMachine()
}

// servesPart reports whether some process may answer for a part from memory.
func (sim *simulation) servesPart(number int) bool {
	return slices.ContainsFunc(sim.machines, func(m *machine) bool {
		return m.node != nil && m.running(sim.now) && m.node.node.parts[number].replica.Leading(m.node.Now())
	})
}

// servesAllParts reports whether every part has a process that may answer from memory.
func (sim *simulation) servesAllParts() bool {
	for number := range sim.partGroups {
		if !sim.servesPart(number) {
			return false
		}
	}
	return true
}

// checkParts checks for each part what checkInvariants checks for the configuration's group.
func (sim *simulation) checkParts() {
	for number := range sim.partGroups {
		leading := ""
		for _, m := range sim.machines {
			if m.node == nil || !m.node.node.parts[number].replica.Leading(m.node.Now()) {
				continue
			}
			r := m.node.node.parts[number].replica
			if leading != "" {
				sim.fail("%s and %s are both leaders of part %d", leading, r.Self().ID, number)
			}
			leading = r.Self().ID
			sim.recordPartLeader(number, r)
		}
	}
}

func (sim *simulation) recordPartLeader(number int, r *replica.Replica) {
	g, committed := &sim.partGroups[number], r.Committed()
	if id := r.Self().ID; id != g.lastLeader {
		g.lastLeader = id
		g.leaderChanges++
	}
	if committed.Position().Less(g.position) {
		sim.fail("leader %s of part %d has %v committed after %v", r.Self().ID, number, committed.Position(), g.position)
	}
	g.members, g.position = committed.Members, committed.Position()
}

// partsTolerateLoss reports whether each part keeps a quorum if only the members accepted by kept keep their disks.
func (sim *simulation) partsTolerateLoss(kept func(id string) bool) bool {
	for number := range sim.partGroups {
		for _, members := range sim.partMembersInProgress(number) {
			if !replica.HasQuorum(members, kept) {
				return false
			}
		}
	}
	return true
}

// partMembersInProgress returns a part's members, and all sets of members that changes in progress may lead to.
func (sim *simulation) partMembersInProgress(number int) [][]wire.Member {
	g := &sim.partGroups[number]
	all := [][]wire.Member{g.members}
	take := func(e *wire.Entry) {
		if e != nil && e.Members != nil && !e.Position().Less(g.position) {
			all = append(all, e.Members)
		}
	}
	for _, m := range sim.machines {
		if m.disk.parts != nil {
			kept := m.disk.parts[number]
			if n := len(kept.entries); n > 0 && kept.members != nil && !kept.entries[n-1].Position().Less(g.position) {
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
	for _, a := range sim.appendsInTransit(uint32(number + 1)) {
		take(a.Entry)
		for _, step := range a.Steps {
			take(step)
		}
	}
	return all
}

// checkPartsEnd checks what must hold for the parts some time after all faults have ended: groups are complete, with
// existing machines only, and there is one state at each position.
func (sim *simulation) checkPartsEnd() {
	for number, g := range sim.partGroups {
		if len(g.members) != 2*sim.tolerate+1 {
			sim.fail("wrong number of members of part %d at the end: %s", number, describeMembers(g.members))
		}
		for _, member := range g.members {
			if m := sim.machineAt(member.IP); m == nil || m.removed || m.disk.identity.ID != member.ID {
				sim.fail("%s is a member of part %d at the end, but no longer exists", member.ID, number)
			}
		}
		sim.checkStatesEqual(number)
	}
}

func (sim *simulation) checkStatesEqual(number int) {
	states := map[replica.Position][]byte{}
	for _, m := range sim.machines {
		if m.node == nil {
			continue
		}
		p := m.node.node.parts[number]
		if p.replica.Role() == replica.Leader && p.replica.HasUncommitted() {
			continue // its state machine is at the previous entry
		}
		at, state := p.replica.Newest().Position(), p.machine.Snapshot()
		if other, seen := states[at]; seen && !bytes.Equal(other, state) {
			sim.fail("part %d has two states at %v", number, at)
		}
		states[at] = state
	}
}

// describeParts describes the state of a node's parts.
func describeParts(n *Node) (all string) {
	for _, p := range n.parts {
		r := p.replica
		all += fmt.Sprintf("\n    part %d %v/%d entry %v committed %v members %s", p.number, r.Role(), r.Term(),
			r.Newest().Position(), r.Committed().Position(), describeMembers(r.Members()))
	}
	return all
}

// runUntilServed runs the simulation until all parts are served, and returns how long that took.
func (sim *simulation) runUntilServed(longest time.Duration) time.Duration {
	sim.t.Helper()
	began := sim.now
	for !sim.servesAllParts() {
		sim.runScheduled()
		if sim.step(); sim.now > began+longest {
			sim.fail("not all parts are served after %v", longest)
		}
	}
	return sim.now - began
}

// sortedLocks returns the names of all locks that were requested.
func (sim *simulation) sortedLocks() iter.Seq[string] {
	return slices.Values(slices.Sorted(maps.Keys(sim.applications.rules.locks)))
}
