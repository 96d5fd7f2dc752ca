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
type Keeps struct {
	Every int64
	Trust int64
}

// remembers is a policy that hands out what it has learnt and takes it back.
type remembers interface {
	Snapshot(now int64) balance.Snapshot
	Restore(m balance.Snapshot, now int64)
}

// Keep has all balancers write down what they have learnt from now on.
func (s *Seats) Keep(k Keeps) {
	s.keeps = k
	for _, st := range s.seats {
		st.keep(st.life)
	}
}

// begin starts a balancer's process: with the list of the start, or what was kept.
func (st *seat) begin() {
	now := st.clock.Now()
	st.life++
	st.gone, st.listed, st.reqs, st.begun = false, false, map[uint64]*asked{}, now
	t := st.terms
	t.Seed += uint64(st.life-1) << 32
	st.policy = st.make(t, now)
	st.list = slices.Clone(st.start)
	var m warmstart.Snapshot
	if st.kept != nil {
		m, _ = warmstart.Evaluate(*st.kept, st.whose(), &st.terms, st.now(), st.keeps.Trust)
		if len(m.List.Hosts) > 0 {
			st.list = st.list[:0]
			for _, h := range m.List.Hosts {
				st.list = append(st.list, h.Server)
			}
		}
	}
	for _, e := range st.list {
		st.fleet.Judge.Told(st.id, e.ID, e.State)
	}
	st.policy.UpdateList(balance.ListRestored, st.list, now)
	if p, ok := st.policy.(remembers); ok && st.kept != nil {
		p.Restore(m.Balancer, now)
	}
	st.own = m.Balancer.Servers
	st.clock.At(now, st.decide)
	if st.keeps.Every > 0 {
		st.keep(st.life)
	}
}

func (st *seat) whose() string { return fmt.Sprint(st.id) }
func (st *seat) now() warmstart.Clocks {
	return warmstart.Clocks{WallTime: st.clock.Now(), BootID: "virtual", Uptime: st.clock.Now()}
}

// keep writes down what a balancer has learnt, each time it is due.
func (st *seat) keep(life int) {
	p, ok := st.policy.(remembers)
	if st.life != life || st.gone || !ok {
		return
	}
	at := st.now()
	m := warmstart.Snapshot{Proxy: st.whose(), WallTime: at.WallTime, BootID: at.BootID, Uptime: at.Uptime, ConfigHash: warmstart.ConfigHash(&st.terms), Balancer: p.Snapshot(st.clock.Now())}
	for _, e := range st.list {
		m.List.Hosts = append(m.List.Hosts, warmstart.Host{Server: e, Addr: e.ID})
	}
	st.kept = &m
	st.clock.At(st.clock.Now()+st.keeps.Every, func() { st.keep(life) })
}

// note keeps the list as it is told.
func (st *seat) note(form balance.ListForm, entries []balance.Server) {
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
func (st *seat) learn(told []warmstart.PeerReport) {
	p, ok := st.policy.(remembers)
	if !ok || st.gone {
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
	p.Restore(balance.Snapshot{Servers: warmstart.MergeReports(warmstart.AgeServers(st.own, now-st.begun, max(1, st.keeps.Trust)), told, now)}, now)
	st.decide()
}

// end ends a balancer's process as a kill does: what it held is lost, and its clients have no answer.
func (st *seat) end() {
	now := st.clock.Now()
	st.gone = true
	ids := make([]uint64, 0, len(st.reqs))
	for id := range st.reqs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		r := st.reqs[id]
		for _, x := range r.sends {
			if x.out {
				x.out = false
				if wait, arrives := st.fleet.Way(st.zone, x.srv); arrives {
					st.clock.At(now+wait, func() { x.srv.Cancel(x.job) })
				}
			}
		}
		if !r.ended {
			r.ended = true
			st.fleet.Judge.Left(r.name)
			st.result(Result{r.Ask, Unanswered, now - r.first, r.tries, st.id})
		}
		st.fleet.Judge.Forget(r.name)
	}
	st.reqs = map[uint64]*asked{}
}

// strike does what befalls balancers and what passes between them.
func (s *Seats) strike(x Fault) (undo func()) {
	if x.Kind != "proxy_kill" {
		if s.peers != nil {
			return s.peers.Strike(x)
		}
		return func() {}
	}
	hit := x.Proxies
	if len(hit) == 0 {
		hit = Drawn(&s.dice, len(s.seats), x.Count)
	}
	for _, i := range hit {
		s.seats[i].end()
		if s.peers != nil {
			s.peers.Kill(i)
		}
		if x.For <= 0 {
			continue
		}
		s.clock.At(s.clock.Now()+x.For+int64(s.dice.Next()*float64(x.Spread)), func() {
			s.seats[i].begin()
			if s.peers != nil {
				s.peers.Start(i)
				s.peers.Fleet(i).SetServers(s.ids(), s.clock.Now())
			}
		})
	}
	return func() {}
}

// ids are those of all servers.
func (s *Seats) ids() (ids []string) {
	for _, x := range s.fleet.Servers {
		ids = append(ids, x.ID)
	}
	return ids
}
