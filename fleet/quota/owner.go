package quota

import "slices"

// Standing is how far an owner has come.
type Standing uint8

// Standings.
const (
	Reading Standing = iota // it asks the voters what was agreed on
	Granting
	Lost    // no majority of the voters has answered for a lease: nothing is handed out
	Deposed // a later term is at work: nothing is handed out any more
)

// Owner hands out one quota's tokens in one term. It grants nothing that a majority of the voters has not
// written down beforehand as handed out, so a later term counts it as spent.
type Owner struct {
	me       int
	term     uint64
	t        Terms
	q        Quota // as configured here
	voters   []int
	promised []promise // by voter
	standing Standing

	s      State   // what stands
	out    Pair    // handed out of the open window, or by earlier terms
	marked Pair    // how much of that window a majority holds as handed out
	window int64   // the open one, once a majority holds it; else 0
	demand []int64 // by place, until when it counts as asking
	asking int64   // how many do

	sent    State // on its way to the voters
	sentAt  int64 // last time
	begun   int64 // first time
	acks    []bool
	busy    bool
	dirty   bool
	saved   int64      // when the last state was sent that a majority holds
	doubts  []doubtful // by voter
	clocks  *Clocks
	refused bool // by the voters' clocks
}

type promise struct {
	given bool
	doubt bool
	sent  int64
	life  uint64 // to ask with
	state State
}

// doubtful is a voter that said it is in doubt; it is asked in once a state begun after that is held by a
// majority without it.
type doubtful struct {
	life uint64
	seq  uint64
}

// NewOwner begins a term, which must be above each earlier and this process's alone.
func NewOwner(me int, term uint64, q Quota, t Terms, voters []int, clocks *Clocks,
	now int64) (*Owner, []Letter) {
	o := &Owner{me: me, term: term, q: q, t: t, voters: voters, clocks: clocks, saved: now}
	o.promised = make([]promise, len(voters))
	o.doubts = make([]doubtful, len(voters))
	o.acks = make([]bool, len(voters))
	o.demand = make([]int64, t.Places)
	return o, o.ask(now)
}

func (o *Owner) majority() int { return len(o.voters)/2 + 1 }

func (o *Owner) ask(now int64) (out []Letter) {
	o.sentAt = now
	for i, v := range o.voters {
		if p := &o.promised[i]; !p.given || now-p.sent > o.t.Lease/2 {
			out = append(out, Letter{v, Promise{o.q.ID, o.term, o.me, now, p.life}})
		}
	}
	return out
}

// Promised takes a voter's answer.
func (o *Owner) Promised(a Promised, now, wall int64) []Letter {
	i := slices.Index(o.voters, a.Place)
	if i < 0 || a.Quota != o.q.ID {
		return nil
	}
	if a.Term > o.term {
		o.standing = Deposed
	}
	if a.Term != o.term && a.Given || o.standing == Deposed {
		return nil
	}
	p := &o.promised[i]
	if o.standing != Reading {
		if a.Given && a.Life != 0 && a.Life == o.doubts[i].life {
			o.doubts[i] = doubtful{}
			o.dirty = true
		}
		return nil
	}
	if !a.Given {
		again := p.life != a.Life
		p.life = a.Life
		if !again || a.Life == 0 {
			return nil
		}
		return []Letter{{a.Place, Promise{o.q.ID, o.term, o.me, now, a.Life}}}
	}
	*p = promise{true, a.Life != 0, a.Sent, a.Life, a.State}
	return o.begin(now, wall)
}

// begin goes on from the newest state once so many have promised that one of them must hold it, older copies
// allowed for.
func (o *Owner) begin(now, wall int64) []Letter {
	n, doubts, best := 0, 0, -1
	for i := range o.promised {
		p := &o.promised[i]
		if !p.given || now-p.sent > o.t.Lease {
			continue
		}
		n++
		if p.doubt {
			doubts++
		}
		if best < 0 || p.state.newer(&o.promised[best].state) {
			best = i
		}
	}
	if n < o.majority() || n < len(o.voters)-o.majority()+1+min(doubts, o.t.Old) {
		return nil
	}
	o.s = o.promised[best].state.copy()
	o.promised = make([]promise, len(o.voters))
	o.s.Term, o.s.Seq = o.term, 0
	if o.s.Quota.Edition > o.q.Edition {
		q := o.s.Quota
		c := q.Calendar
		if c, err := NewCalendar(c.Kind, c.Name, c.Length, c.Steps); err == nil {
			q.Calendar = c
			o.q = q
		}
	}
	o.s.Quota = o.q
	if w := o.last(); w != nil {
		w.Amount = o.q.Amount
		o.out = w.Mark
	}
	o.standing, o.saved = Granting, now
	o.mark(wall)
	return o.turn(now, wall)
}

func (o *Owner) last() *Window {
	if n := len(o.s.Windows); n > 0 {
		return &o.s.Windows[n-1]
	}
	return nil
}

// Configure takes a later edition of the quota, in force at once, its windows' kind after the open window.
func (o *Owner) Configure(q Quota, now, wall int64) []Letter {
	if q.Edition <= o.q.Edition || q.ID != o.q.ID {
		return nil
	}
	o.q, o.s.Quota = q, q
	if w := o.last(); w != nil {
		w.Amount = q.Amount
	}
	o.dirty = true
	return o.save(now, wall)
}

// Tick turns and seals windows and sends again what has no answer.
func (o *Owner) Tick(now, wall int64) []Letter {
	switch {
	case o.standing == Deposed:
		return nil
	case o.standing == Reading:
		if now-o.sentAt >= o.t.Every {
			return o.ask(now)
		}
		return o.begin(now, wall)
	case now-o.saved > o.t.Lease:
		o.standing = Lost
	default:
		o.standing = Granting
	}
	o.asking = 0
	for _, until := range o.demand {
		if until > now {
			o.asking++
		}
	}
	out := o.turn(now, wall)
	if o.busy && now-o.sentAt >= o.t.Every {
		out = append(out, o.send(now, wall)...)
	}
	return out
}

// turn closes the open window and opens the one of this moment. While most clocks heard are against this one
// it is not turned.
func (o *Owner) turn(now, wall int64) []Letter {
	if now-o.saved > o.t.Lease/4 {
		o.dirty = true // a sign of life from the voters
	}
	w := o.last()
	if self, _ := o.clocks.Judge(now, wall); self || w != nil && (wall < w.End || o.window != w.Start) {
		if w != nil && o.window != w.Start && !o.busy {
			o.dirty = true // of an earlier term, and not yet held in this one
		}
		return o.save(now, wall)
	}
	start, end := o.q.Calendar.At(wall)
	if w != nil {
		start = max(start, w.End)
		w.Mark = o.out // this term hands out no more of it
	}
	o.s.Windows = append(o.s.Windows, Window{Start: start, End: end, Amount: o.q.Amount})
	o.seal(wall)
	o.out, o.marked, o.window = Pair{}, Pair{}, 0
	clear(o.demand)
	o.dirty = true
	return o.save(now, wall)
}

// seal drops what no report can reach any more and no open window counts with.
func (o *Owner) seal(wall int64) {
	keep := o.t.Seal
	if o.q.Calendar.Kind == Sliding {
		keep = max(keep, o.q.Calendar.Length+o.q.Calendar.Length/o.q.Calendar.Steps)
	}
	for len(o.s.Windows) > 1 && o.s.Windows[0].End+keep <= wall {
		o.s.Windows[1].Carried = o.carried(1)
		o.s.Windows = o.s.Windows[1:]
	}
}

// carried is what the window before leaves to one. What may have been spent there falls as late reports come,
// so this only grows.
func (o *Owner) carried(i int) int64 {
	if i == 0 || o.s.Windows[i-1].End != o.s.Windows[i].Start || o.q.Calendar.Kind == Sliding {
		return o.s.Windows[i].Carried
	}
	w := &o.s.Windows[i-1]
	return min(o.q.Carry, max(0, w.Amount+o.carried(i-1)-w.charged(w.Mark)))
}

// free is what may still be handed out of the open window, by class, and how much of it at this moment.
func (o *Owner) free(wall int64) (all, due Pair) {
	n := len(o.s.Windows) - 1
	w := &o.s.Windows[n]
	allow, used := w.Amount+o.carried(n), w.charged(o.out)
	if o.q.Calendar.Kind == Sliding {
		for i := range n {
			if x := &o.s.Windows[i]; x.End > w.Start-o.q.Calendar.Length {
				used += x.charged(x.Mark)
			}
		}
	}
	kept := o.q.Reserve
	if o.q.Release > 0 && wall >= w.End-o.q.Release {
		kept = 0
	}
	class0 := o.out[0] - w.Returned[0]
	paced, into := allow, max(0, wall-w.Start)
	if o.q.Burst > 0 && wall < w.End {
		paced = min(paced, o.q.Burst+part(allow, into, w.End-w.Start))
	}
	if o.q.Ramp > 0 && into < o.q.Ramp {
		paced = min(paced, part(allow, into, o.q.Ramp))
	}
	of := func(most int64) Pair { return Pair{max(0, min(most-used, allow-kept-class0)), max(0, most-used)} }
	return of(allow), of(paced)
}

// part is amount times a share below 1.
func part(amount, into, whole int64) int64 {
	return int64(float64(amount) * (float64(into) / float64(whole)))
}

// mark wants more written down as handed out, ahead of need.
func (o *Owner) mark(wall int64) {
	w := o.last()
	if w == nil {
		return
	}
	all, _ := o.free(wall)
	for c := range classes {
		if ahead := min(o.q.Ahead, all[c]); (c == 0 || all[0] <= 0) && w.Mark[c]-o.out[c] < (ahead+1)/2 {
			w.Mark[c] = max(w.Mark[c], o.out[c]+ahead)
			o.dirty = true
		}
	}
}

func (o *Owner) save(now, wall int64) []Letter {
	if o.busy || !o.dirty || o.standing == Reading || o.standing == Deposed {
		return nil
	}
	o.mark(wall)
	o.s.Seq++
	o.sent, o.busy, o.dirty, o.begun = o.s.copy(), true, false, now
	clear(o.acks)
	return o.send(now, wall)
}

func (o *Owner) send(now, wall int64) (out []Letter) {
	o.sentAt = now
	o.sent.Sent = now
	for i, v := range o.voters {
		if !o.acks[i] {
			out = append(out, Letter{v, Save{o.q.ID, o.me, o.sent}})
		}
	}
	return out
}

// Saved takes a voter's answer.
func (o *Owner) Saved(a Saved, now, wall int64) (out []Letter) {
	i := slices.Index(o.voters, a.Place)
	if i < 0 || a.Quota != o.q.ID || o.standing == Reading || o.standing == Deposed {
		return nil
	}
	if a.Term > o.term {
		o.standing = Deposed
		return nil
	}
	o.clocks.Hear(a.Place, a.Wall, a.Sent, now)
	if !a.OK {
		o.refused = o.refused || a.Clock
		if a.Life != 0 && o.doubts[i].life != a.Life {
			o.doubts[i] = doubtful{a.Life, o.s.Seq + 1}
		}
		return nil
	}
	if a.Term != o.term || !o.busy || a.Seq != o.sent.Seq || o.acks[i] {
		return nil
	}
	o.acks[i] = true
	n := 0
	for _, yes := range o.acks {
		if yes {
			n++
		}
	}
	if n < o.majority() {
		return nil
	}
	o.busy, o.refused, o.saved, o.standing = false, false, o.begun, Granting
	if n := len(o.sent.Windows); n > 0 && o.sent.Windows[n-1].Start == o.last().Start {
		o.window, o.marked = o.last().Start, o.sent.Windows[n-1].Mark
	}
	for i, d := range o.doubts {
		if d.life != 0 && o.sent.Seq >= d.seq {
			out = append(out, Letter{o.voters[i], Promise{o.q.ID, o.term, o.me, now, d.life}})
		}
	}
	return append(out, o.save(now, wall)...)
}

// Report takes a process's report and answers it.
func (o *Owner) Report(r Report, now, wall int64) []Letter {
	silent := o.standing == Reading || o.standing == Deposed
	if silent || r.Quota != o.q.ID || r.Place < 0 || r.Place >= o.t.Places {
		return nil
	}
	out := o.closed(r)
	w := o.last()
	if w == nil || r.Num == 0 && r.Window != w.Start {
		return out
	}
	h := w.holder(r.Place, r.Life)
	if h == nil {
		return out
	}
	late := r.Num <= h.Num
	if r.Window == w.Start && r.Term == o.term {
		w.gives(h, r.Returned)
	}
	if !late {
		h.Num, h.Left, h.Heard = r.Num, Pair{}, Pair{}
		if r.Window == w.Start {
			h.Left = r.Left
			if r.Term == o.term {
				h.Heard = r.Heard
			}
		}
	}
	self, _ := o.clocks.Judge(now, wall)
	if self || r.Num == 0 || o.window != w.Start || o.standing != Granting {
		// a window that no majority holds, or no longer, or that ends by a clock that is off, is told to
		// nobody
		return out
	}
	if r.Want.sum() > 0 && !late {
		o.demand[r.Place] = now + o.t.Lease
		if wall < w.End {
			o.grant(w, h, r.Want, wall)
		}
	}
	g := Grant{Quota: o.q.ID, Life: r.Life, Term: o.term, Window: w.Start, Num: r.Num,
		Total: h.Total, Heard: h.Returned, Rest: w.End - wall, From: o.q.From, Slice: o.q.Slice,
		Spread: o.q.Spread, Wall: wall}
	all, _ := o.free(wall)
	if all[1] <= 0 {
		g.Opens = g.Rest
	}
	switch {
	case w.charged(o.out) > w.Amount+o.carried(len(o.s.Windows)-1):
		g.Recall = All
	case all[0] <= 0:
		g.Recall = Spare
	}
	out = append(out, Letter{r.Place, g})
	o.mark(wall)
	return append(out, o.save(now, wall)...)
}

// closed takes what a report says of a window that was closed, until that is sealed.
func (o *Owner) closed(r Report) (out []Letter) {
	for i := range o.s.Windows[:max(0, len(o.s.Windows)-1)] {
		w := &o.s.Windows[i]
		if w.Start != r.Window {
			continue
		}
		if h := w.holder(r.Place, r.Life); h != nil && r.Term == o.term {
			w.gives(h, r.Returned)
			out = append(out, Letter{r.Place,
				Grant{Quota: o.q.ID, Life: r.Life, Term: o.term, Window: w.Start, Heard: h.Returned}})
		}
	}
	return out
}

// holder gives a process's entry. One that restarted takes its place's: what the earlier life had and did not
// give back is spent.
func (w *Window) holder(place int, life uint64) *Held {
	i, had := slices.BinarySearchFunc(w.held, place, func(h Held, p int) int { return h.Place - p })
	if !had {
		w.held = slices.Insert(w.held, i, Held{Place: place, Life: life})
	}
	h := &w.held[i]
	if life > h.Life {
		*h = Held{Place: place, Life: life, Deaths: h.Deaths + 1}
	}
	if life < h.Life {
		return nil
	}
	return h
}

// grant hands out: no more than is wanted, than the process may hold unspent, than its even share of what is
// due, than is written down. A place that died in this window holds half as much for each time, so that dying
// wins nothing.
func (o *Owner) grant(w *Window, h *Held, want Pair, wall int64) {
	slice := max(1, o.q.Slice>>min(h.Deaths, 62))
	for c := range classes {
		_, due := o.free(wall)
		if c == 1 && due[0] > 0 {
			break // the reserve is for when the rest is spent
		}
		n := want[c]
		if c == 0 {
			n += want[1] // the valuable take of the rest while there is some
		}
		even := max(1, due[c]/max(1, o.asking))
		n = min(n, slice-h.unspent(0)-h.unspent(1), even, due[c], o.marked[c]-o.out[c])
		if n > 0 {
			o.out[c] += n
			h.Total[c] += n
		}
	}
}

// Status is what an operator is shown.
type Status struct {
	Standing Standing
	Voters   int // that promised, while Reading
	// voters in doubt that this term may not ask in before a majority of the others holds its state
	Doubts  int
	Needed  int  // the least that must
	Clock   bool // voters do not agree to a window, or most clocks heard are against this one
	Window  int64
	Allowed int64
	Charged int64
}

// Status gives the owner's standing.
func (o *Owner) Status(now, wall int64) Status {
	s := Status{Standing: o.standing, Needed: o.majority(), Clock: o.refused}
	for _, p := range o.promised {
		if p.given && now-p.sent <= o.t.Lease {
			s.Voters++
		}
	}
	for _, d := range o.doubts {
		if d.life != 0 {
			s.Doubts++
		}
	}
	if self, _ := o.clocks.Judge(now, wall); self {
		s.Clock = true
	}
	if w := o.last(); w != nil && o.standing != Reading {
		s.Window, s.Allowed, s.Charged = w.Start, w.Amount+o.carried(len(o.s.Windows)-1), w.charged(o.out)
	}
	return s
}
