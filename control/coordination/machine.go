package coordination

import (
	"time"

	"ivybank/wire"
)

// Machine is the replicated state of one part, as package replica leads it on. It implements replica.Machine.
type Machine struct {
	*State
	// Answers are those to the commands that were applied last.
	Answers []wire.Answer
}

// NewMachine makes a machine with an empty state.
func NewMachine(history time.Duration) *Machine { return &Machine{State: New(history)} }

// Encode gives commands as an entry carries them; nil for none.
func Encode(commands []wire.Command) []byte { panic("not built yet") }

// Apply implements replica.Machine.
func (m *Machine) Apply(commands []byte, at time.Duration) { panic("not built yet") }

// Snapshot implements replica.Machine.
func (m *Machine) Snapshot() []byte { panic("not built yet") }

// SnapshotAfter implements replica.Machine.
func (m *Machine) SnapshotAfter(commands []byte, at time.Duration) []byte { panic("not built yet") }

// Restore implements replica.Machine.
func (m *Machine) Restore(value []byte) error { panic("not built yet") }

// PartOf gives the part, from 0, that a command belongs to: all keys of a group, and its watches, to one.
func PartOf(c *wire.Command, parts int) int { panic("not built yet") }
