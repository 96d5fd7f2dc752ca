package limit

import (
	"math"
	"time"

	"ivybank/router/expiring"
)

const (
	demandTimeConstant = 2 * time.Second // time constant of the weighted average of the demand
	// prefetchMinRequests is how many requests of the current cost must be expected within prefetchSeconds before
	// quota is prefetched: prefetched quota that is not used is lost to the tenant.
	prefetchMinRequests = 2
	prefetchSeconds     = 0.15 // seconds of demand to prefetch
)

// account is the quota of one limit at this router.
type account struct {
	terms      limitTerms       // under which all amounts here were granted
	prefetched expiring.Amounts // for later requests: prefetched or returned
	spare      expiring.Amounts // received with grants, for use while no owner answers
	updatedAt  time.Duration
	demand     float64       // exponentially weighted average, in units per second
	emptyUntil time.Duration // the owner has no quota for the limit until then
}

// advance moves the account to now and counts a request.
func (a *account) advance(now time.Duration, cost float64) {
	a.demand *= math.Exp(-(now - a.updatedAt).Seconds() / demandTimeConstant.Seconds())
	a.demand += cost / demandTimeConstant.Seconds()
	a.updatedAt = now
	a.prefetched.Expire(now)
	a.spare.Expire(now)
}

// requestAmount returns how much to request from the owner for a request of this cost.
func (a *account) requestAmount(cost float64) float64 {
	if expected := a.demand * prefetchSeconds; expected >= prefetchMinRequests*cost {
		return cost + expected
	}
	return cost
}
