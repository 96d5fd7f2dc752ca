package coordination

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"ivybank/wire"
)

// ErrSnapshot is matched by all errors of reading a state.
var ErrSnapshot = errors.New("coordination: malformed snapshot")

// image is a whole state as it is sent and stored. Lists are sorted by name, records by time, so that one state has one
// image.
type image struct {
	Newest  time.Duration `cbor:"1,keyasint"`
	Fence   uint64        `cbor:"2,keyasint,omitempty"`
	Locks   []lockImage   `cbor:"3,keyasint,omitempty"`
	Numbers []numberImage `cbor:"4,keyasint,omitempty"`
	Groups  []groupImage  `cbor:"5,keyasint,omitempty"`
	Keys    []wire.Change `cbor:"6,keyasint,omitempty"` // their present values
	Records []recordImage `cbor:"7,keyasint,omitempty"`
}

type lockImage struct {
	_          struct{} `cbor:",toarray"`
	Name       string
	Holder     string
	FirstFence uint64
	Fence      uint64
	Expires    time.Duration
}

type numberImage struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Last uint64
}

type groupImage struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Revision uint64
}

type recordImage struct {
	_        struct{} `cbor:",toarray"`
	At       time.Duration
	Key      string
	Value    string
	Revision uint64 // 0 for a rejection
}

// image gives the whole state. It shares nothing with it that changes.
func (s *State) image() *image {
	return &image{
		Newest:  s.newest,
		Fence:   s.locks.fence,
		Locks:   s.locks.image(),
		Numbers: numberImages(s.numbers),
		Groups:  s.keys.groupImages(),
		Keys:    s.keys.keyImages(),
		Records: s.records.image(),
	}
}

func (t *lockTable) image() []lockImage {
	images := make([]lockImage, 0, len(t.byName))
	for _, l := range t.byName {
		images = append(images, lockImage{
			Name: l.name, Holder: l.holder, FirstFence: l.firstFence, Fence: l.fence, Expires: l.expires,
		})
	}
	return sortedBy(images, nameOfLock)
}

func numberImages(numbers map[string]uint64) []numberImage {
	images := make([]numberImage, 0, len(numbers))
	for name, last := range numbers {
		images = append(images, numberImage{Name: name, Last: last})
	}
	return sortedBy(images, nameOfNumber)
}

func (t *keyTable) groupImages() []groupImage {
	images := make([]groupImage, 0, len(t.groups))
	for name, g := range t.groups {
		images = append(images, groupImage{Name: name, Revision: g.revision})
	}
	return sortedBy(images, nameOfGroup)
}

func (t *keyTable) keyImages() []wire.Change {
	images := make([]wire.Change, 0, len(t.byName))
	for name, c := range t.byName {
		images = append(images, wire.Change{Key: name, Value: c.value, Revision: c.revision})
	}
	return sortedBy(images, nameOfKey)
}

func (l *recordLog) image() []recordImage {
	images := make([]recordImage, 0, len(l.queue))
	for _, r := range l.queue {
		images = append(images, recordImage{
			At: r.at, Key: r.change.Key, Value: r.change.Value, Revision: r.change.Revision,
		})
	}
	return images
}

func nameOfLock(l lockImage) string     { return l.Name }
func nameOfNumber(n numberImage) string { return n.Name }
func nameOfGroup(g groupImage) string   { return g.Name }
func nameOfKey(c wire.Change) string    { return c.Key }

func sortedBy[T any](list []T, name func(T) string) []T {
	slices.SortFunc(list, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return list
}

// clone gives a state that is equal and shares nothing that changes.
func (s *State) clone() *State { return s.image().state(s.history) }

// decodeState reads a snapshot; an empty one is the empty state.
func decodeState(body []byte, history time.Duration) (*State, error) {
	if len(body) == 0 {
		return New(history), nil
	}
	decoded := &image{}
	if err := decoder.Unmarshal(body, decoded); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	if err := decoded.check(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	return decoded.state(history), nil
}

// state builds the state of an image that was checked.
func (i *image) state(history time.Duration) *State {
	s := New(history)
	s.newest = i.Newest
	s.locks.fence = i.Fence
	for _, l := range i.Locks {
		s.locks.add(&lock{
			name: l.Name, holder: l.Holder, firstFence: l.FirstFence, fence: l.Fence, expires: l.Expires,
		})
	}
	for _, n := range i.Numbers {
		s.numbers[n.Name] = n.Last
	}
	for _, g := range i.Groups {
		s.keys.groups[g.Name] = &group{revision: g.Revision}
	}
	for _, key := range i.Keys {
		s.keys.set(key)
	}
	for _, r := range i.Records {
		s.restoreRecord(r)
	}
	return s
}

// restoreRecord takes a record back, and into the history of its group where it was a put.
func (s *State) restoreRecord(r recordImage) {
	change := wire.Change{Key: r.Key, Value: r.Value, Revision: r.Revision}
	s.records.add(record{at: r.At, change: change})
	if change.Revision > 0 {
		g := s.keys.groupOf(change.Key)
		g.puts = append(g.puts, change)
	}
}
