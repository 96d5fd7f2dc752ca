package aggregate

import (
	"math"
	"testing"

	"ivybank/fleet/peer"
)

const second = int64(1e9)

// fleet plays rounds in which each tells one of each block beside its own; dead ones neither tell nor hear.
type fleet struct {
	folds []*Aggregate
	dead  map[int]bool
	now   int64
	cut   func(from, to int) bool
}

func newFleet(n int) *fleet {
	f := &fleet{dead: map[int]bool{}, now: 1e12, cut: func(int, int) bool { return false }}
	for i := range n {
		x := New(Config{Index: i, Members: n, MaxAge: 8 * second, MaxMemberRate: 1000})
		x.Own = Load{First: 10, Served: 8}
		x.Own.Offered[i%3] = 10
		f.folds = append(f.folds, x)
	}
	return f
}

func (f *fleet) round(n int) {
	f.now += second / 4
	for i, x := range f.folds {
		if f.dead[i] {
			continue
		}
		x.DropGone(func(p int) bool { return !f.dead[p] && !f.cut(p, i) }, func(int) uint64 { return 0 })
		for level := range x.Levels() {
			from, to := x.Sibling(level)
			for j := range to - from {
				to := from + (j+n)%(to-from)
				if f.dead[to] || f.cut(i, to) {
					continue
				}
				room := peer.FullRoom()
				f.folds[to].Receive(x.SumsFor(level, 1, &room, f.now), f.now)
				break
			}
		}
	}
}

func (f *fleet) rounds(n int) {
	for i := range n {
		f.round(i)
	}
}

// Whatever the number of members, each counts all of them once.
func TestAllCounted(t *testing.T) {
	for _, n := range []int{1, 2, 3, 7, 12, 33, 100} {
		f := newFleet(n)
		f.rounds(30)
		for i, x := range f.folds {
			got, of := x.FleetLoad(f.now)
			if want := float64(10 * n); of != n || math.Abs(got.TotalOffered()/want-1) > 0.06 || math.Abs(got.First/want-1) > 0.06 {
				t.Fatalf("%d members: member %d counts %d with %.1f offered, want %.1f", n, i, of, got.TotalOffered(), want)
			}
		}
	}
}

// A member that has died is counted by nobody once its death is known and the sums that hold it are replaced.
func TestDeadNotCounted(t *testing.T) {
	f := newFleet(12)
	f.rounds(40)
	f.dead[5], f.dead[11] = true, true
	f.rounds(24)
	for i, x := range f.folds {
		if got, of := x.FleetLoad(f.now); !f.dead[i] && (of != 10 || math.Abs(got.First/100-1) > 0.06) {
			t.Errorf("member %d counts %d with %.1f", i, of, got.First)
		}
	}
}

// A sum that nobody renews fades and then counts for nothing, also where its members are held to be alive.
func TestFades(t *testing.T) {
	f := newFleet(2)
	f.rounds(2)
	x := f.folds[0]
	last := math.Inf(1)
	for range 9 {
		got, _ := x.FleetLoad(f.now)
		if got.First > last {
			t.Errorf("grew to %v", got.First)
		}
		last = got.First
		f.now += second
	}
	if _, of := x.FleetLoad(f.now); of != 1 || math.Abs(last-10) > 0.1 {
		t.Errorf("%d counted, %v, want only itself", of, last)
	}
}

// Each half of a partition counts itself alone, and after it all are counted once.
func TestHalves(t *testing.T) {
	f := newFleet(12)
	f.rounds(40)
	f.cut = func(a, b int) bool { return a%2 != b%2 }
	f.rounds(40)
	for i, x := range f.folds {
		if _, of := x.FleetLoad(f.now); of != 6 {
			t.Errorf("member %d counts %d in its half", i, of)
		}
	}
	f.cut = func(a, b int) bool { return false }
	f.rounds(40)
	for i, x := range f.folds {
		if _, of := x.FleetLoad(f.now); of != 12 {
			t.Errorf("member %d counts %d after the partition", i, of)
		}
	}
}

func bytes(first float64) []byte { return (&Load{First: first}).Bytes() }

func TestHeard(t *testing.T) {
	wild := Load{First: 1e5}
	wild.Offered[0] = 1e5
	for name, c := range map[string]struct {
		sum   peer.LoadSum
		taken bool
		odd   int
	}{
		"the neighbour's":            {peer.LoadSum{Level: 0, Block: 1, Members: 1, Load: bytes(90)}, true, 0},
		"of another block":           {peer.LoadSum{Level: 1, Block: 3, Members: 2, Load: bytes(90)}, false, 0},
		"one's own":                  {peer.LoadSum{Level: 0, Block: 0, Members: 1, Load: bytes(90)}, false, 0},
		"more members than it holds": {peer.LoadSum{Level: 0, Block: 1, Members: 2, Load: bytes(90)}, false, 0},
		"past the levels":            {peer.LoadSum{Level: 9, Block: 0, Members: 1, Load: bytes(90)}, false, 0},
		"impossible":                 {peer.LoadSum{Level: 0, Block: 1, Members: 1, Load: wild.Bytes()}, false, 1},
		"too many figures":           {peer.LoadSum{Level: 0, Block: 1, Members: 1, Load: make([]byte, 98)}, false, 1},
	} {
		f := New(Config{Index: 0, Members: 4, MaxAge: second, MaxMemberRate: 1000})
		f.Receive([]peer.LoadSum{c.sum}, second)
		if _, of := f.FleetLoad(second); (of > 1) != c.taken || f.Implausible != c.odd {
			t.Errorf("%s: counts %d, %d impossible", name, of, f.Implausible)
		}
	}
	// An older one that comes late does not take a newer one's place; that of a newer process does.
	f := New(Config{Index: 0, Members: 2, MaxAge: 10 * second, MaxMemberRate: 1000})
	f.Receive([]peer.LoadSum{{Block: 1, Incarnation: 1, Members: 1, Load: bytes(90)}}, 5*second)
	f.Receive([]peer.LoadSum{{Block: 1, Incarnation: 1, Members: 1, Age: 100, Load: bytes(200)}}, 5*second)
	if got, _ := f.FleetLoad(5 * second); math.Abs(got.First-90) > 0.5 {
		t.Errorf("got %v of the older", got.First)
	}
	f.Receive([]peer.LoadSum{{Block: 1, Incarnation: 2, Members: 1, Age: 100, Load: bytes(120)}}, 5*second)
	if got, _ := f.FleetLoad(5 * second); math.Abs(got.First-120) > 0.5 {
		t.Errorf("got %v of the earlier process", got.First)
	}
}
