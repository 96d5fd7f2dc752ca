package quota

// Book is what the req path holds: which quotas bind which tenant, and which reqs were charged lately. It
// must never wait, allocate or ask anyone. Its reqs are admitted and ended by one goroutine; holders' tasks
// run beside it.
type Book struct {
	tenants map[string][]*Slot // set once
	// by key; an entry ends when its req never ran, after keep, or by a newer one in its set
	sets [][ways]entry
	keep int64
}

// most quotas on one tenant, entries in a set.
const (
	most = 4
	ways = 4
)

// Req is what a charge goes by. Key is a hash of what stays the same in a client's retry, tenant included; 0:
// no retry is known as one.
type Req struct {
	Key         uint64
	Tenant      string
	Cost, Worth int64 // at the most
}

// Charge is what was taken for a req, by quota.
type Charge struct {
	n     int
	parts [most]struct {
		cell   *Cell
		amount int64
		class  int
		unit   Unit
	}
}

// Verdict is what becomes of a req.
type Verdict struct {
	Denied bool
	Quota  uint32 // which denied it
	Wait   int64  // ns until it makes sense to come again
}

// Ticket is held while a req is open.
type Ticket struct {
	charge Charge // where no entry keeps it
	entry  *entry
}

type entry struct {
	key    uint64
	until  int64
	open   int32 // dispatches of the same req
	ran    bool  // one of them may have run
	used   Req   // the most that one of them took
	charge Charge
}

// NewBook takes all quotas of this process, at most four of a tenant; retries are known for keep ns, among
// about so many reqs.
func NewBook(keep int64, reqs int) *Book {
	n := 1
	for n*ways < reqs {
		n *= 2
	}
	return &Book{tenants: map[string][]*Slot{}, sets: make([][ways]entry, n), keep: keep}
}

// Add binds a tenant by a quota, before the first req. It is refused for a fifth.
func (b *Book) Add(tenant string, s *Slot) bool {
	if len(b.tenants[tenant]) == most {
		return false
	}
	b.tenants[tenant] = append(b.tenants[tenant], s)
	return true
}

// Admit charges a req to all of its tenant's quotas or to none.
func (b *Book) Admit(now int64, r Req) (t Ticket, v Verdict) {
	slots := b.tenants[r.Tenant]
	if len(slots) == 0 {
		return t, v
	}
	e, again := b.find(now, r.Key)
	if again {
		e.open++
		t.entry = e
		return t, v
	}
	v = take(slots, now, &r, &t.charge)
	if !v.Denied && e != nil {
		*e = entry{key: r.Key, until: now + b.keep, open: 1, charge: t.charge}
		t.entry = e
	}
	return t, v
}

// find gives the entry of a key, or one that it may take; nil where there is none.
func (b *Book) find(now int64, key uint64) (free *entry, found bool) {
	if key == 0 {
		return nil, false
	}
	set := &b.sets[key%uint64(len(b.sets))]
	for i := range set {
		e := &set[i]
		if e.key == key && (e.open > 0 || now < e.until) {
			return e, true
		}
		if e.open == 0 && (free == nil || e.until < free.until) {
			free = e
		}
	}
	return free, false
}

func take(slots []*Slot, now int64, r *Req, c *Charge) (v Verdict) {
	for _, s := range slots {
		p := s.view.Load()
		if p == nil {
			c.Back()
			return Verdict{true, s.id, 0}
		}
		class := 0
		if p.from > 0 && r.Worth >= p.from {
			class = 1
		}
		amount := s.unit.of(r)
		from, ok := 0, false
		if now < p.until {
			from, ok = p.cell.take(amount, class)
		} else {
			p.cell.asked[class].Add(amount)
		}
		if !ok {
			c.Back()
			v = Verdict{true, s.id, p.soon}
			if p.opens > now {
				v.Wait = p.opens - now
			}
			v.Wait += p.later[s.turn.Add(1)%uint32(len(*p.later))]
			return v
		}
		part := &c.parts[c.n]
		part.cell, part.amount, part.class, part.unit = p.cell, amount, from, s.unit
		c.n++
	}
	return v
}

func (u Unit) of(r *Req) int64 {
	switch u {
	case Cost:
		return r.Cost
	case Worth:
		return r.Worth
	}
	return 1
}

// Done ends a dispatch of a req: whether it may have run, and what it took of that which was reserved. The
// charge goes back when none of the same req's dispatches may have run.
func (b *Book) Done(t *Ticket, ran bool, used Req) {
	e := t.entry
	if e == nil {
		if ran {
			t.charge.Settle(used)
		} else {
			t.charge.Back()
		}
		*t = Ticket{}
		return
	}
	e.open--
	if ran {
		e.ran = true
		e.used.Cost, e.used.Worth = max(e.used.Cost, used.Cost), max(e.used.Worth, used.Worth)
	}
	if e.open == 0 {
		if e.ran {
			e.charge.Settle(e.used)
		} else {
			e.charge.Back()
			e.key, e.until = 0, 0
		}
	}
	*t = Ticket{}
}

// Settle gives back what was reserved beyond what was taken, once.
func (c *Charge) Settle(used Req) {
	for i := range c.parts[:c.n] {
		p := &c.parts[i]
		p.cell.left[p.class].Add(max(0, p.amount-max(0, p.unit.of(&used))))
	}
	c.n = 0
}

// Back gives all back, once.
func (c *Charge) Back() {
	for i := range c.parts[:c.n] {
		p := &c.parts[i]
		p.cell.left[p.class].Add(p.amount)
	}
	c.n = 0
}
