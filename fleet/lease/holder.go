package lease

// This file owns what a member holds of a limit and asks for. A lease counts from when it was asked for, and
// only the answer to the latest ask is taken. It must never use a unit past its lease, nor say that it holds
// less than it may use.

const (
	renewals = 8      // asks in a lease's time
	hurry    = 20     // the same while what is wanted changes
	apart    = 5 * ms // for each member, between the asks of one: in calm an owner answers 200 a second
	patient  = 2      // asks without an answer after which others are asked who owns
)

// holder is one limit's here.
type holder struct {
	owner       int // place; -1: not known
	term, epoch uint64
	count       uint64
	sent        int64 // by the clock, of the latest ask
	open        bool  // it has no answer yet
	silent      int   // asks without one
	at          int64 // by sure, of the latest ask
	soon        bool  // the next is due at once
	asked       int   // what was wanted then
	units       int
	end         int64 // by the clock
	want        int
	demand      float64 // Rate: reqs in Per
	carry       int64   // Rate: ns times units that have not made a whole req
	tick        int64   // by the clock
	accrued     int64   // by the clock: until when carry counts
	paused      bool    // time was left out since the latest tick
	gone        bool
	line        *line
}

// use does what is due of one limit.
func (m *Member) use(l *limit, now int64) {
	h := &l.hold
	m.count(l, now)
	m.show(l, now)
	if h.gone {
		return
	}
	every := max(l.LeaseDuration/renewals, int64(m.t.Members)*apart)
	if h.want > h.asked || h.asked > 2*h.want || h.silent >= patient {
		every = max(l.LeaseDuration/hurry, int64(m.t.Members)*apart/3)
	}
	if h.soon || m.sure-h.at >= every {
		m.ask(l, now)
	}
}

// ask tells what is wanted and what may be in use until the answer.
func (m *Member) ask(l *limit, now int64) {
	h := &l.hold
	if h.open {
		h.silent++
	}
	use := m.show(l, now)
	h.count++
	h.sent, h.at, h.open, h.asked, h.soon = now, m.sure, true, h.want, false
	it := Item{Kind: Ask, Term: h.term, Epoch: h.epoch, Count: h.count, Want: h.want, Use: use,
		Settled: m.sure > m.lasts(l.LeaseDuration)+m.linger(l)}
	if h.owner >= 0 {
		m.post(h.owner, l, it)
	}
	if other := int(h.count % uint64(m.t.Voters)); h.owner < 0 || h.silent >= patient && other != h.owner {
		m.post(other, l, it)
	}
}

// granted takes the answer to the latest ask.
func (m *Member) granted(l *limit, from int, it Item, now int64) {
	h := &l.hold
	if !h.open || it.Count != h.count || it.Term != h.term || it.Epoch != h.epoch || from != h.owner {
		m.Count.Unasked++
		return
	}
	h.open, h.silent = false, 0
	if h.gone || now >= h.sent+l.LeaseDuration || it.Use == 0 && !it.Settled {
		return // a lease of nothing, as the owner knows nothing yet, would keep a floor out of force
	}
	if l.Kind == Rate && !h.paused {
		m.accrue(l, now) // until now it was what was held before
	}
	h.soon = it.Use < h.units // so that the owner hears of it
	h.units, h.end = it.Use, h.sent+l.LeaseDuration
	m.show(l, now)
}

// hinted hears who owns. One of an earlier term is believed only once the later one is silent.
func (m *Member) hinted(l *limit, it Item) {
	h := &l.hold
	same := it.Use == h.owner && it.Term == h.term && it.Epoch == h.epoch
	if it.Use >= m.t.Voters || same || it.Term <= h.term && h.silent < patient {
		return
	}
	h.owner, h.term, h.epoch, h.silent, h.open, h.soon = it.Use, it.Term, it.Epoch, 0, false, true
}

// count turns what the req path has counted into what is wanted and what has accrued.
func (m *Member) count(l *limit, now int64) {
	h, x := &l.hold, l.hold.line
	dt := now - h.tick
	if h.tick == 0 || h.paused {
		dt, h.paused = 0, false
		h.carry, h.accrued = 0, now
		if l.Kind == Rate {
			x.left.Store(0)
		}
	}
	h.tick = now
	tries, denied := x.tries.Swap(0), x.denied.Swap(0)
	if l.Kind == InFlight {
		open := int(x.open.Load())
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
	over := max(l.Period, sec/4)
	if dt > 0 {
		f := min(1, float64(dt)/float64(over))
		h.demand += (float64(tries)*float64(l.Period)/float64(dt) - h.demand) * f
	}
	if h.want = min(l.Units, int(h.demand+0.5)); tries > 0 {
		h.want = max(1, h.want)
	}
	m.accrue(l, now)
}

// accrue turns the time since it was called last into reqs, by the units that are in force.
func (m *Member) accrue(l *limit, now int64) {
	h, x := &l.hold, l.hold.line
	per := l.Period + (l.Period*m.t.DriftPPM+1e6-1)/1e6 // by the fastest clock no req too early
	h.carry += (now - h.accrued) * int64(m.force(l, now))
	h.accrued = now
	if n := h.carry / per; n > 0 {
		h.carry -= n * per
		x.left.Add(n)
	}
}

// force is how many units are in force here.
func (m *Member) force(l *limit, now int64) int {
	switch h := &l.hold; {
	case now < h.end:
		return h.units
	case l.Strict || h.gone:
		return 0
	}
	return l.Floor
}

// show puts what is in force before the req path, and gives what may be in use by a lease from here on.
func (m *Member) show(l *limit, now int64) int {
	h, x := &l.hold, l.hold.line
	n := m.force(l, now)
	until := int64(1<<63 - 1)
	if now < h.end {
		until = h.end
	} else {
		h.units = 0
		if l.Strict || h.gone {
			until = 0
		}
	}
	x.until.Store(until)
	x.units.Store(int64(n))
	for left := x.left.Load(); left > int64(n); left = x.left.Load() {
		x.left.CompareAndSwap(left, int64(n))
	}
	if l.Kind == InFlight {
		return max(h.units, int(x.open.Load())) // after units is stored: whoever comes in later has seen it
	}
	return h.units
}
