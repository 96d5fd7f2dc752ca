package conf

// This file owns the part [fleet] of an operator file. It must never know where peers are but by what files say.

import (
	"fmt"
	"net/netip"
	"strings"

	"ivybank/fleet"
	"ivybank/fleet/duty"
)

// Fleet is what operators set on proxies that hear one another.
type Fleet struct {
	Name      string   `toml:"name"`   // what all members call their fleet
	Listen    string   `toml:"listen"` // empty: where the platform's configuration says
	Peers     []string `toml:"peers"`  // one address for each place, the own one among them; empty: as the configuration says
	Me        int      `toml:"me"`     // own place among them; read with peers
	Datagrams float64  `toml:"datagrams_per_second"`
	AckWait   Duration `toml:"ack_wait"`
	Quiet     Duration `toml:"quiet"`
	Overload  *struct {
		Further float64 `toml:"further"`         // part of first dispatches
		Most    float64 `toml:"most_per_member"` // reqs a second
		Over    float64 `toml:"over_share"`      // part of its worth left to what a tenant asks past its share
	} `toml:"overload"`
	Probes *struct {
		Every   Duration `toml:"every"`
		After   Duration `toml:"take_over_after"`
		Timeout Duration `toml:"timeout"`
		Path    string   `toml:"path"`
	} `toml:"probes"`
	Limits *Limits `toml:"limits"`
}

// Terms is what it says to the member at a place among so many; probes where the settings allow them.
func (x *Fleet) Terms(me, of int, probes bool) fleet.Terms {
	t := fleet.Terms{Me: me, Of: of, Datagrams: x.Datagrams, AckWait: int64(x.AckWait), Quiet: int64(x.Quiet)}
	if s := x.Overload; s != nil {
		t.Overload, t.Over = &fleet.Overload{Further: s.Further, Most: s.Most}, s.Over
	}
	if s := x.Probes; s != nil && probes {
		t.Probes = &duty.Terms{Every: int64(s.Every), After: int64(s.After)}
	}
	return t
}

func (o *Operator) checkFleet(f *File) error {
	x := o.Fleet
	if x == nil {
		return nil
	}
	rules := []Rule{
		{x.Name == "", "name", "expected a name that all members share"},
		{x.Datagrams < 2 || x.Datagrams > 1000, "datagrams_per_second", "expected 2 to 1000"},
		{x.AckWait <= 0, "ack_wait", "expected a time above 0"},
		{x.Quiet < 3*x.AckWait, "quiet", "expected three times ack_wait at the least, or the living are taken for dead"},
		{len(x.Peers) > 0 && (x.Me < 0 || x.Me >= len(x.Peers)), "me", "expected a place among peers, from 0"},
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
		rules = append(rules, Rule{v.Further < 0 || v.Further > 1, "overload.further", "expected a part from 0 to 1"},
			Rule{v.Most <= 0, "overload.most_per_member", "expected a number above 0"},
			Rule{v.Over < 0 || v.Over > 1, "overload.over_share", "expected a part from 0 to 1"})
	}
	if v := x.Probes; v != nil {
		rules = append(rules, Rule{v.Every < Duration(50e6), "probes.every", "expected 50ms at the least"},
			Rule{v.After < 2*v.Every, "probes.take_over_after", "expected two times every at the least, or several probe at once"},
			Rule{v.Timeout <= 0, "probes.timeout", "expected a time above 0"},
			Rule{!strings.HasPrefix(v.Path, "/"), "probes.path", "expected a path such as \"/ping\""})
	}
	return f.Keep("fleet.", rules)
}
