// Package charter is who may set what in a fleet: teams own namespaces in a tree, each by a file that claims
// names, sets rules on them and grants their use to others; all files together are one charter. It owns the
// files' schema, how rules of many files become one picture, what in them contradicts, and how one edition
// follows another. Free of I/O: bytes are handed in. It must never limit, place or deny a req itself, nor
// look at a clock.
//
// This file owns one file's schema and its reading.
package charter

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"ivybank/conf"
)

// Format is what a charter file says it is.
const Format = "ivybank/fleet/charter/1"

const mostName = 64 // bytes of a name

// Dim is what a name is the name of.
type Dim uint8

// The kinds of names. Zones, cells and kinds are how servers are named.
const (
	Tenant Dim = iota
	RuleSet
	Zone
	Cell
	Kind
	Hours // a window, by its name
	dims
)

func (d Dim) String() string {
	return [...]string{"tenant", "rule set", "zone", "cell", "kind", "window"}[d]
}

var fields = [dims]string{"tenants", "rulesets", "zones", "cells", "kinds", "windows"}

// Position is where in which file something stands.
type Position struct {
	File string
	Line int
}

func (p Position) String() string { return p.File + ":" + strconv.Itoa(p.Line) }

// Names are names of all kinds as files list them.
type Names struct {
	Tenants  []string `toml:"tenants"`
	RuleSets []string `toml:"rulesets"`
	Zones    []string `toml:"zones"`
	Cells    []int64  `toml:"cells"`
	Kinds    []string `toml:"kinds"`
}

func (n *Names) lists() (all [dims][]string) {
	all = [dims][]string{Tenant: n.Tenants, RuleSet: n.RuleSets, Zone: n.Zones, Kind: n.Kinds}
	for _, c := range n.Cells {
		all[Cell] = append(all[Cell], strconv.FormatInt(c, 10))
	}
	return all
}

func (n *Names) places() bool { return len(n.Zones)+len(n.Cells)+len(n.Kinds) > 0 }

// Window is a window of work, each week the same, UTC.
type Window struct {
	Name  string   `toml:"name"`
	Days  []string `toml:"days"` // those on which it opens, as "mon"; empty: all
	From  string   `toml:"from"` // as "22:00"
	Until string   `toml:"until"`
	At    Position `toml:"-"`
	week  []part
}

// Rule is one thing that a namespace sets. Where it names no tenants or no rule sets it is about all that the
// namespace has.
type Rule struct {
	ID     string  `toml:"id"`
	Kind   string  `toml:"kind"` // limit, guarantee, quota, value, further, only, never, require, deny or freeze
	Unit   string  `toml:"unit"` // reqs, cost or worth
	Per    string  `toml:"per"`  // a limit: second or in_flight; a quota: minute, hour, day or month
	Number float64 `toml:"number"`
	Names
	Window string    `toml:"window"`
	Since  time.Time `toml:"since"`
	Until  time.Time `toml:"until"`
	At     Position  `toml:"-"`
}

// Grant lets another namespace name what this one owns.
type Grant struct {
	ID string `toml:"id"`
	To string `toml:"to"`
	Names
	Windows []string  `toml:"windows"`
	Until   time.Time `toml:"until"`
	Revoked time.Time `toml:"revoked"`
	At      Position  `toml:"-"`
}

// Delegate lets another namespace be a child of this one.
type Delegate struct {
	To      string    `toml:"to"`
	Until   time.Time `toml:"until"`
	Revoked time.Time `toml:"revoked"`
	At      Position  `toml:"-"`
}

// Claim is one name that a namespace owns.
type Claim struct {
	Dim  Dim
	Name string
	At   Position
}

// File is a namespace as its team writes it.
type File struct {
	Format    string     `toml:"format"`
	Namespace string     `toml:"namespace"`
	Team      string     `toml:"team"`
	Parent    string     `toml:"parent"` // empty: the root of all
	Listed    Names      `toml:"claims"`
	Windows   []Window   `toml:"window"`
	Rules     []Rule     `toml:"rule"`
	Grants    []Grant    `toml:"grant"`
	Delegates []Delegate `toml:"delegate"`
	Claims    []Claim    `toml:"-"`
	At        Position   `toml:"-"`
}

// Read reads and checks one. A fault is told with file, line and field.
func Read(path string, text []byte) (*File, error) {
	x := &File{}
	f, err := conf.Read(path, text, x)
	if err != nil {
		return nil, err
	}
	at := func(field string) Position {
		var fault *conf.FieldError
		errors.As(f.FieldErrorf(field, ""), &fault)
		return Position{path, fault.Line}
	}
	x.At = at("namespace")
	for d, names := range x.Listed.lists() {
		for _, n := range names {
			x.Claims = append(x.Claims, Claim{Dim(d), n, at("claims." + fields[d])})
		}
	}
	x.Listed = Names{}
	rules := []conf.Rule{
		{Violated: x.Format != Format, Field: "format", Expected: fmt.Sprintf("expected %q", Format)},
		{Violated: !sound(x.Namespace), Field: "namespace", Expected: fmt.Sprintf("expected a name, %d bytes at the most",
			mostName)},
		{Violated: x.Team == "", Field: "team", Expected: "expected who owns it"},
		{Violated: x.Parent == x.Namespace, Field: "parent", Expected: "expected another namespace"},
	}
	had := map[string]bool{}
	own := func(what, name string) bool { // a name that nothing of the same kind has had
		key := what + " " + name
		ok := sound(name) && !had[key]
		had[key] = true
		return ok
	}
	for _, c := range x.Claims {
		rules = append(rules, conf.Rule{Violated: !own(fields[c.Dim], c.Name), Field: "claims." + fields[c.Dim],
			Expected: fmt.Sprintf("%q: expected names, each once", c.Name)})
	}
	for i := range x.Windows {
		w, p := &x.Windows[i], fmt.Sprintf("window.%d.", i)
		w.At = at(p + "name")
		var bad string
		w.week, bad = week(w)
		rules = append(rules, conf.Rule{Violated: !own("window", w.Name), Field: p + "name",
			Expected: "expected a name of its own"},
			conf.Rule{Violated: bad != "", Field: p + bad, Expected: "expected days as \"mon\", and other times of the day " +
				"as \"22:00\""})
	}
	for i := range x.Rules {
		r, p := &x.Rules[i], fmt.Sprintf("rule.%d.", i)
		r.At = at(p + "id")
		field, want := r.check()
		rules = append(rules, conf.Rule{Violated: !own("rule", r.ID), Field: p + "id",
			Expected: "expected an id of its own"},
			offset(p+"since", r.Since), offset(p+"until", r.Until),
			conf.Rule{Violated: want != "", Field: p + field, Expected: want})
	}
	for i := range x.Grants {
		g, p := &x.Grants[i], fmt.Sprintf("grant.%d.", i)
		g.At = at(p + "id")
		rules = append(rules, conf.Rule{Violated: !own("grant", g.ID), Field: p + "id",
			Expected: "expected an id of its own"},
			offset(p+"until", g.Until), offset(p+"revoked", g.Revoked),
			conf.Rule{Violated: !sound(g.To) || g.To == x.Namespace, Field: p + "to", Expected: "expected another namespace"})
	}
	for i := range x.Delegates {
		d, p := &x.Delegates[i], fmt.Sprintf("delegate.%d.", i)
		d.At = at(p + "to")
		rules = append(rules, conf.Rule{Violated: !own("delegate", d.To) || d.To == x.Namespace, Field: p + "to",
			Expected: "expected another namespace, once"}, offset(p+"until", d.Until), offset(p+"revoked", d.Revoked))
	}
	return x, f.CheckRules("", rules)
}

// offset is the fault of a moment without an offset: what it is would hang on where it is read.
func offset(field string, t time.Time) conf.Rule {
	return conf.Rule{Violated: t.Location() == time.Local, Field: field,
		Expected: "expected an offset, as 2027-01-01T00:00:00Z"}
}

func sound(name string) bool { return name != "" && len(name) <= mostName }

var units = []string{"reqs", "cost", "worth"}
var limitPer = []string{"second", "in_flight"}
var quotaPer = []string{"minute", "hour", "day", "month"}
var placedKinds = []string{"only", "never", "require"}
var ruleKinds = []string{"limit", "guarantee", "quota", "value", "further", "only", "never", "require",
	"deny", "freeze"}

// Places in ruleKinds of those that are looked up by.
const (
	limits, guarantees, only, never, require, freezes, kinds = 0, 1, 5, 6, 7, 9, 10
)

// check names the field of a rule that is wrong and what was expected there.
func (r *Rule) check() (field, want string) {
	counted := slices.Contains([]string{"limit", "guarantee", "quota"}, r.Kind)
	placed := slices.Contains(placedKinds, r.Kind)
	per := map[string][]string{"limit": limitPer, "quota": quotaPer}[r.Kind]
	most := map[string]float64{"further": 1, "deny": 254, "only": 0, "never": 0, "require": 0, "freeze": 0}
	top, bounded := most[r.Kind]
	reqs := len(r.Tenants)+len(r.RuleSets) > 0
	switch {
	case !slices.Contains(ruleKinds, r.Kind):
		return "kind", fmt.Sprintf("expected one of %v", ruleKinds)
	case counted != slices.Contains(units, r.Unit) || !counted && r.Unit != "":
		return "unit", "expected reqs, cost or worth at a limit, a guarantee or a quota, and nowhere else"
	case per != nil && !slices.Contains(per, r.Per) || per == nil && r.Per != "":
		return "per", "expected second or in_flight at a limit, minute, hour, day or month at a quota, and " +
			"nowhere else"
	case !(r.Number >= 0) || math.IsInf(r.Number, 0) || bounded && r.Number > top:
		return "number", "expected 0 or more; further: up to 1; deny: up to 254; none at placement and freezes"
	case r.Kind == "deny" && r.Number != math.Trunc(r.Number):
		return "number", "expected a whole number"
	case placed && !r.places():
		return "zones", "expected zones, cells or kinds"
	case !placed && r.Kind != "limit" && r.Kind != "freeze" && r.places():
		return "zones", "expected them at placement, limits and freezes alone"
	case r.places() && reqs && !placed:
		return "zones", "expected either servers or reqs"
	case r.Kind == "freeze" && reqs:
		return "tenants", "expected servers"
	case !r.Since.IsZero() && !r.Until.IsZero() && !r.Since.Before(r.Until):
		return "until", "expected a moment after since"
	}
	return "", ""
}
