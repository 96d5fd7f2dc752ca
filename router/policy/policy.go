// Package policy chooses the host of each attempt from what this router has seen itself: health-weighted rendezvous
// by prompt key, ejection after consecutive failures, an even spread when no host is healthy. It does no I/O; time is
// handed in, and chance comes from draw alone.
package policy

import (
	"sync"
	"time"

	"ivybank/balance/outlier"
	"ivybank/internal/draw"
)

const (
	skipOver     = 2.0 // a host is skipped past this multiple of this router's mean in flight,
	skipSlack    = 4.0 // and this many attempts more
	firstBackoff = 2 * time.Second
	silentAfter  = 700 * time.Millisecond // without a byte, with an attempt out: nothing new is sent there
)

// Host is what the list says of one host.
type Host struct {
	ID       string
	Address  string
	Zone     string
	Slots    int
	Draining bool
}

// Outcome is how an attempt ended, as far as it speaks of the host.
type Outcome int

// The outcomes.
const (
	Served    Outcome = iota // a whole answer
	Failed                   // no connection, a reset, a broken or spoilt answer, an error, a time-out
	Refused                  // the host said that it did not run the request: it is full
	Withdrawn                // ended from this side; says nothing
	Misplaced                // another host answers at this address
)

type state struct {
	Host
	outlier.Record
	hash     draw.IDHash // of its id
	inflight int
	out      map[uint64]*Attempt // attempts
	heard    time.Duration       // last byte from it
	pace     paceSum
	slowness float64 // how many times as slow as usual it is, until slowTill
	slowTill time.Duration
	gone     bool
	healthy  bool // scratch of one choice
}

// Request is what the choice of a host needs to know of a request.
type Request struct {
	Key    string   // of its prompt; empty where it has none
	Tokens float64  // of its prompt
	Shared float64  // of these, tokens of parts that other requests share
	Tried  []string // ids of hosts that it was sent to before
}

// Attempt is one request that is out at a host.
type Attempt struct {
	Host   Host
	id     uint64
	state  *state
	tokens float64
	sent   time.Duration
	stride stride
}

// Service chooses among the hosts of one service. It is safe for concurrent use.
type Service struct {
	mu      sync.Mutex
	dice    draw.Dice
	hosts   map[string]*state
	listed  []*state // those of hosts that are not gone, in no order
	next    uint64
	latency latency
	onEjec  func(id string, health float64, until time.Duration)
}

// NewService makes a service without hosts. ejected is told of each ejection.
func NewService(seed uint64, ejected func(id string, health float64, until time.Duration)) *Service {
	return &Service{dice: draw.Dice{Seed: seed}, hosts: map[string]*state{}, onEjec: ejected}
}

// SetHosts takes the listed hosts. A host once known to drain stays so: its id is never used again.
func (s *Service) SetHosts(listed []Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean := s.meanHealth()
	for _, h := range s.hosts {
		h.gone = true
	}
	for _, l := range listed {
		h := s.hosts[l.ID]
		if h == nil {
			h = &state{hash: draw.HashID(l.ID), Record: outlier.Record{Health: mean}, out: map[uint64]*Attempt{}}
			s.hosts[l.ID] = h
		}
		l.Draining = l.Draining || h.Draining
		h.Host, h.gone = l, false
	}
	for id, h := range s.hosts {
		if h.gone && h.inflight == 0 {
			delete(s.hosts, id)
		}
	}
	s.relist()
}

// relist makes the list of hosts that are not gone anew.
func (s *Service) relist() {
	s.listed = s.listed[:0]
	for _, h := range s.hosts {
		if !h.gone {
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

// Begin chooses a host and counts the attempt in flight. It reports false where no host may be sent to.
func (s *Service) Begin(q Request, now time.Duration) (*Attempt, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.pick(&q, now)
	if h == nil {
		return nil, false
	}
	s.next++
	h.inflight++
	a := &Attempt{Host: h.Host, id: s.next, state: h, tokens: q.Tokens, sent: now}
	h.out[a.id] = a
	return a, true
}

// silent says whether attempts wait at the host and it has answered nothing since the oldest was sent.
func (h *state) silent(now time.Duration) bool {
	for _, a := range h.out {
		if now > max(a.sent, h.heard)+silentAfter {
			return true
		}
	}
	return false
}

// Heard tells that bytes have come from an attempt's host.
func (s *Service) Heard(a *Attempt, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.state.heard = now
}

// HeardWithin says whether anything has come from an attempt's host within a span before now.
func (s *Service) HeardWithin(a *Attempt, span, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return a.state.heard > 0 && now <= a.state.heard+span
}

// SilentSince gives since when nothing has come from an attempt's host.
func (s *Service) SilentSince(a *Attempt) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(a.state.heard, a.sent)
}

// End takes the outcome of an attempt. It reports false for one that has ended before.
func (s *Service) End(a *Attempt, o Outcome, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := a.state
	if h.out[a.id] == nil {
		return false
	}
	delete(h.out, a.id)
	h.inflight--
	switch o {
	case Served:
		h.heard = now
		h.Success()
	case Failed:
		if h.Failure(firstBackoff, s.dice.Next(), now) && s.onEjec != nil {
			s.onEjec(h.ID, h.Health, h.Until)
		}
	case Refused:
		h.heard = now
	case Misplaced:
		h.gone = true
		s.relist()
	}
	if h.gone && h.inflight == 0 && s.hosts[h.ID] == h && o != Misplaced {
		delete(s.hosts, h.ID)
	}
	return true
}
