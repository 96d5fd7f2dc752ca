package proxy

// This file handles recovery after a start or a stop of the process: what snapshots hold and when they are written,
// what of a snapshot is used at a start, what peers report, and how long service takes to be full again. It must
// never delay a request, decide what is to be trusted (package warmstart does), or take a clock's jump for elapsed
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
	"ivybank/fleet/snapshot"
	"ivybank/fleet/swim"
	"ivybank/fleet/warmstart"
	"ivybank/proxy/admin"
)

const (
	fullServicePollNs    = 2.5e8            // between checks whether service is full
	snapshotWarnInterval = 30 * time.Second // between warnings that snapshots cannot be written
	// How long the process waits for a list after a stall if discovery was connected before.
	maxListVerifyNs = int64(5e8)
	// Rounds that are so late show that the process did not run; it verifies the host list first.
	stallThresholdNs = int64(5e8)
)

// RecoveryConfig is the operator's configuration of recovery. Times are in nanoseconds.
type RecoveryConfig struct {
	Folder string // for snapshots; empty: none are kept
	Every  int64  // interval between them
	Trust  int64  // observations of hosts that are older are not trusted
}

// recovery is the event loop's state of recovery; nil if it is not configured.
type recovery struct {
	RecoveryConfig
	source          string // where the list in use is from: start, disk, discovery
	listTime        int64  // when it was reported, as far as known
	verdicts        []warmstart.Verdict
	snapshotServers []balance.ServerSnapshot // what was trusted of the snapshot
	newestKey       int64                    // start of the newest idempotency key in the snapshot
	lastIncarnation uint64                   // incarnation of the process before
	meter           warmstart.ServiceMeter
	snapshotNumber  uint64
	writing         bool
	snapshotTimer   *timer // fires when the next snapshot is due
	lastWarning     time.Time
	count           struct{ Written, Unwritten, Refused, Drained, Stalls int }
	drainingByPeers map[string]bool // hosts that peers report as draining; removed when discovery reports on them
	// The process stalled, and discovery has not sent the list since: nothing is dispatched.
	listUncertain bool
	verifyTimer   *timer // ends listUncertain at the latest
}

func newRecovery(cfg RecoveryConfig, source string, now int64) *recovery {
	return &recovery{RecoveryConfig: cfg, source: source, listTime: now, drainingByPeers: map[string]bool{},
		meter: warmstart.ServiceMeter{StartedAt: now}}
}

// snapshotClocks reads the clocks for snapshots. The time since the machine's start is not affected by changes of
// wall time.
func snapshotClocks() warmstart.Clocks {
	clocks := warmstart.Clocks{WallTime: time.Now().UnixNano()}
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) == nil {
		clocks.Uptime, clocks.BootID = t.Nano(), bootID()
	}
	return clocks
}

// loadSnapshot applies the snapshot of the process before, over the list given at start.
func (p *Proxy) loadSnapshot(now int64) {
	cfg := p.config.Recovery
	if cfg == nil {
		return
	}
	rec := newRecovery(*cfg, "start", now)
	p.recovery = rec
	if rec.Folder == "" {
		return
	}
	memory, err := snapshot.Read(rec.Folder)
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			rec.count.Refused++
			logrus.Warnf("starting without a snapshot: %v", err)
		}
		return
	}
	memory, rec.verdicts = warmstart.Evaluate(memory, p.config.Listen, p.terms, snapshotClocks(), rec.Trust)
	fields := logrus.Fields{}
	for _, verdict := range rec.verdicts {
		if fields[verdict.Part] = verdict.Why; !verdict.Kept {
			fields[verdict.Part] = "not trusted: " + verdict.Why
		}
	}
	if memory.Proxy == "" {
		rec.count.Refused++
		logrus.WithFields(fields).Warn("starting without a snapshot: it belongs to another proxy or is from the future")
		return
	}
	logrus.WithFields(fields).Info("loaded a snapshot")
	rec.meter.PreviousService = memory.Service
	rec.snapshotServers, rec.newestKey, rec.lastIncarnation = memory.Balancer.Servers, memory.NewestKey, memory.Incarnation
	if len(memory.List.Hosts) > 0 && memory.List.Generation >= p.discovery.generation {
		p.applyList(balance.ListRestored, hostListOf(memory.List), now)
		rec.source, rec.listTime = "disk", now-memory.List.Age
	}
	if p.config.Holds != nil && p.config.Holds.Restore(memory.Holds) {
		p.applyHolds(memory.Holds, now)
	}
	p.balancer.Restore(memory.Balancer, now)
}

// minIncarnation returns a value that the next incarnation must reach: one taken from wall time might be too low.
func (p *Proxy) minIncarnation() uint64 {
	if rec := p.recovery; rec != nil && rec.lastIncarnation > 0 {
		return swim.NextIncarnation(rec.lastIncarnation)
	}
	return 0
}

// hostListOf converts a list of a snapshot to the form of discovery's.
func hostListOf(l warmstart.List) hostList {
	list := hostList{Generation: l.Generation, Reset: true, Instances: []hostEntry{}}
	states := map[balance.State]string{balance.Running: "ready", balance.Draining: "draining", balance.Gone: "gone"}
	for _, h := range l.Hosts {
		list.Instances = append(list.Instances, hostEntry{ID: h.ID, Addr: h.Addr, Zone: h.Zone, Kind: h.Kind,
			Cell:  h.Cell,
			State: states[h.State], Weight: h.Share, Started: float64(h.Since) / 1e6})
	}
	return list
}

// reconfigureRecovery applies a new configuration. Snapshots are loaded at a start only.
func (p *Proxy) reconfigureRecovery(cfg *RecoveryConfig, now int64) {
	p.config.Recovery = cfg
	rec := p.recovery
	switch {
	case cfg == nil && rec != nil:
		p.stop(rec.snapshotTimer)
		p.recovery = nil
	case cfg != nil && rec == nil:
		p.recovery = newRecovery(*cfg, "discovery", now)
		p.saveSnapshot(now)
		p.checkFullService(now)
	case cfg != nil && rec.RecoveryConfig != *cfg:
		rec.RecoveryConfig = *cfg
		p.stop(rec.snapshotTimer)
		p.saveSnapshot(now)
	}
}

// saveSnapshot writes a snapshot off the event loop; one at a time.
func (p *Proxy) saveSnapshot(now int64) {
	rec := p.recovery
	if rec == nil || rec.Folder == "" {
		return
	}
	rec.snapshotTimer = p.after(now, rec.Every, p.saveSnapshot)
	if rec.writing || p.hasSibling.Load() { // two processes of an upgrade would write the same file
		return
	}
	rec.writing = true
	rec.snapshotNumber++
	clocks := snapshotClocks()
	memory := warmstart.Snapshot{Proxy: p.config.Listen, Number: rec.snapshotNumber, WallTime: clocks.WallTime, BootID: clocks.BootID,
		Uptime: clocks.Uptime, ConfigHash: warmstart.ConfigHash(p.terms),
		Balancer: p.balancer.Snapshot(now), Holds: p.holds, Service: rec.meter.Service(10e9, now),
		NewestKey: rec.newestKey, Incarnation: rec.lastIncarnation}
	memory.List = warmstart.List{Generation: p.discovery.generation, Age: now - rec.listTime}
	for _, h := range p.hosts {
		if h.listed {
			memory.List.Hosts = append(memory.List.Hosts, warmstart.Host{Server: h.reported, Addr: h.addr})
		}
	}
	if p.keys != nil {
		memory.NewestKey = max(memory.NewestKey, p.keys.newestKey)
	}
	if p.peers != nil {
		memory.Incarnation = p.peers.fleet.Membership().Incarnation()
	}
	go func() {
		err := snapshot.Write(rec.Folder, &memory)
		p.post(p.now(), nil, func(int64) {
			if rec.writing = false; err == nil {
				rec.count.Written++
				return
			}
			if rec.count.Unwritten++; time.Since(rec.lastWarning) > snapshotWarnInterval {
				rec.lastWarning = time.Now()
				logrus.Warnf("the snapshot could not be written: %v", err)
			}
		})
	}()
}

// learnFromPeers applies what peers report of hosts that this process has not used yet.
func (p *Proxy) learnFromPeers(reports []warmstart.PeerReport, now int64) {
	rec := p.recovery
	if rec == nil {
		return
	}
	reports = warmstart.MatchListed(reports, func(id string) (int64, uint32, bool) {
		h := p.host(id)
		if h == nil || !h.listed {
			return 0, 0, false
		}
		return h.startTime, peer.StartTime(h.reported.Since), true
	})
	servers := warmstart.MergeReports(warmstart.AgeServers(rec.snapshotServers, now-rec.meter.StartedAt, rec.Trust), reports, now)
	for _, l := range servers {
		if h := p.host(l.ID); l.Draining && h != nil && h.ready && !rec.drainingByPeers[l.ID] {
			rec.drainingByPeers[l.ID] = true
			rec.count.Drained++
		}
	}
	p.refreshHosts(now)
	p.balancer.Restore(balance.Snapshot{Servers: servers}, now)
}

// noteDiscovery records that discovery has sent a list, which replaces what peers reported on draining.
func (p *Proxy) noteDiscovery(form balance.ListForm, list hostList, now int64) {
	rec := p.recovery
	if rec == nil || form == balance.ListRestored {
		return
	}
	rec.source, rec.listTime = "discovery", now
	if form == balance.ListReplace {
		clear(rec.drainingByPeers)
		rec.listUncertain = false // the balancer gets the whole list in a moment
		p.stop(rec.verifyTimer)
	}
	for _, e := range list.Instances {
		delete(rec.drainingByPeers, e.ID)
	}
}

// checkStall checks whether the process has run all the time since a round was due, and returns the time of the
// check. Requests, ejections and budgets depend on the clock. The list may have changed unnoticed: if a watch was
// open it is reopened, and until it delivers a list, or for a moment, nothing is dispatched, nor written for
// earlier decisions.
func (p *Proxy) checkStall(due int64) int64 {
	rec, now := p.recovery, p.now()
	if now-due > maxWatchAgeNs {
		p.catchUpWatch(now) // the watch that is replaced below may hold unread data
	}
	if rec == nil || now-due <= stallThresholdNs {
		return now
	}
	rec.count.Stalls++
	logrus.Infof("this process did not run for %d ms", (now-due)/1e6)
	if p.discovery.watch == nil {
		return now
	}
	p.openWatch(now)
	if !rec.listUncertain {
		rec.listUncertain = true
		p.balancer.UpdateList(balance.ListRestored, p.listedServers(func(h *host) balance.Server {
			s := h.effective
			s.State = max(s.State, balance.Draining)
			return s
		}), now)
	}
	p.stop(rec.verifyTimer)
	rec.verifyTimer = p.after(now, maxListVerifyNs, p.trustList)
	return now
}

// listUncertain reports whether the list may have changed unnoticed.
func (p *Proxy) listUncertain() bool { return p.recovery != nil && p.recovery.listUncertain }

// trustList goes on with the list as it is known.
func (p *Proxy) trustList(now int64) {
	if rec := p.recovery; rec != nil && rec.listUncertain {
		rec.listUncertain = false
		p.stop(rec.verifyTimer)
		p.republishHosts(now)
	}
}

// recordService adds a final response to the service meter.
func (p *Proxy) recordService(ruleSet *balance.RuleSet, good bool, now int64) {
	if rec := p.recovery; rec != nil {
		value := 1.0
		if ruleSet != nil {
			value = ruleSet.BillingValue
		}
		rec.meter.Add(value, good, now)
	}
}

// checkFullService logs once that service is full.
func (p *Proxy) checkFullService(now int64) {
	rec := p.recovery
	if rec == nil {
		return
	}
	if after, full := rec.meter.CheckFull(now); full {
		logrus.WithFields(logrus.Fields{"after_ms": after / 1e6, "list": rec.source}).Info("service is full")
		return
	}
	p.after(now, fullServicePollNs, p.checkFullService)
}

// recoveryReply answers an operator's query of recovery.
func (p *Proxy) recoveryReply(now int64) admin.Reply {
	rec := p.recovery
	if rec == nil {
		return admin.Error(http.StatusNotFound, "nothing is kept: the operator file has no [return]")
	}
	status := warmstart.Status{List: rec.source, ListAge: (now - rec.listTime) / 1e6, Generation: p.discovery.generation,
		Kept: rec.verdicts, FullAfter: rec.meter.FullAfter / 1e6,
		Service: rec.meter.Service(3e9, now), Written: rec.count.Written, Unwritten: rec.count.Unwritten,
		Refused: rec.count.Refused, Stalls: rec.count.Stalls, DrainingByPeers: rec.count.Drained}
	if p.peers != nil {
		status.Asked, status.Answers, status.AnswersSent = p.peers.fleet.LearnCounts()
	}
	return jsonReply(status)
}
