package emu

// This file holds the ends and restarts of balancers in virtual time, and the snapshots that they keep across them. What
// of a snapshot is used is never decided here but in package warmstart.

import (
	"fmt"
	"slices"

	"ivybank/balance"
	"ivybank/fleet/peer"
	"ivybank/fleet/warmstart"
)

// SnapshotConfig says how balancers save snapshots of what they have learnt; they save none if Interval is 0. Times are in
// nanoseconds.
type SnapshotConfig struct {
	Interval    int64
	TrustPeriod int64
}

// snapshotter is a policy whose learnt state can be saved and restored.
type snapshotter interface {
	Snapshot(now int64) balance.Snapshot
	Restore(m balance.Snapshot, now int64)
}

// EnableSnapshots has all balancers save snapshots from now on.
func (bs *Balancers) EnableSnapshots(config SnapshotConfig) {
	bs.snapshotConfig = config
	for _, b := range bs.balancers {
		b.saveSnapshot(b.starts)
	}
}

// startProcess starts a balancer's process with the initial list, or with the saved snapshot if there is one.
func (b *balancer) startProcess() {
	now := b.clock.Now()
	b.starts++
	b.dead, b.watching, b.requests, b.startedAt = false, false, map[uint64]*clientTry{}, now
	config := b.config
	config.Seed += uint64(b.starts-1) << 32
	b.policy = b.newPolicy(config, now)
	b.list = slices.Clone(b.startList)
	var m warmstart.Snapshot
	if b.snapshot != nil {
		m, _ = warmstart.Evaluate(*b.snapshot, b.proxyName(), &b.config, b.clocks(), b.snapshotConfig.TrustPeriod)
		if len(m.List.Hosts) > 0 {
			b.list = b.list[:0]
			for _, h := range m.List.Hosts {
				b.list = append(b.list, h.Server)
			}
		}
	}
	for _, e := range b.list {
		b.fleet.Checker.StateAnnounced(b.id, e.ID, e.State)
	}
	b.policy.UpdateList(balance.ListRestored, b.list, now)
	if p, ok := b.policy.(snapshotter); ok && b.snapshot != nil {
		p.Restore(m.Balancer, now)
	}
	b.restored = m.Balancer.Servers
	b.clock.At(now, b.runDecisions)
	if b.snapshotConfig.Interval > 0 {
		b.saveSnapshot(b.starts)
	}
}

func (b *balancer) proxyName() string { return fmt.Sprint(b.id) }
func (b *balancer) clocks() warmstart.Clocks {
	return warmstart.Clocks{WallTime: b.clock.Now(), BootID: "virtual", Uptime: b.clock.Now()}
}

// saveSnapshot saves what a balancer has learnt, and schedules itself again after the interval.
func (b *balancer) saveSnapshot(starts int) {
	p, ok := b.policy.(snapshotter)
	if b.starts != starts || b.dead || !ok {
		return
	}
	at := b.clocks()
	m := warmstart.Snapshot{Proxy: b.proxyName(), WallTime: at.WallTime, BootID: at.BootID,
		Uptime: at.Uptime, ConfigHash: warmstart.ConfigHash(&b.config), Balancer: p.Snapshot(b.clock.Now())}
	for _, e := range b.list {
		m.List.Hosts = append(m.List.Hosts, warmstart.Host{Server: e, Addr: e.ID})
	}
	b.snapshot = &m
	b.clock.At(b.clock.Now()+b.snapshotConfig.Interval, func() { b.saveSnapshot(starts) })
}

// recordList applies a list or a change of it from discovery to the balancer's list.
func (b *balancer) recordList(form balance.ListForm, entries []balance.Server) {
	if form == balance.ListReplace {
		b.list = slices.Clone(entries)
		return
	}
	for _, e := range entries {
		if i := slices.IndexFunc(b.list, func(s balance.Server) bool { return s.ID == e.ID }); i >= 0 {
			b.list[i] = e
		} else {
			b.list = append(b.list, e)
		}
	}
}

// applyReports restores the policy from its snapshot and the reports of other members.
func (b *balancer) applyReports(reports []warmstart.PeerReport) {
	p, ok := b.policy.(snapshotter)
	if !ok || b.dead {
		return
	}
	now := b.clock.Now()
	reports = warmstart.MatchListed(reports, func(id string) (int64, uint32, bool) {
		i := slices.IndexFunc(b.list, func(s balance.Server) bool { return s.ID == id })
		if i < 0 {
			return 0, 0, false
		}
		return b.list[i].Since, peer.StartTime(b.list[i].Since), true
	})
	p.Restore(balance.Snapshot{Servers: warmstart.MergeReports(
		warmstart.AgeServers(b.restored, now-b.startedAt, max(1, b.snapshotConfig.TrustPeriod)), reports, now)}, now)
	b.runDecisions()
}

// kill ends a balancer's process abruptly: its state is lost, and its clients get no answer.
func (b *balancer) kill() {
	now := b.clock.Now()
	b.dead = true
	ids := make([]uint64, 0, len(b.requests))
	for id := range b.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		try := b.requests[id]
		for _, x := range try.attempts {
			if x.pending {
				x.pending = false
				if delay, arrives := b.fleet.Delivery(b.zone, x.server); arrives {
					b.clock.At(now+delay, func() { x.server.Cancel(x.job) })
				}
			}
		}
		if !try.ended {
			try.ended = true
			b.fleet.Checker.ClientLeft(try.name)
			b.onResult(Result{try.Request, Unanswered, now - try.firstAt, try.tries, b.id})
		}
		b.fleet.Checker.Forget(try.name)
	}
	b.requests = map[uint64]*clientTry{}
}

// injectProxyFault begins a fault of balancers or of the network between them and gives a function that ends it.
func (bs *Balancers) injectProxyFault(x Fault) (undo func()) {
	if x.Kind != "proxy_kill" {
		if bs.peers != nil {
			return bs.peers.Inject(x)
		}
		return func() {}
	}
	targets := x.Proxies
	if len(targets) == 0 {
		targets = Sample(&bs.random, len(bs.balancers), x.Count)
	}
	for _, i := range targets {
		bs.balancers[i].kill()
		if bs.peers != nil {
			bs.peers.Kill(i)
		}
		if x.Duration <= 0 {
			continue
		}
		bs.clock.At(bs.clock.Now()+x.Duration+int64(bs.random.Next()*float64(x.Jitter)), func() {
			bs.balancers[i].startProcess()
			if bs.peers != nil {
				bs.peers.Start(i)
				bs.peers.Fleet(i).SetServers(bs.serverIDs(), bs.clock.Now())
			}
		})
	}
	return func() {}
}

// serverIDs gives the ids of all servers.
func (bs *Balancers) serverIDs() (ids []string) {
	for _, x := range bs.fleet.Servers {
		ids = append(ids, x.ID)
	}
	return ids
}
