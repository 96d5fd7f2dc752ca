// Package proxy is the client proxy on sockets: it takes requests from the application beside it, asks the decision
// module (package balance) what to do, and carries that out. A request passes client.go, admit.go, decisions.go,
// dispatch.go, outcome.go and respond.go.
//
// This file holds the event loop: one goroutine that owns the balancer, all tables and all timers. The callbacks of
// nbio only parse and post events to it. The loop must never block, and never decide what the balancer decides.
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
	"ivybank/internal/rng"
	"ivybank/proxy/sibling"
)

// maxUnsentBytes bounds the response bytes that a client has not read; above it the connection is closed.
const mostUnsent = 1 << 20

// transitUpdateNs is the interval at which the transit limit of each body is recomputed.
const portionApart = 5e7

// Config is what a proxy is started with. Times are in nanoseconds.
type Config struct {
	Listen, Discovery string
	Sockets           int // file descriptors that the process may hold
	Pollers           int
	KnownHosts        []byte // the host list as it was last saved, in discovery's format
	Terms             balance.Config
	DialTimeout       int64        // a connection that takes longer counts as failed
	ConnIdle          int64        // hosts close a connection that was idle for so long
	LongestTimeout    int64        // the longest client timeout of any rule set
	Inherited         net.Listener // shared with other processes; nil if the proxy binds the address itself
	Memory            int64        // bytes for Go's heap; 0 if not limited
	Holds             *holds.Store
	Idempotency       *IdempotencyConfig // nil: no idempotency keys
	SiblingLock       *sibling.Lock      // nil if there is no folder for the lock file
	Fleet             *FleetConfig       // nil: the proxy runs without peers
	Recovery          *RecoveryConfig    // nil: no snapshots are written, and nothing is learned from peers
	Maintenance       *MaintenanceConfig // nil: the proxy takes no part in maintenance plans
}

// Proxy is one running client proxy. Everything but the event queues belongs to the event loop.
type Proxy struct {
	start  Config
	engine *nbio.Engine
	module *balance.Balancer
	base   time.Time // start of the clock: wall time, monotonic from there

	mu     sync.Mutex
	news   []event // from watches on discovery; handled before all other events, and by catchUpWatch
	events []event // handled in every round of the loop
	bell   chan struct{}

	timers    timers          // removed when they fire or are stopped
	wake      *timer          // fires when the balancer wants to be called
	reqs      map[uint64]*req // by balancer ID; removed when they have ended and no dispatch is outstanding
	ids       map[string]bool // IDs of these requests; removed with them
	lastReq   uint64          // balancer ID of the latest request; counts up
	hosts     []*host         // by ID; removed when they are off the list and have no connection
	clients   []*client       // in order of arrival; removed when their connection ends
	pool      pool
	list      discovery
	dice      rng.Source // for delays that the balancer does not decide
	drain     drain
	keys      *keys           // nil: no idempotency keys
	peers     *peers          // nil: no peers
	comeback  *comeback       // nil: not configured
	works     *works          // nil: no maintenance plans
	limits    *limits         // nil: no fleet-wide limits
	deaf      bool            // the address for peers is in use
	terms     *balance.Config // replaced as a whole, never modified
	sockets   int             // descriptors that this process may hold now
	held      holds.Table     // hosts that operators took out of use
	seen      map[string]bool // IDs that were listed; the oldest are removed above maxSeenIDs
	order     []string        // the same, oldest first
	accept    *listener
	open      bool         // clients are accepted
	other     atomic.Bool  // another process of this proxy is running
	transit   atomic.Int64 // bytes of each body that may be in transit
	portioned int64        // when that was computed
	rounded   int64        // when the latest round started to ask the balancer
	newsAt    int64        // everything that discovery had written by then was handled
	count     Counters
	done      bool
}

// event is what a callback saw: when, on which connection, and what the event loop has to do about it.
type event struct {
	at int64
	on *wire // closed if do panics; nil if the event is about no connection
	do func(at int64)
}

// timer calls do when it fires, unless it is stopped before.
type timer struct {
	at    int64
	do    func(now int64)
	index int // in the heap; -1 if not in it
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

// now returns Unix time in nanoseconds that never goes back: the host list's start times are on the same clock.
func (p *Proxy) now() int64 { return p.base.UnixNano() + int64(time.Since(p.base)) }

// post queues an event for the event loop. It never blocks, as the caller may hold nbio's locks.
func (p *Proxy) post(at int64, on *wire, do func(at int64)) {
	if on != nil {
		on.told.Add(1)
	}
	p.queue(&p.events, event{at, on, do})
}

// queue appends an event to one of the two queues and wakes the loop.
func (p *Proxy) queue(to *[]event, e event) {
	p.mu.Lock()
	*to = append(*to, e)
	p.mu.Unlock()
	select {
	case p.bell <- struct{}{}:
	default:
	}
}

// New returns a proxy that does not listen yet.
func New(s Config) *Proxy {
	p := &Proxy{start: s, base: time.Now(), bell: make(chan struct{}, 1), reqs: map[uint64]*req{}, ids: map[string]bool{},
		count: newCounters(), sockets: s.Sockets, seen: map[string]bool{}}
	if s.Holds != nil {
		p.held = s.Holds.Table()
	}
	p.terms, p.dice.Seed = &s.Terms, s.Terms.Seed^1
	p.portion(p.now())
	p.module = balance.New(s.Terms, p.now())
	p.known(s.KnownHosts, p.now())
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
	p.engine.OnAcceptError(func(error) { time.Sleep(5 * time.Millisecond) }) // nbio retries at once
	if err := p.engine.Start(); err != nil {
		return err
	}
	p.welcomeFrom(p.start.SiblingLock != nil && p.start.SiblingLock.Other(), p.now())
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

// startAccepting begins to accept clients.
func (p *Proxy) letIn() {
	if !p.open {
		p.open = true
		close(p.accept.opened)
		logrus.Infof("serving on %s", p.start.Listen)
	}
}

// round handles queued events and timers, and then carries out what the balancer decides. Events come before
// timers: a response that was read before its dispatch timed out counts.
func (p *Proxy) round() {
	due := p.now() // when this round had to run at the latest
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
	due = p.ran(due) // the process may have been stopped since the last check
	p.rounded = due  // not the round's end: a process that is stopped while it sends would seem to have run
	p.guard(nil, func() { p.route(p.now()) })
}

// handleEvents handles events in their order.
func (p *Proxy) handle(events []event) {
	for _, e := range events {
		record(p.count.lag, e.at, p.now())
		p.guard(e.on, func() { e.do(e.at) })
		if e.on != nil {
			e.on.told.Add(-1)
		}
	}
}

// guard limits a panic to the event that caused it and the event's connection.
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

// recordPanic counts and logs a recovered panic; it is called on the event loop.
func (p *Proxy) caught(x any, stack []byte) {
	p.count.Panics++
	logrus.Errorf("panic: %v\n%s", x, stack)
}
