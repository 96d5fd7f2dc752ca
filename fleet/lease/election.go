package lease

// This file owns who owns a limit: a voter promises it to one member at a time, for a stated time from its
// answer; whoever has a majority's promises owns, for the same time from when it asked, so that its own ends
// first. Who would own asks first who would promise, so that one that hears nobody takes no promises. It must
// never promise while a promise may be out, of an earlier life's too, nor have two in authority at any
// moment.

import (
	"math/bits"
	"slices"
)

const (
	standApart = 100 * ms // between members of neighbouring rank
	standFor   = 300 * ms // after which one without a majority gives up
)

// vote is what this member has promised.
type vote struct {
	mute int64  // by sure: until then an earlier life's promises may be out
	seen uint64 // highest term
	to   int
	life uint64 // of to
	term uint64
	end  int64 // by sure
}

// bid is this member's own try to own.
type bid struct {
	on    bool
	would uint64 // voters that would promise, as bits
	term  uint64 // unique with this member's life
	seen  uint64
	count uint64  // of tries; 0: it only asks who would
	sent  int64   // by the clock
	oks   []int64 // by voter: when what it promised to was sent
	from  int64   // by sure: since when
	next  int64   // by sure
}

// stood answers one that would own.
func (m *Member) stood(l *limit, from int, life uint64, it Item) {
	v := &l.vote
	if m.t.Index >= m.t.Voters || from >= m.t.Voters || m.sure < v.mute {
		return
	}
	if it.Term < v.seen || m.sure < v.end && (v.to != from || v.life != life) {
		m.post(from, l, Item{Kind: Refuse, Term: v.seen})
		return
	}
	if it.Count == 0 {
		if l.bid.on && from != m.t.Index { // both would: the one of lower rank goes on
			if l.rank[from] > l.rank[m.t.Index] {
				m.post(from, l, Item{Kind: Refuse, Term: v.seen})
				return
			}
			m.resign(l)
		}
		m.post(from, l, Item{Kind: Vote, Term: it.Term, Epoch: life})
		return
	}
	v.seen, v.to, v.life, v.term, v.end = it.Term, from, life, it.Term, m.sure+m.lasts(l.authority())
	m.post(from, l, Item{Kind: Vote, Term: it.Term, Epoch: life, Count: it.Count})
}

// freed takes back a promise that is not wanted any more.
func (v *vote) freed(from int, life, term uint64) {
	if v.to == from && v.life == life && v.term == term {
		v.end = 0
	}
}

// voted takes a promise.
func (m *Member) voted(l *limit, from int, it Item, now int64) {
	b := &l.bid
	if !b.on || it.Term != b.term || it.Epoch != m.t.Incarnation || it.Count != b.count || from >= m.t.Voters {
		m.Count.Unasked++
		return
	}
	if b.count == 0 {
		if b.would |= 1 << from; bits.OnesCount64(b.would) > m.t.Voters/2 {
			m.try(l, now)
		}
		return
	}
	if l.own != nil && !m.owns(l, now) { // another may have owned since
		m.resign(l)
		return
	}
	b.oks[from] = b.sent
	if l.own == nil && now < m.until(l) {
		l.own = newOwner(b.term, m.t.Members, m.sure+m.lasts(l.LeaseDuration)+m.linger(l))
	}
}

// until is when this member's authority ends, by the clock.
func (m *Member) until(l *limit) int64 {
	if !l.bid.on {
		return never
	}
	at := slices.Sorted(slices.Values(l.bid.oks))
	if x := at[len(at)-(m.t.Voters/2+1)]; x != never {
		return x + l.authority()
	}
	return never
}

const never = int64(-1 << 62)

// owns says whether this member is in authority.
func (m *Member) owns(l *limit, now int64) bool { return l.own != nil && now < m.until(l) }

// stand tries to own a limit that nobody seems to, and stays its owner.
func (m *Member) stand(l *limit, now int64) {
	b, v := &l.bid, &l.vote
	if m.t.Index >= m.t.Voters {
		return
	}
	switch {
	case b.on && l.own != nil && !m.owns(l, now), b.on && l.own == nil && m.sure-b.from > standFor:
		m.resign(l)
		return
	case b.on:
	case m.sure < v.mute:
		return
	case m.sure < v.end: // promised to another
		b.next = v.end + m.late(l)
		return
	case m.sure < b.next:
		return
	default:
		b.on, b.from, b.count, b.would = true, m.sure, 0, 0
		b.term = (max(v.seen, b.seen)>>6+1)<<6 | uint64(m.t.Index)
		b.oks = slices.Repeat([]int64{never}, m.t.Voters)
		m.say(l, Item{Kind: Stand, Term: b.term})
		return
	}
	if l.own != nil {
		m.cry(l)
	}
	if b.count > 0 && m.sure >= b.next {
		m.try(l, now)
	}
}

// try asks for promises, at first and again while they last.
func (m *Member) try(l *limit, now int64) {
	b := &l.bid
	b.count++
	b.sent, b.next = now, m.sure+l.authority()/4
	m.say(l, Item{Kind: Stand, Term: b.term, Count: b.count})
}

// say tells all voters.
func (m *Member) say(l *limit, it Item) {
	for i := range m.t.Voters {
		m.post(i, l, it)
	}
}

// resign ends a bid, or its ownership: from here on nothing is granted by it.
func (m *Member) resign(l *limit) {
	b := &l.bid
	if !b.on {
		return
	}
	l.own, b.on = nil, false
	b.next = m.sure + standApart + m.late(l) + int64(m.dice.Next()*float64(2*standApart))
	m.say(l, Item{Kind: Free, Term: b.term})
}
