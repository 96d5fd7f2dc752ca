package control

import (
	"slices"

	"ivybank/wire"
)

// subscriber is the connection of an agent that receives configuration, membership and host updates.
type subscriber struct {
	conn wire.Sender
}

// AgentDisconnected removes a subscriber.
func (n *Node) AgentDisconnected(s *subscriber) {
	n.subscribers = slices.DeleteFunc(n.subscribers, func(other *subscriber) bool { return other == s })
}

// OnAgentMessage handles a message from an agent.
func (n *Node) OnAgentMessage(s *subscriber, m *wire.Message) {
	switch {
	case m.Subscribe != nil:
		n.subscribe(s, m.Subscribe)
	case m.QuotaRequest != nil:
		n.onQuotaRequest(s, m.QuotaRequest)
	case m.EventIntervals != nil:
		n.onEventIntervals(m.EventIntervals)
	}
}

// subscribe sends an agent what has changed since the state that it has, and adds it to the subscribers.
func (n *Node) subscribe(s *subscriber, q *wire.Subscribe) {
	if !slices.Contains(n.subscribers, s) {
		n.subscribers = append(n.subscribers, s)
	}
	if group := n.currentGroup(); group != nil {
		s.conn.Send(&wire.Message{Group: group})
	}
	if n.publishedConfig != nil {
		s.conn.Send(n.configMessage(q.Config))
	}
	now := n.now()
	for _, shard := range n.shards {
		known := q.Hosts[shard.number]
		shard.holder.RaiseTermFloor(known.Term)
		if !shard.holder.Holds(now) || shard.table == nil {
			continue
		}
		for _, change := range shard.table.Since(known) {
			s.conn.Send(shard.message(change))
		}
	}
}

// configFor returns the configuration for one agent, without the body if the agent already has this revision.
func (n *Node) configFor(knownRevision int64) *wire.Config {
	c := *n.publishedConfig
	c.Current, c.At = n.replica.Leading(n.now()), n.statePosition
	if knownRevision >= c.Revision {
		c.Body = nil
	}
	return &c
}

// configMessage returns configFor as a message. The message with the body is encoded once and reused until it changes.
func (n *Node) configMessage(knownRevision int64) *wire.Message {
	c := n.configFor(knownRevision)
	if len(c.Body) == 0 {
		return &wire.Message{Config: c}
	}
	if n.publishedConfigMessage == nil || n.publishedConfigMessage.Config.At != c.At ||
		n.publishedConfigMessage.Config.Current != c.Current {
		n.publishedConfigMessage = (&wire.Message{Config: c}).Prepare()
	}
	return n.publishedConfigMessage
}

func (n *Node) publish(m *wire.Message) {
	m.Prepare()
	for _, s := range n.subscribers {
		s.conn.Send(m)
	}
}

// publishConfig sends the committed configuration to the subscribers if its revision is new.
func (n *Node) publishConfig() {
	if n.state.Revision == 0 || n.publishedConfig != nil && n.publishedConfig.Revision == n.state.Revision {
		return
	}
	n.publishedConfig = &wire.Config{Revision: n.state.Revision, Body: wire.Deflate(n.state.Body)}
	n.publish(n.configMessage(0))
}

// currentGroup returns the members according to the newest entry, or nil before the first entry.
func (n *Node) currentGroup() *wire.Group {
	entry := n.replica.Newest()
	if entry == nil {
		return nil
	}
	return &wire.Group{Members: entry.Members, At: entry.Position(), Fleet: entry.Fleet}
}

// publishGroup sends the members to the subscribers. It runs on every change and once a second; a leader also confirms
// that their configuration is current.
func (n *Node) publishGroup() {
	group := n.currentGroup()
	if group == nil {
		return
	}
	n.publish(&wire.Message{Group: group})
	if n.publishedConfig != nil && n.replica.Leading(n.now()) {
		n.publish(&wire.Message{Config: n.configFor(n.publishedConfig.Revision)})
	}
}
