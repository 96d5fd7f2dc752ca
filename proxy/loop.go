// Package proxy is the client proxy on sockets: it takes reqs from the application beside it, asks the
// decision module what to do, and carries that out. A req passes intake, admit, route, send, relay and
// book, a file each.
//
// This file owns the owner loop: one goroutine to which the module, all tables and all timers belong. The
// callbacks of nbio only parse and post events to it. It must never block, and never decide what the
// module decides.
package proxy

import (
	"container/heap"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/sirupsen/logrus"

	"ivybank/balance"
	"ivybank/fleet/holds"
	"ivybank/internal/draw"
	"ivybank/proxy/twin"
)

// mostUnsent bounds the bytes of answers that a client does not read; past it its connection is closed.
const mostUnsent = 1 << 20

// portionApart is how often it is worked out what each body may hold.
const portionApart = 5e7

// Start is what a proxy is told when it starts.
type Start struct {
	Listen, Discovery string
	Sockets           int // file descriptors that the process may hold
	Pollers           int
	Known             []byte // the list of hosts as it was last held, in discovery's form
	Terms             balance.Config
	DialTimeout       int64        // a connection not up by then counts as failed
	ConnIdle          int64        // hosts close a connection that stood idle for so long
	LongestTimeout    int64        // the longest client timeout of any rule set
	Inherited         net.Listener // shared with other processes; nil where the address is bound here
	Memory            int64        // bytes for Go's heap, 0 where none are told
	Holds             *holds.Store
	Keys              *Keys        // nil: no idempotency keys
	Seat              *twin.Seat   // nil where there is no folder to meet in
	Fleet             *Fleet       // nil: no peers are heard
	Return            *Return      // nil: nothing is written down, nor asked of others
	Maintenance       *Maintenance // nil: no plans are taken part in
}

// Proxy is one running client proxy. Everything but the event queue belongs to the owner loop.
type Proxy struct {
	start  Start
	engine *nbio.Engine
	module *balance.Balancer
	base   time.Time // the clock: wall time at start, monotonic from there

	mu     sync.Mutex
	news   []event // what a watch on discovery has said; emptied before any event is handled, and by present
	events []event // emptied by every round of the loop
	bell   chan struct{}

	timers    timers          // emptied as they fall due or are stopped
	wake      *timer          // the module's
	reqs      map[uint64]*req // emptied when a req has ended and nothing of it is out
	ids       map[string]bool // the ids of those reqs; emptied with them
	lastReq   uint64          // counts up; a req's number in the module
	hosts     []*host         // by id; emptied when a host is off the list and has no connection
	clients   []*client       // in order of arrival; emptied when a client's connection ends
	pool      pool
	list      discovery
	dice      draw.Dice // for what the module has no say in
	drain     drain
	keys      *keys           // nil: none
	peers     *peers          // nil: none are heard
	comeback  *comeback       // nil: it is not set
	works     *works          // nil: no plans are taken part in
	limits    *limits         // nil: none hold for the fleet
	deaf      bool            // they are to be, but their address is taken
	terms     *balance.Config // replaced whole, never changed
	sockets   int             // descriptors that this process may hold now
	held      holds.Table     // hosts out by hand
	seen      map[string]bool // ids that were listed; the oldest go past mostSeen
	order     []string        // the same, oldest first
	accept    *listener
	open      bool         // clients are let in
	other     atomic.Bool  // another process lives beside this one
	transit   atomic.Int64 // bytes of each body that may be on the way through
	portioned int64        // when that was worked out
	rounded   int64        // when the latest round came to its decisions
	newsAt    int64        // all that discovery had written by then was taken
	count     Counters
	done      bool
}

// event is what a callback saw: when, on which connection, and what the owner has to do about it.
type event struct {
	at int64
	on *wire // nil where it is about none; ended by a panic
	do func(at int64)
}

// timer calls do when it falls due, unless it is stopped before.
type timer struct {
	at    int64
	do    func(now int64)
	index int // in the heap; -1 when not in it
}

type timers []*timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}
func (t *timers) Push(x any) {
	x.(*timer).index = len(*t)
	*t = append(*t, x.(*timer))
}
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	x.index = -1
	return x
}

func (p *Proxy) after(now, wait int64, do func(now int64)) *timer {
	t := &timer{at: now + wait, do: do}
	heap.Push(&p.timers, t)
	return t
}

func (p *Proxy) stop(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&p.timers, t.index)
	}
}

// now is Unix time in nanoseconds that never goes back: the list's start times are on the same clock.
func (p *Proxy) now() int64 { return p.base.UnixNano() + int64(time.Since(p.base)) }

// post hands an event to the owner. It never blocks, as the owner itself may be within nbio's locks.
func (p *Proxy) post(at int64, on *wire, do func(at int64)) {
	if on != nil {
		on.told.Add(1)
	}
	p.queue(&p.events, event{at, on, do})
}

// queue puts an event into one of the two queues.
func (p *Proxy) queue(to *[]event, e event) {
	p.mu.Lock()
	*to = append(*to, e)
	p.mu.Unlock()
	select {
	case p.bell <- struct{}{}:
	default:
	}
}

// New makes a proxy that does not listen yet.
func New(s Start) *Proxy {
	p := &Proxy{start: s, base: time.Now(), bell: make(chan struct{}, 1), reqs: map[uint64]*req{}, ids: map[string]bool{},
		count: newCounters(), sockets: s.Sockets, seen: map[string]bool{}}
	if s.Holds != nil {
		p.held = s.Holds.Table()
	}
	p.terms, p.dice.Seed = &s.Terms, s.Terms.Seed^1
	p.portion(p.now())
	p.module = balance.New(s.Terms, p.now())
	p.known(s.Known, p.now())
	p.remembered(p.now())
	p.rounded = p.now()
	return p
}

// Run listens and serves until a drain has ended.
func (p *Proxy) Run() error {
	l := p.start.Inherited
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", p.start.Listen); err != nil {
			return err
		}
	}
	if err := p.openKeys(); err != nil {
		return fmt.Errorf("idempotency keys: %w", err)
	}
	p.accept = newListener(l)
	nbio.MaxOpenFiles = max(p.start.Sockets, 1024)
	p.engine = nbio.NewEngine(nbio.Config{Name: "ivybank", Network: "tcp", Addrs: []string{p.start.Listen},
		NPoller: p.start.Pollers, MaxWriteBufferSize: mostUnsent, EpollMod: nbio.EPOLLET,
		Listen: func(string, string) (net.Listener, error) { return p.accept, nil }})
	p.engine.OnOpen(p.opened)
	p.engine.OnRead(p.readable)
	p.engine.OnClose(p.closed)
	p.engine.OnWrittenSize(p.taken)
	p.engine.OnAcceptError(func(error) { time.Sleep(5 * time.Millisecond) }) // nbio tries again at once
	if err := p.engine.Start(); err != nil {
		return err
	}
	p.welcomeFrom(p.start.Seat != nil && p.start.Seat.Other(), p.now())
	if p.start.Holds != nil {
		go p.follow()
	}
	p.relimit(p.start.Fleet, p.now())
	p.openPeers(p.lifeBefore(), p.now())
	p.subscribe(p.now())
	if p.comeback != nil {
		p.keep(p.now())
		p.lookFull(p.now())
	}
	alarm := time.NewTimer(0)
	for !p.done {
		select {
		case <-p.bell:
		case <-alarm.C:
		}
		p.round()
		if len(p.timers) > 0 {
			alarm.Reset(time.Duration(p.timers[0].at - p.now()))
		}
	}
	if p.keys != nil && p.keys.ledger != nil {
		p.keys.ledger.Close()
	}
	return nil
}

// letIn begins to take clients.
func (p *Proxy) letIn() {
	if !p.open {
		p.open = true
		close(p.accept.opened)
		logrus.Infof("serving on %s", p.start.Listen)
	}
}

// round handles what has come and what is due, and then carries out what the module decides. Events come
// before timers: an answer that was read before its dispatch timed out counts.
func (p *Proxy) round() {
	due := p.now() // when this round was to be at the latest
	if len(p.timers) > 0 {
		due = min(due, max(p.rounded, p.timers[0].at))
	}
	due = p.ran(due)
	p.mu.Lock()
	events := p.events
	p.events = nil
	p.mu.Unlock()
	p.takeNews()
	p.handle(events)
	now := p.now()
	for len(p.timers) > 0 && p.timers[0].at <= now {
		t := heap.Pop(&p.timers).(*timer)
		p.guard(nil, func() { t.do(now) })
	}
	if now-p.portioned > portionApart {
		p.portion(now)
	}
	due = p.ran(due) // it may have been stopped on the way here
	p.rounded = due  // not the end: a process that is stopped while it sends would seem to have run
	p.guard(nil, func() { p.route(p.now()) })
}

// handle calls the owner's part of events, in their order.
func (p *Proxy) handle(events []event) {
	for _, e := range events {
		record(p.count.lag, e.at, p.now())
		p.guard(e.on, func() { e.do(e.at) })
		if e.on != nil {
			e.on.told.Add(-1)
		}
	}
}

// guard keeps a panic to the event that met it, and to its connection.
func (p *Proxy) guard(on *wire, do func()) {
	defer func() {
		if x := recover(); x != nil {
			p.caught(x, debug.Stack())
			if on != nil {
				on.shut()
			}
		}
	}()
	do()
}

// caught notes a panic where it was stopped; the owner's.
func (p *Proxy) caught(x any, stack []byte) {
	p.count.Panics++
	logrus.Errorf("panic: %v\n%s", x, stack)
}
