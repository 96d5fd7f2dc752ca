// Package expiring keeps amounts that may be used until some moment each. Time is handed in.
package expiring

import "time"

// lot is an amount that may be used until some moment.
type lot struct {
	amount float64
	until  time.Duration
}

// Amounts are kept in order, those that end first at the front.
type Amounts []lot

// Add puts an amount in, by the moment at which it ends. Amounts that end within grain of each other become one, which
// ends with the first of them.
func (s *Amounts) Add(amount float64, until, grain time.Duration) {
	if amount <= 0 {
		return
	}
	i := len(*s)
	for i > 0 && (*s)[i-1].until > until {
		i--
	}
	if i > 0 && (*s)[i-1].until > until-grain {
		(*s)[i-1].amount += amount
		return
	}
	*s = append(*s, lot{})
	copy((*s)[i+1:], (*s)[i:])
	(*s)[i] = lot{amount, until}
}

// Expire drops what may no longer be used.
func (s *Amounts) Expire(now time.Duration) {
	i := 0
	for i < len(*s) && (*s)[i].until <= now {
		i++
	}
	*s = (*s)[i:]
}

// Take removes an amount, where there is as much, and gives the moment at which the first part of it ends.
func (s *Amounts) Take(amount float64) (until time.Duration, ok bool) {
	if len(*s) == 0 || s.Sum() < amount {
		return 0, false
	}
	until = (*s)[0].until
	for len(*s) > 0 && (*s)[0].amount <= amount {
		amount -= (*s)[0].amount
		*s = (*s)[1:]
	}
	if len(*s) > 0 {
		(*s)[0].amount -= amount
	}
	return until, true
}

// TakeAll removes all that there is, and gives the moment at which the first part of it ends.
func (s *Amounts) TakeAll() (amount float64, until time.Duration) {
	if len(*s) == 0 {
		return 0, 0
	}
	amount, until = s.Sum(), (*s)[0].until
	*s = (*s)[:0]
	return amount, until
}

// Sum is all that there is.
func (s *Amounts) Sum() float64 {
	sum := 0.0
	for _, l := range *s {
		sum += l.amount
	}
	return sum
}
