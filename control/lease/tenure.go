package lease

import (
	"maps"
	"time"
)

// tenures records, for one member, how long each resource was held, so that a holder that follows a long tenure can
// be told apart from one in a quick succession of holders. A member confirms a long tenure to a new holder at most
// once in each span, also across restarts: the record of the long tenure is off its disk before it confirms. As any
// two majorities share a member, the members together also confirm at most once.
type tenures struct {
	span time.Duration
	long map[string]bool // by resource: held by one holder for the span since this member last confirmed
	// confirmAfter is, by resource, the change that has to be on disk before this member confirms to the current
	// holder; 0 if it doesn't confirm.
	confirmAfter map[string]uint64
	changes      uint64
	saved        uint64 // number of changes that are on disk
}

func newTenures(span time.Duration, long []string) tenures {
	t := tenures{span: span, long: map[string]bool{}, confirmAfter: map[string]uint64{}}
	for _, resource := range long {
		t.long[resource] = true
	}
	return t
}

// begin records a new holder, or a new term of the same holder.
func (t *tenures) begin(resource string) {
	t.confirmAfter[resource] = 0
	if t.long[resource] {
		delete(t.long, resource)
		t.changes++
		t.confirmAfter[resource] = t.changes
	}
}

// renew records for how long the current holder has held a resource.
func (t *tenures) renew(resource string, held time.Duration) {
	if held >= t.span && !t.long[resource] {
		t.long[resource] = true
		t.changes++
	}
}

func (t *tenures) confirms(resource string) bool {
	needed := t.confirmAfter[resource]
	return needed > 0 && needed <= t.saved
}

// LongTenures is the tenure record that a granter needs to have on disk.
type LongTenures struct {
	Resources []string // resources whose holder had a long tenure
	Change    uint64
}

// UnsavedTenures returns the record to write if it has changed since it was last saved.
func (g *Granter) UnsavedTenures() (LongTenures, bool) {
	t := &g.tenures
	if t.changes == t.saved {
		return LongTenures{}, false
	}
	unsaved := LongTenures{Change: t.changes}
	for resource := range maps.Keys(t.long) {
		unsaved.Resources = append(unsaved.Resources, resource)
	}
	return unsaved, true
}

// TenuresSaved reports that a record is on disk.
func (g *Granter) TenuresSaved(t LongTenures) { g.tenures.saved = max(g.tenures.saved, t.Change) }
