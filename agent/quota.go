package agent

import (
	"time"

	"ivybank/wire"
)

// relayTrusted is how long an agent that has passed a question on is taken before others.
const relayTrusted = 2 * time.Second

// relay is another machine's agent that questions about limits go through, while this one doesn't reach their owner.
type relay struct {
	ip    string
	heard time.Duration // when an answer came through it
	tries int
}

// onQuotaRequest passes a router's question on to the owner of the shard, or to an agent that may reach it.
func (a *Agent) onQuotaRequest(m *wire.Message) {
	q := m.QuotaRequest
	if int(q.Shard) >= len(a.tables) {
		return
	}
	if link := a.ownerLink(q.Shard); link != nil && !q.Relay {
		link.Send(m)
		return
	}
	through := a.relayAgent()
	if through == "" {
		return
	}
	relayed := *q
	relayed.Relay, relayed.ReplyTo = false, a.settings.IP
	a.env.SendDatagram(through, &wire.Message{QuotaRequest: &relayed})
}

// ownerLink gives the link to the owner of a shard; nil where it isn't known or the link is down.
func (a *Agent) ownerLink(shard uint32) wire.LinkHandle {
	if int(shard) >= len(a.tables) {
		return nil
	}
	if link := a.links[a.tables[shard].source]; link != nil && link.Up() {
		return link
	}
	return nil
}

// relayAgent chooses the agent that a question goes through: the one that brought an answer of late, else one after
// the other.
func (a *Agent) relayAgent() string {
	if a.relay.ip != "" && a.env.Now() < a.relay.heard+relayTrusted {
		return a.relay.ip
	}
	others := a.env.KnownAgents()
	for range others {
		a.relay.tries++
		if ip := others[a.relay.tries%len(others)]; ip != a.settings.IP {
			return ip
		}
	}
	return ""
}

// onQuotaGrant hands an owner's answer to the router of this machine, or to the agent that had it asked.
func (a *Agent) onQuotaGrant(m *wire.Message) {
	if to := m.QuotaGrant.ReplyTo; to != "" && to != a.settings.IP {
		a.env.SendDatagram(to, m)
		return
	}
	a.toRouters(m)
}

// OnDatagram takes what another machine's agent says. Questions are passed on to the owner and no further.
func (a *Agent) OnDatagram(from string, m *wire.Message) {
	switch {
	case m.QuotaRequest != nil:
		link := a.ownerLink(m.QuotaRequest.Shard)
		if link == nil || m.QuotaRequest.ReplyTo != from {
			a.dropped.Relayed++
			return
		}
		link.Send(m)
	case m.QuotaGrant != nil && m.QuotaGrant.ReplyTo == a.settings.IP:
		a.relay.ip, a.relay.heard = from, a.env.Now()
		a.toRouters(m)
	}
}
