package replica

import (
	"slices"
	"time"

	"ivybank/wire"
)

// Members change one at a time, and only on top of a committed entry of the leader's own term, so any majority of the
// old members shares a member with any majority of the new ones (Ongaro 2014, section 4). An entry is decided on by
// its own members.
//
// A member whose machine has come back without its disk is removed before its new identity is added: the old identity
// can't vote again, and the smaller group needs no one that the larger one didn't. A member that is only silent, or
// is leaving, may come back with its disk: then its replacement is added first, so that its disk counts in the
// meantime.

const (
	// maxLearnerSilence is the time without a message after which a learner is dropped.
	maxLearnerSilence = 1500 * time.Millisecond
	// maxContactAge is the time since the last message within which a learner counts as reachable.
	maxContactAge = 2*HeartbeatInterval + 40*time.Millisecond
	// maxReadyLag is the time within which a learner has to store a new entry to count as ready.
	maxReadyLag = 500 * time.Millisecond
	// readyValidity is how long such a measurement is valid.
	readyValidity = time.Second
	// leavingValidity is how long a leave request marks a member as leaving, unless the member is heard from again.
	leavingValidity = 3 * time.Second
	// leaveRetryInterval is the time between leave requests of one replica.
	leaveRetryInterval = 60 * time.Millisecond
)

// changeMembers makes the entry for a pending membership change, and reports whether there was one.
func (r *Replica) changeMembers(now time.Duration) bool {
	if r.leave.started || !r.Leading(now) || r.HasUncommitted() {
		return false
	}
	next, due := r.nextMembers(now)
	if due {
		r.appendUnchanged(next, now)
	}
	return due
}

// nextMembers decides on the next change by one member.
func (r *Replica) nextMembers(now time.Duration) ([]wire.Member, bool) {
	members := r.Members()
	if gone := r.wipedMember(now); gone != "" {
		return without(members, gone), true
	}
	if len(members) > r.group.TargetSize {
		return without(members, r.surplusMember(now)), true
	}
	wanted := len(members) < r.group.TargetSize || r.replaceableMember(now) != ""
	if !wanted {
		return nil, false
	}
	ready := r.readyLearner(now)
	if ready == nil {
		return nil, false
	}
	return append(slices.Clone(members), ready.member), true
}

func without(members []wire.Member, id string) []wire.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m wire.Member) bool { return m.ID == id })
}

// wipedMember returns the ID of a member at whose address another identity has been heard, which is the same machine
// after it lost its disk; "" if there is none.
func (r *Replica) wipedMember(now time.Duration) string {
	for _, id := range sortedIDs(r.learners) {
		l := r.learners[id]
		if l.stored.Term != r.state.Term || now > l.heard+maxContactAge {
			continue
		}
		for _, m := range r.Members() {
			if m.IP == l.member.IP && m.ID != r.self.ID {
				return m.ID
			}
		}
	}
	return ""
}

// replaceableMember returns the ID of a member that is leaving, else of the one that has been silent the longest if
// that exceeds the member timeout; "" if there is none.
func (r *Replica) replaceableMember(now time.Duration) string {
	gone, since := "", now
	for _, id := range sortedIDs(r.peers) {
		p := r.peers[id]
		if p.isLeaving(now) {
			return id
		}
		if now >= p.heard+r.group.MemberTimeout && p.heard < since {
			gone, since = id, p.heard
		}
	}
	return gone
}

// surplusMember returns the ID of the member to remove when there is one too many: the replaceable one, else the one
// added last.
func (r *Replica) surplusMember(now time.Duration) string {
	if id := r.replaceableMember(now); id != "" {
		return id
	}
	members := r.Members()
	for i := len(members) - 1; i >= 0; i-- {
		if members[i].ID != r.self.ID {
			return members[i].ID
		}
	}
	return ""
}

// isLeaving reports whether a member has announced that it is about to stop, and has not been heard from since.
func (p *peer) isLeaving(now time.Duration) bool {
	return now < p.leavingAt+leavingValidity && p.heard < p.leavingAt+maxReadyLag
}

// readyLearner returns a learner that may become a member. If adding it raises the size of a majority, its vote will
// be needed, so it has to be up to date.
func (r *Replica) readyLearner(now time.Duration) *peer {
	raisesMajority := len(r.Members())%2 == 1
	for _, id := range sortedIDs(r.learners) {
		l := r.learners[id]
		if now > l.heard+maxContactAge || l.stored.Term != r.state.Term {
			continue
		}
		upToDate := l.stored == r.state.Entry.Position() || now < l.storedAt+readyValidity && l.lag < maxReadyLag
		if upToDate || !raisesMajority {
			return l
		}
	}
	return nil
}

// Learners returns the replicas that the leader replicates to so that they can become members.
func (r *Replica) Learners() []wire.Member {
	var all []wire.Member
	for _, id := range sortedIDs(r.learners) {
		all = append(all, r.learners[id].member)
	}
	return all
}

// onJoinRequest adds a learner, or notes that a member is about to stop.
func (r *Replica) onJoinRequest(from wire.Member, q *wire.JoinRequest, now time.Duration) {
	if r.role != Leader || from.ID != q.Member.ID || from.ID == r.self.ID {
		return
	}
	if q.Leaving {
		r.onLeaving(from, now)
		return
	}
	if r.peers[from.ID] != nil {
		return
	}
	l := r.learners[from.ID]
	if l == nil {
		l = newPeer(q.Member, now)
		r.learners[from.ID] = l
		r.startHeartbeat(now)
		r.sendAppend(l, now)
	}
	l.heard = now
}

// onLeaving lets a member stop once a majority of the remaining members has everything acknowledged on disk, and no
// learner is ready to be added in its place.
func (r *Replica) onLeaving(from wire.Member, now time.Duration) {
	if p := r.peers[from.ID]; p != nil {
		p.leavingAt = now
		if r.readyLearner(now) != nil || !r.safeWithout(from.ID) {
			return
		}
	}
	if !r.Leading(now) {
		return // a leader without a lease may not know everything that was acknowledged
	}
	r.send(from, &wire.Message{LeaveReply: &wire.LeaveReply{Term: r.state.Term}})
}

// safeWithout reports whether a majority of the other members has everything that was acknowledged on disk.
func (r *Replica) safeWithout(leaver string) bool {
	at := r.committed.Position()
	return HasQuorum(without(r.Members(), leaver), func(id string) bool { return r.hasStored(id, at) })
}

// leaveState is the progress of this replica's own departure.
type leaveState struct {
	started        bool
	done           bool
	nextRequestAt  time.Duration
	transferTarget wire.Member // member that this replica handed its lease to
	transferTerm   uint64      // term in which it did so as leader; 0 for never
}

// StartLeaving announces that this process is about to stop. It no longer stands for leader; if it leads, it hands
// over.
func (r *Replica) StartLeaving(now time.Duration) {
	r.leave.started, r.leave.nextRequestAt = true, now
	r.tickLeave(now)
}

// LeaveDone reports whether this process may stop, by a leader's answer.
func (r *Replica) LeaveDone() bool { return r.leave.done }

func (r *Replica) tickLeave(now time.Duration) {
	if !r.leave.started || r.leave.done {
		return
	}
	if r.role == Leader {
		r.handOver(now)
		return
	}
	leader := r.Leader(now)
	if r.leave.transferTerm != 0 && r.leave.transferTerm == r.state.Term && leader.ID == "" && now >= r.leave.nextRequestAt {
		r.sendTransfer(now) // no one has stood for leader yet, so the previous message may be lost
		return
	}
	if leader.ID == "" || now < r.leave.nextRequestAt {
		return
	}
	r.leave.nextRequestAt = now + leaveRetryInterval
	r.send(leader, &wire.Message{JoinRequest: &wire.JoinRequest{Member: r.self, Leaving: true}})
}

// handOver gives up the lease once a majority of the others has the newest entry, and tells one of those that have it
// to start an election at once: the most recently heard one that isn't leaving too.
func (r *Replica) handOver(now time.Duration) {
	if len(r.Members()) == 1 {
		r.leave.done = true
		return
	}
	if r.HasUncommitted() || !r.safeWithout(r.self.ID) {
		return
	}
	var next *peer
	for _, id := range sortedIDs(r.peers) {
		p := r.peers[id]
		if p.stored == r.state.Entry.Position() && !p.isLeaving(now) && (next == nil || p.heard > next.heard) {
			next = p
		}
	}
	if next == nil {
		return
	}
	r.becomeFollower(r.state.Term, now)
	r.leave.transferTarget, r.leave.transferTerm = next.member, r.state.Term
	r.sendTransfer(now)
}

// sendTransfer tells the chosen member to start an election at once.
func (r *Replica) sendTransfer(now time.Duration) {
	r.leave.nextRequestAt = now + leaveRetryInterval
	r.send(r.leave.transferTarget, &wire.Message{Transfer: &wire.Transfer{Term: r.leave.transferTerm}})
}

func (r *Replica) onLeaveReply(from wire.Member, p *wire.LeaveReply) {
	if r.leave.started && p.Term == r.state.Term && from.ID == r.leader.ID {
		r.leave.done = true
	}
}
