package coordination

import "time"

// Bounds of one call. A call beyond them is answered Invalid.
const (
	MaxNameBytes   = 200              // of a lock, a number, a key or a group
	MaxHolderBytes = 200              // of the name of a lock's holder
	MaxValueBytes  = 4096             // of a key's value
	MinHold        = time.Millisecond // for which a lock is asked
	MaxHold        = 10 * time.Minute // for which a lock is asked
	MaxWait        = time.Minute      // of a watch
)

// Bounds of the state of one part. A call that would go beyond them is answered Full, with nothing done. A state at
// all bounds still fits into one frame between processes.
const (
	MaxLocks     = 8192    // locks that are held
	MaxNumbers   = 4096    // names of numbers
	MaxGroups    = 4096    // groups of keys
	MaxKeys      = 16384   // keys in all groups
	MaxRecords   = 32768   // puts and rejections that are remembered
	MaxTextBytes = 6 << 20 // bytes of names and values in keys and records
)

// Bounds of one answer to a watch, which has at least one event. The watcher gets the rest by asking again.
const (
	MaxEvents     = 500
	MaxEventBytes = 256 << 10 // bytes of names and values
)
