package limit

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/config"
	"ivybank/wire"
)

// scriptedOwner answers questions as a test says.
type scriptedOwner struct {
	limiter   *Limiter
	questions []*wire.QuotaRequest
	answer    func(q *wire.QuotaRequest) *wire.QuotaGrant // nil for silence
}

func newScriptedOwner() *scriptedOwner {
	o := &scriptedOwner{limiter: New("n")}
	o.limiter.Connect(func(m *wire.Message) bool {
		o.questions = append(o.questions, m.QuotaRequest)
		if grant := o.answer(m.QuotaRequest); grant != nil {
			o.limiter.Granted(grant)
		}
		return true
	})
	return o
}

// grantTo answers a question with an amount.
func grantTo(q *wire.QuotaRequest, amount float64) *wire.QuotaGrant {
	return &wire.QuotaGrant{Router: q.Router, Number: q.Number, Incarnation: q.Incarnation, Granted: amount, Spare: amount / 10, ValidMS: 400}
}

func silence(*wire.QuotaRequest) *wire.QuotaGrant { return nil }

func whatIsNeeded(q *wire.QuotaRequest) *wire.QuotaGrant { return grantTo(q, q.Need) }

func tenantWith(rate float64) *config.Tenant {
	return &config.Tenant{Name: "t", RatePerS: rate, Burst: rate}
}

// takes says whether a request of this cost may run now.
func (o *scriptedOwner) takes(t *testing.T, cost float64) bool {
	t.Helper()
	c, _ := o.limiter.Take(t.Context(), tenantWith(100), cost)
	return c != nil && c.Use(t.Context())
}

func TestCost(t *testing.T) {
	tokens := &config.Tenant{Unit: config.TokenUnit, PlainTokens: 200}
	for usage, want := range map[string]float64{
		"1460,80": 1540, " 1460 , 80 ": 1540, "0,0": 0, "9007199254740991,0": 9007199254740991,
		"": 200, "12": 200, ",": 200, "1,2,3": 200, "-5,9": 200, "5,-9": 200, "1.5,2": 200, "NaN,1": 200, "Inf,1": 200, "1,+Inf": 200, "1e9,1": 200,
		"0x10,1": 200, "99999999999999999999,1": 200,
	} {
		assert.Equal(t, Cost(tokens, usage), want, "%q", usage)
		assert.Equal(t, Cost(&config.Tenant{}, usage), 1.0, "counted by requests")
	}
	assert.Equal(t, Cost(&config.Tenant{Unit: config.TokenUnit}, ""), 1.0, "without plain_tokens")
}

// A grant that answers an earlier life of the router, which numbers its requests alike, is dropped and counted.
func TestGrantToAnEarlierLifeOfTheRouterIsDropped(t *testing.T) {
	o := newScriptedOwner()
	o.answer = func(q *wire.QuotaRequest) *wire.QuotaGrant {
		o.limiter.Granted(&wire.QuotaGrant{Router: "n", Number: q.Number, Granted: 50, ValidMS: 400, Incarnation: q.Incarnation + 2})
		o.limiter.Granted(&wire.QuotaGrant{Router: "other", Number: q.Number, Granted: 50, ValidMS: 400, Incarnation: q.Incarnation})
		assert.Equal(t, len(o.limiter.waiting), 1, "a grant to somebody else was taken")
		return grantTo(q, 5)
	}
	assert.Assert(t, o.takes(t, 5))
	o.limiter.Granted(grantTo(o.questions[0], 5))
	assert.Equal(t, o.limiter.dropped, int64(3), "the last one came twice")
	assert.Equal(t, o.limiter.accounts[subject{tenant: "t"}].ahead.Sum(), 0.0)
}

// What was granted may be used until it is as old as the owner said, counted from the question.
func TestChargeThatIsTooOldIsTakenAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newScriptedOwner()
		o.answer = whatIsNeeded
		for _, wait := range []time.Duration{0, 399 * time.Millisecond, 400 * time.Millisecond, time.Minute} {
			o.questions = nil
			c, _ := o.limiter.Take(t.Context(), tenantWith(100), 5)
			time.Sleep(wait)
			assert.Assert(t, c.Use(t.Context()))
			questions := 1
			if wait >= 400*time.Millisecond {
				questions = 2
			}
			assert.Equal(t, len(o.questions), questions, "%v", wait)
		}
		c, _ := o.limiter.Take(t.Context(), tenantWith(100), 5)
		time.Sleep(time.Second)
		o.answer = func(q *wire.QuotaRequest) *wire.QuotaGrant { return grantTo(q, 0) }
		assert.Assert(t, !c.Use(t.Context()), "nothing is left")
	})
}

// An answer that took so long that it is too old at once lets nothing in.
func TestGrantThatComesTooLateIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newScriptedOwner()
		o.answer = func(q *wire.QuotaRequest) *wire.QuotaGrant {
			time.Sleep(30 * time.Millisecond)
			grant := grantTo(q, q.Need)
			grant.ValidMS = 30
			return grant
		}
		assert.Assert(t, !o.takes(t, 5))
	})
}

func TestEachRunIsCharged(t *testing.T) {
	o := newScriptedOwner()
	o.answer = whatIsNeeded
	c, _ := o.limiter.Take(t.Context(), tenantWith(100), 5)
	for run := 1; run <= 3; run++ {
		assert.Assert(t, c.Use(t.Context()))
		assert.Equal(t, len(o.questions), run)
		assert.Assert(t, c.Use(t.Context()), "a further run without a word that the one before did not take place")
		run++
		c.NotRun()
		assert.Assert(t, c.Use(t.Context()))
		assert.Equal(t, len(o.questions), run, "a run that did not take place costs nothing more")
	}
}

// What is given back once, by a request that has not run, is as old as it was.
func TestGivenBackKeepsItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newScriptedOwner()
		o.answer = whatIsNeeded
		for _, wait := range []time.Duration{300 * time.Millisecond, 500 * time.Millisecond} {
			c, _ := o.limiter.Take(t.Context(), tenantWith(100), 5)
			time.Sleep(300 * time.Millisecond)
			c.Return()
			c.Return()
			time.Sleep(wait - 300*time.Millisecond)
			o.questions = nil
			assert.Assert(t, o.takes(t, 5))
			asked := 0
			if wait > 400*time.Millisecond {
				asked = 1
			}
			assert.Equal(t, len(o.questions), asked, "%v", wait)
			assert.Assert(t, o.takes(t, 5))
			assert.Equal(t, len(o.questions), asked+1, "what was given back twice counts once")
			time.Sleep(time.Second)
		}
		c, _ := o.limiter.Take(t.Context(), tenantWith(100), 5)
		assert.Assert(t, c.Use(t.Context()))
		c.Return()
		assert.Equal(t, o.limiter.accounts[subject{tenant: "t"}].ahead.Sum(), 0.0, "a charge that was used is not given back")
	})
}

// While no owner answers, a router uses what it has earned with grants of the last half minute and nothing more: at once,
// whole requests only. One that has just started has earned nothing.
func TestWithoutAnOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newScriptedOwner()
		o.answer = silence
		assert.Assert(t, !o.takes(t, 1), "a router that has just started")
		time.Sleep(relayedFor)
		o.answer = whatIsNeeded
		for range 10 {
			assert.Assert(t, o.takes(t, 50))
		}
		o.answer = silence
		used := 0.0
		for range 100 {
			if o.takes(t, 20) {
				used += 20
			}
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, used, 40.0, "a tenth of 500, whole requests")
		o.answer = whatIsNeeded
		time.Sleep(relayedFor)
		for range 10 {
			assert.Assert(t, o.takes(t, 50))
		}
		o.answer = silence
		time.Sleep(31 * time.Second)
		assert.Assert(t, !o.takes(t, 20), "earned too long ago")
	})
}

// A silent owner is asked by way of another machine at once, and left alone for a while when that brings nothing either.
func TestSilentOwnerIsAskedByWayOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newScriptedOwner()
		o.answer = func(q *wire.QuotaRequest) *wire.QuotaGrant {
			if !q.Relay {
				return nil
			}
			return grantTo(q, q.Need)
		}
		began := time.Now()
		assert.Assert(t, o.takes(t, 5))
		assert.Equal(t, time.Since(began), ownerPatience)
		assert.Equal(t, len(o.questions), 2)
		assert.Assert(t, !o.questions[0].Relay && o.questions[1].Relay)
		assert.Assert(t, o.takes(t, 5))
		assert.Equal(t, time.Since(began), ownerPatience, "the next one knows")
		o.answer = silence
		assert.Assert(t, !o.takes(t, 5))
		assert.Equal(t, time.Since(began), ownerPatience+relayPatience)
		asked := len(o.questions)
		assert.Assert(t, !o.takes(t, 5))
		assert.Equal(t, len(o.questions), asked, "nobody is asked for a while")
		assert.Equal(t, time.Since(began), ownerPatience+relayPatience)
		time.Sleep(relayedFor)
		o.answer = whatIsNeeded
		assert.Assert(t, o.takes(t, 5))
		assert.Assert(t, !o.questions[len(o.questions)-1].Relay, "after a while the straight way again")
	})
}

// What was granted under other terms may not be used: neither what was drawn ahead, nor what was earned for the time without
// an owner.
func TestAmountsUnderOtherTermsAreVoid(t *testing.T) {
	for name, change := range map[string]func(*config.Tenant){
		"unit":  func(t *config.Tenant) { t.Unit = config.TokenUnit },
		"rate":  func(t *config.Tenant) { t.RatePerS = 10 },
		"burst": func(t *config.Tenant) { t.Burst = 10 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newScriptedOwner()
				o.answer = func(q *wire.QuotaRequest) *wire.QuotaGrant { return grantTo(q, 1000) }
				assert.Assert(t, o.takes(t, 5))
				assert.Assert(t, o.takes(t, 5))
				assert.Equal(t, len(o.questions), 1, "the second one was drawn ahead")
				changed := tenantWith(100)
				change(changed)
				o.answer = silence
				c, _ := o.limiter.Take(t.Context(), changed, 5)
				assert.Assert(t, c == nil)
				assert.Equal(t, len(o.questions), 3, "an owner is asked, both ways")
			})
		})
	}
}

// What is drawn ahead and not used is lost, so it is only drawn where requests follow closely.
func TestDrawnAheadOnlyWhereRequestsFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newScriptedOwner()
		o.answer = func(q *wire.QuotaRequest) *wire.QuotaGrant { return grantTo(q, q.Want) }
		for range 20 {
			assert.Assert(t, o.takes(t, 9000))
			time.Sleep(500 * time.Millisecond)
		}
		for _, q := range o.questions {
			assert.Equal(t, q.Want, q.Need)
		}
		o.questions = nil
		for range 400 {
			assert.Assert(t, o.takes(t, 1000))
			time.Sleep(5 * time.Millisecond)
		}
		assert.Assert(t, len(o.questions) < 200, "%d questions for 400 requests", len(o.questions))
	})
}

func TestManyTenantsAreForgottenOnceIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newScriptedOwner()
		o.answer = whatIsNeeded
		for i := range 5 * leastSweep {
			tenant := &config.Tenant{Name: string(rune('A'+i%26)) + time.Duration(i).String(), RatePerS: 1}
			c, _ := o.limiter.Take(t.Context(), tenant, 1)
			assert.Assert(t, c != nil)
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, len(o.limiter.accounts) <= 2*leastSweep, "%d accounts", len(o.limiter.accounts))
	})
}
