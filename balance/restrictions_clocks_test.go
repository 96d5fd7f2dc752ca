package balance

import (
	"testing"

	"ivybank/internal/decay"
)

// Faults that appeared in three further deployments. Each of these tests failed before package balance was changed.

func TestRestrictedRuleSets(t *testing.T) {
	// Requests of a rule set that is restricted to one kind of machine went to all kinds (on each standard day of that
	// deployment).
	for _, c := range []struct {
		name     string
		restrict func(*RuleSet)
		setup    func(*Balancer)
		want     string
	}{
		{"one kind", func(x *RuleSet) { x.Kinds = []string{"small", "tiny"} }, nil, "b"},
		{"one zone", func(x *RuleSet) { x.Zones = []string{"y"} }, nil, "c"},
		{"both", func(x *RuleSet) { x.Kinds, x.Zones = []string{"small"}, []string{"y"} }, nil, ""},
		{"its server drains", func(x *RuleSet) { x.Kinds = []string{"small"} }, func(b *Balancer) {
			b.UpdateList(ListUpdate, []Server{{ID: "b", Zone: "z", Kind: "small", State: Draining}}, 0)
		}, ""},
		{"its server is ejected", func(x *RuleSet) { x.Kinds = []string{"small"} }, func(b *Balancer) {
			b.servers[1].ejected, b.servers[1].ejectedUntil = true, sec
		}, "b"}, // panic mode of this placement: its servers are all tried
		{"its server is full", func(x *RuleSet) { x.Kinds = []string{"small"} }, func(b *Balancer) {
			b.servers[1].fullUntil = sec
		}, ""},
		{"panic mode", func(x *RuleSet) { x.Kinds = []string{"small"} }, func(b *Balancer) {
			for _, s := range b.servers {
				s.ejected, s.ejectedUntil = true, sec
			}
		}, "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBalancer(3, func(t *Config) { c.restrict(&t.RuleSets[0]) })
			b.UpdateList(ListUpdate, []Server{{ID: "a", Zone: "z", Kind: "large", Share: 1},
				{ID: "b", Zone: "z", Kind: "small", Share: 1}, {ID: "c", Zone: "y", Kind: "large", Share: 1}}, 0)
			if c.setup != nil {
				c.setup(b)
			}
			sent := 0
			for i := range uint64(40) {
				b.AddRequest(Arrival{ID: i, RuleSet: "replayable", Budget: sec}, 0)
			}
			for _, d := range drain(b, 0, Dispatch) {
				if sent++; d.Server != c.want {
					t.Fatalf("sent to %s, want only %q", d.Server, c.want)
				}
			}
			if (sent > 0) != (c.want != "") {
				t.Errorf("sent %d, want some at %q", sent, c.want)
			}
		})
	}
}

func TestWrongStartTimes(t *testing.T) {
	// The clock of a starting server may be behind: with a start time 25 s too early it looked warm at once.
	b := newBalancer(2, func(t *Config) { t.StartError = 25 * sec })
	b.UpdateList(ListUpdate, []Server{{ID: "a", Zone: "z", Share: 1, Since: 79 * sec}}, 100*sec)
	assertNear(t, "capacity of a server that may have started now", b.rampCapacity(b.servers[0], 100*sec), 0.2, 1e-9)
	assertNear(t, "10 s on", b.rampCapacity(b.servers[0], 110*sec), 0.6, 1e-9)
	assertNear(t, "a server started long ago", b.rampCapacity(b.servers[1], 100*sec), 1, 1e-9)
	// The start time of a second process may be before that of the first.
	b.UpdateList(ListUpdate, []Server{{ID: "a", Zone: "z", Share: 1, Since: 78 * sec}}, 105*sec)
	assertNear(t, "the next process", b.rampCapacity(b.servers[0], 105*sec), 0.28, 1e-9)
}

func TestClocksThatDiffer(t *testing.T) {
	start := func() (*Balancer, *request) {
		b := newBalancer(2, func(t *Config) { t.BudgetError = 1500 * ms })
		b.AddRequest(Arrival{ID: 1, RuleSet: "once", Budget: 3 * ms}, 0)
		return b, b.requests[1]
	}
	// Requests arrived with a budget reported 1.5 s too short and were denied without a try.
	b, r := start()
	got := drain(b, 0, Dispatch)
	if len(got) != 1 || r.giveUpAt < 900*ms {
		t.Fatalf("sent %v, given up at %d ms", got, r.giveUpAt/ms)
	}
	// A server whose clock is ahead refuses what seems overdue to it: it is told the client's whole deadline.
	if got[0].Time != 1500*ms {
		t.Errorf("deadline is %d ms, want 1500", got[0].Time/ms)
	}
	// The request still ends at the response target, with an abort and a cancel, and counts as a timeout.
	d, health := r.dispatches[0], r.dispatches[0].server.health
	if end := drain(b, 995*ms, -1); len(end) != 2 || end[0].Kind != Abort || end[1].Kind != Cancel {
		t.Errorf("at the target: %v", end)
	}
	if d.server.health >= health || d.server.streak != 1 {
		t.Errorf("a silent server: health %.2f, streak %d", d.server.health, d.server.streak)
	}
	b.Finished(1, 0, Cancelled, true, sec, sec)
	assertNear(t, "streak after its cancel", float64(d.server.streak), 1, 0)
	// If clocks agree, a dispatch ends by itself.
	b, r = start()
	b.cfg.BudgetError = 0
	assertNear(t, "limit", float64(b.dispatchDeadline(r)), float64(r.giveUpAt), 0)
}

func TestKeysWithoutServerCaches(t *testing.T) {
	// Popular keys overloaded a few servers although servers save no work on a key that they saw before.
	for _, warm := range []bool{true, false} {
		b := newBalancer(6, func(t *Config) { t.WarmKeys = warm })
		got := map[string]bool{}
		for i := range uint64(60) {
			b.AddRequest(Arrival{ID: i, RuleSet: "replayable", Key: "k", Budget: sec}, 0)
			b.computeWeights(0)
			b.keyCounts = decay.KeyCounts{} // so that the key is not split
			got[b.pickServer(b.requests[i], 0).ID] = true
		}
		if (len(got) == 1) != warm {
			t.Errorf("warm keys %v: a key's requests went to %d servers", warm, len(got))
		}
	}
}

func TestLargerServersGetMoreThanTheirSize(t *testing.T) {
	// At equal utilisation a request waits longer at one slow core than at two fast ones: small machines left half of
	// their requests unanswered while large ones were idle (i204c1c). A cold server's weight follows its size alone
	// (rule 4).
	for _, c := range []struct {
		warm  bool
		since int64
		want  float64
	}{{true, 0, 4}, {false, 0, 8}, {false, sec, 4}} {
		b := newBalancer(2, func(t *Config) { t.WarmKeys, t.RampTime = c.warm, 10*sec })
		b.UpdateList(ListUpdate, []Server{{ID: "a", Zone: "z", Share: 4, Since: c.since}}, sec)
		b.reviewServers(2 * sec)
		a, other := b.servers[0], b.servers[1]
		assertNear(t, "weight relative to a server of a quarter of its size", a.weight/a.rampShare/other.weight, c.want, 1e-9)
	}
}
