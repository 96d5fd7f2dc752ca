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
	r.votes = map[string]bool{r.self.ID: now >= r.heardAt+LeaseDuration}
	r.freshVotes = map[string]bool{r.self.ID: r.fresh}
	r.scheduleElection(now)
	r.requestVotes(&wire.VoteRequest{Term: r.disk.Term + 1, PreVote: true, Round: r.round})
	r.countVotes(now)
}

// startElection stands in a new term. freshRound is that of the pre-vote in which all members told that they had just
// restarted, else 0; transfer says that the leader has given its lease up and asked for the election.
func (r *Replica) startElection(freshRound uint64, transfer bool, now time.Duration) {
	r.role, r.freshRound = Candidate, freshRound
	r.round = r.random.Uint64() | 1
	r.disk.Term++
	r.disk.VotedFor = r.self.ID
	r.requestSave(false, true)
	r.votes = map[string]bool{}
	r.scheduleElection(now)
	r.failed++ // unless it wins
	r.requestVotes(&wire.VoteRequest{Term: r.disk.Term, Round: r.round, FreshRound: freshRound, Transfer: transfer})
}

func (r *Replica) requestVotes(q *wire.VoteRequest) {
	last := r.disk.Entry.Position()
	q.Candidate, q.LastTerm, q.LastIndex = r.self.ID, last.Term, last.Index
	for _, m := range r.Members() {
		if q.PreVote {
			r.send(m, &wire.Message{VoteRequest: q})
		} else if m.ID != r.self.ID {
			r.sendAfterSave(m, &wire.Message{VoteRequest: q})
		}
	}
}

// onVoteRequest answers a candidate. A learner votes too, as the newest entry, which names it a member, may not have
// reached it; the candidate counts the votes of its own members alone.
func (r *Replica) onVoteRequest(from wire.Member, q *wire.VoteRequest, now time.Duration) {
	reply := &wire.VoteReply{Term: r.disk.Term, PreVote: q.PreVote, Round: q.Round}
	upToDate := !(Position{Term: q.LastTerm, Index: q.LastIndex}).Less(r.disk.Entry.Position())
	willing := q.Term >= r.disk.Term && upToDate
	if reply.Fresh = q.PreVote && r.fresh && willing && !r.standsBefore(q); reply.Fresh {
		r.freshTold[q.Candidate] = q.Round
		r.yieldTo(now)
	}
	if !willing || r.leaderHeard(now) && !r.leaseIsOver(q) {
		r.send(from, &wire.Message{VoteReply: reply})
		return
	}
	if q.PreVote {
		reply.Granted = q.Term > r.disk.Term
		if reply.Granted {
			reply.Term = q.Term
		}
		r.send(from, &wire.Message{VoteReply: reply})
		return
	}
	if q.Term > r.disk.Term {
		r.becomeFollower(q.Term, now)
	}
	if r.disk.VotedFor == "" {
		r.disk.VotedFor = q.Candidate
		r.requestSave(false, true)
	}
	reply.Term = r.disk.Term
	reply.Granted = r.disk.VotedFor == q.Candidate && r.role == Follower
	if reply.Granted {
		r.scheduleElection(now)
	}
	r.sendAfterSave(from, &wire.Message{VoteReply: reply})
}

// standsBefore says whether this replica comes before a candidate where all members have just restarted: the one with the
// newest entry does, and among equals the one that comes first in the group's order. So only one can get the word of all that they
// have, and two never stand against each other on its strength. One whose disk doesn't keep up leaves its place to others.
func (r *Replica) standsBefore(q *wire.VoteRequest) bool {
	if !r.IsMember() || r.leave.started || !r.termDurable() {
		return false
	}
	own, others := r.disk.Entry.Position(), Position{Term: q.LastTerm, Index: q.LastIndex}
	return others.Less(own) || own == others && r.group.before(r.self.ID, q.Candidate)
}

// yieldTo lets another replica that has also just restarted stand first.
func (r *Replica) yieldTo(now time.Duration) {
	if r.role == Candidate {
		return
	}
	r.role = Follower
	r.yieldUntil = now + freshYield
	r.electAt = max(r.electAt, r.yieldUntil+time.Duration(r.random.Int64N(int64(freshInterval))))
}

// PeerReachable tells that the replica at an address can be asked and can answer from now on. One that has just restarted
// asks at once whether all members have, unless it lets another one stand first.
func (r *Replica) PeerReachable(ip string, now time.Duration) {
	canStand := r.fresh && r.IsMember() && !r.leave.started && (r.role == Follower || r.role == PreCandidate)
	isMember := slices.ContainsFunc(r.Members(), func(m wire.Member) bool { return m.IP == ip })
	if canStand && isMember && now >= r.yieldUntil {
		r.startPreVote(now)
	}
}

// leaderHeard says whether a leader may count on this replica's word that it elects no other one.
func (r *Replica) leaderHeard(now time.Duration) bool {
	return now < r.heardAt+LeaseDuration || r.Leading(now)
}

// leaseIsOver says whether a request for a vote shows that no lease of a leader is left: the leader of the term before
// gave it up, or all members have restarted, and this life of this one has said so in that very round.
func (r *Replica) leaseIsOver(q *wire.VoteRequest) bool {
	if q.Transfer && !q.PreVote && q.Term == r.disk.Term+1 {
		return true
	}
	return q.FreshRound != 0 && r.fresh && r.freshTold[q.Candidate] == q.FreshRound
}

func (r *Replica) onVoteReply(from wire.Member, p *wire.VoteReply, now time.Duration) {
	if p.Fresh && r.role == PreCandidate && p.Round == r.round {
		r.noteFresh(from)
		r.countVotes(now)
	}
	if !p.Granted {
		if p.Term > r.disk.Term {
			r.becomeFollower(p.Term, now)
		}
		return
	}
	preVoteCounts := p.PreVote && r.role == PreCandidate && p.Term == r.disk.Term+1
	voteCounts := !p.PreVote && r.role == Candidate && p.Term == r.disk.Term
	if p.Round == r.round && (preVoteCounts || voteCounts) {
		r.votes[from.ID] = true
		r.countVotes(now)
	}
}

func (r *Replica) countVotes(now time.Duration) {
	if r.role == Candidate && r.saved >= r.sequence {
		r.votes[r.self.ID] = true // the own vote counts once it is on disk
	}
	won := Quorum(r.Members(), func(id string) bool { return r.votes[id] })
	switch {
	case r.role == PreCandidate && r.fresh && r.allRestarted():
		r.startElection(r.round, false, now)
	case r.role == PreCandidate && won:
		r.startElection(0, false, now)
	case r.role == Candidate && won:
		r.becomeLeader(now)
	}
}

// noteFresh takes a replica's word that it has heard no leader since it started. One that is no member, at a member's
// address, is that machine without its disk: the member is no more.
func (r *Replica) noteFresh(from wire.Member) {
	for _, m := range r.Members() {
		if m.ID == from.ID || m.IP == from.IP {
			r.freshVotes[m.ID] = true
		}
	}
}

// allRestarted says whether all members have told that they heard no leader since they started. A leader is a member:
// so none is left that could still count on its lease.
func (r *Replica) allRestarted() bool {
	for _, m := range r.Members() {
		if !r.freshVotes[m.ID] {
			return false
		}
	}
	return true
}

func (r *Replica) becomeLeader(now time.Duration) {
	r.role, r.leader, r.ledSince, r.fresh, r.failed = Leader, r.self, now, false, 0
	r.peers, r.beats, r.made = map[string]*peer{}, map[uint64]time.Duration{}, map[uint64]time.Duration{}
	r.nextBeat = now
	if r.machine != nil {
		r.clock.reach(r.disk.Entry.Time, now)
		r.refreshPeers(now)
		for _, p := range r.peers {
			p.received = r.disk.Entry.Position() // most have it; one that hasn't says so, and gets what it lacks
		}
	}
	// What it holds is committed only by an entry of its own term.
	r.appendUnchanged(r.disk.Entry.Members, now)
}

// onTransfer stands at once, as the leader of this term has given its lease up.
func (r *Replica) onTransfer(from wire.Member, q *wire.Transfer, now time.Duration) {
	if q.Term == r.disk.Term && r.role == Follower && r.leader.ID == from.ID && r.IsMember() && !r.leave.started {
		r.startElection(0, true, now)
	}
}
