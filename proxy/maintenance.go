package proxy

// This file connects maintenance plans to the proxy: what the coordinator (package planexec) sees of this process,
// its messages, what it stores, and which hosts take no new dispatches. It must never decide what a step may do
// (package planstate does), nor dispatch according to what other members say.

import (
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"time"

	"github.com/sirupsen/logrus"

	"ivybank/balance"
	"ivybank/fleet/plan"
	"ivybank/fleet/planexec"
	"ivybank/fleet/planstate"
	"ivybank/fleet/quorum"
	"ivybank/proxy/admin"
)

const (
	planTickNs            = 1e8 // between checks of what is due
	agreementPollInterval = 50 * time.Millisecond
	maxAgreementWait      = 700 * time.Millisecond // how long an operator's call waits until it is agreed on
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
type planState struct {
	MaintenanceConfig
	coordinator *planexec.Coordinator
	file        *quorum.File
	timer       *timer
}

// startPlans begins to take part in plans, with the members of the fleet.
func (p *Proxy) startPlans(now int64) {
	cfg, ps := p.config.Maintenance, p.peers
	if cfg == nil || ps == nil {
		return
	}
	file, entries, err := quorum.OpenFile(filepath.Join(cfg.Folder, "plans.log"))
	if err != nil {
		logrus.Errorf("maintenance plans are disabled: %v", err)
		return
	}
	plans := &planState{MaintenanceConfig: *cfg, file: file}
	plans.coordinator, err = planexec.New(planexec.Config{Self: ps.Terms.Index, Members: ps.Terms.Members,
		Voters: min(cfg.Voters, ps.Terms.Members), Incarnation: ps.fleet.Membership().Incarnation(), Seed: p.terms.Seed ^ 3,
		Leader: planstate.LeaderConfig{Grace: cfg.Grace, MaxClientTimeout: p.config.LongestTimeout, MinService: cfg.Service,
			SettleTime: cfg.Settle}}, entries, now)
	if err != nil {
		logrus.Errorf("maintenance plans are disabled: %v", err)
		file.Close()
		return
	}
	p.plans = plans
	p.tickPlans(now)
}

// reconfigurePlans applies a new configuration; it takes effect together with the peers.
func (p *Proxy) reconfigurePlans(cfg *MaintenanceConfig) {
	old := p.config.Maintenance
	p.config.Maintenance = cfg
	if (cfg == nil) != (old == nil) || cfg != nil && *cfg != *old {
		p.stopPlans()
		p.startPlans(p.now())
	}
}

// handOverPlans passes the lead on, as this process ends.
func (p *Proxy) handOverPlans(now int64) {
	if plans := p.plans; plans != nil {
		plans.coordinator.TransferLeadership(p.peers.fleet.Membership().Alive)
		p.runPlanActions(now)
	}
}

// stopPlans ends the part in plans.
func (p *Proxy) stopPlans() {
	if plans := p.plans; plans != nil {
		p.stop(plans.timer)
		plans.file.Close()
		p.plans = nil
	}
}

func (p *Proxy) tickPlans(now int64) {
	plans := p.plans
	plans.coordinator.Tick(p.planView(now))
	p.runPlanActions(now)
	plans.timer = p.after(now, planTickNs, p.tickPlans)
}

// planView returns what the crew may know of this proxy.
func (p *Proxy) planView(now int64) planexec.View {
	plans := p.plans
	view := planexec.View{Now: now, Wall: time.Now().UnixNano(), Open: map[string]int{}, Service: 1,
		Alive: func(i int) bool { return p.peers != nil && p.peers.fleet.Membership().Alive(i) }}
	if !plans.coordinator.State().Busy() {
		return view
	}
	learnt := map[string]balance.ServerSnapshot{}
	for _, l := range p.balancer.ServerSnapshots(now) {
		learnt[l.ID] = l
	}
	for _, h := range p.hosts {
		if !h.listed {
			continue
		}
		view.Servers = append(view.Servers, planstate.Server{Target: plan.TargetOf(h.reported),
			Listed: h.reported.State == balance.Running, Healthy: learnt[h.id].EjectionLeft == 0,
			Warm: p.terms.RampTime <= 0 || now-h.startTime >= p.terms.RampTime, ManuallyOut: p.holds.Hosts[h.id].Out})
	}
	for _, t := range plans.coordinator.State().Unavailable() {
		for _, r := range p.requests {
			for _, d := range r.dispatches {
				if d.outstanding && d.host != nil && d.host.id == t.ID {
					view.Open[t.ID]++
				}
			}
		}
	}
	if ps := p.peers; ps != nil {
		load, _ := ps.fleet.FleetLoad(now)
		if demand := load.Served + load.Unserved; demand > 1 {
			view.Service = load.Served / demand
		}
		view.Shedding = ps.fleet.Shedding()
	}
	return view
}

// runPlanActions carries out the coordinator's actions. It writes off the event loop, one batch at a time.
func (p *Proxy) runPlanActions(now int64) {
	plans := p.plans
	for action, ok := plans.coordinator.Next(); ok; action, ok = plans.coordinator.Next() {
		switch action.Kind {
		case planexec.Send:
			if p.peers != nil {
				p.peers.fleet.SendMessage(action.To, action.Body, now)
				p.runPeerActions(now)
			}
		case planexec.Persist:
			go func() {
				err := plans.file.Write(&action.Batch)
				p.post(p.now(), nil, func(int64) { p.plansWritten(plans, &action.Batch, err, p.now()) })
			}()
		case planexec.HeldChanged:
			p.refreshHosts(now)
		case planexec.Log:
			logrus.WithFields(action.Fields).Info(action.Text)
		}
	}
}

func (p *Proxy) plansWritten(plans *planState, batch *quorum.Batch, err error, now int64) {
	if p.plans != plans {
		return
	}
	if err != nil { // nothing is promised any more
		logrus.Errorf("maintenance plans are disabled, agreed entries cannot be written: %v", err)
		p.stop(plans.timer)
		return
	}
	plans.coordinator.Persisted(batch, now)
	p.runPlanActions(now)
}

// applyPlan returns a host as plans want it: one out for maintenance drains, and one that is back counts as started
// then, unless the list reports a later start.
func (p *Proxy) applyPlan(s balance.Server) balance.Server {
	if p.plans == nil {
		return s
	}
	phase, step := p.plans.coordinator.State().Phase(s.ID)
	switch {
	case (phase == planstate.Draining || phase == planstate.Out) && s.State == balance.Running:
		s.State = balance.Draining
	case phase == planstate.Returning && s.Since <= step.Since:
		s.Since = step.At
	}
	return s
}

// plansReply answers an operator's query of plans.
func (p *Proxy) plansReply(id string, now int64) admin.Reply {
	if p.plans == nil {
		return admin.Error(http.StatusNotFound,
			"no plans are taken part in: the operator file has no [maintenance], or no peers are heard")
	}
	statuses := p.plans.coordinator.Status(id, p.planView(now))
	if id != "" && len(statuses) == 0 {
		return admin.Error(http.StatusNotFound, planexec.ErrUnknownPlan.Error())
	}
	return jsonReply(statuses)
}

// planCommand submits or changes a plan and waits briefly until that is agreed on.
func (p *Proxy) planCommand(c admin.Call) admin.Reply {
	command := planstate.Command{Plan: c.Plan, Server: c.Host, At: time.Now().UnixNano(), Reason: "by hand",
		Kind: map[string]planstate.Kind{"submit": planstate.Submit, "pause": planstate.Pause, "resume": planstate.Resume,
			"abandon": planstate.Abandon, "done": planstate.FinishWork}[c.Verb]}
	var body *plan.Plan
	if command.Kind == planstate.Submit {
		var err error
		if body, err = plan.Read("the plan", c.Body); err != nil {
			return admin.Error(http.StatusBadRequest, err.Error())
		}
		if body.ID != c.Plan {
			return admin.Error(http.StatusBadRequest, fmt.Sprintf("the plan: id: %q is not the %q of the call",
				body.ID, c.Plan))
		}
	}
	if reply := p.askLoop(func(now int64) admin.Reply {
		if p.plans == nil {
			return p.plansReply("", now)
		}
		existing := p.plans.coordinator.State().Find(c.Plan)
		switch {
		case body == nil && existing == nil:
			return admin.Error(http.StatusNotFound, planexec.ErrUnknownPlan.Error())
		case body != nil && existing == nil:
			listed := p.listedServers(func(h *host) balance.Server { return h.reported })
			var err error
			if command, err = planexec.SubmitCommand(body, plan.ListedTargets(listed), command.At); err != nil {
				return admin.Error(http.StatusConflict, err.Error())
			}
		case body != nil && !samePlan(&existing.Plan, body):
			return admin.Error(http.StatusConflict, "another plan has this id")
		}
		p.plans.coordinator.Request(command, now)
		return admin.OK("")
	}); reply.Status != http.StatusOK {
		return reply
	}
	for deadline := time.Now().Add(maxAgreementWait); time.Now().Before(deadline); time.Sleep(agreementPollInterval) {
		if reply := p.askLoop(func(int64) admin.Reply {
			if p.plans != nil && p.plans.coordinator.Applied(&command) {
				return admin.OK("agreed on")
			}
			return admin.Error(http.StatusAccepted, "")
		}); reply.Status == http.StatusOK {
			return reply
		}
	}
	return admin.Reply{Status: http.StatusAccepted, Text: "handed on, not agreed on yet: ask again"}
}

// samePlan reports whether two plans are equal as they were written.
func samePlan(x, y *plan.Plan) bool {
	xText, err := json.Marshal(x)
	yText, yErr := json.Marshal(y)
	return err == nil && yErr == nil && string(xText) == string(yText)
}
