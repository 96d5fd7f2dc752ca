package emu

// This file owns the model of one server: cores, a queue, speed, a cache of keys, a cold ramp, and what ails it. It must
// never look at who sends: a server knows reqs alone.

import (
	"slices"

	"ivybank/balance"
	"ivybank/internal/rng"
)

// Nature is what all servers of a fleet have in common.
type ServerParams struct {
	QueueCapacity  int     // reqs that may wait; more are turned away
	CacheKeys      int     // keys that a server remembers
	CacheTTL       int64   // for how long
	CacheSavings   float64 // part of the work that a remembered key saves
	RampTime       int64   // from a start until a server is warm
	StartCapacity  float64 // part of its capacity at its start
	OverloadFactor float64 // a cold server that is offered more than this multiple of what it can do
	OverloadWindow int64   // for so long falls over; 0: none does
	ReportInterval int64   // how old a load report may be
}

// Machine is one server's own.
type Machine struct {
	ID, Zone string
	Cell     int64
	Cores    int
	Speed    float64 // work done in a unit of time by one core
	Share    float64 // its size as listed
}

// Job is one attempt of a req as a server has it.
type Job struct {
	RequestID string
	Balancer  int // the balancer that sent it
	SentAt    int64
	Work      int64
	Key       string
	RuleSet   balance.RuleSet
	Done      func(balance.Outcome) // called once at the most: silence is a way to fail
	ended     bool
	started   bool
}

func (j *Job) finish(o balance.Outcome) {
	if !j.ended {
		j.ended = true
		j.Done(o)
	}
}

// Load is a load report.
type LoadReport struct {
	InFlight, Waiting int
	Util              float64
}

// ails is what is wrong with a server now.
type activeFaults struct {
	crashed, hung, vanished bool
	slowdown                float64 // times slower; 0: not
	errorRatio, resetRatio  float64 // part of reqs that end so
}

// Server is one server at work.
type Server struct {
	Machine
	params       *ServerParams
	clock        Clock
	random       *rng.Source
	checker      *Checker
	startTime    int64 // its latest start; 0: long past
	draining     bool
	overloaded   bool
	faults       activeFaults
	running      []*Job           // in the cores; emptied as they end
	waiting      []*Job           // emptied as cores come free
	stalled      []*Job           // taken while hung; emptied by a start
	cache        map[string]int64 // when a key was last met; the oldest goes past the number remembered
	recentWork   []offeredWork    // to a cold server lately; emptied as they age
	lastReport   LoadReport
	lastReportAt int64
	busyTime     int64 // core time spent, for its utilisation
	createdAt    int64
}

type offeredWork struct{ at, work int64 }

// NewServer makes a warm server.
func NewServer(m Machine, n *ServerParams, c Clock, d *rng.Source, j *Checker) *Server {
	return &Server{Machine: m, params: n, clock: c, random: d, checker: j, cache: map[string]int64{}, createdAt: c.Now()}
}

// Warmth is the part of its capacity that a server has by its age.
func (s *Server) CapacityFraction() float64 {
	age := s.clock.Now() - s.startTime
	if s.startTime == 0 || s.params.RampTime <= 0 || age >= s.params.RampTime {
		return 1
	}
	return s.params.StartCapacity + (1-s.params.StartCapacity)*float64(age)/float64(s.params.RampTime)
}

// Up says whether connections come up.
func (s *Server) AcceptsConnections() bool {
	return !s.faults.crashed && !s.faults.vanished && !s.overloaded
}

// Well says whether a probe is answered.
func (s *Server) Healthy() bool { return s.AcceptsConnections() && !s.faults.hung }

// Silent says whether nothing at all comes back, not even that a connection is refused.
func (s *Server) Unresponsive() bool { return s.faults.vanished }

// Offer gives a server a req whose last byte has come.
func (s *Server) Offer(j *Job) {
	switch {
	case s.faults.vanished:
		return
	case s.faults.crashed || s.overloaded:
		j.finish(balance.NoConnection)
		return
	case s.faults.hung:
		s.stalled = append(s.stalled, j)
		return
	}
	s.checkOverload(j)
	switch {
	case s.overloaded:
		j.finish(balance.Reset)
	case s.draining || len(s.running) >= s.Cores && len(s.waiting) >= s.params.QueueCapacity:
		j.finish(balance.Refused)
	case s.faults.errorRatio > 0 && s.random.Next() < s.faults.errorRatio:
		j.finish(balance.Errored)
	case s.faults.resetRatio > 0 && s.random.Next() < s.faults.resetRatio:
		j.finish(balance.Reset)
	default:
		s.waiting = append(s.waiting, j)
		s.startWaiting()
	}
}

// Cancel ends an attempt that its sender has given up; what has not begun never does.
func (s *Server) Cancel(j *Job) {
	j.ended = true
	s.waiting = slices.DeleteFunc(s.waiting, func(x *Job) bool { return x == j })
	if i := slices.Index(s.running, j); i >= 0 {
		s.running = slices.Delete(s.running, i, i+1)
		s.startWaiting()
	}
}

// next fills the cores.
func (s *Server) startWaiting() {
	for len(s.running) < s.Cores && len(s.waiting) > 0 && !s.faults.hung && s.AcceptsConnections() {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		if j.ended {
			continue
		}
		j.started = true
		s.running = append(s.running, j)
		s.checker.executionStarted(s, j)
		took := int64(float64(s.workFor(j)) * max(1, s.faults.slowdown) / (s.Speed * s.CapacityFraction()))
		s.cacheKey(j.Key)
		process := s.startTime
		s.clock.At(s.clock.Now()+max(1, took), func() {
			i := slices.Index(s.running, j)
			if i < 0 || process != s.startTime || s.faults.hung {
				return // given up, or of an earlier process
			}
			s.running = slices.Delete(s.running, i, i+1)
			s.busyTime += took
			j.finish(balance.Served)
			s.startWaiting()
		})
	}
}

// need is the work that a req takes here.
func (s *Server) workFor(j *Job) int64 {
	if met, ok := s.cache[j.Key]; ok && j.Key != "" && s.clock.Now()-met <= s.params.CacheTTL {
		return int64(float64(j.Work) * (1 - s.params.CacheSavings))
	}
	return j.Work
}

// meet remembers a key.
func (s *Server) cacheKey(key string) {
	if key == "" || s.params.CacheKeys <= 0 {
		return
	}
	if _, ok := s.cache[key]; !ok && len(s.cache) >= s.params.CacheKeys {
		oldest := ""
		for k, at := range s.cache {
			if oldest == "" || at < s.cache[oldest] || at == s.cache[oldest] && k < oldest {
				oldest = k
			}
		}
		delete(s.cache, oldest)
	}
	s.cache[key] = s.clock.Now()
}

// strain is what is offered to a cold server against what it can do.
func (s *Server) checkOverload(j *Job) {
	now, n := s.clock.Now(), s.params
	warmth := s.CapacityFraction()
	if warmth >= 1 || n.OverloadWindow <= 0 || n.OverloadFactor <= 0 {
		s.recentWork = nil
		return
	}
	s.recentWork = append(s.recentWork, offeredWork{now, j.Work})
	s.recentWork = slices.DeleteFunc(s.recentWork, func(o offeredWork) bool { return now-o.at > n.OverloadWindow })
	total := int64(0)
	for _, o := range s.recentWork {
		total += o.work
	}
	can := s.Speed * float64(s.Cores) * warmth * float64(n.OverloadWindow)
	s.checker.recordOverload(float64(total) / can / n.OverloadFactor)
	if float64(total) > n.OverloadFactor*can {
		s.checker.serverOverloaded(s)
		s.overloaded = true
		s.endAll(balance.Reset)
	}
}

// lose ends all that the server has.
func (s *Server) endAll(o balance.Outcome) {
	all := slices.Concat(s.running, s.waiting, s.stalled)
	s.running, s.waiting, s.stalled = nil, nil, nil
	for _, j := range all {
		j.finish(o)
	}
}

// Crash ends the process; connections are reset.
func (s *Server) Crash() {
	s.faults.crashed = true
	s.endAll(balance.Reset)
}

// Vanish ends the machine; nobody is told.
func (s *Server) Vanish() {
	s.faults.vanished = true
	s.running, s.waiting, s.stalled = nil, nil, nil
}

// Hang stops all work; connections stay.
func (s *Server) Hang() {
	s.faults.hung = true
	s.stalled = append(s.stalled, slices.Concat(s.running, s.waiting)...)
	s.running, s.waiting = nil, nil
}

// Start begins a new process, cold; what the old one had is reset.
func (s *Server) Start() {
	s.endAll(balance.Reset)
	s.faults.crashed, s.faults.hung, s.faults.vanished, s.overloaded, s.draining = false, false, false, false, false
	s.startTime, s.cache, s.recentWork = s.clock.Now(), map[string]int64{}, nil
}

// Report is the load report that an answer may carry; it may be old.
func (s *Server) Report() LoadReport {
	now := s.clock.Now()
	if s.lastReportAt == 0 || now-s.lastReportAt >= s.params.ReportInterval {
		s.lastReportAt = now
		s.lastReport = LoadReport{len(s.running) + len(s.waiting), len(s.waiting), float64(len(s.running)) / float64(s.Cores)}
	}
	return s.lastReport
}

// Utilisation is the part of its core time that was spent on whole reqs since it was made.
func (s *Server) Utilisation() float64 {
	return float64(s.busyTime) / float64(int64(s.Cores)*max(1, s.clock.Now()-s.createdAt))
}

// Expect is how long a req of so much work would take here by the server's true state; less than 0 where it would not be served.
func (s *Server) ExpectedLatency(work int64) float64 {
	if !s.AcceptsConnections() || s.faults.hung || s.draining || s.faults.errorRatio > 0.5 || s.faults.resetRatio > 0.5 {
		return -1
	}
	ahead := float64(len(s.waiting)+len(s.running)) / float64(s.Cores)
	return (1 + ahead) * float64(work) * max(1, s.faults.slowdown) / (s.Speed * s.CapacityFraction())
}
