// Package quorum replicates one log of commands among a few members by Raft (Ongaro, Ousterhout, 2014), as implemented
// by go.etcd.io/raft/v3. It does no I/O and reads no clock: it takes ticks and messages, and returns what to store, to
// send and to apply.
//
// This file decides who votes, when a member campaigns, and how a member without stored state joins: as a new member
// with an ID of its own, as the promises that it may have made under its old ID are lost. A member must never vote
// where it may have voted before and has lost the record, nor send or apply what is not stored.
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
	electionTicks       = 10 // ticks without a leader until a member campaigns; up to as many are added at random
	heartbeatTicks      = 3  // ticks between the heartbeats of a leader
	maxBytesPerMessage  = 2 << 10
	maxInflightMessages = 8 // unanswered messages to one member
)

// ErrNoLeader is returned by Propose if this member is not the leader.
var ErrNoLeader = errors.New("this member is not the leader")

// Config configures a member.
type Config struct {
	Index, Members int
	Voters         int    // the first so many members vote from the start; the others are learners
	Incarnation    uint64 // differs at each start of this member
	Seed           uint64
}

// PersistentState is what a member has stored.
type PersistentState struct {
	ID        uint64 // Raft ID of the member; 0: nothing is stored
	HardState raftpb.HardState
	Entries   []raftpb.Entry
}

// Entry is a committed command.
type Entry struct {
	Index, Term uint64
	Data        []byte
}

// Batch is what is to be done now: store ID, HardState and Entries, then send Messages and apply Committed, then call
// Advance.
type Batch struct {
	ID        uint64 // 0: unchanged. With a new ID all committed entries are returned again, from the start
	HardState raftpb.HardState
	Entries   []raftpb.Entry
	Messages  []Message
	Committed []Entry
}

// Message is a message to a member.
type Message struct {
	To   int
	Body []byte
}

// Kinds of message, the first byte of a body, and parameters of joining.
const (
	kindRaft  = 'R'
	kindHello = 'H' // a starting voter tells which voters it has heard of
	kindJoin  = 'J' // a member without stored state asks to join

	maxVoters      = 64 // bits of Node.emptyVoters
	indexBits      = 16 // low bits of a Raft ID: the index plus 1; above them the incarnation that took it, or 0
	joinRetryTicks = 3  // ticks between requests to join
	maxJoinsAtOnce = 8  // new members in one configuration change
)

// Node is the Raft state machine of one member.
type Node struct {
	cfg          Config
	id           uint64        // 0: none yet
	raw          *raft.RawNode // nil until the member has an ID
	store        *raft.MemoryStorage
	conf         raftpb.ConfState
	random       rng.Source
	lostState    bool   // the others had started without it, or it lost stored state
	emptyVoters  uint64 // bit set of the voters known to have no stored state
	sawAll       uint64 // bit set of the voters known to have heard from all voters
	newID        bool   // the ID is to be stored
	electionWait int    // ticks until it campaigns
	ticks        int
	joins        map[int]uint64 // IDs of joining members by index, until they are members
	outbox       []Message      // messages other than Raft's
	ready        raft.Ready
	hasReady     bool // ready is valid
	writing      bool // a batch is being stored, until Advance
}

// New returns a Node that continues from the stored state.
func New(cfg Config, state PersistentState) (*Node, error) {
	n := &Node{cfg: cfg, random: rng.Source{Seed: cfg.Seed ^ uint64(cfg.Index+1)<<40}, joins: map[int]uint64{}}
	n.resetElectionWait()
	switch {
	case state.ID != 0:
		return n, n.start(state)
	case cfg.Index >= cfg.Voters:
		return n, n.startAsNewMember()
	}
	return n, nil
}

// start starts Raft with the ID of the stored state.
func (n *Node) start(state PersistentState) error {
	n.store, n.conf = raft.NewMemoryStorage(), raftpb.ConfState{}
	for i := range n.cfg.Voters {
		n.conf.Voters = append(n.conf.Voters, uint64(i+1))
	}
	if err := n.store.ApplySnapshot(raftpb.Snapshot{Metadata: raftpb.SnapshotMetadata{
		Index: 1, Term: 1, ConfState: n.conf}}); err != nil {
		return err
	}
	if !raft.IsEmptyHardState(state.HardState) {
		if err := n.store.SetHardState(state.HardState); err != nil {
			return err
		}
	}
	if err := n.store.Append(state.Entries); err != nil {
		return err
	}
	raw, err := raft.NewRawNode(&raft.Config{ID: state.ID, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks,
		Storage: n.store, Applied: 1,
		MaxSizePerMsg: maxBytesPerMessage, MaxInflightMsgs: maxInflightMessages, MaxUncommittedEntriesSize: math.MaxInt32,
		CheckQuorum: true, PreVote: true,
		DisableProposalForwarding: true, Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}})
	if err == nil {
		n.id, n.raw = state.ID, raw
	}
	return err
}

// startAsNewMember starts Raft with an ID that was never used.
func (n *Node) startAsNewMember() error {
	n.newID = true
	return n.start(PersistentState{ID: uint64(n.cfg.Index+1) | n.cfg.Incarnation<<indexBits})
}

// indexOf returns the index of the member with an ID.
func indexOf(id uint64) int { return int(id&(1<<indexBits-1)) - 1 }

// resetElectionWait draws how many ticks to wait for a leader.
func (n *Node) resetElectionWait() {
	n.electionWait = electionTicks + int(n.random.Next()*electionTicks)
}

// isVoting reports whether this member's ID is that of a voter.
func (n *Node) isVoting() bool {
	return n.raw != nil && (slices.Contains(n.conf.Voters, n.id) || slices.Contains(n.conf.VotersOutgoing, n.id))
}

// isMember reports whether this member's ID is that of a voter or learner.
func (n *Node) isMember() bool { return n.isVoting() || slices.Contains(n.conf.Learners, n.id) }

// LostState reports whether this member had lost its stored state and rejoined under a new ID.
func (n *Node) LostState() bool { return n.lostState }

// IsLeader reports whether this member is the leader, and its term.
func (n *Node) IsLeader() (bool, uint64) {
	if n.raw == nil {
		return false, 0
	}
	s := n.raw.BasicStatus()
	return s.RaftState == raft.StateLeader, s.Term
}

// Leader returns the index of the leader as far as known here; -1 if there is none.
func (n *Node) Leader() int {
	if n.raw == nil {
		return -1
	}
	return indexOf(n.raw.BasicStatus().Lead)
}

// Tick advances the time by one tick. Random delays depend on this member's seed alone.
func (n *Node) Tick() {
	n.ticks++
	if n.raw == nil {
		n.sendHello()
		return
	}
	if leads, _ := n.IsLeader(); leads {
		n.raw.Tick()
		n.addNewMembers()
		return
	}
	n.raw.TickQuiesced()
	if !n.isMember() && n.ticks%joinRetryTicks == 0 {
		b := binary.BigEndian.AppendUint64([]byte{kindJoin}, n.id)
		for i := range n.cfg.Members {
			if i != n.cfg.Index && n.isVoterIndex(i) {
				n.outbox = append(n.outbox, Message{i, b})
			}
		}
	}
	if n.electionWait--; n.electionWait <= 0 {
		n.resetElectionWait()
		if n.isVoting() {
			_ = n.raw.Campaign()
		}
	}
}

// isVoterIndex reports whether the member with an index votes, as far as known here.
func (n *Node) isVoterIndex(i int) bool {
	return slices.ContainsFunc(n.conf.Voters, func(id uint64) bool { return indexOf(id) == i })
}

// addNewMembers proposes joining members as learners, in place of the old ID of their index. Where the index is that
// of a voter, it proposes them as voters once their log is complete.
func (n *Node) addNewMembers() {
	s := n.raw.Status()
	var changes []raftpb.ConfChangeSingle
	for _, index := range slices.Sorted(maps.Keys(n.joins)) {
		id := n.joins[index]
		if _, joined := s.Progress[id]; joined {
			delete(n.joins, index)
			continue
		}
		if len(changes) >= maxJoinsAtOnce {
			break
		}
		for _, old := range slices.Sorted(maps.Keys(s.Progress)) {
			if indexOf(old) == index && old != n.id {
				changes = append(changes, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode, NodeID: old})
			}
		}
		changes = append(changes, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddLearnerNode, NodeID: id})
	}
	for _, id := range slices.Sorted(maps.Keys(s.Progress)) {
		if p := s.Progress[id]; p.IsLearner && indexOf(id) < n.cfg.Voters && p.Match >= s.Commit && len(changes) == 0 {
			changes = append(changes, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddNode, NodeID: id})
		}
	}
	if len(changes) > 0 && len(s.Config.Voters[1]) == 0 {
		_ = n.raw.ProposeConfChange(raftpb.ConfChangeV2{Changes: changes}) // refused while another change is in progress
	}
}

// sendHello tells the other voters which voters this one has heard of.
func (n *Node) sendHello() {
	n.recordHello(n.cfg.Index, n.emptyVoters)
	for i := range n.cfg.Voters {
		if i != n.cfg.Index {
			n.outbox = append(n.outbox, Message{i, n.helloMessage()})
		}
	}
}

func (n *Node) helloMessage() []byte {
	b := []byte{kindHello, 0}
	if n.raw != nil {
		b[1] = 1
	}
	return binary.BigEndian.AppendUint64(b, n.emptyVoters)
}

func (n *Node) allVoters() uint64 { return 1<<n.cfg.Voters - 1 }

// recordHello records that a voter has no stored state, and which voters it has heard of.
func (n *Node) recordHello(index int, emptyVoters uint64) {
	n.emptyVoters |= 1 << index
	if emptyVoters == n.allVoters() {
		n.sawAll |= 1 << index
	}
	if n.emptyVoters == n.allVoters() {
		n.sawAll |= 1 << n.cfg.Index
	}
	if n.sawAll == n.allVoters() {
		n.startCluster()
	}
}

// startCluster ends the bootstrap: all voters were present at once without stored state, so that none has ever voted.
func (n *Node) startCluster() {
	if n.raw == nil && n.start(PersistentState{ID: uint64(n.cfg.Index + 1)}) == nil {
		n.newID = true
		n.resetElectionWait()
	}
}

// Step handles a message of another member; a malformed one is dropped.
func (n *Node) Step(from int, b []byte) {
	if len(b) < 2 || from < 0 || from >= n.cfg.Members || from == n.cfg.Index {
		return
	}
	switch b[0] {
	case kindHello:
		n.handleHello(from, b[1:])
	case kindJoin:
		if leads, _ := n.IsLeader(); leads && len(b) == 9 {
			if id := binary.BigEndian.Uint64(b[1:]); indexOf(id) == from {
				n.joins[from] = id
			}
		}
	case kindRaft:
		n.handleRaft(from, b[1:])
	}
}

func (n *Node) handleRaft(from int, b []byte) {
	var m raftpb.Message
	if n.raw == nil || m.Unmarshal(b) != nil || indexOf(m.From) != from || m.To != n.id || raft.IsLocalMsg(m.Type) {
		return
	}
	switch m.Type {
	case raftpb.MsgProp, raftpb.MsgTransferLeader, raftpb.MsgReadIndex:
		return // not accepted from other members
	case raftpb.MsgHeartbeat:
		if last, err := n.store.LastIndex(); err != nil || m.Commit > last && !n.writing {
			n.rejoinAsNewMember()
			return
		}
		n.resetElectionWait()
	case raftpb.MsgApp, raftpb.MsgSnap:
		n.resetElectionWait()
	}
	_ = n.raw.Step(m)
}

// rejoinAsNewMember handles a leader that knows of more entries stored here than there are: the folder was restored
// from an older copy. The promises made since are lost, so the member rejoins under a new ID.
func (n *Node) rejoinAsNewMember() {
	n.lostState = true
	_ = n.startAsNewMember()
}

func (n *Node) handleHello(from int, b []byte) {
	if from >= n.cfg.Voters || len(b) != 9 {
		return
	}
	emptyVoters := binary.BigEndian.Uint64(b[1:])
	switch started := b[0] == 1; {
	case n.raw != nil && !started:
		n.outbox = append(n.outbox, Message{from, n.helloMessage()})
	case n.raw != nil:
	case started && n.emptyVoters == n.allVoters():
		n.startCluster() // this member took part in the bootstrap
	case started:
		n.lostState = true
		_ = n.startAsNewMember()
	default:
		n.recordHello(from, emptyVoters)
	}
}

// Propose proposes a command. It returns ErrNoLeader if this member is not the leader.
func (n *Node) Propose(data []byte) error {
	if leads, _ := n.IsLeader(); !leads {
		return ErrNoLeader
	}
	return n.raw.Propose(data)
}

// TransferLeadership transfers the leadership to another voter, for example before this member stops.
func (n *Node) TransferLeadership(to int) {
	if n.raw == nil {
		return
	}
	for _, id := range n.conf.Voters {
		if indexOf(id) == to {
			n.raw.TransferLeader(id)
		}
	}
}

// Ready returns what is to be done; ok is false if there is nothing, or if the previous batch was not finished by
// Advance.
func (n *Node) Ready() (batch Batch, ok bool) {
	rawReady := n.raw != nil && n.raw.HasReady()
	if n.writing || !rawReady && !n.newID && len(n.outbox) == 0 {
		return batch, false
	}
	if n.newID {
		batch.ID, n.newID = n.id, false
	}
	batch.Messages, n.outbox = n.outbox, nil
	if n.hasReady = rawReady; rawReady {
		n.ready = n.raw.Ready()
		batch.HardState, batch.Entries = n.ready.HardState, n.ready.Entries
		for _, m := range n.ready.Messages {
			if body, err := m.Marshal(); err == nil {
				batch.Messages = append(batch.Messages, Message{indexOf(m.To), append([]byte{kindRaft}, body...)})
			}
		}
		for _, e := range n.ready.CommittedEntries {
			n.applyCommitted(&batch, e)
		}
	}
	n.writing = true
	return batch, true
}

// applyCommitted handles a committed entry: a command goes into the batch, a configuration change is applied here.
func (n *Node) applyCommitted(b *Batch, e raftpb.Entry) {
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

// Advance tells the node that the latest batch is stored, sent and applied.
func (n *Node) Advance() {
	n.writing = false
	if !n.hasReady {
		return
	}
	n.hasReady = false
	if !raft.IsEmptyHardState(n.ready.HardState) {
		_ = n.store.SetHardState(n.ready.HardState)
	}
	_ = n.store.Append(n.ready.Entries)
	n.raw.Advance(n.ready)
}

// Apply adds a batch to the stored state, as it would be read back. A new ID voids all that was stored before.
func (s *PersistentState) Apply(b *Batch) {
	if b.ID != 0 {
		*s = PersistentState{ID: b.ID}
	}
	if !raft.IsEmptyHardState(b.HardState) {
		s.HardState = b.HardState
	}
	for _, e := range b.Entries { // an entry replaces that with the same index and all after it
		i := slices.IndexFunc(s.Entries, func(old raftpb.Entry) bool { return old.Index >= e.Index })
		if i >= 0 {
			s.Entries = s.Entries[:i]
		}
		s.Entries = append(s.Entries, e)
	}
}

// Joining reports whether this member is not a member yet: it then needs ticks even while idle.
func (n *Node) Joining() bool { return n.raw == nil || !n.isMember() }

// IsIdleMessage reports whether a message does not count as activity: hellos, and what a leader and its followers
// exchange while there is nothing to replicate.
func IsIdleMessage(b []byte) bool {
	if len(b) == 0 || b[0] == kindHello {
		return true
	}
	var m raftpb.Message
	if b[0] != kindRaft || m.Unmarshal(b[1:]) != nil {
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
