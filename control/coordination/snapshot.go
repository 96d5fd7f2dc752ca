package coordination

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"ivybank/wire"
)

// ErrMalformedSnapshot is matched by every error of decoding a snapshot.
var ErrMalformedSnapshot = errors.New("coordination: malformed snapshot")

// snapshot is a whole state in the form in which it is sent and stored. Lists are sorted by name and records by time,
// so that equal states have equal snapshots.
type snapshot struct {
	GroupTime time.Duration    `cbor:"1,keyasint"`
	Fence     uint64           `cbor:"2,keyasint,omitempty"`
	Locks     []snapshotLock   `cbor:"3,keyasint,omitempty"`
	Numbers   []snapshotNumber `cbor:"4,keyasint,omitempty"`
	Groups    []snapshotGroup  `cbor:"5,keyasint,omitempty"`
	Keys      []wire.Change    `cbor:"6,keyasint,omitempty"` // the current value of each key
	Records   []snapshotRecord `cbor:"7,keyasint,omitempty"`
}

type snapshotLock struct {
	_          struct{} `cbor:",toarray"`
	Name       string
	Holder     string
	FirstFence uint64
	Fence      uint64
	Expires    time.Duration
}

type snapshotNumber struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Last uint64
}

type snapshotGroup struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Revision uint64
}

type snapshotRecord struct {
	_        struct{} `cbor:",toarray"`
	At       time.Duration
	Key      string
	Value    string
	Revision uint64 // 0 for a rejection
}

// snapshot returns a snapshot of the state. It shares nothing with the state that changes later.
func (s *State) snapshot() *snapshot {
	return &snapshot{
		GroupTime: s.groupTime,
		Fence:     s.locks.lastFence,
		Locks:     s.locks.snapshotLocks(),
		Numbers:   snapshotNumbers(s.numbers),
		Groups:    s.keys.snapshotGroups(),
		Keys:      s.keys.snapshotKeys(),
		Records:   s.records.snapshotRecords(),
	}
}

func (t *lockTable) snapshotLocks() []snapshotLock {
	images := make([]snapshotLock, 0, len(t.byName))
	for _, l := range t.byName {
		images = append(images, snapshotLock{
			Name: l.name, Holder: l.holder, FirstFence: l.firstFence, Fence: l.fence, Expires: l.expires,
		})
	}
	return sortByName(images, nameOfLock)
}

func snapshotNumbers(numbers map[string]uint64) []snapshotNumber {
	images := make([]snapshotNumber, 0, len(numbers))
	for name, last := range numbers {
		images = append(images, snapshotNumber{Name: name, Last: last})
	}
	return sortByName(images, nameOfNumber)
}

func (t *keyTable) snapshotGroups() []snapshotGroup {
	images := make([]snapshotGroup, 0, len(t.groups))
	for name, g := range t.groups {
		images = append(images, snapshotGroup{Name: name, Revision: g.revision})
	}
	return sortByName(images, nameOfGroup)
}

func (t *keyTable) snapshotKeys() []wire.Change {
	images := make([]wire.Change, 0, len(t.byName))
	for name, c := range t.byName {
		images = append(images, wire.Change{Key: name, Value: c.value, Revision: c.revision})
	}
	return sortByName(images, nameOfKey)
}

func (l *recordLog) snapshotRecords() []snapshotRecord {
	images := make([]snapshotRecord, 0, len(l.queue))
	for _, r := range l.queue {
		images = append(images, snapshotRecord{
			At: r.at, Key: r.change.Key, Value: r.change.Value, Revision: r.change.Revision,
		})
	}
	return images
}

func nameOfLock(l snapshotLock) string     { return l.Name }
func nameOfNumber(n snapshotNumber) string { return n.Name }
func nameOfGroup(g snapshotGroup) string   { return g.Name }
func nameOfKey(c wire.Change) string       { return c.Key }

func sortByName[T any](list []T, name func(T) string) []T {
	slices.SortFunc(list, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return list
}

// clone returns an equal state that shares nothing with this one that changes later.
func (s *State) clone() *State { return s.snapshot().state(s.history) }

// decodeState decodes a snapshot; an empty one is the empty state. Errors match ErrMalformedSnapshot.
func decodeState(body []byte, history time.Duration) (*State, error) {
	if len(body) == 0 {
		return New(history), nil
	}
	decoded := &snapshot{}
	if err := decoder.Unmarshal(body, decoded); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedSnapshot, err)
	}
	if err := decoded.validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedSnapshot, err)
	}
	return decoded.state(history), nil
}

// state creates the state that a validated snapshot describes.
func (snap *snapshot) state(history time.Duration) *State {
	s := New(history)
	s.groupTime = snap.GroupTime
	s.locks.lastFence = snap.Fence
	for _, l := range snap.Locks {
		s.locks.add(&lock{
			name: l.Name, holder: l.Holder, firstFence: l.FirstFence, fence: l.Fence, expires: l.Expires,
		})
	}
	for _, n := range snap.Numbers {
		s.numbers[n.Name] = n.Last
	}
	for _, g := range snap.Groups {
		s.keys.groups[g.Name] = &group{revision: g.Revision}
	}
	for _, key := range snap.Keys {
		s.keys.set(key)
	}
	for _, r := range snap.Records {
		s.restoreRecord(r)
	}
	return s
}

// restoreRecord adds a record to the log, and to the history of its group if it is a put.
func (s *State) restoreRecord(r snapshotRecord) {
	change := wire.Change{Key: r.Key, Value: r.Value, Revision: r.Revision}
	s.records.add(record{at: r.At, change: change})
	if change.Revision > 0 {
		g := s.keys.ensureGroup(change.Key)
		g.puts = append(g.puts, change)
	}
}
