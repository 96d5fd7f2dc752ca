package control

import (
	"maps"
	"slices"
	"time"

	"ivybank/wire"
)

// watchReplySlack is how long after a watch's deadline its reply may still arrive.
const watchReplySlack = 500 * time.Millisecond

// forwardedCall is a call that was forwarded to the leader of its part and has no reply yet.
type forwardedCall struct {
	call *partCall
	to   wire.Member
}

// forward sends a call to the leader of its part. It returns false, with nothing sent, if no leader is known or
// reachable.
func (n *Node) forward(c *partCall, now time.Duration) bool {
	leader := c.part.replica.Leader(now)
	link := n.links[leader.IP]
	reachable := link != nil && link.Up() && n.inboundPeers[leader.IP] > 0 // the reply arrives over the leader's own link
	if leader.ID == "" || leader.ID == n.replica.Self().ID || !reachable {
		return false
	}
	command := c.command
	if c.isWatch() {
		command.WaitMS = max(0, (c.deadline - now).Milliseconds())
	}
	request := &wire.PartCall{Number: n.nextForwardNumber, Incarnation: n.incarnation, Command: command}
	if !c.isWatch() {
		request.WaitedMS = max(0, (now - c.receivedAt).Milliseconds())
	}
	if !link.Send(&wire.Message{PartCall: request}) {
		return false
	}
	n.forwarded[n.nextForwardNumber] = &forwardedCall{c, leader}
	n.nextForwardNumber++
	return true
}

// onPartCall serves a call that another process has forwarded, and sends the answer back.
func (n *Node) onPartCall(from wire.Member, q *wire.PartCall) {
	reply := func(a wire.Answer) {
		if link := n.links[from.IP]; link != nil {
			link.Send(&wire.Message{PartReply: &wire.PartReply{Number: q.Number, Incarnation: q.Incarnation, Answer: a}})
		}
	}
	receivedAt := n.now() - time.Duration(q.WaitedMS)*time.Millisecond
	n.admit(&partCall{command: q.Command, receivedAt: receivedAt, forwarded: true, respond: reply})
}

// onPartReply passes the leader's answer to the caller. If the leader has executed nothing, the call is queued again
// to be forwarded once more.
func (n *Node) onPartReply(r *wire.PartReply) {
	if r.Incarnation != n.incarnation {
		n.dropped.EarlierIncarnation++
		return
	}
	forwarded := n.forwarded[r.Number]
	if forwarded == nil {
		return
	}
	delete(n.forwarded, r.Number)
	if r.Answer.Outcome == wire.NotServed {
		forwarded.call.retryAt = n.now() + rerouteInterval
		n.enqueue(forwarded.call)
		return
	}
	forwarded.call.finish(r.Answer)
}

// expireForwarded ends the wait for replies that can't be expected any more: the process has disconnected or isn't the
// leader any more, or the caller has timed out. Reads are retried; any other call may already have been executed.
func (n *Node) expireForwarded(now time.Duration) {
	for _, number := range slices.Sorted(maps.Keys(n.forwarded)) {
		forwarded := n.forwarded[number]
		c := forwarded.call
		leader := c.part.replica.Leader(now)
		replaced := leader.ID != "" && leader.ID != forwarded.to.ID
		if c.finished() || replaced || n.inboundPeers[forwarded.to.IP] == 0 || c.overdue(now) {
			delete(n.forwarded, number)
			n.giveUpForwarded(c, now)
		}
	}
}

// overdue reports whether the reply to a forwarded call would arrive too late.
func (c *partCall) overdue(now time.Duration) bool {
	if c.isWatch() {
		return now > c.deadline+watchReplySlack
	}
	return now > c.receivedAt+callerTimeout
}

func (n *Node) giveUpForwarded(c *partCall, now time.Duration) {
	switch {
	case c.finished():
	case c.isRead() && !c.overdue(now):
		n.enqueue(c)
	default:
		n.closeUnanswered(c, unansweredForwarded)
	}
}
