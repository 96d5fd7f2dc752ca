package control

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"ivybank/control/coordination"
	"ivybank/wire"
)

// rules are what the answers to applications must satisfy. They are checked with each answer; an answer that only a
// later one shows to be wrong fails then, or at the end.
type rules struct {
	sim     *simulation
	locks   map[string]*lockRules
	numbers map[string]*numberRules
	groups  map[string]*groupRules
}

func newRules(sim *simulation) *rules {
	return &rules{sim: sim, locks: map[string]*lockRules{}, numbers: map[string]*numberRules{},
		groups: map[string]*groupRules{}}
}

// newOperation returns an operation of a history, from a call's sending to its answer.
func newOperation(input any, sent, done time.Duration) porcupine.Operation {
	return porcupine.Operation{Input: input, Call: int64(sent), Return: int64(done)}
}

// sending records an attempt, and returns what its answer will be compared with.
func (r *rules) sending(t *task) any {
	c := &t.command
	switch c.Kind {
	case wire.BeginLock:
		return r.lock(c.Name).before(c.Holder)
	case wire.FinishLock:
		r.lock(c.Name).finishSent(c, t.attempts == 1, r.sim.now)
	case wire.NextNumber:
		return r.number(c.Name).newest
	case wire.ReplaceKey:
		r.group(c.Name).sendingPut(c, r.sim.now)
	case wire.GetKey:
		return r.group(c.Name).acked[c.Name]
	case wire.WatchGroup:
		return r.group(c.Name).newest
	}
	return nil
}

// answeredCall checks an answer against the rules.
func (r *rules) answeredCall(t *task, att *attempt) {
	c := &t.command
	switch c.Kind {
	case wire.BeginLock:
		r.lock(c.Name).begun(t, att.expected.(fencesBefore))
	case wire.HeartbeatLock:
		r.lock(c.Name).renewed(t)
	case wire.FinishLock:
		r.lock(c.Name).finished(t)
	case wire.NextNumber:
		r.number(c.Name).given(t, att.expected.(uint64))
	case wire.ReplaceKey:
		r.group(c.Name).answeredPut(t)
	case wire.GetKey:
		r.group(c.Name).wasRead(t, att.expected.(uint64))
	case wire.WatchGroup:
		r.group(c.Name).watched(t, att.expected.(uint64))
	}
}

// abandoned records that a caller has given up a task.
func (r *rules) abandoned(t *task) {
	if t.command.Kind == wire.ReplaceKey && !t.mayHaveEffect {
		r.sim.applications.counts.refusedPuts++
		r.group(t.command.Name).refuse(t.command.Value, "answered 503")
	}
}

func (r *rules) lock(name string) *lockRules {
	if r.locks[name] == nil {
		r.locks[name] = &lockRules{sim: r.sim, name: name, holds: map[string]*hold{}, fences: map[uint64]string{}}
	}
	return r.locks[name]
}

func (r *rules) number(name string) *numberRules {
	if r.numbers[name] == nil {
		r.numbers[name] = &numberRules{sim: r.sim, name: name, all: map[uint64]bool{}}
	}
	return r.numbers[name]
}

func (r *rules) group(key string) *groupRules {
	name := coordination.GroupOf(key)
	if r.groups[name] == nil {
		r.groups[name] = newGroupRules(r.sim, name)
	}
	return r.groups[name]
}

// hold is how long a caller considers itself the holder of a lock.
type hold struct {
	heldUntil   time.Duration // exclusive
	newestFence uint64        // the newest fence that it has received
}

// lockRules are the rules for one lock, and what they have recorded.
type lockRules struct {
	sim     *simulation
	name    string
	holds   map[string]*hold
	fences  map[uint64]string // who received each fence
	history []porcupine.Operation
	granted int
	// finishing is the index in history of each holder's Finish in progress.
	finishing map[string]int
}

// fencesBefore are the fences that had been received when a call was sent.
type fencesBefore struct{ own, others uint64 }

func (l *lockRules) holdOf(holder string) *hold {
	if l.holds[holder] == nil {
		l.holds[holder] = &hold{}
	}
	return l.holds[holder]
}

func (l *lockRules) before(holder string) (b fencesBefore) {
	for name, h := range l.holds {
		if name == holder {
			b.own = h.newestFence
		} else {
			b.others = max(b.others, h.newestFence)
		}
	}
	return b
}

// begun checks the answer to a Begin.
func (l *lockRules) begun(t *task, before fencesBefore) {
	if t.answer.Outcome != wire.Done {
		return
	}
	sim, c, fence := l.sim, &t.command, t.answer.Fence
	if fence <= before.others || fence < before.own {
		sim.fail("ONE: %s got lock %s with fence %d, after its own %d and another holder's %d", c.Holder, l.name, fence,
			before.own, before.others)
	}
	if other, had := l.fences[fence]; had && other != c.Holder {
		sim.fail("ONE: %s and %s both got lock %s with fence %d", other, c.Holder, l.name, fence)
	}
	l.fences[fence] = c.Holder
	l.granted++
	h := l.holdOf(c.Holder)
	h.newestFence = max(h.newestFence, fence)
	until := t.sent + time.Duration(c.HoldMS)*time.Millisecond
	l.history = append(l.history, newOperation(lockCall{kind: c.Kind, holder: c.Holder, fence: fence, heldUntil: until,
		done: t.answered}, t.sent, t.answered))
	if sim.now < until {
		l.countHolder(c.Holder, until)
	}
}

// countHolder records that a caller considers itself the holder, and checks that nobody else does.
func (l *lockRules) countHolder(holder string, until time.Duration) {
	for name, h := range l.holds {
		if name != holder && h.heldUntil > l.sim.now {
			l.sim.fail("ONE: %s considers itself holder of %s, and so does %s until %v", holder, l.name, name, h.heldUntil)
		}
	}
	l.holdOf(holder).heldUntil = until
}

// renewed checks the answer to a Heartbeat. A late answer has no effect.
func (l *lockRules) renewed(t *task) {
	c := &t.command
	if t.answer.Outcome != wire.Done {
		return
	}
	until := t.sent + time.Duration(c.HoldMS)*time.Millisecond
	l.history = append(l.history, newOperation(lockCall{kind: c.Kind, holder: c.Holder, fence: c.Fence, heldUntil: until,
		done: t.answered}, t.sent, t.answered))
	if l.sim.now < l.holdOf(c.Holder).heldUntil {
		l.countHolder(c.Holder, until)
	}
}

// finishSent records that a caller releases a lock: from the sending on it no longer considers itself the holder.
func (l *lockRules) finishSent(c *wire.Command, first bool, now time.Duration) {
	if !first {
		return
	}
	l.holdOf(c.Holder).heldUntil = 0
	if l.finishing == nil {
		l.finishing = map[string]int{}
	}
	l.finishing[c.Holder] = len(l.history)
	l.history = append(l.history, newOperation(lockCall{kind: c.Kind, holder: c.Holder, fence: c.Fence}, now, endless))
}

func (l *lockRules) finished(t *task) {
	if t.answer.Outcome != wire.Done {
		l.sim.fail("a Finish of lock %s was answered with outcome %d", l.name, t.answer.Outcome)
	}
	l.history[l.finishing[t.command.Holder]].Return = int64(t.answered)
}

// numberRules are the rules for one sequence of numbers, and what they have recorded.
type numberRules struct {
	sim     *simulation
	name    string
	newest  uint64
	all     map[uint64]bool
	history []porcupine.Operation
}

func (n *numberRules) given(t *task, before uint64) {
	number := t.answer.Number
	if t.answer.Outcome != wire.Done || n.all[number] || number <= before {
		n.sim.fail("ORDER: %s returned %+v; %d had been returned before; duplicate: %v", n.name, t.answer, before,
			n.all[number])
	}
	n.all[number] = true
	n.newest = max(n.newest, number)
	n.history = append(n.history, newOperation(number, t.sent, t.answered))
}

func describeAnswer(t *task) string {
	return fmt.Sprintf("%+v sent %v answered %v %+v", t.command, t.sent, t.answered, t.answer)
}
