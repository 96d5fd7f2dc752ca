package control

import (
	"time"

	"ivybank/control/slowhost"
	"ivybank/wire"
)

// slowHostsInterval is how often the owner of a shard publishes its slow hosts while there are any.
const slowInterval = 250 * time.Millisecond

// slowHosts is what the owner of a shard knows about the streaming speed of its hosts. It is dropped with the lease.
type paces struct {
	table  *slowhost.Detector
	toldAt time.Duration
	told   bool // the last published list was not empty
}

// onEventIntervals records a router's measurements if this node owns the shard.
func (n *Node) onPaces(p *wire.EventIntervals) {
	if int(p.Shard) >= len(n.shards) {
		return
	}
	s, now := n.shards[p.Shard], n.now()
	if s.table == nil || !s.holder.Holds(now) {
		return
	}
	for _, h := range p.Hosts {
		s.paces.table.Observe(p.Service, h.Host, time.Duration(h.Microseconds)*time.Microsecond, now)
	}
}

// publishSlowHosts publishes the slow hosts of a shard while there are any, and an empty list once there are none left.
func (n *Node) publishSlow(s *shard, now time.Duration) {
	if s.table == nil || !s.holder.Holds(now) || now < s.paces.toldAt+slowInterval {
		return
	}
	s.paces.toldAt = now
	slow := s.paces.table.Slow(now)
	if len(slow) == 0 && !s.paces.told {
		return
	}
	s.paces.told = len(slow) > 0
	n.publish(&wire.Message{SlowHosts: &wire.SlowHosts{Shard: s.number, Term: s.term, Hosts: slow}})
}
