package control

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"ivybank/control/hostlist"
	"ivybank/control/replica"
	"ivybank/wire"
)

func (sim *simulation) fail(format string, args ...any) {
	sim.t.Helper()
	for _, m := range sim.machines {
		if m.control {
			sim.t.Log(sim.describe(m))
		}
	}
	sim.t.Fatalf("seed %d at %v: %s", sim.seed, sim.now, fmt.Sprintf(format, args...))
}

func (sim *simulation) describe(m *machine) string {
	if m.node == nil || m.node.node == nil {
		return fmt.Sprintf("%s down until %v, gone %v, disk %s %v", m.ip, m.downUntil, m.removed, m.disk.identity.ID,
			m.disk.state.Entry.Position())
	}
	r := m.node.node.replica
	return fmt.Sprintf("%s %v term %d entry %v committed %v members %v frozen %v stalled %v%s", r.Self().ID, r.Role(),
		r.Term(), r.Newest().Position(),
		r.Committed().Position(), r.Members(), m.frozenUntil, m.diskStalledUntil, describeParts(m.node.node))
}

// checkInvariants checks what must hold at any time.
func (sim *simulation) checkInvariants() {
	leading := ""
	var owners [hostlist.ShardCount]string
	for _, m := range sim.machines {
		if m.node == nil {
			continue
		}
		n, now := m.node.node, m.node.Now()
		if n.replica.Leading(now) {
			if leading != "" {
				sim.fail("%s and %s are both leaders", leading, n.replica.Self().ID)
			}
			leading = n.replica.Self().ID
			sim.recordLeader(n)
		}
		for i, s := range n.shards {
			if !s.holder.Holds(now) {
				continue
			}
			if owners[i] != "" {
				sim.fail("%s and %s both own shard %d", owners[i], n.replica.Self().ID, i)
			}
			owners[i] = n.replica.Self().ID
		}
	}
	sim.checkParts()
}

func (sim *simulation) recordLeader(n *Node) {
	c := n.replica.Committed()
	if id := n.replica.Self().ID; id != sim.lastLeader {
		sim.lastLeader = id
		sim.counts.leaderChanges++
	}
	if c.Position().Less(sim.membersPosition) {
		sim.fail("leader %s has %v committed after %v", n.replica.Self().ID, c.Position(), sim.membersPosition)
	}
	sim.members, sim.membersPosition = c.Members, c.Position()
	for _, m := range sim.machines {
		if m.awaitingMembership && sim.isMember(m) {
			m.awaitingMembership = false
			sim.counts.rejoined++
		}
	}
}

func (sim *simulation) isMember(m *machine) bool {
	id := m.disk.identity.ID
	return id != "" && slices.ContainsFunc(sim.members, func(o wire.Member) bool { return o.ID == id })
}

// toleratesLossOf reports whether one more disk may be lost, given the members of each group that were committed last,
// those of changes in progress, and those that a leader may change to with a learner that is ready.
func (sim *simulation) toleratesLossOf(lost *machine) bool {
	kept := func(id string) bool {
		return slices.ContainsFunc(sim.machines, func(m *machine) bool {
			return m != lost && !m.removed && m.disk.identity.ID == id
		})
	}
	tolerated := replica.HasQuorum(sim.members, kept)
	for _, e := range sim.entriesInProgress() {
		tolerated = tolerated && (e == nil || e.Position().Less(sim.membersPosition) || replica.HasQuorum(e.Members, kept))
	}
	for _, m := range sim.machines {
		if m.node == nil {
			continue
		}
		for _, learner := range m.node.node.replica.Learners() {
			tolerated = tolerated && replica.HasQuorum(append(slices.Clone(sim.members), learner), kept)
		}
	}
	return tolerated && sim.partsTolerateLoss(kept)
}

func (sim *simulation) entriesInProgress() []*wire.Entry {
	var all []*wire.Entry
	for _, m := range sim.machines {
		all = append(all, m.disk.state.Entry)
		if m.node != nil {
			all = append(all, m.node.node.replica.Newest())
		}
	}
	for _, a := range sim.appendsInTransit(0) {
		all = append(all, a.Entry)
	}
	return all
}

// appendsInTransit returns the Append messages that leaders of a group have sent and that have not arrived.
func (sim *simulation) appendsInTransit(group uint32) []*wire.Append {
	var all []*wire.Append
	for _, l := range sim.links {
		if l.conn == nil {
			continue
		}
		for _, f := range l.conn.queue[1] {
			if f.message.Append != nil && f.message.Part == group {
				all = append(all, f.message.Append)
			}
		}
	}
	return all
}

func (sim *simulation) isolate(m *machine, span time.Duration, in, out, fromAgents bool) {
	for _, other := range sim.machines {
		if other == m || !other.control && !fromAgents {
			continue
		}
		if out {
			sim.blocked[[2]string{m.ip, other.ip}] = sim.now + span
		}
		if in {
			sim.blocked[[2]string{other.ip, m.ip}] = sim.now + span
		}
	}
}

func describeMembers(members []wire.Member) string {
	var ids []string
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	return strings.Join(ids, " ")
}
