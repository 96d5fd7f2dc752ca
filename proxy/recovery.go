package proxy

// This file handles recovery after a start or a stop of the process: what snapshots hold and when they are written,
// what of a snapshot is used at a start, what peers report, and how long service takes to be full again. It must
// never delay a request, decide what is to be trusted (package recall does), or take a clock's jump for elapsed
// time.

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
	"ivybank/proxy/admin"
)

const (
	lookFull  = 2.5e8            // between checks whether service is full
	warnApart = 30 * time.Second // between warnings that snapshots cannot be written
	sureWait  = int64(5e8)       // how long the process waits for a list after a stall if discovery was connected before
	stoodLong = int64(5e8)       // rounds that are so late show that the process did not run; it verifies the host list first
)

// RecoveryConfig is the operator's configuration of recovery. Times are in nanoseconds.
type RecoveryConfig struct {
	Folder string // for snapshots; empty: none are kept
	Every  int64  // interval between them
	Trust  int64  // older observations of hosts are not trusted
}

// recovery is the event loop's state of recovery; nil if it is not configured.
type comeback struct {
	RecoveryConfig
	source   string // where the list in use is from: start, disk, discovery
	listAt   int64  // when it was reported, as far as known
	verdicts []recall.Verdict
	own      []balance.ServerSnapshot // what was trusted of the snapshot
	newest   int64                    // start of the newest idempotency key in the snapshot
	life     uint64                   // incarnation of the process before
	meter    recall.Meter
	number   uint64
	writing  bool
	next     *timer // fires when the next snapshot is due
	warned   time.Time
	count    struct{ Written, Unwritten, Refused, Drained, Stood int }
	drained  map[string]bool // hosts that peers report as draining; removed when discovery reports on them
	unsure   bool            // the process stalled, and discovery has not sent the list since: nothing is dispatched
	sureAt   *timer          // ends that at the latest
}

func newComeback(x RecoveryConfig, source string, now int64) *comeback {
	return &comeback{RecoveryConfig: x, source: source, listAt: now, drained: map[string]bool{}, meter: recall.Meter{Begun: now}}
}

// snapshotClocks reads the clocks for snapshots. The time since the machine's start is not affected by changes of
// wall time.
func clocks() recall.Now {
	n := recall.Now{Wall: time.Now().UnixNano()}
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) == nil {
		n.Up, n.Boot = t.Nano(), bootID()
	}
	return n
}

// loadSnapshot applies the snapshot of the process before, over the list given at start.
func (p *Proxy) remembered(now int64) {
	x := p.start.Recovery
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
			logrus.Warnf("starting without a snapshot: %v", err)
		}
		return
	}
	m, c.verdicts = recall.Weigh(m, p.start.Listen, p.terms, clocks(), c.Trust)
	fields := logrus.Fields{}
	for _, v := range c.verdicts {
		if fields[v.Part] = v.Why; !v.Kept {
			fields[v.Part] = "not trusted: " + v.Why
		}
	}
	if m.Whose == "" {
		c.count.Refused++
		logrus.WithFields(fields).Warn("starting without a snapshot: it belongs to another proxy or is from the future")
		return
	}
	logrus.WithFields(fields).Info("loaded a snapshot")
	c.meter.Before = m.Service
	c.own, c.newest, c.life = m.Module.Servers, m.Newest, m.Life
	if len(m.List.Hosts) > 0 && m.List.Generation >= p.list.generation {
		p.listed(balance.ListRestored, rollOf(m.List), now)
		c.source, c.listAt = "disk", now-m.List.Age
	}
	if p.start.Holds != nil && p.start.Holds.Restore(m.Holds) {
		p.holding(m.Holds, now)
	}
	p.module.Restore(m.Module, now)
}

// minIncarnation returns a value that the next incarnation must reach: one taken from wall time might be too low.
func (p *Proxy) lifeBefore() uint64 {
	if c := p.comeback; c != nil && c.life > 0 {
		return swim.After(c.life)
	}
	return 0
}

// hostListOf converts a list of a snapshot to the form of discovery's.
func rollOf(l recall.List) roll {
	r := roll{Generation: l.Generation, Reset: true, Instances: []entry{}}
	words := map[balance.State]string{balance.Running: "ready", balance.Draining: "draining", balance.Gone: "gone"}
	for _, h := range l.Hosts {
		r.Instances = append(r.Instances, entry{ID: h.ID, Addr: h.Addr, Zone: h.Zone, Kind: h.Kind, Cell: h.Cell,
			State: words[h.State], Weight: h.Share, Started: float64(h.Since) / 1e6})
	}
	return r
}

// reconfigureRecovery applies a new configuration. Snapshots are loaded at a start only.
func (p *Proxy) rekeep(x *RecoveryConfig, now int64) {
	p.start.Recovery = x
	c := p.comeback
	switch {
	case x == nil && c != nil:
		p.stop(c.next)
		p.comeback = nil
	case x != nil && c == nil:
		p.comeback = newComeback(*x, "discovery", now)
		p.keep(now)
		p.lookFull(now)
	case x != nil && c.RecoveryConfig != *x:
		c.RecoveryConfig = *x
		p.stop(c.next)
		p.keep(now)
	}
}

// saveSnapshot writes a snapshot off the event loop; one at a time.
func (p *Proxy) keep(now int64) {
	c := p.comeback
	if c == nil || c.Folder == "" {
		return
	}
	c.next = p.after(now, c.Every, p.keep)
	if c.writing || p.other.Load() { // two processes of an upgrade would write the same file
		return
	}
	c.writing = true
	c.number++
	at := clocks()
	m := recall.Memory{Whose: p.start.Listen, Number: c.number, Wall: at.Wall, Boot: at.Boot, Up: at.Up, Shape: recall.Shape(p.terms),
		Module: p.module.Snapshot(now), Holds: p.held, Service: c.meter.Service(10e9, now), Newest: c.newest, Life: c.life}
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
				logrus.Warnf("the snapshot could not be written: %v", err)
			}
		})
	}()
}

// learnFromPeers applies what peers report of hosts that this process has not used yet.
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
	p.module.Restore(balance.Snapshot{Servers: all}, now)
}

// noteDiscovery records that discovery has sent a list, which replaces what peers reported on draining.
func (p *Proxy) discovered(form balance.ListForm, r roll, now int64) {
	c := p.comeback
	if c == nil || form == balance.ListRestored {
		return
	}
	c.source, c.listAt = "discovery", now
	if form == balance.ListReplace {
		clear(c.drained)
		c.unsure = false // the balancer gets the whole list in a moment
		p.stop(c.sureAt)
	}
	for _, e := range r.Instances {
		delete(c.drained, e.ID)
	}
}

// checkStall checks whether the process has run all the time since a round was due, and returns the time of the
// check. Requests, ejections and budgets depend on the clock. The list may have changed unnoticed: if a watch was
// open it is reopened, and until it delivers a list, or for a moment, nothing is dispatched, nor written for
// earlier decisions.
func (p *Proxy) ran(due int64) int64 {
	c, now := p.comeback, p.now()
	if now-due > stale {
		p.present(now) // the watch that is replaced below may hold unread data
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
		p.module.UpdateList(balance.ListRestored, p.listing(func(h *host) balance.Server {
			s := h.shown
			s.State = max(s.State, balance.Draining)
			return s
		}), now)
	}
	p.stop(c.sureAt)
	c.sureAt = p.after(now, sureWait, p.sure)
	return now
}

// listUncertain reports whether the list may have changed unnoticed.
func (p *Proxy) unsure() bool { return p.comeback != nil && p.comeback.unsure }

// trustList goes on with the list as it is known.
func (p *Proxy) sure(now int64) {
	if c := p.comeback; c != nil && c.unsure {
		c.unsure = false
		p.stop(c.sureAt)
		p.relist(now)
	}
}

// recordService adds a final response to the service meter.
func (p *Proxy) measured(set *balance.RuleSet, good bool, now int64) {
	if c := p.comeback; c != nil {
		worth := 1.0
		if set != nil {
			worth = set.BillingValue
		}
		c.meter.Add(worth, good, now)
	}
}

// checkFullService logs once that service is full.
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

// recoveryReply answers an operator's query of recovery.
func (p *Proxy) returnReply(now int64) admin.Reply {
	c := p.comeback
	if c == nil {
		return admin.Error(http.StatusNotFound, "nothing is kept: the operator file has no [return]")
	}
	s := recall.Status{List: c.source, ListAge: (now - c.listAt) / 1e6, Generation: p.list.generation, Kept: c.verdicts, FullAfter: c.meter.Full / 1e6,
		Service: c.meter.Service(3e9, now), Written: c.count.Written, Unwritten: c.count.Unwritten, Refused: c.count.Refused, Stood: c.count.Stood, Drained: c.count.Drained}
	if p.peers != nil {
		s.Asked, s.Answers, s.Taught = p.peers.fleet.Lessons()
	}
	return asJSON(s)
}
