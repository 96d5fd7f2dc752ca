package coordclient

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLeaseEndsBeforeTheHold(t *testing.T) {
	began := time.Now()
	for _, test := range []struct{ hold, end time.Duration }{
		{100 * time.Millisecond, 90 * time.Millisecond},
		{3 * time.Second, 2700 * time.Millisecond},
		{time.Minute, 59 * time.Second}, // the margin is bounded
	} {
		l := lease{hold: test.hold, sent: began}
		assert.Equal(t, l.end(), began.Add(test.end))
		assert.Assert(t, !l.expired(began.Add(test.end-1)))
		assert.Assert(t, l.expired(began.Add(test.end)))
	}
}

func TestLeaseCountsFromTheSending(t *testing.T) {
	began := time.Now()
	l := lease{hold: 3 * time.Second, sent: began}
	l.renew(began.Add(time.Second), began.Add(2*time.Second))
	assert.Equal(t, l.end(), began.Add(3700*time.Millisecond))
	assert.Equal(t, l.renewalDue(), began.Add(2*time.Second))
}

func TestRenewalThatIsTooLateHasNoEffect(t *testing.T) {
	began := time.Now()
	l := lease{hold: 3 * time.Second, sent: began}
	l.renew(began.Add(2*time.Second), began.Add(2700*time.Millisecond))
	assert.Equal(t, l.sent, began)
}

func TestEarlierRenewalDoesNotShortenTheLease(t *testing.T) {
	began := time.Now()
	l := lease{hold: 3 * time.Second, sent: began}
	l.renew(began.Add(-time.Second), began.Add(time.Second))
	assert.Equal(t, l.sent, began)
}
