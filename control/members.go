package control

import (
	"maps"
	"slices"

	"ivybank/wire"
)

// syncLinks keeps a link to each other member and to each control process that is connected to this one, which may be a
// learner. While this node needs to join a group, it also tries the seeds and the addresses learned from peers.
func (n *Node) syncLinks() {
	addresses := []string{}
	for _, m := range n.allMembers() {
		addresses = append(addresses, m.IP)
	}
	for ip := range n.inboundPeers {
		addresses = append(addresses, ip)
	}
	if n.needsToJoin(n.now()) {
		addresses = append(addresses, n.settings.SeedIPs()...)
		addresses = append(addresses, n.env.KnownControlIPs()...)
	}
	slices.Sort(addresses)
	for _, ip := range slices.Compact(addresses) {
		n.openLink(ip)
	}
	for _, ip := range n.linkedIPs() {
		if !slices.Contains(addresses, ip) && n.replica.IsMember() {
			n.links[ip].Close()
			delete(n.links, ip)
		}
	}
}

func (n *Node) openLink(ip string) {
	if ip == n.settings.IP || n.links[ip] != nil {
		return
	}
	self := n.replica.Self()
	hello := wire.Hello{Role: wire.RoleControl, Node: self.ID, IP: self.IP, Fleet: n.replica.Fleet()}
	events := wire.LinkEvents{Received: n.onGroup, Connected: func() { n.updateReachability(ip) }}
	n.links[ip] = n.env.OpenLink(ip, hello, events)
}

// updateReachability tells the replicas once this node and a peer are connected in both directions, so that requests
// can be answered.
func (n *Node) updateReachability(ip string) {
	if link := n.links[ip]; link != nil && link.Up() && n.inboundPeers[ip] > 0 {
		for _, r := range n.replicas {
			r.PeerReachable(ip, n.now())
		}
	}
}

// onGroup connects to the members of the group, while this node needs to join.
func (n *Node) onGroup(m *wire.Message) {
	if m.Group == nil || !n.needsToJoin(n.now()) {
		return
	}
	for _, member := range m.Group.Members {
		n.openLink(member.IP)
	}
}

func (n *Node) sendToAllLinks(m *wire.Message) {
	for _, ip := range n.linkedIPs() {
		n.links[ip].Send(m)
	}
}

// linkedIPs returns the addresses that have a link, sorted, so that a simulated run is reproducible.
func (n *Node) linkedIPs() []string { return slices.Sorted(maps.Keys(n.links)) }

// syncMembers updates links, leases and subscribers when the newest entry changes the members.
func (n *Node) syncMembers() {
	entry := n.replica.Newest()
	if entry == nil || entry.Position() == n.membersPosition {
		return
	}
	changed := !slices.Equal(n.members, entry.Members)
	n.membersPosition, n.members = entry.Position(), entry.Members
	if changed {
		n.granter.Pause(n.now())
		n.log.Info("members changed", "entry", entry.Index, "members", entry.Members)
		n.syncLinks()
		n.publishGroup()
	}
}

// FromOtherFleet reports whether a connecting process belongs to another fleet, which once used this machine's address.
func (n *Node) FromOtherFleet(hello wire.Hello) bool {
	own := n.replica.Fleet()
	foreign := hello.Fleet != 0 && own != 0 && hello.Fleet != own
	if foreign {
		n.dropped.OtherFleet++
	}
	return foreign
}

// PeerConnected handles a connection from another control process. back sends messages over that connection.
func (n *Node) PeerConnected(from wire.Member, back wire.Sender) {
	n.inboundPeers[from.IP]++
	n.syncLinks()
	if link := n.links[from.IP]; link != nil {
		link.Redial()
	}
	n.updateReachability(from.IP)
	if group := n.currentGroup(); group != nil {
		back.Send(&wire.Message{Group: group})
	}
}

// PeerDisconnected handles the end of a connection from another control process.
func (n *Node) PeerDisconnected(from wire.Member) {
	if n.inboundPeers[from.IP]--; n.inboundPeers[from.IP] == 0 {
		delete(n.inboundPeers, from.IP)
		n.expireForwarded(n.now())
	}
}

// OnPeerMessage handles a message from another control process. Replies go over this node's own link to it.
func (n *Node) OnPeerMessage(from wire.Member, m *wire.Message) {
	now := n.now()
	switch {
	case m.LeaseRequest != nil:
		n.onLeaseRequest(from, m.LeaseRequest, now)
	case m.LeaseReply != nil:
		n.onLeaseReply(from.ID, m.LeaseReply, now)
	case m.PartCall != nil:
		n.onPartCall(from, m.PartCall)
	case m.PartReply != nil:
		n.onPartReply(m.PartReply)
	default:
		n.receive(from, m, now)
	}
}
