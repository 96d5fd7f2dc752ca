package charter

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func drawValue(t *rapid.T, label string) Value {
	v := None()
	for range rapid.IntRange(0, 6).Draw(t, label) {
		switch rapid.IntRange(0, 4).Draw(t, "what") {
		case 0:
			v.Bound[rapid.IntRange(0, bounds-1).Draw(t, "slot")] = float64(rapid.IntRange(0, 5).Draw(t, "bound"))
		case 1:
			rule := rapid.SampledFrom([]string{"a/1", "a/2", "b/1"}).Draw(t, "rule")
			v = v.Merge(Value{None().Bound, []Part{{rule, rapid.IntRange(0, 2).Draw(t, "unit"),
				float64(rapid.IntRange(0, 5).Draw(t, "sure"))}},
				tops, Set{}.not(), Set{}})
		case 2:
			v.Rank = rapid.Uint64().Draw(t, "rank")
		case 3:
			v.Allowed = Set{rapid.Uint64().Draw(t, "allowed"), 5, 7, 0}
		case 4:
			v.Frozen = Set{rapid.Uint64().Draw(t, "frozen")}
		}
	}
	return v
}

// laws checks that a merge is commutative, associative and idempotent, and that None changes nothing.
func algebraLaws(merge func(Value, Value) Value, a, b, c Value) string {
	same := func(x, y Value) bool {
		return x.Bound == y.Bound && slices.Equal(x.Sure, y.Sure) && x.Rank == y.Rank && x.Allowed == y.Allowed &&
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
		if wrong := algebraLaws(Value.Merge, drawValue(t, "a"), drawValue(t, "b"), drawValue(t, "c")); wrong != "" {
			t.Error(wrong)
		}
	})
}

// The meet of editions is commutative, associative and idempotent, and below both: no proxy under it passes
// either.
func TestMeet(t *testing.T) {
	meet := func(x, y Effective) Effective { x.Meet(&y); return x }
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawValue(t, "a").Flat(), drawValue(t, "b").Flat(), drawValue(t, "c").Flat()
		m := meet(a, b)
		if m != meet(b, a) || meet(m, c) != meet(a, meet(b, c)) || meet(a, a) != a {
			t.Error("no meet")
		}
		for i := range m.Bound {
			if m.Bound[i] > a.Bound[i] || m.Bound[i] > b.Bound[i] {
				t.Error("a bound above one of both")
			}
		}
		for i := range m.Sure {
			if m.Sure[i] > a.Sure[i] || m.Sure[i] > b.Sure[i] {
				t.Error("a guarantee above one of both")
			}
		}
		if !a.Allowed.Has(m.Allowed) || !b.Allowed.Has(m.Allowed) {
			t.Error("a place that one of both forbids")
		}
	})
}

// largest is a faulty merge: of guarantees the largest counts.
func largest(v, w Value) Value {
	m := v.Merge(w)
	best := map[int]Part{}
	for _, p := range m.Sure {
		if b, ok := best[p.Unit]; !ok || p.Amount > b.Amount {
			best[p.Unit] = p
		}
	}
	m.Sure = nil
	for unit := range units {
		if p, ok := best[unit]; ok {
			m.Sure = append(m.Sure, p)
		}
	}
	return m
}

// picture compares what a picture says of each req with what the rules that the judge finds in force say
// together, merged in any order and some of them twice.
func pictured(t *rapid.T, merge func(Value, Value) Value) string {
	files := world(t)
	c, j := Merge(files, begin, nil), newJudge(files)
	laws, wrong := j.laws(), ""
	at := begin + int64(rapid.IntRange(0, 60).Draw(t, "at"))*step
	p := c.Picture(at)
	reqs(func(tenant, set string) {
		want := None()
		var hit []Value
		for _, x := range laws {
			if x.open[at] && j.covers(x, tenant, set) && !(x.places() && x.Kind == "limit") {
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
		p.Of(tenant, set, &got)
		if got != want.Flat() {
			wrong = fmt.Sprintf("tenant %q, rule set %q: %v, want %v", tenant, set, got, want.Flat())
		}
	})
	return wrong
}

func TestPicture(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if wrong := pictured(t, Value.Merge); wrong != "" {
			t.Error(wrong)
		}
	})
}

// What takes the largest guarantee instead of adding is found.
func TestBrokenGuarantees(t *testing.T) {
	tried := rapid.Custom(func(t *rapid.T) string { return pictured(t, largest) })
	for seed := range 500 {
		if tried.Example(seed) != "" {
			t.Logf("found by universe %d", seed)
			return
		}
	}
	t.Error("not found in 500 universes")
}

// A picture holds until its end, and its values at each moment are the rules' own.
func TestPictureUntil(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Merge(world(t), begin, nil)
		at := begin + int64(rapid.IntRange(0, 60).Draw(t, "at"))*step
		p := c.Picture(at)
		if p.Until <= at {
			t.Fatalf("at %d until %d", at, p.Until)
		}
		last := c.Picture(min(p.Until-1, at+40*weekly))
		reqs(func(tenant, set string) {
			var x, y Effective
			p.Of(tenant, set, &x)
			if last.Of(tenant, set, &y); x != y {
				t.Errorf("tenant %q, rule set %q changed before the picture's end", tenant, set)
			}
		})
	})
}

// The order in which teams hand in changes nothing.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		files := world(t)
		a, b := Merge(files, begin, nil), Merge(rapid.Permutation(files).Draw(t, "order"), begin, nil)
		if !reflect.DeepEqual(a.Conflicts, b.Conflicts) || !reflect.DeepEqual(a.Effects(begin), b.Effects(begin)) {
			t.Errorf("%v and %v", a.Conflicts, b.Conflicts)
		}
	})
}

// Where two editions bind, each req and place has what both give.
func TestJoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := Merge(world(t), begin, nil), Merge(world(t), begin, nil)
		pa, pb, both := a.Picture(begin), b.Picture(begin), Draw(begin, a, b)
		if both.Until != min(pa.Until, pb.Until) {
			t.Errorf("until %d, of %d and %d", both.Until, pa.Until, pb.Until)
		}
		reqs(func(tenant, set string) {
			var x, y, z Effective
			pa.Of(tenant, set, &x)
			pb.Of(tenant, set, &y)
			both.Of(tenant, set, &z)
			for i := range z.Bound {
				if z.Bound[i] != math.Min(x.Bound[i], y.Bound[i]) {
					t.Errorf("bound %d: %v of %v and %v", i, z.Bound[i], x.Bound[i], y.Bound[i])
				}
			}
			for i := range z.Sure {
				if z.Sure[i] != math.Min(x.Sure[i], y.Sure[i]) {
					t.Errorf("guarantee: %v of %v and %v", z.Sure, x.Sure, y.Sure)
				}
			}
			for _, zone := range append(universe[Zone], "other") {
				for _, cell := range append(universe[Cell], "9") {
					at := func(p *Picture) Set { return p.Mask(zone, cell, "k1") }
					if z.Allowed.Has(at(both)) != (x.Allowed.Has(at(pa)) && y.Allowed.Has(at(pb))) {
						t.Errorf("zone %s, cell %s", zone, cell)
					}
					one := func(p *Picture) bool { return !p.Frozen.and(at(p)).empty() }
					if one(both) != (one(pa) || one(pb)) {
						t.Errorf("freeze at zone %s, cell %s", zone, cell)
					}
				}
			}
		})
		for _, d := range []Dim{Zone, Cell, Kind} {
			for _, name := range append(universe[d], "other") {
				if both.Limit(d, name, 0) != math.Min(pa.Limit(d, name, 0), pb.Limit(d, name, 0)) {
					t.Errorf("limit of %s %s", d, name)
				}
			}
		}
	})
}
