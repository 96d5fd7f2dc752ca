package control

import (
	"slices"
	"time"

	"ivybank/control/coordination"
	"ivybank/control/replica"
	"ivybank/wire"
)

const (
	// callerPatience is after how long a caller takes silence for a failure and goes elsewhere: a call that is older is dropped.
	callerPatience = time.Second
	// queuePatience is how long a call waits for its turn at a leader before it is refused, so that the caller still hears it.
	queuePatience = 600 * time.Millisecond
	// leaderPatience is how long a call waits for a leader to be known: about as long as a planned change of leader takes.
	leaderPatience = 150 * time.Millisecond
	rerouteEvery   = 50 * time.Millisecond // between attempts to hand one call to a leader
	watchInterval  = 25 * time.Millisecond // between looks at watches whose time may be over
	maxBatch       = 256                   // commands of one entry
	maxQueuedCalls = 2048                  // of one part
	maxWatches     = 4096                  // of one part
)

// partCall is one call of an application: taken from the caller, or passed on by another control process.
type partCall struct {
	command wire.Command
	part    *part
	since   time.Duration // when it was taken from the caller
	until   time.Duration // when a watch has waited long enough
	passed  bool          // another process has passed it on, and passes it on again itself if need be
	retryAt time.Duration // before which it isn't handed to a leader anew
	answer  func(wire.Answer)
}

// finish gives the answer. Only the first one counts.
func (c *partCall) finish(a wire.Answer) {
	if answer := c.answer; answer != nil {
		c.answer = nil
		answer(a)
	}
}

func (c *partCall) finishWith(o wire.Outcome) { c.finish(wire.Answer{Outcome: o}) }

// refuse answers that nothing was done.
func (n *Node) refuse(c *partCall, why refusal) {
	if !c.finished() {
		n.counts.refused(why)
		c.finishWith(wire.NotServed)
	}
}

// leaveUnanswered ends a call of which nothing can be told.
func (n *Node) leaveUnanswered(c *partCall, why silence) {
	if !c.finished() {
		n.counts.unanswered(why)
		c.finishWith(wire.OutcomeUnknown)
	}
}

func (c *partCall) finished() bool { return c.answer == nil }

func (c *partCall) isWatch() bool { return c.command.Kind == wire.WatchGroup }

// isRead says whether the call may be carried out more than once.
func (c *partCall) isRead() bool { return c.isWatch() || c.command.Kind == wire.GetKey }

// refusalDue says whether a call that is still queued has to be refused. A watch waits for a leader as long as it would for a
// put.
func (c *partCall) refusalDue(now time.Duration, leading bool) bool {
	switch {
	case c.isWatch():
		return now >= max(c.until, c.since+leaderPatience)
	case leading:
		return now > c.since+queuePatience
	default:
		return now > c.since+leaderPatience
	}
}

// takeCall takes a call of an application that came in at a moment of the steady clock. answer is called at most once, in
// the loop; with OutcomeUnknown the caller gets no answer.
func (n *Node) takeCall(command wire.Command, since time.Duration, answer func(wire.Answer)) *partCall {
	c := &partCall{command: command, since: since, answer: answer}
	n.accept(c)
	return c
}

// accept checks a call and serves it.
func (n *Node) accept(c *partCall) {
	now := n.now()
	switch {
	case len(n.parts) == 0:
		n.refuse(c, refusedNoLeader)
		return
	case coordination.Check(&c.command) != nil:
		c.finishWith(wire.Invalid)
		return
	}
	if c.isWatch() {
		c.until = c.since + time.Duration(c.command.WaitMS)*time.Millisecond
	}
	c.part = n.parts[coordination.PartOf(&c.command, len(n.parts))]
	if now > c.since+callerPatience {
		n.leaveUnanswered(c, silentLate)
		return
	}
	n.serveCall(c, now)
}

// callerLeft tells that the caller's connection has ended: a call that is still queued is dropped.
func (n *Node) callerLeft(c *partCall) { c.answer = nil }

// serveCall answers a call from memory, queues it for the next entry, or passes it on to the leader.
func (n *Node) serveCall(c *partCall, now time.Duration) {
	p := c.part
	if p.replica.Role() == replica.Leader {
		if !n.answerFromMemory(c, now) {
			n.enqueue(c)
		}
		return
	}
	if c.passed {
		n.refuse(c, refusedNotLeader)
		return
	}
	if now < c.retryAt || !n.passOn(c, now) {
		n.enqueue(c)
	}
}

// enqueue has a call wait for its turn, or refuses it where too many wait.
func (n *Node) enqueue(c *partCall) {
	p := c.part
	if len(p.queue) >= maxQueuedCalls {
		n.refuse(c, refusedQueueFull)
		return
	}
	p.queue = append(p.queue, c)
}

// answerFromMemory answers what needs no entry, while this node's lease holds. The lease is checked here, in the loop, at the
// moment at which the state is read, so whatever delays the answer afterwards does no harm.
func (n *Node) answerFromMemory(c *partCall, now time.Duration) bool {
	p := c.part
	if !p.replica.Leading(now) {
		return false
	}
	if a, decided := p.machine.Answer(&c.command, p.replica.GroupTime(now)); decided {
		c.finish(a)
		return true
	}
	if !c.isWatch() {
		return false
	}
	switch {
	case now >= c.until:
		c.finish(wire.Answer{Outcome: wire.Done, Revision: p.machine.Revision(c.command.Name)})
	case len(p.watches) >= maxWatches:
		c.finishWith(wire.Full)
	default:
		p.watches = append(p.watches, c)
	}
	return true
}

// serveParts delivers what was committed, and goes on with what waits.
func (n *Node) serveParts() {
	now := n.now()
	for _, p := range n.parts {
		n.deliver(p)
		n.serveWatches(p, now)
		n.serveQueue(p, now)
		n.proposeCalls(p, now)
	}
}

// deliver answers the calls of the entry that was under way, once its outcome is known. An entry that this leader could not
// commit may be committed by the next one or never, so its callers get no answer.
func (n *Node) deliver(p *part) {
	if p.proposed == nil {
		return
	}
	stillLeads := p.replica.Role() == replica.Leader && p.replica.Term() == p.proposedAt.Term
	switch {
	case stillLeads && p.replica.Committed().Position() != p.proposedAt:
		n.leaveLateUnanswered(p)
		return
	case !stillLeads || len(p.machine.Answers) != len(p.proposed):
		for _, c := range p.proposed {
			n.leaveUnanswered(c, silentLeaderLost)
		}
	default:
		for i, c := range p.proposed {
			c.finish(p.machine.Answers[i])
		}
	}
	p.proposed = nil
}

// leaveLateUnanswered ends the calls of the entry under way whose callers have gone elsewhere meanwhile.
func (n *Node) leaveLateUnanswered(p *part) {
	now := n.now()
	for _, c := range p.proposed {
		if now > c.since+callerPatience {
			n.leaveUnanswered(c, silentLate)
		}
	}
}

// serveQueue looks at each waiting call once.
func (n *Node) serveQueue(p *part, now time.Duration) {
	if len(p.queue) == 0 {
		return
	}
	waiting := p.queue
	p.queue = nil
	leading := p.replica.Leading(now)
	for _, c := range waiting {
		switch {
		case c.finished():
		case c.refusalDue(now, leading) && leading:
			n.refuse(c, refusedWaited)
		case c.refusalDue(now, leading):
			n.refuse(c, refusedNoLeader)
		default:
			n.serveCall(c, now)
		}
	}
}

// proposeCalls makes the next entry of what waits, once the one before is committed. A node that is about to stop makes none,
// so that it can hand over.
func (n *Node) proposeCalls(p *part, now time.Duration) {
	if n.stopping || p.proposed != nil || len(p.queue) == 0 || !p.replica.Leading(now) || p.replica.HasUncommitted() {
		return
	}
	count := min(len(p.queue), maxBatch)
	calls := p.queue[:count:count]
	commands := make([]wire.Command, 0, count)
	for _, c := range calls {
		commands = append(commands, c.command)
	}
	at, err := p.replica.Propose(coordination.Encode(commands), now)
	if err != nil {
		return // it stays queued
	}
	p.queue = p.queue[count:]
	p.proposed, p.proposedAt = calls, at
}

// serveWatches tells watches what has come, and hands those that wait on a node that has lost its lease to the next leader.
func (n *Node) serveWatches(p *part, now time.Duration) {
	if len(p.watches) == 0 {
		return
	}
	leads := p.replica.Role() == replica.Leader
	if leads && !p.replica.Leading(now) {
		return // until the lease is renewed or given up
	}
	if at := p.replica.Committed().Position(); leads && at == p.watchedAt && now < p.watchAgain {
		return
	}
	p.watchedAt, p.watchAgain = p.replica.Committed().Position(), now+watchInterval
	waiting := p.watches
	p.watches = nil
	for _, c := range waiting {
		if !c.finished() {
			n.serveCall(c, now)
		}
	}
}

// callsUnderWay counts calls that have been taken and not been answered; watches aside.
func (n *Node) callsUnderWay() int {
	count := 0
	for _, p := range n.parts {
		for _, c := range slices.Concat(p.queue, p.proposed) {
			if !c.finished() && !c.isWatch() {
				count++
			}
		}
	}
	for _, passed := range n.passed {
		if !passed.call.finished() && !passed.call.isWatch() {
			count++
		}
	}
	return count
}
