package lease

import "testing"

// holding makes a member of two that holds some units of a rate from another one, with a full bucket.
func holdingMember(t *testing.T, units int) (m *Member, l *limit, now int64) {
	t.Helper()
	m = New(Config{Index: 0, Members: 2, Voters: 2, Incarnation: 1, Limits: []Limit{{Name: "one", Units: 6, Period: 250 * ms, LeaseDuration: 100 * sec, Strict: true}}}, sec)
	l, now = m.limits[0], sec
	l.hold.owner, l.hold.term, l.hold.epoch = 1, 1, 1
	for range 2 { // the first count begins with nothing
		grant(t, m, l, units, now)
		now += sec
		m.count(l, now)
		m.show(l, now)
	}
	m.tick.Store(now)
	return m, l, now
}

// grant has the member ask and the owner answer at one moment.
func grant(t *testing.T, m *Member, l *limit, units int, now int64) {
	t.Helper()
	m.ask(l, now)
	h := &l.hold
	m.granted(l, 1, Item{Kind: Grant, Term: h.term, Epoch: h.epoch, Count: h.count, Use: units, Settled: true}, now)
	if h.units != units {
		t.Fatalf("holds %d units, want %d", h.units, units)
	}
}

// mostOver is by how much admissions pass a rate of some units, each of which lets in one in per and holds one.
func mostOver(admitted []int64, units int, per int64) (over float64) {
	for i := range admitted {
		for j := i; j < len(admitted); j++ {
			stretch := float64(admitted[j]-admitted[i]) / float64(per)
			over = max(over, float64(j-i+1)-float64(units)*(1+stretch))
		}
	}
	return over
}

// A bucket that is full holds no part of a further req, however long it has been full when all comes at once.
func TestFullBucketHoldsNoPartOfAnotherReq(t *testing.T) {
	const units = 3
	for phase := int64(0); phase < 250; phase += 10 {
		m, l, now := holdingMember(t, units)
		for end := now + sec + phase*ms; now < end; now += TickInterval {
			m.count(l, now)
			m.show(l, now)
		}
		var admitted []int64
		for end := now + sec; now < end; now += ms {
			if now%TickInterval == 0 {
				m.count(l, now)
				m.show(l, now)
			}
			m.tick.Store(now)
			if ok, _ := m.Limiter().Admit(Scope{}, now); ok {
				admitted = append(admitted, now)
			}
		}
		if over := mostOver(admitted, units, 250*ms); over > 0 {
			t.Errorf("over by %.2f after it was full for %d ms more", over, phase)
		}
	}
}

// Units that come between two ticks let in nothing for the time before they came, however late the ticks are.
func TestUnitsAccrueFromWhenTheyCome(t *testing.T) {
	m, l, now := holdingMember(t, 1)
	for range 2 { // empty it
		m.Limiter().Admit(Scope{}, now)
	}
	const late = 200 * ms
	grant(t, m, l, 6, now+late)
	m.count(l, now+late+ms)
	m.show(l, now+late+ms)
	if got := l.hold.line.left.Load()*250*ms + l.hold.carry; got > late+6*ms {
		t.Errorf("%d ms of a unit have accrued, want %d at most", got/ms, (late+6*ms)/ms)
	}
}
