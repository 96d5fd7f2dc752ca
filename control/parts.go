package control

import (
	"slices"
	"strconv"
	"time"

	"ivybank/control/coordination"
	"ivybank/control/replica"
	"ivybank/control/store"
	"ivybank/settings"
	"ivybank/wire"
)

const (
	// coordinationParts is into how many parts locks, numbers and keys are divided; it may not change in a running fleet.
	coordinationParts = 4
	// historyFactor times the span for which a watch may be taken up again is kept: by the same record a put that comes
	// again is recognised, and a frozen machine may send one much later.
	historyFactor   = 6
	shortestHistory = 2 * time.Minute
)

// part is one part of the coordination state, and this node's replica of it.
type part struct {
	number  int // from 0
	replica *replica.Replica
	machine *coordination.Machine
	members []wire.Member // of the newest entry that links follow

	queue      []*partCall // not in any entry
	proposed   []*partCall // of the entry that is under way; nil for none
	proposedAt replica.Position
	watches    []*partCall      // that wait for a put, in a leader
	watchedAt  replica.Position // entry of which they have been told
	watchAgain time.Duration
}

// PartStart is what a part starts from: what the disk held, and the machine that stands there.
type PartStart struct {
	Disk    replica.PersistentState
	Machine *coordination.Machine
}

// partMachines makes the empty state of each part; none where applications ask for no coordination.
func partMachines(s *settings.Settings) []*coordination.Machine {
	if !s.Coordinates() {
		return nil
	}
	history := max(shortestHistory, time.Duration(historyFactor*s.Bounds.HistoryS*float64(time.Second)))
	machines := make([]*coordination.Machine, coordinationParts)
	for i := range machines {
		machines[i] = coordination.NewMachine(history)
	}
	return machines
}

// replicated gives machines as replicas and disks know them.
func replicated(machines []*coordination.Machine) []replica.Machine {
	all := make([]replica.Machine, len(machines))
	for i, m := range machines {
		all[i] = m
	}
	return all
}

// partStarts puts together what the disk held of each part and the machine that it has led there.
func partStarts(disks []replica.PersistentState, machines []*coordination.Machine) []PartStart {
	starts := make([]PartStart, len(machines))
	for i := range starts {
		starts[i] = PartStart{Disk: disks[i], Machine: machines[i]}
	}
	return starts
}

// newParts makes this node's replicas of the parts.
func (n *Node) newParts(from Start) {
	n.replicas = []*replica.Replica{n.replica}
	for i, start := range from.Parts {
		group := replica.Group{Target: 2*n.settings.Tolerate.Machines + 1, MemberTimeout: memberSilence(n.settings),
			Name: "part-" + strconv.Itoa(i)}
		p := &part{number: i, machine: start.Machine}
		p.replica = replica.NewWithStateMachine(n.replica.Self(), group, start.Disk, start.Machine, from.Random, n.now())
		n.parts = append(n.parts, p)
		n.replicas = append(n.replicas, p.replica)
	}
}

// needsToJoin says whether any replica of this node has to ask for its place.
func (n *Node) needsToJoin(now time.Duration) bool {
	return slices.ContainsFunc(n.replicas, func(r *replica.Replica) bool { return r.NeedsToJoin(now) })
}

// allMembers gives the members of all groups, some perhaps twice.
func (n *Node) allMembers() []wire.Member {
	var all []wire.Member
	for _, r := range n.replicas {
		all = append(all, r.Members()...)
	}
	return all
}

// tickParts lets time pass for the parts.
func (n *Node) tickParts(now time.Duration) {
	for _, p := range n.parts {
		p.replica.Tick(now)
	}
	n.givePassedUp(now)
}

// askForPlaces asks the leaders of all groups that this node has to join.
func (n *Node) askForPlaces(now time.Duration) {
	for group, r := range n.replicas {
		if r.NeedsToJoin(now) {
			n.toAllLinks(&wire.Message{Part: uint32(group), JoinRequest: &wire.JoinRequest{Member: r.Self()}})
		}
	}
}

// flushParts carries out what the parts' replicas ask for.
func (n *Node) flushParts() {
	n.serveParts()
	n.saveParts()
	for _, p := range n.parts {
		if members := p.replica.Members(); !slices.Equal(p.members, members) {
			p.members = members
			n.syncLinks()
		}
	}
}

// saveParts starts one write of all that the parts have to write, while none is under way.
func (n *Node) saveParts() {
	if n.savingParts {
		return
	}
	b := &store.PartsBatch{}
	for _, p := range n.parts {
		if s := p.replica.TakeSave(); s != nil {
			b.Saves = append(b.Saves, store.PartSave{Part: p.number, Save: s})
		}
	}
	if len(b.Saves) == 0 {
		return
	}
	if n.wholeParts {
		b = n.wholeBatch()
	}
	n.savingParts = true
	n.env.SaveParts(b)
}

// wholeBatch makes a batch of everything that any part has to find again.
func (n *Node) wholeBatch() *store.PartsBatch {
	whole := &store.PartsBatch{Whole: true}
	for _, p := range n.parts {
		whole.Saves = append(whole.Saves, store.PartSave{Part: p.number, Save: p.replica.TakeFullSave()})
	}
	return whole
}

// PartsSaved tells that a batch is on disk, and whether the next one should be whole.
func (n *Node) PartsSaved(b *store.PartsBatch, wantsWhole bool) {
	n.savingParts, n.wholeParts = false, wantsWhole
	for _, s := range b.Saves {
		n.parts[s.Part].replica.Saved(s.Save, n.now())
	}
}

// receive hands a message of agreement to the replica of its group.
func (n *Node) receive(from wire.Member, m *wire.Message, now time.Duration) {
	if int(m.Part) >= len(n.replicas) {
		n.dropped.UnknownPart++
		return
	}
	n.replicas[m.Part].Receive(from, m, now)
}
