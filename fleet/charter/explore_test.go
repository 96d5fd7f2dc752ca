package charter

import (
	"fmt"
	"slices"
	"testing"
)

// graph walks all that three members can come to, one of them a leader that is always there: two proposals
// at any moment, links of the other two that fall and come back at any moment, each step any of them applying
// any part of what it has not. Ages are counted up to what anything asks of them, so that the graph ends. It
// gives the number of states, and the first that no fleet may come to.
func graph(t *testing.T, faulty string) (states int, wrong string) {
	first := &fleet{faulty: faulty, limits: []float64{50}}
	start := started(t, tenantLimit(50))
	for range 3 {
		first.members = append(first.members, &Member{State: *start, Bound: bound, sure: now})
		first.applied, first.links = append(first.applied, 0), append(first.links, true)
		first.heard = append(first.heard, 0)
	}
	change := propose(1, change("a.toml", tenantLimit(70)))
	key := func(f *fleet) string {
		s := fmt.Sprint(len(f.agreed), f.limits)
		for _, c := range f.agreed {
			s += fmt.Sprint(c.Kind, c.Edition)
		}
		var both []string // which of the two is which makes no difference
		for i, m := range f.members[1:] {
			at := now + int64(f.now)
			s := fmt.Sprint(" ", f.applied[i+1], f.links[i+1], m.goal, " ", min(at-m.sure, bound))
			s += fmt.Sprint(" ", min(f.now-f.heard[i+1], grace))
			if m.goal != 0 {
				s += fmt.Sprint(" ", min(at-m.asked, bound))
			}
			both = append(both, s)
		}
		slices.Sort(both)
		return s + both[0] + both[1]
	}
	copied := func(f *fleet) *fleet {
		g := *f
		g.agreed, g.applied, g.links = slices.Clone(f.agreed), slices.Clone(f.applied), slices.Clone(f.links)
		g.heard, g.members, g.limits = slices.Clone(f.heard), nil, slices.Clone(f.limits)
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
			g.links[i] = !g.links[i]
			next = append(next, g)
		}
		for a := f.applied[1]; a <= len(f.agreed); a++ {
			for b := f.applied[2]; b <= len(f.agreed); b++ {
				if a > f.applied[1] && !f.links[1] || b > f.applied[2] && !f.links[2] {
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
			if w := g.unbound(); w != "" {
				return len(seen), w
			}
			queue = append(queue, g)
		}
	}
	return len(seen), ""
}

// The graph is walked whole. Without the joint phase, with a leader that asks nobody, and with members that
// take themselves for reached before they have caught up it is not walked far.
func TestGraph(t *testing.T) {
	states, wrong := graph(t, "")
	if t.Logf("%d states", states); wrong != "" {
		t.Error(wrong)
	}
	for _, faulty := range []string{"no joint phase", "nobody asked", "reached is enough"} {
		states, wrong := graph(t, faulty)
		if t.Logf("%s: after %d states: %s", faulty, states, wrong); wrong == "" {
			t.Errorf("%s: not found", faulty)
		}
	}
}
