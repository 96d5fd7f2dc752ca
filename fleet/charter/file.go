// Package charter holds the policy of a fleet: who may set which limits and placements. Teams own namespaces in a tree.
// Each namespace is a file that claims names, sets rules on them and grants their use to others; all files together are
// the charter. The package defines the schema of the files, combines the rules of all files into a snapshot, finds
// conflicts between them, and defines how one edition of the charter follows another. It does no I/O: callers pass in
// bytes. It never limits, places or denies a request itself, and never reads a clock.
//
// This file holds the schema of a charter file and its parser.
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

// Format is the value of the field format in a charter file.
const Format = "ivybank/fleet/charter/1"

const maxNameBytes = 64 // bytes of a name

// Dimension is the kind of thing that a name stands for.
type Dimension uint8

// The dimensions of names. Zones, cells and kinds are the places of servers.
const (
	Tenant Dimension = iota
	RuleSet
	Zone
	Cell
	Kind
	WindowName // a window's name
	dimensionCount
)

func (d Dimension) String() string {
	return [...]string{"tenant", "rule set", "zone", "cell", "kind", "window"}[d]
}

var claimFields = [dimensionCount]string{"tenants", "rulesets", "zones", "cells", "kinds", "windows"}

// Position is a position in a file.
type Position struct {
	File string
	Line int
}

func (p Position) String() string { return p.File + ":" + strconv.Itoa(p.Line) }

// Names holds names by dimension, as files list them.
type Names struct {
	Tenants  []string `toml:"tenants"`
	RuleSets []string `toml:"rulesets"`
	Zones    []string `toml:"zones"`
	Cells    []int64  `toml:"cells"`
	Kinds    []string `toml:"kinds"`
}

// byDimension returns the names of each dimension.
func (n *Names) byDimension() (all [dimensionCount][]string) {
	all = [dimensionCount][]string{Tenant: n.Tenants, RuleSet: n.RuleSets, Zone: n.Zones, Kind: n.Kinds}
	for _, c := range n.Cells {
		all[Cell] = append(all[Cell], strconv.FormatInt(c, 10))
	}
	return all
}

// namesPlaces reports whether zones, cells or kinds are listed.
func (n *Names) namesPlaces() bool { return len(n.Zones)+len(n.Cells)+len(n.Kinds) > 0 }

// Window is a weekly window of time, in UTC.
type Window struct {
	Name      string   `toml:"name"`
	Days      []string `toml:"days"` // on which it opens, such as "mon"; empty: all days
	From      string   `toml:"from"` // such as "22:00"
	Until     string   `toml:"until"`
	At        Position `toml:"-"`
	weekSpans []weekSpan
}

// Rule is a rule that a namespace sets. A rule that names no tenants, or no rule sets, applies to all that the
// namespace holds.
type Rule struct {
	ID     string  `toml:"id"`
	Kind   string  `toml:"kind"` // limit, guarantee, quota, value, further, only, never, require, deny or freeze
	Unit   string  `toml:"unit"` // reqs, cost or worth
	Per    string  `toml:"per"`  // of a limit: second or in_flight; of a quota: minute, hour, day or month
	Number float64 `toml:"number"`
	Names
	Window string    `toml:"window"`
	Since  time.Time `toml:"since"`
	Until  time.Time `toml:"until"`
	At     Position  `toml:"-"`
}

// Grant allows another namespace to use names that this one owns.
type Grant struct {
	ID string `toml:"id"`
	To string `toml:"to"`
	Names
	Windows []string  `toml:"windows"`
	Until   time.Time `toml:"until"`
	Revoked time.Time `toml:"revoked"`
	At      Position  `toml:"-"`
}

// Delegate allows another namespace to be a child of this one.
type Delegate struct {
	To      string    `toml:"to"`
	Until   time.Time `toml:"until"`
	Revoked time.Time `toml:"revoked"`
	At      Position  `toml:"-"`
}

// Claim is a name that a namespace claims to own.
type Claim struct {
	Dimension Dimension
	Name      string
	At        Position
}

// File is the file of a namespace, as its team writes it.
type File struct {
	Format    string     `toml:"format"`
	Namespace string     `toml:"namespace"`
	Team      string     `toml:"team"`
	Parent    string     `toml:"parent"` // empty: this is the root
	Listed    Names      `toml:"claims"`
	Windows   []Window   `toml:"window"`
	Rules     []Rule     `toml:"rule"`
	Grants    []Grant    `toml:"grant"`
	Delegates []Delegate `toml:"delegate"`
	Claims    []Claim    `toml:"-"`
	At        Position   `toml:"-"`
}

// Read parses and checks a charter file. Errors name the file, the line and the field.
func Read(path string, text []byte) (*File, error) {
	file := &File{}
	doc, err := conf.Read(path, text, file)
	if err != nil {
		return nil, err
	}
	at := func(field string) Position {
		var fault *conf.FieldError
		errors.As(doc.FieldErrorf(field, ""), &fault)
		return Position{path, fault.Line}
	}
	file.At = at("namespace")
	for d, names := range file.Listed.byDimension() {
		for _, n := range names {
			file.Claims = append(file.Claims, Claim{Dimension(d), n, at("claims." + claimFields[d])})
		}
	}
	file.Listed = Names{}
	rules := []conf.Rule{
		{Violated: file.Format != Format, Field: "format", Expected: fmt.Sprintf("expected %q", Format)},
		{Violated: !validName(file.Namespace), Field: "namespace",
			Expected: fmt.Sprintf("expected a name, %d bytes at the most", maxNameBytes)},
		{Violated: file.Team == "", Field: "team", Expected: "expected who owns it"},
		{Violated: file.Parent == file.Namespace, Field: "parent", Expected: "expected another namespace"},
	}
	seen := map[string]bool{}
	unique := func(what, name string) bool { // reports whether a name is valid and new among those of its kind
		key := what + " " + name
		ok := validName(name) && !seen[key]
		seen[key] = true
		return ok
	}
	for _, c := range file.Claims {
		rules = append(rules, conf.Rule{Violated: !unique(claimFields[c.Dimension], c.Name),
			Field:    "claims." + claimFields[c.Dimension],
			Expected: fmt.Sprintf("%q: expected names, each once", c.Name)})
	}
	for i := range file.Windows {
		w, p := &file.Windows[i], fmt.Sprintf("window.%d.", i)
		w.At = at(p + "name")
		var badField string
		w.weekSpans, badField = parseWeek(w)
		rules = append(rules, conf.Rule{Violated: !unique("window", w.Name), Field: p + "name",
			Expected: "expected a name of its own"},
			conf.Rule{Violated: badField != "", Field: p + badField,
				Expected: "expected days as \"mon\", and other times of the day " +
					"as \"22:00\""})
	}
	for i := range file.Rules {
		r, p := &file.Rules[i], fmt.Sprintf("rule.%d.", i)
		r.At = at(p + "id")
		field, expected := r.check()
		rules = append(rules, conf.Rule{Violated: !unique("rule", r.ID), Field: p + "id",
			Expected: "expected an id of its own"},
			requireOffset(p+"since", r.Since), requireOffset(p+"until", r.Until),
			conf.Rule{Violated: expected != "", Field: p + field, Expected: expected})
	}
	for i := range file.Grants {
		g, p := &file.Grants[i], fmt.Sprintf("grant.%d.", i)
		g.At = at(p + "id")
		rules = append(rules, conf.Rule{Violated: !unique("grant", g.ID), Field: p + "id",
			Expected: "expected an id of its own"},
			requireOffset(p+"until", g.Until), requireOffset(p+"revoked", g.Revoked),
			conf.Rule{Violated: !validName(g.To) || g.To == file.Namespace, Field: p + "to",
				Expected: "expected another namespace"})
	}
	for i := range file.Delegates {
		d, p := &file.Delegates[i], fmt.Sprintf("delegate.%d.", i)
		d.At = at(p + "to")
		rules = append(rules, conf.Rule{Violated: !unique("delegate", d.To) || d.To == file.Namespace, Field: p + "to",
			Expected: "expected another namespace, once"},
			requireOffset(p+"until", d.Until), requireOffset(p+"revoked", d.Revoked))
	}
	return file, doc.CheckRules("", rules)
}

// requireOffset returns a check that a time has a UTC offset. Without one, it would depend on the reader's time zone.
func requireOffset(field string, t time.Time) conf.Rule {
	return conf.Rule{Violated: t.Location() == time.Local, Field: field,
		Expected: "expected an offset, as 2027-01-01T00:00:00Z"}
}

func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }

var units = []string{"reqs", "cost", "worth"}
var limitPer = []string{"second", "in_flight"}
var quotaPer = []string{"minute", "hour", "day", "month"}
var placedKinds = []string{"only", "never", "require"}
var ruleKinds = []string{"limit", "guarantee", "quota", "value", "further", "only", "never", "require",
	"deny", "freeze"}

// The indices in ruleKinds of the kinds by which rules are looked up, and their number.
const (
	limitKind, guaranteeKind, onlyKind, neverKind, requireKind, freezeKind, ruleKindCount = 0, 1, 5, 6, 7, 9, 10
)

// check returns the field of the rule that is invalid and what was expected there, or empty strings.
func (r *Rule) check() (field, expected string) {
	hasUnit := slices.Contains([]string{"limit", "guarantee", "quota"}, r.Kind)
	isPlacement := slices.Contains(placedKinds, r.Kind)
	per := map[string][]string{"limit": limitPer, "quota": quotaPer}[r.Kind]
	maxNumbers := map[string]float64{"further": 1, "deny": 254, "only": 0, "never": 0, "require": 0, "freeze": 0}
	maxNumber, hasMax := maxNumbers[r.Kind]
	namesRequests := len(r.Tenants)+len(r.RuleSets) > 0
	switch {
	case !slices.Contains(ruleKinds, r.Kind):
		return "kind", fmt.Sprintf("expected one of %v", ruleKinds)
	case hasUnit != slices.Contains(units, r.Unit) || !hasUnit && r.Unit != "":
		return "unit", "expected reqs, cost or worth at a limit, a guarantee or a quota, and nowhere else"
	case per != nil && !slices.Contains(per, r.Per) || per == nil && r.Per != "":
		return "per", "expected second or in_flight at a limit, minute, hour, day or month at a quota, and " +
			"nowhere else"
	case !(r.Number >= 0) || math.IsInf(r.Number, 0) || hasMax && r.Number > maxNumber:
		return "number", "expected 0 or more; further: up to 1; deny: up to 254; none at placement and freezes"
	case r.Kind == "deny" && r.Number != math.Trunc(r.Number):
		return "number", "expected a whole number"
	case isPlacement && !r.namesPlaces():
		return "zones", "expected zones, cells or kinds"
	case !isPlacement && r.Kind != "limit" && r.Kind != "freeze" && r.namesPlaces():
		return "zones", "expected them at placement, limits and freezes alone"
	case r.namesPlaces() && namesRequests && !isPlacement:
		return "zones", "expected either servers or reqs"
	case r.Kind == "freeze" && namesRequests:
		return "tenants", "expected servers"
	case !r.Since.IsZero() && !r.Until.IsZero() && !r.Since.Before(r.Until):
		return "until", "expected a moment after since"
	}
	return "", ""
}
