package control

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"ivybank/control/hostlist"
	"ivybank/control/lease"
	"ivybank/control/quota"
	"ivybank/control/replica"
	"ivybank/control/slowhost"
	"ivybank/settings"
	"ivybank/wire"
)

const (
	readsPerDrain = 4.5 // reads of the host list within drain_ms, the time within which a drain has to be noticed
	minReadPeriod = 250 * time.Millisecond
	maxReadPeriod = time.Second
	// startAmountWindow is how soon after acquiring a shard an owner has to know that the previous owner's tenure was
	// long, so that its limits may get their start amounts.
	startAmountWindow = time.Second
	// tenureMargin is how much longer than a window of limits a long tenure lasts. It covers the time from a member's
	// first grant to an owner until the last moment at which that owner's buckets get their start amount, and grants
	// that are made and used late.
	tenureMargin = 3 * time.Second
)

// shard is a subset of the services and tenants, with this node's claim to own it.
type shard struct {
	number       uint32
	holder       *lease.Holder
	term         uint64 // fencing number of the lease under which table is maintained
	table        *hostlist.Table
	limits       *quota.Owner
	slowHosts    slowHosts     // of the shard's hosts
	acquiredAt   time.Duration // when this node acquired the shard
	lostAt       time.Duration // when this node noticed that it had lost the shard
	startGranted bool          // the limits have got their start amounts
	fullMessage  *wire.Message // the full table as it was last encoded
}

// message returns a message with a change. The full table, which each new subscriber gets, is encoded once per offset.
func (s *shard) message(change *wire.Hosts) *wire.Message {
	if !change.Full {
		return &wire.Message{Hosts: change}
	}
	if s.fullMessage == nil || s.fullMessage.Hosts.At != change.At {
		s.fullMessage = (&wire.Message{Hosts: change}).Prepare()
	}
	return s.fullMessage
}

func newShard(number uint32, self string, incarnation uint64, now time.Duration) *shard {
	return &shard{number: number, holder: lease.NewHolder("shard-"+string(rune('0'+number)), self, incarnation, now),
		lostAt: -quota.MaxDelay}
}

// rank returns this node's position in the shard's order of candidates.
func (s *shard) rank(members []wire.Member, self string) int {
	weight := func(id string) uint64 { return xxhash.Sum64String(string(rune('0'+s.number)) + id) }
	order := slices.SortedFunc(slices.Values(members), func(a, b wire.Member) int {
		return cmp.Compare(weight(a.ID), weight(b.ID))
	})
	return slices.IndexFunc(order, func(m wire.Member) bool { return m.ID == self })
}

// tickShards requests leases, and reads the platform's host list while this node owns any shard.
func (n *Node) tickShards(now time.Duration) {
	owns := false
	for _, s := range n.shards {
		if n.replica.IsMember() && !n.stopping {
			s.holder.SetRank(s.rank(n.replica.Members(), n.replica.Self().ID))
			if q := s.holder.Tick(n.granter.HeldByOther(s.resource(), n.replica.Self().ID, now), now); q != nil {
				n.requestLease(q, now)
			}
		}
		n.updateOwnership(s, now)
		n.publishSlowHosts(s, now)
		owns = owns || s.holder.Holds(now)
	}
	if owns && !n.readingHosts && now >= n.nextReadAt {
		n.readingHosts, n.readStartedAt = true, now
		n.nextReadAt = now + n.readPeriod()
		n.env.ReadHosts()
	}
}

// newLimits creates the buckets of a shard that this node has acquired. They begin to fill once the delays of all
// earlier grants are over. Another member gets the lease only after that time in any case. This node, however, may get
// it again at once after losing it or restarting, and any node may if all processes have restarted.
func (n *Node) newLimits(s *shard, now time.Duration) *quota.Owner {
	since := max(now, quota.MaxDelay, s.lostAt+quota.MaxDelay)
	if n.leasesResumed && now < n.leasesResumedAt+lease.Duration {
		since = max(since, now+quota.MaxDelay)
	}
	return quota.NewOwner(since)
}

// longTenure is how long the previous owner must have held the shard for the next owner's buckets to get a start
// amount.
func longTenure(s *settings.Settings) time.Duration {
	return quota.Window(&s.Bounds) + tenureMargin
}

func (n *Node) readPeriod() time.Duration {
	period := time.Duration(n.settings.Bounds.DrainMS / readsPerDrain * float64(time.Millisecond))
	return min(max(period, minReadPeriod), maxReadPeriod)
}

func (n *Node) requestLease(q *wire.LeaseRequest, now time.Duration) {
	q.Members, q.At = membersDigest(n.replica.Members()), n.replica.Newest().Position()
	n.sendToAllLinks(&wire.Message{LeaseRequest: q})
	n.onLeaseReply(n.replica.Self().ID, n.grantLease(q, now), now)
}

func (n *Node) grantLease(q *wire.LeaseRequest, now time.Duration) *wire.LeaseReply {
	if n.replica.AwaitsLeader(now) && !q.Release {
		return n.granter.Refuse(q)
	}
	reply := n.granter.HandleRequest(q, now)
	if reply.Granted {
		n.replica.NoteLeaseParticipation()
	}
	return reply
}

// answerLease grants nothing to a requester that still counts by the members of before a change that this node knows. A
// lease under those members therefore ends no later than the pause after that change; by then a second change may have
// produced a majority of members that never heard of the lease.
func (n *Node) answerLease(q *wire.LeaseRequest, now time.Duration) *wire.LeaseReply {
	behind := q.Members != 0 && q.At.Less(n.replica.Newest().Position()) && q.Members != membersDigest(n.replica.Members())
	if behind && !q.Release {
		return n.granter.Refuse(q)
	}
	return n.grantLease(q, now)
}

// membersDigest returns a hash that identifies a set of members.
func membersDigest(members []wire.Member) uint64 {
	ids := make([]string, 0, len(members))
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	slices.Sort(ids)
	return xxhash.Sum64String(strings.Join(ids, "\n")) | 1
}

// onLeaseRequest answers another member. Both this node and the requester must be members according to this node.
func (n *Node) onLeaseRequest(from wire.Member, q *wire.LeaseRequest, now time.Duration) {
	if !n.replica.Includes(from.ID) || !n.replica.IsMember() || q.Holder != from.ID {
		n.dropped.NotMember++
		return
	}
	reply := n.answerLease(q, now)
	if link := n.links[from.IP]; link != nil {
		link.Send(&wire.Message{LeaseReply: reply})
	}
}

func (n *Node) onLeaseReply(from string, p *wire.LeaseReply, now time.Duration) {
	hasQuorum := func(has func(string) bool) bool { return replica.HasQuorum(n.replica.Members(), has) }
	for _, s := range n.shards {
		if s.resource() != p.Resource {
			continue
		}
		if !s.holder.HandleReply(from, p, hasQuorum, now) {
			n.dropped.EarlierIncarnation++
		}
		n.updateOwnership(s, now)
	}
}

func (s *shard) resource() string { return s.holder.Resource() }

// updateOwnership creates an empty table for each new lease, and drops it when the lease ends.
func (n *Node) updateOwnership(s *shard, now time.Duration) {
	holds := s.holder.Holds(now)
	switch {
	case holds && s.term != s.holder.Term():
		n.replica.NoteLeaseParticipation()
		s.acquiredAt = now
		s.term, s.table = s.holder.Term(), hostlist.NewTable(s.number, s.holder.Term())
		s.slowHosts = slowHosts{detector: slowhost.NewDetector()}
		if s.limits == nil { // otherwise the shard is kept under a higher term
			s.limits, s.startGranted = n.newLimits(s, now), false
		}
		n.nextReadAt = now
		n.log.Info("acquired shard", "shard", s.number, "term", s.term)
	case !holds && s.table != nil:
		s.term, s.table, s.limits, s.fullMessage = 0, nil, nil, nil
		s.lostAt = now
		n.log.Info("lost shard", "shard", s.number)
	}
	hasQuorum := func(has func(string) bool) bool { return replica.HasQuorum(n.replica.Members(), has) }
	if holds && !s.startGranted && now <= s.acquiredAt+startAmountWindow && s.holder.FollowsLongTenure(hasQuorum) {
		s.startGranted = true
		s.limits.AddStartAmount(now)
	}
}

// HostsRead handles the result of a read of the host list. The result is discarded if the read began before the shard
// was acquired or took too long, since it may be older than what the previous owner has published.
func (n *Node) HostsRead(hosts []wire.Host, err error) {
	n.readingHosts = false
	now := n.now()
	switch {
	case err != nil:
		n.counters.countHostListRead(hostListFailed)
		n.log.Debug("cannot read host list", "error", err)
		return
	case now > n.readStartedAt+hostlist.ReadTimeout:
		n.counters.countHostListRead(hostListOutdated)
		return
	}
	n.counters.countHostListRead(hostListRead)
	for _, s := range n.shards {
		if s.table == nil || !s.holder.Holds(now) || n.readStartedAt < s.acquiredAt {
			continue
		}
		var own []wire.Host
		for _, h := range hosts {
			if hostlist.ShardOf(h.Service) == s.number {
				own = append(own, h)
			}
		}
		if change := s.table.Replace(own); change != nil {
			n.publish(&wire.Message{Hosts: change})
		}
	}
}

// onQuotaRequest draws from a limit if this node owns its shard.
func (n *Node) onQuotaRequest(from *subscriber, q *wire.QuotaRequest) {
	if int(q.Shard) >= len(n.shards) {
		return
	}
	s, now := n.shards[q.Shard], n.now()
	name, limit, known := n.limitOf(q)
	owns := s.limits != nil && s.holder.Holds(now)
	if !owns || !known {
		n.dropped.QuotaNotOwned++
		n.log.Debug("ignoring quota request", "shard", q.Shard, "limit", name, "owns", owns, "known", known)
		return
	}
	grant := s.limits.Take(name, limit, quota.Request{Need: q.Need, Want: q.Want}, now)
	from.conn.Send(&wire.Message{QuotaGrant: &wire.QuotaGrant{Router: q.Router, Number: q.Number,
		Incarnation: q.Incarnation, ReplyTo: q.ReplyTo,
		Granted: grant.Amount, Spare: grant.Spare, ValidMS: grant.Valid.Milliseconds(),
		DelayMS: wire.CeilMS(grant.Delay), RetryAfterMS: grant.RetryAfter.Milliseconds()}})
}

// limitOf returns the limit that a request draws from, according to the committed configuration, and its bucket's name.
func (n *Node) limitOf(q *wire.QuotaRequest) (name string, limit quota.Limit, known bool) {
	if q.Service != "" {
		return "service " + q.Service, quota.RetryLimit(&n.settings.Bounds), n.services[q.Service]
	}
	tenant := n.tenants[q.Tenant]
	if tenant == nil {
		return "tenant " + q.Tenant, quota.Limit{}, false
	}
	return "tenant " + q.Tenant, quota.LimitOf(tenant, &n.settings.Bounds), true
}
