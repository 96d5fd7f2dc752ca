package coordination

import "time"

// Limits of one call. A call that exceeds them is answered Invalid.
const (
	MaxNameBytes   = 200              // length of the name of a lock, a number, a key or a group
	MaxHolderBytes = 200              // length of the name of a lock holder
	MaxValueBytes  = 4096             // length of the value of a key
	MinHold        = time.Millisecond // shortest hold of a lock that a call may ask for
	MaxHold        = 10 * time.Minute // longest hold of a lock that a call may ask for
	MaxWait        = time.Minute      // longest wait of a watch
)

// Limits of the state of one part. A call that would exceed them is answered Full and has no effect. A state that has
// reached all limits still fits into one frame between processes.
const (
	MaxLocks     = 8192    // held locks
	MaxNumbers   = 4096    // names of numbers
	MaxGroups    = 4096    // groups of keys
	MaxKeys      = 16384   // keys of all groups together
	MaxRecords   = 32768   // remembered puts and rejections
	MaxTextBytes = 6 << 20 // bytes of the names and values of keys and records
)

// Limits of one answer to a watch. An answer has at least one event whatever its size. The client gets the remaining
// events with further calls.
const (
	MaxEvents     = 500
	MaxEventBytes = 256 << 10 // bytes of names and values
)
