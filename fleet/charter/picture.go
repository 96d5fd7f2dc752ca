package charter

// This file owns what holds at a moment: the picture that the req path reads, and where each value comes
// from. A picture never changes; who holds one takes another at its end. It must never look at rules when a
// req comes.

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"
)

// Picture is what holds from a moment until another, of one edition or of several that all bind.
type Picture struct {
	Until    int64 // Unix ns; from then on another one holds
	Frozen   Set   // places where no machine goes out
	places   [dims]map[string]int32
	others   [dims]int32 // the bit of all places that nobody claims
	editions []page
	alone    bool // one edition: its numbers are the picture's
}

// page is one edition's part.
type page struct {
	tenants map[string]int32   // into rows: what holds for all reqs, in row 0, and for the tenant's
	sets    map[string]int32   // into rows: what holds for the rule set's alone
	pairs   map[[2]int32]int32 // into rows, by both of those: all that holds, where rules name both
	rows    []Effective
	limits  [mostPlaces]*[quotas]float64
}

// Picture makes what holds at a moment.
func (c *Charter) Picture(at int64) *Picture { return Draw(at, c) }

// Draw makes what holds at a moment where several editions bind.
func Draw(at int64, all ...*Charter) *Picture {
	p := picturePlaces(all...)
	p.Until, p.alone = forever, len(all) == 1
	for _, c := range all {
		p.editions = append(p.editions, c.page(at, p))
	}
	return p
}

// picturePlaces numbers the places of editions.
func picturePlaces(all ...*Charter) *Picture {
	p := &Picture{}
	next := 0
	for d := Zone; d < Hours; d++ { // editions that name other places have one numbering here
		p.places[d] = map[string]int32{}
		for _, name := range wordsOf(d, all) {
			p.places[d][name] = int32(min(next, mostPlaces-1))
			next++
		}
		p.others[d] = int32(min(next, mostPlaces-1))
		next++
	}
	return p
}

// wordsOf are the names that any of several editions has, sorted.
func wordsOf(d Dim, all []*Charter) []string {
	var names []string
	for _, c := range all {
		names = append(names, c.words[d]...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// placesOf is how many bits the places of several editions take; whoever draws them together sees to it that
// they are mostPlaces at the most.
func placesOf(all ...*Charter) (n int) {
	for d := Zone; d < Hours; d++ {
		n += len(wordsOf(d, all)) + 1
	}
	return n
}

func (c *Charter) page(at int64, p *Picture) page {
	g := page{tenants: map[string]int32{}, sets: map[string]int32{}, pairs: map[[2]int32]int32{},
		rows: []Effective{None().Flat()}}
	var wide []*rule
	add := func(r *rule, i int32) {
		e := r.value().Flat()
		g.rows[i].join(&e)
	}
	tenant := func(t int32) int32 { return row(&g, g.tenants, c.words[Tenant][t]) }
	set := func(s int32) int32 { return row(&g, g.sets, c.words[RuleSet][s]) }
	windows := map[*Window]bool{}
	for _, r := range c.rules {
		if !r.sound {
			continue
		}
		for _, t := range []int64{r.span.from, r.span.to} {
			if t > at {
				p.Until = min(p.Until, t)
			}
		}
		if w := r.span.window; w != nil && !windows[w] {
			windows[w] = true
			p.Until = min(p.Until, w.turn(at))
		}
		if !r.span.open(at) {
			continue
		}
		switch {
		case r.Kind == "freeze":
			p.Frozen = p.Frozen.or(p.renumber(c, r.set))
		case r.Kind == "require":
		case r.places() && r.Kind == "limit":
			g.limit(p.renumber(c, r.set), r)
		case r.tenants == nil && r.sets == nil:
			wide = append(wide, r)
		case r.sets == nil:
			for _, t := range r.tenants {
				add(r, tenant(t))
			}
		case r.tenants == nil:
			for _, s := range r.sets {
				add(r, set(s))
			}
		default:
			for _, t := range r.tenants {
				for _, s := range r.sets {
					k := [2]int32{tenant(t), set(s)}
					add(r, row(&g, g.pairs, k))
				}
			}
		}
	}
	for _, r := range wide { // last: new rows begin as row 0, empty
		add(r, 0)
	}
	for _, i := range g.tenants {
		g.rows[i].join(&g.rows[0])
	}
	for k, i := range g.pairs {
		g.rows[i].join(&g.rows[k[0]])
		g.rows[i].join(&g.rows[k[1]])
	}
	for i := range g.rows {
		g.rows[i].Allowed = p.renumber(c, g.rows[i].Allowed)
	}
	return g
}

// row is the row of a key, a new one where it has none.
func row[K comparable](g *page, at map[K]int32, key K) int32 {
	i, ok := at[key]
	if !ok {
		i = int32(len(g.rows))
		at[key] = i
		g.rows = append(g.rows, None().Flat())
	}
	return i
}

// renumber turns a set of an edition's places into one of the picture's. What the edition does not name is as
// all that nobody claims.
func (p *Picture) renumber(c *Charter, s Set) Set {
	if p.alone || s == (Set{}).not() {
		return s
	}
	var out Set
	for d := Zone; d < Hours; d++ {
		other := c.bit(d, int32(len(c.words[d])))
		if s.at(other) {
			out.add(p.others[d])
		}
		for name, to := range p.places[d] {
			from := other
			if id, ok := c.names[d][name]; ok {
				from = c.bit(d, id)
			}
			if s.at(from) {
				out.add(to)
			}
		}
	}
	return out
}

func (g *page) limit(set Set, r *rule) {
	for i := range int32(mostPlaces) {
		one := Set{}
		if one.add(i); !set.Has(one) {
			continue
		}
		if g.limits[i] == nil {
			g.limits[i] = &[quotas]float64{}
			for j := range g.limits[i] {
				g.limits[i][j] = math.Inf(1)
			}
		}
		g.limits[i][r.slot()] = min(g.limits[i][r.slot()], r.Number)
	}
}

// turn is when a window opens or closes next after a moment.
func (w *Window) turn(at int64) int64 {
	next := int64(forever)
	start := at - ((at+monday)%weekly+weekly)%weekly
	for _, p := range w.week {
		for _, t := range []int64{start + p.from, start + p.until} {
			if t <= at {
				t += weekly
			}
			next = min(next, t)
		}
	}
	return next
}

// Of is what holds for a req.
func (p *Picture) Of(tenant, set string, e *Effective) {
	p.editions[0].of(tenant, set, e)
	for i := 1; i < len(p.editions); i++ {
		var o Effective
		p.editions[i].of(tenant, set, &o)
		e.Meet(&o)
	}
}

func (g *page) of(tenant, set string, e *Effective) {
	t := g.tenants[tenant] // 0 where it has no row
	s, named := g.sets[set]
	if named && t != 0 {
		if i, ok := g.pairs[[2]int32{t, s}]; ok {
			*e = g.rows[i]
			return
		}
	}
	if *e = g.rows[t]; named {
		e.join(&g.rows[s])
	}
}

// Mask is a server's place, by its zone, its cell and its kind. A req may go there where its Allowed has the
// mask; a machine there may go out unless Frozen meets it. Masks are of one picture: another numbers
// anew.
func (p *Picture) Mask(zone, cell, kind string) (s Set) {
	for d, name := range []string{zone, cell, kind} {
		bit, ok := p.places[Zone+Dim(d)][name]
		if !ok {
			bit = p.others[Zone+Dim(d)]
		}
		s.add(bit)
	}
	return s
}

// Limit is the limit of a place in a slot, +Inf where there is none.
func (p *Picture) Limit(d Dim, name string, slot int) float64 {
	least := math.Inf(1)
	bit, ok := p.places[d][name]
	for i := range p.editions {
		if l := p.editions[i].limits[bit]; ok && l != nil {
			least = min(least, l[slot])
		}
	}
	return least
}

// Loss is a rule that says something of a value and does not count.
type Loss struct {
	Rule string
	At   Position
	Why  string
}

// Effect is a value and where it comes from.
type Effect struct {
	Scope  string // which reqs or places
	What   string
	Number string
	Counts []Loss // each rule that makes it so; Why: what it says
	Lost   []Loss
}

// Effects tells every value at a moment, in order, with the rules that make it and those that do not. Within
// a scope count the rules that are about all of it, those of wider ones too.
func (c *Charter) Effects(at int64) (all []Effect) {
	type scope struct{ t, s int32 }
	seen := map[scope]bool{}
	var scopes []scope
	for _, r := range c.rules {
		ts, ss := r.tenants, r.sets
		if ts == nil {
			ts = []int32{-1}
		}
		if ss == nil {
			ss = []int32{-1}
		}
		if r.places() && (r.Kind == "limit" || r.Kind == "freeze") || !r.sound {
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
			name = append(name, "tenant "+c.words[Tenant][x.t])
		}
		if x.s >= 0 {
			name = append(name, "rule set "+c.words[RuleSet][x.s])
		}
		if len(name) == 0 {
			name = []string{"all reqs"}
		}
		var hit []*rule
		for _, r := range c.rules {
			if r.sound && !(r.places() && r.Kind == "limit") && r.Kind != "freeze" && r.of(x.t, x.s) {
				hit = append(hit, r)
			}
		}
		all = append(all, c.told(strings.Join(name, " "), at, hit)...)
	}
	placed := map[string][]*rule{}
	for _, r := range c.rules {
		if r.sound && (r.Kind == "freeze" || r.places() && r.Kind == "limit") {
			lists := r.lists()
			where := []string{}
			for d := Zone; d < Hours; d++ {
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
		all = append(all, c.told(w, at, placed[w])...)
	}
	return all
}

// told sorts the rules of one scope by what they say.
func (c *Charter) told(scope string, at int64, rules []*rule) (all []Effect) {
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
		slices.SortFunc(rules, byPlace)
		total, open, low := 0.0, 0, (*rule)(nil)
		for _, r := range rules {
			if r.span.open(at) {
				open++
				total += r.Number
				if low == nil || r.Number < low.Number {
					low = r
				}
			}
		}
		v := None()
		for _, r := range rules {
			x := Loss{r.name(), r.At, fmt.Sprintf("%g", r.Number)}
			switch {
			case !r.span.open(at):
				x.Why = r.shut(at)
				e.Lost = append(e.Lost, x)
				continue
			case what == "placement":
				x.Why = r.Kind + " " + r.named()
				v = v.Merge(r.value())
			case r.Kind == "freeze":
				x.Why = "no work"
			case r.Kind != "guarantee" && r.Number > low.Number:
				x.Why = fmt.Sprintf("%g, above %s at %s", r.Number, low.name(), low.At)
				e.Lost = append(e.Lost, x)
				continue
			}
			e.Counts = append(e.Counts, x)
		}
		switch {
		case open == 0:
		case what == "placement":
			e.Number = c.left(v.Allowed)
		case what == "freeze":
			e.Number = "no work"
		case strings.HasPrefix(what, "guarantee"):
			e.Number = fmt.Sprintf("%g", total)
		default:
			e.Number = fmt.Sprintf("%g", low.Number)
		}
		all = append(all, e)
	}
	return all
}

// left names the places of a set; of kinds of places that are whole it says nothing.
func (c *Charter) left(s Set) string {
	var all []string
	for d := Zone; d < Hours; d++ {
		if s.Has(c.mask[d]) {
			continue
		}
		for i, name := range c.words[d] {
			one := Set{}
			if one.add(c.bit(d, int32(i))); s.Has(one) {
				all = append(all, d.String()+" "+name)
			}
		}
	}
	if len(all) == 0 {
		return "anywhere"
	}
	return strings.Join(all, ", ")
}

func (r *Rule) named() string {
	var all []string
	for d, names := range r.lists() {
		if Dim(d) >= Zone {
			all = append(all, names...)
		}
	}
	return strings.Join(all, ", ")
}

// shut says why a rule is not in force at a moment.
func (x *rule) shut(at int64) string {
	day := func(t int64) string { return time.Unix(0, t).UTC().Format(time.RFC3339) }
	switch {
	case at < x.span.from:
		return "from " + day(x.span.from)
	case at >= x.own.to:
		return "until " + day(x.own.to)
	case at >= x.span.to:
		return "what it rests on, " + x.ender.String() + ", ended " + day(x.span.to)
	}
	return "outside its window " + x.Window
}

// WriteReport writes conflicts and effective values for people.
func (c *Charter) WriteReport(w io.Writer, at int64) {
	for _, x := range c.Conflicts {
		fmt.Fprintln(w, x)
	}
	for _, e := range c.Effects(at) {
		fmt.Fprintf(w, "%s: %s = %s\n", e.Scope, e.What, e.Number)
		for _, x := range e.Counts {
			fmt.Fprintf(w, "    counts %s %s: %s\n", x.At, x.Rule, x.Why)
		}
		for _, x := range e.Lost {
			fmt.Fprintf(w, "    lost   %s %s: %s\n", x.At, x.Rule, x.Why)
		}
	}
}
