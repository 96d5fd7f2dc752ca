// Package decay implements exponentially decaying counters and averages.
package decay

import "math"

// Counter is a counter with exponential decay: what was added one span ago counts 1/e, about a third. It is brought up to
// date when it is read.
type Counter struct {
	Value float64
	At    int64 // time at which Value holds, in the unit of the spans
}

// Now returns the count at a time.
func (c *Counter) Now(now, span int64) float64 {
	c.Value *= math.Exp(-float64(now-c.At) / float64(span))
	c.At = now
	return c.Value
}

// Add adds one.
func (c *Counter) Add(now, span int64) { c.AddAmount(1, now, span) }

// AddAmount adds an amount, which may be negative.
func (c *Counter) AddAmount(x float64, now, span int64) { c.Value = c.Now(now, span) + x }

// Outcomes counts tries and successes, both with exponential decay.
type Outcomes struct{ tried, done Counter }

// Add counts one try.
func (o *Outcomes) Add(done bool, now, span int64) {
	if o.tried.Add(now, span); done {
		o.done.Add(now, span)
	}
}

// Now returns both counts at a time.
func (o *Outcomes) Now(now, span int64) (tried, done float64) {
	return o.tried.Now(now, span), o.done.Now(now, span)
}
