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

func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	for _, m := range w.machines {
		if m.core {
			w.t.Log(w.describe(m))
		}
	}
	w.t.Fatalf("seed %d at %v: %s", w.seed, w.now, fmt.Sprintf(format, args...))
}

func (w *world) describe(m *machine) string {
	if m.node == nil || m.node.node == nil {
		return fmt.Sprintf("%s down until %v, gone %v, disk %s %v", m.ip, m.downTill, m.gone, m.disk.identity.ID, m.disk.state.Entry.Position())
	}
	r := m.node.node.replica
	return fmt.Sprintf("%s %v term %d entry %v committed %v members %v frozen %v stalled %v%s", r.Self().ID, r.Role(), r.Term(), r.Newest().Position(),
		r.Committed().Position(), r.Members(), m.frozen, m.stalled, describeParts(m.node.node))
}

// checkInvariants checks what must hold at any time.
func (w *world) check() {
	leading := ""
	var owners [hostlist.ShardCount]string
	for _, m := range w.machines {
		if m.node == nil {
			continue
		}
		n, now := m.node.node, m.node.Now()
		if n.replica.Leading(now) {
			if leading != "" {
				w.fail("%s and %s are both leaders", leading, n.replica.Self().ID)
			}
			leading = n.replica.Self().ID
			w.noteLeader(n)
		}
		for i, s := range n.shards {
			if !s.holder.Holds(now) {
				continue
			}
			if owners[i] != "" {
				w.fail("%s and %s both own shard %d", owners[i], n.replica.Self().ID, i)
			}
			owners[i] = n.replica.Self().ID
		}
	}
	w.checkParts()
}

func (w *world) noteLeader(n *Node) {
	c := n.replica.Committed()
	if id := n.replica.Self().ID; id != w.lastLeader {
		w.lastLeader = id
		w.counts.leaderChanges++
	}
	if c.Position().Less(w.membersAt) {
		w.fail("leader %s has %v committed after %v", n.replica.Self().ID, c.Position(), w.membersAt)
	}
	w.members, w.membersAt = c.Members, c.Position()
	for _, m := range w.machines {
		if m.wiped && w.isMember(m) {
			m.wiped = false
			w.counts.repaired++
		}
	}
}

func (w *world) isMember(m *machine) bool {
	id := m.disk.identity.ID
	return id != "" && slices.ContainsFunc(w.members, func(o wire.Member) bool { return o.ID == id })
}

// toleratesLossOf reports whether one more disk may be lost, given the members of each group that were committed last,
// those of changes in progress, and those that a leader may change to with a learner that is ready.
func (w *world) bearsLossOf(lost *machine) bool {
	kept := func(id string) bool {
		return slices.ContainsFunc(w.machines, func(m *machine) bool { return m != lost && !m.gone && m.disk.identity.ID == id })
	}
	borne := replica.HasQuorum(w.members, kept)
	for _, e := range w.entriesUnderWay() {
		borne = borne && (e == nil || e.Position().Less(w.membersAt) || replica.HasQuorum(e.Members, kept))
	}
	for _, m := range w.machines {
		if m.node == nil {
			continue
		}
		for _, learner := range m.node.node.replica.Learners() {
			borne = borne && replica.HasQuorum(append(slices.Clone(w.members), learner), kept)
		}
	}
	return borne && w.partsBearLoss(kept)
}

func (w *world) entriesUnderWay() []*wire.Entry {
	var all []*wire.Entry
	for _, m := range w.machines {
		all = append(all, m.disk.state.Entry)
		if m.node != nil {
			all = append(all, m.node.node.replica.Newest())
		}
	}
	for _, a := range w.appendsUnderWay(0) {
		all = append(all, a.Entry)
	}
	return all
}

// appendsInTransit returns the Append messages that leaders of a group have sent and that have not arrived.
func (w *world) appendsUnderWay(group uint32) []*wire.Append {
	var all []*wire.Append
	for _, l := range w.links {
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

func (w *world) isolate(m *machine, span time.Duration, in, out, fromAll bool) {
	for _, other := range w.machines {
		if other == m || !other.core && !fromAll {
			continue
		}
		if out {
			w.cut[[2]string{m.ip, other.ip}] = w.now + span
		}
		if in {
			w.cut[[2]string{other.ip, m.ip}] = w.now + span
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
