package coordination

import (
	"time"

	"ivybank/wire"
)

// record is a remembered put. A rejected put has the revision 0.
type record struct {
	at     time.Duration // group time of the put
	change wire.Change
}

// recordLog holds the puts and rejections of all groups that are not older than the history. It serves to recognise a
// put that arrives again.
type recordLog struct {
	queue      []record            // in order of group time
	byKeyValue map[keyValue]uint64 // the revisions of the records in queue, 0 for a rejection
	bytes      int                 // of the names and values of all records
}

// keyValue is a key and a value that was put to it. It identifies a put, as the values of one key are unique.
type keyValue struct{ key, value string }

func newRecordLog() recordLog { return recordLog{byKeyValue: map[keyValue]uint64{}} }

// add appends a record. The log must not hold another record with the same key and value.
func (l *recordLog) add(r record) {
	l.queue = append(l.queue, r)
	l.byKeyValue[keyValue{r.change.Key, r.change.Value}] = r.change.Revision
	l.bytes += textBytes(r.change.Key, r.change.Value)
}

// removeOldest removes the oldest record and returns its change.
func (l *recordLog) removeOldest() wire.Change {
	oldest := l.queue[0].change
	l.queue[0] = record{} // lets the texts be garbage collected: the array behind the queue stays
	l.queue = l.queue[1:]
	delete(l.byKeyValue, keyValue{oldest.Key, oldest.Value})
	l.bytes -= textBytes(oldest.Key, oldest.Value)
	return oldest
}

// revisionOf returns the revision of a remembered put, or 0 if there is none.
func (l *recordLog) revisionOf(key, value string) uint64 { return l.byKeyValue[keyValue{key, value}] }

// wasRejected reports whether the rejection of a put is remembered.
func (l *recordLog) wasRejected(key, value string) bool {
	revision, ok := l.byKeyValue[keyValue{key, value}]
	return ok && revision == 0
}

// compact removes the records from before a group time. A watch that needs a removed put is answered Compacted.
func (s *State) compact(before time.Duration) {
	for len(s.records.queue) > 0 && s.records.queue[0].at < before {
		oldest := s.records.removeOldest()
		if oldest.Revision > 0 {
			s.keys.ensureGroup(oldest.Key).removeOldest()
		}
	}
}

// removeOldest removes the oldest put of the group's history.
func (g *group) removeOldest() {
	g.puts[0] = wire.Change{}
	g.puts = g.puts[1:]
}
