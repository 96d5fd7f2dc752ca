package conf

// This file holds the table [fleet] of an operator file. Peers' addresses come from configuration files only.

import (
	"fmt"
	"net/netip"
	"strings"

	"ivybank/fleet"
	"ivybank/fleet/assign"
)

// FleetConfig configures proxies that exchange datagrams with one another.
type FleetConfig struct {
	Name   string `toml:"name"`   // the same for all members of a fleet
	Listen string `toml:"listen"` // empty: taken from the platform's configuration
	// Peers holds addresses by member index, including this proxy's own. If it is empty, the platform's configuration
	// names them.
	Peers              []string `toml:"peers"`
	SelfIndex          int      `toml:"me"` // this proxy's index in Peers; unused if Peers is empty
	DatagramsPerSecond float64  `toml:"datagrams_per_second"`
	AckTimeout         Duration `toml:"ack_wait"`
	MinSilence         Duration `toml:"quiet"` // before a member is declared dead
	Overload           *struct {
		RetryRatio      float64 `toml:"further"`         // dispatches beyond a request's first, per first dispatch
		MaxMemberRate   float64 `toml:"most_per_member"` // requests per second that a member's report may claim
		OverShareFactor float64 `toml:"over_share"`      // fraction of a request's value left if its tenant exceeds its share
	} `toml:"overload"`
	Probes *struct {
		Interval      Duration `toml:"every"`
		TakeOverAfter Duration `toml:"take_over_after"`
		Timeout       Duration `toml:"timeout"`
		Path          string   `toml:"path"`
	} `toml:"probes"`
	Limits *Limits `toml:"limits"`
}

// MemberConfig returns the configuration of the member with the given index in a fleet of the given size. Probes
// are left out if the platform's settings forbid them.
func (x *FleetConfig) MemberConfig(index, members int, probes bool) fleet.Config {
	c := fleet.Config{Index: index, Members: members, DatagramsPerSecond: x.DatagramsPerSecond,
		AckTimeout: int64(x.AckTimeout), MinSilence: int64(x.MinSilence)}
	if s := x.Overload; s != nil {
		c.Overload, c.OverShareFactor = &fleet.Overload{RetryRatio: s.RetryRatio,
			MaxMemberRate: s.MaxMemberRate}, s.OverShareFactor
	}
	if s := x.Probes; s != nil && probes {
		c.Probes = &assign.Config{Interval: int64(s.Interval), TakeOverAfter: int64(s.TakeOverAfter)}
	}
	return c
}

func (o *OperatorConfig) checkFleet(f *File) error {
	x := o.Fleet
	if x == nil {
		return nil
	}
	rules := []Rule{
		{x.Name == "", "name", "expected a name that all members share"},
		{x.DatagramsPerSecond < 2 || x.DatagramsPerSecond > 1000, "datagrams_per_second", "expected 2 to 1000"},
		{x.AckTimeout <= 0, "ack_wait", "expected a duration above 0"},
		{x.MinSilence < 3*x.AckTimeout, "quiet", "expected at least three times ack_wait: with less, live members are declared dead"},
		{len(x.Peers) > 0 && (x.SelfIndex < 0 || x.SelfIndex >= len(x.Peers)), "me", "expected an index into peers, from 0"},
		{(x.Listen == "") != (len(x.Peers) == 0), "listen", "listen and peers require each other"},
	}
	if x.Listen != "" {
		_, err := netip.ParseAddrPort(x.Listen)
		rules = append(rules, Rule{err != nil, "listen", "expected address:port"})
	}
	for i, a := range x.Peers {
		_, err := netip.ParseAddrPort(a)
		rules = append(rules, Rule{err != nil, "peers", fmt.Sprintf("item %d: expected address:port", i)})
	}
	if v := x.Overload; v != nil {
		rules = append(rules, Rule{v.RetryRatio < 0 || v.RetryRatio > 1, "overload.further",
			"expected a fraction from 0 to 1"},
			Rule{v.MaxMemberRate <= 0, "overload.most_per_member", "expected a number above 0"},
			Rule{v.OverShareFactor < 0 || v.OverShareFactor > 1, "overload.over_share", "expected a fraction from 0 to 1"})
	}
	if v := x.Probes; v != nil {
		rules = append(rules, Rule{v.Interval < Duration(50e6), "probes.every", "expected at least 50ms"},
			Rule{v.TakeOverAfter < 2*v.Interval, "probes.take_over_after",
				"expected at least two times every: with less, several members probe at once"},
			Rule{v.Timeout <= 0, "probes.timeout", "expected a duration above 0"},
			Rule{!strings.HasPrefix(v.Path, "/"), "probes.path", "expected a path such as \"/ping\""})
	}
	return f.CheckRules("fleet.", rules)
}
