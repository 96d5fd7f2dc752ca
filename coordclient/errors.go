package coordclient

import (
	"errors"
	"fmt"
)

// The errors that callers decide by, with errors.Is.
var (
	// ErrHeld means that another holder has the lock.
	ErrHeld = errors.New("coordclient: lock is held by another")
	// ErrLost means that the lock is no longer held: another one may have it.
	ErrLost = errors.New("coordclient: lock is lost")
	// ErrFinished is the cause with which a lock's context ends once the lock is given back.
	ErrFinished = errors.New("coordclient: lock is given back")
	// ErrNotFound means that the key was never put.
	ErrNotFound = errors.New("coordclient: no such key")
	// ErrCompacted means that the fleet no longer keeps the changes that a watch asks for. The caller reads its keys anew,
	// and watches from there.
	ErrCompacted = errors.New("coordclient: changes are no longer kept")
	// ErrNoAddresses means that a client was to be made without any address.
	ErrNoAddresses = errors.New("coordclient: no addresses")
)

// MismatchError means that a put was rejected: the key has another revision than the caller named. The put has not taken
// effect and never will.
type MismatchError struct {
	Revision uint64 // of the key, 0 where it doesn't exist
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("coordclient: key is at revision %d", e.Revision)
}

// StatusError is an answer that tells neither success nor a failure that passes, such as a name that is too long.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("coordclient: answer has status %d", e.Status)
}

// UnansweredError means that the caller's context ended before any clear answer had come.
type UnansweredError struct {
	// MayHaveTakenEffect is false where every attempt got the promise that nothing was done, or was never sent.
	MayHaveTakenEffect bool
	Cause              error // why the context ended
	Last               error // how the last attempt failed; nil where there was none
}

// Error implements error.
func (e *UnansweredError) Error() string {
	if e.Last == nil {
		return fmt.Sprintf("coordclient: no answer: %v", e.Cause)
	}
	return fmt.Sprintf("coordclient: no answer: %v, last attempt: %v", e.Cause, e.Last)
}

// Unwrap lets errors.Is see why the context ended and how the last attempt failed.
func (e *UnansweredError) Unwrap() []error {
	if e.Last == nil {
		return []error{e.Cause}
	}
	return []error{e.Cause, e.Last}
}
