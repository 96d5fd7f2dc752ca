package agent

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ivybank/settings"
	"ivybank/wire"
)

// stand is an agent with links that a test speaks over.
type stand struct {
	now   time.Duration
	links map[string]*testLink
	agent *Agent
	fed   []*wire.Message // to the router
	peers []string        // other agents
	sent  []sentDatagram
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

func (s *stand) Now() time.Duration      { return s.now }
func (s *stand) KnownControls() []string { return []string{"10.0.0.9"} }
func (s *stand) Introduce(...string)     {}
func (s *stand) KnownAgents() []string   { return s.peers }
func (s *stand) SendDatagram(ip string, m *wire.Message) {
	s.sent = append(s.sent, sentDatagram{ip, m})
}
func (s *stand) LinkHandle(ip string, _ wire.Hello, events wire.LinkEvents) wire.LinkHandle {
	l := &testLink{events: events}
	s.links[ip] = l
	return l
}

// Send takes what the router is fed.
func (s *stand) Send(m *wire.Message) bool { s.fed = append(s.fed, m); return true }

func newStand() *stand {
	s := &stand{links: map[string]*testLink{}}
	s.agent = NewAgent(&settings.Settings{NodeName: "n", IP: "10.0.1.1", Seeds: []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}},
		hclog.NewNullLogger(), s)
	s.agent.OnRouterMessage(s, &wire.Message{Subscribe: &wire.Subscribe{}})
	return s
}

func (s *stand) tell(ip string, m *wire.Message) { s.links[ip].events.Received(m) }

func (s *stand) revision() int64 {
	newest := int64(0)
	for _, m := range s.fed {
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

func TestFirstConfigurationNeedsALeadersWord(t *testing.T) {
	s := newStand()
	s.tell("10.0.0.1", configMessage(4, false))
	s.now = time.Minute
	s.agent.Tick()
	assert.Equal(t, s.revision(), int64(0), "however long no leader is heard")
	s.tell("10.0.0.2", configMessage(6, true))
	assert.Equal(t, s.revision(), int64(6))
	s.tell("10.0.0.1", configMessage(5, true))
	assert.Equal(t, s.revision(), int64(6), "an older one is never taken")
	s.tell("10.0.0.1", configMessage(8, false))
	assert.Equal(t, s.revision(), int64(8), "a newer one is committed, whoever tells it")
}

func TestWordWithoutABodyAsksForIt(t *testing.T) {
	s := newStand()
	s.tell("10.0.0.1", configMessage(4, false))
	s.tell("10.0.0.2", &wire.Message{Config: &wire.Config{Revision: 6, Current: true}})
	assert.Equal(t, s.revision(), int64(0))
	sent := s.links["10.0.0.2"].sent
	assert.Assert(t, len(sent) == 1 && sent[0].Subscribe != nil)
	s.tell("10.0.0.1", &wire.Message{Config: &wire.Config{Revision: 4, Current: true}})
	assert.Equal(t, s.revision(), int64(4))
}

func TestMembersOfAnOlderEntryAreNotTaken(t *testing.T) {
	s := newStand()
	s.tell("10.0.0.1", configMessage(4, true))
	s.tell("10.0.0.1", groupMessage(7, 3, 9, "10.0.0.1", "10.0.0.2", "10.0.0.4"))
	s.tell("10.0.0.3", groupMessage(7, 2, 50, "10.0.0.1", "10.0.0.2", "10.0.0.3"))
	for _, m := range s.fed {
		assert.Assert(t, m.Group == nil, "a router has no use for members")
	}
	s.now = time.Second
	s.agent.Tick()
	assert.Assert(t, s.links["10.0.0.4"] != nil && !s.links["10.0.0.4"].closed)
	assert.Assert(t, s.links["10.0.0.3"].closed, "a machine that is no member is left")
	assert.Equal(t, s.agent.dropped.OldGroups, int64(1))
}

func TestSeedsAreAskedWhileNoLeaderIsHeard(t *testing.T) {
	s := newStand()
	s.tell("10.0.0.1", configMessage(4, true))
	s.tell("10.0.0.1", groupMessage(7, 3, 9, "10.0.0.1"))
	s.agent.Tick()
	assert.Assert(t, s.links["10.0.0.2"].closed)
	s.now = confirmedFor + time.Second // the one member that it knows is cut off from all others
	s.agent.Tick()
	assert.Assert(t, !s.links["10.0.0.2"].closed && s.links["10.0.0.9"] != nil)
}

func TestControlProcessOfAnotherFleetIsLeft(t *testing.T) {
	s := newStand()
	s.tell("10.0.0.1", groupMessage(7, 3, 9, "10.0.0.1", "10.0.0.2"))
	s.tell("10.0.0.1", configMessage(4, true))
	s.tell("10.0.0.2", groupMessage(8, 90, 90, "10.0.0.2"))
	assert.Assert(t, s.links["10.0.0.2"].closed)
	s.tell("10.0.0.2", configMessage(900, true))
	s.tell("10.0.0.2", &wire.Message{Hosts: &wire.Hosts{At: wire.HostsOffset{Term: 99, Offset: 1}, Whole: true}})
	assert.Equal(t, s.revision(), int64(4))
	for _, m := range s.fed {
		assert.Assert(t, m.Hosts == nil)
	}
}

func TestHostsUnderAnOldFencingNumberAreNotTaken(t *testing.T) {
	s := newStand()
	hosts := func(term, offset uint64) *wire.Message {
		return &wire.Message{Hosts: &wire.Hosts{At: wire.HostsOffset{Term: term, Offset: offset}, Whole: true}}
	}
	count := func() (n int) {
		for _, m := range s.fed {
			if m.Hosts != nil {
				n++
			}
		}
		return n
	}
	s.tell("10.0.0.1", hosts(5, 2))
	s.tell("10.0.0.2", hosts(4, 9))
	s.tell("10.0.0.1", hosts(5, 1))
	assert.Equal(t, count(), 1)
	asked := s.links["10.0.0.2"].sent
	assert.Equal(t, asked[len(asked)-1].Subscribe.Hosts[0], wire.HostsOffset{Term: 5, Offset: 2}, "the owner learns to raise its number")
	// A router that has seen more than this life of the agent tells so.
	s.agent.OnRouterMessage(s, &wire.Message{Subscribe: &wire.Subscribe{Hosts: map[uint32]wire.HostsOffset{0: {Term: 8, Offset: 3}}}})
	s.tell("10.0.0.2", hosts(7, 1))
	assert.Equal(t, count(), 1)
	s.tell("10.0.0.2", hosts(9, 1))
	assert.Equal(t, count(), 2)
}

func TestARouterThatConnectsIsFedWhatIsHeld(t *testing.T) {
	s := newStand()
	s.tell("10.0.0.1", groupMessage(7, 3, 9, "10.0.0.1"))
	s.tell("10.0.0.1", configMessage(4, true))
	s.tell("10.0.0.1", &wire.Message{Hosts: &wire.Hosts{At: wire.HostsOffset{Term: 5, Offset: 2}, Whole: true, Updated: []wire.Host{{ID: "h"}}}})
	s.agent.RouterDisconnected(s)
	s.fed = nil
	s.agent.OnRouterMessage(s, &wire.Message{Subscribe: &wire.Subscribe{}})
	assert.Equal(t, s.agent.Routers(), 1)
	assert.Equal(t, len(s.fed), 2)
	assert.Equal(t, s.fed[0].Config.Revision, int64(4))
	assert.Equal(t, s.fed[1].Hosts.Updated[0].ID, "h")
}

func TestDrawsGoToTheOwnerOfTheShard(t *testing.T) {
	s := newStand()
	ask := &wire.Message{QuotaRequest: &wire.QuotaRequest{Shard: 1, Number: 3, Life: 5}}
	s.agent.OnRouterMessage(s, ask) // no owner is known: dropped
	s.tell("10.0.0.3", &wire.Message{Hosts: &wire.Hosts{Shard: 1, At: wire.HostsOffset{Term: 5, Offset: 2}, Whole: true}})
	s.agent.OnRouterMessage(s, ask)
	sent := s.links["10.0.0.3"].sent
	assert.Assert(t, len(sent) == 1 && sent[0] == ask)
	s.agent.OnRouterMessage(s, &wire.Message{QuotaRequest: &wire.QuotaRequest{Shard: 77}})
}
