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

// newState returns a state with a submitted plan of n servers.
func newState(maxOut, n int) *State {
	s := &State{}
	if err := s.Apply(1, 1, &Command{Kind: Submit, Plan: "p",
		Definition: &plan.Plan{ID: "p", MaxOut: maxOut, DoneBy: "start"}, Targets: targets(n)}); err != nil {
		panic(err)
	}
	return s
}

// apply applies a command on a step with the step's current index.
func apply(s *State, k Kind, server string) error {
	c := Command{Kind: k, Plan: "p", Server: server, Term: 1}
	if x := s.Find("p").Find(server); x != nil {
		c.Index = x.Index
	}
	return s.Apply(s.Index+1, 1, &c)
}

func TestStepTransitions(t *testing.T) {
	s := newState(1, 2)
	for _, c := range []struct {
		kind Kind
		on   string
		want string // part of the error; empty: the command is applied
	}{
		{ConfirmDrained, "s-1", "waits"}, {StartDrain, "s-9", "no server"}, {StartDrain, "s-1", ""}, {StartDrain, "s-1", "drains"},
		{StartDrain, "s-2", "most_out = 1"}, {StartReturn, "s-1", "drains"}, {ConfirmDrained, "s-1", ""}, {CancelDrain, "s-1", "out"},
		{FinishWork, "s-1", ""}, {FinishWork, "s-1", "back"}, {StartDrain, "s-2", "most_out = 1"}, {Complete, "s-1", ""},
		{StartDrain, "s-1", "done"}, {StartDrain, "s-2", ""}, {CancelDrain, "s-2", ""}, {StartDrain, "s-2", ""}, {ConfirmDrained, "s-2", ""},
		{StartReturn, "s-2", ""}, {Complete, "s-2", ""},
	} {
		err := apply(s, c.kind, c.on)
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s %s: got %v, want %q", kindTexts[c.kind], c.on, err, c.want)
		}
	}
	if run := s.Find("p"); run.Status != Ended || s.Busy() || run.Find("s-2").Cancellations != 1 {
		t.Errorf("got %+v", run)
	}
}

// Commands from a leader of another term, and commands on a step that has moved on since the proposal, are rejected.
func TestFencing(t *testing.T) {
	s := newState(1, 1)
	if err := s.Apply(2, 2, &Command{Kind: StartDrain, Plan: "p", Server: "s-1", Term: 1, Index: 1}); err == nil {
		t.Error("accepted a command from the leader of an earlier term")
	}
	for _, k := range []Kind{StartDrain, CancelDrain, StartDrain} {
		if err := apply(s, k, "s-1"); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Apply(9, 1, &Command{Kind: ConfirmDrained, Plan: "p", Server: "s-1", Term: 1, Index: 3}); err == nil {
		t.Error("accepted a command that refers to an earlier drain")
	}
}

func TestConcurrentPlans(t *testing.T) {
	s := newState(2, 3)
	definition := &plan.Plan{ID: "q", MaxOut: 1, DoneBy: "door"}
	for range 2 { // submitted twice
		if err := s.Apply(s.Index+1, 1, &Command{Kind: Submit, Plan: "q",
			Definition: definition, Targets: targets(2)}); err != nil || len(s.Runs) != 2 {
			t.Fatalf("got %v, %d plans", err, len(s.Runs))
		}
	}
	startDrain := func(plan, server string) error {
		return s.Apply(s.Index+1, 1, &Command{Kind: StartDrain, Plan: plan, Server: server, Term: 1,
			Index: s.Find(plan).Find(server).Index})
	}
	if err := startDrain("p", "s-1"); err != nil {
		t.Fatal(err)
	}
	if err := startDrain("q", "s-1"); err == nil || !strings.Contains(err.Error(), "by another plan") {
		t.Errorf("got %v for a server that is out", err)
	}
	if err := startDrain("q", "s-2"); err == nil || !strings.Contains(err.Error(), "plan q: most_out = 1") {
		t.Errorf("got %v, want the other plan's servers to count", err)
	}
	if err := startDrain("p", "s-2"); err != nil {
		t.Errorf("got %v", err)
	}
	if err := s.Apply(s.Index+1, 1, &Command{Kind: Abandon, Plan: "p"}); err != nil ||
		s.Find("p").Find("s-3").Phase != Dropped || len(s.Unavailable()) != 2 {
		t.Errorf("got %v, %+v", err, s.Find("p"))
	}
	if err := startDrain("p", "s-3"); err == nil {
		t.Error("a step of an abandoned plan was started")
	}
}

// healthyView returns the view of a leader in a fleet of n healthy servers.
func healthyView(n int) View {
	v := View{Now: 100 * sec, Wall: 1, Service: 1, Members: []Member{
		{ID: 0, Reachable: true, AppliedIndex: 99}, {ID: 1, Reachable: true, AppliedIndex: 99},
	}}
	for _, x := range targets(n) {
		v.Servers = append(v.Servers, Server{Target: x, Listed: true, Healthy: true, Warm: true})
	}
	return v
}

func TestLeader(t *testing.T) {
	commandTexts := func(all []Command) (s string) {
		for _, c := range all {
			s += kindTexts[c.Kind] + " " + c.Server + " " + c.Reason + ";"
		}
		return s
	}
	config := LeaderConfig{Grace: sec, MaxClientTimeout: 3 * sec, MinService: 0.9, SettleTime: 2 * sec}
	for name, c := range map[string]struct {
		before []Kind // commands applied on s-1
		change func(s *State, v *View)
		at     int64 // time from the first call of Next to the second; 0: one call only
		want   string
	}{
		"no start before the settle time": {nil, nil, sec, ""},
		"the first server starts":         {nil, nil, 2 * sec, "drains s-1 ;"},
		"no start in an overload": {nil,
			func(_ *State, v *View) { v.Shedding = true }, 2 * sec, ""},
		"no start while service is poor": {nil, func(_ *State, v *View) { v.Service = 0.8 }, 2 * sec, ""},
		"an ejected server goes first": {nil,
			func(_ *State, v *View) { v.Servers[1].Healthy = false }, 2 * sec, "drains s-2 ;"},
		"no start while another server is manually out": {nil,
			func(_ *State, v *View) { v.Servers[1].ManuallyOut = true }, 2 * sec, ""},
		"requests still open": {[]Kind{StartDrain},
			func(_ *State, v *View) { v.Members[1].Open = map[string]int{"s-1": 1} }, 9 * sec, ""},
		"a report from before the drain does not count": {[]Kind{StartDrain},
			func(_ *State, v *View) { v.Members[1].AppliedIndex = 1 }, 9 * sec, ""},
		"drained": {[]Kind{StartDrain}, nil, 0, "out s-1 ;"},
		"an unreachable member has its grace period": {[]Kind{StartDrain},
			func(_ *State, v *View) { v.Members[1].Reachable = false }, 3 * sec, ""},
		"the grace period of an unreachable member ends": {[]Kind{StartDrain},
			func(_ *State, v *View) { v.Members[1].Reachable = false }, 4 * sec, "out s-1 ;"},
		"drain cancelled as another server fails": {[]Kind{StartDrain},
			func(_ *State, v *View) { v.Servers[2].Listed = false }, 0, "undone s-1 most_out = 1: 2 would be out with s-1;"},
		"drain cancelled in an overload": {[]Kind{StartDrain},
			func(_ *State, v *View) { v.Shedding = true }, 0, "undone s-1 an overload is met with a cut;"},
		"work in progress": {[]Kind{StartDrain, ConfirmDrained}, nil, 60 * sec, ""},
		"work done": {[]Kind{StartDrain, ConfirmDrained},
			func(_ *State, v *View) { v.Servers[0].Since = 7 }, 0, "back s-1 the list shows a new start;"},
		"server still cold": {[]Kind{StartDrain, ConfirmDrained, StartReturn},
			func(_ *State, v *View) { v.Servers[0].Warm = false }, 9 * sec, ""},
		"server warm": {[]Kind{StartDrain, ConfirmDrained, StartReturn},
			nil, 2 * sec, "done s-1 ;"},
		"a note on a server that does not come back": {[]Kind{StartDrain, ConfirmDrained, StartReturn},
			func(_ *State, v *View) { v.Servers[0].Listed = false }, 11 * sec,
			"told s-1 its work is over and it is not listed as ready;"},
		"paused as the plan is infeasible": {nil,
			func(_ *State, v *View) { v.Servers = v.Servers[:2] }, 2 * sec, "paused  infeasible: servers: s-3 is no longer listed;"},
		"no start outside the window": {nil,
			func(s *State, v *View) { s.Runs[0].Plan.From, s.Runs[0].Plan.Until = "22:00", "23:00" }, 2 * sec, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s, v := newState(1, 3), healthyView(3)
			for _, k := range c.before {
				if err := apply(s, k, "s-1"); err != nil {
					t.Fatal(err)
				}
			}
			if c.change != nil {
				c.change(s, &v)
			}
			l := NewLeader(config, 1)
			got := commandTexts(l.Next(s, v))
			if c.at > 0 {
				v.Now += c.at
				got = commandTexts(l.Next(s, v))
			}
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
