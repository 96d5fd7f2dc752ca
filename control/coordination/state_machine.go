package coordination

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ivybank/internal/strictcbor"
	"ivybank/wire"
)

// encoder writes commands and snapshots in the one way there is, so that those of all replicas are alike byte for byte;
// decoder reads them. A command with text that is no UTF-8 is left to Check, and spoils none beside it.
var encoder, decoder = strictcbor.Modes(cbor.DecOptions{MaxNestedLevels: 8, UTF8: cbor.UTF8DecodeInvalid})

// StateMachine is the replicated state of one part, as package replica leads it on. It implements replica.StateMachine.
type StateMachine struct {
	*State
	// Answers are those to the commands that were applied last; none where they were malformed.
	Answers []wire.Answer
}

// NewStateMachine makes a machine with an empty state.
func NewStateMachine(history time.Duration) *StateMachine { return &StateMachine{State: New(history)} }

// Encode gives commands as an entry carries them; nil for none.
func Encode(commands []wire.Command) []byte {
	if len(commands) == 0 {
		return nil
	}
	return encode(commands)
}

// encode writes a value of a type of this project, which always succeeds.
func encode(value any) []byte {
	body, err := encoder.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("coordination: encoding %T: %v", value, err))
	}
	return body
}

// decodeCommands reads what Encode gave.
func decodeCommands(body []byte) ([]wire.Command, error) {
	if len(body) == 0 {
		return nil, nil
	}
	var commands []wire.Command
	if err := decoder.Unmarshal(body, &commands); err != nil {
		return nil, fmt.Errorf("coordination: commands: %w", err)
	}
	return commands, nil
}

// Apply implements replica.StateMachine. Malformed commands, which no process of ours sends, change nothing and have no answers.
func (m *StateMachine) Apply(commands []byte, at time.Duration) {
	decoded, err := decodeCommands(commands)
	if err != nil {
		m.Answers = nil
		return
	}
	m.Answers = m.State.Apply(decoded, at)
}

// Snapshot implements replica.StateMachine.
func (m *StateMachine) Snapshot() []byte { return encode(m.snapshot()) }

// SnapshotAfter implements replica.StateMachine. It changes neither the state nor the answers.
func (m *StateMachine) SnapshotAfter(commands []byte, at time.Duration) []byte {
	after := &StateMachine{State: m.clone()}
	after.Apply(commands, at)
	return after.Snapshot()
}

// Restore implements replica.StateMachine. After an error, an ErrSnapshot, the state is the one before.
func (m *StateMachine) Restore(value []byte) error {
	restored, err := decodeState(value, m.history)
	if err != nil {
		return err
	}
	*m.State, m.Answers = *restored, nil
	return nil
}
