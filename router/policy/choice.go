package policy

import (
	"math"
	"slices"
	"time"

	"ivybank/internal/draw"
)

// keyHash gives the number that stands for a prompt key in the choice; a random one where there is no key.
func (s *Service) keyHash(key string) draw.KeyHash {
	if key == "" {
		return draw.RandomKey(&s.dice)
	}
	return draw.HashKey(key)
}

// pick is the choice of the design: weighted rendezvous among the healthy hosts that are not crowded; among all healthy
// ones where all are crowded; and an even spread over the ready hosts where none is healthy. Hosts that the request avoids
// as they are slow count as crowded. It goes over the hosts twice and allocates nothing, as a fleet may have a thousand of
// them and a router a fifth of a core.
func (s *Service) pick(q *Request, now time.Duration) *state {
	key := s.keyHash(q.Key)
	inflight, healthy, slow := 0, 0, 0
	for _, h := range s.listed {
		if h.Draining {
			continue
		}
		inflight += h.inflight
		if h.healthy = h.isHealthy(now) && !slices.Contains(q.Tried, h.ID); h.healthy {
			healthy++
			if h.slownessAt(now) > 1 {
				slow++
			}
		}
	}
	if healthy == 0 {
		return s.spreadEvenly(key, q.Tried)
	}
	crowded := skipOver*float64(inflight)/float64(healthy) + skipSlack
	someSlow := slow > 0 && float64(slow) <= mostSlow*float64(healthy)
	var best, bestOfAll contest
	for _, h := range s.listed {
		if h.Draining || !h.healthy {
			continue
		}
		number := key.With(h.hash)
		bestOfAll.enter(h, h.Health, number)
		if float64(h.inflight) <= crowded && !(someSlow && q.avoids(h.slownessAt(now))) {
			best.enter(h, h.Health, number)
		}
	}
	if best.winner != nil {
		return best.winner
	}
	return bestOfAll.winner
}

// spreadEvenly chooses among all ready hosts, whatever their health.
func (s *Service) spreadEvenly(key draw.KeyHash, tried []string) *state {
	var best contest
	for _, h := range s.listed {
		if !h.Draining && !slices.Contains(tried, h.ID) {
			best.enter(h, 1, key.With(h.hash))
		}
	}
	return best.winner
}

// contest keeps the host with the highest score of weighted rendezvous hashing.
type contest struct {
	winner *state
	score  float64
}

// enter has a host take part with its weight and the number that belongs to it and the key. As -1/ln(x) <= 1/(1-x), most
// hosts are known to lose without their logarithm.
func (c *contest) enter(h *state, weight, number float64) {
	if c.winner != nil && weight <= c.score*(1-number) {
		return
	}
	if score := -weight / math.Log(number); c.winner == nil || score > c.score {
		c.winner, c.score = h, score
	}
}

// isHealthy says whether a host may get requests: it is not ejected, on no other trial after an ejection, and not silent.
func (h *state) isHealthy(now time.Duration) bool {
	return !h.Out(now) && !(h.Trial(now) && h.inflight > 0) && !h.silent(now)
}
