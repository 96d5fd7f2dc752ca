package quota

import (
	"time"

	"ivybank/config"
	"ivybank/settings"
)

// delayShare is the largest part of the rules' tolerance (what they allow within a window beyond rate and burst) by
// which use may be late: a grant may be used for as long as the rate takes to fill this part.
const delayShare = 0.3

// reserveShare of the tolerance is not granted at all: it covers requests in flight from a router to a host.
const reserveShare = 0.03

// Shares of the rest of the tolerance; what is left goes to the bucket, beside the burst.
const (
	// spareShare is the part that routers may use while no owner answers them.
	spareShare = 0.33
	// startShare is the part that the bucket of an owner that follows a long tenure holds at once.
	startShare = 0.33
	// initialSpareShare is the part of the spare amount that routers may be given at once; the rest is added over the
	// life of spare amounts.
	initialSpareShare = 0.4
	// sparePerGrant is the spare amount that comes with a grant, relative to the grant, as long as there is some.
	sparePerGrant = 0.2
)

const (
	maxValidity = 300 * time.Millisecond
	// minValidity is used for limits with hardly any tolerance; below it no request would reach a host in time. It is
	// taken out of the burst.
	minValidity = 50 * time.Millisecond
	// SpareLifetime is how long a router may keep what it may use while no owner answers.
	SpareLifetime = 30 * time.Second
	// defaultWindow and defaultOverage apply if the settings contain no rule.
	defaultWindow  = 8 * time.Second
	defaultOverage = 0.1

	// Shares of the slack for retries: retryBurstShare may be used at once, retryStartShare is added for an owner
	// that follows a long tenure, and retryRateShare is added in each window. The rest covers retries that arrive
	// late.
	retryBurstShare    = 0.4
	retryStartShare    = 0.2
	retryRateShare     = 0.3
	defaultRetryWindow = 10.0 // seconds
)

// Limit is what a tenant may use, in requests or tokens, and how the rules' allowance is divided. For every window W,
// with R the rate, C the capacity, S the start amount, V the validity, P the spare capacity, Q the spare rate and H
// the lifetime of spare amounts:
//
//	use(W) <= C + S + R (W + V) + P + Q (W + V + H) <= allowance(W)
//
// The first three terms are what owners grant, the last two what routers use without an owner. No term depends on the
// number of routers or owners.
type Limit struct {
	Rate          float64       // R, per second
	Capacity      float64       // C, of the owner's bucket
	Start         float64       // S, at most once per window
	Validity      time.Duration // V, from a router's request to the use of the grant at a host
	SpareCapacity float64       // P, of the bucket from which routers get spare amounts
	SpareRate     float64       // Q, per second
	Allowance     float64       // what the rules allow within a window
}

// LimitOf returns a tenant's limit under the rules in force.
func LimitOf(t *config.Tenant, bounds *settings.Bounds) Limit {
	window, overage := Window(bounds).Seconds(), bounds.QuotaOverage
	if bounds.QuotaWindowS <= 0 {
		overage = defaultOverage
	}
	rate, burst := max(0, t.RatePerS), max(0, t.Burst)
	tolerance := overage*(rate*window+burst) + bounds.QuotaSlack
	l := Limit{Rate: rate, Validity: maxValidity, Allowance: rate*window + burst + tolerance}
	if rate > 0 {
		shortest := min(minValidity, seconds((burst+tolerance)/rate))
		l.Validity = min(maxValidity, max(shortest, seconds(delayShare*tolerance/rate)))
	}
	rest := max(0, (1-reserveShare)*tolerance-rate*l.Validity.Seconds())
	l.Start = startShare * rest
	spare := spareShare * rest
	l.SpareCapacity = initialSpareShare * spare
	l.SpareRate = (spare - l.SpareCapacity) / (window + l.Validity.Seconds() + SpareLifetime.Seconds())
	l.Capacity = max(0, burst+(1-reserveShare)*tolerance-rate*l.Validity.Seconds()-l.Start-spare)
	return l
}

// Window returns the rules' window for limits.
func Window(bounds *settings.Bounds) time.Duration {
	if bounds.QuotaWindowS <= 0 {
		return defaultWindow
	}
	return seconds(bounds.QuotaWindowS)
}

// RetryLimit returns the limit on retries of requests to a service that holds regardless of its number of requests:
// nine tenths of the rules' slack within a window. Routers have to earn any further retries by requests.
func RetryLimit(bounds *settings.Bounds) Limit {
	window := bounds.RetryWindowS
	if window <= 0 {
		window = defaultRetryWindow
	}
	return Limit{Rate: retryRateShare * bounds.RetrySlack / window, Capacity: retryBurstShare * bounds.RetrySlack,
		Start: retryStartShare * bounds.RetrySlack, Validity: maxValidity, Allowance: bounds.RetrySlack}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
