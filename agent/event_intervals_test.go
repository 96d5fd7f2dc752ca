package agent

import (
	"testing"

	"gotest.tools/v3/assert"

	"ivybank/wire"
)

// Event intervals are sent to the owner of the shard only, and a list of slow hosts from a former owner is not passed
// on.
func TestEventIntervalsGoToOwnerAndOldSlowHostsAreDropped(t *testing.T) {
	env := newTestEnv()
	intervals := &wire.Message{EventIntervals: &wire.EventIntervals{Shard: 1, Service: "s", Hosts: []wire.HostEventInterval{{Host: "h", Microseconds: 5}}}}
	env.agent.OnRouterMessage(env, intervals) // no owner is known: the message is dropped
	env.deliver("10.0.0.2", &wire.Message{Hosts: &wire.Hosts{Shard: 1, At: wire.HostsOffset{Term: 7, Offset: 1}, Full: true}})
	env.agent.OnRouterMessage(env, intervals)
	for ip, link := range env.links {
		sent := 0
		for _, m := range link.sent {
			if m.EventIntervals != nil {
				sent++
			}
		}
		assert.Equal(t, sent == 1, ip == "10.0.0.2", "%s got the event intervals %d times", ip, sent)
	}
	for _, term := range []uint64{6, 7, 8} {
		env.deliver("10.0.0.2", &wire.Message{SlowHosts: &wire.SlowHosts{Shard: 1, Term: term}})
	}
	env.deliver("10.0.0.2", &wire.Message{SlowHosts: &wire.SlowHosts{Shard: 99, Term: 9}})
	var terms []uint64
	for _, m := range env.toRouter {
		if m.SlowHosts != nil {
			terms = append(terms, m.SlowHosts.Term)
		}
	}
	assert.DeepEqual(t, terms, []uint64{7, 8})
}
