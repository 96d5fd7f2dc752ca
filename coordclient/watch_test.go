package coordclient_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/coordclient"
)

func TestWatchYieldsEachPutOnceDespiteFailures(t *testing.T) {
	withFakeClock(t, func(t *testing.T, transport *fakeTransport, c *coordclient.Client) {
		ctx := withTimeout(t, time.Hour)
		const puts = 50
		_, err := c.Put(ctx, "g.a", "value-0")
		assert.NilError(t, err)
		go func() {
			for i := 1; i <= puts; i++ {
				time.Sleep(700 * time.Millisecond)
				_, _ = c.Put(ctx, "g.a", fmt.Sprint("value-", i))
			}
		}()
		go func() {
			faults := []fault{noAnswer, connectionLost, answerStatus(http.StatusServiceUnavailable), nil}
			for i := range 40 {
				time.Sleep(900 * time.Millisecond)
				transport.setFault(faults[i%len(faults)], []string{firstAddress, secondAddress, thirdAddress}[i%3])
			}
			transport.setFault(nil, firstAddress, secondAddress, thirdAddress)
		}()
		next := 1
		for change, err := range c.Watch("g.", 1).Changes(ctx) {
			assert.NilError(t, err)
			assert.Equal(t, change, coordclient.Change{
				Key: "g.a", Value: fmt.Sprint("value-", next), Revision: uint64(next + 1),
			})
			if next == puts {
				break
			}
			next++
		}
	})
}

func TestWatchContinuesFromItsRevision(t *testing.T) {
	withFakeClock(t, func(t *testing.T, _ *fakeTransport, c *coordclient.Client) {
		ctx := withTimeout(t, time.Hour)
		for i := range 5 {
			_, err := c.Put(ctx, "g.a", fmt.Sprint("value-", i))
			assert.NilError(t, err)
		}
		first := c.Watch("g.", 1)
		for change, err := range first.Changes(ctx) {
			assert.NilError(t, err)
			assert.Equal(t, change.Revision, uint64(2))
			break
		}
		assert.Equal(t, first.Revision(), uint64(2))
		for change, err := range c.Watch("g.", first.Revision()).Changes(ctx) {
			assert.NilError(t, err)
			assert.Equal(t, change.Revision, uint64(3))
			break
		}
	})
}

func TestWatchFromRevisionZero(t *testing.T) {
	withFakeClock(t, func(t *testing.T, _ *fakeTransport, c *coordclient.Client) {
		ctx := withTimeout(t, time.Hour)
		go func() {
			for i := range 2 {
				time.Sleep(10 * time.Second)
				_, _ = c.Put(ctx, "g.a", fmt.Sprint("value-", i))
			}
		}()
		for change, err := range c.Watch("g.", 0).Changes(ctx) {
			assert.NilError(t, err)
			assert.Equal(t, change.Value, "value-1", "the first put only creates the group")
			break
		}
	})
}

func TestWatchOfCompactedChanges(t *testing.T) {
	withFakeClock(t, func(t *testing.T, transport *fakeTransport, c *coordclient.Client) {
		transport.server.compactedRevision = 10
		for _, err := range c.Watch("g.", 3).Changes(withTimeout(t, time.Minute)) {
			assert.ErrorIs(t, err, coordclient.ErrCompacted)
		}
	})
}

func TestWatchEndsWithItsContext(t *testing.T) {
	withFakeClock(t, func(t *testing.T, _ *fakeTransport, c *coordclient.Client) {
		ctx := withTimeout(t, 20*time.Second)
		_, err := c.Put(ctx, "g.a", "one")
		assert.NilError(t, err)
		ends := 0
		for _, err := range c.Watch("g.", 0).Changes(ctx) {
			assert.ErrorIs(t, err, context.DeadlineExceeded)
			ends++
		}
		assert.Equal(t, ends, 1)
	})
}
