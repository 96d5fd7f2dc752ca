package emu

// This file owns virtual mode: balancers in virtual time, with the network between them and the servers, and the clients
// that ask them. It carries decisions out and must never make one.

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

// Policy is what decides: the module, or what it is compared with.
type Policy interface {
	AddRequest(a balance.Arrival, now int64)
	Finished(id uint64, attempt int, o balance.Outcome, final bool, took, now int64)
	Withdrawn(id uint64)
	UpdateList(form balance.ListForm, entries []balance.Server, now int64)
	Next(now int64) (balance.Decision, bool)
}

// Ask is one req as a client makes it.
type Request struct {
	At      int64 // from the run's start
	RuleSet string
	Tenant  string
	Key     string
	Work    int64
}

// Clients is how they behave.
type ClientConfig struct {
	Timeout          int64 // how long one waits, counted from its ask
	MaxRetries       int   // times that one asks again after a deny
	RetryDelay       int64 // before it does, unless it was told when to come back
	IgnoreRetryAfter bool  // and heeds that
}

// Kind of a final answer.
type ResultKind int

// The kinds; Unanswered is none in time.
const (
	Done ResultKind = iota
	Denied
	Aborted
	Unanswered
)

// Result is what became of one ask, its retries included.
type Result struct {
	Request
	Kind     ResultKind
	Latency  int64
	Attempts int
	Balancer int // the balancer that was asked
}

// Seats are the balancers of one run in virtual time.
type Balancers struct {
	fleet           *Fleet
	clock           *VirtualClock
	config          balance.Config
	clients         ClientConfig
	onResult        func(Result)
	decisionHash    hash.Hash // of every decision
	random          rng.Source
	balancers       []*balancer
	requestCount    uint64
	Decisions       int
	Dispatches      int            // dispatches,
	DispatchedTries int            // and tries of which there was one
	peers           *Peers         // nil: balancers do not hear one another
	ruleSetIndex    map[string]int // places of rule sets and tenants
	tenantIndex     map[string]int
	newPolicy       func(t balance.Config, now int64) Policy
	startList       []balance.Server // the list that every process is handed at its start
	snapshotConfig  SnapshotConfig
}

type balancer struct {
	*Balancers
	id        int
	zone      string
	policy    Policy
	requests  map[uint64]*clientTry // emptied when a req has ended and nothing of it is out
	wakeSeq   uint64                // the wake that counts
	watching  bool                  // a watch is up
	starts    int                   // counts starts: what was due for an earlier process is not done
	dead      bool
	config    balance.Config
	list      []balance.Server         // as it was last told whole; for what is kept
	snapshot  *warmstart.Snapshot      // nil: nothing was written down
	restored  []balance.ServerSnapshot // what was believed of that at the latest start,
	startedAt int64                    // and when that was
}

// asked is one try of a client at a balancer.
type clientTry struct {
	Request
	id            uint64
	name          string
	firstAt       int64 // of its first try
	acceptedAt    int64
	tries         int
	ended         bool
	admissionDraw float64
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

// SeedOf is a balancer's own seed in a run, in virtual time and on sockets alike.
func BalancerSeed(seed uint64, balancer int) uint64 { return seed*1000003 + uint64(balancer) + 1 }

// NewSeats puts a policy in each balancer's place; terms are those of the deployment.
func NewBalancers(f *Fleet, c *VirtualClock, zones []string, t balance.Config, cl ClientConfig, seed uint64,
	policy func(t balance.Config, now int64) Policy, result func(Result)) *Balancers {
	s := &Balancers{fleet: f, clock: c, config: t, clients: cl, onResult: result, decisionHash: sha256.New(), newPolicy: policy}
	s.random.Seed = seed
	s.startList, _ = f.List()
	f.InjectProxyFault = s.injectProxyFault
	for i, zone := range zones {
		t.Seed, t.Zone, t.FleetSize = BalancerSeed(seed, i), zone, len(zones)
		st := &balancer{Balancers: s, id: i, zone: zone, config: t}
		s.balancers = append(s.balancers, st)
		st.startProcess()
	}
	return s
}

// Meet has the balancers hear one another from now on, by terms of which each gets its own. Only what a policy takes as advice reaches it.
func (s *Balancers) ConnectPeers(seed uint64, terms func(me, of int) fleet.Config) *Peers {
	var all []fleet.Config
	for i := range s.balancers {
		t := terms(i, len(s.balancers))
		t.Seed, t.RuleSets, t.Tenants, t.MaxRetryAfter = seed, s.config.RuleSets, s.config.Tenants, s.config.MaxRetryAfter
		all = append(all, t)
	}
	s.ruleSetIndex, s.tenantIndex = map[string]int{}, map[string]int{}
	for i, r := range s.config.RuleSets {
		s.ruleSetIndex[r.Name] = i
	}
	for i, x := range s.config.Tenants {
		s.tenantIndex[x.Name] = i
	}
	s.peers = NewPeers(s.clock, all, seed, false, s.handleAction)
	for i := range s.balancers {
		s.peers.Fleet(i).SetServers(s.serverIDs(), s.clock.Now())
	}
	return s.peers
}

// act does what a member wants other than sending.
func (s *Balancers) handleAction(i int, a fleet.Action) {
	st := s.balancers[i]
	switch a.Kind {
	case fleet.Advise:
		if p, ok := st.policy.(interface{ ApplyAdvice(balance.Advice) }); ok {
			p.ApplyAdvice(a.Advice)
		}
	case fleet.AnswerQuery:
		if p, ok := st.policy.(snapshotter); ok {
			s.peers.Fleet(i).SendBeliefs(a.To, p.Snapshot(s.clock.Now()).Servers, s.clock.Now())
		}
	case fleet.ApplyPeerReports:
		st.applyReports(a.Reports)
	case fleet.Probe:
		srv := s.fleet.Server(a.Server)
		wait, arrives := s.fleet.Delivery(st.zone, srv)
		s.clock.At(s.clock.Now()+2*wait, func() { s.peers.Fleet(i).ProbeEnded(a.Server, arrives && srv.Healthy(), s.clock.Now()) })
	}
}

// Hash is of all decisions so far: two runs are the same when theirs are.
func (s *Balancers) Hash() string { return hex.EncodeToString(s.decisionHash.Sum(nil))[:16] }

// Arrive has a client ask a balancer, now.
func (s *Balancers) Arrive(at int, a Request) {
	s.balancers[at%len(s.balancers)].submit(a, s.clock.Now(), 0)
}

func (st *balancer) submit(a Request, first int64, tries int) {
	now := st.clock.Now()
	if st.dead { // nobody listens: who has asked before waits in vain, all others have gone with the process beside them
		if tries > 0 {
			st.onResult(Result{a, Unanswered, now - first, tries, st.id})
		}
		return
	}
	st.Balancers.requestCount++
	r := &clientTry{Request: a, id: st.Balancers.requestCount, name: fmt.Sprint(st.Balancers.requestCount), firstAt: first, acceptedAt: now, tries: tries + 1}
	st.requests[r.id] = r
	st.fleet.Checker.RequestAccepted(r.name, now+st.clients.Timeout)
	arrival := balance.Arrival{ID: r.id, RuleSet: a.RuleSet, Tenant: a.Tenant, Key: a.Key, Budget: st.clients.Timeout, Work: a.Work}
	if st.peers != nil {
		r.admissionDraw = rng.Hash(fmt.Sprint(a.At, a.Key), a.RuleSet) // an ask and its retries have it in common
		arrival.Shed, arrival.RetryAfter = st.peers.Fleet(st.id).Admit(st.ruleSetIndex[a.RuleSet], st.tenantIndex[a.Tenant], r.admissionDraw, false, now)
		r.shed = arrival.Shed
	}
	st.policy.AddRequest(arrival, now)
	st.clock.At(now+st.clients.Timeout, func() {
		if !r.ended { // the judge has it open still: a lost req
			r.ended = true
			st.policy.Withdrawn(r.id)
			st.onResult(Result{r.Request, Unanswered, st.clock.Now() - r.firstAt, r.tries, st.id})
			st.forgetIfDone(r)
			st.runDecisions()
		}
	})
	st.runDecisions()
}

func (st *balancer) forgetIfDone(r *clientTry) {
	if r.ended && r.outstanding == 0 {
		delete(st.requests, r.id)
		st.fleet.Checker.Forget(r.name)
	}
}

// final answers a client.
func (st *balancer) answer(r *clientTry, id uint64, kind ResultKind, back int64) {
	if r == nil || r.ended {
		st.fleet.Checker.Answered(fmt.Sprint(id)) // a second answer, or one to nobody
		return
	}
	r.ended = true
	st.fleet.Checker.Answered(r.name)
	now := st.clock.Now()
	if st.peers != nil && !r.shed {
		if x := st.config.RuleSet(r.RuleSet); kind == Done && (x == nil || now-r.acceptedAt <= x.ResponseTarget) {
			st.peers.Fleet(st.id).ServedInTime(now)
		} else {
			st.peers.Fleet(st.id).Missed(r.admissionDraw, now)
		}
	}
	if kind == Denied && r.tries <= st.clients.MaxRetries && now-r.firstAt < st.clients.Timeout {
		wait := st.clients.RetryDelay
		if back > 0 && !st.clients.IgnoreRetryAfter {
			wait = back
		}
		st.clock.At(now+max(1, wait), func() { st.submit(r.Request, r.firstAt, r.tries) })
	} else {
		st.onResult(Result{r.Request, kind, now - r.firstAt, r.tries, st.id})
	}
	st.forgetIfDone(r)
}

// decide carries out what the policy decides.
func (st *balancer) runDecisions() {
	now := st.clock.Now()
	for d, ok := st.policy.Next(now); ok; d, ok = st.policy.Next(now) {
		if d.Kind != balance.Log {
			st.Decisions++
			fmt.Fprintf(st.decisionHash, "%d %d %d %d %s %d %d\n", now, st.id, d.Kind, d.Request, d.Server, d.Attempt, d.Time)
		}
		r := st.requests[d.Request]
		switch d.Kind {
		case balance.Dispatch:
			st.dispatch(r, d.Server, d.Time)
		case balance.Deny:
			st.answer(r, d.Request, Denied, d.Time)
		case balance.Abort:
			st.answer(r, d.Request, Aborted, 0)
		case balance.Cancel:
			if r != nil && d.Attempt < len(r.attempts) {
				st.abandon(r, d.Attempt, balance.Cancelled)
			}
		case balance.RequestList:
			st.requestList()
		case balance.Wake:
			st.wakeSeq++
			mine := st.wakeSeq
			st.clock.At(now+d.Time, func() {
				if st.wakeSeq == mine && !st.dead {
					st.runDecisions()
				}
			})
		}
	}
}

// watch asks discovery for the list and what changes from then on.
func (st *balancer) requestList() {
	life := st.starts
	st.clock.At(st.clock.Now()+2*st.fleet.Network.SameZoneDelay, func() {
		if st.starts != life || st.dead {
			return
		}
		if st.fleet.DiscoveryDown() {
			st.policy.UpdateList(balance.ListUnavailable, nil, st.clock.Now())
			st.runDecisions()
			return
		}
		entries, _ := st.fleet.List()
		st.applyList(balance.ListReplace, entries)
		if !st.watching {
			st.watching = true
			st.fleet.Watch(func(e ListChange) {
				if st.starts == life && !st.dead {
					st.applyList(balance.ListUpdate, []balance.Server{e.Server})
				}
			}, func() {
				if st.starts != life || st.dead {
					return
				}
				st.watching = false
				st.policy.UpdateList(balance.ListUnavailable, nil, st.clock.Now())
				st.runDecisions()
			})
		}
	})
}

func (st *balancer) applyList(form balance.ListForm, entries []balance.Server) {
	for _, e := range entries {
		st.fleet.Checker.StateAnnounced(st.id, e.ID, e.State)
	}
	st.recordList(form, entries)
	st.policy.UpdateList(form, entries, st.clock.Now())
	st.runDecisions()
}

// dispatch sends a req to a server.
func (st *balancer) dispatch(r *clientTry, id string, until int64) {
	now := st.clock.Now()
	n := len(r.attempts)
	srv := st.fleet.Server(id)
	s := &attempt{server: srv, at: now, pending: true}
	r.attempts = append(r.attempts, s)
	r.outstanding++
	var rules balance.RuleSet
	if x := st.config.RuleSet(r.RuleSet); x != nil {
		rules = *x
	}
	st.fleet.Checker.AttemptSent(st.id, id, r.name)
	if st.Dispatches++; n == 0 {
		st.DispatchedTries++
	}
	if st.peers != nil {
		st.peers.Fleet(st.id).Dispatched(id, n > 0, now)
	}
	s.job = &Job{RequestID: r.name, Balancer: st.id, SentAt: now, Work: r.Work, Key: r.Key, RuleSet: rules, Done: func(o balance.Outcome) {
		wait, arrives := st.fleet.Delivery(st.zone, srv)
		if arrives {
			st.clock.At(st.clock.Now()+wait, func() { st.attemptEnded(r, n, o) })
		}
	}}
	wait, arrives := st.fleet.Delivery(st.zone, srv)
	if arrives {
		st.clock.At(now+wait, func() {
			if s.pending {
				srv.Offer(s.job)
			}
		})
	}
	if until < math.MaxInt64 {
		st.clock.At(until, func() { st.abandon(r, n, balance.TimedOut) })
	}
}

// giveUp stops waiting for an attempt and tells the server, if word gets there.
func (st *balancer) abandon(r *clientTry, n int, o balance.Outcome) {
	s := r.attempts[n]
	if !s.pending {
		return
	}
	if wait, arrives := st.fleet.Delivery(st.zone, s.server); arrives {
		st.clock.At(st.clock.Now()+wait, func() { s.server.Cancel(s.job) })
	}
	st.attemptEnded(r, n, o)
}

func (st *balancer) attemptEnded(r *clientTry, n int, o balance.Outcome) {
	s := r.attempts[n]
	if !s.pending {
		return
	}
	s.pending = false
	r.outstanding--
	now := st.clock.Now()
	if o == balance.Served && !r.ended {
		st.answer(r, r.id, Done, 0)
	}
	st.policy.Finished(r.id, n, o, r.ended, now-s.at, now)
	if st.peers != nil {
		st.peers.Fleet(st.id).DispatchEnded(s.server.ID, o, r.ended, now-s.at, now)
	}
	st.forgetIfDone(r)
	st.runDecisions()
}
