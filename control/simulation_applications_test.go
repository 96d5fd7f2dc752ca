package control

import (
	"fmt"
	"time"

	"ivybank/wire"
)

const (
	callWay           = 8 // one-way delay in ms at most between a caller and a control address
	callSilence       = time.Second
	shortestCallPause = 10 * time.Millisecond // before a call is retried elsewhere; doubled for each attempt
	longestCallPause  = 400 * time.Millisecond
	longestHeldUp     = 8 * time.Second // for which a call may wait in a socket
)

// applications holds the simulated callers, the calls in flight, and the rules that the answers must satisfy.
type applications struct {
	world   *world
	actors  []actor
	flying  []*attempt
	rules   *rules
	counts  applicationCounts
	quiet   bool // nothing new is started
	onReply func(*attempt)
}

// caller is one simulated caller. It has at most one task in progress.
type actor interface {
	step(a *applications)
}

// task is one call, retried until it has a definite answer or its caller gives up.
type errand struct {
	command  wire.Command
	began    time.Duration // when its first attempt was sent; 0 before
	giveUp   time.Duration // when the caller stops retrying
	tries    int
	nextAt   time.Duration
	current  *attempt // the attempt that the caller waits for
	unclear  bool     // some attempt may have taken effect
	done     bool
	answer   wire.Answer   // if it is definite
	sent     time.Duration // of the attempt that was answered
	answered time.Duration
}

// hasAnswer reports whether the task ended with an answer.
func (e *errand) clear() bool { return e.done && e.answer.Outcome != 0 }

// attempt is one HTTP call. It may be executed long after the caller has given it up.
type attempt struct {
	errand   *errand
	before   any // what the rules recorded when it was sent
	to       *machine
	sent     time.Duration
	arrives  time.Duration
	life     *nodeProcess // that has accepted the connection
	since    time.Duration
	entersAt time.Duration // when it reaches the event loop
	taken    bool
	handle   *partCall
	reply    *wire.Answer
	left     bool // the answer is in transit
	replyAt  time.Duration
	gone     bool // the caller doesn't wait for it any more
	leftAt   time.Duration
	told     bool // the process has noticed that
	over     bool
}

// applicationCounts counts what the applications have done.
type applicationCounts struct {
	errands, attempts, unclear, notServed, silent, ended, late, lateDone, grants, renewals, lost, refusedLocks, overtime, finishes, numbers, puts,
	mismatches, reads, watches, events, resumed, ownAgain, killedAfterAck, twoWiped, refusedPuts int
}

func (c *applicationCounts) add(o applicationCounts) {
	c.errands += o.errands
	c.attempts += o.attempts
	c.unclear += o.unclear
	c.notServed += o.notServed
	c.silent += o.silent
	c.ended += o.ended
	c.late += o.late
	c.lateDone += o.lateDone
	c.grants += o.grants
	c.renewals += o.renewals
	c.lost += o.lost
	c.refusedLocks += o.refusedLocks
	c.overtime += o.overtime
	c.finishes += o.finishes
	c.numbers += o.numbers
	c.puts += o.puts
	c.mismatches += o.mismatches
	c.reads += o.reads
	c.watches += o.watches
	c.events += o.events
	c.resumed += o.resumed
	c.ownAgain += o.ownAgain
	c.killedAfterAck += o.killedAfterAck
	c.twoWiped += o.twoWiped
	c.refusedPuts += o.refusedPuts
}

func newApplications(w *world) *applications {
	return &applications{world: w, rules: newRules(w), onReply: func(*attempt) {}}
}

// step advances all callers and attempts.
func (a *applications) step() {
	for _, one := range a.actors {
		one.step(a)
	}
	kept := a.flying[:0]
	for _, f := range a.flying {
		a.stepAttempt(f)
		if !f.over || !f.gone {
			kept = append(kept, f)
		}
	}
	clear(a.flying[len(kept):])
	a.flying = kept
}

// newTask creates a task that its caller retries for retryFor.
func (a *applications) begin(command wire.Command, patience time.Duration) *errand {
	a.counts.errands++
	return &errand{command: command, giveUp: a.world.now + patience, nextAt: a.world.now}
}

// advance sends or retries a task if that is due. It returns true once the task has ended.
func (a *applications) pursue(e *errand) bool {
	now := a.world.now
	switch {
	case e.done:
	case e.current != nil || now < e.nextAt:
	case e.tries > 0 && now >= e.giveUp:
		e.done = true
		a.counts.unclear++
		a.rules.abandoned(e)
	default:
		a.send(e, a.anyAddress())
	}
	return e.done
}

// anyAddress returns a control address that callers may choose; a removed machine stays listed for listLag.
func (a *applications) anyAddress() *machine {
	w := a.world
	for {
		if m := w.machines[w.random.IntN(len(w.machines))]; m.core && (!m.gone || w.now <= m.goneAt+listLag) {
			return m
		}
	}
}

// send makes one attempt at a machine. A few attempts wait in a socket for long.
func (a *applications) send(e *errand, to *machine) *attempt {
	w := a.world
	if e.tries == 0 {
		e.began = w.now
	}
	e.tries++
	a.counts.attempts++
	f := &attempt{errand: e, to: to, sent: w.now, arrives: w.now + a.way(), before: a.rules.sending(e)}
	if !w.calm && w.random.IntN(30) == 0 {
		f.arrives += w.randomSpan(longestHeldUp)
	}
	e.current = f
	a.flying = append(a.flying, f)
	return f
}

func (a *applications) way() time.Duration {
	return time.Duration(a.world.random.IntN(callWay)) * time.Millisecond
}

// timeout is how long a caller waits for an answer.
func (e *errand) patience() time.Duration {
	if e.command.Kind == wire.WatchGroup {
		return callSilence + time.Duration(e.command.WaitMS)*time.Millisecond
	}
	return callSilence
}

// stepAttempt advances an attempt: to the machine, into its event loop, and back.
func (a *applications) stepAttempt(f *attempt) {
	w := a.world
	if !f.over && f.life == nil && w.now >= f.arrives {
		a.arrive(f)
	}
	if !f.over && f.life != nil && f.life.dead {
		a.connectionLost(f)
	}
	if !f.over && f.life != nil && f.to.running(w.now) {
		a.stepAtProcess(f)
	}
	if !f.over && f.left && w.now >= f.replyAt {
		f.over = true
		a.deliver(f)
	}
	if !f.gone && w.now > f.sent+f.errand.patience() {
		a.counts.silent++
		a.goElsewhere(f)
	}
}

// arrive delivers an attempt to a machine's socket.
func (a *applications) arrive(f *attempt) {
	m, w := f.to, a.world
	switch {
	case m.node != nil:
		f.life = m.node
	case w.now > f.sent+callSilence:
		f.over = true
	case !m.gone && w.random.IntN(2) == 0: // refused at once; otherwise the caller gets no reaction
		f.over = true
		a.ended(f)
	default:
		f.arrives = w.now + 50*time.Millisecond
	}
}

// stepAtProcess has a running process receive a call, send an answer, or notice that the caller has disconnected.
func (a *applications) stepAtProcess(f *attempt) {
	w, node := a.world, f.life.node
	switch {
	case f.entersAt == 0:
		f.since, f.entersAt = f.life.Now(), w.now
		if w.random.IntN(4) == 0 {
			f.entersAt += time.Duration(w.random.IntN(4)) * worldStep
		}
		fallthrough
	case !f.taken:
		if w.now < f.entersAt {
			return
		}
		a.enter(f)
	case f.reply != nil && !f.left:
		f.left, f.replyAt = true, w.now+a.way()
		a.onReply(f)
	case f.gone && !f.told && w.now >= f.leftAt:
		f.told = true
		node.callerDisconnected(f.handle)
		node.Flush()
		f.over = f.reply == nil
	}
}

// enter submits an attempt to the event loop.
func (a *applications) enter(f *attempt) {
	f.taken = true
	if f.gone {
		a.counts.late++
	}
	f.handle = f.life.node.submitCall(f.errand.command, f.since, func(answer wire.Answer) {
		if f.reply != nil {
			a.world.fail("%+v was answered twice", f.errand.command)
		}
		f.reply = &answer
	})
	f.life.node.Flush()
}

// connectionLost ends an attempt whose process has ended. An answer in transit still arrives.
func (a *applications) connectionLost(f *attempt) {
	if f.left {
		return
	}
	f.over = true
	if a.world.random.IntN(2) == 0 { // otherwise the caller gets no reaction
		a.ended(f)
	}
}

// deliver brings an answer to the caller, if it still waits.
func (a *applications) deliver(f *attempt) {
	outcome := f.reply.Outcome
	if f.gone {
		if outcome == wire.Done {
			a.counts.lateDone++
		}
		return
	}
	switch outcome {
	case wire.OutcomeUnknown:
		a.ended(f)
		return
	case wire.NotServed, wire.Full:
		a.counts.notServed++
		f.gone, f.told = true, true
		a.again(f.errand)
		return
	case wire.Invalid:
		a.world.fail("%+v was rejected as invalid", f.errand.command)
	}
	f.gone, f.told = true, true
	e := f.errand
	e.current, e.done, e.answer, e.sent, e.answered = nil, true, *f.reply, f.sent, a.world.now
	a.rules.answeredCall(e, f)
}

// connectionClosed tells the caller that its connection has ended.
func (a *applications) ended(f *attempt) {
	if !f.gone {
		a.counts.ended++
		f.told = true
		a.goElsewhere(f)
	}
}

// abandon has the caller give up an attempt with unknown outcome. The process may never notice.
func (a *applications) goElsewhere(f *attempt) {
	f.gone = true
	f.leftAt = a.world.now + a.way()
	if a.world.random.IntN(3) == 0 {
		f.leftAt = endless
	}
	f.errand.unclear = true
	a.again(f.errand)
}

// retryLater has a task sent once more, after a pause that grows.
func (a *applications) again(e *errand) {
	w := a.world
	e.current = nil
	pause := min(longestCallPause, shortestCallPause<<min(e.tries, 10))
	e.nextAt = w.now + pause/2 + w.randomSpan(pause/2)
}

func (c *applicationCounts) String() string { return fmt.Sprintf("%+v", *c) }
