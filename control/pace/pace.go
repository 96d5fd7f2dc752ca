// Package pace finds the hosts that stream much more slowly than others of their service, from what all routers saw. One
// router alone sends a host a request each half minute in a large fleet, and learns of a slow one too late. Free of I/O;
// time is handed in.
package pace

import (
	"math"
	"slices"
	"time"

	"ivybank/wire"
)

const (
	// gain is the weight of a new sample in what a host takes.
	gain = 0.15
	// fadeAfter is how long what is known of a host holds from which nothing comes; then it is forgotten.
	fadeAfter = 1500 * time.Millisecond
	// leastSamples is how often a host has to be heard of before anything is said of it.
	leastSamples = 4
	// leastHosts is how many hosts of a service have to be known to be compared.
	leastHosts = 4
	// leastRatio is how many times as slow as the median a host has to be, to be told of.
	leastRatio = 1.5
	// shortestGap bounds what can be told apart.
	shortestGap = 100 * time.Microsecond
)

// host is the mean logarithm of the time between a host's events, in seconds.
type host struct {
	service string
	log     float64
	samples int
	at      time.Duration
}

// Table compares the hosts of one shard's services. It is not safe for concurrent use.
type Table struct{ hosts map[string]*host }

// NewTable makes a table that knows nothing.
func NewTable() *Table { return &Table{hosts: map[string]*host{}} }

// Observe takes the time between events of a host's streams, as one router saw it.
func (t *Table) Observe(service, id string, gap, now time.Duration) {
	h := t.hosts[id]
	if h == nil {
		h = &host{service: service}
		t.hosts[id] = h
	}
	h.samples++
	h.log += max(gain, 1/float64(h.samples)) * (math.Log(max(gap, shortestGap).Seconds()) - h.log)
	h.at = now
}

// Slow gives the hosts that are much slower than the median of their service, and forgets those from which nothing comes.
func (t *Table) Slow(now time.Duration) []wire.SlowHost {
	logs := map[string][]float64{}
	for id, h := range t.hosts {
		if now > h.at+fadeAfter {
			delete(t.hosts, id)
			continue
		}
		if h.samples >= leastSamples {
			logs[h.service] = append(logs[h.service], h.log)
		}
	}
	for _, all := range logs {
		slices.Sort(all)
	}
	var slow []wire.SlowHost
	for id, h := range t.hosts {
		all := logs[h.service]
		if len(all) < leastHosts || h.samples < leastSamples {
			continue
		}
		if ratio := math.Exp(h.log - all[len(all)/2]); ratio >= leastRatio {
			slow = append(slow, wire.SlowHost{ID: id, Ratio: ratio})
		}
	}
	return slow
}
