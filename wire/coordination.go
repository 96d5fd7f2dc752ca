package wire

// CommandKind is the operation that an application's call requests.
type CommandKind uint8

// Kinds of commands.
const (
	BeginLock     CommandKind = iota + 1 // acquire a lock, or acquire it again
	HeartbeatLock                        // extend the hold of a lock
	FinishLock                           // release a lock
	NextNumber                           // allocate the next number of a name
	ReplaceKey                           // set a value
	GetKey                               // read a value
	WatchGroup                           // wait for changes in a group of keys
)

// Command is one call of an application on locks, numbers and keys. Its kind decides which fields are used.
type Command struct {
	Kind   CommandKind `cbor:"1,keyasint"`
	Name   string      `cbor:"2,keyasint"` // name of the lock, number or key; for a watch, of a group, with its dot
	Holder string      `cbor:"3,keyasint,omitempty"`
	Fence  uint64      `cbor:"4,keyasint,omitempty"`
	HoldMS int64       `cbor:"5,keyasint,omitempty"`
	Value  string      `cbor:"6,keyasint,omitempty"`
	// IfRevision is the revision that the key must have, 0 if it must not exist; nil for any.
	IfRevision *uint64 `cbor:"7,keyasint,omitempty"`
	After      uint64  `cbor:"8,keyasint,omitempty"` // revision after which a watch begins
	WaitMS     int64   `cbor:"9,keyasint,omitempty"` // time for which a watch waits
}

// Outcome is the result of a command.
type Outcome uint8

// Outcomes of a command. NotServed, Mismatched and Full guarantee that the command has not taken effect and never
// will.
const (
	Done           Outcome = iota + 1
	HeldByOther            // another caller holds the lock
	LockLost               // the caller no longer holds the lock
	Mismatched             // the key has another revision
	NotFound               // the key was never set
	Compacted              // the history of the group no longer reaches back that far
	Full                   // a size limit of the state is reached
	Invalid                // a field is missing or out of bounds
	NotServed              // no leader of the part can be reached, and nothing was done
	OutcomeUnknown         // it may or may not have taken effect; the caller gets no answer
)

// Answer is the answer to a command. Kind and outcome decide which fields are used.
type Answer struct {
	Outcome  Outcome  `cbor:"1,keyasint"`
	Fence    uint64   `cbor:"2,keyasint,omitempty"`
	Number   uint64   `cbor:"3,keyasint,omitempty"`
	Revision uint64   `cbor:"4,keyasint,omitempty"` // of the key; for a watch, of the group
	Value    string   `cbor:"5,keyasint,omitempty"`
	Events   []Change `cbor:"6,keyasint,omitempty"`
}

// Change is one change of a key, as reported by watches and kept in the history.
type Change struct {
	Key      string `cbor:"1,keyasint"`
	Value    string `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"`
}

// PartCall forwards a command to the leader of a part.
type PartCall struct {
	Number      uint64  `cbor:"1,keyasint"` // echoed by the reply
	Incarnation uint64  `cbor:"2,keyasint"` // incarnation of the requesting process, echoed by the reply
	WaitedMS    int64   `cbor:"3,keyasint,omitempty"`
	Command     Command `cbor:"4,keyasint"`
}

// PartReply is the reply to a PartCall.
type PartReply struct {
	Number      uint64 `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Answer      Answer `cbor:"3,keyasint"`
}
