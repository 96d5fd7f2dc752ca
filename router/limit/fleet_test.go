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

const oneWay = 2 * time.Millisecond // between a router and an owner

// limitBounds are those of a deployment at size.
var limitBounds = settings.Bounds{QuotaWindowS: 8, QuotaOverage: 0.1, QuotaSlack: 110_000}

// limitUse is what a tenant's requests let in at one moment count.
type limitUse struct {
	at     time.Duration
	tokens float64
}

// limitFleet is routers' limiters and the owners of one tenant's limit on a virtual clock.
type limitFleet struct {
	mu      sync.Mutex     // guards the next three, as messages come on timers
	tenant  *config.Tenant // by the configuration in force
	owner   *quota.Owner   // nil while there is none
	cutOff  map[int]bool   // routers that don't reach the owner
	limit   quota.Limit
	routers []*Limiter
	began   time.Time
	random  *rand.Rand
	uses    []limitUse
	refused int

	runs int                  // of each request
	hold func() time.Duration // from a request's charge to its use
}

func newLimitFleet(seed uint64, routers int, tenant *config.Tenant) *limitFleet {
	f := &limitFleet{tenant: tenant, cutOff: map[int]bool{}, began: time.Now(), random: rand.New(rand.NewPCG(seed, 44)), runs: 1}
	f.hold = func() time.Duration { return 0 }
	f.limit = quota.LimitOf(tenant, &limitBounds)
	f.owner = quota.NewOwner(0)
	for i := range routers {
		f.routers = append(f.routers, nil)
		f.restart(i)
	}
	return f
}

func (f *limitFleet) now() time.Duration { return time.Since(f.began) }

// loseOwner leaves the limit without one.
func (f *limitFleet) loseOwner() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.owner = nil
}

// cut has some routers not reach the owner.
func (f *limitFleet) cut(is func(i int) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.routers {
		f.cutOff[i] = f.cutOff[i] || is(i)
	}
}

// heal has all routers reach the owner.
func (f *limitFleet) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.cutOff)
}

// change puts another limit in force.
func (f *limitFleet) change(t *config.Tenant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tenant, f.limit = t, quota.LimitOf(t, &limitBounds)
}

// takeOver has another owner follow the present one. For as long as delays of grants last there is none.
func (f *limitFleet) takeOver(start bool) {
	f.loseOwner()
	time.AfterFunc(quota.MaxDelay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.owner = quota.NewOwner(f.now())
		if start {
			f.owner.AddStart(f.now())
		}
	})
}

// restart begins a new life of a router.
func (f *limitFleet) restart(i int) {
	l := New(fmt.Sprint("front-", i))
	l.Connect(func(m *wire.Message) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.cutOff[i] {
			return true // silently, as a cut does
		}
		time.AfterFunc(oneWay, func() { f.answer(l, m.QuotaRequest) })
		return true
	})
	f.routers[i] = l
}

// answer is what the owner's process does with a request.
func (f *limitFleet) answer(l *Limiter, q *wire.QuotaRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.owner == nil {
		return
	}
	grant := f.owner.Take(q.Tenant, quota.LimitOf(f.tenant, &limitBounds), quota.Request{Need: q.Need, Want: q.Want}, f.now())
	answer := &wire.QuotaGrant{Router: q.Router, Number: q.Number, Life: q.Life, Granted: grant.Amount, Spare: grant.Spare,
		ValidMS: grant.Valid.Milliseconds(), DelayMS: wire.CeilMS(grant.Delay), RetryAfterMS: grant.Empty.Milliseconds()}
	time.AfterFunc(oneWay, func() { l.Granted(answer) })
}

// send offers requests of the tenant at a rate in tokens a second, spread over all routers, for some time.
func (f *limitFleet) send(t *testing.T, rate float64, lasts time.Duration) {
	done := make(chan limitUse, 16<<10)
	out := 0
	collect := func() {
		use := <-done
		out--
		if use.tokens > 0 {
			f.uses = append(f.uses, use)
		} else {
			f.refused++
		}
	}
	for end := f.now() + lasts; f.now() < end; {
		tokens := 1_000.0
		if f.random.IntN(2) == 0 {
			tokens = 9_200
		}
		router, hold, runs, tenant := f.routers[f.random.IntN(len(f.routers))], f.hold(), f.runs, f.tenant
		out++
		go func() {
			c, _ := router.Take(t.Context(), tenant, tokens)
			time.Sleep(hold)
			use := limitUse{}
			for range runs {
				if c == nil || !c.Use(t.Context()) {
					break
				}
				use = limitUse{f.now(), use.tokens + tokens}
			}
			done <- use
		}()
		time.Sleep(time.Duration(tokens / rate * float64(time.Second)))
		for len(done) > 0 {
			collect()
		}
	}
	for out > 0 {
		collect()
	}
}

// most gives the largest use within any window of the rules.
func (f *limitFleet) most() float64 {
	window := time.Duration(limitBounds.QuotaWindowS * float64(time.Second))
	slices.SortFunc(f.uses, func(a, b limitUse) int { return cmp.Compare(a.at, b.at) })
	most, sum, first := 0.0, 0.0, 0
	for _, use := range f.uses {
		sum += use.tokens
		for f.uses[first].at <= use.at-window {
			sum -= f.uses[first].tokens
			first++
		}
		most = max(most, sum)
	}
	return most
}

// check holds the rule in every window, and that enough was used for that to show something.
func (f *limitFleet) check(t *testing.T, least float64) {
	t.Helper()
	most, allowed := f.most(), f.limit.Allowance
	assert.Assert(t, most <= allowed, "%.0f of %.0f", most, allowed)
	assert.Assert(t, most >= least, "%.0f of %.0f, which does not come to the bound of %.0f", most, allowed, least)
}

const (
	largeRate = 520_000.0   // of a tenant's limit, tokens a second
	flood     = 2_400_000.0 // that the tenant sends
)

// atSizes plays at three numbers of routers, for a tenant with a large limit and one with a small one.
func atSizes(t *testing.T, play func(t *testing.T, f *limitFleet)) {
	for _, routers := range []int{3, 73, 390} {
		for _, rate := range []float64{29_000, largeRate} {
			t.Run(fmt.Sprintf("%d routers, rate %.0f", routers, rate), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					play(t, newLimitFleet(1, routers, &config.Tenant{Name: "t", Unit: config.TokenUnit, RatePerS: rate, Burst: rate}))
				})
			})
		}
	}
}

// fill lets time pass in which all is saved up.
func fill() { time.Sleep(20 * time.Second) }

// TestLimitHoldsWhileRoutersAreCutOff has four in ten routers cut off from the owner of a limit, as a tenant begins to send
// several times what it may.
func TestLimitHoldsWhileRoutersAreCutOff(t *testing.T) {
	atSizes(t, func(t *testing.T, f *limitFleet) {
		f.send(t, 0.77*f.limit.Rate, 12*time.Second)
		f.cut(func(i int) bool { return i < len(f.routers)*4/10 })
		f.send(t, 0.77*f.limit.Rate, 4*time.Second)
		f.send(t, flood, 8*time.Second)
		f.heal()
		f.send(t, flood, 4*time.Second)
		f.check(t, 0.9*8*f.limit.Rate)
	})
}

// TestOwnerAloneKeepsTheLimit is the term C + R W: a full bucket and what comes in.
func TestOwnerAloneKeepsTheLimit(t *testing.T) {
	atSizes(t, func(t *testing.T, f *limitFleet) {
		fill()
		f.send(t, flood, 12*time.Second)
		f.check(t, 0.9*(f.limit.Capacity+8*f.limit.Rate))
	})
}

// TestLateUseKeepsTheLimit is the term R V: charges are used as late as they may be, and then at once.
func TestLateUseKeepsTheLimit(t *testing.T) {
	atSizes(t, func(t *testing.T, f *limitFleet) {
		fill()
		late := f.limit.Validity - 2*oneWay - quota.MaxDelay - time.Millisecond
		f.hold = func() time.Duration { return late }
		f.send(t, flood, 4*time.Second)
		f.hold = func() time.Duration { return 0 }
		f.send(t, flood, 10*time.Second)
		f.check(t, 0.9*(f.limit.Capacity+8*f.limit.Rate))
	})
}

// TestOwnersInARowKeepTheLimit loses the owner again and again, and a full bucket with the first of them. One start amount
// may come within a window.
func TestOwnersInARowKeepTheLimit(t *testing.T) {
	for _, pace := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 3 * time.Second} {
		t.Run(pace.String(), func(t *testing.T) {
			atSizes(t, func(t *testing.T, f *limitFleet) {
				fill()
				f.send(t, flood, time.Second)
				f.takeOver(true)
				for range 6 {
					f.send(t, flood, pace)
					f.takeOver(false)
				}
				f.send(t, flood, 8*time.Second)
				f.check(t, f.limit.Capacity+f.limit.Rate)
			})
		})
	}
}

// TestSpareAmountsKeepTheLimit is the terms P + Q H: all routers have earned what they may, and no owner answers any more, as
// the bucket was full; then there is one again.
func TestSpareAmountsKeepTheLimit(t *testing.T) {
	atSizes(t, func(t *testing.T, f *limitFleet) {
		f.send(t, 0.9*f.limit.Rate, 40*time.Second)
		f.send(t, flood, time.Second)
		f.loseOwner()
		before := len(f.uses)
		f.send(t, flood, 3*time.Second)
		if len(f.routers) == 3 { // at many routers hardly one has earned a whole request
			assert.Assert(t, len(f.uses) >= before+5, "%d requests without an owner", len(f.uses)-before)
		}
		f.takeOver(true)
		f.send(t, flood, 8*time.Second)
		f.check(t, 8*f.limit.Rate)
	})
}

// TestRoutersThatRestartBringNothing has all routers begin new lives, again and again.
func TestRoutersThatRestartBringNothing(t *testing.T) {
	atSizes(t, func(t *testing.T, f *limitFleet) {
		fill()
		for range 20 {
			f.send(t, flood, 500*time.Millisecond)
			for i := range f.routers {
				f.restart(i)
			}
		}
		f.check(t, 0.9*(f.limit.Capacity+8*f.limit.Rate))
	})
}

// TestRunsOfOneRequestAreAllCharged has each request run three times.
func TestRunsOfOneRequestAreAllCharged(t *testing.T) {
	atSizes(t, func(t *testing.T, f *limitFleet) {
		fill()
		f.runs = 3
		f.send(t, flood, 10*time.Second)
		f.check(t, 0.9*(f.limit.Capacity+8*f.limit.Rate))
	})
}

// TestAllTermsTogetherKeepTheLimit plays all of it at once, drawn from seeds.
func TestAllTermsTogetherKeepTheLimit(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			atSizes(t, func(t *testing.T, f *limitFleet) {
				f.random = rand.New(rand.NewPCG(seed, 45))
				late := f.limit.Validity - 2*oneWay - quota.MaxDelay - time.Millisecond
				f.hold = func() time.Duration { return time.Duration(f.random.Int64N(int64(late))) }
				f.send(t, 0.9*f.limit.Rate, 30*time.Second)
				fill()
				started := time.Duration(0)
				for range 60 {
					switch i := f.random.IntN(len(f.routers)); f.random.IntN(6) {
					case 0:
						f.restart(i)
					case 1:
						f.cut(func(k int) bool { return k == i })
					case 2:
						f.heal()
					case 3:
						start := f.now() > started+12*time.Second // as owners that follow one long in office
						if start {
							started = f.now()
						}
						f.takeOver(start)
					case 4:
						f.runs = 1 + f.random.IntN(2)
					case 5:
						f.heal()
						f.cut(func(int) bool { return f.random.IntN(2) == 0 })
					}
					f.send(t, flood, time.Duration(f.random.IntN(600))*time.Millisecond)
				}
				f.check(t, f.limit.Capacity+f.limit.Rate)
			})
		})
	}
}

// TestLimitIsUsableInCalm is the other side: with demand above the limit that moves between routers, nearly all of it is
// used; a tenant below it is not refused.
func TestLimitIsUsableInCalm(t *testing.T) {
	atSizes(t, func(t *testing.T, f *limitFleet) {
		all := f.routers
		f.send(t, 1.2*f.limit.Rate, 4*time.Second) // what was saved up goes
		f.uses = nil
		began := f.now()
		for i := range 10 {
			third := max(1, len(all)/3)
			f.routers = all[i%3*third : (i%3+1)*third]
			f.send(t, 1.2*f.limit.Rate, 2*time.Second)
		}
		used := 0.0
		for _, use := range f.uses {
			used += use.tokens
		}
		part := used / (f.limit.Rate * (f.now() - began).Seconds())
		assert.Assert(t, part >= 0.95 && part <= 1.01, "%.3f of the limit was used", part)

		f.refused = 0
		f.send(t, 0.9*f.limit.Rate, 5*time.Second) // until the bucket has recovered
		f.refused = 0
		f.send(t, 0.9*f.limit.Rate, 20*time.Second)
		assert.Equal(t, f.refused, 0, "below the limit")
	})
}

// TestLowerLimitBindsForAllRouters lowers a limit while routers still hold what they drew under the higher one.
func TestLowerLimitBindsForAllRouters(t *testing.T) {
	atSizes(t, func(t *testing.T, f *limitFleet) {
		f.send(t, 0.9*f.limit.Rate, 40*time.Second)
		f.send(t, flood, 2*time.Second)
		low := *f.tenant
		low.RatePerS, low.Burst = low.RatePerS/10, low.Burst/20
		f.cut(func(i int) bool { return i < len(f.routers)/2 })
		f.change(&low)
		f.send(t, flood, 8*time.Second) // by the rule it binds after one window
		f.uses = nil
		f.heal()
		f.send(t, flood, 2*time.Second)
		f.loseOwner() // what was earned under the higher limit must not come to use
		f.send(t, flood, 2*time.Second)
		f.takeOver(true)
		f.send(t, flood, 10*time.Second)
		f.check(t, 0.7*8*f.limit.Rate)
	})
}
