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
	renewals = 3
)

// holdStyle is what a holder does with a lock that it has.
type holdStyle int

const (
	holdBriefly holdStyle = iota // releases it soon
	holdOn                       // renews it for long
	holdAnew                     // begins again while it holds the lock
	holdAndDie                   // restarts without its state, under the same name
	holdAndSleep
	holdStyles
)

// lockCaller acquires locks under one holder name, one at a time.
type lockCaller struct {
	holder  string
	locks   []string
	elect   bool // renews whenever it can
	lock    string
	style   holdStyle
	hold    time.Duration
	errand  *errand
	fence   uint64
	until   time.Duration // the caller considers itself the holder until then; 0 if it isn't
	renewAt time.Duration
	workEnd time.Duration
	nextAt  time.Duration
	wantsBy time.Duration // it requests the lock until then
}

// step advances a holder.
func (h *lockCaller) step(a *applications) {
	now := a.world.now
	if h.errand != nil {
		if h.errand.command.Kind == wire.HeartbeatLock && h.until != 0 && now >= h.until {
			h.relinquish(a)
			return
		}
		if !a.pursue(h.errand) {
			return
		}
		e := h.errand
		h.errand = nil
		h.answered(a, e)
		return
	}
	switch {
	case now < h.nextAt:
	case h.until != 0:
		h.work(a)
	case h.wantsBy > now && !a.quiet:
		h.begin(a)
	case !a.quiet:
		h.want(a)
	}
}

// want chooses a lock and what to do with it.
func (h *lockCaller) want(a *applications) {
	w := a.world
	h.lock = h.locks[w.random.IntN(len(h.locks))]
	h.style = holdStyle(w.random.IntN(int(holdStyles)))
	h.hold = shortestHold + w.randomSpan(700*time.Millisecond)
	if h.elect || h.style == holdOn {
		h.hold = time.Second + w.randomSpan(longestHold-time.Second)
		if w.random.IntN(3) > 0 {
			h.hold = min(h.hold, 3*time.Second)
		}
	}
	h.hold = h.hold.Truncate(time.Millisecond)
	h.wantsBy = w.now + h.hold + 3*time.Second
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
	h.errand = a.begin(h.command(wire.BeginLock), 3*time.Second)
}

// work uses the lock in the holder's style.
func (h *lockCaller) work(a *applications) {
	now := a.world.now
	switch {
	case h.style == holdAndDie && now >= h.workEnd:
		h.until, h.nextAt = 0, now+a.world.randomSpan(h.hold+time.Second)
		h.wantsBy = h.nextAt + time.Second // the same lock again
	case h.style == holdAndSleep && now >= h.workEnd:
		h.style = holdOn
		h.nextAt = h.until - 100*time.Millisecond + a.world.randomSpan(2*time.Second)
		h.workEnd = h.nextAt
	case now >= h.until:
		h.relinquish(a)
	case now >= h.workEnd || a.quiet:
		h.finish(a)
	case now >= h.renewAt && h.style == holdAnew:
		a.counts.ownAgain++
		h.errand = a.begin(h.command(wire.BeginLock), h.until-now)
	case now >= h.renewAt:
		h.errand = a.begin(h.command(wire.HeartbeatLock), h.until-now)
	}
}

// relinquish gives up a lock that has expired; some callers send a Finish, and some a late Heartbeat.
func (h *lockCaller) relinquish(a *applications) {
	if h.errand != nil {
		a.drop(h.errand)
		h.errand = nil
	}
	h.until = 0
	switch a.world.random.IntN(4) {
	case 0:
		h.finish(a)
	case 1, 2:
		h.errand = a.begin(h.command(wire.HeartbeatLock), 500*time.Millisecond)
	default:
		h.rest(a)
	}
}

// finish releases the lock. Some callers don't wait for the answer, and acquire the same lock again at once.
func (h *lockCaller) finish(a *applications) {
	w := a.world
	a.counts.finishes++
	h.until = 0
	h.errand = a.begin(h.command(wire.FinishLock), 2*time.Second)
	if w.random.IntN(4) > 0 {
		return
	}
	a.pursue(h.errand)
	a.drop(h.errand)
	h.errand, h.wantsBy = nil, w.now+time.Second
}

func (h *lockCaller) rest(a *applications) {
	h.until, h.wantsBy = 0, 0
	h.nextAt = a.world.now + a.world.randomSpan(300*time.Millisecond)
}

// answered continues after a task.
func (h *lockCaller) answered(a *applications, e *errand) {
	switch e.command.Kind {
	case wire.BeginLock:
		h.begun(a, e)
	case wire.HeartbeatLock:
		h.renewed(a, e)
	default:
		h.rest(a)
	}
}

// begun handles the answer to a Begin. A holder that gets none continues with its current hold.
func (h *lockCaller) begun(a *applications, e *errand) {
	now := a.world.now
	switch {
	case e.clear() && e.answer.Outcome == wire.Done:
		a.counts.grants++
		h.fence = e.answer.Fence
		h.holdUntil(a, e.sent+h.hold)
	case h.until > now:
		h.renewAt = now + 50*time.Millisecond
	case e.clear():
		a.counts.refusedLocks++
		h.until, h.nextAt = 0, now+30*time.Millisecond+a.world.randomSpan(150*time.Millisecond)
	default:
		h.rest(a)
	}
}

// holdUntil makes the caller a holder, unless the hold expired before the answer arrived.
func (h *lockCaller) holdUntil(a *applications, until time.Duration) {
	w := a.world
	if w.now >= until {
		a.counts.overtime++
		h.until = until
		h.relinquish(a)
		return
	}
	if h.until <= w.now {
		span := h.hold / 2
		if h.elect || h.style == holdOn || h.style == holdAnew {
			span = 3 * h.hold
		}
		h.workEnd = w.now + 20*time.Millisecond + w.randomSpan(span)
	}
	h.until = until
	h.renewAt = w.now + h.hold/renewals
}

func (h *lockCaller) renewed(a *applications, e *errand) {
	now := a.world.now
	late := now >= h.until
	switch {
	case e.clear() && e.answer.Outcome == wire.LockLost:
		a.counts.lost++
		h.rest(a)
	case late:
		h.rest(a)
	case e.clear():
		a.counts.renewals++
		h.holdUntil(a, e.sent+h.hold)
	default:
		h.renewAt = now + 50*time.Millisecond
	}
}

// drop has a caller give up a task without closing its connection.
func (a *applications) drop(e *errand) {
	if f := e.current; f != nil {
		f.gone, f.leftAt = true, endless
		e.unclear = true
	}
	e.current, e.done = nil, true
	a.rules.abandoned(e)
}

// addHolders adds callers that share a few locks: some hold them briefly, others elect a long-term holder.
func (a *applications) addHolders(count int) {
	locks := []string{"l1", "l2", "l3", "l4"}
	for i := range count {
		h := &lockCaller{holder: fmt.Sprintf("a%d.1", i), locks: locks[:3]}
		if i%3 == 2 {
			h.locks, h.elect = locks[3:], true
		}
		a.actors = append(a.actors, h)
	}
}
