package coordination

import (
	"strings"

	"ivybank/wire"
)

// keyTable holds the keys and their groups. Keys and groups are never deleted.
type keyTable struct {
	byName map[string]keyState
	groups map[string]*group
	bytes  int // of the names and values of all keys
}

// keyState is the current value and revision of a key.
type keyState struct {
	value    string
	revision uint64
}

// group is what the keys with the same prefix, up to the first dot, have in common: one increasing sequence of
// revisions and the history of their puts.
type group struct {
	revision uint64        // of the newest put, 0 if there was none
	puts     []wire.Change // the remembered puts; their revisions are contiguous and end with the newest one
}

func newKeyTable() keyTable {
	return keyTable{byName: map[string]keyState{}, groups: map[string]*group{}}
}

// GroupOf returns the group of a key: its name up to and including the first dot, or the whole name if it has no dot.
func GroupOf(key string) string {
	if dot := strings.IndexByte(key, '.'); dot >= 0 {
		return key[:dot+1]
	}
	return key
}

// getKey returns the current value and revision of a key.
func (s *State) getKey(key string) wire.Answer {
	current, ok := s.keys.byName[key]
	if !ok {
		return wire.Answer{Outcome: wire.NotFound}
	}
	return wire.Answer{Outcome: wire.Done, Value: current.value, Revision: current.revision}
}

// replaceKey puts a value. The values of one key are unique, so a command with the same key and value is a repetition
// of the same put. It gets the answer of the first one, whatever has been put since.
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

// revisionOfPut returns the revision that the same put got before, or 0 if none is remembered.
func (s *State) revisionOfPut(c *wire.Command, current keyState) uint64 {
	if current.revision > 0 && current.value == c.Value {
		return current.revision
	}
	return s.records.revisionOf(c.Name, c.Value)
}

// put sets the value of a key and gives it the next revision of its group.
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

// reject rejects a put and records the rejection, so that a repetition is rejected as well. After the record is
// removed, a put over a past revision of the key is still rejected: revisions only increase, and keys are never
// deleted.
func (s *State) reject(c *wire.Command, current keyState) wire.Answer {
	if !s.hasRoomForRecord(c) {
		return wire.Answer{Outcome: wire.Full}
	}
	s.records.add(record{at: s.groupTime, change: wire.Change{Key: c.Name, Value: c.Value}})
	return wire.Answer{Outcome: wire.Mismatched, Revision: current.revision}
}

// hasRoomForPut reports whether the state stays within its limits with one more put.
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

// hasRoomForRecord reports whether one more put or rejection can be remembered. It counts the bytes of a put twice: in
// the history, and as the current value of its key.
func (s *State) hasRoomForRecord(c *wire.Command) bool {
	if len(s.records.queue) >= MaxRecords {
		return false
	}
	return s.keys.bytes+s.records.bytes+2*textBytes(c.Name, c.Value) <= MaxTextBytes
}

// ensureGroup returns the group of a key, and creates it if it doesn't exist.
func (t *keyTable) ensureGroup(key string) *group {
	name := GroupOf(key)
	g := t.groups[name]
	if g == nil {
		g = &group{}
		t.groups[name] = g
	}
	return g
}

// set sets the current value and revision of a key.
func (t *keyTable) set(change wire.Change) {
	if previous, ok := t.byName[change.Key]; ok {
		t.bytes -= textBytes(change.Key, previous.value)
	}
	t.byName[change.Key] = keyState{value: change.Value, revision: change.Revision}
	t.bytes += textBytes(change.Key, change.Value)
}

// textBytes returns how much a key and a value count towards MaxTextBytes and MaxEventBytes.
func textBytes(key, value string) int { return len(key) + len(value) }

// compactedRevision returns the highest revision whose put is no longer remembered.
func (g *group) compactedRevision() uint64 { return g.revision - uint64(len(g.puts)) }
