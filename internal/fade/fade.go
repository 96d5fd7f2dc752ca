// Package fade implements exponentially decaying counters and averages.
package fade

import "math"

// Count is a counter with exponential decay: what was added one span ago counts 1/e, about a third. It is brought up to
// date when it is read.
type Count struct {
	N  float64
	At int64 // time at which N holds, in the unit of the spans
}

// Now returns the count at a time.
func (c *Count) Now(now, span int64) float64 {
	c.N *= math.Exp(-float64(now-c.At) / float64(span))
	c.At = now
	return c.N
}

// Add adds one.
func (c *Count) Add(now, span int64) { c.Put(1, now, span) }

// Put adds an amount, which may be negative.
func (c *Count) Put(x float64, now, span int64) { c.N = c.Now(now, span) + x }

// Odds counts tries and successes, both with exponential decay.
type Odds struct{ tried, done Count }

// Add counts one try.
func (o *Odds) Add(done bool, now, span int64) {
	if o.tried.Add(now, span); done {
		o.done.Add(now, span)
	}
}

// Now returns both counts at a time.
func (o *Odds) Now(now, span int64) (tried, done float64) {
	return o.tried.Now(now, span), o.done.Now(now, span)
}
