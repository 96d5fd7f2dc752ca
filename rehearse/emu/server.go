package emu

// This file holds the model of one server: its cores, queue, speed, key cache, warm-up after a start, and faults. A
// server's behaviour never depends on which balancer sends a request.

import (
	"slices"

	"ivybank/balance"
	"ivybank/internal/rng"
)

// ServerParams are the parameters that all servers of a fleet share. Times are in nanoseconds.
type ServerParams struct {
	QueueCapacity  int     // number of requests that may wait; further ones are refused
	CacheKeys      int     // number of keys that a server caches; 0: none
	CacheTTL       int64   // how long a key stays cached
	CacheSavings   float64 // fraction of the work that a cached key saves
	RampTime       int64   // time from a start until a server has its full capacity
	StartCapacity  float64 // fraction of its capacity that a server has at its start
	OverloadFactor float64 // a server that is still warming up and is offered more than this multiple of its capacity
	OverloadWindow int64   // within this time fails; 0: servers don't fail from overload
	ReportInterval int64   // maximum age of a load report
}

// Machine holds the properties of one server.
type Machine struct {
	ID, Zone string
	Cell     int64
	Cores    int
	Speed    float64 // work that one core does per unit of time
	Share    float64 // its relative size in the list of discovery
}

// Job is one attempt of a request at a server.
type Job struct {
	RequestID string
	Balancer  int // index of the balancer that sent it
	SentAt    int64
	Work      int64
	Key       string
	RuleSet   balance.RuleSet
	Done      func(balance.Outcome) // called at most once; a server that gives no response never calls it
	ended     bool
	started   bool
}

func (j *Job) finish(o balance.Outcome) {
	if !j.ended {
		j.ended = true
		j.Done(o)
	}
}

// LoadReport is a server's report of its load.
type LoadReport struct {
	InFlight, Waiting int
	Util              float64
}

// activeFaults are the faults in effect at a server.
type activeFaults struct {
	crashed, hung, vanished bool
	slowdown                float64 // factor by which work takes longer; 0: none
	errorRatio, resetRatio  float64 // fractions of requests that fail in these ways
}

// Server is the model of one running server.
type Server struct {
	Machine
	params       *ServerParams
	clock        Clock
	random       *rng.Source
	checker      *Checker
	startTime    int64 // time of its latest start; 0: long ago, so the server is warm
	draining     bool
	overloaded   bool
	faults       activeFaults
	running      []*Job           // jobs that occupy a core
	waiting      []*Job           // jobs that wait for a core
	stalled      []*Job           // jobs accepted while the server hangs; cleared by a start
	cache        map[string]int64 // time of each key's latest use; beyond CacheKeys the oldest is evicted
	recentWork   []offeredWork    // work offered within OverloadWindow while the server warms up
	lastReport   LoadReport
	lastReportAt int64
	busyTime     int64 // core time spent on completed jobs, for Utilisation
	createdAt    int64
}

type offeredWork struct{ at, work int64 }

// NewServer makes a server that is warmed up.
func NewServer(m Machine, params *ServerParams, c Clock, random *rng.Source, checker *Checker) *Server {
	return &Server{Machine: m, params: params, clock: c, random: random, checker: checker, cache: map[string]int64{}, createdAt: c.Now()}
}

// CapacityFraction gives the fraction of its capacity that a server has, by the time since its start.
func (s *Server) CapacityFraction() float64 {
	age := s.clock.Now() - s.startTime
	if s.startTime == 0 || s.params.RampTime <= 0 || age >= s.params.RampTime {
		return 1
	}
	return s.params.StartCapacity + (1-s.params.StartCapacity)*float64(age)/float64(s.params.RampTime)
}

// AcceptsConnections says whether connections to the server can be established.
func (s *Server) AcceptsConnections() bool {
	return !s.faults.crashed && !s.faults.vanished && !s.overloaded
}

// Healthy says whether the server answers a probe.
func (s *Server) Healthy() bool { return s.AcceptsConnections() && !s.faults.hung }

// Unresponsive says whether nothing comes back from the machine, not even a refused connection.
func (s *Server) Unresponsive() bool { return s.faults.vanished }

// Offer hands the server a request that has arrived completely.
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

// Cancel ends an attempt that its sender has abandoned; a job that still waits is never run.
func (s *Server) Cancel(j *Job) {
	j.ended = true
	s.waiting = slices.DeleteFunc(s.waiting, func(x *Job) bool { return x == j })
	if i := slices.Index(s.running, j); i >= 0 {
		s.running = slices.Delete(s.running, i, i+1)
		s.startWaiting()
	}
}

// startWaiting starts waiting jobs on free cores.
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
		duration := int64(float64(s.workFor(j)) * max(1, s.faults.slowdown) / (s.Speed * s.CapacityFraction()))
		s.cacheKey(j.Key)
		startTime := s.startTime
		s.clock.At(s.clock.Now()+max(1, duration), func() {
			i := slices.Index(s.running, j)
			if i < 0 || startTime != s.startTime || s.faults.hung {
				return // cancelled, or belongs to an earlier process
			}
			s.running = slices.Delete(s.running, i, i+1)
			s.busyTime += duration
			j.finish(balance.Served)
			s.startWaiting()
		})
	}
}

// workFor gives the work that a job takes here, less if its key is cached.
func (s *Server) workFor(j *Job) int64 {
	if usedAt, ok := s.cache[j.Key]; ok && j.Key != "" && s.clock.Now()-usedAt <= s.params.CacheTTL {
		return int64(float64(j.Work) * (1 - s.params.CacheSavings))
	}
	return j.Work
}

// cacheKey adds a key to the cache and evicts the oldest one if the cache is full.
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

// checkOverload compares the work offered to a server that is warming up with its capacity, and fails the server if it
// is overloaded.
func (s *Server) checkOverload(j *Job) {
	now, n := s.clock.Now(), s.params
	fraction := s.CapacityFraction()
	if fraction >= 1 || n.OverloadWindow <= 0 || n.OverloadFactor <= 0 {
		s.recentWork = nil
		return
	}
	s.recentWork = append(s.recentWork, offeredWork{now, j.Work})
	s.recentWork = slices.DeleteFunc(s.recentWork, func(o offeredWork) bool { return now-o.at > n.OverloadWindow })
	total := int64(0)
	for _, o := range s.recentWork {
		total += o.work
	}
	capacity := s.Speed * float64(s.Cores) * fraction * float64(n.OverloadWindow)
	s.checker.recordOverload(float64(total) / capacity / n.OverloadFactor)
	if float64(total) > n.OverloadFactor*capacity {
		s.checker.serverOverloaded(s)
		s.overloaded = true
		s.endAll(balance.Reset)
	}
}

// endAll ends all jobs that the server has.
func (s *Server) endAll(o balance.Outcome) {
	all := slices.Concat(s.running, s.waiting, s.stalled)
	s.running, s.waiting, s.stalled = nil, nil, nil
	for _, j := range all {
		j.finish(o)
	}
}

// Crash ends the process and resets its connections.
func (s *Server) Crash() {
	s.faults.crashed = true
	s.endAll(balance.Reset)
}

// Vanish takes the machine away without any response to its clients.
func (s *Server) Vanish() {
	s.faults.vanished = true
	s.running, s.waiting, s.stalled = nil, nil, nil
}

// Hang stops all work; connections stay open.
func (s *Server) Hang() {
	s.faults.hung = true
	s.stalled = append(s.stalled, slices.Concat(s.running, s.waiting)...)
	s.running, s.waiting = nil, nil
}

// Start begins a new process with an empty cache and its warm-up ahead; the jobs of the old one are reset.
func (s *Server) Start() {
	s.endAll(balance.Reset)
	s.faults.crashed, s.faults.hung, s.faults.vanished, s.overloaded, s.draining = false, false, false, false, false
	s.startTime, s.cache, s.recentWork = s.clock.Now(), map[string]int64{}, nil
}

// Report gives the load report that an answer may carry; it is up to ReportInterval old.
func (s *Server) Report() LoadReport {
	now := s.clock.Now()
	if s.lastReportAt == 0 || now-s.lastReportAt >= s.params.ReportInterval {
		s.lastReportAt = now
		s.lastReport = LoadReport{len(s.running) + len(s.waiting), len(s.waiting), float64(len(s.running)) / float64(s.Cores)}
	}
	return s.lastReport
}

// Utilisation gives the fraction of the server's core time since its creation that went into completed requests.
func (s *Server) Utilisation() float64 {
	return float64(s.busyTime) / float64(int64(s.Cores)*max(1, s.clock.Now()-s.createdAt))
}

// ExpectedLatency gives how long a request of so much work would take here, by the server's true state; negative if it
// would not be served.
func (s *Server) ExpectedLatency(work int64) float64 {
	if !s.AcceptsConnections() || s.faults.hung || s.draining || s.faults.errorRatio > 0.5 || s.faults.resetRatio > 0.5 {
		return -1
	}
	ahead := float64(len(s.waiting)+len(s.running)) / float64(s.Cores)
	return (1 + ahead) * float64(work) * max(1, s.faults.slowdown) / (s.Speed * s.CapacityFraction())
}
