package router

import (
	"context"
	"math"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ivybank/config"
	"ivybank/control/hostlist"
	"ivybank/settings"
	"ivybank/wire"
)

const (
	tokensHeader = "Token-Usage"
	// ownerPatience is how long a request waits for the owner of its tenant's limit.
	ownerPatience = 100 * time.Millisecond
	ownerPause    = 300 * time.Millisecond // after an owner's silence, before it is asked again
	// unownedShare is the part of a limit that all routers together may use without the owner.
	unownedShare  = 0.5
	unownedSpan   = 1.0 // seconds of it that may be saved up
	prefetchSpan  = 0.2 // seconds of demand that are drawn ahead
	demandSpan    = 2.0 // seconds over which demand is averaged
	heldFor       = 2 * time.Second
	idleForget    = 60 * time.Second
	routersMemory = 5 * time.Second
	shortestRetry = 100 * time.Millisecond
	unownedRetry  = 600 * time.Millisecond // by then there should be an owner again
	longestRetry  = 2 * time.Second
)

// account is one tenant's limit at this router.
type account struct {
	held      float64 // drawn and not used yet
	heldUntil time.Duration
	unowned   float64 // what may be used without the owner
	at        time.Duration
	demand    float64 // per second, averaged
	emptyTill time.Duration
}

// limiter keeps tenants' limits at this router. It is safe for concurrent use.
type limiter struct {
	router   string
	life     uint64 // of this process; answers to an earlier one are dropped
	dropped  int64  // such answers, and those that nobody waits for any more
	start    time.Time
	send     atomic.Pointer[func(*wire.Message) bool]
	mu       sync.Mutex
	accounts map[string]*account
	waiting  map[uint64]chan *wire.QuotaGrant
	number   uint64
	awayTill [hostlist.Shards]time.Duration // owners that didn't answer aren't asked until then
	routers  []routersSeen
	figures  map[string]*limitFigures // by tenant, since they were taken last
}

type routersSeen struct {
	count int
	at    time.Duration
}

func newLimiter(s *settings.Settings) *limiter {
	return &limiter{router: s.NodeName, life: wire.NewLife(), start: time.Now(), accounts: map[string]*account{},
		waiting: map[uint64]chan *wire.QuotaGrant{}, figures: map[string]*limitFigures{}}
}

// connect tells how owners are reached.
func (l *limiter) connect(send func(*wire.Message) bool) { l.send.Store(&send) }

func (l *limiter) now() time.Duration { return time.Since(l.start) }

// cost is what a request counts against its tenant's limit.
func cost(t *config.Tenant, tokens string) float64 {
	if t.Unit != config.TokenUnit {
		return 1
	}
	in, out, ok := strings.Cut(tokens, ",")
	prompt, errIn := strconv.ParseFloat(strings.TrimSpace(in), 64)
	answer, errOut := strconv.ParseFloat(strings.TrimSpace(out), 64)
	if !ok || errIn != nil || errOut != nil || prompt < 0 || answer < 0 {
		return max(1, t.PlainTokens)
	}
	return prompt + answer
}

// take counts a request. Where the limit is used up it reports false and when to come back.
func (l *limiter) take(ctx context.Context, t *config.Tenant, cost float64) (bool, time.Duration) {
	if t.RatePerS <= 0 {
		return true, 0
	}
	shard := hostlist.ShardOf(t.Name)
	l.mu.Lock()
	now := l.now()
	a := l.account(t, now)
	a.demand += cost / demandSpan
	f := l.figuresOf(t.Name)
	if a.held >= cost {
		a.held -= cost
		f.AheadUse += cost
		l.mu.Unlock()
		return true, 0
	}
	if now < a.emptyTill {
		wait := a.emptyTill - now
		f.RefusedOwner++
		l.mu.Unlock()
		return false, min(max(wait, shortestRetry), longestRetry)
	}
	need := cost - a.held
	if now < l.awayTill[shard] {
		ok := a.withoutOwner(cost, f)
		l.mu.Unlock()
		return ok, unownedRetry
	}
	a.held = 0
	f.Asked++
	l.number++
	number, answer := l.number, make(chan *wire.QuotaGrant, 1)
	l.waiting[number] = answer
	want := need + a.demand*prefetchSpan
	l.mu.Unlock()
	l.ask(&wire.QuotaRequest{Router: l.router, Life: l.life, Shard: shard, Number: number, Tenant: t.Name, Need: need, Want: want})
	return l.await(ctx, t, number, answer, need, cost)
}

func (l *limiter) ask(q *wire.QuotaRequest) {
	if send := l.send.Load(); send != nil {
		(*send)(&wire.Message{QuotaRequest: q})
	}
}

// await waits for the owner's answer, and decides without one where it doesn't come.
func (l *limiter) await(ctx context.Context, t *config.Tenant, number uint64, answer chan *wire.QuotaGrant,
	need, cost float64) (bool, time.Duration) {
	patience := time.NewTimer(ownerPatience)
	defer patience.Stop()
	var grant *wire.QuotaGrant
	select {
	case grant = <-answer:
	case <-patience.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, number)
	now := l.now()
	a, f := l.account(t, now), l.figuresOf(t.Name)
	switch {
	case grant == nil:
		f.Unanswered++
		a.held += cost - need
		l.awayTill[hostlist.ShardOf(t.Name)] = now + ownerPause
		return a.withoutOwner(cost, f), unownedRetry
	case grant.Granted >= need:
		a.held += grant.Granted - need
		a.heldUntil = now + heldFor
		f.OwnerUse += need
		f.AheadUse += cost - need
		return true, 0
	default:
		f.RefusedOwner++
		a.held += cost - need
		wait := time.Duration(grant.WaitMS) * time.Millisecond
		a.emptyTill = now + wait
		return false, min(max(wait, shortestRetry), longestRetry)
	}
}

// granted takes an owner's answer.
func (l *limiter) granted(g *wire.QuotaGrant) {
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

// giveBack returns what a request took that has not run.
func (l *limiter) giveBack(t *config.Tenant, cost float64) {
	if t.RatePerS <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	a := l.account(t, now)
	a.held += cost
	a.heldUntil = now + heldFor
	l.figuresOf(t.Name).GivenBack += cost
}

// account gives a tenant's account, brought up to now.
func (l *limiter) account(t *config.Tenant, now time.Duration) *account {
	a := l.accounts[t.Name]
	if a == nil {
		l.forgetIdle(now)
		a = &account{at: now, unowned: t.RatePerS * l.unownedPart(now) * unownedSpan}
		l.accounts[t.Name] = a
	}
	passed := (now - a.at).Seconds()
	a.at = now
	a.demand *= math.Exp(-passed / demandSpan)
	rate := t.RatePerS * l.unownedPart(now)
	a.unowned = min(a.unowned+rate*passed, rate*unownedSpan)
	if now >= a.heldUntil {
		a.held = 0
	}
	return a
}

func (l *limiter) forgetIdle(now time.Duration) {
	for name, a := range l.accounts {
		if now > a.at+idleForget {
			delete(l.accounts, name)
		}
	}
}

// withoutOwner takes from the part of the limit that needs no owner; it may fall below 0 by one request.
func (a *account) withoutOwner(cost float64, f *limitFigures) bool {
	if a.unowned <= 0 {
		f.RefusedAbsent++
		return false
	}
	a.unowned -= cost
	f.LocalUse += cost
	return true
}

// unownedPart is this router's part of a limit while the owner is away.
func (l *limiter) unownedPart(now time.Duration) float64 {
	if most := l.mostRouters(now); most > 0 {
		return unownedShare / float64(most)
	}
	return 0
}

// mostRouters is how many routers there were at the most in the last seconds; 0 where none have been told of.
func (l *limiter) mostRouters(now time.Duration) int {
	most := 0
	for i, seen := range l.routers {
		if now < seen.at+routersMemory || i == len(l.routers)-1 {
			most = max(most, seen.count)
		}
	}
	return most
}

// routerCount is mostRouters for those outside.
func (l *limiter) routerCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mostRouters(l.now())
}

// sawRouters takes how many routers there are.
func (l *limiter) sawRouters(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	kept := l.routers[:0]
	for _, seen := range l.routers {
		if now < seen.at+routersMemory && seen.count > count {
			kept = append(kept, seen)
		}
	}
	l.routers = append(kept, routersSeen{count, now})
}
