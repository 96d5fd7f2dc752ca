package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/control/lease"
	"ivybank/control/quota"
)

// A lease is granted to another holder only after the last holder's delayed grants have become valid.
func TestGrantDelaysEndBeforeTheNextOwner(t *testing.T) {
	assert.Assert(t, quota.MaxDelay <= lease.Margin)
}

// The same process may get its lease again at once: after losing it, after a restart, or when all processes have
// restarted. Its buckets must begin to fill only once the delays of earlier grants are over.
func TestBucketsFillAfterEarlierGrantDelays(t *testing.T) {
	limit := quota.Limit{Rate: 1000, Capacity: 1000, Validity: time.Second}
	filled := func(n *Node, s *shard, now time.Duration) float64 {
		for need := limit.Rate; need > 0; need-- { // the amount available half a second later
			if grant := n.newLimits(s, now).Take("t", limit, quota.Request{Need: need, Want: need},
				now+500*time.Millisecond); grant.Amount > 0 && grant.Delay == 0 {
				return need
			}
		}
		return 0
	}
	delayedAmount := limit.Rate * quota.MaxDelay.Seconds()
	const longAgo = time.Hour
	for name, c := range map[string]struct {
		node    Node
		lostAt  time.Duration
		now     time.Duration
		missing float64
	}{
		"another process held the lease":   {now: longAgo, lostAt: 0},
		"this process has just lost it":    {now: longAgo, lostAt: longAgo, missing: delayedAmount},
		"this process lost it a while ago": {now: longAgo, lostAt: longAgo - quota.MaxDelay},
		"this process has just started":    {now: 0, lostAt: -longAgo, missing: delayedAmount},
		"all have just restarted": {node: Node{leasesResumed: true, leasesResumedAt: longAgo},
			now: longAgo, missing: delayedAmount},
		"all restarted a while ago": {node: Node{leasesResumed: true, leasesResumedAt: longAgo - lease.Duration},
			now: longAgo},
	} {
		got := filled(&c.node, &shard{lostAt: c.lostAt}, c.now)
		assert.Assert(t, got >= 500-c.missing-1 && got <= 500-c.missing+1, "%s: %v", name, got)
	}
}
