package control

import (
	"time"

	"ivybank/control/hostlist"
	"ivybank/wire"
)

// link is a connection that its owner wants to maintain.
type link struct {
	sim      *simulation
	owner    *process
	to       string
	hello    wire.Hello
	events   wire.LinkEvents
	closed   bool
	conn     *connection
	redialAt time.Duration
}

func (l *link) Send(m *wire.Message) bool { return l.conn != nil && l.conn.send(true, m) }
func (l *link) Up() bool                  { return l.conn != nil && l.conn.open[0] }
func (l *link) Redial()                   { l.redialAt = 0 }
func (l *link) Close() {
	l.closed = true
	if l.conn != nil {
		l.conn.end(0)
	}
}

// connection carries frames in both directions, in order. End 0 belongs to the link's owner.
type connection struct {
	sim       *simulation
	link      *link
	server    *nodeProcess
	open      [2]bool
	lastHeard [2]time.Duration // when an end last received a byte from the other
	queue     [2][]frame       // frames to each end
	agent     *subscriber
}

type frame struct {
	due     time.Duration
	message *wire.Message
}

// serverEnd sends for the process that has accepted a connection.
type serverEnd struct{ *connection }

func (e serverEnd) Send(m *wire.Message) bool { return e.send(false, m) }

func (c *connection) processOf(end int) *process {
	if end == 0 {
		return c.link.owner
	}
	return &c.server.process
}

func (c *connection) send(byOwner bool, m *wire.Message) bool {
	from, to := 1, 0
	if byOwner {
		from, to = 0, 1
	}
	if !c.open[from] {
		return false
	}
	if !byOwner {
		c.server.checkFeed(m)
	}
	ips := [2]string{c.link.owner.machine.ip, c.server.machine.ip}
	due := c.sim.now + c.sim.timing.frame(ips[from], ips[to])
	if m.Append != nil && m.Append.Entry != nil && c.sim.slowLinks[[2]string{ips[from], ips[to]}] > c.sim.now {
		due += slowEntry
	}
	if c.sim.delayedLinks[[2]string{ips[from], ips[to]}] > c.sim.now {
		due += c.sim.randomSpan(longestFrameHeld)
	}
	if n := len(c.queue[to]); n > 0 {
		due = max(due, c.queue[to][n-1].due)
	}
	c.queue[to] = append(c.queue[to], frame{due, m})
	return true
}

// checkFeed checks what a control process may send to agents: hosts and grants only while it owns the shard, and that a
// configuration is current only while it is the leader.
func (p *nodeProcess) checkFeed(m *wire.Message) {
	now := p.Now()
	switch {
	case m.Hosts != nil && !p.node.shards[m.Hosts.Shard].holder.Holds(now):
		p.sim.fail("%s sends hosts without the lease", p.machine.ip)
	case m.QuotaGrant != nil && !p.node.shards[hostlist.ShardOf("t")].holder.Holds(now):
		p.sim.fail("%s grants from a limit without the lease", p.machine.ip)
	case m.Config != nil && m.Config.Current && !p.node.replica.Leading(now):
		p.sim.fail("%s confirms a configuration as current without being the leader", p.machine.ip)
	}
}

// end closes one end. What it has sent is still delivered, or is lost if the connection is reset.
func (c *connection) end(end int) {
	if !c.open[end] {
		return
	}
	c.open[end] = false
	c.queue[end] = nil
	if c.sim.random.IntN(2) == 0 {
		c.queue[1-end] = nil
	}
	if end == 1 && !c.server.dead {
		if c.link.hello.Role == wire.RoleControl {
			c.server.node.PeerDisconnected(wire.Member{ID: c.link.hello.Node, IP: c.link.hello.IP})
		} else {
			c.server.node.AgentDisconnected(c.agent)
		}
		c.server.node.Flush()
	}
}

// connect tries to establish a link.
func (sim *simulation) connect(l *link) {
	m := sim.machineAt(l.to)
	if l.owner.dead || l.closed || sim.now < l.redialAt || !l.owner.machine.running(sim.now) {
		return
	}
	l.redialAt = sim.now + sim.timing.firstRedial + sim.randomSpan(sim.timing.longestRedial-sim.timing.firstRedial)
	from := l.owner.machine.ip
	if m == nil || m.node == nil || !m.running(sim.now) || sim.isBlocked(from, l.to) || sim.isBlocked(l.to, from) {
		return
	}
	c := &connection{sim: sim, link: l, server: m.node, open: [2]bool{true, true},
		lastHeard: [2]time.Duration{sim.now, sim.now}}
	l.conn = c
	m.node.inbound = append(m.node.inbound, c)
	if l.hello.Role == wire.RoleControl {
		m.node.node.PeerConnected(wire.Member{ID: l.hello.Node, IP: l.hello.IP}, serverEnd{c})
	} else {
		c.agent = &subscriber{conn: serverEnd{c}}
	}
	m.node.node.Flush()
	if l.events.Subscribe != nil {
		c.send(true, l.events.Subscribe())
	}
	if l.events.Connected != nil {
		l.events.Connected()
		l.owner.machine.node.node.Flush()
	}
}

// carry delivers the frames that are due, and closes an end that has heard nothing for silenceLimit.
func (sim *simulation) carry(c *connection) {
	ips := [2]string{c.link.owner.machine.ip, c.server.machine.ip}
	for end := range 2 {
		receiver := c.processOf(end)
		if !c.open[end] || receiver.dead || !receiver.machine.running(sim.now) {
			continue
		}
		cut := sim.isBlocked(ips[1-end], ips[end])
		for !cut && c.open[end] && len(c.queue[end]) > 0 && c.queue[end][0].due <= sim.now {
			m := c.queue[end][0].message
			c.queue[end] = c.queue[end][1:]
			c.lastHeard[end] = sim.now
			c.deliver(end, m)
		}
		sender := c.processOf(1 - end)
		if !cut && c.open[1-end] && !sender.dead && sender.machine.running(sim.now) {
			c.lastHeard[end] = sim.now // heartbeats
		}
		closedByPeer := !cut && (!c.open[1-end] || sender.dead) && len(c.queue[end]) == 0
		if closedByPeer || sim.now > c.lastHeard[end]+silenceLimit {
			c.end(end)
		}
	}
}

func (c *connection) deliver(end int, m *wire.Message) {
	if end == 0 {
		c.link.events.Received(m)
		if owner := c.link.owner.machine.node; owner != nil && &owner.process == c.link.owner {
			owner.node.Flush()
		}
		return
	}
	node := c.server.node
	if c.link.hello.Role == wire.RoleControl {
		node.OnPeerMessage(wire.Member{ID: c.link.hello.Node, IP: c.link.hello.IP}, m)
	} else {
		node.OnAgentMessage(c.agent, m)
	}
	node.Flush()
}
