// Package quota keeps tenants' limits for a whole fleet. The owner of a shard has one token bucket for each limit, and
// routers draw from it as they need. Free of I/O; time is handed in.
package quota

import (
	"math"
	"time"
)

const (
	// aheadPart of what a bucket holds beyond a request may be drawn ahead of need at once.
	aheadPart = 0.25
	// LongestDelay is how long a request may have to wait until the bucket has filled for it, and longestQueue how much of
	// that may be for others before it. Between the last grant of one owner and the first of the next at least as long passes.
	LongestDelay = 100 * time.Millisecond
	longestQueue = 50 * time.Millisecond
	shortestWait = 20 * time.Millisecond
	longestWait  = 2 * time.Second
	// costMemory is the time in which a bucket forgets how large its requests were.
	costMemory = 10 * time.Second
	// leastSweep is the number of buckets from which on full ones are forgotten.
	leastSweep = 1024
)

// Ask is what a router asks of a limit, in the limit's unit.
type Ask struct {
	Need float64 // for the request at hand
	Want float64 // with what soon follows
}

// Grant is the owner's answer.
type Grant struct {
	Amount float64       // 0, or at least what was needed
	Spare  float64       // what the router may use on top, while no owner answers it
	Delay  time.Duration // before which the amount may not be used, from when the answer is made
	Valid  time.Duration // for which it may be used then, counted from the question and the delay
	Empty  time.Duration // until the bucket holds enough for a request like this one, where nothing was granted
}

type bucket struct {
	limit   Limit   // by which it was filled last
	level   float64 // below 0 by what is granted for later
	spare   float64 // likewise, of what routers may use while no owner answers
	at      time.Duration
	largest float64 // request of late
}

// Owner keeps the buckets of one shard's limits.
type Owner struct {
	buckets map[string]*bucket
	since   time.Duration
	started bool // buckets have got their start amount
	sweepAt int  // number of buckets
}

// NewOwner makes an owner that has just taken over. Its buckets are empty, as what the one before it gave out is not
// known: so any number of owners in a row grant no more than one would, but for the start amounts.
func NewOwner(now time.Duration) *Owner {
	return &Owner{buckets: map[string]*bucket{}, since: now, sweepAt: leastSweep}
}

// AddStart puts the start amount of each limit in. To be called once at most, for an owner that follows one long in office.
func (o *Owner) AddStart(now time.Duration) {
	o.started = true
	for name, b := range o.buckets {
		o.bucket(name, b.limit, now)
		b.level = min(b.level+b.limit.Start, b.limit.Capacity)
	}
}

// Take draws from a bucket: all that is needed, and up to what is wanted where there is plenty; or nothing. What the
// bucket doesn't hold yet is granted with a delay, so that what is used by any moment has been filled by then. Requests are
// let in by what the largest ones of late need, so that small ones don't keep the bucket too empty for them.
func (o *Owner) Take(name string, l Limit, ask Ask, now time.Duration) Grant {
	if !(ask.Need >= 0 && ask.Need <= l.Capacity) { // not a number, or more than there ever is
		return Grant{Empty: longestWait}
	}
	b := o.bucket(name, l, now)
	b.largest = max(min(ask.Need, l.Capacity/2), b.largest)
	if enough := l.enough(max(ask.Need, b.largest)); b.level < enough {
		return Grant{Empty: l.wait(enough - b.level)}
	}
	ahead := max(0, min(ask.Want-ask.Need, (b.level-ask.Need)*aheadPart))
	amount := ask.Need + ahead
	b.level -= amount
	spare := min(sparePart*amount, b.spare)
	b.spare -= spare
	grant := Grant{Amount: amount, Spare: spare, Valid: l.Validity}
	if b.level < 0 {
		grant.Delay = seconds(-b.level / l.Rate)
	}
	return grant
}

// enough is how full a bucket has to be for requests of a size to be let in.
func (l *Limit) enough(size float64) float64 {
	return max(size-l.Rate*LongestDelay.Seconds(), -l.Rate*longestQueue.Seconds())
}

// wait is how long a bucket takes to gain an amount.
func (l *Limit) wait(missing float64) time.Duration {
	if l.Rate <= 0 || missing/l.Rate >= longestWait.Seconds() {
		return longestWait
	}
	return max(seconds(missing/l.Rate), shortestWait)
}

// bucket gives the bucket of a limit, filled up to now.
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
	b.largest = min(b.largest*math.Exp(-passed/costMemory.Seconds()), l.Capacity/2)
	b.at, b.limit = max(b.at, now), l
	return b
}

// sweep forgets full buckets where there are many: one that is made anew is filled as far.
func (o *Owner) sweep() {
	if len(o.buckets) < o.sweepAt {
		return
	}
	for name, b := range o.buckets {
		if b.level >= b.limit.Capacity {
			delete(o.buckets, name)
		}
	}
	o.sweepAt = max(leastSweep, 2*len(o.buckets))
}
