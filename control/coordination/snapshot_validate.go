package coordination

import (
	"fmt"
	"unicode/utf8"
)

// malformedError is what is wrong with an image.
type malformedError string

func (e malformedError) Error() string { return string(e) }

// What can be wrong with an image.
const (
	errBounds    malformedError = "a list or a text is beyond its bounds"
	errOrder     malformedError = "a list is out of order"
	errLock      malformedError = "a lock can't be held so"
	errKey       malformedError = "a key has a revision that its group never gave"
	errRecords   malformedError = "the puts of a group are not the last ones of its count"
	errDuplicate malformedError = "a put is remembered twice"
)

// validate tells whether an image is that of a state which commands can lead to, as far as the code relies on it.
func (i *snapshot) validate() error {
	if i.GroupTime < 0 || !i.withinBounds() {
		return errBounds
	}
	if !i.inOrder() {
		return errOrder
	}
	revisions := i.revisions()
	return firstError(i.validateLocks(), i.validateKeys(revisions), i.validateRecords(revisions))
}

func (i *snapshot) withinBounds() bool {
	return len(i.Locks) <= MaxLocks && len(i.Numbers) <= MaxNumbers && len(i.Groups) <= MaxGroups &&
		len(i.Keys) <= MaxKeys && len(i.Records) <= MaxRecords
}

// inOrder tells whether no list names anything twice, and the records are in order of time.
func (i *snapshot) inOrder() bool {
	return strictlyAscending(i.Locks, nameOfLock) && strictlyAscending(i.Numbers, nameOfNumber) && strictlyAscending(i.Groups, nameOfGroup) &&
		strictlyAscending(i.Keys, nameOfKey) && i.recordsInOrder()
}

// strictlyAscending tells whether each name of a list is valid and above the one before.
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

func (i *snapshot) recordsInOrder() bool {
	for n, r := range i.Records {
		if r.At < 0 || r.At > i.GroupTime {
			return false
		}
		if n > 0 && r.At < i.Records[n-1].At {
			return false
		}
	}
	return true
}

// revisions gives the newest revision of each group.
func (i *snapshot) revisions() map[string]uint64 {
	revisions := make(map[string]uint64, len(i.Groups))
	for _, g := range i.Groups {
		revisions[g.Name] = g.Revision
	}
	return revisions
}

func (i *snapshot) validateLocks() error {
	for _, l := range i.Locks {
		validFences := 0 < l.FirstFence && l.FirstFence <= l.Fence && l.Fence <= i.Fence
		if !validFences || l.Expires <= i.GroupTime || !isValidName(l.Holder, MaxHolderBytes) {
			return fmt.Errorf("%w: %q", errLock, l.Name)
		}
	}
	return nil
}

func (i *snapshot) validateKeys(revisions map[string]uint64) error {
	for _, key := range i.Keys {
		if !isValidValue(key.Value) {
			return errBounds
		}
		if key.Revision == 0 || key.Revision > revisions[GroupOf(key.Key)] {
			return fmt.Errorf("%w: %q", errKey, key.Key)
		}
	}
	return nil
}

// validateRecords walks back from the newest record: the puts of each group count down from its newest revision.
func (i *snapshot) validateRecords(revisions map[string]uint64) error {
	seen := make(map[keyValue]bool, len(i.Records))
	for n := len(i.Records) - 1; n >= 0; n-- {
		r := i.Records[n]
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

// isValidValue tells whether a value can be kept and told.
func isValidValue(value string) bool { return len(value) <= MaxValueBytes && utf8.ValidString(value) }
