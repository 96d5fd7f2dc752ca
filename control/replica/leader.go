package replica

import (
	"maps"
	"slices"
	"time"

	"ivybank/wire"
)

// beatsKept is for how many heartbeats the leader knows when it sent them.
const beatsKept = 1024

// entriesTimed is for how many of its entries the leader knows when it made them.
const entriesTimed = 64

// peer is what a leader knows of another replica.
type peer struct {
	member    wire.Member
	stored    Position      // on its disk
	received  Position      // in its memory, perhaps not yet on disk
	ackedSent time.Duration // when the newest acknowledged heartbeat was sent
	heard     time.Duration
	sent      Position // entry that is on its way to it,
	sentBeat  uint64   // and the heartbeat that carries it; 0 for none
	leavingAt time.Duration
	storedAt  time.Duration // when it last told of a newer entry on its disk
	lag       time.Duration // between the making of that entry and that word
}

func newPeer(m wire.Member, now time.Duration) *peer {
	return &peer{member: m, ackedSent: unreachableMark, heard: now, leavingAt: unreachableMark, storedAt: unreachableMark}
}

// refreshPeers keeps one record for each other member.
func (r *Replica) refreshPeers(now time.Duration) {
	members := r.Members()
	for _, m := range members {
		if m.ID == r.self.ID || r.peers[m.ID] != nil {
			continue
		}
		if l := r.learners[m.ID]; l != nil {
			r.peers[m.ID] = l
			delete(r.learners, m.ID)
			continue
		}
		r.peers[m.ID] = newPeer(m, now)
	}
	for id := range r.peers {
		if !containsID(members, id) {
			delete(r.peers, id)
		}
	}
}

func (r *Replica) tickLeader(now time.Duration) {
	if now >= r.nextBeat {
		r.broadcast(now)
	}
	lost := now > r.ledSince+LeaseDuration && now > r.leaseStart(now)+LeaseDuration+electionSpread
	if lost {
		r.becomeFollower(r.disk.Term, now)
		return
	}
	r.changeMembers(now)
}

// startBeat numbers the next heartbeat.
func (r *Replica) startBeat(now time.Duration) {
	r.beat++
	r.beats[r.beat] = now
	delete(r.beats, r.beat-beatsKept)
}

// broadcast sends a heartbeat to all.
func (r *Replica) broadcast(now time.Duration) {
	r.startBeat(now)
	r.nextBeat = now + HeartbeatInterval
	for _, id := range sortedIDs(r.peers) {
		r.sendAppend(r.peers[id], now)
	}
	for _, id := range sortedIDs(r.learners) {
		l := r.learners[id]
		if now > l.heard+learnerSilence {
			delete(r.learners, id)
			continue
		}
		r.sendAppend(l, now)
	}
}

// sortedIDs fixes the order in which peers are served, so that a run repeats.
func sortedIDs(peers map[string]*peer) []string { return slices.Sorted(maps.Keys(peers)) }

// sendAppend sends the newest heartbeat, with the newest entry where the peer lacks it. Only one entry is on its way to a
// peer at a time: over a link that is slower than the orders come, it gets those that are newest when the link is free.
func (r *Replica) sendAppend(p *peer, now time.Duration) {
	a := &wire.Append{Term: r.disk.Term, Leader: r.self.ID, LeaderIP: r.self.IP, Round: r.beat,
		Commit: r.committed.Position(), FreshRound: r.freshRound}
	if r.machine != nil {
		a.Time = r.clock.at(now)
	}
	newest := r.disk.Entry.Position()
	if p.received != newest && p.sentBeat == 0 {
		if a.Steps = r.stepsFrom(p.received); a.Steps == nil {
			a.Entry = r.wholeEntry()
		}
		p.sent, p.sentBeat = newest, r.beat
	}
	r.send(p.member, &wire.Message{Append: a})
}

// leaseStart is when the newest heartbeat was sent that a quorum has acknowledged.
func (r *Replica) leaseStart(now time.Duration) time.Duration {
	starts := []time.Duration{now}
	for _, p := range r.peers {
		starts = append(starts, p.ackedSent)
	}
	slices.Sort(starts)
	slices.Reverse(starts)
	for _, start := range starts {
		if Quorum(r.Members(), func(id string) bool { return id == r.self.ID || r.peers[id] != nil && r.peers[id].ackedSent >= start }) {
			return start
		}
	}
	return unreachableMark
}

func (r *Replica) onAppend(from wire.Member, a *wire.Append, now time.Duration) {
	if a.Term < r.disk.Term {
		r.send(from, &wire.Message{AppendReply: &wire.AppendReply{Term: r.disk.Term}})
		return
	}
	if a.Term > r.disk.Term || r.role != Follower {
		r.becomeFollower(a.Term, now)
	}
	r.leader, r.heardAt = wire.Member{ID: a.Leader, IP: a.LeaderIP}, now
	r.fresh, r.failed = false, 0
	if r.freshRound = a.FreshRound; r.freshTold[a.Leader] != a.FreshRound {
		r.freshRound = 0 // an earlier life of this process was asked, not this one
	}
	r.scheduleElection(now)
	r.clock.observe(a.Term, a.Time, now)
	r.followCommit(a) // of the entry before, where a stream of orders always brings the next one along
	if a.Entry != nil && r.disk.Entry.Position().Less(a.Entry.Position()) {
		r.takeWhole(a.Entry)
		r.followCommit(a)
	}
	for _, step := range a.Steps {
		r.takeStep(step)
		r.followCommit(a)
	}
	// The heartbeat needs no write; what is stored is told as it stands on disk.
	if r.termDurable() {
		r.send(from, r.appendReply(a.Round, r.durable))
	}
	if r.durable != r.disk.Entry.Position() && (a.Entry != nil || a.Steps != nil) || !r.termDurable() {
		r.sendAfterSave(from, r.appendReply(a.Round, r.disk.Entry.Position()))
	}
}

// followCommit takes the newest entry as committed where the leader says so: of that very entry, or of a later one of
// its own, as a leader makes its next entry only once the one before is committed.
func (r *Replica) followCommit(a *wire.Append) {
	at := r.disk.Entry.Position()
	ofThisLeader := at.Term == a.Term && a.Commit.Term == a.Term && !a.Commit.Less(at)
	if (at == a.Commit || ofThisLeader) && r.committed.Position().Less(at) {
		r.committed = r.disk.Entry
	}
}

func (r *Replica) appendReply(round uint64, stored Position) *wire.Message {
	return &wire.Message{AppendReply: &wire.AppendReply{Term: r.disk.Term, Round: round, Stored: stored,
		Received: r.disk.Entry.Position()}}
}

// onAppendReply takes a follower's word. It belongs to this leadership, as only one process leads a term, and that
// process leads it once; the round tells when the heartbeat was sent.
func (r *Replica) onAppendReply(from wire.Member, p *wire.AppendReply, now time.Duration) {
	if p.Term > r.disk.Term {
		r.becomeFollower(p.Term, now)
		return
	}
	if r.role != Leader || p.Term != r.disk.Term {
		return
	}
	other := r.peers[from.ID]
	if other == nil {
		other = r.learners[from.ID]
	}
	if other == nil {
		return
	}
	other.heard = now
	if sent, ok := r.beats[p.Round]; ok {
		other.ackedSent = max(other.ackedSent, sent)
	}
	other.received = p.Received
	if p.Round >= other.sentBeat {
		other.sentBeat = 0 // the entry has come, or was lost with its connection
	}
	if other.stored.Less(p.Stored) {
		other.stored, other.storedAt, other.lag = p.Stored, now, r.age(p.Stored, now)
		r.advanceCommit(now)
	}
	if r.role == Leader && other.sentBeat == 0 && other.received != r.disk.Entry.Position() {
		r.startBeat(now) // an answer to it is one to this entry
		r.sendAppend(other, now)
	}
}

// age is how long ago this leader made an entry; longer than any bound where that isn't known.
func (r *Replica) age(at Position, now time.Duration) time.Duration {
	made, ok := r.made[at.Index]
	if !ok || at.Term != r.disk.Term {
		return now - unreachableMark
	}
	return now - made
}

// advanceCommit commits the newest entry once a quorum has it on disk. A change of members that is due comes before
// whatever is proposed next.
func (r *Replica) advanceCommit(now time.Duration) {
	newest := r.disk.Entry.Position()
	if r.committed.Position() == newest || newest.Term != r.disk.Term {
		return
	}
	if !Quorum(r.Members(), func(id string) bool { return r.hasStored(id, newest) }) {
		return
	}
	r.committed = r.disk.Entry
	r.applyNewest()
	if !r.changeMembers(now) {
		r.broadcast(now)
	}
}

// hasStored says whether a member has an entry, or a newer one, on its disk.
func (r *Replica) hasStored(id string, at Position) bool {
	if id == r.self.ID {
		return !r.durable.Less(at)
	}
	return r.peers[id] != nil && !r.peers[id].stored.Less(at)
}
