package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/wire"
)

// standWithOwner knows an owner of shard 1, and two other agents.
func standWithOwner() *stand {
	s := newStand()
	s.peers = []string{"10.0.1.1", "10.0.1.2", "10.0.1.3"}
	s.tell("10.0.0.3", &wire.Message{Hosts: &wire.Hosts{Shard: 1, At: wire.HostsOffset{Term: 5, Offset: 2}, Full: true}})
	return s
}

func question(relay bool) *wire.Message {
	return &wire.Message{QuotaRequest: &wire.QuotaRequest{Router: "n", Shard: 1, Number: 3, Incarnation: 5, Relay: relay}}
}

func grantFor(replyTo string) *wire.Message {
	return &wire.Message{QuotaGrant: &wire.QuotaGrant{Router: "n", Number: 3, Incarnation: 5, ReplyTo: replyTo}}
}

func TestQuestionsGoAnotherWayWhereTheOwnerIsNotReached(t *testing.T) {
	s := standWithOwner()
	s.agent.OnRouterMessage(s, question(false))
	assert.Equal(t, len(s.links["10.0.0.3"].sent), 1)
	assert.Equal(t, len(s.sent), 0)

	s.agent.OnRouterMessage(s, question(true)) // the owner was silent
	s.links["10.0.0.3"].closed = true
	s.agent.OnRouterMessage(s, question(false)) // the link is down
	s.agent.OnRouterMessage(s, question(false))
	assert.Equal(t, len(s.links["10.0.0.3"].sent), 1)
	assert.Equal(t, len(s.sent), 3)
	asked := map[string]bool{}
	for _, d := range s.sent {
		asked[d.to] = true
		assert.DeepEqual(t, *d.message.QuotaRequest, wire.QuotaRequest{Router: "n", Shard: 1, Number: 3, Incarnation: 5, ReplyTo: "10.0.1.1"})
	}
	assert.DeepEqual(t, asked, map[string]bool{"10.0.1.2": true, "10.0.1.3": true})

	s.agent.OnDatagram("10.0.1.3", grantFor("10.0.1.1"))
	assert.Equal(t, s.fed[len(s.fed)-1].QuotaGrant.Number, uint64(3))
	for range 4 {
		s.agent.OnRouterMessage(s, question(true))
		assert.Equal(t, s.sent[len(s.sent)-1].to, "10.0.1.3", "one that has answered is asked again")
	}
	s.now += relayTrusted
	s.agent.OnRouterMessage(s, question(true))
	s.agent.OnRouterMessage(s, question(true))
	assert.Assert(t, s.sent[len(s.sent)-1].to != s.sent[len(s.sent)-2].to, "until it is silent")
	s.peers = nil
	s.agent.OnRouterMessage(s, question(true))
}

func TestQuestionsOfOthersArePassedOnOnce(t *testing.T) {
	s := standWithOwner()
	asked := &wire.Message{QuotaRequest: &wire.QuotaRequest{Router: "other", Shard: 1, ReplyTo: "10.0.1.2"}}
	s.agent.OnDatagram("10.0.1.2", asked)
	assert.Equal(t, len(s.links["10.0.0.3"].sent), 1)
	s.tell("10.0.0.3", grantFor("10.0.1.2"))
	assert.Equal(t, s.sent[0].to, "10.0.1.2")
	assert.Equal(t, len(s.fed), 1, "the answer is not for the router of this machine")
	s.tell("10.0.0.3", grantFor("10.0.1.1"))
	s.tell("10.0.0.3", grantFor(""))
	assert.Equal(t, len(s.fed), 3)

	s.agent.OnDatagram("10.0.1.3", asked) // the answer would go to another machine than the one that asks
	s.agent.OnDatagram("10.0.1.2", &wire.Message{QuotaRequest: &wire.QuotaRequest{Shard: 77, ReplyTo: "10.0.1.2"}})
	s.links["10.0.0.3"].closed = true
	s.agent.OnDatagram("10.0.1.2", asked) // never a second time by way of others
	assert.Equal(t, s.agent.dropped.Relayed, int64(3))
	assert.Equal(t, len(s.sent), 1)
	s.agent.OnDatagram("10.0.1.2", grantFor("10.0.1.9"))
	s.agent.OnDatagram("10.0.1.2", &wire.Message{})
	assert.Equal(t, len(s.fed), 3)
	assert.Assert(t, s.agent.relay.heard == time.Duration(0))
}
