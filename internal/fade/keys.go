package fade

import (
	"math"

	"ivybank/internal/draw"
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

// Part is one place of a table of keys, as it is handed on.
type Part struct {
	_     struct{} `cbor:",toarray"`
	Place int
	N     float64
}

// Parts gives the places that count.
func (k *Keys) Parts(now, span int64) (all []Part) {
	for i := range k.at {
		if n := k.at[i].Now(now, span); n >= 1 {
			all = append(all, Part{Place: i, N: n})
		}
	}
	return all
}

// Recall counts parts that were handed on, on top of what is there. Those of another form are left out.
func (k *Keys) Recall(parts []Part, now int64) {
	for _, p := range parts {
		if p.Place >= 0 && p.Place < len(k.at) && p.N > 0 && p.N < 1e9 {
			k.at[p.Place] = Count{N: k.at[p.Place].N + p.N, At: max(now, k.at[p.Place].At)}
			k.all = Count{N: k.all.N + p.N, At: max(now, k.all.At)}
		}
	}
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
