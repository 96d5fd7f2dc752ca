package control

import (
	"maps"
	"slices"

	"ivybank/wire"
)

// syncLinks keeps a link to each other member, and to each control process that is connected to this one: it may be
// learning. While this node has to ask for its place, it tries the seeds and what peers have told of.
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
	n.links[ip] = n.env.LinkHandle(ip, hello, events)
}

// followReach tells the replica once this node and another one are connected in both ways: a question gets its answer then.
func (n *Node) followReach(ip string) {
	if link := n.links[ip]; link != nil && link.Up() && n.callers[ip] > 0 {
		for _, r := range n.replicas {
			r.PeerReachable(ip, n.now())
		}
	}
}

// onGroup learns of members that a node that has to ask for its place may ask.
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

// linked gives the addresses to which there are links, in a fixed order, so that a simulated run repeats.
func (n *Node) linked() []string { return slices.Sorted(maps.Keys(n.links)) }

// followMembers keeps links, leases and subscribers in step with the members of the newest entry.
func (n *Node) followMembers() {
	entry := n.replica.Newest()
	if entry == nil || entry.Position() == n.memberSince {
		return
	}
	changed := !slices.Equal(n.members, entry.Members)
	n.memberSince, n.members = entry.Position(), entry.Members
	if changed {
		n.granter.Pause(n.now())
		n.log.Info("members", "entry", entry.Index, "members", entry.Members)
		n.syncLinks()
		n.publishGroup()
	}
}

// IsStranger says whether a process that has connected belongs to another fleet, whose address is this machine's now.
func (n *Node) IsStranger(hello wire.Hello) bool {
	own := n.replica.Fleet()
	strange := hello.Fleet != 0 && own != 0 && hello.Fleet != own
	if strange {
		n.dropped.OtherFleet++
	}
	return strange
}

// PeerConnected tells that another control process has connected, and how it is reached over that connection.
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

// PeerDisconnected tells that such a connection has ended.
func (n *Node) PeerDisconnected(from wire.Member) {
	if n.callers[from.IP]--; n.callers[from.IP] == 0 {
		delete(n.callers, from.IP)
		n.givePassedUp(n.now())
	}
}

// OnPeerMessage takes what another control process says. Answers go over the own link to it.
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
