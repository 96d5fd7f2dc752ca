package proxy

// This file owns coming back: what is written down and when, what of it is taken at a start, what others teach, and how long service
// takes to be full again. It must never hold up a req, decide what is to be believed (package recall), or take a clock's jump for time.

import (
	"errors"
	"io/fs"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"ivybank/balance"
	"ivybank/fleet/peer"
	"ivybank/fleet/recall"
	"ivybank/fleet/snap"
	"ivybank/fleet/swim"
	"ivybank/proxy/door"
)

const (
	lookFull  = 2.5e8            // between looks whether service is full
	warnApart = 30 * time.Second // between warnings that nothing can be written down
	sureWait  = int64(5e8)       // so long a list is waited for after that, where discovery was there before
	stoodLong = int64(5e8)       // rounds that come so much late: the process did not run, and settles what it holds first
)

// Return is what operators set on coming back.
type Return struct {
	Folder string // of snapshots; empty: none are kept
	Every  int64  // between them
	Trust  int64  // what was met at servers longer ago is not believed
}

// comeback is the owner's side of it; nil where operators set nothing.
type comeback struct {
	Return
	source   string // where the list in use is from: start, disk, discovery
	listAt   int64  // when it was told, as far as known
	verdicts []recall.Verdict
	own      []balance.Learnt // what was believed of the snapshot
	newest   int64            // idempotency key that the snapshot knew of
	life     uint64           // the incarnation before
	meter    recall.Meter
	number   uint64
	writing  bool
	next     *timer // of the snapshots
	warned   time.Time
	count    struct{ Written, Unwritten, Refused, Drained, Stood int }
	drained  map[string]bool // hosts that another says drain; emptied by what discovery tells
	unsure   bool            // the process stood still, and the list has not been told since: nothing is dispatched
	sureAt   *timer          // when that ends at the latest
}

func newComeback(x Return, source string, now int64) *comeback {
	return &comeback{Return: x, source: source, listAt: now, drained: map[string]bool{}, meter: recall.Meter{Begun: now}}
}

// clocks are those of snapshots. The time since the machine's start goes on while a clock of the day jumps.
func clocks() recall.Now {
	n := recall.Now{Wall: time.Now().UnixNano()}
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) == nil {
		n.Up, n.Boot = t.Nano(), bootID()
	}
	return n
}

// remembered takes what the process before has left, over the list of the start.
func (p *Proxy) remembered(now int64) {
	x := p.start.Return
	if x == nil {
		return
	}
	c := newComeback(*x, "start", now)
	p.comeback = c
	if c.Folder == "" {
		return
	}
	m, err := snap.Read(c.Folder)
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			c.count.Refused++
			logrus.Warnf("start without what was kept: %v", err)
		}
		return
	}
	m, c.verdicts = recall.Weigh(m, p.start.Listen, p.terms, clocks(), c.Trust)
	fields := logrus.Fields{}
	for _, v := range c.verdicts {
		if fields[v.Part] = v.Why; !v.Kept {
			fields[v.Part] = "not believed: " + v.Why
		}
	}
	if m.Whose == "" {
		c.count.Refused++
		logrus.WithFields(fields).Warn("start without what was kept: it is of another proxy, or from the future")
		return
	}
	logrus.WithFields(fields).Info("kept from before")
	c.meter.Before = m.Service
	c.own, c.newest, c.life = m.Module.Servers, m.Newest, m.Life
	if len(m.List.Hosts) > 0 && m.List.Generation >= p.list.generation {
		p.listed(balance.ListRestored, rollOf(m.List), now)
		c.source, c.listAt = "disk", now-m.List.Age
	}
	if p.start.Holds != nil && p.start.Holds.Restore(m.Holds) {
		p.holding(m.Holds, now)
	}
	p.module.Recall(m.Module, now)
}

// lifeBefore is an incarnation that the next one has to be above: by the clock of the day it might not be.
func (p *Proxy) lifeBefore() uint64 {
	if c := p.comeback; c != nil && c.life > 0 {
		return swim.After(c.life)
	}
	return 0
}

// rollOf gives a kept list the form of a line of discovery's.
func rollOf(l recall.List) roll {
	r := roll{Generation: l.Generation, Reset: true, Instances: []entry{}}
	words := map[balance.State]string{balance.Running: "ready", balance.Draining: "draining", balance.Gone: "gone"}
	for _, h := range l.Hosts {
		r.Instances = append(r.Instances, entry{ID: h.ID, Addr: h.Addr, Zone: h.Zone, Kind: h.Kind, Cell: h.Cell,
			State: words[h.State], Weight: h.Share, Started: float64(h.Since) / 1e6})
	}
	return r
}

// rekeep takes what operators have set anew. What was kept before counts at a start alone.
func (p *Proxy) rekeep(x *Return, now int64) {
	p.start.Return = x
	c := p.comeback
	switch {
	case x == nil && c != nil:
		p.stop(c.next)
		p.comeback = nil
	case x != nil && c == nil:
		p.comeback = newComeback(*x, "discovery", now)
		p.keep(now)
		p.lookFull(now)
	case x != nil && c.Return != *x:
		c.Return = *x
		p.stop(c.next)
		p.keep(now)
	}
}

// keep writes down what is known, beside the owner; one at a time.
func (p *Proxy) keep(now int64) {
	c := p.comeback
	if c == nil || c.Folder == "" {
		return
	}
	c.next = p.after(now, c.Every, p.keep)
	if c.writing || p.other.Load() { // two processes of an upgrade would write one file
		return
	}
	c.writing = true
	c.number++
	at := clocks()
	m := recall.Memory{Whose: p.start.Listen, Number: c.number, Wall: at.Wall, Boot: at.Boot, Up: at.Up, Shape: recall.Shape(p.terms),
		Module: p.module.Memory(now), Holds: p.held, Service: c.meter.Service(10e9, now), Newest: c.newest, Life: c.life}
	m.List = recall.List{Generation: p.list.generation, Age: now - c.listAt}
	for _, h := range p.hosts {
		if h.listed {
			m.List.Hosts = append(m.List.Hosts, recall.Host{Server: h.told, Addr: h.addr})
		}
	}
	if p.keys != nil {
		m.Newest = max(m.Newest, p.keys.newest)
	}
	if p.peers != nil {
		m.Life = p.peers.fleet.Members().Life()
	}
	go func() {
		err := snap.Write(c.Folder, &m)
		p.post(p.now(), nil, func(int64) {
			if c.writing = false; err == nil {
				c.count.Written++
				return
			}
			if c.count.Unwritten++; time.Since(c.warned) > warnApart {
				c.warned = time.Now()
				logrus.Warnf("what was learnt is not kept: %v", err)
			}
		})
	}()
}

// learnt takes what others tell of servers that this process has not met yet.
func (p *Proxy) learnt(told []recall.Told, now int64) {
	c := p.comeback
	if c == nil {
		return
	}
	told = recall.Match(told, func(id string) (int64, uint32, bool) {
		h := p.host(id)
		if h == nil || !h.listed {
			return 0, 0, false
		}
		return h.since, peer.Start(h.told.Since), true
	})
	all := recall.Learn(recall.Later(c.own, now-c.meter.Begun, c.Trust), told, now)
	for _, l := range all {
		if h := p.host(l.ID); l.Draining && h != nil && h.ready && !c.drained[l.ID] {
			c.drained[l.ID] = true
			c.count.Drained++
		}
	}
	p.reshow(now)
	p.module.Recall(balance.Memory{Servers: all}, now)
}

// discovered notes that discovery has spoken; what others said of drains is past with it.
func (p *Proxy) discovered(form balance.ListForm, r roll, now int64) {
	c := p.comeback
	if c == nil || form == balance.ListRestored {
		return
	}
	c.source, c.listAt = "discovery", now
	if form == balance.ListReplace {
		clear(c.drained)
		c.unsure = false // the module is told all of it in a moment
		p.stop(c.sureAt)
	}
	for _, e := range r.Instances {
		delete(c.drained, e.ID)
	}
}

// ran looks whether this process ran all the time since a round was due, and gives when that was looked at. Reqs, ejections and budgets go
// by the clock. The list may have changed unheard: where a watch was up it is opened anew, and until it tells, or for a moment, nothing is
// dispatched, nor written that was to be.
func (p *Proxy) ran(due int64) int64 {
	c, now := p.comeback, p.now()
	if now-due > stale {
		p.present(now) // the watch that is to end may hold what was told
	}
	if c == nil || now-due <= stoodLong {
		return now
	}
	c.count.Stood++
	logrus.Infof("this process did not run for %d ms", (now-due)/1e6)
	if p.list.watch == nil {
		return now
	}
	p.watch(now)
	if !c.unsure {
		c.unsure = true
		p.module.Listed(balance.ListRestored, p.listing(func(h *host) balance.Server {
			s := h.shown
			s.State = max(s.State, balance.Draining)
			return s
		}), now)
	}
	p.stop(c.sureAt)
	c.sureAt = p.after(now, sureWait, p.sure)
	return now
}

// unsure says whether the list may have changed unheard.
func (p *Proxy) unsure() bool { return p.comeback != nil && p.comeback.unsure }

// sure goes on with the list as it is known.
func (p *Proxy) sure(now int64) {
	if c := p.comeback; c != nil && c.unsure {
		c.unsure = false
		p.stop(c.sureAt)
		p.relist(now)
	}
}

// measured takes a final answer for the time to full service.
func (p *Proxy) measured(set *balance.RuleSet, good bool, now int64) {
	if c := p.comeback; c != nil {
		worth := 1.0
		if set != nil {
			worth = set.BillingValue
		}
		c.meter.Add(worth, good, now)
	}
}

// lookFull says once that service is full.
func (p *Proxy) lookFull(now int64) {
	c := p.comeback
	if c == nil {
		return
	}
	if after, full := c.meter.Look(now); full {
		logrus.WithFields(logrus.Fields{"after_ms": after / 1e6, "list": c.source}).Info("service is full")
		return
	}
	p.after(now, lookFull, p.lookFull)
}

// returnReply is what an operator is told of the coming back.
func (p *Proxy) returnReply(now int64) door.Reply {
	c := p.comeback
	if c == nil {
		return door.No(http.StatusNotFound, "nothing is kept: the operator file has no [return]")
	}
	s := recall.Status{List: c.source, ListAge: (now - c.listAt) / 1e6, Generation: p.list.generation, Kept: c.verdicts, FullAfter: c.meter.Full / 1e6,
		Service: c.meter.Service(3e9, now), Written: c.count.Written, Unwritten: c.count.Unwritten, Refused: c.count.Refused, Stood: c.count.Stood, Drained: c.count.Drained}
	if p.peers != nil {
		s.Asked, s.Answers, s.Taught = p.peers.fleet.Lessons()
	}
	return asJSON(s)
}
