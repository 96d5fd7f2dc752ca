// Package agent is the process beside each router that keeps the link to the control processes. It tails the feed of
// all of them, and feeds the router of its machine over loopback: the newest configuration, the tables of hosts and
// leases of limits. It survives the loss of any control process without a gap, and the router survives its own loss.
package agent

import (
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"ivybank/control/hostlist"
	"ivybank/settings"
	"ivybank/wire"
)

// confirmedFor is how long after a leader's word an agent takes the members that it knows for those in force. Without
// one for longer it also asks the seeds and the control processes that peers have told of.
const confirmedFor = 3 * time.Second

// Environment is what an agent needs of the world: in service sockets, in tests a simulated one. All that it tells the
// agent comes as events in the agent's loop.
type Environment interface {
	// Now is the steady clock, from the start of this life of the process.
	Now() time.Duration
	// OpenLink keeps a connection to the control process at an address.
	LinkHandle(ip string, hello wire.Hello, events wire.LinkEvents) wire.LinkHandle
	// KnownControls gives the addresses of control processes that peers have told of.
	KnownControls() []string
	// Introduce tells peers of control processes.
	Introduce(ips ...string)
	// KnownAgents gives the addresses of agents that peers have told of.
	KnownAgents() []string
	// SendDatagram sends a message to the agent at an address. It may be lost.
	SendDatagram(ip string, m *wire.Message)
}

// Agent is one life of an agent process. Its methods belong to its loop.
type Agent struct {
	settings *settings.Settings
	log      hclog.Logger
	env      Environment

	links       map[string]wire.LinkHandle // by IP
	group       *wire.Group
	config      *wire.Config  // the newest that the router may act by
	candidate   *wire.Config  // the newest that was told, before any is known to be current
	confirmedAt time.Duration // when a leader said last that a configuration is current
	tables      [hostlist.ShardCount]table
	fences      [hostlist.ShardCount]uint64 // highest fencing number that the router or this agent has seen
	routers     []wire.Sender
	relay       relay
	dropped     Dropped
}

// Dropped counts messages that were not taken, by cause.
type Dropped struct {
	OldGroups  int64 // members under an older position than is known
	OldHosts   int64 // hosts under an older fencing number than is known
	OtherFleet int64 // connections to control processes of another fleet
	Relayed    int64 // questions of other machines that could not be passed on
}

// table is one shard's hosts and the control process that they come from.
type table struct {
	hostlist.Replica
	source string
}

// NewAgent makes an agent that has just started.
func NewAgent(s *settings.Settings, log hclog.Logger, env Environment) *Agent {
	a := &Agent{settings: s, log: log, env: env, links: map[string]wire.LinkHandle{}, confirmedAt: -confirmedFor}
	a.env.Introduce(s.SeedIPs()...)
	a.syncLinks()
	return a
}

// Reload takes other settings: the seeds may be others.
func (a *Agent) Reload(s *settings.Settings) {
	a.settings = s
	a.env.Introduce(s.SeedIPs()...)
}

// Tick lets time pass.
func (a *Agent) Tick() { a.syncLinks() }

// Routers says how many routers are connected.
func (a *Agent) Routers() int { return len(a.routers) }

// syncLinks keeps a link to each member. While none is up, or none of them leads, it tries the seeds and what peers have
// told of.
func (a *Agent) syncLinks() {
	want := a.members()
	if !a.anyUp(want) || a.env.Now() >= a.confirmedAt+confirmedFor {
		want = append(want, a.settings.SeedIPs()...)
		want = append(want, a.env.KnownControls()...)
	}
	slices.Sort(want)
	for _, ip := range slices.Compact(want) {
		if a.links[ip] == nil {
			a.openLink(ip)
		}
	}
	for _, ip := range slices.Sorted(maps.Keys(a.links)) { // in a fixed order, so that a simulated run repeats
		if !slices.Contains(want, ip) {
			a.links[ip].Close()
			delete(a.links, ip)
		}
	}
}

func (a *Agent) members() []string {
	var ips []string
	if a.group != nil {
		for _, m := range a.group.Members {
			ips = append(ips, m.IP)
		}
	}
	return ips
}

func (a *Agent) anyUp(ips []string) bool {
	return slices.ContainsFunc(ips, func(ip string) bool {
		link := a.links[ip]
		return link != nil && link.Up()
	})
}

func (a *Agent) openLink(ip string) {
	hello := wire.Hello{Role: wire.RoleAgent, Node: a.settings.NodeName, IP: a.settings.IP}
	var link wire.LinkHandle
	link = a.env.LinkHandle(ip, hello, wire.LinkEvents{
		Subscribe: func() *wire.Message { return &wire.Message{Subscribe: a.position()} },
		Received:  func(m *wire.Message) { a.onControl(ip, link, m) },
	})
	a.links[ip] = link
}

// position is what this agent holds.
func (a *Agent) position() *wire.Subscribe {
	s := &wire.Subscribe{Hosts: map[uint32]wire.HostsOffset{}}
	if a.config != nil {
		s.Config = a.config.Revision
	}
	for i := range a.tables {
		at := a.tables[i].At
		if a.fences[i] > at.Term {
			at = wire.HostsOffset{Term: a.fences[i]}
		}
		s.Hosts[uint32(i)] = at
	}
	return s
}

func (a *Agent) onControl(ip string, link wire.LinkHandle, m *wire.Message) {
	if a.links[ip] != link {
		return // it has been closed
	}
	switch {
	case m.Group != nil:
		a.onGroup(ip, link, m)
	case m.Config != nil:
		a.onConfig(link, m.Config)
	case m.Hosts != nil:
		a.onHosts(ip, link, m.Hosts)
	case m.QuotaGrant != nil:
		a.onQuotaGrant(m)
	case m.SlowHosts != nil:
		a.onSlowHosts(m)
	}
}

// onGroup takes the members, unless they come from an older entry than those that are known:
// a control process that was replaced while it was cut off tells the members of long ago.
func (a *Agent) onGroup(ip string, link wire.LinkHandle, m *wire.Message) {
	if a.config != nil && a.group != nil && m.Group.Fleet != a.group.Fleet {
		a.log.Warn("a control process of another fleet is at an address of this one", "ip", ip)
		a.dropped.OtherFleet++
		link.Close() // whatever else it says is of that fleet
		delete(a.links, ip)
		return
	}
	if a.group != nil && m.Group.At.Less(a.group.At) {
		a.dropOldGroup(ip, m.Group)
		return
	}
	if a.group == nil || !slices.Equal(a.group.Members, m.Group.Members) {
		a.log.Info("members", "from", ip, "members", m.Group.Members)
		for _, member := range m.Group.Members {
			a.env.Introduce(member.IP)
		}
	}
	a.group = m.Group
}

func (a *Agent) dropOldGroup(ip string, group *wire.Group) {
	a.dropped.OldGroups++
	if !slices.Equal(a.group.Members, group.Members) {
		a.log.Info("members of an older entry not taken", "from", ip, "members", group.Members, "dropped", a.dropped.OldGroups)
	}
}

// onConfig keeps the newest configuration. The first one has to be current by the leader's word: an agent that has just
// started may hear control processes alone that are cut off from the others.
func (a *Agent) onConfig(link wire.Sender, c *wire.Config) {
	if c.Current {
		a.confirmedAt = a.env.Now()
	}
	if a.config != nil {
		if c.Revision > a.config.Revision {
			a.adopt(link, c)
		}
		return
	}
	if len(c.Body) > 0 && (a.candidate == nil || c.Revision >= a.candidate.Revision) {
		a.candidate = c
	}
	if c.Current {
		a.adopt(link, c)
	}
}

func (a *Agent) adopt(link wire.Sender, c *wire.Config) {
	if len(c.Body) == 0 {
		if a.candidate == nil || a.candidate.Revision != c.Revision {
			link.Send(&wire.Message{Subscribe: a.position()})
			return
		}
		c = &wire.Config{Revision: c.Revision, Body: a.candidate.Body, Current: c.Current, At: c.At}
	}
	a.config, a.candidate = c, nil
	a.log.Info("configuration", "revision", c.Revision)
	a.toRouters(&wire.Message{Config: c})
}

func (a *Agent) onHosts(ip string, link wire.Sender, c *wire.Hosts) {
	if int(c.Shard) >= len(a.tables) {
		return
	}
	t := &a.tables[c.Shard]
	if c.At.Term < max(t.At.Term, a.fences[c.Shard]) {
		a.dropped.OldHosts++
		link.Send(&wire.Message{Subscribe: a.position()}) // the owner learns what was fed, and raises its fencing number
		return
	}
	if c.At.Before(t.At) {
		return // come late: what is held is newer
	}
	if !t.Apply(c) {
		link.Send(&wire.Message{Subscribe: a.position()})
		return
	}
	if t.source != ip {
		a.log.Info("shard's owner", "shard", c.Shard, "ip", ip, "term", c.At.Term)
		t.source = ip
	}
	a.toRouters(&wire.Message{Hosts: c})
}

func (a *Agent) toRouters(m *wire.Message) {
	for _, router := range a.routers {
		router.Send(m)
	}
}

// RouterDisconnected forgets a router's connection.
func (a *Agent) RouterDisconnected(router wire.Sender) {
	a.routers = slices.DeleteFunc(a.routers, func(other wire.Sender) bool { return other == router })
}

// OnRouterMessage takes what the router of this machine says.
func (a *Agent) OnRouterMessage(router wire.Sender, m *wire.Message) {
	switch {
	case m.Subscribe != nil:
		a.feedRouter(router, m.Subscribe)
	case m.QuotaRequest != nil:
		a.onQuotaRequest(m)
	case m.EventIntervals != nil:
		a.onPaces(m)
	}
}

// feedRouter brings a router up to date.
func (a *Agent) feedRouter(router wire.Sender, q *wire.Subscribe) {
	if !slices.Contains(a.routers, router) {
		a.routers = append(a.routers, router)
	}
	if a.config != nil && a.config.Revision > q.Config {
		router.Send(&wire.Message{Config: a.config})
	}
	for i := range a.tables {
		t := &a.tables[i]
		has := q.Hosts[uint32(i)]
		a.fences[i] = max(a.fences[i], has.Term)
		if t.At.Offset == 0 || !has.Before(t.At) {
			continue
		}
		whole := &wire.Hosts{Shard: uint32(i), At: t.At, Whole: true}
		for _, h := range t.Hosts {
			whole.Updated = append(whole.Updated, h)
		}
		router.Send(&wire.Message{Hosts: whole})
	}
}
