package charter

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// drawValue draws a value.
func drawValue(t *rapid.T, label string) Value {
	v := None()
	for range rapid.IntRange(0, 6).Draw(t, label) {
		switch rapid.IntRange(0, 4).Draw(t, "what") {
		case 0:
			v.Bound[rapid.IntRange(0, slotCount-1).Draw(t, "slot")] = float64(rapid.IntRange(0, 5).Draw(t, "bound"))
		case 1:
			rule := rapid.SampledFrom([]string{"a/1", "a/2", "b/1"}).Draw(t, "rule")
			v = v.Merge(Value{None().Bound, []Guarantee{{rule, rapid.IntRange(0, 2).Draw(t, "unit"),
				float64(rapid.IntRange(0, 5).Draw(t, "sure"))}},
				noRank, PlaceSet{}.complement(), PlaceSet{}})
		case 2:
			v.Rank = rapid.Uint64().Draw(t, "rank")
		case 3:
			v.Allowed = PlaceSet{rapid.Uint64().Draw(t, "allowed"), 5, 7, 0}
		case 4:
			v.Frozen = PlaceSet{rapid.Uint64().Draw(t, "frozen")}
		}
	}
	return v
}

// algebraLaws returns which law a merge breaks: it has to be commutative, associative and idempotent, with None as
// neutral element.
func algebraLaws(merge func(Value, Value) Value, a, b, c Value) string {
	same := func(x, y Value) bool {
		return x.Bound == y.Bound && slices.Equal(x.Guaranteed, y.Guaranteed) && x.Rank == y.Rank &&
			x.Allowed == y.Allowed &&
			x.Frozen == y.Frozen
	}
	switch {
	case !same(merge(a, b), merge(b, a)):
		return "not commutative"
	case !same(merge(a, merge(b, c)), merge(merge(a, b), c)):
		return "not associative"
	case !same(merge(a, a), a) || !same(merge(merge(a, b), b), merge(a, b)):
		return "not idempotent"
	case !same(merge(a, None()), a):
		return "None is not neutral"
	}
	return ""
}

func TestAlgebra(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if problem := algebraLaws(Value.Merge, drawValue(t, "a"), drawValue(t, "b"), drawValue(t, "c")); problem != "" {
			t.Error(problem)
		}
	})
}

// The meet of two editions is commutative, associative and idempotent, and no value in it exceeds that of either
// edition.
func TestMeet(t *testing.T) {
	meet := func(x, y Effective) Effective { x.Meet(&y); return x }
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawValue(t, "a").Flatten(), drawValue(t, "b").Flatten(), drawValue(t, "c").Flatten()
		m := meet(a, b)
		if m != meet(b, a) || meet(m, c) != meet(a, meet(b, c)) || meet(a, a) != a {
			t.Error("the meet is not commutative, associative and idempotent")
		}
		for i := range m.Bound {
			if m.Bound[i] > a.Bound[i] || m.Bound[i] > b.Bound[i] {
				t.Error("a bound above that of one of the two")
			}
		}
		for i := range m.Guaranteed {
			if m.Guaranteed[i] > a.Guaranteed[i] || m.Guaranteed[i] > b.Guaranteed[i] {
				t.Error("a guarantee above that of one of the two")
			}
		}
		if !a.Allowed.Contains(m.Allowed) || !b.Allowed.Contains(m.Allowed) {
			t.Error("a place that one of the two forbids")
		}
	})
}

// largestGuarantee is a faulty merge that takes the largest guarantee instead of adding them.
func largestGuarantee(v, w Value) Value {
	m := v.Merge(w)
	best := map[int]Guarantee{}
	for _, p := range m.Guaranteed {
		if b, ok := best[p.Unit]; !ok || p.Amount > b.Amount {
			best[p.Unit] = p
		}
	}
	m.Guaranteed = nil
	for unit := range units {
		if p, ok := best[unit]; ok {
			m.Guaranteed = append(m.Guaranteed, p)
		}
	}
	return m
}

// checkSnapshot compares the values of a snapshot for each request with the values of the rules that are in force
// according to the reference, merged in any order and some of them twice.
func checkSnapshot(t *rapid.T, merge func(Value, Value) Value) string {
	files := randomFiles(t)
	c, ref := Merge(files, startTime, nil), newReference(files)
	rules, problem := ref.rules(), ""
	at := startTime + int64(rapid.IntRange(0, 60).Draw(t, "at"))*gridStep
	p := c.Snapshot(at)
	eachRequest(func(tenant, set string) {
		want := None()
		var hit []Value
		for _, x := range rules {
			if x.open[at] && ref.covers(x, tenant, set) && !(x.namesPlaces() && x.Kind == "limit") {
				i := slices.IndexFunc(c.rules, func(r *rule) bool { return r.At == x.At })
				hit = append(hit, c.rules[i].value())
			}
		}
		if len(hit) > 0 {
			for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(hit)-1), 0, 2*len(hit)).Draw(t, "order") {
				want = merge(want, hit[i])
			}
			for _, v := range hit {
				want = merge(v, want)
			}
		}
		var got Effective
		p.Lookup(tenant, set, &got)
		if got != want.Flatten() {
			problem = fmt.Sprintf("tenant %q, rule set %q: %v, want %v", tenant, set, got, want.Flatten())
		}
	})
	return problem
}

func TestSnapshotAgainstRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if problem := checkSnapshot(t, Value.Merge); problem != "" {
			t.Error(problem)
		}
	})
}

// A merge that takes the largest guarantee instead of adding them is found.
func TestFaultyMergeFound(t *testing.T) {
	generator := rapid.Custom(func(t *rapid.T) string { return checkSnapshot(t, largestGuarantee) })
	for seed := range 500 {
		if generator.Example(seed) != "" {
			t.Logf("found with seed %d", seed)
			return
		}
	}
	t.Error("not found with 500 seeds")
}

// The values of a snapshot do not change before its end.
func TestSnapshotUntil(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Merge(randomFiles(t), startTime, nil)
		at := startTime + int64(rapid.IntRange(0, 60).Draw(t, "at"))*gridStep
		p := c.Snapshot(at)
		if p.Until <= at {
			t.Fatalf("at %d until %d", at, p.Until)
		}
		last := c.Snapshot(min(p.Until-1, at+40*weekLength))
		eachRequest(func(tenant, set string) {
			var x, y Effective
			p.Lookup(tenant, set, &x)
			if last.Lookup(tenant, set, &y); x != y {
				t.Errorf("tenant %q, rule set %q: changed before the end of the snapshot", tenant, set)
			}
		})
	})
}

// The order of the files does not matter.
func TestFileOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		files := randomFiles(t)
		a, b := Merge(files, startTime, nil), Merge(rapid.Permutation(files).Draw(t, "order"), startTime, nil)
		if !reflect.DeepEqual(a.Conflicts, b.Conflicts) ||
			!reflect.DeepEqual(a.Effects(startTime), b.Effects(startTime)) {
			t.Errorf("%v and %v", a.Conflicts, b.Conflicts)
		}
	})
}

// If two editions are binding, each request and place has the values that both allow.
func TestJointSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := Merge(randomFiles(t), startTime, nil), Merge(randomFiles(t), startTime, nil)
		pa, pb, both := a.Snapshot(startTime), b.Snapshot(startTime), NewSnapshot(startTime, a, b)
		if both.Until != min(pa.Until, pb.Until) {
			t.Errorf("until %d, of %d and %d", both.Until, pa.Until, pb.Until)
		}
		eachRequest(func(tenant, set string) {
			var x, y, z Effective
			pa.Lookup(tenant, set, &x)
			pb.Lookup(tenant, set, &y)
			both.Lookup(tenant, set, &z)
			for i := range z.Bound {
				if z.Bound[i] != math.Min(x.Bound[i], y.Bound[i]) {
					t.Errorf("bound %d: %v of %v and %v", i, z.Bound[i], x.Bound[i], y.Bound[i])
				}
			}
			for i := range z.Guaranteed {
				if z.Guaranteed[i] != math.Min(x.Guaranteed[i], y.Guaranteed[i]) {
					t.Errorf("guarantee: %v of %v and %v", z.Guaranteed, x.Guaranteed, y.Guaranteed)
				}
			}
			for _, zone := range append(universe[Zone], "other") {
				for _, cell := range append(universe[Cell], "9") {
					at := func(p *Snapshot) PlaceSet { return p.Mask(zone, cell, "k1") }
					if z.Allowed.Contains(at(both)) != (x.Allowed.Contains(at(pa)) && y.Allowed.Contains(at(pb))) {
						t.Errorf("zone %s, cell %s", zone, cell)
					}
					one := func(p *Snapshot) bool { return !p.Frozen.intersect(at(p)).isEmpty() }
					if one(both) != (one(pa) || one(pb)) {
						t.Errorf("freeze at zone %s, cell %s", zone, cell)
					}
				}
			}
		})
		for _, d := range []Dimension{Zone, Cell, Kind} {
			for _, name := range append(universe[d], "other") {
				if both.Limit(d, name, 0) != math.Min(pa.Limit(d, name, 0), pb.Limit(d, name, 0)) {
					t.Errorf("limit of %s %s", d, name)
				}
			}
		}
	})
}
