package quota

import "slices"

// Phase is the phase of an owner.
type Phase uint8

// The phases of an owner.
const (
	Reading Phase = iota // it reads the latest state from the voters
	Granting
	NoMajority // no majority of the voters has answered for the duration of a lease: nothing is granted
	Superseded // a later term exists: nothing is granted any more
)

// Owner grants the tokens of one quota in one term. It must never grant tokens that a majority of the voters has not
// saved as granted beforehand, so that a later term counts them as spent.
type Owner struct {
	member   int
	term     uint64
	cfg      Config
	quota    Quota // as configured on this member
	voters   []int
	promises []promiseState // by voter
	phase    Phase

	state           State   // latest, saved or not
	granted         Pair    // of the open window, in this term or earlier ones
	maxGranted      Pair    // of that window, as saved by a majority
	confirmedWindow int64   // start of the open window once a majority has saved it; otherwise 0
	demandUntil     []int64 // by member: until when it counts as active
	active          int64   // number of members with demand

	sent         State // being saved by the voters
	sentAt       int64 // when it was last sent
	sentFirst    int64 // when it was first sent
	acks         []bool
	saving       bool
	dirty        bool
	confirmedAt  int64   // when the latest state was sent that a majority has saved
	doubts       []doubt // by voter
	clocks       *Clocks
	clockRefused bool // a voter rejected a window by its clock
}

type promiseState struct {
	given       bool
	inDoubt     bool
	sent        int64
	incarnation uint64 // for the next request
	state       State
}

// doubt describes a voter that reported to be in doubt. Its promise is requested once a state that was started after
// that report is saved by a majority without it.
type doubt struct {
	incarnation uint64
	seq         uint64
}

// NewOwner starts a term, which must be greater than all earlier ones and used by this process alone.
func NewOwner(member int, term uint64, q Quota, cfg Config, voters []int, clocks *Clocks,
	now int64) (*Owner, []Message) {
	o := &Owner{member: member, term: term, quota: q, cfg: cfg, voters: voters, clocks: clocks, confirmedAt: now}
	o.promises = make([]promiseState, len(voters))
	o.doubts = make([]doubt, len(voters))
	o.acks = make([]bool, len(voters))
	o.demandUntil = make([]int64, cfg.Members)
	return o, o.requestPromises(now)
}

func (o *Owner) majority() int { return len(o.voters)/2 + 1 }

func (o *Owner) requestPromises(now int64) (out []Message) {
	o.sentAt = now
	for i, v := range o.voters {
		if p := &o.promises[i]; !p.given || now-p.sent > o.cfg.LeaseDuration/2 {
			out = append(out, Message{v, PromiseRequest{o.quota.ID, o.term, o.member, now, p.incarnation}})
		}
	}
	return out
}

// HandlePromiseReply handles a voter's answer to a PromiseRequest.
func (o *Owner) HandlePromiseReply(a PromiseReply, now, wall int64) []Message {
	i := slices.Index(o.voters, a.Member)
	if i < 0 || a.Quota != o.quota.ID {
		return nil
	}
	if a.Term > o.term {
		o.phase = Superseded
	}
	if a.Term != o.term && a.Given || o.phase == Superseded {
		return nil
	}
	p := &o.promises[i]
	if o.phase != Reading {
		if a.Given && a.Incarnation != 0 && a.Incarnation == o.doubts[i].incarnation {
			o.doubts[i] = doubt{}
			o.dirty = true
		}
		return nil
	}
	if !a.Given {
		retry := p.incarnation != a.Incarnation
		p.incarnation = a.Incarnation
		if !retry || a.Incarnation == 0 {
			return nil
		}
		return []Message{{a.Member, PromiseRequest{o.quota.ID, o.term, o.member, now, a.Incarnation}}}
	}
	*p = promiseState{true, a.Incarnation != 0, a.Sent, a.Incarnation, a.State}
	return o.start(now, wall)
}

// start continues from the newest state once enough voters have promised that one of them must hold it, even if up to
// MaxRolledBack of them hold an older copy.
func (o *Owner) start(now, wall int64) []Message {
	n, doubts, newest := 0, 0, -1
	for i := range o.promises {
		p := &o.promises[i]
		if !p.given || now-p.sent > o.cfg.LeaseDuration {
			continue
		}
		n++
		if p.inDoubt {
			doubts++
		}
		if newest < 0 || p.state.isNewerThan(&o.promises[newest].state) {
			newest = i
		}
	}
	if n < o.majority() || n < len(o.voters)-o.majority()+1+min(doubts, o.cfg.MaxRolledBack) {
		return nil
	}
	o.state = o.promises[newest].state.copy()
	o.promises = make([]promiseState, len(o.voters))
	o.state.Term, o.state.Seq = o.term, 0
	if o.state.Quota.Version > o.quota.Version {
		q := o.state.Quota
		c := q.Calendar
		if c, err := NewCalendar(c.Kind, c.Name, c.Length, c.Steps); err == nil {
			q.Calendar = c
			o.quota = q
		}
	}
	o.state.Quota = o.quota
	if w := o.openWindow(); w != nil {
		w.Amount = o.quota.Amount
		o.granted = w.MaxGranted
	}
	o.phase, o.confirmedAt = Granting, now
	o.raiseMaxGranted(wall)
	return o.turnWindow(now, wall)
}

func (o *Owner) openWindow() *Window {
	if n := len(o.state.Windows); n > 0 {
		return &o.state.Windows[n-1]
	}
	return nil
}

// Configure applies a later version of the quota at once; the kind of its windows after the open window.
func (o *Owner) Configure(q Quota, now, wall int64) []Message {
	if q.Version <= o.quota.Version || q.ID != o.quota.ID {
		return nil
	}
	o.quota, o.state.Quota = q, q
	if w := o.openWindow(); w != nil {
		w.Amount = q.Amount
	}
	o.dirty = true
	return o.save(now, wall)
}

// Tick turns and seals windows and resends what has no answer.
func (o *Owner) Tick(now, wall int64) []Message {
	switch {
	case o.phase == Superseded:
		return nil
	case o.phase == Reading:
		if now-o.sentAt >= o.cfg.ReportInterval {
			return o.requestPromises(now)
		}
		return o.start(now, wall)
	case now-o.confirmedAt > o.cfg.LeaseDuration:
		o.phase = NoMajority
	default:
		o.phase = Granting
	}
	o.active = 0
	for _, until := range o.demandUntil {
		if until > now {
			o.active++
		}
	}
	out := o.turnWindow(now, wall)
	if o.saving && now-o.sentAt >= o.cfg.ReportInterval {
		out = append(out, o.sendState(now, wall)...)
	}
	return out
}

// turnWindow closes the open window and opens the current one. It does not while this process's clock deviates from at
// least half of the known clocks.
func (o *Owner) turnWindow(now, wall int64) []Message {
	if now-o.confirmedAt > o.cfg.LeaseDuration/4 {
		o.dirty = true // saves again, to confirm that a majority still answers
	}
	w := o.openWindow()
	if self, _ := o.clocks.Judge(now, wall); self || w != nil && (wall < w.End || o.confirmedWindow != w.Start) {
		if w != nil && o.confirmedWindow != w.Start && !o.saving {
			o.dirty = true // the window is of an earlier term and not saved in this one
		}
		return o.save(now, wall)
	}
	start, end := o.quota.Calendar.At(wall)
	if w != nil {
		start = max(start, w.End)
		w.MaxGranted = o.granted // this term grants no more of it
	}
	o.state.Windows = append(o.state.Windows, Window{Start: start, End: end, Amount: o.quota.Amount})
	o.sealWindows(wall)
	o.granted, o.maxGranted, o.confirmedWindow = Pair{}, Pair{}, 0
	clear(o.demandUntil)
	o.dirty = true
	return o.save(now, wall)
}

// sealWindows drops windows that no report can refer to any more and that do not count with the open window.
func (o *Owner) sealWindows(wall int64) {
	keep := o.cfg.SealAfter
	if o.quota.Calendar.Kind == Sliding {
		keep = max(keep, o.quota.Calendar.Length+o.quota.Calendar.Length/o.quota.Calendar.Steps)
	}
	for len(o.state.Windows) > 1 && o.state.Windows[0].End+keep <= wall {
		o.state.Windows[1].Carried = o.carried(1)
		o.state.Windows = o.state.Windows[1:]
	}
}

// carried returns how much the preceding window carries over to window i. It only grows, as late reports reduce what
// may have been spent in that window.
func (o *Owner) carried(i int) int64 {
	if i == 0 || o.state.Windows[i-1].End != o.state.Windows[i].Start || o.quota.Calendar.Kind == Sliding {
		return o.state.Windows[i].Carried
	}
	previous := &o.state.Windows[i-1]
	return min(o.quota.MaxCarry, max(0, previous.Amount+o.carried(i-1)-previous.charged(previous.MaxGranted)))
}

// available returns what may still be granted of the open window, by class, and how much of that now.
func (o *Owner) available(wall int64) (all, due Pair) {
	n := len(o.state.Windows) - 1
	w := &o.state.Windows[n]
	allowed, used := w.Amount+o.carried(n), w.charged(o.granted)
	if o.quota.Calendar.Kind == Sliding {
		for i := range n {
			if x := &o.state.Windows[i]; x.End > w.Start-o.quota.Calendar.Length {
				used += x.charged(x.MaxGranted)
			}
		}
	}
	reserve := o.quota.Reserve
	if o.quota.ReserveRelease > 0 && wall >= w.End-o.quota.ReserveRelease {
		reserve = 0
	}
	grantedClass0 := o.granted[0] - w.Returned[0]
	paced, elapsed := allowed, max(0, wall-w.Start)
	if o.quota.Burst > 0 && wall < w.End {
		paced = min(paced, o.quota.Burst+proportion(allowed, elapsed, w.End-w.Start))
	}
	if o.quota.Ramp > 0 && elapsed < o.quota.Ramp {
		paced = min(paced, proportion(allowed, elapsed, o.quota.Ramp))
	}
	split := func(limit int64) Pair {
		return Pair{max(0, min(limit-used, allowed-reserve-grantedClass0)), max(0, limit-used)}
	}
	return split(allowed), split(paced)
}

// proportion returns amount times into/whole, a fraction below 1.
func proportion(amount, into, whole int64) int64 {
	return int64(float64(amount) * (float64(into) / float64(whole)))
}

// raiseMaxGranted raises the bound of granted tokens that is to be saved, ahead of need.
func (o *Owner) raiseMaxGranted(wall int64) {
	w := o.openWindow()
	if w == nil {
		return
	}
	all, _ := o.available(wall)
	for c := range classes {
		if ahead := min(o.quota.WriteAhead, all[c]); (c == 0 || all[0] <= 0) &&
			w.MaxGranted[c]-o.granted[c] < (ahead+1)/2 {
			w.MaxGranted[c] = max(w.MaxGranted[c], o.granted[c]+ahead)
			o.dirty = true
		}
	}
}

func (o *Owner) save(now, wall int64) []Message {
	if o.saving || !o.dirty || o.phase == Reading || o.phase == Superseded {
		return nil
	}
	o.raiseMaxGranted(wall)
	o.state.Seq++
	o.sent, o.saving, o.dirty, o.sentFirst = o.state.copy(), true, false, now
	clear(o.acks)
	return o.sendState(now, wall)
}

func (o *Owner) sendState(now, wall int64) (out []Message) {
	o.sentAt = now
	o.sent.Sent = now
	for i, v := range o.voters {
		if !o.acks[i] {
			out = append(out, Message{v, SaveRequest{o.quota.ID, o.member, o.sent}})
		}
	}
	return out
}

// HandleSaveReply handles a voter's answer to a SaveRequest.
func (o *Owner) HandleSaveReply(a SaveReply, now, wall int64) (out []Message) {
	i := slices.Index(o.voters, a.Member)
	if i < 0 || a.Quota != o.quota.ID || o.phase == Reading || o.phase == Superseded {
		return nil
	}
	if a.Term > o.term {
		o.phase = Superseded
		return nil
	}
	o.clocks.Record(a.Member, a.Wall, a.Sent, now)
	if !a.OK {
		o.clockRefused = o.clockRefused || a.ClockMismatch
		if a.Incarnation != 0 && o.doubts[i].incarnation != a.Incarnation {
			o.doubts[i] = doubt{a.Incarnation, o.state.Seq + 1}
		}
		return nil
	}
	if a.Term != o.term || !o.saving || a.Seq != o.sent.Seq || o.acks[i] {
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
	o.saving, o.clockRefused, o.confirmedAt, o.phase = false, false, o.sentFirst, Granting
	if n := len(o.sent.Windows); n > 0 && o.sent.Windows[n-1].Start == o.openWindow().Start {
		o.confirmedWindow, o.maxGranted = o.openWindow().Start, o.sent.Windows[n-1].MaxGranted
	}
	for i, d := range o.doubts {
		if d.incarnation != 0 && o.sent.Seq >= d.seq {
			out = append(out, Message{o.voters[i], PromiseRequest{o.quota.ID, o.term, o.member, now, d.incarnation}})
		}
	}
	return append(out, o.save(now, wall)...)
}

// HandleReport handles the report of a process and answers it.
func (o *Owner) HandleReport(r Report, now, wall int64) []Message {
	silent := o.phase == Reading || o.phase == Superseded
	if silent || r.Quota != o.quota.ID || r.Member < 0 || r.Member >= o.cfg.Members {
		return nil
	}
	out := o.reportOfClosed(r)
	w := o.openWindow()
	if w == nil || r.Num == 0 && r.Window != w.Start {
		return out
	}
	h := w.holderOf(r.Member, r.Incarnation)
	if h == nil {
		return out
	}
	late := r.Num <= h.Num
	if r.Window == w.Start && r.Term == o.term {
		w.recordReturned(h, r.Returned)
	}
	if !late {
		h.Num, h.Left, h.Received = r.Num, Pair{}, Pair{}
		if r.Window == w.Start {
			h.Left = r.Left
			if r.Term == o.term {
				h.Received = r.Received
			}
		}
	}
	self, _ := o.clocks.Judge(now, wall)
	if self || r.Num == 0 || o.confirmedWindow != w.Start || o.phase != Granting {
		// no grant refers to a window that no majority has saved, or no longer confirms, or that is judged by a
		// clock that deviates
		return out
	}
	if r.Want.sum() > 0 && !late {
		o.demandUntil[r.Member] = now + o.cfg.LeaseDuration
		if wall < w.End {
			o.grant(w, h, r.Want, wall)
		}
	}
	g := Grant{Quota: o.quota.ID, Incarnation: r.Incarnation, Term: o.term, Window: w.Start, Num: r.Num,
		Total: h.Total, ReturnedKnown: h.Returned, Remaining: w.End - wall, ReserveFrom: o.quota.ReserveFrom,
		MaxUnspent: o.quota.MaxUnspent,
		Spread:     o.quota.Spread, Wall: wall}
	all, _ := o.available(wall)
	if all[1] <= 0 {
		g.OpensIn = g.Remaining
	}
	switch {
	case w.charged(o.granted) > w.Amount+o.carried(len(o.state.Windows)-1):
		g.Recall = RecallAll
	case all[0] <= 0:
		g.Recall = RecallSpare
	}
	out = append(out, Message{r.Member, g})
	o.raiseMaxGranted(wall)
	return append(out, o.save(now, wall)...)
}

// reportOfClosed records what a report returns to a closed window that is not sealed yet.
func (o *Owner) reportOfClosed(r Report) (out []Message) {
	for i := range o.state.Windows[:max(0, len(o.state.Windows)-1)] {
		w := &o.state.Windows[i]
		if w.Start != r.Window {
			continue
		}
		if h := w.holderOf(r.Member, r.Incarnation); h != nil && r.Term == o.term {
			w.recordReturned(h, r.Returned)
			out = append(out, Message{r.Member,
				Grant{Quota: o.quota.ID, Incarnation: r.Incarnation, Term: o.term, Window: w.Start, ReturnedKnown: h.Returned}})
		}
	}
	return out
}

// holderOf returns the entry of a process, or nil if a later incarnation is known. A restarted process replaces the
// entry of its member: what the earlier incarnation held and did not return counts as spent.
func (w *Window) holderOf(member int, incarnation uint64) *HeldTokens {
	i, found := slices.BinarySearchFunc(w.held, member, func(h HeldTokens, p int) int { return h.Member - p })
	if !found {
		w.held = slices.Insert(w.held, i, HeldTokens{Member: member, Incarnation: incarnation})
	}
	h := &w.held[i]
	if incarnation > h.Incarnation {
		*h = HeldTokens{Member: member, Incarnation: incarnation, Restarts: h.Restarts + 1}
	}
	if incarnation < h.Incarnation {
		return nil
	}
	return h
}

// grant grants tokens: no more than the process wants, may hold unspent, its even share of what is available now, and
// what is saved. A member that restarted in this window may hold half as much for each restart, so that restarts gain
// nothing.
func (o *Owner) grant(w *Window, h *HeldTokens, want Pair, wall int64) {
	maxUnspent := max(1, o.quota.MaxUnspent>>min(h.Restarts, 62))
	for c := range classes {
		_, due := o.available(wall)
		if c == 1 && due[0] > 0 {
			break // the reserve is used once the rest is spent
		}
		n := want[c]
		if c == 0 {
			n += want[1] // reqs that may use the reserve take from the rest first
		}
		evenShare := max(1, due[c]/max(1, o.active))
		n = min(n, maxUnspent-h.unspent(0)-h.unspent(1), evenShare, due[c], o.maxGranted[c]-o.granted[c])
		if n > 0 {
			o.granted[c] += n
			h.Total[c] += n
		}
	}
}

// Status describes an owner, for operators.
type Status struct {
	Phase  Phase
	Voters int // that promised, while Reading
	// voters in doubt, which this term readmits only once a majority of the others has saved its state
	InDoubt       int
	Needed        int  // voters that must promise, at least
	ClockMismatch bool // a voter rejected a window, or this process's clock deviates
	Window        int64
	Allowed       int64
	Charged       int64
}

// Status returns the status of the owner.
func (o *Owner) Status(now, wall int64) Status {
	s := Status{Phase: o.phase, Needed: o.majority(), ClockMismatch: o.clockRefused}
	for _, p := range o.promises {
		if p.given && now-p.sent <= o.cfg.LeaseDuration {
			s.Voters++
		}
	}
	for _, d := range o.doubts {
		if d.incarnation != 0 {
			s.InDoubt++
		}
	}
	if self, _ := o.clocks.Judge(now, wall); self {
		s.ClockMismatch = true
	}
	if w := o.openWindow(); w != nil && o.phase != Reading {
		s.Window, s.Allowed, s.Charged = w.Start, w.Amount+o.carried(len(o.state.Windows)-1), w.charged(o.granted)
	}
	return s
}
