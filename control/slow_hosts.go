package control

import (
	"time"

	"ivybank/control/slowhost"
	"ivybank/wire"
)

// slowHostsInterval is how often the owner of a shard publishes its slow hosts while there are any.
const slowHostsInterval = 250 * time.Millisecond

// slowHosts is what the owner of a shard knows about the streaming speed of its hosts. It is dropped with the lease.
type slowHosts struct {
	detector      *slowhost.Detector
	publishedAt   time.Duration
	publishedSlow bool // the last published list was not empty
}

// onEventIntervals records a router's measurements if this node owns the shard.
func (n *Node) onEventIntervals(p *wire.EventIntervals) {
	if int(p.Shard) >= len(n.shards) {
		return
	}
	s, now := n.shards[p.Shard], n.now()
	if s.table == nil || !s.holder.Holds(now) {
		return
	}
	for _, h := range p.Hosts {
		s.slowHosts.detector.Observe(p.Service, h.Host, time.Duration(h.Microseconds)*time.Microsecond, now)
	}
}

// publishSlowHosts publishes the slow hosts of a shard while there are any, and an empty list once there are none left.
func (n *Node) publishSlowHosts(s *shard, now time.Duration) {
	if s.table == nil || !s.holder.Holds(now) || now < s.slowHosts.publishedAt+slowHostsInterval {
		return
	}
	s.slowHosts.publishedAt = now
	slow := s.slowHosts.detector.Slow(now)
	if len(slow) == 0 && !s.slowHosts.publishedSlow {
		return
	}
	s.slowHosts.publishedSlow = len(slow) > 0
	n.publish(&wire.Message{SlowHosts: &wire.SlowHosts{Shard: s.number, Term: s.term, Hosts: slow}})
}
