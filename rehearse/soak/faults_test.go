package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fault is a kind of fault that is injected into the fleet. All its random draws come from the seed of the run.
type fault struct {
	name   string
	weight int
	play   func(s *faultSchedule, random *rand.Rand)
}

// faultSchedule injects faults one after the other; each may continue while the next begins.
type faultSchedule struct {
	ctx          context.Context
	fleet        *fleet
	faults       []fault
	mu           sync.Mutex
	played       map[string]int
	lastDiskLoss time.Time // when a disk was last lost or a control machine last replaced
	changing     sync.Mutex
	running      sync.WaitGroup
}

const (
	minGap = 200 * time.Millisecond
	maxGap = 1200 * time.Millisecond
	// diskLossInterval is the minimum time between two lost disks: the fleet tolerates one loss at a time.
	diskLossInterval = 8 * time.Second
)

var soakFaults = []fault{
	{"kill a front process", 4, func(s *faultSchedule, r *rand.Rand) {
		m := s.fleet.randomFront(r)
		s.kill(m, m.roles()[r.IntN(2)], randomDuration(r, 0, 800))
	}},
	{"kill many fronts", 1, func(s *faultSchedule, r *rand.Rand) {
		for _, m := range s.fleet.alive(false) {
			if r.IntN(2) == 0 {
				s.kill(m, routerRole, randomDuration(r, 0, 600))
				s.kill(m, agentRole, randomDuration(r, 0, 600))
			}
		}
	}},
	{"kill a control process", 3, func(s *faultSchedule, r *rand.Rand) {
		s.kill(s.randomControl(r), controlRole, randomDuration(r, 50, 1500))
	}},
	{"kill control processes in a row", 2, func(s *faultSchedule, r *rand.Rand) {
		for _, m := range s.fleet.alive(true) {
			s.kill(m, controlRole, 300*time.Millisecond)
			s.sleep(randomDuration(r, 100, 900))
		}
	}},
	{"kill all control processes", 1, func(s *faultSchedule, r *rand.Rand) {
		for _, m := range s.fleet.alive(true) {
			s.kill(m, controlRole, randomDuration(r, 100, 900))
		}
	}},
	{"stop a front", 3, func(s *faultSchedule, r *rand.Rand) {
		m := s.fleet.randomFront(r)
		s.signal(m, syscall.SIGTERM, randomDuration(r, 0, 300))
	}},
	{"stop a control process", 2, func(s *faultSchedule, r *rand.Rand) {
		s.signal(s.randomControl(r), syscall.SIGTERM, randomDuration(r, 0, 300))
	}},
	{"read settings again", 1, func(s *faultSchedule, r *rand.Rand) {
		for _, m := range append(s.fleet.alive(true), s.fleet.alive(false)...) {
			s.signal(m, syscall.SIGHUP, 0)
		}
	}},
	{"freeze a front", 3, func(s *faultSchedule, r *rand.Rand) { s.freeze(s.fleet.randomFront(r), randomDuration(r, 100, 2500)) }},
	{"freeze a control process", 3, func(s *faultSchedule, r *rand.Rand) { s.freeze(s.randomControl(r), randomDuration(r, 100, 2500)) }},
	{"cut fronts off from control", 4, func(s *faultSchedule, r *rand.Rand) {
		duration, share, reset := randomDuration(r, 500, 5000), 1+r.IntN(9), r.IntN(2) == 0
		for _, m := range s.fleet.alive(false) {
			if r.IntN(10) < share {
				s.partition(m, s.fleet.alive(true), duration, 2, reset)
			}
		}
	}},
	{"cut a control process off", 3, func(s *faultSchedule, r *rand.Rand) {
		m, directions := s.randomControl(r), 1+r.IntN(2)
		all := s.fleet.alive(true)
		if r.IntN(2) == 0 {
			all = append(all, s.fleet.alive(false)...)
		}
		s.partition(m, all, randomDuration(r, 500, 4000), directions, r.IntN(2) == 0)
	}},
	{"cut all control processes apart", 1, func(s *faultSchedule, r *rand.Rand) {
		duration := randomDuration(r, 300, 2000)
		for _, m := range s.fleet.alive(true) {
			s.partition(m, s.fleet.alive(true), duration, 2, false)
		}
	}},
	{"reset connections", 2, func(s *faultSchedule, r *rand.Rand) {
		for _, m := range s.fleet.alive(false) {
			for _, other := range s.fleet.alive(true) {
				if r.IntN(3) == 0 {
					s.fleet.network.reset(link{m.number, other.number})
				}
			}
		}
	}},
	{"lose a disk", 2, func(s *faultSchedule, r *rand.Rand) { s.loseDisk(s.randomControl(r), randomDuration(r, 100, 1000)) }},
	{"replace a control machine", 1, func(s *faultSchedule, r *rand.Rand) {
		s.replaceControl(s.randomControl(r), randomDuration(r, 100, 1500))
	}},
	{"replace a front", 2, func(s *faultSchedule, r *rand.Rand) {
		m := s.fleet.randomFront(r)
		s.fleet.addMachine(false, false)
		s.fleet.remove(m)
	}},
	{"change limits", 4, func(s *faultSchedule, r *rand.Rand) { s.changeLimits(r) }},
	{"replace a host", 3, func(s *faultSchedule, _ *rand.Rand) { s.fleet.replaceHost() }},
}

// randomDuration draws a duration between two bounds in milliseconds, both included.
func randomDuration(r *rand.Rand, least, most int) time.Duration {
	return time.Duration(least+r.IntN(most-least+1)) * time.Millisecond
}

func newFaultSchedule(ctx context.Context, f *fleet, faults []fault) *faultSchedule {
	return &faultSchedule{ctx: ctx, fleet: f, faults: faults, played: map[string]int{}}
}

// run injects faults until the context ends, and then waits for those that are still running.
func (s *faultSchedule) run(random *rand.Rand) {
	weights := 0
	for _, t := range s.faults {
		weights += t.weight
	}
	for s.sleep(randomDuration(random, int(minGap.Milliseconds()), int(maxGap.Milliseconds()))) {
		drawn, i := random.IntN(weights), 0
		for drawn >= s.faults[i].weight {
			drawn -= s.faults[i].weight
			i++
		}
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		s.count(s.faults[i].name)
		s.running.Go(func() { s.faults[i].play(s, faultRandom) })
	}
	s.running.Wait()
}

func (s *faultSchedule) count(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.played[name]++
}

// sleep waits for d, and reports false if the schedule ended first.
func (s *faultSchedule) sleep(d time.Duration) bool {
	select {
	case <-s.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (s *faultSchedule) randomControl(r *rand.Rand) *machine {
	all := s.fleet.alive(true)
	return all[r.IntN(len(all))]
}

func (s *faultSchedule) kill(m *machine, r role, restartDelay time.Duration) {
	p := m.processes[r]
	p.mu.Lock()
	p.restartDelay = restartDelay
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
}

func (s *faultSchedule) signal(m *machine, signal syscall.Signal, restartDelay time.Duration) {
	for _, r := range m.roles() {
		p := m.processes[r]
		p.mu.Lock()
		p.restartDelay = restartDelay
		p.mu.Unlock()
		p.signal(signal)
	}
}

// freeze stops all processes of a machine for a given time.
func (s *faultSchedule) freeze(m *machine, duration time.Duration) {
	for _, r := range m.roles() {
		m.processes[r].signal(syscall.SIGSTOP)
	}
	s.sleep(duration)
	for _, r := range m.roles() {
		m.processes[r].signal(syscall.SIGCONT)
	}
}

// partition cuts a machine off from others, in one direction or both.
func (s *faultSchedule) partition(m *machine, others []*machine, duration time.Duration, directions int, reset bool) {
	for _, other := range others {
		if other == m {
			continue
		}
		s.fleet.network.cut(link{m.number, other.number}, duration)
		if directions == 2 {
			s.fleet.network.cut(link{other.number, m.number}, duration)
		}
		if reset {
			s.fleet.network.reset(link{m.number, other.number})
			s.fleet.network.reset(link{other.number, m.number})
		}
	}
}

// canLoseDisk reports whether the fleet can lose a disk now, and if so records the loss. The fleet has to be healthy: a
// loss before the previous one is repaired is more than it has to tolerate.
func (s *faultSchedule) canLoseDisk() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lastDiskLoss.IsZero() && time.Since(s.lastDiskLoss) < diskLossInterval || !s.fleet.isHealthy(s.ctx) {
		return false
	}
	s.lastDiskLoss = time.Now()
	return true
}

func (s *faultSchedule) loseDisk(m *machine, restartDelay time.Duration) {
	if s.canLoseDisk() {
		s.wipe(m, restartDelay)
	}
}

// wipe kills a control process and deletes its data.
func (s *faultSchedule) wipe(m *machine, restartDelay time.Duration) {
	s.count("a disk was lost")
	p := m.processes[controlRole]
	p.mu.Lock()
	p.restartDelay = restartDelay
	p.mu.Unlock()
	m.bootstrap = false
	_ = m.writeSettings(s.fleet.seedAddresses(), s.fleet.platform.Address())
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	time.Sleep(50 * time.Millisecond) // the process has ended and is not restarted yet
	_ = os.RemoveAll(m.dataFolder())
}

// replaceControl removes a control machine permanently and adds an empty one at another address.
func (s *faultSchedule) replaceControl(m *machine, restartDelay time.Duration) {
	if !s.canLoseDisk() {
		return
	}
	s.count("a control machine was replaced")
	s.fleet.remove(m)
	s.sleep(restartDelay)
	fresh := s.fleet.addMachine(true, false)
	s.fleet.mu.Lock()
	for i, seed := range s.fleet.seedMachines {
		if seed == m.number {
			s.fleet.seedMachines[i] = fresh.number
		}
	}
	all := append([]*machine{}, s.fleet.machines...)
	s.fleet.mu.Unlock()
	for _, other := range all {
		if !other.removed {
			_ = other.writeSettings(s.fleet.seedAddresses(), s.fleet.platform.Address())
			s.signalOnly(other, syscall.SIGHUP)
		}
	}
}

func (s *faultSchedule) signalOnly(m *machine, signal syscall.Signal) {
	for _, r := range m.roles() {
		m.processes[r].signal(signal)
	}
}

// changeLimits raises or lowers limits, rate and burst independently. The limit of the tenant that stays below it is
// kept.
func (s *faultSchedule) changeLimits(r *rand.Rand) {
	s.changing.Lock()
	defer s.changing.Unlock()
	limits := map[*tenant]*limitChange{}
	for _, t := range s.fleet.tenants {
		limit := limitChange{rate: t.rate, burst: t.rate}
		if !t.belowLimit {
			limit.rate *= []float64{0.3, 0.6, 1, 1.5}[r.IntN(4)]
			limit.burst *= []float64{0.2, 0.5, 1, 2}[r.IntN(4)]
		}
		limits[t] = &limit
	}
	ctx, stop := context.WithTimeout(s.ctx, 20*time.Second)
	defer stop()
	if s.fleet.replaceLimits(ctx, limits) {
		s.count("limits were changed")
	}
}

// String lists how often each fault was injected.
func (s *faultSchedule) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var parts []string
	for name, n := range s.played {
		parts = append(parts, fmt.Sprintf("%d %s", n, name))
	}
	sort.Strings(parts)
	return strings.Join(parts, "; ")
}
