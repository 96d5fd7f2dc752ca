package charter

import (
	"fmt"
	"slices"
	"testing"
)

// exploreGraph explores all states that three members can reach, of which one is a leader that is always up. Two
// proposals come at any time, the connections of the other two are lost and restored at any time, and in each step
// each of them applies any part of the commands that it has not applied. Ages are capped where they no longer matter,
// so that the graph is finite. It returns the number of states and the first violation found.
func exploreGraph(t *testing.T, fault string) (states int, problem string) {
	first := &fleet{fault: fault, limits: []float64{50}}
	start := newState(t, fileWithTenantLimit(50))
	for range 3 {
		first.members = append(first.members, &Member{State: *start, CutOffAfter: cutOffAfter, lastUpToDate: now})
		first.applied, first.connected = append(first.applied, 0), append(first.connected, true)
		first.lastContact = append(first.lastContact, 0)
	}
	change := newProposal(1, fileChange("a.toml", fileWithTenantLimit(70)))
	key := func(f *fleet) string {
		s := fmt.Sprint(len(f.agreed), f.limits)
		for _, c := range f.agreed {
			s += fmt.Sprint(c.Kind, c.Edition)
		}
		var both []string // the two members are interchangeable
		for i, m := range f.members[1:] {
			at := now + int64(f.now)
			s := fmt.Sprint(" ", f.applied[i+1], f.connected[i+1], m.catchUpIndex, " ", min(at-m.lastUpToDate, cutOffAfter))
			s += fmt.Sprint(" ", min(f.now-f.lastContact[i+1], grace))
			if m.catchUpIndex != 0 {
				s += fmt.Sprint(" ", min(at-m.goalSetAt, cutOffAfter))
			}
			both = append(both, s)
		}
		slices.Sort(both)
		return s + both[0] + both[1]
	}
	copied := func(f *fleet) *fleet {
		g := *f
		g.agreed, g.applied, g.connected = slices.Clone(f.agreed), slices.Clone(f.applied), slices.Clone(f.connected)
		g.lastContact, g.members, g.limits = slices.Clone(f.lastContact), nil, slices.Clone(f.limits)
		for _, m := range f.members {
			x := *m
			g.members = append(g.members, &x)
		}
		return &g
	}
	seen, queue := map[string]bool{key(first): true}, []*fleet{first}
	for len(queue) > 0 {
		f := queue[0]
		queue = queue[1:]
		var next []*fleet
		if len(f.limits) < 3 {
			g := copied(f)
			c := *change
			c.Base = g.members[0].Newest()
			g.agreed = append(g.agreed, &c)
			g.apply(0, len(g.agreed))
			g.limits = append(g.limits, 70)
			next = append(next, g)
		}
		for i := 1; i < 3; i++ {
			g := copied(f)
			g.connected[i] = !g.connected[i]
			next = append(next, g)
		}
		for a := f.applied[1]; a <= len(f.agreed); a++ {
			for b := f.applied[2]; b <= len(f.agreed); b++ {
				if a > f.applied[1] && !f.connected[1] || b > f.applied[2] && !f.connected[2] {
					continue
				}
				g := copied(f)
				g.step([]int{len(f.agreed), a, b})
				next = append(next, g)
			}
		}
		for _, g := range next {
			k := key(g)
			if seen[k] {
				continue
			}
			seen[k] = true
			if w := g.withoutCommonEdition(); w != "" {
				return len(seen), w
			}
			queue = append(queue, g)
		}
	}
	return len(seen), ""
}

// The graph is explored completely without a violation. A violation is found without the joint phase, with a leader
// that does not wait for the members, and with members that consider themselves up to date before they have caught
// up.
func TestExploration(t *testing.T) {
	states, problem := exploreGraph(t, "")
	if t.Logf("%d states", states); problem != "" {
		t.Error(problem)
	}
	for _, fault := range []string{"no joint phase", "leader does not wait", "contact is enough"} {
		states, problem := exploreGraph(t, fault)
		if t.Logf("%s: after %d states: %s", fault, states, problem); problem == "" {
			t.Errorf("%s: not found", fault)
		}
	}
}
