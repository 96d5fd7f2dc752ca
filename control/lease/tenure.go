package lease

import (
	"maps"
	"time"
)

// tenures is what a member remembers of how long each resource was held, so that a holder that follows one which was long in
// office can be told apart from one in a quick row. A member vouches for a new holder once at most in each span, also
// over restarts: the memory of a long tenure is off its disk before it vouches. As any two majorities share a member, so
// do all members together.
type tenures struct {
	span    time.Duration
	long    map[string]bool   // by resource: held by one holder for the span since this member vouched last
	vouches map[string]uint64 // change whose save lets this member vouch for the present holder; 0 for none
	changes uint64
	saved   uint64 // changes that are on disk
}

func newTenures(span time.Duration, long []string) tenures {
	t := tenures{span: span, long: map[string]bool{}, vouches: map[string]uint64{}}
	for _, resource := range long {
		t.long[resource] = true
	}
	return t
}

// begin takes a new holder, or a new term of the same.
func (t *tenures) begin(resource string) {
	t.vouches[resource] = 0
	if t.long[resource] {
		delete(t.long, resource)
		t.changes++
		t.vouches[resource] = t.changes
	}
}

// renew takes that a holder has been in office for some time.
func (t *tenures) renew(resource string, held time.Duration) {
	if held >= t.span && !t.long[resource] {
		t.long[resource] = true
		t.changes++
	}
}

func (t *tenures) vouchesFor(resource string) bool {
	needed := t.vouches[resource]
	return needed > 0 && needed <= t.saved
}

// Tenures is what a granter wants to have on disk.
type Tenures struct {
	Long   []string // resources whose holder was long in office
	Change uint64
}

// UnsavedTenures gives what is not on disk yet.
func (g *Granter) UnsavedTenures() (Tenures, bool) {
	t := &g.tenures
	if t.changes == t.saved {
		return Tenures{}, false
	}
	unsaved := Tenures{Change: t.changes}
	for resource := range maps.Keys(t.long) {
		unsaved.Long = append(unsaved.Long, resource)
	}
	return unsaved, true
}

// TenuresSaved tells that they are on disk.
func (g *Granter) TenuresSaved(t Tenures) { g.tenures.saved = max(g.tenures.saved, t.Change) }
