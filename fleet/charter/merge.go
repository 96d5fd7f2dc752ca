package charter

// This file merges the files of all teams into one charter: the tree of namespaces, the names that each namespace
// holds, and which rules apply to which requests. Its tables live as long as their charter. The result does not
// depend on the order of the files.

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"time"
)

// RunningPlan is a maintenance plan by which servers are or will be out of service, with every zone, cell and kind that
// its servers belong to. Freezes are checked against it.
type RunningPlan struct {
	Plan string
	Names
	Until int64 // Unix ns; 0: no end
}

// node is a namespace in the tree.
type node struct {
	*File
	parent      *node
	depth       int
	attached    bool                    // it is connected to the root by delegations
	end         int64                   // when the first of the delegations above ends, in Unix ns
	endPosition Position                // of the delegation that ends first
	held        [dimensionCount][]int32 // numbers of the names that it holds, sorted; nil: all
	claimsSome  [dimensionCount]bool    // it claims some names itself
}

// isAncestorOf reports whether n is m or an ancestor of m. It is only called for attached nodes, which are in no cycle.
func (n *node) isAncestorOf(m *node) bool {
	for ; m != nil && m != n; m = m.parent {
	}
	return m == n
}

// reqScope is the set of requests that a rule applies to, by the sorted numbers of tenants and rule sets; nil: all.
type reqScope struct{ tenants, ruleSets []int32 }

// listsIntersect reports whether two sorted lists have a number in common; nil stands for all numbers.
func listsIntersect(a, b []int32) bool {
	if a == nil || b == nil {
		return true
	}
	for i, j := 0, 0; i < len(a) && j < len(b); {
		switch {
		case a[i] == b[j]:
			return true
		case a[i] < b[j]:
			i++
		default:
			j++
		}
	}
	return false
}

// listWithin reports whether all numbers of a are in b; nil stands for all numbers.
func listWithin(a, b []int32) bool {
	if b == nil {
		return true
	}
	return a != nil && !slices.ContainsFunc(a, func(x int32) bool { return !listHas(b, x) })
}

// listHas reports whether x is in a sorted list; nil stands for all numbers.
func listHas(all []int32, x int32) bool {
	_, ok := slices.BinarySearch(all, x)
	return all == nil || ok
}

func (b reqScope) intersects(c reqScope) bool {
	return listsIntersect(b.tenants, c.tenants) && listsIntersect(b.ruleSets, c.ruleSets)
}
func (b reqScope) within(c reqScope) bool {
	return listWithin(b.tenants, c.tenants) && listWithin(b.ruleSets, c.ruleSets)
}
func (b reqScope) includes(tenant, set int32) bool {
	return listHas(b.tenants, tenant) && listHas(b.ruleSets, set)
}

// rule is a rule with its names resolved. It never changes, as successive charters share it.
type rule struct {
	*Rule
	reqScope
	node        *node
	ownSpan     span     // the rule's own times
	span        span     // ownSpan, cut where the rights that the rule is based on end
	placeSet    PlaceSet // places that the rule names; of only and never, the allowed ones
	valid       bool
	endPosition Position // of the delegation or grant that ends span
	slot        int      // of Value.Bound that the rule sets; -1: none
	kind        int      // index in ruleKinds
	unit        int      // index in units
}

// Charter is one edition of the charter: all files together.
type Charter struct {
	Conflicts   []Conflict // sorted
	now         int64
	nodes       []*node // sorted by namespace
	byNamespace map[string]*node
	ids         [dimensionCount]map[string]int32
	names       [dimensionCount][]string  // names by their numbers
	claimants   [dimensionCount][][]*node // by dimension and number: the namespaces that claim the name
	windows     map[string]*Window
	windowOwner map[string]*node       // the namespace that defines each window
	rules       []*rule                // in the order of namespaces
	byKind      [ruleKindCount][]*rule // the valid rules, by their index in ruleKinds
	grantsTo    map[grantKey][]basis
	allPlaces   [dimensionCount]PlaceSet // all claimed places of a dimension
	recheck     map[*rule]bool           // rules that may be in conflicts that the charter before did not have; nil: all
}

// needsCheck reports whether a rule has to be checked for conflicts.
func (c *Charter) needsCheck(r *rule) bool { return c.recheck == nil || c.recheck[r] }

type grantKey struct {
	to   *node
	dim  Dimension
	name string
}

// basis is the delegation or grant that a right is based on, and when it ends.
type basis struct {
	end int64
	at  Position
}

// unixOr returns a time in Unix ns, or other for the zero time.
func unixOr(t time.Time, other int64) int64 {
	if t.IsZero() {
		return other
	}
	return t.UnixNano()
}

// endTime returns when a right ends that has an end and may be revoked, in Unix ns.
func endTime(until, revoked time.Time) int64 {
	return min(unixOr(until, forever), unixOr(revoked, forever))
}

// Merge merges files into a charter and finds its conflicts from now on, in Unix ns, also those with running plans. The
// caller must not pass two files of one namespace; if it does, the first by file name is used.
func Merge(files []*File, now int64, plans []RunningPlan) *Charter {
	c := &Charter{now: now, byNamespace: map[string]*node{},
		windows: map[string]*Window{}, windowOwner: map[string]*node{}, grantsTo: map[grantKey][]basis{}}
	files = slices.Clone(files)
	slices.SortFunc(files, func(x, y *File) int {
		return cmp.Or(cmp.Compare(x.Namespace, y.Namespace), cmp.Compare(x.At.File, y.At.File))
	})
	files = slices.CompactFunc(files, func(x, y *File) bool { return x.Namespace == y.Namespace })
	for _, f := range files {
		n := &node{File: f, end: forever}
		c.nodes = append(c.nodes, n)
		c.byNamespace[f.Namespace] = n
	}
	c.buildTree()
	c.numberNames()
	c.assignHeld()
	c.collectGrants()
	for _, n := range c.nodes {
		for i := range n.Rules {
			if n.attached {
				c.rules = append(c.rules, c.resolve(n, &n.Rules[i]))
			}
		}
	}
	c.checkRules(plans)
	c.sortConflicts()
	return c
}

// Change returns the same charter as Merge, but reuses what c has already worked out if c has no refused conflicts,
// is not later than now, and the files differ in their rules only. Unchanged rules then need no check against each
// other, as they have no conflicts that they did not have before.
func (c *Charter) Change(files []*File, now int64, plans []RunningPlan) *Charter {
	changed := map[string]*File{}
	for _, f := range files {
		n := c.byNamespace[f.Namespace]
		if n == nil || !sameExceptRules(n.File, f) {
			return Merge(files, now, plans)
		}
		if n.File != f {
			changed[f.Namespace] = f
		}
	}
	if len(files) != len(c.nodes) || len(c.Refused()) > 0 || now < c.now {
		return Merge(files, now, plans)
	}
	next := *c
	next.Conflicts, next.now, next.recheck = nil, now, map[*rule]bool{}
	next.nodes, next.byNamespace = slices.Clone(c.nodes), maps.Clone(c.byNamespace)
	next.rules = make([]*rule, 0, len(c.rules))
	warned := map[Position]bool{}
	for _, x := range c.Conflicts {
		warned[x.A], warned[x.B] = true, true
	}
	at := 0
	for i, n := range c.nodes {
		until := at
		for until < len(c.rules) && c.rules[until].node == n {
			until++
		}
		old := c.rules[at:until]
		at = until
		f := changed[n.Namespace]
		if f == nil {
			next.rules = append(next.rules, old...)
			for _, r := range old {
				if len(warned) > 0 && warned[r.At] {
					next.recheck[r] = true
				}
			}
			continue
		}
		for j := range f.Rules {
			// The old node is kept, as all but the rules is the same and other rules refer to it.
			x := next.resolve(n, &f.Rules[j])
			next.recheck[x] = true
			next.rules = append(next.rules, x)
		}
		m := *n
		m.File = f
		next.nodes[i], next.byNamespace[n.Namespace] = &m, &m
	}
	next.checkRules(plans)
	next.sortConflicts()
	return &next
}

// sameExceptRules reports whether two files are equal except for their rules, positions included.
func sameExceptRules(x, y *File) bool {
	if x == y {
		return true
	}
	a, b := *x, *y
	a.Rules, b.Rules = nil, nil
	return reflect.DeepEqual(a, b)
}

func (c *Charter) sortConflicts() {
	slices.SortFunc(c.Conflicts, func(x, y Conflict) int {
		return cmp.Or(cmp.Compare(x.Class, y.Class), cmp.Compare(x.A.File, y.A.File),
			cmp.Compare(x.A.Line, y.A.Line),
			cmp.Compare(x.B.File, y.B.File), cmp.Compare(x.B.Line, y.B.Line), cmp.Compare(x.What, y.What))
	})
}

// buildTree finds parents, cycles and delegations.
func (c *Charter) buildTree() {
	var root *node
	for _, n := range c.nodes {
		n.parent = c.byNamespace[n.Parent]
		switch {
		case n.Parent == "" && root == nil:
			root = n
		case n.Parent == "":
			c.addConflict(ClaimedTwice, true, root.At, n.At, Witness{At: c.now}, "the root: %s and %s", root.Namespace,
				n.Namespace)
		case n.parent == nil:
			c.addConflict(UnknownName, true, n.At, n.At, Witness{At: c.now}, "namespace %s", n.Parent)
		}
	}
	for _, n := range c.nodes {
		m := n.parent
		for ; m != nil && m != n && n.depth <= len(c.nodes); m = m.parent {
			n.depth++
		}
		if m == n { // reported once, for the first namespace of the cycle by name
			firstByName, chain := n, n.Namespace
			for x := n.parent; x != n; x = x.parent {
				chain += " under " + x.Namespace
				if x.Namespace < firstByName.Namespace {
					firstByName = x
				}
			}
			if firstByName == n {
				c.addConflict(DelegationCycle, true, n.At, n.parent.At, Witness{At: c.now},
					"%s under %s", chain, n.Namespace)
			}
		}
		n.attached = m == nil
	}
	byDepth := slices.Clone(c.nodes)
	slices.SortStableFunc(byDepth, func(x, y *node) int { return cmp.Compare(x.depth, y.depth) })
	for _, n := range byDepth {
		switch {
		case !n.attached:
		case n.parent == nil:
			n.attached = n == root
		default:
			i := slices.IndexFunc(n.parent.Delegates, func(d Delegate) bool { return d.To == n.Namespace })
			if i < 0 {
				c.addConflict(NotOwned, true, n.At, n.parent.At, Witness{At: c.now},
					"%s is not delegated to", n.Namespace)
			}
			if n.attached = i >= 0 && n.parent.attached; n.attached {
				n.end, n.endPosition = n.parent.end, n.parent.endPosition
				if d := n.parent.Delegates[i]; endTime(d.Until, d.Revoked) < n.end {
					n.end, n.endPosition = endTime(d.Until, d.Revoked), d.At
				}
			}
		}
		for _, d := range n.Delegates {
			if c.byNamespace[d.To] == nil {
				c.addConflict(UnknownName, true, d.At, d.At, Witness{At: c.now}, "namespace %s", d.To)
			}
		}
	}
}

// numberNames gives each claimed name a number, in the order of names.
func (c *Charter) numberNames() {
	count := 0
	for d := range WindowName {
		names := map[string][]*node{}
		for _, n := range c.nodes {
			for _, x := range n.Claims {
				if x.Dimension == d && n.attached {
					names[x.Name] = append(names[x.Name], n)
				}
			}
		}
		c.names[d], c.ids[d] = slices.Sorted(maps.Keys(names)), make(map[string]int32, len(names))
		for i, name := range c.names[d] {
			c.ids[d][name] = int32(i)
			c.claimants[d] = append(c.claimants[d], names[name])
		}
		if d >= Zone {
			for id := range c.names[d] {
				c.allPlaces[d].add(c.placeBit(d, int32(id)))
			}
			count += len(c.names[d]) + 1
		}
	}
	if count > maxPlaces {
		c.addConflict(TooManyPlaces, true, c.nodes[0].At, c.nodes[0].At, Witness{At: c.now},
			"%d zones, cells and kinds, %d at the most",
			count-3, maxPlaces-3)
	}
	for _, n := range c.nodes {
		for i := range n.Windows {
			w := &n.Windows[i]
			switch had := c.windowOwner[w.Name]; {
			case !n.attached:
			case had != nil:
				c.addConflict(ClaimedTwice, true, c.windows[w.Name].At, w.At, Witness{At: c.now, Name: w.Name},
					"window %s: %s and %s", w.Name, had.Namespace, n.Namespace)
			default:
				c.windows[w.Name], c.windowOwner[w.Name] = w, n
			}
		}
	}
}

// placeBit returns the bit of a zone, a cell or a kind in a PlaceSet. After the bits of each dimension comes one for
// all names that nobody claims.
func (c *Charter) placeBit(d Dimension, number int32) int32 {
	for x := Zone; x < d; x++ {
		number += int32(len(c.names[x])) + 1
	}
	return min(number, int32(maxPlaces)-1)
}

// assignHeld determines which names each namespace holds: the root holds all, any other what it claims, or what its
// parent holds in a dimension in which it claims nothing.
func (c *Charter) assignHeld() {
	nodes := slices.DeleteFunc(slices.Clone(c.nodes), func(n *node) bool { return !n.attached })
	slices.SortStableFunc(nodes, func(x, y *node) int { return cmp.Compare(x.depth, y.depth) })
	for _, n := range nodes {
		var above [dimensionCount][]int32
		if n.parent != nil {
			above = n.parent.held
		}
		n.held = above
		var own [dimensionCount][]int32
		for _, x := range n.Claims {
			n.claimsSome[x.Dimension] = true
			id := c.ids[x.Dimension][x.Name]
			if !listHas(above[x.Dimension], id) {
				c.addConflict(NotOwned, true, x.At, n.parent.At, Witness{At: c.now, Name: x.Name},
					"%s claims %s %s, which %s does not hold", n.Namespace, x.Dimension, x.Name, n.Parent)
			}
			own[x.Dimension] = append(own[x.Dimension], id)
		}
		for d := range own {
			if slices.Sort(own[d]); own[d] != nil && n.parent != nil {
				n.held[d] = own[d]
			}
		}
	}
	for d := range WindowName {
		for id, all := range c.claimants[d] {
			for i, n := range all {
				for _, m := range all[i+1:] {
					if !n.isAncestorOf(m) && !m.isAncestorOf(n) {
						name := c.names[d][id]
						c.addConflict(ClaimedTwice, true, n.claimPosition(d, name), m.claimPosition(d, name),
							Witness{At: c.now, Name: name},
							"%s %s: %s and %s", d, name, n.Namespace, m.Namespace)
					}
				}
			}
		}
	}
}

// claimPosition returns the position of a claim of the namespace.
func (n *node) claimPosition(d Dimension, name string) Position {
	i := slices.IndexFunc(n.Claims, func(x Claim) bool { return x.Dimension == d && x.Name == name })
	return n.Claims[i].At
}

// owns reports whether a namespace may use a name in its own right: it holds the name, and no namespace claims it
// that is neither an ancestor nor a descendant.
func (c *Charter) owns(n *node, d Dimension, name string) bool {
	if d == WindowName {
		return c.windowOwner[name].isAncestorOf(n)
	}
	id := c.ids[d][name]
	return listHas(n.held[d], id) && !slices.ContainsFunc(c.claimants[d][id],
		func(m *node) bool { return !m.isAncestorOf(n) && !n.isAncestorOf(m) })
}

// known reports whether a name is claimed or, for a window, defined.
func (c *Charter) known(d Dimension, name string) bool {
	if d == WindowName {
		return c.windowOwner[name] != nil
	}
	_, ok := c.ids[d][name]
	return ok
}

// collectGrants collects the grants, by the namespace that they are made to.
func (c *Charter) collectGrants() {
	for _, n := range c.nodes {
		for _, g := range n.Grants {
			to := c.byNamespace[g.To]
			if !n.attached {
				continue
			}
			if to == nil {
				c.addConflict(UnknownName, true, g.At, g.At, Witness{At: c.now}, "namespace %s", g.To)
			}
			lists := g.byDimension()
			lists[WindowName] = g.Windows
			for d, names := range lists {
				for _, name := range names {
					d := Dimension(d)
					switch {
					case !c.known(d, name):
						c.addConflict(UnknownName, true, g.At, g.At, Witness{At: c.now, Name: name}, "%s %s", d, name)
					case !c.owns(n, d, name):
						c.addConflict(NotOwned, true, g.At, n.At, Witness{At: c.now, Name: name},
							"%s grants %s %s, which it does not own", n.Namespace, d, name)
					case to != nil:
						k := grantKey{to, d, name}
						c.grantsTo[k] = append(c.grantsTo[k], basis{min(endTime(g.Until, g.Revoked), n.end), g.At})
					}
				}
			}
		}
	}
}

// basisFor returns what a namespace's use of a name is based on: its own right, or the grant that ends last. It returns
// false if the namespace may not use the name.
func (c *Charter) basisFor(n *node, d Dimension, name string) (basis, bool) {
	if c.owns(n, d, name) {
		return basis{n.end, n.endPosition}, true
	}
	best, found := basis{}, false
	for m := n; m != nil; m = m.parent {
		for _, s := range c.grantsTo[grantKey{m, d, name}] {
			if !found || s.end > best.end {
				best, found = s, true
			}
		}
	}
	return best, found
}

// resolve resolves the names of a rule and determines until when the namespace may use them.
func (c *Charter) resolve(n *node, r *Rule) *rule {
	x := &rule{Rule: r, node: n, valid: true, slot: r.boundSlot(), kind: slices.Index(ruleKinds, r.Kind),
		unit:    slices.Index(units, r.Unit),
		ownSpan: span{from: unixOr(r.Since, 0), to: unixOr(r.Until, forever)}}
	end := basis{n.end, n.endPosition}
	lists := r.byDimension()
	if r.Window != "" {
		lists[WindowName] = []string{r.Window}
	}
	var ids [dimensionCount][]int32
	for d, names := range lists {
		for _, name := range names {
			d := Dimension(d)
			s, ok := basis{}, false
			if c.known(d, name) {
				s, ok = c.basisFor(n, d, name)
			}
			switch {
			case !c.known(d, name):
				c.addConflict(UnknownName, true, r.At, r.At, Witness{At: c.now, Name: name},
					"%s %s of rule %s", d, name, r.ID)
			case !ok:
				c.addConflict(NotOwned, true, r.At, c.ownerPosition(d, name), Witness{At: c.now, Name: name},
					"rule %s names %s %s, which %s neither owns nor was granted", r.ID, d, name, n.Namespace)
			case s.end < end.end:
				end = s
			}
			if !ok {
				x.valid = false
			} else if d == WindowName {
				x.ownSpan.window = c.windows[name]
			} else {
				ids[d] = append(ids[d], c.ids[d][name])
			}
		}
	}
	hasScope := n.parent == nil || n.claimsSome[Tenant] || n.claimsSome[RuleSet] || len(r.Tenants)+len(r.RuleSets) > 0
	if r.Kind == "freeze" || r.Kind == "limit" && r.namesPlaces() {
		hasScope = n.parent == nil || n.claimsSome[Zone] || n.claimsSome[Cell] || n.claimsSome[Kind] || r.namesPlaces()
	}
	if !hasScope {
		c.addConflict(NotOwned, true, r.At, n.At, Witness{At: c.now},
			"rule %s names nothing, and %s claims nothing that it could be about", r.ID, n.Namespace)
		x.valid = false
	}
	for d := range Zone {
		slices.Sort(ids[d])
		if ids[d] = slices.Compact(ids[d]); ids[d] == nil {
			ids[d] = n.held[d]
		}
	}
	x.reqScope = reqScope{ids[Tenant], ids[RuleSet]}
	if r.Kind == "freeze" && !r.namesPlaces() {
		if n.parent == nil {
			x.placeSet = x.placeSet.complement()
		}
		for d := Zone; d < WindowName; d++ {
			if n.claimsSome[d] {
				ids[d] = n.held[d]
			}
		}
	}
	named := [dimensionCount]PlaceSet{}
	for d := Zone; d < WindowName; d++ {
		for _, id := range ids[d] {
			named[d].add(c.placeBit(d, id))
		}
	}
	all := named[Zone].union(named[Cell]).union(named[Kind])
	switch {
	case r.Kind == "only":
		x.placeSet = PlaceSet{}.complement()
		for d := Zone; d < WindowName; d++ {
			if !named[d].isEmpty() {
				allowed := c.allPlaces[d]
				allowed.add(c.placeBit(d, int32(len(c.names[d]))))
				x.placeSet = x.placeSet.intersect(named[d].union(allowed.complement()))
			}
		}
	case r.Kind == "never":
		x.placeSet = all.complement()
	case !all.isEmpty():
		x.placeSet = all
	}
	x.span, x.endPosition = x.ownSpan, end.at
	x.span.to = min(x.ownSpan.to, end.end)
	return x
}

// ownerPosition returns the position at which the deepest namespace that claims a name does so.
func (c *Charter) ownerPosition(d Dimension, name string) Position {
	if d == WindowName {
		return c.windows[name].At
	}
	all := c.claimants[d][c.ids[d][name]]
	deep := slices.MaxFunc(all, func(x, y *node) int { return cmp.Compare(x.depth, y.depth) })
	return deep.claimPosition(d, name)
}

// boundSlot returns the slot of Value.Bound that a rule sets, or -1.
func (r *Rule) boundSlot() int {
	unit := slices.Index(units, r.Unit)
	switch r.Kind {
	case "limit":
		return LimitSlot(unit, slices.Index(limitPer, r.Per))
	case "quota":
		return QuotaSlot(unit, slices.Index(quotaPer, r.Per))
	case "value":
		return ValueSlot
	case "further":
		return FurtherSlot
	}
	return -1
}

// value returns the value of the rule alone.
func (x *rule) value() Value {
	v := None()
	switch {
	case x.slot >= 0:
		v.Bound[x.slot] = x.Number
	case x.Kind == "guarantee":
		v.Guaranteed = []Guarantee{{x.name(), x.unit, x.Number}}
	case x.Kind == "deny":
		shift := 8 * (maxTiers - 1 - min(x.node.depth, maxTiers-1))
		v.Rank = v.Rank&^(0xff<<shift) | uint64(x.Number)<<shift
	case x.Kind == "only" || x.Kind == "never":
		v.Allowed = x.placeSet
	case x.Kind == "freeze":
		v.Frozen = x.placeSet
	}
	return v
}

// name returns the rule's id with its namespace.
func (x *rule) name() string { return fmt.Sprintf("%s/%s", x.node.Namespace, x.ID) }
