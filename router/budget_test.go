package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/settings"
)

const retryWindow = 10 * time.Second

var retryBounds = settings.Bounds{RetryRatio: 0.2, RetryWindowS: retryWindow.Seconds()}

// retrySimulation runs the retry budgets of several routers on one virtual clock and records requests and retries.
type retrySimulation struct {
	now      time.Duration
	budgets  []*retryBudgets
	requests []time.Duration
	retries  []time.Duration
}

func newRetrySimulation(routers int) *retrySimulation {
	sim := &retrySimulation{budgets: make([]*retryBudgets, routers)}
	for i := range sim.budgets {
		sim.restart(i)
	}
	return sim
}

func (sim *retrySimulation) restart(i int) {
	sim.budgets[i] = newRetryBudgets(retryBounds, func() time.Duration { return sim.now })
}

func (sim *retrySimulation) request(i int) {
	sim.budgets[i].addRequest("s")
	sim.requests = append(sim.requests, sim.now)
}

func (sim *retrySimulation) retry(i int) bool {
	if !sim.budgets[i].spend("s") {
		return false
	}
	sim.retries = append(sim.retries, sim.now)
	return true
}

func countInWindow(times []time.Duration, from time.Duration) float64 {
	n := 0.0
	for _, at := range times {
		if at >= from && at < from+retryWindow {
			n++
		}
	}
	return n
}

// check asserts that every window keeps the retry ratio, without using any slack.
func (sim *retrySimulation) check(t *testing.T) {
	t.Helper()
	for from := time.Duration(0); from < sim.now; from += 250 * time.Millisecond {
		maxRequests := max(countInWindow(sim.requests, from), countInWindow(sim.requests, from-retryWindow),
			countInWindow(sim.requests, from-retryWindow/2))
		retries := countInWindow(sim.retries, from)
		assert.Assert(t, retries <= retryBounds.RetryRatio*maxRequests+1e-6, "%v: %v retries for %v requests",
			from, retries, maxRequests)
	}
}

// TestRetriesOfAllRoutersKeepTheRatio lets routers spend their whole budgets while requests arrive in bursts and move
// from some routers to others, and while routers restart. It does so for several numbers of routers, as no router is
// told of the others.
func TestRetriesOfAllRoutersKeepTheRatio(t *testing.T) {
	for _, routers := range []int{3, 73, 390} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, uint64(routers)))
			sim := newRetrySimulation(routers)
			for sim.now < 100*time.Second {
				sim.now += 10 * time.Millisecond
				busy := int(sim.now/(7*time.Second)) % 3 // a third of the routers gets the requests, then another third
				for range random.IntN(10) {
					i := (random.IntN(routers)/3*3 + busy) % routers
					sim.request(i)
				}
				for range 20 {
					sim.retry(random.IntN(routers))
				}
				if random.IntN(200) == 0 {
					sim.restart(random.IntN(routers))
				}
			}
			assert.Assert(t, len(sim.retries) > len(sim.requests)/50, "%d retries for %d requests are too few to test the bound",
				len(sim.retries), len(sim.requests))
			sim.check(t)
		})
	}
}

// TestRetryCreditsLastForOneWindow saves credits in one window and spends them in the next.
func TestRetryCreditsLastForOneWindow(t *testing.T) {
	sim := newRetrySimulation(1)
	spendAll := func() (n int) {
		for sim.retry(0) {
			n++
		}
		return n
	}
	assert.Equal(t, spendAll(), 0, "a router that has just started has no credits")
	for range 2 {
		for range 100 {
			sim.now += 50 * time.Millisecond
			sim.request(0)
		}
	}
	sim.now += 4 * time.Second
	saved := spendAll()
	assert.Assert(t, saved >= 10 && saved <= 11, "%d retries for the 120 requests of a window", saved)
	for range 100 {
		sim.request(0)
	}
	sim.now += retryWindow
	assert.Equal(t, spendAll(), 0, "credits older than a window have expired")
	sim.check(t)
}

func TestRequestsEarnRetries(t *testing.T) {
	sim := newRetrySimulation(1)
	for range 25 {
		sim.request(0)
	}
	assert.Assert(t, sim.budgets[0].canSpend("s"))
	for _, allowed := range []bool{true, true, false} {
		assert.Equal(t, sim.retry(0), allowed, "25 requests earn two retries")
	}
	assert.Assert(t, !sim.budgets[0].spend("other"), "each service has its own budget")
}
