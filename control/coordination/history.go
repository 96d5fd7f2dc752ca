package coordination

import (
	"time"

	"ivybank/wire"
)

// record is a put, or one that was rejected, which has no revision.
type record struct {
	at     time.Duration // of the group's time
	change wire.Change
}

// recordLog has the puts and rejections of all groups that are not older than the history, by which a put that comes again
// is recognised.
type recordLog struct {
	queue      []record            // in order of time
	byKeyValue map[keyValue]uint64 // the revisions of those in queue, 0 for a rejection
	bytes      int                 // of all names and values
}

// keyValue is a value that was put to a key.
type keyValue struct{ key, value string }

func newRecordLog() recordLog { return recordLog{byKeyValue: map[keyValue]uint64{}} }

// add remembers one more. No other with its key and value is remembered.
func (l *recordLog) add(r record) {
	l.queue = append(l.queue, r)
	l.byKeyValue[keyValue{r.change.Key, r.change.Value}] = r.change.Revision
	l.bytes += textBytes(r.change.Key, r.change.Value)
}

// removeOldest forgets the one at the front.
func (l *recordLog) removeOldest() wire.Change {
	oldest := l.queue[0].change
	l.queue[0] = record{} // the array behind the queue keeps no text alive
	l.queue = l.queue[1:]
	delete(l.byKeyValue, keyValue{oldest.Key, oldest.Value})
	l.bytes -= textBytes(oldest.Key, oldest.Value)
	return oldest
}

// revisionOf gives the revision of a put that is remembered, 0 where there is none.
func (l *recordLog) revisionOf(key, value string) uint64 { return l.byKeyValue[keyValue{key, value}] }

// wasRejected tells whether a rejection of a put is remembered.
func (l *recordLog) wasRejected(key, value string) bool {
	revision, ok := l.byKeyValue[keyValue{key, value}]
	return ok && revision == 0
}

// compact drops what is older than a moment of the group's time. Watches that would need it are told so.
func (s *State) compact(before time.Duration) {
	for len(s.records.queue) > 0 && s.records.queue[0].at < before {
		oldest := s.records.removeOldest()
		if oldest.Revision > 0 {
			s.keys.ensureGroup(oldest.Key).removeOldest()
		}
	}
}

// removeOldest forgets the put at the front.
func (g *group) removeOldest() {
	g.puts[0] = wire.Change{}
	g.puts = g.puts[1:]
}
