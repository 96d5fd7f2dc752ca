package control

import (
	"maps"
	"slices"

	"ivybank/wire"
)

// syncLinks keeps a link to each other member and to each control process that is connected to this one, which may be a
// learner. While this node needs to join a group, it also tries the seeds and the addresses learned from peers.
func (n *Node) syncLinks() {
	want := []string{}
	for _, m := range n.allMembers() {
		want = append(want, m.IP)
	}
	for ip := range n.callers {
		want = append(want, ip)
	}
	if n.needsToJoin(n.now()) {
		want = append(want, n.settings.SeedIPs()...)
		want = append(want, n.env.KnownControls()...)
	}
	slices.Sort(want)
	for _, ip := range slices.Compact(want) {
		n.openLink(ip)
	}
	for _, ip := range n.linked() {
		if !slices.Contains(want, ip) && n.replica.IsMember() {
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
	events := wire.LinkEvents{Received: n.onGroup, Connected: func() { n.followReach(ip) }}
	n.links[ip] = n.env.OpenLink(ip, hello, events)
}

// updateReachability tells the replicas once this node and a peer are connected in both directions, so that requests
// can be answered.
func (n *Node) followReach(ip string) {
	if link := n.links[ip]; link != nil && link.Up() && n.callers[ip] > 0 {
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

func (n *Node) toAllLinks(m *wire.Message) {
	for _, ip := range n.linked() {
		n.links[ip].Send(m)
	}
}

// linkedIPs returns the addresses that have a link, sorted, so that a simulated run is reproducible.
func (n *Node) linked() []string { return slices.Sorted(maps.Keys(n.links)) }

// syncMembers updates links, leases and subscribers when the newest entry changes the members.
func (n *Node) followMembers() {
	entry := n.replica.Newest()
	if entry == nil || entry.Position() == n.memberSince {
		return
	}
	changed := !slices.Equal(n.members, entry.Members)
	n.memberSince, n.members = entry.Position(), entry.Members
	if changed {
		n.granter.Pause(n.now())
		n.log.Info("members changed", "entry", entry.Index, "members", entry.Members)
		n.syncLinks()
		n.publishGroup()
	}
}

// FromOtherFleet reports whether a connecting process belongs to another fleet, which once used this machine's address.
func (n *Node) IsStranger(hello wire.Hello) bool {
	own := n.replica.Fleet()
	strange := hello.Fleet != 0 && own != 0 && hello.Fleet != own
	if strange {
		n.dropped.OtherFleet++
	}
	return strange
}

// PeerConnected handles a connection from another control process. back sends messages over that connection.
func (n *Node) PeerConnected(from wire.Member, back wire.Sender) {
	n.callers[from.IP]++
	n.syncLinks()
	if link := n.links[from.IP]; link != nil {
		link.Redial()
	}
	n.followReach(from.IP)
	if group := n.currentGroup(); group != nil {
		back.Send(&wire.Message{Group: group})
	}
}

// PeerDisconnected handles the end of a connection from another control process.
func (n *Node) PeerDisconnected(from wire.Member) {
	if n.callers[from.IP]--; n.callers[from.IP] == 0 {
		delete(n.callers, from.IP)
		n.givePassedUp(n.now())
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
