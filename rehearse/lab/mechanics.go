package lab

// This file holds the emulated operators: one submits a maintenance plan, and workers restart each server that a
// proxy's administrative address reports as out. The figures come from the workers' own count. They must never do more
// to a server than the plan has taken it out for.

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"ivybank/conf"
	"ivybank/fleet/plan"
	"ivybank/fleet/planexec"
	"ivybank/rehearse/emu"
)

// maintenance describes the work that an experiment does on every server once.
type maintenance struct {
	Plan   string        `toml:"plan"`    // path of a plan, relative to the experiment file
	At     conf.Duration `toml:"at"`      // when the maintenance starts
	Work   conf.Duration `toml:"work"`    // time that the work on each server takes
	AtOnce int           `toml:"at_once"` // by timer: servers taken out together
	Each   conf.Duration `toml:"each"`    // by timer: interval between groups
}

var maintenances = []string{"", "plan", "timer", "at once"}

const (
	planPollInterval   = 50 * time.Millisecond
	planSubmitInterval = 250 * time.Millisecond
)

// PlanFigures are the results of a maintenance, by the workers' count. Times are in seconds.
type PlanFigures struct {
	Servers int     // number of servers worked on
	Twice   int     // servers worked on more than once
	Most    int     // most servers out at the same time
	Took    float64 // from the submission to the last server's return to the list; -1: it did not end
}

// maintenanceRun carries out one maintenance and counts its figures.
type maintenanceRun struct {
	r      *rig
	work   time.Duration
	mu     sync.Mutex
	worked map[string]int   // number of times, by server
	since  map[string]int64 // when each server last went out, as the fleet agreed
	down   int
	f      PlanFigures
	done   sync.WaitGroup
}

func (r *rig) newMaintenanceRun(work time.Duration) *maintenanceRun {
	return &maintenanceRun{r: r, work: work, worked: map[string]int{}, since: map[string]int64{}}
}

// beginWork counts a server that is taken out for its work; it returns false if it was already counted for that time.
func (m *maintenanceRun) beginWork(id string, since int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at, had := m.since[id]; had && at == since {
		return false
	}
	m.since[id] = since
	m.worked[id]++
	m.down++
	m.f.Most = max(m.f.Most, m.down)
	return true
}

// endWork counts a server whose work has ended.
func (m *maintenanceRun) endWork() {
	m.mu.Lock()
	m.down--
	m.mu.Unlock()
}

// restartServer stops a server's process for the time of the work and starts it again with cold caches.
func (m *maintenanceRun) restartServer(id string) {
	var undo func()
	m.r.clock.Do(func() { undo = m.r.fleet.Inject(emu.Fault{Kind: "crash", Servers: []string{id}}) })
	select {
	case <-m.r.ctx.Done():
		return
	case <-time.After(m.work):
	}
	m.r.clock.Do(undo)
	m.endWork()
}

// figures waits until all work has ended and returns the totals.
func (m *maintenanceRun) figures() *PlanFigures {
	m.done.Wait()
	m.f.Servers = len(m.worked)
	for _, n := range m.worked {
		if n > 1 {
			m.f.Twice++
		}
	}
	return &m.f
}

// runPlan submits a plan to the proxies and works on the servers that they take out, until the plan has ended.
func (m *maintenanceRun) runPlan(path string, over chan bool) {
	m.f.Took = -1
	text, err := os.ReadFile(path)
	if err != nil {
		return
	}
	p, err := plan.Read(path, text)
	if err != nil {
		return
	}
	begun := time.Now()
	for accepted := false; !accepted; {
		for i := range m.r.procs {
			if accepted = m.submitPlan(i, "/plans/"+p.ID, text); accepted {
				break
			}
		}
		if m.waitOrEnd(over, planSubmitInterval) {
			return
		}
	}
	for !m.waitOrEnd(over, planPollInterval) {
		for _, x := range m.r.procs {
			var all []planexec.Status
			if !x.getJSON("/plans/"+p.ID, &all) || len(all) != 1 {
				continue
			}
			if all[0].State == "ended" {
				m.f.Took = time.Since(begun).Seconds()
				return
			}
			for _, s := range all[0].Steps {
				if s.Phase == "out" && m.beginWork(s.Server, s.At) {
					m.done.Go(func() { m.restartServer(s.Server) })
				}
			}
		}
	}
}

// runOnTimer drains the servers in the order of the list, atOnce at a time at a fixed interval, and works on each after
// its drain time, regardless of service: as an operator's script would.
func (m *maintenanceRun) runOnTimer(servers []string, atOnce int, each time.Duration, over chan bool) {
	begun := time.Now()
	m.f.Took = -1
	grace := time.Duration(m.r.e.Fleet.Told+m.r.e.Fleet.Grace) + 200*time.Millisecond
	for len(servers) > 0 {
		n := min(atOnce, len(servers))
		for _, id := range servers[:n] {
			m.done.Go(func() {
				var undo func()
				m.r.clock.Do(func() { undo = m.r.fleet.Inject(emu.Fault{Kind: "drain", Servers: []string{id}}) })
				time.Sleep(grace)
				m.beginWork(id, 0)
				time.Sleep(m.work)
				m.r.clock.Do(undo)
				m.endWork()
			})
		}
		servers = servers[n:]
		if m.waitOrEnd(over, each) {
			return
		}
	}
	m.f.Took = time.Since(begun).Seconds()
}

func (m *maintenanceRun) waitOrEnd(over chan bool, wait time.Duration) bool {
	select {
	case <-over:
		return true
	case <-m.r.ctx.Done():
		return true
	case <-time.After(wait):
		return false
	}
}

// submitPlan submits a plan at a proxy's administrative address; it returns false if it was not accepted.
func (m *maintenanceRun) submitPlan(proxy int, path string, body []byte) bool {
	q, err := http.NewRequest(http.MethodPut, "http://"+m.r.procs[proxy].adminAddr+path, bytes.NewReader(body))
	if err != nil {
		return false
	}
	a, err := doorClient.Do(q)
	if err != nil {
		return false
	}
	defer a.Body.Close()
	_, _ = io.Copy(io.Discard, a.Body)
	return a.StatusCode == http.StatusOK
}

// maintain starts the maintenance of a variant. The function it returns stops it and returns its figures.
func (r *rig) maintain(v Variant) func() *PlanFigures {
	x := r.e.Maintenance
	if x == nil || v.Maintenance == "" {
		return func() *PlanFigures { return nil }
	}
	m, over := r.newMaintenanceRun(time.Duration(x.Work)), make(chan bool)
	var servers []string
	for _, s := range r.fleet.Servers {
		servers = append(servers, s.ID)
	}
	m.done.Go(func() {
		if m.waitOrEnd(over, time.Duration(x.At)) {
			return
		}
		switch v.Maintenance {
		case "plan":
			m.runPlan(r.e.resolvePath(x.Plan), over)
		case "timer":
			m.runOnTimer(servers, x.AtOnce, time.Duration(x.Each), over)
		case "at once":
			m.runOnTimer(servers, len(servers), time.Duration(x.Each), over)
		}
	})
	return func() *PlanFigures {
		close(over)
		return m.figures()
	}
}

// summary returns a line with the results.
func (p *PlanFigures) summary() string {
	return fmt.Sprintf("  %d servers worked on, %d twice, %d at once, in %.1f s", p.Servers, p.Twice, p.Most, p.Took)
}
