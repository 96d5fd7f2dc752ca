package control

import (
	"maps"
	"slices"
	"time"

	"ivybank/wire"
)

// watchSlack is how much longer than a watch waits its answer may take on its way.
const watchSlack = 500 * time.Millisecond

// passedCall is a call that was passed on to the leader of its part and has no reply yet.
type passedCall struct {
	call *partCall
	to   wire.Member
}

// passOn sends a call to the leader of its part. It reports false where none is known or reached: then nothing was sent.
func (n *Node) passOn(c *partCall, now time.Duration) bool {
	leader := c.part.replica.Leader(now)
	link := n.links[leader.IP]
	reachable := link != nil && link.Up() && n.callers[leader.IP] > 0 // the answer comes over the leader's own link
	if leader.ID == "" || leader.ID == n.replica.Self().ID || !reachable {
		return false
	}
	command := c.command
	if c.isWatch() {
		command.WaitMS = max(0, (c.until - now).Milliseconds())
	}
	request := &wire.PartCall{Number: n.nextPassed, Life: n.life, Command: command}
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

// onPartCall serves a call that another process has passed on, and sends the answer back.
func (n *Node) onPartCall(from wire.Member, q *wire.PartCall) {
	reply := func(a wire.Answer) {
		if link := n.links[from.IP]; link != nil {
			link.Send(&wire.Message{PartReply: &wire.PartReply{Number: q.Number, Life: q.Life, Answer: a}})
		}
	}
	since := n.now() - time.Duration(q.WaitedMS)*time.Millisecond
	n.accept(&partCall{command: q.Command, since: since, passed: true, answer: reply})
}

// onPartReply hands the leader's answer to the caller. Where the leader has done nothing, the call is still this node's to
// hand on.
func (n *Node) onPartReply(r *wire.PartReply) {
	if r.Life != n.life {
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

// givePassedUp ends the wait for replies that can no longer be expected: from a process that has disconnected, or that no
// longer leads, and to callers that have gone elsewhere. Reads are handed on anew; what else was sent may have been done.
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

// overdue says whether the reply to a call that was passed on would come too late.
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
