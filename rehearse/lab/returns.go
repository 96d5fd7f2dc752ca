package lab

// This file holds the measurement of a mass restart: how long until service is full again, for the fleet and for each
// proxy, and the peak load at discovery and at servers. It uses what the clients and the emulated servers saw, and must
// never use what a proxy reports.

import "math"

const (
	quarterNs           = int64(250e6) // ns; the interval over which service is summed
	fullServiceFraction = 0.95         // service is full at this fraction of the mean service before the kill
	fullServiceQuarters = 12           // quarters of a second over which it has to hold on average
	baselineQuarters    = 40           // quarters of a second before the kill over which the mean is taken
	peakWindowNs        = int64(1e9)   // ns; the window in which peaks are counted
)

// Return holds the figures of a mass restart.
type Return struct {
	Before float64   // service in the 10 s before the first kill
	After  float64   // service in the 10 s from the kill, of the requests to proxies that listened
	Full   float64   // seconds from the kill to the first 3 s with 0.95 of the service before; -1: never
	Each   []float64 // Full by proxy; without those that had no requests before or just after the kill
	// Peak number per second after the kill, and the peak between the warm-up and the first fault.
	Discovery, DiscoveryCalm float64 // requests for the server list
	Conns, ConnsCalm         float64 // new connections at one server
}

// serviceSeries holds, for each quarter of a second, the value answered in time and the value requested.
type serviceSeries [][2]float64

func (w *serviceSeries) add(at int64, good, all float64) {
	q := int(at / quarterNs)
	for len(*w) <= q {
		*w = append(*w, [2]float64{})
	}
	(*w)[q][0] += good
	(*w)[q][1] += all
}

// mean returns the service in the quarters from one up to, but without, another; 1 if nothing was requested.
func (w serviceSeries) mean(from, to int) float64 {
	good, all := 0.0, 0.0
	for _, x := range w[max(0, min(from, len(w))):max(0, min(to, len(w)))] {
		good, all = good+x[0], all+x[1]
	}
	if all == 0 {
		return 1
	}
	return good / all
}

// asked returns the value requested between two quarters.
func (w serviceSeries) asked(from, to int) (all float64) {
	for _, x := range w[max(0, min(from, len(w))):max(0, min(to, len(w)))] {
		all += x[1]
	}
	return all
}

// full returns how many seconds after a quarter service is full again; -1: never.
func (w serviceSeries) full(from int) float64 {
	before := w.mean(from-baselineQuarters, from)
	for q := from; q+fullServiceQuarters <= len(w); q++ {
		if w.mean(q, q+fullServiceQuarters) >= fullServiceFraction*before {
			return float64(int64(q-from)*quarterNs) / 1e9
		}
	}
	return -1
}

// firstKill returns when the first proxies are killed; false if none are.
func (e *Experiment) firstKill() (at int64, ok bool) {
	at = math.MaxInt64
	for _, x := range e.Faults {
		if x.Kind == "proxy_kill" {
			at = min(at, int64(x.At))
		}
	}
	return at, at < math.MaxInt64
}

// firstFault returns the time of the first fault, or the length of the run if there is none.
func (e *Experiment) firstFault() int64 {
	at := int64(e.Length)
	for _, x := range e.Faults {
		at = min(at, int64(x.At))
	}
	return at
}

// restartFigures returns the figures of a mass restart, for the fleet and for each proxy; nil if no proxy is killed.
func (m *measure) restartFigures() *Return {
	at, ok := m.e.firstKill()
	if !ok {
		return nil
	}
	from := int(at / quarterNs)
	r := &Return{Before: m.quarters.mean(from-baselineQuarters, from), After: m.quarters.mean(from, from+baselineQuarters), Full: m.quarters.full(from)}
	for _, w := range m.byBalancer {
		if w.asked(from-baselineQuarters, from) > 0 && w.asked(from, from+fullServiceQuarters) > 0 {
			r.Each = append(r.Each, w.full(from))
		}
	}
	return r
}

// arrivals holds the times of events by place, such as a server's ID.
type arrivals map[string][]int64

// peak returns the highest number of events within a second at any one place, between two times.
func (a arrivals) peak(from, to int64) float64 {
	most := 0
	for _, times := range a {
		first := 0
		for i, at := range times {
			if at < from || at >= to {
				first = i + 1
				continue
			}
			for times[first] <= at-peakWindowNs {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return float64(most)
}

// peaks fills in the peak load at discovery and at servers.
func (r *Return) peaks(e *Experiment, m observations, begun int64) {
	if r == nil {
		return
	}
	at, _ := e.firstKill()
	warm, calm, end := begun+int64(e.Warm), begun+e.firstFault(), begun+int64(e.Length)
	r.Discovery, r.DiscoveryCalm = m.calls.peak(begun+at, end), m.calls.peak(warm, calm)
	r.Conns, r.ConnsCalm = m.conns.peak(begun+at, end), m.conns.peak(warm, calm)
}
