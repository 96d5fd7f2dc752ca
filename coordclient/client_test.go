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

// newTestClient creates a client that reaches the fakeServer at three addresses.
func newTestClient(t *testing.T, transport *fakeTransport) *coordclient.Client {
	t.Helper()
	c, err := coordclient.New(coordclient.Options{
		Addresses: []string{firstAddress, secondAddress, thirdAddress}, Transport: transport,
	})
	assert.NilError(t, err)
	return c
}

// withFakeClock runs a test on a fake clock.
func withFakeClock(t *testing.T, test func(t *testing.T, transport *fakeTransport, c *coordclient.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		transport := newFakeTransport()
		test(t, transport, newTestClient(t, transport))
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

func TestFailedCallIsRetriedAtNextAddress(t *testing.T) {
	for name, test := range map[string]struct {
		fault   fault
		longest time.Duration // longest time for two failed attempts with their backoff
	}{
		"status 503":      {answerStatus(http.StatusServiceUnavailable), 60 * time.Millisecond},
		"status 429":      {answerStatus(http.StatusTooManyRequests), 60 * time.Millisecond},
		"status 500":      {answerStatus(http.StatusInternalServerError), 60 * time.Millisecond},
		"unreachable":     {unreachable, 60 * time.Millisecond},
		"connection lost": {connectionLost, 60 * time.Millisecond},
		"no answer":       {noAnswer, 2060 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			withFakeClock(t, func(t *testing.T, transport *fakeTransport, c *coordclient.Client) {
				transport.setFault(test.fault, firstAddress, secondAddress)
				began := time.Now()
				number, err := c.NextNumber(withTimeout(t, time.Minute), "n")
				assert.NilError(t, err)
				assert.Equal(t, number, uint64(1))
				assert.Assert(t, time.Since(began) <= test.longest, "took %v", time.Since(began))

				before := transport.countCalls(thirdAddress)
				_, err = c.NextNumber(withTimeout(t, time.Minute), "n")
				assert.NilError(t, err)
				assert.Equal(t, transport.countCalls(thirdAddress), before+1)
				assert.Assert(t, transport.countCalls("") <= 4,
					"the address that answered last is tried first: %v", transport.calls)
			})
		})
	}
}

func TestBackoffGrowsUntilContextEnds(t *testing.T) {
	withFakeClock(t, func(t *testing.T, transport *fakeTransport, c *coordclient.Client) {
		transport.setFault(answerStatus(http.StatusServiceUnavailable), firstAddress, secondAddress, thirdAddress)
		began := time.Now()
		_, err := c.NextNumber(withTimeout(t, 10*time.Second), "n")
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, time.Since(began), 10*time.Second)
		attempts := transport.countCalls("")
		assert.Assert(t, attempts > 20 && attempts < 50, "%d attempts", attempts)
		first, last := transport.sentAt[1].Sub(transport.sentAt[0]),
			transport.sentAt[attempts-1].Sub(transport.sentAt[attempts-2])
		assert.Assert(t, first <= 20*time.Millisecond && last >= 250*time.Millisecond,
			"backoff from %v to %v", first, last)
	})
}

func TestUnansweredErrorReportsMayHaveTakenEffect(t *testing.T) {
	for name, test := range map[string]struct {
		fault              fault
		mayHaveTakenEffect bool
	}{
		"status 503":      {answerStatus(http.StatusServiceUnavailable), false},
		"status 429":      {answerStatus(http.StatusTooManyRequests), false},
		"unreachable":     {unreachable, false},
		"status 500":      {answerStatus(http.StatusInternalServerError), true},
		"connection lost": {connectionLost, true},
		"no answer":       {noAnswer, true},
	} {
		t.Run(name, func(t *testing.T) {
			withFakeClock(t, func(t *testing.T, transport *fakeTransport, c *coordclient.Client) {
				transport.setFault(answerStatus(http.StatusServiceUnavailable), secondAddress, thirdAddress)
				transport.setFault(test.fault, firstAddress)
				_, err := c.NextNumber(withTimeout(t, 5*time.Second), "n")
				var unanswered *coordclient.UnansweredError
				assert.Assert(t, errors.As(err, &unanswered))
				assert.Equal(t, unanswered.MayHaveTakenEffect, test.mayHaveTakenEffect)
			})
		})
	}
}

func TestEndedContextSendsNothing(t *testing.T) {
	withFakeClock(t, func(t *testing.T, transport *fakeTransport, c *coordclient.Client) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := c.NextNumber(ctx, "n")
		assert.ErrorIs(t, err, context.Canceled)
		assert.Equal(t, transport.countCalls(""), 0)
	})
}

func TestInvalidCallIsNotRetried(t *testing.T) {
	withFakeClock(t, func(t *testing.T, transport *fakeTransport, c *coordclient.Client) {
		transport.setFault(answerStatus(http.StatusBadRequest), firstAddress, secondAddress, thirdAddress)
		_, err := c.NextNumber(withTimeout(t, time.Minute), "n")
		var statusError *coordclient.StatusError
		assert.Assert(t, errors.As(err, &statusError))
		assert.Equal(t, statusError.Status, http.StatusBadRequest)
		assert.Equal(t, transport.countCalls(""), 1)
	})
}

func TestRetriedPutIsAppliedOnce(t *testing.T) {
	withFakeClock(t, func(t *testing.T, transport *fakeTransport, c *coordclient.Client) {
		transport.setFault(answerLost, firstAddress, secondAddress)
		revision, err := c.PutIf(withTimeout(t, time.Minute), "g.a", "one", 0)
		assert.NilError(t, err)
		assert.Equal(t, revision, uint64(1))
		assert.Equal(t, len(transport.server.changes), 1)
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
