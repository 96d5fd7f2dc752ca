package emu

import (
	"testing"

	"ivybank/fleet/swim"
)

// One that begins anew in the same instant, as after a reload, is heard though its datagrams count from the start again.
func TestBeginsAnewAtOnce(t *testing.T) {
	c := newCluster(3, 24, 21)
	c.run(5 * second)
	for range 3 {
		c.SetIncarnation(1, swim.NextIncarnation(c.Fleet(1).Membership().Incarnation()))
		c.Kill(1)
		c.Start(1)
		life := c.Fleet(1).Membership().Incarnation()
		c.run(2 * second)
		for _, i := range []int{0, 2} {
			if m := c.Fleet(i).Membership().Member(1); m.Incarnation != life || c.clock.Now()-m.LastHeard > second {
				t.Errorf("member %d knows life %d, not %d, heard %d ms ago", i, m.Incarnation, life, (c.clock.Now()-m.LastHeard)/ms)
			}
		}
	}
}
