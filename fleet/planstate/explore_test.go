package planstate

import (
	"fmt"
	"testing"

	"ivybank/fleet/plan"
)

// This file explores the step logic as a state graph, with three members, three servers and a limit of one server
// out. It covers every order in which proposals are agreed on or lost, members apply commands, report, dispatch and
// finish, a leader is replaced while its proposals are still in flight, one member crashes and restarts with all or
// none of its state, one is partitioned, and an overload comes and goes. In every state, no reachable member has a
// request open at a server on which work is done, and no more servers are out than the plan allows.
const (
	memberCount = 3
	maxOut      = 1
	maxTerms    = 2 // successive leaders
	maxOpen     = 1 // concurrent dispatches to servers that go out
)

// modelState is a node of the state graph. It is copied by value.
type modelState struct {
	log             string // agreed commands, 4 bytes each: kind, server, term and index of the step; see replay
	term            uint64
	inFlight        [2]proposal // proposals of this leader and of the previous one; kind 0: none
	members         [memberCount]member
	reports         [memberCount]report // what the leader has heard in this term
	overload        bool
	overloadChanges int // how often the overload began or ended
	crashed         bool
	partitioned     bool
}

type proposal struct {
	kind   Kind
	server int
	index  uint64
	term   uint64
}

type member struct {
	up, reachable bool
	applied       int
	// After a restart without state or a partition, the member dispatches nothing until it has applied this many
	// commands.
	catchUpTo int
	// Open dispatches, by server. Only the first server counts: it goes out first, and a log holds no more than its
	// steps.
	open [1]int
}

type report struct {
	index        int
	open         [1]int
	emptyReports int // reports that nothing is open, for the variant countTwice
}

// variant selects a fault that the exploration has to find.
type variant struct{ noFencing, countTwice bool }

// stateAfter returns the state after the commands of a log. It is cached and must not be modified.
func stateAfter(log string, v variant) *State {
	key := fmt.Sprint(v.noFencing, log)
	if s := replayed[key]; s != nil {
		return s
	}
	s := replay(log, v)
	replayed[key] = s
	return s
}

var replayed = map[string]*State{}

// replay applies the commands of a log to a state with one submitted plan of three servers.
func replay(log string, v variant) *State {
	s := &State{}
	_ = s.Apply(1, 1, &Command{Kind: Submit, Plan: "p",
		Definition: &plan.Plan{ID: "p", MaxOut: maxOut, DoneBy: "start"}, Targets: targets(3)})
	for i := 0; i+3 < len(log); i += 4 {
		c := Command{Kind: Kind(log[i]), Plan: "p", Server: fmt.Sprint("s-", int(log[i+1])+1),
			Term: uint64(log[i+2]), Index: uint64(log[i+3])}
		term := uint64(log[i+2])
		if term > 100 { // marks a command that was agreed on in the term after the one in which it was proposed
			c.Term, term = term-100, term-99
		}
		if v.noFencing {
			c.Term = term
			c.Index = s.Find("p").Find(c.Server).Index
		}
		_ = s.Apply(uint64(2+i/4), term, &c)
	}
	return s
}

// memberState returns the state that a member has applied.
func memberState(node *modelState, m int, v variant) *State {
	return stateAfter(node.log[:min(len(node.log), 4*node.members[m].applied)], v)
}

func findStep(s *State, server int) *Step { return s.Find("p").Find(fmt.Sprint("s-", server+1)) }

// next returns all states that may follow.
func (node modelState) next(v variant) (out []modelState) {
	add := func(change func(x *modelState)) {
		x := node
		change(&x)
		out = append(out, x)
	}
	agreed := stateAfter(node.log, v)
	// The leader proposes by what it has applied and heard, which may lag behind what is agreed on.
	leader := int(node.term-1) % memberCount
	if l := node.members[leader]; l.up {
		leaderState := memberState(&node, leader, v)
		view := View{Now: 1, Service: 1, Shedding: node.overload}
		for i, m := range node.members {
			received := node.reports[i]
			x := Member{ID: i, Reachable: m.up && m.reachable,
				AppliedIndex: uint64(1 + received.index), Open: map[string]int{}}
			for s, n := range received.open {
				x.Open[fmt.Sprint("s-", s+1)] = n
			}
			if v.countTwice {
				emptyReports := 0
				for _, y := range node.reports {
					emptyReports += y.emptyReports
				}
				if emptyReports >= memberCount {
					x.AppliedIndex, x.Open = 99, nil
				}
			}
			view.Members = append(view.Members, x)
		}
		for i, x := range targets(3) {
			if agreed.Find("p").Find(x.ID).Phase == Returning || findStep(leaderState, i).Phase == Out {
				x.Since = 1 // the work is done as soon as the server is out
			}
			view.Servers = append(view.Servers, Server{Target: x, Listed: true, Healthy: true, Warm: true})
		}
		for _, c := range NewLeader(LeaderConfig{}, node.term).Next(leaderState, view) {
			var server int
			_, _ = fmt.Sscanf(c.Server, "s-%d", &server)
			p := proposal{c.Kind, server - 1, c.Index, node.term}
			if node.inFlight[0].kind == 0 && (node.inFlight[1] != p) {
				add(func(x *modelState) { x.inFlight[0] = p })
			}
		}
	}
	for i, p := range node.inFlight {
		if p.kind == 0 {
			continue
		}
		add(func(x *modelState) { x.inFlight[i] = proposal{} }) // lost
		// Agreed on; a proposal of an earlier term takes effect only without fencing.
		add(func(x *modelState) {
			x.inFlight[i] = proposal{}
			term := byte(p.term)
			if p.term != node.term {
				term += 100
			}
			if log := node.log + string([]byte{byte(p.kind), byte(p.server), term, byte(p.index)}); changes(node.log, log, v) {
				x.log = log
			}
		})
	}
	if node.term < maxTerms {
		add(func(x *modelState) {
			x.term++
			x.reports = [memberCount]report{}
			x.inFlight = [2]proposal{{}, node.inFlight[0]}
		})
	}
	if node.overloadChanges < 2 {
		add(func(x *modelState) { x.overload = !x.overload; x.overloadChanges++ })
	}
	opened := 0
	for _, m := range node.members {
		opened += m.open[0]
	}
	for i, m := range node.members {
		if !m.up {
			// Restarts with its stored state, or without any.
			add(func(x *modelState) {
				x.members[i].up, x.members[i].reachable = true, true
				x.members[i].applied = len(node.log) / 4
			})
			add(func(x *modelState) { x.members[i] = member{up: true, reachable: true, catchUpTo: len(node.log) / 4} })
			continue
		}
		if !node.crashed {
			add(func(x *modelState) { x.crashed = true; x.members[i].up = false; x.members[i].open = [1]int{} })
		}
		if m.reachable && !node.partitioned && i != leader {
			// The grace and the client timeout have passed, so nothing is open any more.
			add(func(x *modelState) {
				x.partitioned = true
				x.members[i].reachable = false
				x.members[i].open = [1]int{}
			})
		}
		if !m.reachable {
			// When reachable again, it catches up before it dispatches. A drain binds it meanwhile, as the host list
			// announced it.
			add(func(x *modelState) { x.members[i].reachable, x.members[i].catchUpTo = true, len(node.log)/4 })
			continue
		}
		if 4*m.applied < len(node.log) {
			add(func(x *modelState) { x.members[i].applied++ })
		}
		for s := range m.open {
			if m.open[s] > 0 {
				add(func(x *modelState) { x.members[i].open[s] = 0 })
			} else if opened < maxOpen && !findStep(memberState(&node, i, v), s).Phase.Unavailable() &&
				m.applied >= m.catchUpTo {
				add(func(x *modelState) { x.members[i].open[s] = 1 })
			}
		}
		lastReport := node.reports[i]
		if lastReport.index != m.applied || lastReport.open != m.open ||
			v.countTwice && lastReport.emptyReports < memberCount {
			add(func(x *modelState) {
				x.reports[i] = report{index: m.applied, open: m.open}
				if v.countTwice && m.open == [1]int{} {
					x.reports[i].emptyReports = lastReport.emptyReports + 1
				}
			})
		}
	}
	return out
}

// changes reports whether the last command of a log changed the state. Rejected commands are left out of the log, as
// they do not matter.
func changes(before, after string, v variant) bool {
	x, y := stateAfter(before, v), stateAfter(after, v)
	for i := range x.Runs[0].Steps {
		if x.Runs[0].Steps[i].Phase != y.Runs[0].Steps[i].Phase {
			return true
		}
	}
	return x.Runs[0].Status != y.Runs[0].Status
}

// violation returns which invariant the state violates; empty: none.
func (node modelState) violation(v variant) string {
	s := stateAfter(node.log, v)
	if n := len(s.Unavailable()); n > maxOut {
		return fmt.Sprintf("%d servers are out", n)
	}
	for i := range 1 {
		if findStep(s, i).Phase != Out {
			continue
		}
		for m, x := range node.members {
			if x.up && x.reachable && x.open[i] > 0 {
				return fmt.Sprintf("member %d has requests open at s-%d, on which work is done", m, i+1)
			}
		}
	}
	return ""
}

// explore walks the graph breadth-first from a state. It returns the first violation, the number of states visited,
// and whether the graph was explored completely.
func explore(first modelState, v variant, limit int) (problem string, states int, complete bool) {
	first.term = 1
	for i := range first.members {
		first.members[i] = member{up: true, reachable: true}
	}
	seen := map[modelState]bool{first: true}
	queue := []modelState{first}
	for len(queue) > 0 {
		node := queue[0]
		queue = queue[1:]
		for _, x := range node.next(v) {
			if len(x.log) > 4*4 || seen[x] { // enough for one server's phases, or for a cancelled drain and a new one
				continue
			}
			if problem := x.violation(v); problem != "" {
				return problem, len(seen), false
			}
			if seen[x] = true; len(seen) >= limit {
				return "", len(seen), false
			}
			queue = append(queue, x)
		}
	}
	return "", len(seen), true
}

func TestExploration(t *testing.T) {
	// Each fault is explored alone, so that the graph is small enough to be explored completely.
	crash := modelState{partitioned: true, overloadChanges: 2}
	partition := modelState{crashed: true, overloadChanges: 2}
	overload := modelState{crashed: true, partitioned: true}
	for name, first := range map[string]modelState{"a crash": crash, "a partition": partition, "an overload": overload} {
		t.Run(name, func(t *testing.T) {
			problem, states, complete := explore(first, variant{}, 400_000)
			t.Logf("%d states, explored completely: %v", states, complete)
			if problem != "" {
				t.Errorf("after %d states: %s", states, problem)
			}
		})
	}
	for name, c := range map[string]struct {
		variant
		first modelState
	}{
		"no fencing":             {variant{noFencing: true}, overload},
		"a member counted twice": {variant{countTwice: true}, modelState{crashed: true, partitioned: true, overloadChanges: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			problem, states, _ := explore(c.first, c.variant, 1_000_000)
			t.Logf("%d states until: %s", states, problem)
			if problem == "" {
				t.Errorf("the fault was not found in %d states", states)
			}
		})
	}
}
