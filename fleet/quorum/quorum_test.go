package quorum

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// cluster holds members, the messages between them, and what each has applied.
type cluster struct {
	members, voters int
	nodes           []*Node // nil: crashed
	saved           []PersistentState
	inFlight        []message
	applied         [][]string
	cutLinks        map[[2]int]bool // from, to: messages are dropped
	committed       []string        // the longest log that any member has applied
	violation       string
	lastIncarnation uint64
}

type message struct {
	from, to int
	body     []byte
}

func newCluster(members, voters int) *cluster {
	c := &cluster{members: members, voters: voters, nodes: make([]*Node, members),
		saved: make([]PersistentState, members), applied: make([][]string, members),
		cutLinks: map[[2]int]bool{}}
	for i := range members {
		c.start(i)
	}
	return c
}

func (c *cluster) start(i int) {
	c.lastIncarnation++
	n, err := New(Config{Index: i, Members: c.members, Voters: c.voters, Incarnation: c.lastIncarnation,
		Seed: 5}, c.saved[i])
	if err != nil {
		panic(err)
	}
	c.nodes[i], c.applied[i] = n, nil // committed entries are applied again from the start
}

// loseState deletes the stored state of a member.
func (c *cluster) loseState(i int) { c.saved[i] = PersistentState{} }

func (c *cluster) process(i int) {
	n := c.nodes[i]
	for n != nil {
		b, ok := n.Ready()
		if !ok {
			return
		}
		if b.ID != 0 { // a new ID: committed entries are returned again from the start
			c.applied[i] = nil
		}
		c.saved[i].Apply(&b)
		for _, s := range b.Messages {
			c.inFlight = append(c.inFlight, message{i, s.To, s.Body})
		}
		for _, e := range b.Committed {
			c.apply(i, fmt.Sprintf("%d %d %s", e.Index, e.Term, e.Data))
		}
		n.Advance()
	}
}

// apply records what a member applies and compares it with what others have applied.
func (c *cluster) apply(i int, command string) {
	at := len(c.applied[i])
	c.applied[i] = append(c.applied[i], command)
	switch {
	case at < len(c.committed) && c.committed[at] != command:
		c.violation = fmt.Sprintf("member %d applies %q where another had %q", i, command, c.committed[at])
	case at == len(c.committed):
		c.committed = append(c.committed, command)
	}
}

func (c *cluster) tick() {
	for i, n := range c.nodes {
		if n != nil {
			n.Tick()
			c.process(i)
		}
	}
}

// deliver delivers or drops the message at an index of inFlight.
func (c *cluster) deliver(index int, drop bool) {
	msg := c.inFlight[index]
	c.inFlight = append(c.inFlight[:index], c.inFlight[index+1:]...)
	if n := c.nodes[msg.to]; n != nil && !drop && !c.cutLinks[[2]int{msg.from, msg.to}] {
		n.Step(msg.from, msg.body)
		c.process(msg.to)
	}
}

// runTicks runs ticks and delivers all messages.
func (c *cluster) runTicks(ticks int) {
	for range ticks {
		c.tick()
		for n := 0; len(c.inFlight) > 0 && n < 10000; n++ {
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

func (c *cluster) propose(command string) bool {
	i := c.leader()
	if i < 0 || c.nodes[i].Propose([]byte(command)) != nil {
		return false
	}
	c.process(i)
	return true
}

func TestAgreement(t *testing.T) {
	c := newCluster(5, 3)
	c.runTicks(60)
	if c.leader() < 0 || !c.propose("a") {
		t.Fatal("no leader, or proposal refused")
	}
	c.runTicks(10)
	for i := range 5 {
		if len(c.applied[i]) != 1 {
			t.Errorf("member %d has applied %v", i, c.applied[i])
		}
	}
	// The leader crashes: another member takes over, and no command is lost.
	crashed := c.leader()
	c.nodes[crashed] = nil
	c.runTicks(60)
	if now := c.leader(); now < 0 || now == crashed || !c.propose("b") {
		t.Fatalf("%d leads after %d crashed", now, crashed)
	}
	c.runTicks(10)
	c.start(crashed)
	c.runTicks(30)
	if len(c.applied[crashed]) != 2 || c.violation != "" {
		t.Errorf("the restarted member has applied %v; %s", c.applied[crashed], c.violation)
	}
}

// A new cluster elects no leader before all voters were present at once without stored state.
func TestFirstGathering(t *testing.T) {
	c := newCluster(4, 3)
	c.nodes[2] = nil
	c.runTicks(100)
	if c.leader() >= 0 {
		t.Fatal("there is a leader though not all voters were present")
	}
	c.start(2)
	c.runTicks(100)
	if c.leader() < 0 {
		t.Error("no leader")
	}
}

// A voter that lost its stored state rejoins under a new ID and votes again once its log is complete; if a majority
// lost theirs, nothing new is committed.
func TestLostFolder(t *testing.T) {
	c := newCluster(4, 3)
	c.runTicks(60)
	c.propose("a")
	c.runTicks(10)
	lost := (c.leader() + 1) % 3
	c.nodes[lost] = nil
	c.loseState(lost)
	c.start(lost)
	c.runTicks(60)
	if !c.nodes[lost].LostState() || len(c.applied[lost]) != 1 || !c.propose("b") {
		t.Fatalf("lost %v, applied %v", c.nodes[lost].LostState(), c.applied[lost])
	}
	if c.runTicks(30); !c.nodes[lost].isVoting() {
		t.Error("the rejoined member does not vote again")
	}
	leader := c.leader()
	c.nodes[leader] = nil
	c.runTicks(100)
	if c.leader() < 0 {
		t.Error("no leader with two of three voters")
	}
	c.start(leader)
	c.runTicks(60)
	for i := range 2 { // two of three lose their state at once
		c.nodes[i] = nil
		c.loseState(i)
	}
	before := len(c.committed)
	c.start(0)
	c.start(1)
	c.runTicks(300)
	if c.leader() >= 0 || len(c.committed) != before {
		t.Errorf("%d leads, %d committed, want no leader and %d", c.leader(), len(c.committed), before)
	}
}

// A voter whose folder was restored from an older copy is detected by a leader's heartbeat, and rejoins under a new ID.
func TestOldFolder(t *testing.T) {
	c := newCluster(3, 3)
	c.runTicks(60)
	c.propose("a")
	c.runTicks(10)
	voter := (c.leader() + 1) % 3
	old := c.saved[voter]
	old.Entries = append(old.Entries[:0:0], old.Entries...)
	for i := range 5 {
		c.propose(fmt.Sprint("b", i))
		c.runTicks(5)
	}
	c.nodes[voter], c.saved[voter] = nil, old
	c.start(voter)
	c.runTicks(100)
	if !c.nodes[voter].LostState() || len(c.applied[voter]) != 6 || c.violation != "" {
		t.Errorf("lost %v, applied %v; %s", c.nodes[voter].LostState(), c.applied[voter], c.violation)
	}
}

// With messages lost, late, reordered or cut off, and members crashing with or without their stored state, all members
// apply the same log; and once the faults end, the cluster goes on as long as a majority of the voters has its state.
func TestOneHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(3, 6).Draw(t, "members"), 3)
		c.runTicks(60)
		lostMember := -1
		proposed := 0
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) {
				for range rapid.IntRange(1, 25).Draw(t, "ticks") {
					c.tick()
				}
			},
			"deliver": func(t *rapid.T) {
				for n := rapid.IntRange(1, 20).Draw(t, "messages"); n > 0 && len(c.inFlight) > 0; n-- {
					c.deliver(rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "which"), rapid.IntRange(0, 9).Draw(t, "drop") == 0)
				}
			},
			"propose": func(t *rapid.T) {
				if c.propose(fmt.Sprint("p", proposed)) {
					proposed++
				}
			},
			"crash": func(t *rapid.T) {
				i := rapid.IntRange(0, c.members-1).Draw(t, "who")
				c.nodes[i] = nil
				if i < c.voters && (lostMember < 0 || lostMember == i) && rapid.IntRange(0, 3).Draw(t, "forgets") == 0 {
					lostMember = i
					c.loseState(i)
				}
			},
			"start": func(t *rapid.T) {
				if i := rapid.IntRange(0, c.members-1).Draw(t, "who"); c.nodes[i] == nil {
					c.start(i)
				}
			},
			"cut": func(t *rapid.T) {
				at := [2]int{rapid.IntRange(0, c.members-1).Draw(t, "from"), rapid.IntRange(0, c.members-1).Draw(t, "to")}
				c.cutLinks[at] = !c.cutLinks[at]
			},
			"": func(t *rapid.T) {
				if c.violation != "" {
					t.Fatal(c.violation)
				}
			},
		})
		c.cutLinks = map[[2]int]bool{}
		for i, n := range c.nodes {
			if n == nil {
				c.start(i)
			}
		}
		c.runTicks(120)
		if c.leader() < 0 || !c.propose("last") {
			t.Fatal("no leader after the faults ended")
		}
		c.runTicks(20)
		for i := range c.members {
			if len(c.applied[i]) != len(c.committed) {
				t.Fatalf("member %d has applied %d of %d", i, len(c.applied[i]), len(c.committed))
			}
		}
		if c.violation != "" {
			t.Fatal(c.violation)
		}
	})
}
