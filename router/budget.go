package router

import (
	"sync"
	"time"

	"ivybank/router/expiring"
	"ivybank/settings"
)

const (
	// earnShare is the part of the rules' retry ratio that each request earns, for as long as one window of the rules. So the
	// repeats of a window come from the requests of two at most and of what goes by while they are on their way (up to a fifth
	// of a window), and the requests of two windows are at most twice those of the fuller one: all routers together keep the
	// rule, however many there are. Its slack is drawn from the owner of the service's shard.
	earnShare   = 0.45
	earnedGrain = 250 * time.Millisecond // by which what was earned is told apart
	// defaultRetryWindow is used where the settings name none.
	defaultRetryWindow = 10 * time.Second
)

// retryBudgets bounds, for each service, how often requests are sent to a further host, by the requests that this router
// has served. It is safe for concurrent use.
type retryBudgets struct {
	mu     sync.Mutex
	earn   float64 // by each request
	life   time.Duration
	now    func() time.Duration
	earned map[string]*expiring.Amounts // by service
}

func newRetryBudgets(bounds settings.Bounds, now func() time.Duration) *retryBudgets {
	life := time.Duration(bounds.RetryWindowS * float64(time.Second))
	if life <= 0 {
		life = defaultRetryWindow
	}
	return &retryBudgets{earn: earnShare * bounds.RetryRatio, life: life, now: now, earned: map[string]*expiring.Amounts{}}
}

// of gives what a service has earned. The caller holds b.mu.
func (b *retryBudgets) of(service string) *expiring.Amounts {
	if b.earned[service] == nil {
		b.earned[service] = &expiring.Amounts{}
	}
	s := b.earned[service]
	s.Expire(b.now())
	return s
}

// request counts a client's request for a service.
func (b *retryBudgets) request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).Add(b.earn, b.now()+b.life, earnedGrain)
}

// spend asks for one more send of a request.
func (b *retryBudgets) spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.of(service).Take(1)
	return ok
}

// has says whether one more send would be allowed.
func (b *retryBudgets) has(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service).Sum() >= 1
}
