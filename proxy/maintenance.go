package proxy

// This file connects maintenance plans to the proxy: what the crew sees of this process, its messages, what it
// stores, and which hosts take no new dispatches. It must never decide what a step may do (package order does), nor
// dispatch according to what other members say.

import (
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"time"

	"github.com/sirupsen/logrus"

	"ivybank/balance"
	"ivybank/fleet/crew"
	"ivybank/fleet/order"
	"ivybank/fleet/plan"
	"ivybank/fleet/quorum"
	"ivybank/proxy/admin"
)

const (
	crewEvery = 1e8 // between checks of what is due
	replyLook = 50 * time.Millisecond
	replyMost = 700 * time.Millisecond // how long an operator's call waits until it is agreed on
)

// MaintenanceConfig is the operator's configuration of plans. Times are in nanoseconds.
type MaintenanceConfig struct {
	Folder  string
	Voters  int
	Service float64
	Settle  int64
	Grace   int64
}

// planState is the event loop's state of plans; nil if there are none.
type works struct {
	MaintenanceConfig
	crew *crew.Crew
	file *quorum.File
	next *timer
}

// startPlans begins to take part in plans, with the members of the fleet.
func (p *Proxy) openWorks(now int64) {
	x, q := p.start.Maintenance, p.peers
	if x == nil || q == nil {
		return
	}
	file, kept, err := quorum.OpenFile(filepath.Join(x.Folder, "plans.log"))
	if err != nil {
		logrus.Errorf("maintenance plans are disabled: %v", err)
		return
	}
	w := &works{MaintenanceConfig: *x, file: file}
	w.crew, err = crew.New(crew.Terms{Me: q.Terms.Me, Of: q.Terms.Of, Voters: min(x.Voters, q.Terms.Of), Life: q.fleet.Members().Life(), Seed: p.terms.Seed ^ 3,
		Lead: order.Terms{Grace: x.Grace, Longest: p.start.LongestTimeout, Service: x.Service, Settle: x.Settle}}, kept, now)
	if err != nil {
		logrus.Errorf("maintenance plans are disabled: %v", err)
		file.Close()
		return
	}
	p.works = w
	p.tickWorks(now)
}

// reconfigurePlans applies a new configuration; it takes effect together with the peers.
func (p *Proxy) remaintain(x *MaintenanceConfig) {
	old := p.start.Maintenance
	p.start.Maintenance = x
	if (x == nil) != (old == nil) || x != nil && *x != *old {
		p.closeWorks()
		p.openWorks(p.now())
	}
}

// handOverPlans passes the lead on, as this process ends.
func (p *Proxy) leaveWorks(now int64) {
	if w := p.works; w != nil {
		w.crew.Leave(p.peers.fleet.Members().Alive)
		p.carryWorks(now)
	}
}

// stopPlans ends the part in plans.
func (p *Proxy) closeWorks() {
	if w := p.works; w != nil {
		p.stop(w.next)
		w.file.Close()
		p.works = nil
	}
}

func (p *Proxy) tickWorks(now int64) {
	w := p.works
	w.crew.Tick(p.sight(now))
	p.carryWorks(now)
	w.next = p.after(now, crewEvery, p.tickWorks)
}

// planView returns what the crew may know of this proxy.
func (p *Proxy) sight(now int64) crew.Sight {
	w := p.works
	s := crew.Sight{Now: now, Wall: time.Now().UnixNano(), Open: map[string]int{}, Service: 1,
		Alive: func(i int) bool { return p.peers != nil && p.peers.fleet.Members().Alive(i) }}
	if !w.crew.State().Busy() {
		return s
	}
	known := map[string]balance.ServerSnapshot{}
	for _, l := range p.module.ServerSnapshots(now) {
		known[l.ID] = l
	}
	for _, h := range p.hosts {
		if !h.listed {
			continue
		}
		s.Servers = append(s.Servers, order.Server{Target: plan.Of(h.told), Listed: h.told.State == balance.Running, Well: known[h.id].EjectionLeft == 0, Warm: p.terms.RampTime <= 0 || now-h.since >= p.terms.RampTime, Hand: p.held.Hosts[h.id].Out})
	}
	for _, t := range w.crew.State().Away() {
		for _, r := range p.reqs {
			for _, d := range r.dispatches {
				if d.out && d.host != nil && d.host.id == t.ID {
					s.Open[t.ID]++
				}
			}
		}
	}
	if q := p.peers; q != nil {
		load, _ := q.fleet.Picture(now)
		if all := load.Served + load.Lacked; all > 1 {
			s.Service = load.Served / all
		}
		s.Cut = q.fleet.Sheds()
	}
	return s
}

// runPlanActions carries out the crew's actions. It writes off the event loop, one batch at a time.
func (p *Proxy) carryWorks(now int64) {
	w := p.works
	for a, ok := w.crew.Next(); ok; a, ok = w.crew.Next() {
		switch a.Kind {
		case crew.Send:
			if p.peers != nil {
				p.peers.fleet.Post(a.To, a.Body, now)
				p.carryPeers(now)
			}
		case crew.Write:
			go func() {
				err := w.file.Write(&a.Batch)
				p.post(p.now(), nil, func(int64) { p.written(w, &a.Batch, err, p.now()) })
			}()
		case crew.Hold:
			p.reshow(now)
		case crew.Tell:
			logrus.WithFields(a.Fields).Info(a.Text)
		}
	}
}

func (p *Proxy) written(w *works, b *quorum.Batch, err error, now int64) {
	if p.works != w {
		return
	}
	if err != nil { // nothing is promised any more
		logrus.Errorf("maintenance plans are disabled, agreed entries cannot be written: %v", err)
		p.stop(w.next)
		return
	}
	w.crew.Written(b, now)
	p.carryWorks(now)
}

// applyPlan returns a host as plans want it: one out for maintenance drains, and one that is back counts as started
// then, unless the list reports a later start.
func (p *Proxy) planned(s balance.Server) balance.Server {
	if p.works == nil {
		return s
	}
	phase, x := p.works.crew.State().Phase(s.ID)
	switch {
	case (phase == order.Drains || phase == order.Out) && s.State == balance.Running:
		s.State = balance.Draining
	case phase == order.Back && s.Since <= x.Since:
		s.Since = x.At
	}
	return s
}

// plansReply answers an operator's query of plans.
func (p *Proxy) plansReply(id string, now int64) admin.Reply {
	if p.works == nil {
		return admin.Error(http.StatusNotFound, "no plans are taken part in: the operator file has no [maintenance], or no peers are heard")
	}
	all := p.works.crew.Status(id, p.sight(now))
	if id != "" && len(all) == 0 {
		return admin.Error(http.StatusNotFound, crew.ErrUnknown.Error())
	}
	return asJSON(all)
}

// planCommand submits or changes a plan and waits briefly until that is agreed on.
func (p *Proxy) plan(c admin.Call) admin.Reply {
	x := order.Command{Plan: c.Plan, Server: c.Host, At: time.Now().UnixNano(), Why: "by hand",
		Kind: map[string]order.Kind{"submit": order.Submit, "pause": order.Pause, "resume": order.Resume, "abandon": order.Abandon, "done": order.Finish}[c.Verb]}
	var body *plan.Plan
	if x.Kind == order.Submit {
		var err error
		if body, err = plan.Read("the plan", c.Body); err != nil {
			return admin.Error(http.StatusBadRequest, err.Error())
		}
		if body.ID != c.Plan {
			return admin.Error(http.StatusBadRequest, fmt.Sprintf("the plan: id: %q is not the %q of the call", body.ID, c.Plan))
		}
	}
	if r := p.ask(func(now int64) admin.Reply {
		if p.works == nil {
			return p.plansReply("", now)
		}
		had := p.works.crew.State().Find(c.Plan)
		switch {
		case body == nil && had == nil:
			return admin.Error(http.StatusNotFound, crew.ErrUnknown.Error())
		case body != nil && had == nil:
			listed := p.listing(func(h *host) balance.Server { return h.told })
			var err error
			if x, err = crew.Command(body, plan.Listed(listed), x.At); err != nil {
				return admin.Error(http.StatusConflict, err.Error())
			}
		case body != nil && !sameplan(&had.Plan, body):
			return admin.Error(http.StatusConflict, "another plan has this id")
		}
		p.works.crew.Ask(x, now)
		return admin.OK("")
	}); r.Status != http.StatusOK {
		return r
	}
	for end := time.Now().Add(replyMost); time.Now().Before(end); time.Sleep(replyLook) {
		if r := p.ask(func(int64) admin.Reply {
			if p.works != nil && p.works.crew.Holds(&x) {
				return admin.OK("agreed on")
			}
			return admin.Error(http.StatusAccepted, "")
		}); r.Status == http.StatusOK {
			return r
		}
	}
	return admin.Reply{Status: http.StatusAccepted, Text: "handed on, not agreed on yet: ask again"}
}

// samePlan reports whether two plans are equal as they were written.
func sameplan(x, y *plan.Plan) bool {
	one, err := json.Marshal(x)
	other, bad := json.Marshal(y)
	return err == nil && bad == nil && string(one) == string(other)
}
