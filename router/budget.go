package router

import (
	"sync"
	"time"

	"ivybank/router/expiring"
	"ivybank/settings"
)

const (
	// creditShare is the part of the configured retry ratio that each request adds to the retry budget. A credit
	// lasts for one window of the rule. The retries of a window therefore come from the requests of at most two
	// windows, plus those that arrive while the retries are on their way (up to a fifth of a window), and the
	// requests of two windows are at most twice those of the busier one. So all routers together keep the rule,
	// however many there are. The slack of the rule is drawn from the owner of the service's shard.
	creditShare       = 0.45
	creditGranularity = 250 * time.Millisecond // resolution of the expiry times of credits
	// defaultRetryWindow applies if the settings have no retry window.
	defaultRetryWindow = 10 * time.Second
)

// retryBudgets limits, per service, how many requests are sent to a further host, in proportion to the requests that
// this router has served. It is safe for concurrent use.
type retryBudgets struct {
	mu               sync.Mutex
	creditPerRequest float64 // added by each request
	creditLifetime   time.Duration
	now              func() time.Duration
	credits          map[string]*expiring.Amounts // by service name
}

func newRetryBudgets(bounds settings.Bounds, now func() time.Duration) *retryBudgets {
	creditLifetime := time.Duration(bounds.RetryWindowS * float64(time.Second))
	if creditLifetime <= 0 {
		creditLifetime = defaultRetryWindow
	}
	return &retryBudgets{creditPerRequest: creditShare * bounds.RetryRatio, creditLifetime: creditLifetime, now: now,
		credits: map[string]*expiring.Amounts{}}
}

// creditsOf returns the unexpired credits of a service. The caller holds b.mu.
func (b *retryBudgets) creditsOf(service string) *expiring.Amounts {
	if b.credits[service] == nil {
		b.credits[service] = &expiring.Amounts{}
	}
	credits := b.credits[service]
	credits.Expire(b.now())
	return credits
}

// addRequest adds the credit of one client request to the budget of a service.
func (b *retryBudgets) addRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.creditsOf(service).Add(b.creditPerRequest, b.now()+b.creditLifetime, creditGranularity)
}

// spend takes one retry from the budget. It reports false if the budget is too small.
func (b *retryBudgets) spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.creditsOf(service).Take(1)
	return ok
}

// canSpend reports whether the budget allows one more retry.
func (b *retryBudgets) canSpend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.creditsOf(service).Sum() >= 1
}
