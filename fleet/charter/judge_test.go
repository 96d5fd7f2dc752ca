package charter

// A judge that looks at every req, every place and every moment of small universes, by the definitions of
// docs/charter.md alone.

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	step  = 4 * 60 * minute // all edges of small universes lie on it
	begin = 100*weekly - monday
	steps = 5 * weekly / step // past the last beginning all comes back each week
)

var universe = [dims][]string{{"t1", "t2", "t3"}, {"s1", "s2"}, {"z1", "z2"}, {"1", "2"}, {"k1"}, {"w1", "w2",
	"w3"}}

// world draws the files of a few namespaces. Most hang together, so that rules come to be looked at; some do
// not.
func world(t *rapid.T) []*File {
	names := []string{"r", "a", "b", "c"}[:rapid.IntRange(1, 4).Draw(t, "namespaces")]
	line := 0
	at := func(n string) Position { line++; return Position{n, line} }
	// Small numbers are drawn more often than others, so that what is to be rare hangs on one in the middle.
	odd := func(what string) bool { return rapid.IntRange(0, 40).Draw(t, what) == 29 }
	day := func(what string) time.Time {
		if rapid.IntRange(0, 9).Draw(t, what) < 7 {
			return time.Time{}
		}
		return time.Unix(0, begin+int64(rapid.IntRange(-3, 12).Draw(t, what))*weekly/7).UTC()
	}
	some := func(d Dim, most int) []string {
		if odd("unknown") {
			return []string{"x"}
		}
		return rapid.SliceOfNDistinct(rapid.SampledFrom(universe[d]), 0, most, rapid.ID[string]).Draw(t, d.String())
	}
	kinds := slices.Concat(ruleKinds, []string{"limit", "guarantee", "limit", "guarantee", "never", "require",
		"value"})
	number := rapid.SampledFrom([]float64{0, 1, 2, 3, 5})
	cells := func(names []string) (all []int64) {
		for _, n := range names {
			all = append(all, int64(len(n)*0)+int64(n[0]-'0'))
		}
		return all
	}
	var files []*File
	for i, n := range names {
		f := &File{Format: Format, Namespace: n, Team: n, At: at(n)}
		if i > 0 {
			f.Parent = "r"
			if odd("parent") {
				f.Parent = rapid.SampledFrom([]string{"a", "b", "r", "c", "gone"}).Draw(t, "parent")
			}
			if n == "c" && rapid.Bool().Draw(t, "deep") {
				f.Parent = "a"
			}
			if n == "a" && rapid.IntRange(0, 15).Draw(t, "turned") == 11 {
				f.Parent = "c"
			}
			if f.Parent == n {
				f.Parent = "r"
			}
		}
		for d := range Hours {
			if i == 0 && !odd("not all") {
				for _, x := range universe[d] {
					f.Claims = append(f.Claims, Claim{d, x, at(n)})
				}
				continue
			}
			for _, x := range some(d, max(0, 2-i)) {
				if x != "x" {
					f.Claims = append(f.Claims, Claim{d, x, at(n)})
				}
			}
		}
		for j, x := range universe[Hours] {
			if i == 0 && j != 2 || i == 1 && j == 2 || odd("window") {
				w := Window{Name: x, At: at(n), Days: rapid.SampledFrom([][]string{nil, {"mon"}, {"sun", "wed"}}).Draw(t,
					"days"),
					From:  rapid.SampledFrom([]string{"00:00", "08:00", "20:00"}).Draw(t, "from"),
					Until: rapid.SampledFrom([]string{"04:00", "12:00"}).Draw(t, "until")}
				w.week, _ = week(&w)
				f.Windows = append(f.Windows, w)
			}
		}
		for j := range rapid.IntRange(0, 5).Draw(t, "rules") {
			r := Rule{ID: fmt.Sprint(j), Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), At: at(n),
				Since: day("since")}
			if u := day("until"); r.Since.IsZero() || u.IsZero() || r.Since.Before(u) {
				r.Until = u
			}
			if rapid.Bool().Draw(t, "timed") {
				r.Window = rapid.SampledFrom(universe[Hours][:2]).Draw(t, "window")
				if odd("other window") {
					r.Window = "w3"
				}
			}
			if slices.Contains([]string{"limit", "guarantee", "quota"}, r.Kind) {
				r.Unit = units[0]
				if odd("unit") {
					r.Unit = units[1]
				}
			}
			switch r.Kind {
			case "limit":
				r.Per = rapid.SampledFrom(limitPer).Draw(t, "per")
			case "quota":
				r.Per = rapid.SampledFrom(quotaPer).Draw(t, "per")
			}
			placed := slices.Contains([]string{"only", "never", "require"}, r.Kind)
			if !placed && r.Kind != "freeze" {
				r.Number = number.Draw(t, "number")
				if r.Kind == "further" {
					r.Number /= 5
				}
			}
			if r.Kind != "freeze" {
				r.Tenants, r.RuleSets = some(Tenant, 2), some(RuleSet, 1)
			}
			if placed || r.Kind == "freeze" {
				r.Zones, r.Kinds = some(Zone, 1), some(Kind, 1)
				if !slices.Contains(r.Zones, "x") {
					r.Cells = cells(rapid.SliceOfNDistinct(rapid.SampledFrom(universe[Cell]), 0, 1, rapid.ID[string]).Draw(t,
						"cells"))
				}
			}
			if _, want := r.check(); want == "" {
				f.Rules = append(f.Rules, r)
			}
		}
		for j := range rapid.IntRange(0, 2).Draw(t, "grants") {
			g := Grant{ID: fmt.Sprint(j), To: rapid.SampledFrom([]string{"r", "a", "b", "c"}).Draw(t, "to"), At: at(n),
				Until: day("end"), Revoked: day("revoked")}
			g.Tenants, g.RuleSets, g.Zones, g.Windows = some(Tenant, 2), some(RuleSet, 2), some(Zone, 2), some(Hours,
				1)
			if g.To != n {
				f.Grants = append(f.Grants, g)
			}
		}
		for _, x := range names {
			if x != n && !odd("undelegated") {
				d := Delegate{To: x, At: at(n)}
				if odd("ends") {
					d.Until = day("ends")
				}
				f.Delegates = append(f.Delegates, d)
			}
		}
		files = append(files, f)
	}
	return files
}

func plansOf(t *rapid.T) []Running {
	p := Running{Plan: "p", Names: Names{Zones: []string{"z1"}}}
	if rapid.Bool().Draw(t, "plan ends") {
		p.Until = begin + int64(rapid.IntRange(0, 9).Draw(t, "plan's end"))*weekly/7
	}
	if rapid.Bool().Draw(t, "plan in a cell") {
		p.Zones, p.Cells = nil, []int64{2}
	}
	return []Running{p}
}

// judge knows files and a moment.
type judge struct {
	files map[string]*File
	now   int64
	found map[string]Class
	memo  map[string]any // what was asked before
}

// once asks once.
func once[T any](j *judge, f func() T, a ...any) T {
	k := fmt.Sprint(a...)
	if _, ok := j.memo[k]; !ok {
		j.memo[k] = f()
	}
	return j.memo[k].(T)
}

func (j *judge) say(c Class, key string, a ...any) {
	j.found[c.String()+": "+fmt.Sprintf(key, a...)] = c
}

// up is a namespace and all above; nil where that does not end at the one root.
func (j *judge) up(n string) (all []string) {
	for n != "" {
		if j.files[n] == nil || slices.Contains(all, n) {
			return nil
		}
		all = append(all, n)
		n = j.files[n].Parent
	}
	return all
}

func (j *judge) root() string {
	for _, n := range slices.Sorted(maps.Keys(j.files)) {
		if j.files[n].Parent == "" {
			return n
		}
	}
	return ""
}

func (j *judge) related(n, m string) bool {
	return slices.Contains(j.up(n), m) || slices.Contains(j.up(m), n)
}

func (j *judge) delegation(parent, child string) *Delegate {
	for _, d := range j.files[parent].Delegates {
		if d.To == child {
			return &d
		}
	}
	return nil
}

func (j *judge) stands(n string) bool {
	up := j.up(n)
	if up == nil || up[len(up)-1] != j.root() {
		return false
	}
	for i := range len(up) - 1 {
		if j.delegation(up[i+1], up[i]) == nil {
			return false
		}
	}
	return true
}

// end is when a namespace's delegations end.
func (j *judge) end(n string) int64 {
	end, up := int64(forever), j.up(n)
	for i := range len(up) - 1 {
		d := j.delegation(up[i+1], up[i])
		end = min(end, endOf(d.Until, d.Revoked))
	}
	return end
}

func (f *File) claims(d Dim) (all []string) {
	if d == Hours {
		for _, w := range f.Windows {
			all = append(all, w.Name)
		}
		return all
	}
	for _, c := range f.Claims {
		if c.Dim == d {
			all = append(all, c.Name)
		}
	}
	return all
}

// holds says whether a name is a namespace's by its claims or those that it inherits.
func (j *judge) holds(n string, d Dim, name string) bool {
	for _, m := range j.up(n) {
		if all := j.files[m].claims(d); len(all) > 0 && m != j.root() {
			return slices.Contains(all, name)
		}
	}
	return true
}

func (j *judge) claimants(d Dim, name string) []string {
	return once(j, func() []string { return j.claimantsOf(d, name) }, "claimants", d, name)
}

func (j *judge) claimantsOf(d Dim, name string) (all []string) {
	for _, n := range slices.Sorted(maps.Keys(j.files)) {
		if j.stands(n) && slices.Contains(j.files[n].claims(d), name) {
			all = append(all, n)
		}
	}
	if d == Hours && len(all) > 1 {
		all = all[:1] // the rest is refused; what rests on it is looked at by the first
	}
	return all
}

func (j *judge) owns(n string, d Dim, name string) bool {
	for _, m := range j.claimants(d, name) {
		if d == Hours && !slices.Contains(j.up(n), m) || !j.related(n, m) {
			return false
		}
	}
	return d == Hours || j.holds(n, d, name)
}

// right is until when a namespace may name something; false: never.
func (j *judge) right(n string, d Dim, name string) (end int64, ok bool) {
	if j.owns(n, d, name) {
		return j.end(n), true
	}
	for _, from := range slices.Sorted(maps.Keys(j.files)) {
		if !j.stands(from) || !j.owns(from, d, name) {
			continue
		}
		for _, g := range j.files[from].Grants {
			lists := g.lists()
			lists[Hours] = g.Windows
			if slices.Contains(j.up(n), g.To) && slices.Contains(lists[d], name) {
				end, ok = max(end, min(endOf(g.Until, g.Revoked), j.end(from))), true
			}
		}
	}
	return end, ok
}

// law is a rule that is looked at, with the moments at which it is in force.
type law struct {
	*Rule
	n         string
	own, open map[int64]bool
	end       int64
	cover     map[[2]string]bool // reqs that it is about
}

func (j *judge) window(name string) *Window {
	for i, w := range j.files[j.claimants(Hours, name)[0]].Windows {
		if w.Name == name {
			return &j.files[j.claimants(Hours, name)[0]].Windows[i]
		}
	}
	return nil
}

// opens says by the calendar whether a window is open.
func opens(w *Window, at int64) bool {
	t := time.Unix(0, at).UTC()
	in := func(day time.Time, clock string) time.Time {
		c, _ := time.Parse("15:04", clock)
		return time.Date(day.Year(), day.Month(), day.Day(), c.Hour(), c.Minute(), 0, 0, time.UTC)
	}
	for _, day := range []time.Time{t.AddDate(0, 0, -1), t} {
		if len(w.Days) > 0 && !slices.Contains(w.Days, []string{"sun", "mon", "tue", "wed", "thu", "fri",
			"sat"}[day.Weekday()]) {
			continue
		}
		from, until := in(day, w.From), in(day, w.Until)
		if until.Before(from) {
			until = until.AddDate(0, 0, 1)
		}
		if !t.Before(from) && t.Before(until) {
			return true
		}
	}
	return false
}

func (j *judge) grid(f func(at int64)) {
	for i := range steps {
		f(j.now + i*step)
	}
}

func (j *judge) laws() (all []*law) {
	for _, n := range slices.Sorted(maps.Keys(j.files)) {
		if !j.stands(n) {
			continue
		}
		for i := range j.files[n].Rules {
			r := &j.files[n].Rules[i]
			x, sound := &law{r, n, map[int64]bool{}, map[int64]bool{}, j.end(n), map[[2]string]bool{}}, true
			lists := r.lists()
			if r.Window != "" {
				lists[Hours] = []string{r.Window}
			}
			for d, names := range lists {
				for _, name := range names {
					end, ok := j.right(n, Dim(d), name)
					switch {
					case len(j.claimants(Dim(d), name)) == 0:
						j.say(NoName, "%v %s", r.At, name)
						ok = false
					case !ok:
						j.say(NotOwned, "%v %s", r.At, name)
					}
					sound, x.end = sound && ok, min(x.end, end)
				}
			}
			own := func(from, to Dim) bool {
				return slices.ContainsFunc(j.files[n].Claims, func(c Claim) bool { return c.Dim >= from && c.Dim <= to })
			}
			if ofPlaces := r.Kind == "freeze" || r.Kind == "limit" && r.places(); n != j.root() && (ofPlaces &&
				!r.places() && !own(Zone, Kind) ||
				!ofPlaces && len(r.Tenants)+len(r.RuleSets) == 0 && !own(Tenant, RuleSet)) {
				j.say(NotOwned, "%v ", r.At)
				sound = false
			}
			if !sound {
				continue
			}
			j.grid(func(at int64) {
				if !r.Since.IsZero() && at < r.Since.UnixNano() || !r.Until.IsZero() && at >= r.Until.UnixNano() ||
					r.Window != "" && !opens(j.window(r.Window), at) {
					return
				}
				x.own[at], x.open[at] = true, at < x.end
			})
			reqs(func(t, s string) { x.cover[[2]string{t, s}] = j.about(x, t, s) })
			all = append(all, x)
		}
	}
	return all
}

func (j *judge) covers(x *law, tenant, set string) bool { return x.cover[[2]string{tenant, set}] }

// about says whether a rule is about a req; names that nobody claims are written as "".
func (j *judge) about(x *law, tenant, set string) bool {
	in := func(listed []string, d Dim, name string) bool {
		if len(listed) > 0 {
			return slices.Contains(listed, name)
		}
		return j.holds(x.n, d, name)
	}
	return in(x.Tenants, Tenant, tenant) && in(x.RuleSets, RuleSet, set)
}

func reqs(f func(tenant, set string)) {
	for _, t := range append([]string{""}, universe[Tenant]...) {
		for _, s := range append([]string{""}, universe[RuleSet]...) {
			f(t, s)
		}
	}
}

func (j *judge) within(x, y *law) bool {
	ok := true
	reqs(func(t, s string) { ok = ok && (!j.covers(x, t, s) || j.covers(y, t, s)) })
	return ok
}

func (j *judge) meet(x, y *law) bool {
	ok := false
	reqs(func(t, s string) { ok = ok || j.covers(x, t, s) && j.covers(y, t, s) })
	return ok
}

// bars says whether a placement rule forbids a place.
func bars(x *law, d Dim, name string) bool {
	listed := x.lists()[d]
	return x.Kind == "only" && len(listed) > 0 && !slices.Contains(listed, name) || x.Kind == "never" &&
		slices.Contains(listed, name)
}

// nowhere says whether a req may run nowhere at a moment, by the places that are claimed.
func (j *judge) nowhere(laws []*law, tenant, set string, at int64) bool {
	for d := Zone; d < Hours; d++ {
		claimed, left := 0, 0
		for _, name := range universe[d] {
			if len(j.claimants(d, name)) == 0 {
				continue
			}
			claimed++
			if !slices.ContainsFunc(laws, func(x *law) bool {
				return x.open[at] && j.covers(x, tenant, set) && bars(x,
					d, name)
			}) {
				left++
			}
		}
		if claimed > 0 && left == 0 {
			return true
		}
	}
	return false
}

func (j *judge) frozen(x *law, d Dim, name string) bool {
	if lists := x.lists(); x.places() {
		return slices.Contains(lists[d], name)
	}
	return x.n == j.root() || slices.ContainsFunc(j.files[x.n].Claims, func(c Claim) bool {
		return c.Dim == d &&
			c.Name == name
	})
}

// judged are all conflicts that there are.
func (j *judge) judged(plans []Running) []*law {
	names := slices.Sorted(maps.Keys(j.files))
	for _, n := range names {
		f := j.files[n]
		switch {
		case f.Parent == "" && n != j.root():
			j.say(ClaimedTwice, "%v %v", j.files[j.root()].At, f.At)
		case f.Parent != "" && j.files[f.Parent] == nil:
			j.say(NoName, "%v ", f.At)
		case f.Parent != "":
			m, chain := f.Parent, []string{n}
			for m != n && m != "" && j.files[m] != nil && !slices.Contains(chain, m) {
				chain = append(chain, m)
				m = j.files[m].Parent
			}
			if m == n && slices.Min(chain) == n {
				j.say(Circle, "%v", f.At)
			}
			if up := j.up(n); up != nil && j.delegation(f.Parent, n) == nil {
				j.say(NotOwned, "%v ", f.At)
			}
		}
		for _, d := range f.Delegates {
			if j.files[d.To] == nil {
				j.say(NoName, "%v ", d.At)
			}
		}
		if !j.stands(n) {
			continue
		}
		for _, c := range f.Claims {
			if f.Parent != "" && !j.holds(f.Parent, c.Dim, c.Name) {
				j.say(NotOwned, "%v %s", c.At, c.Name)
			}
		}
		for _, g := range f.Grants {
			if j.files[g.To] == nil {
				j.say(NoName, "%v ", g.At)
			}
			lists := g.lists()
			lists[Hours] = g.Windows
			for d, all := range lists {
				for _, name := range all {
					if len(j.claimants(Dim(d), name)) == 0 {
						j.say(NoName, "%v %s", g.At, name)
					} else if !j.owns(n, Dim(d), name) {
						j.say(NotOwned, "%v %s", g.At, name)
					}
				}
			}
		}
		for _, m := range names[slices.Index(names, n)+1:] {
			if !j.stands(m) {
				continue
			}
			for _, x := range f.Claims {
				for _, y := range j.files[m].Claims {
					if x.Dim == y.Dim && x.Name == y.Name && !j.related(n, m) {
						j.say(ClaimedTwice, "%v %v", x.At, y.At)
					}
				}
			}
			for _, x := range f.Windows {
				for _, y := range j.files[m].Windows {
					if x.Name == y.Name && j.claimants(Hours, x.Name)[0] == n {
						j.say(ClaimedTwice, "%v %v", x.At, y.At)
					}
				}
			}
		}
	}
	laws := j.laws()
	for _, x := range laws {
		if len(x.own) == 0 {
			j.say(Never, "%v", x.At)
		}
		for at := range x.own {
			if at >= x.end {
				j.say(PastGrant, "%v", x.At)
			}
		}
		j.grid(func(at int64) {
			if x.Kind != "freeze" || !x.open[at] {
				return
			}
			for _, p := range plans {
				for d, all := range p.lists() {
					for _, name := range all {
						if (p.Until == 0 || at < p.Until) && j.frozen(x, Dim(d), name) && (len(j.claimants(Dim(d), name)) > 0 ||
							!x.places()) {
							j.say(FrozenPlan, "%v", x.At)
						}
					}
				}
			}
		})
		if x.Kind == "limit" && x.Per == "second" {
			j.grid(func(at int64) {
				if sum, _ := j.sum(laws, x, at); x.open[at] && sum > x.Number {
					j.say(Over, "%v", x.At)
				}
			})
		}
		for _, y := range laws {
			both := false
			for at := range x.open {
				both = both || x.open[at] && y.open[at]
			}
			if !both || !j.meet(x, y) {
				continue
			}
			if x.Kind == "require" {
				for d, all := range x.lists() {
					for _, name := range all {
						if Dim(d) >= Zone && bars(y, Dim(d), name) {
							j.say(Torn, "%v %v", x.At, y.At)
						}
					}
				}
			}
			alike := x.Kind == y.Kind && x.Unit == y.Unit && x.Per == y.Per && slices.Contains([]string{"limit",
				"quota", "value", "further", "deny"}, x.Kind)
			if alike && (x.n == y.n || x.Kind == "value") && x.Number != y.Number && x.Window != "" &&
				y.Window != "" && x.Window != y.Window &&
				(x.At.File < y.At.File || x.At.File == y.At.File && x.At.Line < y.At.Line) {
				j.say(Overlap, "%v %v", x.At, y.At)
			}
		}
	}
	for _, s := range universe[RuleSet] {
		if len(j.claimants(RuleSet, s)) == 0 {
			continue
		}
		for _, t := range append([]string{""}, universe[Tenant]...) {
			j.grid(func(at int64) {
				if j.nowhere(laws, t, s, at) {
					j.say(Nowhere, "%s", s)
				}
			})
		}
	}
	return laws
}

// sum is what is guaranteed within a limit at a moment.
func (j *judge) sum(laws []*law, l *law, at int64) (sum float64, places []Position) {
	for _, g := range laws {
		if g.Kind == "guarantee" && g.Unit == l.Unit && g.open[at] && j.within(g, l) {
			sum += g.Number
			places = append(places, g.At)
		}
	}
	return sum, places
}

// key is a conflict as the judge writes it.
func key(c Conflict) string {
	s := c.Class.String() + ": "
	switch c.Class {
	case ClaimedTwice, Torn, Overlap:
		return s + fmt.Sprint(c.A, " ", c.B)
	case NotOwned, NoName:
		return s + fmt.Sprint(c.A, " ", c.Witness.Name)
	case Nowhere:
		return s + c.Witness.RuleSet
	}
	return s + fmt.Sprint(c.A)
}

// holdsBy checks a conflict by its witness alone.
func (j *judge) holdsBy(c Conflict, laws []*law, plans []Running) bool {
	w := c.Witness
	by := func(p Position) *law {
		i := slices.IndexFunc(laws, func(x *law) bool { return x.At == p })
		if i < 0 {
			return nil
		}
		return laws[i]
	}
	a, b := by(c.A), by(c.B)
	covered := func(x *law) bool { return x.open[w.At] && j.covers(x, w.Tenant, w.RuleSet) }
	named := func(x *law, name string) bool {
		return slices.ContainsFunc(slices.Collect(maps.Values(map[int][]string{0: x.lists()[Zone],
			1: x.lists()[Cell], 2: x.lists()[Kind]})),
			func(all []string) bool { return slices.Contains(all, name) })
	}
	switch c.Class {
	case PastGrant:
		return a.own[w.At] && w.At >= a.end && c.Refused == (a.end <= j.now)
	case Over:
		sum, places := j.sum(laws, a, w.At)
		return a.open[w.At] && sum == w.Amount && a.Number == w.Against && sum > a.Number && slices.Contains(places,
			c.B) && covered(b)
	case Torn:
		return covered(a) && covered(b) && named(a, w.Name) && (bars(b, Zone, w.Name) || bars(b, Cell, w.Name) ||
			bars(b, Kind, w.Name))
	case Nowhere:
		return j.nowhere(laws, w.Tenant, w.RuleSet, w.At) && covered(a) && covered(b)
	case Overlap:
		return covered(a) && covered(b) && a.Number == w.Against && b.Number == w.Amount && a.Number != b.Number
	case FrozenPlan:
		return a.open[w.At] && (plans[0].Until == 0 || w.At < plans[0].Until)
	}
	return true
}

func newJudge(files []*File) *judge {
	j := &judge{files: map[string]*File{}, now: begin, found: map[string]Class{}, memo: map[string]any{}}
	for _, f := range files {
		j.files[f.Namespace] = f
	}
	return j
}

// No conflict is missed, none is false, and each witness shows what it says.
func TestJudge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		files, plans := world(t), plansOf(t)
		c, j := Merge(files, begin, plans), newJudge(files)
		laws := j.judged(plans)
		got := map[string]Class{}
		for _, x := range c.Conflicts {
			got[key(x)] = x.Class
			if _, ok := j.found[key(x)]; !ok {
				t.Errorf("false: %v (%s)", x, key(x))
			} else if !j.holdsBy(x, laws, plans) {
				t.Errorf("the witness shows nothing: %v", x)
			}
		}
		for k := range j.found {
			if _, ok := got[k]; !ok {
				t.Errorf("missed: %s", k)
			}
		}
	})
}

// A charter changed in a few rules is what all files merged are.
func TestChange(t *testing.T) {
	same, taken := 0, 0
	try := rapid.Custom(func(t *rapid.T) string {
		files, plans := world(t), plansOf(t)
		c := Merge(files, begin, plans)
		at := begin + int64(rapid.IntRange(0, 9).Draw(t, "later"))*step
		i := rapid.IntRange(0, len(files)-1).Draw(t, "which")
		f := *files[i]
		f.Rules = slices.Clone(f.Rules)
		if n := len(f.Rules); n > 0 {
			if f.Rules[0].Number > 0 {
				f.Rules[0].Number = rapid.SampledFrom([]float64{0, 1, 4}).Draw(t, "new") / 4
			}
			if f.Rules = append(f.Rules, Rule{ID: "new", Kind: "value", At: Position{f.Namespace,
				999}}); rapid.Bool().Draw(t, "out") {
				f.Rules = f.Rules[1:]
			}
		}
		next := slices.Clone(files)
		next[i] = &f
		got, want := c.Change(next, at, plans), Merge(next, at, plans)
		if taken++; len(c.Refused()) == 0 {
			same++
		}
		if !reflect.DeepEqual(got.Conflicts, want.Conflicts) || !reflect.DeepEqual(got.Effects(at),
			want.Effects(at)) {
			return fmt.Sprintf("got %v, want %v", got.Conflicts, want.Conflicts)
		}
		return ""
	})
	for seed := range 600 {
		if wrong := try.Example(seed); wrong != "" {
			t.Fatalf("%d: %s", seed, wrong)
		}
	}
	if t.Logf("%d of %d from charters that were taken", same, taken); same < 20 {
		t.Error("too few")
	}
}
