package conf

// This file holds the table [fleet.limits] of an operator file: limits that hold for the whole fleet. A limit whose
// greatest overshoot cannot be stated must be rejected.

import (
	"fmt"

	"ivybank/fleet/lease"
)

// Limits configures the limits of the whole fleet.
type Limits struct {
	VoterCount    int     `toml:"voters"` // the members with a lower index decide who owns a limit
	ClockDriftPPM int64   `toml:"drift"`  // millionths by which a clock may run too fast or too slow
	All           []Limit `toml:"limit"`
}

// Limit is one limit of the whole fleet.
type Limit struct {
	Name    string   `toml:"name"`
	RuleSet string   `toml:"ruleset"` // whose requests are counted; empty: those of all rule sets
	Tenant  string   `toml:"tenant"`  // whose requests are counted; empty: those of all tenants
	Kind    string   `toml:"kind"`    // rate or in_flight
	Amount  float64  `toml:"amount"`  // rate: requests per second; in_flight: requests
	Burst   Duration `toml:"burst"`   // rate: this duration's worth of Amount may be admitted at once
	Mode    string   `toml:"mode"`    // strict or bounded
	Floor   float64  `toml:"floor"`   // bounded: what a member that is cut off may still admit
	Lease   Duration `toml:"lease"`
}

// unitSize returns how much of Amount one leased unit stands for.
func (x *Limit) unitSize() float64 {
	if x.Kind == "rate" {
		return 1e9 / float64(max(1, x.Burst))
	}
	return 1
}

// toUnits converts an amount to units and reports whether it is a whole number of them.
func (x *Limit) toUnits(amount float64) (units int, whole bool) {
	n := amount / x.unitSize()
	units = int(n + 1e-6)
	return units, n-float64(units) < 1e-6
}

// LeaseLimits converts the limits to those of package lease. A request takes at most longestRequest ns.
func (x *Limits) LeaseLimits(longestRequest int64) (all []lease.Limit) {
	for _, l := range x.All {
		converted := lease.Limit{Name: l.Name, RuleSet: l.RuleSet, Tenant: l.Tenant, Strict: l.Mode == "strict",
			LeaseDuration: int64(l.Lease)}
		converted.Units, _ = l.toUnits(l.Amount)
		converted.Floor, _ = l.toUnits(l.Floor)
		if converted.Kind, converted.Period = lease.Rate, int64(l.Burst); l.Kind == "in_flight" {
			converted.Kind, converted.Period, converted.MaxRequestDuration = lease.InFlight, 0, longestRequest
		}
		all = append(all, converted)
	}
	return all
}

// DescribeOvershoot returns a sentence on how far a fleet of the given size may exceed the limit. If members is 0,
// the fleet's size is not known: it is as many as the platform's configuration names.
func (x *Limit) DescribeOvershoot(members int) string {
	l := (&Limits{All: []Limit{*x}}).LeaseLimits(0)[0]
	unit, over := "in flight", float64(l.MaxExcess(members))*x.unitSize()
	if x.Kind == "rate" {
		unit = fmt.Sprintf("a second, %d at once", l.Units)
	}
	if members == 0 {
		return fmt.Sprintf("limit %s: %g %s, exceeded by at most %g for each member but one",
			x.Name, x.Amount, unit, x.Floor)
	}
	return fmt.Sprintf("limit %s: %g %s, exceeded by at most %g with %d members",
		x.Name, x.Amount, unit, over, members)
}

func (o *OperatorConfig) checkLimits(f *File) error {
	if o.Fleet == nil || o.Fleet.Limits == nil {
		return nil
	}
	x := o.Fleet.Limits
	rules := []Rule{
		{x.VoterCount < 1 || x.VoterCount > 9 || x.VoterCount%2 == 0, "voters", "expected 1, 3, 5, 7 or 9"},
		{len(o.Fleet.Peers) > 0 && x.VoterCount > len(o.Fleet.Peers), "voters",
			"expected no more than the number of peers"},
		{x.ClockDriftPPM < 0 || x.ClockDriftPPM > 10000, "drift", "expected 0 to 10000 millionths"},
		{len(x.All) == 0, "limit", "expected at least one"},
	}
	names := map[string]bool{}
	for i, l := range x.All {
		prefix := fmt.Sprintf("limit.%d.", i)
		_, whole := l.toUnits(l.Amount)
		_, wholeFloor := l.toUnits(l.Floor)
		wanted := "expected a whole number"
		if l.Kind == "rate" {
			wanted = fmt.Sprintf("expected a multiple of %g, since one request is admitted per burst", l.unitSize())
		}
		rules = append(rules,
			Rule{l.Name == "" || names[l.Name], prefix + "name", "expected a unique name"},
			Rule{l.Kind != "rate" && l.Kind != "in_flight", prefix + "kind", "expected rate or in_flight"},
			Rule{(l.Kind == "rate") != (l.Burst > 0), prefix + "burst", "expected a duration with kind rate, and only then"},
			Rule{l.Amount <= 0 || l.Amount/l.unitSize() > 1e6 || !whole, prefix + "amount", wanted},
			Rule{l.Mode != "strict" && l.Mode != "bounded", prefix + "mode", "expected strict or bounded"},
			Rule{l.Floor < 0 || l.Floor > l.Amount || !wholeFloor, prefix + "floor", wanted + ", no more than the amount"},
			Rule{l.Mode == "strict" && l.Floor > 0, prefix + "floor", "requires mode bounded"},
			Rule{l.Lease < 1e9 || l.Lease > 60e9, prefix + "lease", "expected 1s to 60s"},
		)
		names[l.Name] = true
	}
	return f.CheckRules("fleet.limits.", rules)
}
