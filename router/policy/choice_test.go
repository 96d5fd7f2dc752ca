package policy

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkBegin is one choice and its end, at the numbers of hosts of a small, a grown and the aimed-at fleet.
func BenchmarkBegin(b *testing.B) {
	for _, n := range []int{12, 60, 256, 900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := service(n)
			b.ReportAllocs()
			for b.Loop() {
				a, _ := s.Begin(Request{Key: "key"}, 0)
				s.End(a, Served, 0)
			}
		})
	}
}

// A choice among many hosts costs no more allocations than one among few: a router has a fifth of a core.
func TestChoiceAllocatesNothingForHosts(t *testing.T) {
	s := service(900)
	allocations := testing.AllocsPerRun(100, func() {
		a, _ := s.Begin(Request{Key: "key"}, 0)
		s.End(a, Served, 0)
	})
	assert.Assert(t, allocations <= 2, "%v", allocations) // the attempt, and its place among those that are out
}

// What was tried gets the request no more; where nothing else is left, nobody does.
func TestTriedHostsGetNothing(t *testing.T) {
	s := service(3)
	tried := []string{"host-0", "host-2"}
	for i := range 50 {
		a, ok := s.Begin(Request{Key: fmt.Sprint(i), Tried: tried}, 0)
		assert.Assert(t, ok && a.Host.ID == "host-1")
	}
	_, ok := s.Begin(Request{Key: "key", Tried: append(tried, "host-1")}, 0)
	assert.Assert(t, !ok)
}
