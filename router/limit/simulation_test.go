package limit

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/config"
	"ivybank/control/quota"
	"ivybank/settings"
	"ivybank/wire"
)

const oneWay = 2 * time.Millisecond // network delay between a router and an owner

// limitBounds are those of a full-size deployment.
var limitBounds = settings.Bounds{QuotaWindowS: 8, QuotaOverage: 0.1, QuotaSlack: 110_000}

// limitUse is the cost of the requests that were admitted at one moment.
type limitUse struct {
	at     time.Duration
	tokens float64
}

// limitSimulation runs the limiters of several routers and the owners of one tenant's limit on a virtual clock.
type limitSimulation struct {
	mu        sync.Mutex     // guards tenant, owner and cutOff, because messages are delivered by timers
	tenant    *config.Tenant // as in the active configuration
	owner     *quota.Owner   // nil while there is none
	cutOff    map[int]bool   // routers that cannot reach the owner
	limit     quota.Limit
	routers   []*Limiter
	startTime time.Time
	random    *rand.Rand
	uses      []limitUse
	rejected  int

	runs     int                  // runs of each request
	useDelay func() time.Duration // delay from the charge of a request to its use
}

func newLimitSimulation(seed uint64, routers int, tenant *config.Tenant) *limitSimulation {
	sim := &limitSimulation{tenant: tenant, cutOff: map[int]bool{}, startTime: time.Now(), random: rand.New(rand.NewPCG(seed, 44)), runs: 1}
	sim.useDelay = func() time.Duration { return 0 }
	sim.limit = quota.LimitOf(tenant, &limitBounds)
	sim.owner = quota.NewOwner(0)
	for i := range routers {
		sim.routers = append(sim.routers, nil)
		sim.restart(i)
	}
	return sim
}

func (sim *limitSimulation) now() time.Duration { return time.Since(sim.startTime) }

// loseOwner removes the owner.
func (sim *limitSimulation) loseOwner() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.owner = nil
}

// cut disconnects some routers from the owner.
func (sim *limitSimulation) cut(match func(i int) bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for i := range sim.routers {
		sim.cutOff[i] = sim.cutOff[i] || match(i)
	}
}

// heal connects all routers to the owner again.
func (sim *limitSimulation) heal() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	clear(sim.cutOff)
}

// change activates another limit.
func (sim *limitSimulation) change(t *config.Tenant) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.tenant, sim.limit = t, quota.LimitOf(t, &limitBounds)
}

// takeOver replaces the owner. There is none for quota.MaxDelay, the longest delay of a grant. start says whether the
// new owner gets the start amount.
func (sim *limitSimulation) takeOver(start bool) {
	sim.loseOwner()
	time.AfterFunc(quota.MaxDelay, func() {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		sim.owner = quota.NewOwner(sim.now())
		if start {
			sim.owner.AddStartAmount(sim.now())
		}
	})
}

// restart replaces a router by a new incarnation.
func (sim *limitSimulation) restart(i int) {
	l := New(fmt.Sprint("front-", i))
	l.Connect(func(m *wire.Message) bool {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if sim.cutOff[i] {
			return true // the message is lost silently, as on a network that is cut
		}
		time.AfterFunc(oneWay, func() { sim.reply(l, m.QuotaRequest) })
		return true
	})
	sim.routers[i] = l
}

// reply does what the owner's process does with a request.
func (sim *limitSimulation) reply(l *Limiter, q *wire.QuotaRequest) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.owner == nil {
		return
	}
	grant := sim.owner.Take(q.Tenant, quota.LimitOf(sim.tenant, &limitBounds), quota.Request{Need: q.Need, Want: q.Want}, sim.now())
	reply := &wire.QuotaGrant{Router: q.Router, Number: q.Number, Incarnation: q.Incarnation, Granted: grant.Amount, Spare: grant.Spare,
		ValidMS: grant.Valid.Milliseconds(), DelayMS: wire.CeilMS(grant.Delay), RetryAfterMS: grant.RetryAfter.Milliseconds()}
	time.AfterFunc(oneWay, func() { l.HandleGrant(reply) })
}

// send offers requests of the tenant at a rate in tokens per second, spread over all routers.
func (sim *limitSimulation) send(t *testing.T, rate float64, duration time.Duration) {
	done := make(chan limitUse, 16<<10)
	outstanding := 0
	collect := func() {
		use := <-done
		outstanding--
		if use.tokens > 0 {
			sim.uses = append(sim.uses, use)
		} else {
			sim.rejected++
		}
	}
	for end := sim.now() + duration; sim.now() < end; {
		tokens := 1_000.0
		if sim.random.IntN(2) == 0 {
			tokens = 9_200
		}
		router, useDelay, runs, tenant := sim.routers[sim.random.IntN(len(sim.routers))], sim.useDelay(), sim.runs, sim.tenant
		outstanding++
		go func() {
			c, _ := router.Take(t.Context(), tenant, tokens)
			time.Sleep(useDelay)
			use := limitUse{}
			for range runs {
				if c == nil || !c.Use(t.Context()) {
					break
				}
				use = limitUse{sim.now(), use.tokens + tokens}
			}
			done <- use
		}()
		time.Sleep(time.Duration(tokens / rate * float64(time.Second)))
		for len(done) > 0 {
			collect()
		}
	}
	for outstanding > 0 {
		collect()
	}
}

// maxUse returns the largest use within any window of the rule.
func (sim *limitSimulation) maxUse() float64 {
	window := time.Duration(limitBounds.QuotaWindowS * float64(time.Second))
	slices.SortFunc(sim.uses, func(a, b limitUse) int { return cmp.Compare(a.at, b.at) })
	maxUse, sum, first := 0.0, 0.0, 0
	for _, use := range sim.uses {
		sum += use.tokens
		for sim.uses[first].at <= use.at-window {
			sum -= sim.uses[first].tokens
			first++
		}
		maxUse = max(maxUse, sum)
	}
	return maxUse
}

// check asserts that every window keeps the rule, and that the largest use is at least least: with less the test
// would not come near the bound.
func (sim *limitSimulation) check(t *testing.T, least float64) {
	t.Helper()
	maxUse, allowed := sim.maxUse(), sim.limit.Allowance
	assert.Assert(t, maxUse <= allowed, "used %.0f of %.0f", maxUse, allowed)
	assert.Assert(t, maxUse >= least, "used %.0f of %.0f, less than the %.0f that the test needs", maxUse, allowed, least)
}

const (
	largeRate = 520_000.0   // a large limit, in tokens per second
	flood     = 2_400_000.0 // rate that the tenant sends in a flood, in tokens per second
)

// atSizes runs a test with three numbers of routers, each for a small and a large limit.
func atSizes(t *testing.T, run func(t *testing.T, sim *limitSimulation)) {
	for _, routers := range []int{3, 73, 390} {
		for _, rate := range []float64{29_000, largeRate} {
			t.Run(fmt.Sprintf("%d routers, rate %.0f", routers, rate), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					run(t, newLimitSimulation(1, routers, &config.Tenant{Name: "t", Unit: config.TokenUnit, RatePerS: rate, Burst: rate}))
				})
			})
		}
	}
}

// fill waits until the bucket is full.
func fill() { time.Sleep(20 * time.Second) }

// TestLimitHoldsWhileRoutersAreCutOff disconnects four in ten routers from the owner just before the tenant begins to
// send several times its limit.
func TestLimitHoldsWhileRoutersAreCutOff(t *testing.T) {
	atSizes(t, func(t *testing.T, sim *limitSimulation) {
		sim.send(t, 0.77*sim.limit.Rate, 12*time.Second)
		sim.cut(func(i int) bool { return i < len(sim.routers)*4/10 })
		sim.send(t, 0.77*sim.limit.Rate, 4*time.Second)
		sim.send(t, flood, 8*time.Second)
		sim.heal()
		sim.send(t, flood, 4*time.Second)
		sim.check(t, 0.9*8*sim.limit.Rate)
	})
}

// TestOwnerAloneKeepsTheLimit covers the terms C + R W of the bound in quota.Limit: a full bucket and its refill.
func TestOwnerAloneKeepsTheLimit(t *testing.T) {
	atSizes(t, func(t *testing.T, sim *limitSimulation) {
		fill()
		sim.send(t, flood, 12*time.Second)
		sim.check(t, 0.9*(sim.limit.Capacity+8*sim.limit.Rate))
	})
}

// TestLateUseKeepsTheLimit covers the term R V: charges are used as late as allowed, and later ones at once.
func TestLateUseKeepsTheLimit(t *testing.T) {
	atSizes(t, func(t *testing.T, sim *limitSimulation) {
		fill()
		late := sim.limit.Validity - 2*oneWay - quota.MaxDelay - time.Millisecond
		sim.useDelay = func() time.Duration { return late }
		sim.send(t, flood, 4*time.Second)
		sim.useDelay = func() time.Duration { return 0 }
		sim.send(t, flood, 10*time.Second)
		sim.check(t, 0.9*(sim.limit.Capacity+8*sim.limit.Rate))
	})
}

// TestOwnersInARowKeepTheLimit replaces the owner again and again, the first one while its bucket is full. At most
// one start amount may fall within a window.
func TestOwnersInARowKeepTheLimit(t *testing.T) {
	for _, interval := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 3 * time.Second} {
		t.Run(interval.String(), func(t *testing.T) {
			atSizes(t, func(t *testing.T, sim *limitSimulation) {
				fill()
				sim.send(t, flood, time.Second)
				sim.takeOver(true)
				for range 6 {
					sim.send(t, flood, interval)
					sim.takeOver(false)
				}
				sim.send(t, flood, 8*time.Second)
				sim.check(t, sim.limit.Capacity+sim.limit.Rate)
			})
		})
	}
}

// TestSpareAmountsKeepTheLimit covers the terms P + Q H: all routers hold as much spare quota as they can, the bucket
// is full when the owner is lost, and later there is an owner again.
func TestSpareAmountsKeepTheLimit(t *testing.T) {
	atSizes(t, func(t *testing.T, sim *limitSimulation) {
		sim.send(t, 0.9*sim.limit.Rate, 40*time.Second)
		sim.send(t, flood, time.Second)
		sim.loseOwner()
		before := len(sim.uses)
		sim.send(t, flood, 3*time.Second)
		if len(sim.routers) == 3 { // with many routers hardly any of them has spare quota for a whole request
			assert.Assert(t, len(sim.uses) >= before+5, "%d requests admitted without an owner", len(sim.uses)-before)
		}
		sim.takeOver(true)
		sim.send(t, flood, 8*time.Second)
		sim.check(t, 8*sim.limit.Rate)
	})
}

// TestRouterRestartsAddNoQuota restarts all routers again and again.
func TestRouterRestartsAddNoQuota(t *testing.T) {
	atSizes(t, func(t *testing.T, sim *limitSimulation) {
		fill()
		for range 20 {
			sim.send(t, flood, 500*time.Millisecond)
			for i := range sim.routers {
				sim.restart(i)
			}
		}
		sim.check(t, 0.9*(sim.limit.Capacity+8*sim.limit.Rate))
	})
}

// TestRunsOfOneRequestAreAllCharged has each request run three times.
func TestRunsOfOneRequestAreAllCharged(t *testing.T) {
	atSizes(t, func(t *testing.T, sim *limitSimulation) {
		fill()
		sim.runs = 3
		sim.send(t, flood, 10*time.Second)
		sim.check(t, 0.9*(sim.limit.Capacity+8*sim.limit.Rate))
	})
}

// TestAllTermsTogetherKeepTheLimit combines all of these at random, for several seeds.
func TestAllTermsTogetherKeepTheLimit(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			atSizes(t, func(t *testing.T, sim *limitSimulation) {
				sim.random = rand.New(rand.NewPCG(seed, 45))
				late := sim.limit.Validity - 2*oneWay - quota.MaxDelay - time.Millisecond
				sim.useDelay = func() time.Duration { return time.Duration(sim.random.Int64N(int64(late))) }
				sim.send(t, 0.9*sim.limit.Rate, 30*time.Second)
				fill()
				started := time.Duration(0)
				for range 60 {
					switch i := sim.random.IntN(len(sim.routers)); sim.random.IntN(6) {
					case 0:
						sim.restart(i)
					case 1:
						sim.cut(func(k int) bool { return k == i })
					case 2:
						sim.heal()
					case 3:
						start := sim.now() > started+12*time.Second // as for an owner that follows one of long tenure
						if start {
							started = sim.now()
						}
						sim.takeOver(start)
					case 4:
						sim.runs = 1 + sim.random.IntN(2)
					case 5:
						sim.heal()
						sim.cut(func(int) bool { return sim.random.IntN(2) == 0 })
					}
					sim.send(t, flood, time.Duration(sim.random.IntN(600))*time.Millisecond)
				}
				sim.check(t, sim.limit.Capacity+sim.limit.Rate)
			})
		})
	}
}

// TestLimitIsFullyUsable checks that limits are not too strict: nearly all of a limit is used by a demand above it
// that moves between routers, and a tenant below its limit is not rejected.
func TestLimitIsFullyUsable(t *testing.T) {
	atSizes(t, func(t *testing.T, sim *limitSimulation) {
		allRouters := sim.routers
		sim.send(t, 1.2*sim.limit.Rate, 4*time.Second) // uses up the full bucket
		sim.uses = nil
		startTime := sim.now()
		for i := range 10 {
			third := max(1, len(allRouters)/3)
			sim.routers = allRouters[i%3*third : (i%3+1)*third]
			sim.send(t, 1.2*sim.limit.Rate, 2*time.Second)
		}
		used := 0.0
		for _, use := range sim.uses {
			used += use.tokens
		}
		share := used / (sim.limit.Rate * (sim.now() - startTime).Seconds())
		assert.Assert(t, share >= 0.95 && share <= 1.01, "%.3f of the limit was used", share)

		sim.rejected = 0
		sim.send(t, 0.9*sim.limit.Rate, 5*time.Second) // until the bucket has refilled
		sim.rejected = 0
		sim.send(t, 0.9*sim.limit.Rate, 20*time.Second)
		assert.Equal(t, sim.rejected, 0, "demand is below the limit")
	})
}

// TestLowerLimitBindsForAllRouters lowers a limit while routers still hold quota granted under the higher one.
func TestLowerLimitBindsForAllRouters(t *testing.T) {
	atSizes(t, func(t *testing.T, sim *limitSimulation) {
		sim.send(t, 0.9*sim.limit.Rate, 40*time.Second)
		sim.send(t, flood, 2*time.Second)
		low := *sim.tenant
		low.RatePerS, low.Burst = low.RatePerS/10, low.Burst/20
		sim.cut(func(i int) bool { return i < len(sim.routers)/2 })
		sim.change(&low)
		sim.send(t, flood, 8*time.Second) // the rule holds for the lower limit after one window
		sim.uses = nil
		sim.heal()
		sim.send(t, flood, 2*time.Second)
		sim.loseOwner() // spare quota from the higher limit must not be used
		sim.send(t, flood, 2*time.Second)
		sim.takeOver(true)
		sim.send(t, flood, 10*time.Second)
		sim.check(t, 0.7*8*sim.limit.Rate)
	})
}
