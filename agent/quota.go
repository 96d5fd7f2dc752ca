package agent

import (
	"time"

	"ivybank/wire"
)

// relayValidity is how long an agent through which a reply came is preferred as the relay.
const relayValidity = 2 * time.Second

// relay is the agent of another machine through which quota requests are sent while this agent cannot reach their
// owner.
type relay struct {
	ip        string
	repliedAt time.Duration // when a reply last came through the relay
	nextIndex int           // into the known agents, when each is tried in turn
}

// onQuotaRequest forwards a router's quota request to the owner of the shard, or to an agent that may reach it.
func (a *Agent) onQuotaRequest(m *wire.Message) {
	request := m.QuotaRequest
	if int(request.Shard) >= len(a.hostTables) {
		return
	}
	if link := a.ownerLink(request.Shard); link != nil && !request.Relay {
		link.Send(m)
		return
	}
	relayIP := a.relayAgent()
	if relayIP == "" {
		return
	}
	relayed := *request
	relayed.Relay, relayed.ReplyTo = false, a.settings.IP
	a.env.SendDatagram(relayIP, &wire.Message{QuotaRequest: &relayed})
}

// ownerLink returns the link to the owner of a shard; nil if the owner is unknown or the link is down.
func (a *Agent) ownerLink(shard uint32) wire.LinkHandle {
	if int(shard) >= len(a.hostTables) {
		return nil
	}
	if link := a.links[a.hostTables[shard].source]; link != nil && link.Up() {
		return link
	}
	return nil
}

// relayAgent chooses the agent through which a request is sent: the one through which a reply came recently,
// otherwise each in turn.
func (a *Agent) relayAgent() string {
	if a.relay.ip != "" && a.env.Now() < a.relay.repliedAt+relayValidity {
		return a.relay.ip
	}
	others := a.env.KnownAgentIPs()
	for range others {
		a.relay.nextIndex++
		if ip := others[a.relay.nextIndex%len(others)]; ip != a.settings.IP {
			return ip
		}
	}
	return ""
}

// onQuotaGrant passes an owner's reply on to the router of this machine, or to the agent that relayed the request
// here.
func (a *Agent) onQuotaGrant(m *wire.Message) {
	if replyTo := m.QuotaGrant.ReplyTo; replyTo != "" && replyTo != a.settings.IP {
		a.env.SendDatagram(replyTo, m)
		return
	}
	a.sendToRouters(m)
}

// OnDatagram handles a message from the agent of another machine. Quota requests are forwarded to the owner only,
// never to another relay.
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
		a.relay.ip, a.relay.repliedAt = from, a.env.Now()
		a.sendToRouters(m)
	}
}
