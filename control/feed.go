package control

import "ivybank/wire"

// subscriber is an agent that tails the feed.
type subscriber struct {
	conn *wire.Conn
}

// acceptAgent serves one agent's connection.
func (n *Node) acceptAgent(conn *wire.Conn) {
	s := &subscriber{conn: conn}
	defer n.do(func() { delete(n.subscribers, s) })
	for {
		m, err := conn.Receive()
		if err != nil {
			return
		}
		switch {
		case m.Subscribe != nil:
			n.do(func() { n.subscribe(s, m.Subscribe) })
		case m.QuotaRequest != nil:
			n.do(func() { n.onQuotaRequest(s, m.QuotaRequest) })
		}
	}
}

// subscribe brings an agent up to date; from then on it gets each change.
func (n *Node) subscribe(s *subscriber, q *wire.Subscribe) {
	n.subscribers[s] = struct{}{}
	if n.group != nil {
		s.conn.Send(&wire.Message{Group: n.group})
	}
	if n.feed != nil {
		s.conn.Send(n.configMessage(q.Config))
	}
	now := n.now()
	for _, shard := range n.shards {
		have := q.Hosts[shard.number]
		shard.holder.AtLeast(have.Term)
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
	c.Current = n.replica.Leading(n.now())
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
	if n.feedMessage == nil || n.feedMessage.Config.Revision != c.Revision || n.feedMessage.Config.Current != c.Current {
		n.feedMessage = (&wire.Message{Config: c}).Prepare()
	}
	return n.feedMessage
}

func (n *Node) publish(m *wire.Message) {
	m.Prepare()
	for s := range n.subscribers {
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

// publishGroup tells agents who the members are; each second anew, with the word of the leader that their
// configuration is current.
func (n *Node) publishGroup() {
	members := n.replica.Members()
	if len(members) == 0 {
		return
	}
	n.group = &wire.Group{Members: members, Routers: len(n.subscribers)}
	if n.state != nil {
		n.group.Routers = max(n.group.Routers, n.state.Routers)
	}
	n.publish(&wire.Message{Group: n.group})
	if n.feed != nil && n.replica.Leading(n.now()) {
		n.publish(&wire.Message{Config: n.configFor(n.feed.Revision)})
	}
}
