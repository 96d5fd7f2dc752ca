package charter

// This file holds the algebra that combines the values of several rules into one (docs/charter.md). It does not know
// where a rule comes from.

import (
	"cmp"
	"math"
	"slices"
)

// The slots of Value.Bound: first the limits, then the quotas, then ValueSlot and FurtherSlot.
const (
	limitSlots  = 6
	ValueSlot   = 18 // the value of a request
	FurtherSlot = 19 // further dispatches, as a fraction of first ones
	slotCount   = 20
	noRank      = ^uint64(0)
	maxTiers    = 8
)

// LimitSlot returns the slot of a limit. unit is 0 for requests, 1 for cost, 2 for worth; per is 0 for a second, 1
// for in flight.
func LimitSlot(unit, per int) int { return unit*len(limitPer) + per }

// QuotaSlot returns the slot of a quota. unit is as for LimitSlot; per is 0 for a minute, 1 an hour, 2 a day, 3 a
// month.
func QuotaSlot(unit, per int) int { return limitSlots + unit*len(quotaPer) + per }

// PlaceSet is a set of places of servers, as a bit set: zones, cells and kinds.
type PlaceSet [4]uint64

const maxPlaces = 64 * len(PlaceSet{})

// Contains reports whether s contains all places of t.
func (s PlaceSet) Contains(t PlaceSet) bool {
	return t[0]&^s[0]|t[1]&^s[1]|t[2]&^s[2]|t[3]&^s[3] == 0
}

// Intersects reports whether s and t have a place in common.
func (s PlaceSet) Intersects(t PlaceSet) bool { return !s.intersect(t).isEmpty() }

func (s PlaceSet) intersect(t PlaceSet) PlaceSet {
	return PlaceSet{s[0] & t[0], s[1] & t[1], s[2] & t[2], s[3] & t[3]}
}
func (s PlaceSet) union(t PlaceSet) PlaceSet {
	return PlaceSet{s[0] | t[0], s[1] | t[1], s[2] | t[2], s[3] | t[3]}
}
func (s PlaceSet) complement() PlaceSet { return PlaceSet{^s[0], ^s[1], ^s[2], ^s[3]} }
func (s PlaceSet) isEmpty() bool        { return s == PlaceSet{} }
func (s PlaceSet) hasBit(i int32) bool  { return s[i/64]>>(i%64)&1 == 1 }
func (s *PlaceSet) add(i int32)         { s[i/64] |= 1 << (i % 64) }

// Guarantee is what one rule guarantees, in requests, cost or worth per second.
type Guarantee struct {
	Rule   string
	Unit   int
	Amount float64
}

// Value is the combined value of the rules that apply to one request. None is the value of no rules.
type Value struct {
	Bound      [slotCount]float64 // by slot; the lower of two counts
	Guaranteed []Guarantee        // each rule once, sorted; their amounts add up
	Rank       uint64             // order of denial, with the root's in the highest byte; the lower is denied first
	Allowed    PlaceSet           // places that all rules allow
	Frozen     PlaceSet           // places where any rule forbids work
}

// None returns the value of no rules.
func None() Value {
	v := Value{Rank: noRank, Allowed: PlaceSet{}.complement()}
	for i := range v.Bound {
		v.Bound[i] = math.Inf(1)
	}
	return v
}

// Merge combines two values. Of bounds the lower counts; guarantees add up, where a rule that occurs twice counts
// once, at its lower amount; of ranks the lower counts within each tier of the tree; allowed places are intersected
// and frozen places united. Merge is commutative, associative and idempotent; None is its neutral element.
func (v Value) Merge(w Value) Value {
	for i, x := range w.Bound {
		v.Bound[i] = min(v.Bound[i], x)
	}
	v.Rank, v.Allowed, v.Frozen = minRank(v.Rank, w.Rank), v.Allowed.intersect(w.Allowed), v.Frozen.union(w.Frozen)
	all := slices.Concat(v.Guaranteed, w.Guaranteed)
	slices.SortFunc(all, func(x, y Guarantee) int {
		return cmp.Or(cmp.Compare(x.Rule, y.Rule), cmp.Compare(x.Unit, y.Unit), cmp.Compare(x.Amount, y.Amount))
	})
	v.Guaranteed = slices.CompactFunc(all, func(x, y Guarantee) bool { return x.Rule == y.Rule && x.Unit == y.Unit })
	return v
}

// minRank returns the lower of each byte.
func minRank(v, w uint64) uint64 {
	if v == noRank || v == w {
		return w
	}
	if w == noRank {
		return v
	}
	for i := 0; i < 64; i += 8 {
		if b := uint64(0xff) << i; w&b < v&b {
			v = v&^b | w&b
		}
	}
	return v
}

// Effective is a value in the form that the request path reads.
type Effective struct {
	Bound      [slotCount]float64 // by slot; +Inf: no bound
	Guaranteed [3]float64         // per second, in requests, cost and worth
	Rank       uint64             // the lower is denied first
	Allowed    PlaceSet
}

// Flatten adds up the guarantees.
func (v Value) Flatten() Effective {
	e := Effective{Bound: v.Bound, Rank: v.Rank, Allowed: v.Allowed}
	for _, p := range v.Guaranteed {
		e.Guaranteed[p.Unit] += p.Amount
	}
	return e
}

// Meet restricts e to what also holds by o, for two editions that are both binding: the lower of each value, also of
// guarantees, so that nobody is promised what one of the editions does not give.
func (e *Effective) Meet(o *Effective) {
	for i, x := range o.Bound {
		if x < e.Bound[i] {
			e.Bound[i] = x
		}
	}
	for i, x := range o.Guaranteed {
		if x < e.Guaranteed[i] {
			e.Guaranteed[i] = x
		}
	}
	e.Rank, e.Allowed = minRank(e.Rank, o.Rank), e.Allowed.intersect(o.Allowed)
}

// combine adds the values of other rules of the same edition for the same request.
func (e *Effective) combine(o *Effective) {
	for i, x := range o.Bound {
		if x < e.Bound[i] {
			e.Bound[i] = x
		}
	}
	for i, x := range o.Guaranteed {
		e.Guaranteed[i] += x
	}
	e.Rank, e.Allowed = minRank(e.Rank, o.Rank), e.Allowed.intersect(o.Allowed)
}
