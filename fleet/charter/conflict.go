package charter

// This file owns what contradicts in a charter: classes, places, witnesses. Each conflict that there is has
// one, and none has one that is not. It must never settle a conflict by itself.

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Class is a kind of conflict.
type Class uint8

// The classes.
const (
	ClaimedTwice Class = iota
	NotOwned           // named without right or grant, or a child without delegation
	NoName             // a name that is claimed by nobody, or no longer
	Circle             // of parents
	PastGrant          // used past the end of a grant or a delegation: refused once it has ended, warned before
	Never              // a rule that can apply at no moment from now on: warned
	Over               // guarantees above a limit
	Torn               // required and forbidden
	Nowhere            // a rule set left with nowhere to run
	Overlap            // windows that overlap with other values: warned, the lower counts
	FrozenPlan         // a freeze against a running plan
	StaleBase          // the base is not the newest, and both changed the same
	TooMany            // more zones, cells and kinds than a picture holds
)

func (c Class) String() string {
	return [...]string{"claimed twice", "not owned", "no such name", "circle of delegation", "used past its end",
		"can never apply", "guaranteed above the limit", "required and forbidden", "nowhere to run",
		"overlap with other values",
		"freeze against a running plan",
		"base no longer the newest", "too many places"}[c]
}

// Witness is what anyone can check a conflict by.
type Witness struct {
	At      int64 // Unix ns
	Tenant  string
	RuleSet string  // of a req; empty: any
	Name    string  // of a place or whatever else is named twice, not at all or without right
	Amount  float64 // guaranteed, or the value of the second
	Against float64 // the limit, or the value of the first
}

func (w Witness) String() string {
	s := "at " + time.Unix(0, w.At).UTC().Format(time.RFC3339)
	words := []string{" a req of tenant ", " of rule set ", " by the name "}
	for i, name := range []string{w.Tenant, w.RuleSet, w.Name} {
		if name != "" {
			s += words[i] + name
		}
	}
	if w.Amount != w.Against {
		s += fmt.Sprintf(" %g against %g", w.Amount, w.Against)
	}
	return s
}

// Conflict is one contradiction.
type Conflict struct {
	Class   Class
	Refused bool // else it is a warning
	A, B    Position
	Witness Witness
	What    string
}

func (c Conflict) String() string {
	word := "warned"
	if c.Refused {
		word = "refused"
	}
	return fmt.Sprintf("%s: %s: %s, %s: %s; %s", word, c.Class, c.A, c.B, c.What, c.Witness)
}

// Refused are the conflicts for which a charter is not taken.
func (c *Charter) Refused() []Conflict {
	return slices.DeleteFunc(slices.Clone(c.Conflicts), func(x Conflict) bool { return !x.Refused })
}

func (c *Charter) find(class Class, refused bool, a, b Position, w Witness, format string, more ...any) {
	c.Conflicts = append(c.Conflicts, Conflict{class, refused, a, b, w, fmt.Sprintf(format, more...)})
}

// index finds rules by the reqs that they are about.
type index struct {
	any      []*rule
	byTenant map[int32][]*rule // those that name tenants
	bySet    map[int32][]*rule // those that name rule sets alone
}

func newIndex(rules []*rule) *index {
	x := &index{byTenant: map[int32][]*rule{}, bySet: map[int32][]*rule{}}
	for _, r := range rules {
		switch {
		case r.tenants != nil:
			for _, t := range r.tenants {
				x.byTenant[t] = append(x.byTenant[t], r)
			}
		case r.sets != nil:
			for _, s := range r.sets {
				x.bySet[s] = append(x.bySet[s], r)
			}
		default:
			x.any = append(x.any, r)
		}
	}
	return x
}

// meeting calls once with each rule that is about a req of a box.
func (x *index) meeting(b box, f func(*rule)) {
	seen := map[*rule]bool{} // only those that stand under several names
	take := func(all []*rule) {
		for _, r := range all {
			if !r.meets(b) {
				continue
			}
			if len(r.tenants) > 1 || r.tenants == nil && len(r.sets) > 1 {
				if seen[r] {
					continue
				}
				seen[r] = true
			}
			f(r)
		}
	}
	pick := func(m map[int32][]*rule, ids []int32) {
		if ids == nil || len(ids) > len(m) {
			for id, all := range m {
				if has(ids, id) {
					take(all)
				}
			}
			return
		}
		for _, id := range ids {
			take(m[id])
		}
	}
	take(x.any)
	pick(x.byTenant, b.tenants)
	pick(x.bySet, b.sets)
}

// check looks for all contradictions of rules.
func (c *Charter) check(plans []Running) {
	c.by = [kinds][]*rule{}
	for _, r := range c.rules {
		if r.sound {
			c.by[r.kind] = append(c.by[r.kind], r)
			c.ends(r)
		}
	}
	for _, r := range c.by[freezes] {
		c.freeze(r, plans)
	}
	c.over()
	c.placement()
	c.overlap()
}

func (c *Charter) placement() {
	placed := slices.Concat(c.by[only], c.by[never])
	x := newIndex(placed)
	c.torn(x)
	c.nowhere(placed, x)
}

func (c *Charter) freshOf(rules []*rule) []*rule {
	return slices.DeleteFunc(slices.Clone(rules), func(r *rule) bool { return !c.isFresh(r) })
}

// ends looks at one rule's time.
func (c *Charter) ends(r *rule) {
	if r.own == (span{to: forever}) && r.span == r.own {
		return
	}
	if _, ok := first(c.now, r.own); !ok {
		c.find(Never, false, r.At, r.At, Witness{At: c.now}, "rule %s is in force at no moment from now on",
			r.name())
	}
	late := r.own
	late.from = max(late.from, r.span.to)
	if r.span.to == r.own.to {
		return // it ends by itself
	}
	if at, ok := first(c.now, late); ok {
		c.find(PastGrant, r.span.to <= c.now, r.At, r.ender, Witness{At: at}, "rule %s goes on past %s", r.name(),
			time.Unix(0, r.span.to).UTC().Format(time.RFC3339))
	}
}

func (c *Charter) freeze(r *rule, plans []Running) {
	for _, p := range plans {
		end := p.Until
		if end == 0 {
			end = forever
		}
		at, ok := first(c.now, r.span, span{to: end})
		if !ok {
			continue
		}
		lists := p.lists()
		for d := Zone; d < Hours; d++ {
			for _, name := range lists[d] {
				s := Set{}
				if id, known := c.names[d][name]; known {
					s.add(c.bit(d, id))
				}
				if ok && (r.set.Has(s) && !s.empty() || r.set == Set{}.not()) {
					ok = false
					c.find(FrozenPlan, true, r.At, Position{"plan " + p.Plan, 0}, Witness{At: at, Name: name},
						"rule %s forbids work at %s %s, plan %s runs there", r.name(), d, name, p.Plan)
				}
			}
		}
	}
}

// over looks for limits below what is guaranteed within them.
func (c *Charter) over() {
	sure, fresh := newIndex(c.by[guarantees]), c.freshOf(c.by[guarantees])
	var within []*rule
	var spans []span
	for _, l := range c.by[limits] {
		touched := func(g *rule) bool { return g.unit == l.unit && g.within(l.box) }
		if l.bound != Limit(l.unit, 0) || l.places() || !c.isFresh(l) && !slices.ContainsFunc(fresh, touched) {
			continue
		}
		within, spans = within[:0], append(spans[:0], l.span)
		total := 0.0
		sure.meeting(l.box, func(g *rule) {
			if g.unit == l.unit && g.within(l.box) {
				within, spans, total = append(within, g), append(spans, g.span), total+g.Number
			}
		})
		if total <= l.Number {
			continue
		}
		slices.SortFunc(within, byPlace)
		c.overAt(l, within, spans)
	}
}

func byPlace(x, y *rule) int {
	return cmp.Or(cmp.Compare(x.At.File, y.At.File), cmp.Compare(x.At.Line, y.At.Line))
}

// overAt looks for the first moment at which guarantees are above a limit. Those with the same span are added
// up before.
func (c *Charter) overAt(l *rule, within []*rule, spans []span) {
	sums := map[span]float64{}
	for _, g := range within {
		sums[g.span] += g.Number
	}
	for _, at := range moments(c.now, spans) {
		if !l.span.open(at) {
			continue
		}
		total := 0.0
		for s, x := range sums {
			if s.open(at) {
				total += x
			}
		}
		if total <= l.Number {
			continue
		}
		var open []*rule
		var where []string
		total = 0
		for _, g := range within {
			if g.span.open(at) {
				total += g.Number
				open, where = append(open, g), append(where, g.At.String())
			}
		}
		if more := len(where) - 8; more > 0 {
			where = append(where[:8], fmt.Sprintf("and %d more", more))
		}
		t, s := c.req(open[0].box)
		c.find(Over, true, l.At, open[0].At, Witness{at, t, s, "", total, l.Number}, "limit %s, guarantees of %s",
			l.name(), strings.Join(where, ", "))
		return
	}
}

// req is a req of a box.
func (c *Charter) req(b box) (tenant, set string) {
	if len(b.tenants) > 0 {
		tenant = c.words[Tenant][b.tenants[0]]
	}
	if len(b.sets) > 0 {
		set = c.words[RuleSet][b.sets[0]]
	}
	return tenant, set
}

// common are the reqs of two boxes that meet.
func common(a, b box) box {
	both := func(x, y []int32) []int32 {
		if x == nil {
			return y
		}
		return slices.DeleteFunc(slices.Clone(x), func(i int32) bool { return !has(y, i) })
	}
	return box{both(a.tenants, b.tenants), both(a.sets, b.sets)}
}

// torn looks for places that one rule requires and another forbids.
func (c *Charter) torn(placed *index) {
	for _, q := range c.by[require] {
		placed.meeting(q.box, func(f *rule) {
			if f.set.Has(q.set) || !c.isFresh(f) && !c.isFresh(q) {
				return
			}
			if at, ok := first(c.now, q.span, f.span); ok {
				t, s := c.req(common(q.box, f.box))
				c.find(Torn, true, q.At, f.At, Witness{At: at, Tenant: t, RuleSet: s,
					Name: c.placeOf(q.set.and(f.set.not()))}, "%s requires what %s forbids", q.name(), f.name())
			}
		})
	}
}

// placeOf names the first place of a set.
func (c *Charter) placeOf(s Set) string {
	for d := Zone; d < Hours; d++ {
		for i, name := range c.words[d] {
			one := Set{}
			if one.add(c.bit(d, int32(i))); s.Has(one) {
				return name
			}
		}
	}
	return ""
}

// bare says whether nothing is left of some kind of place.
func (c *Charter) bare(s Set) bool {
	for d := Zone; d < Hours; d++ {
		if !c.mask[d].empty() && s.and(c.mask[d]).empty() {
			return true
		}
	}
	return false
}

// nowhere looks for rule sets that some tenant's reqs may run nowhere of, at some moment. Whoever is no
// tenant is looked at as well: -1.
func (c *Charter) nowhere(placed []*rule, all *index) {
	fresh := c.freshOf(placed)
	if len(fresh) == 0 {
		return
	}
	meet := func(rules []*rule) Set {
		s := Set{}.not()
		for _, r := range rules {
			s = s.and(r.set)
		}
		return s
	}
	anywhere := meet(all.any)
	tenants := []int32{-1}
	for t := range all.byTenant {
		tenants = append(tenants, t)
	}
	slices.Sort(tenants)
	byTenant := make([]Set, len(tenants))
	for i, t := range tenants {
		byTenant[i] = meet(all.byTenant[t])
	}
	var bare []int // of those tenants that have nothing left even without any rule set's own
	every := make([]int, len(tenants))
	for i := range tenants {
		if every[i] = i; c.bare(anywhere.and(byTenant[i])) {
			bare = append(bare, i)
		}
	}
	for id := range c.words[RuleSet] {
		set, look := int32(id), bare
		here := anywhere
		if all.bySet[set] != nil {
			look, here = every, here.and(meet(all.bySet[set]))
		}
		for _, i := range look {
			t := tenants[i]
			if !c.bare(here.and(byTenant[i])) || // not even if all were in force at once
				!slices.ContainsFunc(fresh, func(r *rule) bool { return r.of(t, set) }) {
				continue
			}
			var hit []*rule
			for _, r := range slices.Concat(all.any, all.byTenant[t], all.bySet[set]) {
				if r.of(t, set) {
					hit = append(hit, r)
				}
			}
			if at, ok := c.bareAt(hit); ok {
				hit = slices.DeleteFunc(hit, func(r *rule) bool { return !r.span.open(at) })
				slices.SortFunc(hit, byPlace)
				name, where := "", []string{}
				if t >= 0 {
					name = c.words[Tenant][t]
				}
				for _, r := range hit {
					where = append(where, r.name())
				}
				c.find(Nowhere, true, hit[0].At, hit[len(hit)-1].At, Witness{At: at, Tenant: name,
					RuleSet: c.words[RuleSet][id]}, "nothing is left by %s", strings.Join(where, ", "))
				break
			}
		}
	}
}

func (c *Charter) bareAt(rules []*rule) (int64, bool) {
	var spans []span
	for _, r := range rules {
		spans = append(spans, r.span)
	}
	for _, at := range moments(c.now, spans) {
		s := Set{}.not()
		for _, r := range rules {
			if r.span.open(at) {
				s = s.and(r.set)
			}
		}
		if c.bare(s) {
			return at, true
		}
	}
	return 0, false
}

// overlap looks for windows of one bound that are open at once and say different things: of one namespace, or
// of any two where it is what a req is worth.
func (c *Charter) overlap() {
	var values []*rule
	timed := func(r *rule) bool { return r.sound && r.span.window != nil && (r.bound >= 0 || r.Kind == "deny") }
	pair := func(a, b *rule) {
		if a.Kind != b.Kind || a.bound != b.bound || a.Number == b.Number || byPlace(a, b) >= 0 ||
			a.span.window == b.span.window || !samePlaces(a, b) || !a.meets(b.box) {
			return
		}
		if at, ok := first(c.now, a.span, b.span); ok {
			t, s := c.req(common(a.box, b.box))
			c.find(Overlap, false, a.At, b.At, Witness{at, t, s, "", b.Number, a.Number},
				"%s and %s: the lower counts", a.name(), b.name())
		}
	}
	for i := 0; i < len(c.rules); { // those of a namespace stand together
		n, until, some := c.rules[i].node, i, false
		for ; until < len(c.rules) && c.rules[until].node == n; until++ {
			r := c.rules[until]
			if some = some || c.isFresh(r); r.Kind == "value" && timed(r) {
				values = append(values, r)
			}
		}
		for j, a := range c.rules[i:until] {
			if !some || !timed(a) || a.Kind == "value" {
				continue
			}
			for _, b := range c.rules[i+j+1 : until] {
				if timed(b) {
					pair(a, b)
				}
			}
		}
		i = until
	}
	x := newIndex(values)
	for _, a := range c.freshOf(values) {
		x.meeting(a.box, func(b *rule) {
			if byPlace(a, b) < 0 {
				pair(a, b)
			} else if !c.isFresh(b) {
				pair(b, a)
			}
		})
	}
}

// samePlaces says whether two limits share a place, or neither is of places.
func samePlaces(a, b *rule) bool {
	if !a.places() || !b.places() {
		return a.places() == b.places()
	}
	return !a.set.and(b.set).empty()
}
