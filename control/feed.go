package control

import (
	"slices"

	"ivybank/wire"
)

// subscriber is an agent that tails the feed.
type subscriber struct {
	conn wire.Sender
}

// AgentDisconnected forgets an agent's connection.
func (n *Node) AgentDisconnected(s *subscriber) {
	n.subscribers = slices.DeleteFunc(n.subscribers, func(other *subscriber) bool { return other == s })
}

// OnAgentMessage takes what an agent says.
func (n *Node) OnAgentMessage(s *subscriber, m *wire.Message) {
	switch {
	case m.Subscribe != nil:
		n.subscribe(s, m.Subscribe)
	case m.QuotaRequest != nil:
		n.onQuotaRequest(s, m.QuotaRequest)
	case m.Paces != nil:
		n.onPaces(m.Paces)
	}
}

// subscribe brings an agent up to date; from then on it gets each change.
func (n *Node) subscribe(s *subscriber, q *wire.Subscribe) {
	if !slices.Contains(n.subscribers, s) {
		n.subscribers = append(n.subscribers, s)
	}
	if group := n.currentGroup(); group != nil {
		s.conn.Send(&wire.Message{Group: group})
	}
	if n.feed != nil {
		s.conn.Send(n.configMessage(q.Config))
	}
	now := n.now()
	for _, shard := range n.shards {
		have := q.Hosts[shard.number]
		shard.holder.RaiseTermFloor(have.Term)
		if !shard.holder.Holds(now) || shard.table == nil {
			continue
		}
		for _, change := range shard.table.Since(have) {
			s.conn.Send(shard.message(change))
		}
	}
}

// configFor gives the configuration as one agent needs it: without its body where the agent holds it already.
func (n *Node) configFor(held int64) *wire.Config {
	c := *n.feed
	c.Current, c.At = n.replica.Leading(n.now()), n.stateAt
	if held >= c.Revision {
		c.Body = nil
	}
	return &c
}

// configMessage is configFor as a message. The one with the body is encoded once for as long as it holds.
func (n *Node) configMessage(held int64) *wire.Message {
	c := n.configFor(held)
	if len(c.Body) == 0 {
		return &wire.Message{Config: c}
	}
	if n.feedMessage == nil || n.feedMessage.Config.At != c.At || n.feedMessage.Config.Current != c.Current {
		n.feedMessage = (&wire.Message{Config: c}).Prepare()
	}
	return n.feedMessage
}

func (n *Node) publish(m *wire.Message) {
	m.Prepare()
	for _, s := range n.subscribers {
		s.conn.Send(m)
	}
}

// publishConfig feeds the committed configuration if it is a new one.
func (n *Node) publishConfig() {
	if n.state.Revision == 0 || n.feed != nil && n.feed.Revision == n.state.Revision {
		return
	}
	n.feed = &wire.Config{Revision: n.state.Revision, Body: wire.Deflate(n.state.Body)}
	n.publish(n.configMessage(0))
}

// currentGroup gives the members by the newest entry; nil before the first.
func (n *Node) currentGroup() *wire.Group {
	entry := n.replica.Newest()
	if entry == nil {
		return nil
	}
	return &wire.Group{Members: entry.Members, At: entry.Position(), Fleet: entry.Fleet}
}

// publishGroup tells agents who the members are; each second anew, with the word of the leader that their
// configuration is current.
func (n *Node) publishGroup() {
	group := n.currentGroup()
	if group == nil {
		return
	}
	n.publish(&wire.Message{Group: group})
	if n.feed != nil && n.replica.Leading(n.now()) {
		n.publish(&wire.Message{Config: n.configFor(n.feed.Revision)})
	}
}
