package emu

// This file owns the ends and returns of balancers in virtual time, and what they keep over them. It must never decide what of that is
// believed.

import (
	"fmt"
	"slices"

	"ivybank/balance"
	"ivybank/fleet/peer"
	"ivybank/fleet/warmstart"
)

// Keeps is what balancers write down; none where Every is 0.
type SnapshotConfig struct {
	Interval    int64
	TrustPeriod int64
}

// remembers is a policy that hands out what it has learnt and takes it back.
type snapshotter interface {
	Snapshot(now int64) balance.Snapshot
	Restore(m balance.Snapshot, now int64)
}

// Keep has all balancers write down what they have learnt from now on.
func (s *Balancers) EnableSnapshots(k SnapshotConfig) {
	s.snapshotConfig = k
	for _, st := range s.balancers {
		st.saveSnapshot(st.starts)
	}
}

// begin starts a balancer's process: with the list of the start, or what was kept.
func (st *balancer) startProcess() {
	now := st.clock.Now()
	st.starts++
	st.dead, st.watching, st.requests, st.startedAt = false, false, map[uint64]*clientTry{}, now
	t := st.config
	t.Seed += uint64(st.starts-1) << 32
	st.policy = st.newPolicy(t, now)
	st.list = slices.Clone(st.startList)
	var m warmstart.Snapshot
	if st.snapshot != nil {
		m, _ = warmstart.Evaluate(*st.snapshot, st.proxyName(), &st.config, st.clocks(), st.snapshotConfig.TrustPeriod)
		if len(m.List.Hosts) > 0 {
			st.list = st.list[:0]
			for _, h := range m.List.Hosts {
				st.list = append(st.list, h.Server)
			}
		}
	}
	for _, e := range st.list {
		st.fleet.Checker.StateAnnounced(st.id, e.ID, e.State)
	}
	st.policy.UpdateList(balance.ListRestored, st.list, now)
	if p, ok := st.policy.(snapshotter); ok && st.snapshot != nil {
		p.Restore(m.Balancer, now)
	}
	st.restored = m.Balancer.Servers
	st.clock.At(now, st.runDecisions)
	if st.snapshotConfig.Interval > 0 {
		st.saveSnapshot(st.starts)
	}
}

func (st *balancer) proxyName() string { return fmt.Sprint(st.id) }
func (st *balancer) clocks() warmstart.Clocks {
	return warmstart.Clocks{WallTime: st.clock.Now(), BootID: "virtual", Uptime: st.clock.Now()}
}

// keep writes down what a balancer has learnt, each time it is due.
func (st *balancer) saveSnapshot(life int) {
	p, ok := st.policy.(snapshotter)
	if st.starts != life || st.dead || !ok {
		return
	}
	at := st.clocks()
	m := warmstart.Snapshot{Proxy: st.proxyName(), WallTime: at.WallTime, BootID: at.BootID, Uptime: at.Uptime, ConfigHash: warmstart.ConfigHash(&st.config), Balancer: p.Snapshot(st.clock.Now())}
	for _, e := range st.list {
		m.List.Hosts = append(m.List.Hosts, warmstart.Host{Server: e, Addr: e.ID})
	}
	st.snapshot = &m
	st.clock.At(st.clock.Now()+st.snapshotConfig.Interval, func() { st.saveSnapshot(life) })
}

// note keeps the list as it is told.
func (st *balancer) recordList(form balance.ListForm, entries []balance.Server) {
	if form == balance.ListReplace {
		st.list = slices.Clone(entries)
		return
	}
	for _, e := range entries {
		if i := slices.IndexFunc(st.list, func(s balance.Server) bool { return s.ID == e.ID }); i >= 0 {
			st.list[i] = e
		} else {
			st.list = append(st.list, e)
		}
	}
}

// learn takes what others tell.
func (st *balancer) applyReports(told []warmstart.PeerReport) {
	p, ok := st.policy.(snapshotter)
	if !ok || st.dead {
		return
	}
	now := st.clock.Now()
	told = warmstart.MatchListed(told, func(id string) (int64, uint32, bool) {
		i := slices.IndexFunc(st.list, func(s balance.Server) bool { return s.ID == id })
		if i < 0 {
			return 0, 0, false
		}
		return st.list[i].Since, peer.StartTime(st.list[i].Since), true
	})
	p.Restore(balance.Snapshot{Servers: warmstart.MergeReports(warmstart.AgeServers(st.restored, now-st.startedAt, max(1, st.snapshotConfig.TrustPeriod)), told, now)}, now)
	st.runDecisions()
}

// end ends a balancer's process as a kill does: what it held is lost, and its clients have no answer.
func (st *balancer) kill() {
	now := st.clock.Now()
	st.dead = true
	ids := make([]uint64, 0, len(st.requests))
	for id := range st.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		r := st.requests[id]
		for _, x := range r.attempts {
			if x.pending {
				x.pending = false
				if wait, arrives := st.fleet.Delivery(st.zone, x.server); arrives {
					st.clock.At(now+wait, func() { x.server.Cancel(x.job) })
				}
			}
		}
		if !r.ended {
			r.ended = true
			st.fleet.Checker.ClientLeft(r.name)
			st.onResult(Result{r.Request, Unanswered, now - r.firstAt, r.tries, st.id})
		}
		st.fleet.Checker.Forget(r.name)
	}
	st.requests = map[uint64]*clientTry{}
}

// strike does what befalls balancers and what passes between them.
func (s *Balancers) injectProxyFault(x Fault) (undo func()) {
	if x.Kind != "proxy_kill" {
		if s.peers != nil {
			return s.peers.Inject(x)
		}
		return func() {}
	}
	hit := x.Proxies
	if len(hit) == 0 {
		hit = Sample(&s.random, len(s.balancers), x.Count)
	}
	for _, i := range hit {
		s.balancers[i].kill()
		if s.peers != nil {
			s.peers.Kill(i)
		}
		if x.Duration <= 0 {
			continue
		}
		s.clock.At(s.clock.Now()+x.Duration+int64(s.random.Next()*float64(x.Jitter)), func() {
			s.balancers[i].startProcess()
			if s.peers != nil {
				s.peers.Start(i)
				s.peers.Fleet(i).SetServers(s.serverIDs(), s.clock.Now())
			}
		})
	}
	return func() {}
}

// ids are those of all servers.
func (s *Balancers) serverIDs() (ids []string) {
	for _, x := range s.fleet.Servers {
		ids = append(ids, x.ID)
	}
	return ids
}
