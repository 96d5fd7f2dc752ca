package policy

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkBegin measures one choice of a host and its end, for a small fleet, a grown one and the largest one aimed
// at.
func BenchmarkBegin(b *testing.B) {
	for _, n := range []int{12, 60, 256, 900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newTestService(n)
			b.ReportAllocs()
			for b.Loop() {
				a, _ := s.Begin(Request{Key: "key"}, 0)
				s.End(a, Served, 0)
			}
		})
	}
}

// The cost of a choice does not include allocations per host: a router has a fifth of a core.
func TestChoiceDoesNotAllocatePerHost(t *testing.T) {
	s := newTestService(900)
	allocations := testing.AllocsPerRun(100, func() {
		a, _ := s.Begin(Request{Key: "key"}, 0)
		s.End(a, Served, 0)
	})
	assert.Assert(t, allocations <= 2, "%v allocations", allocations) // the Attempt, and its entry in the map of outstanding attempts
}

// A host that a request has tried does not get it again; if no other host is left, none gets it.
func TestTriedHostsAreNotChosen(t *testing.T) {
	s := newTestService(3)
	tried := []string{"host-0", "host-2"}
	for i := range 50 {
		a, ok := s.Begin(Request{Key: fmt.Sprint(i), Tried: tried}, 0)
		assert.Assert(t, ok && a.Host.ID == "host-1")
	}
	_, ok := s.Begin(Request{Key: "key", Tried: append(tried, "host-1")}, 0)
	assert.Assert(t, !ok)
}
