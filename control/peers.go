package control

import (
	"context"
	"net"
	"slices"
	"strconv"

	"ivybank/wire"
)

// peerLink is the connection on which this node speaks to another control process.
type peerLink struct {
	*wire.Link
	stop context.CancelFunc
}

// syncLinks keeps a link to each other member, and to each control process that is connected to this one: it may be
// learning. While this node is none, it tries the seeds and what peers have told of.
func (n *Node) syncLinks(ctx context.Context) {
	want := []string{}
	for _, m := range n.replica.Members() {
		want = append(want, m.IP)
	}
	for ip := range n.callers {
		want = append(want, ip)
	}
	if !n.replica.IsMember() {
		want = append(want, n.settings.SeedIPs()...)
		want = append(want, n.peers.ControlIPs()...)
	}
	for _, ip := range want {
		if ip != n.settings.IP && n.links[ip] == nil {
			n.openLink(ctx, ip)
		}
	}
	for ip, link := range n.links {
		if !slices.Contains(want, ip) && n.replica.IsMember() {
			link.stop()
			delete(n.links, ip)
		}
	}
}

func (n *Node) openLink(ctx context.Context, ip string) {
	ctx, stop := context.WithCancel(ctx)
	self := n.replica.Self()
	link := &wire.Link{
		Address:  net.JoinHostPort(ip, strconv.Itoa(n.settings.InternalPort())),
		Hello:    wire.Hello{Role: wire.RoleControl, Node: self.ID, IP: self.IP},
		Received: func(m *wire.Message) { n.do(func() { n.onGroup(ctx, m) }) },
	}
	n.links[ip] = &peerLink{link, stop}
	go link.Run(ctx)
}

// onGroup learns of members that a node that is none has to ask.
func (n *Node) onGroup(ctx context.Context, m *wire.Message) {
	if m.Group == nil || n.replica.IsMember() {
		return
	}
	for _, member := range m.Group.Members {
		if member.IP != n.settings.IP && n.links[member.IP] == nil {
			n.openLink(context.WithoutCancel(ctx), member.IP)
		}
	}
}

func (n *Node) toAllLinks(m *wire.Message) {
	for _, link := range n.links {
		link.Send(m)
	}
}

// accept serves one incoming connection.
func (n *Node) accept(ctx context.Context, conn *wire.Conn, hello wire.Hello) {
	if hello.Role == wire.RoleControl {
		n.acceptPeer(ctx, conn, wire.Member{ID: hello.Node, IP: hello.IP})
		return
	}
	n.acceptAgent(conn)
}

// acceptPeer takes what another control process says. Answers go over the own link to it.
func (n *Node) acceptPeer(ctx context.Context, conn *wire.Conn, from wire.Member) {
	n.do(func() {
		n.callers[from.IP]++
		n.syncLinks(ctx)
		if n.group != nil {
			conn.Send(&wire.Message{Group: n.group})
		}
	})
	defer n.do(func() {
		if n.callers[from.IP]--; n.callers[from.IP] == 0 {
			delete(n.callers, from.IP)
		}
	})
	for {
		m, err := conn.Receive()
		if err != nil {
			return
		}
		n.do(func() { n.onPeerMessage(from, m) })
	}
}

func (n *Node) onPeerMessage(from wire.Member, m *wire.Message) {
	now := n.now()
	switch {
	case m.LeaseRequest != nil:
		if !n.replica.Includes(from.ID) || !n.replica.IsMember() {
			return
		}
		reply := n.granter.Answer(m.LeaseRequest, now)
		if link := n.links[from.IP]; link != nil {
			link.Send(&wire.Message{LeaseReply: reply})
		}
	case m.LeaseReply != nil:
		n.onLeaseReply(from.ID, m.LeaseReply, now)
	default:
		n.replica.Receive(from, m, now)
	}
}
