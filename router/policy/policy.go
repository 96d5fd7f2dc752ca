// Package policy chooses the host of each attempt from what this router has observed: rendezvous hashing by prompt
// key weighted with health, ejection after consecutive failures, and an even spread if no host is healthy. It does no
// I/O; the caller passes the time in, and random numbers come only from package draw.
package policy

import (
	"sync"
	"time"

	"ivybank/balance/outlier"
	"ivybank/internal/rng"
)

const (
	// A host is crowded if it has more attempts in flight than crowdedFactor times the mean of the healthy hosts plus
	// crowdedSlack.
	crowdedFactor = 2.0
	crowdedSlack  = 4.0
	firstBackoff  = 2 * time.Second // duration of a host's first ejection
	// silenceTimeout is how long a host with an outstanding attempt may send nothing before it gets no new attempts.
	silenceTimeout = 700 * time.Millisecond
)

// Host is the entry of one host in the host list.
type Host struct {
	ID       string
	Address  string
	Zone     string
	Slots    int
	Draining bool
}

// Outcome is how an attempt ended, as far as it says something about the host.
type Outcome int

// The possible outcomes of an attempt.
const (
	Served    Outcome = iota // a complete response
	Failed                   // no connection, a reset, an incomplete or invalid response, an error status, a timeout
	Refused                  // the host reported that it did not run the request: it is full
	Withdrawn                // ended by this router; says nothing about the host
	Misplaced                // another host has this address now
)

type hostState struct {
	Host
	outlier.Record
	hash         rng.IDHash // of the host's ID
	inflight     int
	outstanding  map[uint64]*Attempt // outstanding attempts by ID
	lastActivity time.Duration       // time at which bytes last arrived from the host
	intervals    intervalSum
	slowness     float64 // how many times slower than usual, valid until slowUntil
	slowUntil    time.Duration
	removed      bool // removed from the host list
	healthy      bool // scratch value within one call of pick
}

// Request holds the properties of a request that the choice of a host depends on.
type Request struct {
	Key    string   // prompt key; empty if there is none
	Tokens float64  // of the prompt
	Shared float64  // tokens in parts of the prompt that other requests share
	Tried  []string // IDs of hosts that are excluded because the request was already sent there
}

// Attempt is one request that is outstanding at a host.
type Attempt struct {
	Host    Host
	id      uint64
	state   *hostState
	tokens  float64
	sentAt  time.Duration
	sampler intervalSampler
}

// Service chooses among the hosts of one service. It is safe for concurrent use.
type Service struct {
	mu      sync.Mutex
	dice    rng.Source
	hosts   map[string]*hostState
	listed  []*hostState // the hosts that are not removed, in no particular order
	lastID  uint64
	latency latency
	onEject func(id string, health float64, until time.Duration)
}

// NewService returns a service without hosts. onEject is called with each ejection: the host's ID and health, and the
// end of the ejection.
func NewService(seed uint64, onEject func(id string, health float64, until time.Duration)) *Service {
	return &Service{dice: rng.Source{Seed: seed}, hosts: map[string]*hostState{}, onEject: onEject}
}

// SetHosts replaces the list of hosts. A host that was once draining stays so, because its ID is never reused.
func (s *Service) SetHosts(listed []Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean := s.meanHealth()
	for _, h := range s.hosts {
		h.removed = true
	}
	for _, host := range listed {
		h := s.hosts[host.ID]
		if h == nil {
			h = &hostState{hash: rng.HashID(host.ID), Record: outlier.Record{Health: mean}, outstanding: map[uint64]*Attempt{}}
			s.hosts[host.ID] = h
		}
		host.Draining = host.Draining || h.Draining
		h.Host, h.removed = host, false
	}
	for id, h := range s.hosts {
		if h.removed && h.inflight == 0 {
			delete(s.hosts, id)
		}
	}
	s.rebuildListed()
}

// rebuildListed rebuilds the slice of hosts that are not removed.
func (s *Service) rebuildListed() {
	s.listed = s.listed[:0]
	for _, h := range s.hosts {
		if !h.removed {
			s.listed = append(s.listed, h)
		}
	}
}

func (s *Service) meanHealth() float64 {
	if len(s.listed) == 0 {
		return 1
	}
	sum := 0.0
	for _, h := range s.listed {
		sum += h.Health
	}
	return sum / float64(len(s.listed))
}

// Begin chooses a host and counts the attempt as in flight. It reports false if no host may be used.
func (s *Service) Begin(q Request, now time.Duration) (*Attempt, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.pick(&q, now)
	if h == nil {
		return nil, false
	}
	s.lastID++
	h.inflight++
	a := &Attempt{Host: h.Host, id: s.lastID, state: h, tokens: q.Tokens, sentAt: now}
	h.outstanding[a.id] = a
	return a, true
}

// isSilent reports whether an attempt has been outstanding for silenceTimeout and the host has sent nothing for that
// time.
func (h *hostState) isSilent(now time.Duration) bool {
	for _, a := range h.outstanding {
		if now > max(a.sentAt, h.lastActivity)+silenceTimeout {
			return true
		}
	}
	return false
}

// RecordActivity records that bytes have arrived from the host of an attempt.
func (s *Service) RecordActivity(a *Attempt, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.state.lastActivity = now
}

// ActiveWithin reports whether anything has arrived from the host of an attempt within a span before now.
func (s *Service) ActiveWithin(a *Attempt, span, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return a.state.lastActivity > 0 && now <= a.state.lastActivity+span
}

// LastActivity returns when something last arrived from the host of an attempt, or when the attempt was sent if that
// is later.
func (s *Service) LastActivity(a *Attempt) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(a.state.lastActivity, a.sentAt)
}

// End records the outcome of an attempt. It reports false if the attempt has already ended.
func (s *Service) End(a *Attempt, o Outcome, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := a.state
	if h.outstanding[a.id] == nil {
		return false
	}
	delete(h.outstanding, a.id)
	h.inflight--
	switch o {
	case Served:
		h.lastActivity = now
		h.Success()
	case Failed:
		if h.Failure(firstBackoff, s.dice.Next(), now) && s.onEject != nil {
			s.onEject(h.ID, h.Health, h.EjectedUntil)
		}
	case Refused:
		h.lastActivity = now
	case Misplaced:
		h.removed = true
		s.rebuildListed()
	}
	if h.removed && h.inflight == 0 && s.hosts[h.ID] == h && o != Misplaced {
		delete(s.hosts, h.ID)
	}
	return true
}
