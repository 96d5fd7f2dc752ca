package warmstart

import (
	"slices"
	"testing"

	"ivybank/balance"
)

func testConfig() *balance.Config {
	return &balance.Config{FleetSize: 12, RuleSets: []balance.RuleSet{{Name: "view", ResponseTarget: 8e8}}}
}

// testSnapshot is a snapshot written at 1000 s of wall time and 100 s of uptime.
func testSnapshot() Snapshot {
	m := Snapshot{Proxy: "a", WallTime: 1000 * sec, BootID: "b", Uptime: 100 * sec,
		ConfigHash: ConfigHash(testConfig()),
		List:       List{Generation: 3, Age: sec, Hosts: []Host{{balance.Server{ID: "s-1"}, "x"}}}}
	m.Balancer = balance.Snapshot{Rate: 60, Servers: []balance.ServerSnapshot{
		{ID: "s-1", Health: 0.4, EjectionLeft: 4 * sec, Streak: 2, Ejections: 1, Latency: 5, SlotTime: 5,
			InflightCap: 9, LastOutcomeAge: sec},
		{ID: "s-2", Health: 1, Latency: 5, SlotTime: 5, InflightCap: 9, LastOutcomeAge: 0}}}
	return m
}

func TestEvaluate(t *testing.T) {
	at := func(wall, up int64) Clocks { return Clocks{WallTime: wall, BootID: "b", Uptime: up} }
	for name, c := range map[string]struct {
		proxy string
		now   Clocks
		cfg   *balance.Config
		want  func(m Snapshot) bool
	}{
		"no time passed": {"a", at(1000*sec, 100*sec), testConfig(), func(m Snapshot) bool {
			return m.Balancer.Rate == 60 && m.Balancer.Servers[0].EjectionLeft == 4*sec &&
				m.Balancer.Servers[0].LastOutcomeAge == -1 && m.List.Generation == 3
		}},
		"ejection continues": {"a", at(1003*sec, 103*sec), testConfig(),
			func(m Snapshot) bool { return m.Balancer.Servers[0].EjectionLeft == sec }},
		"ejection over": {"a", at(1005*sec, 105*sec), testConfig(), func(m Snapshot) bool {
			x := m.Balancer.Servers[0]
			return x.EjectionLeft == 0 && x.Streak == 1 && x.InflightCap == 1
		}},
		"too old for servers but not for the list": {"a", at(1040*sec, 140*sec), testConfig(), func(m Snapshot) bool {
			return len(m.Balancer.Servers) == 0 && len(m.List.Hosts) == 1 && m.Balancer.Rate > 15 &&
				m.Balancer.Rate < 25
		}},
		"a day old": {"a", at(90000*sec, 89000*sec), testConfig(),
			func(m Snapshot) bool { return len(m.List.Hosts) == 0 && m.Balancer.Rate == 0 }},
		// Wall time jumped, the machine's uptime did not.
		"wall time jumped ahead": {"a", at(5000*sec, 101*sec), testConfig(),
			func(m Snapshot) bool { return m.Balancer.Servers[0].EjectionLeft == 3*sec }},
		"wall time jumped back": {"a", at(10*sec, 101*sec), testConfig(),
			func(m Snapshot) bool { return m.Balancer.Servers[0].EjectionLeft == 3*sec }},
		"from the future": {"a", Clocks{WallTime: 900 * sec, BootID: "c", Uptime: sec}, testConfig(),
			func(m Snapshot) bool { return m.Proxy == "" }},
		"after a reboot": {"a", Clocks{WallTime: 1002 * sec, BootID: "c", Uptime: sec}, testConfig(),
			func(m Snapshot) bool { return m.Balancer.Servers[0].EjectionLeft == 2*sec }},
		"other proxy": {"z", at(1000*sec, 100*sec), testConfig(),
			func(m Snapshot) bool { return m.Proxy == "" }},
		"other configuration": {"a", at(1000*sec, 100*sec), &balance.Config{FleetSize: 12}, func(m Snapshot) bool {
			return m.Balancer.Rate == 0 && len(m.Balancer.Servers) == 2
		}},
	} {
		t.Run(name, func(t *testing.T) {
			m := testSnapshot()
			got, verdicts := Evaluate(m, c.proxy, c.cfg, c.now, 30*sec)
			if !c.want(got) {
				t.Errorf("got %+v, verdicts %v", got, verdicts)
			}
			if m.Balancer.Servers[0].EjectionLeft != 4*sec {
				t.Error("the argument was modified")
			}
		})
	}
}

func TestMergeReports(t *testing.T) {
	const since = 77
	ejected := func(ejectionLeft int64) balance.ServerSnapshot {
		return balance.ServerSnapshot{ID: "s-1", Since: since, Health: 0.3, EjectionLeft: ejectionLeft}
	}
	report := func(by int, l balance.ServerSnapshot) PeerReport {
		return PeerReport{Member: by, Beliefs: []Belief{{Server: l, HeardAt: 10 * sec}}}
	}
	own := []balance.ServerSnapshot{{ID: "s-1", Since: since, Health: 0.9, InflightCap: 5, Latency: 3}}
	for name, c := range map[string]struct {
		own          []balance.ServerSnapshot
		reports      []PeerReport
		ejectionLeft int64
		streak       int
		health       float64
	}{
		"two peers report an ejection": {nil, []PeerReport{report(1, ejected(5*sec)), report(2, ejected(3*sec))},
			2 * sec, 2, 0.3},
		// A peer whose own link is broken reports a healthy server as ejected.
		"one peer does not eject":        {nil, []PeerReport{report(1, ejected(5*sec)), {Member: 2}}, 0, 1, 0.3},
		"one peer against own knowledge": {own, []PeerReport{report(1, ejected(5*sec))}, 0, 1, 0.5},
		"own ejection stays":             {[]balance.ServerSnapshot{ejected(9 * sec)}, nil, 9 * sec, 0, 0.3},
		"expired ejection": {nil, []PeerReport{report(1, ejected(sec/2)), report(2, ejected(sec/2))},
			0, 0, 0.3},
		"earlier process of the server": {own, []PeerReport{
			report(1, balance.ServerSnapshot{ID: "s-1", Since: since - 1, Health: 0.1, EjectionLeft: 5 * sec}),
			report(2, balance.ServerSnapshot{ID: "s-1", Since: since - 1, Health: 0.1, EjectionLeft: 5 * sec})},
			0, 0, 0.9},
		"later process of the server": {own, []PeerReport{
			report(1, balance.ServerSnapshot{ID: "s-1", Since: since + 1, Health: 1})}, 0, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			got := MergeReports(c.own, c.reports, 11*sec)
			if len(got) != 1 {
				t.Fatalf("got %+v", got)
			}
			if l := got[0]; l.EjectionLeft != c.ejectionLeft || l.Streak != c.streak || l.Health != c.health ||
				l.LastOutcomeAge != -1 {
				t.Errorf("got %+v, want left %d, streak %d, health %.1f", l, c.ejectionLeft, c.streak, c.health)
			}
		})
	}
	t.Run("one peer reports draining", func(t *testing.T) {
		got := MergeReports(own, []PeerReport{
			report(1, balance.ServerSnapshot{ID: "s-1", Since: since, Health: 1, Draining: true})}, 11*sec)
		if len(got) != 1 || !got[0].Draining {
			t.Errorf("got %+v", got)
		}
	})
}

func TestMatchListed(t *testing.T) {
	listed := func(id string) (int64, uint32, bool) { return 500, 5, id == "s-1" }
	reports := []PeerReport{{Member: 1, Beliefs: []Belief{{Server: balance.ServerSnapshot{ID: "s-1"}, StartTime: 5},
		{Server: balance.ServerSnapshot{ID: "s-1"}, StartTime: 6},
		{Server: balance.ServerSnapshot{ID: "s-2"}, StartTime: 5}}}}
	got := MatchListed(reports, listed)
	if len(got) != 1 || len(got[0].Beliefs) != 1 || got[0].Beliefs[0].Server.Since != 500 {
		t.Errorf("got %+v, want only the listed process", got)
	}
}

func TestServiceMeter(t *testing.T) {
	m := ServiceMeter{StartedAt: 100 * sec, PreviousService: 0.9}
	var full []int64
	for now := 100 * sec; now < 112*sec; now += 50 * ms {
		m.Add(1, now >= 102*sec || now%(100*ms) == 0, now) // only every other one at first
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
		t.Errorf("service %.2f without requests, want 0", s)
	}
}

func TestValid(t *testing.T) {
	m := testSnapshot()
	if !m.Valid() {
		t.Error("a valid snapshot was refused")
	}
	for _, corrupt := range []func(m *Snapshot){
		func(m *Snapshot) { m.Balancer.Rate = -1 },
		func(m *Snapshot) { m.Balancer.Servers[0].ID = "" },
		func(m *Snapshot) { m.Balancer.Servers[0].InflightCap = 1e300 },
		func(m *Snapshot) { m.List.Hosts[0].State = 9 },
		func(m *Snapshot) { m.List.Hosts[0].Addr = "" },
	} {
		m := testSnapshot()
		m.Balancer.Servers, m.List.Hosts = slices.Clone(m.Balancer.Servers), slices.Clone(m.List.Hosts)
		if corrupt(&m); m.Valid() {
			t.Errorf("accepted: %+v", m)
		}
	}
}
