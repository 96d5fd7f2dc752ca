package assign

import (
	"fmt"
	"slices"
	"testing"
)

const second = int64(1e9)

func firstMembers(n int) (members []int) {
	for i := range n {
		members = append(members, i)
	}
	return members
}

func taskIDs(n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprintf("s-%03d", i))
	}
	return all
}

// runTasks lets members run their tasks for a time, where each hears of the others' runs a second later. It
// returns the number of runs by task.
func runTasks(rosters []*Roster, dead map[int]bool, hears func(from, to int) bool, from, until int64) map[string]int {
	done := map[string]int{}
	type report struct {
		at   int64
		id   string
		from int
	}
	var reports []report
	for now := from; now < until; now += second / 20 {
		for len(reports) > 0 && reports[0].at+second <= now {
			for i, r := range rosters {
				if hears(reports[0].from, i) {
					r.Done(reports[0].id, reports[0].at)
				}
			}
			reports = reports[1:]
		}
		for i, r := range rosters {
			if dead[i] {
				continue
			}
			for _, id := range r.Due(now) {
				done[id]++
				reports = append(reports, report{now, id, i})
			}
		}
	}
	return done
}

func newRosters(n, tasks int) (x []*Roster) {
	for i := range n {
		r := New(Config{Interval: second, TakeOverAfter: 3 * second}, i, uint64(i))
		r.Set(taskIDs(tasks), firstMembers(n), second)
		x = append(x, r)
	}
	return x
}

func connected(int, int) bool { return true }

// For any number of members, each task runs about once per interval, and about twice in a partition.
func TestRunRate(t *testing.T) {
	for _, n := range []int{1, 2, 12, 300} {
		for id, got := range runTasks(newRosters(n, 10), nil, connected, second, 31*second) {
			if got < 27 || got > 39 {
				t.Errorf("%d members: %s done %d times in 30 s", n, id, got)
			}
		}
	}
	x := newRosters(12, 10)
	for i, r := range x { // each side knows only its own members
		var half []int
		for j := i % 2; j < 12; j += 2 {
			half = append(half, j)
		}
		r.Set(taskIDs(10), half, second)
	}
	for id, got := range runTasks(x, nil, func(a, b int) bool { return a%2 == b%2 }, second, 31*second) {
		if got < 54 || got > 64 {
			t.Errorf("partition: %s done %d times in 30 s", id, got)
		}
	}
}

// If the first candidate of a task is silent the next one takes over, before anybody knows that the first is dead.
func TestTakeover(t *testing.T) {
	x := newRosters(12, 10)
	first, _ := x[0].Owner("s-003")
	runTasks(x, nil, connected, second, 11*second)
	done := runTasks(x, map[int]bool{first: true}, connected, 11*second, 16*second)
	if done["s-003"] == 0 {
		t.Error("no member took over within 5 s")
	}
}

// The assignment of tasks changes little when a member leaves.
func TestStableAssignment(t *testing.T) {
	x := New(Config{Interval: second, TakeOverAfter: second}, 0, 1)
	x.Set(taskIDs(100), firstMembers(12), 0)
	moved := 0
	before := make([]int, 100)
	for i, id := range taskIDs(100) {
		before[i], _ = x.Owner(id)
	}
	x.Set(taskIDs(100), slices.DeleteFunc(firstMembers(12), func(i int) bool { return i == 7 }), 0)
	for i, id := range taskIDs(100) {
		if now, _ := x.Owner(id); now != before[i] {
			if moved++; before[i] != 7 {
				t.Errorf("%s moved from %d to %d though the former is still a member", id, before[i], now)
			}
		}
	}
	if moved == 0 || moved > 25 {
		t.Errorf("%d of 100 moved", moved)
	}
}
