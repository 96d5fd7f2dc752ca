package replica

import (
	"slices"
	"time"

	"ivybank/wire"
)

// Members change one at a time, and only on top of a committed entry of the leader's own term: so any majority of the
// members before shares one with any majority after (Ongaro 2014, section 4). An entry's own members decide on it.
//
// A member whose machine has come back without its disk is dropped before the new identity is taken in: it can't vote
// again, and the smaller group needs no one that the larger one didn't. A member that is only silent, or leaves, may
// come back with its disk: then the other machine is taken in first, so that its disk counts in between.

const (
	learnerSilence = 1500 * time.Millisecond // after which a learner is forgotten
	heardLately    = 2*HeartbeatInterval + 40*time.Millisecond
	readyLag       = 500 * time.Millisecond // within which a learner that is ready stores what is new
	readyMemory    = time.Second            // for which that holds
	leaveMemory    = 3 * time.Second        // for which a member that told of leaving is one, unless it is heard again
	leaveInterval  = 60 * time.Millisecond  // between its requests
)

// changeMembers makes the entry of the change of members that is due, and reports whether there was one.
func (r *Replica) changeMembers(now time.Duration) bool {
	if r.leave.started || !r.Leading(now) || r.Uncommitted() {
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
	if len(members) > r.group.Target {
		return without(members, r.surplusMember(now)), true
	}
	wanted := len(members) < r.group.Target || r.replaceableMember(now) != ""
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

// wipedMember gives a member at whose address another identity has been heard: that machine without its disk.
func (r *Replica) wipedMember(now time.Duration) string {
	for _, id := range sortedIDs(r.learners) {
		l := r.learners[id]
		if l.stored.Term != r.disk.Term || now > l.heard+heardLately {
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

// replaceableMember gives the member that is about to stop, else the one that has been silent for longest and long
// enough; "" for none.
func (r *Replica) replaceableMember(now time.Duration) string {
	gone, since := "", now
	for _, id := range sortedIDs(r.peers) {
		p := r.peers[id]
		if p.leaves(now) {
			return id
		}
		if now >= p.heard+r.group.MemberSilence && p.heard < since {
			gone, since = id, p.heard
		}
	}
	return gone
}

// surplusMember gives the member that has to go where there is one too many: the one that was to be replaced, else the
// one that was taken in last.
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

// leaves says whether a member has told that it is about to stop, and wasn't heard anew since.
func (p *peer) leaves(now time.Duration) bool {
	return now < p.leavingAt+leaveMemory && p.heard < p.leavingAt+readyLag
}

// readyLearner gives a learner that may become a member. Where its vote will be needed for a majority that could do
// without it now, it has to be up to date.
func (r *Replica) readyLearner(now time.Duration) *peer {
	raisesMajority := len(r.Members())%2 == 1
	for _, id := range sortedIDs(r.learners) {
		l := r.learners[id]
		if now > l.heard+heardLately || l.stored.Term != r.disk.Term {
			continue
		}
		upToDate := l.stored == r.disk.Entry.Position() || now < l.storedAt+readyMemory && l.lag < readyLag
		if upToDate || !raisesMajority {
			return l
		}
	}
	return nil
}

// Learners gives those that a leader feeds so that they can become members.
func (r *Replica) Learners() []wire.Member {
	var all []wire.Member
	for _, id := range sortedIDs(r.learners) {
		all = append(all, r.learners[id].member)
	}
	return all
}

// onJoinRequest takes in a learner, or notes that a member is about to stop.
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
		r.startBeat(now)
		r.sendAppend(l, now)
	}
	l.heard = now
}

// onLeaving lets a member stop once a majority of those that stay has all that was acknowledged on disk, and no machine
// that could take its place is still to be taken in.
func (r *Replica) onLeaving(from wire.Member, now time.Duration) {
	if p := r.peers[from.ID]; p != nil {
		p.leavingAt = now
		if r.readyLearner(now) != nil || !r.staySafely(from.ID) {
			return
		}
	}
	if !r.Leading(now) {
		return // it may not know yet what was acknowledged
	}
	r.send(from, &wire.Message{LeaveReply: &wire.LeaveReply{Term: r.disk.Term}})
}

// staySafely says whether a majority of the members without one has what was acknowledged.
func (r *Replica) staySafely(leaver string) bool {
	at := r.committed.Position()
	return Quorum(without(r.Members(), leaver), func(id string) bool { return r.hasStored(id, at) })
}

// leaveState is how far this replica is in stopping.
type leaveState struct {
	started  bool
	done     bool
	nextAsk  time.Duration
	handedTo wire.Member // it gave its lease to this one,
	handedIn uint64      // as the leader of this term; 0 for never
}

// StartLeaving tells that this process is about to stop. It no longer stands for leader; as one it hands over.
func (r *Replica) StartLeaving(now time.Duration) {
	r.leave.started, r.leave.nextAsk = true, now
	r.tickLeave(now)
}

// LeaveDone says whether a leader has answered that this process may stop.
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
	if r.leave.handedIn != 0 && r.leave.handedIn == r.disk.Term && leader.ID == "" && now >= r.leave.nextAsk {
		r.sendTransfer(now) // the one before may be lost: nobody has stood yet
		return
	}
	if leader.ID == "" || now < r.leave.nextAsk {
		return
	}
	r.leave.nextAsk = now + leaveInterval
	r.send(leader, &wire.Message{JoinRequest: &wire.JoinRequest{Member: r.self, Leaving: true}})
}

// handOver gives the lease up once a majority of the others has the newest entry, and has the one of them that was heard
// last, and doesn't leave too, stand at once.
func (r *Replica) handOver(now time.Duration) {
	if len(r.Members()) == 1 {
		r.leave.done = true
		return
	}
	if r.Uncommitted() || !r.staySafely(r.self.ID) {
		return
	}
	var next *peer
	for _, id := range sortedIDs(r.peers) {
		p := r.peers[id]
		if p.stored == r.disk.Entry.Position() && !p.leaves(now) && (next == nil || p.heard > next.heard) {
			next = p
		}
	}
	if next == nil {
		return
	}
	r.becomeFollower(r.disk.Term, now)
	r.leave.handedTo, r.leave.handedIn = next.member, r.disk.Term
	r.sendTransfer(now)
}

// sendTransfer has the member that the lease was given to stand at once.
func (r *Replica) sendTransfer(now time.Duration) {
	r.leave.nextAsk = now + leaveInterval
	r.send(r.leave.handedTo, &wire.Message{Transfer: &wire.Transfer{Term: r.leave.handedIn}})
}

func (r *Replica) onLeaveReply(from wire.Member, p *wire.LeaveReply) {
	if r.leave.started && p.Term == r.disk.Term && from.ID == r.leader.ID {
		r.leave.done = true
	}
}
