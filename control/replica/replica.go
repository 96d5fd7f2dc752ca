// Package replica implements consensus on one replicated state among the members of a group: elections with a
// pre-vote, a leader lease, and replication in which each entry stands for the full state. It does no I/O: messages,
// time and the completion of disk writes are passed in, messages and writes are passed out.
//
// An entry is sent and stored as a full entry, which holds the full state, or, in a group with a StateMachine, as a
// step: the commands that lead to it from the entry before, which only a replica that has that very entry can apply.
// A position identifies the same content either way.
//
// The rules are those of Raft with a log of one entry: as an entry replaces all before it, a follower keeps only the
// newest. Members change one at a time (see members.go). A replica that lost its disk comes back under a new ID, as a
// learner; it counts once an entry names it a member.
package replica

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ivybank/wire"
)

// Times of the protocol, all on the steady clock.
const (
	HeartbeatInterval = 80 * time.Millisecond
	// LeaseDuration is how long a follower grants no vote after a heartbeat. The leader counts it from when it sent
	// the heartbeat, and stops LeaseMargin early.
	LeaseDuration = 500 * time.Millisecond
	LeaseMargin   = 100 * time.Millisecond
	// maxElectionJitter is the longest random wait on top of LeaseDuration before an election.
	maxElectionJitter = 250 * time.Millisecond
	// restartPollInterval is the least time between two pre-votes that ask whether all members have just restarted.
	restartPollInterval = 50 * time.Millisecond
	// restartYieldTime is how long a replica that has just restarted lets another one stand first.
	restartYieldTime = 90 * time.Millisecond
	// restartLeaseWait is how long a replica that has just restarted waits for a leader before it takes part in
	// leases.
	restartLeaseWait = 2 * time.Second
	// minElectionTime is the least time that an election may take before the next one. It doubles with each election
	// in a row that elected nobody, maxElectionDoublings times at most, as disks may be slow.
	minElectionTime      = 150 * time.Millisecond
	maxElectionDoublings = 3
	neverHeard           = -time.Hour
)

// Errors of a proposal.
var (
	ErrNotLeader = errors.New("replica: not the leader")
	ErrBusy      = errors.New("replica: another entry is not committed yet")
)

// Position orders entries.
type Position = wire.Position

// PersistentState is what a replica has to find again after a restart.
type PersistentState struct {
	Term     uint64
	VotedFor string
	Entry    *wire.Entry // immutable; nil before the first entry
}

// Save is a request for a disk write. Sequence numbers rise; a newer Save includes the older ones.
type Save struct {
	Sequence     uint64
	State        PersistentState
	EntryChanged bool
	VoteChanged  bool
	// Entries lead from the last Save, or from a full entry, to State.Entry.
	Entries []*wire.Entry
}

// Envelope is a message to another replica.
type Envelope struct {
	To      wire.Member
	Message *wire.Message
}

// Role is a replica's current role in the protocol.
type Role int

const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// GroupConfig is a deployment's configuration of the group.
type GroupConfig struct {
	TargetSize    int           // wanted number of members
	MemberTimeout time.Duration // silence after which a member may be replaced, if another machine is ready
	// Name sets the order in which members that have all just restarted stand for leader, so that groups with the
	// same members prefer different leaders; "" orders members by identity.
	Name string
}

// weight is a member's place in the order in which members stand for leader: the lowest goes first.
func (g *GroupConfig) weight(id string) uint64 {
	if g.Name == "" {
		return 0
	}
	return xxhash.Sum64String(g.Name + "/" + id)
}

// before reports whether a member goes before another one in that order.
func (g *GroupConfig) before(id, other string) bool {
	own, others := g.weight(id), g.weight(other)
	return own < others || own == others && id < other
}

// heldMessage is a message that waits for a write to complete.
type heldMessage struct {
	after    uint64
	envelope Envelope
}

// Replica is one member or learner. It is not safe for concurrent use.
type Replica struct {
	self          wire.Member
	group         GroupConfig
	random        *rand.Rand
	state         PersistentState
	durable       Position // newest entry known to be on this replica's disk
	sequence      uint64   // of the newest Save
	savedSequence uint64   // of the newest Save that has completed
	voteSequence  uint64   // of the newest Save of a term or vote
	pending       *Save    // the next Save that TakeSave returns
	heldMessages  []heldMessage
	outbox        []Envelope

	machine   StateMachine  // nil if each entry is full
	clock     groupClock    // used in a group with a machine
	unapplied *wire.Entry   // the leader's newest entry while its machine is still at the one before
	steps     []*wire.Entry // the newest steps, each following the one before
	lastFull  *wire.Entry   // the newest entry for which the full state was produced
	unsaved   []*wire.Entry // entries since the last Save was taken
	// saveFull says that the next Save holds the full state, as too many steps have come since the last one.
	saveFull bool

	role   Role
	leader wire.Member
	round  uint64          // of this replica's newest vote request
	votes  map[string]bool // granted in that round
	// restartVotes are the members that have answered in that round that they heard no leader since they started.
	restartVotes     map[string]bool
	justRestarted    bool              // no leader heard and no lease joined since the start
	restartConfirmed map[string]uint64 // by candidate, the round in which this process confirmed its restart
	restartRound     uint64            // pre-vote round of the leader's election after all had restarted, else 0
	electionAt       time.Duration
	failedElections  int           // elections in a row in which it stood and nobody was elected
	yieldUntil       time.Duration // until then it lets another restarted replica stand first
	leaderHeardAt    time.Duration // time of the last heartbeat of a valid leader, or of the start
	committed        *wire.Entry

	heartbeatNumber uint64                   // number of the newest heartbeat
	heartbeatSentAt map[uint64]time.Duration // when each heartbeat was sent, by number
	nextHeartbeat   time.Duration
	peers           map[string]*peer // other members, by ID
	learners        map[string]*peer
	leaderSince     time.Duration
	madeAt          map[uint64]time.Duration // when this leader made its newest entries, by index
	leave           leaveState
}

// New returns a replica of a group in which each entry is full, from the state found on disk.
func New(self wire.Member, group GroupConfig, state PersistentState, random *rand.Rand, now time.Duration) *Replica {
	return NewWithStateMachine(self, group, state, nil, random, now)
}

// NewWithStateMachine returns a replica from the state found on disk. The machine must be at that state's entry.
func NewWithStateMachine(self wire.Member, group GroupConfig, state PersistentState, machine StateMachine,
	random *rand.Rand, now time.Duration) *Replica {
	r := &Replica{self: self, group: group, state: state, random: random, durable: state.Entry.Position(),
		learners: map[string]*peer{}, justRestarted: true, restartConfirmed: map[string]uint64{}, machine: machine}
	if r.clock.knownAt = now; state.Entry != nil {
		r.clock = groupClock{state.Entry.Term, state.Entry.Time, now}
	}
	r.leaderHeardAt = now // the previous run may have acknowledged a heartbeat right before the restart
	r.scheduleElection(now)
	return r
}

// FoundingEntry returns the entry that a new group starts from. All founders produce the same one.
func FoundingEntry(members []wire.Member, value []byte) *wire.Entry {
	h := xxhash.New()
	for _, m := range members {
		_, _ = h.WriteString(m.ID + "\n") // writing to a hash never fails
	}
	return &wire.Entry{Term: 0, Index: 1, Members: members, Value: value, Fleet: h.Sum64() | 1}
}

// scheduleElection sets when this replica stands for leader unless it hears a leader before.
func (r *Replica) scheduleElection(now time.Duration) {
	wait, spread := LeaseDuration, maxElectionJitter
	switch {
	case r.role == Candidate:
		wait = minElectionTime << min(r.failedElections, maxElectionDoublings)
	case r.justRestarted && r.savedSequence < r.voteSequence: // it has just voted
		wait = minElectionTime
	case r.justRestarted && now < r.leaderHeardAt+LeaseDuration:
		wait, spread = restartPollInterval, 3*restartPollInterval
	}
	r.electionAt = now + wait + time.Duration(r.random.Int64N(int64(spread)))
}

// Self returns the replica's own identity.
func (r *Replica) Self() wire.Member { return r.self }

// Role returns the current role.
func (r *Replica) Role() Role { return r.role }

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.state.Term }

// TargetSize returns the wanted number of members.
func (r *Replica) TargetSize() int { return r.group.TargetSize }

// Leader returns the leader if it was heard so recently that no other one can have followed it unnoticed, else a zero
// Member.
func (r *Replica) Leader(now time.Duration) wire.Member {
	if r.role != Leader && now > r.leaderHeardAt+LeaseDuration+maxElectionJitter {
		return wire.Member{}
	}
	return r.leader
}

// Committed returns the newest entry known to be committed; nil if there is none.
func (r *Replica) Committed() *wire.Entry { return r.committed }

// Newest returns the newest entry, committed or not; nil before the first.
func (r *Replica) Newest() *wire.Entry { return r.state.Entry }

// Fleet returns the number of the fleet; 0 before the first entry.
func (r *Replica) Fleet() uint64 {
	if r.state.Entry == nil {
		return 0
	}
	return r.state.Entry.Fleet
}

// Members returns the members of the newest entry.
func (r *Replica) Members() []wire.Member {
	if r.state.Entry == nil {
		return nil
	}
	return r.state.Entry.Members
}

// IsMember reports whether the newest entry names this replica.
func (r *Replica) IsMember() bool { return r.Includes(r.self.ID) }

// Includes reports whether the newest entry names a member.
func (r *Replica) Includes(id string) bool { return containsID(r.Members(), id) }

// NeedsToJoin reports whether this replica has to ask to be added: it is not a member, or it has heard no leader for
// so long that the others may have replaced it.
func (r *Replica) NeedsToJoin(now time.Duration) bool {
	return !r.leave.started && (!r.IsMember() || r.role != Leader && now > r.leaderHeardAt+LeaseDuration+maxElectionJitter)
}

// Leading reports whether this replica is the leader, its lease is valid at now, and Committed includes everything
// that was ever acknowledged.
func (r *Replica) Leading(now time.Duration) bool {
	return r.role == Leader && r.committed != nil && r.committed.Term == r.state.Term &&
		now < r.leaseStart(now)+LeaseDuration-LeaseMargin
}

// HasUncommitted reports whether the newest entry is not committed yet.
func (r *Replica) HasUncommitted() bool { return r.committed.Position() != r.state.Entry.Position() }

// AllRestarted reports whether the current leader was elected while all members had just restarted, this run of this
// process among them. Then nothing that any of them granted before is still in force.
func (r *Replica) AllRestarted() bool { return r.restartRound != 0 && r.leader.ID != "" }

// NoteLeaseParticipation records that this process has granted or obtained a lease: it no longer counts as one that
// has just restarted.
func (r *Replica) NoteLeaseParticipation() { r.justRestarted = false }

// AwaitsLeader reports whether this process has just restarted and heard no leader yet. If all members have
// restarted, their saying so ends the wait for former leases, and a process that has taken part in a lease can't say
// so. It therefore takes part in none for a while.
func (r *Replica) AwaitsLeader(now time.Duration) bool {
	return r.justRestarted && now < r.leaderHeardAt+restartLeaseWait
}

// Propose replicates a new value on top of the committed one or, with a machine, commands for it. It fails with
// ErrNotLeader without a valid lease, and with ErrBusy while another entry is uncommitted.
func (r *Replica) Propose(value []byte, now time.Duration) (Position, error) {
	if !r.Leading(now) {
		return Position{}, ErrNotLeader
	}
	if r.HasUncommitted() {
		return Position{}, ErrBusy
	}
	return r.appendEntry(r.state.Entry.Members, value, now), nil
}

// appendUnchanged makes the leader's next entry with the state of the one before.
func (r *Replica) appendUnchanged(members []wire.Member, now time.Duration) {
	if r.machine != nil {
		r.appendEntry(members, nil, now)
		return
	}
	r.appendEntry(members, r.state.Entry.Value, now)
}

// appendEntry makes the leader's next entry from a new value or, with a machine, from commands.
func (r *Replica) appendEntry(members []wire.Member, payload []byte, now time.Duration) Position {
	last := r.state.Entry
	e := &wire.Entry{Term: r.state.Term, Index: last.Index + 1, Members: members, Fleet: last.Fleet}
	if r.machine == nil {
		e.Value = payload
		r.storeEntry(e, e)
	} else {
		e.After, e.Commands, e.Time = last.Position(), payload, r.clock.at(now)
		step := toStep(last, e)
		r.keepStep(step)
		r.storeEntry(e, step)
		r.unapplied = e
	}
	r.madeAt[e.Index] = now
	delete(r.madeAt, e.Index-maxTimedEntries)
	r.refreshPeers(now)
	r.broadcast(now)
	return e.Position()
}

// storeEntry adopts a newer entry and requests a write of it in the form in which it was made or sent.
func (r *Replica) storeEntry(e, sent *wire.Entry) {
	if e.Position().Less(r.state.Entry.Position()) {
		panic("replica: an older entry would replace a newer one")
	}
	r.state.Entry = e
	r.queueUnsaved(sent)
	r.requestSave(true, false)
}

func (r *Replica) requestSave(entry, vote bool) {
	r.sequence++
	if r.pending != nil {
		entry = entry || r.pending.EntryChanged
		vote = vote || r.pending.VoteChanged
	}
	if vote {
		r.voteSequence = r.sequence
	}
	r.pending = &Save{Sequence: r.sequence, State: r.state, EntryChanged: entry, VoteChanged: vote}
}

// TakeSave returns the pending write; nil if there is none.
func (r *Replica) TakeSave() *Save {
	s := r.pending
	if s != nil {
		s.Entries = r.takeUnsaved()
	}
	r.pending = nil
	return s
}

// Saved reports that a write has reached the disk.
func (r *Replica) Saved(s *Save, now time.Duration) {
	r.savedSequence = max(r.savedSequence, s.Sequence)
	r.durable = s.State.Entry.Position()
	kept := r.heldMessages[:0]
	for _, h := range r.heldMessages {
		if h.after <= r.savedSequence {
			r.outbox = append(r.outbox, h.envelope)
		} else {
			kept = append(kept, h)
		}
	}
	clear(r.heldMessages[len(kept):])
	r.heldMessages = kept
	switch r.role {
	case Candidate:
		r.countVotes(now)
	case Leader:
		r.advanceCommit(now)
	}
}

// termDurable reports whether the current term and vote are on disk.
func (r *Replica) termDurable() bool { return r.savedSequence >= r.voteSequence }

// TakeMessages returns and clears the messages that may be sent now.
func (r *Replica) TakeMessages() []Envelope {
	out := r.outbox
	r.outbox = nil
	return out
}

func (r *Replica) send(to wire.Member, m *wire.Message) {
	if to.ID != r.self.ID {
		r.outbox = append(r.outbox, Envelope{to, m})
	}
}

// sendAfterSave holds a message back until every write requested so far is on disk.
func (r *Replica) sendAfterSave(to wire.Member, m *wire.Message) {
	if r.sequence <= r.savedSequence {
		r.send(to, m)
		return
	}
	r.heldMessages = append(r.heldMessages, heldMessage{r.sequence, Envelope{to, m}})
}

// Tick performs what is due at now.
func (r *Replica) Tick(now time.Duration) {
	switch {
	case r.role == Leader:
		r.tickLeader(now)
	case now >= r.electionAt && r.IsMember() && !r.leave.started:
		r.startPreVote(now)
	}
	r.tickLeave(now)
}

// Receive processes a message from another replica.
func (r *Replica) Receive(from wire.Member, m *wire.Message, now time.Duration) {
	switch {
	case m.VoteRequest != nil:
		r.onVoteRequest(from, m.VoteRequest, now)
	case m.VoteReply != nil:
		r.onVoteReply(from, m.VoteReply, now)
	case m.Append != nil:
		r.onAppend(from, m.Append, now)
	case m.AppendReply != nil:
		r.onAppendReply(from, m.AppendReply, now)
	case m.JoinRequest != nil:
		r.onJoinRequest(from, m.JoinRequest, now)
	case m.LeaveReply != nil:
		r.onLeaveReply(from, m.LeaveReply)
	case m.Transfer != nil:
		r.onTransfer(from, m.Transfer, now)
	}
}

// becomeFollower enters a newer term without a vote, or gives up a candidacy or leadership.
func (r *Replica) becomeFollower(term uint64, now time.Duration) {
	if term > r.state.Term {
		r.state.Term, r.state.VotedFor = term, ""
		r.requestSave(false, true)
	}
	r.applyNewest()
	r.role, r.leader, r.restartRound = Follower, wire.Member{}, 0
	r.peers, r.heartbeatSentAt, r.madeAt = nil, nil, nil
	clear(r.learners)
	r.scheduleElection(now)
}

func containsID(members []wire.Member, id string) bool {
	return slices.ContainsFunc(members, func(m wire.Member) bool { return m.ID == id })
}

// HasQuorum reports whether the members for which has returns true are a majority.
func HasQuorum(members []wire.Member, has func(id string) bool) bool {
	n := 0
	for _, m := range members {
		if has(m.ID) {
			n++
		}
	}
	return 2*n > len(members)
}
