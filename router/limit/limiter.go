// Package limit enforces tenants' limits at one router. The router requests quota from the owner of each limit and decides
// whether a request may run. Granted quota has to be used within the validity that the owner states, counted from the
// request for it, and is lost otherwise. While no owner answers, the router uses spare quota, a small amount that came with
// earlier grants. It therefore needs to know nothing of other routers.
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
	// ownerTimeout is how long a client request waits for the owner of its tenant's limit.
	ownerTimeout = 100 * time.Millisecond
	// relayTimeout is how long it then waits for a reply relayed by another machine.
	relayTimeout = 60 * time.Millisecond
	// relayDuration is how long owners are asked through relays; by then the agent knows whether its own link is up.
	relayDuration = 1500 * time.Millisecond
	// noOwnerPause is the time before an owner is asked again once a relayed request has had no reply either.
	noOwnerPause  = 300 * time.Millisecond
	minRetryAfter = 100 * time.Millisecond
	// noOwnerRetryAfter is the time in which a new owner is expected; clients are told to wait for longer if there has been
	// none for longer.
	noOwnerRetryAfter = 600 * time.Millisecond
	maxRetryAfter     = 2 * time.Second

	prefetchedResolution = 20 * time.Millisecond // of the expiry times of prefetched quota
	spareResolution      = time.Second           // of the expiry times of spare quota
	accountIdleTime      = 60 * time.Second
	minSweepAccounts     = 1024 // number of accounts from which on idle ones are removed
)

// limitKey identifies a limit: that of a tenant's requests, or that of the retries of requests to a service. Exactly one
// name is set.
type limitKey struct {
	tenant  string
	service string
}

func (k limitKey) String() string { return k.tenant + k.service }

// shardState is what this router knows of the owner of one shard.
type shardState struct {
	relayUntil   time.Duration // the owner is asked through a relay until then
	noOwnerUntil time.Duration // the owner is not asked until then
	noOwnerSince time.Duration // first request without a reply on either way since the last reply; 0 for none
}

// Limiter enforces limits at this router. It is safe for concurrent use.
type Limiter struct {
	router                           string
	incarnation                      uint64 // of this process; replies to an earlier one are dropped
	startTime                        time.Time
	send                             atomic.Pointer[func(*wire.Message) bool]
	mu                               sync.Mutex
	rejectedByOwner, rejectedNoOwner int64 // requests, since the start
	droppedReplies                   int64 // replies to an earlier incarnation, and those that nobody waits for any more
	accounts                         map[limitKey]*account
	sweepAt                          int // number of accounts at which idle ones are removed next
	pending                          map[uint64]chan *wire.QuotaGrant
	lastNumber                       uint64
	shards                           [hostlist.ShardCount]shardState
	stats                            map[limitKey]*usageStats // since the last takeStats
}

// New returns the limiter of a router that has just started. It holds no quota.
func New(router string) *Limiter {
	return &Limiter{router: router, incarnation: wire.NewIncarnation(), startTime: time.Now(), accounts: map[limitKey]*account{},
		sweepAt: minSweepAccounts, pending: map[uint64]chan *wire.QuotaGrant{}, stats: map[limitKey]*usageStats{}}
}

// Connect sets the function that sends messages towards owners.
func (l *Limiter) Connect(send func(*wire.Message) bool) { l.send.Store(&send) }

func (l *Limiter) now() time.Duration { return time.Since(l.startTime) }

// Take charges a request for one run. If the limit is exhausted, it returns nil and the time after which the client may
// retry. Without a limit it returns nil and 0.
func (l *Limiter) Take(ctx context.Context, t *config.Tenant, cost float64) (*Charge, time.Duration) {
	if t.RatePerS <= 0 {
		return nil, 0
	}
	return l.take(ctx, quotaDemand{limitKey{tenant: t.Name}, limitTerms{t.Unit, t.RatePerS, t.Burst}, cost})
}

// TakeRetry reports whether a request to a service may be sent once more. It draws on the fleet's retry slack, which does
// not depend on the number of requests.
func (l *Limiter) TakeRetry(ctx context.Context, service string) bool {
	charge, _ := l.take(ctx, quotaDemand{key: limitKey{service: service}, cost: 1})
	return charge != nil
}

// quotaDemand is the quota that a client request needs from a limit.
type quotaDemand struct {
	key   limitKey
	terms limitTerms
	cost  float64
}

// limitTerms are the terms of a limit in the active configuration of this router. Quota that was granted under other terms
// is void: a lowered limit must not be exceeded with quota from the higher one.
type limitTerms struct {
	unit        string
	rate, burst float64
}

func (l *Limiter) take(ctx context.Context, d quotaDemand) (*Charge, time.Duration) {
	for {
		request, charge, retryAfter := l.begin(d)
		if request == nil {
			return charge, retryAfter
		}
		grant := l.request(ctx, request)
		charge, retryAfter, again := l.finish(d, request, grant)
		if charge != nil && !charge.waitUntilValid(ctx) {
			return nil, 0 // the client has gone
		}
		if !again || ctx.Err() != nil {
			return charge, retryAfter
		}
	}
}

// ownerRequest is a request for quota on its way to an owner.
type ownerRequest struct {
	shard         uint32
	sentAt        time.Duration
	relayed       bool
	reserved      float64       // prefetched quota set aside for the client request, less than its cost
	reservedUntil time.Duration // by when that has to be used
	message       *wire.QuotaRequest
	reply         chan *wire.QuotaGrant
}

// begin decides on a client request with the quota at hand, or else prepares a request to the owner.
func (l *Limiter) begin(d quotaDemand) (*ownerRequest, *Charge, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	a, s := l.account(d), l.statsFor(d.key)
	a.advance(now, d.cost)
	if until, ok := a.prefetched.Take(d.cost); ok {
		s.PrefetchedUse += d.cost
		return nil, l.newCharge(d, until), 0
	}
	if now < a.emptyUntil {
		s.RejectedByOwner++
		l.rejectedByOwner++
		return nil, nil, min(max(a.emptyUntil-now, minRetryAfter), maxRetryAfter)
	}
	shard := hostlist.ShardOf(d.key.String())
	if now < l.shards[shard].noOwnerUntil {
		charge, retryAfter := l.chargeSpare(d, a, now)
		return nil, charge, retryAfter
	}
	l.lastNumber++
	s.OwnerRequests++
	q := &ownerRequest{shard: shard, sentAt: now, relayed: now < l.shards[shard].relayUntil,
		reply: make(chan *wire.QuotaGrant, 1)}
	q.reserved, q.reservedUntil = a.prefetched.TakeAll()
	q.message = &wire.QuotaRequest{Router: l.router, Incarnation: l.incarnation, Shard: shard, Number: l.lastNumber,
		Tenant: d.key.tenant, Service: d.key.service, Need: d.cost - q.reserved,
		Want: a.requestAmount(d.cost) - q.reserved, Relay: q.relayed}
	l.pending[l.lastNumber] = q.reply
	return q, nil, 0
}

// request sends a request to the owner and waits for its reply; it returns nil if none comes in time.
func (l *Limiter) request(ctx context.Context, q *ownerRequest) *wire.QuotaGrant {
	if send := l.send.Load(); send != nil {
		(*send)(&wire.Message{QuotaRequest: q.message})
	}
	timeout := ownerTimeout
	if q.relayed {
		timeout = relayTimeout
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case grant := <-q.reply:
		return grant
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil
}

// finish decides on a client request by the owner's reply; a nil grant means that none came. again reports that the owner
// has to be asked once more, through a relay.
func (l *Limiter) finish(d quotaDemand, q *ownerRequest, grant *wire.QuotaGrant) (
	c *Charge, retryAfter time.Duration, again bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, q.message.Number)
	now := l.now()
	a, s := l.account(d), l.statsFor(d.key)
	if grant == nil {
		s.OwnerTimeouts++
		a.prefetched.Add(q.reserved, q.reservedUntil, prefetchedResolution)
		return l.handleTimeout(d, a, q, now)
	}
	l.shards[q.shard].noOwnerSince = 0
	if grant.Granted < q.message.Need {
		s.RejectedByOwner++
		l.rejectedByOwner++
		a.prefetched.Add(q.reserved, q.reservedUntil, prefetchedResolution)
		retryAfter = time.Duration(grant.RetryAfterMS) * time.Millisecond
		a.emptyUntil = now + retryAfter
		return nil, min(max(retryAfter, minRetryAfter), maxRetryAfter), false
	}
	delay := time.Duration(grant.DelayMS) * time.Millisecond
	until := q.sentAt + delay + time.Duration(grant.ValidMS)*time.Millisecond
	a.prefetched.Add(grant.Granted-q.message.Need, until, prefetchedResolution)
	a.spare.Add(grant.Spare, q.sentAt+quota.SpareLifetime, spareResolution)
	s.OwnerUse += q.message.Need
	s.PrefetchedUse += q.reserved
	if q.reserved > 0 {
		until = min(until, q.reservedUntil)
	}
	c = l.newCharge(d, until)
	c.validFrom = now + delay
	return c, 0, false
}

// handleTimeout decides on a client request to which the owner did not reply. After the first timeout the owner is asked
// through other machines of the fleet. The caller holds l.mu.
func (l *Limiter) handleTimeout(d quotaDemand, a *account, q *ownerRequest, now time.Duration) (*Charge, time.Duration, bool) {
	s := &l.shards[q.shard]
	if !q.relayed {
		s.relayUntil = max(s.relayUntil, q.sentAt+relayDuration)
		return nil, noOwnerRetryAfter, now < s.relayUntil
	}
	s.noOwnerUntil = max(s.noOwnerUntil, q.sentAt+noOwnerPause)
	if s.noOwnerSince == 0 {
		s.noOwnerSince = q.sentAt
	}
	charge, retryAfter := l.chargeSpare(d, a, now)
	return charge, retryAfter, false
}

// chargeSpare charges spare quota. The caller holds l.mu.
func (l *Limiter) chargeSpare(d quotaDemand, a *account, now time.Duration) (*Charge, time.Duration) {
	s := l.statsFor(d.key)
	a.spare.Expire(now)
	until, ok := a.spare.Take(d.cost)
	if !ok {
		s.RejectedNoOwner++
		l.rejectedNoOwner++
		return nil, l.retryAfterNoOwner(d, now)
	}
	s.SpareUse += d.cost
	return l.newCharge(d, until), 0
}

// retryAfterNoOwner returns when a client may retry while no owner answers. It grows with the outage, as one that has
// lasted for long may last for as long again.
func (l *Limiter) retryAfterNoOwner(d quotaDemand, now time.Duration) time.Duration {
	outage := now - l.shards[hostlist.ShardOf(d.key.String())].noOwnerSince
	return min(max(outage, noOwnerRetryAfter), maxRetryAfter)
}

func (l *Limiter) newCharge(d quotaDemand, until time.Duration) *Charge {
	return &Charge{limiter: l, demand: d, validUntil: until}
}

// HandleGrant delivers an owner's reply to the request that waits for it.
func (l *Limiter) HandleGrant(g *wire.QuotaGrant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := l.pending[g.Number]
	if reply == nil || g.Router != l.router || g.Incarnation != l.incarnation {
		l.droppedReplies++
		return
	}
	delete(l.pending, g.Number)
	reply <- g
}

// RejectionCounts returns how many requests were rejected since the start: by owners' replies, and because no owner
// answered.
func (l *Limiter) RejectionCounts() (byOwner, noOwner int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rejectedByOwner, l.rejectedNoOwner
}

// giveBack returns the quota of a request that has not run to its account, with its expiry time.
func (l *Limiter) giveBack(c *Charge) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(c.demand)
	a.prefetched.Add(c.demand.cost, c.validUntil, prefetchedResolution)
	l.statsFor(c.demand.key).Returned += c.demand.cost
}

// account returns the account of a limit, an empty one if its terms have changed. The caller holds l.mu.
func (l *Limiter) account(d quotaDemand) *account {
	a := l.accounts[d.key]
	if a == nil || a.terms != d.terms {
		l.removeIdle()
		a = &account{terms: d.terms, updatedAt: l.now()}
		l.accounts[d.key] = a
	}
	return a
}

// removeIdle removes accounts that have not been used for long, once there are many. The caller holds l.mu.
func (l *Limiter) removeIdle() {
	if len(l.accounts) < l.sweepAt {
		return
	}
	now := l.now()
	for key, a := range l.accounts {
		if now > a.updatedAt+accountIdleTime {
			delete(l.accounts, key)
		}
	}
	l.sweepAt = max(minSweepAccounts, 2*len(l.accounts))
}
