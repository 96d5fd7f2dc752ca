package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/wire"
)

// repairBound is within what a machine that lost its disk is a member again once it runs, without further faults.
const repairBound = 2 * time.Second

// settledMember says whether a node counts in the newest committed entry, and no change of members is under way.
func (s *sim) settledMember(n *simNode) bool {
	leader := s.leader()
	if leader == nil || n.replica == nil {
		return false
	}
	committed := leader.replica.Committed()
	return containsID(committed.Members, n.member().ID) && len(committed.Members) == s.target
}

func TestWipedMemberIsBackInTimeUnderAnyStreamOfOrders(t *testing.T) {
	for _, every := range []int{1, 4, 10, 25, 1_000_000} {
		worst, joint := time.Duration(0), time.Duration(0)
		for seed := range uint64(30) {
			s := calmSim(t, seed)
			s.rate = every
			n := s.nodes[seed%3]
			s.wipe(n)
			n.downTil = s.now + 300*time.Millisecond
			began := n.downTil
			var changedAt time.Duration
			for !s.settledMember(n) {
				s.step()
				if leader := s.leader(); changedAt == 0 && leader != nil && len(leader.replica.Members()) < s.target {
					changedAt = s.now
				}
				assert.Assert(t, s.now < began+repairBound, "seed %d, one order in %d steps: no member after %v", seed, every, repairBound)
			}
			worst, joint = max(worst, s.now-began), max(joint, s.now-changedAt)
		}
		t.Logf("one order in %d steps of 5 ms while idle: member again after %v at worst, the group changing for %v", every, worst, joint)
	}
}

func TestWipedMemberIsBackInTimeWithASlowDisk(t *testing.T) {
	for seed := range uint64(30) {
		s := calmSim(t, seed)
		n := s.nodes[seed%3]
		s.wipe(n)
		n.downTil = s.now + 300*time.Millisecond
		began := n.downTil
		for !s.settledMember(n) {
			s.step()
			if n.writing != nil {
				n.doneAt = max(n.doneAt, n.started+400*time.Millisecond) // its first writes
			}
			assert.Assert(t, s.now < began+repairBound, "seed %d", seed)
		}
	}
}

func TestCutOffMemberThatWasReplacedComesBack(t *testing.T) {
	worst := time.Duration(0)
	for seed := range uint64(20) {
		s := newSimWithSpares(t, seed, 3, 1)
		s.calmDisk = true
		s.rate = 1 + int(seed%4)*10
		s.playUntil(3 * time.Second)
		var cutOff *simNode
		for _, n := range s.nodes[:3] {
			if n.replica.Role() != Leader {
				cutOff = n
			}
		}
		s.isolateFor(cutOff, 20*time.Second)
		s.playUntil(22 * time.Second)
		assert.Assert(t, !containsID(s.members, cutOff.member().ID), "seed %d: it was not replaced", seed)
		assert.Equal(t, len(s.members), 3)
		s.playUntil(23 * time.Second)
		heard := s.now
		for s.leader() == nil || s.leader().replica.learners[cutOff.member().ID] == nil {
			s.step()
			assert.Assert(t, s.now < heard+time.Second, "seed %d: not taken in as a learner", seed)
		}
		for cutOff.replica.IsMember() {
			s.step()
			assert.Assert(t, s.now < heard+time.Second, "seed %d: it does not know that it is no member", seed)
		}
		worst = max(worst, s.now-heard)
		// And it counts again as soon as another one is gone.
		other := s.nodes[slices.IndexFunc(s.nodes, func(n *simNode) bool { return n != cutOff && n != s.leader() })]
		s.stop(other)
		other.downTil = s.now + time.Hour
		gone := s.now
		for !containsID(s.members, cutOff.member().ID) {
			s.step()
			assert.Assert(t, s.now < gone+simSilence+repairBound, "seed %d: it does not take the place of another one", seed)
		}
	}
	t.Logf("a replaced member knows it and learns %v after it was heard at worst", worst)
}

func TestMemberIsNotReplacedForAShortSilence(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimWithSpares(t, seed, 3, 1)
		s.calmDisk = true
		s.playUntil(3 * time.Second)
		before := s.members
		n := s.nodes[seed%3]
		s.isolateFor(n, simSilence-LeaseDuration-electionSpread)
		s.playUntil(s.now + 5*time.Second)
		assert.DeepEqual(t, s.members, before)
	}
}

func TestLeavingLeaderHandsOver(t *testing.T) {
	for seed := range uint64(30) {
		s := calmSim(t, seed)
		leader := s.leader()
		began := s.now
		s.leave(leader)
		leader.downTil = began + time.Hour
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
		assert.Assert(t, stored >= 1) // the new leader's commit stands on both
		leader.downTil = s.now + time.Hour
	}
}

func TestLeavingLeaderHandsOverToOneThatStays(t *testing.T) {
	for seed := range uint64(30) {
		s := calmSim(t, seed)
		leader := s.leader()
		var other *simNode
		for _, n := range s.nodes {
			if n != leader {
				other = n
			}
		}
		other.replica.StartLeaving(s.now) // and it is still there for a while
		for !leader.replica.peers[other.member().ID].leaves(s.now) {
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

// What a member held when it was let go stands on a majority of the others: the loss of its disk and of another one
// loses nothing that was acknowledged.
func TestLeavingMemberWaitsForThoseThatStay(t *testing.T) {
	waited := 0
	for seed := range uint64(60) {
		s := newSim(t, seed, 5)
		s.calmDisk = true
		s.playUntil(2 * time.Second)
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
		s.playUntil(s.now + 100*time.Millisecond)
		began := s.now
		s.leave(leaver)
		acked := s.ackedAt
		for !leaver.replica.LeaveDone() {
			s.step()
			assert.Assert(t, s.now < leaver.leaveBy, "seed %d: it was never let go", seed)
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
	assert.Assert(t, waited > 30, "only %d had to wait: the trouble was not brought about", waited)
}

func TestPlannedReplacementTakesTheNewMachineInFirst(t *testing.T) {
	for seed := range uint64(30) {
		s := newSimWithSpares(t, seed, 3, 1)
		s.calmDisk = true
		s.playUntil(3 * time.Second)
		leaver, least := s.nodes[seed%3], 3
		s.leave(leaver)
		leaver.downTil = s.now + time.Hour
		for containsID(s.members, leaver.member().ID) || len(s.members) != 3 {
			s.step()
			least = min(least, len(s.members))
			assert.Assert(t, s.now < leaver.leaveBy, "seed %d: still a member", seed)
		}
		assert.Equal(t, least, 3)
	}
}

// Over a link that carries one entry in the time in which three come, a follower gets those that are newest when the
// link is free; no more than one waits for it.
func TestSlowLinkCarriesOneEntryAtATime(t *testing.T) {
	s := calmSim(t, 3)
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
			s.messages[i].due = max(m.due, freeAt) // all else waits behind it
		}
		most = max(most, waiting)
		if at := slow.disk.Entry.Position(); before.Less(at) {
			gap = max(gap, s.now-lastStored)
			before, lastStored = at, s.now
		}
	}
	assert.Assert(t, most <= 2, "%d entries on the way at once", most)
	assert.Assert(t, gap < 4*carries, "%v between entries that it stored", gap)
	assert.Assert(t, s.leader() != nil)
	s.idle = true
	s.playUntil(s.now + 2*time.Second)
	assert.Equal(t, slow.replica.Committed().Position(), s.ackedAt)
}

// Under a stream in which each entry brings the commit of the one before, followers know what is committed.
func TestFollowersKnowWhatIsCommittedUnderAStream(t *testing.T) {
	s := calmSim(t, 5)
	for range 400 {
		s.step()
		for _, n := range s.nodes {
			behind := versionOf([]byte(s.acked)) - versionOf(n.replica.Committed().Value)
			assert.Assert(t, behind <= 8, "%s knows %d orders less than were acknowledged", n.ip, behind)
		}
	}
}

func TestManyOrdersWhileOneIsAway(t *testing.T) {
	for seed := range uint64(10) {
		s := calmSim(t, seed)
		away := s.nodes[seed%3]
		s.stop(away)
		away.downTil = s.now + time.Hour
		for had := s.commits; s.commits < had+1000; {
			s.step()
		}
		away.downTil = s.now
		began := s.now
		for away.replica == nil || away.replica.Committed().Position().Less(s.ackedAt) {
			s.step()
			assert.Assert(t, s.now < began+time.Second, "seed %d: not caught up", seed)
			for _, n := range s.nodes {
				if n.replica != nil {
					assert.Assert(t, len(n.replica.beats) <= beatsKept && len(n.replica.made) <= entriesTimed+1)
				}
			}
		}
	}
}

// The answer to a pre-vote of an earlier round says nothing of now: the one that gave it may lead since.
func TestLateWordOfARestartDoesNotCount(t *testing.T) {
	now := time.Duration(0)
	group := Group{Target: 3, MemberSilence: simSilence}
	var members []wire.Member
	for i := range 3 {
		ip := fmt.Sprintf("10.0.0.%d", i+1)
		members = append(members, wire.Member{ID: ip, IP: ip})
	}
	s := newSim(t, 1, 3)
	r := New(members[0], group, Disk{Entry: Found(members, nil)}, s.random, now)
	r.startPreVote(now)
	first := r.round
	now += 300 * time.Millisecond
	r.startPreVote(now)
	for _, m := range members[1:] {
		r.Receive(m, &wire.Message{VoteReply: &wire.VoteReply{PreVote: true, Fresh: true, Round: first}}, now)
	}
	assert.Equal(t, r.Role(), PreCandidate)
	for _, m := range members[1:] {
		r.Receive(m, &wire.Message{VoteReply: &wire.VoteReply{PreVote: true, Fresh: true, Round: r.round}}, now)
	}
	assert.Equal(t, r.Role(), Candidate)
}

// A member that has restarted after the others had told that they all did grants its vote by its own word alone.
func TestWordOfAnEarlierLifeDoesNotCount(t *testing.T) {
	s := newSim(t, 1, 3)
	members := s.members
	group := Group{Target: 3, MemberSilence: simSilence}
	asked := New(members[1], group, Disk{Entry: Found(members, nil)}, s.random, 0)
	ask := &wire.VoteRequest{Term: 1, Candidate: members[0].ID, LastIndex: 1, PreVote: true, Round: 77}
	asked.Receive(members[0], &wire.Message{VoteRequest: ask}, 0)
	assert.Assert(t, asked.TakeMessages()[0].Message.VoteReply.Fresh)
	stand := &wire.VoteRequest{Term: 1, Candidate: members[0].ID, LastIndex: 1, Round: 78, FreshRound: 77}
	heartbeat := &wire.Message{Append: &wire.Append{Term: 1, Leader: members[0].ID, Round: 1, FreshRound: 77}}

	restarted := New(members[1], group, Disk{Entry: Found(members, nil)}, s.random, 0)
	restarted.Receive(members[0], &wire.Message{VoteRequest: stand}, 0)
	assert.Assert(t, !restarted.TakeMessages()[0].Message.VoteReply.Granted)
	restarted.Receive(members[0], heartbeat, 0)
	assert.Assert(t, !restarted.AllRestarted(), "leases of its earlier life may be in force")

	asked.Receive(members[0], &wire.Message{VoteRequest: stand}, 0)
	asked.Saved(asked.TakeSave(), 0)
	assert.Assert(t, asked.TakeMessages()[0].Message.VoteReply.Granted)
	asked.Receive(members[0], heartbeat, 0)
	assert.Assert(t, asked.AllRestarted())
}

// A process that has granted or held a lease since it started doesn't count as one that has just restarted.
func TestLeaseSinceTheStartEndsTheRestart(t *testing.T) {
	s := newSim(t, 1, 3)
	r := s.nodes[0].replica
	r.JoinedLease()
	ask := &wire.VoteRequest{Term: 1, Candidate: s.members[1].ID, LastIndex: 1, PreVote: true, Round: 9}
	r.Receive(s.members[1], &wire.Message{VoteRequest: ask}, 0)
	assert.Assert(t, !r.TakeMessages()[0].Message.VoteReply.Fresh)
}

// A follower that has heard no leader for as long as an election takes names none.
func TestFollowerForgetsALeaderThatIsSilent(t *testing.T) {
	s := calmSim(t, 2)
	for _, n := range s.nodes {
		if n.replica.Role() != Leader {
			assert.Assert(t, n.replica.Leader(s.now).ID != "")
			assert.Assert(t, n.replica.Leader(s.now+LeaseDuration+2*electionSpread).ID == "")
		}
	}
}
