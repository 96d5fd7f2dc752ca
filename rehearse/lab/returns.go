package lab

// This file owns what is measured of a fleet that comes back: how long until service is full, for the fleet and for each proxy, and the
// most that came at once at discovery and at servers. Its evidence is the clients' and the stand-ins'. It must never ask a proxy.

import "math"

const (
	quarter   = int64(250e6)
	fullPart  = 0.95 // of the service of the seconds before
	fullFor   = 12   // quarters of a second in which it has to be so much
	beforeFor = 40   // and over which that before is taken
	peakSpan  = int64(1e9)
)

// Return is what became of a mass restart.
type Return struct {
	Before float64   // service in the 10 s before the first kill
	After  float64   // and in the 10 s from it, of what was asked where a proxy listened
	Full   float64   // seconds from the kill to the first of 3 s at 0.95 of the service before; -1: never
	Each   []float64 // the same by proxy, by its own service; those that had too little asked are left out
	// The most that came in a second, and the same of calm, before anything befell anybody.
	Discovery, DiscoveryCalm float64 // calls for the list
	Conns, ConnsCalm         float64 // new connections at one server
}

// worth is what was answered in time and what was asked for, by quarters of a second.
type worth [][2]float64

func (w *worth) add(at int64, good, all float64) {
	q := int(at / quarter)
	for len(*w) <= q {
		*w = append(*w, [2]float64{})
	}
	(*w)[q][0] += good
	(*w)[q][1] += all
}

// mean is the service from one quarter to before another; 1 where nothing was asked.
func (w worth) mean(from, to int) float64 {
	good, all := 0.0, 0.0
	for _, x := range w[max(0, min(from, len(w))):max(0, min(to, len(w)))] {
		good, all = good+x[0], all+x[1]
	}
	if all == 0 {
		return 1
	}
	return good / all
}

// asked is how much was asked for between two quarters.
func (w worth) asked(from, to int) (all float64) {
	for _, x := range w[max(0, min(from, len(w))):max(0, min(to, len(w)))] {
		all += x[1]
	}
	return all
}

// full is how many seconds after a quarter service is full; -1: never.
func (w worth) full(from int) float64 {
	before := w.mean(from-beforeFor, from)
	for q := from; q+fullFor <= len(w); q++ {
		if w.mean(q, q+fullFor) >= fullPart*before {
			return float64(int64(q-from)*quarter) / 1e9
		}
	}
	return -1
}

// killed is when the first proxies are killed; false where none are.
func (e *Experiment) killed() (at int64, ok bool) {
	at = math.MaxInt64
	for _, x := range e.Faults {
		if x.Kind == "proxy_kill" {
			at = min(at, int64(x.At))
		}
	}
	return at, at < math.MaxInt64
}

// calm is until when nothing befalls anybody.
func (e *Experiment) calm() int64 {
	at := int64(e.Length)
	for _, x := range e.Faults {
		at = min(at, int64(x.At))
	}
	return at
}

// returned works out what became of a mass restart, by the whole service and by that of each proxy.
func (m *measure) returned() *Return {
	at, ok := m.e.killed()
	if !ok {
		return nil
	}
	from := int(at / quarter)
	r := &Return{Before: m.quarters.mean(from-beforeFor, from), After: m.quarters.mean(from, from+beforeFor), Full: m.quarters.full(from)}
	for _, w := range m.seats {
		if w.asked(from-beforeFor, from) > 0 && w.asked(from, from+fullFor) > 0 {
			r.Each = append(r.Each, w.full(from))
		}
	}
	return r
}

// arrivals are times at which something came, by where.
type arrivals map[string][]int64

// peak is the most in a second between two times, at any place.
func (a arrivals) peak(from, to int64) float64 {
	most := 0
	for _, times := range a {
		first := 0
		for i, at := range times {
			if at < from || at >= to {
				first = i + 1
				continue
			}
			for times[first] <= at-peakSpan {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return float64(most)
}

// peaks fills in the most that came at once.
func (r *Return) peaks(e *Experiment, m met, begun int64) {
	if r == nil {
		return
	}
	at, _ := e.killed()
	warm, calm, end := begun+int64(e.Warm), begun+e.calm(), begun+int64(e.Length)
	r.Discovery, r.DiscoveryCalm = m.calls.peak(begun+at, end), m.calls.peak(warm, calm)
	r.Conns, r.ConnsCalm = m.conns.peak(begun+at, end), m.conns.peak(warm, calm)
}
