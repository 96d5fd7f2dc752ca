package plan

import (
	"strings"
	"testing"
	"time"
)

const validPlan = "format = \"ivybank/fleet/plan/1\"\nid = \"kernel\"\nall = true\nmost_out = 2\nmost_out_zone = 1\n" +
	"least_capacity = 0.6\norder = \"zone\"\ndone_by = \"time\"\nwork = \"2s\"\n"

func listed() (all []Target) {
	for i, id := range []string{"s-1", "s-2", "s-3", "s-4"} {
		all = append(all, Target{ID: id, Zone: []string{"a", "b"}[i%2], Cell: int64(i % 2), Share: 1})
	}
	return all
}

func TestRead(t *testing.T) {
	if _, err := Read("p.toml", []byte(validPlan)); err != nil {
		t.Fatal(err)
	}
	for change, want := range map[string]string{
		"id = \"kernel\" -> id = \"\"":                     "p.toml:2: id: expected an id",
		"all = true -> all = false":                        "servers: expected servers, zones",
		"all = true -> all = true\nzones = [\"a\"]":        "p.toml:3: all: expected nothing else",
		"most_out = 2 -> most_out = 0":                     "p.toml:4: most_out: expected one",
		"least_capacity = 0.6 -> least_capacity = 1.0":     "p.toml:6: least_capacity",
		"order = \"zone\" -> order = \"any\"":              "p.toml:7: order: expected given",
		"work = \"2s\"\n -> ":                              "work: expected a time",
		"work = \"2s\" -> work = \"2s\"\nfrom = \"25:00\"": "p.toml:10: from: expected a time of the day",
		"work = \"2s\" -> work = \"2s\"\nfrom = \"22:00\"": "until: expected a time of the day",
		"work = \"2s\" -> work = \"2s\"\nspeed = 3":        "p.toml:10: speed: no such field",
	} {
		t.Run(change, func(t *testing.T) {
			from, to, _ := strings.Cut(change, " -> ")
			if _, err := Read("p.toml", []byte(strings.Replace(validPlan, from, to, 1))); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("got %v, want %s", err, want)
			}
		})
	}
}

func TestCheckFeasible(t *testing.T) {
	for name, c := range map[string]struct {
		change func(p *Plan)
		want   string
	}{
		"unchanged":                           {func(*Plan) {}, ""},
		"a capacity floor above what remains": {func(p *Plan) { p.MinCapacity = 0.8 }, "least_capacity = 0.80: 0.75 would be left with s-1 out"},
		"a floor for each zone":               {func(p *Plan) { p.MinPerZone = 2 }, "least_zone = 2: 1 would be left in zone a with s-1 out"},
		"an unknown server":                   {func(p *Plan) { p.All, p.IDs = false, []string{"s-9"} }, "servers: s-9 is not listed"},
		"an empty zone":                       {func(p *Plan) { p.All, p.Zones = false, []string{"z"} }, "servers: none of those listed"},
	} {
		t.Run(name, func(t *testing.T) {
			p, err := Read("p.toml", []byte(validPlan))
			if err != nil {
				t.Fatal(err)
			}
			c.change(p)
			if err := p.CheckFeasible(listed()); (err == nil) != (c.want == "") || err != nil && err.Error() != c.want {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
}

func TestCheckLimits(t *testing.T) {
	p, err := Read("p.toml", []byte(validPlan))
	if err != nil {
		t.Fatal(err)
	}
	all := listed()
	for name, c := range map[string]struct {
		out []Target
		ok  bool
	}{
		"one":                               {all[:1], true},
		"one of each zone, too little left": {all[:2], false},
		"two of a zone":                     {[]Target{all[0], all[2]}, false},
		"three":                             {all[:3], false},
	} {
		if err := p.CheckLimits(c.out, all); (err == nil) != c.ok {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

func TestOrderAndWindow(t *testing.T) {
	p := &Plan{IDs: []string{"s-3", "s-1"}, Order: "given", From: "22:00", Until: "06:00"}
	if got := p.Targets(listed()); len(got) != 2 || got[0].ID != "s-3" {
		t.Errorf("got %v, want the order of the list", got)
	}
	for hour, want := range map[int]bool{21: false, 22: true, 3: true, 6: false, 12: false} {
		if got := p.InWindow(time.Date(2026, 1, 2, hour, 0, 0, 0, time.UTC).UnixNano()); got != want {
			t.Errorf("at %d: in window: %v", hour, got)
		}
	}
}
