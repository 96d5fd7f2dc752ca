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
	adminReplyTimeout   = 800 * time.Millisecond // a caller waits for at most one second
	siblingPollInterval = 100 * time.Millisecond // between checks of what the other process has changed
	maxSeenIDs          = 1 << 14                // listed IDs that are remembered
	maxListWaitNs       = 15e8                   // longest wait for a first list before clients are accepted
)

// HandleAdmin answers a call of the admin server; it may be called from any goroutine.
func (p *Proxy) HandleAdmin(c admin.Call) admin.Reply {
	switch c.Kind {
	case admin.DisableHost, admin.EnableHost:
		return p.setHold(c)
	case admin.GetFleet:
		return p.askLoop(p.fleetReply)
	case admin.GetPlans:
		return p.askLoop(func(now int64) admin.Reply { return p.plansReply(c.Plan, now) })
	case admin.ChangePlan:
		return p.planCommand(c)
	case admin.GetRecovery:
		return p.askLoop(p.recoveryReply)
	}
	return p.askLoop(func(now int64) admin.Reply { return p.handleDrainCall(c, now) })
}

// askLoop has the event loop answer. The loop may still carry the call out after the caller was told that it was
// not.
func (p *Proxy) askLoop(do func(now int64) admin.Reply) admin.Reply {
	reply := make(chan admin.Reply, 1)
	p.post(p.now(), nil, func(int64) { reply <- do(p.now()) })
	select {
	case r := <-reply:
		return r
	case <-time.After(adminReplyTimeout):
		return admin.Error(http.StatusServiceUnavailable, "no answer in time; it may still be carried out")
	}
}

func (p *Proxy) handleDrainCall(c admin.Call, now int64) admin.Reply {
	switch {
	case p.drain.begun:
		return admin.Error(http.StatusServiceUnavailable, "the process ends")
	case c.Kind == admin.EvictClients:
		p.evictClients(now)
		return admin.OK("clients are sent away")
	case c.Kind == admin.AdmitClients:
		p.admitClients()
	}
	if !p.acceptingClients() {
		return admin.Error(http.StatusServiceUnavailable, "no clients are taken")
	}
	return admin.OK("clients are taken")
}

// setHold takes a host out of use or puts it back: checked by the event loop, written to the file, then applied.
func (p *Proxy) setHold(c admin.Call) admin.Reply {
	if reply := p.askLoop(func(int64) admin.Reply {
		if _, held := p.holds.Hosts[c.Host]; !held && !p.seen[c.Host] {
			return admin.Error(http.StatusNotFound, "no host with this id was ever listed")
		}
		return admin.OK("")
	}); reply.Status != http.StatusOK {
		return reply
	}
	text := "the host is in use"
	if c.Kind == admin.DisableHost {
		text = "nothing more goes to the host"
	}
	table, err := p.config.Holds.Set(c.Host, c.Kind == admin.DisableHost, p.now())
	if err != nil {
		logrus.Warnf("holds of hosts are not saved: %v", err)
		text += ", in this process alone"
	}
	return p.askLoop(func(now int64) admin.Reply {
		p.applyHolds(table, now)
		return admin.OK(text)
	})
}

// applyHolds applies a table of holds unless a newer one is in force.
func (p *Proxy) applyHolds(table holds.Table, now int64) {
	if table.Version <= p.holds.Version {
		return
	}
	p.holds = table
	for _, h := range p.refreshHosts(now) {
		logrus.Infof("host %s: out of use by an operator: %v", h.id, table.Hosts[h.id].Out)
	}
}

// refreshHosts updates the hosts whose effective state has changed without a new list, and returns them.
func (p *Proxy) refreshHosts(now int64) (changed []*host) {
	for _, h := range p.hosts {
		if h.listed && p.effectiveServer(h.reported) != h.effective {
			p.updateHost(h)
			changed = append(changed, h)
		}
	}
	if len(changed) > 0 {
		p.republishHosts(now)
	}
	return changed
}

// jsonReply returns a reply with a value as JSON.
func jsonReply(v any) admin.Reply {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return admin.Error(http.StatusInternalServerError, err.Error())
	}
	return admin.OK(string(text))
}

// republishHosts passes all hosts to the balancer as they are now. This does not count as a list from discovery: if
// the balancer is about to ask for one, it still does.
func (p *Proxy) republishHosts(now int64) {
	p.balancer.UpdateList(balance.ListRestored, p.listedServers(func(h *host) balance.Server { return h.effective }),
		now)
	p.updatePeerHosts(now)
}

// listedServers returns all listed hosts as view gives them.
func (p *Proxy) listedServers(view func(h *host) balance.Server) (servers []balance.Server) {
	for _, h := range p.hosts {
		if h.listed {
			servers = append(servers, view(h))
		}
	}
	return servers
}

// effectiveServer returns a host as the balancer is to see it. A host that an operator puts back has most likely
// been restarted, which the list reports late: unless the list reports a later start, the host counts as started
// when it was put back.
func (p *Proxy) effectiveServer(s balance.Server) balance.Server {
	s = p.applyPlan(s)
	hold, held := p.holds.Hosts[s.ID]
	switch {
	case (held && hold.Out || p.recovery != nil && p.recovery.drainingByPeers[s.ID]) && s.State == balance.Running:
		s.State = balance.Draining
	case held && !hold.Out && s.Since < hold.Since:
		s.Since = hold.ReturnedAt
	}
	return s
}

// rememberID records that an ID was listed.
func (p *Proxy) rememberID(id string) {
	if p.seen[id] {
		return
	}
	if len(p.seenOrder) >= maxSeenIDs {
		delete(p.seen, p.seenOrder[0])
		p.seenOrder = p.seenOrder[1:]
	}
	p.seen[id] = true
	p.seenOrder = append(p.seenOrder, id)
}

// acceptingClients reports whether clients are accepted.
func (p *Proxy) acceptingClients() bool {
	return p.accepting && !p.drain.begun && p.drain.evictedAt == 0
}

// watchSibling polls, off the event loop, whether another process of this proxy runs and which hosts it takes out
// of use.
func (p *Proxy) watchSibling() {
	for ; ; time.Sleep(siblingPollInterval) {
		if table, changed := p.config.Holds.Refresh(); changed {
			p.post(p.now(), nil, func(int64) { p.applyHolds(table, p.now()) })
		}
		if lock := p.config.SiblingLock; lock != nil {
			if other := lock.Other(); other != p.hasSibling.Load() {
				p.hasSibling.Store(other)
				p.post(p.now(), nil, func(int64) { p.siblingChanged(other) })
			}
		}
	}
}

// Reconfigure applies a new configuration, all of it at once; it may be called from any goroutine. The listener,
// the seed and the host list stay.
func (p *Proxy) Reconfigure(cfg Config) {
	p.post(p.now(), nil, func(int64) {
		now := p.now()
		cfg.Terms.Seed = p.terms.Seed
		p.terms = &cfg.Terms
		p.config.DialTimeout, p.config.ConnIdle, p.config.Memory = cfg.DialTimeout, cfg.ConnIdle, cfg.Memory
		p.config.Sockets = cfg.Sockets
		// Open requests may still wait by the old rules.
		p.config.LongestTimeout = max(p.config.LongestTimeout, cfg.LongestTimeout)
		p.applyShares()
		p.count.Reloads++
		p.reconfigurePlans(cfg.Maintenance)
		p.reconfigurePeers(cfg.Fleet, now)
		p.reconfigureRecovery(cfg.Recovery, now)
		logrus.Infof("new configuration: %d rule sets, %d dispatches at most", len(cfg.Terms.RuleSets),
			cfg.Terms.MaxDispatches)
		p.moveDiscovery(cfg.Discovery, now)
		p.subscribe(now)
	})
}

// scheduleAccept starts to accept clients as soon as the list held at start is good enough to serve by.
func (p *Proxy) scheduleAccept(other bool, now int64) {
	if other { // it knows of drains that the saved list is too old for
		p.hasSibling.Store(true)
		p.siblingChanged(true)
	} else if p.terms.ListOnRequest {
		p.startAccepting()
		return
	} // else the list of whoever pushes it counts as delivered from the start
	p.after(now, maxListWaitNs, func(int64) { p.startAccepting() })
}

// siblingChanged shares descriptors and memory with another process while it runs.
func (p *Proxy) siblingChanged(other bool) {
	logrus.Infof("another process beside this one: %v", other)
	p.applyShares()
}

func (p *Proxy) applyShares() {
	processes := 1
	if p.hasSibling.Load() {
		processes = 2
	}
	p.sockets = p.config.Sockets / processes
	terms := *p.terms
	terms.SiblingProcesses = processes - 1
	p.balancer.Reconfigure(terms, p.now())
	if p.config.Memory > 0 {
		debug.SetMemoryLimit(p.config.Memory / int64(processes))
	}
}
