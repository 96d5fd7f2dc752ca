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

	adviseInterval    = 100 * ms // between advice to the module
	shedInterval      = 250 * ms // between looks at the picture
	rateWindow        = 600 * ms // over which what is told of rates is remembered
	pushFraction      = 0.5      // of the datagrams that a member may send; the rest is for pings and answers
	minPushInterval   = 50 * ms
	maxAgeRounds      = 12       // sums are held for so many rounds of telling all levels
	minMaxAge         = 3 * sec  // and so long at the least
	stallThreshold    = 500 * ms // a process that did not run for so long judges all it holds anew,
	ignoreAfterStall  = 100 * ms // and takes nothing that waited for it
	clientRetryWindow = 20 * sec // a client that was sent away is known to come again for so long
	maxDebtSeconds    = 1.0      // seconds of its datagrams that questions and answers may go ahead of the rate
	minBurst          = 4.0      // datagrams beyond the rate at once
	minRetryAfterPart = 0.35     // of the longest wait that a client honours: those sent away come back spread from here to it
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
type recentClient struct {
	hash     float64
	at       int64
	unserved bool // it counts among those not served
}

// Fleet is one member's.
type Fleet struct {
	cfg         Config
	swim        *swim.Membership
	load        *aggregate.Aggregate
	shedder     *shed.Shedder
	retryBudget *shed.RetryBudget
	probeRoster *assign.Roster // nil: no probes
	reports     serverReports
	learner     learner
	messages    messageQueue
	actions     []Action // emptied by Next
	rng         rng.Source

	offered                                                                                        [aggregate.Classes]decay.Counter
	first, retries, retriesWanted, probes, refused, timedOut, failed, unserved, served, serverTime decay.Counter
	recentClients                                                                                  [4096]recentClient // a new one takes an old one's place
	servers                                                                                        []string           // by id; set by Servers
	membershipVersion                                                                              int                // of the members that duties were divided among
	assignAt, adviseAt, shedAt, pushAt, lastTick, ignoreUntil                                      int64
	pushLevel                                                                                      int         // whose turn it is to be told
	tokens                                                                                         tokenBucket // datagrams that may go now
	advice                                                                                         balance.Advice
	logged                                                                                         struct {
		active, stopped bool
		changes         int
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
type tokenBucket struct {
	tokens   float64
	filledAt int64
}

func (b *tokenBucket) fill(perSecond, limit float64, now int64) {
	b.tokens = min(limit, b.tokens+perSecond*float64(now-b.filledAt)/float64(sec))
	b.filledAt = now
}

// New begins alone.
func New(cfg Config, now int64) *Fleet {
	f := &Fleet{cfg: cfg, rng: rng.Source{Seed: cfg.Seed}, lastTick: now, pushAt: now, tokens: tokenBucket{minBurst, now}}
	period := int64(6 / cfg.DatagramsPerSecond * float64(sec)) // a ping and its answer are a third of what may be sent
	f.swim = swim.New(swim.Config{Index: cfg.Index, Members: cfg.Members, Period: period, AckTimeout: cfg.AckTimeout, MinSilence: cfg.MinSilence, Seed: cfg.Seed ^ 1}, cfg.Incarnation, now)
	maxRate, retryRatio := math.Inf(1), math.Inf(1)
	if cfg.Overload != nil {
		maxRate, retryRatio = cfg.Overload.MaxMemberRate, cfg.Overload.RetryRatio
	}
	maxAge := max(minMaxAge, maxAgeRounds*f.pushInterval()*int64(aggregate.Levels(cfg.Members)))
	f.load = aggregate.New(aggregate.Config{Index: cfg.Index, Members: cfg.Members, MaxMemberRate: maxRate, MaxAge: maxAge})
	f.shedder = shed.New(cfg.shedConfig())
	f.retryBudget = shed.NewRetryBudget(retryRatio, now)
	f.learner = newLearner(cfg, now)
	if cfg.Probes != nil {
		f.probeRoster = assign.New(*cfg.Probes, cfg.Index, cfg.Seed^2)
	}
	return f
}

func (f *Fleet) pushInterval() int64 {
	return max(minPushInterval, int64(float64(sec)/(pushFraction*f.cfg.DatagramsPerSecond)))
}

// Servers takes the ids of all listed servers, in order.
func (f *Fleet) SetServers(ids []string, now int64) {
	if slices.Equal(ids, f.servers) {
		return
	}
	f.servers = slices.Clone(ids)
	f.reports.setServers(f.servers)
	f.assignProbes(now)
}

// divide divides the probes anew.
func (f *Fleet) assignProbes(now int64) {
	if f.membershipVersion = f.swim.Version(); f.probeRoster != nil {
		f.probeRoster.Set(f.servers, f.swim.AliveMembers(), now)
	}
}

// Arrive counts a req of a rule set and tenant, by their places, and says whether the fleet sheds it and for how long its client is
// to stay away. Luck, between 0 and 1, belongs to what stays the same over its client's retries; marked where it says that it is one.
func (f *Fleet) Admit(ruleSet, tenant int, clientHash float64, markedRetry bool, now int64) (shed bool, wait int64) {
	if f.cfg.Overload == nil {
		return false, 0
	}
	class := f.shedder.Class(ruleSet, tenant)
	previous := &f.recentClients[int(clientHash*float64(len(f.recentClients)))]
	known := previous.hash == clientHash && now-previous.at < clientRetryWindow
	if known || markedRetry {
		f.Count.Retries++ // load, but no further demand
	} else if class >= 0 {
		f.offered[class].Add(now, rateWindow)
	}
	if known && previous.unserved {
		f.unserved.AddAmount(-math.Exp(-float64(now-previous.at)/float64(rateWindow)), now, rateWindow) // not lost yet
		previous.unserved = false
	}
	if f.shedder.Admits(class, clientHash) {
		return false, 0
	}
	f.Count.Shed++
	*previous = recentClient{hash: clientHash, at: now}
	return true, int64(float64(f.cfg.MaxRetryAfter) * (minRetryAfterPart + (1-minRetryAfterPart)*f.rng.Next()))
}

// Lost tells that a req that was let in was not served in time. Should its client come again, that is no further demand, and nothing
// is lost yet.
func (f *Fleet) Missed(clientHash float64, now int64) {
	f.unserved.Add(now, rateWindow)
	f.recentClients[int(clientHash*float64(len(f.recentClients)))] = recentClient{clientHash, now, true}
}

// Sent tells of a dispatch; further where it is not its req's first.
func (f *Fleet) Dispatched(server string, retry bool, now int64) {
	if retry {
		f.retries.Add(now, rateWindow)
		f.retryBudget.SpendRetry()
	} else {
		f.first.Add(now, rateWindow)
		f.retryBudget.EarnFirst()
	}
	f.reports.dispatched(server, now)
}

// Finished tells how a dispatch ended, whether its req has ended as well, and how long it took. Cancelled ones say nothing.
func (f *Fleet) DispatchEnded(server string, outcome balance.Outcome, ended bool, took, now int64) {
	switch outcome {
	case balance.Cancelled, balance.NotSent, balance.Unknown:
		return
	case balance.Served:
		f.reports.served(server, now)
		f.serverTime.AddAmount(float64(took)/float64(sec), now, rateWindow) // without what the req waited here: servers alone say what they bear
		return
	case balance.Refused:
		f.refused.Add(now, rateWindow)
	case balance.TimedOut:
		f.timedOut.Add(now, rateWindow)
	}
	f.failed.Add(now, rateWindow)
	f.reports.lost(server, now)
	if !ended {
		f.retriesWanted.Add(now, rateWindow)
	}
}

// Done tells that a req was served within its response target.
func (f *Fleet) ServedInTime(now int64) { f.served.Add(now, rateWindow) }

// Probed tells what came of a probe.
func (f *Fleet) ProbeEnded(server string, healthy bool, now int64) {
	f.reports.probed(f.cfg.Index, server, healthy, now)
}

// Same says whether a member goes by these rule sets and tenants, and this longest advice.
func (f *Fleet) SameConfig(ruleSets []balance.RuleSet, tenants []balance.Tenant, maxRetryAfter int64) bool {
	return reflect.DeepEqual(f.cfg.RuleSets, ruleSets) && slices.Equal(f.cfg.Tenants, tenants) &&
		f.cfg.MaxRetryAfter == maxRetryAfter
}

// Heard takes a datagram that came from the address of the member that it names.
func (f *Fleet) Receive(d *peer.Datagram, now int64) {
	if now-f.lastTick > stallThreshold || now < f.ignoreUntil {
		// It may have waited for as long as this process stood still: its ages say nothing.
		f.Count.Stale++
		return
	}
	if !f.swim.Accept(d) {
		f.queueDatagrams()
		return
	}
	f.Count.Heard++
	f.swim.Receive(d, now)
	f.load.Receive(d.Sums, now)
	f.receiveLearning(d, now)
	f.receivePart(d)
	for _, h := range d.Hints {
		if h.Origin < f.cfg.Members && h.Origin != f.cfg.Index && f.swim.Alive(h.Origin) {
			if id, at, probe := f.reports.receiveHint(h, now); probe && f.probeRoster != nil {
				f.probeRoster.Done(id, at)
			}
		}
	}
	f.queueDatagrams()
}

// Leave tells the others of the end of this process.
func (f *Fleet) Leave() {
	f.swim.Leave()
	f.queueDatagrams()
}

// Tick does what is due and says when to come again. What the process did not live through is settled first.
func (f *Fleet) Tick(now int64) (next int64) {
	elapsed := now - f.lastTick
	if elapsed > stallThreshold {
		f.stalled(elapsed, now)
	}
	f.lastTick = now
	f.tokens.fill((1-pushFraction)*f.cfg.DatagramsPerSecond, max(minBurst, f.cfg.DatagramsPerSecond/4), now)
	next = f.swim.Tick(now)
	if f.swim.Version() != f.membershipVersion {
		f.load.DropGone(f.swim.Alive, func(p int) uint64 { return f.swim.Member(p).Incarnation })
		if now >= f.assignAt { // it is work for all servers: not for each change of many
			f.assignAt = now + sec
			f.assignProbes(now)
		}
	}
	if f.cfg.Overload != nil && now >= f.shedAt {
		f.shedAt = now + shedInterval
		f.updateShedding(now)
	}
	for ; now >= f.pushAt; f.pushAt += f.pushInterval() {
		f.push(now)
	}
	if f.probeRoster != nil {
		for _, id := range f.probeRoster.Due(now) {
			f.Count.Probes++
			f.probes.Add(now, rateWindow)
			f.actions = append(f.actions, Action{Kind: Probe, Server: id})
		}
	}
	f.queryPeer(now)
	if now >= f.adviseAt {
		f.adviseAt = now + adviseInterval
		f.updateAdvice(now)
	}
	f.logChanges()
	f.queueDatagrams()
	return next // what else is due may wait for it: each waking costs the proxy more than the work done in it
}

// stood settles what this process holds against the present, having not run for a time.
func (f *Fleet) stalled(stalled, now int64) {
	f.load.Reset()
	f.reports.reset()
	f.ignoreUntil = now + ignoreAfterStall
	f.pushAt, f.shedAt = now, now+ignoreAfterStall
	for _, c := range f.counters() {
		c.Value = 0
	}
	if f.probeRoster != nil {
		f.probeRoster.Resume(stalled)
	}
	f.log("this process did not run for a time", map[string]any{"ms": stalled / ms})
	if f.shedder.Active {
		moves := f.shedder.Changes + 1
		f.shedder = shed.New(f.cfg.shedConfig()) // an old cut binds nobody
		f.shedder.Changes = moves
	}
}

// shed is what the cut goes by.
func (c *Config) shedConfig() shed.Config {
	s := shed.Config{OverShareFactor: c.OverShareFactor}
	for _, r := range c.RuleSets {
		s.Values = append(s.Values, r.BillingValue)
	}
	for _, x := range c.Tenants {
		s.Shares = append(s.Shares, x.Share)
	}
	return s
}

func (f *Fleet) counters() []*decay.Counter {
	all := []*decay.Counter{&f.first, &f.retries, &f.retriesWanted, &f.probes, &f.refused, &f.timedOut, &f.failed, &f.unserved, &f.served, &f.serverTime}
	for i := range f.offered {
		all = append(all, &f.offered[i])
	}
	return all
}

// measure brings this member's own load up to date.
func (f *Fleet) updateOwnLoad(now int64) {
	rate := func(c *decay.Counter) float64 { return c.Now(now, rateWindow) * float64(sec) / float64(rateWindow) }
	o := &f.load.Own
	*o = aggregate.Load{First: rate(&f.first), Retries: rate(&f.retries), RetriesWanted: rate(&f.retriesWanted), Probes: rate(&f.probes),
		Refused: rate(&f.refused), TimedOut: rate(&f.timedOut), Failed: rate(&f.failed), Unserved: max(0, rate(&f.unserved)), Served: rate(&f.served), ServerTime: rate(&f.serverTime)}
	for i := range f.offered {
		o.Offered[i] = rate(&f.offered[i])
	}
	if f.shedder.Active {
		o.Limit, o.LimitCount = f.shedder.Limit/float64(f.cfg.Members), 1 // a part for each place, so that sums of it stay in what a figure holds
	}
}

// look has the cut and the budget follow the picture.
func (f *Fleet) updateShedding(now int64) {
	f.updateOwnLoad(now)
	all, counted := f.load.FleetLoad(now)
	all.Limit *= float64(f.cfg.Members)
	f.shedder.Step(&all, counted, now)
	f.retryBudget.Step(&all, &f.load.Own, now)
}

// push tells one member of the block beside this one's at the next level; all levels have their turn.
func (f *Fleet) push(now int64) {
	if f.load.Levels() == 0 {
		return
	}
	f.updateOwnLoad(now)
	for range f.load.Levels() {
		f.pushLevel = (f.pushLevel + 1) % f.load.Levels()
		from, to := f.load.Sibling(f.pushLevel)
		if who := f.randomMember(from, to, f.swim.Alive); who >= 0 {
			d, room := f.swim.Datagram(peer.Push)
			f.addNewestKey(&d, &room)
			f.addPayload(&d, &room, f.pushLevel, now)
			f.actions = append(f.actions, Action{Kind: Send, To: who, Datagram: d, due: true})
			return
		}
	}
}

// oneThat draws one of the places from one to before another that suit; -1 where none does.
func (f *Fleet) randomMember(from, to int, suits func(i int) bool) int {
	if n := to - from; n > 0 {
		start := int(f.rng.Next() * float64(n))
		for i := range n {
			if member := from + (start+i)%n; suits(member) {
				return member
			}
		}
	}
	return -1
}

// fill adds sums and hints where there is room.
func (f *Fleet) addPayload(d *peer.Datagram, room *peer.Room, level int, now int64) {
	f.swim.AddUpdates(d, room, 1) // of many pieces of news most wait for pings and their answers, lest they crowd out the sums
	d.Sums = append(d.Sums, f.load.SumsFor(level, f.swim.Incarnation(), room, now)...)
	f.swim.AddUpdates(d, room, 1)
	d.Hints = append(d.Hints, f.reports.hintsToSend(f.cfg.Index, int(math.Ceil(3*math.Log2(float64(f.swim.AliveCount())+1))), room, now)...)
}

// send hands out what the members' part wants sent, within the limit. Answers and questions carry what there is room for.
func (f *Fleet) queueDatagrams() {
	for _, s := range f.swim.TakeDatagrams() {
		f.actions = append(f.actions, Action{Kind: Send, To: s.To, Datagram: s.Datagram})
	}
}

// advise has the module know what has changed.
func (f *Fleet) updateAdvice(now int64) {
	a := balance.Advice{RetriesLimited: f.cfg.Overload != nil, ShareFactors: f.reports.shareFactors(f.cfg.Index, f.swim.Alive, now)}
	if a.RetriesLimited {
		a.RetriesLeft = f.retryBudget.Available()
	}
	if a.RetriesLimited == f.advice.RetriesLimited && a.RetriesLeft == f.advice.RetriesLeft && len(a.ShareFactors) == 0 && len(f.advice.ShareFactors) == 0 {
		return
	}
	f.advice = a
	f.actions = append(f.actions, Action{Kind: Advise, Advice: a})
}

// tell has a line logged.
func (f *Fleet) log(text string, fields map[string]any) {
	f.actions = append(f.actions, Action{Kind: Log, Text: text, Fields: fields})
}

// note logs what has changed: members, the cut, the budget.
func (f *Fleet) logChanges() {
	for _, c := range f.swim.TakeChanges() {
		if c.To != peer.Suspect && c.From != swim.StateName(peer.Suspect) || c.To == peer.Dead {
			f.log("member", map[string]any{"member": c.Member, "from": c.From, "to": swim.StateName(c.To), "by": c.By, "members": f.swim.AliveCount()})
		}
	}
	if f.shedder.Active != f.logged.active || f.shedder.Changes != f.logged.changes {
		f.logged.active, f.logged.changes = f.shedder.Active, f.shedder.Changes
		f.log("cut", map[string]any{"in_force": f.shedder.Active, "limit": math.Round(f.shedder.Limit), "let_in": math.Round(f.shedder.AdmittedPart*100) / 100, "moves": f.shedder.Changes})
	}
	if f.retryBudget.Stopped != f.logged.stopped {
		f.logged.stopped = f.retryBudget.Stopped
		f.log("further dispatches", map[string]any{"stopped": f.retryBudget.Stopped})
	}
}

// Next gives the next action; false when there is none. A datagram past the limit is kept back for good: what it says has an age.
func (f *Fleet) Next() (a Action, ok bool) {
	for len(f.actions) > 0 {
		a, f.actions = f.actions[0], f.actions[1:]
		if a.Kind != Send {
			return a, true
		}
		// A question or an answer that is kept back is a suspicion, of another or of oneself: these may run into debt, which the rest pays.
		isProbe := a.Datagram.Kind != peer.Push
		if !a.due && (f.tokens.tokens < -maxDebtSeconds*f.cfg.DatagramsPerSecond || !isProbe && f.tokens.tokens < 1) {
			f.Count.Held++
			continue
		}
		if f.Count.Sent++; !a.due {
			f.tokens.tokens--
		}
		return a, true
	}
	return Action{}, false
}

// Status is what operators see of a member.
type Status struct {
	Index           int               `json:"me"`
	Incarnation     uint64            `json:"life"`
	HealthScore     int               `json:"slow_steps"`
	Alive           int               `json:"alive"`
	Members         []MemberStatus    `json:"members"`
	Counted         int               `json:"counted"`
	LoadAgeMs       int64             `json:"picture_age_ms"`
	Offered         float64           `json:"offered"`
	Served          float64           `json:"served"`
	Unserved        float64           `json:"lacked"`
	FirstDispatches float64           `json:"first"`
	Retries         float64           `json:"further"`
	Probing         float64           `json:"probing"`
	Shedding        SheddingStatus    `json:"cut"`
	RetryBudget     RetryBudgetStatus `json:"further_budget"`
	ProbeOwners     []ProbeOwner      `json:"probes,omitempty"`
	ReducedShares   []string          `json:"wary,omitempty"`
	Counts          Counts            `json:"counts"`
	Implausible     int               `json:"impossible"`
	Duplicates      int               `json:"twice"`
	Outdated        int               `json:"past"`
	UnknownSender   int               `json:"nobody"`
	StalledMs       int64             `json:"not_run_ms"`
}

// Seen is one member in a view.
type MemberStatus struct {
	Member      int    `json:"member"`
	State       string `json:"state"`
	Incarnation uint64 `json:"life"`
	SinceMs     int64  `json:"since_ms"` // ago
	HeardMs     int64  `json:"heard_ms"` // ago
}

// CutStatus is the cut in force.
type SheddingStatus struct {
	Active          bool    `json:"in_force"`
	Limit           float64 `json:"limit"`
	AdmittedPart    float64 `json:"let_in"`
	Changes         int     `json:"moves"`
	BaselineLatency float64 `json:"calm_s"` // mean time of an answer without a cut
	Latency         float64 `json:"took_s"` // and of late
}

// SpareStatus is the budget of this member.
type RetryBudgetStatus struct {
	Available int  `json:"left"`
	Stopped   bool `json:"stopped"`
}

// Owner is who probes a server, and how long ago it was done.
type ProbeOwner struct {
	Server string `json:"server"`
	Member int    `json:"member"`
	AgeMs  int64  `json:"age_ms"`
}

// Status gives a member's view.
func (f *Fleet) Status(now int64) Status {
	all, counted := f.load.FleetLoad(now)
	s := Status{Index: f.cfg.Index, Incarnation: f.swim.Incarnation(), HealthScore: f.swim.Health(), Alive: f.swim.AliveCount(), Counted: counted, LoadAgeMs: f.load.Age(now) / ms,
		Offered: all.TotalOffered(), Served: all.Served, Unserved: all.Unserved, FirstDispatches: all.First, Retries: all.Retries, Probing: all.Probes,
		Shedding:    SheddingStatus{f.shedder.Active, f.shedder.Limit, f.shedder.AdmittedPart, f.shedder.Changes, f.shedder.BaselineLatency, f.shedder.Latency},
		RetryBudget: RetryBudgetStatus{f.retryBudget.Available(), f.retryBudget.Stopped}, Counts: f.Count, Implausible: f.load.Implausible,
		Duplicates: f.swim.Dropped.Duplicates, Outdated: f.swim.Dropped.Outdated, UnknownSender: f.swim.Dropped.UnknownSender, StalledMs: f.swim.Stalled / ms}
	for i := range f.cfg.Members {
		m := f.swim.Member(i)
		if !m.Known {
			s.Members = append(s.Members, MemberStatus{Member: i, State: "presumed"})
			continue
		}
		s.Members = append(s.Members, MemberStatus{i, swim.StateName(m.State), m.Incarnation, (now - m.Since) / ms, (now - m.LastHeard) / ms})
	}
	if f.probeRoster != nil {
		for _, id := range f.servers {
			owner, at := f.probeRoster.Owner(id)
			s.ProbeOwners = append(s.ProbeOwners, ProbeOwner{id, owner, (now - at) / ms})
		}
	}
	for id, part := range f.advice.ShareFactors {
		s.ReducedShares = append(s.ReducedShares, fmt.Sprintf("%s %.2f", id, part))
	}
	slices.SortFunc(s.ReducedShares, strings.Compare)
	return s
}

// Members is the view of who takes part, for those who rehearse.
func (f *Fleet) Membership() *swim.Membership { return f.swim }

// Picture is what is counted, for those who rehearse.
func (f *Fleet) FleetLoad(now int64) (aggregate.Load, int) { return f.load.FleetLoad(now) }

// Sheds says whether a cut is in force that denies anything.
func (f *Fleet) Shedding() bool { return f.shedder.Active && f.shedder.AdmittedPart < 1 }
