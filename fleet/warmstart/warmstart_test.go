package warmstart

import (
	"slices"
	"testing"

	"ivybank/balance"
)

func terms() *balance.Config {
	return &balance.Config{FleetSize: 12, RuleSets: []balance.RuleSet{{Name: "view", ResponseTarget: 8e8}}}
}

// kept is a memory as it was written at a time.
func kept() Snapshot {
	m := Snapshot{Proxy: "a", WallTime: 1000 * sec, BootID: "b", Uptime: 100 * sec, ConfigHash: ConfigHash(terms()), List: List{Generation: 3, Age: sec, Hosts: []Host{{balance.Server{ID: "s-1"}, "x"}}}}
	m.Balancer = balance.Snapshot{Rate: 60, Servers: []balance.ServerSnapshot{
		{ID: "s-1", Health: 0.4, EjectionLeft: 4 * sec, Streak: 2, Ejections: 1, Latency: 5, SlotTime: 5, InflightCap: 9, LastOutcomeAge: sec},
		{ID: "s-2", Health: 1, Latency: 5, SlotTime: 5, InflightCap: 9, LastOutcomeAge: 0}}}
	return m
}

func TestWeigh(t *testing.T) {
	at := func(wall, up int64) Clocks { return Clocks{WallTime: wall, BootID: "b", Uptime: up} }
	for name, c := range map[string]struct {
		whose string
		now   Clocks
		terms *balance.Config
		want  func(m Snapshot) bool
	}{
		"at once": {"a", at(1000*sec, 100*sec), terms(), func(m Snapshot) bool {
			return m.Balancer.Rate == 60 && m.Balancer.Servers[0].EjectionLeft == 4*sec && m.Balancer.Servers[0].LastOutcomeAge == -1 && m.List.Generation == 3
		}},
		"an ejection goes on for what was left": {"a", at(1003*sec, 103*sec), terms(), func(m Snapshot) bool { return m.Balancer.Servers[0].EjectionLeft == sec }},
		"one that is over leaves the state of one that has come back": {"a", at(1005*sec, 105*sec), terms(), func(m Snapshot) bool {
			x := m.Balancer.Servers[0]
			return x.EjectionLeft == 0 && x.Streak == 1 && x.InflightCap == 1
		}},
		"too old for servers, not for the list": {"a", at(1040*sec, 140*sec), terms(), func(m Snapshot) bool {
			return len(m.Balancer.Servers) == 0 && len(m.List.Hosts) == 1 && m.Balancer.Rate > 15 && m.Balancer.Rate < 25
		}},
		"a day old": {"a", at(90000*sec, 89000*sec), terms(), func(m Snapshot) bool { return len(m.List.Hosts) == 0 && m.Balancer.Rate == 0 }},
		// The clock of the day jumped; the machine's own did not.
		"a clock that jumped ahead":   {"a", at(5000*sec, 101*sec), terms(), func(m Snapshot) bool { return m.Balancer.Servers[0].EjectionLeft == 3*sec }},
		"a clock that jumped back":    {"a", at(10*sec, 101*sec), terms(), func(m Snapshot) bool { return m.Balancer.Servers[0].EjectionLeft == 3*sec }},
		"of the future":               {"a", Clocks{WallTime: 900 * sec, BootID: "c", Uptime: sec}, terms(), func(m Snapshot) bool { return m.Proxy == "" }},
		"after the machine's restart": {"a", Clocks{WallTime: 1002 * sec, BootID: "c", Uptime: sec}, terms(), func(m Snapshot) bool { return m.Balancer.Servers[0].EjectionLeft == 2*sec }},
		"of another proxy":            {"z", at(1000*sec, 100*sec), terms(), func(m Snapshot) bool { return m.Proxy == "" }},
		"of other terms": {"a", at(1000*sec, 100*sec), &balance.Config{FleetSize: 12}, func(m Snapshot) bool {
			return m.Balancer.Rate == 0 && len(m.Balancer.Servers) == 2
		}},
	} {
		t.Run(name, func(t *testing.T) {
			m := kept()
			got, verdicts := Evaluate(m, c.whose, c.terms, c.now, 30*sec)
			if !c.want(got) {
				t.Errorf("got %+v, by %v", got, verdicts)
			}
			if m.Balancer.Servers[0].EjectionLeft != 4*sec {
				t.Error("what was handed in has changed")
			}
		})
	}
}

func TestLearn(t *testing.T) {
	const since = 77
	out := func(left int64) balance.ServerSnapshot {
		return balance.ServerSnapshot{ID: "s-1", Since: since, Health: 0.3, EjectionLeft: left}
	}
	told := func(by int, l balance.ServerSnapshot) PeerReport {
		return PeerReport{Member: by, Beliefs: []Belief{{Server: l, HeardAt: 10 * sec}}}
	}
	own := []balance.ServerSnapshot{{ID: "s-1", Since: since, Health: 0.9, InflightCap: 5, Latency: 3}}
	for name, c := range map[string]struct {
		own    []balance.ServerSnapshot
		told   []PeerReport
		left   int64
		streak int
		health float64
	}{
		"two say that it is out": {nil, []PeerReport{told(1, out(5*sec)), told(2, out(3*sec))}, 2 * sec, 2, 0.3},
		// A survivor whose own link is broken holds a healthy server to be out.
		"one alone does not eject":             {nil, []PeerReport{told(1, out(5*sec)), {Member: 2}}, 0, 1, 0.3},
		"nor against what one knows oneself":   {own, []PeerReport{told(1, out(5*sec))}, 0, 1, 0.5},
		"what one held out oneself stays so":   {[]balance.ServerSnapshot{out(9 * sec)}, nil, 9 * sec, 0, 0.3},
		"an ejection that is over says little": {nil, []PeerReport{told(1, out(sec/2)), told(2, out(sec/2))}, 0, 0, 0.3},
		"another process is another server": {own, []PeerReport{told(1, balance.ServerSnapshot{ID: "s-1", Since: since - 1, Health: 0.1, EjectionLeft: 5 * sec}),
			told(2, balance.ServerSnapshot{ID: "s-1", Since: since - 1, Health: 0.1, EjectionLeft: 5 * sec})}, 0, 0, 0.9},
		"a later process voids what is known": {own, []PeerReport{told(1, balance.ServerSnapshot{ID: "s-1", Since: since + 1, Health: 1})}, 0, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			got := MergeReports(c.own, c.told, 11*sec)
			if len(got) != 1 {
				t.Fatalf("got %+v", got)
			}
			if l := got[0]; l.EjectionLeft != c.left || l.Streak != c.streak || l.Health != c.health || l.LastOutcomeAge != -1 {
				t.Errorf("got %+v, want left %d, streak %d, health %.1f", l, c.left, c.streak, c.health)
			}
		})
	}
	t.Run("a drain that one tells of", func(t *testing.T) {
		got := MergeReports(own, []PeerReport{told(1, balance.ServerSnapshot{ID: "s-1", Since: since, Health: 1, Draining: true})}, 11*sec)
		if len(got) != 1 || !got[0].Draining {
			t.Errorf("got %+v", got)
		}
	})
}

func TestMatch(t *testing.T) {
	listed := func(id string) (int64, uint32, bool) { return 500, 5, id == "s-1" }
	told := []PeerReport{{Member: 1, Beliefs: []Belief{{Server: balance.ServerSnapshot{ID: "s-1"}, StartTime: 5}, {Server: balance.ServerSnapshot{ID: "s-1"}, StartTime: 6}, {Server: balance.ServerSnapshot{ID: "s-2"}, StartTime: 5}}}}
	got := MatchListed(told, listed)
	if len(got) != 1 || len(got[0].Beliefs) != 1 || got[0].Beliefs[0].Server.Since != 500 {
		t.Errorf("got %+v, want the one of the process that is listed", got)
	}
}

func TestMeter(t *testing.T) {
	m := ServiceMeter{StartedAt: 100 * sec, PreviousService: 0.9}
	var full []int64
	for now := 100 * sec; now < 112*sec; now += 50 * ms {
		m.Add(1, now >= 102*sec || now%(100*ms) == 0, now) // a half at first
		if after, ok := m.CheckFull(now); ok {
			full = append(full, after)
		}
	}
	if len(full) != 1 || full[0] < sec || full[0] > 2*sec+sliceLength {
		t.Errorf("full after %v, want once, at about 1.5 s", full)
	}
	if s := m.Service(10*sec, 112*sec); s < 0.99 {
		t.Errorf("service %.2f", s)
	}
	if s := m.Service(10*sec, 200*sec); s != 0 {
		t.Errorf("service %.2f of seconds in which nothing was asked", s)
	}
}

func TestSound(t *testing.T) {
	m := kept()
	if !m.Valid() {
		t.Error("a good one is refused")
	}
	for _, spoil := range []func(m *Snapshot){
		func(m *Snapshot) { m.Balancer.Rate = -1 },
		func(m *Snapshot) { m.Balancer.Servers[0].ID = "" },
		func(m *Snapshot) { m.Balancer.Servers[0].InflightCap = 1e300 },
		func(m *Snapshot) { m.List.Hosts[0].State = 9 },
		func(m *Snapshot) { m.List.Hosts[0].Addr = "" },
	} {
		m := kept()
		m.Balancer.Servers, m.List.Hosts = slices.Clone(m.Balancer.Servers), slices.Clone(m.List.Hosts)
		if spoil(&m); m.Valid() {
			t.Errorf("taken: %+v", m)
		}
	}
}
