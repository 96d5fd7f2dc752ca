package planstate

import (
	"fmt"
	"testing"

	"ivybank/fleet/plan"
)

// The step logic with three members, servers and a limit of one, explored as a graph: every order in which proposals are agreed on or lost,
// members apply, report, send and finish, a leader is followed by another while its proposals are still on the way, one member crashes and
// comes back knowing all or nothing, one is cut off, an overload comes and goes. In every state: nobody that is reached has anything open
// at a server that is at work, and no more servers are out than the plan allows.
const (
	members = 3
	most    = 1
	terms   = 2 // leaders, one after another
	open    = 1 // dispatches to servers that go out, at once
)

// world is one state. It is copied by value.
type world struct {
	log     string // agreed on, a byte a command: see commands
	term    uint64
	way     [2]proposal // on their way, of this leader and of one before; a Kind of 0 is none
	who     [members]member
	words   [members]word // what the leader has heard; of this term alone
	cut     bool
	toggled int // of the cut
	crashed bool
	parted  bool
}

type proposal struct {
	kind   Kind
	server int
	index  uint64
	term   uint64
}

type member struct {
	up, reached bool
	applied     int
	behind      int    // back with nothing known, it sends nothing before it has applied so much
	open        [1]int // by server; the first goes out first, and a log holds no more than that
}

type word struct {
	index int
	open  [1]int
	said  int // reports that said that nothing was open, for the broken variant
}

// variant is what is broken, for the exploration to catch it.
type variant struct{ noFence, twice bool }

// agreed gives the state of so much of a log, which is worked out once; it is only read.
func agreed(log string, v variant) *State {
	key := fmt.Sprint(v.noFence, log)
	if s := known[key]; s != nil {
		return s
	}
	s := work(log, v)
	known[key] = s
	return s
}

var known = map[string]*State{}

func work(log string, v variant) *State {
	s := &State{}
	_ = s.Apply(1, 1, &Command{Kind: Submit, Plan: "p", Definition: &plan.Plan{ID: "p", Most: most, DoneBy: "start"}, Targets: targets(3)})
	for i := 0; i+3 < len(log); i += 4 {
		c := Command{Kind: Kind(log[i]), Plan: "p", Server: fmt.Sprint("s-", int(log[i+1])+1), Term: uint64(log[i+2]), Index: uint64(log[i+3])}
		term := uint64(log[i+2])
		if term > 100 { // agreed on in a later term than proposed in
			c.Term, term = term-100, term-99
		}
		if v.noFence {
			c.Term = term
			c.Index = s.Find("p").Find(c.Server).Index
		}
		_ = s.Apply(uint64(2+i/4), term, &c)
	}
	return s
}

func at(w *world, m int, v variant) *State {
	return agreed(w.log[:min(len(w.log), 4*w.who[m].applied)], v)
}

func step(s *State, server int) *Step { return s.Find("p").Find(fmt.Sprint("s-", server+1)) }

// next gives all states that may follow.
func (w world) next(v variant) (out []world) {
	add := func(change func(x *world)) {
		x := w
		change(&x)
		out = append(out, x)
	}
	all := agreed(w.log, v)
	// The leader proposes, by what it has applied and heard; it may be behind what is agreed on.
	leader := int(w.term-1) % members
	if l := w.who[leader]; l.up {
		mine := at(&w, leader, v)
		view := View{Now: 1, Service: 1, Cut: w.cut}
		for i, m := range w.who {
			word := w.words[i]
			x := Member{Place: i, Reached: m.up && m.reached, Index: uint64(1 + word.index), Open: map[string]int{}}
			for s, n := range word.open {
				x.Open[fmt.Sprint("s-", s+1)] = n
			}
			if v.twice {
				said := 0
				for _, y := range w.words {
					said += y.said
				}
				if said >= members {
					x.Index, x.Open = 99, nil
				}
			}
			view.Members = append(view.Members, x)
		}
		for i, x := range targets(3) {
			if all.Find("p").Find(x.ID).Phase == Returning || step(mine, i).Phase == Out {
				x.Since = 1 // the machine has been worked on as soon as it was out
			}
			view.Servers = append(view.Servers, Server{Target: x, Listed: true, Healthy: true, Warm: true})
		}
		for _, c := range NewLead(LeaderConfig{}, w.term).Next(mine, view) {
			var server int
			_, _ = fmt.Sscanf(c.Server, "s-%d", &server)
			p := proposal{c.Kind, server - 1, c.Index, w.term}
			if w.way[0].kind == 0 && (w.way[1] != p) {
				add(func(x *world) { x.way[0] = p })
			}
		}
	}
	for i, p := range w.way {
		if p.kind == 0 {
			continue
		}
		add(func(x *world) { x.way[i] = proposal{} }) // lost
		add(func(x *world) {                          // agreed on; of a term that is over only where nothing fences
			x.way[i] = proposal{}
			term := byte(p.term)
			if p.term != w.term {
				term += 100
			}
			if log := w.log + string([]byte{byte(p.kind), byte(p.server), term, byte(p.index)}); changes(w.log, log, v) {
				x.log = log
			}
		})
	}
	if w.term < terms {
		add(func(x *world) { x.term++; x.words = [members]word{}; x.way = [2]proposal{{}, w.way[0]} })
	}
	if w.toggled < 2 {
		add(func(x *world) { x.cut = !x.cut; x.toggled++ })
	}
	opened := 0
	for _, m := range w.who {
		opened += m.open[0]
	}
	for i, m := range w.who {
		if !m.up {
			add(func(x *world) { x.who[i].up, x.who[i].reached = true, true; x.who[i].applied = len(w.log) / 4 }) // its folder is read first
			add(func(x *world) { x.who[i] = member{up: true, reached: true, behind: len(w.log) / 4} })            // it knows nothing any more
			continue
		}
		if !w.crashed {
			add(func(x *world) { x.crashed = true; x.who[i].up = false; x.who[i].open = [1]int{} })
		}
		if m.reached && !w.parted && i != leader {
			add(func(x *world) { x.parted = true; x.who[i].reached = false; x.who[i].open = [1]int{} }) // its time is over: what was open is not any more
		}
		if !m.reached {
			add(func(x *world) { x.who[i].reached, x.who[i].behind = true, len(w.log)/4 }) // it hears what was agreed on before it goes on
			continue                                                                       // the list has told it of the drain, which binds it
		}
		if 4*m.applied < len(w.log) {
			add(func(x *world) { x.who[i].applied++ })
		}
		for s := range m.open {
			if m.open[s] > 0 {
				add(func(x *world) { x.who[i].open[s] = 0 })
			} else if opened < open && !step(at(&w, i, v), s).Phase.Unavailable() && m.applied >= m.behind {
				add(func(x *world) { x.who[i].open[s] = 1 })
			}
		}
		said := w.words[i]
		if said.index != m.applied || said.open != m.open || v.twice && said.said < members {
			add(func(x *world) {
				x.words[i] = word{index: m.applied, open: m.open}
				if v.twice && m.open == [1]int{} {
					x.words[i].said = said.said + 1
				}
			})
		}
	}
	return out
}

// changes says whether a command changed anything: one that was refused leaves no trace, as its place says nothing.
func changes(before, after string, v variant) bool {
	x, y := agreed(before, v), agreed(after, v)
	for i := range x.Works[0].Steps {
		if x.Works[0].Steps[i].Phase != y.Works[0].Steps[i].Phase {
			return true
		}
	}
	return x.Works[0].Standing != y.Works[0].Standing
}

// wrong says what no state may be like.
func (w world) wrong(v variant) string {
	s := agreed(w.log, v)
	if n := len(s.Unavailable()); n > most {
		return fmt.Sprintf("%d servers are out", n)
	}
	for i := range 1 {
		if step(s, i).Phase != Out {
			continue
		}
		for m, x := range w.who {
			if x.up && x.reached && x.open[i] > 0 {
				return fmt.Sprintf("member %d has something open at s-%d, which is at work", m, i+1)
			}
		}
	}
	return ""
}

// explore walks the graph from a state and gives the first wrong one, how many there are, and whether that is all of them.
func explore(first world, v variant, limit int) (wrong string, states int, whole bool) {
	first.term = 1
	for i := range first.who {
		first.who[i] = member{up: true, reached: true}
	}
	seen := map[world]bool{first: true}
	queue := []world{first}
	for len(queue) > 0 {
		w := queue[0]
		queue = queue[1:]
		for _, x := range w.next(v) {
			if len(x.log) > 4*4 || seen[x] { // one server through all its phases, or one that is undone and begins again
				continue
			}
			if what := x.wrong(v); what != "" {
				return what, len(seen), false
			}
			if seen[x] = true; len(seen) >= limit {
				return "", len(seen), false
			}
			queue = append(queue, x)
		}
	}
	return "", len(seen), true
}

func TestExplored(t *testing.T) {
	// What may still happen; each alone, so that the graph is walked whole.
	crash := world{parted: true, toggled: 2}
	part := world{crashed: true, toggled: 2}
	cut := world{crashed: true, parted: true}
	for name, first := range map[string]world{"a crash": crash, "a partition": part, "an overload": cut} {
		t.Run(name, func(t *testing.T) {
			wrong, states, whole := explore(first, variant{}, 400_000)
			t.Logf("%d states, all of them: %v", states, whole)
			if wrong != "" {
				t.Errorf("after %d states: %s", states, wrong)
			}
		})
	}
	for name, c := range map[string]struct {
		variant
		first world
	}{"no fencing": {variant{noFence: true}, cut}, "a member counted twice": {variant{twice: true}, world{crashed: true, parted: true, toggled: 2}}} {
		t.Run(name, func(t *testing.T) {
			wrong, states, _ := explore(c.first, c.variant, 1_000_000)
			t.Logf("%d states until: %s", states, wrong)
			if wrong == "" {
				t.Errorf("it is not caught in %d states", states)
			}
		})
	}
}
