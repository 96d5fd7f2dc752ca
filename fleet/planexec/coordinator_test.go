package planexec

import (
	"fmt"
	"testing"

	"ivybank/fleet/plan"
	"ivybank/fleet/planstate"
	"ivybank/fleet/quorum"
)

// band is some members whose letters arrive, and servers that are worked on as soon as they are out.
type band struct {
	members []*Coordinator // nil: dead
	kept    []quorum.PersistentState
	now     int64
	sent    int
	since   map[string]int64
	most    int // servers out at once, by any member's word
}

func newBand(n int) *band {
	b := &band{members: make([]*Coordinator, n), kept: make([]quorum.PersistentState, n), now: sec, since: map[string]int64{}}
	for i := range n {
		b.start(i)
	}
	return b
}

func (b *band) start(i int) {
	c, err := New(Config{Self: i, Members: len(b.members), Voters: 3, Incarnation: uint64(b.now), Seed: 7, Leader: planstate.LeaderConfig{Grace: sec, MaxClientTimeout: sec, MinService: 0.9, SettleTime: sec}}, b.kept[i], b.now)
	if err != nil {
		panic(err)
	}
	b.members[i] = c
}

func (b *band) sight() View {
	s := View{Now: b.now, Wall: b.now, Service: 1, Alive: func(i int) bool { return b.members[i] != nil }}
	for _, t := range targets() {
		t.Since = b.since[t.ID]
		s.Servers = append(s.Servers, planstate.Server{Target: t, Listed: true, Healthy: true, Warm: true})
	}
	return s
}

func targets() (all []plan.Target) {
	for i := range 4 {
		all = append(all, plan.Target{ID: fmt.Sprint("s-", i), Zone: "a", Share: 1})
	}
	return all
}

func (b *band) run(d int64) {
	for end := b.now + d; b.now < end; b.now += 50 * ms {
		for i, c := range b.members {
			if c == nil {
				continue
			}
			c.Tick(b.sight())
			b.carry(i)
			out := 0
			for _, w := range c.State().Works {
				for _, x := range w.Steps {
					if x.Phase.Unavailable() {
						out++
					}
					if x.Phase == planstate.Out {
						b.since[x.ID] = b.now
					}
				}
			}
			b.most = max(b.most, out)
		}
	}
}

func (b *band) carry(i int) {
	for c := b.members[i]; c != nil; {
		a, ok := c.Next()
		if !ok {
			return
		}
		switch a.Kind {
		case Send:
			b.sent++
			if to := b.members[a.To]; to != nil {
				to.Receive(i, a.Body, b.now)
				b.carry(a.To)
			}
		case Persist:
			b.kept[i].Apply(&a.Batch)
			c.Persisted(&a.Batch, b.now)
		}
	}
}

func (b *band) submit(at int) {
	c, err := SubmitCommand(&plan.Plan{ID: "p", All: true, Most: 1, Order: "zone", DoneBy: "start"}, targets(), b.now)
	if err != nil {
		panic(err)
	}
	b.members[at].Request(c, b.now)
}

func (b *band) ended(t *testing.T) {
	t.Helper()
	for i, c := range b.members {
		if c == nil {
			continue
		}
		w := c.State().Find("p")
		if w == nil || w.Standing != planstate.Ended {
			t.Fatalf("member %d: %+v", i, w)
		}
	}
	if b.most != 1 {
		t.Errorf("%d out at once", b.most)
	}
}

// A plan handed in at one that does not vote is carried through; afterwards nobody sends anything.
func TestCarriedThrough(t *testing.T) {
	b := newBand(5)
	b.run(20 * sec)
	b.sent = 0
	b.run(20 * sec)
	if b.sent > 0 {
		t.Errorf("%d letters at rest, before any plan", b.sent)
	}
	b.submit(4)
	b.run(30 * sec)
	b.ended(t)
	t.Logf("%d letters for 4 steps among 5 members", b.sent)
	b.run(10 * sec)
	b.sent = 0
	b.run(20 * sec)
	if b.sent > 0 {
		t.Errorf("%d letters at rest, after the plan", b.sent)
	}
}

// Whoever leads dies at each of many moments of a plan and comes back with its folder: the plan ends all the same.
func TestLeaderDies(t *testing.T) {
	for at := int64(0); at < 6*sec; at += 250 * ms {
		t.Run(fmt.Sprint(at/ms, " ms"), func(t *testing.T) {
			b := newBand(4)
			b.run(15 * sec)
			b.submit(3)
			b.run(at)
			leader := -1
			for i, c := range b.members {
				if leads, _ := c.node.IsLeader(); leads {
					leader = i
				}
			}
			if leader >= 0 {
				b.members[leader] = nil
				b.run(5 * sec)
				b.start(leader)
			}
			b.run(60 * sec)
			b.ended(t)
		})
	}
}

// With most voters dead nothing new goes out and what is out stays out; when they are back the plan goes on.
func TestNoMajority(t *testing.T) {
	b := newBand(4)
	b.run(15 * sec)
	b.submit(3)
	for b.members[2].State().Find("p") == nil || len(b.members[2].State().Unavailable()) == 0 {
		b.run(50 * ms)
	}
	b.members[0], b.members[1] = nil, nil
	before := b.members[2].State().Index
	b.run(30 * sec)
	if len(b.members[2].State().Unavailable()) != 1 || b.members[2].State().Index > before+1 {
		t.Errorf("%v away, %d agreed on since", b.members[2].State().Unavailable(), b.members[2].State().Index-before)
	}
	b.start(0)
	b.start(1)
	b.run(60 * sec)
	b.ended(t)
}

// One that leads and is told to end hands the lead on at once, in less than an election takes.
func TestLeadHandedOn(t *testing.T) {
	b := newBand(4)
	b.run(15 * sec)
	b.submit(3)
	b.run(500 * ms)
	leader := -1
	for i, c := range b.members {
		if leads, _ := c.node.IsLeader(); leads {
			leader = i
		}
	}
	if leader < 0 {
		t.Fatal("nobody leads")
	}
	b.members[leader].TransferLeadership(b.sight().Alive)
	b.carry(leader)
	b.run(300 * ms)
	b.members[leader] = nil
	if now, _ := b.members[3].Leader(); now < 0 || now == leader {
		t.Errorf("%d leads", now)
	}
	b.run(30 * sec)
	b.ended(t)
}
