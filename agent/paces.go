package agent

import "ivybank/wire"

// onPaces passes on to the owner of the shard what a router saw of its hosts. Where the owner isn't reached it is dropped:
// it is of use for a moment only.
func (a *Agent) onPaces(m *wire.Message) {
	if link := a.ownerLink(m.EventIntervals.Shard); link != nil {
		link.Send(m)
	}
}

// onSlowHosts hands to the router of this machine what the newest owner of a shard that is known says.
func (a *Agent) onSlowHosts(m *wire.Message) {
	if int(m.SlowHosts.Shard) >= len(a.tables) || m.SlowHosts.Term < a.tables[m.SlowHosts.Shard].At.Term {
		return
	}
	a.toRouters(m)
}
