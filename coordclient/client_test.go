package coordclient_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/coordclient"
)

const (
	here  = "10.0.0.1:80"
	there = "10.0.0.2:80"
	third = "10.0.0.3:80"
)

// client makes one that reaches a stand-in at three addresses.
func client(t *testing.T, w *wire) *coordclient.Client {
	t.Helper()
	c, err := coordclient.New(coordclient.Options{Addresses: []string{here, there, third}, Transport: w})
	assert.NilError(t, err)
	return c
}

// virtually plays a test on a virtual clock.
func virtually(t *testing.T, test func(t *testing.T, w *wire, c *coordclient.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWire()
		test(t, w, client(t, w))
	})
}

func within(t *testing.T, span time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), span)
	t.Cleanup(cancel)
	return ctx
}

func TestNoAddresses(t *testing.T) {
	_, err := coordclient.New(coordclient.Options{})
	assert.ErrorIs(t, err, coordclient.ErrNoAddresses)
}

func TestFailedCallGoesElsewhere(t *testing.T) {
	for name, test := range map[string]struct {
		fault   fault
		longest time.Duration // of two failures and their pauses
	}{
		"refused":     {status(http.StatusServiceUnavailable), 60 * time.Millisecond},
		"too many":    {status(http.StatusTooManyRequests), 60 * time.Millisecond},
		"failed":      {status(http.StatusInternalServerError), 60 * time.Millisecond},
		"unreachable": {unreachable, 60 * time.Millisecond},
		"broken":      {broken, 60 * time.Millisecond},
		"silent":      {silent, 2060 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			virtually(t, func(t *testing.T, w *wire, c *coordclient.Client) {
				w.fail(test.fault, here, there)
				began := time.Now()
				number, err := c.NextNumber(within(t, time.Minute), "n")
				assert.NilError(t, err)
				assert.Equal(t, number, uint64(1))
				assert.Assert(t, time.Since(began) <= test.longest, "took %v", time.Since(began))

				before := w.count(third)
				_, err = c.NextNumber(within(t, time.Minute), "n")
				assert.NilError(t, err)
				assert.Equal(t, w.count(third), before+1)
				assert.Assert(t, w.count("") <= 4, "the address that answered is asked first: %v", w.calls)
			})
		})
	}
}

func TestPausesGrowUntilTheContextEnds(t *testing.T) {
	virtually(t, func(t *testing.T, w *wire, c *coordclient.Client) {
		w.fail(status(http.StatusServiceUnavailable), here, there, third)
		began := time.Now()
		_, err := c.NextNumber(within(t, 10*time.Second), "n")
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, time.Since(began), 10*time.Second)
		attempts := w.count("")
		assert.Assert(t, attempts > 20 && attempts < 50, "%d attempts", attempts)
		first, last := w.at[1].Sub(w.at[0]), w.at[attempts-1].Sub(w.at[attempts-2])
		assert.Assert(t, first <= 20*time.Millisecond && last >= 250*time.Millisecond, "pauses %v to %v", first, last)
	})
}

func TestUnansweredCallTellsWhetherItMayHaveHappened(t *testing.T) {
	for name, test := range map[string]struct {
		fault fault
		may   bool
	}{
		"refused":     {status(http.StatusServiceUnavailable), false},
		"too many":    {status(http.StatusTooManyRequests), false},
		"unreachable": {unreachable, false},
		"failed":      {status(http.StatusInternalServerError), true},
		"broken":      {broken, true},
		"silent":      {silent, true},
	} {
		t.Run(name, func(t *testing.T) {
			virtually(t, func(t *testing.T, w *wire, c *coordclient.Client) {
				w.fail(status(http.StatusServiceUnavailable), there, third)
				w.fail(test.fault, here)
				_, err := c.NextNumber(within(t, 5*time.Second), "n")
				var unanswered *coordclient.UnansweredError
				assert.Assert(t, errors.As(err, &unanswered))
				assert.Equal(t, unanswered.MayHaveTakenEffect, test.may)
			})
		})
	}
}

func TestEndedContextSendsNothing(t *testing.T) {
	virtually(t, func(t *testing.T, w *wire, c *coordclient.Client) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := c.NextNumber(ctx, "n")
		assert.ErrorIs(t, err, context.Canceled)
		assert.Equal(t, w.count(""), 0)
	})
}

func TestInvalidCallIsNotRepeated(t *testing.T) {
	virtually(t, func(t *testing.T, w *wire, c *coordclient.Client) {
		w.fail(status(http.StatusBadRequest), here, there, third)
		_, err := c.NextNumber(within(t, time.Minute), "n")
		var told *coordclient.StatusError
		assert.Assert(t, errors.As(err, &told))
		assert.Equal(t, told.Status, http.StatusBadRequest)
		assert.Equal(t, w.count(""), 1)
	})
}

func TestPutIsSentAgainWithItsValue(t *testing.T) {
	virtually(t, func(t *testing.T, w *wire, c *coordclient.Client) {
		w.fail(doneUnheard, here, there)
		revision, err := c.PutIf(within(t, time.Minute), "g.a", "one", 0)
		assert.NilError(t, err)
		assert.Equal(t, revision, uint64(1))
		assert.Equal(t, len(w.standIn.changes), 1)
	})
}

func TestCompareAndSet(t *testing.T) {
	virtually(t, func(t *testing.T, _ *wire, c *coordclient.Client) {
		ctx := within(t, time.Minute)
		_, err := c.Get(ctx, "g.a")
		assert.ErrorIs(t, err, coordclient.ErrNotFound)

		first, err := c.PutIf(ctx, "g.a", "one", 0)
		assert.NilError(t, err)
		_, err = c.PutIf(ctx, "g.a", "two", 0)
		var mismatch *coordclient.MismatchError
		assert.Assert(t, errors.As(err, &mismatch))
		assert.Equal(t, mismatch.Revision, first)

		second, err := c.Put(ctx, "g.a", "three")
		assert.NilError(t, err)
		assert.Assert(t, second > first)
		got, err := c.Get(ctx, "g.a")
		assert.NilError(t, err)
		assert.Equal(t, got, coordclient.Value{Value: "three", Revision: second})
	})
}
