// Package limit keeps tenants' limits at one router: it draws from their owners and says whether a request may run. What
// it was granted is used within the time that the owner told, from the question on, or not at all. While no owner answers
// it uses what it has earned with earlier grants, a small part of each. So it needs to know nothing of other routers.
package limit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"ivybank/config"
	"ivybank/control/hostlist"
	"ivybank/control/quota"
	"ivybank/wire"
)

const (
	// ownerPatience is how long a request waits for the owner of its tenant's limit, and relayPatience how long for an answer
	// by way of another machine, once the owner didn't answer.
	ownerPatience = 100 * time.Millisecond
	relayPatience = 60 * time.Millisecond
	relayedFor    = 1500 * time.Millisecond // questions take that way; by then the agent knows whether its link is up
	absencePause  = 300 * time.Millisecond  // after no answer that way either, before an owner is asked again
	shortestRetry = 100 * time.Millisecond
	absenceRetry  = 600 * time.Millisecond // by then there should be an owner again; later where it has been away for longer
	longestRetry  = 2 * time.Second

	aheadGrain = 20 * time.Millisecond // by which amounts drawn ahead are told apart
	spareGrain = time.Second           // and those earned for the time without an owner
	idleForget = 60 * time.Second
	leastSweep = 1024 // accounts, from which on idle ones are forgotten
)

// subject is what a limit is for: a tenant's requests, or the repeats of requests to a service. One name is set.
type subject struct {
	tenant  string
	service string
}

func (s subject) String() string { return s.tenant + s.service }

// shardState is what this router knows of one shard's owner.
type shardState struct {
	relayTill  time.Duration // questions go by way of another machine until then
	absentTill time.Duration // none are asked until then
	absentFrom time.Duration // first question without an answer either way since the last answer; 0 for none
}

// Limiter keeps tenants' limits at this router. It is safe for concurrent use.
type Limiter struct {
	router                        string
	life                          uint64 // of this process; answers to an earlier one are dropped
	start                         time.Time
	send                          atomic.Pointer[func(*wire.Message) bool]
	mu                            sync.Mutex
	refusedByOwner, refusedAbsent int64 // requests, since the start
	dropped                       int64 // answers to an earlier life, and those that nobody waits for any more
	accounts                      map[subject]*account
	sweepAt                       int // number of accounts
	waiting                       map[uint64]chan *wire.QuotaGrant
	number                        uint64
	shards                        [hostlist.ShardCount]shardState
	figures                       map[subject]*figures // since they were taken last
}

// New makes the limiter of a router that has just started. It has nothing.
func New(router string) *Limiter {
	return &Limiter{router: router, life: wire.NewIncarnation(), start: time.Now(), accounts: map[subject]*account{}, sweepAt: leastSweep,
		waiting: map[uint64]chan *wire.QuotaGrant{}, figures: map[subject]*figures{}}
}

// Connect tells how owners are reached.
func (l *Limiter) Connect(send func(*wire.Message) bool) { l.send.Store(&send) }

func (l *Limiter) now() time.Duration { return time.Since(l.start) }

// Take charges a request for one run. Where the limit has nothing left it gives nil and when to come back. Without a
// limit both are zero.
func (l *Limiter) Take(ctx context.Context, t *config.Tenant, cost float64) (*Charge, time.Duration) {
	if t.RatePerS <= 0 {
		return nil, 0
	}
	return l.take(ctx, demand{subject{tenant: t.Name}, terms{t.Unit, t.RatePerS, t.Burst}, cost})
}

// TakeRepeat says whether a request to a service may be sent once more, from what the fleet may repeat whatever its
// requests are.
func (l *Limiter) TakeRepeat(ctx context.Context, service string) bool {
	charge, _ := l.take(ctx, demand{subject: subject{service: service}, cost: 1})
	return charge != nil
}

// demand is what a request asks of a limit.
type demand struct {
	subject subject
	terms   terms
	cost    float64
}

// terms are those of a limit by the configuration in force at this router. What was granted under others is void: a lower
// limit must not be exceeded by what was earned under the higher one.
type terms struct {
	unit        string
	rate, burst float64
}

func (l *Limiter) take(ctx context.Context, d demand) (*Charge, time.Duration) {
	for {
		question, charge, wait := l.begin(d)
		if question == nil {
			return charge, wait
		}
		grant := l.ask(ctx, question)
		charge, wait, again := l.finish(d, question, grant)
		if charge != nil && !charge.waitForStart(ctx) {
			return nil, 0 // its client has gone
		}
		if !again || ctx.Err() != nil {
			return charge, wait
		}
	}
}

// question is one that is on its way to an owner.
type question struct {
	shard   uint32
	asked   time.Duration
	relayed bool
	held    float64       // drawn ahead, which is less than the request costs
	until   time.Duration // by when that has to be used
	message *wire.QuotaRequest
	answer  chan *wire.QuotaGrant
}

// begin decides on a request by what is known here, or makes a question for the owner.
func (l *Limiter) begin(d demand) (*question, *Charge, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	a, f := l.account(d), l.figuresOf(d.subject)
	a.advance(now, d.cost)
	if until, ok := a.ahead.Take(d.cost); ok {
		f.AheadUse += d.cost
		return nil, l.charge(d, until), 0
	}
	if now < a.emptyTill {
		f.RefusedOwner++
		l.refusedByOwner++
		return nil, nil, min(max(a.emptyTill-now, shortestRetry), longestRetry)
	}
	shard := hostlist.ShardOf(d.subject.String())
	if now < l.shards[shard].absentTill {
		charge, wait := l.withoutOwner(d, a, now)
		return nil, charge, wait
	}
	l.number++
	f.Asked++
	q := &question{shard: shard, asked: now, relayed: now < l.shards[shard].relayTill, answer: make(chan *wire.QuotaGrant, 1)}
	q.held, q.until = a.ahead.TakeAll()
	q.message = &wire.QuotaRequest{Router: l.router, Life: l.life, Shard: shard, Number: l.number, Tenant: d.subject.tenant,
		Service: d.subject.service, Need: d.cost - q.held, Want: a.want(d.cost) - q.held, Relay: q.relayed}
	l.waiting[l.number] = q.answer
	return q, nil, 0
}

// ask sends a question and waits for its answer; nil where none comes in time.
func (l *Limiter) ask(ctx context.Context, q *question) *wire.QuotaGrant {
	if send := l.send.Load(); send != nil {
		(*send)(&wire.Message{QuotaRequest: q.message})
	}
	limit := ownerPatience
	if q.relayed {
		limit = relayPatience
	}
	patience := time.NewTimer(limit)
	defer patience.Stop()
	select {
	case grant := <-q.answer:
		return grant
	case <-patience.C:
	case <-ctx.Done():
	}
	return nil
}

// finish decides on a request by the owner's answer, or by its silence. again says that the question goes another way.
func (l *Limiter) finish(d demand, q *question, grant *wire.QuotaGrant) (c *Charge, wait time.Duration, again bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, q.message.Number)
	now := l.now()
	a, f := l.account(d), l.figuresOf(d.subject)
	if grant == nil {
		f.Unanswered++
		a.ahead.Add(q.held, q.until, aheadGrain)
		return l.unanswered(d, a, q, now)
	}
	l.shards[q.shard].absentFrom = 0
	if grant.Granted < q.message.Need {
		f.RefusedOwner++
		l.refusedByOwner++
		a.ahead.Add(q.held, q.until, aheadGrain)
		wait = time.Duration(grant.RetryAfterMS) * time.Millisecond
		a.emptyTill = now + wait
		return nil, min(max(wait, shortestRetry), longestRetry), false
	}
	delay := time.Duration(grant.DelayMS) * time.Millisecond
	until := q.asked + delay + time.Duration(grant.ValidMS)*time.Millisecond
	a.ahead.Add(grant.Granted-q.message.Need, until, aheadGrain)
	a.spare.Add(grant.Spare, q.asked+quota.SpareLifetime, spareGrain)
	f.OwnerUse += q.message.Need
	f.AheadUse += q.held
	if q.held > 0 {
		until = min(until, q.until)
	}
	c = l.charge(d, until)
	c.from = now + delay
	return c, 0, false
}

// unanswered decides on a request whose owner is silent. The first silence has others of this machine's fleet asked.
func (l *Limiter) unanswered(d demand, a *account, q *question, now time.Duration) (*Charge, time.Duration, bool) {
	s := &l.shards[q.shard]
	if !q.relayed {
		s.relayTill = max(s.relayTill, q.asked+relayedFor)
		return nil, absenceRetry, now < s.relayTill
	}
	s.absentTill = max(s.absentTill, q.asked+absencePause)
	if s.absentFrom == 0 {
		s.absentFrom = q.asked
	}
	charge, wait := l.withoutOwner(d, a, now)
	return charge, wait, false
}

// withoutOwner charges what was earned with earlier grants. The caller holds l.mu.
func (l *Limiter) withoutOwner(d demand, a *account, now time.Duration) (*Charge, time.Duration) {
	f := l.figuresOf(d.subject)
	a.spare.Expire(now)
	until, ok := a.spare.Take(d.cost)
	if !ok {
		f.RefusedAbsent++
		l.refusedAbsent++
		return nil, l.absenceRetry(d, now)
	}
	f.LocalUse += d.cost
	return l.charge(d, until), 0
}

// absenceRetry is when to come back while no owner answers: what has lasted for long may last for as long again.
func (l *Limiter) absenceRetry(d demand, now time.Duration) time.Duration {
	away := now - l.shards[hostlist.ShardOf(d.subject.String())].absentFrom
	return min(max(away, absenceRetry), longestRetry)
}

func (l *Limiter) charge(d demand, until time.Duration) *Charge {
	return &Charge{limiter: l, demand: d, until: until}
}

// Granted takes an owner's answer.
func (l *Limiter) Granted(g *wire.QuotaGrant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	answer := l.waiting[g.Number]
	if answer == nil || g.Router != l.router || g.Life != l.life {
		l.dropped++
		return
	}
	delete(l.waiting, g.Number)
	answer <- g
}

// Refused says how many requests were refused since the start, by owners' answers and for want of an owner.
func (l *Limiter) Refused() (byOwner, absent int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refusedByOwner, l.refusedAbsent
}

// giveBack returns what a request took that has not run, as old as it is.
func (l *Limiter) giveBack(c *Charge) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(c.demand)
	a.ahead.Add(c.demand.cost, c.until, aheadGrain)
	l.figuresOf(c.demand.subject).GivenBack += c.demand.cost
}

// account gives the account of a subject, empty where its terms have changed. The caller holds l.mu.
func (l *Limiter) account(d demand) *account {
	a := l.accounts[d.subject]
	if a == nil || a.terms != d.terms {
		l.forgetIdle()
		a = &account{terms: d.terms, at: l.now()}
		l.accounts[d.subject] = a
	}
	return a
}

// forgetIdle drops accounts that have not been used for long, where there are many.
func (l *Limiter) forgetIdle() {
	if len(l.accounts) < l.sweepAt {
		return
	}
	now := l.now()
	for name, a := range l.accounts {
		if now > a.at+idleForget {
			delete(l.accounts, name)
		}
	}
	l.sweepAt = max(leastSweep, 2*len(l.accounts))
}
