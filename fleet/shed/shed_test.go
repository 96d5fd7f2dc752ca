package shed

import (
	"math"
	"testing"

	"ivybank/fleet/aggregate"
)

// four rule sets of rising worth, one tenant.
func four() Config {
	return Config{Values: []float64{1, 2, 4, 8}, Shares: []float64{1}, OverShareFactor: 0.2}
}

func offer(c *Shedder, by ...float64) (l aggregate.Load) {
	for set, x := range by {
		l.Offered[c.Class(set, 0)] += x
	}
	return l
}

// overload is a fleet that can bear so much and serves no more: what is let in past it lacks.
type overload struct {
	c     *Shedder
	bears float64
	now   int64
}

func (o *overload) step(l aggregate.Load) {
	o.now += 250 * ms
	let := 0.0
	for i, x := range l.Offered {
		if o.c.Active {
			x *= o.c.AdmittedByClass[i]
		}
		let += x
	}
	l.Served = min(let, o.bears)
	l.Unserved = let - l.Served
	o.c.Step(&l, 12, o.now)
}

func TestLeastWorthFirst(t *testing.T) {
	o := &overload{c: New(four()), bears: 100, now: sec}
	l := offer(o.c, 72, 54, 36, 18) // 1.8 times what can be borne
	for range 120 {
		o.step(l)
	}
	let := 0.0
	for i, x := range l.Offered {
		let += x * o.c.AdmittedByClass[i]
	}
	if !o.c.Active || let < 95 || let > 108 { // a little is left to each one's own denials
		t.Errorf("on %v, %.1f let in, want about what can be borne", o.c.Active, let)
	}
	p := [4]float64{}
	for set := range p {
		p[set] = o.c.AdmittedByClass[o.c.Class(set, 0)]
	}
	if p[3] != 1 || p[2] != 1 || p[1] < 0.7 || p[1] > 1 || p[0] > 0.1 {
		t.Errorf("let in %v, want the least worth to go first", p)
	}
	// The same req gets the same verdict, its neighbour in luck as well.
	class := o.c.Class(1, 0)
	if !o.c.Admits(class, p[1]-0.01) || o.c.Admits(class, p[1]+0.01) {
		t.Error("the verdict does not go by luck")
	}
	o.step(offer(o.c, 32, 24, 16, 8))
	if !o.c.Admits(o.c.Class(0, 0), 0.999) {
		t.Error("somebody is denied after the overload")
	}
	for range 48 {
		o.step(offer(o.c, 32, 24, 16, 8))
	}
	if o.c.Active {
		t.Error("the cut outlives the overload")
	}
}

// Processes that begin deny a part while they learn what servers bear. A cut of those seconds would go by what little they served,
// without knowing how fast answers are in calm, and take ten seconds to open.
func TestBeginsNot(t *testing.T) {
	for _, x := range []struct {
		name  string
		of    float64 // that have a cut already
		calm  float64
		after int64
		on    bool
	}{
		{"while all are new", 0, 0, 3 * sec, false},
		{"though calm was never seen", 0, 0, 6 * sec, true},
		{"with others that have one", 4, 0, sec, true},
		{"with calm known", 0, 0.1, sec, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := New(four())
			c.BaselineLatency = x.calm
			l := offer(c, 40, 30, 20, 10)
			l.Served, l.Unserved, l.LimitCount, l.Limit = 70, 30, x.of, 100*x.of
			for now := sec; now <= sec+x.after; now += 250 * ms {
				c.Step(&l, 12, now)
			}
			if c.Active != x.on {
				t.Errorf("a cut is in force: %v, want %v", c.Active, x.on)
			}
		})
	}
}

// Within its share a tenant's reqs go before those that another asks past its own, of whatever value within the same worth.
func TestShares(t *testing.T) {
	o := &overload{c: New(Config{Values: []float64{1}, Shares: []float64{0.7, 0.3}, OverShareFactor: 0.2}), bears: 100, now: sec}
	var l aggregate.Load
	l.Offered[o.c.Class(0, 0)], l.Offered[o.c.Class(0, 1)] = 60, 120
	for range 120 {
		o.step(l)
	}
	if one, two := o.c.AdmittedByClass[o.c.Class(0, 0)], o.c.AdmittedByClass[o.c.Class(0, 1)]; one != 1 || math.Abs(two*120-42) > 6 {
		t.Errorf("let in %.2f and %.2f, want all of the one and the room that it leaves for the other", one, two)
	}
}

// Load that swings about what can be borne each second moves the cut a handful of times in ten minutes.
func TestSwings(t *testing.T) {
	o := &overload{c: New(four()), bears: 100, now: sec}
	mean := 100.0
	for i := range 4 * 600 {
		want := 80.0
		if i/4%2 == 0 {
			want = 125
		}
		mean += 0.22 * (want - mean) // as a rate over a second shows it
		o.step(offer(o.c, 0.4*mean, 0.3*mean, 0.2*mean, 0.1*mean))
	}
	if o.c.Changes > 6 {
		t.Errorf("%d moves", o.c.Changes)
	}
}

// When half of the members are no longer counted the limit goes with them, and comes back with them.
func TestHalves(t *testing.T) {
	c := New(four())
	c.BaselineLatency = 0.1
	l := offer(c, 72, 54, 36, 18)
	l.Served, l.Unserved = 100, 80
	c.Step(&l, 12, 1)
	c.Step(&l, 12, sec)
	half := offer(c, 36, 27, 18, 9)
	half.Served = 50
	c.Step(&half, 6, sec+250*ms)
	if math.Abs(c.AdmittedPart-100.0/180) > 0.02 {
		t.Errorf("part %.2f let in by a half", c.AdmittedPart)
	}
	l.Unserved = 0
	c.Step(&l, 12, sec+500*ms)
	if math.Abs(c.AdmittedPart-100.0/180) > 0.03 {
		t.Errorf("part %.2f let in after", c.AdmittedPart)
	}
}

func TestClasses(t *testing.T) {
	many := Config{OverShareFactor: 0.2}
	for i := range 40 {
		many.Values, many.Shares = append(many.Values, float64(i+1)), append(many.Shares, 1.0/40)
	}
	c := New(many)
	for set := range 40 {
		for tenant := range 40 {
			if x := c.Class(set, tenant); x < 0 || x >= aggregate.Classes {
				t.Fatalf("class %d", x)
			}
		}
	}
	if c.Class(-1, 0) != -1 || c.Class(99, 0) != -1 || !c.Admits(-1, 1) {
		t.Error("a rule set that is not known is shed")
	}
}

func TestSpare(t *testing.T) {
	s := NewRetryBudget(0.1, 0)
	s.SpendRetry()
	for range 95 {
		s.EarnFirst()
	}
	if s.Available() != 9 {
		t.Errorf("%d left of 95 first ones, want 9", s.Available())
	}
	own := aggregate.Load{First: 10}
	s.Step(&own, &own, sec) // alone: what it has saved up is a short burst
	if s.Available() != 2 {
		t.Errorf("%d left after a step, want no more than a burst", s.Available())
	}
	for s.Available() > 0 {
		s.SpendRetry()
	}
	// One that wants more gets a part of what others leave; those that want nothing get nothing.
	all := aggregate.Load{First: 110, RetriesWanted: 20}
	want := aggregate.Load{First: 10, RetriesWanted: 20}
	for i := range int64(10) {
		s.Step(&all, &want, sec+(i+1)*100*ms)
	}
	if s.Available() != 2 {
		t.Errorf("%d lent, want a burst", s.Available())
	}
	for s.Available() > 0 {
		s.SpendRetry()
	}
	left := s.Available()
	s.Step(&all, &own, 4*sec)
	if s.Available() != left {
		t.Error("lent to one that wants nothing")
	}
	// Where most dispatches of the fleet fail there is no further one.
	s.EarnFirst()
	s.tokens = 5
	bad := aggregate.Load{First: 100, Failed: 60}
	if s.Step(&bad, &own, 5*sec); s.Available() != 0 {
		t.Errorf("%d left while all fail", s.Available())
	}
	bad.Failed = 40
	if s.Step(&bad, &own, 6*sec); s.Available() != 0 {
		t.Error("it came back at once")
	}
	bad.Failed = 20
	if s.Step(&bad, &own, 7*sec); s.Available() == 0 {
		t.Error("none left after most are served again")
	}
}
