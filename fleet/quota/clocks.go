package quota

// Clocks detects members whose wall clock deviates. It holds the offset of each member's wall clock, measured in
// message exchanges, and must never turn a window by itself. A sample is replaced by the member's next exchange and
// expires after maxAge.
type Clocks struct {
	member          int
	maxSkew, maxAge int64
	samples         []sample // by member
}

// sample is a member's wall clock minus this process's monotonic clock; the uncertainty is half the exchange.
type sample struct{ offset, uncertainty, at int64 }

// NewClocks returns Clocks without samples. Durations are in ns.
func NewClocks(member, members int, maxSkew, maxAge int64) *Clocks {
	return &Clocks{member: member, maxSkew: maxSkew, maxAge: maxAge, samples: make([]sample, members)}
}

// Record adds a reading of a member's wall clock from an exchange that began at sent and ended at got, by this
// process's monotonic clock.
func (c *Clocks) Record(member int, theirs, sent, got int64) {
	if member != c.member && member >= 0 && member < len(c.samples) && sent <= got {
		c.samples[member] = sample{theirs - (sent + (got-sent)/2), (got-sent)/2 + 1, got}
	}
}

// Judge reports whether this process's wall clock deviates by more than maxSkew from at least half of all clocks, its
// own and those with a valid sample; otherwise it returns the members whose clock deviates from this one. If only two
// clocks are known and differ, each process takes its own to be wrong.
func (c *Clocks) Judge(now, wall int64) (self bool, deviating []int) {
	counted := 1
	for p, sample := range c.samples {
		if sample.at == 0 || now-sample.at > c.maxAge {
			continue
		}
		counted++
		difference := sample.offset - (wall - now)
		if max(difference, -difference)-sample.uncertainty > c.maxSkew {
			deviating = append(deviating, p)
		}
	}
	if 2*len(deviating) >= counted {
		return true, nil
	}
	return false, deviating
}
