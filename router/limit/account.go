package limit

import (
	"math"
	"time"

	"ivybank/router/expiring"
)

const (
	demandSpan = 2 * time.Second // over which demand is averaged
	// usesAhead is how many requests like the one at hand have to be expected soon, before any are drawn ahead: what is drawn
	// and not used is lost to the tenant.
	usesAhead    = 2
	prefetchSpan = 0.15 // seconds of demand that are drawn ahead
)

// account is one tenant's limit at this router.
type account struct {
	terms     terms            // under which all amounts here were granted
	ahead     expiring.Amounts // drawn for later requests, or given back
	spare     expiring.Amounts // earned with grants, for the time without an owner
	at        time.Duration
	demand    float64 // a second, averaged
	emptyTill time.Duration
}

// advance lets time pass and counts a request.
func (a *account) advance(now time.Duration, cost float64) {
	a.demand *= math.Exp(-(now - a.at).Seconds() / demandSpan.Seconds())
	a.demand += cost / demandSpan.Seconds()
	a.at = now
	a.ahead.Expire(now)
	a.spare.Expire(now)
}

// want is how much to ask for, for a request.
func (a *account) want(cost float64) float64 {
	if soon := a.demand * prefetchSpan; soon >= usesAhead*cost {
		return cost + soon
	}
	return cost
}
