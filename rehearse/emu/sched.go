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

type due struct {
	at  int64
	seq uint64 // of two that are due at one time the first one set comes first
	do  func()
}

type dues []due

func (d dues) Len() int { return len(d) }
func (d dues) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].seq < d[j].seq
}
func (d dues) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(x any)   { *d = append(*d, x.(due)) }
func (d *dues) Pop() any {
	old := *d
	x := old[len(old)-1]
	old[len(old)-1] = due{}
	*d = old[:len(old)-1]
	return x
}

// Virtual is time that passes as fast as what happens in it is worked through.
type Virtual struct {
	now    int64
	seq    uint64
	due    dues // emptied as they fall due
	Events int  // called so far
}

// NewVirtual starts at a clock time above 0, as 0 means long past to the module.
func NewVirtual(start int64) *Virtual { return &Virtual{now: start} }

// Now is the virtual time.
func (v *Virtual) Now() int64 { return v.now }

// At calls do at its time, or next where that has passed.
func (v *Virtual) At(at int64, do func()) {
	v.seq++
	heap.Push(&v.due, due{max(at, v.now), v.seq, do})
}

// Run works through what falls due to a time.
func (v *Virtual) Run(end int64) {
	for len(v.due) > 0 && v.due[0].at <= end {
		d := heap.Pop(&v.due).(due)
		v.now = d.at
		v.Events++
		d.do()
	}
	v.now = max(v.now, end)
}

// Wall is real time. Whatever is called holds its lock.
type Wall struct {
	mu    sync.Mutex
	start time.Time
	seq   uint64
	due   dues // emptied as they fall due
	bell  chan struct{}
	over  chan struct{}
	once  sync.Once
}

// NewWall starts a clock on Unix time; Stop ends it.
func NewWall() *Wall {
	w := &Wall{start: time.Now(), bell: make(chan struct{}, 1), over: make(chan struct{})}
	go w.run()
	return w
}

// Now is Unix time that never goes back.
func (w *Wall) Now() int64 { return w.start.UnixNano() + int64(time.Since(w.start)) }

// At calls do at its time; it is for what is called by the clock.
func (w *Wall) At(at int64, do func()) {
	w.seq++
	heap.Push(&w.due, due{at, w.seq, do})
	select {
	case w.bell <- struct{}{}:
	default:
	}
}

// Do calls do from any goroutine, with nothing else beside it.
func (w *Wall) Do(do func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	do()
}

// Stop ends the clock; what is still due is not called.
func (w *Wall) Stop() { w.once.Do(func() { close(w.over) }) }

func (w *Wall) run() {
	alarm := time.NewTimer(0)
	for {
		select {
		case <-w.over:
			return
		case <-w.bell:
		case <-alarm.C:
		}
		w.Do(func() {
			for len(w.due) > 0 && w.due[0].at <= w.Now() {
				heap.Pop(&w.due).(due).do()
			}
			if len(w.due) > 0 {
				alarm.Reset(time.Duration(w.due[0].at - w.Now()))
			}
		})
	}
}
