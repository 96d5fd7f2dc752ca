package aggregate

import (
	"math"
	"testing"

	"ivybank/fleet/peer"
)

const second = int64(1e9)

// testFleet runs rounds in which each member sends to one member of each of its sibling blocks. Dead members
// neither send nor receive.
type testFleet struct {
	members      []*Aggregate
	dead         map[int]bool
	now          int64
	disconnected func(from, to int) bool
}

func newTestFleet(n int) *testFleet {
	f := &testFleet{dead: map[int]bool{}, now: 1e12, disconnected: func(int, int) bool { return false }}
	for i := range n {
		x := New(Config{Index: i, Members: n, MaxAge: 8 * second, MaxMemberRate: 1000})
		x.Own = Load{First: 10, Served: 8}
		x.Own.Offered[i%3] = 10
		f.members = append(f.members, x)
	}
	return f
}

func (f *testFleet) round(n int) {
	f.now += second / 4
	for i, x := range f.members {
		if f.dead[i] {
			continue
		}
		x.DropGone(func(p int) bool { return !f.dead[p] && !f.disconnected(p, i) }, func(int) uint64 { return 0 })
		for level := range x.Levels() {
			from, to := x.Sibling(level)
			for j := range to - from {
				to := from + (j+n)%(to-from)
				if f.dead[to] || f.disconnected(i, to) {
					continue
				}
				room := peer.FullRoom()
				f.members[to].Receive(x.SumsFor(level, 1, &room, f.now), f.now)
				break
			}
		}
	}
}

func (f *testFleet) rounds(n int) {
	for i := range n {
		f.round(i)
	}
}

// For any number of members, each member counts every member once.
func TestEachMemberCountedOnce(t *testing.T) {
	for _, n := range []int{1, 2, 3, 7, 12, 33, 100} {
		f := newTestFleet(n)
		f.rounds(30)
		for i, x := range f.members {
			got, counted := x.FleetLoad(f.now)
			if want := float64(10 * n); counted != n || math.Abs(got.TotalOffered()/want-1) > 0.06 ||
				math.Abs(got.First/want-1) > 0.06 {
				t.Fatalf("%d members: member %d counts %d with %.1f offered, want %.1f", n, i, counted,
					got.TotalOffered(), want)
			}
		}
	}
}

// A dead member is no longer counted once its death is known and the sums that contain it are replaced.
func TestDeadMemberNotCounted(t *testing.T) {
	f := newTestFleet(12)
	f.rounds(40)
	f.dead[5], f.dead[11] = true, true
	f.rounds(24)
	for i, x := range f.members {
		if got, counted := x.FleetLoad(f.now); !f.dead[i] && (counted != 10 || math.Abs(got.First/100-1) > 0.06) {
			t.Errorf("member %d counts %d with %.1f", i, counted, got.First)
		}
	}
}

// The weight of a sum that is not renewed falls to zero, even if its members are believed to be alive.
func TestOldSumsFade(t *testing.T) {
	f := newTestFleet(2)
	f.rounds(2)
	x := f.members[0]
	last := math.Inf(1)
	for range 9 {
		got, _ := x.FleetLoad(f.now)
		if got.First > last {
			t.Errorf("the load rose to %v", got.First)
		}
		last = got.First
		f.now += second
	}
	if _, counted := x.FleetLoad(f.now); counted != 1 || math.Abs(last-10) > 0.1 {
		t.Errorf("%d counted with %v, want only the member itself", counted, last)
	}
}

// Each side of a partition counts only itself. After the partition all members are counted once.
func TestPartition(t *testing.T) {
	f := newTestFleet(12)
	f.rounds(40)
	f.disconnected = func(a, b int) bool { return a%2 != b%2 }
	f.rounds(40)
	for i, x := range f.members {
		if _, counted := x.FleetLoad(f.now); counted != 6 {
			t.Errorf("member %d counts %d on its side, want 6", i, counted)
		}
	}
	f.disconnected = func(a, b int) bool { return false }
	f.rounds(40)
	for i, x := range f.members {
		if _, counted := x.FleetLoad(f.now); counted != 12 {
			t.Errorf("member %d counts %d after the partition, want 12", i, counted)
		}
	}
}

func encodedLoad(first float64) []byte { return (&Load{First: first}).Bytes() }

func TestReceive(t *testing.T) {
	excessive := Load{First: 1e5}
	excessive.Offered[0] = 1e5
	for name, c := range map[string]struct {
		sum         peer.LoadSum
		accepted    bool
		implausible int
	}{
		"the sibling":              {peer.LoadSum{Level: 0, Block: 1, Members: 1, Load: encodedLoad(90)}, true, 0},
		"not a sibling block":      {peer.LoadSum{Level: 1, Block: 3, Members: 2, Load: encodedLoad(90)}, false, 0},
		"own block":                {peer.LoadSum{Level: 0, Block: 0, Members: 1, Load: encodedLoad(90)}, false, 0},
		"too many members":         {peer.LoadSum{Level: 0, Block: 1, Members: 2, Load: encodedLoad(90)}, false, 0},
		"beyond the highest level": {peer.LoadSum{Level: 9, Block: 0, Members: 1, Load: encodedLoad(90)}, false, 0},
		"implausible":              {peer.LoadSum{Level: 0, Block: 1, Members: 1, Load: excessive.Bytes()}, false, 1},
		"too many figures":         {peer.LoadSum{Level: 0, Block: 1, Members: 1, Load: make([]byte, 98)}, false, 1},
	} {
		f := New(Config{Index: 0, Members: 4, MaxAge: second, MaxMemberRate: 1000})
		f.Receive([]peer.LoadSum{c.sum}, second)
		if _, counted := f.FleetLoad(second); (counted > 1) != c.accepted || f.Implausible != c.implausible {
			t.Errorf("%s: %d counted, %d implausible", name, counted, f.Implausible)
		}
	}
	// A late older sum does not replace a newer one; that of a newer process does.
	f := New(Config{Index: 0, Members: 2, MaxAge: 10 * second, MaxMemberRate: 1000})
	f.Receive([]peer.LoadSum{{Block: 1, Incarnation: 1, Members: 1, Load: encodedLoad(90)}}, 5*second)
	f.Receive([]peer.LoadSum{{Block: 1, Incarnation: 1, Members: 1, Age: 100, Load: encodedLoad(200)}}, 5*second)
	if got, _ := f.FleetLoad(5 * second); math.Abs(got.First-90) > 0.5 {
		t.Errorf("got %v, want the newer sum", got.First)
	}
	f.Receive([]peer.LoadSum{{Block: 1, Incarnation: 2, Members: 1, Age: 100, Load: encodedLoad(120)}}, 5*second)
	if got, _ := f.FleetLoad(5 * second); math.Abs(got.First-120) > 0.5 {
		t.Errorf("got %v, want the sum of the newer process", got.First)
	}
}
