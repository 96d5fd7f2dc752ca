package shed

import (
	"math"
	"testing"

	"ivybank/fleet/aggregate"
)

// testConfig has four rule sets of rising value and one tenant.
func testConfig() Config {
	return Config{Values: []float64{1, 2, 4, 8}, Shares: []float64{1}, OverShareFactor: 0.2}
}

func offeredLoad(s *Shedder, by ...float64) (l aggregate.Load) {
	for set, x := range by {
		l.Offered[s.Class(set, 0)] += x
	}
	return l
}

// overload is a fleet with a fixed capacity; what it admits beyond that is not served.
type overload struct {
	shedder  *Shedder
	capacity float64
	now      int64
}

func (o *overload) step(l aggregate.Load) {
	o.now += 250 * ms
	admitted := 0.0
	for i, x := range l.Offered {
		if o.shedder.Active {
			x *= o.shedder.AdmittedByClass[i]
		}
		admitted += x
	}
	l.Served = min(admitted, o.capacity)
	l.Unserved = admitted - l.Served
	o.shedder.Step(&l, 12, o.now)
}

func TestLowestValueFirst(t *testing.T) {
	o := &overload{shedder: New(testConfig()), capacity: 100, now: sec}
	l := offeredLoad(o.shedder, 72, 54, 36, 18) // 1.8 times the capacity
	for range 120 {
		o.step(l)
	}
	admitted := 0.0
	for i, x := range l.Offered {
		admitted += x * o.shedder.AdmittedByClass[i]
	}
	if !o.shedder.Active || admitted < 95 || admitted > 108 { // each member's balancer denies the small excess
		t.Errorf("active %v, %.1f admitted, want about the capacity", o.shedder.Active, admitted)
	}
	parts := [4]float64{}
	for set := range parts {
		parts[set] = o.shedder.AdmittedByClass[o.shedder.Class(set, 0)]
	}
	if parts[3] != 1 || parts[2] != 1 || parts[1] < 0.7 || parts[1] > 1 || parts[0] > 0.1 {
		t.Errorf("admitted parts %v, want the lowest value rejected first", parts)
	}
	// Requests with the same hash get the same verdict; the admitted part separates the hashes.
	class := o.shedder.Class(1, 0)
	if !o.shedder.Admits(class, parts[1]-0.01) || o.shedder.Admits(class, parts[1]+0.01) {
		t.Error("the verdict does not follow the client hash")
	}
	o.step(offeredLoad(o.shedder, 32, 24, 16, 8))
	if !o.shedder.Admits(o.shedder.Class(0, 0), 0.999) {
		t.Error("requests are rejected after the overload")
	}
	for range 48 {
		o.step(offeredLoad(o.shedder, 32, 24, 16, 8))
	}
	if o.shedder.Active {
		t.Error("still active after the overload")
	}
}

// New processes reject some requests while they learn what servers can bear. If shedding started then, its limit
// would follow the little that they served. Without a baseline latency it would take ten seconds to rise.
func TestStartDelay(t *testing.T) {
	for _, x := range []struct {
		name       string
		limitCount float64 // members that shed already
		baseline   float64
		after      int64
		on         bool
	}{
		{"all members are new", 0, 0, 3 * sec, false},
		{"baseline unknown for longer", 0, 0, 6 * sec, true},
		{"other members shed", 4, 0, sec, true},
		{"baseline known", 0, 0.1, sec, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := New(testConfig())
			s.BaselineLatency = x.baseline
			l := offeredLoad(s, 40, 30, 20, 10)
			l.Served, l.Unserved, l.LimitCount, l.Limit = 70, 30, x.limitCount, 100*x.limitCount
			for now := sec; now <= sec+x.after; now += 250 * ms {
				s.Step(&l, 12, now)
			}
			if s.Active != x.on {
				t.Errorf("active %v, want %v", s.Active, x.on)
			}
		})
	}
}

// Requests within a tenant's share come before those that another tenant sends beyond its own share, at the same
// value.
func TestTenantShares(t *testing.T) {
	o := &overload{shedder: New(Config{Values: []float64{1}, Shares: []float64{0.7, 0.3}, OverShareFactor: 0.2}),
		capacity: 100, now: sec}
	var l aggregate.Load
	l.Offered[o.shedder.Class(0, 0)], l.Offered[o.shedder.Class(0, 1)] = 60, 120
	for range 120 {
		o.step(l)
	}
	if one, two := o.shedder.AdmittedByClass[o.shedder.Class(0, 0)],
		o.shedder.AdmittedByClass[o.shedder.Class(0, 1)]; one != 1 || math.Abs(two*120-42) > 6 {
		t.Errorf("admitted %.2f and %.2f, want all of the first and the rest of the limit for the second", one, two)
	}
}

// Load that swings around the capacity every second causes only a few changes of the shedder in ten minutes.
func TestSwingingLoad(t *testing.T) {
	o := &overload{shedder: New(testConfig()), capacity: 100, now: sec}
	mean := 100.0
	for i := range 4 * 600 {
		want := 80.0
		if i/4%2 == 0 {
			want = 125
		}
		mean += 0.22 * (want - mean) // smoothed like a rate measured over a second
		o.step(offeredLoad(o.shedder, 0.4*mean, 0.3*mean, 0.2*mean, 0.1*mean))
	}
	if o.shedder.Changes > 6 {
		t.Errorf("%d changes", o.shedder.Changes)
	}
}

// When half of the members are no longer counted the limit follows, and again when they return.
func TestLimitFollowsMembers(t *testing.T) {
	s := New(testConfig())
	s.BaselineLatency = 0.1
	l := offeredLoad(s, 72, 54, 36, 18)
	l.Served, l.Unserved = 100, 80
	s.Step(&l, 12, 1)
	s.Step(&l, 12, sec)
	half := offeredLoad(s, 36, 27, 18, 9)
	half.Served = 50
	s.Step(&half, 6, sec+250*ms)
	if math.Abs(s.AdmittedPart-100.0/180) > 0.02 {
		t.Errorf("half of the members admit %.2f", s.AdmittedPart)
	}
	l.Unserved = 0
	s.Step(&l, 12, sec+500*ms)
	if math.Abs(s.AdmittedPart-100.0/180) > 0.03 {
		t.Errorf("admitted part %.2f after all are counted again", s.AdmittedPart)
	}
}

func TestClasses(t *testing.T) {
	many := Config{OverShareFactor: 0.2}
	for i := range 40 {
		many.Values, many.Shares = append(many.Values, float64(i+1)), append(many.Shares, 1.0/40)
	}
	s := New(many)
	for set := range 40 {
		for tenant := range 40 {
			if x := s.Class(set, tenant); x < 0 || x >= aggregate.Classes {
				t.Fatalf("class %d", x)
			}
		}
	}
	if s.Class(-1, 0) != -1 || s.Class(99, 0) != -1 || !s.Admits(-1, 1) {
		t.Error("an unknown rule set is shed")
	}
}

func TestRetryBudget(t *testing.T) {
	b := NewRetryBudget(0.1, 0)
	b.SpendRetry()
	for range 95 {
		b.EarnFirst()
	}
	if b.Available() != 9 {
		t.Errorf("%d retries available after 95 first dispatches, want 9", b.Available())
	}
	own := aggregate.Load{First: 10}
	b.Step(&own, &own, sec) // without peers, no more than a short burst is saved up
	if b.Available() != 2 {
		t.Errorf("%d available after a step, want 2, a burst", b.Available())
	}
	for b.Available() > 0 {
		b.SpendRetry()
	}
	// A member that wants more retries gets a part of what others leave; one that wants none gets nothing.
	all := aggregate.Load{First: 110, RetriesWanted: 20}
	want := aggregate.Load{First: 10, RetriesWanted: 20}
	for i := range int64(10) {
		b.Step(&all, &want, sec+(i+1)*100*ms)
	}
	if b.Available() != 2 {
		t.Errorf("%d available after lending, want 2, a burst", b.Available())
	}
	for b.Available() > 0 {
		b.SpendRetry()
	}
	left := b.Available()
	b.Step(&all, &own, 4*sec)
	if b.Available() != left {
		t.Error("retries were lent to a member that wants none")
	}
	// No retries while most dispatches of the fleet fail.
	b.EarnFirst()
	b.tokens = 5
	bad := aggregate.Load{First: 100, Failed: 60}
	if b.Step(&bad, &own, 5*sec); b.Available() != 0 {
		t.Errorf("%d available while most dispatches fail", b.Available())
	}
	bad.Failed = 40
	if b.Step(&bad, &own, 6*sec); b.Available() != 0 {
		t.Error("the budget resumed at once")
	}
	bad.Failed = 20
	if b.Step(&bad, &own, 7*sec); b.Available() == 0 {
		t.Error("none available after most dispatches are served again")
	}
}
