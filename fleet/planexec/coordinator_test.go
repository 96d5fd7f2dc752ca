package planexec

import (
	"fmt"
	"testing"

	"ivybank/fleet/plan"
	"ivybank/fleet/planstate"
	"ivybank/fleet/quorum"
)

// testFleet is a set of members whose messages all arrive. The work at a server is done as soon as the server is out.
type testFleet struct {
	members   []*Coordinator // nil: not running
	stored    []quorum.PersistentState
	now       int64
	sent      int
	startedAt map[string]int64
	maxOut    int // most servers that were out at once, by the state of any member
}

func newTestFleet(n int) *testFleet {
	fleet := &testFleet{members: make([]*Coordinator, n), stored: make([]quorum.PersistentState, n),
		now: sec, startedAt: map[string]int64{}}
	for i := range n {
		fleet.start(i)
	}
	return fleet
}

func (fleet *testFleet) start(i int) {
	c, err := New(Config{Self: i, Members: len(fleet.members), Voters: 3, Incarnation: uint64(fleet.now), Seed: 7,
		Leader: planstate.LeaderConfig{Grace: sec, MaxClientTimeout: sec, MinService: 0.9, SettleTime: sec}},
		fleet.stored[i], fleet.now)
	if err != nil {
		panic(err)
	}
	fleet.members[i] = c
}

func (fleet *testFleet) view() View {
	view := View{Now: fleet.now, Wall: fleet.now, Service: 1, Alive: func(i int) bool { return fleet.members[i] != nil }}
	for _, t := range targets() {
		t.Since = fleet.startedAt[t.ID]
		view.Servers = append(view.Servers, planstate.Server{Target: t, Listed: true, Healthy: true, Warm: true})
	}
	return view
}

func targets() (all []plan.Target) {
	for i := range 4 {
		all = append(all, plan.Target{ID: fmt.Sprint("s-", i), Zone: "a", Share: 1})
	}
	return all
}

// run lets the given time pass, in ns.
func (fleet *testFleet) run(d int64) {
	for end := fleet.now + d; fleet.now < end; fleet.now += 50 * ms {
		for i, c := range fleet.members {
			if c == nil {
				continue
			}
			c.Tick(fleet.view())
			fleet.deliver(i)
			out := 0
			for _, run := range c.State().Runs {
				for _, step := range run.Steps {
					if step.Phase.Unavailable() {
						out++
					}
					if step.Phase == planstate.Out {
						fleet.startedAt[step.ID] = fleet.now
					}
				}
			}
			fleet.maxOut = max(fleet.maxOut, out)
		}
	}
}

// deliver carries out a member's actions and those of the members that receive its messages.
func (fleet *testFleet) deliver(i int) {
	for c := fleet.members[i]; c != nil; {
		a, ok := c.Next()
		if !ok {
			return
		}
		switch a.Kind {
		case Send:
			fleet.sent++
			if to := fleet.members[a.To]; to != nil {
				to.Receive(i, a.Body, fleet.now)
				fleet.deliver(a.To)
			}
		case Persist:
			fleet.stored[i].Apply(&a.Batch)
			c.Persisted(&a.Batch, fleet.now)
		}
	}
}

func (fleet *testFleet) submit(at int) {
	c, err := SubmitCommand(&plan.Plan{ID: "p", All: true, MaxOut: 1, Order: "zone", DoneBy: "start"},
		targets(), fleet.now)
	if err != nil {
		panic(err)
	}
	fleet.members[at].Request(c, fleet.now)
}

func (fleet *testFleet) checkEnded(t *testing.T) {
	t.Helper()
	for i, c := range fleet.members {
		if c == nil {
			continue
		}
		run := c.State().Find("p")
		if run == nil || run.Status != planstate.Ended {
			t.Fatalf("member %d: %+v", i, run)
		}
	}
	if fleet.maxOut != 1 {
		t.Errorf("%d out at once", fleet.maxOut)
	}
}

// A plan that is submitted at a non-voting member completes. No messages are sent before the plan or after it.
func TestPlanCompletes(t *testing.T) {
	fleet := newTestFleet(5)
	fleet.run(20 * sec)
	fleet.sent = 0
	fleet.run(20 * sec)
	if fleet.sent > 0 {
		t.Errorf("%d messages sent before any plan", fleet.sent)
	}
	fleet.submit(4)
	fleet.run(30 * sec)
	fleet.checkEnded(t)
	t.Logf("%d messages for 4 steps among 5 members", fleet.sent)
	fleet.run(10 * sec)
	fleet.sent = 0
	fleet.run(20 * sec)
	if fleet.sent > 0 {
		t.Errorf("%d messages sent after the plan", fleet.sent)
	}
}

// The leader crashes at various moments of a plan and restarts with its stored state; the plan completes nevertheless.
func TestLeaderCrash(t *testing.T) {
	for at := int64(0); at < 6*sec; at += 250 * ms {
		t.Run(fmt.Sprint(at/ms, " ms"), func(t *testing.T) {
			fleet := newTestFleet(4)
			fleet.run(15 * sec)
			fleet.submit(3)
			fleet.run(at)
			leader := -1
			for i, c := range fleet.members {
				if isLeader, _ := c.node.IsLeader(); isLeader {
					leader = i
				}
			}
			if leader >= 0 {
				fleet.members[leader] = nil
				fleet.run(5 * sec)
				fleet.start(leader)
			}
			fleet.run(60 * sec)
			fleet.checkEnded(t)
		})
	}
}

// While most voters are down, no step starts and no server returns to service. When they are back, the plan continues.
func TestNoMajority(t *testing.T) {
	fleet := newTestFleet(4)
	fleet.run(15 * sec)
	fleet.submit(3)
	for fleet.members[2].State().Find("p") == nil || len(fleet.members[2].State().Unavailable()) == 0 {
		fleet.run(50 * ms)
	}
	fleet.members[0], fleet.members[1] = nil, nil
	before := fleet.members[2].State().Index
	fleet.run(30 * sec)
	if len(fleet.members[2].State().Unavailable()) != 1 || fleet.members[2].State().Index > before+1 {
		t.Errorf("%v unavailable, %d commands agreed on since", fleet.members[2].State().Unavailable(),
			fleet.members[2].State().Index-before)
	}
	fleet.start(0)
	fleet.start(1)
	fleet.run(60 * sec)
	fleet.checkEnded(t)
}

// A leader that is shut down hands the leadership over at once, faster than an election takes.
func TestLeadershipTransfer(t *testing.T) {
	fleet := newTestFleet(4)
	fleet.run(15 * sec)
	fleet.submit(3)
	fleet.run(500 * ms)
	leader := -1
	for i, c := range fleet.members {
		if isLeader, _ := c.node.IsLeader(); isLeader {
			leader = i
		}
	}
	if leader < 0 {
		t.Fatal("no leader")
	}
	fleet.members[leader].TransferLeadership(fleet.view().Alive)
	fleet.deliver(leader)
	fleet.run(300 * ms)
	fleet.members[leader] = nil
	if newLeader, _ := fleet.members[3].Leader(); newLeader < 0 || newLeader == leader {
		t.Errorf("member %d is the leader", newLeader)
	}
	fleet.run(30 * sec)
	fleet.checkEnded(t)
}
