package wire

// CommandKind is what an application's call does.
type CommandKind uint8

// The kinds of commands.
const (
	BeginLock     CommandKind = iota + 1 // take a lock, or take it again
	HeartbeatLock                        // hold a lock for longer
	FinishLock                           // give a lock back
	NextNumber                           // hand out a number of a name
	ReplaceKey                           // put a value
	GetKey                               // read a value
	WatchGroup                           // wait for puts in a group of keys
)

// Command is one call of an application on locks, numbers and keys. Which fields count depends on its kind.
type Command struct {
	Kind   CommandKind `cbor:"1,keyasint"`
	Name   string      `cbor:"2,keyasint"` // of the lock, number or key; of a group, with its dot, for a watch
	Holder string      `cbor:"3,keyasint,omitempty"`
	Fence  uint64      `cbor:"4,keyasint,omitempty"`
	HoldMS int64       `cbor:"5,keyasint,omitempty"`
	Value  string      `cbor:"6,keyasint,omitempty"`
	// IfRevision is the revision that the key must have, 0 where it must not exist; nil for any.
	IfRevision *uint64 `cbor:"7,keyasint,omitempty"`
	After      uint64  `cbor:"8,keyasint,omitempty"` // revision after which a watch begins
	WaitMS     int64   `cbor:"9,keyasint,omitempty"` // for which a watch waits
}

// Outcome is how a command ended.
type Outcome uint8

// The outcomes. NotServed, Mismatched and Full promise that the command has not taken effect and never will.
const (
	Done           Outcome = iota + 1
	HeldByOther            // another one holds the lock
	LockLost               // the caller doesn't hold the lock any more
	Mismatched             // the key has another revision
	NotFound               // the key was never put
	Compacted              // the history of the group no longer reaches back so far
	Full                   // a bound of the state is reached
	Invalid                // a field is missing or out of its bounds
	NotServed              // no holder of the part is reached, and nothing was done
	OutcomeUnknown         // it may or may not have taken effect: the caller gets no answer
)

// Answer is the answer to a command. Which fields count depends on its kind and outcome.
type Answer struct {
	Outcome  Outcome  `cbor:"1,keyasint"`
	Fence    uint64   `cbor:"2,keyasint,omitempty"`
	Number   uint64   `cbor:"3,keyasint,omitempty"`
	Revision uint64   `cbor:"4,keyasint,omitempty"` // of the key; of the group, for a watch
	Value    string   `cbor:"5,keyasint,omitempty"`
	Events   []Change `cbor:"6,keyasint,omitempty"`
}

// Change is one put, as watches tell it and the history keeps it.
type Change struct {
	Key      string `cbor:"1,keyasint"`
	Value    string `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"`
}

// PartCall passes a command on to the leader of a part.
type PartCall struct {
	Number   uint64  `cbor:"1,keyasint"` // echoed by the reply
	Life     uint64  `cbor:"2,keyasint"` // of the process that asks, echoed by the reply
	WaitedMS int64   `cbor:"3,keyasint,omitempty"`
	Command  Command `cbor:"4,keyasint"`
}

// PartReply answers a PartCall.
type PartReply struct {
	Number uint64 `cbor:"1,keyasint"`
	Life   uint64 `cbor:"2,keyasint"`
	Answer Answer `cbor:"3,keyasint"`
}
