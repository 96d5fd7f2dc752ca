package control

import (
	"time"

	"github.com/anishathalye/porcupine"

	"ivybank/wire"
)

// The histories of locks, numbers and groups of keys are checked against sequential models: each call takes effect at
// one moment between its sending and its answer.

// historyTimeout is how long a history is checked at most, in real time.
const historyTimeout = 20 * time.Second

// lockCall is a successful call on a lock, or a Finish that was sent.
type lockCall struct {
	kind      wire.CommandKind
	holder    string
	fence     uint64
	heldUntil time.Duration // the caller considers itself the holder until then
	done      time.Duration
}

// lockState is the state of a lock in the model: who considers itself the holder, and until when.
type lockState struct {
	holder    string
	fence     uint64
	heldUntil time.Duration
}

// lockModel gives a lock to another holder only once the previous one no longer considers itself the holder. Calls
// without an answer are not included: their callers know no fence.
var lockModel = porcupine.Model{
	Init: func() any { return lockState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, c := state.(lockState), input.(lockCall)
		same := c.holder == s.holder
		switch c.kind {
		case wire.BeginLock:
			if !same {
				return c.fence > s.fence && c.done >= s.heldUntil, lockState{c.holder, c.fence, c.heldUntil}
			}
			return c.fence >= s.fence, lockState{c.holder, c.fence, c.heldUntil}
		case wire.HeartbeatLock:
			return same && c.fence <= s.fence, lockState{s.holder, s.fence, max(s.heldUntil, c.heldUntil)}
		default: // Finish
			if same && c.fence == s.fence {
				s.heldUntil = 0
			}
			return true, s
		}
	},
}

// numberModel returns increasing numbers.
var numberModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, _ any) (bool, any) { return input.(uint64) > state.(uint64), input },
}

// keyPut is a put that took effect, keyRead a call that returned a key's revision, and groupRead one that returned a
// group's.
type (
	keyPut struct {
		key        string
		revision   uint64
		ifRevision *uint64
	}
	keyRead struct {
		key      string
		revision uint64
	}
	groupRead struct{ revision uint64 }
)

// groupState is the newest revision of a group, and of each of its keys.
type groupState struct {
	revision uint64
	keys     [keysPerGroup]uint64
}

// groupModel is a compare-and-set register for each key, with one revision counter for all.
func groupModel(number func(key string) int) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return groupState{} },
		Step: func(state, input, _ any) (bool, any) {
			s := state.(groupState)
			switch c := input.(type) {
			case keyPut:
				key := &s.keys[number(c.key)]
				fits := c.revision > s.revision && (c.ifRevision == nil || *c.ifRevision == *key)
				s.revision, *key = c.revision, c.revision
				return fits, s
			case keyRead:
				return s.keys[number(c.key)] == c.revision, s
			default:
				revision := c.(groupRead).revision
				fits := revision >= s.revision
				s.revision = revision
				return fits, s
			}
		},
	}
}

// operations returns the group's puts that took effect, with all reads. A put without an answer took effect before it
// was first shown.
func (g *groupRules) operations() []porcupine.Operation {
	all := g.history
	for _, p := range g.puts {
		if p.revision == 0 {
			continue
		}
		done := p.shownAt
		if p.ackedAt != 0 {
			done = min(done, p.ackedAt)
		}
		all = append(all, newOperation(keyPut{p.key, p.revision, p.ifRevision}, p.sent, done))
	}
	return all
}

// checkHistories checks that all answers are linearizable.
func (r *rules) checkHistories() {
	for name, l := range r.locks {
		r.checkHistory("lock "+name, lockModel, l.history)
	}
	for name, n := range r.numbers {
		r.checkHistory("number "+name, numberModel, n.history)
	}
	for name, g := range r.groups {
		g.checkEnd()
		r.checkHistory("group "+name, groupModel(keyNumber), g.operations())
	}
}

func (r *rules) checkHistory(name string, model porcupine.Model, history []porcupine.Operation) {
	if verdict := porcupine.CheckOperationsTimeout(model, history, historyTimeout); verdict != porcupine.Ok {
		r.sim.fail("checking the history of %s, of %d calls: %s", name, len(history), verdict)
	}
}
