package charter

// This file owns the algebra by which what several rules say becomes one value (docs/charter.md). It must
// never know where a rule came from.

import (
	"cmp"
	"math"
	"slices"
)

// The slots of bounds: limits, quotas, then these.
const (
	quotas   = 6
	Billing  = 18 // the value of a req
	Further  = 19 // further dispatches, as a part of first ones
	bounds   = 20
	tops     = ^uint64(0)
	mostTier = 8
)

// Limit is the slot of a limit; unit is 0 reqs, 1 cost, 2 worth, per is 0 second, 1 in flight.
func Limit(unit, per int) int { return unit*len(limitPer) + per }

// Quota is the slot of a quota; per is 0 minute, 1 hour, 2 day, 3 month.
func Quota(unit, per int) int { return quotas + unit*len(quotaPer) + per }

// Set is a set of places: bits for zones, cells and kinds.
type Set [4]uint64

const mostPlaces = 64 * len(Set{})

// Has says whether all places of another set are in it.
func (s Set) Has(t Set) bool {
	return t[0]&^s[0]|t[1]&^s[1]|t[2]&^s[2]|t[3]&^s[3] == 0
}

// Meets says whether both have a place in common.
func (s Set) Meets(t Set) bool { return !s.and(t).empty() }

func (s Set) and(t Set) Set   { return Set{s[0] & t[0], s[1] & t[1], s[2] & t[2], s[3] & t[3]} }
func (s Set) or(t Set) Set    { return Set{s[0] | t[0], s[1] | t[1], s[2] | t[2], s[3] | t[3]} }
func (s Set) not() Set        { return Set{^s[0], ^s[1], ^s[2], ^s[3]} }
func (s Set) empty() bool     { return s == Set{} }
func (s Set) at(i int32) bool { return s[i/64]>>(i%64)&1 == 1 }
func (s *Set) add(i int32)    { s[i/64] |= 1 << (i % 64) }

// Part is what one rule guarantees, in reqs, cost or worth a second.
type Part struct {
	Rule   string
	Unit   int
	Amount float64
}

// Value is what rules together say of one req. None says nothing.
type Value struct {
	Bound   [bounds]float64 // the tighter of both
	Sure    []Part          // each rule once, sorted; they add up
	Rank    uint64          // order of denial, the root's in the highest byte: the lower goes first
	Allowed Set             // places that all allow
	Frozen  Set             // places where any forbids work
}

// None is what no rule says.
func None() Value {
	v := Value{Rank: tops, Allowed: Set{}.not()}
	for i := range v.Bound {
		v.Bound[i] = math.Inf(1)
	}
	return v
}

// Merge is what both say together. Bounds meet, guarantees add (a rule told twice counts once, at its lower
// amount), ranks meet within each tier of the tree, places intersect, freezes unite. Commutative, associative
// and idempotent; None changes nothing.
func (v Value) Merge(w Value) Value {
	for i, x := range w.Bound {
		v.Bound[i] = min(v.Bound[i], x)
	}
	v.Rank, v.Allowed, v.Frozen = lower(v.Rank, w.Rank), v.Allowed.and(w.Allowed), v.Frozen.or(w.Frozen)
	all := slices.Concat(v.Sure, w.Sure)
	slices.SortFunc(all, func(x, y Part) int {
		return cmp.Or(cmp.Compare(x.Rule, y.Rule), cmp.Compare(x.Unit, y.Unit), cmp.Compare(x.Amount, y.Amount))
	})
	v.Sure = slices.CompactFunc(all, func(x, y Part) bool { return x.Rule == y.Rule && x.Unit == y.Unit })
	return v
}

// lower takes the lower of each byte.
func lower(v, w uint64) uint64 {
	if v == tops || v == w {
		return w
	}
	if w == tops {
		return v
	}
	for i := 0; i < 64; i += 8 {
		if b := uint64(0xff) << i; w&b < v&b {
			v = v&^b | w&b
		}
	}
	return v
}

// Effective is a value as the req path reads it.
type Effective struct {
	Bound   [bounds]float64 // +Inf: none
	Sure    [3]float64      // guaranteed a second, in reqs, cost and worth
	Rank    uint64          // the lower is denied first
	Allowed Set
}

// Flat adds up what is guaranteed.
func (v Value) Flat() Effective {
	e := Effective{Bound: v.Bound, Rank: v.Rank, Allowed: v.Allowed}
	for _, p := range v.Sure {
		e.Sure[p.Unit] += p.Amount
	}
	return e
}

// Meet is what holds where two editions both bind: the tighter of each, guarantees too, so that nobody is
// promised what either lacks.
func (e *Effective) Meet(o *Effective) {
	for i, x := range o.Bound {
		if x < e.Bound[i] {
			e.Bound[i] = x
		}
	}
	for i, x := range o.Sure {
		if x < e.Sure[i] {
			e.Sure[i] = x
		}
	}
	e.Rank, e.Allowed = lower(e.Rank, o.Rank), e.Allowed.and(o.Allowed)
}

// join adds what other rules of the same edition say of the same req.
func (e *Effective) join(o *Effective) {
	for i, x := range o.Bound {
		if x < e.Bound[i] {
			e.Bound[i] = x
		}
	}
	for i, x := range o.Sure {
		e.Sure[i] += x
	}
	e.Rank, e.Allowed = lower(e.Rank, o.Rank), e.Allowed.and(o.Allowed)
}
