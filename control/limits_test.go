package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/control/lease"
	"ivybank/control/quota"
)

// A lease is granted anew only once what its last holder granted with a delay has begun to be used.
func TestDelaysOfGrantsAreOverBeforeTheNextOwner(t *testing.T) {
	assert.Assert(t, quota.MaxDelay <= lease.Margin)
}

// The same process may get its lease again at once: after it has lost it, in a new life, or as all have restarted. Its
// buckets begin to fill only once the delays of what was granted before are over.
func TestBucketsFillOnceEarlierDelaysAreOver(t *testing.T) {
	limit := quota.Limit{Rate: 1000, Capacity: 1000, Validity: time.Second}
	filled := func(n *Node, s *shard, now time.Duration) float64 {
		for need := limit.Rate; need > 0; need-- { // what it holds half a second later
			if grant := n.newLimits(s, now).Take("t", limit, quota.Ask{Need: need, Want: need}, now+500*time.Millisecond); grant.Amount > 0 && grant.Delay == 0 {
				return need
			}
		}
		return 0
	}
	late := limit.Rate * quota.MaxDelay.Seconds()
	const longAgo = time.Hour
	for name, c := range map[string]struct {
		node    Node
		lostAt  time.Duration
		now     time.Duration
		missing float64
	}{
		"another one held it":        {now: longAgo, lostAt: 0},
		"it has lost it just now":    {now: longAgo, lostAt: longAgo, missing: late},
		"it has lost it a while ago": {now: longAgo, lostAt: longAgo - quota.MaxDelay},
		"it has just started":        {now: 0, lostAt: -longAgo, missing: late},
		"all have restarted":         {node: Node{resumed: true, resumedAt: longAgo}, now: longAgo, missing: late},
		"all had restarted":          {node: Node{resumed: true, resumedAt: longAgo - lease.Duration}, now: longAgo},
	} {
		got := filled(&c.node, &shard{lostAt: c.lostAt}, c.now)
		assert.Assert(t, got >= 500-c.missing-1 && got <= 500-c.missing+1, "%s: %v", name, got)
	}
}
