package fade

import (
	"math"

	"ivybank/internal/draw"
)

// Keys counts events by key in a hash table of fixed size; keys with the same table index are counted together.
type Keys struct {
	counts [1024]Count
	all    Count
}

// Add counts one event of a key. It returns a lower estimate of the key's fraction of all events: two standard
// deviations below its count.
func (k *Keys) Add(key string, now, span int64) float64 {
	c := &k.counts[int(draw.Hash(key, "")*float64(len(k.counts)))]
	c.Add(now, span)
	k.all.Add(now, span)
	return max(0, c.N-2*math.Sqrt(c.N)) / k.all.N
}

// Part is one entry of the table, as it is stored and passed on.
type Part struct {
	_     struct{} `cbor:",toarray"`
	Place int      // table index
	N     float64
}

// Parts returns the entries with a count of at least one.
func (k *Keys) Parts(now, span int64) (all []Part) {
	for i := range k.counts {
		if n := k.counts[i].Now(now, span); n >= 1 {
			all = append(all, Part{Place: i, N: n})
		}
	}
	return all
}

// Recall adds exported entries to the table. Entries that are out of range are ignored.
func (k *Keys) Recall(parts []Part, now int64) {
	for _, p := range parts {
		if p.Place >= 0 && p.Place < len(k.counts) && p.N > 0 && p.N < 1e9 {
			k.counts[p.Place] = Count{N: k.counts[p.Place].N + p.N, At: max(now, k.counts[p.Place].At)}
			k.all = Count{N: k.all.N + p.N, At: max(now, k.all.At)}
		}
	}
}

// Mean is a running mean of recent values.
type Mean struct{ V, n float64 }

// Add adds a value: it is the plain mean of up to 100 values, after which each new one weighs a hundredth.
func (m *Mean) Add(x float64) {
	m.n = min(m.n+1, 100)
	m.V += (x - m.V) / m.n
}

// Toward is an exponential moving average: it moves a value a tenth of the way to the newest one, or replaces it if it was
// not known.
func Toward(old, newest float64, known bool) float64 {
	if !known {
		return newest
	}
	return 0.9*old + 0.1*newest
}
