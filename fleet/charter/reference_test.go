package charter

// This file holds a reference implementation that finds the conflicts of small charters by trying every request,
// every place and every time, by the definitions of docs/charter.md alone.

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
	gridStep  = 4 * 60 * minute // all times in the drawn charters are multiples of it
	startTime = 100*weekLength - mondayOffset
	gridSteps = 5 * weekLength / gridStep // after the last start, everything repeats each week
)

var universe = [dimensionCount][]string{{"t1", "t2", "t3"}, {"s1", "s2"}, {"z1", "z2"}, {"1", "2"}, {"k1"}, {"w1", "w2",
	"w3"}}

// randomFiles draws the files of a few namespaces. Most form a valid tree, so that their rules are checked; some do
// not.
func randomFiles(t *rapid.T) []*File {
	names := []string{"r", "a", "b", "c"}[:rapid.IntRange(1, 4).Draw(t, "namespaces")]
	line := 0
	nextPosition := func(n string) Position { line++; return Position{n, line} }
	// rapid draws small numbers more often than others, so a rare event depends on a number in the middle of the range.
	rarely := func(what string) bool { return rapid.IntRange(0, 40).Draw(t, what) == 29 }
	day := func(what string) time.Time {
		if rapid.IntRange(0, 9).Draw(t, what) < 7 {
			return time.Time{}
		}
		return time.Unix(0, startTime+int64(rapid.IntRange(-3, 12).Draw(t, what))*weekLength/7).UTC()
	}
	some := func(d Dimension, most int) []string {
		if rarely("unknown") {
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
		f := &File{Format: Format, Namespace: n, Team: n, At: nextPosition(n)}
		if i > 0 {
			f.Parent = "r"
			if rarely("parent") {
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
		for d := range WindowName {
			if i == 0 && !rarely("not all") {
				for _, x := range universe[d] {
					f.Claims = append(f.Claims, Claim{d, x, nextPosition(n)})
				}
				continue
			}
			for _, x := range some(d, max(0, 2-i)) {
				if x != "x" {
					f.Claims = append(f.Claims, Claim{d, x, nextPosition(n)})
				}
			}
		}
		for j, x := range universe[WindowName] {
			if i == 0 && j != 2 || i == 1 && j == 2 || rarely("window") {
				w := Window{Name: x, At: nextPosition(n), Days: rapid.SampledFrom([][]string{nil, {"mon"}, {"sun", "wed"}}).Draw(t,
					"days"),
					From:  rapid.SampledFrom([]string{"00:00", "08:00", "20:00"}).Draw(t, "from"),
					Until: rapid.SampledFrom([]string{"04:00", "12:00"}).Draw(t, "until")}
				w.weekSpans, _ = parseWeek(&w)
				f.Windows = append(f.Windows, w)
			}
		}
		for j := range rapid.IntRange(0, 5).Draw(t, "rules") {
			r := Rule{ID: fmt.Sprint(j), Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), At: nextPosition(n),
				Since: day("since")}
			if u := day("until"); r.Since.IsZero() || u.IsZero() || r.Since.Before(u) {
				r.Until = u
			}
			if rapid.Bool().Draw(t, "timed") {
				r.Window = rapid.SampledFrom(universe[WindowName][:2]).Draw(t, "window")
				if rarely("other window") {
					r.Window = "w3"
				}
			}
			if slices.Contains([]string{"limit", "guarantee", "quota"}, r.Kind) {
				r.Unit = units[0]
				if rarely("unit") {
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
			g := Grant{ID: fmt.Sprint(j), To: rapid.SampledFrom([]string{"r", "a", "b", "c"}).Draw(t, "to"), At: nextPosition(n),
				Until: day("end"), Revoked: day("revoked")}
			g.Tenants, g.RuleSets, g.Zones, g.Windows = some(Tenant, 2), some(RuleSet, 2), some(Zone, 2), some(WindowName,
				1)
			if g.To != n {
				f.Grants = append(f.Grants, g)
			}
		}
		for _, x := range names {
			if x != n && !rarely("undelegated") {
				d := Delegate{To: x, At: nextPosition(n)}
				if rarely("ends") {
					d.Until = day("ends")
				}
				f.Delegates = append(f.Delegates, d)
			}
		}
		files = append(files, f)
	}
	return files
}

// randomPlans draws a running plan.
func randomPlans(t *rapid.T) []RunningPlan {
	p := RunningPlan{Plan: "p", Names: Names{Zones: []string{"z1"}}}
	if rapid.Bool().Draw(t, "plan ends") {
		p.Until = startTime + int64(rapid.IntRange(0, 9).Draw(t, "plan's end"))*weekLength/7
	}
	if rapid.Bool().Draw(t, "plan in a cell") {
		p.Zones, p.Cells = nil, []int64{2}
	}
	return []RunningPlan{p}
}

// reference finds the conflicts of files from a time on.
type reference struct {
	files map[string]*File
	now   int64
	found map[string]Class
	cache map[string]any // results of cached
}

// cached returns the result of f, which is called once for each key a.
func cached[T any](ref *reference, f func() T, a ...any) T {
	k := fmt.Sprint(a...)
	if _, ok := ref.cache[k]; !ok {
		ref.cache[k] = f()
	}
	return ref.cache[k].(T)
}

// report records a conflict by its key.
func (ref *reference) report(c Class, key string, a ...any) {
	ref.found[c.String()+": "+fmt.Sprintf(key, a...)] = c
}

// ancestors returns a namespace and its ancestors, or nil if there is a cycle or an unknown parent.
func (ref *reference) ancestors(n string) (all []string) {
	for n != "" {
		if ref.files[n] == nil || slices.Contains(all, n) {
			return nil
		}
		all = append(all, n)
		n = ref.files[n].Parent
	}
	return all
}

func (ref *reference) root() string {
	for _, n := range slices.Sorted(maps.Keys(ref.files)) {
		if ref.files[n].Parent == "" {
			return n
		}
	}
	return ""
}

// related reports whether one of two namespaces is an ancestor of the other.
func (ref *reference) related(n, m string) bool {
	return slices.Contains(ref.ancestors(n), m) || slices.Contains(ref.ancestors(m), n)
}

func (ref *reference) delegation(parent, child string) *Delegate {
	for _, d := range ref.files[parent].Delegates {
		if d.To == child {
			return &d
		}
	}
	return nil
}

func (ref *reference) attached(n string) bool {
	up := ref.ancestors(n)
	if up == nil || up[len(up)-1] != ref.root() {
		return false
	}
	for i := range len(up) - 1 {
		if ref.delegation(up[i+1], up[i]) == nil {
			return false
		}
	}
	return true
}

// end returns when the first of a namespace's delegations ends.
func (ref *reference) end(n string) int64 {
	end, up := int64(forever), ref.ancestors(n)
	for i := range len(up) - 1 {
		d := ref.delegation(up[i+1], up[i])
		end = min(end, endTime(d.Until, d.Revoked))
	}
	return end
}

func (f *File) claims(d Dimension) (all []string) {
	if d == WindowName {
		for _, w := range f.Windows {
			all = append(all, w.Name)
		}
		return all
	}
	for _, c := range f.Claims {
		if c.Dimension == d {
			all = append(all, c.Name)
		}
	}
	return all
}

// holds reports whether a namespace holds a name by its claims or by those that it inherits.
func (ref *reference) holds(n string, d Dimension, name string) bool {
	for _, m := range ref.ancestors(n) {
		if all := ref.files[m].claims(d); len(all) > 0 && m != ref.root() {
			return slices.Contains(all, name)
		}
	}
	return true
}

func (ref *reference) claimants(d Dimension, name string) []string {
	return cached(ref, func() []string { return ref.claimantsOf(d, name) }, "claimants", d, name)
}

func (ref *reference) claimantsOf(d Dimension, name string) (all []string) {
	for _, n := range slices.Sorted(maps.Keys(ref.files)) {
		if ref.attached(n) && slices.Contains(ref.files[n].claims(d), name) {
			all = append(all, n)
		}
	}
	if d == WindowName && len(all) > 1 {
		all = all[:1] // the others are refused; rules that use the window are checked by the first
	}
	return all
}

func (ref *reference) owns(n string, d Dimension, name string) bool {
	for _, m := range ref.claimants(d, name) {
		if d == WindowName && !slices.Contains(ref.ancestors(n), m) || !ref.related(n, m) {
			return false
		}
	}
	return d == WindowName || ref.holds(n, d, name)
}

// mayUse returns until when a namespace may use a name, or false if it may not.
func (ref *reference) mayUse(n string, d Dimension, name string) (end int64, ok bool) {
	if ref.owns(n, d, name) {
		return ref.end(n), true
	}
	for _, from := range slices.Sorted(maps.Keys(ref.files)) {
		if !ref.attached(from) || !ref.owns(from, d, name) {
			continue
		}
		for _, g := range ref.files[from].Grants {
			lists := g.byDimension()
			lists[WindowName] = g.Windows
			if slices.Contains(ref.ancestors(n), g.To) && slices.Contains(lists[d], name) {
				end, ok = max(end, min(endTime(g.Until, g.Revoked), ref.end(from))), true
			}
		}
	}
	return end, ok
}

// refRule is a valid rule, with the times at which it is in force.
type refRule struct {
	*Rule
	n         string
	own, open map[int64]bool
	end       int64
	scope     map[[2]string]bool // requests that the rule applies to
}

func (ref *reference) window(name string) *Window {
	for i, w := range ref.files[ref.claimants(WindowName, name)[0]].Windows {
		if w.Name == name {
			return &ref.files[ref.claimants(WindowName, name)[0]].Windows[i]
		}
	}
	return nil
}

// windowOpen reports whether a window is open, by the calendar.
func windowOpen(w *Window, at int64) bool {
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

func (ref *reference) eachMoment(f func(at int64)) {
	for i := range gridSteps {
		f(ref.now + i*gridStep)
	}
}

func (ref *reference) rules() (all []*refRule) {
	for _, n := range slices.Sorted(maps.Keys(ref.files)) {
		if !ref.attached(n) {
			continue
		}
		for i := range ref.files[n].Rules {
			r := &ref.files[n].Rules[i]
			x, sound := &refRule{r, n, map[int64]bool{}, map[int64]bool{}, ref.end(n), map[[2]string]bool{}}, true
			lists := r.byDimension()
			if r.Window != "" {
				lists[WindowName] = []string{r.Window}
			}
			for d, names := range lists {
				for _, name := range names {
					end, ok := ref.mayUse(n, Dimension(d), name)
					switch {
					case len(ref.claimants(Dimension(d), name)) == 0:
						ref.report(UnknownName, "%v %s", r.At, name)
						ok = false
					case !ok:
						ref.report(NotOwned, "%v %s", r.At, name)
					}
					sound, x.end = sound && ok, min(x.end, end)
				}
			}
			own := func(from, to Dimension) bool {
				return slices.ContainsFunc(ref.files[n].Claims, func(c Claim) bool { return c.Dimension >= from && c.Dimension <= to })
			}
			if ofPlaces := r.Kind == "freeze" || r.Kind == "limit" && r.namesPlaces(); n != ref.root() && (ofPlaces &&
				!r.namesPlaces() && !own(Zone, Kind) ||
				!ofPlaces && len(r.Tenants)+len(r.RuleSets) == 0 && !own(Tenant, RuleSet)) {
				ref.report(NotOwned, "%v ", r.At)
				sound = false
			}
			if !sound {
				continue
			}
			ref.eachMoment(func(at int64) {
				if !r.Since.IsZero() && at < r.Since.UnixNano() || !r.Until.IsZero() && at >= r.Until.UnixNano() ||
					r.Window != "" && !windowOpen(ref.window(r.Window), at) {
					return
				}
				x.own[at], x.open[at] = true, at < x.end
			})
			eachRequest(func(t, s string) { x.scope[[2]string{t, s}] = ref.about(x, t, s) })
			all = append(all, x)
		}
	}
	return all
}

func (ref *reference) covers(x *refRule, tenant, set string) bool {
	return x.scope[[2]string{tenant, set}]
}

// about reports whether a rule applies to a request; "" stands for names that nobody claims.
func (ref *reference) about(x *refRule, tenant, set string) bool {
	in := func(listed []string, d Dimension, name string) bool {
		if len(listed) > 0 {
			return slices.Contains(listed, name)
		}
		return ref.holds(x.n, d, name)
	}
	return in(x.Tenants, Tenant, tenant) && in(x.RuleSets, RuleSet, set)
}

func eachRequest(f func(tenant, set string)) {
	for _, t := range append([]string{""}, universe[Tenant]...) {
		for _, s := range append([]string{""}, universe[RuleSet]...) {
			f(t, s)
		}
	}
}

func (ref *reference) within(x, y *refRule) bool {
	ok := true
	eachRequest(func(t, s string) { ok = ok && (!ref.covers(x, t, s) || ref.covers(y, t, s)) })
	return ok
}

func (ref *reference) meet(x, y *refRule) bool {
	ok := false
	eachRequest(func(t, s string) { ok = ok || ref.covers(x, t, s) && ref.covers(y, t, s) })
	return ok
}

// forbids reports whether a placement rule forbids a place.
func forbids(x *refRule, d Dimension, name string) bool {
	listed := x.byDimension()[d]
	return x.Kind == "only" && len(listed) > 0 && !slices.Contains(listed, name) || x.Kind == "never" &&
		slices.Contains(listed, name)
}

// nowhere reports whether a request may run nowhere at a time, among the claimed places.
func (ref *reference) nowhere(rules []*refRule, tenant, set string, at int64) bool {
	for d := Zone; d < WindowName; d++ {
		claimed, left := 0, 0
		for _, name := range universe[d] {
			if len(ref.claimants(d, name)) == 0 {
				continue
			}
			claimed++
			if !slices.ContainsFunc(rules, func(x *refRule) bool {
				return x.open[at] && ref.covers(x, tenant, set) && forbids(x,
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

// frozen reports whether a freeze applies to a place.
func (ref *reference) frozen(x *refRule, d Dimension, name string) bool {
	if lists := x.byDimension(); x.namesPlaces() {
		return slices.Contains(lists[d], name)
	}
	return x.n == ref.root() || slices.ContainsFunc(ref.files[x.n].Claims, func(c Claim) bool {
		return c.Dimension == d &&
			c.Name == name
	})
}

// check finds all conflicts and returns the valid rules.
func (ref *reference) check(plans []RunningPlan) []*refRule {
	names := slices.Sorted(maps.Keys(ref.files))
	for _, n := range names {
		f := ref.files[n]
		switch {
		case f.Parent == "" && n != ref.root():
			ref.report(ClaimedTwice, "%v %v", ref.files[ref.root()].At, f.At)
		case f.Parent != "" && ref.files[f.Parent] == nil:
			ref.report(UnknownName, "%v ", f.At)
		case f.Parent != "":
			m, chain := f.Parent, []string{n}
			for m != n && m != "" && ref.files[m] != nil && !slices.Contains(chain, m) {
				chain = append(chain, m)
				m = ref.files[m].Parent
			}
			if m == n && slices.Min(chain) == n {
				ref.report(DelegationCycle, "%v", f.At)
			}
			if up := ref.ancestors(n); up != nil && ref.delegation(f.Parent, n) == nil {
				ref.report(NotOwned, "%v ", f.At)
			}
		}
		for _, d := range f.Delegates {
			if ref.files[d.To] == nil {
				ref.report(UnknownName, "%v ", d.At)
			}
		}
		if !ref.attached(n) {
			continue
		}
		for _, c := range f.Claims {
			if f.Parent != "" && !ref.holds(f.Parent, c.Dimension, c.Name) {
				ref.report(NotOwned, "%v %s", c.At, c.Name)
			}
		}
		for _, g := range f.Grants {
			if ref.files[g.To] == nil {
				ref.report(UnknownName, "%v ", g.At)
			}
			lists := g.byDimension()
			lists[WindowName] = g.Windows
			for d, all := range lists {
				for _, name := range all {
					if len(ref.claimants(Dimension(d), name)) == 0 {
						ref.report(UnknownName, "%v %s", g.At, name)
					} else if !ref.owns(n, Dimension(d), name) {
						ref.report(NotOwned, "%v %s", g.At, name)
					}
				}
			}
		}
		for _, m := range names[slices.Index(names, n)+1:] {
			if !ref.attached(m) {
				continue
			}
			for _, x := range f.Claims {
				for _, y := range ref.files[m].Claims {
					if x.Dimension == y.Dimension && x.Name == y.Name && !ref.related(n, m) {
						ref.report(ClaimedTwice, "%v %v", x.At, y.At)
					}
				}
			}
			for _, x := range f.Windows {
				for _, y := range ref.files[m].Windows {
					if x.Name == y.Name && ref.claimants(WindowName, x.Name)[0] == n {
						ref.report(ClaimedTwice, "%v %v", x.At, y.At)
					}
				}
			}
		}
	}
	rules := ref.rules()
	for _, x := range rules {
		if len(x.own) == 0 {
			ref.report(NeverApplies, "%v", x.At)
		}
		for at := range x.own {
			if at >= x.end {
				ref.report(UsedPastEnd, "%v", x.At)
			}
		}
		ref.eachMoment(func(at int64) {
			if x.Kind != "freeze" || !x.open[at] {
				return
			}
			for _, p := range plans {
				for d, all := range p.byDimension() {
					for _, name := range all {
						if (p.Until == 0 || at < p.Until) && ref.frozen(x, Dimension(d), name) && (len(ref.claimants(Dimension(d), name)) > 0 ||
							!x.namesPlaces()) {
							ref.report(FrozenPlan, "%v", x.At)
						}
					}
				}
			}
		})
		if x.Kind == "limit" && x.Per == "second" {
			ref.eachMoment(func(at int64) {
				if sum, _ := ref.sum(rules, x, at); x.open[at] && sum > x.Number {
					ref.report(OverLimit, "%v", x.At)
				}
			})
		}
		for _, y := range rules {
			both := false
			for at := range x.open {
				both = both || x.open[at] && y.open[at]
			}
			if !both || !ref.meet(x, y) {
				continue
			}
			if x.Kind == "require" {
				for d, all := range x.byDimension() {
					for _, name := range all {
						if Dimension(d) >= Zone && forbids(y, Dimension(d), name) {
							ref.report(RequiredForbidden, "%v %v", x.At, y.At)
						}
					}
				}
			}
			alike := x.Kind == y.Kind && x.Unit == y.Unit && x.Per == y.Per && slices.Contains([]string{"limit",
				"quota", "value", "further", "deny"}, x.Kind)
			if alike && (x.n == y.n || x.Kind == "value") && x.Number != y.Number && x.Window != "" &&
				y.Window != "" && x.Window != y.Window &&
				(x.At.File < y.At.File || x.At.File == y.At.File && x.At.Line < y.At.Line) {
				ref.report(Overlap, "%v %v", x.At, y.At)
			}
		}
	}
	for _, s := range universe[RuleSet] {
		if len(ref.claimants(RuleSet, s)) == 0 {
			continue
		}
		for _, t := range append([]string{""}, universe[Tenant]...) {
			ref.eachMoment(func(at int64) {
				if ref.nowhere(rules, t, s, at) {
					ref.report(NowhereToRun, "%s", s)
				}
			})
		}
	}
	return rules
}

// sum returns the sum of the guarantees within a limit at a time, and their positions.
func (ref *reference) sum(rules []*refRule, l *refRule, at int64) (sum float64, places []Position) {
	for _, g := range rules {
		if g.Kind == "guarantee" && g.Unit == l.Unit && g.open[at] && ref.within(g, l) {
			sum += g.Number
			places = append(places, g.At)
		}
	}
	return sum, places
}

// conflictKey returns a conflict's key in the form of report.
func conflictKey(c Conflict) string {
	s := c.Class.String() + ": "
	switch c.Class {
	case ClaimedTwice, RequiredForbidden, Overlap:
		return s + fmt.Sprint(c.A, " ", c.B)
	case NotOwned, UnknownName:
		return s + fmt.Sprint(c.A, " ", c.Witness.Name)
	case NowhereToRun:
		return s + c.Witness.RuleSet
	}
	return s + fmt.Sprint(c.A)
}

// witnessHolds verifies a conflict by its witness alone.
func (ref *reference) witnessHolds(c Conflict, rules []*refRule, plans []RunningPlan) bool {
	w := c.Witness
	by := func(p Position) *refRule {
		i := slices.IndexFunc(rules, func(x *refRule) bool { return x.At == p })
		if i < 0 {
			return nil
		}
		return rules[i]
	}
	a, b := by(c.A), by(c.B)
	covered := func(x *refRule) bool { return x.open[w.At] && ref.covers(x, w.Tenant, w.RuleSet) }
	named := func(x *refRule, name string) bool {
		return slices.ContainsFunc(slices.Collect(maps.Values(map[int][]string{0: x.byDimension()[Zone],
			1: x.byDimension()[Cell], 2: x.byDimension()[Kind]})),
			func(all []string) bool { return slices.Contains(all, name) })
	}
	switch c.Class {
	case UsedPastEnd:
		return a.own[w.At] && w.At >= a.end && c.Refused == (a.end <= ref.now)
	case OverLimit:
		sum, places := ref.sum(rules, a, w.At)
		return a.open[w.At] && sum == w.Amount && a.Number == w.Against && sum > a.Number && slices.Contains(places,
			c.B) && covered(b)
	case RequiredForbidden:
		return covered(a) && covered(b) && named(a, w.Name) && (forbids(b, Zone, w.Name) || forbids(b, Cell, w.Name) ||
			forbids(b, Kind, w.Name))
	case NowhereToRun:
		return ref.nowhere(rules, w.Tenant, w.RuleSet, w.At) && covered(a) && covered(b)
	case Overlap:
		return covered(a) && covered(b) && a.Number == w.Against && b.Number == w.Amount && a.Number != b.Number
	case FrozenPlan:
		return a.open[w.At] && (plans[0].Until == 0 || w.At < plans[0].Until)
	}
	return true
}

func newReference(files []*File) *reference {
	ref := &reference{files: map[string]*File{}, now: startTime, found: map[string]Class{}, cache: map[string]any{}}
	for _, f := range files {
		ref.files[f.Namespace] = f
	}
	return ref
}

// All conflicts are found, none is false, and each witness shows its conflict.
func TestConflictsAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		files, plans := randomFiles(t), randomPlans(t)
		c, ref := Merge(files, startTime, plans), newReference(files)
		rules := ref.check(plans)
		got := map[string]Class{}
		for _, x := range c.Conflicts {
			got[conflictKey(x)] = x.Class
			if _, ok := ref.found[conflictKey(x)]; !ok {
				t.Errorf("false conflict: %v (%s)", x, conflictKey(x))
			} else if !ref.witnessHolds(x, rules, plans) {
				t.Errorf("the witness does not show the conflict: %v", x)
			}
		}
		for k := range ref.found {
			if _, ok := got[k]; !ok {
				t.Errorf("missed conflict: %s", k)
			}
		}
	})
}

// Change gives the same charter as merging all files.
func TestChangeEqualsMerge(t *testing.T) {
	accepted, total := 0, 0
	generator := rapid.Custom(func(t *rapid.T) string {
		files, plans := randomFiles(t), randomPlans(t)
		c := Merge(files, startTime, plans)
		at := startTime + int64(rapid.IntRange(0, 9).Draw(t, "later"))*gridStep
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
		if total++; len(c.Refused()) == 0 {
			accepted++
		}
		if !reflect.DeepEqual(got.Conflicts, want.Conflicts) || !reflect.DeepEqual(got.Effects(at),
			want.Effects(at)) {
			return fmt.Sprintf("got %v, want %v", got.Conflicts, want.Conflicts)
		}
		return ""
	})
	for seed := range 600 {
		if problem := generator.Example(seed); problem != "" {
			t.Fatalf("%d: %s", seed, problem)
		}
	}
	if t.Logf("%d of %d from charters without refused conflicts", accepted, total); accepted < 20 {
		t.Error("too few charters without refused conflicts")
	}
}
