package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/wire"
)

// maxRepairTime bounds the time from the start of a machine that lost its disk until it is a member again, without
// further faults.
const maxRepairTime = 2 * time.Second

// isSettledMember reports whether a node is in the newest committed entry and no membership change is in progress.
func (s *sim) isSettledMember(n *simNode) bool {
	leader := s.leader()
	if leader == nil || n.replica == nil {
		return false
	}
	committed := leader.replica.Committed()
	return containsID(committed.Members, n.member().ID) && len(committed.Members) == s.target
}

func TestWipedMemberReturnsInTimeAtAnyProposalRate(t *testing.T) {
	for _, every := range []int{1, 4, 10, 25, 1_000_000} {
		worst, changing := time.Duration(0), time.Duration(0)
		for seed := range uint64(30) {
			s := newCalmSim(t, seed)
			s.rate = every
			n := s.nodes[seed%3]
			s.wipe(n)
			n.downUntil = s.now + 300*time.Millisecond
			began := n.downUntil
			var changedAt time.Duration
			for !s.isSettledMember(n) {
				s.step()
				if leader := s.leader(); changedAt == 0 && leader != nil && len(leader.replica.Members()) < s.target {
					changedAt = s.now
				}
				assert.Assert(t, s.now < began+maxRepairTime, "seed %d, one proposal in %d steps: not a member after %v", seed, every, maxRepairTime)
			}
			worst, changing = max(worst, s.now-began), max(changing, s.now-changedAt)
		}
		t.Logf("one proposal in %d steps of 5 ms while idle: member again after %v at worst, membership change in progress for %v", every, worst, changing)
	}
}

func TestWipedMemberReturnsInTimeWithASlowDisk(t *testing.T) {
	for seed := range uint64(30) {
		s := newCalmSim(t, seed)
		n := s.nodes[seed%3]
		s.wipe(n)
		n.downUntil = s.now + 300*time.Millisecond
		began := n.downUntil
		for !s.isSettledMember(n) {
			s.step()
			if n.writing != nil {
				n.doneAt = max(n.doneAt, n.started+400*time.Millisecond) // delay its first writes
			}
			assert.Assert(t, s.now < began+maxRepairTime, "seed %d", seed)
		}
	}
}

func TestCutOffMemberThatWasReplacedComesBack(t *testing.T) {
	worst := time.Duration(0)
	for seed := range uint64(20) {
		s := newSimWithSpares(t, seed, 3, 1)
		s.fastDisks = true
		s.rate = 1 + int(seed%4)*10
		s.runUntil(3 * time.Second)
		var cutOff *simNode
		for _, n := range s.nodes[:3] {
			if n.replica.Role() != Leader {
				cutOff = n
			}
		}
		s.isolateFor(cutOff, 20*time.Second)
		s.runUntil(22 * time.Second)
		assert.Assert(t, !containsID(s.members, cutOff.member().ID), "seed %d: it was not replaced", seed)
		assert.Equal(t, len(s.members), 3)
		s.runUntil(23 * time.Second)
		heard := s.now
		for s.leader() == nil || s.leader().replica.learners[cutOff.member().ID] == nil {
			s.step()
			assert.Assert(t, s.now < heard+time.Second, "seed %d: not taken in as a learner", seed)
		}
		for cutOff.replica.IsMember() {
			s.step()
			assert.Assert(t, s.now < heard+time.Second, "seed %d: it does not know that it was removed", seed)
		}
		worst = max(worst, s.now-heard)
		// It becomes a member again as soon as another one is gone.
		other := s.nodes[slices.IndexFunc(s.nodes, func(n *simNode) bool { return n != cutOff && n != s.leader() })]
		s.stop(other)
		other.downUntil = s.now + time.Hour
		gone := s.now
		for !containsID(s.members, cutOff.member().ID) {
			s.step()
			assert.Assert(t, s.now < gone+simMemberTimeout+maxRepairTime, "seed %d: it does not take the place of another one", seed)
		}
	}
	t.Logf("a replaced member knows of its removal and is a learner %v after it was heard at worst", worst)
}

func TestMemberIsNotReplacedForAShortSilence(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimWithSpares(t, seed, 3, 1)
		s.fastDisks = true
		s.runUntil(3 * time.Second)
		before := s.members
		n := s.nodes[seed%3]
		s.isolateFor(n, simMemberTimeout-LeaseDuration-maxElectionJitter)
		s.runUntil(s.now + 5*time.Second)
		assert.DeepEqual(t, s.members, before)
	}
}

func TestLeavingLeaderHandsOver(t *testing.T) {
	for seed := range uint64(30) {
		s := newCalmSim(t, seed)
		leader := s.leader()
		began := s.now
		s.leave(leader)
		leader.downUntil = began + time.Hour
		for leader.replica != nil && !leader.replica.LeaveDone() {
			s.step()
		}
		assert.Assert(t, s.now < began+time.Second, "seed %d: it leaves after %v", seed, s.now-began)
		assert.Assert(t, s.leader() != nil && s.leader() != leader, "seed %d: another one leads by then", seed)
		stored := 0
		for _, n := range s.nodes {
			if n != leader && !n.disk.Entry.Position().Less(s.ackedAt) {
				stored++
			}
		}
		assert.Assert(t, stored >= 1) // the new leader's commit is on both
		leader.downUntil = s.now + time.Hour
	}
}

func TestLeavingLeaderHandsOverToOneThatStays(t *testing.T) {
	for seed := range uint64(30) {
		s := newCalmSim(t, seed)
		leader := s.leader()
		var other *simNode
		for _, n := range s.nodes {
			if n != leader {
				other = n
			}
		}
		other.replica.StartLeaving(s.now) // it has announced its departure but keeps running for a while
		for !leader.replica.peers[other.member().ID].isLeaving(s.now) {
			s.step()
		}
		began := s.now
		s.leave(leader)
		for s.leader() == nil || s.leader() == leader {
			s.step()
			assert.Assert(t, s.now < began+LeaseDuration, "seed %d: nobody leads after %v", seed, s.now-began)
		}
		assert.Assert(t, s.leader() != other)
	}
}

// When a member is allowed to leave, everything acknowledged so far is on a majority of the others, so losing its
// disk and one more loses nothing that was acknowledged.
func TestLeavingMemberWaitsForRemainingMembers(t *testing.T) {
	waited := 0
	for seed := range uint64(60) {
		s := newSim(t, seed, 5)
		s.fastDisks = true
		s.runUntil(2 * time.Second)
		var leaver *simNode
		lagging := 0
		for _, n := range s.nodes {
			switch {
			case n.replica.Role() == Leader:
			case leaver == nil:
				leaver = n
			case lagging < 2:
				lagging++
				n.stalled = s.now + 700*time.Millisecond // the leader commits with the leaver and one other
			}
		}
		s.runUntil(s.now + 100*time.Millisecond)
		began := s.now
		s.leave(leaver)
		acked := s.ackedAt
		for !leaver.replica.LeaveDone() {
			s.step()
			assert.Assert(t, s.now < leaver.leaveBy, "seed %d: it was never allowed to leave", seed)
		}
		have := 0
		for _, n := range s.nodes {
			if n != leaver && !n.disk.Entry.Position().Less(acked) {
				have++
			}
		}
		assert.Assert(t, have > 2, "seed %d: %d of four have what was acknowledged", seed, have)
		if s.now-began > 300*time.Millisecond {
			waited++
		}
	}
	assert.Assert(t, waited > 30, "only %d had to wait: the condition under test did not occur", waited)
}

func TestPlannedReplacementAddsTheNewMachineFirst(t *testing.T) {
	for seed := range uint64(30) {
		s := newSimWithSpares(t, seed, 3, 1)
		s.fastDisks = true
		s.runUntil(3 * time.Second)
		leaver, least := s.nodes[seed%3], 3
		s.leave(leaver)
		leaver.downUntil = s.now + time.Hour
		for containsID(s.members, leaver.member().ID) || len(s.members) != 3 {
			s.step()
			least = min(least, len(s.members))
			assert.Assert(t, s.now < leaver.leaveBy, "seed %d: still a member", seed)
		}
		assert.Equal(t, least, 3)
	}
}

// Over a link that needs as long for one entry as three proposals take, a follower gets the entries that are newest
// whenever the link is free; no more than one waits for it.
func TestSlowLinkCarriesOneEntryAtATime(t *testing.T) {
	s := newCalmSim(t, 3)
	var slow *simNode
	for _, n := range s.nodes {
		if n != s.leader() {
			slow = n
		}
	}
	const carries = 300 * time.Millisecond
	freeAt, most := s.now, 0
	seen := map[*wire.Message]bool{}
	before, lastStored, gap := slow.disk.Entry.Position(), s.now, time.Duration(0)
	for end := s.now + 10*time.Second; s.now < end; {
		s.rate = 10
		s.step()
		waiting := 0
		for i, m := range s.messages {
			if m.to != slow.ip || m.body.Append == nil {
				continue
			}
			if m.body.Append.Entry != nil {
				waiting++
				if !seen[m.body] {
					seen[m.body] = true
					freeAt = max(freeAt, s.now) + carries
				}
			}
			s.messages[i].due = max(m.due, freeAt) // everything else queues behind it
		}
		most = max(most, waiting)
		if at := slow.disk.Entry.Position(); before.Less(at) {
			gap = max(gap, s.now-lastStored)
			before, lastStored = at, s.now
		}
	}
	assert.Assert(t, most <= 2, "%d entries in flight at once", most)
	assert.Assert(t, gap < 4*carries, "%v between entries that it stored", gap)
	assert.Assert(t, s.leader() != nil)
	s.idle = true
	s.runUntil(s.now + 2*time.Second)
	assert.Equal(t, slow.replica.Committed().Position(), s.ackedAt)
}

// Under a steady stream of proposals, in which each entry carries the commit of the one before, followers know what
// is committed.
func TestFollowersKnowWhatIsCommittedUnderAStream(t *testing.T) {
	s := newCalmSim(t, 5)
	for range 400 {
		s.step()
		for _, n := range s.nodes {
			behind := versionOf([]byte(s.acked)) - versionOf(n.replica.Committed().Value)
			assert.Assert(t, behind <= 8, "%s is %d acknowledged proposals behind", n.ip, behind)
		}
	}
}

func TestManyProposalsWhileOneReplicaIsDown(t *testing.T) {
	for seed := range uint64(10) {
		s := newCalmSim(t, seed)
		away := s.nodes[seed%3]
		s.stop(away)
		away.downUntil = s.now + time.Hour
		for had := s.commits; s.commits < had+1000; {
			s.step()
		}
		away.downUntil = s.now
		began := s.now
		for away.replica == nil || away.replica.Committed().Position().Less(s.ackedAt) {
			s.step()
			assert.Assert(t, s.now < began+time.Second, "seed %d: not caught up", seed)
			for _, n := range s.nodes {
				if n.replica != nil {
					assert.Assert(t, len(n.replica.heartbeatSentAt) <= maxTrackedHeartbeats && len(n.replica.madeAt) <= maxTimedEntries+1)
				}
			}
		}
	}
}

// A reply to an earlier pre-vote round says nothing about the present: the replica that gave it may have become
// leader since.
func TestLateRestartConfirmationDoesNotCount(t *testing.T) {
	now := time.Duration(0)
	group := GroupConfig{TargetSize: 3, MemberTimeout: simMemberTimeout}
	var members []wire.Member
	for i := range 3 {
		ip := fmt.Sprintf("10.0.0.%d", i+1)
		members = append(members, wire.Member{ID: ip, IP: ip})
	}
	s := newSim(t, 1, 3)
	r := New(members[0], group, PersistentState{Entry: FoundingEntry(members, nil)}, s.random, now)
	r.startPreVote(now)
	first := r.round
	now += 300 * time.Millisecond
	r.startPreVote(now)
	for _, m := range members[1:] {
		r.Receive(m, &wire.Message{VoteReply: &wire.VoteReply{PreVote: true, Restarted: true, Round: first}}, now)
	}
	assert.Equal(t, r.Role(), PreCandidate)
	for _, m := range members[1:] {
		r.Receive(m, &wire.Message{VoteReply: &wire.VoteReply{PreVote: true, Restarted: true, Round: r.round}}, now)
	}
	assert.Equal(t, r.Role(), Candidate)
}

// A member that restarts after the others had confirmed that all had restarted only grants its vote on a confirmation
// that it gave in its current run.
func TestRestartConfirmationOfAnEarlierRunDoesNotCount(t *testing.T) {
	s := newSim(t, 1, 3)
	members := s.members
	group := GroupConfig{TargetSize: 3, MemberTimeout: simMemberTimeout}
	asked := New(members[1], group, PersistentState{Entry: FoundingEntry(members, nil)}, s.random, 0)
	ask := &wire.VoteRequest{Term: 1, Candidate: members[0].ID, LastIndex: 1, PreVote: true, Round: 77}
	asked.Receive(members[0], &wire.Message{VoteRequest: ask}, 0)
	assert.Assert(t, asked.TakeMessages()[0].Message.VoteReply.Restarted)
	stand := &wire.VoteRequest{Term: 1, Candidate: members[0].ID, LastIndex: 1, Round: 78, RestartRound: 77}
	heartbeat := &wire.Message{Append: &wire.Append{Term: 1, Leader: members[0].ID, Round: 1, RestartRound: 77}}

	restarted := New(members[1], group, PersistentState{Entry: FoundingEntry(members, nil)}, s.random, 0)
	restarted.Receive(members[0], &wire.Message{VoteRequest: stand}, 0)
	assert.Assert(t, !restarted.TakeMessages()[0].Message.VoteReply.Granted)
	restarted.Receive(members[0], heartbeat, 0)
	assert.Assert(t, !restarted.AllRestarted(), "leases granted in its earlier run may be in force")

	asked.Receive(members[0], &wire.Message{VoteRequest: stand}, 0)
	asked.Saved(asked.TakeSave(), 0)
	assert.Assert(t, asked.TakeMessages()[0].Message.VoteReply.Granted)
	asked.Receive(members[0], heartbeat, 0)
	assert.Assert(t, asked.AllRestarted())
}

// A process that has granted or held a lease since it started doesn't count as just restarted.
func TestLeaseParticipationEndsTheJustRestartedState(t *testing.T) {
	s := newSim(t, 1, 3)
	r := s.nodes[0].replica
	r.NoteLeaseParticipation()
	ask := &wire.VoteRequest{Term: 1, Candidate: s.members[1].ID, LastIndex: 1, PreVote: true, Round: 9}
	r.Receive(s.members[1], &wire.Message{VoteRequest: ask}, 0)
	assert.Assert(t, !r.TakeMessages()[0].Message.VoteReply.Restarted)
}

// A follower that has heard no leader for as long as an election takes reports none.
func TestFollowerForgetsALeaderThatIsSilent(t *testing.T) {
	s := newCalmSim(t, 2)
	for _, n := range s.nodes {
		if n.replica.Role() != Leader {
			assert.Assert(t, n.replica.Leader(s.now).ID != "")
			assert.Assert(t, n.replica.Leader(s.now+LeaseDuration+2*maxElectionJitter).ID == "")
		}
	}
}
