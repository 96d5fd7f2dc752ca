// Package emu emulates a fleet for experiments: servers, clients, discovery and the network between them. They fail on
// a schedule, and the package records what was done to them. One model runs on two clocks: virtual time, which drives
// the balance module within one process, and wall time, where stand-ins on loopback speak the proxy's protocol.
package emu

// This file holds both clocks. A clock never runs two callbacks at once.

import (
	"container/heap"
	"sync"
	"time"
)

// Clock runs callbacks at the times they are scheduled for, one after another.
type Clock interface {
	Now() int64 // in nanoseconds
	At(at int64, do func())
}

type event struct {
	at   int64
	seq  uint64 // orders events of the same time by when they were scheduled
	call func()
}

type eventHeap []event

func (d eventHeap) Len() int { return len(d) }
func (d eventHeap) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].seq < d[j].seq
}
func (d eventHeap) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *eventHeap) Push(x any)   { *d = append(*d, x.(event)) }
func (d *eventHeap) Pop() any {
	old := *d
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*d = old[:len(old)-1]
	return x
}

// VirtualClock is simulated time, which advances as fast as its events are processed.
type VirtualClock struct {
	now     int64
	seq     uint64
	pending eventHeap // events are removed when they are run
	Events  int       // number of events run so far
}

// NewVirtualClock starts the clock at start nanoseconds, which must be above 0: the balance module reads 0 as "long ago".
func NewVirtualClock(start int64) *VirtualClock { return &VirtualClock{now: start} }

// Now gives the virtual time in nanoseconds.
func (v *VirtualClock) Now() int64 { return v.now }

// At schedules do for the time at, or as the next event if at has passed.
func (v *VirtualClock) At(at int64, do func()) {
	v.seq++
	heap.Push(&v.pending, event{max(at, v.now), v.seq, do})
}

// Run processes all events up to and including the time end, and advances the clock to it.
func (v *VirtualClock) Run(end int64) {
	for len(v.pending) > 0 && v.pending[0].at <= end {
		d := heap.Pop(&v.pending).(event)
		v.now = d.at
		v.Events++
		d.call()
	}
	v.now = max(v.now, end)
}

// WallClock is real time. Callbacks run with its lock held.
type WallClock struct {
	mu       sync.Mutex
	start    time.Time
	seq      uint64
	pending  eventHeap // events are removed when they are run
	wake     chan struct{}
	stopped  chan struct{}
	stopOnce sync.Once
}

// NewWallClock starts a clock on Unix time; Stop ends it.
func NewWallClock() *WallClock {
	w := &WallClock{start: time.Now(), wake: make(chan struct{}, 1), stopped: make(chan struct{})}
	go w.run()
	return w
}

// Now gives Unix time in nanoseconds; it never goes backwards.
func (w *WallClock) Now() int64 { return w.start.UnixNano() + int64(time.Since(w.start)) }

// At schedules do for the time at. The caller must hold the lock, as callbacks of the clock and of Do have it.
func (w *WallClock) At(at int64, do func()) {
	w.seq++
	heap.Push(&w.pending, event{at, w.seq, do})
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Do calls do with the lock held, so that no callback runs at the same time. Any goroutine may call it.
func (w *WallClock) Do(do func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	do()
}

// Stop ends the clock; pending events are not run.
func (w *WallClock) Stop() { w.stopOnce.Do(func() { close(w.stopped) }) }

func (w *WallClock) run() {
	timer := time.NewTimer(0)
	for {
		select {
		case <-w.stopped:
			return
		case <-w.wake:
		case <-timer.C:
		}
		w.Do(func() {
			for len(w.pending) > 0 && w.pending[0].at <= w.Now() {
				heap.Pop(&w.pending).(event).call()
			}
			if len(w.pending) > 0 {
				timer.Reset(time.Duration(w.pending[0].at - w.Now()))
			}
		})
	}
}
