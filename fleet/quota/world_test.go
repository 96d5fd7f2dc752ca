package quota

import (
	"fmt"
	"slices"

	"ivybank/internal/rng"
)

// world is a fleet in virtual time: the cores as they are, a net that loses, doubles and delays, clients, and
// a count of what ran that nothing of the cores takes part in. Tests alone write to it.
const (
	ms     = int64(1e6)
	second = int64(1e9)
)

// flaw is what is broken, for a test to catch it.
type flaw struct{ refundTwice, addReports, ownClock, freshAtRestart, noFence, noMark, receipt, freeTurn bool }

type world struct {
	q           Quota
	t           Terms
	f           flaw
	tick        int64
	now         int64 // true time, ns since the beginning
	began       int64 // Unix ns
	procs       []*proc
	cut         [][]bool // from, to
	way, spare  []flying
	dice        rng.Source
	loss        float64
	double      float64
	delay       int64 // at the most
	term        uint64
	at          int // the owner's place
	life        uint64
	effects     map[int64]int64 // by window, what ran or may have; grown for the length of a test
	early, late int64           // furthest that a req counted in a window was from its true time
	added       map[string]Pair
}

type flying struct {
	at, sent int64
	from, to int
	body     any
}

type proc struct {
	place          int
	up, paused     bool
	life           uint64
	off            int64 // of its wall clock
	voter          Voter
	file           []Voter // as it was written, oldest first; the last few
	rolled         bool
	holder         *Holder
	owner          *Owner
	clocks         *Clocks
	book           *Book
	open           []opened
	keys           map[uint64]*one // by key, the last that was charged
	denied, served int
	last           Verdict
}

type opened struct {
	at     int64
	t      Ticket
	charge Charge
	one    *one
}

// one is a client's req, of all its dispatches.
type one struct {
	window, amount int64
	open           int
	ran            bool
}

func terms() Terms {
	return Terms{Every: 100 * ms, Lease: 2 * second, Seal: 30 * second, Skew: second, Drift: 200, Old: 1,
		Places: 3}
}

func minutely(amount int64) Quota {
	c, err := NewCalendar(Minute, "UTC", 0, 0)
	if err != nil {
		panic(err)
	}
	return Quota{ID: 1, Edition: 1, Tenant: "t", Calendar: c, Amount: amount, Slice: max(1, amount/10),
		Ahead: max(1, amount/10), Spread: second}
}

// newWorld begins ten seconds before a minute's end.
func newWorld(q Quota, t Terms, places int, seed uint64) *world {
	w := &world{tick: 50 * ms, q: q, t: t, began: 1_800_000_050 * second, dice: rng.Source{Seed: seed},
		delay: 5 * ms, effects: map[int64]int64{},
		added: map[string]Pair{}}
	w.t.Places = places
	for i := range places {
		w.procs = append(w.procs, &proc{place: i})
		w.cut = append(w.cut, make([]bool, places))
		w.start(i)
	}
	return w
}

func (w *world) wall(p *proc) int64 { return w.began + w.now + p.off }

func (w *world) start(i int) {
	p := w.procs[i]
	w.life++
	p.up, p.paused, p.life, p.owner, p.open, p.keys = true, false, w.life, nil, nil, map[uint64]*one{}
	p.clocks = NewClocks(i, w.t.Places, w.t.Skew, 20*second)
	if w.f.freeTurn {
		p.clocks.bound = 1 << 62
	}
	p.book = NewBook(10*second, 64)
	old := p.holder
	p.holder = NewHolder(w.q, w.t, i, p.life, w.life, p.clocks)
	if w.f.freshAtRestart && old != nil {
		// it takes up what it was given as if nothing of it had been spent
		p.holder.life, p.life = old.life, old.life
		p.holder.cell = &Cell{window: old.cell.window}
		p.holder.term, p.holder.total = old.term, old.total
		p.holder.num = old.num
		for c := range classes {
			p.holder.cell.left[c].Store(old.total[c])
		}
	}
	p.book.Add("t", p.holder.Slot())
	if old != nil {
		p.holder.Owner(old.owner)
	}
}

func (w *world) kill(i int) {
	p := w.procs[i]
	p.up, p.owner, p.open = false, nil, nil
}

// back starts a process again, with its file as it was `older` writings ago.
func (w *world) back(i, older int) {
	p := w.procs[i]
	if p.up {
		return
	}
	if older > 0 && w.t.Old > 0 {
		for _, x := range w.procs {
			if x != p && x.rolled {
				older = 0 // no more than one at once, by the terms
			}
		}
	} else {
		older = 0
	}
	if n := len(p.file); n > 0 {
		k := max(0, n-1-older)
		p.rolled = p.rolled || k < n-1
		p.file = p.file[:k+1]
		p.voter = Return(p.file[k], w.t, w.life+1, w.now)
	}
	w.start(i)
}

// own has a process begin a term.
func (w *world) own(i int) {
	p := w.procs[i]
	if !p.up || p.paused {
		return
	}
	w.term++
	o, out := NewOwner(i, w.term, w.q, w.t, w.voters(), p.clocks, w.now)
	p.owner = o
	w.send(i, out)
	w.at = i
	w.tell()
}

// tell has those that are reached know whose place the owner's is.
func (w *world) tell() {
	for _, x := range w.procs {
		if !w.cut[w.at][x.place] {
			x.holder.Owner(w.at)
		}
	}
}

func (w *world) heal() {
	for i := range w.cut {
		clear(w.cut[i])
	}
	w.tell()
}

func (w *world) voters() (all []int) {
	for i := range min(3, len(w.procs)) {
		all = append(all, i)
	}
	return all
}

func (w *world) send(from int, out []Letter) {
	for _, l := range out {
		if w.cut[from][l.To] {
			continue
		}
		for {
			if l.To == from {
				w.way = append(w.way, flying{w.now, w.now, from, l.To, l.Body})
				break
			}
			if w.dice.Next() >= w.loss {
				w.way = append(w.way, flying{w.now + int64(w.dice.Next()*float64(w.delay)), w.now, from, l.To, l.Body})
			}
			if w.dice.Next() >= w.double {
				break
			}
			if w.dice.Next() < 0.2 { // a copy that comes a whole window later
				w.way = append(w.way, flying{w.now + 60*second, w.now, from, l.To, l.Body})
			}
		}
	}
}

func (w *world) deliver() {
	way := w.way
	w.way = w.spare[:0]
	for _, f := range way {
		p := w.procs[f.to]
		if p.paused && p.up || f.at > w.now {
			w.way = append(w.way, f)
		} else if p.up {
			w.take(p, f)
		}
	}
	w.spare = way
}

func (w *world) take(p *proc, f flying) {
	wall := w.wall(p)
	switch m := f.body.(type) {
	case Report:
		if p.owner == nil {
			return
		}
		if w.f.addReports {
			k := fmt.Sprint(f.to, m.Place, m.Life, m.Window, m.Term)
			m.Returned = Pair{m.Returned[0] + w.added[k][0], m.Returned[1] + w.added[k][1]}
			w.added[k] = m.Returned
		}
		w.send(p.place, p.owner.Report(m, w.now, wall))
	case Grant:
		if w.f.receipt {
			p.holder.asks[m.Num%8] = ask{m.Num, w.now}
		}
		p.holder.Grant(m, w.now)
	case Promise:
		if w.f.noFence {
			p.voter.Promised = min(p.voter.Promised, m.Term)
			p.voter.Life = 0
		}
		out := p.voter.Promise(m, p.place, w.now)
		w.write(p)
		w.send(p.place, out)
	case Save:
		if w.f.noFence {
			p.voter.Promised, p.voter.Life = 0, 0
		}
		if w.f.freeTurn {
			wall = 1 << 62
		}
		out := p.voter.Save(m, p.place, w.t, w.now, wall)
		if p.voter.Life == 0 {
			p.rolled = false
		}
		w.write(p)
		w.send(p.place, out)
	case Promised:
		if p.owner != nil {
			if w.f.noMark {
				for i := range m.State.Windows {
					m.State.Windows[i].Mark = Pair{}
				}
			}
			w.send(p.place, p.owner.Promised(m, w.now, wall))
		}
	case Saved:
		if p.owner != nil {
			w.send(p.place, p.owner.Saved(m, w.now, wall))
		}
	}
}

func (w *world) write(p *proc) {
	p.file = append(p.file, p.voter) // its state is never written to, only replaced
	if len(p.file) > 40 {
		p.file = slices.Clone(p.file[1:])
	}
}

// ask is n reqs at a process; those that are let in run, or may have, unless they are known not to.
func (w *world) ask(i, n int, r Req, long int64, key uint64) {
	p := w.procs[i]
	if !p.up || p.paused {
		return
	}
	for range n {
		r.Key, r.Tenant = key, "t"
		t, v := p.book.Admit(w.now, r)
		p.last = v
		if v.Denied {
			p.denied++
			continue
		}
		p.served++
		x := opened{at: w.now + long, t: t, charge: t.charge}
		if t.charge.n == 0 {
			x.one = p.keys[key]
		} else {
			x.one = &one{window: t.charge.parts[0].cell.window, amount: w.q.Unit.of(&r)}
			w.effects[x.one.window] += x.one.amount
			w.strip(x.one.window)
			p.keys[key] = x.one
		}
		x.one.open++
		p.open = append(p.open, x)
	}
}

// strip notes how far a req is from the true time of the window it counts in.
func (w *world) strip(window int64) {
	_, end := w.q.Calendar.At(window)
	at := w.began + w.now
	w.early, w.late = max(w.early, window-at), max(w.late, at-end)
}

// end ends what is due; a part of it never ran.
func (w *world) end(p *proc, never float64) {
	kept := p.open[:0]
	for _, x := range p.open {
		if x.at > w.now {
			kept = append(kept, x)
			continue
		}
		ran := w.dice.Next() >= never
		x.one.open--
		x.one.ran = x.one.ran || ran
		if !x.one.ran && x.one.open == 0 {
			w.effects[x.one.window] -= x.one.amount
			if w.f.refundTwice {
				x.charge.Back()
			}
		}
		p.book.Done(&x.t, ran, Req{Cost: x.one.amount, Worth: x.one.amount})
	}
	p.open = kept
}

func (w *world) step(never float64) {
	w.now += w.tick
	w.deliver()
	for _, p := range w.procs {
		if !p.up || p.paused {
			continue
		}
		w.end(p, never)
		if w.f.ownClock {
			if start, _ := w.q.Calendar.At(w.wall(p)); p.holder.cell.window != 0 && start > p.holder.cell.window {
				total, term := p.holder.total, p.holder.term
				p.holder.turn(start, w.now, 0)
				p.holder.term, p.holder.total = term, total
				p.holder.cell.left[0].Store(total[0])
				p.holder.until = w.now + w.t.Lease
				p.holder.show(Grant{}, w.now)
			}
		}
		w.send(p.place, p.holder.Tick(w.now))
		if p.owner != nil {
			w.send(p.place, p.owner.Tick(w.now, w.wall(p)))
		}
	}
}

// over says where the count of what ran passes the quota; "" where it does not.
func (w *world) over() string {
	carried, span, before := int64(0), w.q.Calendar.span(), []int64(nil)
	c := &w.q.Calendar
	for x, end := c.At(w.began - 2*second); x <= w.began+w.now+3*second; x, end = c.At(end) {
		sum, allowed := w.effects[x], w.q.Amount+carried
		if span > 0 {
			for _, n := range before[max(0, len(before)-span):] {
				sum += n
			}
		}
		if sum > allowed {
			return fmt.Sprintf("%d in the window of %d, of %d", sum, x, allowed)
		}
		carried = min(w.q.Carry, allowed-w.effects[x])
		before = append(before, w.effects[x])
	}
	return ""
}
