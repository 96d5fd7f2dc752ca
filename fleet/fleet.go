// Package fleet is what a client proxy makes of its peers: who is a member, what the fleet bears, who sheds, how many further
// dispatches there may be, who probes which server, and of which servers care is due. It is driven by events and a clock handed
// in, and hands out small typed actions; the proxy, the emulator and tests run the same code. All of it is advice: with no peer
// heard it says what one proxy alone would.
//
// This file owns the order in which its parts are asked. It must never touch a socket, and never permit what the decision module
// would not.
package fleet

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"

	"ivybank/balance"
	"ivybank/fleet/aggregate"
	"ivybank/fleet/assign"
	"ivybank/fleet/peer"
	"ivybank/fleet/shed"
	"ivybank/fleet/swim"
	"ivybank/fleet/warmstart"
	"ivybank/internal/decay"
	"ivybank/internal/rng"
)

const (
	ms, sec = int64(1e6), int64(1e9)

	adviseEvery = 100 * ms // between advice to the module
	cutEvery    = 250 * ms // between looks at the picture
	rateSpan    = 600 * ms // over which what is told of rates is remembered
	pushPart    = 0.5      // of the datagrams that a member may send; the rest is for pings and answers
	leastPush   = 50 * ms
	pushFor     = 12       // sums are held for so many rounds of telling all levels
	leastHold   = 3 * sec  // and so long at the least
	stoodLong   = 500 * ms // a process that did not run for so long judges all it holds anew,
	deafFor     = 100 * ms // and takes nothing that waited for it
	retryFor    = 20 * sec // a client that was sent away is known to come again for so long
	debt        = 1.0      // seconds of its datagrams that questions and answers may go ahead of the rate
	burst       = 4.0      // datagrams beyond the rate at once
	waitLeast   = 0.35     // of the longest wait that a client honours: those sent away come back spread from here to it
)

// Terms is what a member is told. Times are nanoseconds.
type Config struct {
	Index, Members     int
	Incarnation        uint64 // swim.LifeOf this process's start
	Seed               uint64
	DatagramsPerSecond float64 // that it may send in a second
	AckTimeout         int64
	MinSilence         int64
	RuleSets           []balance.RuleSet
	Tenants            []balance.Tenant
	OverShareFactor    float64 // part of the worth that is left past a tenant's share
	MaxRetryAfter      int64   // the longest wait that a client honours, 0 where none is advised
	Overload           *Overload
	Probes             *assign.Config
	Learn              *LearnConfig // nil: a returner asks nobody, and nobody is taught
}

// Overload is what operators set on shedding as one.
type Overload struct {
	RetryRatio    float64 // dispatches beyond a req's first, as a part of first ones
	MaxMemberRate float64 // reqs a second past which no member's word is believed
}

// Kind is what an action asks of the host.
type ActionKind int

// The kinds.
const (
	Send             ActionKind = iota // a datagram to a member
	Probe                              // ask a server whether it is well, and tell Probed
	Advise                             // the module's advice has changed
	Log                                // a line for the log
	ApplyPeerReports                   // Told is what was learnt of others so far
	AnswerQuery                        // one that comes back asks: Answer it with what the module holds
	Deliver                            // a letter came of member To
)

// Action is one thing for the host to do. Only the fields of its kind are set.
type Action struct {
	Kind     ActionKind
	To       int
	Datagram peer.Datagram
	Server   string
	Advice   balance.Advice
	Text     string
	Fields   map[string]any
	Reports  []warmstart.PeerReport
	Message  []byte
	due      bool // a sum at its time, which has a part of the datagrams for itself
}

// sent is one client's req that was sent away, by what stays the same over its retries.
type sent struct {
	luck   float64
	at     int64
	lacked bool // it counts among those not served
}

// Fleet is one member's.
type Fleet struct {
	t     Config
	swim  *swim.Membership
	fold  *aggregate.Aggregate
	cut   *shed.Cut
	spare *shed.Spare
	round *assign.Roster // nil: no probes
	wary  wary
	learn learn
	post  post
	todo  []Action // emptied by Next
	dice  rng.Source

	offered                                                                     [aggregate.Classes]decay.Counter
	first, further, wanted, probes, refused, late, failed, lacked, served, took decay.Counter
	away                                                                        [4096]sent // a new one takes an old one's place
	servers                                                                     []string   // by id; set by Servers
	version                                                                     int        // of the members that duties were divided among
	dutyAt, adviseAt, cutAt, pushAt, ticked, deafUntil                          int64
	level                                                                       int    // whose turn it is to be told
	tokens                                                                      bucket // datagrams that may go now
	advice                                                                      balance.Advice
	was                                                                         struct {
		on, stopped bool
		move        int
	}
	Count Counts
}

// Counts is what a member has sent, heard and done since its start.
type Counts struct {
	Sent, Heard, Held, Stale int // datagrams; Held: kept back by the limit; Stale: waited while this process did not run
	Shed, Retries            int // reqs denied by the cut; clients that came again
	Probes                   int
}

// bucket is what may still go out, filled as time passes; below 0 it is a debt.
type bucket struct {
	n  float64
	at int64
}

func (b *bucket) fill(perSecond, most float64, now int64) {
	b.n = min(most, b.n+perSecond*float64(now-b.at)/float64(sec))
	b.at = now
}

// New begins alone.
func New(t Config, now int64) *Fleet {
	f := &Fleet{t: t, dice: rng.Source{Seed: t.Seed}, ticked: now, pushAt: now, tokens: bucket{burst, now}}
	period := int64(6 / t.DatagramsPerSecond * float64(sec)) // a ping and its answer are a third of what may be sent
	f.swim = swim.New(swim.Config{Index: t.Index, Members: t.Members, Period: period, AckTimeout: t.AckTimeout, MinSilence: t.MinSilence, Seed: t.Seed ^ 1}, t.Incarnation, now)
	most, part := math.Inf(1), math.Inf(1)
	if t.Overload != nil {
		most, part = t.Overload.MaxMemberRate, t.Overload.RetryRatio
	}
	hold := max(leastHold, pushFor*f.pushEvery()*int64(aggregate.Levels(t.Members)))
	f.fold = aggregate.New(aggregate.Config{Index: t.Index, Members: t.Members, MaxMemberRate: most, MaxAge: hold})
	f.cut = shed.New(t.shed())
	f.spare = shed.NewSpare(part, now)
	f.learn = begin(t, now)
	if t.Probes != nil {
		f.round = assign.New(*t.Probes, t.Index, t.Seed^2)
	}
	return f
}

func (f *Fleet) pushEvery() int64 {
	return max(leastPush, int64(float64(sec)/(pushPart*f.t.DatagramsPerSecond)))
}

// Servers takes the ids of all listed servers, in order.
func (f *Fleet) SetServers(ids []string, now int64) {
	if slices.Equal(ids, f.servers) {
		return
	}
	f.servers = slices.Clone(ids)
	f.wary.list(f.servers)
	f.divide(now)
}

// divide divides the probes anew.
func (f *Fleet) divide(now int64) {
	if f.version = f.swim.Version(); f.round != nil {
		f.round.Set(f.servers, f.swim.AliveMembers(), now)
	}
}

// Arrive counts a req of a rule set and tenant, by their places, and says whether the fleet sheds it and for how long its client is
// to stay away. Luck, between 0 and 1, belongs to what stays the same over its client's retries; marked where it says that it is one.
func (f *Fleet) Admit(set, tenant int, luck float64, marked bool, now int64) (shed bool, wait int64) {
	if f.t.Overload == nil {
		return false, 0
	}
	class := f.cut.Class(set, tenant)
	past := &f.away[int(luck*float64(len(f.away)))]
	known := past.luck == luck && now-past.at < retryFor
	if known || marked {
		f.Count.Retries++ // load, but no further demand
	} else if class >= 0 {
		f.offered[class].Add(now, rateSpan)
	}
	if known && past.lacked {
		f.lacked.AddAmount(-math.Exp(-float64(now-past.at)/float64(rateSpan)), now, rateSpan) // not lost yet
		past.lacked = false
	}
	if f.cut.Lets(class, luck) {
		return false, 0
	}
	f.Count.Shed++
	*past = sent{luck: luck, at: now}
	return true, int64(float64(f.t.MaxRetryAfter) * (waitLeast + (1-waitLeast)*f.dice.Next()))
}

// Lost tells that a req that was let in was not served in time. Should its client come again, that is no further demand, and nothing
// is lost yet.
func (f *Fleet) Missed(luck float64, now int64) {
	f.lacked.Add(now, rateSpan)
	f.away[int(luck*float64(len(f.away)))] = sent{luck, now, true}
}

// Sent tells of a dispatch; further where it is not its req's first.
func (f *Fleet) Dispatched(server string, further bool, now int64) {
	if further {
		f.further.Add(now, rateSpan)
		f.spare.Further()
	} else {
		f.first.Add(now, rateSpan)
		f.spare.First()
	}
	f.wary.sent(server, now)
}

// Finished tells how a dispatch ended, whether its req has ended as well, and how long it took. Cancelled ones say nothing.
func (f *Fleet) DispatchEnded(server string, o balance.Outcome, ended bool, took, now int64) {
	switch o {
	case balance.Cancelled, balance.NotSent, balance.Unknown:
		return
	case balance.Served:
		f.wary.served(server, now)
		f.took.AddAmount(float64(took)/float64(sec), now, rateSpan) // without what the req waited here: servers alone say what they bear
		return
	case balance.Refused:
		f.refused.Add(now, rateSpan)
	case balance.TimedOut:
		f.late.Add(now, rateSpan)
	}
	f.failed.Add(now, rateSpan)
	f.wary.lost(server, now)
	if !ended {
		f.wanted.Add(now, rateSpan)
	}
}

// Done tells that a req was served within its response target.
func (f *Fleet) ServedInTime(now int64) { f.served.Add(now, rateSpan) }

// Probed tells what came of a probe.
func (f *Fleet) ProbeEnded(server string, well bool, now int64) {
	f.wary.probed(f.t.Index, server, well, now)
}

// Same says whether a member goes by these rule sets and tenants, and this longest advice.
func (f *Fleet) SameConfig(sets []balance.RuleSet, tenants []balance.Tenant, advice int64) bool {
	return reflect.DeepEqual(f.t.RuleSets, sets) && slices.Equal(f.t.Tenants, tenants) &&
		f.t.MaxRetryAfter == advice
}

// Heard takes a datagram that came from the address of the member that it names.
func (f *Fleet) Receive(d *peer.Datagram, now int64) {
	if now-f.ticked > stoodLong || now < f.deafUntil {
		// It may have waited for as long as this process stood still: its ages say nothing.
		f.Count.Stale++
		return
	}
	if !f.swim.Fresh(d) {
		f.send()
		return
	}
	f.Count.Heard++
	f.swim.Heard(d, now)
	f.fold.Heard(d.Sums, now)
	f.lesson(d, now)
	f.piece(d)
	for _, h := range d.Hints {
		if h.Origin < f.t.Members && h.Origin != f.t.Index && f.swim.Alive(h.Origin) {
			if id, at, probe := f.wary.heard(h, now); probe && f.round != nil {
				f.round.Done(id, at)
			}
		}
	}
	f.send()
}

// Leave tells the others of the end of this process.
func (f *Fleet) Leave() {
	f.swim.Leave()
	f.send()
}

// Tick does what is due and says when to come again. What the process did not live through is settled first.
func (f *Fleet) Tick(now int64) (next int64) {
	passed := now - f.ticked
	if passed > stoodLong {
		f.stood(passed, now)
	}
	f.ticked = now
	f.tokens.fill((1-pushPart)*f.t.DatagramsPerSecond, max(burst, f.t.DatagramsPerSecond/4), now)
	next = f.swim.Tick(now)
	if f.swim.Version() != f.version {
		f.fold.Gone(f.swim.Alive, func(p int) uint64 { return f.swim.Member(p).Incarnation })
		if now >= f.dutyAt { // it is work for all servers: not for each change of many
			f.dutyAt = now + sec
			f.divide(now)
		}
	}
	if f.t.Overload != nil && now >= f.cutAt {
		f.cutAt = now + cutEvery
		f.look(now)
	}
	for ; now >= f.pushAt; f.pushAt += f.pushEvery() {
		f.push(now)
	}
	if f.round != nil {
		for _, id := range f.round.Due(now) {
			f.Count.Probes++
			f.probes.Add(now, rateSpan)
			f.todo = append(f.todo, Action{Kind: Probe, Server: id})
		}
	}
	f.ask(now)
	if now >= f.adviseAt {
		f.adviseAt = now + adviseEvery
		f.advise(now)
	}
	f.note()
	f.send()
	return next // what else is due may wait for it: each waking costs the proxy more than the work done in it
}

// stood settles what this process holds against the present, having not run for a time.
func (f *Fleet) stood(stood, now int64) {
	f.fold.Forget()
	f.wary.forget()
	f.deafUntil = now + deafFor
	f.pushAt, f.cutAt = now, now+deafFor
	for _, c := range f.rates() {
		c.Value = 0
	}
	if f.round != nil {
		f.round.Stood(stood)
	}
	f.tell("this process did not run for a time", map[string]any{"ms": stood / ms})
	if f.cut.On {
		moves := f.cut.Moves + 1
		f.cut = shed.New(f.t.shed()) // an old cut binds nobody
		f.cut.Moves = moves
	}
}

// shed is what the cut goes by.
func (t *Config) shed() shed.Terms {
	s := shed.Terms{Over: t.OverShareFactor}
	for _, r := range t.RuleSets {
		s.Values = append(s.Values, r.BillingValue)
	}
	for _, x := range t.Tenants {
		s.Shares = append(s.Shares, x.Share)
	}
	return s
}

func (f *Fleet) rates() []*decay.Counter {
	all := []*decay.Counter{&f.first, &f.further, &f.wanted, &f.probes, &f.refused, &f.late, &f.failed, &f.lacked, &f.served, &f.took}
	for i := range f.offered {
		all = append(all, &f.offered[i])
	}
	return all
}

// measure brings this member's own load up to date.
func (f *Fleet) measure(now int64) {
	rate := func(c *decay.Counter) float64 { return c.Now(now, rateSpan) * float64(sec) / float64(rateSpan) }
	o := &f.fold.Own
	*o = aggregate.Load{First: rate(&f.first), Retries: rate(&f.further), RetriesWanted: rate(&f.wanted), Probes: rate(&f.probes),
		Refused: rate(&f.refused), TimedOut: rate(&f.late), Failed: rate(&f.failed), Unserved: max(0, rate(&f.lacked)), Served: rate(&f.served), ServerTime: rate(&f.took)}
	for i := range f.offered {
		o.Offered[i] = rate(&f.offered[i])
	}
	if f.cut.On {
		o.Limit, o.LimitCount = f.cut.Limit/float64(f.t.Members), 1 // a part for each place, so that sums of it stay in what a figure holds
	}
}

// look has the cut and the budget follow the picture.
func (f *Fleet) look(now int64) {
	f.measure(now)
	all, of := f.fold.Picture(now)
	all.Limit *= float64(f.t.Members)
	f.cut.Step(&all, of, now)
	f.spare.Step(&all, &f.fold.Own, now)
}

// push tells one member of the block beside this one's at the next level; all levels have their turn.
func (f *Fleet) push(now int64) {
	if f.fold.Levels() == 0 {
		return
	}
	f.measure(now)
	for range f.fold.Levels() {
		f.level = (f.level + 1) % f.fold.Levels()
		from, to := f.fold.Beside(f.level)
		if who := f.oneThat(from, to, f.swim.Alive); who >= 0 {
			d, room := f.swim.Datagram(peer.Push)
			f.mark(&d, &room)
			f.fill(&d, &room, f.level, now)
			f.todo = append(f.todo, Action{Kind: Send, To: who, Datagram: d, due: true})
			return
		}
	}
}

// oneThat draws one of the places from one to before another that suit; -1 where none does.
func (f *Fleet) oneThat(from, to int, suits func(i int) bool) int {
	if n := to - from; n > 0 {
		start := int(f.dice.Next() * float64(n))
		for i := range n {
			if who := from + (start+i)%n; suits(who) {
				return who
			}
		}
	}
	return -1
}

// fill adds sums and hints where there is room.
func (f *Fleet) fill(d *peer.Datagram, room *peer.Room, level int, now int64) {
	f.swim.Tell(d, room, 1) // of many pieces of news most wait for pings and their answers, lest they crowd out the sums
	d.Sums = append(d.Sums, f.fold.Tell(level, f.swim.Incarnation(), room, now)...)
	f.swim.Tell(d, room, 1)
	d.Hints = append(d.Hints, f.wary.tell(f.t.Index, int(math.Ceil(3*math.Log2(float64(f.swim.AliveCount())+1))), room, now)...)
}

// send hands out what the members' part wants sent, within the limit. Answers and questions carry what there is room for.
func (f *Fleet) send() {
	for _, s := range f.swim.Out() {
		f.todo = append(f.todo, Action{Kind: Send, To: s.To, Datagram: s.Datagram})
	}
}

// advise has the module know what has changed.
func (f *Fleet) advise(now int64) {
	a := balance.Advice{RetriesLimited: f.t.Overload != nil, ShareFactors: f.wary.care(f.t.Index, f.swim.Alive, now)}
	if a.RetriesLimited {
		a.RetriesLeft = f.spare.Left()
	}
	if a.RetriesLimited == f.advice.RetriesLimited && a.RetriesLeft == f.advice.RetriesLeft && len(a.ShareFactors) == 0 && len(f.advice.ShareFactors) == 0 {
		return
	}
	f.advice = a
	f.todo = append(f.todo, Action{Kind: Advise, Advice: a})
}

// tell has a line logged.
func (f *Fleet) tell(text string, fields map[string]any) {
	f.todo = append(f.todo, Action{Kind: Log, Text: text, Fields: fields})
}

// note logs what has changed: members, the cut, the budget.
func (f *Fleet) note() {
	for _, c := range f.swim.Changes() {
		if c.To != peer.Suspect && c.From != swim.StateName(peer.Suspect) || c.To == peer.Dead {
			f.tell("member", map[string]any{"member": c.Who, "from": c.From, "to": swim.StateName(c.To), "by": c.By, "members": f.swim.AliveCount()})
		}
	}
	if f.cut.On != f.was.on || f.cut.Moves != f.was.move {
		f.was.on, f.was.move = f.cut.On, f.cut.Moves
		f.tell("cut", map[string]any{"in_force": f.cut.On, "limit": math.Round(f.cut.Limit), "let_in": math.Round(f.cut.Part*100) / 100, "moves": f.cut.Moves})
	}
	if f.spare.Stopped != f.was.stopped {
		f.was.stopped = f.spare.Stopped
		f.tell("further dispatches", map[string]any{"stopped": f.spare.Stopped})
	}
}

// Next gives the next action; false when there is none. A datagram past the limit is kept back for good: what it says has an age.
func (f *Fleet) Next() (a Action, ok bool) {
	for len(f.todo) > 0 {
		a, f.todo = f.todo[0], f.todo[1:]
		if a.Kind != Send {
			return a, true
		}
		// A question or an answer that is kept back is a suspicion, of another or of oneself: these may run into debt, which the rest pays.
		must := a.Datagram.Kind != peer.Push
		if !a.due && (f.tokens.n < -debt*f.t.DatagramsPerSecond || !must && f.tokens.n < 1) {
			f.Count.Held++
			continue
		}
		if f.Count.Sent++; !a.due {
			f.tokens.n--
		}
		return a, true
	}
	return Action{}, false
}

// Status is what operators see of a member.
type Status struct {
	Me      int         `json:"me"`
	Life    uint64      `json:"life"`
	Health  int         `json:"slow_steps"`
	Alive   int         `json:"alive"`
	Members []Seen      `json:"members"`
	Counted int         `json:"counted"`
	AgeMs   int64       `json:"picture_age_ms"`
	Offered float64     `json:"offered"`
	Served  float64     `json:"served"`
	Lacked  float64     `json:"lacked"`
	First   float64     `json:"first"`
	Further float64     `json:"further"`
	Probing float64     `json:"probing"`
	Cut     CutStatus   `json:"cut"`
	Spare   SpareStatus `json:"further_budget"`
	Owners  []Owner     `json:"probes,omitempty"`
	Wary    []string    `json:"wary,omitempty"`
	Counts  Counts      `json:"counts"`
	Odd     int         `json:"impossible"`
	Twice   int         `json:"twice"`
	Past    int         `json:"past"`
	Nobody  int         `json:"nobody"`
	AwayMs  int64       `json:"not_run_ms"`
}

// Seen is one member in a view.
type Seen struct {
	Member  int    `json:"member"`
	State   string `json:"state"`
	Life    uint64 `json:"life"`
	SinceMs int64  `json:"since_ms"` // ago
	HeardMs int64  `json:"heard_ms"` // ago
}

// CutStatus is the cut in force.
type CutStatus struct {
	On    bool    `json:"in_force"`
	Limit float64 `json:"limit"`
	Part  float64 `json:"let_in"`
	Moves int     `json:"moves"`
	Calm  float64 `json:"calm_s"` // mean time of an answer without a cut
	Took  float64 `json:"took_s"` // and of late
}

// SpareStatus is the budget of this member.
type SpareStatus struct {
	Left    int  `json:"left"`
	Stopped bool `json:"stopped"`
}

// Owner is who probes a server, and how long ago it was done.
type Owner struct {
	Server string `json:"server"`
	Member int    `json:"member"`
	AgeMs  int64  `json:"age_ms"`
}

// Status gives a member's view.
func (f *Fleet) Status(now int64) Status {
	all, of := f.fold.Picture(now)
	s := Status{Me: f.t.Index, Life: f.swim.Incarnation(), Health: f.swim.Health(), Alive: f.swim.AliveCount(), Counted: of, AgeMs: f.fold.Age(now) / ms,
		Offered: all.TotalOffered(), Served: all.Served, Lacked: all.Unserved, First: all.First, Further: all.Retries, Probing: all.Probes,
		Cut:   CutStatus{f.cut.On, f.cut.Limit, f.cut.Part, f.cut.Moves, f.cut.Calm, f.cut.Took},
		Spare: SpareStatus{f.spare.Left(), f.spare.Stopped}, Counts: f.Count, Odd: f.fold.Impossible,
		Twice: f.swim.Dropped.Twice, Past: f.swim.Dropped.Past, Nobody: f.swim.Dropped.Nobody, AwayMs: f.swim.Away / ms}
	for i := range f.t.Members {
		m := f.swim.Member(i)
		if !m.Known {
			s.Members = append(s.Members, Seen{Member: i, State: "presumed"})
			continue
		}
		s.Members = append(s.Members, Seen{i, swim.StateName(m.State), m.Incarnation, (now - m.Since) / ms, (now - m.LastHeard) / ms})
	}
	if f.round != nil {
		for _, id := range f.servers {
			who, at := f.round.Owner(id)
			s.Owners = append(s.Owners, Owner{id, who, (now - at) / ms})
		}
	}
	for id, part := range f.advice.ShareFactors {
		s.Wary = append(s.Wary, fmt.Sprintf("%s %.2f", id, part))
	}
	slices.SortFunc(s.Wary, strings.Compare)
	return s
}

// Members is the view of who takes part, for those who rehearse.
func (f *Fleet) Membership() *swim.Membership { return f.swim }

// Picture is what is counted, for those who rehearse.
func (f *Fleet) FleetLoad(now int64) (aggregate.Load, int) { return f.fold.Picture(now) }

// Sheds says whether a cut is in force that denies anything.
func (f *Fleet) Shedding() bool { return f.cut.On && f.cut.Part < 1 }
