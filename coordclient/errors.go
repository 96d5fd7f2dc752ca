package coordclient

import (
	"errors"
	"fmt"
)

// Errors that callers can distinguish with errors.Is.
var (
	// ErrHeld means that another holder holds the lock.
	ErrHeld = errors.New("coordclient: lock is held by another holder")
	// ErrLost means that the lock is no longer held: another holder may have it.
	ErrLost = errors.New("coordclient: lock is lost")
	// ErrFinished is the cause with which the context of a lock ends when the lock is released.
	ErrFinished = errors.New("coordclient: lock is released")
	// ErrNotFound means that the key was never put.
	ErrNotFound = errors.New("coordclient: key not found")
	// ErrCompacted means that the fleet no longer keeps the changes that a watch asks for. The caller has to read its
	// keys again and to watch from there.
	ErrCompacted = errors.New("coordclient: changes are no longer kept")
	// ErrNoAddresses means that New was called without any address.
	ErrNoAddresses = errors.New("coordclient: no addresses")
)

// MismatchError means that a put was rejected: the revision of the key is not the one that the caller gave. The put has
// not taken effect and never will.
type MismatchError struct {
	Revision uint64 // of the key, 0 if it doesn't exist
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("coordclient: key is at revision %d", e.Revision)
}

// StatusError is an answer whose HTTP status is not a success. If a call returns it, the failure is permanent, such as
// a name that is too long. Transient failures are retried and appear only as UnansweredError.Last.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("coordclient: answer has status %d", e.Status)
}

// UnansweredError means that the caller's context ended before a definite answer arrived.
type UnansweredError struct {
	// MayHaveTakenEffect is false if each attempt was either never sent or answered with the guarantee that nothing was
	// done.
	MayHaveTakenEffect bool
	Cause              error // why the context ended
	Last               error // error of the last attempt; nil if there was none
}

// Error implements error.
func (e *UnansweredError) Error() string {
	if e.Last == nil {
		return fmt.Sprintf("coordclient: no answer: %v", e.Cause)
	}
	return fmt.Sprintf("coordclient: no answer: %v, last attempt: %v", e.Cause, e.Last)
}

// Unwrap returns why the context ended and the error of the last attempt, if any.
func (e *UnansweredError) Unwrap() []error {
	if e.Last == nil {
		return []error{e.Cause}
	}
	return []error{e.Cause, e.Last}
}
