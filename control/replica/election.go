package replica

import (
	"slices"
	"time"

	"ivybank/wire"
)

// startPreVote asks whether an election would be won, without disturbing a leader that others still hear.
func (r *Replica) startPreVote(now time.Duration) {
	r.role, r.leader = PreCandidate, wire.Member{}
	r.round = r.random.Uint64() | 1
	r.votes = map[string]bool{r.self.ID: now >= r.leaderHeardAt+LeaseDuration}
	r.restartVotes = map[string]bool{r.self.ID: r.justRestarted}
	r.scheduleElection(now)
	r.requestVotes(&wire.VoteRequest{Term: r.state.Term + 1, PreVote: true, Round: r.round})
	r.countVotes(now)
}

// startElection stands for leader in a new term. restartRound is the pre-vote round in which all members reported
// that they have just restarted, else 0; transfer says that the leader has given up its lease and asked for this
// election.
func (r *Replica) startElection(restartRound uint64, transfer bool, now time.Duration) {
	r.role, r.restartRound = Candidate, restartRound
	r.round = r.random.Uint64() | 1
	r.state.Term++
	r.state.VotedFor = r.self.ID
	r.requestSave(false, true)
	r.votes = map[string]bool{}
	r.scheduleElection(now)
	r.failedElections++ // reset if it wins
	r.requestVotes(&wire.VoteRequest{Term: r.state.Term, Round: r.round, RestartRound: restartRound, Transfer: transfer})
}

func (r *Replica) requestVotes(q *wire.VoteRequest) {
	last := r.state.Entry.Position()
	q.Candidate, q.LastTerm, q.LastIndex = r.self.ID, last.Term, last.Index
	for _, m := range r.Members() {
		if q.PreVote {
			r.send(m, &wire.Message{VoteRequest: q})
		} else if m.ID != r.self.ID {
			r.sendAfterSave(m, &wire.Message{VoteRequest: q})
		}
	}
}

// onVoteRequest answers a candidate. A learner votes too, because the newest entry, which names it a member, may not
// have reached it yet; the candidate only counts votes of its own members.
func (r *Replica) onVoteRequest(from wire.Member, q *wire.VoteRequest, now time.Duration) {
	reply := &wire.VoteReply{Term: r.state.Term, PreVote: q.PreVote, Round: q.Round}
	upToDate := !(Position{Term: q.LastTerm, Index: q.LastIndex}).Less(r.state.Entry.Position())
	willing := q.Term >= r.state.Term && upToDate
	if reply.Restarted = q.PreVote && r.justRestarted && willing && !r.hasPriorityOver(q); reply.Restarted {
		r.restartConfirmed[q.Candidate] = q.Round
		r.yieldElection(now)
	}
	if !willing || r.leaderHeard(now) && !r.noLeaseLeft(q) {
		r.send(from, &wire.Message{VoteReply: reply})
		return
	}
	if q.PreVote {
		reply.Granted = q.Term > r.state.Term
		if reply.Granted {
			reply.Term = q.Term
		}
		r.send(from, &wire.Message{VoteReply: reply})
		return
	}
	if q.Term > r.state.Term {
		r.becomeFollower(q.Term, now)
	}
	if r.state.VotedFor == "" {
		r.state.VotedFor = q.Candidate
		r.requestSave(false, true)
	}
	reply.Term = r.state.Term
	reply.Granted = r.state.VotedFor == q.Candidate && r.role == Follower
	if reply.Granted {
		r.scheduleElection(now)
	}
	r.sendAfterSave(from, &wire.Message{VoteReply: reply})
}

// hasPriorityOver reports whether this replica goes before a candidate when all members have just restarted. The one
// with the newest entry goes first, and among equals the one that comes first in the group's order. So only one
// candidate can collect the confirmation of all members, and two never stand against each other because of it. A
// replica whose disk doesn't keep up gives way.
func (r *Replica) hasPriorityOver(q *wire.VoteRequest) bool {
	if !r.IsMember() || r.leave.started || !r.termDurable() {
		return false
	}
	own, others := r.state.Entry.Position(), Position{Term: q.LastTerm, Index: q.LastIndex}
	return others.Less(own) || own == others && r.group.before(r.self.ID, q.Candidate)
}

// yieldElection lets another replica that has also just restarted stand first.
func (r *Replica) yieldElection(now time.Duration) {
	if r.role == Candidate {
		return
	}
	r.role = Follower
	r.yieldUntil = now + restartYieldTime
	r.electionAt = max(r.electionAt, r.yieldUntil+time.Duration(r.random.Int64N(int64(restartPollInterval))))
}

// PeerReachable reports that the replica at an address can now be asked and can answer. A replica that has just
// restarted immediately asks whether all members have, unless it is letting another one stand first.
func (r *Replica) PeerReachable(ip string, now time.Duration) {
	canStand := r.justRestarted && r.IsMember() && !r.leave.started && (r.role == Follower || r.role == PreCandidate)
	isMember := slices.ContainsFunc(r.Members(), func(m wire.Member) bool { return m.IP == ip })
	if canStand && isMember && now >= r.yieldUntil {
		r.startPreVote(now)
	}
}

// leaderHeard reports whether a leader may still rely on this replica electing no other leader.
func (r *Replica) leaderHeard(now time.Duration) bool {
	return now < r.leaderHeardAt+LeaseDuration || r.Leading(now)
}

// noLeaseLeft reports whether a vote request proves that no leader's lease is left: either the leader of the term
// before gave it up, or all members have restarted and this process has confirmed its own restart in that very round.
func (r *Replica) noLeaseLeft(q *wire.VoteRequest) bool {
	if q.Transfer && !q.PreVote && q.Term == r.state.Term+1 {
		return true
	}
	return q.RestartRound != 0 && r.justRestarted && r.restartConfirmed[q.Candidate] == q.RestartRound
}

func (r *Replica) onVoteReply(from wire.Member, p *wire.VoteReply, now time.Duration) {
	if p.Restarted && r.role == PreCandidate && p.Round == r.round {
		r.noteRestarted(from)
		r.countVotes(now)
	}
	if !p.Granted {
		if p.Term > r.state.Term {
			r.becomeFollower(p.Term, now)
		}
		return
	}
	preVoteCounts := p.PreVote && r.role == PreCandidate && p.Term == r.state.Term+1
	voteCounts := !p.PreVote && r.role == Candidate && p.Term == r.state.Term
	if p.Round == r.round && (preVoteCounts || voteCounts) {
		r.votes[from.ID] = true
		r.countVotes(now)
	}
}

func (r *Replica) countVotes(now time.Duration) {
	if r.role == Candidate && r.savedSequence >= r.sequence {
		r.votes[r.self.ID] = true // its own vote counts once it is on disk
	}
	won := HasQuorum(r.Members(), func(id string) bool { return r.votes[id] })
	switch {
	case r.role == PreCandidate && r.justRestarted && r.allRestarted():
		r.startElection(r.round, false, now)
	case r.role == PreCandidate && won:
		r.startElection(0, false, now)
	case r.role == Candidate && won:
		r.becomeLeader(now)
	}
}

// noteRestarted records that a replica has heard no leader since it started. A replica that is not a member but has a
// member's address is that member's machine after it lost its disk, so the member no longer exists.
func (r *Replica) noteRestarted(from wire.Member) {
	for _, m := range r.Members() {
		if m.ID == from.ID || m.IP == from.IP {
			r.restartVotes[m.ID] = true
		}
	}
}

// allRestarted reports whether all members have said that they heard no leader since they started. As a leader is
// itself a member, none is left that could rely on its lease.
func (r *Replica) allRestarted() bool {
	for _, m := range r.Members() {
		if !r.restartVotes[m.ID] {
			return false
		}
	}
	return true
}

func (r *Replica) becomeLeader(now time.Duration) {
	r.role, r.leader, r.leaderSince, r.justRestarted, r.failedElections = Leader, r.self, now, false, 0
	r.peers, r.heartbeatSentAt, r.madeAt = map[string]*peer{}, map[uint64]time.Duration{}, map[uint64]time.Duration{}
	r.nextHeartbeat = now
	if r.machine != nil {
		r.clock.raiseTo(r.state.Entry.Time, now)
		r.refreshPeers(now)
		for _, p := range r.peers {
			p.received = r.state.Entry.Position() // one that doesn't have it says so, and gets what it lacks
		}
	}
	// The existing entry is only committed by an entry of the leader's own term.
	r.appendUnchanged(r.state.Entry.Members, now)
}

// onTransfer starts an election at once, as the leader of this term has given up its lease.
func (r *Replica) onTransfer(from wire.Member, q *wire.Transfer, now time.Duration) {
	if q.Term == r.state.Term && r.role == Follower && r.leader.ID == from.ID && r.IsMember() && !r.leave.started {
		r.startElection(0, true, now)
	}
}
