package lease

// This file owns what the owner of a limit knows of who holds how much, and what it grants. It must never
// grant what may be in use elsewhere: a new owner knows nothing, counts what it is told as held, and takes
// the rest for free only once every lease of an earlier owner has surely ended.

import "slices"

const (
	criesMost = 16          // members that are told at once who owns
	workApart = int64(50e3) // ns for each member, between times that their parts are worked out
	turns     = 4           // reqs of one unit in a turn at least: one is lost as it begins with none
)

// owner is one ownership's. Its tables have a place for each member and go with it.
type owner struct {
	term  uint64
	ready int64 // by sure: then all earlier leases have ended
	pool  int   // units that were told of as held: before ready no others may be granted
	told  int   // members that have said all that their place may hold
	who   []holding
	cried int   // members that were told who owns
	parts []int // by member, as they were worked out
	at    int64 // by sure: then
}

// holding is one member's.
type holding struct {
	life, count uint64
	told        bool
	want        int
	heard       int64 // by sure
	use         int   // units that it may use
	end         int64 // by sure: until then
	ghosts      []ghost
}

// ghost is what an earlier life of a member may still use; emptied by its end.
type ghost struct {
	use int
	end int64
}

func newOwner(term uint64, of int, ready int64) *owner {
	return &owner{term: term, ready: ready, who: make([]holding, of)}
}

// linger is how long what runs may go on after its lease.
func (m *Member) linger(l *limit) int64 {
	if l.Kind == InFlight {
		return l.MaxRequestDuration + l.MaxRequestDuration*m.t.DriftPPM*3/1e6
	}
	return 0
}

// out is how many units may be in use.
func (o *owner) out(sure int64) (n int) {
	for i := range o.who {
		h := &o.who[i]
		if sure >= h.end {
			h.use = 0
		}
		n += h.use
		h.ghosts = slices.DeleteFunc(h.ghosts, func(g ghost) bool { return sure >= g.end })
		for _, g := range h.ghosts {
			n += g.use
		}
	}
	return n
}

// cry tells all members, a few at a time, who owns.
func (m *Member) cry(l *limit) {
	o := l.own
	for end := min(m.t.Members, o.cried+criesMost); o.cried < end; o.cried++ {
		m.post(o.cried, l, Item{Kind: Hint, Term: o.term, Epoch: m.t.Incarnation, Use: m.t.Index})
	}
}

// asked grants, renews or takes back.
func (m *Member) asked(l *limit, from int, life uint64, it Item, now int64) {
	o := l.own
	switch {
	case !m.owns(l, now):
		if v := &l.vote; m.sure < v.end && v.to != m.t.Index {
			m.post(from, l, Item{Kind: Hint, Term: v.term, Epoch: v.life, Use: v.to})
		}
		return
	case it.Term != o.term || it.Epoch != m.t.Incarnation:
		m.post(from, l, Item{Kind: Hint, Term: o.term, Epoch: m.t.Incarnation, Use: m.t.Index})
		return
	}
	h := &o.who[from]
	old := life < h.life && m.sure < h.heard+m.lasts(l.LeaseDuration)+m.linger(l)
	if old || life == h.life && it.Count <= h.count {
		m.Count.Late++
		return
	}
	out := o.out(m.sure)
	if life != h.life {
		o.parts = nil
		if h.use > 0 { // it died, or so it says: what it held counts to its end
			h.ghosts = append(h.ghosts, ghost{h.use, h.end})
		}
		h.use = 0
		if m.sure < o.ready {
			h.use = max(0, min(it.Use, l.Units-o.pool))
			o.pool += h.use
			out += h.use
		}
		if h.life = life; it.Settled && !h.told {
			h.told = true
			if o.told++; o.told == m.t.Members {
				o.ready = m.sure
			}
		}
	}
	kept := min(h.use, it.Use)
	out -= h.use - kept
	all := l.Units
	if m.sure < o.ready {
		all = min(all, o.pool)
	}
	h.count, h.want, h.heard = it.Count, min(it.Want, l.Units), m.sure
	if o.parts == nil || m.sure-o.at >= int64(m.t.Members)*workApart {
		o.parts, o.at = m.shares(l), m.sure
	}
	n := min(o.parts[from], kept+max(0, all-out))
	h.use, h.end = max(kept, n), m.sure+m.lasts(l.LeaseDuration)+m.linger(l)
	m.post(from, l, Item{Kind: Grant, Term: o.term, Epoch: m.t.Incarnation, Count: it.Count, Use: n,
		Settled: m.sure >= o.ready})
}

// shares are the members' parts: max-min fair by weight in whole units. What is less than one each goes round
// by turns; what nobody wants goes one unit each to those that want nothing now, so that their next req finds
// one, and the rest to the others by what they want, as reqs come unevenly.
func (m *Member) shares(l *limit) []int {
	type part struct{ who, want, weight, got int }
	var wants []part
	o, left := l.own, l.Units
	for i := range o.who {
		h := &o.who[i]
		if h.life == 0 || m.sure-h.heard > l.LeaseDuration {
			continue
		}
		w := 1
		if i < len(m.t.Weight) {
			w = max(1, m.t.Weight[i])
		}
		wants = append(wants, part{i, h.want, w, 0})
	}
	for left > 0 {
		weights := 0
		for _, p := range wants {
			if p.got < p.want {
				weights += p.weight
			}
		}
		if weights == 0 {
			break
		}
		each, gave := left/weights, 0
		for i := range wants {
			p := &wants[i]
			if p.got < p.want {
				x := min(p.want-p.got, each*p.weight)
				p.got += x
				gave += x
			}
		}
		if left -= gave; gave == 0 {
			break // less than one for each is left
		}
	}
	turn := int(m.sure / max(l.LeaseDuration, turns*l.Period))
	for _, to := range [...]func(p *part) bool{func(p *part) bool { return p.got < p.want },
		func(p *part) bool { return p.want == 0 }} {
		for k := 0; k < len(wants) && left > 0; k++ {
			if p := &wants[(k+turn)%len(wants)]; to(p) {
				p.got++
				left--
			}
		}
	}
	all := 0
	for _, p := range wants {
		all += p.want
	}
	for i, spare := 0, left; i < len(wants) && all > 0; i++ { // room for what comes unevenly
		wants[i].got += spare * wants[i].want / all
	}
	parts := make([]int, len(o.who))
	for _, p := range wants {
		parts[p.who] = p.got
	}
	return parts
}
