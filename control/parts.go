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
	// coordinationParts is the number of parts over which locks, numbers and keys are distributed. It must not change
	// in a running fleet.
	coordinationParts = 4
	// historyFactor times history_s is how long the history of puts is kept. The history serves to resume watches and
	// also to recognise a repeated put, which a frozen machine may send much later.
	historyFactor = 6
	minHistory    = 2 * time.Minute
)

// part is one partition of the coordination state, with this node's replica of it.
type part struct {
	number  int // starting at 0
	replica *replica.Replica
	machine *coordination.StateMachine
	members []wire.Member // the members to which the links were adjusted last

	queue            []*partCall // not yet in a log entry
	proposed         []*partCall // of the entry in flight; nil if there is none
	proposedAt       replica.Position
	watches          []*partCall      // watches that wait for a put; only at a leader
	watchesCheckedAt replica.Position // the committed entry at the last check of the watches
	nextWatchCheck   time.Duration
}

// PartStart is what a part starts from: its stored state, and the state machine replayed to it.
type PartStart struct {
	Persistent replica.PersistentState
	Machine    *coordination.StateMachine
}

// newPartMachines creates the empty state machine of each part, or none if the fleet runs without coordination.
func newPartMachines(s *settings.Settings) []*coordination.StateMachine {
	if !s.CoordinationEnabled() {
		return nil
	}
	history := max(minHistory, time.Duration(historyFactor*s.Bounds.HistoryS*float64(time.Second)))
	machines := make([]*coordination.StateMachine, coordinationParts)
	for i := range machines {
		machines[i] = coordination.NewStateMachine(history)
	}
	return machines
}

// asStateMachines converts machines to the interface of package replica.
func asStateMachines(machines []*coordination.StateMachine) []replica.StateMachine {
	all := make([]replica.StateMachine, len(machines))
	for i, m := range machines {
		all[i] = m
	}
	return all
}

// partStarts combines the stored state of each part with its state machine.
func partStarts(disks []replica.PersistentState, machines []*coordination.StateMachine) []PartStart {
	starts := make([]PartStart, len(machines))
	for i := range starts {
		starts[i] = PartStart{Persistent: disks[i], Machine: machines[i]}
	}
	return starts
}

// newParts creates this node's replicas of the parts.
func (n *Node) newParts(from StartState) {
	n.replicas = []*replica.Replica{n.replica}
	for i, start := range from.Parts {
		group := replica.GroupConfig{TargetSize: 2*n.settings.Tolerate.Machines + 1, MemberTimeout: memberTimeout(n.settings),
			Name: "part-" + strconv.Itoa(i)}
		p := &part{number: i, machine: start.Machine}
		p.replica = replica.NewWithStateMachine(n.replica.Self(), group, start.Persistent, start.Machine, from.Random,
			n.now())
		n.parts = append(n.parts, p)
		n.replicas = append(n.replicas, p.replica)
	}
}

// needsToJoin reports whether any replica of this node still has to join its group.
func (n *Node) needsToJoin(now time.Duration) bool {
	return slices.ContainsFunc(n.replicas, func(r *replica.Replica) bool { return r.NeedsToJoin(now) })
}

// allMembers returns the members of all groups, possibly with duplicates.
func (n *Node) allMembers() []wire.Member {
	var all []wire.Member
	for _, r := range n.replicas {
		all = append(all, r.Members()...)
	}
	return all
}

// tickParts runs what depends on time in the parts.
func (n *Node) tickParts(now time.Duration) {
	for _, p := range n.parts {
		p.replica.Tick(now)
	}
	n.expireForwarded(now)
}

// requestJoin asks the leaders of all groups that this node needs to join.
func (n *Node) requestJoin(now time.Duration) {
	for group, r := range n.replicas {
		if r.NeedsToJoin(now) {
			n.sendToAllLinks(&wire.Message{Part: uint32(group), JoinRequest: &wire.JoinRequest{Member: r.Self()}})
		}
	}
}

// flushParts performs what the parts' replicas have requested.
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

// saveParts writes everything that the parts have to write, unless a write is in progress.
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
	if n.nextPartsSaveFull {
		b = n.fullBatch()
	}
	n.savingParts = true
	n.env.SaveParts(b)
}

// fullBatch returns a batch with the complete stored state of every part.
func (n *Node) fullBatch() *store.PartsBatch {
	full := &store.PartsBatch{Full: true}
	for _, p := range n.parts {
		full.Saves = append(full.Saves, store.PartSave{Part: p.number, Save: p.replica.TakeFullSave()})
	}
	return full
}

// PartsSaved handles a completed write. wantsFull makes the next write a full one.
func (n *Node) PartsSaved(b *store.PartsBatch, wantsFull bool) {
	n.savingParts, n.nextPartsSaveFull = false, wantsFull
	for _, s := range b.Saves {
		n.parts[s.Part].replica.Saved(s.Save, n.now())
	}
}

// receive passes a replication message to the replica of its group.
func (n *Node) receive(from wire.Member, m *wire.Message, now time.Duration) {
	if int(m.Part) >= len(n.replicas) {
		n.dropped.UnknownPart++
		return
	}
	n.replicas[m.Part].Receive(from, m, now)
}
