package coordclient_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/coordclient"
)

const hold = 3 * time.Second

func takeLock(t *testing.T, c *coordclient.Client) *coordclient.Lock {
	t.Helper()
	l, err := c.Lock(withTimeout(t, time.Minute), "l", hold)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Finish(context.Background()) })
	return l
}

// awaitEnd waits until the context of a lock ends, and returns how long that took.
func awaitEnd(l *coordclient.Lock) time.Duration {
	began := time.Now()
	<-l.Context().Done()
	return time.Since(began)
}

func TestLockIsRenewed(t *testing.T) {
	withFakeClock(t, func(t *testing.T, transport *fakeTransport, c *coordclient.Client) {
		l := takeLock(t, c)
		time.Sleep(10*hold + time.Millisecond)
		assert.Assert(t, l.Held())
		assert.NilError(t, l.Context().Err())
		assert.Equal(t, transport.countCalls("Heartbeat"), 30)
		_, err := c.TryLock(withTimeout(t, time.Minute), "l", hold)
		assert.ErrorIs(t, err, coordclient.ErrHeld)
	})
}

func TestLockOutlivesItsAcquiringContext(t *testing.T) {
	withFakeClock(t, func(t *testing.T, _ *fakeTransport, c *coordclient.Client) {
		ctx, cancel := context.WithCancel(t.Context())
		l, err := c.Lock(ctx, "l", hold)
		assert.NilError(t, err)
		cancel()
		time.Sleep(2 * hold)
		assert.Assert(t, l.Held())
		assert.NilError(t, l.Finish(t.Context()))
	})
}

// TestContextEndsBeforeHold checks that, however the fleet fails, the context of a lock ends before the fleet may give
// the lock to another holder.
func TestContextEndsBeforeHold(t *testing.T) {
	for name, f := range map[string]fault{
		"status 503":             answerStatus(http.StatusServiceUnavailable),
		"unreachable":            unreachable,
		"connection lost":        connectionLost,
		"no answer":              noAnswer,
		"answer lost":            answerLost,
		"answer delayed by 0.9s": delayedBy(900 * time.Millisecond),
	} {
		t.Run(name, func(t *testing.T) {
			withFakeClock(t, func(t *testing.T, transport *fakeTransport, c *coordclient.Client) {
				l := takeLock(t, c)
				time.Sleep(2*hold + time.Millisecond) // the last successful call was 1 ms ago
				transport.setFault(f, firstAddress, secondAddress, thirdAddress)
				if name == "answer delayed by 0.9s" {
					time.Sleep(2 * hold)
					assert.Assert(t, l.Held(), "delayed renewals still arrive in time")
					return
				}
				took := awaitEnd(l)
				assert.Equal(t, took, hold-hold/10-time.Millisecond)
				assert.ErrorIs(t, context.Cause(l.Context()), coordclient.ErrLost)
				assert.Assert(t, !l.Held())
				transport.setFault(nil, firstAddress, secondAddress, thirdAddress)
			})
		})
	}
}

func TestLeaseCountsFromSendingOfSlowCalls(t *testing.T) {
	const delay = 900 * time.Millisecond
	withFakeClock(t, func(t *testing.T, transport *fakeTransport, c *coordclient.Client) {
		transport.setFault(delayedBy(delay), firstAddress, secondAddress, thirdAddress)
		l := takeLock(t, c)
		transport.setFault(noAnswer, firstAddress, secondAddress, thirdAddress)
		assert.Equal(t, awaitEnd(l), hold-hold/10-delay, "after acquiring")

		transport.setFault(delayedBy(delay), firstAddress, secondAddress, thirdAddress)
		l = takeLock(t, c)
		time.Sleep(hold/3 + time.Millisecond) // the answer to a renewal arrived 1 ms ago
		transport.setFault(noAnswer, firstAddress, secondAddress, thirdAddress)
		assert.Equal(t, awaitEnd(l), hold-hold/10-delay-time.Millisecond, "after a renewal")
		transport.setFault(nil, firstAddress, secondAddress, thirdAddress)
	})
}

func TestLockIsHeldWhileOneAddressAfterTheOtherDoesNotAnswer(t *testing.T) {
	withFakeClock(t, func(t *testing.T, transport *fakeTransport, c *coordclient.Client) {
		l := takeLock(t, c)
		for i := range 12 {
			address := []string{firstAddress, secondAddress, thirdAddress}[i%3]
			transport.setFault(noAnswer, address)
			time.Sleep(5 * time.Second)
			assert.Assert(t, l.Held())
			transport.setFault(nil, address)
		}
	})
}

func TestLockIsHeldWhileAllAddressesRefuseForASecond(t *testing.T) {
	withFakeClock(t, func(t *testing.T, transport *fakeTransport, c *coordclient.Client) {
		l := takeLock(t, c)
		for range 10 {
			transport.setFault(answerStatus(http.StatusServiceUnavailable), firstAddress, secondAddress, thirdAddress)
			time.Sleep(time.Second)
			transport.setFault(nil, firstAddress, secondAddress, thirdAddress)
			time.Sleep(2 * time.Second)
			assert.Assert(t, l.Held())
		}
	})
}

func TestLostLockEndsAtOnce(t *testing.T) {
	withFakeClock(t, func(t *testing.T, transport *fakeTransport, c *coordclient.Client) {
		l := takeLock(t, c)
		transport.setFault(answerStatus(http.StatusConflict), firstAddress, secondAddress, thirdAddress)
		assert.Equal(t, awaitEnd(l), hold/3)
		assert.ErrorIs(t, context.Cause(l.Context()), coordclient.ErrLost)
		transport.setFault(nil, firstAddress, secondAddress, thirdAddress)
	})
}

func TestLockAnsweredAfterLeaseEndIsLost(t *testing.T) {
	withFakeClock(t, func(t *testing.T, transport *fakeTransport, c *coordclient.Client) {
		transport.setFault(delayedBy(600*time.Millisecond), firstAddress, secondAddress, thirdAddress)
		_, err := c.TryLock(withTimeout(t, time.Minute), "l", 500*time.Millisecond)
		assert.ErrorIs(t, err, coordclient.ErrLost)
	})
}

func TestFinish(t *testing.T) {
	withFakeClock(t, func(t *testing.T, transport *fakeTransport, c *coordclient.Client) {
		l := takeLock(t, c)
		assert.NilError(t, l.Finish(t.Context()))
		assert.ErrorIs(t, context.Cause(l.Context()), coordclient.ErrFinished)
		assert.Assert(t, !l.Held())
		next, err := c.TryLock(withTimeout(t, time.Minute), "l", hold)
		assert.NilError(t, err)
		assert.Assert(t, next.Fence() > l.Fence())
		heartbeats := transport.countCalls("Heartbeat")
		assert.NilError(t, next.Finish(t.Context()))
		time.Sleep(10 * hold)
		assert.Equal(t, transport.countCalls("Heartbeat"), heartbeats, "nothing is renewed after the release")
	})
}

func TestUnansweredFinishStillEndsTheLock(t *testing.T) {
	withFakeClock(t, func(t *testing.T, transport *fakeTransport, c *coordclient.Client) {
		l := takeLock(t, c)
		transport.setFault(noAnswer, firstAddress, secondAddress, thirdAddress)
		assert.ErrorIs(t, l.Finish(withTimeout(t, time.Second)), context.DeadlineExceeded)
		assert.Assert(t, !l.Held())
		transport.setFault(nil, firstAddress, secondAddress, thirdAddress)
	})
}

func TestLockWaitsForCurrentHolder(t *testing.T) {
	withFakeClock(t, func(t *testing.T, _ *fakeTransport, c *coordclient.Client) {
		first := takeLock(t, c)
		go func() {
			time.Sleep(5 * time.Second)
			_ = first.Finish(context.Background())
		}()
		began := time.Now()
		second := takeLock(t, c)
		assert.Assert(t, time.Since(began) >= 5*time.Second)
		assert.Assert(t, time.Since(began) <= 6*time.Second)
		assert.Assert(t, second.Fence() > first.Fence())
		synctest.Wait()
	})
}

func TestHolderGetsItsLockAgain(t *testing.T) {
	withFakeClock(t, func(t *testing.T, _ *fakeTransport, c *coordclient.Client) {
		first, err := c.TryLockAs(t.Context(), "l", "host-7", hold)
		assert.NilError(t, err)
		again, err := c.TryLockAs(t.Context(), "l", "host-7", hold)
		assert.NilError(t, err)
		assert.Assert(t, again.Fence() >= first.Fence())
		assert.NilError(t, first.Finish(t.Context()))
		assert.NilError(t, again.Finish(t.Context()))
	})
}
