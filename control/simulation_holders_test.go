package control

import (
	"fmt"
	"time"

	"ivybank/wire"
)

const (
	shortestHold = 300 * time.Millisecond
	longestHold  = 8 * time.Second
	// renewalsPerHold is how many times a holder renews within one hold.
	renewalsPerHold = 3
)

// holdStyle is what a holder does with a lock that it has.
type holdStyle int

const (
	releaseSoon         holdStyle = iota // releases it soon
	renewLong                            // renews it for long
	beginAgain                           // begins again while it holds the lock
	restartWithoutState                  // restarts without its state, under the same name
	pauseWhileHolding
	holdStyleCount
)

// lockCaller acquires locks under one holder name, one at a time.
type lockCaller struct {
	holder    string
	locks     []string
	longTerm  bool // renews whenever it can
	lock      string
	style     holdStyle
	hold      time.Duration
	task      *task
	fence     uint64
	heldUntil time.Duration // the caller considers itself the holder until then; 0 if it isn't
	renewAt   time.Duration
	workEnd   time.Duration
	nextAt    time.Duration
	wantUntil time.Duration // it requests the lock until then
}

// step advances a holder.
func (h *lockCaller) step(a *applications) {
	now := a.sim.now
	if h.task != nil {
		if h.task.command.Kind == wire.HeartbeatLock && h.heldUntil != 0 && now >= h.heldUntil {
			h.relinquish(a)
			return
		}
		if !a.advance(h.task) {
			return
		}
		t := h.task
		h.task = nil
		h.answered(a, t)
		return
	}
	switch {
	case now < h.nextAt:
	case h.heldUntil != 0:
		h.work(a)
	case h.wantUntil > now && !a.stopping:
		h.begin(a)
	case !a.stopping:
		h.want(a)
	}
}

// want chooses a lock and what to do with it.
func (h *lockCaller) want(a *applications) {
	sim := a.sim
	h.lock = h.locks[sim.random.IntN(len(h.locks))]
	h.style = holdStyle(sim.random.IntN(int(holdStyleCount)))
	h.hold = shortestHold + sim.randomSpan(700*time.Millisecond)
	if h.longTerm || h.style == renewLong {
		h.hold = time.Second + sim.randomSpan(longestHold-time.Second)
		if sim.random.IntN(3) > 0 {
			h.hold = min(h.hold, 3*time.Second)
		}
	}
	h.hold = h.hold.Truncate(time.Millisecond)
	h.wantUntil = sim.now + h.hold + 3*time.Second
}

func (h *lockCaller) command(kind wire.CommandKind) wire.Command {
	c := wire.Command{Kind: kind, Name: h.lock, Holder: h.holder}
	if kind != wire.BeginLock {
		c.Fence = h.fence
	}
	if kind != wire.FinishLock {
		c.HoldMS = h.hold.Milliseconds()
	}
	return c
}

func (h *lockCaller) begin(a *applications) {
	h.task = a.newTask(h.command(wire.BeginLock), 3*time.Second)
}

// work uses the lock in the holder's style.
func (h *lockCaller) work(a *applications) {
	now := a.sim.now
	switch {
	case h.style == restartWithoutState && now >= h.workEnd:
		h.heldUntil, h.nextAt = 0, now+a.sim.randomSpan(h.hold+time.Second)
		h.wantUntil = h.nextAt + time.Second // the same lock again
	case h.style == pauseWhileHolding && now >= h.workEnd:
		h.style = renewLong
		h.nextAt = h.heldUntil - 100*time.Millisecond + a.sim.randomSpan(2*time.Second)
		h.workEnd = h.nextAt
	case now >= h.heldUntil:
		h.relinquish(a)
	case now >= h.workEnd || a.stopping:
		h.finish(a)
	case now >= h.renewAt && h.style == beginAgain:
		a.counts.begunAgain++
		h.task = a.newTask(h.command(wire.BeginLock), h.heldUntil-now)
	case now >= h.renewAt:
		h.task = a.newTask(h.command(wire.HeartbeatLock), h.heldUntil-now)
	}
}

// relinquish gives up a lock that has expired; some callers send a Finish, and some a late Heartbeat.
func (h *lockCaller) relinquish(a *applications) {
	if h.task != nil {
		a.drop(h.task)
		h.task = nil
	}
	h.heldUntil = 0
	switch a.sim.random.IntN(4) {
	case 0:
		h.finish(a)
	case 1, 2:
		h.task = a.newTask(h.command(wire.HeartbeatLock), 500*time.Millisecond)
	default:
		h.rest(a)
	}
}

// finish releases the lock. Some callers don't wait for the answer, and acquire the same lock again at once.
func (h *lockCaller) finish(a *applications) {
	sim := a.sim
	a.counts.finishes++
	h.heldUntil = 0
	h.task = a.newTask(h.command(wire.FinishLock), 2*time.Second)
	if sim.random.IntN(4) > 0 {
		return
	}
	a.advance(h.task)
	a.drop(h.task)
	h.task, h.wantUntil = nil, sim.now+time.Second
}

func (h *lockCaller) rest(a *applications) {
	h.heldUntil, h.wantUntil = 0, 0
	h.nextAt = a.sim.now + a.sim.randomSpan(300*time.Millisecond)
}

// answered continues after a task.
func (h *lockCaller) answered(a *applications, t *task) {
	switch t.command.Kind {
	case wire.BeginLock:
		h.begun(a, t)
	case wire.HeartbeatLock:
		h.renewed(a, t)
	default:
		h.rest(a)
	}
}

// begun handles the answer to a Begin. A holder that gets none continues with its current hold.
func (h *lockCaller) begun(a *applications, t *task) {
	now := a.sim.now
	switch {
	case t.hasAnswer() && t.answer.Outcome == wire.Done:
		a.counts.grants++
		h.fence = t.answer.Fence
		h.holdUntil(a, t.sent+h.hold)
	case h.heldUntil > now:
		h.renewAt = now + 50*time.Millisecond
	case t.hasAnswer():
		a.counts.refusedLocks++
		h.heldUntil, h.nextAt = 0, now+30*time.Millisecond+a.sim.randomSpan(150*time.Millisecond)
	default:
		h.rest(a)
	}
}

// holdUntil makes the caller a holder, unless the hold expired before the answer arrived.
func (h *lockCaller) holdUntil(a *applications, until time.Duration) {
	sim := a.sim
	if sim.now >= until {
		a.counts.lateGrants++
		h.heldUntil = until
		h.relinquish(a)
		return
	}
	if h.heldUntil <= sim.now {
		span := h.hold / 2
		if h.longTerm || h.style == renewLong || h.style == beginAgain {
			span = 3 * h.hold
		}
		h.workEnd = sim.now + 20*time.Millisecond + sim.randomSpan(span)
	}
	h.heldUntil = until
	h.renewAt = sim.now + h.hold/renewalsPerHold
}

func (h *lockCaller) renewed(a *applications, t *task) {
	now := a.sim.now
	late := now >= h.heldUntil
	switch {
	case t.hasAnswer() && t.answer.Outcome == wire.LockLost:
		a.counts.lostLocks++
		h.rest(a)
	case late:
		h.rest(a)
	case t.hasAnswer():
		a.counts.renewals++
		h.holdUntil(a, t.sent+h.hold)
	default:
		h.renewAt = now + 50*time.Millisecond
	}
}

// drop has a caller give up a task without closing its connection.
func (a *applications) drop(t *task) {
	if att := t.current; att != nil {
		att.abandoned, att.closeSeenAt = true, endless
		t.mayHaveEffect = true
	}
	t.current, t.done = nil, true
	a.rules.abandoned(t)
}

// addHolders adds callers that share a few locks: some hold them briefly, others elect a long-term holder.
func (a *applications) addHolders(count int) {
	locks := []string{"l1", "l2", "l3", "l4"}
	for i := range count {
		h := &lockCaller{holder: fmt.Sprintf("a%d.1", i), locks: locks[:3]}
		if i%3 == 2 {
			h.locks, h.longTerm = locks[3:], true
		}
		a.callers = append(a.callers, h)
	}
}
