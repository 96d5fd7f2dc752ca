package planstate

import (
	"fmt"
	"strings"
	"testing"

	"ivybank/fleet/plan"
)

func targets(n int) (all []plan.Target) {
	for i := range n {
		all = append(all, plan.Target{ID: fmt.Sprint("s-", i+1), Zone: string(rune('a' + i%3)), Share: 1})
	}
	return all
}

func submitted(most, n int) *State {
	s := &State{}
	if err := s.Apply(1, 1, &Command{Kind: Submit, Plan: "p", Definition: &plan.Plan{ID: "p", Most: most, DoneBy: "start"}, Targets: targets(n)}); err != nil {
		panic(err)
	}
	return s
}

// apply puts a command through with the step's index as it is.
func apply(s *State, k Kind, server string) error {
	c := Command{Kind: k, Plan: "p", Server: server, Term: 1}
	if x := s.Find("p").Find(server); x != nil {
		c.Index = x.Index
	}
	return s.Apply(s.Index+1, 1, &c)
}

func TestSteps(t *testing.T) {
	s := submitted(1, 2)
	for _, c := range []struct {
		kind Kind
		on   string
		want string // part of why it is refused; empty: it is taken
	}{
		{Clear, "s-1", "waits"}, {Take, "s-9", "no server"}, {Take, "s-1", ""}, {Take, "s-1", "drains"}, {Take, "s-2", "most_out = 1"}, {Return, "s-1", "drains"},
		{Clear, "s-1", ""}, {Undo, "s-1", "out"}, {FinishWork, "s-1", ""}, {FinishWork, "s-1", "back"}, {Take, "s-2", "most_out = 1"}, {Close, "s-1", ""}, {Take, "s-1", "done"},
		{Take, "s-2", ""}, {Undo, "s-2", ""}, {Take, "s-2", ""}, {Clear, "s-2", ""}, {Return, "s-2", ""}, {Close, "s-2", ""},
	} {
		err := apply(s, c.kind, c.on)
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s %s: got %v, want %q", words[c.kind], c.on, err, c.want)
		}
	}
	if w := s.Find("p"); w.Standing != Ended || s.Busy() || w.Find("s-2").Tries != 1 {
		t.Errorf("got %+v", w)
	}
}

// What a leader of another term proposed, or what speaks of a step that has moved on since, is void.
func TestFencing(t *testing.T) {
	s := submitted(1, 1)
	if err := s.Apply(2, 2, &Command{Kind: Take, Plan: "p", Server: "s-1", Term: 1, Index: 1}); err == nil {
		t.Error("taken from a leader that is no more")
	}
	for _, k := range []Kind{Take, Undo, Take} {
		if err := apply(s, k, "s-1"); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Apply(9, 1, &Command{Kind: Clear, Plan: "p", Server: "s-1", Term: 1, Index: 3}); err == nil {
		t.Error("a word of an earlier drain was taken for this one")
	}
}

func TestPlansTogether(t *testing.T) {
	s := submitted(2, 3)
	body := &plan.Plan{ID: "q", Most: 1, DoneBy: "door"}
	for range 2 { // handed in twice
		if err := s.Apply(s.Index+1, 1, &Command{Kind: Submit, Plan: "q", Definition: body, Targets: targets(2)}); err != nil || len(s.Works) != 2 {
			t.Fatalf("got %v, %d plans", err, len(s.Works))
		}
	}
	take := func(plan, server string) error {
		return s.Apply(s.Index+1, 1, &Command{Kind: Take, Plan: plan, Server: server, Term: 1, Index: s.Find(plan).Find(server).Index})
	}
	if err := take("p", "s-1"); err != nil {
		t.Fatal(err)
	}
	if err := take("q", "s-1"); err == nil || !strings.Contains(err.Error(), "by another plan") {
		t.Errorf("got %v for a server that is out", err)
	}
	if err := take("q", "s-2"); err == nil || !strings.Contains(err.Error(), "plan q: most_out = 1") {
		t.Errorf("got %v, want the other plan's servers to count", err)
	}
	if err := take("p", "s-2"); err != nil {
		t.Errorf("got %v", err)
	}
	if err := s.Apply(s.Index+1, 1, &Command{Kind: Abandon, Plan: "p"}); err != nil || s.Find("p").Find("s-3").Phase != Dropped || len(s.Unavailable()) != 2 {
		t.Errorf("got %v, %+v", err, s.Find("p"))
	}
	if err := take("p", "s-3"); err == nil {
		t.Error("a step of an abandoned plan has begun")
	}
}

// sight is a fleet in which all is well.
func sight(n int) View {
	v := View{Now: 100 * sec, Wall: 1, Service: 1, Members: []Member{{Place: 0, Reached: true, Index: 99}, {Place: 1, Reached: true, Index: 99}}}
	for _, x := range targets(n) {
		v.Servers = append(v.Servers, Server{Target: x, Listed: true, Healthy: true, Warm: true})
	}
	return v
}

func TestLead(t *testing.T) {
	kinds := func(all []Command) (s string) {
		for _, c := range all {
			s += words[c.Kind] + " " + c.Server + " " + c.Reason + ";"
		}
		return s
	}
	terms := LeaderConfig{Grace: sec, MaxClientTimeout: 3 * sec, MinService: 0.9, SettleTime: 2 * sec}
	for name, c := range map[string]struct {
		before []Kind // on s-1
		change func(s *State, v *View)
		at     int64 // after the first look
		want   string
	}{
		"not before service was well for a time":      {nil, nil, sec, ""},
		"the first":                                   {nil, nil, 2 * sec, "drains s-1 ;"},
		"none in an overload":                         {nil, func(_ *State, v *View) { v.Cut = true }, 2 * sec, ""},
		"none while service is poor":                  {nil, func(_ *State, v *View) { v.Service = 0.8 }, 2 * sec, ""},
		"one that is ejected goes first":              {nil, func(_ *State, v *View) { v.Servers[1].Healthy = false }, 2 * sec, "drains s-2 ;"},
		"none while another is out by hand":           {nil, func(_ *State, v *View) { v.Servers[1].ManuallyOut = true }, 2 * sec, ""},
		"not yet clear":                               {[]Kind{Take}, func(_ *State, v *View) { v.Members[1].Open = map[string]int{"s-1": 1} }, 9 * sec, ""},
		"a word from before the drain does not count": {[]Kind{Take}, func(_ *State, v *View) { v.Members[1].Index = 1 }, 9 * sec, ""},
		"clear":                                {[]Kind{Take}, nil, 0, "out s-1 ;"},
		"one that is not reached has its time": {[]Kind{Take}, func(_ *State, v *View) { v.Members[1].Reached = false }, 3 * sec, ""},
		"and no longer":                        {[]Kind{Take}, func(_ *State, v *View) { v.Members[1].Reached = false }, 4 * sec, "out s-1 ;"},
		"undone as another fails":              {[]Kind{Take}, func(_ *State, v *View) { v.Servers[2].Listed = false }, 0, "undone s-1 most_out = 1: 2 would be out with s-1;"},
		"undone in an overload":                {[]Kind{Take}, func(_ *State, v *View) { v.Cut = true }, 0, "undone s-1 an overload is met with a cut;"},
		"at work":                              {[]Kind{Take, Clear}, nil, 60 * sec, ""},
		"worked on":                            {[]Kind{Take, Clear}, func(_ *State, v *View) { v.Servers[0].Since = 7 }, 0, "back s-1 the list shows a new start;"},
		"cold":                                 {[]Kind{Take, Clear, Return}, func(_ *State, v *View) { v.Servers[0].Warm = false }, 9 * sec, ""},
		"warm":                                 {[]Kind{Take, Clear, Return}, nil, 2 * sec, "done s-1 ;"},
		"one that does not come back is told of": {[]Kind{Take, Clear, Return}, func(_ *State, v *View) { v.Servers[0].Listed = false }, 11 * sec,
			"told s-1 its work is over and it is not listed as ready;"},
		"paused as it can no longer be done": {nil, func(_ *State, v *View) { v.Servers = v.Servers[:2] }, 2 * sec, "paused  infeasible: servers: s-3 is no longer listed;"},
		"none outside its window":            {nil, func(s *State, v *View) { s.Works[0].Plan.From, s.Works[0].Plan.Until = "22:00", "23:00" }, 2 * sec, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s, v := submitted(1, 3), sight(3)
			for _, k := range c.before {
				if err := apply(s, k, "s-1"); err != nil {
					t.Fatal(err)
				}
			}
			if c.change != nil {
				c.change(s, &v)
			}
			l := NewLead(terms, 1)
			first := kinds(l.Next(s, v))
			if c.at > 0 {
				v.Now += c.at
				first = kinds(l.Next(s, v))
			}
			if first != c.want {
				t.Errorf("got %q, want %q", first, c.want)
			}
		})
	}
}
