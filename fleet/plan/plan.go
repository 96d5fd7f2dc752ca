// Package plan holds maintenance plans: which servers are taken out of service for work, how many at once, what
// capacity has to remain, when, and what tells that the work is done. It defines the schema of the plan file and
// checks whether a plan can be done at all. It does no I/O apart from reading the file, and never looks at a plan's
// progress.
package plan

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"ivybank/balance"
	"ivybank/conf"
)

// Format is the value of the field format in a plan file.
const Format = "ivybank/fleet/plan/1"

const (
	maxServers = 1000 // that a plan lists by id
	maxIDBytes = 64   // length of a plan's id
)

// Plan is a plan file as operators write it. The cbor tags keep the encoded names of its fields.
type Plan struct {
	Format string   `toml:"format"`
	ID     string   `toml:"id"`
	All    bool     `toml:"all"`     // selects all listed servers; excludes servers, zones and cells
	IDs    []string `toml:"servers"` // selects servers by id
	Zones  []string `toml:"zones"`   // selects the servers of these zones
	Cells  []int64  `toml:"cells"`   // selects the servers of these cells

	MaxOut        int     `toml:"most_out" cbor:"Most"`          // servers out of service at once
	MaxOutPerZone int     `toml:"most_out_zone" cbor:"MostZone"` // servers out at once in one zone; 0: no separate limit
	MaxOutPerCell int     `toml:"most_out_cell" cbor:"MostCell"` // servers out at once in one cell; 0: no separate limit
	MinCapacity   float64 `toml:"least_capacity" cbor:"Least"`   // fraction of the listed capacity that stays in use
	MinPerZone    int     `toml:"least_zone" cbor:"LeastZone"`   // servers that stay in use in each zone

	Order string `toml:"order"` // given: as listed in servers; zone: by zone; least: smallest share of capacity first
	// DoneBy tells how a server's work is found to be done. door: by a call to the administrative address; start: the
	// list shows a newer start; time: WorkTime has passed.
	DoneBy   string        `toml:"done_by"`
	WorkTime conf.Duration `toml:"work" cbor:"Work"`
	From     string        `toml:"from"` // start of a daily window in UTC, such as "22:00"; empty: no window
	Until    string        `toml:"until"`
}

// Target is a server as a plan sees it.
type Target struct {
	ID    string
	Zone  string
	Cell  int64
	Share float64 // of the fleet's capacity, relative to the other servers
	Since int64   // when the server started, as the list reports it
}

// Read parses and validates a plan file; path is used in errors only.
func Read(path string, text []byte) (*Plan, error) {
	p := &Plan{}
	f, err := conf.Read(path, text, p)
	if err != nil {
		return nil, err
	}
	return p, p.check(f)
}

func (p *Plan) check(f *conf.File) error {
	_, from := parseTimeOfDay(p.From)
	_, until := parseTimeOfDay(p.Until)
	return f.CheckRules("", []conf.Rule{
		{Violated: p.Format != Format, Field: "format", Expected: fmt.Sprintf("expected %q", Format)},
		{Violated: p.ID == "" || len(p.ID) > maxIDBytes, Field: "id",
			Expected: fmt.Sprintf("expected an id of its own, %d bytes at the most", maxIDBytes)},
		{Violated: !p.All && len(p.IDs)+len(p.Zones)+len(p.Cells) == 0, Field: "servers",
			Expected: "expected servers, zones, cells or all"},
		{Violated: p.All && len(p.IDs)+len(p.Zones)+len(p.Cells) > 0, Field: "all",
			Expected: "expected nothing else that names servers beside it"},
		{Violated: len(p.IDs) > maxServers, Field: "servers",
			Expected: fmt.Sprintf("expected %d at the most", maxServers)},
		{Violated: p.MaxOut < 1, Field: "most_out", Expected: "expected one at least"},
		{Violated: p.MaxOutPerZone < 0, Field: "most_out_zone", Expected: "expected 0 or more"},
		{Violated: p.MaxOutPerCell < 0, Field: "most_out_cell", Expected: "expected 0 or more"},
		{Violated: p.MinCapacity < 0 || p.MinCapacity >= 1, Field: "least_capacity",
			Expected: "expected a part from 0 to below 1"},
		{Violated: p.MinPerZone < 0, Field: "least_zone", Expected: "expected 0 or more"},
		{Violated: !slices.Contains([]string{"given", "zone", "least"}, p.Order), Field: "order",
			Expected: "expected given, zone or least"},
		{Violated: !slices.Contains([]string{"door", "start", "time"}, p.DoneBy), Field: "done_by",
			Expected: "expected door, start or time"},
		{Violated: p.DoneBy == "time" && p.WorkTime <= 0, Field: "work", Expected: "expected a time above 0"},
		{Violated: from != nil, Field: "from", Expected: "expected a time of the day as \"22:00\""},
		{Violated: until != nil || (p.From == "") != (p.Until == ""), Field: "until",
			Expected: "expected a time of the day as \"06:00\", with from and only then"},
	})
}

// parseTimeOfDay parses a time of day such as "22:00" and returns it in minutes since midnight; empty text gives 0.
func parseTimeOfDay(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	t, err := time.Parse("15:04", text)
	return 60*t.Hour() + t.Minute(), err
}

// InWindow reports whether the plan's daily window is open at wall, in Unix ns. A plan without a window is always open.
func (p *Plan) InWindow(wall int64) bool {
	if p.From == "" {
		return true
	}
	from, _ := parseTimeOfDay(p.From)
	until, _ := parseTimeOfDay(p.Until)
	t := time.Unix(0, wall).UTC()
	now := 60*t.Hour() + t.Minute()
	if from <= until {
		return now >= from && now < until
	}
	return now >= from || now < until
}

// Targets returns the listed servers that the plan selects, in the order in which they are taken out.
func (p *Plan) Targets(listed []Target) []Target {
	var out []Target
	for _, t := range listed {
		if p.All || slices.Contains(p.IDs, t.ID) || slices.Contains(p.Zones, t.Zone) || slices.Contains(p.Cells, t.Cell) {
			out = append(out, t)
		}
	}
	position := func(t Target) int { return slices.Index(p.IDs, t.ID) }
	slices.SortStableFunc(out, func(x, y Target) int {
		switch p.Order {
		case "given":
			return cmp.Compare(position(x), position(y))
		case "zone":
			return cmp.Or(cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.ID, y.ID))
		}
		return cmp.Or(cmp.Compare(x.Share, y.Share), cmp.Compare(x.ID, y.ID))
	})
	return out
}

// CheckFeasible returns an error that names the violated constraint if the plan cannot be done with the listed servers.
func (p *Plan) CheckFeasible(listed []Target) error {
	for _, id := range p.IDs {
		if !slices.ContainsFunc(listed, func(t Target) bool { return t.ID == id }) {
			return fmt.Errorf("servers: %s is not listed", id)
		}
	}
	all := p.Targets(listed)
	if len(all) == 0 {
		return fmt.Errorf("servers: none of those listed")
	}
	for _, t := range all {
		if err := p.CheckLimits([]Target{t}, listed); err != nil {
			return err
		}
	}
	return nil
}

// CheckMaxOut returns an error that names the violated constraint if the servers in out exceed the plan's limits on
// servers that are out at once. The last of them is the one to be taken out. The list of servers plays no part.
func (p *Plan) CheckMaxOut(out []Target) error {
	last := out[len(out)-1]
	zone, cell := 0, 0
	for _, t := range out {
		if t.Zone == last.Zone {
			zone++
		}
		if t.Cell == last.Cell {
			cell++
		}
	}
	switch {
	case len(out) > p.MaxOut:
		return fmt.Errorf("most_out = %d: %d would be out with %s", p.MaxOut, len(out), last.ID)
	case p.MaxOutPerZone > 0 && zone > p.MaxOutPerZone:
		return fmt.Errorf("most_out_zone = %d: %d of zone %s would be out with %s",
			p.MaxOutPerZone, zone, last.Zone, last.ID)
	case p.MaxOutPerCell > 0 && cell > p.MaxOutPerCell:
		return fmt.Errorf("most_out_cell = %d: %d of cell %d would be out with %s",
			p.MaxOutPerCell, cell, last.Cell, last.ID)
	}
	return nil
}

// CheckLimits returns an error that names the violated constraint if the servers in out may not be out together: they
// exceed the plan's limits on servers that are out, or too little would stay in use. The last of them is the one to
// be taken out.
func (p *Plan) CheckLimits(out []Target, listed []Target) error {
	if err := p.CheckMaxOut(out); err != nil {
		return err
	}
	last := out[len(out)-1]
	totalShare, remainingShare, remainingInZone := 0.0, 0.0, 0
	for _, t := range listed {
		totalShare += t.Share
		if slices.ContainsFunc(out, func(x Target) bool { return x.ID == t.ID }) {
			continue
		}
		if remainingShare += t.Share; t.Zone == last.Zone {
			remainingInZone++
		}
	}
	switch {
	case totalShare > 0 && remainingShare < p.MinCapacity*totalShare:
		return fmt.Errorf("least_capacity = %.2f: %.2f would be left with %s out",
			p.MinCapacity, remainingShare/totalShare, last.ID)
	case remainingInZone < p.MinPerZone:
		return fmt.Errorf("least_zone = %d: %d would be left in zone %s with %s out",
			p.MinPerZone, remainingInZone, last.Zone, last.ID)
	}
	return nil
}

// TargetOf converts a listed server into a target.
func TargetOf(s balance.Server) Target { return Target{s.ID, s.Zone, s.Cell, s.Share, s.Since} }

// ListedTargets returns the targets of all servers in the list that are not gone, sorted by id.
func ListedTargets(servers []balance.Server) (all []Target) {
	for _, s := range servers {
		if s.State != balance.Gone {
			all = append(all, TargetOf(s))
		}
	}
	slices.SortFunc(all, func(x, y Target) int { return cmp.Compare(x.ID, y.ID) })
	return all
}
