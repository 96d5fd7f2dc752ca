package quota

import (
	"sync/atomic"

	"ivybank/internal/rng"
)

// WindowTokens holds a process's tokens of one window. Reqs and the holder update it concurrently, without blocking.
type WindowTokens struct {
	window   int64
	left     [classes]atomic.Int64
	demanded [classes]atomic.Int64 // amounts demanded, by the highest class that the reqs may take
}

// take removes n tokens. Reqs that may use the reserve take from it once the other tokens are spent.
func (t *WindowTokens) take(n int64, class int) (from int, ok bool) {
	t.demanded[class].Add(n)
	for from = range class + 1 {
		for {
			left := t.left[from].Load()
			if left < n {
				break
			}
			if t.left[from].CompareAndSwap(left, left-n) {
				return from, true
			}
		}
	}
	return 0, false
}

// remove takes out up to n tokens and returns how many.
func (t *WindowTokens) remove(n int64, class int) int64 {
	for {
		left := t.left[class].Load()
		removed := min(n, left)
		if removed <= 0 {
			return 0
		}
		if t.left[class].CompareAndSwap(left, left-removed) {
			return removed
		}
	}
}

// snapshot is the state that the admission path reads; it is immutable.
type snapshot struct {
	tokens      *WindowTokens
	validUntil  int64      // by the monotonic clock: from then the tokens may not be spent
	opensAt     int64      // when the next window opens, if this one is spent; otherwise 0
	retryAfter  int64      // ns until more tokens may arrive
	reserveFrom int64      // least value of a req that may use the reserve; 0: no reserve
	spread      *[64]int64 // random delays after the opening, drawn for each window
}

// Slot passes the snapshot of a quota to the admission path.
type Slot struct {
	id         uint32
	unit       Unit
	snapshot   atomic.Pointer[snapshot]
	nextSpread atomic.Uint32
}

// Holder is the part of one process in one quota. It must never hold more than the totals granted to it minus what it
// returned, and it enters a window only when told by the owner.
type Holder struct {
	slot          *Slot
	cfg           Config
	member        int
	incarnation   uint64
	owner         int
	clocks        *Clocks
	random        rng.Source
	term          uint64
	total         Pair // granted in this term and window
	returned      Pair // in this term and window
	returnedKnown Pair // of returned, what the owner has acknowledged
	tokens        *WindowTokens
	validUntil    int64
	maxUnspent    int64
	reportNum     uint32
	requests      [8]request // the latest reports
	nextTick      int64      // when Tick is due
	lastReport    int64      // when the last report was sent
	prevDemanded  Pair       // tokens.demanded at the latest tick
	demand        Pair       // amounts demanded in a report interval
	minLeft       Pair       // least tokens left since minLeftSince
	minLeftSince  int64
	spread        *[64]int64
	closed        []closedWindow // removed SealAfter ns after each window was left
}

type request struct {
	num uint32
	at  int64
}

// closedWindow is a window that was left; tokens refunded there are still returned to the owner.
type closedWindow struct {
	tokens                  *WindowTokens
	returned, returnedKnown Pair
	expires                 int64
}

// NewHolder returns a holder without tokens. The incarnation must be greater than that of each earlier process of this
// member.
func NewHolder(q Quota, cfg Config, member int, incarnation, seed uint64, clocks *Clocks) *Holder {
	return &Holder{slot: &Slot{id: q.ID, unit: q.Unit}, cfg: cfg, member: member, incarnation: incarnation, owner: -1,
		clocks: clocks,
		random: rng.Source{Seed: seed}, tokens: &WindowTokens{}, spread: new([64]int64)}
}

// SetOwner sets the member that is the owner; -1 if unknown.
func (h *Holder) SetOwner(member int) { h.owner = member }

// Slot returns the slot that the admission path reads.
func (h *Holder) Slot() *Slot { return h.slot }

func (h *Holder) left() Pair { return Pair{h.tokens.left[0].Load(), h.tokens.left[1].Load()} }

// need returns the demand of two report intervals; that of class 1 may also be met by class 0.
func (h *Holder) need() Pair { return Pair{2 * h.demand[0], 2 * h.demand[1]} }

// giveBack removes tokens for good, to return them to the owner.
func (h *Holder) giveBack(p Pair) {
	for c := range classes {
		h.returned[c] += h.tokens.remove(p[c], c)
	}
}

// Tick reports to the owner as needed: each ReportInterval while reqs arrive or returned tokens are not acknowledged,
// otherwise twice in the duration of a lease.
func (h *Holder) Tick(now int64) (out []Message) {
	if now < h.nextTick {
		return nil
	}
	h.nextTick = now + h.cfg.ReportInterval
	for c := range classes {
		demanded := h.tokens.demanded[c].Load()
		h.demand[c] = max(demanded-h.prevDemanded[c], h.demand[c]*3/4)
		h.prevDemanded[c] = demanded
	}
	left, need := h.left(), h.need()
	for c := range classes {
		h.minLeft[c] = min(h.minLeft[c], left[c])
	}
	if now-h.minLeftSince >= h.cfg.LeaseDuration {
		h.giveBack(Pair{h.minLeft[0] - h.demand[0] - h.maxUnspent/8, h.minLeft[1] - h.demand[1]})
		left = h.left()
		h.minLeft, h.minLeftSince = left, now
	}
	out = h.reportClosed(now)
	if h.owner < 0 || h.demand.sum() == 0 && h.returned == h.returnedKnown &&
		now-h.lastReport < h.cfg.LeaseDuration/2 && h.lastReport != 0 {
		return out
	}
	want := Pair{max(0, max(need[0], h.maxUnspent/8)-left[0]), max(0, need[1]-left[1]-max(0, left[0]-need[0]))}
	h.reportNum++
	h.requests[h.reportNum%uint32(len(h.requests))] = request{h.reportNum, now}
	h.lastReport = now
	return append(out, Message{h.owner, Report{Quota: h.slot.id, Member: h.member, Incarnation: h.incarnation,
		Window: h.tokens.window, Num: h.reportNum,
		Returned: h.returned, Term: h.term, Received: h.total, Left: left, Want: want}})
}

// reportClosed returns tokens that were refunded in closed windows.
func (h *Holder) reportClosed(now int64) (out []Message) {
	kept := h.closed[:0]
	for _, p := range h.closed {
		if now >= p.expires {
			continue
		}
		for c := range classes {
			p.returned[c] += p.tokens.remove(1<<62, c)
		}
		if p.returned != p.returnedKnown && h.owner >= 0 {
			out = append(out, Message{h.owner,
				Report{Quota: h.slot.id, Member: h.member, Incarnation: h.incarnation, Window: p.tokens.window, Term: h.term,
					Returned: p.returned}})
		}
		kept = append(kept, p)
	}
	h.closed = kept
	return out
}

// HandleGrant handles an answer of the owner.
func (h *Holder) HandleGrant(g Grant, now int64) {
	if g.Quota != h.slot.id || g.Incarnation != h.incarnation {
		return
	}
	if g.Num == 0 || g.Window < h.tokens.window {
		for i := range h.closed {
			if h.closed[i].tokens.window == g.Window {
				h.closed[i].returnedKnown = h.closed[i].returnedKnown.max(g.ReturnedKnown)
			}
		}
		return
	}
	if g.Term < h.term {
		return
	}
	if g.Window > h.tokens.window {
		h.enterWindow(g.Window, now, g.Spread)
	}
	if g.Term > h.term {
		// what was returned in an earlier term and not saved in time counts as spent
		h.term, h.total, h.returned, h.returnedKnown = g.Term, Pair{}, Pair{}, Pair{}
		for i := range h.closed {
			h.closed[i].returned, h.closed[i].returnedKnown = Pair{}, Pair{}
		}
	}
	for c := range classes {
		h.tokens.left[c].Add(max(0, g.Total[c]-h.total[c]))
	}
	h.total, h.returnedKnown = h.total.max(g.Total), h.returnedKnown.max(g.ReturnedKnown)
	h.maxUnspent = g.MaxUnspent
	req := h.requests[g.Num%uint32(len(h.requests))]
	if req.num != g.Num {
		return // it answers a report that is too old to extend the lease
	}
	h.clocks.Record(h.owner, g.Wall, req.at, now)
	duration := min(h.cfg.LeaseDuration, g.Remaining)
	h.validUntil = max(h.validUntil, req.at+duration-duration/1e6*h.cfg.DriftPPM-h.cfg.DriftPPM)
	switch left := h.left(); g.Recall {
	case RecallAll:
		h.giveBack(left)
	case RecallSpare:
		need := h.need()
		h.giveBack(Pair{left[0] - need[0] - max(0, need[1]-left[1]), left[1] - need[1]})
	}
	h.publish(g, now)
}

// enterWindow leaves the current window for another.
func (h *Holder) enterWindow(window, now, spread int64) {
	if h.tokens.window != 0 {
		h.closed = append(h.closed, closedWindow{h.tokens, h.returned, h.returnedKnown, now + h.cfg.SealAfter})
	}
	h.tokens = &WindowTokens{window: window}
	h.total, h.returned, h.returnedKnown, h.prevDemanded, h.minLeft, h.validUntil =
		Pair{}, Pair{}, Pair{}, Pair{}, Pair{}, 0
	h.minLeftSince, h.spread = now, new([64]int64)
	for i := range h.spread {
		if spread > 0 {
			h.spread[i] = int64(h.random.Next() * float64(spread))
		}
	}
}

// publish replaces the snapshot for the admission path.
func (h *Holder) publish(g Grant, now int64) {
	snap := &snapshot{tokens: h.tokens, validUntil: h.validUntil, retryAfter: h.cfg.ReportInterval,
		reserveFrom: g.ReserveFrom, spread: h.spread}
	if g.OpensIn > 0 {
		snap.opensAt = now + g.OpensIn
	}
	h.slot.snapshot.Store(snap)
}
