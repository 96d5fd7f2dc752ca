package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/wire"
)

// newTestEnvWithOwner knows an owner of shard 1, and two other agents.
func newTestEnvWithOwner() *testEnv {
	env := newTestEnv()
	env.peers = []string{"10.0.1.1", "10.0.1.2", "10.0.1.3"}
	env.deliver("10.0.0.3", &wire.Message{Hosts: &wire.Hosts{Shard: 1, At: wire.HostsOffset{Term: 5, Offset: 2}, Full: true}})
	return env
}

func quotaRequest(relay bool) *wire.Message {
	return &wire.Message{QuotaRequest: &wire.QuotaRequest{Router: "n", Shard: 1, Number: 3, Incarnation: 5, Relay: relay}}
}

func grantFor(replyTo string) *wire.Message {
	return &wire.Message{QuotaGrant: &wire.QuotaGrant{Router: "n", Number: 3, Incarnation: 5, ReplyTo: replyTo}}
}

func TestQuotaRequestsAreRelayedIfOwnerIsUnreachable(t *testing.T) {
	env := newTestEnvWithOwner()
	env.agent.OnRouterMessage(env, quotaRequest(false))
	assert.Equal(t, len(env.links["10.0.0.3"].sent), 1)
	assert.Equal(t, len(env.sent), 0)

	env.agent.OnRouterMessage(env, quotaRequest(true)) // the owner did not reply
	env.links["10.0.0.3"].closed = true
	env.agent.OnRouterMessage(env, quotaRequest(false)) // the link is down
	env.agent.OnRouterMessage(env, quotaRequest(false))
	assert.Equal(t, len(env.links["10.0.0.3"].sent), 1)
	assert.Equal(t, len(env.sent), 3)
	requested := map[string]bool{}
	for _, d := range env.sent {
		requested[d.to] = true
		assert.DeepEqual(t, *d.message.QuotaRequest, wire.QuotaRequest{Router: "n", Shard: 1, Number: 3, Incarnation: 5, ReplyTo: "10.0.1.1"})
	}
	assert.DeepEqual(t, requested, map[string]bool{"10.0.1.2": true, "10.0.1.3": true})

	env.agent.OnDatagram("10.0.1.3", grantFor("10.0.1.1"))
	assert.Equal(t, env.toRouter[len(env.toRouter)-1].QuotaGrant.Number, uint64(3))
	for range 4 {
		env.agent.OnRouterMessage(env, quotaRequest(true))
		assert.Equal(t, env.sent[len(env.sent)-1].to, "10.0.1.3", "an agent through which a reply came is preferred")
	}
	env.now += relayValidity
	env.agent.OnRouterMessage(env, quotaRequest(true))
	env.agent.OnRouterMessage(env, quotaRequest(true))
	assert.Assert(t, env.sent[len(env.sent)-1].to != env.sent[len(env.sent)-2].to, "until no reply comes through it any more")
	env.peers = nil
	env.agent.OnRouterMessage(env, quotaRequest(true))
}

func TestRelayedRequestsAreForwardedOnce(t *testing.T) {
	env := newTestEnvWithOwner()
	request := &wire.Message{QuotaRequest: &wire.QuotaRequest{Router: "other", Shard: 1, ReplyTo: "10.0.1.2"}}
	env.agent.OnDatagram("10.0.1.2", request)
	assert.Equal(t, len(env.links["10.0.0.3"].sent), 1)
	env.deliver("10.0.0.3", grantFor("10.0.1.2"))
	assert.Equal(t, env.sent[0].to, "10.0.1.2")
	assert.Equal(t, len(env.toRouter), 1, "the reply is not for the router of this machine")
	env.deliver("10.0.0.3", grantFor("10.0.1.1"))
	env.deliver("10.0.0.3", grantFor(""))
	assert.Equal(t, len(env.toRouter), 3)

	env.agent.OnDatagram("10.0.1.3", request) // the reply would go to another machine than the one that sent the request
	env.agent.OnDatagram("10.0.1.2", &wire.Message{QuotaRequest: &wire.QuotaRequest{Shard: 77, ReplyTo: "10.0.1.2"}})
	env.links["10.0.0.3"].closed = true
	env.agent.OnDatagram("10.0.1.2", request) // never forwarded to another relay
	assert.Equal(t, env.agent.dropped.Relayed, int64(3))
	assert.Equal(t, len(env.sent), 1)
	env.agent.OnDatagram("10.0.1.2", grantFor("10.0.1.9"))
	env.agent.OnDatagram("10.0.1.2", &wire.Message{})
	assert.Equal(t, len(env.toRouter), 3)
	assert.Assert(t, env.agent.relay.repliedAt == time.Duration(0))
}
