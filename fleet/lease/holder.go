package lease

// This file holds a member's side of the leases: what it holds of each limit and requests. A lease counts from
// when it was requested, and only the answer to the latest request is accepted. A member must never use a unit
// past its lease, nor report that it holds less than it may use.

const (
	renewalsPerLease     = 8      // requests in the duration of a lease
	fastRenewalsPerLease = 20     // the same while the demand changes
	minRequestGap        = 5 * ms // per member of the fleet: without faults an owner answers 200 requests a second
	maxUnanswered        = 2      // requests without an answer after which other voters are asked for the owner
)

// holder is this member's lease of one limit, and its demand.
type holder struct {
	owner         int // index of the member; -1: unknown
	term, epoch   uint64
	requestSeq    uint64
	sentAt        int64 // of the latest request, by the clock
	pending       bool  // the latest request has no answer yet
	unanswered    int   // requests since the latest answer
	sentAtElapsed int64 // of the latest request, by Member.elapsed
	renewNow      bool  // the next request is due at once
	requested     int   // want in the latest request
	units         int
	expires       int64 // by the clock
	want          int
	demand        float64 // Rate: reqs in a period
	accrual       int64   // Rate: ns times units that do not make up a whole token yet
	countedAt     int64   // by the clock
	accruedAt     int64   // by the clock: until when accrual is computed
	timeSkipped   bool    // the clock jumped or the process was stopped since the latest tick
	leaving       bool
	local         *localLimit
}

// maintainLease updates the demand for one limit and renews its lease when due.
func (m *Member) maintainLease(l *limitState, now int64) {
	h := &l.holder
	m.updateDemand(l, now)
	m.publishUnits(l, now)
	if h.leaving {
		return
	}
	every := max(l.LeaseDuration/renewalsPerLease, int64(m.cfg.Members)*minRequestGap)
	if h.want > h.requested || h.requested > 2*h.want || h.unanswered >= maxUnanswered {
		every = max(l.LeaseDuration/fastRenewalsPerLease, int64(m.cfg.Members)*minRequestGap/3)
	}
	if h.renewNow || m.elapsed-h.sentAtElapsed >= every {
		m.requestLease(l, now)
	}
}

// requestLease sends the owner the demand and what may be in use until its answer.
func (m *Member) requestLease(l *limitState, now int64) {
	h := &l.holder
	if h.pending {
		h.unanswered++
	}
	inUse := m.publishUnits(l, now)
	h.requestSeq++
	h.sentAt, h.sentAtElapsed, h.pending, h.requested, h.renewNow = now, m.elapsed, true, h.want, false
	request := Item{Kind: LeaseRequest, Term: h.term, Epoch: h.epoch, Seq: h.requestSeq, Want: h.want, Units: inUse,
		Settled: m.elapsed > m.worstCaseDuration(l.LeaseDuration)+m.maxOverrun(l)}
	if h.owner >= 0 {
		m.send(h.owner, l, request)
	}
	if other := int(h.requestSeq % uint64(m.cfg.Voters)); h.owner < 0 ||
		h.unanswered >= maxUnanswered && other != h.owner {
		m.send(other, l, request)
	}
}

// handleGrant accepts the answer to the latest request.
func (m *Member) handleGrant(l *limitState, from int, it Item, now int64) {
	h := &l.holder
	if !h.pending || it.Seq != h.requestSeq || it.Term != h.term || it.Epoch != h.epoch || from != h.owner {
		m.Drops.Unsolicited++
		return
	}
	h.pending, h.unanswered = false, 0
	if h.leaving || now >= h.sentAt+l.LeaseDuration || it.Units == 0 && !it.Settled {
		return // a lease of 0 units from an owner that knows no holdings yet would disable the floor
	}
	if l.Kind == Rate && !h.timeSkipped {
		m.accrueTokens(l, now) // the time until now counts with the units held before
	}
	h.renewNow = it.Units < h.units // so that the owner learns that fewer units are in use
	h.units, h.expires = it.Units, h.sentAt+l.LeaseDuration
	m.publishUnits(l, now)
}

// handleOwnerHint records who owns a limit. An owner of an earlier term is accepted only once the known one does
// not answer.
func (m *Member) handleOwnerHint(l *limitState, it Item) {
	h := &l.holder
	same := it.Units == h.owner && it.Term == h.term && it.Epoch == h.epoch
	if it.Units >= m.cfg.Voters || same || it.Term <= h.term && h.unanswered < maxUnanswered {
		return
	}
	h.owner, h.term, h.epoch, h.unanswered, h.pending, h.renewNow = it.Units, it.Term, it.Epoch, 0, false, true
}

// updateDemand derives the demand from the counters of the admission path, and accrues tokens.
func (m *Member) updateDemand(l *limitState, now int64) {
	h, local := &l.holder, l.holder.local
	dt := now - h.countedAt
	if h.countedAt == 0 || h.timeSkipped {
		dt, h.timeSkipped = 0, false
		h.accrual, h.accruedAt = 0, now
		if l.Kind == Rate {
			local.tokens.Store(0)
		}
	}
	h.countedAt = now
	tries, denied := local.attempts.Swap(0), local.denied.Swap(0)
	if l.Kind == InFlight {
		open := int(local.active.Load())
		switch {
		case denied > 0:
			h.want = min(l.Units, max(h.want, 2*h.units+1))
		case open == 0:
			h.want = 0
		default:
			h.want = max(h.want-1, open+open/4+1)
		}
		return
	}
	window := max(l.Period, sec/4)
	if dt > 0 {
		weight := min(1, float64(dt)/float64(window))
		h.demand += (float64(tries)*float64(l.Period)/float64(dt) - h.demand) * weight
	}
	if h.want = min(l.Units, int(h.demand+0.5)); tries > 0 {
		h.want = max(1, h.want)
	}
	m.accrueTokens(l, now)
}

// accrueTokens turns the time since its last call into tokens, by the usable units.
func (m *Member) accrueTokens(l *limitState, now int64) {
	h, local := &l.holder, l.holder.local
	per := l.Period + (l.Period*m.cfg.DriftPPM+1e6-1)/1e6 // even with the fastest clock no token comes too early
	h.accrual += (now - h.accruedAt) * int64(m.usableUnits(l, now))
	h.accruedAt = now
	if n := h.accrual / per; n > 0 {
		h.accrual -= n * per
		local.tokens.Add(n)
	}
}

// usableUnits returns how many units this member may use now.
func (m *Member) usableUnits(l *limitState, now int64) int {
	switch h := &l.holder; {
	case now < h.expires:
		return h.units
	case l.Strict || h.leaving:
		return 0
	}
	return l.Floor
}

// publishUnits passes the usable units to the admission path and returns how many units may be in use by a lease
// from now on.
func (m *Member) publishUnits(l *limitState, now int64) int {
	h, local := &l.holder, l.holder.local
	n := m.usableUnits(l, now)
	until := int64(1<<63 - 1)
	if now < h.expires {
		until = h.expires
	} else {
		h.units = 0
		if l.Strict || h.leaving {
			until = 0
		}
	}
	local.validUntil.Store(until)
	local.units.Store(int64(n))
	for left := local.tokens.Load(); left > int64(n); left = local.tokens.Load() {
		local.tokens.CompareAndSwap(left, int64(n))
	}
	if l.Kind == InFlight {
		return max(h.units, int(local.active.Load())) // after units is stored: later admissions see the new value
	}
	return h.units
}
