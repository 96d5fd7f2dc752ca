package quorum

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// cluster is some members, what is between them, and what each has applied.
type cluster struct {
	of, voters int
	nodes      []*Node // nil: dead
	kept       []PersistentState
	wires      []wire
	applied    [][]string
	cut        map[[2]int]bool // nothing passes from one to another
	agreed     []string        // the longest history that anybody has applied
	broken     string
	lives      uint64
}

type wire struct {
	from, to int
	body     []byte
}

func newCluster(of, voters int) *cluster {
	c := &cluster{of: of, voters: voters, nodes: make([]*Node, of), kept: make([]PersistentState, of), applied: make([][]string, of), cut: map[[2]int]bool{}}
	for i := range of {
		c.start(i)
	}
	return c
}

func (c *cluster) start(i int) {
	c.lives++
	n, err := New(Config{Index: i, Members: c.of, Voters: c.voters, Incarnation: c.lives, Seed: 5}, c.kept[i])
	if err != nil {
		panic(err)
	}
	c.nodes[i], c.applied[i] = n, nil // what was agreed on is applied again from the start
}

// lose empties a member's folder.
func (c *cluster) lose(i int) { c.kept[i] = PersistentState{} }

func (c *cluster) work(i int) {
	n := c.nodes[i]
	for n != nil {
		b, ok := n.Ready()
		if !ok {
			return
		}
		if b.ID != 0 { // it is another now: what was agreed on comes again from the start
			c.applied[i] = nil
		}
		c.kept[i].Apply(&b)
		for _, s := range b.Messages {
			c.wires = append(c.wires, wire{i, s.To, s.Body})
		}
		for _, e := range b.Committed {
			c.apply(i, fmt.Sprintf("%d %d %s", e.Index, e.Term, e.Data))
		}
		n.Advance()
	}
}

// apply holds what a member applies against what any other has.
func (c *cluster) apply(i int, what string) {
	at := len(c.applied[i])
	c.applied[i] = append(c.applied[i], what)
	switch {
	case at < len(c.agreed) && c.agreed[at] != what:
		c.broken = fmt.Sprintf("member %d applies %q where another had %q", i, what, c.agreed[at])
	case at == len(c.agreed):
		c.agreed = append(c.agreed, what)
	}
}

func (c *cluster) tick() {
	for i, n := range c.nodes {
		if n != nil {
			n.Tick()
			c.work(i)
		}
	}
}

// deliver hands over the message at a place, or drops it.
func (c *cluster) deliver(at int, drop bool) {
	w := c.wires[at]
	c.wires = append(c.wires[:at], c.wires[at+1:]...)
	if n := c.nodes[w.to]; n != nil && !drop && !c.cut[[2]int{w.from, w.to}] {
		n.Step(w.from, w.body)
		c.work(w.to)
	}
}

// calm runs so many ticks with all that is sent arriving.
func (c *cluster) calm(ticks int) {
	for range ticks {
		c.tick()
		for n := 0; len(c.wires) > 0 && n < 10000; n++ {
			c.deliver(0, false)
		}
	}
}

func (c *cluster) leader() int {
	for i, n := range c.nodes {
		if n != nil {
			if leads, _ := n.IsLeader(); leads {
				return i
			}
		}
	}
	return -1
}

func (c *cluster) propose(what string) bool {
	i := c.leader()
	if i < 0 || c.nodes[i].Propose([]byte(what)) != nil {
		return false
	}
	c.work(i)
	return true
}

func TestAgreement(t *testing.T) {
	c := newCluster(5, 3)
	c.calm(60)
	if c.leader() < 0 || !c.propose("a") {
		t.Fatal("nobody leads")
	}
	c.calm(10)
	for i := range 5 {
		if len(c.applied[i]) != 1 {
			t.Errorf("member %d has applied %v", i, c.applied[i])
		}
	}
	// Its leader dies: another takes over, and nothing is lost.
	dead := c.leader()
	c.nodes[dead] = nil
	c.calm(60)
	if now := c.leader(); now < 0 || now == dead || !c.propose("b") {
		t.Fatalf("%d leads after the death of %d", now, dead)
	}
	c.calm(10)
	c.start(dead)
	c.calm(30)
	if len(c.applied[dead]) != 2 || c.broken != "" {
		t.Errorf("the one that came back has applied %v; %s", c.applied[dead], c.broken)
	}
}

// Nobody votes before all voters were there at once with nothing written down.
func TestFirstGathering(t *testing.T) {
	c := newCluster(4, 3)
	c.nodes[2] = nil
	c.calm(100)
	if c.leader() >= 0 {
		t.Fatal("one leads though not all voters were there")
	}
	c.start(2)
	c.calm(100)
	if c.leader() < 0 {
		t.Error("nobody leads")
	}
}

// A voter that has lost its folder comes in as another and votes again once it holds what the others do; where most have, nothing new is
// agreed on.
func TestLostFolder(t *testing.T) {
	c := newCluster(4, 3)
	c.calm(60)
	c.propose("a")
	c.calm(10)
	lost := (c.leader() + 1) % 3
	c.nodes[lost] = nil
	c.lose(lost)
	c.start(lost)
	c.calm(60)
	if !c.nodes[lost].LostState() || len(c.applied[lost]) != 1 || !c.propose("b") {
		t.Fatalf("lost %v, applied %v", c.nodes[lost].LostState(), c.applied[lost])
	}
	if c.calm(30); !c.nodes[lost].votes() {
		t.Error("it does not vote again")
	}
	leader := c.leader()
	c.nodes[leader] = nil
	c.calm(100)
	if c.leader() < 0 {
		t.Error("nobody leads with two of three that vote")
	}
	c.start(leader)
	c.calm(60)
	for i := range 2 { // two of three forget at once
		c.nodes[i] = nil
		c.lose(i)
	}
	before := len(c.agreed)
	c.start(0)
	c.start(1)
	c.calm(300)
	if c.leader() >= 0 || len(c.agreed) != before {
		t.Errorf("%d leads, %d agreed on of %d", c.leader(), len(c.agreed), before)
	}
}

// A voter whose folder was put back from an older copy is found out by the leader's word, and comes in as another.
func TestOldFolder(t *testing.T) {
	c := newCluster(3, 3)
	c.calm(60)
	c.propose("a")
	c.calm(10)
	who := (c.leader() + 1) % 3
	old := c.kept[who]
	old.Entries = append(old.Entries[:0:0], old.Entries...)
	for i := range 5 {
		c.propose(fmt.Sprint("b", i))
		c.calm(5)
	}
	c.nodes[who], c.kept[who] = nil, old
	c.start(who)
	c.calm(100)
	if !c.nodes[who].LostState() || len(c.applied[who]) != 6 || c.broken != "" {
		t.Errorf("lost %v, applied %v; %s", c.nodes[who].LostState(), c.applied[who], c.broken)
	}
}

// Whatever is lost, late, overtaken or cut, and whoever dies with its folder kept or lost, all members apply one history; and when it is
// calm again those with their folders go on, as long as most voters have theirs.
func TestOneHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(3, 6).Draw(t, "members"), 3)
		c.calm(60)
		forgot := -1
		proposed := 0
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) {
				for range rapid.IntRange(1, 25).Draw(t, "ticks") {
					c.tick()
				}
			},
			"deliver": func(t *rapid.T) {
				for n := rapid.IntRange(1, 20).Draw(t, "messages"); n > 0 && len(c.wires) > 0; n-- {
					c.deliver(rapid.IntRange(0, len(c.wires)-1).Draw(t, "which"), rapid.IntRange(0, 9).Draw(t, "drop") == 0)
				}
			},
			"propose": func(t *rapid.T) {
				if c.propose(fmt.Sprint("p", proposed)) {
					proposed++
				}
			},
			"crash": func(t *rapid.T) {
				i := rapid.IntRange(0, c.of-1).Draw(t, "who")
				c.nodes[i] = nil
				if i < c.voters && (forgot < 0 || forgot == i) && rapid.IntRange(0, 3).Draw(t, "forgets") == 0 {
					forgot = i
					c.lose(i)
				}
			},
			"start": func(t *rapid.T) {
				if i := rapid.IntRange(0, c.of-1).Draw(t, "who"); c.nodes[i] == nil {
					c.start(i)
				}
			},
			"cut": func(t *rapid.T) {
				at := [2]int{rapid.IntRange(0, c.of-1).Draw(t, "from"), rapid.IntRange(0, c.of-1).Draw(t, "to")}
				c.cut[at] = !c.cut[at]
			},
			"": func(t *rapid.T) {
				if c.broken != "" {
					t.Fatal(c.broken)
				}
			},
		})
		c.cut = map[[2]int]bool{}
		for i, n := range c.nodes {
			if n == nil {
				c.start(i)
			}
		}
		c.calm(120)
		if c.leader() < 0 || !c.propose("last") {
			t.Fatal("nobody leads when it is calm again")
		}
		c.calm(20)
		for i := range c.of {
			if len(c.applied[i]) != len(c.agreed) {
				t.Fatalf("member %d has applied %d of %d", i, len(c.applied[i]), len(c.agreed))
			}
		}
		if c.broken != "" {
			t.Fatal(c.broken)
		}
	})
}
