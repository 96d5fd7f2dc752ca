// Package lease implements leases of named resources that a majority of a group grants. Granting needs no disk: a
// member that has just started, or whose group has just changed, grants nothing new for as long as a lease can last.
// Time is passed in from a steady clock; messages are passed in and out.
package lease

import (
	"time"

	"ivybank/wire"
)

// Parameters of a lease. The holder counts Duration from when it sent the request, and stops Margin early.
const (
	Duration      = 600 * time.Millisecond
	Margin        = 100 * time.Millisecond
	RenewInterval = 150 * time.Millisecond
	// saltBits is the number of low bits of a fencing number that distinguish holders whose members had forgotten the
	// last number.
	saltBits = 16
	// firstRenewal is the time from winning the lease to its first renewal: by then members may be able to confirm a
	// long tenure.
	firstRenewal = 30 * time.Millisecond
	// rankDelay is how much longer a candidate waits for a free resource than the one ranked before it.
	rankDelay = 150 * time.Millisecond
)

type grant struct {
	holder  string
	term    uint64
	since   time.Duration
	expires time.Duration
}

// Granter is the granting side of a member.
type Granter struct {
	grants            map[string]*grant
	noNewHolderBefore time.Duration
	tenures           tenures
}

// NewGranter returns a granter that has just started. A tenure is long once it reaches span; long lists the resources
// with a long tenure according to the member's disk.
func NewGranter(span time.Duration, long []string, now time.Duration) *Granter {
	return &Granter{grants: map[string]*grant{}, noNewHolderBefore: now + Duration, tenures: newTenures(span, long)}
}

// Pause refuses new holders for as long as a lease that others granted may last.
func (g *Granter) Pause(now time.Duration) { g.noNewHolderBefore = now + Duration }

// Resume ends a pause. The caller knows that nothing granted before can be in force.
func (g *Granter) Resume(now time.Duration) { g.noNewHolderBefore = min(g.noNewHolderBefore, now) }

// HandleRequest decides on a request from a member of the group.
func (g *Granter) HandleRequest(q *wire.LeaseRequest, now time.Duration) *wire.LeaseReply {
	held := g.grants[q.Resource]
	if held == nil {
		held = &grant{}
		g.grants[q.Resource] = held
	}
	reply := &wire.LeaseReply{Resource: q.Resource, Round: q.Round, Incarnation: q.Incarnation}
	same := held.holder == q.Holder && held.term == q.Term
	switch {
	case q.Release:
		if same {
			held.expires = now
		}
	case same && now < held.expires:
		held.expires, reply.Granted = now+Duration, true
		g.tenures.renew(q.Resource, now-held.since)
	case held.holder == q.Holder && q.Term > held.term && now < held.expires,
		now >= held.expires && now >= g.noNewHolderBefore && q.Term > held.term:
		*held, reply.Granted = grant{holder: q.Holder, term: q.Term, since: now, expires: now + Duration}, true
		g.tenures.begin(q.Resource)
	}
	reply.Term, reply.ConfirmsLongTenure = held.term, reply.Granted && g.tenures.confirms(q.Resource)
	return reply
}

// Refuse replies to a request without granting it, whoever holds the resource.
func (g *Granter) Refuse(q *wire.LeaseRequest) *wire.LeaseReply {
	reply := &wire.LeaseReply{Resource: q.Resource, Round: q.Round, Incarnation: q.Incarnation}
	if held := g.grants[q.Resource]; held != nil {
		reply.Term = held.term
	}
	return reply
}

// HeldByOther reports whether this member has granted the resource to another member.
func (g *Granter) HeldByOther(resource, self string, now time.Duration) bool {
	held := g.grants[resource]
	return held != nil && held.holder != self && now < held.expires
}

// QuorumFunc reports whether the members for which has returns true are a quorum of the group.
type QuorumFunc func(has func(id string) bool) bool

// Holder is the side of a member that wants or holds one resource.
type Holder struct {
	resource      string
	self          string
	incarnation   uint64 // incarnation of the process, carried by requests and echoed by replies
	salt          uint64
	rank          int // 0 for the member that should hold it
	term          uint64
	highestTerm   uint64 // highest fencing number that any member has reported
	termFloor     uint64 // fencing number that the holder has to reach
	holding       bool
	requesting    bool // a round is in progress that hasn't been won
	heldUntil     time.Duration
	round         uint64
	requestedAt   time.Duration
	nextRequestAt time.Duration
	granted       map[string]bool
	confirmedBy   map[string]bool // members that confirmed a long tenure for this term
	freeSince     time.Duration   // since when the resource seems free; base of the delay by rank
}

// NewHolder returns the holder side of one candidate in one incarnation of its process. Incarnation numbers are
// random, so they differ, and so do the low bits of fencing numbers, which are taken from them.
func NewHolder(resource, self string, incarnation uint64, now time.Duration) *Holder {
	return &Holder{resource: resource, self: self, incarnation: incarnation, salt: incarnation & (1<<saltBits - 1),
		nextRequestAt: now, freeSince: now}
}

// SetRank sets the number of members that are preferred to this one.
func (h *Holder) SetRank(rank int) { h.rank = rank }

// Holds reports whether the lease is held at now.
func (h *Holder) Holds(now time.Duration) bool { return h.holding && now < h.heldUntil }

// Term is the fencing number under which the lease is or was held.
func (h *Holder) Term() uint64 { return h.term }

// RaiseTermFloor makes later fencing numbers higher than this one, also while the lease is held.
func (h *Holder) RaiseTermFloor(term uint64) { h.termFloor = max(h.termFloor, term) }

// Tick returns the request to send to all members, or nil. heldByOther says whether this member has itself granted
// the resource to another one.
func (h *Holder) Tick(heldByOther bool, now time.Duration) *wire.LeaseRequest {
	h.lapse(now)
	if heldByOther {
		h.freeSince = now
	}
	if now < h.nextRequestAt {
		return nil
	}
	if h.requesting && !h.holding {
		return h.abandonRound(now)
	}
	if !h.holding && now < h.freeSince+time.Duration(h.rank)*rankDelay {
		return nil
	}
	if !h.holding || h.term < h.termFloor {
		h.term = (max(h.highestTerm, h.termFloor)>>saltBits+1)<<saltBits | h.salt
		h.highestTerm = h.term
		h.confirmedBy = map[string]bool{}
	}
	h.requesting = true
	h.round++
	h.requestedAt, h.nextRequestAt, h.granted = now, now+RenewInterval, map[string]bool{}
	return &wire.LeaseRequest{Resource: h.resource, Holder: h.self, Term: h.term, Round: h.round, Incarnation: h.incarnation}
}

// lapse ends a lease that has expired.
func (h *Holder) lapse(now time.Duration) {
	if h.holding && now >= h.heldUntil {
		h.holding, h.requesting, h.freeSince = false, false, now
	}
}

// HandleReply processes a member's reply. It returns false for a reply to an earlier incarnation of this process,
// which it drops. A lapsed lease is not revived by a late reply: what was kept under its fencing number is gone.
func (h *Holder) HandleReply(from string, p *wire.LeaseReply, hasQuorum QuorumFunc, now time.Duration) bool {
	if p.Incarnation != h.incarnation {
		return false
	}
	h.highestTerm = max(h.highestTerm, p.Term)
	h.lapse(now)
	if p.Round != h.round || p.Term != h.term || !p.Granted || !h.requesting && !h.holding {
		return true
	}
	h.granted[from] = true
	if p.ConfirmsLongTenure {
		h.confirmedBy[from] = true
	}
	if hasQuorum(func(id string) bool { return h.granted[id] }) {
		if !h.holding {
			h.nextRequestAt = min(h.nextRequestAt, now+firstRenewal)
		}
		h.holding, h.requesting, h.heldUntil = true, false, h.requestedAt+Duration-Margin
	}
	return true
}

// FollowsLongTenure reports whether a quorum confirms that the previous holder had a long tenure and that no other
// recent holder has followed a long tenure.
func (h *Holder) FollowsLongTenure(hasQuorum QuorumFunc) bool {
	return hasQuorum(func(id string) bool { return h.confirmedBy[id] })
}

// abandonRound releases what members granted in a round that wasn't won, so that another candidate may win.
func (h *Holder) abandonRound(now time.Duration) *wire.LeaseRequest {
	h.requesting, h.freeSince, h.nextRequestAt = false, now, now+RenewInterval
	return &wire.LeaseRequest{Resource: h.resource, Holder: h.self, Term: h.term, Round: h.round,
		Incarnation: h.incarnation, Release: true}
}

// RetryNow makes the next request due immediately, because members may now grant what they refused before.
func (h *Holder) RetryNow(now time.Duration) {
	if !h.holding {
		h.requesting, h.freeSince, h.nextRequestAt = false, now, now
	}
}

// Release gives up the lease and returns the request that tells the members; nil if the lease is not held.
func (h *Holder) Release(now time.Duration) *wire.LeaseRequest {
	if !h.Holds(now) {
		return nil
	}
	h.holding, h.requesting, h.nextRequestAt = false, false, now+Duration // replies in flight don't count
	return &wire.LeaseRequest{Resource: h.resource, Holder: h.self, Term: h.term, Round: h.round,
		Incarnation: h.incarnation, Release: true}
}

// Resource returns the name of the leased resource.
func (h *Holder) Resource() string { return h.resource }
