package coordination

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ivybank/internal/strictcbor"
	"ivybank/wire"
)

// encoder writes commands and snapshots in a canonical encoding, so that those of all replicas are identical byte for
// byte; decoder reads them. The decoder accepts invalid UTF-8, so that Validate rejects just the command that contains
// it and not the whole batch.
var encoder, decoder = strictcbor.Modes(cbor.DecOptions{MaxNestedLevels: 8, UTF8: cbor.UTF8DecodeInvalid})

// StateMachine is the replicated state of one part. It implements replica.StateMachine.
type StateMachine struct {
	*State
	// Answers are the answers to the commands that were applied last; none if these commands were malformed.
	Answers []wire.Answer
}

// NewStateMachine creates a state machine with an empty state. The history is as for New.
func NewStateMachine(history time.Duration) *StateMachine { return &StateMachine{State: New(history)} }

// Encode encodes commands for a log entry. It returns nil if there are none.
func Encode(commands []wire.Command) []byte {
	if len(commands) == 0 {
		return nil
	}
	return encode(commands)
}

// encode encodes a value of a type of this project. It panics if that fails, which can't happen with these types.
func encode(value any) []byte {
	body, err := encoder.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("coordination: encoding %T: %v", value, err))
	}
	return body
}

// decodeCommands decodes what Encode returned.
func decodeCommands(body []byte) ([]wire.Command, error) {
	if len(body) == 0 {
		return nil, nil
	}
	var commands []wire.Command
	if err := decoder.Unmarshal(body, &commands); err != nil {
		return nil, fmt.Errorf("coordination: decoding commands: %w", err)
	}
	return commands, nil
}

// Apply implements replica.StateMachine. Malformed commands, which no process of this project sends, change nothing and
// have no answers.
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

// SnapshotAfter implements replica.StateMachine. It must change neither the state nor the answers.
func (m *StateMachine) SnapshotAfter(commands []byte, at time.Duration) []byte {
	after := &StateMachine{State: m.clone()}
	after.Apply(commands, at)
	return after.Snapshot()
}

// Restore implements replica.StateMachine. Errors match ErrMalformedSnapshot and leave the state unchanged.
func (m *StateMachine) Restore(value []byte) error {
	restored, err := decodeState(value, m.history)
	if err != nil {
		return err
	}
	*m.State, m.Answers = *restored, nil
	return nil
}
