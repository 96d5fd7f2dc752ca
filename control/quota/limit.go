package quota

import (
	"time"

	"ivybank/config"
	"ivybank/settings"
)

// The parts of the rules' tolerance, which is what they allow within a window beyond rate and burst. What is left of it
// after these two goes to the bucket.
const (
	// delayShare is the most that use may come late by: a grant may be used for as long as the rate takes to fill this part.
	delayShare = 0.4
	// spareShare is the part that routers may use while no owner answers them.
	spareShare = 0.3
)

const (
	longestValidity = 400 * time.Millisecond
	// shortestValidity is for limits without a tolerance; below it no request would reach a host in time.
	shortestValidity = 50 * time.Millisecond
	// SpareLife is how long a router may keep what it may use while no owner answers.
	SpareLife = 30 * time.Second
	// defaultWindow and defaultOverage are used where the settings name no rule.
	defaultWindow  = 8.0 // s
	defaultOverage = 0.1

	// repeatBurstShare of the slack for repeats may go at once, and repeatRateShare more in each window. The rest is for those
	// that arrive late.
	repeatBurstShare   = 0.5
	repeatRateShare    = 0.3
	defaultRetryWindow = 10.0 // s
)

// Limit is what a tenant may use, in requests or tokens, and how the rules' allowance is divided. For every window W,
// with R the rate, C the capacity, V the validity, H the life of spare amounts and p their part:
//
//	use(W) <= C + R (W + V) + p (C + R (W + V + H)) <= allowance(W)
//
// The first two terms are what owners grant, the third is what routers use without one. No term depends on the number of
// routers or of owners.
type Limit struct {
	Rate      float64       // R, a second
	Capacity  float64       // C, of the owner's bucket
	Validity  time.Duration // V, from a router's question to the use of the answer at a host
	SparePart float64       // p, of each grant, that the router may use later while no owner answers
	Allowance float64       // what the rules allow within a window
}

// LimitOf gives a tenant's limit under the rules in force.
func LimitOf(t *config.Tenant, bounds *settings.Bounds) Limit {
	window, overage := bounds.QuotaWindowS, bounds.QuotaOverage
	if window <= 0 {
		window, overage = defaultWindow, defaultOverage
	}
	rate, burst := max(0, t.RatePerS), max(0, t.Burst)
	tolerance := overage*(rate*window+burst) + bounds.QuotaSlack
	l := Limit{Rate: rate, Validity: longestValidity, Allowance: rate*window + burst + tolerance}
	if rate > 0 {
		l.Validity = min(longestValidity, max(shortestValidity, seconds(delayShare*tolerance/rate)))
	}
	delayed := rate * l.Validity.Seconds()
	earning := rate * (window + l.Validity.Seconds() + SpareLife.Seconds()) // grants from which spare amounts come, beside C
	if all := burst + tolerance + earning; all > 0 {
		l.SparePart = spareShare * tolerance / all
	}
	l.Capacity = max(0, (burst+tolerance-delayed-l.SparePart*earning)/(1+l.SparePart))
	return l
}

// RepeatLimit is how many requests to a service may be sent again whatever its requests are: nine tenths of the rules'
// slack within a window. What routers repeat beyond that they have earned by requests.
func RepeatLimit(bounds *settings.Bounds) Limit {
	window := bounds.RetryWindowS
	if window <= 0 {
		window = defaultRetryWindow
	}
	return Limit{Rate: repeatRateShare * bounds.RetrySlack / window, Capacity: repeatBurstShare * bounds.RetrySlack,
		Validity: longestValidity, Allowance: bounds.RetrySlack}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
