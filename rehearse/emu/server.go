package emu

// This file owns the model of one server: cores, a queue, speed, a cache of keys, a cold ramp, and what ails it. It must
// never look at who sends: a server knows reqs alone.

import (
	"slices"

	"ivybank/balance"
	"ivybank/internal/rng"
)

// Nature is what all servers of a fleet have in common.
type Nature struct {
	Queue         int     // reqs that may wait; more are turned away
	CacheKeys     int     // keys that a server remembers
	CacheFor      int64   // for how long
	CacheSaves    float64 // part of the work that a remembered key saves
	RampTime      int64   // from a start until a server is warm
	StartCapacity float64 // part of its capacity at its start
	FallOver      float64 // a cold server that is offered more than this multiple of what it can do
	FallAfter     int64   // for so long falls over; 0: none does
	ReportEvery   int64   // how old a load report may be
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
	Req     string
	From    int // the balancer that sent it
	Sent    int64
	Work    int64
	Key     string
	Rules   balance.RuleSet
	Done    func(balance.Outcome) // called once at the most: silence is a way to fail
	ended   bool
	started bool
}

func (j *Job) end(o balance.Outcome) {
	if !j.ended {
		j.ended = true
		j.Done(o)
	}
}

// Load is a load report.
type Load struct {
	InFlight, Waiting int
	Util              float64
}

// ails is what is wrong with a server now.
type ails struct {
	crashed, hung, vanished bool
	slow                    float64 // times slower; 0: not
	errors, resets          float64 // part of reqs that end so
}

// Server is one server at work.
type Server struct {
	Machine
	nature  *Nature
	clock   Clock
	dice    *rng.Source
	judge   *Judge
	since   int64 // its latest start; 0: long past
	drains  bool
	fallen  bool
	ails    ails
	busy    []*Job           // in the cores; emptied as they end
	waiting []*Job           // emptied as cores come free
	held    []*Job           // taken while hung; emptied by a start
	cache   map[string]int64 // when a key was last met; the oldest goes past the number remembered
	offered []offer          // to a cold server lately; emptied as they age
	load    Load
	loadAt  int64
	worked  int64 // core time spent, for its utilisation
	started int64
}

type offer struct{ at, work int64 }

// NewServer makes a warm server.
func NewServer(m Machine, n *Nature, c Clock, d *rng.Source, j *Judge) *Server {
	return &Server{Machine: m, nature: n, clock: c, dice: d, judge: j, cache: map[string]int64{}, started: c.Now()}
}

// Warmth is the part of its capacity that a server has by its age.
func (s *Server) Warmth() float64 {
	age := s.clock.Now() - s.since
	if s.since == 0 || s.nature.RampTime <= 0 || age >= s.nature.RampTime {
		return 1
	}
	return s.nature.StartCapacity + (1-s.nature.StartCapacity)*float64(age)/float64(s.nature.RampTime)
}

// Up says whether connections come up.
func (s *Server) Up() bool { return !s.ails.crashed && !s.ails.vanished && !s.fallen }

// Well says whether a probe is answered.
func (s *Server) Well() bool { return s.Up() && !s.ails.hung }

// Silent says whether nothing at all comes back, not even that a connection is refused.
func (s *Server) Silent() bool { return s.ails.vanished }

// Offer gives a server a req whose last byte has come.
func (s *Server) Offer(j *Job) {
	switch {
	case s.ails.vanished:
		return
	case s.ails.crashed || s.fallen:
		j.end(balance.NoConnection)
		return
	case s.ails.hung:
		s.held = append(s.held, j)
		return
	}
	s.strain(j)
	switch {
	case s.fallen:
		j.end(balance.Reset)
	case s.drains || len(s.busy) >= s.Cores && len(s.waiting) >= s.nature.Queue:
		j.end(balance.Refused)
	case s.ails.errors > 0 && s.dice.Next() < s.ails.errors:
		j.end(balance.Errored)
	case s.ails.resets > 0 && s.dice.Next() < s.ails.resets:
		j.end(balance.Reset)
	default:
		s.waiting = append(s.waiting, j)
		s.next()
	}
}

// Cancel ends an attempt that its sender has given up; what has not begun never does.
func (s *Server) Cancel(j *Job) {
	j.ended = true
	s.waiting = slices.DeleteFunc(s.waiting, func(x *Job) bool { return x == j })
	if i := slices.Index(s.busy, j); i >= 0 {
		s.busy = slices.Delete(s.busy, i, i+1)
		s.next()
	}
}

// next fills the cores.
func (s *Server) next() {
	for len(s.busy) < s.Cores && len(s.waiting) > 0 && !s.ails.hung && s.Up() {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		if j.ended {
			continue
		}
		j.started = true
		s.busy = append(s.busy, j)
		s.judge.began(s, j)
		took := int64(float64(s.need(j)) * max(1, s.ails.slow) / (s.Speed * s.Warmth()))
		s.meet(j.Key)
		process := s.since
		s.clock.At(s.clock.Now()+max(1, took), func() {
			i := slices.Index(s.busy, j)
			if i < 0 || process != s.since || s.ails.hung {
				return // given up, or of an earlier process
			}
			s.busy = slices.Delete(s.busy, i, i+1)
			s.worked += took
			j.end(balance.Served)
			s.next()
		})
	}
}

// need is the work that a req takes here.
func (s *Server) need(j *Job) int64 {
	if met, ok := s.cache[j.Key]; ok && j.Key != "" && s.clock.Now()-met <= s.nature.CacheFor {
		return int64(float64(j.Work) * (1 - s.nature.CacheSaves))
	}
	return j.Work
}

// meet remembers a key.
func (s *Server) meet(key string) {
	if key == "" || s.nature.CacheKeys <= 0 {
		return
	}
	if _, ok := s.cache[key]; !ok && len(s.cache) >= s.nature.CacheKeys {
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
func (s *Server) strain(j *Job) {
	now, n := s.clock.Now(), s.nature
	warmth := s.Warmth()
	if warmth >= 1 || n.FallAfter <= 0 || n.FallOver <= 0 {
		s.offered = nil
		return
	}
	s.offered = append(s.offered, offer{now, j.Work})
	s.offered = slices.DeleteFunc(s.offered, func(o offer) bool { return now-o.at > n.FallAfter })
	total := int64(0)
	for _, o := range s.offered {
		total += o.work
	}
	can := s.Speed * float64(s.Cores) * warmth * float64(n.FallAfter)
	s.judge.strained(float64(total) / can / n.FallOver)
	if float64(total) > n.FallOver*can {
		s.judge.fell(s)
		s.fallen = true
		s.lose(balance.Reset)
	}
}

// lose ends all that the server has.
func (s *Server) lose(o balance.Outcome) {
	all := slices.Concat(s.busy, s.waiting, s.held)
	s.busy, s.waiting, s.held = nil, nil, nil
	for _, j := range all {
		j.end(o)
	}
}

// Crash ends the process; connections are reset.
func (s *Server) Crash() {
	s.ails.crashed = true
	s.lose(balance.Reset)
}

// Vanish ends the machine; nobody is told.
func (s *Server) Vanish() {
	s.ails.vanished = true
	s.busy, s.waiting, s.held = nil, nil, nil
}

// Hang stops all work; connections stay.
func (s *Server) Hang() {
	s.ails.hung = true
	s.held = append(s.held, slices.Concat(s.busy, s.waiting)...)
	s.busy, s.waiting = nil, nil
}

// Start begins a new process, cold; what the old one had is reset.
func (s *Server) Start() {
	s.lose(balance.Reset)
	s.ails.crashed, s.ails.hung, s.ails.vanished, s.fallen, s.drains = false, false, false, false, false
	s.since, s.cache, s.offered = s.clock.Now(), map[string]int64{}, nil
}

// Report is the load report that an answer may carry; it may be old.
func (s *Server) Report() Load {
	now := s.clock.Now()
	if s.loadAt == 0 || now-s.loadAt >= s.nature.ReportEvery {
		s.loadAt = now
		s.load = Load{len(s.busy) + len(s.waiting), len(s.waiting), float64(len(s.busy)) / float64(s.Cores)}
	}
	return s.load
}

// Utilisation is the part of its core time that was spent on whole reqs since it was made.
func (s *Server) Utilisation() float64 {
	return float64(s.worked) / float64(int64(s.Cores)*max(1, s.clock.Now()-s.started))
}

// Expect is how long a req of so much work would take here by the server's true state; less than 0 where it would not be served.
func (s *Server) Expect(work int64) float64 {
	if !s.Up() || s.ails.hung || s.drains || s.ails.errors > 0.5 || s.ails.resets > 0.5 {
		return -1
	}
	ahead := float64(len(s.waiting)+len(s.busy)) / float64(s.Cores)
	return (1 + ahead) * float64(work) * max(1, s.ails.slow) / (s.Speed * s.Warmth())
}
