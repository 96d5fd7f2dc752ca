package lease

import "testing"

// holdingMember returns a member of a fleet of two that holds units of a rate limit and has a full bucket.
func holdingMember(t *testing.T, units int) (m *Member, l *limitState, now int64) {
	t.Helper()
	m = New(Config{Index: 0, Members: 2, Voters: 2, Incarnation: 1, Limits: []Limit{{
		Name: "one", Units: 6, Period: 250 * ms, LeaseDuration: 100 * sec, Strict: true}}}, sec)
	l, now = m.limits[0], sec
	l.holder.owner, l.holder.term, l.holder.epoch = 1, 1, 1
	for range 2 { // the first update starts without tokens
		grant(t, m, l, units, now)
		now += sec
		m.updateDemand(l, now)
		m.publishUnits(l, now)
	}
	m.lastTick.Store(now)
	return m, l, now
}

// grant lets the member request a lease and the owner answer at the same time.
func grant(t *testing.T, m *Member, l *limitState, units int, now int64) {
	t.Helper()
	m.requestLease(l, now)
	h := &l.holder
	m.handleGrant(l, 1, Item{Kind: LeaseGrant, Term: h.term, Epoch: h.epoch, Seq: h.requestSeq, Units: units,
		Settled: true}, now)
	if h.units != units {
		t.Fatalf("holds %d units, want %d", h.units, units)
	}
}

// maxExcess returns by how much admissions exceed a rate of units, each of which admits one req in per ns and saves up
// one.
func maxExcess(admitted []int64, units int, per int64) (over float64) {
	for i := range admitted {
		for j := i; j < len(admitted); j++ {
			stretch := float64(admitted[j]-admitted[i]) / float64(per)
			over = max(over, float64(j-i+1)-float64(units)*(1+stretch))
		}
	}
	return over
}

// A full bucket holds no fraction of another req, however long it has been full when a burst arrives.
func TestFullBucketHoldsNoPartOfAnotherReq(t *testing.T) {
	const units = 3
	for phase := int64(0); phase < 250; phase += 10 {
		m, l, now := holdingMember(t, units)
		for end := now + sec + phase*ms; now < end; now += TickInterval {
			m.updateDemand(l, now)
			m.publishUnits(l, now)
		}
		var admitted []int64
		for end := now + sec; now < end; now += ms {
			if now%TickInterval == 0 {
				m.updateDemand(l, now)
				m.publishUnits(l, now)
			}
			m.lastTick.Store(now)
			if ok, _ := m.Limiter().Admit(Scope{}, now); ok {
				admitted = append(admitted, now)
			}
		}
		if over := maxExcess(admitted, units, 250*ms); over > 0 {
			t.Errorf("exceeded by %.2f reqs after the bucket was full for another %d ms", over, phase)
		}
	}
}

// Units granted between two ticks accrue no tokens for the time before the grant, however late the ticks are.
func TestUnitsAccrueFromWhenTheyCome(t *testing.T) {
	m, l, now := holdingMember(t, 1)
	for range 2 { // empty the bucket
		m.Limiter().Admit(Scope{}, now)
	}
	const late = 200 * ms
	grant(t, m, l, 6, now+late)
	m.updateDemand(l, now+late+ms)
	m.publishUnits(l, now+late+ms)
	if got := l.holder.local.tokens.Load()*250*ms + l.holder.accrual; got > late+6*ms {
		t.Errorf("accrued %d unit-ms, want at most %d", got/ms, (late+6*ms)/ms)
	}
}
