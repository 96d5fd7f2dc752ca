// Package fade has a count that forgets.
package fade

import "math"

// Count fades: what was added a span ago counts a third. It is brought up to date when looked at.
type Count struct {
	N  float64
	At int64
}

// Now gives the count at a clock time.
func (c *Count) Now(now, span int64) float64 {
	c.N *= math.Exp(-float64(now-c.At) / float64(span))
	c.At = now
	return c.N
}

// Add counts one more.
func (c *Count) Add(now, span int64) { c.Put(1, now, span) }

// Put counts an amount more, or less where it is below 0.
func (c *Count) Put(x float64, now, span int64) { c.N = c.Now(now, span) + x }

// Odds counts what was tried and what of it was done, and forgets both.
type Odds struct{ tried, done Count }

// Add counts one more.
func (o *Odds) Add(done bool, now, span int64) {
	if o.tried.Add(now, span); done {
		o.done.Add(now, span)
	}
}

// Now gives both counts at a clock time.
func (o *Odds) Now(now, span int64) (tried, done float64) {
	return o.tried.Now(now, span), o.done.Now(now, span)
}
