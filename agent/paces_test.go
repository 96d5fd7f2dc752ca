package agent

import (
	"testing"

	"gotest.tools/v3/assert"

	"ivybank/wire"
)

// Paces go to the owner of the shard alone; the word of an owner before on slow hosts is not handed on.
func TestPacesGoToTheOwnerAndOldWordsNowhere(t *testing.T) {
	s := newStand()
	paces := &wire.Message{EventIntervals: &wire.EventIntervals{Shard: 1, Service: "s", Hosts: []wire.HostEventInterval{{Host: "h", Microseconds: 5}}}}
	s.agent.OnRouterMessage(s, paces) // no owner is known: it is dropped
	s.tell("10.0.0.2", &wire.Message{Hosts: &wire.Hosts{Shard: 1, At: wire.HostsOffset{Term: 7, Offset: 1}, Whole: true}})
	s.agent.OnRouterMessage(s, paces)
	for ip, link := range s.links {
		told := 0
		for _, m := range link.sent {
			if m.EventIntervals != nil {
				told++
			}
		}
		assert.Equal(t, told == 1, ip == "10.0.0.2", "%s was told %d times", ip, told)
	}
	for _, term := range []uint64{6, 7, 8} {
		s.tell("10.0.0.2", &wire.Message{SlowHosts: &wire.SlowHosts{Shard: 1, Term: term}})
	}
	s.tell("10.0.0.2", &wire.Message{SlowHosts: &wire.SlowHosts{Shard: 99, Term: 9}})
	var terms []uint64
	for _, m := range s.fed {
		if m.SlowHosts != nil {
			terms = append(terms, m.SlowHosts.Term)
		}
	}
	assert.DeepEqual(t, terms, []uint64{7, 8})
}
