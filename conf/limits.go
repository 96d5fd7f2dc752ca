package conf

// This file owns the part [fleet.limits] of an operator file: limits that hold for the whole fleet. It must
// never let in one whose bound cannot be stated.

import (
	"fmt"

	"ivybank/fleet/lease"
)

// Limits is what operators set on limits of the whole fleet.
type Limits struct {
	VoterCount    int     `toml:"voters"` // the first so many places settle who owns a limit
	ClockDriftPPM int64   `toml:"drift"`  // by how many millionths a clock may run too fast or too slow
	All           []Limit `toml:"limit"`
}

// Limit is one of them.
type Limit struct {
	Name    string   `toml:"name"`
	RuleSet string   `toml:"ruleset"` // whose reqs it counts; empty: all
	Tenant  string   `toml:"tenant"`  // the same
	Kind    string   `toml:"kind"`    // rate or in_flight
	Amount  float64  `toml:"amount"`  // reqs a second; reqs
	Burst   Duration `toml:"burst"`   // rate: so much of amount may come at once
	Mode    string   `toml:"mode"`    // strict or bounded
	Floor   float64  `toml:"floor"`   // bounded: for each that is cut off
	Lease   Duration `toml:"lease"`
}

// unit is what one unit is of the amount.
func (x *Limit) unit() float64 {
	if x.Kind == "rate" {
		return 1e9 / float64(max(1, x.Burst))
	}
	return 1
}

// of is an amount in units, and whether it is a whole number of them.
func (x *Limit) of(amount float64) (units int, whole bool) {
	n := amount / x.unit()
	units = int(n + 1e-6)
	return units, n-float64(units) < 1e-6
}

// LeaseLimits is what the file says to a member; a req may run for so long, in ns.
func (x *Limits) LeaseLimits(longest int64) (all []lease.Limit) {
	for _, l := range x.All {
		t := lease.Limit{Name: l.Name, RuleSet: l.RuleSet, Tenant: l.Tenant, Strict: l.Mode == "strict",
			Lease: int64(l.Lease)}
		t.Units, _ = l.of(l.Amount)
		t.Floor, _ = l.of(l.Floor)
		if t.Kind, t.Per = lease.Rate, int64(l.Burst); l.Kind == "in_flight" {
			t.Kind, t.Per, t.Linger = lease.Flight, 0, longest
		}
		all = append(all, t)
	}
	return all
}

// DescribeOvershoot is by how much a fleet of so many members may be over, in words; 0 members: as many as the platform
// names.
func (x *Limit) DescribeOvershoot(members int) string {
	t := (&Limits{All: []Limit{*x}}).LeaseLimits(0)[0]
	what, over := "in flight", float64(t.Over(members))*x.unit()
	if x.Kind == "rate" {
		what = fmt.Sprintf("a second, %d at once", t.Units)
	}
	if members == 0 {
		return fmt.Sprintf("limit %s: %g %s, over by %g at most for each member but one",
			x.Name, x.Amount, what, x.Floor)
	}
	return fmt.Sprintf("limit %s: %g %s, over by %g at most with %d members",
		x.Name, x.Amount, what, over, members)
}

func (o *OperatorConfig) checkLimits(f *File) error {
	if o.Fleet == nil || o.Fleet.Limits == nil {
		return nil
	}
	x := o.Fleet.Limits
	rules := []Rule{
		{x.VoterCount < 1 || x.VoterCount > 9 || x.VoterCount%2 == 0, "voters", "expected 1, 3, 5, 7 or 9"},
		{len(o.Fleet.Peers) > 0 && x.VoterCount > len(o.Fleet.Peers), "voters",
			"expected no more than there are peers"},
		{x.ClockDriftPPM < 0 || x.ClockDriftPPM > 10000, "drift", "expected 0 to 10000 millionths"},
		{len(x.All) == 0, "limit", "expected one at least"},
	}
	names := map[string]bool{}
	for i, l := range x.All {
		at := fmt.Sprintf("limit.%d.", i)
		_, whole := l.of(l.Amount)
		_, wholeFloor := l.of(l.Floor)
		each := "expected a whole number"
		if l.Kind == "rate" {
			each = fmt.Sprintf("expected a multiple of %g, as one req is let in for each burst", l.unit())
		}
		rules = append(rules,
			Rule{l.Name == "" || names[l.Name], at + "name", "expected a name of its own"},
			Rule{l.Kind != "rate" && l.Kind != "in_flight", at + "kind", "expected rate or in_flight"},
			Rule{(l.Kind == "rate") != (l.Burst > 0), at + "burst", "expected a time with kind rate, and only then"},
			Rule{l.Amount <= 0 || l.Amount/l.unit() > 1e6 || !whole, at + "amount", each},
			Rule{l.Mode != "strict" && l.Mode != "bounded", at + "mode", "expected strict or bounded"},
			Rule{l.Floor < 0 || l.Floor > l.Amount || !wholeFloor, at + "floor", each + ", no more than the amount"},
			Rule{l.Mode == "strict" && l.Floor > 0, at + "floor", "expected with mode bounded"},
			Rule{l.Lease < 1e9 || l.Lease > 60e9, at + "lease", "expected 1s to 60s"},
		)
		names[l.Name] = true
	}
	return f.CheckRules("fleet.limits.", rules)
}
