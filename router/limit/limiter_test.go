package limit

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/config"
	"ivybank/wire"
)

// scriptedOwner replies to requests as the test says.
type scriptedOwner struct {
	limiter  *Limiter
	requests []*wire.QuotaRequest
	reply    func(q *wire.QuotaRequest) *wire.QuotaGrant // returns nil for no reply
}

func newScriptedOwner() *scriptedOwner {
	o := &scriptedOwner{limiter: New("n")}
	o.limiter.Connect(func(m *wire.Message) bool {
		o.requests = append(o.requests, m.QuotaRequest)
		if grant := o.reply(m.QuotaRequest); grant != nil {
			o.limiter.HandleGrant(grant)
		}
		return true
	})
	return o
}

// grantTo returns a grant of an amount to a request, with a tenth of it as spare quota.
func grantTo(q *wire.QuotaRequest, amount float64) *wire.QuotaGrant {
	return &wire.QuotaGrant{Router: q.Router, Number: q.Number, Incarnation: q.Incarnation, Granted: amount, Spare: amount / 10, ValidMS: 400}
}

func noReply(*wire.QuotaRequest) *wire.QuotaGrant { return nil }

func grantNeed(q *wire.QuotaRequest) *wire.QuotaGrant { return grantTo(q, q.Need) }

func tenantWith(rate float64) *config.Tenant {
	return &config.Tenant{Name: "t", RatePerS: rate, Burst: rate}
}

// admits reports whether a request of this cost may run now.
func (o *scriptedOwner) admits(t *testing.T, cost float64) bool {
	t.Helper()
	c, _ := o.limiter.Take(t.Context(), tenantWith(100), cost)
	return c != nil && c.Use(t.Context())
}

func TestCost(t *testing.T) {
	tokens := &config.Tenant{Unit: config.TokenUnit, DefaultTokens: 200}
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

// A grant to an earlier incarnation of the router, which numbered its requests alike, is dropped and counted.
func TestGrantToEarlierIncarnationIsDropped(t *testing.T) {
	o := newScriptedOwner()
	o.reply = func(q *wire.QuotaRequest) *wire.QuotaGrant {
		o.limiter.HandleGrant(&wire.QuotaGrant{Router: "n", Number: q.Number, Granted: 50, ValidMS: 400, Incarnation: q.Incarnation + 2})
		o.limiter.HandleGrant(&wire.QuotaGrant{Router: "other", Number: q.Number, Granted: 50, ValidMS: 400, Incarnation: q.Incarnation})
		assert.Equal(t, len(o.limiter.pending), 1, "a grant to another router or incarnation was accepted")
		return grantTo(q, 5)
	}
	assert.Assert(t, o.admits(t, 5))
	o.limiter.HandleGrant(grantTo(o.requests[0], 5))
	assert.Equal(t, o.limiter.droppedReplies, int64(3), "the last grant arrived twice")
	assert.Equal(t, o.limiter.accounts[limitKey{tenant: "t"}].prefetched.Sum(), 0.0)
}

// A grant may be used until it has reached the age that the owner stated, counted from the request for it.
func TestExpiredChargeIsRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newScriptedOwner()
		o.reply = grantNeed
		for _, wait := range []time.Duration{0, 399 * time.Millisecond, 400 * time.Millisecond, time.Minute} {
			o.requests = nil
			c, _ := o.limiter.Take(t.Context(), tenantWith(100), 5)
			time.Sleep(wait)
			assert.Assert(t, c.Use(t.Context()))
			requests := 1
			if wait >= 400*time.Millisecond {
				requests = 2
			}
			assert.Equal(t, len(o.requests), requests, "%v", wait)
		}
		c, _ := o.limiter.Take(t.Context(), tenantWith(100), 5)
		time.Sleep(time.Second)
		o.reply = func(q *wire.QuotaRequest) *wire.QuotaGrant { return grantTo(q, 0) }
		assert.Assert(t, !c.Use(t.Context()), "the limit is exhausted")
	})
}

// A grant that has expired on arrival admits nothing.
func TestLateGrantIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newScriptedOwner()
		o.reply = func(q *wire.QuotaRequest) *wire.QuotaGrant {
			time.Sleep(30 * time.Millisecond)
			grant := grantTo(q, q.Need)
			grant.ValidMS = 30
			return grant
		}
		assert.Assert(t, !o.admits(t, 5))
	})
}

func TestEachRunIsCharged(t *testing.T) {
	o := newScriptedOwner()
	o.reply = grantNeed
	c, _ := o.limiter.Take(t.Context(), tenantWith(100), 5)
	for run := 1; run <= 3; run++ {
		assert.Assert(t, c.Use(t.Context()))
		assert.Equal(t, len(o.requests), run)
		assert.Assert(t, c.Use(t.Context()), "a further run, with no report that the previous one did not take place")
		run++
		c.MarkNotRun()
		assert.Assert(t, c.Use(t.Context()))
		assert.Equal(t, len(o.requests), run, "a run that did not take place costs nothing more")
	}
}

// Quota that is returned by a request that has not run keeps its expiry time, and is returned only once.
func TestReturnedChargeKeepsItsExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newScriptedOwner()
		o.reply = grantNeed
		for _, wait := range []time.Duration{300 * time.Millisecond, 500 * time.Millisecond} {
			c, _ := o.limiter.Take(t.Context(), tenantWith(100), 5)
			time.Sleep(300 * time.Millisecond)
			c.Return()
			c.Return()
			time.Sleep(wait - 300*time.Millisecond)
			o.requests = nil
			assert.Assert(t, o.admits(t, 5))
			requestCount := 0
			if wait > 400*time.Millisecond {
				requestCount = 1
			}
			assert.Equal(t, len(o.requests), requestCount, "%v", wait)
			assert.Assert(t, o.admits(t, 5))
			assert.Equal(t, len(o.requests), requestCount+1, "a charge that is returned twice counts once")
			time.Sleep(time.Second)
		}
		c, _ := o.limiter.Take(t.Context(), tenantWith(100), 5)
		assert.Assert(t, c.Use(t.Context()))
		c.Return()
		assert.Equal(t, o.limiter.accounts[limitKey{tenant: "t"}].prefetched.Sum(), 0.0, "a used charge is not returned")
	})
}

// While no owner answers, a router admits whole requests on the spare quota of the last 30 s, at once, and no more. A
// router that has just started has no spare quota.
func TestSpareQuotaWithoutOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newScriptedOwner()
		o.reply = noReply
		assert.Assert(t, !o.admits(t, 1), "a router that has just started")
		time.Sleep(relayDuration)
		o.reply = grantNeed
		for range 10 {
			assert.Assert(t, o.admits(t, 50))
		}
		o.reply = noReply
		used := 0.0
		for range 100 {
			if o.admits(t, 20) {
				used += 20
			}
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, used, 40.0, "a tenth of 500, in whole requests")
		o.reply = grantNeed
		time.Sleep(relayDuration)
		for range 10 {
			assert.Assert(t, o.admits(t, 50))
		}
		o.reply = noReply
		time.Sleep(31 * time.Second)
		assert.Assert(t, !o.admits(t, 20), "spare quota has expired")
	})
}

// An owner that does not answer is asked through another machine at once. If that fails too, it is not asked for a
// while.
func TestSilentOwnerIsAskedThroughRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newScriptedOwner()
		o.reply = func(q *wire.QuotaRequest) *wire.QuotaGrant {
			if !q.Relay {
				return nil
			}
			return grantTo(q, q.Need)
		}
		start := time.Now()
		assert.Assert(t, o.admits(t, 5))
		assert.Equal(t, time.Since(start), ownerTimeout)
		assert.Equal(t, len(o.requests), 2)
		assert.Assert(t, !o.requests[0].Relay && o.requests[1].Relay)
		assert.Assert(t, o.admits(t, 5))
		assert.Equal(t, time.Since(start), ownerTimeout, "the next request uses the relay at once")
		o.reply = noReply
		assert.Assert(t, !o.admits(t, 5))
		assert.Equal(t, time.Since(start), ownerTimeout+relayTimeout)
		requestCount := len(o.requests)
		assert.Assert(t, !o.admits(t, 5))
		assert.Equal(t, len(o.requests), requestCount, "the owner is not asked for a while")
		assert.Equal(t, time.Since(start), ownerTimeout+relayTimeout)
		time.Sleep(relayDuration)
		o.reply = grantNeed
		assert.Assert(t, o.admits(t, 5))
		assert.Assert(t, !o.requests[len(o.requests)-1].Relay, "the owner is asked directly again after a while")
	})
}

// Quota that was granted under other terms must not be used: neither prefetched nor spare quota.
func TestQuotaUnderOtherTermsIsVoid(t *testing.T) {
	for name, change := range map[string]func(*config.Tenant){
		"unit":  func(t *config.Tenant) { t.Unit = config.TokenUnit },
		"rate":  func(t *config.Tenant) { t.RatePerS = 10 },
		"burst": func(t *config.Tenant) { t.Burst = 10 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newScriptedOwner()
				o.reply = func(q *wire.QuotaRequest) *wire.QuotaGrant { return grantTo(q, 1000) }
				assert.Assert(t, o.admits(t, 5))
				assert.Assert(t, o.admits(t, 5))
				assert.Equal(t, len(o.requests), 1, "the second request used prefetched quota")
				changed := tenantWith(100)
				change(changed)
				o.reply = noReply
				c, _ := o.limiter.Take(t.Context(), changed, 5)
				assert.Assert(t, c == nil)
				assert.Equal(t, len(o.requests), 3, "the owner is asked directly and through a relay")
			})
		})
	}
}

// Prefetched quota that is not used is lost, so quota is prefetched only if requests follow closely.
func TestPrefetchOnlyIfRequestsFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newScriptedOwner()
		o.reply = func(q *wire.QuotaRequest) *wire.QuotaGrant { return grantTo(q, q.Want) }
		for range 20 {
			assert.Assert(t, o.admits(t, 9000))
			time.Sleep(500 * time.Millisecond)
		}
		for _, q := range o.requests {
			assert.Equal(t, q.Want, q.Need)
		}
		o.requests = nil
		for range 400 {
			assert.Assert(t, o.admits(t, 1000))
			time.Sleep(5 * time.Millisecond)
		}
		assert.Assert(t, len(o.requests) < 200, "%d requests to the owner for 400 client requests", len(o.requests))
	})
}

func TestIdleAccountsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newScriptedOwner()
		o.reply = grantNeed
		for i := range 5 * minSweepAccounts {
			tenant := &config.Tenant{Name: string(rune('A'+i%26)) + time.Duration(i).String(), RatePerS: 1}
			c, _ := o.limiter.Take(t.Context(), tenant, 1)
			assert.Assert(t, c != nil)
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, len(o.limiter.accounts) <= 2*minSweepAccounts, "%d accounts", len(o.limiter.accounts))
	})
}
