package agent

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ivybank/settings"
	"ivybank/wire"
)

// testEnv is an agent in a test environment: the test sends messages over its links.
type testEnv struct {
	now      time.Duration
	links    map[string]*testLink
	agent    *Agent
	toRouter []*wire.Message // messages sent to the router
	peers    []string        // IPs of other agents
	sent     []sentDatagram
}

type sentDatagram struct {
	to      string
	message *wire.Message
}

type testLink struct {
	events wire.LinkEvents
	sent   []*wire.Message
	closed bool
}

func (l *testLink) Send(m *wire.Message) bool { l.sent = append(l.sent, m); return true }
func (l *testLink) Up() bool                  { return !l.closed }
func (l *testLink) Redial()                   {}
func (l *testLink) Close()                    { l.closed = true }

func (env *testEnv) Now() time.Duration        { return env.now }
func (env *testEnv) KnownControlIPs() []string { return []string{"10.0.0.9"} }
func (env *testEnv) AddControlIPs(...string)   {}
func (env *testEnv) KnownAgentIPs() []string   { return env.peers }
func (env *testEnv) SendDatagram(ip string, m *wire.Message) {
	env.sent = append(env.sent, sentDatagram{ip, m})
}
func (env *testEnv) OpenLink(ip string, _ wire.Hello, events wire.LinkEvents) wire.LinkHandle {
	l := &testLink{events: events}
	env.links[ip] = l
	return l
}

// Send records what the agent sends to the router.
func (env *testEnv) Send(m *wire.Message) bool { env.toRouter = append(env.toRouter, m); return true }

func newTestEnv() *testEnv {
	env := &testEnv{links: map[string]*testLink{}}
	env.agent = NewAgent(&settings.Settings{NodeName: "n", IP: "10.0.1.1", Seeds: []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}},
		hclog.NewNullLogger(), env)
	env.agent.OnRouterMessage(env, &wire.Message{Subscribe: &wire.Subscribe{}})
	return env
}

func (env *testEnv) deliver(ip string, m *wire.Message) { env.links[ip].events.Received(m) }

func (env *testEnv) revision() int64 {
	newest := int64(0)
	for _, m := range env.toRouter {
		if m.Config != nil {
			newest = m.Config.Revision
		}
	}
	return newest
}

func configMessage(revision int64, current bool) *wire.Message {
	return &wire.Message{Config: &wire.Config{Revision: revision, Body: []byte{1}, Current: current, At: wire.Position{Term: 1, Index: uint64(revision)}}}
}

func groupMessage(fleet, term, index uint64, ips ...string) *wire.Message {
	g := &wire.Group{Fleet: fleet, At: wire.Position{Term: term, Index: index}}
	for _, ip := range ips {
		g.Members = append(g.Members, wire.Member{ID: ip, IP: ip})
	}
	return &wire.Message{Group: g}
}

func TestFirstConfigurationNeedsConfirmationByLeader(t *testing.T) {
	env := newTestEnv()
	env.deliver("10.0.0.1", configMessage(4, false))
	env.now = time.Minute
	env.agent.Tick()
	assert.Equal(t, env.revision(), int64(0), "not confirmed, however long no leader is heard")
	env.deliver("10.0.0.2", configMessage(6, true))
	assert.Equal(t, env.revision(), int64(6))
	env.deliver("10.0.0.1", configMessage(5, true))
	assert.Equal(t, env.revision(), int64(6), "an older one is never accepted")
	env.deliver("10.0.0.1", configMessage(8, false))
	assert.Equal(t, env.revision(), int64(8), "a newer one is committed, whoever sends it")
}

func TestConfirmationWithoutBodyRequestsTheBody(t *testing.T) {
	env := newTestEnv()
	env.deliver("10.0.0.1", configMessage(4, false))
	env.deliver("10.0.0.2", &wire.Message{Config: &wire.Config{Revision: 6, Current: true}})
	assert.Equal(t, env.revision(), int64(0))
	sent := env.links["10.0.0.2"].sent
	assert.Assert(t, len(sent) == 1 && sent[0].Subscribe != nil)
	env.deliver("10.0.0.1", &wire.Message{Config: &wire.Config{Revision: 4, Current: true}})
	assert.Equal(t, env.revision(), int64(4))
}

func TestMembersOfOlderEntryAreIgnored(t *testing.T) {
	env := newTestEnv()
	env.deliver("10.0.0.1", configMessage(4, true))
	env.deliver("10.0.0.1", groupMessage(7, 3, 9, "10.0.0.1", "10.0.0.2", "10.0.0.4"))
	env.deliver("10.0.0.3", groupMessage(7, 2, 50, "10.0.0.1", "10.0.0.2", "10.0.0.3"))
	for _, m := range env.toRouter {
		assert.Assert(t, m.Group == nil, "member lists are not sent to routers")
	}
	env.now = time.Second
	env.agent.Tick()
	assert.Assert(t, env.links["10.0.0.4"] != nil && !env.links["10.0.0.4"].closed)
	assert.Assert(t, env.links["10.0.0.3"].closed, "the link to a machine that is not a member is closed")
	assert.Equal(t, env.agent.dropped.OldGroups, int64(1))
}

func TestSeedsAreContactedWithoutLeader(t *testing.T) {
	env := newTestEnv()
	env.deliver("10.0.0.1", configMessage(4, true))
	env.deliver("10.0.0.1", groupMessage(7, 3, 9, "10.0.0.1"))
	env.agent.Tick()
	assert.Assert(t, env.links["10.0.0.2"].closed)
	env.now = confirmationValidity + time.Second // the only known member is disconnected from all others
	env.agent.Tick()
	assert.Assert(t, !env.links["10.0.0.2"].closed && env.links["10.0.0.9"] != nil)
}

func TestLinkToAnotherFleetIsClosed(t *testing.T) {
	env := newTestEnv()
	env.deliver("10.0.0.1", groupMessage(7, 3, 9, "10.0.0.1", "10.0.0.2"))
	env.deliver("10.0.0.1", configMessage(4, true))
	env.deliver("10.0.0.2", groupMessage(8, 90, 90, "10.0.0.2"))
	assert.Assert(t, env.links["10.0.0.2"].closed)
	env.deliver("10.0.0.2", configMessage(900, true))
	env.deliver("10.0.0.2", &wire.Message{Hosts: &wire.Hosts{At: wire.HostsOffset{Term: 99, Offset: 1}, Full: true}})
	assert.Equal(t, env.revision(), int64(4))
	for _, m := range env.toRouter {
		assert.Assert(t, m.Hosts == nil)
	}
}

func TestHostsWithOldFencingTokenAreIgnored(t *testing.T) {
	env := newTestEnv()
	hosts := func(term, offset uint64) *wire.Message {
		return &wire.Message{Hosts: &wire.Hosts{At: wire.HostsOffset{Term: term, Offset: offset}, Full: true}}
	}
	count := func() (n int) {
		for _, m := range env.toRouter {
			if m.Hosts != nil {
				n++
			}
		}
		return n
	}
	env.deliver("10.0.0.1", hosts(5, 2))
	env.deliver("10.0.0.2", hosts(4, 9))
	env.deliver("10.0.0.1", hosts(5, 1))
	assert.Equal(t, count(), 1)
	sent := env.links["10.0.0.2"].sent
	assert.Equal(t, sent[len(sent)-1].Subscribe.Hosts[0], wire.HostsOffset{Term: 5, Offset: 2}, "the owner learns the newer token")
	// A router may have seen a newer token than this agent process, and says so when it subscribes.
	env.agent.OnRouterMessage(env, &wire.Message{Subscribe: &wire.Subscribe{Hosts: map[uint32]wire.HostsOffset{0: {Term: 8, Offset: 3}}}})
	env.deliver("10.0.0.2", hosts(7, 1))
	assert.Equal(t, count(), 1)
	env.deliver("10.0.0.2", hosts(9, 1))
	assert.Equal(t, count(), 2)
}

func TestConnectingRouterGetsWholeState(t *testing.T) {
	env := newTestEnv()
	env.deliver("10.0.0.1", groupMessage(7, 3, 9, "10.0.0.1"))
	env.deliver("10.0.0.1", configMessage(4, true))
	env.deliver("10.0.0.1", &wire.Message{Hosts: &wire.Hosts{At: wire.HostsOffset{Term: 5, Offset: 2}, Full: true, Updated: []wire.Host{{ID: "h"}}}})
	env.agent.RouterDisconnected(env)
	env.toRouter = nil
	env.agent.OnRouterMessage(env, &wire.Message{Subscribe: &wire.Subscribe{}})
	assert.Equal(t, env.agent.RouterCount(), 1)
	assert.Equal(t, len(env.toRouter), 2)
	assert.Equal(t, env.toRouter[0].Config.Revision, int64(4))
	assert.Equal(t, env.toRouter[1].Hosts.Updated[0].ID, "h")
}

func TestQuotaRequestsGoToShardOwner(t *testing.T) {
	env := newTestEnv()
	request := &wire.Message{QuotaRequest: &wire.QuotaRequest{Shard: 1, Number: 3, Incarnation: 5}}
	env.agent.OnRouterMessage(env, request) // no owner is known: the request is dropped
	env.deliver("10.0.0.3", &wire.Message{Hosts: &wire.Hosts{Shard: 1, At: wire.HostsOffset{Term: 5, Offset: 2}, Full: true}})
	env.agent.OnRouterMessage(env, request)
	sent := env.links["10.0.0.3"].sent
	assert.Assert(t, len(sent) == 1 && sent[0] == request)
	env.agent.OnRouterMessage(env, &wire.Message{QuotaRequest: &wire.QuotaRequest{Shard: 77}})
}
