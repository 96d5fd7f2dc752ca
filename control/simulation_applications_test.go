package control

import (
	"fmt"
	"time"

	"ivybank/wire"
)

const (
	maxCallDelayMS = 8 // one-way delay in ms at most between a caller and a control address
	callTimeout    = time.Second
	minRetryPause  = 10 * time.Millisecond // before a call is retried elsewhere; doubled for each attempt
	maxRetryPause  = 400 * time.Millisecond
	maxSocketDelay = 8 * time.Second // for which a call may wait in a socket
)

// applications holds the simulated callers, the calls in flight, and the rules that the answers must satisfy.
type applications struct {
	sim      *simulation
	callers  []caller
	inFlight []*attempt
	rules    *rules
	counts   applicationCounts
	stopping bool // nothing new is started
	onReply  func(*attempt)
}

// caller is one simulated caller. It has at most one task in progress.
type caller interface {
	step(a *applications)
}

// task is one call, retried until it has a definite answer or its caller gives up.
type task struct {
	command       wire.Command
	firstSent     time.Duration // when its first attempt was sent; 0 before
	retryUntil    time.Duration // when the caller stops retrying
	attempts      int
	nextAt        time.Duration
	current       *attempt // the attempt that the caller waits for
	mayHaveEffect bool     // some attempt may have taken effect
	done          bool
	answer        wire.Answer   // if it is definite
	sent          time.Duration // of the attempt that was answered
	answered      time.Duration
}

// hasAnswer reports whether the task ended with an answer.
func (t *task) hasAnswer() bool { return t.done && t.answer.Outcome != 0 }

// attempt is one HTTP call. It may be executed long after the caller has given it up.
type attempt struct {
	task           *task
	expected       any // what the rules recorded when it was sent
	to             *machine
	sent           time.Duration
	arrives        time.Duration
	process        *nodeProcess // that has accepted the connection
	receivedAt     time.Duration
	entersLoopAt   time.Duration // when it reaches the event loop
	submitted      bool
	handle         *partCall
	reply          *wire.Answer
	replySent      bool // the answer is in transit
	replyArrivesAt time.Duration
	abandoned      bool // the caller doesn't wait for it any more
	closeSeenAt    time.Duration
	closeHandled   bool // the process has noticed that
	finished       bool
}

// applicationCounts counts what the applications have done.
type applicationCounts struct {
	tasks, attempts, undecided, notServed, timedOut, disconnected, lateCalls, lateSuccesses, grants, renewals, lostLocks,
	refusedLocks, lateGrants, finishes, numbers, puts,
	mismatches, reads, watches, events, resumed, begunAgain, killedAfterAck, doubleWipes, refusedPuts int
}

func (c *applicationCounts) add(o applicationCounts) {
	c.tasks += o.tasks
	c.attempts += o.attempts
	c.undecided += o.undecided
	c.notServed += o.notServed
	c.timedOut += o.timedOut
	c.disconnected += o.disconnected
	c.lateCalls += o.lateCalls
	c.lateSuccesses += o.lateSuccesses
	c.grants += o.grants
	c.renewals += o.renewals
	c.lostLocks += o.lostLocks
	c.refusedLocks += o.refusedLocks
	c.lateGrants += o.lateGrants
	c.finishes += o.finishes
	c.numbers += o.numbers
	c.puts += o.puts
	c.mismatches += o.mismatches
	c.reads += o.reads
	c.watches += o.watches
	c.events += o.events
	c.resumed += o.resumed
	c.begunAgain += o.begunAgain
	c.killedAfterAck += o.killedAfterAck
	c.doubleWipes += o.doubleWipes
	c.refusedPuts += o.refusedPuts
}

func newApplications(sim *simulation) *applications {
	return &applications{sim: sim, rules: newRules(sim), onReply: func(*attempt) {}}
}

// step advances all callers and attempts.
func (a *applications) step() {
	for _, one := range a.callers {
		one.step(a)
	}
	kept := a.inFlight[:0]
	for _, att := range a.inFlight {
		a.stepAttempt(att)
		if !att.finished || !att.abandoned {
			kept = append(kept, att)
		}
	}
	clear(a.inFlight[len(kept):])
	a.inFlight = kept
}

// newTask creates a task that its caller retries for retryFor.
func (a *applications) newTask(command wire.Command, retryFor time.Duration) *task {
	a.counts.tasks++
	return &task{command: command, retryUntil: a.sim.now + retryFor, nextAt: a.sim.now}
}

// advance sends or retries a task if that is due. It returns true once the task has ended.
func (a *applications) advance(t *task) bool {
	now := a.sim.now
	switch {
	case t.done:
	case t.current != nil || now < t.nextAt:
	case t.attempts > 0 && now >= t.retryUntil:
		t.done = true
		a.counts.undecided++
		a.rules.abandoned(t)
	default:
		a.send(t, a.anyAddress())
	}
	return t.done
}

// anyAddress returns a control address that callers may choose; a removed machine stays listed for listLag.
func (a *applications) anyAddress() *machine {
	sim := a.sim
	for {
		if m := sim.machines[sim.random.IntN(len(sim.machines))]; m.control &&
			(!m.removed || sim.now <= m.removedAt+listLag) {
			return m
		}
	}
}

// send makes one attempt at a machine. A few attempts wait in a socket for long.
func (a *applications) send(t *task, to *machine) *attempt {
	sim := a.sim
	if t.attempts == 0 {
		t.firstSent = sim.now
	}
	t.attempts++
	a.counts.attempts++
	att := &attempt{task: t, to: to, sent: sim.now, arrives: sim.now + a.delay(), expected: a.rules.sending(t)}
	if !sim.noFaults && sim.random.IntN(30) == 0 {
		att.arrives += sim.randomSpan(maxSocketDelay)
	}
	t.current = att
	a.inFlight = append(a.inFlight, att)
	return att
}

func (a *applications) delay() time.Duration {
	return time.Duration(a.sim.random.IntN(maxCallDelayMS)) * time.Millisecond
}

// timeout is how long a caller waits for an answer.
func (t *task) timeout() time.Duration {
	if t.command.Kind == wire.WatchGroup {
		return callTimeout + time.Duration(t.command.WaitMS)*time.Millisecond
	}
	return callTimeout
}

// stepAttempt advances an attempt: to the machine, into its event loop, and back.
func (a *applications) stepAttempt(att *attempt) {
	sim := a.sim
	if !att.finished && att.process == nil && sim.now >= att.arrives {
		a.arrive(att)
	}
	if !att.finished && att.process != nil && att.process.dead {
		a.connectionLost(att)
	}
	if !att.finished && att.process != nil && att.to.running(sim.now) {
		a.stepAtProcess(att)
	}
	if !att.finished && att.replySent && sim.now >= att.replyArrivesAt {
		att.finished = true
		a.deliver(att)
	}
	if !att.abandoned && sim.now > att.sent+att.task.timeout() {
		a.counts.timedOut++
		a.abandon(att)
	}
}

// arrive delivers an attempt to a machine's socket.
func (a *applications) arrive(att *attempt) {
	m, sim := att.to, a.sim
	switch {
	case m.node != nil:
		att.process = m.node
	case sim.now > att.sent+callTimeout:
		att.finished = true
	case !m.removed && sim.random.IntN(2) == 0: // refused at once; otherwise the caller gets no reaction
		att.finished = true
		a.connectionClosed(att)
	default:
		att.arrives = sim.now + 50*time.Millisecond
	}
}

// stepAtProcess has a running process receive a call, send an answer, or notice that the caller has disconnected.
func (a *applications) stepAtProcess(att *attempt) {
	sim, node := a.sim, att.process.node
	switch {
	case att.entersLoopAt == 0:
		att.receivedAt, att.entersLoopAt = att.process.Now(), sim.now
		if sim.random.IntN(4) == 0 {
			att.entersLoopAt += time.Duration(sim.random.IntN(4)) * simulationStep
		}
		fallthrough
	case !att.submitted:
		if sim.now < att.entersLoopAt {
			return
		}
		a.enter(att)
	case att.reply != nil && !att.replySent:
		att.replySent, att.replyArrivesAt = true, sim.now+a.delay()
		a.onReply(att)
	case att.abandoned && !att.closeHandled && sim.now >= att.closeSeenAt:
		att.closeHandled = true
		node.callerDisconnected(att.handle)
		node.Flush()
		att.finished = att.reply == nil
	}
}

// enter submits an attempt to the event loop.
func (a *applications) enter(att *attempt) {
	att.submitted = true
	if att.abandoned {
		a.counts.lateCalls++
	}
	att.handle = att.process.node.submitCall(att.task.command, att.receivedAt, func(answer wire.Answer) {
		if att.reply != nil {
			a.sim.fail("%+v was answered twice", att.task.command)
		}
		att.reply = &answer
	})
	att.process.node.Flush()
}

// connectionLost ends an attempt whose process has ended. An answer in transit still arrives.
func (a *applications) connectionLost(att *attempt) {
	if att.replySent {
		return
	}
	att.finished = true
	if a.sim.random.IntN(2) == 0 { // otherwise the caller gets no reaction
		a.connectionClosed(att)
	}
}

// deliver brings an answer to the caller, if it still waits.
func (a *applications) deliver(att *attempt) {
	outcome := att.reply.Outcome
	if att.abandoned {
		if outcome == wire.Done {
			a.counts.lateSuccesses++
		}
		return
	}
	switch outcome {
	case wire.OutcomeUnknown:
		a.connectionClosed(att)
		return
	case wire.NotServed, wire.Full:
		a.counts.notServed++
		att.abandoned, att.closeHandled = true, true
		a.retryLater(att.task)
		return
	case wire.Invalid:
		a.sim.fail("%+v was rejected as invalid", att.task.command)
	}
	att.abandoned, att.closeHandled = true, true
	t := att.task
	t.current, t.done, t.answer, t.sent, t.answered = nil, true, *att.reply, att.sent, a.sim.now
	a.rules.answeredCall(t, att)
}

// connectionClosed tells the caller that its connection has ended.
func (a *applications) connectionClosed(att *attempt) {
	if !att.abandoned {
		a.counts.disconnected++
		att.closeHandled = true
		a.abandon(att)
	}
}

// abandon has the caller give up an attempt with unknown outcome. The process may never notice.
func (a *applications) abandon(att *attempt) {
	att.abandoned = true
	att.closeSeenAt = a.sim.now + a.delay()
	if a.sim.random.IntN(3) == 0 {
		att.closeSeenAt = endless
	}
	att.task.mayHaveEffect = true
	a.retryLater(att.task)
}

// retryLater has a task sent once more, after a pause that grows.
func (a *applications) retryLater(t *task) {
	sim := a.sim
	t.current = nil
	pause := min(maxRetryPause, minRetryPause<<min(t.attempts, 10))
	t.nextAt = sim.now + pause/2 + sim.randomSpan(pause/2)
}

func (c *applicationCounts) String() string { return fmt.Sprintf("%+v", *c) }
