package policy

import (
	"math"
	"slices"
	"time"

	"ivybank/internal/rng"
)

// keyHash returns the hash of a prompt key for the choice of a host, a random one if there is no key.
func (s *Service) keyHash(key string) rng.KeyHash {
	if key == "" {
		return rng.RandomKey(&s.dice)
	}
	return rng.HashKey(key)
}

// pick chooses a host by weighted rendezvous hashing among the healthy hosts that are not crowded, among all healthy
// hosts if all are crowded, and evenly among all ready hosts if none is healthy. A slow host that the request avoids
// counts as crowded. pick iterates over the hosts twice and allocates nothing, because a fleet may have a thousand
// hosts and a router has a fifth of a core.
func (s *Service) pick(q *Request, now time.Duration) *hostState {
	key := s.keyHash(q.Key)
	totalInflight, healthyHosts, slowHosts := 0, 0, 0
	for _, h := range s.listed {
		if h.Draining {
			continue
		}
		totalInflight += h.inflight
		if h.healthy = h.isHealthy(now) && !slices.Contains(q.Tried, h.ID); h.healthy {
			healthyHosts++
			if h.slownessAt(now) > 1 {
				slowHosts++
			}
		}
	}
	if healthyHosts == 0 {
		return s.pickEvenly(key, q.Tried)
	}
	maxInflight := crowdedFactor*float64(totalInflight)/float64(healthyHosts) + crowdedSlack
	avoidSlow := slowHosts > 0 && float64(slowHosts) <= maxSlowShare*float64(healthyHosts)
	var best, bestHealthy rendezvous
	for _, h := range s.listed {
		if h.Draining || !h.healthy {
			continue
		}
		hash := key.With(h.hash)
		bestHealthy.add(h, h.Health, hash)
		if float64(h.inflight) <= maxInflight && !(avoidSlow && q.avoids(h.slownessAt(now))) {
			best.add(h, h.Health, hash)
		}
	}
	if best.winner != nil {
		return best.winner
	}
	return bestHealthy.winner
}

// pickEvenly chooses among all ready hosts, whatever their health.
func (s *Service) pickEvenly(key rng.KeyHash, tried []string) *hostState {
	var best rendezvous
	for _, h := range s.listed {
		if !h.Draining && !slices.Contains(tried, h.ID) {
			best.add(h, 1, key.With(h.hash))
		}
	}
	return best.winner
}

// rendezvous keeps the host with the highest score of weighted rendezvous hashing.
type rendezvous struct {
	winner *hostState
	score  float64
}

// add scores a host by its weight and the hash of the key and the host. Since -1/ln(x) <= 1/(1-x), most hosts can be
// ruled out without computing the logarithm.
func (r *rendezvous) add(h *hostState, weight, hash float64) {
	if r.winner != nil && weight <= r.score*(1-hash) {
		return
	}
	if score := -weight / math.Log(hash); r.winner == nil || score > r.score {
		r.winner, r.score = h, score
	}
}

// isHealthy reports whether a host may get requests: it is not ejected, has no other trial request after an ejection,
// and is not silent.
func (h *hostState) isHealthy(now time.Duration) bool {
	return !h.IsEjected(now) && !(h.IsProbing(now) && h.inflight > 0) && !h.isSilent(now)
}
