package timeline

// This file owns the modelled network and time: datagrams that are lost, doubled, late and garbled, ways that
// are cut, processes that are killed and stopped, clocks that are wrong. Chance is drawn from one seed. It
// must never let a datagram arrive by a way that is cut.

import (
	"slices"

	"ivybank/internal/rng"
)

const (
	ms     = int64(1e6)
	tick   = 20  // ms between a node's ticks
	lateBy = 5e9 // how late a late datagram is at the most
	buffer = 64  // datagrams that wait at one that is stopped
)

// World is where a run takes place. Times are ns since its beginning.
type World struct {
	Names   []string
	Now     int64
	cluster Cluster
	nodes   []node
	wire    []flying // emptied as they arrive
	cuts    map[[2]int]bool
	chance  map[string]float64 // loss, double, garble, late
	delay   int64              // the longest, in calm
	dice    rng.Source
}

type node struct {
	Node        // nil: it is dead
	life        uint64
	stopped     bool
	fuse        int
	flap, since int64
	offset, ppm int64
	waits       []flying // emptied as it wakes
}

type flying struct {
	at       int64
	from, to int
	body     []byte
}

func newWorld(names []string, seed uint64) *World {
	return &World{Names: names, nodes: make([]node, len(names)), cuts: map[[2]int]bool{},
		chance: map[string]float64{}, delay: 2 * ms, dice: rng.Source{Seed: seed}}
}

// Clock is a node's own.
func (w *World) Clock(place int) int64 {
	n := &w.nodes[place]
	return 1e9 + w.Now + w.Now*n.ppm/1e6 + n.offset
}

// Node is the process in a place; nil where it is dead.
func (w *World) Node(place int) Node { return w.nodes[place].Node }

// Stopped says whether a process is.
func (w *World) Stopped(place int) bool { return w.nodes[place].stopped }

// Start begins a process anew in a place.
func (w *World) Start(place int) {
	n := &w.nodes[place]
	n.life = max(n.life+1, uint64(w.Now/ms+1))
	n.stopped, n.waits, n.fuse = false, nil, 0
	n.Node = w.cluster.Start(place, n.life, w.Clock(place))
}

// Befall has one of the runner's own verbs befall a node (-1: all).
func (w *World) Befall(place int, verb string, args ...string) error {
	_, err := w.befall(place, verb, args)
	return err
}

// Run lets time pass up to a moment.
func (w *World) Run(until int64) error {
	for ; w.Now < until; w.Now += ms {
		for i := range w.nodes {
			if n := &w.nodes[i]; n.flap > 0 && w.Now-n.since >= n.flap {
				n.since = w.Now
				w.Start(i)
			}
		}
		due := 0
		for due < len(w.wire) && w.wire[due].at <= w.Now {
			due++
		}
		now := slices.Clone(w.wire[:due])
		w.wire = slices.Delete(w.wire, 0, due)
		for _, f := range now {
			w.arrive(f)
		}
		for i := range w.nodes {
			if n := &w.nodes[i]; n.Node != nil && !n.stopped && (w.Now/ms+int64(i*7))%tick == 0 {
				n.Tick(w.Clock(i))
				w.carry(i)
			}
		}
		if err := w.cluster.Live(); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) arrive(f flying) {
	n := &w.nodes[f.to]
	switch {
	case n.Node == nil || w.cuts[[2]int{f.from, f.to}]:
	case n.stopped:
		if len(n.waits) < buffer {
			n.waits = append(n.waits, f)
		}
	default:
		n.Heard(f.from, f.body, w.Clock(f.to))
		w.step(n)
		w.carry(f.to)
	}
}

// step burns a fuse.
func (w *World) step(n *node) {
	if n.fuse > 0 {
		if n.fuse--; n.fuse == 0 {
			n.stopped = true
		}
	}
}

func (w *World) wake(place int) {
	n := &w.nodes[place]
	n.stopped = false
	waits := n.waits
	n.waits = nil
	if n.Node == nil {
		return
	}
	for _, f := range waits {
		w.arrive(f)
	}
	w.carry(place)
}

// carry sends what a node has to say.
func (w *World) carry(from int) {
	n := &w.nodes[from]
	for !n.stopped {
		to, body, ok := n.Next()
		if !ok {
			return
		}
		w.send(from, to, body)
		w.step(n)
	}
}

func (w *World) send(from, to int, body []byte) {
	if to < 0 || to >= len(w.nodes) || to == from || w.dice.Next() < w.chance["loss"] {
		return
	}
	copies := 1
	if w.dice.Next() < w.chance["double"] {
		copies = 2
	}
	for range copies {
		b := slices.Clone(body)
		if w.dice.Next() < w.chance["garble"] {
			i := int(w.dice.Next() * float64(len(b)))
			b[i] ^= 1 << int(w.dice.Next()*8)
		}
		at := w.Now + int64(w.dice.Next()*float64(w.delay))
		if w.dice.Next() < w.chance["late"] {
			at += int64(w.dice.Next() * lateBy)
		}
		i, _ := slices.BinarySearchFunc(w.wire, at, func(f flying, at int64) int {
			if f.at <= at {
				return -1
			}
			return 1
		})
		w.wire = slices.Insert(w.wire, i, flying{at, from, to, b})
	}
}
