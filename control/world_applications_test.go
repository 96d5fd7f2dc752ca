package control

import (
	"fmt"
	"time"

	"ivybank/wire"
)

const (
	callWay           = 8 // ms at most between a caller and a control address, one way
	callSilence       = time.Second
	shortestCallPause = 10 * time.Millisecond // before a call is sent elsewhere, doubled for each attempt
	longestCallPause  = 400 * time.Millisecond
	longestHeldUp     = 8 * time.Second // for which a call may sit in a socket
)

// applications are the callers of a world, all that they have sent, and the rules that the answers must keep.
type applications struct {
	world   *world
	actors  []actor
	flying  []*attempt
	rules   *rules
	counts  applicationCounts
	quiet   bool // nothing new is begun
	onReply func(*attempt)
}

// actor is one caller. It has at most one errand under way.
type actor interface {
	step(a *applications)
}

// errand is what a caller wants done: one call, sent again until it has a clear answer, or until the caller gives it up.
type errand struct {
	command  wire.Command
	began    time.Duration // when its first attempt was sent; 0 before
	giveUp   time.Duration // when the caller stops sending it again
	tries    int
	nextAt   time.Duration
	current  *attempt // that the caller waits for
	unclear  bool     // some attempt may have taken effect
	done     bool
	answer   wire.Answer   // where it is clear
	sent     time.Duration // of the attempt that was answered
	answered time.Duration
}

// clear says whether the errand ended with an answer.
func (e *errand) clear() bool { return e.done && e.answer.Outcome != 0 }

// attempt is one HTTP call. It may be carried out long after the caller has gone elsewhere.
type attempt struct {
	errand   *errand
	before   any // what the rules noted as it was sent
	to       *machine
	sent     time.Duration
	arrives  time.Duration
	life     *nodeProcess // that has the connection, once it has come
	since    time.Duration
	entersAt time.Duration // when it reaches the loop
	taken    bool
	handle   *partCall
	reply    *wire.Answer
	left     bool // the answer is on its way
	replyAt  time.Duration
	gone     bool // the caller waits for it no more
	leftAt   time.Duration
	told     bool // the process has heard that
	over     bool
}

// applicationCounts is what applications have played.
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

// step lets all callers and calls go on.
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

// begin makes an errand that a caller pursues for a while.
func (a *applications) begin(command wire.Command, patience time.Duration) *errand {
	a.counts.errands++
	return &errand{command: command, giveUp: a.world.now + patience, nextAt: a.world.now}
}

// pursue sends an errand where that is due. It reports true once it has ended.
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

// anyAddress is a control address that callers may choose; one that was taken away is listed for a while.
func (a *applications) anyAddress() *machine {
	w := a.world
	for {
		if m := w.machines[w.random.IntN(len(w.machines))]; m.core && (!m.gone || w.now <= m.goneAt+listLag) {
			return m
		}
	}
}

// send makes one attempt at a machine. A few sit in a socket for long.
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

// patience is for how long a caller waits for an answer.
func (e *errand) patience() time.Duration {
	if e.command.Kind == wire.WatchGroup {
		return callSilence + time.Duration(e.command.WaitMS)*time.Millisecond
	}
	return callSilence
}

// stepAttempt moves a call on: to the machine, into its loop, and back.
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

// arrive brings a call to a machine's socket.
func (a *applications) arrive(f *attempt) {
	m, w := f.to, a.world
	switch {
	case m.node != nil:
		f.life = m.node
	case w.now > f.sent+callSilence:
		f.over = true
	case !m.gone && w.random.IntN(2) == 0: // refused at once; else nothing is heard
		f.over = true
		a.ended(f)
	default:
		f.arrives = w.now + 50*time.Millisecond
	}
}

// stepAtProcess has a running process take a call, send an answer, or hear that the caller has gone.
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
		node.callerLeft(f.handle)
		node.Flush()
		f.over = f.reply == nil
	}
}

// enter hands a call to the loop.
func (a *applications) enter(f *attempt) {
	f.taken = true
	if f.gone {
		a.counts.late++
	}
	f.handle = f.life.node.takeCall(f.errand.command, f.since, func(answer wire.Answer) {
		if f.reply != nil {
			a.world.fail("%+v is answered twice", f.errand.command)
		}
		f.reply = &answer
	})
	f.life.node.Flush()
}

// connectionLost ends a call whose process has ended. An answer that had left still arrives.
func (a *applications) connectionLost(f *attempt) {
	if f.left {
		return
	}
	f.over = true
	if a.world.random.IntN(2) == 0 { // else nothing is heard
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
		a.world.fail("%+v is called invalid", f.errand.command)
	}
	f.gone, f.told = true, true
	e := f.errand
	e.current, e.done, e.answer, e.sent, e.answered = nil, true, *f.reply, f.sent, a.world.now
	a.rules.answeredCall(e, f)
}

// ended has the caller see that its connection has ended.
func (a *applications) ended(f *attempt) {
	if !f.gone {
		a.counts.ended++
		f.told = true
		a.goElsewhere(f)
	}
}

// goElsewhere has the caller leave a call whose outcome it doesn't know. The process may never hear of it.
func (a *applications) goElsewhere(f *attempt) {
	f.gone = true
	f.leftAt = a.world.now + a.way()
	if a.world.random.IntN(3) == 0 {
		f.leftAt = endless
	}
	f.errand.unclear = true
	a.again(f.errand)
}

// again has an errand sent once more, after a pause that grows.
func (a *applications) again(e *errand) {
	w := a.world
	e.current = nil
	pause := min(longestCallPause, shortestCallPause<<min(e.tries, 10))
	e.nextAt = w.now + pause/2 + w.randomSpan(pause/2)
}

func (c *applicationCounts) String() string { return fmt.Sprintf("%+v", *c) }
