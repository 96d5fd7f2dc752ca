// Package fleet coordinates a client proxy with its peers: membership, the fleet's load, joint load shedding, the
// retry budget, the assignment of health probes, and reports of failing servers. It is driven by events and a
// clock passed in, and returns typed actions, so that the proxy, the emulator and tests run the same code. All
// results are advice: a proxy that hears no peer gets the advice that fits a single proxy.
//
// This file holds Fleet, which combines the parts. It never uses a socket and never permits what the balancer
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

	adviseInterval  = 100 * ms // between updates of the balancer's advice
	shedInterval    = 250 * ms // between updates of shedding from the fleet's load
	rateWindow      = 600 * ms // decay time of the rates that are reported
	pushFraction    = 0.5      // of the datagram limit; the rest is for pings and answers
	minPushInterval = 50 * ms
	// A load sum is kept for this many rounds of pushes to all levels, and for at least minMaxAge.
	maxAgeRounds = 12
	minMaxAge    = 3 * sec
	// A process that did not run for this long discards the state that may be outdated.
	stallThreshold    = 500 * ms
	ignoreAfterStall  = 100 * ms // datagrams that arrive within this time after a stall are dropped
	clientRetryWindow = 20 * sec // how long a rejected client's retry is recognised
	// Pings and answers may exceed the datagram rate by as many seconds' worth.
	maxDebtSeconds = 1.0
	minBurst       = 4.0 // datagrams that may be sent at once beyond the rate
	// Rejected clients are told to wait between this part of MaxRetryAfter and all of it, to spread their retries.
	minRetryAfterPart = 0.35
)

// Config is the configuration of a member. Times are in nanoseconds.
type Config struct {
	Index, Members     int
	Incarnation        uint64 // swim.IncarnationAt of this process's start
	Seed               uint64
	DatagramsPerSecond float64 // limit on what the member sends
	AckTimeout         int64
	MinSilence         int64
	RuleSets           []balance.RuleSet
	Tenants            []balance.Tenant
	OverShareFactor    float64 // factor on the value of requests beyond a tenant's share
	MaxRetryAfter      int64   // longest wait that clients honour; 0 if none is advised
	Overload           *Overload
	Probes             *assign.Config
	Learn              *LearnConfig // nil: a restarted member queries nobody, and nobody is answered
}

// Overload configures joint shedding.
type Overload struct {
	RetryRatio    float64 // retries as a fraction of first dispatches
	MaxMemberRate float64 // requests per second above which a member's load report is not believed
}

// ActionKind says what an action asks the host to do.
type ActionKind int

// The kinds of actions.
const (
	Send             ActionKind = iota // send Datagram to member To
	Probe                              // probe Server and call ProbeEnded
	Advise                             // the advice to the balancer has changed
	Log                                // write Text and Fields to the log
	ApplyPeerReports                   // Reports holds what peers have reported about servers so far
	AnswerQuery                        // member To has queried this one: call SendBeliefs with the balancer's state
	Deliver                            // Message was received from member To
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
	due      bool // a scheduled datagram, which is not subject to the limit on pings and answers
}

// recentClient is a client that was rejected or not served in time, by the hash that its retries share.
type recentClient struct {
	hash     float64
	at       int64
	unserved bool // the request is counted in Fleet.unserved
}

// Fleet is one member's state.
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

	offered [aggregate.Classes]decay.Counter

	first, retries, retriesWanted, probes, refused, timedOut, failed, unserved, served, serverTime decay.Counter

	recentClients     [4096]recentClient // indexed by client hash; a new entry replaces an older one
	servers           []string           // sorted ids; set by SetServers
	membershipVersion int                // version of the membership at the last assignment of probes

	assignAt, adviseAt, shedAt, pushAt, lastTick, ignoreUntil int64

	pushLevel int         // level of the latest push
	tokens    tokenBucket // for datagrams
	advice    balance.Advice

	logged struct {
		active, stopped bool
		changes         int
	}
	Count Counts
}

// Counts holds what a member has sent, received and done since its start. Its fields are encoded under these
// names.
type Counts struct {
	// Datagrams; Held: not sent because of the limit; Stale: received after a stall and dropped.
	Sent, Heard, Held, Stale int
	Shed, Retries            int // requests rejected by shedding; retries of clients
	Probes                   int
}

// tokenBucket limits a rate. Its level may be negative where the sender was allowed to borrow.
type tokenBucket struct {
	tokens   float64
	filledAt int64
}

func (b *tokenBucket) fill(perSecond, limit float64, now int64) {
	b.tokens = min(limit, b.tokens+perSecond*float64(now-b.filledAt)/float64(sec))
	b.filledAt = now
}

// New returns a member that has heard from no peer yet.
func New(cfg Config, now int64) *Fleet {
	f := &Fleet{cfg: cfg, rng: rng.Source{Seed: cfg.Seed}, lastTick: now, pushAt: now,
		tokens: tokenBucket{minBurst, now}}
	// A ping and its answer use about a third of the datagram limit.
	period := int64(6 / cfg.DatagramsPerSecond * float64(sec))
	f.swim = swim.New(swim.Config{Index: cfg.Index, Members: cfg.Members, Period: period, AckTimeout: cfg.AckTimeout,
		MinSilence: cfg.MinSilence, Seed: cfg.Seed ^ 1}, cfg.Incarnation, now)
	maxRate, retryRatio := math.Inf(1), math.Inf(1)
	if cfg.Overload != nil {
		maxRate, retryRatio = cfg.Overload.MaxMemberRate, cfg.Overload.RetryRatio
	}
	maxAge := max(minMaxAge, maxAgeRounds*f.pushInterval()*int64(aggregate.Levels(cfg.Members)))
	f.load = aggregate.New(aggregate.Config{Index: cfg.Index, Members: cfg.Members, MaxMemberRate: maxRate,
		MaxAge: maxAge})
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

// SetServers sets the ids of all listed servers, in sorted order.
func (f *Fleet) SetServers(ids []string, now int64) {
	if slices.Equal(ids, f.servers) {
		return
	}
	f.servers = slices.Clone(ids)
	f.reports.setServers(f.servers)
	f.assignProbes(now)
}

// assignProbes assigns the probes anew after a change of the members or servers.
func (f *Fleet) assignProbes(now int64) {
	if f.membershipVersion = f.swim.Version(); f.probeRoster != nil {
		f.probeRoster.Set(f.servers, f.swim.AliveMembers(), now)
	}
}

// Admit counts a request of a rule set and tenant, given by index. It returns whether the fleet sheds the request
// and how many nanoseconds its client should wait. clientHash, between 0 and 1, is the same for all retries of a
// client's request; markedRetry says that the request is marked as a retry.
func (f *Fleet) Admit(ruleSet, tenant int, clientHash float64, markedRetry bool, now int64) (shed bool, wait int64) {
	if f.cfg.Overload == nil {
		return false, 0
	}
	class := f.shedder.Class(ruleSet, tenant)
	previous := &f.recentClients[int(clientHash*float64(len(f.recentClients)))]
	known := previous.hash == clientHash && now-previous.at < clientRetryWindow
	if known || markedRetry {
		f.Count.Retries++ // retries add load but no demand
	} else if class >= 0 {
		f.offered[class].Add(now, rateWindow)
	}
	if known && previous.unserved {
		// The client is still trying, so the request is not lost yet.
		f.unserved.AddAmount(-math.Exp(-float64(now-previous.at)/float64(rateWindow)), now, rateWindow)
		previous.unserved = false
	}
	if f.shedder.Admits(class, clientHash) {
		return false, 0
	}
	f.Count.Shed++
	*previous = recentClient{hash: clientHash, at: now}
	return true, int64(float64(f.cfg.MaxRetryAfter) * (minRetryAfterPart + (1-minRetryAfterPart)*f.rng.Next()))
}

// Missed records that an admitted request was not served in time. If its client retries, the retry adds no demand
// and the request is no longer counted as unserved.
func (f *Fleet) Missed(clientHash float64, now int64) {
	f.unserved.Add(now, rateWindow)
	f.recentClients[int(clientHash*float64(len(f.recentClients)))] = recentClient{clientHash, now, true}
}

// Dispatched records a dispatch; retry is set if it is not the first of its request.
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

// DispatchEnded records the outcome of a dispatch, whether its request has ended too, and how long the dispatch
// took in nanoseconds. Outcomes that say nothing about the server are ignored.
func (f *Fleet) DispatchEnded(server string, outcome balance.Outcome, ended bool, took, now int64) {
	switch outcome {
	case balance.Cancelled, balance.NotSent, balance.Unknown:
		return
	case balance.Served:
		f.reports.served(server, now)
		// Without the time that the request waited in the proxy, which says nothing about what servers can bear.
		f.serverTime.AddAmount(float64(took)/float64(sec), now, rateWindow)
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

// ServedInTime records that a request was served within its response target.
func (f *Fleet) ServedInTime(now int64) { f.served.Add(now, rateWindow) }

// ProbeEnded records the result of a probe.
func (f *Fleet) ProbeEnded(server string, healthy bool, now int64) {
	f.reports.probed(f.cfg.Index, server, healthy, now)
}

// SameConfig reports whether the member runs with these rule sets and tenants and this longest wait.
func (f *Fleet) SameConfig(ruleSets []balance.RuleSet, tenants []balance.Tenant, maxRetryAfter int64) bool {
	return reflect.DeepEqual(f.cfg.RuleSets, ruleSets) && slices.Equal(f.cfg.Tenants, tenants) &&
		f.cfg.MaxRetryAfter == maxRetryAfter
}

// Receive handles a datagram. The caller has checked that it came from the address of the member that it names.
func (f *Fleet) Receive(d *peer.Datagram, now int64) {
	if now-f.lastTick > stallThreshold || now < f.ignoreUntil {
		// The datagram may have waited for as long as this process was stalled, so the ages in it mean nothing.
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

// Leave tells the other members that this process ends.
func (f *Fleet) Leave() {
	f.swim.Leave()
	f.queueDatagrams()
}

// Tick does what is due and returns when to call it again. It handles a stall of the process first.
func (f *Fleet) Tick(now int64) (next int64) {
	elapsed := now - f.lastTick
	if elapsed > stallThreshold {
		f.handleStall(elapsed, now)
	}
	f.lastTick = now
	f.tokens.fill((1-pushFraction)*f.cfg.DatagramsPerSecond, max(minBurst, f.cfg.DatagramsPerSecond/4), now)
	next = f.swim.Tick(now)
	if f.swim.Version() != f.membershipVersion {
		f.load.DropGone(f.swim.Alive, func(p int) uint64 { return f.swim.Member(p).Incarnation })
		// It takes time in proportion to the servers, so it does not run for each of many changes.
		if now >= f.assignAt {
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
	// Other due work waits for the next tick of membership: a wakeup costs the proxy more than the work done in
	// it.
	return next
}

// handleStall discards state that became outdated while this process did not run.
func (f *Fleet) handleStall(stalled, now int64) {
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
	f.log("the process did not run for a while; outdated state discarded", map[string]any{"ms": stalled / ms})
	if f.shedder.Active {
		changes := f.shedder.Changes + 1
		f.shedder = shed.New(f.cfg.shedConfig()) // shedding decided before the stall no longer applies
		f.shedder.Changes = changes
	}
}

// shedConfig returns the configuration of the shedder.
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
	all := []*decay.Counter{&f.first, &f.retries, &f.retriesWanted, &f.probes, &f.refused, &f.timedOut, &f.failed,
		&f.unserved, &f.served, &f.serverTime}
	for i := range f.offered {
		all = append(all, &f.offered[i])
	}
	return all
}

// updateOwnLoad updates this member's own load.
func (f *Fleet) updateOwnLoad(now int64) {
	rate := func(c *decay.Counter) float64 { return c.Now(now, rateWindow) * float64(sec) / float64(rateWindow) }
	own := &f.load.Own
	*own = aggregate.Load{First: rate(&f.first), Retries: rate(&f.retries), RetriesWanted: rate(&f.retriesWanted),
		Probes: rate(&f.probes), Refused: rate(&f.refused), TimedOut: rate(&f.timedOut), Failed: rate(&f.failed),
		Unserved: max(0, rate(&f.unserved)), Served: rate(&f.served), ServerTime: rate(&f.serverTime)}
	for i := range f.offered {
		own.Offered[i] = rate(&f.offered[i])
	}
	if f.shedder.Active {
		// Each member reports its part, so that sums stay within the range of an encoded figure.
		own.Limit, own.LimitCount = f.shedder.Limit/float64(f.cfg.Members), 1
	}
}

// updateShedding updates the shedder and the retry budget from the fleet's load.
func (f *Fleet) updateShedding(now int64) {
	f.updateOwnLoad(now)
	total, counted := f.load.FleetLoad(now)
	total.Limit *= float64(f.cfg.Members)
	f.shedder.Step(&total, counted, now)
	f.retryBudget.Step(&total, &f.load.Own, now)
}

// push sends load sums to one member of the sibling block at the next level, so that all levels take turns.
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

// randomMember returns a random member in [from, to) that suits, or -1 if none does.
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

// addPayload adds load sums, membership updates and hints as far as there is room.
func (f *Fleet) addPayload(d *peer.Datagram, room *peer.Room, level int, now int64) {
	// Only one update before the sums: many updates would crowd them out, and pings and answers carry the rest.
	f.swim.AddUpdates(d, room, 1)
	d.Sums = append(d.Sums, f.load.SumsFor(level, f.swim.Incarnation(), room, now)...)
	f.swim.AddUpdates(d, room, 1)
	d.Hints = append(d.Hints, f.reports.hintsToSend(f.cfg.Index,
		int(math.Ceil(3*math.Log2(float64(f.swim.AliveCount())+1))), room, now)...)
}

// queueDatagrams queues the datagrams of the membership protocol. Next applies the limit.
func (f *Fleet) queueDatagrams() {
	for _, s := range f.swim.TakeDatagrams() {
		f.actions = append(f.actions, Action{Kind: Send, To: s.To, Datagram: s.Datagram})
	}
}

// updateAdvice emits the advice to the balancer if it has changed.
func (f *Fleet) updateAdvice(now int64) {
	a := balance.Advice{RetriesLimited: f.cfg.Overload != nil, ShareFactors: f.reports.shareFactors(f.cfg.Index,
		f.swim.Alive, now)}
	if a.RetriesLimited {
		a.RetriesLeft = f.retryBudget.Available()
	}
	if a.RetriesLimited == f.advice.RetriesLimited && a.RetriesLeft == f.advice.RetriesLeft &&
		len(a.ShareFactors) == 0 && len(f.advice.ShareFactors) == 0 {
		return
	}
	f.advice = a
	f.actions = append(f.actions, Action{Kind: Advise, Advice: a})
}

// log emits a line for the log.
func (f *Fleet) log(text string, fields map[string]any) {
	f.actions = append(f.actions, Action{Kind: Log, Text: text, Fields: fields})
}

// logChanges logs changes of the members, the shedder and the retry budget.
func (f *Fleet) logChanges() {
	for _, c := range f.swim.TakeChanges() {
		if c.To != peer.Suspect && c.From != swim.StateName(peer.Suspect) || c.To == peer.Dead {
			f.log("member changed its state", map[string]any{"member": c.Member, "from": c.From,
				"to": swim.StateName(c.To), "by": c.By, "members": f.swim.AliveCount()})
		}
	}
	if f.shedder.Active != f.logged.active || f.shedder.Changes != f.logged.changes {
		f.logged.active, f.logged.changes = f.shedder.Active, f.shedder.Changes
		f.log("load shedding changed", map[string]any{"in_force": f.shedder.Active,
			"limit": math.Round(f.shedder.Limit), "let_in": math.Round(f.shedder.AdmittedPart*100) / 100,
			"moves": f.shedder.Changes})
	}
	if f.retryBudget.Stopped != f.logged.stopped {
		f.logged.stopped = f.retryBudget.Stopped
		f.log("retry budget changed", map[string]any{"stopped": f.retryBudget.Stopped})
	}
}

// Next returns the next action, or false if there is none. A datagram beyond the limit is dropped instead of
// delayed, because its content ages.
func (f *Fleet) Next() (a Action, ok bool) {
	for len(f.actions) > 0 {
		a, f.actions = f.actions[0], f.actions[1:]
		if a.Kind != Send {
			return a, true
		}
		// A ping or an answer that is not sent causes a suspicion of this or another member. These datagrams may
		// therefore exceed the rate, at the expense of later pushes.
		mayBorrow := a.Datagram.Kind != peer.Push
		if !a.due && (f.tokens.tokens < -maxDebtSeconds*f.cfg.DatagramsPerSecond || !mayBorrow && f.tokens.tokens < 1) {
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

// Status is a member's state as shown to operators.
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

// MemberStatus is one member as seen by another.
type MemberStatus struct {
	Member      int    `json:"member"`
	State       string `json:"state"`
	Incarnation uint64 `json:"life"`
	SinceMs     int64  `json:"since_ms"` // ago
	HeardMs     int64  `json:"heard_ms"` // ago
}

// SheddingStatus is the state of shedding.
type SheddingStatus struct {
	Active          bool    `json:"in_force"`
	Limit           float64 `json:"limit"`
	AdmittedPart    float64 `json:"let_in"`
	Changes         int     `json:"moves"`
	BaselineLatency float64 `json:"calm_s"` // mean answer time while nothing is shed
	Latency         float64 `json:"took_s"` // recent mean answer time
}

// RetryBudgetStatus is the state of this member's retry budget.
type RetryBudgetStatus struct {
	Available int  `json:"left"`
	Stopped   bool `json:"stopped"`
}

// ProbeOwner is the member that probes a server, and the time since the last probe.
type ProbeOwner struct {
	Server string `json:"server"`
	Member int    `json:"member"`
	AgeMs  int64  `json:"age_ms"`
}

// Status returns the member's state.
func (f *Fleet) Status(now int64) Status {
	total, counted := f.load.FleetLoad(now)
	s := Status{Index: f.cfg.Index, Incarnation: f.swim.Incarnation(), HealthScore: f.swim.Health(),
		Alive: f.swim.AliveCount(), Counted: counted, LoadAgeMs: f.load.Age(now) / ms,
		Offered: total.TotalOffered(), Served: total.Served, Unserved: total.Unserved, FirstDispatches: total.First,
		Retries: total.Retries, Probing: total.Probes,
		Shedding: SheddingStatus{f.shedder.Active, f.shedder.Limit, f.shedder.AdmittedPart, f.shedder.Changes,
			f.shedder.BaselineLatency, f.shedder.Latency},
		RetryBudget: RetryBudgetStatus{f.retryBudget.Available(), f.retryBudget.Stopped}, Counts: f.Count,
		Implausible: f.load.Implausible,
		Duplicates:  f.swim.Dropped.Duplicates, Outdated: f.swim.Dropped.Outdated,
		UnknownSender: f.swim.Dropped.UnknownSender, StalledMs: f.swim.Stalled / ms}
	for i := range f.cfg.Members {
		m := f.swim.Member(i)
		if !m.Known {
			s.Members = append(s.Members, MemberStatus{Member: i, State: "presumed"})
			continue
		}
		s.Members = append(s.Members, MemberStatus{i, swim.StateName(m.State), m.Incarnation, (now - m.Since) / ms,
			(now - m.LastHeard) / ms})
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

// Membership returns the member's view of the membership, for rehearsals and the host.
func (f *Fleet) Membership() *swim.Membership { return f.swim }

// FleetLoad returns the load of all counted members and their number.
func (f *Fleet) FleetLoad(now int64) (aggregate.Load, int) { return f.load.FleetLoad(now) }

// Shedding reports whether shedding rejects any requests.
func (f *Fleet) Shedding() bool { return f.shedder.Active && f.shedder.AdmittedPart < 1 }
