// Package plan is a plan by which servers are taken out for work: which, how many at once, what has to stay, when, and who says that the
// work is done. It owns the file's schema and whether a plan can be done at all. Free of I/O but for the file. It must never look at what a
// plan has come to.
package plan

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"ivybank/balance"
	"ivybank/conf"
)

// Format is what a plan says it is.
const Format = "ivybank/fleet/plan/1"

// most servers of one plan, and bytes of its id.
const (
	mostTargets = 1000
	mostID      = 64
)

// Plan is a plan as operators write it.
type Plan struct {
	Format string   `toml:"format"`
	ID     string   `toml:"id"`
	All    bool     `toml:"all"` // servers: all that are listed, or
	IDs    []string `toml:"servers"`
	Zones  []string `toml:"zones"` // those of zones and cells
	Cells  []int64  `toml:"cells"`

	Most      int     `toml:"most_out"`      // at once
	MostZone  int     `toml:"most_out_zone"` // of one zone; 0: no bound of its own
	MostCell  int     `toml:"most_out_cell"`
	Least     float64 `toml:"least_capacity"` // part of the listed capacity that stays in use
	LeastZone int     `toml:"least_zone"`     // servers that stay in use in each zone

	Order  string        `toml:"order"`   // given, zone or least (least loss first)
	DoneBy string        `toml:"done_by"` // door: a call says that a server is done; start: the list shows a newer start; time: the work's time is over
	Work   conf.Duration `toml:"work"`
	From   string        `toml:"from"` // a window each day, UTC, as "22:00"; empty: always
	Until  string        `toml:"until"`
}

// Target is a server as a plan sees it.
type Target struct {
	ID    string
	Zone  string
	Cell  int64
	Share float64
	Since int64
}

// Read reads and checks one.
func Read(path string, text []byte) (*Plan, error) {
	p := &Plan{}
	f, err := conf.Read(path, text, p)
	if err != nil {
		return nil, err
	}
	return p, p.check(f)
}

func (p *Plan) check(f *conf.File) error {
	_, from := clock(p.From)
	_, until := clock(p.Until)
	return f.CheckRules("", []conf.Rule{
		{Violated: p.Format != Format, Field: "format", Expected: fmt.Sprintf("expected %q", Format)},
		{Violated: p.ID == "" || len(p.ID) > mostID, Field: "id", Expected: fmt.Sprintf("expected an id of its own, %d bytes at the most", mostID)},
		{Violated: !p.All && len(p.IDs)+len(p.Zones)+len(p.Cells) == 0, Field: "servers", Expected: "expected servers, zones, cells or all"},
		{Violated: p.All && len(p.IDs)+len(p.Zones)+len(p.Cells) > 0, Field: "all", Expected: "expected nothing else that names servers beside it"},
		{Violated: len(p.IDs) > mostTargets, Field: "servers", Expected: fmt.Sprintf("expected %d at the most", mostTargets)},
		{Violated: p.Most < 1, Field: "most_out", Expected: "expected one at least"},
		{Violated: p.MostZone < 0, Field: "most_out_zone", Expected: "expected 0 or more"},
		{Violated: p.MostCell < 0, Field: "most_out_cell", Expected: "expected 0 or more"},
		{Violated: p.Least < 0 || p.Least >= 1, Field: "least_capacity", Expected: "expected a part from 0 to below 1"},
		{Violated: p.LeastZone < 0, Field: "least_zone", Expected: "expected 0 or more"},
		{Violated: !slices.Contains([]string{"given", "zone", "least"}, p.Order), Field: "order", Expected: "expected given, zone or least"},
		{Violated: !slices.Contains([]string{"door", "start", "time"}, p.DoneBy), Field: "done_by", Expected: "expected door, start or time"},
		{Violated: p.DoneBy == "time" && p.Work <= 0, Field: "work", Expected: "expected a time above 0"},
		{Violated: from != nil, Field: "from", Expected: "expected a time of the day as \"22:00\""},
		{Violated: until != nil || (p.From == "") != (p.Until == ""), Field: "until", Expected: "expected a time of the day as \"06:00\", with from and only then"},
	})
}

// clock reads a time of the day in minutes.
func clock(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	t, err := time.Parse("15:04", text)
	return 60*t.Hour() + t.Minute(), err
}

// Open says whether a plan's window is open at a time, in Unix ns.
func (p *Plan) Open(wall int64) bool {
	if p.From == "" {
		return true
	}
	from, _ := clock(p.From)
	until, _ := clock(p.Until)
	t := time.Unix(0, wall).UTC()
	now := 60*t.Hour() + t.Minute()
	if from <= until {
		return now >= from && now < until
	}
	return now >= from || now < until
}

// Targets are the plan's servers among those listed, in the order in which they go.
func (p *Plan) Targets(listed []Target) []Target {
	var out []Target
	for _, t := range listed {
		if p.All || slices.Contains(p.IDs, t.ID) || slices.Contains(p.Zones, t.Zone) || slices.Contains(p.Cells, t.Cell) {
			out = append(out, t)
		}
	}
	place := func(t Target) int { return slices.Index(p.IDs, t.ID) }
	slices.SortStableFunc(out, func(x, y Target) int {
		switch p.Order {
		case "given":
			return cmp.Compare(place(x), place(y))
		case "zone":
			return cmp.Or(cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.ID, y.ID))
		}
		return cmp.Or(cmp.Compare(x.Share, y.Share), cmp.Compare(x.ID, y.ID))
	})
	return out
}

// Feasible says why a plan cannot be done with the servers that are listed, naming the constraint; nil where it can.
func (p *Plan) Feasible(listed []Target) error {
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
		if err := p.Allows([]Target{t}, listed); err != nil {
			return err
		}
	}
	return nil
}

// Within says why so many may not be out at once, whatever is listed, naming the constraint; nil where they may.
func (p *Plan) Within(out []Target) error {
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
	case len(out) > p.Most:
		return fmt.Errorf("most_out = %d: %d would be out with %s", p.Most, len(out), last.ID)
	case p.MostZone > 0 && zone > p.MostZone:
		return fmt.Errorf("most_out_zone = %d: %d of zone %s would be out with %s", p.MostZone, zone, last.Zone, last.ID)
	case p.MostCell > 0 && cell > p.MostCell:
		return fmt.Errorf("most_out_cell = %d: %d of cell %d would be out with %s", p.MostCell, cell, last.Cell, last.ID)
	}
	return nil
}

// Allows says why these servers may not be out together, naming the constraint; nil where they may.
func (p *Plan) Allows(out []Target, listed []Target) error {
	if err := p.Within(out); err != nil {
		return err
	}
	last := out[len(out)-1]
	total, left, stay := 0.0, 0.0, 0
	for _, t := range listed {
		total += t.Share
		if slices.ContainsFunc(out, func(x Target) bool { return x.ID == t.ID }) {
			continue
		}
		if left += t.Share; t.Zone == last.Zone {
			stay++
		}
	}
	switch {
	case total > 0 && left < p.Least*total:
		return fmt.Errorf("least_capacity = %.2f: %.2f would be left with %s out", p.Least, left/total, last.ID)
	case stay < p.LeastZone:
		return fmt.Errorf("least_zone = %d: %d would be left in zone %s with %s out", p.LeastZone, stay, last.Zone, last.ID)
	}
	return nil
}

// TargetOf is a listed server as a plan sees it.
func TargetOf(s balance.Server) Target { return Target{s.ID, s.Zone, s.Cell, s.Share, s.Since} }

// ListedTargets gives the targets of a list.
func ListedTargets(servers []balance.Server) (all []Target) {
	for _, s := range servers {
		if s.State != balance.Gone {
			all = append(all, TargetOf(s))
		}
	}
	slices.SortFunc(all, func(x, y Target) int { return cmp.Compare(x.ID, y.ID) })
	return all
}
