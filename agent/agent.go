// Package agent implements the process on each router machine that keeps the connections to the control processes. It
// follows the feeds of all of them and feeds the router of its machine over loopback: the newest configuration, the
// host lists and quota grants. It keeps feeding the router without a gap if any control process fails, and the router
// keeps serving if the agent fails.
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

// confirmationValidity is how long after a leader's confirmation the agent relies on the members that it knows. After
// that it also contacts the seeds and the control processes that peers have reported.
const confirmationValidity = 3 * time.Second

// Environment is the agent's access to the outside: sockets in production, a simulation in tests. All its callbacks
// run as events in the agent's loop.
type Environment interface {
	// Now returns the time on a monotonic clock, counted from the start of this process.
	Now() time.Duration
	// OpenLink opens a connection to the control process at an address and keeps it up.
	OpenLink(ip string, hello wire.Hello, events wire.LinkEvents) wire.LinkHandle
	// KnownControlIPs returns the addresses of control processes that peers have reported.
	KnownControlIPs() []string
	// AddControlIPs adds control processes to those that are reported to peers.
	AddControlIPs(ips ...string)
	// KnownAgentIPs returns the addresses of agents that peers have reported.
	KnownAgentIPs() []string
	// SendDatagram sends a message to the agent at an address. The message may be lost.
	SendDatagram(ip string, m *wire.Message)
}

// Agent is the state of one agent process. Its methods may only be called from its event loop.
type Agent struct {
	settings *settings.Settings
	log      hclog.Logger
	env      Environment

	links         map[string]wire.LinkHandle // by IP
	group         *wire.Group
	config        *wire.Config  // the newest configuration that the router may use
	candidate     *wire.Config  // the newest configuration received before any is confirmed as current
	confirmedAt   time.Duration // when a leader last confirmed a configuration as current
	hostTables    [hostlist.ShardCount]hostTable
	fencingTokens [hostlist.ShardCount]uint64 // highest fencing token that the router or this agent has seen, by shard
	routers       []wire.Sender
	relay         relay
	dropped       DropCounts
}

// DropCounts counts messages that were not accepted, by cause.
type DropCounts struct {
	OldGroups  int64 // member lists from an older position than the known one
	OldHosts   int64 // host lists with an older fencing token than the known one
	OtherFleet int64 // connections to control processes of another fleet
	Relayed    int64 // quota requests of other machines that could not be forwarded
}

// hostTable is the host list of one shard and the address of the control process that it comes from.
type hostTable struct {
	hostlist.Replica
	source string
}

// NewAgent returns an agent that has just started, and opens its first links.
func NewAgent(s *settings.Settings, log hclog.Logger, env Environment) *Agent {
	a := &Agent{settings: s, log: log, env: env, links: map[string]wire.LinkHandle{}, confirmedAt: -confirmationValidity}
	a.env.AddControlIPs(s.SeedIPs()...)
	a.syncLinks()
	return a
}

// Reload replaces the settings, which may have other seeds.
func (a *Agent) Reload(s *settings.Settings) {
	a.settings = s
	a.env.AddControlIPs(s.SeedIPs()...)
}

// Tick does the periodic work. It has to be called regularly.
func (a *Agent) Tick() { a.syncLinks() }

// RouterCount returns how many routers are connected.
func (a *Agent) RouterCount() int { return len(a.routers) }

// syncLinks keeps a link to each member. While no link is up, or no leader has been heard recently, it also tries the
// seeds and the control processes that peers have reported.
func (a *Agent) syncLinks() {
	want := a.memberIPs()
	if !a.anyUp(want) || a.env.Now() >= a.confirmedAt+confirmationValidity {
		want = append(want, a.settings.SeedIPs()...)
		want = append(want, a.env.KnownControlIPs()...)
	}
	slices.Sort(want)
	for _, ip := range slices.Compact(want) {
		if a.links[ip] == nil {
			a.openLink(ip)
		}
	}
	for _, ip := range slices.Sorted(maps.Keys(a.links)) { // in a fixed order, so that simulated runs are reproducible
		if !slices.Contains(want, ip) {
			a.links[ip].Close()
			delete(a.links, ip)
		}
	}
}

func (a *Agent) memberIPs() []string {
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
	link = a.env.OpenLink(ip, hello, wire.LinkEvents{
		Subscribe: func() *wire.Message { return &wire.Message{Subscribe: a.feedPosition()} },
		Received:  func(m *wire.Message) { a.onControlMessage(ip, link, m) },
	})
	a.links[ip] = link
}

// feedPosition returns what this agent holds, as the position from which to continue a feed.
func (a *Agent) feedPosition() *wire.Subscribe {
	s := &wire.Subscribe{Hosts: map[uint32]wire.HostsOffset{}}
	if a.config != nil {
		s.Config = a.config.Revision
	}
	for i := range a.hostTables {
		at := a.hostTables[i].At
		if a.fencingTokens[i] > at.Term {
			at = wire.HostsOffset{Term: a.fencingTokens[i]}
		}
		s.Hosts[uint32(i)] = at
	}
	return s
}

func (a *Agent) onControlMessage(ip string, link wire.LinkHandle, m *wire.Message) {
	if a.links[ip] != link {
		return // the link has been closed
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

// onGroup accepts a member list unless it is older than the known one: a control process that was replaced while it
// was disconnected still sends an outdated list.
func (a *Agent) onGroup(ip string, link wire.LinkHandle, m *wire.Message) {
	if a.config != nil && a.group != nil && m.Group.Fleet != a.group.Fleet {
		a.log.Warn("control process belongs to another fleet; closing the link", "ip", ip)
		a.dropped.OtherFleet++
		link.Close() // its other messages belong to that fleet too
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
			a.env.AddControlIPs(member.IP)
		}
	}
	a.group = m.Group
}

func (a *Agent) dropOldGroup(ip string, group *wire.Group) {
	a.dropped.OldGroups++
	if !slices.Equal(a.group.Members, group.Members) {
		a.log.Info("ignored a member list of an older entry", "from", ip, "members", group.Members, "dropped", a.dropped.OldGroups)
	}
}

// onConfig keeps the newest configuration. The first one must be confirmed as current by a leader: an agent that has
// just started may reach only control processes that are disconnected from the others.
func (a *Agent) onConfig(link wire.Sender, c *wire.Config) {
	if c.Current {
		a.confirmedAt = a.env.Now()
	}
	if a.config != nil {
		if c.Revision > a.config.Revision {
			a.adoptConfig(link, c)
		}
		return
	}
	if len(c.Body) > 0 && (a.candidate == nil || c.Revision >= a.candidate.Revision) {
		a.candidate = c
	}
	if c.Current {
		a.adoptConfig(link, c)
	}
}

func (a *Agent) adoptConfig(link wire.Sender, c *wire.Config) {
	if len(c.Body) == 0 {
		if a.candidate == nil || a.candidate.Revision != c.Revision {
			link.Send(&wire.Message{Subscribe: a.feedPosition()})
			return
		}
		c = &wire.Config{Revision: c.Revision, Body: a.candidate.Body, Current: c.Current, At: c.At}
	}
	a.config, a.candidate = c, nil
	a.log.Info("configuration", "revision", c.Revision)
	a.sendToRouters(&wire.Message{Config: c})
}

func (a *Agent) onHosts(ip string, link wire.Sender, c *wire.Hosts) {
	if int(c.Shard) >= len(a.hostTables) {
		return
	}
	t := &a.hostTables[c.Shard]
	if c.At.Term < max(t.At.Term, a.fencingTokens[c.Shard]) {
		a.dropped.OldHosts++
		// The owner learns the newer token from the position, and raises its own.
		link.Send(&wire.Message{Subscribe: a.feedPosition()})
		return
	}
	if c.At.Before(t.At) {
		return // a late message: the list held is newer
	}
	if !t.Apply(c) {
		link.Send(&wire.Message{Subscribe: a.feedPosition()})
		return
	}
	if t.source != ip {
		a.log.Info("owner of the shard changed", "shard", c.Shard, "ip", ip, "term", c.At.Term)
		t.source = ip
	}
	a.sendToRouters(&wire.Message{Hosts: c})
}

func (a *Agent) sendToRouters(m *wire.Message) {
	for _, router := range a.routers {
		router.Send(m)
	}
}

// RouterDisconnected removes the connection of a router.
func (a *Agent) RouterDisconnected(router wire.Sender) {
	a.routers = slices.DeleteFunc(a.routers, func(other wire.Sender) bool { return other == router })
}

// OnRouterMessage handles a message from the router of this machine.
func (a *Agent) OnRouterMessage(router wire.Sender, m *wire.Message) {
	switch {
	case m.Subscribe != nil:
		a.feedRouter(router, m.Subscribe)
	case m.QuotaRequest != nil:
		a.onQuotaRequest(m)
	case m.EventIntervals != nil:
		a.forwardEventIntervals(m)
	}
}

// feedRouter sends a router everything that is newer than what it holds.
func (a *Agent) feedRouter(router wire.Sender, sub *wire.Subscribe) {
	if !slices.Contains(a.routers, router) {
		a.routers = append(a.routers, router)
	}
	if a.config != nil && a.config.Revision > sub.Config {
		router.Send(&wire.Message{Config: a.config})
	}
	for i := range a.hostTables {
		t := &a.hostTables[i]
		held := sub.Hosts[uint32(i)]
		a.fencingTokens[i] = max(a.fencingTokens[i], held.Term)
		if t.At.Offset == 0 || !held.Before(t.At) {
			continue
		}
		whole := &wire.Hosts{Shard: uint32(i), At: t.At, Full: true}
		for _, h := range t.Hosts {
			whole.Updated = append(whole.Updated, h)
		}
		router.Send(&wire.Message{Hosts: whole})
	}
}
