// Package coordination holds the state of one part of the coordination service: locks, numbers and keys that
// applications share. It does no I/O and reads no clock: commands and the group time are passed in, and the same
// commands at the same times must give the same state and the same answers on each replica. The group time is the time
// that a replica group agrees on; it never decreases.
//
// A command may arrive late and more than once. The types and functions in locks.go, keys.go and history.go document
// how they handle that.
package coordination

import (
	"time"

	"ivybank/wire"
)

// State is the state of one part. It is not safe for concurrent use.
type State struct {
	history   time.Duration // span of group time for which puts and rejections are remembered
	groupTime time.Duration // newest group time that was passed to Apply
	locks     lockTable
	numbers   map[string]uint64 // last number of each name
	keys      keyTable
	records   recordLog
}

// New creates an empty state that keeps puts and rejections in its history for a span of group time.
func New(history time.Duration) *State {
	return &State{
		history: history,
		locks:   newLockTable(),
		numbers: map[string]uint64{},
		keys:    newKeyTable(),
		records: newRecordLog(),
	}
}

// Apply applies commands in order at one group time, and returns the answer to each of them. A time that is earlier
// than the newest one counts as the newest one.
func (s *State) Apply(commands []wire.Command, at time.Duration) []wire.Answer {
	s.advance(at)
	answers := make([]wire.Answer, len(commands))
	for i := range commands {
		answers[i] = s.apply(&commands[i])
	}
	return answers
}

// advance advances the group time, releases the locks that have expired and removes records older than the history.
func (s *State) advance(at time.Duration) {
	s.groupTime = max(s.groupTime, at)
	s.locks.expire(s.groupTime)
	s.compact(s.groupTime - s.history)
}

// apply applies one command at the newest group time.
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
	default: // wire.WatchGroup: Validate has rejected unknown kinds
		answer, _ := s.watchGroup(c)
		return answer
	}
}

// TryAnswer answers a command without changing the state if that is possible: a read, a Begin of a lock that another
// holder has, an invalid command, or a watch that needs no wait. It returns false if the command has to be applied or
// if a watch has to wait. The answer returned for a watch that has to wait is the one to give when its wait is over.
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

// Revision returns the newest revision of a group of keys, or 0 if none of its keys was ever put.
func (s *State) Revision(group string) uint64 {
	if g := s.keys.groups[group]; g != nil {
		return g.revision
	}
	return 0
}
