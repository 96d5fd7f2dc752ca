package emu

import (
	"fmt"
	"testing"

	"ivybank/fleet"
	"ivybank/fleet/peer"
)

const ms, second = int64(1e6), int64(1e9)

// cluster is a fleet of members without load.
type cluster struct {
	*Peers
	clock *VirtualClock
	n     int
}

func newCluster(n int, datagrams float64, seed uint64) *cluster {
	c := &cluster{clock: NewVirtualClock(1e12), n: n}
	var configs []fleet.Config
	for i := range n {
		configs = append(configs, fleet.Config{Index: i, Members: n, Seed: seed, DatagramsPerSecond: datagrams,
			AckTimeout: 300 * ms, MinSilence: 2300 * ms,
			Overload: &fleet.Overload{RetryRatio: 0.1, MaxMemberRate: 2000}})
	}
	c.Peers = NewPeers(c.clock, configs, seed, n <= 32, nil)
	return c
}

func (c *cluster) run(d int64) { c.clock.Run(c.clock.Now() + d) }

// countHolding counts the running members that hold another one to be in a state.
func (c *cluster) countHolding(who int, s peer.State) (n int) {
	for i := range c.n {
		if m := c.Fleet(i).Membership().Member(who); i != who && c.Running(i) && m.Known && m.State == s {
			n++
		}
	}
	return n
}

// checkMembership checks that each running member holds exactly the running members to be alive.
func (c *cluster) checkMembership() error {
	up := 0
	for i := range c.n {
		if c.Running(i) {
			up++
		}
	}
	for i := range c.n {
		if got := c.Fleet(i).Membership().AliveCount(); c.Running(i) && got != up {
			return fmt.Errorf("member %d holds %d alive of %d", i, got, up)
		}
	}
	return nil
}

// A killed member of twelve is known to be dead by all others within 3 s, whichever it is and at any time; after its
// restart all know its new incarnation.
func TestKillIsDetected(t *testing.T) {
	c := newCluster(12, 24, 1)
	c.run(5 * second)
	if err := c.checkMembership(); err != nil {
		t.Fatal(err)
	}
	for i := range 24 {
		who := i * 5 % 12
		c.Kill(who)
		c.run(3 * second)
		if n := c.countHolding(who, peer.Dead); n != 11 {
			t.Errorf("kill %d: %d of 11 hold %d to be dead after 3 s", i, n, who)
		}
		c.Start(who)
		c.run(4*second + int64(i)*37*ms)
		if err := c.checkMembership(); err != nil {
			t.Errorf("kill %d: 4 s after its restart: %v", i, err)
		}
	}
}

// With 5% loss and 100 ms delay no member is held to be dead within ten minutes.
func TestNoFalseDeath(t *testing.T) {
	for seed := range uint64(3) {
		c := newCluster(12, 24, seed+1)
		c.Inject(Fault{Kind: "datagrams", LossRatio: 0.05, Delay: 100 * ms, Jitter: 20 * ms, DuplicateRatio: 0.02})
		c.run(5 * second)
		for at := range 1200 {
			c.run(500 * ms)
			for who := range c.n {
				if n := c.countHolding(who, peer.Dead); n > 0 {
					t.Fatalf("seed %d: after %d half seconds %d hold %d to be dead", seed, at, n, who)
				}
			}
		}
	}
}

// A member that is paused for 2 s is not held to be dead by a majority, and holds no others to be dead when it resumes.
func TestPaused(t *testing.T) {
	c := newCluster(12, 24, 3)
	c.run(5 * second)
	for i := range 20 {
		who := i * 7 % 12
		c.SetPaused(who, true)
		c.run(2 * second)
		c.SetPaused(who, false)
		most := 0
		for range 20 {
			c.run(50 * ms)
			most = max(most, c.countHolding(who, peer.Dead))
		}
		if most > 5 {
			t.Errorf("pause %d: %d hold it to be dead", i, most)
		}
		if got := c.Fleet(who).Membership().AliveCount(); got < 12 {
			t.Errorf("pause %d: the resumed member holds %d alive", i, got)
		}
		c.run(3 * second)
	}
	if err := c.checkMembership(); err != nil {
		t.Error(err)
	}
}

// A member that gets a fifth of a core, in bursts, holds no others to be dead.
func TestStarved(t *testing.T) {
	c := newCluster(12, 24, 4)
	c.run(5 * second)
	c.Inject(Fault{Kind: "proxy_starve", Proxies: []int{3}, Magnitude: 0.8})
	for range 300 {
		c.run(100*ms + ms)
		if n := c.Fleet(3).Membership().AliveCount(); n < 12 {
			t.Fatalf("the starved member holds %d alive", n)
		}
	}
}

// Two halves hold each other to be dead and are one fleet again soon after the partition. With a partition in one
// direction only, just the members that aren't heard are dead to the others.
func TestPartition(t *testing.T) {
	for _, way := range []string{"", "out", "in"} {
		c := newCluster(12, 24, 5)
		c.run(5 * second)
		heal := c.Inject(Fault{Kind: "split", Proxies: []int{0, 1, 2, 3, 4, 5}, Direction: way})
		c.run(20 * second)
		if got := c.Fleet(0).Membership().AliveCount(); way == "" && got != 6 {
			t.Errorf("a half holds %d alive", got)
		}
		heal()
		c.run(12 * second)
		if err := c.checkMembership(); err != nil {
			t.Errorf("way %q: 12 s after the partition: %v", way, err)
		}
	}
}

// The members of one of three partitions are killed while the fleet is partitioned: after it, the running members are
// one fleet.
func TestThreePartitions(t *testing.T) {
	c := newCluster(12, 24, 6)
	c.run(5 * second)
	healFirst, healSecond :=
		c.Inject(Fault{Kind: "split", Proxies: []int{0, 1, 2, 3}}),
		c.Inject(Fault{Kind: "split", Proxies: []int{4, 5, 6, 7}})
	c.run(6 * second)
	c.Inject(Fault{Kind: "proxy_kill", Proxies: []int{4, 5, 6, 7}})
	c.run(4 * second)
	healFirst()
	healSecond()
	c.run(12 * second)
	if err := c.checkMembership(); err != nil {
		t.Error(err)
	}
}

// A process whose clock was set back starts with an incarnation from the past, and becomes a member all the same.
func TestClockSetBack(t *testing.T) {
	c := newCluster(3, 24, 7)
	c.run(5 * second)
	c.Kill(1)
	c.SetIncarnation(1, 1<<20)
	c.run(second)
	c.Start(1)
	c.run(8 * second)
	if err := c.checkMembership(); err != nil {
		t.Error(err)
	}
}

// A member that shuts down is known to have left at once, without being suspected.
func TestLeaves(t *testing.T) {
	c := newCluster(12, 24, 8)
	c.run(5 * second)
	c.Inject(Fault{Kind: "proxy_end", Proxies: []int{4}})
	c.run(500 * ms)
	if n := c.countHolding(4, peer.Left); n != 11 {
		t.Errorf("%d of 11 know that it has left", n)
	}
}

// In fleets of hundreds and thousands, members stay below their bound of datagrams, find one another, and learn of a
// death.
func TestManyMembers(t *testing.T) {
	sizes := []int{300}
	if !testing.Short() {
		sizes = append(sizes, 2000)
	}
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := newCluster(n, 9, 9)
			c.run(20 * second)
			before := make([]int, n)
			for i := range n {
				before[i], _ = c.SentTotals(i)
			}
			c.run(5 * second)
			for i := range n {
				if got, _ := c.SentTotals(i); got-before[i] > 50 {
					t.Errorf("member %d sent %d in 5 s", i, got-before[i])
				}
			}
			known := 0
			for i := range n {
				known += c.Fleet(i).Membership().AliveCount()
			}
			if fraction := float64(known) / float64(n*n); fraction < 0.99 {
				t.Errorf("a fraction of %.3f of all pairs know each other", fraction)
			}
			_, counted := c.Fleet(7).FleetLoad(c.clock.Now())
			if counted < n*95/100 {
				t.Errorf("%d members counted in the fleet load of one", counted)
			}
			c.Kill(5)
			c.run(20 * second)
			if held := c.countHolding(5, peer.Dead); held < n*9/10 {
				t.Errorf("%d hold the killed one to be dead after 20 s", held)
			}
		})
	}
}
