package coordination

import (
	"fmt"
	"unicode/utf8"
)

// malformedError is the reason why a snapshot is malformed.
type malformedError string

func (e malformedError) Error() string { return string(e) }

// The reasons why a snapshot can be malformed.
const (
	errBounds    malformedError = "a time, list or text is out of bounds"
	errOrder     malformedError = "a list is out of order or has an invalid or duplicate name"
	errLock      malformedError = "a lock has an invalid fence, expiry or holder"
	errKey       malformedError = "a key has no revision or one beyond that of its group"
	errRecords   malformedError = "the puts of a group don't have its newest revisions without gaps"
	errDuplicate malformedError = "a put is recorded twice"
)

// validate checks that commands can lead to the state in a snapshot, as far as the code relies on it.
func (snap *snapshot) validate() error {
	if snap.GroupTime < 0 || !snap.withinBounds() {
		return errBounds
	}
	if !snap.inOrder() {
		return errOrder
	}
	revisions := snap.revisions()
	return firstError(snap.validateLocks(), snap.validateKeys(revisions), snap.validateRecords(revisions))
}

func (snap *snapshot) withinBounds() bool {
	return len(snap.Locks) <= MaxLocks && len(snap.Numbers) <= MaxNumbers && len(snap.Groups) <= MaxGroups &&
		len(snap.Keys) <= MaxKeys && len(snap.Records) <= MaxRecords
}

// inOrder reports whether all lists are sorted by name without duplicates, and the records by time.
func (snap *snapshot) inOrder() bool {
	return strictlyAscending(snap.Locks, nameOfLock) && strictlyAscending(snap.Numbers, nameOfNumber) &&
		strictlyAscending(snap.Groups, nameOfGroup) && strictlyAscending(snap.Keys, nameOfKey) && snap.recordsInOrder()
}

// strictlyAscending reports whether each name of a list is valid and greater than the previous one.
func strictlyAscending[T any](list []T, name func(T) string) bool {
	previous := ""
	for _, element := range list {
		if !isValidName(name(element), MaxNameBytes) || name(element) <= previous {
			return false
		}
		previous = name(element)
	}
	return true
}

func (snap *snapshot) recordsInOrder() bool {
	for n, r := range snap.Records {
		if r.At < 0 || r.At > snap.GroupTime {
			return false
		}
		if n > 0 && r.At < snap.Records[n-1].At {
			return false
		}
	}
	return true
}

// revisions returns the newest revision of each group.
func (snap *snapshot) revisions() map[string]uint64 {
	revisions := make(map[string]uint64, len(snap.Groups))
	for _, g := range snap.Groups {
		revisions[g.Name] = g.Revision
	}
	return revisions
}

func (snap *snapshot) validateLocks() error {
	for _, l := range snap.Locks {
		validFences := 0 < l.FirstFence && l.FirstFence <= l.Fence && l.Fence <= snap.Fence
		if !validFences || l.Expires <= snap.GroupTime || !isValidName(l.Holder, MaxHolderBytes) {
			return fmt.Errorf("%w: %q", errLock, l.Name)
		}
	}
	return nil
}

func (snap *snapshot) validateKeys(revisions map[string]uint64) error {
	for _, key := range snap.Keys {
		if !isValidValue(key.Value) {
			return errBounds
		}
		if key.Revision == 0 || key.Revision > revisions[GroupOf(key.Key)] {
			return fmt.Errorf("%w: %q", errKey, key.Key)
		}
	}
	return nil
}

// validateRecords goes from the newest record to the oldest: the puts of each group must have its newest revisions,
// counting down without gaps. It changes the map.
func (snap *snapshot) validateRecords(revisions map[string]uint64) error {
	seen := make(map[keyValue]bool, len(snap.Records))
	for n := len(snap.Records) - 1; n >= 0; n-- {
		r := snap.Records[n]
		if !isValidName(r.Key, MaxNameBytes) || !isValidValue(r.Value) {
			return errBounds
		}
		if seen[keyValue{r.Key, r.Value}] {
			return fmt.Errorf("%w: %q", errDuplicate, r.Key)
		}
		seen[keyValue{r.Key, r.Value}] = true
		if r.Revision == 0 {
			continue
		}
		if r.Revision != revisions[GroupOf(r.Key)] {
			return fmt.Errorf("%w: %q", errRecords, r.Key)
		}
		revisions[GroupOf(r.Key)]--
	}
	return nil
}

// isValidValue reports whether a value can be stored and sent.
func isValidValue(value string) bool { return len(value) <= MaxValueBytes && utf8.ValidString(value) }
