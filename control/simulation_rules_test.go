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
	world   *world
	locks   map[string]*lockRules
	numbers map[string]*numberRules
	groups  map[string]*groupRules
}

func newRules(w *world) *rules {
	return &rules{world: w, locks: map[string]*lockRules{}, numbers: map[string]*numberRules{}, groups: map[string]*groupRules{}}
}

// newOperation returns an operation of a history, from a call's sending to its answer.
func operation(input any, sent, done time.Duration) porcupine.Operation {
	return porcupine.Operation{Input: input, Call: int64(sent), Return: int64(done)}
}

// sending records an attempt, and returns what its answer will be compared with.
func (r *rules) sending(e *errand) any {
	c := &e.command
	switch c.Kind {
	case wire.BeginLock:
		return r.lock(c.Name).before(c.Holder)
	case wire.FinishLock:
		r.lock(c.Name).finishing(c, e.tries == 1, r.world.now)
	case wire.NextNumber:
		return r.number(c.Name).newest
	case wire.ReplaceKey:
		r.group(c.Name).sendingPut(c, r.world.now)
	case wire.GetKey:
		return r.group(c.Name).acked[c.Name]
	case wire.WatchGroup:
		return r.group(c.Name).newest
	}
	return nil
}

// answeredCall checks an answer against the rules.
func (r *rules) answeredCall(e *errand, f *attempt) {
	c := &e.command
	switch c.Kind {
	case wire.BeginLock:
		r.lock(c.Name).begun(e, f.before.(fencesBefore))
	case wire.HeartbeatLock:
		r.lock(c.Name).renewed(e)
	case wire.FinishLock:
		r.lock(c.Name).finished(e)
	case wire.NextNumber:
		r.number(c.Name).given(e, f.before.(uint64))
	case wire.ReplaceKey:
		r.group(c.Name).answeredPut(e)
	case wire.GetKey:
		r.group(c.Name).wasRead(e, f.before.(uint64))
	case wire.WatchGroup:
		r.group(c.Name).watched(e, f.before.(uint64))
	}
}

// abandoned records that a caller has given up a task.
func (r *rules) abandoned(e *errand) {
	if e.command.Kind == wire.ReplaceKey && !e.unclear {
		r.world.applications.counts.refusedPuts++
		r.group(e.command.Name).refuse(e.command.Value, "answered 503")
	}
}

func (r *rules) lock(name string) *lockRules {
	if r.locks[name] == nil {
		r.locks[name] = &lockRules{world: r.world, name: name, holds: map[string]*hold{}, fences: map[uint64]string{}}
	}
	return r.locks[name]
}

func (r *rules) number(name string) *numberRules {
	if r.numbers[name] == nil {
		r.numbers[name] = &numberRules{world: r.world, name: name, all: map[uint64]bool{}}
	}
	return r.numbers[name]
}

func (r *rules) group(key string) *groupRules {
	name := coordination.GroupOf(key)
	if r.groups[name] == nil {
		r.groups[name] = newGroupRules(r.world, name)
	}
	return r.groups[name]
}

// hold is how long a caller considers itself the holder of a lock.
type hold struct {
	until  time.Duration // exclusive
	newest uint64        // the newest fence that it has received
}

// lockRules are the rules for one lock, and what they have recorded.
type lockRules struct {
	world   *world
	name    string
	holds   map[string]*hold
	fences  map[uint64]string // who received each fence
	history []porcupine.Operation
	granted int
	// finishing is the index in history of each holder's Finish in progress.
	releasing map[string]int
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
			b.own = h.newest
		} else {
			b.others = max(b.others, h.newest)
		}
	}
	return b
}

// begun checks the answer to a Begin.
func (l *lockRules) begun(e *errand, before fencesBefore) {
	if e.answer.Outcome != wire.Done {
		return
	}
	w, c, fence := l.world, &e.command, e.answer.Fence
	if fence <= before.others || fence < before.own {
		w.fail("ONE: %s got lock %s with fence %d, after its own %d and another holder's %d", c.Holder, l.name, fence, before.own, before.others)
	}
	if other, had := l.fences[fence]; had && other != c.Holder {
		w.fail("ONE: %s and %s both got lock %s with fence %d", other, c.Holder, l.name, fence)
	}
	l.fences[fence] = c.Holder
	l.granted++
	h := l.holdOf(c.Holder)
	h.newest = max(h.newest, fence)
	until := e.sent + time.Duration(c.HoldMS)*time.Millisecond
	l.history = append(l.history, operation(lockCall{kind: c.Kind, holder: c.Holder, fence: fence, until: until, done: e.answered}, e.sent, e.answered))
	if w.now < until {
		l.count(c.Holder, until)
	}
}

// countHolder records that a caller considers itself the holder, and checks that nobody else does.
func (l *lockRules) count(holder string, until time.Duration) {
	for name, h := range l.holds {
		if name != holder && h.until > l.world.now {
			l.world.fail("ONE: %s considers itself holder of %s, and so does %s until %v", holder, l.name, name, h.until)
		}
	}
	l.holdOf(holder).until = until
}

// renewed checks the answer to a Heartbeat. A late answer has no effect.
func (l *lockRules) renewed(e *errand) {
	c := &e.command
	if e.answer.Outcome != wire.Done {
		return
	}
	until := e.sent + time.Duration(c.HoldMS)*time.Millisecond
	l.history = append(l.history, operation(lockCall{kind: c.Kind, holder: c.Holder, fence: c.Fence, until: until, done: e.answered}, e.sent, e.answered))
	if l.world.now < l.holdOf(c.Holder).until {
		l.count(c.Holder, until)
	}
}

// finishSent records that a caller releases a lock: from the sending on it no longer considers itself the holder.
func (l *lockRules) finishing(c *wire.Command, first bool, now time.Duration) {
	if !first {
		return
	}
	l.holdOf(c.Holder).until = 0
	if l.releasing == nil {
		l.releasing = map[string]int{}
	}
	l.releasing[c.Holder] = len(l.history)
	l.history = append(l.history, operation(lockCall{kind: c.Kind, holder: c.Holder, fence: c.Fence}, now, endless))
}

func (l *lockRules) finished(e *errand) {
	if e.answer.Outcome != wire.Done {
		l.world.fail("a Finish of lock %s was answered with outcome %d", l.name, e.answer.Outcome)
	}
	l.history[l.releasing[e.command.Holder]].Return = int64(e.answered)
}

// numberRules are the rules for one sequence of numbers, and what they have recorded.
type numberRules struct {
	world   *world
	name    string
	newest  uint64
	all     map[uint64]bool
	history []porcupine.Operation
}

func (n *numberRules) given(e *errand, before uint64) {
	number := e.answer.Number
	if e.answer.Outcome != wire.Done || n.all[number] || number <= before {
		n.world.fail("ORDER: %s returned %+v; %d had been returned before; duplicate: %v", n.name, e.answer, before, n.all[number])
	}
	n.all[number] = true
	n.newest = max(n.newest, number)
	n.history = append(n.history, operation(number, e.sent, e.answered))
}

func describeAnswer(e *errand) string {
	return fmt.Sprintf("%+v sent %v answered %v %+v", e.command, e.sent, e.answered, e.answer)
}
