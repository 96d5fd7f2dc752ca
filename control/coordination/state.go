// Package coordination is the state of one part of the locks, numbers and keys that applications share. It is free of I/O
// and of clocks: commands and the group's time are handed in, and the same commands at the same times give the same state
// and answers on each replica.
package coordination

import (
	"time"

	"ivybank/wire"
)

// State is that of one part. It is not safe for concurrent use.
type State struct {
	history time.Duration
}

// New makes an empty state that keeps the history of puts for a span of the group's time.
func New(history time.Duration) *State { return &State{history: history} }

// Apply carries commands out, in order, at one moment of the group's time, and gives an answer to each.
func (s *State) Apply(commands []wire.Command, at time.Duration) []wire.Answer {
	panic("not built yet")
}

// Answer decides on a command without changing the state, where that can be done: a read, a lock that another one holds, a
// call that is invalid, a watch that has something to tell. It reports false where the command has to be applied, or a watch
// has to wait.
func (s *State) Answer(c *wire.Command, at time.Duration) (wire.Answer, bool) {
	panic("not built yet")
}

// Revision gives the newest revision of a group of keys.
func (s *State) Revision(group string) uint64 { panic("not built yet") }
