package emu

import (
	"testing"

	"ivybank/fleet/swim"
)

// A member that restarts in the same instant, as after a reload, is heard although its datagram numbers begin at the
// start again: the new incarnation has to tell its datagrams from those of the earlier process.
func TestRestartInSameInstant(t *testing.T) {
	c := newCluster(3, 24, 21)
	c.run(5 * second)
	for range 3 {
		c.SetIncarnation(1, swim.NextIncarnation(c.Fleet(1).Membership().Incarnation()))
		c.Kill(1)
		c.Start(1)
		incarnation := c.Fleet(1).Membership().Incarnation()
		c.run(2 * second)
		for _, i := range []int{0, 2} {
			if m := c.Fleet(i).Membership().Member(1); m.Incarnation != incarnation || c.clock.Now()-m.LastHeard > second {
				t.Errorf("member %d knows incarnation %d, not %d, last heard %d ms ago",
					i, m.Incarnation, incarnation, (c.clock.Now()-m.LastHeard)/ms)
			}
		}
	}
}
