package replica

import (
	"maps"
	"slices"
	"time"

	"ivybank/wire"
)

// maxTrackedHeartbeats is the number of newest heartbeats whose send time the leader remembers.
const maxTrackedHeartbeats = 1024

// maxTimedEntries is the number of newest entries whose creation time the leader remembers.
const maxTimedEntries = 64

// peer is what a leader knows of another replica.
type peer struct {
	member          wire.Member
	stored          Position      // on its disk
	received        Position      // in its memory, possibly not on disk yet
	ackedSentAt     time.Duration // when the newest heartbeat that it acknowledged was sent
	heard           time.Duration
	sent            Position // entry in flight to it
	sentInHeartbeat uint64   // heartbeat that carries that entry; 0 if none is in flight
	leavingAt       time.Duration
	storedAt        time.Duration // when it last acknowledged a newer entry on its disk
	lag             time.Duration // time from the creation of that entry to that acknowledgement
}

func newPeer(m wire.Member, now time.Duration) *peer {
	return &peer{member: m, ackedSentAt: neverHeard, heard: now, leavingAt: neverHeard, storedAt: neverHeard}
}

// refreshPeers keeps exactly one record for each other member.
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
	if now >= r.nextHeartbeat {
		r.broadcast(now)
	}
	lost := now > r.leaderSince+LeaseDuration && now > r.leaseStart(now)+LeaseDuration+maxElectionJitter
	if lost {
		r.becomeFollower(r.state.Term, now)
		return
	}
	r.changeMembers(now)
}

// startHeartbeat numbers the next heartbeat.
func (r *Replica) startHeartbeat(now time.Duration) {
	r.heartbeatNumber++
	r.heartbeatSentAt[r.heartbeatNumber] = now
	delete(r.heartbeatSentAt, r.heartbeatNumber-maxTrackedHeartbeats)
}

// broadcast sends a heartbeat to all members and learners.
func (r *Replica) broadcast(now time.Duration) {
	r.startHeartbeat(now)
	r.nextHeartbeat = now + HeartbeatInterval
	for _, id := range sortedIDs(r.peers) {
		r.sendAppend(r.peers[id], now)
	}
	for _, id := range sortedIDs(r.learners) {
		l := r.learners[id]
		if now > l.heard+maxLearnerSilence {
			delete(r.learners, id)
			continue
		}
		r.sendAppend(l, now)
	}
}

// sortedIDs fixes the order in which peers are served, so that simulation runs are repeatable.
func sortedIDs(peers map[string]*peer) []string { return slices.Sorted(maps.Keys(peers)) }

// sendAppend sends the newest heartbeat, with the newest entry if the peer lacks it. Only one entry is in flight to a
// peer at a time: if the link is slower than the rate of proposals, the peer gets whatever is newest once the link is
// free.
func (r *Replica) sendAppend(p *peer, now time.Duration) {
	a := &wire.Append{Term: r.state.Term, Leader: r.self.ID, LeaderIP: r.self.IP, Round: r.heartbeatNumber,
		Commit: r.committed.Position(), RestartRound: r.restartRound}
	if r.machine != nil {
		a.Time = r.clock.at(now)
	}
	newest := r.state.Entry.Position()
	if p.received != newest && p.sentInHeartbeat == 0 {
		if a.Steps = r.stepsFrom(p.received); a.Steps == nil {
			a.Entry = r.fullEntry()
		}
		p.sent, p.sentInHeartbeat = newest, r.heartbeatNumber
	}
	r.send(p.member, &wire.Message{Append: a})
}

// leaseStart returns the send time of the newest heartbeat that a quorum has acknowledged.
func (r *Replica) leaseStart(now time.Duration) time.Duration {
	starts := []time.Duration{now}
	for _, p := range r.peers {
		starts = append(starts, p.ackedSentAt)
	}
	slices.Sort(starts)
	slices.Reverse(starts)
	for _, start := range starts {
		if HasQuorum(r.Members(), func(id string) bool {
			return id == r.self.ID || r.peers[id] != nil && r.peers[id].ackedSentAt >= start
		}) {
			return start
		}
	}
	return neverHeard
}

func (r *Replica) onAppend(from wire.Member, a *wire.Append, now time.Duration) {
	if a.Term < r.state.Term {
		r.send(from, &wire.Message{AppendReply: &wire.AppendReply{Term: r.state.Term}})
		return
	}
	if a.Term > r.state.Term || r.role != Follower {
		r.becomeFollower(a.Term, now)
	}
	r.leader, r.leaderHeardAt = wire.Member{ID: a.Leader, IP: a.LeaderIP}, now
	r.justRestarted, r.failedElections = false, 0
	if r.restartRound = a.RestartRound; r.restartConfirmed[a.Leader] != a.RestartRound {
		r.restartRound = 0 // the confirmation was given by an earlier run of this process, not by this one
	}
	r.scheduleElection(now)
	r.clock.observe(a.Term, a.Time, now)
	r.followCommit(a) // commits the entry before, as under a steady stream each message carries the next entry
	if a.Entry != nil && r.state.Entry.Position().Less(a.Entry.Position()) {
		r.takeFull(a.Entry)
		r.followCommit(a)
	}
	for _, step := range a.Steps {
		r.takeStep(step)
		r.followCommit(a)
	}
	// The heartbeat is acknowledged without waiting for a write; Stored is what is on disk now.
	if r.termDurable() {
		r.send(from, r.appendReply(a.Round, r.durable))
	}
	if r.durable != r.state.Entry.Position() && (a.Entry != nil || a.Steps != nil) || !r.termDurable() {
		r.sendAfterSave(from, r.appendReply(a.Round, r.state.Entry.Position()))
	}
}

// followCommit marks the newest entry committed if the leader's commit position covers it: that very entry, or a
// later one of the same leader, as a leader makes its next entry only once the one before is committed.
func (r *Replica) followCommit(a *wire.Append) {
	at := r.state.Entry.Position()
	ofThisLeader := at.Term == a.Term && a.Commit.Term == a.Term && !a.Commit.Less(at)
	if (at == a.Commit || ofThisLeader) && r.committed.Position().Less(at) {
		r.committed = r.state.Entry
	}
}

func (r *Replica) appendReply(round uint64, stored Position) *wire.Message {
	return &wire.Message{AppendReply: &wire.AppendReply{Term: r.state.Term, Round: round, Stored: stored,
		Received: r.state.Entry.Position()}}
}

// onAppendReply processes a follower's acknowledgement. One with the current term belongs to this leadership, as only
// one process leads a term, and leads it only once; the round tells when the heartbeat was sent.
func (r *Replica) onAppendReply(from wire.Member, p *wire.AppendReply, now time.Duration) {
	if p.Term > r.state.Term {
		r.becomeFollower(p.Term, now)
		return
	}
	if r.role != Leader || p.Term != r.state.Term {
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
	if sent, ok := r.heartbeatSentAt[p.Round]; ok {
		other.ackedSentAt = max(other.ackedSentAt, sent)
	}
	other.received = p.Received
	if p.Round >= other.sentInHeartbeat {
		other.sentInHeartbeat = 0 // the entry has arrived, or was lost with its connection
	}
	if other.stored.Less(p.Stored) {
		other.stored, other.storedAt, other.lag = p.Stored, now, r.age(p.Stored, now)
		r.advanceCommit(now)
	}
	if r.role == Leader && other.sentInHeartbeat == 0 && other.received != r.state.Entry.Position() {
		r.startHeartbeat(now) // the reply to this heartbeat then acknowledges this entry
		r.sendAppend(other, now)
	}
}

// age returns how long ago this leader made an entry; if unknown, a value longer than any bound.
func (r *Replica) age(at Position, now time.Duration) time.Duration {
	madeAt, ok := r.madeAt[at.Index]
	if !ok || at.Term != r.state.Term {
		return now - neverHeard
	}
	return now - madeAt
}

// advanceCommit commits the newest entry once a quorum has it on disk. A pending membership change goes before
// whatever is proposed next.
func (r *Replica) advanceCommit(now time.Duration) {
	newest := r.state.Entry.Position()
	if r.committed.Position() == newest || newest.Term != r.state.Term {
		return
	}
	if !HasQuorum(r.Members(), func(id string) bool { return r.hasStored(id, newest) }) {
		return
	}
	r.committed = r.state.Entry
	r.applyNewest()
	if !r.changeMembers(now) {
		r.broadcast(now)
	}
}

// hasStored reports whether a member has an entry, or a newer one, on its disk.
func (r *Replica) hasStored(id string, at Position) bool {
	if id == r.self.ID {
		return !r.durable.Less(at)
	}
	return r.peers[id] != nil && !r.peers[id].stored.Less(at)
}
