package control

import (
	"slices"
	"time"

	"ivybank/control/coordination"
	"ivybank/control/replica"
	"ivybank/wire"
)

const (
	// callerTimeout is how long a caller waits for a response before it retries elsewhere; older calls are dropped.
	callerTimeout = time.Second
	// queueTimeout is how long a call may wait in the leader's queue before it is refused. It is shorter than
	// callerTimeout, so that the refusal still reaches the caller.
	queueTimeout = 600 * time.Millisecond
	// leaderWaitTimeout is how long a call waits for a leader to become known: about the duration of a planned change
	// of leader.
	leaderWaitTimeout     = 150 * time.Millisecond
	rerouteInterval       = 50 * time.Millisecond // between attempts to forward the same call
	watchCheckInterval    = 25 * time.Millisecond // between checks for watches that have expired
	maxBatchCommands      = 256                   // commands in one log entry
	maxQueuedCallsPerPart = 2048
	maxWatchesPerPart     = 4096
)

// partCall is one application call, received from the caller or forwarded by another control process.
type partCall struct {
	command    wire.Command
	part       *part
	receivedAt time.Duration // when it was received from the caller
	deadline   time.Duration // deadline of a watch
	forwarded  bool          // forwarded by another process, which retries by itself if necessary
	retryAt    time.Duration // the earliest time of the next attempt to forward it
	respond    func(wire.Answer)
}

// finish sends the answer to the caller. Later calls are ignored.
func (c *partCall) finish(a wire.Answer) {
	if respond := c.respond; respond != nil {
		c.respond = nil
		respond(a)
	}
}

func (c *partCall) finishWith(o wire.Outcome) { c.finish(wire.Answer{Outcome: o}) }

// refuse answers that the call was not executed.
func (n *Node) refuse(c *partCall, reason refusalReason) {
	if !c.finished() {
		n.counters.countRefused(reason)
		c.finishWith(wire.NotServed)
	}
}

// closeUnanswered ends a call whose outcome is unknown; the caller gets no answer.
func (n *Node) closeUnanswered(c *partCall, reason unansweredReason) {
	if !c.finished() {
		n.counters.countUnanswered(reason)
		c.finishWith(wire.OutcomeUnknown)
	}
}

func (c *partCall) finished() bool { return c.respond == nil }

func (c *partCall) isWatch() bool { return c.command.Kind == wire.WatchGroup }

// isRead reports whether the call is safe to execute more than once.
func (c *partCall) isRead() bool { return c.isWatch() || c.command.Kind == wire.GetKey }

// refusalDue reports whether a queued call has to be refused. A watch waits for a leader for as long as its caller
// would wait for events.
func (c *partCall) refusalDue(now time.Duration, leading bool) bool {
	switch {
	case c.isWatch():
		return now >= max(c.deadline, c.receivedAt+leaderWaitTimeout)
	case leading:
		return now > c.receivedAt+queueTimeout
	default:
		return now > c.receivedAt+leaderWaitTimeout
	}
}

// submitCall starts an application call that was received at the given time of the monotonic clock. respond is called
// at most once, in the event loop; with OutcomeUnknown the caller gets no response.
func (n *Node) submitCall(command wire.Command, receivedAt time.Duration, respond func(wire.Answer)) *partCall {
	c := &partCall{command: command, receivedAt: receivedAt, respond: respond}
	n.admit(c)
	return c
}

// admit validates a call and serves it.
func (n *Node) admit(c *partCall) {
	now := n.now()
	switch {
	case len(n.parts) == 0:
		n.refuse(c, refusedNoLeader)
		return
	case coordination.Validate(&c.command) != nil:
		c.finishWith(wire.Invalid)
		return
	}
	if c.isWatch() {
		c.deadline = c.receivedAt + time.Duration(c.command.WaitMS)*time.Millisecond
	}
	c.part = n.parts[coordination.PartOf(&c.command, len(n.parts))]
	if now > c.receivedAt+callerTimeout {
		n.closeUnanswered(c, unansweredLate)
		return
	}
	n.serveCall(c, now)
}

// callerDisconnected drops the call if it is still queued.
func (n *Node) callerDisconnected(c *partCall) { c.respond = nil }

// serveCall answers a call from memory, queues it for the next log entry, or forwards it to the leader.
func (n *Node) serveCall(c *partCall, now time.Duration) {
	p := c.part
	if p.replica.Role() == replica.Leader {
		if !n.answerFromMemory(c, now) {
			n.enqueue(c)
		}
		return
	}
	if c.forwarded {
		n.refuse(c, refusedNotLeader)
		return
	}
	if now < c.retryAt || !n.forward(c, now) {
		n.enqueue(c)
	}
}

// enqueue adds a call to its part's queue, or refuses it if the queue is full.
func (n *Node) enqueue(c *partCall) {
	p := c.part
	if len(p.queue) >= maxQueuedCallsPerPart {
		n.refuse(c, refusedQueueFull)
		return
	}
	p.queue = append(p.queue, c)
}

// answerFromMemory answers calls that need no log entry, while this node's leader lease holds. The lease is checked in
// the event loop at the moment at which the state is read, so later delays of the answer do no harm.
func (n *Node) answerFromMemory(c *partCall, now time.Duration) bool {
	p := c.part
	if !p.replica.Leading(now) {
		return false
	}
	if a, decided := p.machine.TryAnswer(&c.command, p.replica.GroupTime(now)); decided {
		c.finish(a)
		return true
	}
	if !c.isWatch() {
		return false
	}
	switch {
	case now >= c.deadline:
		c.finish(wire.Answer{Outcome: wire.Done, Revision: p.machine.Revision(c.command.Name)})
	case len(p.watches) >= maxWatchesPerPart:
		c.finishWith(wire.Full)
	default:
		p.watches = append(p.watches, c)
	}
	return true
}

// serveParts answers committed calls, then processes watches, queues and new proposals of each part.
func (n *Node) serveParts() {
	now := n.now()
	for _, p := range n.parts {
		n.answerProposed(p)
		n.serveWatches(p, now)
		n.serveQueue(p, now)
		n.proposeCalls(p, now)
	}
}

// answerProposed answers the calls of the proposed entry once its outcome is known. If this node has lost the
// leadership, the next leader may or may not commit the entry, so the callers get no answer.
func (n *Node) answerProposed(p *part) {
	if p.proposed == nil {
		return
	}
	stillLeads := p.replica.Role() == replica.Leader && p.replica.Term() == p.proposedAt.Term
	switch {
	case stillLeads && p.replica.Committed().Position() != p.proposedAt:
		n.closeLateCalls(p)
		return
	case !stillLeads || len(p.machine.Answers) != len(p.proposed):
		for _, c := range p.proposed {
			n.closeUnanswered(c, unansweredLeaderLost)
		}
	default:
		for i, c := range p.proposed {
			c.finish(p.machine.Answers[i])
		}
	}
	p.proposed = nil
}

// closeLateCalls ends the calls of the proposed entry whose callers have timed out.
func (n *Node) closeLateCalls(p *part) {
	now := n.now()
	for _, c := range p.proposed {
		if now > c.receivedAt+callerTimeout {
			n.closeUnanswered(c, unansweredLate)
		}
	}
}

// serveQueue processes each queued call once.
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

// proposeCalls proposes the next entry from the queued calls once the previous entry is committed. A stopping node
// proposes none, so that it can hand over the leadership.
func (n *Node) proposeCalls(p *part, now time.Duration) {
	if n.stopping || p.proposed != nil || len(p.queue) == 0 || !p.replica.Leading(now) || p.replica.HasUncommitted() {
		return
	}
	count := min(len(p.queue), maxBatchCommands)
	calls := p.queue[:count:count]
	commands := make([]wire.Command, 0, count)
	for _, c := range calls {
		commands = append(commands, c.command)
	}
	at, err := p.replica.Propose(coordination.Encode(commands), now)
	if err != nil {
		return // the calls stay queued
	}
	p.queue = p.queue[count:]
	p.proposed, p.proposedAt = calls, at
}

// serveWatches answers watches that have new events, and forwards them to the new leader if this node no longer leads.
func (n *Node) serveWatches(p *part, now time.Duration) {
	if len(p.watches) == 0 {
		return
	}
	leads := p.replica.Role() == replica.Leader
	if leads && !p.replica.Leading(now) {
		return // wait until the lease is renewed or the leadership is lost
	}
	if at := p.replica.Committed().Position(); leads && at == p.watchesCheckedAt && now < p.nextWatchCheck {
		return
	}
	p.watchesCheckedAt, p.nextWatchCheck = p.replica.Committed().Position(), now+watchCheckInterval
	waiting := p.watches
	p.watches = nil
	for _, c := range waiting {
		if !c.finished() {
			n.serveCall(c, now)
		}
	}
}

// callsInFlight counts the calls that are not answered yet, without watches.
func (n *Node) callsInFlight() int {
	count := 0
	for _, p := range n.parts {
		for _, c := range slices.Concat(p.queue, p.proposed) {
			if !c.finished() && !c.isWatch() {
				count++
			}
		}
	}
	for _, passed := range n.forwarded {
		if !passed.call.finished() && !passed.call.isWatch() {
			count++
		}
	}
	return count
}
