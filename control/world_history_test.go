package control

import (
	"time"

	"github.com/anishathalye/porcupine"

	"ivybank/wire"
)

// The histories of locks, numbers and groups of keys are held against sequential models: each call takes effect at one
// moment between its sending and its answer.

// historyPatience is for how long a verdict is searched, in real time.
const historyPatience = 20 * time.Second

// lockCall is a good call on a lock, or a Finish that was sent.
type lockCall struct {
	kind   wire.CommandKind
	holder string
	fence  uint64
	until  time.Duration // the caller counts itself holder before
	done   time.Duration
}

// lockState is what the model knows of a lock: who counts itself holder, and until when.
type lockState struct {
	holder string
	fence  uint64
	until  time.Duration
}

// lockModel gives a lock to another one only once its holder counts itself such no longer. Calls that got no answer have
// no part in it: their callers know no fence.
var lockModel = porcupine.Model{
	Init: func() any { return lockState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, c := state.(lockState), input.(lockCall)
		same := c.holder == s.holder
		switch c.kind {
		case wire.BeginLock:
			if !same {
				return c.fence > s.fence && c.done >= s.until, lockState{c.holder, c.fence, c.until}
			}
			return c.fence >= s.fence, lockState{c.holder, c.fence, c.until}
		case wire.HeartbeatLock:
			return same && c.fence <= s.fence, lockState{s.holder, s.fence, max(s.until, c.until)}
		default: // a Finish
			if same && c.fence == s.fence {
				s.until = 0
			}
			return true, s
		}
	},
}

// numberModel hands out rising numbers.
var numberModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, _ any) (bool, any) { return input.(uint64) > state.(uint64), input },
}

// keyPut is a put that took effect, keyRead a call that told a key's revision, and groupRead one that told a group's.
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

// groupState is the newest revision of a group, and of each key of it.
type groupState struct {
	revision uint64
	keys     [keysOfGroup]uint64
}

// groupModel is a register with compare-and-set for each key, and one count of revisions for all.
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

// operations are the group's puts that took effect, with all reads. A put whose caller got no answer took effect before it was
// first shown.
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
		all = append(all, operation(keyPut{p.key, p.revision, p.ifRevision}, p.sent, done))
	}
	return all
}

// checkHistories looks for an explanation of all answers.
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
	if verdict := porcupine.CheckOperationsTimeout(model, history, historyPatience); verdict != porcupine.Ok {
		r.world.fail("the history of %s, of %d calls, is %s", name, len(history), verdict)
	}
}
