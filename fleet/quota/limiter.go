package quota

// Limiter is the admission path: it knows which quotas apply to which tenant, and which reqs were charged recently. It
// must never block, allocate or communicate. One goroutine admits and ends its reqs; the holders run concurrently.
type Limiter struct {
	slotsByTenant map[string][]*Slot // set before the first req
	// by key; an entry is removed when its req never ran, after retention, or by a newer one in its set
	sets      [][entriesPerSet]retryEntry
	retention int64
}

// Bounds of the limiter's tables.
const (
	maxQuotasPerTenant = 4
	entriesPerSet      = 4
)

// Req determines a charge. Key is a hash of what stays the same in a retry by the client, the tenant included; with 0 a
// retry is not recognized.
type Req struct {
	Key         uint64
	Tenant      string
	Cost, Value int64 // upper bounds
}

// Charge holds the tokens taken for a req, by quota.
type Charge struct {
	n     int
	parts [maxQuotasPerTenant]struct {
		tokens *WindowTokens
		amount int64
		class  int
		unit   Unit
	}
}

// Decision is the result of Admit.
type Decision struct {
	Denied     bool
	Quota      uint32 // ID of the one that denied it
	RetryAfter int64  // ns
}

// Ticket represents a dispatch of an admitted req until Done.
type Ticket struct {
	charge Charge // if no entry holds it
	entry  *retryEntry
}

type retryEntry struct {
	key        uint64
	expires    int64
	dispatches int32 // open dispatches of the same req
	ran        bool  // one of the dispatches may have run
	used       Req   // maximum over the dispatches
	charge     Charge
}

// NewLimiter returns a Limiter that recognizes retries for retention ns, among about that many reqs.
func NewLimiter(retention int64, reqs int) *Limiter {
	n := 1
	for n*entriesPerSet < reqs {
		n *= 2
	}
	return &Limiter{slotsByTenant: map[string][]*Slot{}, sets: make([][entriesPerSet]retryEntry, n), retention: retention}
}

// Add applies a quota to a tenant; call it before the first req. It returns false if the tenant has
// maxQuotasPerTenant quotas already.
func (l *Limiter) Add(tenant string, s *Slot) bool {
	if len(l.slotsByTenant[tenant]) == maxQuotasPerTenant {
		return false
	}
	l.slotsByTenant[tenant] = append(l.slotsByTenant[tenant], s)
	return true
}

// Admit charges a req to all quotas of its tenant or to none. A known retry is not charged again.
func (l *Limiter) Admit(now int64, r Req) (t Ticket, v Decision) {
	slots := l.slotsByTenant[r.Tenant]
	if len(slots) == 0 {
		return t, v
	}
	entry, isRetry := l.findEntry(now, r.Key)
	if isRetry {
		entry.dispatches++
		t.entry = entry
		return t, v
	}
	v = chargeAll(slots, now, &r, &t.charge)
	if !v.Denied && entry != nil {
		*entry = retryEntry{key: r.Key, expires: now + l.retention, dispatches: 1, charge: t.charge}
		t.entry = entry
	}
	return t, v
}

// findEntry returns the entry of a key, or else one that may be reused; nil if there is none.
func (l *Limiter) findEntry(now int64, key uint64) (free *retryEntry, found bool) {
	if key == 0 {
		return nil, false
	}
	set := &l.sets[key%uint64(len(l.sets))]
	for i := range set {
		entry := &set[i]
		if entry.key == key && (entry.dispatches > 0 || now < entry.expires) {
			return entry, true
		}
		if entry.dispatches == 0 && (free == nil || entry.expires < free.expires) {
			free = entry
		}
	}
	return free, false
}

func chargeAll(slots []*Slot, now int64, r *Req, charge *Charge) (v Decision) {
	for _, s := range slots {
		snap := s.snapshot.Load()
		if snap == nil {
			charge.Refund()
			return Decision{true, s.id, 0}
		}
		class := 0
		if snap.reserveFrom > 0 && r.Value >= snap.reserveFrom {
			class = 1
		}
		amount := s.unit.amountOf(r)
		fromClass, ok := 0, false
		if now < snap.validUntil {
			fromClass, ok = snap.tokens.take(amount, class)
		} else {
			snap.tokens.demanded[class].Add(amount)
		}
		if !ok {
			charge.Refund()
			v = Decision{true, s.id, snap.retryAfter}
			if snap.opensAt > now {
				v.RetryAfter = snap.opensAt - now
			}
			v.RetryAfter += snap.spread[s.nextSpread.Add(1)%uint32(len(*snap.spread))]
			return v
		}
		part := &charge.parts[charge.n]
		part.tokens, part.amount, part.class, part.unit = snap.tokens, amount, fromClass, s.unit
		charge.n++
	}
	return v
}

func (u Unit) amountOf(r *Req) int64 {
	switch u {
	case Cost:
		return r.Cost
	case Value:
		return r.Value
	}
	return 1
}

// Done ends a dispatch of a req: ran tells whether it may have run, and used what it consumed of the amounts charged.
// The charge is refunded if no dispatch of the req may have run.
func (l *Limiter) Done(t *Ticket, ran bool, used Req) {
	entry := t.entry
	if entry == nil {
		if ran {
			t.charge.Settle(used)
		} else {
			t.charge.Refund()
		}
		*t = Ticket{}
		return
	}
	entry.dispatches--
	if ran {
		entry.ran = true
		entry.used.Cost, entry.used.Value = max(entry.used.Cost, used.Cost), max(entry.used.Value, used.Value)
	}
	if entry.dispatches == 0 {
		if entry.ran {
			entry.charge.Settle(entry.used)
		} else {
			entry.charge.Refund()
			entry.key, entry.expires = 0, 0
		}
	}
	*t = Ticket{}
}

// Settle refunds the amounts charged beyond those used. Further calls do nothing.
func (c *Charge) Settle(used Req) {
	for i := range c.parts[:c.n] {
		p := &c.parts[i]
		p.tokens.left[p.class].Add(max(0, p.amount-max(0, p.unit.amountOf(&used))))
	}
	c.n = 0
}

// Refund gives back the whole charge. Further calls do nothing.
func (c *Charge) Refund() {
	for i := range c.parts[:c.n] {
		p := &c.parts[i]
		p.tokens.left[p.class].Add(p.amount)
	}
	c.n = 0
}
