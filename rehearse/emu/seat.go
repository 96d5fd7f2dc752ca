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
type Ask struct {
	At      int64 // from the run's start
	RuleSet string
	Tenant  string
	Key     string
	Work    int64
}

// Clients is how they behave.
type Clients struct {
	Timeout int64 // how long one waits, counted from its ask
	Retries int   // times that one asks again after a deny
	Wait    int64 // before it does, unless it was told when to come back
	Ignores bool  // and heeds that
}

// Kind of a final answer.
type Kind int

// The kinds; Unanswered is none in time.
const (
	Done Kind = iota
	Denied
	Aborted
	Unanswered
)

// Result is what became of one ask, its retries included.
type Result struct {
	Ask
	Kind  Kind
	Took  int64
	Tries int
	Seat  int // the balancer that was asked
}

// Seats are the balancers of one run in virtual time.
type Seats struct {
	fleet      *Fleet
	clock      *Virtual
	terms      balance.Config
	clients    Clients
	result     func(Result)
	log        hash.Hash // of every decision
	dice       rng.Source
	seats      []*seat
	reqs       uint64
	Decided    int
	Sends      int            // dispatches,
	Dispatched int            // and tries of which there was one
	peers      *Peers         // nil: balancers do not hear one another
	sets       map[string]int // places of rule sets and tenants
	tenants    map[string]int
	make       func(t balance.Config, now int64) Policy
	start      []balance.Server // the list that every process is handed at its start
	keeps      Keeps
}

type seat struct {
	*Seats
	id     int
	zone   string
	policy Policy
	reqs   map[uint64]*asked // emptied when a req has ended and nothing of it is out
	wake   uint64            // the wake that counts
	listed bool              // a watch is up
	life   int               // counts starts: what was due for an earlier process is not done
	gone   bool
	terms  balance.Config
	list   []balance.Server         // as it was last told whole; for what is kept
	kept   *warmstart.Snapshot      // nil: nothing was written down
	own    []balance.ServerSnapshot // what was believed of that at the latest start,
	begun  int64                    // and when that was
}

// asked is one try of a client at a balancer.
type asked struct {
	Ask
	id    uint64
	name  string
	first int64 // of its first try
	taken int64
	tries int
	ended bool
	luck  float64
	shed  bool
	sends []*send
	outs  int
}

type send struct {
	job *Job
	srv *Server
	at  int64
	out bool
}

// SeedOf is a balancer's own seed in a run, in virtual time and on sockets alike.
func SeedOf(seed uint64, balancer int) uint64 { return seed*1000003 + uint64(balancer) + 1 }

// NewSeats puts a policy in each balancer's place; terms are those of the deployment.
func NewSeats(f *Fleet, c *Virtual, zones []string, t balance.Config, cl Clients, seed uint64,
	policy func(t balance.Config, now int64) Policy, result func(Result)) *Seats {
	s := &Seats{fleet: f, clock: c, terms: t, clients: cl, result: result, log: sha256.New(), make: policy}
	s.dice.Seed = seed
	s.start, _ = f.List()
	f.Others = s.strike
	for i, zone := range zones {
		t.Seed, t.Zone, t.FleetSize = SeedOf(seed, i), zone, len(zones)
		st := &seat{Seats: s, id: i, zone: zone, terms: t}
		s.seats = append(s.seats, st)
		st.begin()
	}
	return s
}

// Meet has the balancers hear one another from now on, by terms of which each gets its own. Only what a policy takes as advice reaches it.
func (s *Seats) Meet(seed uint64, terms func(me, of int) fleet.Config) *Peers {
	var all []fleet.Config
	for i := range s.seats {
		t := terms(i, len(s.seats))
		t.Seed, t.RuleSets, t.Tenants, t.MaxRetryAfter = seed, s.terms.RuleSets, s.terms.Tenants, s.terms.MaxRetryAfter
		all = append(all, t)
	}
	s.sets, s.tenants = map[string]int{}, map[string]int{}
	for i, r := range s.terms.RuleSets {
		s.sets[r.Name] = i
	}
	for i, x := range s.terms.Tenants {
		s.tenants[x.Name] = i
	}
	s.peers = NewPeers(s.clock, all, seed, false, s.act)
	for i := range s.seats {
		s.peers.Fleet(i).SetServers(s.ids(), s.clock.Now())
	}
	return s.peers
}

// act does what a member wants other than sending.
func (s *Seats) act(i int, a fleet.Action) {
	st := s.seats[i]
	switch a.Kind {
	case fleet.Advise:
		if p, ok := st.policy.(interface{ ApplyAdvice(balance.Advice) }); ok {
			p.ApplyAdvice(a.Advice)
		}
	case fleet.AnswerQuery:
		if p, ok := st.policy.(remembers); ok {
			s.peers.Fleet(i).SendBeliefs(a.To, p.Snapshot(s.clock.Now()).Servers, s.clock.Now())
		}
	case fleet.ApplyPeerReports:
		st.learn(a.Reports)
	case fleet.Probe:
		srv := s.fleet.Server(a.Server)
		wait, arrives := s.fleet.Way(st.zone, srv)
		s.clock.At(s.clock.Now()+2*wait, func() { s.peers.Fleet(i).ProbeEnded(a.Server, arrives && srv.Well(), s.clock.Now()) })
	}
}

// Hash is of all decisions so far: two runs are the same when theirs are.
func (s *Seats) Hash() string { return hex.EncodeToString(s.log.Sum(nil))[:16] }

// Arrive has a client ask a balancer, now.
func (s *Seats) Arrive(at int, a Ask) { s.seats[at%len(s.seats)].try(a, s.clock.Now(), 0) }

func (st *seat) try(a Ask, first int64, tries int) {
	now := st.clock.Now()
	if st.gone { // nobody listens: who has asked before waits in vain, all others have gone with the process beside them
		if tries > 0 {
			st.result(Result{a, Unanswered, now - first, tries, st.id})
		}
		return
	}
	st.Seats.reqs++
	r := &asked{Ask: a, id: st.Seats.reqs, name: fmt.Sprint(st.Seats.reqs), first: first, taken: now, tries: tries + 1}
	st.reqs[r.id] = r
	st.fleet.Judge.Taken(r.name, now+st.clients.Timeout)
	arrival := balance.Arrival{ID: r.id, RuleSet: a.RuleSet, Tenant: a.Tenant, Key: a.Key, Budget: st.clients.Timeout, Work: a.Work}
	if st.peers != nil {
		r.luck = rng.Hash(fmt.Sprint(a.At, a.Key), a.RuleSet) // an ask and its retries have it in common
		arrival.Shed, arrival.RetryAfter = st.peers.Fleet(st.id).Admit(st.sets[a.RuleSet], st.tenants[a.Tenant], r.luck, false, now)
		r.shed = arrival.Shed
	}
	st.policy.AddRequest(arrival, now)
	st.clock.At(now+st.clients.Timeout, func() {
		if !r.ended { // the judge has it open still: a lost req
			r.ended = true
			st.policy.Withdrawn(r.id)
			st.result(Result{r.Ask, Unanswered, st.clock.Now() - r.first, r.tries, st.id})
			st.tidy(r)
			st.decide()
		}
	})
	st.decide()
}

func (st *seat) tidy(r *asked) {
	if r.ended && r.outs == 0 {
		delete(st.reqs, r.id)
		st.fleet.Judge.Forget(r.name)
	}
}

// final answers a client.
func (st *seat) final(r *asked, id uint64, kind Kind, back int64) {
	if r == nil || r.ended {
		st.fleet.Judge.Final(fmt.Sprint(id)) // a second answer, or one to nobody
		return
	}
	r.ended = true
	st.fleet.Judge.Final(r.name)
	now := st.clock.Now()
	if st.peers != nil && !r.shed {
		if x := st.terms.RuleSet(r.RuleSet); kind == Done && (x == nil || now-r.taken <= x.ResponseTarget) {
			st.peers.Fleet(st.id).ServedInTime(now)
		} else {
			st.peers.Fleet(st.id).Missed(r.luck, now)
		}
	}
	if kind == Denied && r.tries <= st.clients.Retries && now-r.first < st.clients.Timeout {
		wait := st.clients.Wait
		if back > 0 && !st.clients.Ignores {
			wait = back
		}
		st.clock.At(now+max(1, wait), func() { st.try(r.Ask, r.first, r.tries) })
	} else {
		st.result(Result{r.Ask, kind, now - r.first, r.tries, st.id})
	}
	st.tidy(r)
}

// decide carries out what the policy decides.
func (st *seat) decide() {
	now := st.clock.Now()
	for d, ok := st.policy.Next(now); ok; d, ok = st.policy.Next(now) {
		if d.Kind != balance.Log {
			st.Decided++
			fmt.Fprintf(st.log, "%d %d %d %d %s %d %d\n", now, st.id, d.Kind, d.Request, d.Server, d.Attempt, d.Time)
		}
		r := st.reqs[d.Request]
		switch d.Kind {
		case balance.Dispatch:
			st.dispatch(r, d.Server, d.Time)
		case balance.Deny:
			st.final(r, d.Request, Denied, d.Time)
		case balance.Abort:
			st.final(r, d.Request, Aborted, 0)
		case balance.Cancel:
			if r != nil && d.Attempt < len(r.sends) {
				st.giveUp(r, d.Attempt, balance.Cancelled)
			}
		case balance.RequestList:
			st.watch()
		case balance.Wake:
			st.wake++
			mine := st.wake
			st.clock.At(now+d.Time, func() {
				if st.wake == mine && !st.gone {
					st.decide()
				}
			})
		}
	}
}

// watch asks discovery for the list and what changes from then on.
func (st *seat) watch() {
	life := st.life
	st.clock.At(st.clock.Now()+2*st.fleet.Wire.OneWay, func() {
		if st.life != life || st.gone {
			return
		}
		if st.fleet.Down() {
			st.policy.UpdateList(balance.ListUnavailable, nil, st.clock.Now())
			st.decide()
			return
		}
		entries, _ := st.fleet.List()
		st.told(balance.ListReplace, entries)
		if !st.listed {
			st.listed = true
			st.fleet.Watch(func(e Entry) {
				if st.life == life && !st.gone {
					st.told(balance.ListUpdate, []balance.Server{e.Server})
				}
			}, func() {
				if st.life != life || st.gone {
					return
				}
				st.listed = false
				st.policy.UpdateList(balance.ListUnavailable, nil, st.clock.Now())
				st.decide()
			})
		}
	})
}

func (st *seat) told(form balance.ListForm, entries []balance.Server) {
	for _, e := range entries {
		st.fleet.Judge.Told(st.id, e.ID, e.State)
	}
	st.note(form, entries)
	st.policy.UpdateList(form, entries, st.clock.Now())
	st.decide()
}

// dispatch sends a req to a server.
func (st *seat) dispatch(r *asked, id string, until int64) {
	now := st.clock.Now()
	n := len(r.sends)
	srv := st.fleet.Server(id)
	s := &send{srv: srv, at: now, out: true}
	r.sends = append(r.sends, s)
	r.outs++
	var rules balance.RuleSet
	if x := st.terms.RuleSet(r.RuleSet); x != nil {
		rules = *x
	}
	st.fleet.Judge.Sent(st.id, id, r.name)
	if st.Sends++; n == 0 {
		st.Dispatched++
	}
	if st.peers != nil {
		st.peers.Fleet(st.id).Dispatched(id, n > 0, now)
	}
	s.job = &Job{Req: r.name, From: st.id, Sent: now, Work: r.Work, Key: r.Key, Rules: rules, Done: func(o balance.Outcome) {
		wait, arrives := st.fleet.Way(st.zone, srv)
		if arrives {
			st.clock.At(st.clock.Now()+wait, func() { st.finished(r, n, o) })
		}
	}}
	wait, arrives := st.fleet.Way(st.zone, srv)
	if arrives {
		st.clock.At(now+wait, func() {
			if s.out {
				srv.Offer(s.job)
			}
		})
	}
	if until < math.MaxInt64 {
		st.clock.At(until, func() { st.giveUp(r, n, balance.TimedOut) })
	}
}

// giveUp stops waiting for an attempt and tells the server, if word gets there.
func (st *seat) giveUp(r *asked, n int, o balance.Outcome) {
	s := r.sends[n]
	if !s.out {
		return
	}
	if wait, arrives := st.fleet.Way(st.zone, s.srv); arrives {
		st.clock.At(st.clock.Now()+wait, func() { s.srv.Cancel(s.job) })
	}
	st.finished(r, n, o)
}

func (st *seat) finished(r *asked, n int, o balance.Outcome) {
	s := r.sends[n]
	if !s.out {
		return
	}
	s.out = false
	r.outs--
	now := st.clock.Now()
	if o == balance.Served && !r.ended {
		st.final(r, r.id, Done, 0)
	}
	st.policy.Finished(r.id, n, o, r.ended, now-s.at, now)
	if st.peers != nil {
		st.peers.Fleet(st.id).DispatchEnded(s.srv.ID, o, r.ended, now-s.at, now)
	}
	st.tidy(r)
	st.decide()
}
