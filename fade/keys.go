package fade

import (
	"math"

	"ivybank/draw"
)

// Keys counts what comes with each key, in a table of fixed size: keys that share a place count together.
type Keys struct {
	at  [1024]Count
	all Count
}

// Add counts one more of a key and gives the part of all that it surely has: two standard deviations under its count.
func (k *Keys) Add(key string, now, span int64) float64 {
	c := &k.at[int(draw.Hash(key, "")*float64(len(k.at)))]
	c.Add(now, span)
	k.all.Add(now, span)
	return max(0, c.N-2*math.Sqrt(c.N)) / k.all.N
}

// Mean is the mean of the latest values.
type Mean struct{ V, n float64 }

// Add takes one more: in the long run each counts a hundredth.
func (m *Mean) Add(x float64) {
	m.n = min(m.n+1, 100)
	m.V += (x - m.V) / m.n
}

// Toward moves a measured value a tenth towards the newest one. Where nothing was known that is all there is.
func Toward(old, newest float64, known bool) float64 {
	if !known {
		return newest
	}
	return 0.9*old + 0.1*newest
}
