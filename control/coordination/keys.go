package coordination

import (
	"strings"

	"ivybank/wire"
)

// keyTable has the keys and their groups. Neither is ever deleted.
type keyTable struct {
	byName map[string]keyState
	groups map[string]*group
	bytes  int // of all names and values
}

// keyState is the present value of a key.
type keyState struct {
	value    string
	revision uint64
}

// group has the keys that begin alike up to the first dot, and one rising count of revisions.
type group struct {
	revision uint64        // of the newest put; 0 for none
	puts     []wire.Change // those that are remembered: with the revisions up to the newest one, none left out
}

func newKeyTable() keyTable {
	return keyTable{byName: map[string]keyState{}, groups: map[string]*group{}}
}

// GroupOf gives the group of a key: its name up to and including the first dot, the whole name where it has none.
func GroupOf(key string) string {
	if dot := strings.IndexByte(key, '.'); dot >= 0 {
		return key[:dot+1]
	}
	return key
}

// getKey reads a key.
func (s *State) getKey(key string) wire.Answer {
	current, ok := s.keys.byName[key]
	if !ok {
		return wire.Answer{Outcome: wire.NotFound}
	}
	return wire.Answer{Outcome: wire.Done, Value: current.value, Revision: current.revision}
}

// replaceKey puts a value. Values are unique, so one that comes with the same key again is the same put again: it gets what
// the first one got, whatever has been put since.
func (s *State) replaceKey(c *wire.Command) wire.Answer {
	current := s.keys.byName[c.Name]
	if revision := s.revisionOfPut(c, current); revision > 0 {
		return wire.Answer{Outcome: wire.Done, Revision: revision}
	}
	if s.records.wasRejected(c.Name, c.Value) {
		return wire.Answer{Outcome: wire.Mismatched, Revision: current.revision}
	}
	if c.IfRevision != nil && *c.IfRevision != current.revision {
		return s.reject(c, current)
	}
	return s.put(c, current)
}

// revisionOfPut gives the revision that the same put got before, 0 where none is known.
func (s *State) revisionOfPut(c *wire.Command, current keyState) uint64 {
	if current.revision > 0 && current.value == c.Value {
		return current.revision
	}
	return s.records.revisionOf(c.Name, c.Value)
}

// put gives a key a new value and the next revision of its group.
func (s *State) put(c *wire.Command, current keyState) wire.Answer {
	if !s.hasRoomForPut(c, current) {
		return wire.Answer{Outcome: wire.Full}
	}
	g := s.keys.ensureGroup(c.Name)
	g.revision++
	change := wire.Change{Key: c.Name, Value: c.Value, Revision: g.revision}
	g.puts = append(g.puts, change)
	s.keys.set(change)
	s.records.add(record{at: s.groupTime, change: change})
	return wire.Answer{Outcome: wire.Done, Revision: g.revision}
}

// reject refuses a put, and remembers that, so that it is refused when it comes again. Even after it is forgotten, a put over
// a revision that the key has left behind finds another one there: revisions only rise, and keys are never deleted.
func (s *State) reject(c *wire.Command, current keyState) wire.Answer {
	if !s.hasRoomForRecord(c) {
		return wire.Answer{Outcome: wire.Full}
	}
	s.records.add(record{at: s.groupTime, change: wire.Change{Key: c.Name, Value: c.Value}})
	return wire.Answer{Outcome: wire.Mismatched, Revision: current.revision}
}

// hasRoomForPut tells whether a put leaves the state within its bounds.
func (s *State) hasRoomForPut(c *wire.Command, current keyState) bool {
	if !s.hasRoomForRecord(c) {
		return false
	}
	if current.revision > 0 {
		return true
	}
	if len(s.keys.byName) >= MaxKeys {
		return false
	}
	return s.keys.groups[GroupOf(c.Name)] != nil || len(s.keys.groups) < MaxGroups
}

// hasRoomForRecord tells whether one more put or rejection can be remembered. It counts the bytes of a put twice: in the
// history, and as the present value of its key.
func (s *State) hasRoomForRecord(c *wire.Command) bool {
	if len(s.records.queue) >= MaxRecords {
		return false
	}
	return s.keys.bytes+s.records.bytes+2*textBytes(c.Name, c.Value) <= MaxTextBytes
}

// ensureGroup gives the group of a key, and makes it where there is none.
func (t *keyTable) ensureGroup(key string) *group {
	name := GroupOf(key)
	g := t.groups[name]
	if g == nil {
		g = &group{}
		t.groups[name] = g
	}
	return g
}

// set gives a key its present value.
func (t *keyTable) set(change wire.Change) {
	if previous, ok := t.byName[change.Key]; ok {
		t.bytes -= textBytes(change.Key, previous.value)
	}
	t.byName[change.Key] = keyState{value: change.Value, revision: change.Revision}
	t.bytes += textBytes(change.Key, change.Value)
}

// textBytes is what a key and a value count against MaxBytes.
func textBytes(key, value string) int { return len(key) + len(value) }

// compactedRevision is the highest revision whose put is no longer remembered.
func (g *group) compactedRevision() uint64 { return g.revision - uint64(len(g.puts)) }
