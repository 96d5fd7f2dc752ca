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
const maxUnsentBytes = 1 << 20

// transitUpdateNs is the interval at which the transit limit of each body is recomputed.
const transitUpdateNs = 5e7

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
	config     Config
	engine     *nbio.Engine
	balancer   *balance.Balancer
	clockStart time.Time // start of the clock: wall time, monotonic from there

	mu          sync.Mutex
	watchEvents []event // from watches on discovery; handled before all other events, and by catchUpWatch
	events      []event // handled in every round of the loop
	wakeup      chan struct{}

	timers           timers              // removed when they fire or are stopped
	balancerTimer    *timer              // fires when the balancer wants to be called
	requests         map[uint64]*request // by balancer ID; removed when they have ended and no dispatch is outstanding
	ids              map[string]bool     // IDs of these requests; removed with them
	lastRequestID    uint64              // balancer ID of the latest request; counts up
	hosts            []*host             // by ID; removed when they are off the list and have no connection
	clients          []*client           // in order of arrival; removed when their connection ends
	pool             pool
	discovery        discoveryState
	random           rng.Source // for delays that the balancer does not decide
	drain            drainState
	keys             *keyState       // nil: no idempotency keys
	peers            *peers          // nil: no peers
	recovery         *recovery       // nil: not configured
	plans            *planState      // nil: no maintenance plans
	limits           *limits         // nil: no fleet-wide limits
	peerAddrInUse    bool            // the address for peers is in use
	terms            *balance.Config // replaced as a whole, never modified
	sockets          int             // descriptors that this process may hold now
	holds            holds.Table     // hosts that operators took out of use
	seen             map[string]bool // IDs that were listed; the oldest are removed above maxSeenIDs
	seenOrder        []string        // the same, oldest first
	listener         *listener
	accepting        bool         // clients are accepted
	hasSibling       atomic.Bool  // another process of this proxy is running
	transit          atomic.Int64 // bytes of each body that may be in transit
	transitUpdatedAt int64        // when that was computed
	lastRound        int64        // when the latest round started to ask the balancer
	caughtUpAt       int64        // everything that discovery had written by then was handled
	count            Counters
	done             bool
}

// event is what a callback saw: when, on which connection, and what the event loop has to do about it.
type event struct {
	at   int64
	conn *baseConn // closed if do panics; nil if the event is about no connection
	do   func(at int64)
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
func (p *Proxy) now() int64 { return p.clockStart.UnixNano() + int64(time.Since(p.clockStart)) }

// post queues an event for the event loop. It never blocks, as the caller may hold nbio's locks.
func (p *Proxy) post(at int64, conn *baseConn, do func(at int64)) {
	if conn != nil {
		conn.pendingEvents.Add(1)
	}
	p.queue(&p.events, event{at, conn, do})
}

// queue appends an event to one of the two queues and wakes the loop.
func (p *Proxy) queue(to *[]event, e event) {
	p.mu.Lock()
	*to = append(*to, e)
	p.mu.Unlock()
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

// New returns a proxy that does not listen yet.
func New(cfg Config) *Proxy {
	p := &Proxy{config: cfg, clockStart: time.Now(), wakeup: make(chan struct{}, 1), requests: map[uint64]*request{},
		ids:   map[string]bool{},
		count: newCounters(), sockets: cfg.Sockets, seen: map[string]bool{}}
	if cfg.Holds != nil {
		p.holds = cfg.Holds.Table()
	}
	p.terms, p.random.Seed = &cfg.Terms, cfg.Terms.Seed^1
	p.updateTransitLimit(p.now())
	p.balancer = balance.New(cfg.Terms, p.now())
	p.loadKnownHosts(cfg.KnownHosts, p.now())
	p.loadSnapshot(p.now())
	p.lastRound = p.now()
	return p
}

// Run listens and serves until a drain has ended.
func (p *Proxy) Run() error {
	l := p.config.Inherited
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", p.config.Listen); err != nil {
			return err
		}
	}
	if err := p.openKeys(); err != nil {
		return fmt.Errorf("idempotency keys: %w", err)
	}
	p.listener = newListener(l)
	nbio.MaxOpenFiles = max(p.config.Sockets, 1024)
	p.engine = nbio.NewEngine(nbio.Config{Name: "ivybank", Network: "tcp", Addrs: []string{p.config.Listen},
		NPoller: p.config.Pollers, MaxWriteBufferSize: maxUnsentBytes, EpollMod: nbio.EPOLLET,
		Listen: func(string, string) (net.Listener, error) { return p.listener, nil }})
	p.engine.OnOpen(p.onOpen)
	p.engine.OnRead(p.onReadable)
	p.engine.OnClose(p.onClosed)
	p.engine.OnWrittenSize(p.onWritten)
	p.engine.OnAcceptError(func(error) { time.Sleep(5 * time.Millisecond) }) // nbio retries at once
	if err := p.engine.Start(); err != nil {
		return err
	}
	p.scheduleAccept(p.config.SiblingLock != nil && p.config.SiblingLock.Other(), p.now())
	if p.config.Holds != nil {
		go p.watchSibling()
	}
	p.reconfigureLimits(p.config.Fleet, p.now())
	p.startPeers(p.minIncarnation(), p.now())
	p.subscribe(p.now())
	if p.recovery != nil {
		p.saveSnapshot(p.now())
		p.checkFullService(p.now())
	}
	alarm := time.NewTimer(0)
	for !p.done {
		select {
		case <-p.wakeup:
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
func (p *Proxy) startAccepting() {
	if !p.accepting {
		p.accepting = true
		close(p.listener.opened)
		logrus.Infof("serving on %s", p.config.Listen)
	}
}

// round handles queued events and timers, and then carries out what the balancer decides. Events come before
// timers: a response that was read before its dispatch timed out counts.
func (p *Proxy) round() {
	due := p.now() // when this round had to run at the latest
	if len(p.timers) > 0 {
		due = min(due, max(p.lastRound, p.timers[0].at))
	}
	due = p.checkStall(due)
	p.mu.Lock()
	events := p.events
	p.events = nil
	p.mu.Unlock()
	p.handleWatchEvents()
	p.handleEvents(events)
	now := p.now()
	for len(p.timers) > 0 && p.timers[0].at <= now {
		t := heap.Pop(&p.timers).(*timer)
		p.guard(nil, func() { t.do(now) })
	}
	if now-p.transitUpdatedAt > transitUpdateNs {
		p.updateTransitLimit(now)
	}
	due = p.checkStall(due) // the process may have been stopped since the last check
	p.lastRound = due       // not the round's end: a process that is stopped while it sends would seem to have run
	p.guard(nil, func() { p.runDecisions(p.now()) })
}

// handleEvents handles events in their order.
func (p *Proxy) handleEvents(events []event) {
	for _, e := range events {
		record(p.count.loopLag, e.at, p.now())
		p.guard(e.conn, func() { e.do(e.at) })
		if e.conn != nil {
			e.conn.pendingEvents.Add(-1)
		}
	}
}

// guard limits a panic to the event that caused it and the event's connection.
func (p *Proxy) guard(conn *baseConn, do func()) {
	defer func() {
		if x := recover(); x != nil {
			p.recordPanic(x, debug.Stack())
			if conn != nil {
				conn.close()
			}
		}
	}()
	do()
}

// recordPanic counts and logs a recovered panic; it is called on the event loop.
func (p *Proxy) recordPanic(x any, stack []byte) {
	p.count.Panics++
	logrus.Errorf("panic: %v\n%s", x, stack)
}
