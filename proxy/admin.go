package proxy

// This file handles operators' calls to a running proxy, hosts that they take out of use, new configurations, and
// the second process during an upgrade. It must never make a caller of the admin address wait on anything but the
// event loop.

import (
	"encoding/json"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"ivybank/balance"
	"ivybank/fleet/holds"
	"ivybank/proxy/admin"
)

const (
	replyWait = 800 * time.Millisecond // a caller waits for at most one second
	lookApart = 100 * time.Millisecond // between checks of what the other process has changed
	mostSeen  = 1 << 14                // listed IDs that are remembered
	listWait  = 15e8                   // longest wait for a first list before clients are accepted
)

// HandleAdmin answers a call of the admin server; it may be called from any goroutine.
func (p *Proxy) HandleAdmin(c admin.Call) admin.Reply {
	switch c.Kind {
	case admin.DisableHost, admin.EnableHost:
		return p.hold(c)
	case admin.GetFleet:
		return p.ask(p.fleetReply)
	case admin.GetPlans:
		return p.ask(func(now int64) admin.Reply { return p.plansReply(c.Plan, now) })
	case admin.ChangePlan:
		return p.plan(c)
	case admin.GetRecovery:
		return p.ask(p.returnReply)
	}
	return p.ask(func(now int64) admin.Reply { return p.operate(c, now) })
}

// askLoop has the event loop answer. The loop may still carry the call out after the caller was told that it was
// not.
func (p *Proxy) ask(do func(now int64) admin.Reply) admin.Reply {
	told := make(chan admin.Reply, 1)
	p.post(p.now(), nil, func(int64) { told <- do(p.now()) })
	select {
	case r := <-told:
		return r
	case <-time.After(replyWait):
		return admin.Error(http.StatusServiceUnavailable, "no answer in time; it may still be carried out")
	}
}

func (p *Proxy) operate(c admin.Call, now int64) admin.Reply {
	switch {
	case p.drain.begun:
		return admin.Error(http.StatusServiceUnavailable, "the process ends")
	case c.Kind == admin.EvictClients:
		p.empty(now)
		return admin.OK("clients are sent away")
	case c.Kind == admin.AdmitClients:
		p.refill()
	}
	if !p.taking() {
		return admin.Error(http.StatusServiceUnavailable, "no clients are taken")
	}
	return admin.OK("clients are taken")
}

// setHold takes a host out of use or puts it back: checked by the event loop, written to the file, then applied.
func (p *Proxy) hold(c admin.Call) admin.Reply {
	if r := p.ask(func(int64) admin.Reply {
		if _, held := p.held.Hosts[c.Host]; !held && !p.seen[c.Host] {
			return admin.Error(http.StatusNotFound, "no host with this id was ever listed")
		}
		return admin.OK("")
	}); r.Status != http.StatusOK {
		return r
	}
	text := "the host is in use"
	if c.Kind == admin.DisableHost {
		text = "nothing more goes to the host"
	}
	table, err := p.start.Holds.Set(c.Host, c.Kind == admin.DisableHost, p.now())
	if err != nil {
		logrus.Warnf("holds of hosts are not saved: %v", err)
		text += ", in this process alone"
	}
	return p.ask(func(now int64) admin.Reply {
		p.holding(table, now)
		return admin.OK(text)
	})
}

// applyHolds applies a table of holds unless a newer one is in force.
func (p *Proxy) holding(t holds.Table, now int64) {
	if t.Version <= p.held.Version {
		return
	}
	p.held = t
	for _, h := range p.reshow(now) {
		logrus.Infof("host %s: out of use by an operator: %v", h.id, t.Hosts[h.id].Out)
	}
}

// refreshHosts updates the hosts whose effective state has changed without a new list, and returns them.
func (p *Proxy) reshow(now int64) (changed []*host) {
	for _, h := range p.hosts {
		if h.listed && p.shown(h.told) != h.shown {
			p.show(h)
			changed = append(changed, h)
		}
	}
	if len(changed) > 0 {
		p.relist(now)
	}
	return changed
}

// jsonReply returns a reply with a value as JSON.
func asJSON(v any) admin.Reply {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return admin.Error(http.StatusInternalServerError, err.Error())
	}
	return admin.OK(string(text))
}

// republishHosts passes all hosts to the balancer as they are now. This does not count as a list from discovery: if
// the balancer is about to ask for one, it still does.
func (p *Proxy) relist(now int64) {
	p.module.UpdateList(balance.ListRestored, p.listing(func(h *host) balance.Server { return h.shown }), now)
	p.listPeers(now)
}

// listedServers returns all listed hosts as view gives them.
func (p *Proxy) listing(as func(h *host) balance.Server) (all []balance.Server) {
	for _, h := range p.hosts {
		if h.listed {
			all = append(all, as(h))
		}
	}
	return all
}

// effectiveServer returns a host as the balancer is to see it. A host that an operator puts back has most likely
// been restarted, which the list reports late: unless the list reports a later start, the host counts as started
// when it was put back.
func (p *Proxy) shown(s balance.Server) balance.Server {
	s = p.planned(s)
	h, held := p.held.Hosts[s.ID]
	switch {
	case (held && h.Out || p.comeback != nil && p.comeback.drained[s.ID]) && s.State == balance.Running:
		s.State = balance.Draining
	case held && !h.Out && s.Since < h.From:
		s.Since = h.Back
	}
	return s
}

// rememberID records that an ID was listed.
func (p *Proxy) remember(id string) {
	if p.seen[id] {
		return
	}
	if len(p.order) >= mostSeen {
		delete(p.seen, p.order[0])
		p.order = p.order[1:]
	}
	p.seen[id] = true
	p.order = append(p.order, id)
}

// acceptingClients reports whether clients are accepted.
func (p *Proxy) taking() bool { return p.open && !p.drain.begun && p.drain.emptied == 0 }

// watchSibling polls, off the event loop, whether another process of this proxy runs and which hosts it takes out
// of use.
func (p *Proxy) follow() {
	for ; ; time.Sleep(lookApart) {
		if t, changed := p.start.Holds.Follow(); changed {
			p.post(p.now(), nil, func(int64) { p.holding(t, p.now()) })
		}
		if s := p.start.SiblingLock; s != nil {
			if other := s.Other(); other != p.other.Load() {
				p.other.Store(other)
				p.post(p.now(), nil, func(int64) { p.beside(other) })
			}
		}
	}
}

// Reconfigure applies a new configuration, all of it at once; it may be called from any goroutine. The listener,
// the seed and the host list stay.
func (p *Proxy) Reconfigure(s Config) {
	p.post(p.now(), nil, func(int64) {
		now := p.now()
		s.Terms.Seed = p.terms.Seed
		p.terms = &s.Terms
		p.start.DialTimeout, p.start.ConnIdle, p.start.Memory = s.DialTimeout, s.ConnIdle, s.Memory
		p.start.Sockets = s.Sockets
		// Open requests may still wait by the old rules.
		p.start.LongestTimeout = max(p.start.LongestTimeout, s.LongestTimeout)
		p.shares()
		p.count.Reloads++
		p.remaintain(s.Maintenance)
		p.refleet(s.Fleet, now)
		p.rekeep(s.Recovery, now)
		logrus.Infof("new configuration: %d rule sets, %d dispatches at most", len(s.Terms.RuleSets), s.Terms.MaxDispatches)
		p.rediscover(s.Discovery, now)
		p.subscribe(now)
	})
}

// scheduleAccept starts to accept clients as soon as the list held at start is good enough to serve by.
func (p *Proxy) welcomeFrom(other bool, now int64) {
	if other { // it knows of drains that the saved list is too old for
		p.other.Store(true)
		p.beside(true)
	} else if p.terms.ListOnRequest {
		p.letIn()
		return
	} // else the list of whoever pushes it counts as delivered from the start
	p.after(now, listWait, func(int64) { p.letIn() })
}

// siblingChanged shares descriptors and memory with another process while it runs.
func (p *Proxy) beside(other bool) {
	logrus.Infof("another process beside this one: %v", other)
	p.shares()
}

func (p *Proxy) shares() {
	part := 1
	if p.other.Load() {
		part = 2
	}
	p.sockets = p.start.Sockets / part
	t := *p.terms
	t.SiblingProcesses = part - 1
	p.module.Reconfigure(t, p.now())
	if p.start.Memory > 0 {
		debug.SetMemoryLimit(p.start.Memory / int64(part))
	}
}
