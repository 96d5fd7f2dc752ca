package conf

// This file owns the part [fleet] of an operator file. It must never know where peers are but by what files say.

import (
	"fmt"
	"net/netip"
	"strings"

	"ivybank/fleet"
	"ivybank/fleet/duty"
)

// FleetConfig is what operators set on proxies that hear one another.
type FleetConfig struct {
	Name               string   `toml:"name"`   // what all members call their fleet
	Listen             string   `toml:"listen"` // empty: where the platform's configuration says
	Peers              []string `toml:"peers"`  // one address for each place, the own one among them; empty: as the configuration says
	SelfIndex          int      `toml:"me"`     // own place among them; read with peers
	DatagramsPerSecond float64  `toml:"datagrams_per_second"`
	AckWait            Duration `toml:"ack_wait"`
	DeadAfter          Duration `toml:"quiet"`
	Overload           *struct {
		FurtherRatio float64 `toml:"further"`         // part of first dispatches
		MaxPerMember float64 `toml:"most_per_member"` // reqs a second
		OverShare    float64 `toml:"over_share"`      // part of its worth left to what a tenant asks past its share
	} `toml:"overload"`
	Probes *struct {
		Interval      Duration `toml:"every"`
		TakeOverAfter Duration `toml:"take_over_after"`
		Timeout       Duration `toml:"timeout"`
		Path          string   `toml:"path"`
	} `toml:"probes"`
	Limits *Limits `toml:"limits"`
}

// MemberConfig is what it says to the member at a place among so many; probes where the settings allow them.
func (x *FleetConfig) MemberConfig(me, of int, probes bool) fleet.Terms {
	t := fleet.Terms{Me: me, Of: of, Datagrams: x.DatagramsPerSecond, AckWait: int64(x.AckWait), Quiet: int64(x.DeadAfter)}
	if s := x.Overload; s != nil {
		t.Overload, t.Over = &fleet.Overload{Further: s.FurtherRatio, Most: s.MaxPerMember}, s.OverShare
	}
	if s := x.Probes; s != nil && probes {
		t.Probes = &duty.Terms{Every: int64(s.Interval), After: int64(s.TakeOverAfter)}
	}
	return t
}

func (o *OperatorConfig) checkFleet(f *File) error {
	x := o.Fleet
	if x == nil {
		return nil
	}
	rules := []Rule{
		{x.Name == "", "name", "expected a name that all members share"},
		{x.DatagramsPerSecond < 2 || x.DatagramsPerSecond > 1000, "datagrams_per_second", "expected 2 to 1000"},
		{x.AckWait <= 0, "ack_wait", "expected a time above 0"},
		{x.DeadAfter < 3*x.AckWait, "quiet", "expected three times ack_wait at the least, or the living are taken for dead"},
		{len(x.Peers) > 0 && (x.SelfIndex < 0 || x.SelfIndex >= len(x.Peers)), "me", "expected a place among peers, from 0"},
		{(x.Listen == "") != (len(x.Peers) == 0), "listen", "expected with peers, and only then"},
	}
	if x.Listen != "" {
		_, err := netip.ParseAddrPort(x.Listen)
		rules = append(rules, Rule{err != nil, "listen", "expected address:port"})
	}
	for i, a := range x.Peers {
		_, err := netip.ParseAddrPort(a)
		rules = append(rules, Rule{err != nil, "peers", fmt.Sprintf("the one at %d: expected address:port", i)})
	}
	if v := x.Overload; v != nil {
		rules = append(rules, Rule{v.FurtherRatio < 0 || v.FurtherRatio > 1, "overload.further", "expected a part from 0 to 1"},
			Rule{v.MaxPerMember <= 0, "overload.most_per_member", "expected a number above 0"},
			Rule{v.OverShare < 0 || v.OverShare > 1, "overload.over_share", "expected a part from 0 to 1"})
	}
	if v := x.Probes; v != nil {
		rules = append(rules, Rule{v.Interval < Duration(50e6), "probes.every", "expected 50ms at the least"},
			Rule{v.TakeOverAfter < 2*v.Interval, "probes.take_over_after", "expected two times every at the least, or several probe at once"},
			Rule{v.Timeout <= 0, "probes.timeout", "expected a time above 0"},
			Rule{!strings.HasPrefix(v.Path, "/"), "probes.path", "expected a path such as \"/ping\""})
	}
	return f.CheckRules("fleet.", rules)
}
