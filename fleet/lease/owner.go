package lease

// This file holds the owner's side: what it knows of the members' leases and what it grants. It must never grant
// units that may be in use elsewhere: a new owner knows nothing, counts the units reported to it as held, and takes
// the rest as free only once every lease of an earlier owner has certainly ended.

import "slices"

const (
	maxAnnouncementsPerTick = 16          // members that are told of the owner at once
	sharesInterval          = int64(50e3) // ns per member, between computations of the shares
	minReqsPerTurn          = 4           // per unit: each turn starts without a token, which loses one req
)

// ownership is the state of this member as the owner of a limit, in one term.
type ownership struct {
	term            uint64
	readyAt         int64 // by Member.elapsed: from then all earlier leases have ended
	reportedUnits   int   // units reported as held: before readyAt no others may be granted
	reportedMembers int   // members that have reported all that they may hold
	members         []memberLease
	announced       int   // members that were told of the owner
	shares          []int // by member, as computed at sharesAt
	sharesAt        int64 // by Member.elapsed
}

// memberLease is what the owner knows of one member.
type memberLease struct {
	incarnation, seq uint64
	reported         bool
	want             int
	heardAt          int64 // by Member.elapsed
	units            int   // that it may use
	expires          int64 // of the lease, by Member.elapsed
	previous         []previousLease
}

// previousLease is what an earlier incarnation of a member may still use until it expires.
type previousLease struct {
	units   int
	expires int64
}

func newOwnership(term uint64, members int, ready int64) *ownership {
	return &ownership{term: term, readyAt: ready, members: make([]memberLease, members)}
}

// maxOverrun is how long admitted work may run past its lease, in ns.
func (m *Member) maxOverrun(l *limitState) int64 {
	if l.Kind == InFlight {
		return l.MaxRequestDuration + l.MaxRequestDuration*m.cfg.DriftPPM*3/1e6
	}
	return 0
}

// unitsOut returns how many units may be in use in the fleet.
func (o *ownership) unitsOut(sure int64) (n int) {
	for i := range o.members {
		lease := &o.members[i]
		if sure >= lease.expires {
			lease.units = 0
		}
		n += lease.units
		lease.previous = slices.DeleteFunc(lease.previous, func(g previousLease) bool { return sure >= g.expires })
		for _, g := range lease.previous {
			n += g.units
		}
	}
	return n
}

// announce tells all members, a few at a time, that this member is the owner.
func (m *Member) announce(l *limitState) {
	o := l.ownership
	for end := min(m.cfg.Members, o.announced+maxAnnouncementsPerTick); o.announced < end; o.announced++ {
		m.send(o.announced, l, Item{Kind: OwnerHint, Term: o.term, Epoch: m.cfg.Incarnation, Units: m.cfg.Index})
	}
}

// handleLeaseRequest grants, renews or reduces the lease of a member.
func (m *Member) handleLeaseRequest(l *limitState, from int, incarnation uint64, it Item, now int64) {
	o := l.ownership
	switch {
	case !m.owns(l, now):
		if v := &l.vote; m.elapsed < v.expires && v.candidate != m.cfg.Index {
			m.send(from, l, Item{Kind: OwnerHint, Term: v.term, Epoch: v.candidateIncarnation, Units: v.candidate})
		}
		return
	case it.Term != o.term || it.Epoch != m.cfg.Incarnation:
		m.send(from, l, Item{Kind: OwnerHint, Term: o.term, Epoch: m.cfg.Incarnation, Units: m.cfg.Index})
		return
	}
	lease := &o.members[from]
	stale := incarnation < lease.incarnation &&
		m.elapsed < lease.heardAt+m.worstCaseDuration(l.LeaseDuration)+m.maxOverrun(l)
	if stale || incarnation == lease.incarnation && it.Seq <= lease.seq {
		m.Drops.Stale++
		return
	}
	unitsOut := o.unitsOut(m.elapsed)
	if incarnation != lease.incarnation {
		o.shares = nil
		if lease.units > 0 { // the member restarted: what it held counts until it expires
			lease.previous = append(lease.previous, previousLease{lease.units, lease.expires})
		}
		lease.units = 0
		if m.elapsed < o.readyAt {
			lease.units = max(0, min(it.Units, l.Units-o.reportedUnits))
			o.reportedUnits += lease.units
			unitsOut += lease.units
		}
		if lease.incarnation = incarnation; it.Settled && !lease.reported {
			lease.reported = true
			if o.reportedMembers++; o.reportedMembers == m.cfg.Members {
				o.readyAt = m.elapsed
			}
		}
	}
	kept := min(lease.units, it.Units)
	unitsOut -= lease.units - kept
	available := l.Units
	if m.elapsed < o.readyAt {
		available = min(available, o.reportedUnits)
	}
	lease.seq, lease.want, lease.heardAt = it.Seq, min(it.Want, l.Units), m.elapsed
	if o.shares == nil || m.elapsed-o.sharesAt >= int64(m.cfg.Members)*sharesInterval {
		o.shares, o.sharesAt = m.computeShares(l), m.elapsed
	}
	granted := min(o.shares[from], kept+max(0, available-unitsOut))
	lease.units, lease.expires = max(kept, granted), m.elapsed+m.worstCaseDuration(l.LeaseDuration)+m.maxOverrun(l)
	m.send(from, l, Item{Kind: LeaseGrant, Term: o.term, Epoch: m.cfg.Incarnation, Seq: it.Seq, Units: granted,
		Settled: m.elapsed >= o.readyAt})
}

// computeShares divides the units among the members, max-min fair by weight. A remainder of less than one unit each
// goes round by turns. Of units that nobody wants, idle members get one each, so that their next req finds one, and
// the others get the rest in proportion to their demand, to absorb bursts.
func (m *Member) computeShares(l *limitState) []int {
	type part struct{ who, want, weight, got int }
	var claims []part
	o, left := l.ownership, l.Units
	for i := range o.members {
		h := &o.members[i]
		if h.incarnation == 0 || m.elapsed-h.heardAt > l.LeaseDuration {
			continue
		}
		weight := 1
		if i < len(m.cfg.Weight) {
			weight = max(1, m.cfg.Weight[i])
		}
		claims = append(claims, part{i, h.want, weight, 0})
	}
	for left > 0 {
		weights := 0
		for _, p := range claims {
			if p.got < p.want {
				weights += p.weight
			}
		}
		if weights == 0 {
			break
		}
		each, gave := left/weights, 0
		for i := range claims {
			p := &claims[i]
			if p.got < p.want {
				given := min(p.want-p.got, each*p.weight)
				p.got += given
				gave += given
			}
		}
		if left -= gave; gave == 0 {
			break // less than one unit each is left
		}
	}
	turn := int(m.elapsed / max(l.LeaseDuration, minReqsPerTurn*l.Period))
	for _, entitled := range [...]func(p *part) bool{func(p *part) bool { return p.got < p.want },
		func(p *part) bool { return p.want == 0 }} {
		for k := 0; k < len(claims) && left > 0; k++ {
			if p := &claims[(k+turn)%len(claims)]; entitled(p) {
				p.got++
				left--
			}
		}
	}
	totalWant := 0
	for _, p := range claims {
		totalWant += p.want
	}
	for i, spare := 0, left; i < len(claims) && totalWant > 0; i++ { // headroom for bursts
		claims[i].got += spare * claims[i].want / totalWant
	}
	parts := make([]int, len(o.members))
	for _, p := range claims {
		parts[p.who] = p.got
	}
	return parts
}
