package quota

// Clocks finds out whose wall clock is off. It owns how far each place's is from this one's, heard in
// exchanges; it must never move a window by itself. A place's entry is overwritten by its next exchange and
// no longer counts after the horizon.
type Clocks struct {
	me             int
	bound, horizon int64
	heard          []sample // by place
}

// sample is a place's wall clock less this process's monotonic one, give or take half of the exchange.
type sample struct{ off, err, at int64 }

// NewClocks begins with nothing heard. Times are ns.
func NewClocks(me, places int, bound, horizon int64) *Clocks {
	return &Clocks{me: me, bound: bound, horizon: horizon, heard: make([]sample, places)}
}

// Hear takes what a place's wall clock said in an exchange that began and ended at times of this process's
// monotonic clock.
func (c *Clocks) Hear(place int, theirs, sent, got int64) {
	if place != c.me && place >= 0 && place < len(c.heard) && sent <= got {
		c.heard[place] = sample{theirs - (sent + (got-sent)/2), (got-sent)/2 + 1, got}
	}
}

// Judge says whether this process's clock is off by more than the bound from at least half of all, itself and
// those heard lately, and else whose is off from this one. Of two that differ, both take themselves to be
// off.
func (c *Clocks) Judge(now, wall int64) (self bool, off []int) {
	fresh := 1
	for p, s := range c.heard {
		if s.at == 0 || now-s.at > c.horizon {
			continue
		}
		fresh++
		d := s.off - (wall - now)
		if max(d, -d)-s.err > c.bound {
			off = append(off, p)
		}
	}
	if 2*len(off) >= fresh {
		return true, nil
	}
	return false, off
}
