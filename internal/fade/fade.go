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
