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
	firstAddress  = "10.0.0.1:80"
	secondAddress = "10.0.0.2:80"
	thirdAddress  = "10.0.0.3:80"
)

// newTestClient makes one that reaches a stand-in at three addresses.
func newTestClient(t *testing.T, w *fakeTransport) *coordclient.Client {
	t.Helper()
	c, err := coordclient.New(coordclient.Options{Addresses: []string{firstAddress, secondAddress, thirdAddress}, Transport: w})
	assert.NilError(t, err)
	return c
}

// withFakeClock plays a test on a virtual clock.
func withFakeClock(t *testing.T, test func(t *testing.T, w *fakeTransport, c *coordclient.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newFakeTransport()
		test(t, w, newTestClient(t, w))
	})
}

func withTimeout(t *testing.T, span time.Duration) context.Context {
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
		"refused":     {answerStatus(http.StatusServiceUnavailable), 60 * time.Millisecond},
		"too many":    {answerStatus(http.StatusTooManyRequests), 60 * time.Millisecond},
		"failed":      {answerStatus(http.StatusInternalServerError), 60 * time.Millisecond},
		"unreachable": {unreachable, 60 * time.Millisecond},
		"broken":      {connectionLost, 60 * time.Millisecond},
		"silent":      {noAnswer, 2060 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			withFakeClock(t, func(t *testing.T, w *fakeTransport, c *coordclient.Client) {
				w.setFault(test.fault, firstAddress, secondAddress)
				began := time.Now()
				number, err := c.NextNumber(withTimeout(t, time.Minute), "n")
				assert.NilError(t, err)
				assert.Equal(t, number, uint64(1))
				assert.Assert(t, time.Since(began) <= test.longest, "took %v", time.Since(began))

				before := w.countCalls(thirdAddress)
				_, err = c.NextNumber(withTimeout(t, time.Minute), "n")
				assert.NilError(t, err)
				assert.Equal(t, w.countCalls(thirdAddress), before+1)
				assert.Assert(t, w.countCalls("") <= 4, "the address that answered is asked first: %v", w.calls)
			})
		})
	}
}

func TestPausesGrowUntilTheContextEnds(t *testing.T) {
	withFakeClock(t, func(t *testing.T, w *fakeTransport, c *coordclient.Client) {
		w.setFault(answerStatus(http.StatusServiceUnavailable), firstAddress, secondAddress, thirdAddress)
		began := time.Now()
		_, err := c.NextNumber(withTimeout(t, 10*time.Second), "n")
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, time.Since(began), 10*time.Second)
		attempts := w.countCalls("")
		assert.Assert(t, attempts > 20 && attempts < 50, "%d attempts", attempts)
		first, last := w.sentAt[1].Sub(w.sentAt[0]), w.sentAt[attempts-1].Sub(w.sentAt[attempts-2])
		assert.Assert(t, first <= 20*time.Millisecond && last >= 250*time.Millisecond, "pauses %v to %v", first, last)
	})
}

func TestUnansweredCallTellsWhetherItMayHaveHappened(t *testing.T) {
	for name, test := range map[string]struct {
		fault fault
		may   bool
	}{
		"refused":     {answerStatus(http.StatusServiceUnavailable), false},
		"too many":    {answerStatus(http.StatusTooManyRequests), false},
		"unreachable": {unreachable, false},
		"failed":      {answerStatus(http.StatusInternalServerError), true},
		"broken":      {connectionLost, true},
		"silent":      {noAnswer, true},
	} {
		t.Run(name, func(t *testing.T) {
			withFakeClock(t, func(t *testing.T, w *fakeTransport, c *coordclient.Client) {
				w.setFault(answerStatus(http.StatusServiceUnavailable), secondAddress, thirdAddress)
				w.setFault(test.fault, firstAddress)
				_, err := c.NextNumber(withTimeout(t, 5*time.Second), "n")
				var unanswered *coordclient.UnansweredError
				assert.Assert(t, errors.As(err, &unanswered))
				assert.Equal(t, unanswered.MayHaveTakenEffect, test.may)
			})
		})
	}
}

func TestEndedContextSendsNothing(t *testing.T) {
	withFakeClock(t, func(t *testing.T, w *fakeTransport, c *coordclient.Client) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := c.NextNumber(ctx, "n")
		assert.ErrorIs(t, err, context.Canceled)
		assert.Equal(t, w.countCalls(""), 0)
	})
}

func TestInvalidCallIsNotRepeated(t *testing.T) {
	withFakeClock(t, func(t *testing.T, w *fakeTransport, c *coordclient.Client) {
		w.setFault(answerStatus(http.StatusBadRequest), firstAddress, secondAddress, thirdAddress)
		_, err := c.NextNumber(withTimeout(t, time.Minute), "n")
		var told *coordclient.StatusError
		assert.Assert(t, errors.As(err, &told))
		assert.Equal(t, told.Status, http.StatusBadRequest)
		assert.Equal(t, w.countCalls(""), 1)
	})
}

func TestPutIsSentAgainWithItsValue(t *testing.T) {
	withFakeClock(t, func(t *testing.T, w *fakeTransport, c *coordclient.Client) {
		w.setFault(answerLost, firstAddress, secondAddress)
		revision, err := c.PutIf(withTimeout(t, time.Minute), "g.a", "one", 0)
		assert.NilError(t, err)
		assert.Equal(t, revision, uint64(1))
		assert.Equal(t, len(w.server.changes), 1)
	})
}

func TestCompareAndSet(t *testing.T) {
	withFakeClock(t, func(t *testing.T, _ *fakeTransport, c *coordclient.Client) {
		ctx := withTimeout(t, time.Minute)
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
