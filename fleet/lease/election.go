package lease

// This file holds the election of a limit's owner. A voter promises the limit to one candidate at a time, for a fixed
// duration from its answer. A candidate with the promises of a majority is the owner for the same duration from when it
// asked, so that its own period ends first. A candidate first asks who would promise (a pre-vote), so that one that
// receives no answers collects no promises. A voter must never promise while another promise may be valid, one of its
// earlier incarnation included, and there must never be two owners at once.

import (
	"math/bits"
	"slices"
)

const (
	candidacyStagger = 100 * ms // between the campaigns of voters of neighbouring rank
	candidacyTimeout = 300 * ms // after which a candidate without a majority gives up
)

// vote is the promise that this member has given as a voter.
type vote struct {
	silentUntil          int64  // by Member.elapsed: until then promises of an earlier incarnation may be valid
	highestTerm          uint64 // of all vote requests
	candidate            int
	candidateIncarnation uint64
	term                 uint64
	expires              int64 // by Member.elapsed
}

// candidacy is this member's own campaign for ownership.
type candidacy struct {
	active      bool
	prevotes    uint64 // bit set of the voters that would promise
	term        uint64 // unique together with this member's incarnation
	highestTerm uint64
	round       uint64  // of vote requests; 0: pre-vote
	sentAt      int64   // of the latest round, by the clock
	promisedAt  []int64 // by voter: when the request that it answered with a promise was sent
	startedAt   int64   // by Member.elapsed
	nextAt      int64   // of the next round or campaign, by Member.elapsed
}

// handleVoteRequest answers a candidate.
func (m *Member) handleVoteRequest(l *limitState, from int, incarnation uint64, it Item) {
	v := &l.vote
	if m.cfg.Index >= m.cfg.Voters || from >= m.cfg.Voters || m.elapsed < v.silentUntil {
		return
	}
	if it.Term < v.highestTerm || m.elapsed < v.expires && (v.candidate != from || v.candidateIncarnation != incarnation) {
		m.send(from, l, Item{Kind: VoteRefusal, Term: v.highestTerm})
		return
	}
	if it.Seq == 0 {
		if l.candidacy.active && from != m.cfg.Index { // both campaign: the one of lower rank goes on
			if l.rank[from] > l.rank[m.cfg.Index] {
				m.send(from, l, Item{Kind: VoteRefusal, Term: v.highestTerm})
				return
			}
			m.stepDown(l)
		}
		m.send(from, l, Item{Kind: Vote, Term: it.Term, Epoch: incarnation})
		return
	}
	v.highestTerm, v.candidate, v.candidateIncarnation, v.term, v.expires =
		it.Term, from, incarnation, it.Term, m.elapsed+m.worstCaseDuration(l.ownershipDuration())
	m.send(from, l, Item{Kind: Vote, Term: it.Term, Epoch: incarnation, Seq: it.Seq})
}

// release ends a promise that its candidate has returned.
func (v *vote) release(from int, incarnation, term uint64) {
	if v.candidate == from && v.candidateIncarnation == incarnation && v.term == term {
		v.expires = 0
	}
}

// handleVote counts a promise or the answer to a pre-vote.
func (m *Member) handleVote(l *limitState, from int, it Item, now int64) {
	c := &l.candidacy
	if !c.active || it.Term != c.term || it.Epoch != m.cfg.Incarnation || it.Seq != c.round || from >= m.cfg.Voters {
		m.Drops.Unsolicited++
		return
	}
	if c.round == 0 {
		if c.prevotes |= 1 << from; bits.OnesCount64(c.prevotes) > m.cfg.Voters/2 {
			m.requestVotes(l, now)
		}
		return
	}
	if l.ownership != nil && !m.owns(l, now) { // another member may have been the owner since
		m.stepDown(l)
		return
	}
	c.promisedAt[from] = c.sentAt
	if l.ownership == nil && now < m.ownershipEnd(l) {
		l.ownership = newOwnership(c.term, m.cfg.Members, m.elapsed+m.worstCaseDuration(l.LeaseDuration)+m.maxOverrun(l))
	}
}

// ownershipEnd is when this member's ownership expires, by the clock; never if it has no majority.
func (m *Member) ownershipEnd(l *limitState) int64 {
	if !l.candidacy.active {
		return never
	}
	sorted := slices.Sorted(slices.Values(l.candidacy.promisedAt))
	if sentAt := sorted[len(sorted)-(m.cfg.Voters/2+1)]; sentAt != never {
		return sentAt + l.ownershipDuration()
	}
	return never
}

const never = int64(-1 << 62)

// owns reports whether this member is the owner now.
func (m *Member) owns(l *limitState, now int64) bool {
	return l.ownership != nil && now < m.ownershipEnd(l)
}

// campaign runs for ownership of a limit that seems to have no owner, and renews an ownership.
func (m *Member) campaign(l *limitState, now int64) {
	c, v := &l.candidacy, &l.vote
	if m.cfg.Index >= m.cfg.Voters {
		return
	}
	switch {
	case c.active && l.ownership != nil && !m.owns(l, now),
		c.active && l.ownership == nil && m.elapsed-c.startedAt > candidacyTimeout:
		m.stepDown(l)
		return
	case c.active:
	case m.elapsed < v.silentUntil:
		return
	case m.elapsed < v.expires: // promised to another candidate
		c.nextAt = v.expires + m.candidacyDelay(l)
		return
	case m.elapsed < c.nextAt:
		return
	default:
		c.active, c.startedAt, c.round, c.prevotes = true, m.elapsed, 0, 0
		c.term = (max(v.highestTerm, c.highestTerm)>>6+1)<<6 | uint64(m.cfg.Index)
		c.promisedAt = slices.Repeat([]int64{never}, m.cfg.Voters)
		m.sendToVoters(l, Item{Kind: VoteRequest, Term: c.term})
		return
	}
	if l.ownership != nil {
		m.announce(l)
	}
	if c.round > 0 && m.elapsed >= c.nextAt {
		m.requestVotes(l, now)
	}
}

// requestVotes asks the voters for promises, at first and to renew them.
func (m *Member) requestVotes(l *limitState, now int64) {
	c := &l.candidacy
	c.round++
	c.sentAt, c.nextAt = now, m.elapsed+l.ownershipDuration()/4
	m.sendToVoters(l, Item{Kind: VoteRequest, Term: c.term, Seq: c.round})
}

// sendToVoters sends an item to all voters.
func (m *Member) sendToVoters(l *limitState, it Item) {
	for i := range m.cfg.Voters {
		m.send(i, l, it)
	}
}

// stepDown ends a candidacy or ownership: from then on it grants nothing.
func (m *Member) stepDown(l *limitState) {
	c := &l.candidacy
	if !c.active {
		return
	}
	l.ownership, c.active = nil, false
	c.nextAt = m.elapsed + candidacyStagger + m.candidacyDelay(l) + int64(m.random.Next()*float64(2*candidacyStagger))
	m.sendToVoters(l, Item{Kind: VoteRelease, Term: c.term})
}
