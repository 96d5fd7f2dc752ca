package proxy

// This file owns what operators do to a running proxy: calls of the door, hosts out by hand, the other process of an
// upgrade. It must never keep the door's callers waiting on anything but the owner.

import (
	"encoding/json"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"ivybank/balance"
	"ivybank/fleet/holds"
	"ivybank/proxy/door"
)

const (
	replyWait = 800 * time.Millisecond // a caller waits no longer than a second
	lookApart = 100 * time.Millisecond // between looks at what the other process has changed
	mostSeen  = 1 << 14                // ids of the list that are remembered
	listWait  = 15e8                   // the list at start may be too old: clients are taken once told, or then
)

// Operate answers a call of the door; it may be called from any goroutine.
func (p *Proxy) Operate(c door.Call) door.Reply {
	switch c.Kind {
	case door.Out, door.Back:
		return p.hold(c)
	case door.Fleet:
		return p.ask(p.fleetReply)
	case door.Plans:
		return p.ask(func(now int64) door.Reply { return p.plansReply(c.Plan, now) })
	case door.Plan:
		return p.plan(c)
	case door.Return:
		return p.ask(p.returnReply)
	}
	return p.ask(func(now int64) door.Reply { return p.operate(c, now) })
}

// ask has the owner answer. It may still do so after the caller was told that it did not.
func (p *Proxy) ask(do func(now int64) door.Reply) door.Reply {
	told := make(chan door.Reply, 1)
	p.post(p.now(), nil, func(int64) { told <- do(p.now()) })
	select {
	case r := <-told:
		return r
	case <-time.After(replyWait):
		return door.No(http.StatusServiceUnavailable, "no answer in time; it may still be carried out")
	}
}

func (p *Proxy) operate(c door.Call, now int64) door.Reply {
	switch {
	case p.drain.begun:
		return door.No(http.StatusServiceUnavailable, "the process ends")
	case c.Kind == door.Empty:
		p.empty(now)
		return door.Yes("clients are sent away")
	case c.Kind == door.Refill:
		p.refill()
	}
	if !p.taking() {
		return door.No(http.StatusServiceUnavailable, "no clients are taken")
	}
	return door.Yes("clients are taken")
}

// hold takes a host out or puts it back: known to the owner, written to the file, then in force.
func (p *Proxy) hold(c door.Call) door.Reply {
	if r := p.ask(func(int64) door.Reply {
		if _, held := p.held.Hosts[c.Host]; !held && !p.seen[c.Host] {
			return door.No(http.StatusNotFound, "no host with this id was ever listed")
		}
		return door.Yes("")
	}); r.Status != http.StatusOK {
		return r
	}
	text := "the host is in use"
	if c.Kind == door.Out {
		text = "nothing more goes to the host"
	}
	table, err := p.start.Holds.Set(c.Host, c.Kind == door.Out, p.now())
	if err != nil {
		logrus.Warnf("hosts out by hand are not kept: %v", err)
		text += ", in this process alone"
	}
	return p.ask(func(now int64) door.Reply {
		p.holding(table, now)
		return door.Yes(text)
	})
}

// holding puts a table of holds in force. An older one than that in force says nothing.
func (p *Proxy) holding(t holds.Table, now int64) {
	if t.Version <= p.held.Version {
		return
	}
	p.held = t
	for _, h := range p.reshow(now) {
		logrus.Infof("host %s by hand: out %v", h.id, t.Hosts[h.id].Out)
	}
}

// reshow brings up to date the hosts that something else than the list has changed, and gives them.
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

// asJSON is a reply that holds a value for programs.
func asJSON(v any) door.Reply {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return door.No(http.StatusInternalServerError, err.Error())
	}
	return door.Yes(string(text))
}

// relist hands the module all hosts as they are shown now. It is not discovery's word: should the module be about to ask for that, it still
// does.
func (p *Proxy) relist(now int64) {
	p.module.Listed(balance.ListRestored, p.listing(func(h *host) balance.Server { return h.shown }), now)
	p.listPeers(now)
}

// listing gives all hosts that are listed in a form.
func (p *Proxy) listing(as func(h *host) balance.Server) (all []balance.Server) {
	for _, h := range p.hosts {
		if h.listed {
			all = append(all, as(h))
		}
	}
	return all
}

// shown is a host as the module is told of it. What was put back has most likely been restarted, which the list is
// late to tell: unless it tells of a start since, the host counts as started when it was put back.
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

// remember notes that an id was listed.
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

// taking says whether clients are taken.
func (p *Proxy) taking() bool { return p.open && !p.drain.begun && p.drain.emptied == 0 }

// follow looks, beside the owner, at what another process does: its being there, and the hosts it takes out.
func (p *Proxy) follow() {
	for ; ; time.Sleep(lookApart) {
		if t, changed := p.start.Holds.Follow(); changed {
			p.post(p.now(), nil, func(int64) { p.holding(t, p.now()) })
		}
		if s := p.start.Seat; s != nil {
			if other := s.Other(); other != p.other.Load() {
				p.other.Store(other)
				p.post(p.now(), nil, func(int64) { p.beside(other) })
			}
		}
	}
}

// Retune takes a new configuration, all of it at once; it may be called from any goroutine. What the process is bound
// to stays: its listener, its seed, its list.
func (p *Proxy) Retune(s Start) {
	p.post(p.now(), nil, func(int64) {
		now := p.now()
		s.Terms.Seed = p.terms.Seed
		p.terms = &s.Terms
		p.start.DialTimeout, p.start.ConnIdle, p.start.Memory = s.DialTimeout, s.ConnIdle, s.Memory
		p.start.Sockets = s.Sockets
		// What is open may still wait by the old rules.
		p.start.LongestTimeout = max(p.start.LongestTimeout, s.LongestTimeout)
		p.shares()
		p.count.Reloads++
		p.remaintain(s.Maintenance)
		p.refleet(s.Fleet, now)
		p.rekeep(s.Return, now)
		logrus.Infof("new configuration: %d rule sets, %d dispatches at most", len(s.Terms.RuleSets), s.Terms.MaxDispatches)
		p.rediscover(s.Discovery, now)
		p.subscribe(now)
	})
}

// welcomeFrom has clients taken from when the list held at start is good enough to serve by.
func (p *Proxy) welcomeFrom(other bool, now int64) {
	if other { // it knows of drains that the list handed over at start is too old for
		p.other.Store(true)
		p.beside(true)
	} else if p.terms.ListOnRequest {
		p.letIn()
		return
	} // else all that whoever pushes the list holds counts as told from the first moment on
	p.after(now, listWait, func(int64) { p.letIn() })
}

// beside shares what the platform gives with another process, as long as it lives.
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
	p.module.Retune(t, p.now())
	if p.start.Memory > 0 {
		debug.SetMemoryLimit(p.start.Memory / int64(part))
	}
}
