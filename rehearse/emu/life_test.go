package emu

import (
	"testing"

	"ivybank/fleet/swim"
)

// One that begins anew in the same instant, as after a reload, is heard though its datagrams count from the start again.
func TestBeginsAnewAtOnce(t *testing.T) {
	c := newCrowd(3, 24, 21)
	c.run(5 * second)
	for range 3 {
		c.Back(1, swim.After(c.Fleet(1).Members().Life()))
		c.Kill(1)
		c.Start(1)
		life := c.Fleet(1).Members().Life()
		c.run(2 * second)
		for _, i := range []int{0, 2} {
			if m := c.Fleet(i).Members().Member(1); m.Life != life || c.clock.Now()-m.Heard > second {
				t.Errorf("member %d knows life %d, not %d, heard %d ms ago", i, m.Life, life, (c.clock.Now()-m.Heard)/ms)
			}
		}
	}
}
