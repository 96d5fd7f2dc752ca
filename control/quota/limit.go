package quota

import (
	"time"

	"ivybank/config"
	"ivybank/settings"
)

// delayShare is the most of the rules' tolerance (what they allow within a window beyond rate and burst) that use may come
// late by: a grant may be used for as long as the rate takes to fill this part.
const delayShare = 0.3

// reserveShare of the tolerance is given to nothing: it is for requests that are on their way from a router to a host.
const reserveShare = 0.03

// Of the rest of the tolerance these go to what follows, and what is left to the bucket, beside the burst.
const (
	// spareShare is the part that routers may use while no owner answers them.
	spareShare = 0.33
	// startShare is the part that the bucket of an owner holds at once which follows one that was long in office.
	startShare = 0.33
	// spareAtOnce is the part of the spare amount that routers may be given at once; the rest comes in the course of its life.
	spareAtOnce = 0.4
	// sparePart is the part of a grant that comes on top as spare, as long as there is some.
	sparePart = 0.2
)

const (
	longestValidity = 300 * time.Millisecond
	// shortestValidity is for limits with hardly a tolerance; below it no request would reach a host in time. It is paid for by
	// the burst.
	shortestValidity = 50 * time.Millisecond
	// SpareLife is how long a router may keep what it may use while no owner answers.
	SpareLife = 30 * time.Second
	// defaultWindow and defaultOverage are used where the settings name no rule.
	defaultWindow  = 8 * time.Second
	defaultOverage = 0.1

	// repeatBurstShare of the slack for repeats may go at once, repeatStartShare likewise from an owner that follows one long in
	// office, and repeatRateShare in each window. The rest is for those
	// that arrive late.
	repeatBurstShare   = 0.4
	repeatStartShare   = 0.2
	repeatRateShare    = 0.3
	defaultRetryWindow = 10.0 // s
)

// Limit is what a tenant may use, in requests or tokens, and how the rules' allowance is divided. For every window W,
// with R the rate, C the capacity, S the start amount, V the validity, P the spare capacity, Q the spare rate and H the
// life of spare amounts:
//
//	use(W) <= C + S + R (W + V) + P + Q (W + V + H) <= allowance(W)
//
// The first three terms are what owners grant, the last two what routers use without one. No term depends on the number
// of routers or of owners.
type Limit struct {
	Rate          float64       // R, a second
	Capacity      float64       // C, of the owner's bucket
	Start         float64       // S, once in a window at most
	Validity      time.Duration // V, from a router's question to the use of the answer at a host
	SpareCapacity float64       // P, of the bucket from which routers get spare amounts
	SpareRate     float64       // Q, a second
	Allowance     float64       // what the rules allow within a window
}

// LimitOf gives a tenant's limit under the rules in force.
func LimitOf(t *config.Tenant, bounds *settings.Bounds) Limit {
	window, overage := Window(bounds).Seconds(), bounds.QuotaOverage
	if bounds.QuotaWindowS <= 0 {
		overage = defaultOverage
	}
	rate, burst := max(0, t.RatePerS), max(0, t.Burst)
	tolerance := overage*(rate*window+burst) + bounds.QuotaSlack
	l := Limit{Rate: rate, Validity: longestValidity, Allowance: rate*window + burst + tolerance}
	if rate > 0 {
		shortest := min(shortestValidity, seconds((burst+tolerance)/rate))
		l.Validity = min(longestValidity, max(shortest, seconds(delayShare*tolerance/rate)))
	}
	rest := max(0, (1-reserveShare)*tolerance-rate*l.Validity.Seconds())
	l.Start = startShare * rest
	spare := spareShare * rest
	l.SpareCapacity = spareAtOnce * spare
	l.SpareRate = (spare - l.SpareCapacity) / (window + l.Validity.Seconds() + SpareLife.Seconds())
	l.Capacity = max(0, burst+(1-reserveShare)*tolerance-rate*l.Validity.Seconds()-l.Start-spare)
	return l
}

// Window is the rules' window for limits.
func Window(bounds *settings.Bounds) time.Duration {
	if bounds.QuotaWindowS <= 0 {
		return defaultWindow
	}
	return seconds(bounds.QuotaWindowS)
}

// RepeatLimit is how many requests to a service may be sent again whatever its requests are: nine tenths of the rules'
// slack within a window. What routers repeat beyond that they have earned by requests.
func RepeatLimit(bounds *settings.Bounds) Limit {
	window := bounds.RetryWindowS
	if window <= 0 {
		window = defaultRetryWindow
	}
	return Limit{Rate: repeatRateShare * bounds.RetrySlack / window, Capacity: repeatBurstShare * bounds.RetrySlack,
		Start: repeatStartShare * bounds.RetrySlack, Validity: longestValidity, Allowance: bounds.RetrySlack}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
