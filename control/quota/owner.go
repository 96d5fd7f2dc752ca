// Package quota enforces tenants' limits for a whole fleet. The owner of a shard has one token bucket for each limit,
// and routers draw from it as they need. It does no I/O; time is passed in.
package quota

import (
	"math"
	"time"
)

const (
	// aheadShare is the part of a bucket's level beyond a request that may be granted ahead of need.
	aheadShare = 0.25
	// MaxDelay is how long a request may have to wait until the bucket has filled for it, and maxQueueDelay how
	// much of that may be due to requests before it. At least MaxDelay passes between the last grant of one owner
	// and the first of the next.
	MaxDelay      = 100 * time.Millisecond
	maxQueueDelay = 50 * time.Millisecond
	minRetryWait  = 20 * time.Millisecond
	maxRetryWait  = 2 * time.Second
	// costDecay is the time constant with which a bucket forgets how large its requests were.
	costDecay = 10 * time.Second
	// minSweepSize is the number of buckets from which on full ones are removed.
	minSweepSize = 1024
)

// Request is what a router requests of a limit, in the limit's unit.
type Request struct {
	Need float64 // amount for the request at hand
	Want float64 // amount including requests expected soon
}

// Grant is the owner's answer to a Request.
type Grant struct {
	Amount     float64       // 0, or at least what was needed
	Spare      float64       // what the router may use in addition, while no owner answers it
	Delay      time.Duration // time from the answer before which the amount may not be used
	Valid      time.Duration // time for which it may be used, counted from the request plus the delay
	RetryAfter time.Duration // if nothing was granted, time until the bucket holds enough for a request like this one
}

type bucket struct {
	limit   Limit   // limit by which it was last filled
	level   float64 // negative by what is granted ahead of the fill
	spare   float64 // level of the spare amount, which routers may use while no owner answers
	at      time.Duration
	largest float64 // largest recent request, decaying
}

// Owner keeps the buckets of one shard's limits.
type Owner struct {
	buckets map[string]*bucket
	since   time.Duration
	started bool // buckets have received their start amount
	sweepAt int  // number of buckets at which full ones are removed
}

// NewOwner returns an owner that has just taken over. Its buckets are empty, as it doesn't know what the previous
// owner granted, so any succession of owners grants no more than a single owner would, except for the start amounts.
func NewOwner(now time.Duration) *Owner {
	return &Owner{buckets: map[string]*bucket{}, since: now, sweepAt: minSweepSize}
}

// AddStartAmount adds the start amount of each limit. It may be called at most once, for an owner that follows a long
// tenure.
func (o *Owner) AddStartAmount(now time.Duration) {
	o.started = true
	for name, b := range o.buckets {
		o.bucket(name, b.limit, now)
		b.level = min(b.level+b.limit.Start, b.limit.Capacity)
	}
}

// Take draws from a bucket: all that is needed, and up to what is wanted if there is plenty; or nothing. What the
// bucket doesn't hold yet is granted with a delay, so that whatever is used by any moment has been filled by then.
// Admission is based on what the largest recent requests need, so that small ones don't keep the bucket too empty for
// large ones.
func (o *Owner) Take(name string, l Limit, request Request, now time.Duration) Grant {
	if !(request.Need >= 0 && request.Need <= l.Capacity) { // negative, not a number, or more than the bucket can ever hold
		return Grant{RetryAfter: maxRetryWait}
	}
	b := o.bucket(name, l, now)
	b.largest = max(min(request.Need, l.Capacity/2), b.largest)
	if required := l.admissionLevel(max(request.Need, b.largest)); b.level < required {
		return Grant{RetryAfter: l.timeToGain(required - b.level)}
	}
	ahead := max(0, min(request.Want-request.Need, (b.level-request.Need)*aheadShare))
	amount := request.Need + ahead
	b.level -= amount
	spare := min(sparePerGrant*amount, b.spare)
	b.spare -= spare
	grant := Grant{Amount: amount, Spare: spare, Valid: l.Validity}
	if b.level < 0 {
		grant.Delay = seconds(-b.level / l.Rate)
	}
	return grant
}

// admissionLevel returns the level that a bucket needs for requests of a size to be admitted.
func (l *Limit) admissionLevel(size float64) float64 {
	return max(size-l.Rate*MaxDelay.Seconds(), -l.Rate*maxQueueDelay.Seconds())
}

// timeToGain returns how long a bucket takes to gain an amount, bounded.
func (l *Limit) timeToGain(missing float64) time.Duration {
	if l.Rate <= 0 || missing/l.Rate >= maxRetryWait.Seconds() {
		return maxRetryWait
	}
	return max(seconds(missing/l.Rate), minRetryWait)
}

// bucket returns the bucket of a limit, filled up to now.
func (o *Owner) bucket(name string, l Limit, now time.Duration) *bucket {
	b := o.buckets[name]
	if b == nil {
		o.sweep()
		b = &bucket{at: o.since}
		if o.started {
			b.level += l.Start
		}
		o.buckets[name] = b
	}
	passed := max(0, (now - b.at).Seconds())
	b.level = min(b.level+l.Rate*passed, l.Capacity)
	b.spare = min(b.spare+l.SpareRate*passed, l.SpareCapacity)
	b.largest = min(b.largest*math.Exp(-passed/costDecay.Seconds()), l.Capacity/2)
	b.at, b.limit = max(b.at, now), l
	return b
}

// sweep removes full buckets once there are many: one that is created anew is filled to the same level.
func (o *Owner) sweep() {
	if len(o.buckets) < o.sweepAt {
		return
	}
	for name, b := range o.buckets {
		if b.level >= b.limit.Capacity {
			delete(o.buckets, name)
		}
	}
	o.sweepAt = max(minSweepSize, 2*len(o.buckets))
}
