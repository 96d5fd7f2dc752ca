package decay

import (
	"math"

	"ivybank/internal/rng"
)

// KeyCounts counts events by key in a hash table of fixed size; keys with the same table index are counted together.
type KeyCounts struct {
	counts [1024]Counter
	all    Counter
}

// Add counts one event of a key. It returns a lower estimate of the key's fraction of all events: two standard
// deviations below its count.
func (k *KeyCounts) Add(key string, now, span int64) float64 {
	c := &k.counts[int(rng.Hash(key, "")*float64(len(k.counts)))]
	c.Add(now, span)
	k.all.Add(now, span)
	return max(0, c.Value-2*math.Sqrt(c.Value)) / k.all.Value
}

// KeyCount is one entry of the table, as it is stored and passed on.
type KeyCount struct {
	_     struct{} `cbor:",toarray"`
	Index int      `json:"Place"` // table index
	N     float64
}

// Entries returns the entries with a count of at least one.
func (k *KeyCounts) Entries(now, span int64) (all []KeyCount) {
	for i := range k.counts {
		if n := k.counts[i].Now(now, span); n >= 1 {
			all = append(all, KeyCount{Index: i, N: n})
		}
	}
	return all
}

// Restore adds exported entries to the table. Entries that are out of range are ignored.
func (k *KeyCounts) Restore(parts []KeyCount, now int64) {
	for _, p := range parts {
		if p.Index >= 0 && p.Index < len(k.counts) && p.N > 0 && p.N < 1e9 {
			k.counts[p.Index] = Counter{Value: k.counts[p.Index].Value + p.N, At: max(now, k.counts[p.Index].At)}
			k.all = Counter{Value: k.all.Value + p.N, At: max(now, k.all.At)}
		}
	}
}

// Mean is a running mean of recent values.
type Mean struct{ Value, n float64 }

// Add adds a value: it is the plain mean of up to 100 values, after which each new one weighs a hundredth.
func (m *Mean) Add(x float64) {
	m.n = min(m.n+1, 100)
	m.Value += (x - m.Value) / m.n
}

// Smooth is an exponential moving average: it moves a value a tenth of the way to the newest one, or replaces it if
// it was not known.
func Smooth(old, newest float64, known bool) float64 {
	if !known {
		return newest
	}
	return 0.9*old + 0.1*newest
}
