package charter

// This file holds snapshots, the values in force at a time that the request path reads, and the explanation of where
// each value comes from. A snapshot never changes; a new one is taken at its end. Looking up a request never reads
// rules.

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"
)

// Snapshot holds the values in force from one time until another, of one edition or of several that are all binding.
type Snapshot struct {
	Until    int64    // Unix ns; from then on another snapshot is in force
	Frozen   PlaceSet // places where no server is taken out of service
	places   [dimensionCount]map[string]int32
	others   [dimensionCount]int32 // by dimension: the bit of all names that nobody claims
	editions []editionTable
	single   bool // there is one edition, with the same place bits as the snapshot
}

// editionTable is the part of a snapshot that comes from one edition.
type editionTable struct {
	tenants  map[string]int32   // index in rows of a tenant's values; row 0: those for all requests
	ruleSets map[string]int32   // index in rows of the values for a rule set alone
	pairs    map[[2]int32]int32 // by both indices, index in rows of all values, if rules name both
	rows     []Effective
	limits   [maxPlaces]*[limitSlots]float64
}

// Snapshot returns the snapshot at a time.
func (c *Charter) Snapshot(at int64) *Snapshot { return NewSnapshot(at, c) }

// NewSnapshot returns the snapshot at a time at which several editions are binding.
func NewSnapshot(at int64, all ...*Charter) *Snapshot {
	p := numberPlaces(all...)
	p.Until, p.single = forever, len(all) == 1
	for _, c := range all {
		p.editions = append(p.editions, c.tableAt(at, p))
	}
	return p
}

// numberPlaces returns a snapshot in which only the places of the editions are numbered.
func numberPlaces(all ...*Charter) *Snapshot {
	p := &Snapshot{}
	next := 0
	for d := Zone; d < WindowName; d++ { // one numbering for all editions, though they may name different places
		p.places[d] = map[string]int32{}
		for _, name := range placeNames(d, all) {
			p.places[d][name] = int32(min(next, maxPlaces-1))
			next++
		}
		p.others[d] = int32(min(next, maxPlaces-1))
		next++
	}
	return p
}

// placeNames returns the names that any of several editions has in a dimension, sorted.
func placeNames(d Dimension, all []*Charter) []string {
	var names []string
	for _, c := range all {
		names = append(names, c.names[d]...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// placeCount returns how many bits the places of several editions take. Callers that put editions into one snapshot
// ensure that there are at most maxPlaces.
func placeCount(all ...*Charter) (n int) {
	for d := Zone; d < WindowName; d++ {
		n += len(placeNames(d, all)) + 1
	}
	return n
}

// tableAt returns the edition's values at a time and lowers the snapshot's end to the next change.
func (c *Charter) tableAt(at int64, p *Snapshot) editionTable {
	table := editionTable{tenants: map[string]int32{}, ruleSets: map[string]int32{}, pairs: map[[2]int32]int32{},
		rows: []Effective{None().Flatten()}}
	var general []*rule
	add := func(r *rule, i int32) {
		e := r.value().Flatten()
		table.rows[i].combine(&e)
	}
	tenant := func(t int32) int32 { return rowIndex(&table, table.tenants, c.names[Tenant][t]) }
	set := func(s int32) int32 { return rowIndex(&table, table.ruleSets, c.names[RuleSet][s]) }
	windows := map[*Window]bool{}
	for _, r := range c.rules {
		if !r.valid {
			continue
		}
		for _, t := range []int64{r.span.from, r.span.to} {
			if t > at {
				p.Until = min(p.Until, t)
			}
		}
		if w := r.span.window; w != nil && !windows[w] {
			windows[w] = true
			p.Until = min(p.Until, w.nextChange(at))
		}
		if !r.span.open(at) {
			continue
		}
		switch {
		case r.Kind == "freeze":
			p.Frozen = p.Frozen.union(p.renumber(c, r.placeSet))
		case r.Kind == "require":
		case r.namesPlaces() && r.Kind == "limit":
			table.limit(p.renumber(c, r.placeSet), r)
		case r.tenants == nil && r.ruleSets == nil:
			general = append(general, r)
		case r.ruleSets == nil:
			for _, t := range r.tenants {
				add(r, tenant(t))
			}
		case r.tenants == nil:
			for _, s := range r.ruleSets {
				add(r, set(s))
			}
		default:
			for _, t := range r.tenants {
				for _, s := range r.ruleSets {
					k := [2]int32{tenant(t), set(s)}
					add(r, rowIndex(&table, table.pairs, k))
				}
			}
		}
	}
	for _, r := range general { // last, as new rows start without any value
		add(r, 0)
	}
	for _, i := range table.tenants {
		table.rows[i].combine(&table.rows[0])
	}
	for k, i := range table.pairs {
		table.rows[i].combine(&table.rows[k[0]])
		table.rows[i].combine(&table.rows[k[1]])
	}
	for i := range table.rows {
		table.rows[i].Allowed = p.renumber(c, table.rows[i].Allowed)
	}
	return table
}

// rowIndex returns the row of a key and adds one if there is none.
func rowIndex[K comparable](table *editionTable, at map[K]int32, key K) int32 {
	i, ok := at[key]
	if !ok {
		i = int32(len(table.rows))
		at[key] = i
		table.rows = append(table.rows, None().Flatten())
	}
	return i
}

// renumber converts a set of an edition's places to the numbering of the snapshot. Places that the edition does not
// name are treated like all places that nobody claims.
func (p *Snapshot) renumber(c *Charter, s PlaceSet) PlaceSet {
	if p.single || s == (PlaceSet{}).complement() {
		return s
	}
	var out PlaceSet
	for d := Zone; d < WindowName; d++ {
		other := c.placeBit(d, int32(len(c.names[d])))
		if s.hasBit(other) {
			out.add(p.others[d])
		}
		for name, to := range p.places[d] {
			from := other
			if id, ok := c.ids[d][name]; ok {
				from = c.placeBit(d, id)
			}
			if s.hasBit(from) {
				out.add(to)
			}
		}
	}
	return out
}

// limit applies a limit rule to a set of places.
func (table *editionTable) limit(set PlaceSet, r *rule) {
	for i := range int32(maxPlaces) {
		one := PlaceSet{}
		if one.add(i); !set.Contains(one) {
			continue
		}
		if table.limits[i] == nil {
			table.limits[i] = &[limitSlots]float64{}
			for j := range table.limits[i] {
				table.limits[i][j] = math.Inf(1)
			}
		}
		table.limits[i][r.boundSlot()] = min(table.limits[i][r.boundSlot()], r.Number)
	}
}

// nextChange returns when the window opens or closes next after a time.
func (w *Window) nextChange(at int64) int64 {
	next := int64(forever)
	start := at - ((at+mondayOffset)%weekLength+weekLength)%weekLength
	for _, p := range w.weekSpans {
		for _, t := range []int64{start + p.from, start + p.until} {
			if t <= at {
				t += weekLength
			}
			next = min(next, t)
		}
	}
	return next
}

// Lookup stores the values for a request in e. It does not allocate.
func (p *Snapshot) Lookup(tenant, set string, e *Effective) {
	p.editions[0].lookup(tenant, set, e)
	for i := 1; i < len(p.editions); i++ {
		var o Effective
		p.editions[i].lookup(tenant, set, &o)
		e.Meet(&o)
	}
}

func (table *editionTable) lookup(tenant, set string, e *Effective) {
	t := table.tenants[tenant] // 0 if it has no row
	s, named := table.ruleSets[set]
	if named && t != 0 {
		if i, ok := table.pairs[[2]int32{t, s}]; ok {
			*e = table.rows[i]
			return
		}
	}
	if *e = table.rows[t]; named {
		e.combine(&table.rows[s])
	}
}

// Mask returns the places of a server, by its zone, cell and kind. A request may go to the server if its Allowed
// contains the mask; the server may be taken out of service unless Frozen intersects the mask. A mask is valid for
// this snapshot only, as each numbers places anew.
func (p *Snapshot) Mask(zone, cell, kind string) (s PlaceSet) {
	for d, name := range []string{zone, cell, kind} {
		bit, ok := p.places[Zone+Dimension(d)][name]
		if !ok {
			bit = p.others[Zone+Dimension(d)]
		}
		s.add(bit)
	}
	return s
}

// Limit returns the limit of a place in a slot, or +Inf if there is none.
func (p *Snapshot) Limit(d Dimension, name string, slot int) float64 {
	lowest := math.Inf(1)
	bit, ok := p.places[d][name]
	for i := range p.editions {
		if l := p.editions[i].limits[bit]; ok && l != nil {
			lowest = min(lowest, l[slot])
		}
	}
	return lowest
}

// Contribution is a rule that sets a value, and what it sets or why it does not apply.
type Contribution struct {
	Rule string
	At   Position
	Why  string
}

// Effect is a value in force and the rules that it comes from.
type Effect struct {
	Scope      string // requests or places that the value is for
	What       string
	Number     string
	Applied    []Contribution // rules that determine the value; Why: what they set
	Overridden []Contribution // rules that do not count; Why: the reason
}

// Effects returns all values at a time, in order, with the rules that determine them and those that are overridden. A
// rule counts in a scope if it applies to all of it, also if the rule's own scope is wider.
func (c *Charter) Effects(at int64) (all []Effect) {
	type scope struct{ t, s int32 }
	seen := map[scope]bool{}
	var scopes []scope
	for _, r := range c.rules {
		ts, ss := r.tenants, r.ruleSets
		if ts == nil {
			ts = []int32{-1}
		}
		if ss == nil {
			ss = []int32{-1}
		}
		if r.namesPlaces() && (r.Kind == "limit" || r.Kind == "freeze") || !r.valid {
			continue
		}
		for _, t := range ts {
			for _, s := range ss {
				if !seen[scope{t, s}] {
					seen[scope{t, s}] = true
					scopes = append(scopes, scope{t, s})
				}
			}
		}
	}
	slices.SortFunc(scopes, func(x, y scope) int { return slices.Compare([]int32{x.t, x.s}, []int32{y.t, y.s}) })
	for _, x := range scopes {
		name := []string{}
		if x.t >= 0 {
			name = append(name, "tenant "+c.names[Tenant][x.t])
		}
		if x.s >= 0 {
			name = append(name, "rule set "+c.names[RuleSet][x.s])
		}
		if len(name) == 0 {
			name = []string{"all reqs"}
		}
		var applicable []*rule
		for _, r := range c.rules {
			if r.valid && !(r.namesPlaces() && r.Kind == "limit") && r.Kind != "freeze" && r.includes(x.t, x.s) {
				applicable = append(applicable, r)
			}
		}
		all = append(all, c.effectsOf(strings.Join(name, " "), at, applicable)...)
	}
	placed := map[string][]*rule{}
	for _, r := range c.rules {
		if r.valid && (r.Kind == "freeze" || r.namesPlaces() && r.Kind == "limit") {
			lists := r.byDimension()
			where := []string{}
			for d := Zone; d < WindowName; d++ {
				for _, name := range lists[d] {
					where = append(where, d.String()+" "+name)
				}
			}
			if len(where) == 0 {
				where = []string{"servers of " + r.node.Namespace}
			}
			for _, w := range where {
				placed[w] = append(placed[w], r)
			}
		}
	}
	var where []string
	for w := range placed {
		where = append(where, w)
	}
	slices.Sort(where)
	for _, w := range where {
		all = append(all, c.effectsOf(w, at, placed[w])...)
	}
	return all
}

// effectsOf returns the effects of the rules of one scope, by the kind of value.
func (c *Charter) effectsOf(scope string, at int64, rules []*rule) (all []Effect) {
	by, order := map[string][]*rule{}, []string{}
	for _, r := range rules {
		what := strings.TrimSpace(strings.Join([]string{r.Kind, r.Unit, r.Per}, " "))
		switch r.Kind {
		case "only", "never", "require":
			what = "placement"
		case "deny":
			what = fmt.Sprintf("order of denial, tier %d", r.node.depth)
		}
		if by[what] == nil {
			order = append(order, what)
		}
		by[what] = append(by[what], r)
	}
	slices.Sort(order)
	for _, what := range order {
		e := Effect{Scope: scope, What: what, Number: "none"}
		rules := slices.Clone(by[what])
		slices.SortFunc(rules, byPosition)
		total, open, lowest := 0.0, 0, (*rule)(nil)
		for _, r := range rules {
			if r.span.open(at) {
				open++
				total += r.Number
				if lowest == nil || r.Number < lowest.Number {
					lowest = r
				}
			}
		}
		v := None()
		for _, r := range rules {
			x := Contribution{r.name(), r.At, fmt.Sprintf("%g", r.Number)}
			switch {
			case !r.span.open(at):
				x.Why = r.inactiveReason(at)
				e.Overridden = append(e.Overridden, x)
				continue
			case what == "placement":
				x.Why = r.Kind + " " + r.placeList()
				v = v.Merge(r.value())
			case r.Kind == "freeze":
				x.Why = "no work"
			case r.Kind != "guarantee" && r.Number > lowest.Number:
				x.Why = fmt.Sprintf("%g, above %s at %s", r.Number, lowest.name(), lowest.At)
				e.Overridden = append(e.Overridden, x)
				continue
			}
			e.Applied = append(e.Applied, x)
		}
		switch {
		case open == 0:
		case what == "placement":
			e.Number = c.allowedPlaces(v.Allowed)
		case what == "freeze":
			e.Number = "no work"
		case strings.HasPrefix(what, "guarantee"):
			e.Number = fmt.Sprintf("%g", total)
		default:
			e.Number = fmt.Sprintf("%g", lowest.Number)
		}
		all = append(all, e)
	}
	return all
}

// allowedPlaces lists the places of a set. It omits dimensions of which the set contains all places.
func (c *Charter) allowedPlaces(s PlaceSet) string {
	var all []string
	for d := Zone; d < WindowName; d++ {
		if s.Contains(c.allPlaces[d]) {
			continue
		}
		for i, name := range c.names[d] {
			one := PlaceSet{}
			if one.add(c.placeBit(d, int32(i))); s.Contains(one) {
				all = append(all, d.String()+" "+name)
			}
		}
	}
	if len(all) == 0 {
		return "anywhere"
	}
	return strings.Join(all, ", ")
}

// placeList lists the places that the rule names.
func (r *Rule) placeList() string {
	var all []string
	for d, names := range r.byDimension() {
		if Dimension(d) >= Zone {
			all = append(all, names...)
		}
	}
	return strings.Join(all, ", ")
}

// inactiveReason returns why a rule is not in force at a time.
func (x *rule) inactiveReason(at int64) string {
	day := func(t int64) string { return time.Unix(0, t).UTC().Format(time.RFC3339) }
	switch {
	case at < x.span.from:
		return "from " + day(x.span.from)
	case at >= x.ownSpan.to:
		return "until " + day(x.ownSpan.to)
	case at >= x.span.to:
		return "what it rests on, " + x.endPosition.String() + ", ended " + day(x.span.to)
	}
	return "outside its window " + x.Window
}

// WriteReport writes the conflicts and the effective values at a time as text for operators.
func (c *Charter) WriteReport(w io.Writer, at int64) {
	for _, x := range c.Conflicts {
		fmt.Fprintln(w, x)
	}
	for _, e := range c.Effects(at) {
		fmt.Fprintf(w, "%s: %s = %s\n", e.Scope, e.What, e.Number)
		for _, x := range e.Applied {
			fmt.Fprintf(w, "    counts %s %s: %s\n", x.At, x.Rule, x.Why)
		}
		for _, x := range e.Overridden {
			fmt.Fprintf(w, "    lost   %s %s: %s\n", x.At, x.Rule, x.Why)
		}
	}
}
