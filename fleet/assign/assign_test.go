package assign

import (
	"fmt"
	"slices"
	"testing"
)

const second = int64(1e9)

func all(n int) (members []int) {
	for i := range n {
		members = append(members, i)
	}
	return members
}

func ids(n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprintf("s-%03d", i))
	}
	return all
}

// play has members do their duties for a time, each hearing of what others did a second later; it counts by duty.
func play(rosters []*Roster, dead map[int]bool, hears func(from, to int) bool, from, until int64) map[string]int {
	done := map[string]int{}
	type word struct {
		at   int64
		id   string
		from int
	}
	var words []word
	for now := from; now < until; now += second / 20 {
		for len(words) > 0 && words[0].at+second <= now {
			for i, r := range rosters {
				if hears(words[0].from, i) {
					r.Done(words[0].id, words[0].at)
				}
			}
			words = words[1:]
		}
		for i, r := range rosters {
			if dead[i] {
				continue
			}
			for _, id := range r.Due(now) {
				done[id]++
				words = append(words, word{now, id, i})
			}
		}
	}
	return done
}

func rosters(n, duties int) (x []*Roster) {
	for i := range n {
		r := New(Config{Interval: second, TakeOverAfter: 3 * second}, i, uint64(i))
		r.Set(ids(duties), all(n), second)
		x = append(x, r)
	}
	return x
}

func everyone(int, int) bool { return true }

// However many members there are, each duty is done about once each time in calm, and about twice in a partition.
func TestPace(t *testing.T) {
	for _, n := range []int{1, 2, 12, 300} {
		for id, got := range play(rosters(n, 10), nil, everyone, second, 31*second) {
			if got < 27 || got > 39 {
				t.Errorf("%d members: %s done %d times in 30 s", n, id, got)
			}
		}
	}
	x := rosters(12, 10)
	for i, r := range x { // who is alive is known to each half
		var half []int
		for j := i % 2; j < 12; j += 2 {
			half = append(half, j)
		}
		r.Set(ids(10), half, second)
	}
	for id, got := range play(x, nil, func(a, b int) bool { return a%2 == b%2 }, second, 31*second) {
		if got < 54 || got > 64 {
			t.Errorf("partition: %s done %d times in 30 s", id, got)
		}
	}
}

// A duty whose first in rank is silent goes to the next, before anybody knows that the first is dead.
func TestTakenOver(t *testing.T) {
	x := rosters(12, 10)
	first, _ := x[0].Owner("s-003")
	play(x, nil, everyone, second, 11*second)
	done := play(x, map[int]bool{first: true}, everyone, 11*second, 16*second)
	if done["s-003"] == 0 {
		t.Error("nobody has taken over within 5 s")
	}
}

// Who stands for a duty changes little with who is there.
func TestStays(t *testing.T) {
	x := New(Config{Interval: second, TakeOverAfter: second}, 0, 1)
	x.Set(ids(100), all(12), 0)
	moved := 0
	before := make([]int, 100)
	for i, id := range ids(100) {
		before[i], _ = x.Owner(id)
	}
	x.Set(ids(100), slices.DeleteFunc(all(12), func(i int) bool { return i == 7 }), 0)
	for i, id := range ids(100) {
		if now, _ := x.Owner(id); now != before[i] {
			if moved++; before[i] != 7 {
				t.Errorf("%s went from %d to %d, though that one is there", id, before[i], now)
			}
		}
	}
	if moved == 0 || moved > 25 {
		t.Errorf("%d of 100 moved", moved)
	}
}
