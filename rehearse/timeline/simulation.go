package timeline

// This file holds the simulated network and time: datagrams that are lost, duplicated, delayed and corrupted, links
// that are cut, processes that are killed and stopped, and clocks that are wrong. All randomness comes from one seed. A
// datagram never arrives over a link that is cut.

import (
	"slices"

	"ivybank/internal/rng"
)

const (
	ms            = int64(1e6)
	tickMillis    = 20  // ms between a node's ticks
	maxLatenessNs = 5e9 // bound of the extra delay of a late datagram
	queueCapacity = 64  // number of datagrams that are queued at a stopped node; further ones are lost
)

// Simulation is the environment of a run. Times are in nanoseconds since its start.
type Simulation struct {
	Names       []string
	Now         int64
	cluster     Cluster
	nodes       []node
	inFlight    []datagram // sorted by arrival; removed when they arrive
	brokenLinks map[[2]int]bool
	probability map[string]float64 // by verb: loss, double, garble, late
	maxDelay    int64              // bound of the random delay of a datagram that isn't late
	random      rng.Source
}

type node struct {
	Node                         // nil: the process is dead
	incarnation                  uint64
	stopped                      bool
	datagramsUntilStop           int // 0: no stop is due
	restartInterval, restartedAt int64
	clockOffset, clockRatePPM    int64
	queued                       []datagram // received while stopped; delivered when it wakes
}

type datagram struct {
	at       int64
	from, to int
	body     []byte
}

func newSimulation(names []string, seed uint64) *Simulation {
	return &Simulation{Names: names, nodes: make([]node, len(names)), brokenLinks: map[[2]int]bool{},
		probability: map[string]float64{}, maxDelay: 2 * ms, random: rng.Source{Seed: seed}}
}

// LocalTime gives the time of a node's own clock, in nanoseconds.
func (s *Simulation) LocalTime(node int) int64 {
	n := &s.nodes[node]
	return 1e9 + s.Now + s.Now*n.clockRatePPM/1e6 + n.clockOffset
}

// Node gives the process of a node; nil if it is dead.
func (s *Simulation) Node(node int) Node { return s.nodes[node].Node }

// Stopped says whether a node's process is stopped.
func (s *Simulation) Stopped(node int) bool { return s.nodes[node].stopped }

// Start starts a new process of a node.
func (s *Simulation) Start(node int) {
	n := &s.nodes[node]
	n.incarnation = max(n.incarnation+1, uint64(s.Now/ms+1))
	n.stopped, n.queued, n.datagramsUntilStop = false, nil, 0
	n.Node = s.cluster.Start(node, n.incarnation, s.LocalTime(node))
}

// Inject applies one of the package's own verbs to a node (-1: all).
func (s *Simulation) Inject(node int, verb string, args ...string) error {
	_, err := s.inject(node, verb, args)
	return err
}

// Run advances the simulation to the time until, and stops early with the cluster's error if an invariant is violated.
func (s *Simulation) Run(until int64) error {
	for ; s.Now < until; s.Now += ms {
		for i := range s.nodes {
			if n := &s.nodes[i]; n.restartInterval > 0 && s.Now-n.restartedAt >= n.restartInterval {
				n.restartedAt = s.Now
				s.Start(i)
			}
		}
		due := 0
		for due < len(s.inFlight) && s.inFlight[due].at <= s.Now {
			due++
		}
		arriving := slices.Clone(s.inFlight[:due])
		s.inFlight = slices.Delete(s.inFlight, 0, due)
		for _, f := range arriving {
			s.deliver(f)
		}
		for i := range s.nodes {
			if n := &s.nodes[i]; n.Node != nil && !n.stopped && (s.Now/ms+int64(i*7))%tickMillis == 0 {
				n.Tick(s.LocalTime(i))
				s.sendAll(i)
			}
		}
		if err := s.cluster.Step(); err != nil {
			return err
		}
	}
	return nil
}

// deliver hands a datagram to its receiver, or queues it if that is stopped.
func (s *Simulation) deliver(f datagram) {
	n := &s.nodes[f.to]
	switch {
	case n.Node == nil || s.brokenLinks[[2]int{f.from, f.to}]:
	case n.stopped:
		if len(n.queued) < queueCapacity {
			n.queued = append(n.queued, f)
		}
	default:
		n.Receive(f.from, f.body, s.LocalTime(f.to))
		s.countDatagram(n)
		s.sendAll(f.to)
	}
}

// countDatagram counts a datagram received or sent, and stops the node if it was the last one before a stop.
func (s *Simulation) countDatagram(n *node) {
	if n.datagramsUntilStop > 0 {
		if n.datagramsUntilStop--; n.datagramsUntilStop == 0 {
			n.stopped = true
		}
	}
}

// resume lets a stopped node run again, with the datagrams queued meanwhile.
func (s *Simulation) resume(node int) {
	n := &s.nodes[node]
	n.stopped = false
	queued := n.queued
	n.queued = nil
	if n.Node == nil {
		return
	}
	for _, f := range queued {
		s.deliver(f)
	}
	s.sendAll(node)
}

// sendAll sends the pending datagrams of a node.
func (s *Simulation) sendAll(from int) {
	n := &s.nodes[from]
	for !n.stopped {
		to, body, ok := n.Next()
		if !ok {
			return
		}
		s.send(from, to, body)
		s.countDatagram(n)
	}
}

func (s *Simulation) send(from, to int, body []byte) {
	if to < 0 || to >= len(s.nodes) || to == from || s.random.Next() < s.probability["loss"] {
		return
	}
	copies := 1
	if s.random.Next() < s.probability["double"] {
		copies = 2
	}
	for range copies {
		b := slices.Clone(body)
		if s.random.Next() < s.probability["garble"] {
			i := int(s.random.Next() * float64(len(b)))
			b[i] ^= 1 << int(s.random.Next()*8)
		}
		at := s.Now + int64(s.random.Next()*float64(s.maxDelay))
		if s.random.Next() < s.probability["late"] {
			at += int64(s.random.Next() * maxLatenessNs)
		}
		i, _ := slices.BinarySearchFunc(s.inFlight, at, func(f datagram, at int64) int {
			if f.at <= at {
				return -1
			}
			return 1
		})
		s.inFlight = slices.Insert(s.inFlight, i, datagram{at, from, to, b})
	}
}
