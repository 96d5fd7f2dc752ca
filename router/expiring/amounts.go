// Package expiring keeps amounts that may each be used until a given time. The caller passes the current time in.
package expiring

import "time"

// lot is an amount and the time until which it may be used.
type lot struct {
	amount float64
	until  time.Duration
}

// Amounts is a list of lots in the order in which they expire.
type Amounts []lot

// Add adds an amount that expires at until. Amounts that expire within resolution of each other are merged and expire
// with the first of them.
func (a *Amounts) Add(amount float64, until, resolution time.Duration) {
	if amount <= 0 {
		return
	}
	i := len(*a)
	for i > 0 && (*a)[i-1].until > until {
		i--
	}
	if i > 0 && (*a)[i-1].until > until-resolution {
		(*a)[i-1].amount += amount
		return
	}
	*a = append(*a, lot{})
	copy((*a)[i+1:], (*a)[i:])
	(*a)[i] = lot{amount, until}
}

// Expire removes the lots that have expired.
func (a *Amounts) Expire(now time.Duration) {
	i := 0
	for i < len(*a) && (*a)[i].until <= now {
		i++
	}
	*a = (*a)[i:]
}

// Take removes an amount if there is enough, and returns the time at which its first part expires.
func (a *Amounts) Take(amount float64) (until time.Duration, ok bool) {
	if len(*a) == 0 || a.Sum() < amount {
		return 0, false
	}
	until = (*a)[0].until
	for len(*a) > 0 && (*a)[0].amount <= amount {
		amount -= (*a)[0].amount
		*a = (*a)[1:]
	}
	if len(*a) > 0 {
		(*a)[0].amount -= amount
	}
	return until, true
}

// TakeAll removes everything, and returns the time at which its first part expires.
func (a *Amounts) TakeAll() (amount float64, until time.Duration) {
	if len(*a) == 0 {
		return 0, 0
	}
	amount, until = a.Sum(), (*a)[0].until
	*a = (*a)[:0]
	return amount, until
}

// Sum returns the total amount.
func (a *Amounts) Sum() float64 {
	sum := 0.0
	for _, entry := range *a {
		sum += entry.amount
	}
	return sum
}
