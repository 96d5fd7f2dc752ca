package lab

// This file owns the operators' part in experiments with plans: one hands a plan in, and mechanics restart what a proxy's door says is out.
// What was out at once and how long it took is by their own count. They must never do more to a server than the plan has it out for.

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

// maintenance is what an experiment has done to all servers, each once.
type maintenance struct {
	Plan   string        `toml:"plan"`    // a plan's file, beside the experiment's
	At     conf.Duration `toml:"at"`      // of its handing in
	Work   conf.Duration `toml:"work"`    // at each server
	AtOnce int           `toml:"at_once"` // by timer: so many,
	Each   conf.Duration `toml:"each"`    // and the next after so long
}

var maintenances = []string{"", "plan", "timer", "at once"}

const (
	planLook   = 50 * time.Millisecond
	planSubmit = 250 * time.Millisecond
)

// PlanFigures are what came of a plan, by the mechanics' count. Times are seconds.
type PlanFigures struct {
	Servers int     // worked on
	Twice   int     // of them more than once
	Most    int     // at once
	Took    float64 // from the handing in to the last server's return to the list; -1: it did not end
}

// mechanics work on what is out.
type mechanics struct {
	r      *rig
	work   time.Duration
	mu     sync.Mutex
	worked map[string]int   // times, by server
	since  map[string]int64 // the agreed time of its latest going out
	down   int
	f      PlanFigures
	done   sync.WaitGroup
}

func (r *rig) mechanics(work time.Duration) *mechanics {
	return &mechanics{r: r, work: work, worked: map[string]int{}, since: map[string]int64{}}
}

// take counts a server that goes out for its work; false where it is known to be out since then.
func (m *mechanics) take(id string, since int64) bool {
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

// up counts one that is at work no more.
func (m *mechanics) up() {
	m.mu.Lock()
	m.down--
	m.mu.Unlock()
}

// mend takes a server down for its work, in which its process is not there, and up again, cold.
func (m *mechanics) mend(id string) {
	var undo func()
	m.r.clock.Do(func() { undo = m.r.fleet.Inject(emu.Fault{Kind: "crash", Servers: []string{id}}) })
	select {
	case <-m.r.ctx.Done():
		return
	case <-time.After(m.work):
	}
	m.r.clock.Do(undo)
	m.up()
}

// figures sums up.
func (m *mechanics) figures() *PlanFigures {
	m.done.Wait()
	m.f.Servers = len(m.worked)
	for _, n := range m.worked {
		if n > 1 {
			m.f.Twice++
		}
	}
	return &m.f
}

// settled has the proxies carry a plan through.
func (m *mechanics) settled(path string, over chan bool) {
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
	for taken := false; !taken; {
		for i := range m.r.procs {
			if taken = m.put(i, "/plans/"+p.ID, text); taken {
				break
			}
		}
		if m.over(over, planSubmit) {
			return
		}
	}
	for !m.over(over, planLook) {
		for _, x := range m.r.procs {
			var all []planexec.Status
			if !x.tells("/plans/"+p.ID, &all) || len(all) != 1 {
				continue
			}
			if all[0].State == "ended" {
				m.f.Took = time.Since(begun).Seconds()
				return
			}
			for _, s := range all[0].Steps {
				if s.Phase == "out" && m.take(s.Server, s.At) {
					m.done.Go(func() { m.mend(s.Server) })
				}
			}
		}
	}
}

// timed drains servers by the list one after another, so many at a time, each for a stated time before it is worked on, whatever becomes
// of service: a person's script.
func (m *mechanics) timed(servers []string, atOnce int, each time.Duration, over chan bool) {
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
				m.take(id, 0)
				time.Sleep(m.work)
				m.r.clock.Do(undo)
				m.up()
			})
		}
		servers = servers[n:]
		if m.over(over, each) {
			return
		}
	}
	m.f.Took = time.Since(begun).Seconds()
}

func (m *mechanics) over(over chan bool, wait time.Duration) bool {
	select {
	case <-over:
		return true
	case <-m.r.ctx.Done():
		return true
	case <-time.After(wait):
		return false
	}
}

// put makes a call at a proxy's door.
func (m *mechanics) put(proxy int, path string, body []byte) bool {
	q, err := http.NewRequest(http.MethodPut, "http://"+m.r.procs[proxy].door+path, bytes.NewReader(body))
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

// maintain begins what a variant has done to the servers; what it gives ends that and tells what came of it.
func (r *rig) maintain(v Variant) func() *PlanFigures {
	x := r.e.Maintenance
	if x == nil || v.Maintenance == "" {
		return func() *PlanFigures { return nil }
	}
	m, over := r.mechanics(time.Duration(x.Work)), make(chan bool)
	var servers []string
	for _, s := range r.fleet.Servers {
		servers = append(servers, s.ID)
	}
	m.done.Go(func() {
		if m.over(over, time.Duration(x.At)) {
			return
		}
		switch v.Maintenance {
		case "plan":
			m.settled(r.e.beside(x.Plan), over)
		case "timer":
			m.timed(servers, x.AtOnce, time.Duration(x.Each), over)
		case "at once":
			m.timed(servers, len(servers), time.Duration(x.Each), over)
		}
	})
	return func() *PlanFigures {
		close(over)
		return m.figures()
	}
}

// said is a line on what came of a plan.
func (p *PlanFigures) said() string {
	return fmt.Sprintf("  %d servers worked on, %d twice, %d at once, in %.1f s", p.Servers, p.Twice, p.Most, p.Took)
}
