// Package coordination is the state of one part of the locks, numbers and keys that applications share. It is free of I/O
// and of clocks: commands and the group's time are handed in, and the same commands at the same times give the same state
// and answers on each replica.
//
// A command may arrive late, and more than once. What each rule does about that is told beside it: locks.go, keys.go and
// history.go.
package coordination

import (
	"time"

	"ivybank/wire"
)

// State is that of one part. It is not safe for concurrent use.
type State struct {
	history   time.Duration
	groupTime time.Duration // of the group's time, as far as it was handed in
	locks     lockTable
	numbers   map[string]uint64 // by name, the last one that was handed out
	keys      keyTable
	records   recordLog
}

// New makes an empty state that keeps the history of puts for a span of the group's time.
func New(history time.Duration) *State {
	return &State{
		history: history,
		locks:   newLockTable(),
		numbers: map[string]uint64{},
		keys:    newKeyTable(),
		records: newRecordLog(),
	}
}

// Apply carries commands out, in order, at one moment of the group's time, and gives an answer to each. A time before the
// newest one counts as the newest one.
func (s *State) Apply(commands []wire.Command, at time.Duration) []wire.Answer {
	s.advance(at)
	answers := make([]wire.Answer, len(commands))
	for i := range commands {
		answers[i] = s.apply(&commands[i])
	}
	return answers
}

// advance moves the time on: expired locks are free, and what is older than the history is forgotten.
func (s *State) advance(at time.Duration) {
	s.groupTime = max(s.groupTime, at)
	s.locks.expire(s.groupTime)
	s.compact(s.groupTime - s.history)
}

// apply carries one command out at the newest time.
func (s *State) apply(c *wire.Command) wire.Answer {
	if Validate(c) != nil {
		return wire.Answer{Outcome: wire.Invalid}
	}
	switch c.Kind {
	case wire.BeginLock:
		return s.locks.begin(c, s.groupTime)
	case wire.HeartbeatLock:
		return s.locks.heartbeat(c, s.groupTime)
	case wire.FinishLock:
		return s.locks.finish(c)
	case wire.NextNumber:
		return s.nextNumber(c.Name)
	case wire.ReplaceKey:
		return s.replaceKey(c)
	case wire.GetKey:
		return s.getKey(c.Name)
	default: // wire.WatchGroup, as Check has seen
		answer, _ := s.watchGroup(c)
		return answer
	}
}

// TryAnswer decides on a command without changing the state, where that can be done: a read, a lock that another one holds, a
// call that is invalid, a watch that has something to tell. It reports false where the command has to be applied, or a watch
// has to wait; the answer of a watch that has to wait is the one to give when its time is over.
func (s *State) TryAnswer(c *wire.Command, at time.Duration) (wire.Answer, bool) {
	if Validate(c) != nil {
		return wire.Answer{Outcome: wire.Invalid}, true
	}
	switch c.Kind {
	case wire.GetKey:
		return s.getKey(c.Name), true
	case wire.WatchGroup:
		return s.watchGroup(c)
	case wire.BeginLock:
		if s.locks.heldByOther(c, max(at, s.groupTime)) {
			return wire.Answer{Outcome: wire.HeldByOther}, true
		}
	}
	return wire.Answer{}, false
}

// Revision gives the newest revision of a group of keys, 0 for one that was never put.
func (s *State) Revision(group string) uint64 {
	if g := s.keys.groups[group]; g != nil {
		return g.revision
	}
	return 0
}
