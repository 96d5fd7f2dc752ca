package emu

// This file holds the virtual mode: balancers in virtual time, the network between them and the servers, and their
// clients. It executes the decisions of a policy and never makes one itself.

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math"

	"ivybank/balance"
	"ivybank/fleet"
	"ivybank/fleet/warmstart"
	"ivybank/internal/rng"
)

// Policy makes the decisions of a balancer: the balance module, or a policy that it is compared with.
type Policy interface {
	AddRequest(a balance.Arrival, now int64)
	Finished(id uint64, attempt int, o balance.Outcome, final bool, latency, now int64)
	Withdrawn(id uint64)
	UpdateList(form balance.ListForm, entries []balance.Server, now int64)
	Next(now int64) (balance.Decision, bool)
}

// Request is one request of a client, without its retries.
type Request struct {
	At      int64 // arrival since the run's start, in nanoseconds
	RuleSet string
	Tenant  string
	Key     string
	Work    int64
}

// ClientConfig is how clients behave. Times are in nanoseconds.
type ClientConfig struct {
	Timeout          int64 // how long a client waits from its first try
	MaxRetries       int   // number of retries after a denied try
	RetryDelay       int64 // time before a retry, unless the denial says when to retry
	IgnoreRetryAfter bool  // ignore what the denial says
}

// ResultKind is the kind of the final answer to a request.
type ResultKind int

// The kinds of results. Unanswered means that no answer came in time.
const (
	Done ResultKind = iota
	Denied
	Aborted
	Unanswered
)

// Result is the outcome of one request with its retries. Latency is in nanoseconds.
type Result struct {
	Request
	Kind     ResultKind
	Latency  int64
	Attempts int
	Balancer int // index of the balancer that was asked
}

// Balancers are the balancers of one run in virtual time.
type Balancers struct {
	fleet           *Fleet
	clock           *VirtualClock
	config          balance.Config
	clients         ClientConfig
	onResult        func(Result)
	decisionHash    hash.Hash // hash of all decisions
	random          rng.Source
	balancers       []*balancer
	requestCount    uint64
	Decisions       int
	Dispatches      int            // number of dispatches
	DispatchedTries int            // number of tries that were dispatched at least once
	peers           *Peers         // nil: balancers don't exchange datagrams
	ruleSetIndex    map[string]int // indices of rule sets and tenants by name
	tenantIndex     map[string]int
	newPolicy       func(t balance.Config, now int64) Policy
	startList       []balance.Server // the list that each process gets at its start
	snapshotConfig  SnapshotConfig
}

type balancer struct {
	*Balancers
	id        int
	zone      string
	policy    Policy
	requests  map[uint64]*clientTry // removed when a try has ended and none of its attempts is pending
	wakeSeq   uint64                // number of the latest scheduled wake-up; earlier ones are ignored
	watching  bool                  // whether a watch of the list is open
	starts    int                   // number of starts; callbacks scheduled for an earlier process are ignored
	dead      bool
	config    balance.Config
	list      []balance.Server         // the latest list from discovery, for snapshots
	snapshot  *warmstart.Snapshot      // the latest saved snapshot; nil: none
	restored  []balance.ServerSnapshot // servers restored from the snapshot at the latest start
	startedAt int64                    // time of the latest start
}

// clientTry is one try of a client at a balancer.
type clientTry struct {
	Request
	id            uint64
	name          string
	firstAt       int64 // time of the request's first try
	acceptedAt    int64
	tries         int
	ended         bool
	admissionDraw float64 // random number that decides whether the try is shed
	shed          bool
	attempts      []*attempt
	outstanding   int
}

type attempt struct {
	job     *Job
	server  *Server
	at      int64
	pending bool
}

// BalancerSeed gives the seed of one balancer of a run; it is the same in virtual time and on sockets.
func BalancerSeed(seed uint64, balancer int) uint64 { return seed*1000003 + uint64(balancer) + 1 }

// NewBalancers starts one balancer per zone entry, each with a policy of its own; config is the deployment's.
func NewBalancers(f *Fleet, c *VirtualClock, zones []string, config balance.Config, clients ClientConfig, seed uint64,
	newPolicy func(t balance.Config, now int64) Policy, onResult func(Result)) *Balancers {
	bs := &Balancers{fleet: f, clock: c, config: config, clients: clients, onResult: onResult, decisionHash: sha256.New(),
		newPolicy: newPolicy}
	bs.random.Seed = seed
	bs.startList, _ = f.List()
	f.InjectProxyFault = bs.injectProxyFault
	for i, zone := range zones {
		config.Seed, config.Zone, config.FleetSize = BalancerSeed(seed, i), zone, len(zones)
		b := &balancer{Balancers: bs, id: i, zone: zone, config: config}
		bs.balancers = append(bs.balancers, b)
		b.startProcess()
	}
	return bs
}

// ConnectPeers lets the balancers exchange datagrams from now on; newConfig gives the fleet configuration of each. A
// policy gets advice only if it has the method ApplyAdvice.
func (bs *Balancers) ConnectPeers(seed uint64, newConfig func(index, members int) fleet.Config) *Peers {
	var configs []fleet.Config
	for i := range bs.balancers {
		config := newConfig(i, len(bs.balancers))
		config.Seed, config.RuleSets, config.Tenants, config.MaxRetryAfter =
			seed, bs.config.RuleSets, bs.config.Tenants, bs.config.MaxRetryAfter
		configs = append(configs, config)
	}
	bs.ruleSetIndex, bs.tenantIndex = map[string]int{}, map[string]int{}
	for i, r := range bs.config.RuleSets {
		bs.ruleSetIndex[r.Name] = i
	}
	for i, x := range bs.config.Tenants {
		bs.tenantIndex[x.Name] = i
	}
	bs.peers = NewPeers(bs.clock, configs, seed, false, bs.handleAction)
	for i := range bs.balancers {
		bs.peers.Fleet(i).SetServers(bs.serverIDs(), bs.clock.Now())
	}
	return bs.peers
}

// handleAction executes an action of a member other than sending.
func (bs *Balancers) handleAction(i int, a fleet.Action) {
	b := bs.balancers[i]
	switch a.Kind {
	case fleet.Advise:
		if p, ok := b.policy.(interface{ ApplyAdvice(balance.Advice) }); ok {
			p.ApplyAdvice(a.Advice)
		}
	case fleet.AnswerQuery:
		if p, ok := b.policy.(snapshotter); ok {
			bs.peers.Fleet(i).SendBeliefs(a.To, p.Snapshot(bs.clock.Now()).Servers, bs.clock.Now())
		}
	case fleet.ApplyPeerReports:
		b.applyReports(a.Reports)
	case fleet.Probe:
		server := bs.fleet.Server(a.Server)
		delay, arrives := bs.fleet.Delivery(b.zone, server)
		bs.clock.At(bs.clock.Now()+2*delay, func() {
			bs.peers.Fleet(i).ProbeEnded(a.Server, arrives && server.Healthy(), bs.clock.Now())
		})
	}
}

// Hash gives a hash of all decisions so far, which is the same for two runs with the same decisions.
func (bs *Balancers) Hash() string { return hex.EncodeToString(bs.decisionHash.Sum(nil))[:16] }

// Arrive submits a client's request to a balancer now.
func (bs *Balancers) Arrive(index int, req Request) {
	bs.balancers[index%len(bs.balancers)].submit(req, bs.clock.Now(), 0)
}

// submit submits one try of a request; tries counts the earlier ones.
func (b *balancer) submit(req Request, firstAt int64, tries int) {
	now := b.clock.Now()
	if b.dead {
		// No process listens. A retry stays unanswered; a first try isn't counted, as the client on the same machine ended
		// along with the balancer.
		if tries > 0 {
			b.onResult(Result{req, Unanswered, now - firstAt, tries, b.id})
		}
		return
	}
	b.Balancers.requestCount++
	try := &clientTry{Request: req, id: b.Balancers.requestCount, name: fmt.Sprint(b.Balancers.requestCount),
		firstAt: firstAt, acceptedAt: now, tries: tries + 1}
	b.requests[try.id] = try
	b.fleet.Checker.RequestAccepted(try.name, now+b.clients.Timeout)
	arrival := balance.Arrival{ID: try.id, RuleSet: req.RuleSet, Tenant: req.Tenant, Key: req.Key,
		Budget: b.clients.Timeout, Work: req.Work}
	if b.peers != nil {
		try.admissionDraw = rng.Hash(fmt.Sprint(req.At, req.Key), req.RuleSet) // the same for a request and its retries
		arrival.Shed, arrival.RetryAfter =
			b.peers.Fleet(b.id).Admit(b.ruleSetIndex[req.RuleSet], b.tenantIndex[req.Tenant], try.admissionDraw, false, now)
		try.shed = arrival.Shed
	}
	b.policy.AddRequest(arrival, now)
	b.clock.At(now+b.clients.Timeout, func() {
		if !try.ended { // still open in the checker: counted there as unanswered at the end of the run
			try.ended = true
			b.policy.Withdrawn(try.id)
			b.onResult(Result{try.Request, Unanswered, b.clock.Now() - try.firstAt, try.tries, b.id})
			b.forgetIfDone(try)
			b.runDecisions()
		}
	})
	b.runDecisions()
}

// forgetIfDone removes a try that has ended and has no pending attempts.
func (b *balancer) forgetIfDone(try *clientTry) {
	if try.ended && try.outstanding == 0 {
		delete(b.requests, try.id)
		b.fleet.Checker.Forget(try.name)
	}
}

// answer gives a client its final answer.
func (b *balancer) answer(try *clientTry, id uint64, kind ResultKind, retryAfter int64) {
	if try == nil || try.ended {
		b.fleet.Checker.Answered(fmt.Sprint(id)) // a second answer, or one to an unknown request
		return
	}
	try.ended = true
	b.fleet.Checker.Answered(try.name)
	now := b.clock.Now()
	if b.peers != nil && !try.shed {
		if x := b.config.RuleSet(try.RuleSet); kind == Done && (x == nil || now-try.acceptedAt <= x.ResponseTarget) {
			b.peers.Fleet(b.id).ServedInTime(now)
		} else {
			b.peers.Fleet(b.id).Missed(try.admissionDraw, now)
		}
	}
	if kind == Denied && try.tries <= b.clients.MaxRetries && now-try.firstAt < b.clients.Timeout {
		delay := b.clients.RetryDelay
		if retryAfter > 0 && !b.clients.IgnoreRetryAfter {
			delay = retryAfter
		}
		b.clock.At(now+max(1, delay), func() { b.submit(try.Request, try.firstAt, try.tries) })
	} else {
		b.onResult(Result{try.Request, kind, now - try.firstAt, try.tries, b.id})
	}
	b.forgetIfDone(try)
}

// runDecisions executes the decisions of the policy.
func (b *balancer) runDecisions() {
	now := b.clock.Now()
	for d, ok := b.policy.Next(now); ok; d, ok = b.policy.Next(now) {
		if d.Kind != balance.Log {
			b.Decisions++
			fmt.Fprintf(b.decisionHash, "%d %d %d %d %s %d %d\n", now, b.id, d.Kind, d.Request, d.Server, d.Attempt, d.Time)
		}
		try := b.requests[d.Request]
		switch d.Kind {
		case balance.Dispatch:
			b.dispatch(try, d.Server, d.Time)
		case balance.Deny:
			b.answer(try, d.Request, Denied, d.Time)
		case balance.Abort:
			b.answer(try, d.Request, Aborted, 0)
		case balance.Cancel:
			if try != nil && d.Attempt < len(try.attempts) {
				b.abandon(try, d.Attempt, balance.Cancelled)
			}
		case balance.RequestList:
			b.requestList()
		case balance.Wake:
			b.wakeSeq++
			seq := b.wakeSeq
			b.clock.At(now+d.Time, func() {
				if b.wakeSeq == seq && !b.dead {
					b.runDecisions()
				}
			})
		}
	}
}

// requestList requests the list from discovery and watches its changes from then on.
func (b *balancer) requestList() {
	starts := b.starts
	b.clock.At(b.clock.Now()+2*b.fleet.Network.SameZoneDelay, func() {
		if b.starts != starts || b.dead {
			return
		}
		if b.fleet.DiscoveryDown() {
			b.policy.UpdateList(balance.ListUnavailable, nil, b.clock.Now())
			b.runDecisions()
			return
		}
		entries, _ := b.fleet.List()
		b.applyList(balance.ListReplace, entries)
		if !b.watching {
			b.watching = true
			b.fleet.Watch(func(e ListChange) {
				if b.starts == starts && !b.dead {
					b.applyList(balance.ListUpdate, []balance.Server{e.Server})
				}
			}, func() {
				if b.starts != starts || b.dead {
					return
				}
				b.watching = false
				b.policy.UpdateList(balance.ListUnavailable, nil, b.clock.Now())
				b.runDecisions()
			})
		}
	})
}

// applyList passes a list or a change of it from discovery to the policy.
func (b *balancer) applyList(form balance.ListForm, entries []balance.Server) {
	for _, e := range entries {
		b.fleet.Checker.StateAnnounced(b.id, e.ID, e.State)
	}
	b.recordList(form, entries)
	b.policy.UpdateList(form, entries, b.clock.Now())
	b.runDecisions()
}

// dispatch sends an attempt to a server; it times out at the time until, or never if that is math.MaxInt64.
func (b *balancer) dispatch(try *clientTry, id string, until int64) {
	now := b.clock.Now()
	n := len(try.attempts)
	server := b.fleet.Server(id)
	sent := &attempt{server: server, at: now, pending: true}
	try.attempts = append(try.attempts, sent)
	try.outstanding++
	var ruleSet balance.RuleSet
	if x := b.config.RuleSet(try.RuleSet); x != nil {
		ruleSet = *x
	}
	b.fleet.Checker.AttemptSent(b.id, id, try.name)
	if b.Dispatches++; n == 0 {
		b.DispatchedTries++
	}
	if b.peers != nil {
		b.peers.Fleet(b.id).Dispatched(id, n > 0, now)
	}
	sent.job = &Job{RequestID: try.name, Balancer: b.id, SentAt: now, Work: try.Work, Key: try.Key,
		RuleSet: ruleSet, Done: func(o balance.Outcome) {
			delay, arrives := b.fleet.Delivery(b.zone, server)
			if arrives {
				b.clock.At(b.clock.Now()+delay, func() { b.attemptEnded(try, n, o) })
			}
		}}
	delay, arrives := b.fleet.Delivery(b.zone, server)
	if arrives {
		b.clock.At(now+delay, func() {
			if sent.pending {
				server.Offer(sent.job)
			}
		})
	}
	if until < math.MaxInt64 {
		b.clock.At(until, func() { b.abandon(try, n, balance.TimedOut) })
	}
}

// abandon stops waiting for an attempt and cancels it at the server, if the message arrives.
func (b *balancer) abandon(try *clientTry, n int, o balance.Outcome) {
	sent := try.attempts[n]
	if !sent.pending {
		return
	}
	if delay, arrives := b.fleet.Delivery(b.zone, sent.server); arrives {
		b.clock.At(b.clock.Now()+delay, func() { sent.server.Cancel(sent.job) })
	}
	b.attemptEnded(try, n, o)
}

// attemptEnded records the outcome of an attempt.
func (b *balancer) attemptEnded(try *clientTry, n int, o balance.Outcome) {
	sent := try.attempts[n]
	if !sent.pending {
		return
	}
	sent.pending = false
	try.outstanding--
	now := b.clock.Now()
	if o == balance.Served && !try.ended {
		b.answer(try, try.id, Done, 0)
	}
	b.policy.Finished(try.id, n, o, try.ended, now-sent.at, now)
	if b.peers != nil {
		b.peers.Fleet(b.id).DispatchEnded(sent.server.ID, o, try.ended, now-sent.at, now)
	}
	b.forgetIfDone(try)
	b.runDecisions()
}
