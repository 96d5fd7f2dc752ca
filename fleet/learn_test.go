package fleet

import (
	"testing"

	"ivybank/balance"
	"ivybank/fleet/peer"
)

// class is a mesh in which all learn and teach; the members' servers are known to the old.
type class struct {
	*mesh
	knows []balance.ServerSnapshot // that old members hold
	heard map[int]int              // by member: the most beliefs of one other
}

func newClass(n int) *class {
	c := &class{mesh: newMesh(0), heard: map[int]int{}}
	c.members = make([]*Fleet, n)
	for i := range n {
		c.start(i)
	}
	return c
}

func (c *class) start(i int) {
	t := terms(i, len(c.members))
	t.Learn = &LearnConfig{MinPeers: 2, Timeout: 3 * sec}
	t.Incarnation += uint64((c.now-begun)/ms) << 8
	c.members[i] = New(t, c.now)
	c.members[i].SetServers(servers(10), c.now)
}

func (c *class) run(d int64) {
	for end := c.now + d; c.now < end; c.now += 10 * ms {
		for i, f := range c.members {
			if f.lastTick+50*ms <= c.now {
				f.Tick(c.now)
			}
			for a, ok := f.Next(); ok; a, ok = f.Next() {
				switch a.Kind {
				case Send:
					if c.passes(i, a.To) {
						c.members[a.To].Receive(&a.Datagram, c.now)
					}
				case AnswerQuery:
					f.SendBeliefs(a.To, c.knows, c.now)
				case ApplyPeerReports:
					for _, t := range a.Reports {
						c.heard[i] = max(c.heard[i], len(t.Beliefs))
					}
				}
			}
		}
	}
}

// Those that live on teach what they have met; those that have just begun do not, whatever they have heard.
func TestLessons(t *testing.T) {
	c := newClass(6)
	for i := range 10 {
		l := balance.ServerSnapshot{ID: servers(10)[i], Health: 0.3, EjectionLeft: 3 * sec, LastOutcomeAge: sec}
		switch i {
		case 0:
			l.LastOutcomeAge = -1 // of another's word
		case 1:
			l.Health, l.EjectionLeft = 1, 0 // well
		case 2:
			l.LastOutcomeAge, l.EjectionLeft, l.Draining = -1, 0, true // as the list told it
		}
		c.knows = append(c.knows, l)
	}
	c.run(6 * sec)
	if len(c.heard) > 0 {
		t.Fatalf("%v were taught where all began at once", c.heard)
	}
	for i := 2; i < 6; i++ {
		c.start(i)
	}
	c.run(2 * sec)
	for i := 2; i < 6; i++ {
		if c.heard[i] != 8 {
			t.Errorf("member %d has heard %d beliefs, want the eight that somebody has met or that drain", i, c.heard[i])
		}
		asked, answers, taught := c.members[i].LearnCounts()
		if asked > 20 || answers < 2 || taught > 0 {
			t.Errorf("member %d has asked %d times, was answered %d times, has taught %d", i, asked, answers, taught)
		}
	}
	before := map[int]int{}
	for i := range c.members {
		before[i], _, _ = c.members[i].LearnCounts()
	}
	c.run(5 * sec)
	for i := range c.members {
		if asked, _, _ := c.members[i].LearnCounts(); asked != before[i] {
			t.Errorf("member %d asks on", i)
		}
	}
}

// Askers get no more of a member than a second's worth of its datagrams at once, and a quarter of them from then on.
func TestLessonsBounded(t *testing.T) {
	c := newClass(2)
	f := c.members[0]
	c.run(6 * sec)
	answers := 0
	for range 2000 { // 10 s
		c.now += 5 * ms
		f.receiveLearning(&peer.Datagram{From: 1, Kind: peer.Query}, c.now)
		for len(f.actions) > 0 {
			if f.actions[0].Kind == AnswerQuery {
				answers++
			}
			f.actions = f.actions[1:]
		}
	}
	if most := f.cfg.DatagramsPerSecond * (1 + 10*answerFraction); float64(answers) > most+1 || answers == 0 {
		t.Errorf("%d answers in 10 s, want %.0f at the most", answers, most)
	}
}

// What one had told of its newest key comes back to it when it has forgotten.
func TestWitness(t *testing.T) {
	c := newClass(3)
	c.run(3 * sec)
	c.members[1].RecordKey(42 * sec)
	c.run(4 * sec)
	c.start(1)
	if _, heard := c.members[1].ReportedKey(); heard {
		t.Error("it has heard of nobody yet")
	}
	c.run(2 * sec)
	if newest, heard := c.members[1].ReportedKey(); !heard || newest != 42*sec {
		t.Errorf("got %d, %v", newest, heard)
	}
}
