package quota

import (
	"fmt"
	"slices"

	"ivybank/internal/rng"
)

// Units of time, in ns.
const (
	ms     = int64(1e6)
	second = int64(1e9)
)

// flaw selects deliberate faults that a test must catch.
type flaw struct {
	refundTwice, addReports, ownClock, freshAtRestart, noFence, grantBeforeSave, leaseFromReceipt, ignoreVoterClocks bool
}

// world is a fleet in virtual time: the holders, owners and voters under test, a network that loses, duplicates and
// delays messages, clients, and a count of what ran that is independent of the code under test.
type world struct {
	quota                 Quota
	cfg                   Config
	flaw                  flaw
	tick                  int64
	now                   int64 // true time, ns since the start
	startUnix             int64 // true time of the start, Unix ns
	procs                 []*proc
	cut                   [][]bool // from, to
	inFlight, spareBuffer []delivery
	random                rng.Source
	loss                  float64
	double                float64
	delay                 int64 // maximum, ns
	term                  uint64
	ownerIndex            int // member that owns the quota
	lastIncarnation       uint64
	ran                   map[int64]int64 // by window, the amount that ran or may have run
	early, late           int64           // maximum ns by which a req was before or after the window it counts in
	added                 map[string]Pair
}

type delivery struct {
	at, sent int64
	from, to int
	body     any
}

type proc struct {
	member         int
	up, paused     bool
	incarnation    uint64
	clockOffset    int64 // of its wall clock
	voter          Voter
	file           []Voter // as stored, oldest first; only the latest versions
	rolledBack     bool
	holder         *Holder
	owner          *Owner
	clocks         *Clocks
	limiter        *Limiter
	dispatches     []dispatch
	byKey          map[uint64]*clientReq // the latest charged req of each key
	denied, served int
	lastDecision   Decision
}

type dispatch struct {
	at     int64
	t      Ticket
	charge Charge
	req    *clientReq
}

// clientReq is a client's req with all its dispatches.
type clientReq struct {
	window, amount int64
	dispatches     int
	ran            bool
}

func testConfig() Config {
	return Config{ReportInterval: 100 * ms, LeaseDuration: 2 * second, SealAfter: 30 * second,
		MaxSkew: second, DriftPPM: 200, MaxRolledBack: 1,
		Members: 3}
}

func minuteQuota(amount int64) Quota {
	c, err := NewCalendar(Minute, "UTC", 0, 0)
	if err != nil {
		panic(err)
	}
	return Quota{ID: 1, Version: 1, Tenant: "t", Calendar: c, Amount: amount, MaxUnspent: max(1, amount/10),
		WriteAhead: max(1, amount/10), Spread: second}
}

// newWorld returns a fleet at 10 s before the end of a minute.
func newWorld(q Quota, t Config, members int, seed uint64) *world {
	w := &world{tick: 50 * ms, quota: q, cfg: t, startUnix: 1_800_000_050 * second, random: rng.Source{Seed: seed},
		delay: 5 * ms, ran: map[int64]int64{},
		added: map[string]Pair{}}
	w.cfg.Members = members
	for i := range members {
		w.procs = append(w.procs, &proc{member: i})
		w.cut = append(w.cut, make([]bool, members))
		w.start(i)
	}
	return w
}

func (w *world) wall(p *proc) int64 { return w.startUnix + w.now + p.clockOffset }

func (w *world) start(i int) {
	p := w.procs[i]
	w.lastIncarnation++
	p.up, p.paused, p.incarnation, p.owner, p.dispatches, p.byKey =
		true, false, w.lastIncarnation, nil, nil, map[uint64]*clientReq{}
	p.clocks = NewClocks(i, w.cfg.Members, w.cfg.MaxSkew, 20*second)
	if w.flaw.ignoreVoterClocks {
		p.clocks.maxSkew = 1 << 62
	}
	p.limiter = NewLimiter(10*second, 64)
	old := p.holder
	p.holder = NewHolder(w.quota, w.cfg, i, p.incarnation, w.lastIncarnation, p.clocks)
	if w.flaw.freshAtRestart && old != nil {
		// it continues with the granted totals as if no token had been spent
		p.holder.incarnation, p.incarnation = old.incarnation, old.incarnation
		p.holder.tokens = &WindowTokens{window: old.tokens.window}
		p.holder.term, p.holder.total = old.term, old.total
		p.holder.reportNum = old.reportNum
		for c := range classes {
			p.holder.tokens.left[c].Store(old.total[c])
		}
	}
	p.limiter.Add("t", p.holder.Slot())
	if old != nil {
		p.holder.SetOwner(old.owner)
	}
}

func (w *world) kill(i int) {
	p := w.procs[i]
	p.up, p.owner, p.dispatches = false, nil, nil
}

// back restarts a process with its file as it was `older` writes ago.
func (w *world) back(i, older int) {
	p := w.procs[i]
	if p.up {
		return
	}
	if older > 0 && w.cfg.MaxRolledBack > 0 {
		for _, x := range w.procs {
			if x != p && x.rolledBack {
				older = 0 // the configuration allows only one rolled back voter at a time
			}
		}
	} else {
		older = 0
	}
	if n := len(p.file); n > 0 {
		k := max(0, n-1-older)
		p.rolledBack = p.rolledBack || k < n-1
		p.file = p.file[:k+1]
		p.voter = RestoreVoter(p.file[k], w.cfg, w.lastIncarnation+1, w.now)
	}
	w.start(i)
}

// own starts a new term with a process as the owner.
func (w *world) own(i int) {
	p := w.procs[i]
	if !p.up || p.paused {
		return
	}
	w.term++
	o, out := NewOwner(i, w.term, w.quota, w.cfg, w.voters(), p.clocks, w.now)
	p.owner = o
	w.send(i, out)
	w.ownerIndex = i
	w.announceOwner()
}

// tell tells the members that the owner can reach who the owner is.
func (w *world) announceOwner() {
	for _, x := range w.procs {
		if !w.cut[w.ownerIndex][x.member] {
			x.holder.SetOwner(w.ownerIndex)
		}
	}
}

func (w *world) heal() {
	for i := range w.cut {
		clear(w.cut[i])
	}
	w.announceOwner()
}

func (w *world) voters() (all []int) {
	for i := range min(3, len(w.procs)) {
		all = append(all, i)
	}
	return all
}

func (w *world) send(from int, out []Message) {
	for _, l := range out {
		if w.cut[from][l.To] {
			continue
		}
		for {
			if l.To == from {
				w.inFlight = append(w.inFlight, delivery{w.now, w.now, from, l.To, l.Body})
				break
			}
			if w.random.Next() >= w.loss {
				w.inFlight = append(w.inFlight, delivery{w.now + int64(w.random.Next()*float64(w.delay)),
					w.now, from, l.To, l.Body})
			}
			if w.random.Next() >= w.double {
				break
			}
			if w.random.Next() < 0.2 { // a duplicate that arrives a whole window later
				w.inFlight = append(w.inFlight, delivery{w.now + 60*second, w.now, from, l.To, l.Body})
			}
		}
	}
}

func (w *world) deliver() {
	way := w.inFlight
	w.inFlight = w.spareBuffer[:0]
	for _, f := range way {
		p := w.procs[f.to]
		if p.paused && p.up || f.at > w.now {
			w.inFlight = append(w.inFlight, f)
		} else if p.up {
			w.take(p, f)
		}
	}
	w.spareBuffer = way
}

func (w *world) take(p *proc, f delivery) {
	wall := w.wall(p)
	switch m := f.body.(type) {
	case Report:
		if p.owner == nil {
			return
		}
		if w.flaw.addReports {
			k := fmt.Sprint(f.to, m.Member, m.Incarnation, m.Window, m.Term)
			m.Returned = Pair{m.Returned[0] + w.added[k][0], m.Returned[1] + w.added[k][1]}
			w.added[k] = m.Returned
		}
		w.send(p.member, p.owner.HandleReport(m, w.now, wall))
	case Grant:
		if w.flaw.leaseFromReceipt {
			p.holder.requests[m.Num%8] = request{m.Num, w.now}
		}
		p.holder.HandleGrant(m, w.now)
	case PromiseRequest:
		if w.flaw.noFence {
			p.voter.HighestTerm = min(p.voter.HighestTerm, m.Term)
			p.voter.DoubtIncarnation = 0
		}
		out := p.voter.HandlePromise(m, p.member, w.now)
		w.write(p)
		w.send(p.member, out)
	case SaveRequest:
		if w.flaw.noFence {
			p.voter.HighestTerm, p.voter.DoubtIncarnation = 0, 0
		}
		if w.flaw.ignoreVoterClocks {
			wall = 1 << 62
		}
		out := p.voter.HandleSave(m, p.member, w.cfg, w.now, wall)
		if p.voter.DoubtIncarnation == 0 {
			p.rolledBack = false
		}
		w.write(p)
		w.send(p.member, out)
	case PromiseReply:
		if p.owner != nil {
			if w.flaw.grantBeforeSave {
				for i := range m.State.Windows {
					m.State.Windows[i].MaxGranted = Pair{}
				}
			}
			w.send(p.member, p.owner.HandlePromiseReply(m, w.now, wall))
		}
	case SaveReply:
		if p.owner != nil {
			w.send(p.member, p.owner.HandleSaveReply(m, w.now, wall))
		}
	}
}

func (w *world) write(p *proc) {
	p.file = append(p.file, p.voter) // the state is immutable, so that a shallow copy suffices
	if len(p.file) > 40 {
		p.file = slices.Clone(p.file[1:])
	}
}

// ask sends n reqs to a process. Admitted ones count as run until they are known never to have run.
func (w *world) sendReqs(i, n int, r Req, duration int64, key uint64) {
	p := w.procs[i]
	if !p.up || p.paused {
		return
	}
	for range n {
		r.Key, r.Tenant = key, "t"
		t, v := p.limiter.Admit(w.now, r)
		p.lastDecision = v
		if v.Denied {
			p.denied++
			continue
		}
		p.served++
		x := dispatch{at: w.now + duration, t: t, charge: t.charge}
		if t.charge.n == 0 {
			x.req = p.byKey[key]
		} else {
			x.req = &clientReq{window: t.charge.parts[0].tokens.window, amount: w.quota.Unit.amountOf(&r)}
			w.ran[x.req.window] += x.req.amount
			w.recordClockError(x.req.window)
			p.byKey[key] = x.req
		}
		x.req.dispatches++
		p.dispatches = append(p.dispatches, x)
	}
}

// recordClockError records how far the true time is from the window that a req counts in.
func (w *world) recordClockError(window int64) {
	_, end := w.quota.Calendar.At(window)
	at := w.startUnix + w.now
	w.early, w.late = max(w.early, window-at), max(w.late, at-end)
}

// end ends the dispatches that are due; a random share of them, never, did not run.
func (w *world) end(p *proc, never float64) {
	kept := p.dispatches[:0]
	for _, x := range p.dispatches {
		if x.at > w.now {
			kept = append(kept, x)
			continue
		}
		ran := w.random.Next() >= never
		x.req.dispatches--
		x.req.ran = x.req.ran || ran
		if !x.req.ran && x.req.dispatches == 0 {
			w.ran[x.req.window] -= x.req.amount
			if w.flaw.refundTwice {
				x.charge.Refund()
			}
		}
		p.limiter.Done(&x.t, ran, Req{Cost: x.req.amount, Value: x.req.amount})
	}
	p.dispatches = kept
}

func (w *world) step(never float64) {
	w.now += w.tick
	w.deliver()
	for _, p := range w.procs {
		if !p.up || p.paused {
			continue
		}
		w.end(p, never)
		if w.flaw.ownClock {
			if start, _ := w.quota.Calendar.At(w.wall(p)); p.holder.tokens.window != 0 && start > p.holder.tokens.window {
				total, term := p.holder.total, p.holder.term
				p.holder.enterWindow(start, w.now, 0)
				p.holder.term, p.holder.total = term, total
				p.holder.tokens.left[0].Store(total[0])
				p.holder.validUntil = w.now + w.cfg.LeaseDuration
				p.holder.publish(Grant{}, w.now)
			}
		}
		w.send(p.member, p.holder.Tick(w.now))
		if p.owner != nil {
			w.send(p.member, p.owner.Tick(w.now, w.wall(p)))
		}
	}
}

// violation returns a window in which more ran than the quota allows, or "".
func (w *world) violation() string {
	carried, span, before := int64(0), w.quota.Calendar.stepsBefore(), []int64(nil)
	c := &w.quota.Calendar
	for x, end := c.At(w.startUnix - 2*second); x <= w.startUnix+w.now+3*second; x, end = c.At(end) {
		sum, allowed := w.ran[x], w.quota.Amount+carried
		if span > 0 {
			for _, n := range before[max(0, len(before)-span):] {
				sum += n
			}
		}
		if sum > allowed {
			return fmt.Sprintf("%d ran in the window starting at %d, want at most %d", sum, x, allowed)
		}
		carried = min(w.quota.MaxCarry, allowed-w.ran[x])
		before = append(before, w.ran[x])
	}
	return ""
}
