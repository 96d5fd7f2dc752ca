package timeline

// This file owns the modelled network and time: datagrams that are lost, doubled, late and garbled, ways that
// are cut, processes that are killed and stopped, clocks that are wrong. Chance is drawn from one seed. It
// must never let a datagram arrive by a way that is cut.

import (
	"slices"

	"ivybank/internal/rng"
)

const (
	ms            = int64(1e6)
	tickMillis    = 20  // ms between a node's ticks
	maxLatenessNs = 5e9 // how late a late datagram is at the most
	queueCapacity = 64  // datagrams that wait at one that is stopped
)

// World is where a run takes place. Times are ns since its beginning.
type Simulation struct {
	Names       []string
	Now         int64
	cluster     Cluster
	nodes       []node
	inFlight    []datagram // emptied as they arrive
	brokenLinks map[[2]int]bool
	probability map[string]float64 // loss, double, garble, late
	maxDelay    int64              // the longest, in calm
	random      rng.Source
}

type node struct {
	Node                         // nil: it is dead
	incarnation                  uint64
	stopped                      bool
	datagramsUntilStop           int
	restartInterval, restartedAt int64
	clockOffset, clockRatePPM    int64
	queued                       []datagram // emptied as it wakes
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

// Clock is a node's own.
func (w *Simulation) LocalTime(place int) int64 {
	n := &w.nodes[place]
	return 1e9 + w.Now + w.Now*n.clockRatePPM/1e6 + n.clockOffset
}

// Node is the process in a place; nil where it is dead.
func (w *Simulation) Node(place int) Node { return w.nodes[place].Node }

// Stopped says whether a process is.
func (w *Simulation) Stopped(place int) bool { return w.nodes[place].stopped }

// Start begins a process anew in a place.
func (w *Simulation) Start(place int) {
	n := &w.nodes[place]
	n.incarnation = max(n.incarnation+1, uint64(w.Now/ms+1))
	n.stopped, n.queued, n.datagramsUntilStop = false, nil, 0
	n.Node = w.cluster.Start(place, n.incarnation, w.LocalTime(place))
}

// Befall has one of the runner's own verbs befall a node (-1: all).
func (w *Simulation) Inject(place int, verb string, args ...string) error {
	_, err := w.inject(place, verb, args)
	return err
}

// Run lets time pass up to a moment.
func (w *Simulation) Run(until int64) error {
	for ; w.Now < until; w.Now += ms {
		for i := range w.nodes {
			if n := &w.nodes[i]; n.restartInterval > 0 && w.Now-n.restartedAt >= n.restartInterval {
				n.restartedAt = w.Now
				w.Start(i)
			}
		}
		due := 0
		for due < len(w.inFlight) && w.inFlight[due].at <= w.Now {
			due++
		}
		now := slices.Clone(w.inFlight[:due])
		w.inFlight = slices.Delete(w.inFlight, 0, due)
		for _, f := range now {
			w.deliver(f)
		}
		for i := range w.nodes {
			if n := &w.nodes[i]; n.Node != nil && !n.stopped && (w.Now/ms+int64(i*7))%tickMillis == 0 {
				n.Tick(w.LocalTime(i))
				w.sendAll(i)
			}
		}
		if err := w.cluster.Step(); err != nil {
			return err
		}
	}
	return nil
}

func (w *Simulation) deliver(f datagram) {
	n := &w.nodes[f.to]
	switch {
	case n.Node == nil || w.brokenLinks[[2]int{f.from, f.to}]:
	case n.stopped:
		if len(n.queued) < queueCapacity {
			n.queued = append(n.queued, f)
		}
	default:
		n.Receive(f.from, f.body, w.LocalTime(f.to))
		w.countDatagram(n)
		w.sendAll(f.to)
	}
}

// step burns a fuse.
func (w *Simulation) countDatagram(n *node) {
	if n.datagramsUntilStop > 0 {
		if n.datagramsUntilStop--; n.datagramsUntilStop == 0 {
			n.stopped = true
		}
	}
}

func (w *Simulation) resume(place int) {
	n := &w.nodes[place]
	n.stopped = false
	waits := n.queued
	n.queued = nil
	if n.Node == nil {
		return
	}
	for _, f := range waits {
		w.deliver(f)
	}
	w.sendAll(place)
}

// carry sends what a node has to say.
func (w *Simulation) sendAll(from int) {
	n := &w.nodes[from]
	for !n.stopped {
		to, body, ok := n.Next()
		if !ok {
			return
		}
		w.send(from, to, body)
		w.countDatagram(n)
	}
}

func (w *Simulation) send(from, to int, body []byte) {
	if to < 0 || to >= len(w.nodes) || to == from || w.random.Next() < w.probability["loss"] {
		return
	}
	copies := 1
	if w.random.Next() < w.probability["double"] {
		copies = 2
	}
	for range copies {
		b := slices.Clone(body)
		if w.random.Next() < w.probability["garble"] {
			i := int(w.random.Next() * float64(len(b)))
			b[i] ^= 1 << int(w.random.Next()*8)
		}
		at := w.Now + int64(w.random.Next()*float64(w.maxDelay))
		if w.random.Next() < w.probability["late"] {
			at += int64(w.random.Next() * maxLatenessNs)
		}
		i, _ := slices.BinarySearchFunc(w.inFlight, at, func(f datagram, at int64) int {
			if f.at <= at {
				return -1
			}
			return 1
		})
		w.inFlight = slices.Insert(w.inFlight, i, datagram{at, from, to, b})
	}
}
