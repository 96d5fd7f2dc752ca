package coordination

import (
	"fmt"
	"unicode/utf8"
)

// malformed is what is wrong with an image.
type malformed string

func (e malformed) Error() string { return string(e) }

// What can be wrong with an image.
const (
	errBounds  malformed = "a list or a text is beyond its bounds"
	errOrder   malformed = "a list is out of order"
	errLock    malformed = "a lock can't be held so"
	errKey     malformed = "a key has a revision that its group never gave"
	errRecords malformed = "the puts of a group are not the last ones of its count"
	errTwice   malformed = "a put is remembered twice"
)

// check tells whether an image is that of a state which commands can lead to, as far as the code relies on it.
func (i *image) check() error {
	if i.Newest < 0 || !i.withinBounds() {
		return errBounds
	}
	if !i.inOrder() {
		return errOrder
	}
	revisions := i.revisions()
	return firstError(i.checkLocks(), i.checkKeys(revisions), i.checkRecords(revisions))
}

func (i *image) withinBounds() bool {
	return len(i.Locks) <= MaxLocks && len(i.Numbers) <= MaxNumbers && len(i.Groups) <= MaxGroups &&
		len(i.Keys) <= MaxKeys && len(i.Records) <= MaxRecords
}

// inOrder tells whether no list names anything twice, and the records are in order of time.
func (i *image) inOrder() bool {
	return rising(i.Locks, nameOfLock) && rising(i.Numbers, nameOfNumber) && rising(i.Groups, nameOfGroup) &&
		rising(i.Keys, nameOfKey) && i.recordsInOrder()
}

// rising tells whether each name of a list is valid and above the one before.
func rising[T any](list []T, name func(T) string) bool {
	before := ""
	for _, element := range list {
		if !validText(name(element), MaxNameBytes) || name(element) <= before {
			return false
		}
		before = name(element)
	}
	return true
}

func (i *image) recordsInOrder() bool {
	for n, r := range i.Records {
		if r.At < 0 || r.At > i.Newest {
			return false
		}
		if n > 0 && r.At < i.Records[n-1].At {
			return false
		}
	}
	return true
}

// revisions gives the newest revision of each group.
func (i *image) revisions() map[string]uint64 {
	revisions := make(map[string]uint64, len(i.Groups))
	for _, g := range i.Groups {
		revisions[g.Name] = g.Revision
	}
	return revisions
}

func (i *image) checkLocks() error {
	for _, l := range i.Locks {
		fences := 0 < l.FirstFence && l.FirstFence <= l.Fence && l.Fence <= i.Fence
		if !fences || l.Expires <= i.Newest || !validText(l.Holder, MaxHolderBytes) {
			return fmt.Errorf("%w: %q", errLock, l.Name)
		}
	}
	return nil
}

func (i *image) checkKeys(revisions map[string]uint64) error {
	for _, key := range i.Keys {
		if !validValue(key.Value) {
			return errBounds
		}
		if key.Revision == 0 || key.Revision > revisions[GroupOf(key.Key)] {
			return fmt.Errorf("%w: %q", errKey, key.Key)
		}
	}
	return nil
}

// checkRecords walks back from the newest record: the puts of each group count down from its newest revision.
func (i *image) checkRecords(revisions map[string]uint64) error {
	seen := make(map[keyed]bool, len(i.Records))
	for n := len(i.Records) - 1; n >= 0; n-- {
		r := i.Records[n]
		if !validText(r.Key, MaxNameBytes) || !validValue(r.Value) {
			return errBounds
		}
		if seen[keyed{r.Key, r.Value}] {
			return fmt.Errorf("%w: %q", errTwice, r.Key)
		}
		seen[keyed{r.Key, r.Value}] = true
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

// validValue tells whether a value can be kept and told.
func validValue(value string) bool { return len(value) <= MaxValueBytes && utf8.ValidString(value) }
