package coordclient

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestTenureEndsBeforeTheHold(t *testing.T) {
	began := time.Now()
	for _, test := range []struct{ hold, end time.Duration }{
		{100 * time.Millisecond, 90 * time.Millisecond},
		{3 * time.Second, 2700 * time.Millisecond},
		{time.Minute, 59 * time.Second}, // the margin is bounded
	} {
		held := lease{hold: test.hold, sent: began}
		assert.Equal(t, held.end(), began.Add(test.end))
		assert.Assert(t, !held.expired(began.Add(test.end-1)))
		assert.Assert(t, held.expired(began.Add(test.end)))
	}
}

func TestTenureCountsFromTheSending(t *testing.T) {
	began := time.Now()
	held := lease{hold: 3 * time.Second, sent: began}
	held.renew(began.Add(time.Second), began.Add(2*time.Second))
	assert.Equal(t, held.end(), began.Add(3700*time.Millisecond))
	assert.Equal(t, held.renewalDue(), began.Add(2*time.Second))
}

func TestRenewalThatIsTooLateHasNoEffect(t *testing.T) {
	began := time.Now()
	held := lease{hold: 3 * time.Second, sent: began}
	held.renew(began.Add(2*time.Second), began.Add(2700*time.Millisecond))
	assert.Equal(t, held.sent, began)
}

func TestEarlierRenewalDoesNotShortenTheTenure(t *testing.T) {
	began := time.Now()
	held := lease{hold: 3 * time.Second, sent: began}
	held.renew(began.Add(-time.Second), began.Add(time.Second))
	assert.Equal(t, held.sent, began)
}
