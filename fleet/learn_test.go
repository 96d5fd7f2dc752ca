package fleet

import (
	"testing"

	"ivybank/balance"
	"ivybank/fleet/peer"
)

// learnNetwork is a testNetwork in which all members learn from peers; observed is what the balancers of old
// members hold.
type learnNetwork struct {
	*testNetwork
	observed []balance.ServerSnapshot // by old members
	beliefs  map[int]int              // by member: the largest number of beliefs received from one peer
}

func newLearnNetwork(n int) *learnNetwork {
	c := &learnNetwork{testNetwork: newTestNetwork(0), beliefs: map[int]int{}}
	c.members = make([]*Fleet, n)
	for i := range n {
		c.startMember(i)
	}
	return c
}

func (c *learnNetwork) startMember(i int) {
	cfg := testConfig(i, len(c.members))
	cfg.Learn = &LearnConfig{MinPeers: 2, Timeout: 3 * sec}
	cfg.Incarnation += uint64((c.now-start)/ms) << 8
	c.members[i] = New(cfg, c.now)
	c.members[i].SetServers(serverIDs(10), c.now)
}

func (c *learnNetwork) run(duration int64) {
	for end := c.now + duration; c.now < end; c.now += 10 * ms {
		for i, f := range c.members {
			if f.lastTick+50*ms <= c.now {
				f.Tick(c.now)
			}
			for a, ok := f.Next(); ok; a, ok = f.Next() {
				switch a.Kind {
				case Send:
					if c.delivers(i, a.To) {
						c.members[a.To].Receive(&a.Datagram, c.now)
					}
				case AnswerQuery:
					f.SendBeliefs(a.To, c.observed, c.now)
				case ApplyPeerReports:
					for _, t := range a.Reports {
						c.beliefs[i] = max(c.beliefs[i], len(t.Beliefs))
					}
				}
			}
		}
	}
}

// Old members report what they have observed. Members that have just started do not, whatever they have heard.
func TestLearningFromPeers(t *testing.T) {
	c := newLearnNetwork(6)
	for i := range 10 {
		server := balance.ServerSnapshot{ID: serverIDs(10)[i], Health: 0.3, EjectionLeft: 3 * sec, LastOutcomeAge: sec}
		switch i {
		case 0:
			server.LastOutcomeAge = -1 // reported by another member
		case 1:
			server.Health, server.EjectionLeft = 1, 0 // healthy
		case 2:
			server.LastOutcomeAge, server.EjectionLeft, server.Draining = -1, 0, true // reported by discovery
		}
		c.observed = append(c.observed, server)
	}
	c.run(6 * sec)
	if len(c.beliefs) > 0 {
		t.Fatalf("got beliefs %v though all members started at once", c.beliefs)
	}
	for i := 2; i < 6; i++ {
		c.startMember(i)
	}
	c.run(2 * sec)
	for i := 2; i < 6; i++ {
		if c.beliefs[i] != 8 {
			t.Errorf("member %d got %d beliefs, want the 8 that were observed or are draining", i, c.beliefs[i])
		}
		queries, received, sent := c.members[i].LearnCounts()
		if queries > 20 || received < 2 || sent > 0 {
			t.Errorf("member %d: %d queries, %d answers received, %d sent", i, queries, received, sent)
		}
	}
	before := map[int]int{}
	for i := range c.members {
		before[i], _, _ = c.members[i].LearnCounts()
	}
	c.run(5 * sec)
	for i := range c.members {
		if queries, _, _ := c.members[i].LearnCounts(); queries != before[i] {
			t.Errorf("member %d still sends queries", i)
		}
	}
}

// A member answers with at most one second's worth of its datagram limit at once, and with a quarter of the limit
// from then on.
func TestAnswerLimit(t *testing.T) {
	c := newLearnNetwork(2)
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
	if limit := f.cfg.DatagramsPerSecond * (1 + 10*answerFraction); float64(answers) > limit+1 || answers == 0 {
		t.Errorf("%d answers in 10 s, want at most %.0f", answers, limit)
	}
}

// A member that has lost its ledger gets back the time of its newest key from peers to which it had reported it.
func TestReportedKey(t *testing.T) {
	c := newLearnNetwork(3)
	c.run(3 * sec)
	c.members[1].RecordKey(42 * sec)
	c.run(4 * sec)
	c.startMember(1)
	if _, heard := c.members[1].ReportedKey(); heard {
		t.Error("an answer before any peer was heard")
	}
	c.run(2 * sec)
	if newest, heard := c.members[1].ReportedKey(); !heard || newest != 42*sec {
		t.Errorf("got %d, %v", newest, heard)
	}
}
