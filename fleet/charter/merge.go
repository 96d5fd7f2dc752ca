package charter

// This file owns how the files of all teams become one charter: the tree, what each namespace holds, which
// rules are in force for which reqs. Its tables live as long as the charter that they are of. It must never
// depend on the order in which files come.

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"time"
)

// Running is a plan by which machines are out or go out, as a freeze sees it: every zone, cell and kind that
// its servers are of.
type Running struct {
	Plan string
	Names
	Until int64 // Unix ns; 0: open
}

// node is a namespace in the tree.
type node struct {
	*File
	parent *node
	depth  int
	stands bool          // it hangs from the root by delegations
	end    int64         // of the delegations above
	ender  Position      // the delegation that ends first
	holds  [dims][]int32 // sorted; nil: all
	own    [dims]bool    // it claims some itself
}

// above says whether a namespace is another one or one of those above it. Only for those that stand, which no
// circle holds.
func (n *node) above(m *node) bool {
	for ; m != nil && m != n; m = m.parent {
	}
	return m == n
}

// box is which reqs something is about, by sorted numbers; nil: all.
type box struct{ tenants, sets []int32 }

func dimMeets(a, b []int32) bool {
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

func dimWithin(a, b []int32) bool {
	if b == nil {
		return true
	}
	return a != nil && !slices.ContainsFunc(a, func(x int32) bool { return !has(b, x) })
}

func has(all []int32, x int32) bool {
	_, ok := slices.BinarySearch(all, x)
	return all == nil || ok
}

func (b box) meets(c box) bool { return dimMeets(b.tenants, c.tenants) && dimMeets(b.sets, c.sets) }
func (b box) within(c box) bool {
	return dimWithin(b.tenants, c.tenants) && dimWithin(b.sets, c.sets)
}
func (b box) of(tenant, set int32) bool { return has(b.tenants, tenant) && has(b.sets, set) }

// rule is a rule with its names resolved. It never changes: charters that follow one another share it.
type rule struct {
	*Rule
	box
	node  *node
	own   span // as written
	span  span // cut by the ends of what it stands on
	set   Set  // places named, or, of only and never, those allowed
	sound bool
	ender Position // where what it stands on ends
	bound int      // the slot that it is about, -1: none
	kind  int      // its place in ruleKinds
	unit  int      // its place in units
}

// Charter is one edition, all files together.
type Charter struct {
	Conflicts []Conflict // sorted
	now       int64
	nodes     []*node // sorted by namespace
	at        map[string]*node
	names     [dims]map[string]int32
	words     [dims][]string // names by their numbers
	claimed   [dims][][]*node
	windows   map[string]*Window
	defined   map[string]*node // the namespace of each window
	rules     []*rule          // in the order of namespaces
	by        [kinds][]*rule   // those that are sound, by their places in ruleKinds
	granted   map[grantKey][]stand
	mask      [dims]Set      // all places of a kind
	fresh     map[*rule]bool // those that may contradict what they did not before; nil: all
}

func (c *Charter) isFresh(r *rule) bool { return c.fresh == nil || c.fresh[r] }

type grantKey struct {
	to   *node
	dim  Dim
	name string
}

// stand is what something rests on, and until when.
type stand struct {
	end int64
	at  Position
}

func unixOr(t time.Time, other int64) int64 {
	if t.IsZero() {
		return other
	}
	return t.UnixNano()
}

func endOf(until, revoked time.Time) int64 {
	return min(unixOr(until, forever), unixOr(revoked, forever))
}

// Merge makes one charter of files, by what is known at a moment, beside plans that run. Two files of one
// namespace are a fault of who calls: the first by its file's name is taken.
func Merge(files []*File, now int64, plans []Running) *Charter {
	c := &Charter{now: now, at: map[string]*node{}, windows: map[string]*Window{}, defined: map[string]*node{},
		granted: map[grantKey][]stand{}}
	files = slices.Clone(files)
	slices.SortFunc(files, func(x, y *File) int {
		return cmp.Or(cmp.Compare(x.Namespace, y.Namespace), cmp.Compare(x.At.File, y.At.File))
	})
	files = slices.CompactFunc(files, func(x, y *File) bool { return x.Namespace == y.Namespace })
	for _, f := range files {
		n := &node{File: f, end: forever}
		c.nodes = append(c.nodes, n)
		c.at[f.Namespace] = n
	}
	c.tree()
	c.number()
	c.hold()
	c.grants()
	for _, n := range c.nodes {
		for i := range n.Rules {
			if n.stands {
				c.rules = append(c.rules, c.resolve(n, &n.Rules[i]))
			}
		}
	}
	c.check(plans)
	c.sort()
	return c
}

// Change is Merge where files differ from those of a charter without refused conflicts, of an earlier moment.
// Where they differ in rules alone, what the others come to is taken over: among themselves they contradict
// in nothing that they did not before.
func (c *Charter) Change(files []*File, now int64, plans []Running) *Charter {
	changed := map[string]*File{}
	for _, f := range files {
		n := c.at[f.Namespace]
		if n == nil || !sameGround(n.File, f) {
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
	next.Conflicts, next.now, next.fresh = nil, now, map[*rule]bool{}
	next.nodes, next.at = slices.Clone(c.nodes), maps.Clone(c.at)
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
					next.fresh[r] = true
				}
			}
			continue
		}
		for j := range f.Rules {
			x := next.resolve(n, &f.Rules[j]) // the node that was: the ground is the same, and others know it
			next.fresh[x] = true
			next.rules = append(next.rules, x)
		}
		m := *n
		m.File = f
		next.nodes[i], next.at[n.Namespace] = &m, &m
	}
	next.check(plans)
	next.sort()
	return &next
}

// sameGround says whether two files differ in rules alone, in places of all else neither.
func sameGround(x, y *File) bool {
	if x == y {
		return true
	}
	a, b := *x, *y
	a.Rules, b.Rules = nil, nil
	return reflect.DeepEqual(a, b)
}

func (c *Charter) sort() {
	slices.SortFunc(c.Conflicts, func(x, y Conflict) int {
		return cmp.Or(cmp.Compare(x.Class, y.Class), cmp.Compare(x.A.File, y.A.File),
			cmp.Compare(x.A.Line, y.A.Line),
			cmp.Compare(x.B.File, y.B.File), cmp.Compare(x.B.Line, y.B.Line), cmp.Compare(x.What, y.What))
	})
}

// tree finds parents, circles and delegations.
func (c *Charter) tree() {
	var root *node
	for _, n := range c.nodes {
		n.parent = c.at[n.Parent]
		switch {
		case n.Parent == "" && root == nil:
			root = n
		case n.Parent == "":
			c.find(ClaimedTwice, true, root.At, n.At, Witness{At: c.now}, "the root: %s and %s", root.Namespace,
				n.Namespace)
		case n.parent == nil:
			c.find(NoName, true, n.At, n.At, Witness{At: c.now}, "namespace %s", n.Parent)
		}
	}
	for _, n := range c.nodes {
		m := n.parent
		for ; m != nil && m != n && n.depth <= len(c.nodes); m = m.parent {
			n.depth++
		}
		if m == n { // told once, by its first
			least, chain := n, n.Namespace
			for x := n.parent; x != n; x = x.parent {
				chain += " under " + x.Namespace
				if x.Namespace < least.Namespace {
					least = x
				}
			}
			if least == n {
				c.find(Circle, true, n.At, n.parent.At, Witness{At: c.now}, "%s under %s", chain, n.Namespace)
			}
		}
		n.stands = m == nil
	}
	byDepth := slices.Clone(c.nodes)
	slices.SortStableFunc(byDepth, func(x, y *node) int { return cmp.Compare(x.depth, y.depth) })
	for _, n := range byDepth {
		switch {
		case !n.stands:
		case n.parent == nil:
			n.stands = n == root
		default:
			i := slices.IndexFunc(n.parent.Delegates, func(d Delegate) bool { return d.To == n.Namespace })
			if i < 0 {
				c.find(NotOwned, true, n.At, n.parent.At, Witness{At: c.now}, "%s is not delegated to", n.Namespace)
			}
			if n.stands = i >= 0 && n.parent.stands; n.stands {
				n.end, n.ender = n.parent.end, n.parent.ender
				if d := n.parent.Delegates[i]; endOf(d.Until, d.Revoked) < n.end {
					n.end, n.ender = endOf(d.Until, d.Revoked), d.At
				}
			}
		}
		for _, d := range n.Delegates {
			if c.at[d.To] == nil {
				c.find(NoName, true, d.At, d.At, Witness{At: c.now}, "namespace %s", d.To)
			}
		}
	}
}

// number gives each claimed name a number, in the order of names.
func (c *Charter) number() {
	count := 0
	for d := range Hours {
		names := map[string][]*node{}
		for _, n := range c.nodes {
			for _, x := range n.Claims {
				if x.Dim == d && n.stands {
					names[x.Name] = append(names[x.Name], n)
				}
			}
		}
		c.words[d], c.names[d] = slices.Sorted(maps.Keys(names)), make(map[string]int32, len(names))
		for i, name := range c.words[d] {
			c.names[d][name] = int32(i)
			c.claimed[d] = append(c.claimed[d], names[name])
		}
		if d >= Zone {
			for id := range c.words[d] {
				c.mask[d].add(c.bit(d, int32(id)))
			}
			count += len(c.words[d]) + 1
		}
	}
	if count > mostPlaces {
		c.find(TooMany, true, c.nodes[0].At, c.nodes[0].At, Witness{At: c.now},
			"%d zones, cells and kinds, %d at the most",
			count-3, mostPlaces-3)
	}
	for _, n := range c.nodes {
		for i := range n.Windows {
			w := &n.Windows[i]
			switch had := c.defined[w.Name]; {
			case !n.stands:
			case had != nil:
				c.find(ClaimedTwice, true, c.windows[w.Name].At, w.At, Witness{At: c.now, Name: w.Name},
					"window %s: %s and %s", w.Name, had.Namespace, n.Namespace)
			default:
				c.windows[w.Name], c.defined[w.Name] = w, n
			}
		}
	}
}

// bit is the place of a zone, a cell or a kind among all places. After those of each comes one for all that
// nobody claims.
func (c *Charter) bit(d Dim, number int32) int32 {
	for x := Zone; x < d; x++ {
		number += int32(len(c.words[x])) + 1
	}
	return min(number, int32(mostPlaces)-1)
}

// hold says what each namespace holds: the root all; any other what it claims, or where it claims nothing of
// a kind what its parent holds.
func (c *Charter) hold() {
	nodes := slices.DeleteFunc(slices.Clone(c.nodes), func(n *node) bool { return !n.stands })
	slices.SortStableFunc(nodes, func(x, y *node) int { return cmp.Compare(x.depth, y.depth) })
	for _, n := range nodes {
		var above [dims][]int32
		if n.parent != nil {
			above = n.parent.holds
		}
		n.holds = above
		var own [dims][]int32
		for _, x := range n.Claims {
			n.own[x.Dim] = true
			id := c.names[x.Dim][x.Name]
			if !has(above[x.Dim], id) {
				c.find(NotOwned, true, x.At, n.parent.At, Witness{At: c.now, Name: x.Name},
					"%s claims %s %s, which %s does not hold", n.Namespace, x.Dim, x.Name, n.Parent)
			}
			own[x.Dim] = append(own[x.Dim], id)
		}
		for d := range own {
			if slices.Sort(own[d]); own[d] != nil && n.parent != nil {
				n.holds[d] = own[d]
			}
		}
	}
	for d := range Hours {
		for id, all := range c.claimed[d] {
			for i, n := range all {
				for _, m := range all[i+1:] {
					if !n.above(m) && !m.above(n) {
						name := c.words[d][id]
						c.find(ClaimedTwice, true, n.claim(d, name), m.claim(d, name), Witness{At: c.now, Name: name},
							"%s %s: %s and %s", d, name, n.Namespace, m.Namespace)
					}
				}
			}
		}
	}
}

func (n *node) claim(d Dim, name string) Position {
	i := slices.IndexFunc(n.Claims, func(x Claim) bool { return x.Dim == d && x.Name == name })
	return n.Claims[i].At
}

// owns says whether a namespace may name something of its own right: it holds it, and nobody claims it who is
// neither above nor below.
func (c *Charter) owns(n *node, d Dim, name string) bool {
	if d == Hours {
		return c.defined[name].above(n)
	}
	id := c.names[d][name]
	return has(n.holds[d], id) && !slices.ContainsFunc(c.claimed[d][id],
		func(m *node) bool { return !m.above(n) && !n.above(m) })
}

func (c *Charter) known(d Dim, name string) bool {
	if d == Hours {
		return c.defined[name] != nil
	}
	_, ok := c.names[d][name]
	return ok
}

// grants notes what is granted to whom.
func (c *Charter) grants() {
	for _, n := range c.nodes {
		for _, g := range n.Grants {
			to := c.at[g.To]
			if !n.stands {
				continue
			}
			if to == nil {
				c.find(NoName, true, g.At, g.At, Witness{At: c.now}, "namespace %s", g.To)
			}
			lists := g.lists()
			lists[Hours] = g.Windows
			for d, names := range lists {
				for _, name := range names {
					d := Dim(d)
					switch {
					case !c.known(d, name):
						c.find(NoName, true, g.At, g.At, Witness{At: c.now, Name: name}, "%s %s", d, name)
					case !c.owns(n, d, name):
						c.find(NotOwned, true, g.At, n.At, Witness{At: c.now, Name: name},
							"%s grants %s %s, which it does not own", n.Namespace, d, name)
					case to != nil:
						k := grantKey{to, d, name}
						c.granted[k] = append(c.granted[k], stand{min(endOf(g.Until, g.Revoked), n.end), g.At})
					}
				}
			}
		}
	}
}

// may says on what a namespace's use of a name rests: its own right, or the grant that ends last.
func (c *Charter) may(n *node, d Dim, name string) (stand, bool) {
	if c.owns(n, d, name) {
		return stand{n.end, n.ender}, true
	}
	best, found := stand{}, false
	for m := n; m != nil; m = m.parent {
		for _, s := range c.granted[grantKey{m, d, name}] {
			if !found || s.end > best.end {
				best, found = s, true
			}
		}
	}
	return best, found
}

// resolve finds what a rule names, and what that rests on.
func (c *Charter) resolve(n *node, r *Rule) *rule {
	x := &rule{Rule: r, node: n, sound: true, bound: r.slot(), kind: slices.Index(ruleKinds, r.Kind),
		unit: slices.Index(units, r.Unit),
		own:  span{from: unixOr(r.Since, 0), to: unixOr(r.Until, forever)}}
	end := stand{n.end, n.ender}
	lists := r.lists()
	if r.Window != "" {
		lists[Hours] = []string{r.Window}
	}
	var ids [dims][]int32
	for d, names := range lists {
		for _, name := range names {
			d := Dim(d)
			s, ok := stand{}, false
			if c.known(d, name) {
				s, ok = c.may(n, d, name)
			}
			switch {
			case !c.known(d, name):
				c.find(NoName, true, r.At, r.At, Witness{At: c.now, Name: name}, "%s %s of rule %s", d, name, r.ID)
			case !ok:
				c.find(NotOwned, true, r.At, c.owner(d, name), Witness{At: c.now, Name: name},
					"rule %s names %s %s, which %s neither owns nor was granted", r.ID, d, name, n.Namespace)
			case s.end < end.end:
				end = s
			}
			if !ok {
				x.sound = false
			} else if d == Hours {
				x.own.window = c.windows[name]
			} else {
				ids[d] = append(ids[d], c.names[d][name])
			}
		}
	}
	some := n.parent == nil || n.own[Tenant] || n.own[RuleSet] || len(r.Tenants)+len(r.RuleSets) > 0
	if r.Kind == "freeze" || r.Kind == "limit" && r.places() {
		some = n.parent == nil || n.own[Zone] || n.own[Cell] || n.own[Kind] || r.places()
	}
	if !some {
		c.find(NotOwned, true, r.At, n.At, Witness{At: c.now},
			"rule %s names nothing, and %s claims nothing that it could be about", r.ID, n.Namespace)
		x.sound = false
	}
	for d := range Zone {
		slices.Sort(ids[d])
		if ids[d] = slices.Compact(ids[d]); ids[d] == nil {
			ids[d] = n.holds[d]
		}
	}
	x.box = box{ids[Tenant], ids[RuleSet]}
	if r.Kind == "freeze" && !r.places() {
		if n.parent == nil {
			x.set = x.set.not()
		}
		for d := Zone; d < Hours; d++ {
			if n.own[d] {
				ids[d] = n.holds[d]
			}
		}
	}
	named := [dims]Set{}
	for d := Zone; d < Hours; d++ {
		for _, id := range ids[d] {
			named[d].add(c.bit(d, id))
		}
	}
	all := named[Zone].or(named[Cell]).or(named[Kind])
	switch {
	case r.Kind == "only":
		x.set = Set{}.not()
		for d := Zone; d < Hours; d++ {
			if !named[d].empty() {
				whole := c.mask[d]
				whole.add(c.bit(d, int32(len(c.words[d]))))
				x.set = x.set.and(named[d].or(whole.not()))
			}
		}
	case r.Kind == "never":
		x.set = all.not()
	case !all.empty():
		x.set = all
	}
	x.span, x.ender = x.own, end.at
	x.span.to = min(x.own.to, end.end)
	return x
}

// owner is where a name is claimed by the deepest of those who claim it.
func (c *Charter) owner(d Dim, name string) Position {
	if d == Hours {
		return c.windows[name].At
	}
	all := c.claimed[d][c.names[d][name]]
	deep := slices.MaxFunc(all, func(x, y *node) int { return cmp.Compare(x.depth, y.depth) })
	return deep.claim(d, name)
}

// slot is the bound that a rule sets, or -1.
func (r *Rule) slot() int {
	unit := slices.Index(units, r.Unit)
	switch r.Kind {
	case "limit":
		return Limit(unit, slices.Index(limitPer, r.Per))
	case "quota":
		return Quota(unit, slices.Index(quotaPer, r.Per))
	case "value":
		return Billing
	case "further":
		return Further
	}
	return -1
}

// value is what a rule says by itself.
func (x *rule) value() Value {
	v := None()
	switch {
	case x.bound >= 0:
		v.Bound[x.bound] = x.Number
	case x.Kind == "guarantee":
		v.Sure = []Part{{x.name(), x.unit, x.Number}}
	case x.Kind == "deny":
		shift := 8 * (mostTier - 1 - min(x.node.depth, mostTier-1))
		v.Rank = v.Rank&^(0xff<<shift) | uint64(x.Number)<<shift
	case x.Kind == "only" || x.Kind == "never":
		v.Allowed = x.set
	case x.Kind == "freeze":
		v.Frozen = x.set
	}
	return v
}

func (x *rule) name() string { return fmt.Sprintf("%s/%s", x.node.Namespace, x.ID) }
