package quota

import (
	"sync/atomic"

	"ivybank/internal/rng"
)

// Cell is what a process holds of one window. Reqs and the holder's task count in it at once; none waits for
// another.
type Cell struct {
	window int64
	left   [classes]atomic.Int64
	asked  [classes]atomic.Int64 // amounts, of reqs by the class they may take
}

// take counts n down. Those that may use the reserve do so once the rest is spent.
func (c *Cell) take(n int64, class int) (from int, ok bool) {
	c.asked[class].Add(n)
	for from = range class + 1 {
		for {
			l := c.left[from].Load()
			if l < n {
				break
			}
			if c.left[from].CompareAndSwap(l, l-n) {
				return from, true
			}
		}
	}
	return 0, false
}

// back takes up to n tokens out again and says how many.
func (c *Cell) back(n int64, class int) int64 {
	for {
		l := c.left[class].Load()
		k := min(n, l)
		if k <= 0 {
			return 0
		}
		if c.left[class].CompareAndSwap(l, l-k) {
			return k
		}
	}
}

// view is the picture a req reads; it is never written to once it is there.
type view struct {
	cell  *Cell
	until int64      // on the monotonic clock, when what is held may no more be spent
	opens int64      // when the next window opens, where this one is spent; else 0
	soon  int64      // how long until more may come
	from  int64      // worth from which the reserve is open
	later *[64]int64 // times after the opening, drawn for each window
}

// Slot is where the req path finds a quota's picture.
type Slot struct {
	id   uint32
	unit Unit
	view atomic.Pointer[view]
	turn atomic.Uint32
}

// Holder is a process's part in one quota. It owns what was given to this process and what went back; it must
// never hold more than totals it heard less what it gave back, and turns to a window only by the owner's
// word.
type Holder struct {
	slot     *Slot
	t        Terms
	place    int
	life     uint64
	owner    int
	clocks   *Clocks
	dice     rng.Source
	term     uint64
	total    Pair // heard of this term and window
	returned Pair // of this term and window
	heard    Pair // of that, what the owner knows
	cell     *Cell
	until    int64
	slice    int64
	num      uint32
	asks     [8]ask // the last few
	next     int64  // when to look again
	last     int64  // report
	seen     Pair   // of what was asked
	rate     Pair   // amounts asked in a period
	low      Pair   // least that was left since lowAt
	lowAt    int64
	later    *[64]int64
	old      []past // emptied Seal after each window was left
}

type ask struct {
	num uint32
	at  int64
}

// past is a window that was left; what comes back there still reaches the owner.
type past struct {
	cell            *Cell
	returned, heard Pair
	until           int64
}

// NewHolder begins with nothing held. Life must be above that of each earlier process at this place.
func NewHolder(q Quota, t Terms, place int, life, seed uint64, clocks *Clocks) *Holder {
	return &Holder{slot: &Slot{id: q.ID, unit: q.Unit}, t: t, place: place, life: life, owner: -1,
		clocks: clocks,
		dice:   rng.Source{Seed: seed}, cell: &Cell{}, later: new([64]int64)}
}

// Owner tells whose place the owner's is; -1 where it is not known.
func (h *Holder) Owner(place int) { h.owner = place }

// Slot gives what the req path reads.
func (h *Holder) Slot() *Slot { return h.slot }

func (h *Holder) left() Pair { return Pair{h.cell.left[0].Load(), h.cell.left[1].Load()} }

// need is what two periods take, of which the reserve's class may use the other.
func (h *Holder) need() Pair { return Pair{2 * h.rate[0], 2 * h.rate[1]} }

// giveBack takes tokens out of the cell for good.
func (h *Holder) giveBack(p Pair) {
	for c := range classes {
		h.returned[c] += h.cell.back(p[c], c)
	}
}

// Tick reports by demand: each Every while reqs come, twice a lease while tokens are held, and not at all
// else.
func (h *Holder) Tick(now int64) (out []Letter) {
	if now < h.next {
		return nil
	}
	h.next = now + h.t.Every
	for c := range classes {
		asked := h.cell.asked[c].Load()
		h.rate[c] = max(asked-h.seen[c], h.rate[c]*3/4)
		h.seen[c] = asked
	}
	left, need := h.left(), h.need()
	for c := range classes {
		h.low[c] = min(h.low[c], left[c])
	}
	if now-h.lowAt >= h.t.Lease {
		h.giveBack(Pair{h.low[0] - h.rate[0] - h.slice/8, h.low[1] - h.rate[1]})
		left = h.left()
		h.low, h.lowAt = left, now
	}
	out = h.reportOld(now)
	if h.owner < 0 || h.rate.sum() == 0 && h.returned == h.heard && now-h.last < h.t.Lease/2 && h.last != 0 {
		return out
	}
	want := Pair{max(0, max(need[0], h.slice/8)-left[0]), max(0, need[1]-left[1]-max(0, left[0]-need[0]))}
	h.num++
	h.asks[h.num%uint32(len(h.asks))] = ask{h.num, now}
	h.last = now
	return append(out, Letter{h.owner, Report{Quota: h.slot.id, Place: h.place, Life: h.life,
		Window: h.cell.window, Num: h.num,
		Returned: h.returned, Term: h.term, Heard: h.total, Left: left, Want: want}})
}

// reportOld gives back what came back to windows that were left.
func (h *Holder) reportOld(now int64) (out []Letter) {
	kept := h.old[:0]
	for _, p := range h.old {
		if now >= p.until {
			continue
		}
		for c := range classes {
			p.returned[c] += p.cell.back(1<<62, c)
		}
		if p.returned != p.heard && h.owner >= 0 {
			out = append(out, Letter{h.owner,
				Report{Quota: h.slot.id, Place: h.place, Life: h.life, Window: p.cell.window, Term: h.term,
					Returned: p.returned}})
		}
		kept = append(kept, p)
	}
	h.old = kept
	return out
}

// Grant takes an owner's answer.
func (h *Holder) Grant(g Grant, now int64) {
	if g.Quota != h.slot.id || g.Life != h.life {
		return
	}
	if g.Num == 0 || g.Window < h.cell.window {
		for i := range h.old {
			if h.old[i].cell.window == g.Window {
				h.old[i].heard = h.old[i].heard.max(g.Heard)
			}
		}
		return
	}
	if g.Term < h.term {
		return
	}
	if g.Window > h.cell.window {
		h.turn(g.Window, now, g.Spread)
	}
	if g.Term > h.term {
		// what was given back before and not written down in time is spent
		h.term, h.total, h.returned, h.heard = g.Term, Pair{}, Pair{}, Pair{}
		for i := range h.old {
			h.old[i].returned, h.old[i].heard = Pair{}, Pair{}
		}
	}
	for c := range classes {
		h.cell.left[c].Add(max(0, g.Total[c]-h.total[c]))
	}
	h.total, h.heard = h.total.max(g.Total), h.heard.max(g.Heard)
	h.slice = g.Slice
	a := h.asks[g.Num%uint32(len(h.asks))]
	if a.num != g.Num {
		return // it answers what was asked too long ago to lend time
	}
	h.clocks.Hear(h.owner, g.Wall, a.at, now)
	long := min(h.t.Lease, g.Rest)
	h.until = max(h.until, a.at+long-long/1e6*h.t.Drift-h.t.Drift)
	switch left := h.left(); g.Recall {
	case All:
		h.giveBack(left)
	case Spare:
		need := h.need()
		h.giveBack(Pair{left[0] - need[0] - max(0, need[1]-left[1]), left[1] - need[1]})
	}
	h.show(g, now)
}

// turn leaves a window for the next.
func (h *Holder) turn(window, now, spread int64) {
	if h.cell.window != 0 {
		h.old = append(h.old, past{h.cell, h.returned, h.heard, now + h.t.Seal})
	}
	h.cell = &Cell{window: window}
	h.total, h.returned, h.heard, h.seen, h.low, h.until = Pair{}, Pair{}, Pair{}, Pair{}, Pair{}, 0
	h.lowAt, h.later = now, new([64]int64)
	for i := range h.later {
		if spread > 0 {
			h.later[i] = int64(h.dice.Next() * float64(spread))
		}
	}
}

// show makes the picture for the req path.
func (h *Holder) show(g Grant, now int64) {
	v := &view{cell: h.cell, until: h.until, soon: h.t.Every, from: g.From, later: h.later}
	if g.Opens > 0 {
		v.opens = now + g.Opens
	}
	h.slot.view.Store(v)
}
