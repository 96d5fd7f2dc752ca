// Package replica agrees on one replicated state among the members of a group: elections with a pre-vote, a
// leader lease, and replication in which each entry stands for the whole state. It is free of I/O: messages, time and the
// end of disk writes are handed in, messages and writes are handed out.
//
// An entry is sent and stored whole, or, in a group with a Machine, as a step: the commands that lead on to it from the
// entry before, which only one that has that very entry can take. A position names one content either way.
//
// The rules are those of Raft with a log of one entry: as an entry replaces all before it, a follower keeps only the
// newest. Members change one at a time (see members.go). A replica without its disk comes back under a new ID, as a
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

// Times of the protocol. All are steady-clock spans.
const (
	HeartbeatInterval = 80 * time.Millisecond
	// LeaseDuration is how long a follower grants no vote after a heartbeat. The leader counts from the moment at
	// which it sent the heartbeat, and stops LeaseMargin early.
	LeaseDuration   = 500 * time.Millisecond
	LeaseMargin     = 100 * time.Millisecond
	electionSpread  = 250 * time.Millisecond // longest random wait on top of LeaseDuration
	freshInterval   = 50 * time.Millisecond  // least time between asking whether all members have just restarted
	freshYield      = 90 * time.Millisecond  // for which one that has just restarted lets another one stand first
	freshPatience   = 2 * time.Second        // for which one that has just restarted waits for a leader before it joins in leases
	electionTime    = 150 * time.Millisecond // least time that an election may take before the next one,
	mostDoublings   = 3                      // doubled for each one before that elected nobody, so often: disks may be slow
	unreachableMark = -time.Hour
)

// What a proposal can fail of.
var (
	ErrNotLeader = errors.New("replica: not the leader")
	ErrBusy      = errors.New("replica: another entry is not committed yet")
)

// Position orders entries.
type Position = wire.Position

// Disk is what a replica has to find again after a restart.
type Disk struct {
	Term     uint64
	VotedFor string
	Entry    *wire.Entry // immutable; nil before the first
}

// Save asks for a write. Sequence numbers rise; a newer Save includes the older ones.
type Save struct {
	Sequence     uint64
	Disk         Disk
	EntryChanged bool
	VoteChanged  bool
	// Entries lead from the last Save, or from a whole entry, to Disk.Entry.
	Entries []*wire.Entry
}

// Envelope is a message to another replica.
type Envelope struct {
	To      wire.Member
	Message *wire.Message
}

// Role is what a replica does at the moment.
type Role int

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Group is what a deployment asks of the group.
type Group struct {
	Target        int           // members that the group should have
	MemberSilence time.Duration // after which a member may be replaced, where another machine is ready to take its place
	// Name sets the order in which members that have all just restarted stand for leader, so that groups of the same
	// members prefer different ones; "" for the order of their identities.
	Name string
}

// weight is a member's place in the order in which members stand: the lowest comes first.
func (g *Group) weight(id string) uint64 {
	if g.Name == "" {
		return 0
	}
	return xxhash.Sum64String(g.Name + "/" + id)
}

// before says whether a member comes before another one in that order.
func (g *Group) before(id, other string) bool {
	own, others := g.weight(id), g.weight(other)
	return own < others || own == others && id < other
}

// held is a message that waits for a write to end.
type held struct {
	after    uint64
	envelope Envelope
}

// Replica is one member or learner. It is not safe for concurrent use.
type Replica struct {
	self     wire.Member
	group    Group
	random   *rand.Rand
	disk     Disk
	durable  Position // newest entry known to be on the own disk
	sequence uint64   // of the newest Save
	saved    uint64   // of the newest Save that is done
	voteSave uint64   // of the newest Save of a term or vote
	pending  *Save    // handed out by TakeSave
	waiting  []held
	outbox   []Envelope

	machine   Machine       // nil where each entry is whole
	clock     groupClock    // of a group with a machine
	unapplied *wire.Entry   // the leader's newest entry, while its machine stands at the one before
	steps     []*wire.Entry // the newest ones, each following the one before
	whole     *wire.Entry   // the newest one that was made whole
	unsaved   []*wire.Entry // since the last Save was handed out
	saveWhole bool          // the next Save holds the whole state: too many steps have come since the last one

	role       Role
	leader     wire.Member
	round      uint64            // of the own newest request for votes
	votes      map[string]bool   // in that round
	freshVotes map[string]bool   // members that have answered in that round that they heard no leader since they started
	fresh      bool              // this one has heard none, and takes part in no lease
	freshTold  map[string]uint64 // candidate to the round in which this life told it so
	freshRound uint64            // by which the present leader was elected, where all had restarted
	electAt    time.Duration
	failed     int           // elections in a row in which it stood and was not elected
	yieldUntil time.Duration // it lets another one that has just restarted stand first
	heardAt    time.Duration // last heartbeat of a valid leader, or the start
	committed  *wire.Entry

	beat     uint64                   // number of the newest heartbeat
	beats    map[uint64]time.Duration // when each heartbeat was sent
	nextBeat time.Duration
	peers    map[string]*peer // other members
	learners map[string]*peer
	ledSince time.Duration
	made     map[uint64]time.Duration // when the leader made its newest entries, by index
	leave    leaveState
}

// New makes a replica from what its disk held, in which each entry is whole.
func New(self wire.Member, group Group, disk Disk, random *rand.Rand, now time.Duration) *Replica {
	return NewWithMachine(self, group, disk, nil, random, now)
}

// NewWithMachine makes a replica from what its disk held. The machine stands at the disk's entry.
func NewWithMachine(self wire.Member, group Group, disk Disk, machine Machine, random *rand.Rand, now time.Duration) *Replica {
	r := &Replica{self: self, group: group, disk: disk, random: random, durable: disk.Entry.Position(),
		learners: map[string]*peer{}, fresh: true, freshTold: map[string]uint64{}, machine: machine}
	if r.clock.knownAt = now; disk.Entry != nil {
		r.clock = groupClock{disk.Entry.Term, disk.Entry.Time, now}
	}
	r.heardAt = now // a heartbeat may have been acknowledged right before the restart
	r.scheduleElection(now)
	return r
}

// Found makes the entry that a new group starts from. All founders make the same one.
func Found(members []wire.Member, value []byte) *wire.Entry {
	h := xxhash.New()
	for _, m := range members {
		_, _ = h.WriteString(m.ID + "\n") // a hash takes all
	}
	return &wire.Entry{Term: 0, Index: 1, Members: members, Value: value, Fleet: h.Sum64() | 1}
}

// scheduleElection sets when this replica stands, unless it hears a leader before.
func (r *Replica) scheduleElection(now time.Duration) {
	wait, spread := LeaseDuration, electionSpread
	switch {
	case r.role == Candidate:
		wait = electionTime << min(r.failed, mostDoublings)
	case r.fresh && r.saved < r.voteSave: // it has just voted
		wait = electionTime
	case r.fresh && now < r.heardAt+LeaseDuration:
		wait, spread = freshInterval, 3*freshInterval
	}
	r.electAt = now + wait + time.Duration(r.random.Int64N(int64(spread)))
}

// Self gives the replica's own identity.
func (r *Replica) Self() wire.Member { return r.self }

// Role gives the present role.
func (r *Replica) Role() Role { return r.role }

// Term gives the present term.
func (r *Replica) Term() uint64 { return r.disk.Term }

// Target gives how many members the group should have.
func (r *Replica) Target() int { return r.group.Target }

// Leader gives the leader that was heard within the time in which another one can't have followed it unnoticed, or a
// zero Member.
func (r *Replica) Leader(now time.Duration) wire.Member {
	if r.role != Leader && now > r.heardAt+LeaseDuration+electionSpread {
		return wire.Member{}
	}
	return r.leader
}

// Committed gives the newest entry that is known to be committed; nil where none is.
func (r *Replica) Committed() *wire.Entry { return r.committed }

// Newest gives the newest entry, committed or not; nil before the first.
func (r *Replica) Newest() *wire.Entry { return r.disk.Entry }

// Fleet gives the number of the fleet; 0 before the first entry.
func (r *Replica) Fleet() uint64 {
	if r.disk.Entry == nil {
		return 0
	}
	return r.disk.Entry.Fleet
}

// Members gives the members of the newest entry.
func (r *Replica) Members() []wire.Member {
	if r.disk.Entry == nil {
		return nil
	}
	return r.disk.Entry.Members
}

// IsMember says whether the newest entry names this replica.
func (r *Replica) IsMember() bool { return r.Includes(r.self.ID) }

// Includes says whether the newest entry names a member.
func (r *Replica) Includes(id string) bool { return containsID(r.Members(), id) }

// NeedsToJoin says whether this replica has to ask for its place: it is no member, or has heard no leader for so long
// that the others may have replaced it.
func (r *Replica) NeedsToJoin(now time.Duration) bool {
	return !r.leave.started && (!r.IsMember() || r.role != Leader && now > r.heardAt+LeaseDuration+electionSpread)
}

// Leading says whether this replica is the leader, its lease holds at now, and all that was ever acknowledged is in
// Committed.
func (r *Replica) Leading(now time.Duration) bool {
	return r.role == Leader && r.committed != nil && r.committed.Term == r.disk.Term &&
		now < r.leaseStart(now)+LeaseDuration-LeaseMargin
}

// Uncommitted says whether the newest entry isn't committed.
func (r *Replica) Uncommitted() bool { return r.committed.Position() != r.disk.Entry.Position() }

// AllRestarted says whether the present leader was elected while all members had just restarted, this life of this one
// among them: then nothing that any of them granted before is in force.
func (r *Replica) AllRestarted() bool { return r.freshRound != 0 && r.leader.ID != "" }

// JoinedLease tells that this process has granted or got a lease by the members: it no longer counts as one that has
// just restarted.
func (r *Replica) JoinedLease() { r.fresh = false }

// AwaitsOthers says whether this process has just restarted and heard no leader yet. Where all members have, their word of
// it ends the wait for former leases, and one that has joined in a lease can't give it: so for a while it joins in none.
func (r *Replica) AwaitsOthers(now time.Duration) bool {
	return r.fresh && now < r.heardAt+freshPatience
}

// Propose replicates a new value on top of the committed one; with a machine, commands for it. Only a leader without an
// uncommitted entry does.
func (r *Replica) Propose(value []byte, now time.Duration) (Position, error) {
	if !r.Leading(now) {
		return Position{}, ErrNotLeader
	}
	if r.Uncommitted() {
		return Position{}, ErrBusy
	}
	return r.appendEntry(r.disk.Entry.Members, value, now), nil
}

// appendUnchanged makes the leader's next entry with the state of the one before.
func (r *Replica) appendUnchanged(members []wire.Member, now time.Duration) {
	if r.machine != nil {
		r.appendEntry(members, nil, now)
		return
	}
	r.appendEntry(members, r.disk.Entry.Value, now)
}

// appendEntry makes the leader's next entry, of a new value or, with a machine, by commands.
func (r *Replica) appendEntry(members []wire.Member, payload []byte, now time.Duration) Position {
	last := r.disk.Entry
	e := &wire.Entry{Term: r.disk.Term, Index: last.Index + 1, Members: members, Fleet: last.Fleet}
	if r.machine == nil {
		e.Value = payload
		r.storeEntry(e, e)
	} else {
		e.After, e.Commands, e.Time = last.Position(), payload, r.clock.at(now)
		step := stepOf(last, e)
		r.keepStep(step)
		r.storeEntry(e, step)
		r.unapplied = e
	}
	r.made[e.Index] = now
	delete(r.made, e.Index-entriesTimed)
	r.refreshPeers(now)
	r.broadcast(now)
	return e.Position()
}

// storeEntry takes a newer entry and has it written as it was made or sent.
func (r *Replica) storeEntry(e, sent *wire.Entry) {
	if e.Position().Less(r.disk.Entry.Position()) {
		panic("replica: an older entry would replace a newer one")
	}
	r.disk.Entry = e
	r.keepUnsaved(sent)
	r.requestSave(true, false)
}

func (r *Replica) requestSave(entry, vote bool) {
	r.sequence++
	if r.pending != nil {
		entry = entry || r.pending.EntryChanged
		vote = vote || r.pending.VoteChanged
	}
	if vote {
		r.voteSave = r.sequence
	}
	r.pending = &Save{Sequence: r.sequence, Disk: r.disk, EntryChanged: entry, VoteChanged: vote}
}

// TakeSave hands out the write that is due, if any.
func (r *Replica) TakeSave() *Save {
	s := r.pending
	if s != nil {
		s.Entries = r.takeUnsaved()
	}
	r.pending = nil
	return s
}

// Saved tells that a write has reached the disk.
func (r *Replica) Saved(s *Save, now time.Duration) {
	r.saved = max(r.saved, s.Sequence)
	r.durable = s.Disk.Entry.Position()
	kept := r.waiting[:0]
	for _, h := range r.waiting {
		if h.after <= r.saved {
			r.outbox = append(r.outbox, h.envelope)
		} else {
			kept = append(kept, h)
		}
	}
	clear(r.waiting[len(kept):])
	r.waiting = kept
	switch r.role {
	case Candidate:
		r.countVotes(now)
	case Leader:
		r.advanceCommit(now)
	}
}

// termDurable says whether the present term and vote are on disk.
func (r *Replica) termDurable() bool { return r.saved >= r.voteSave }

// TakeMessages hands out the messages that may go now.
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

// sendAfterSave holds a message back until all that was asked to be saved so far is on disk.
func (r *Replica) sendAfterSave(to wire.Member, m *wire.Message) {
	if r.sequence <= r.saved {
		r.send(to, m)
		return
	}
	r.waiting = append(r.waiting, held{r.sequence, Envelope{to, m}})
}

// Tick lets time pass.
func (r *Replica) Tick(now time.Duration) {
	switch {
	case r.role == Leader:
		r.tickLeader(now)
	case now >= r.electAt && r.IsMember() && !r.leave.started:
		r.startPreVote(now)
	}
	r.tickLeave(now)
}

// Receive takes a message of another replica.
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

// becomeFollower enters a term without a vote, or leaves a candidacy.
func (r *Replica) becomeFollower(term uint64, now time.Duration) {
	if term > r.disk.Term {
		r.disk.Term, r.disk.VotedFor = term, ""
		r.requestSave(false, true)
	}
	r.applyNewest()
	r.role, r.leader, r.freshRound = Follower, wire.Member{}, 0
	r.peers, r.beats, r.made = nil, nil, nil
	clear(r.learners)
	r.scheduleElection(now)
}

func containsID(members []wire.Member, id string) bool {
	return slices.ContainsFunc(members, func(m wire.Member) bool { return m.ID == id })
}

// Quorum says whether those for which has is true are a majority of the members.
func Quorum(members []wire.Member, has func(id string) bool) bool {
	n := 0
	for _, m := range members {
		if has(m.ID) {
			n++
		}
	}
	return 2*n > len(members)
}
