// Package slowhost finds hosts that stream much more slowly than others of their service, from what all routers
// observe. In a large fleet a single router sends a host one request every half minute, so on its own it detects a
// slow host too late. The package does no I/O; time is passed in.
package slowhost

import (
	"math"
	"slices"
	"time"

	"ivybank/wire"
)

const (
	// minSampleWeight is the weight of a new sample in a host's average once there are many samples.
	minSampleWeight = 0.15
	// hostTTL is how long a host without new samples is remembered.
	hostTTL = 1500 * time.Millisecond
	// minSamples is the number of samples that a host needs before it is judged.
	minSamples = 4
	// minHosts is the number of hosts of a service that have to be known for a comparison.
	minHosts = 4
	// minRatio is how many times as slow as the median a host has to be to be reported.
	minRatio = 1.5
	// minGap is the shortest interval between events that is distinguished.
	minGap = 100 * time.Microsecond
)

// host holds the average logarithm of the interval between a host's events, in seconds.
type host struct {
	service  string
	meanLog  float64
	samples  int
	lastSeen time.Duration
}

// Detector compares the hosts of one shard's services. It is not safe for concurrent use.
type Detector struct{ hosts map[string]*host }

// NewDetector returns a detector without samples.
func NewDetector() *Detector { return &Detector{hosts: map[string]*host{}} }

// Observe adds a sample: the interval between events of a host's streams, as one router observed it.
func (t *Detector) Observe(service, id string, gap, now time.Duration) {
	h := t.hosts[id]
	if h == nil {
		h = &host{service: service}
		t.hosts[id] = h
	}
	h.samples++
	h.meanLog += max(minSampleWeight, 1/float64(h.samples)) * (math.Log(max(gap, minGap).Seconds()) - h.meanLog)
	h.lastSeen = now
}

// Slow returns the hosts that are much slower than the median of their service, and removes those without recent
// samples.
func (t *Detector) Slow(now time.Duration) []wire.SlowHost {
	logs := map[string][]float64{}
	for id, h := range t.hosts {
		if now > h.lastSeen+hostTTL {
			delete(t.hosts, id)
			continue
		}
		if h.samples >= minSamples {
			logs[h.service] = append(logs[h.service], h.meanLog)
		}
	}
	for _, all := range logs {
		slices.Sort(all)
	}
	var slow []wire.SlowHost
	for id, h := range t.hosts {
		all := logs[h.service]
		if len(all) < minHosts || h.samples < minSamples {
			continue
		}
		if ratio := math.Exp(h.meanLog - all[len(all)/2]); ratio >= minRatio {
			slow = append(slow, wire.SlowHost{ID: id, Ratio: ratio})
		}
	}
	return slow
}
