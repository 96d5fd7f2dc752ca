package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/settings"
)

const retryWindow = 10 * time.Second

var retryBounds = settings.Bounds{RetryRatio: 0.2, RetryWindowS: retryWindow.Seconds()}

// retryWorld is the budgets of routers on one clock, and what they counted.
type retryWorld struct {
	now      time.Duration
	all      []*retryBudgets
	requests []time.Duration
	repeats  []time.Duration
}

func newRetryWorld(routers int) *retryWorld {
	w := &retryWorld{all: make([]*retryBudgets, routers)}
	for i := range w.all {
		w.restart(i)
	}
	return w
}

func (w *retryWorld) restart(i int) {
	w.all[i] = newRetryBudgets(retryBounds, func() time.Duration { return w.now })
}

func (w *retryWorld) request(i int) {
	w.all[i].request("s")
	w.requests = append(w.requests, w.now)
}

func (w *retryWorld) repeat(i int) bool {
	if !w.all[i].spend("s") {
		return false
	}
	w.repeats = append(w.repeats, w.now)
	return true
}

func within(moments []time.Duration, from time.Duration) float64 {
	n := 0.0
	for _, at := range moments {
		if at >= from && at < from+retryWindow {
			n++
		}
	}
	return n
}

// check holds the rule in every window, without any of its slack.
func (w *retryWorld) check(t *testing.T) {
	t.Helper()
	for from := time.Duration(0); from < w.now; from += 250 * time.Millisecond {
		most := max(within(w.requests, from), within(w.requests, from-retryWindow), within(w.requests, from-retryWindow/2))
		repeats := within(w.repeats, from)
		assert.Assert(t, repeats <= retryBounds.RetryRatio*most+1e-6, "%v: %v repeats of %v requests", from, repeats, most)
	}
}

// TestRetriesOfAllRoutersKeepTheRule lets routers spend all they may, with requests that move from some to others, in
// bursts, and with routers that restart: at any number of them, which none is told of.
func TestRetriesOfAllRoutersKeepTheRule(t *testing.T) {
	for _, routers := range []int{3, 73, 390} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, uint64(routers)))
			w := newRetryWorld(routers)
			for w.now < 100*time.Second {
				w.now += 10 * time.Millisecond
				busy := int(w.now/(7*time.Second)) % 3 // a third of the routers has the requests, and another one next
				for range random.IntN(10) {
					i := (random.IntN(routers)/3*3 + busy) % routers
					w.request(i)
				}
				for range 20 {
					w.repeat(random.IntN(routers))
				}
				if random.IntN(200) == 0 {
					w.restart(random.IntN(routers))
				}
			}
			assert.Assert(t, len(w.repeats) > len(w.requests)/50, "%d repeats of %d requests show nothing", len(w.repeats), len(w.requests))
			w.check(t)
		})
	}
}

// TestSavedRetriesLastForAWindow saves up in one window and spends all in the next.
func TestSavedRetriesLastForAWindow(t *testing.T) {
	w := newRetryWorld(1)
	spendAll := func() (n int) {
		for w.repeat(0) {
			n++
		}
		return n
	}
	assert.Equal(t, spendAll(), 0, "a router that has just started has nothing")
	for range 2 {
		for range 100 {
			w.now += 50 * time.Millisecond
			w.request(0)
		}
	}
	w.now += 4 * time.Second
	saved := spendAll()
	assert.Assert(t, saved >= 10 && saved <= 11, "%d of the 120 requests of a window", saved)
	for range 100 {
		w.request(0)
	}
	w.now += retryWindow
	assert.Equal(t, spendAll(), 0, "what was earned a window ago is gone")
	w.check(t)
}

func TestRetriesAreThereAfterRequests(t *testing.T) {
	w := newRetryWorld(1)
	for range 25 {
		w.request(0)
	}
	assert.Assert(t, w.all[0].has("s"))
	for _, allowed := range []bool{true, true, false} {
		assert.Equal(t, w.repeat(0), allowed, "two after 25 requests")
	}
	assert.Assert(t, !w.all[0].spend("other"), "each service has its own")
}
