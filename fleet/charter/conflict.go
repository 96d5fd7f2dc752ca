package charter

// This file finds the conflicts of a charter, with their classes, positions and witnesses. Every conflict is found, and
// none is reported that does not exist. It never resolves a conflict by itself.

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Class is a class of conflicts.
type Class uint8

// The classes of conflicts.
const (
	ClaimedTwice      Class = iota
	NotOwned                // a name used without right or grant, or a child without delegation
	UnknownName             // a name that nobody claims, or no longer
	DelegationCycle         // a cycle of parents
	UsedPastEnd             // a name used past the end of a grant or delegation; a warning until then
	NeverApplies            // a rule that can never apply from now on; a warning
	OverLimit               // guarantees that add up to more than a limit
	RequiredForbidden       // a place that one rule requires and another forbids
	NowhereToRun            // a rule set that may run nowhere
	Overlap                 // overlapping windows with different values; a warning, as the lower counts
	FrozenPlan              // a freeze at places where a plan is running
	StaleBase               // a proposal whose base is not the newest edition, where both changed the same item
	TooManyPlaces           // more zones, cells and kinds than a snapshot can hold
)

func (c Class) String() string {
	return [...]string{"claimed twice", "not owned", "no such name", "circle of delegation", "used past its end",
		"can never apply", "guaranteed above the limit", "required and forbidden", "nowhere to run",
		"overlap with other values",
		"freeze against a running plan",
		"base no longer the newest", "too many places"}[c]
}

// Witness is an example by which a conflict can be verified.
type Witness struct {
	At      int64 // Unix ns
	Tenant  string
	RuleSet string  // of a request; empty: any
	Name    string  // of a place, or of whatever is claimed twice, unknown or used without right
	Amount  float64 // the amount guaranteed, or the value of the second rule
	Against float64 // the limit, or the value of the first rule
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

// Conflict is a contradiction between two positions of the files.
type Conflict struct {
	Class   Class
	Refused bool // the charter is refused; false: a warning
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

// Refused returns the conflicts for which a charter is refused.
func (c *Charter) Refused() []Conflict {
	return slices.DeleteFunc(slices.Clone(c.Conflicts), func(x Conflict) bool { return !x.Refused })
}

func (c *Charter) addConflict(class Class, refused bool, a, b Position, w Witness, format string, more ...any) {
	c.Conflicts = append(c.Conflicts, Conflict{class, refused, a, b, w, fmt.Sprintf(format, more...)})
}

// ruleIndex finds rules by the requests that they apply to.
type ruleIndex struct {
	any      []*rule
	byTenant map[int32][]*rule // rules that name tenants
	bySet    map[int32][]*rule // rules that name rule sets only
}

func newRuleIndex(rules []*rule) *ruleIndex {
	x := &ruleIndex{byTenant: map[int32][]*rule{}, bySet: map[int32][]*rule{}}
	for _, r := range rules {
		switch {
		case r.tenants != nil:
			for _, t := range r.tenants {
				x.byTenant[t] = append(x.byTenant[t], r)
			}
		case r.ruleSets != nil:
			for _, s := range r.ruleSets {
				x.bySet[s] = append(x.bySet[s], r)
			}
		default:
			x.any = append(x.any, r)
		}
	}
	return x
}

// eachIntersecting calls f once with each rule that applies to a request of the scope.
func (x *ruleIndex) eachIntersecting(b reqScope, f func(*rule)) {
	seen := map[*rule]bool{} // only rules that are indexed under several names
	visit := func(all []*rule) {
		for _, r := range all {
			if !r.intersects(b) {
				continue
			}
			if len(r.tenants) > 1 || r.tenants == nil && len(r.ruleSets) > 1 {
				if seen[r] {
					continue
				}
				seen[r] = true
			}
			f(r)
		}
	}
	visitListed := func(m map[int32][]*rule, ids []int32) {
		if ids == nil || len(ids) > len(m) {
			for id, all := range m {
				if listHas(ids, id) {
					visit(all)
				}
			}
			return
		}
		for _, id := range ids {
			visit(m[id])
		}
	}
	visit(x.any)
	visitListed(x.byTenant, b.tenants)
	visitListed(x.bySet, b.ruleSets)
}

// checkRules finds all conflicts of rules.
func (c *Charter) checkRules(plans []RunningPlan) {
	c.byKind = [ruleKindCount][]*rule{}
	for _, r := range c.rules {
		if r.valid {
			c.byKind[r.kind] = append(c.byKind[r.kind], r)
			c.checkTimes(r)
		}
	}
	for _, r := range c.byKind[freezeKind] {
		c.checkFreeze(r, plans)
	}
	c.checkGuarantees()
	c.checkPlacement()
	c.checkOverlaps()
}

// checkPlacement finds conflicts between placement rules.
func (c *Charter) checkPlacement() {
	placed := slices.Concat(c.byKind[onlyKind], c.byKind[neverKind])
	x := newRuleIndex(placed)
	c.checkRequired(x)
	c.checkNowhereToRun(placed, x)
}

// toRecheck returns the rules that have to be checked for conflicts.
func (c *Charter) toRecheck(rules []*rule) []*rule {
	return slices.DeleteFunc(slices.Clone(rules), func(r *rule) bool { return !c.needsCheck(r) })
}

// checkTimes finds out whether a rule can never apply, or goes on after the rights that it is based on have ended.
func (c *Charter) checkTimes(r *rule) {
	if r.ownSpan == (span{to: forever}) && r.span == r.ownSpan {
		return
	}
	if _, ok := firstOpen(c.now, r.ownSpan); !ok {
		c.addConflict(NeverApplies, false, r.At, r.At, Witness{At: c.now}, "rule %s is in force at no moment from now on",
			r.name())
	}
	afterEnd := r.ownSpan
	afterEnd.from = max(afterEnd.from, r.span.to)
	if r.span.to == r.ownSpan.to {
		return // the rule ends no later than its rights
	}
	if at, ok := firstOpen(c.now, afterEnd); ok {
		c.addConflict(UsedPastEnd, r.span.to <= c.now, r.At, r.endPosition, Witness{At: at},
			"rule %s goes on past %s", r.name(),
			time.Unix(0, r.span.to).UTC().Format(time.RFC3339))
	}
}

// checkFreeze finds running plans at the places of a freeze.
func (c *Charter) checkFreeze(r *rule, plans []RunningPlan) {
	for _, p := range plans {
		end := p.Until
		if end == 0 {
			end = forever
		}
		at, ok := firstOpen(c.now, r.span, span{to: end})
		if !ok {
			continue
		}
		lists := p.byDimension()
		for d := Zone; d < WindowName; d++ {
			for _, name := range lists[d] {
				s := PlaceSet{}
				if id, known := c.ids[d][name]; known {
					s.add(c.placeBit(d, id))
				}
				if ok && (r.placeSet.Contains(s) && !s.isEmpty() || r.placeSet == PlaceSet{}.complement()) {
					ok = false
					c.addConflict(FrozenPlan, true, r.At, Position{"plan " + p.Plan, 0}, Witness{At: at, Name: name},
						"rule %s forbids work at %s %s, plan %s runs there", r.name(), d, name, p.Plan)
				}
			}
		}
	}
}

// checkGuarantees finds limits below the sum of the guarantees within them.
func (c *Charter) checkGuarantees() {
	guaranteeIndex, changed := newRuleIndex(c.byKind[guaranteeKind]), c.toRecheck(c.byKind[guaranteeKind])
	var within []*rule
	var spans []span
	for _, limit := range c.byKind[limitKind] {
		touched := func(g *rule) bool { return g.unit == limit.unit && g.within(limit.reqScope) }
		if limit.slot != LimitSlot(limit.unit, 0) || limit.namesPlaces() ||
			!c.needsCheck(limit) && !slices.ContainsFunc(changed, touched) {
			continue
		}
		within, spans = within[:0], append(spans[:0], limit.span)
		total := 0.0
		guaranteeIndex.eachIntersecting(limit.reqScope, func(g *rule) {
			if g.unit == limit.unit && g.within(limit.reqScope) {
				within, spans, total = append(within, g), append(spans, g.span), total+g.Number
			}
		})
		if total <= limit.Number {
			continue
		}
		slices.SortFunc(within, byPosition)
		c.checkGuaranteesAt(limit, within, spans)
	}
}

func byPosition(x, y *rule) int {
	return cmp.Or(cmp.Compare(x.At.File, y.At.File), cmp.Compare(x.At.Line, y.At.Line))
}

// checkGuaranteesAt finds the first time at which guarantees exceed a limit. Guarantees with the same span are added up
// beforehand.
func (c *Charter) checkGuaranteesAt(limit *rule, within []*rule, spans []span) {
	sums := map[span]float64{}
	for _, g := range within {
		sums[g.span] += g.Number
	}
	for _, at := range candidateTimes(c.now, spans) {
		if !limit.span.open(at) {
			continue
		}
		total := 0.0
		for s, x := range sums {
			if s.open(at) {
				total += x
			}
		}
		if total <= limit.Number {
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
		t, s := c.sampleReq(open[0].reqScope)
		c.addConflict(OverLimit, true, limit.At, open[0].At, Witness{at, t, s, "", total, limit.Number},
			"limit %s, guarantees of %s",
			limit.name(), strings.Join(where, ", "))
		return
	}
}

// sampleReq returns a request of a scope; empty names: any.
func (c *Charter) sampleReq(b reqScope) (tenant, set string) {
	if len(b.tenants) > 0 {
		tenant = c.names[Tenant][b.tenants[0]]
	}
	if len(b.ruleSets) > 0 {
		set = c.names[RuleSet][b.ruleSets[0]]
	}
	return tenant, set
}

// intersection returns the intersection of two scopes that intersect.
func intersection(a, b reqScope) reqScope {
	both := func(x, y []int32) []int32 {
		if x == nil {
			return y
		}
		return slices.DeleteFunc(slices.Clone(x), func(i int32) bool { return !listHas(y, i) })
	}
	return reqScope{both(a.tenants, b.tenants), both(a.ruleSets, b.ruleSets)}
}

// checkRequired finds places that one rule requires and another forbids.
func (c *Charter) checkRequired(placed *ruleIndex) {
	for _, q := range c.byKind[requireKind] {
		placed.eachIntersecting(q.reqScope, func(f *rule) {
			if f.placeSet.Contains(q.placeSet) || !c.needsCheck(f) && !c.needsCheck(q) {
				return
			}
			if at, ok := firstOpen(c.now, q.span, f.span); ok {
				t, s := c.sampleReq(intersection(q.reqScope, f.reqScope))
				c.addConflict(RequiredForbidden, true, q.At, f.At, Witness{At: at, Tenant: t, RuleSet: s,
					Name: c.firstPlaceName(q.placeSet.intersect(f.placeSet.complement()))},
					"%s requires what %s forbids", q.name(), f.name())
			}
		})
	}
}

// firstPlaceName returns the name of the first claimed place of a set.
func (c *Charter) firstPlaceName(s PlaceSet) string {
	for d := Zone; d < WindowName; d++ {
		for i, name := range c.names[d] {
			one := PlaceSet{}
			if one.add(c.placeBit(d, int32(i))); s.Contains(one) {
				return name
			}
		}
	}
	return ""
}

// lacksPlaces reports whether a set contains no claimed place of some dimension.
func (c *Charter) lacksPlaces(s PlaceSet) bool {
	for d := Zone; d < WindowName; d++ {
		if !c.allPlaces[d].isEmpty() && s.intersect(c.allPlaces[d]).isEmpty() {
			return true
		}
	}
	return false
}

// checkNowhereToRun finds rule sets whose requests may run nowhere, for some tenant at some time. Requests without a
// known tenant are checked as well, as tenant -1.
func (c *Charter) checkNowhereToRun(placed []*rule, all *ruleIndex) {
	changed := c.toRecheck(placed)
	if len(changed) == 0 {
		return
	}
	allowedByAll := func(rules []*rule) PlaceSet {
		s := PlaceSet{}.complement()
		for _, r := range rules {
			s = s.intersect(r.placeSet)
		}
		return s
	}
	anywhere := allowedByAll(all.any)
	tenants := []int32{-1}
	for t := range all.byTenant {
		tenants = append(tenants, t)
	}
	slices.Sort(tenants)
	byTenant := make([]PlaceSet, len(tenants))
	for i, t := range tenants {
		byTenant[i] = allowedByAll(all.byTenant[t])
	}
	var lackingTenants []int // indices of tenants that lack places even without rules of a rule set
	allTenants := make([]int, len(tenants))
	for i := range tenants {
		if allTenants[i] = i; c.lacksPlaces(anywhere.intersect(byTenant[i])) {
			lackingTenants = append(lackingTenants, i)
		}
	}
	for id := range c.names[RuleSet] {
		set, candidates := int32(id), lackingTenants
		setPlaces := anywhere
		if all.bySet[set] != nil {
			candidates, setPlaces = allTenants, setPlaces.intersect(allowedByAll(all.bySet[set]))
		}
		for _, i := range candidates {
			t := tenants[i]
			if !c.lacksPlaces(setPlaces.intersect(byTenant[i])) || // places are left even if all rules were in force at once
				!slices.ContainsFunc(changed, func(r *rule) bool { return r.includes(t, set) }) {
				continue
			}
			var applicable []*rule
			for _, r := range slices.Concat(all.any, all.byTenant[t], all.bySet[set]) {
				if r.includes(t, set) {
					applicable = append(applicable, r)
				}
			}
			if at, ok := c.firstTimeLackingPlaces(applicable); ok {
				applicable = slices.DeleteFunc(applicable, func(r *rule) bool { return !r.span.open(at) })
				slices.SortFunc(applicable, byPosition)
				name, where := "", []string{}
				if t >= 0 {
					name = c.names[Tenant][t]
				}
				for _, r := range applicable {
					where = append(where, r.name())
				}
				c.addConflict(NowhereToRun, true, applicable[0].At, applicable[len(applicable)-1].At, Witness{At: at, Tenant: name,
					RuleSet: c.names[RuleSet][id]}, "nothing is left by %s", strings.Join(where, ", "))
				break
			}
		}
	}
}

// firstTimeLackingPlaces returns the first time at which the rules together leave no place of some dimension.
func (c *Charter) firstTimeLackingPlaces(rules []*rule) (int64, bool) {
	var spans []span
	for _, r := range rules {
		spans = append(spans, r.span)
	}
	for _, at := range candidateTimes(c.now, spans) {
		s := PlaceSet{}.complement()
		for _, r := range rules {
			if r.span.open(at) {
				s = s.intersect(r.placeSet)
			}
		}
		if c.lacksPlaces(s) {
			return at, true
		}
	}
	return 0, false
}

// checkOverlaps finds rules of the same bound with different values whose windows are open at the same time: rules of
// one namespace, or of any two namespaces for rules on the value of a request.
func (c *Charter) checkOverlaps() {
	var values []*rule
	timed := func(r *rule) bool { return r.valid && r.span.window != nil && (r.slot >= 0 || r.Kind == "deny") }
	pair := func(a, b *rule) {
		if a.Kind != b.Kind || a.slot != b.slot || a.Number == b.Number || byPosition(a, b) >= 0 ||
			a.span.window == b.span.window || !sharePlaces(a, b) || !a.intersects(b.reqScope) {
			return
		}
		if at, ok := firstOpen(c.now, a.span, b.span); ok {
			t, s := c.sampleReq(intersection(a.reqScope, b.reqScope))
			c.addConflict(Overlap, false, a.At, b.At, Witness{at, t, s, "", b.Number, a.Number},
				"%s and %s: the lower counts", a.name(), b.name())
		}
	}
	for i := 0; i < len(c.rules); { // the rules of a namespace are adjacent
		n, until, some := c.rules[i].node, i, false
		for ; until < len(c.rules) && c.rules[until].node == n; until++ {
			r := c.rules[until]
			if some = some || c.needsCheck(r); r.Kind == "value" && timed(r) {
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
	x := newRuleIndex(values)
	for _, a := range c.toRecheck(values) {
		x.eachIntersecting(a.reqScope, func(b *rule) {
			if byPosition(a, b) < 0 {
				pair(a, b)
			} else if !c.needsCheck(b) {
				pair(b, a)
			}
		})
	}
}

// sharePlaces reports whether two limits share a place, or neither names places.
func sharePlaces(a, b *rule) bool {
	if !a.namesPlaces() || !b.namesPlaces() {
		return a.namesPlaces() == b.namesPlaces()
	}
	return !a.placeSet.intersect(b.placeSet).isEmpty()
}
