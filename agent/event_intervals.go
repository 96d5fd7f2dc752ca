package agent

import "ivybank/wire"

// forwardEventIntervals forwards the event intervals that a router measured to the owner of the shard. Without a link
// to the owner they are dropped, as they are useful only for a moment.
func (a *Agent) forwardEventIntervals(m *wire.Message) {
	if link := a.ownerLink(m.EventIntervals.Shard); link != nil {
		link.Send(m)
	}
}

// onSlowHosts passes a list of slow hosts on to the router of this machine, unless a newer owner of the shard is
// known.
func (a *Agent) onSlowHosts(m *wire.Message) {
	if int(m.SlowHosts.Shard) >= len(a.hostTables) || m.SlowHosts.Term < a.hostTables[m.SlowHosts.Shard].At.Term {
		return
	}
	a.sendToRouters(m)
}
