package control

import (
	"maps"
	"slices"
	"time"

	"ivybank/wire"
)

// watchReplySlack is how long after a watch's deadline its reply may still arrive.
const watchSlack = 500 * time.Millisecond

// forwardedCall is a call that was forwarded to the leader of its part and has no reply yet.
type passedCall struct {
	call *partCall
	to   wire.Member
}

// forward sends a call to the leader of its part. It returns false, with nothing sent, if no leader is known or
// reachable.
func (n *Node) passOn(c *partCall, now time.Duration) bool {
	leader := c.part.replica.Leader(now)
	link := n.links[leader.IP]
	reachable := link != nil && link.Up() && n.callers[leader.IP] > 0 // the reply arrives over the leader's own link
	if leader.ID == "" || leader.ID == n.replica.Self().ID || !reachable {
		return false
	}
	command := c.command
	if c.isWatch() {
		command.WaitMS = max(0, (c.until - now).Milliseconds())
	}
	request := &wire.PartCall{Number: n.nextPassed, Incarnation: n.life, Command: command}
	if !c.isWatch() {
		request.WaitedMS = max(0, (now - c.since).Milliseconds())
	}
	if !link.Send(&wire.Message{PartCall: request}) {
		return false
	}
	n.passed[n.nextPassed] = &passedCall{c, leader}
	n.nextPassed++
	return true
}

// onPartCall serves a call that another process has forwarded, and sends the answer back.
func (n *Node) onPartCall(from wire.Member, q *wire.PartCall) {
	reply := func(a wire.Answer) {
		if link := n.links[from.IP]; link != nil {
			link.Send(&wire.Message{PartReply: &wire.PartReply{Number: q.Number, Incarnation: q.Incarnation, Answer: a}})
		}
	}
	since := n.now() - time.Duration(q.WaitedMS)*time.Millisecond
	n.accept(&partCall{command: q.Command, since: since, passed: true, answer: reply})
}

// onPartReply passes the leader's answer to the caller. If the leader has executed nothing, the call is queued again
// to be forwarded once more.
func (n *Node) onPartReply(r *wire.PartReply) {
	if r.Incarnation != n.life {
		n.dropped.EarlierLife++
		return
	}
	passed := n.passed[r.Number]
	if passed == nil {
		return
	}
	delete(n.passed, r.Number)
	if r.Answer.Outcome == wire.NotServed {
		passed.call.retryAt = n.now() + rerouteEvery
		n.enqueue(passed.call)
		return
	}
	passed.call.finish(r.Answer)
}

// expireForwarded ends the wait for replies that can't be expected any more: the process has disconnected or isn't the
// leader any more, or the caller has timed out. Reads are retried; any other call may already have been executed.
func (n *Node) givePassedUp(now time.Duration) {
	for _, number := range slices.Sorted(maps.Keys(n.passed)) {
		passed := n.passed[number]
		c := passed.call
		leader := c.part.replica.Leader(now)
		replaced := leader.ID != "" && leader.ID != passed.to.ID
		if c.finished() || replaced || n.callers[passed.to.IP] == 0 || c.overdue(now) {
			delete(n.passed, number)
			n.giveUp(c, now)
		}
	}
}

// overdue reports whether the reply to a forwarded call would arrive too late.
func (c *partCall) overdue(now time.Duration) bool {
	if c.isWatch() {
		return now > c.until+watchSlack
	}
	return now > c.since+callerPatience
}

func (n *Node) giveUp(c *partCall, now time.Duration) {
	switch {
	case c.finished():
	case c.isRead() && !c.overdue(now):
		n.enqueue(c)
	default:
		n.leaveUnanswered(c, silentPassed)
	}
}
