// Package emu is a fleet to rehearse with: servers, clients, discovery and the network between them, which fail by a
// timetable and keep evidence of what was done to them. One model serves two clocks: virtual time, in which the
// decision module is driven in one process, and wall time, in which stand-ins on loopback speak the proxy's protocol.
//
// This file owns both clocks. They must never run two things at once.
package emu

import (
	"container/heap"
	"sync"
	"time"
)

// Clock calls things at their time, one after another.
type Clock interface {
	Now() int64 // nanoseconds
	At(at int64, do func())
}

type event struct {
	at   int64
	seq  uint64 // of two that are due at one time the first one set comes first
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

// Virtual is time that passes as fast as what happens in it is worked through.
type VirtualClock struct {
	now     int64
	seq     uint64
	pending eventHeap // emptied as they fall due
	Events  int       // called so far
}

// NewVirtual starts at a clock time above 0, as 0 means long past to the module.
func NewVirtualClock(start int64) *VirtualClock { return &VirtualClock{now: start} }

// Now is the virtual time.
func (v *VirtualClock) Now() int64 { return v.now }

// At calls do at its time, or next where that has passed.
func (v *VirtualClock) At(at int64, do func()) {
	v.seq++
	heap.Push(&v.pending, event{max(at, v.now), v.seq, do})
}

// Run works through what falls due to a time.
func (v *VirtualClock) Run(end int64) {
	for len(v.pending) > 0 && v.pending[0].at <= end {
		d := heap.Pop(&v.pending).(event)
		v.now = d.at
		v.Events++
		d.call()
	}
	v.now = max(v.now, end)
}

// Wall is real time. Whatever is called holds its lock.
type WallClock struct {
	mu       sync.Mutex
	start    time.Time
	seq      uint64
	pending  eventHeap // emptied as they fall due
	wake     chan struct{}
	stopped  chan struct{}
	stopOnce sync.Once
}

// NewWall starts a clock on Unix time; Stop ends it.
func NewWallClock() *WallClock {
	w := &WallClock{start: time.Now(), wake: make(chan struct{}, 1), stopped: make(chan struct{})}
	go w.run()
	return w
}

// Now is Unix time that never goes back.
func (w *WallClock) Now() int64 { return w.start.UnixNano() + int64(time.Since(w.start)) }

// At calls do at its time; it is for what is called by the clock.
func (w *WallClock) At(at int64, do func()) {
	w.seq++
	heap.Push(&w.pending, event{at, w.seq, do})
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Do calls do from any goroutine, with nothing else beside it.
func (w *WallClock) Do(do func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	do()
}

// Stop ends the clock; what is still due is not called.
func (w *WallClock) Stop() { w.stopOnce.Do(func() { close(w.stopped) }) }

func (w *WallClock) run() {
	alarm := time.NewTimer(0)
	for {
		select {
		case <-w.stopped:
			return
		case <-w.wake:
		case <-alarm.C:
		}
		w.Do(func() {
			for len(w.pending) > 0 && w.pending[0].at <= w.Now() {
				heap.Pop(&w.pending).(event).call()
			}
			if len(w.pending) > 0 {
				alarm.Reset(time.Duration(w.pending[0].at - w.Now()))
			}
		})
	}
}
