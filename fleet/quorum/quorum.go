// Package quorum has a few members agree on one history of commands, by Raft (Ongaro, Ousterhout, 2014) as go.etcd.io/raft/v3 carries it.
// It is free of I/O and of clocks: it is handed ticks and messages, and hands out what to write down, to send and to apply.
//
// This file owns who votes, when one stands for election, and how a member comes in that has nothing written down: as a newcomer under a
// number of its own, as what it may have promised under the old one is forgotten. It must never vote where it may have voted before and has
// forgotten, nor hand on what was not written down.
package quorum

import (
	"encoding/binary"
	"errors"
	"io"
	"log"
	"maps"
	"math"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"ivybank/internal/rng"
)

const (
	electAfter = 10 // ticks without a leader's word after which one stands for election, and by chance up to as many more
	beatEvery  = 3  // ticks between a leader's
	mostBytes  = 2 << 10
	mostAhead  = 8 // messages to a member that are not answered
)

// ErrNoLeader is told where nothing can be proposed here.
var ErrNoLeader = errors.New("this member does not lead")

// Config is what a member is told.
type Config struct {
	Index, Members int
	Voters         int    // the first so many places vote from the start; the others follow
	Incarnation    uint64 // another at each start of this member
	Seed           uint64
}

// PersistentState is what a member has written down.
type PersistentState struct {
	ID        uint64 // number under which it takes part; 0: nothing is written down
	HardState raftpb.HardState
	Entries   []raftpb.Entry
}

// Entry is a command that was agreed on.
type Entry struct {
	Index, Term uint64
	Data        []byte
}

// Batch is what is to be done now: write down, then send and apply, then call Written.
type Batch struct {
	ID        uint64 // 0: as it is. With another all that was agreed on is handed over again, from the start
	HardState raftpb.HardState
	Entries   []raftpb.Entry
	Messages  []Message
	Committed []Entry
}

// Message is a message for a member.
type Message struct {
	To   int
	Body []byte
}

// kinds of message
const (
	byRaft  = 'R'
	byHello = 'H' // one that begins tells what it has seen of the others
	byJoin  = 'J' // one that has nothing written down wants to come in

	seenSize  = 64 // places that may vote
	placeBits = 16 // of a member's number; the life of its first start is above them
	joinEvery = 3  // ticks between tries to come in
	joinsMost = 8  // newcomers at once
)

// Node is one member's.
type Node struct {
	t       Config
	id      uint64        // 0: it has none yet
	raw     *raft.RawNode // nil until it has
	store   *raft.MemoryStorage
	conf    raftpb.ConfState
	dice    rng.Source
	lost    bool   // others had begun without it, or have its place under another number
	seen    uint64 // voters that were heard to have nothing written down as well, as bits
	all     uint64 // of them, who has seen all
	vowed   bool   // the number is to be written down
	wait    int    // ticks until it stands for election
	ticks   int
	joins   map[int]uint64 // newcomers by place; emptied as they are in
	out     []Message      // beside Raft's
	pending raft.Ready
	ready   bool // pending is one
	busy    bool
}

// New begins with what was written down.
func New(t Config, k PersistentState) (*Node, error) {
	n := &Node{t: t, dice: rng.Source{Seed: t.Seed ^ uint64(t.Index+1)<<40}, joins: map[int]uint64{}}
	n.rest()
	switch {
	case k.ID != 0:
		return n, n.open(k)
	case t.Index >= t.Voters:
		return n, n.newcomer()
	}
	return n, nil
}

// open begins to take part under a number.
func (n *Node) open(k PersistentState) error {
	n.store, n.conf = raft.NewMemoryStorage(), raftpb.ConfState{}
	for i := range n.t.Voters {
		n.conf.Voters = append(n.conf.Voters, uint64(i+1))
	}
	if err := n.store.ApplySnapshot(raftpb.Snapshot{Metadata: raftpb.SnapshotMetadata{Index: 1, Term: 1, ConfState: n.conf}}); err != nil {
		return err
	}
	if !raft.IsEmptyHardState(k.HardState) {
		if err := n.store.SetHardState(k.HardState); err != nil {
			return err
		}
	}
	if err := n.store.Append(k.Entries); err != nil {
		return err
	}
	raw, err := raft.NewRawNode(&raft.Config{ID: k.ID, ElectionTick: electAfter, HeartbeatTick: beatEvery, Storage: n.store, Applied: 1,
		MaxSizePerMsg: mostBytes, MaxInflightMsgs: mostAhead, MaxUncommittedEntriesSize: math.MaxInt32, CheckQuorum: true, PreVote: true,
		DisableProposalForwarding: true, Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}})
	if err == nil {
		n.id, n.raw = k.ID, raw
	}
	return err
}

// newcomer takes a number that nobody has had.
func (n *Node) newcomer() error {
	n.vowed = true
	return n.open(PersistentState{ID: uint64(n.t.Index+1) | n.t.Incarnation<<placeBits})
}

// place is that of a number.
func place(id uint64) int { return int(id&(1<<placeBits-1)) - 1 }

// rest draws how long to wait for a leader.
func (n *Node) rest() { n.wait = electAfter + int(n.dice.Next()*electAfter) }

// votes says whether this member's number is among those that vote.
func (n *Node) votes() bool {
	return n.raw != nil && (slices.Contains(n.conf.Voters, n.id) || slices.Contains(n.conf.VotersOutgoing, n.id))
}

// in says whether its number takes part at all.
func (n *Node) in() bool { return n.votes() || slices.Contains(n.conf.Learners, n.id) }

// LostState says whether this member has lost what it had written down, and came in as another.
func (n *Node) LostState() bool { return n.lost }

// IsLeader says whether this member leads, and in which term.
func (n *Node) IsLeader() (bool, uint64) {
	if n.raw == nil {
		return false, 0
	}
	s := n.raw.BasicStatus()
	return s.RaftState == raft.StateLeader, s.Term
}

// Leader is the place of the one that leads as far as is known here; -1: nobody.
func (n *Node) Leader() int {
	if n.raw == nil {
		return -1
	}
	return place(n.raw.BasicStatus().Lead)
}

// Tick lets time pass. Chance comes from this member's own seed alone.
func (n *Node) Tick() {
	n.ticks++
	if n.raw == nil {
		n.hello()
		return
	}
	if leads, _ := n.IsLeader(); leads {
		n.raw.Tick()
		n.admit()
		return
	}
	n.raw.TickQuiesced()
	if !n.in() && n.ticks%joinEvery == 0 {
		b := binary.BigEndian.AppendUint64([]byte{byJoin}, n.id)
		for i := range n.t.Members {
			if i != n.t.Index && n.isVoter(i) {
				n.out = append(n.out, Message{i, b})
			}
		}
	}
	if n.wait--; n.wait <= 0 {
		n.rest()
		if n.votes() {
			_ = n.raw.Campaign()
		}
	}
}

// isVoter says whether a place's member votes, as far as is known here.
func (n *Node) isVoter(i int) bool {
	return slices.ContainsFunc(n.conf.Voters, func(id uint64) bool { return place(id) == i })
}

// admit has newcomers come in, in the place of what was there under another number, and vote where the first of their place did, once they
// hold what the others do.
func (n *Node) admit() {
	s := n.raw.Status()
	var changes []raftpb.ConfChangeSingle
	for _, who := range slices.Sorted(maps.Keys(n.joins)) {
		id := n.joins[who]
		if _, had := s.Progress[id]; had {
			delete(n.joins, who)
			continue
		}
		if len(changes) >= joinsMost {
			break
		}
		for _, old := range slices.Sorted(maps.Keys(s.Progress)) {
			if place(old) == who && old != n.id {
				changes = append(changes, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode, NodeID: old})
			}
		}
		changes = append(changes, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddLearnerNode, NodeID: id})
	}
	for _, id := range slices.Sorted(maps.Keys(s.Progress)) {
		if p := s.Progress[id]; p.IsLearner && place(id) < n.t.Voters && p.Match >= s.Commit && len(changes) == 0 {
			changes = append(changes, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddNode, NodeID: id})
		}
	}
	if len(changes) > 0 && len(s.Config.Voters[1]) == 0 {
		_ = n.raw.ProposeConfChange(raftpb.ConfChangeV2{Changes: changes}) // refused while another is on its way
	}
}

// hello tells the other voters what this one has seen.
func (n *Node) hello() {
	n.see(n.t.Index, n.seen)
	for i := range n.t.Voters {
		if i != n.t.Index {
			n.out = append(n.out, Message{i, n.greeting()})
		}
	}
}

func (n *Node) greeting() []byte {
	b := []byte{byHello, 0}
	if n.raw != nil {
		b[1] = 1
	}
	return binary.BigEndian.AppendUint64(b, n.seen)
}

func (n *Node) everybody() uint64 { return 1<<n.t.Voters - 1 }

// see notes that a voter has nothing written down, and whom it has seen.
func (n *Node) see(who int, seen uint64) {
	n.seen |= 1 << who
	if seen == n.everybody() {
		n.all |= 1 << who
	}
	if n.seen == n.everybody() {
		n.all |= 1 << n.t.Index
	}
	if n.all == n.everybody() {
		n.begin()
	}
}

// begin ends the first gathering: all voters were there at once with nothing written down, so that none has ever voted.
func (n *Node) begin() {
	if n.raw == nil && n.open(PersistentState{ID: uint64(n.t.Index + 1)}) == nil {
		n.vowed = true
		n.rest()
	}
}

// Step takes a message of another; one that is not of the form is dropped.
func (n *Node) Step(from int, b []byte) {
	if len(b) < 2 || from < 0 || from >= n.t.Members || from == n.t.Index {
		return
	}
	switch b[0] {
	case byHello:
		n.greeted(from, b[1:])
	case byJoin:
		if leads, _ := n.IsLeader(); leads && len(b) == 9 {
			if id := binary.BigEndian.Uint64(b[1:]); place(id) == from {
				n.joins[from] = id
			}
		}
	case byRaft:
		n.step(from, b[1:])
	}
}

func (n *Node) step(from int, b []byte) {
	var m raftpb.Message
	if n.raw == nil || m.Unmarshal(b) != nil || place(m.From) != from || m.To != n.id || raft.IsLocalMsg(m.Type) {
		return
	}
	switch m.Type {
	case raftpb.MsgProp, raftpb.MsgTransferLeader, raftpb.MsgReadIndex:
		return // never of another
	case raftpb.MsgHeartbeat:
		if last, err := n.store.LastIndex(); err != nil || m.Commit > last && !n.busy {
			n.outdated()
			return
		}
		n.rest()
	case raftpb.MsgApp, raftpb.MsgSnap:
		n.rest()
	}
	_ = n.raw.Step(m)
}

// outdated: a leader knows that more was written down here than is: the folder was put back from an older copy. What was promised since is
// forgotten, so that this member comes in as another.
func (n *Node) outdated() {
	n.lost = true
	_ = n.newcomer()
}

func (n *Node) greeted(from int, b []byte) {
	if from >= n.t.Voters || len(b) != 9 {
		return
	}
	seen := binary.BigEndian.Uint64(b[1:])
	switch begun := b[0] == 1; {
	case n.raw != nil && !begun:
		n.out = append(n.out, Message{from, n.greeting()})
	case n.raw != nil:
	case begun && n.seen == n.everybody():
		n.begin() // it was there as well
	case begun:
		n.lost = true
		_ = n.newcomer()
	default:
		n.see(from, seen)
	}
}

// Propose puts a command to be agreed on, where this member leads.
func (n *Node) Propose(data []byte) error {
	if leads, _ := n.IsLeader(); !leads {
		return ErrNoLeader
	}
	return n.raw.Propose(data)
}

// TransferLeadership gives the lead to another voter, as before this member ends.
func (n *Node) TransferLeadership(to int) {
	if n.raw == nil {
		return
	}
	for _, id := range n.conf.Voters {
		if place(id) == to {
			n.raw.TransferLeader(id)
		}
	}
}

// Ready gives what is to be done; false where there is nothing, or where what was given is not written yet.
func (n *Node) Ready() (b Batch, ok bool) {
	has := n.raw != nil && n.raw.HasReady()
	if n.busy || !has && !n.vowed && len(n.out) == 0 {
		return b, false
	}
	if n.vowed {
		b.ID, n.vowed = n.id, false
	}
	b.Messages, n.out = n.out, nil
	if n.ready = has; has {
		n.pending = n.raw.Ready()
		b.HardState, b.Entries = n.pending.HardState, n.pending.Entries
		for _, m := range n.pending.Messages {
			if body, err := m.Marshal(); err == nil {
				b.Messages = append(b.Messages, Message{place(m.To), append([]byte{byRaft}, body...)})
			}
		}
		for _, e := range n.pending.CommittedEntries {
			n.agreed(&b, e)
		}
	}
	n.busy = true
	return b, true
}

// agreed takes an entry that was agreed on: a command is for who asked, who takes part is for here.
func (n *Node) agreed(b *Batch, e raftpb.Entry) {
	var v1 raftpb.ConfChange
	var v2 raftpb.ConfChangeV2
	switch {
	case e.Type == raftpb.EntryConfChangeV2 && v2.Unmarshal(e.Data) == nil:
		n.conf = *n.raw.ApplyConfChange(v2)
	case e.Type == raftpb.EntryConfChange && v1.Unmarshal(e.Data) == nil:
		n.conf = *n.raw.ApplyConfChange(v1)
	case e.Type == raftpb.EntryNormal && len(e.Data) > 0:
		b.Committed = append(b.Committed, Entry{e.Index, e.Term, e.Data})
	}
}

// Advance tells that what the latest batch had to be written down is, and that the rest of it was done.
func (n *Node) Advance() {
	n.busy = false
	if !n.ready {
		return
	}
	n.ready = false
	if !raft.IsEmptyHardState(n.pending.HardState) {
		_ = n.store.SetHardState(n.pending.HardState)
	}
	_ = n.store.Append(n.pending.Entries)
	n.raw.Advance(n.pending)
}

// Apply adds a batch to what was kept, as one that reads it again finds it. With another number all before is void.
func (k *PersistentState) Apply(b *Batch) {
	if b.ID != 0 {
		*k = PersistentState{ID: b.ID}
	}
	if !raft.IsEmptyHardState(b.HardState) {
		k.HardState = b.HardState
	}
	for _, e := range b.Entries { // a later entry of a place takes that of an earlier term, and all behind it
		i := slices.IndexFunc(k.Entries, func(x raftpb.Entry) bool { return x.Index >= e.Index })
		if i >= 0 {
			k.Entries = k.Entries[:i]
		}
		k.Entries = append(k.Entries, e)
	}
}

// Joining says whether this member is not in yet: it waits for others, at rest too.
func (n *Node) Joining() bool { return n.raw == nil || !n.in() }

// IsIdleMessage says whether a message keeps nobody awake: greetings, and what a leader and its followers tell each other while nothing is to be
// agreed on.
func IsIdleMessage(b []byte) bool {
	if len(b) == 0 || b[0] == byHello {
		return true
	}
	var m raftpb.Message
	if b[0] != byRaft || m.Unmarshal(b[1:]) != nil {
		return false
	}
	switch m.Type {
	case raftpb.MsgHeartbeat, raftpb.MsgHeartbeatResp, raftpb.MsgAppResp:
		return true
	case raftpb.MsgApp:
		return len(m.Entries) == 0
	}
	return false
}
