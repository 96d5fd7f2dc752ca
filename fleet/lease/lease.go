// Package lease keeps limits that hold for a whole fleet of proxies. Each limit is cut into whole units; a
// member uses only units for which it holds a lease (Gray, Cheriton, 1989), one owner a limit hands them out,
// and who owns is settled by promises of a majority of voters that end by themselves. Free of I/O: driven by
// ticks, datagrams and a clock handed in.
//
// This file owns what a limit is, the two clocks of a member, and the order in which its parts are asked. It
// must never let a time that others wait for end early, nor one that it uses itself end late: what others
// hold is judged by `sure`, which leaves out every stop and jump, what is held here by the clock as it is.
package lease

import (
	"hash/crc32"
	"slices"
	"strconv"
	"sync/atomic"

	"ivybank/internal/rng"
)

const (
	ms, sec = int64(1e6), int64(1e9)

	// TickInterval is how often a member wants to be ticked, in ns.
	TickInterval = 20 * ms
	stall        = 250 * ms // between events: more was a stop or a jump, and counts as no time
)

// Kind is what a limit counts.
type Kind uint8

// The kinds.
const (
	Rate     Kind = iota // reqs let in
	InFlight             // reqs that may run
)

// Limit is one of the fleet's. Times are ns.
type Limit struct {
	Name               string
	RuleSet, Tenant    string // its scope; empty: all of them
	Kind               Kind
	Units              int   // in all. Rate: each gives a req in Per, and holds one at most
	Period             int64 // Rate
	Strict             bool  // without a lease nothing is let in; else Floor units are
	Floor              int
	LeaseDuration      int64
	MaxRequestDuration int64 // Flight: so long a req may run after its proxy died, the longest client timeout
}

// ID is what stands for a limit on the wire. Its number of units, floor and mode may change while leases are
// out; with anything else it is another limit.
func (l *Limit) ID() uint32 {
	b := []byte(l.Name + "\x00" + l.RuleSet + "\x00" + l.Tenant)
	for _, x := range [...]int64{int64(l.Kind), l.Period, l.LeaseDuration, l.MaxRequestDuration} {
		b = strconv.AppendInt(append(b, 0), x, 36)
	}
	return crc32.ChecksumIEEE(b)
}

// MaxExcess is by how many units at the most the fleet may be over, with so many members of which any may be cut
// off: none where it is strict; else one member at least holds a lease while the others use their floors.
func (l *Limit) MaxExcess(members int) int {
	if l.Strict {
		return 0
	}
	return (members - 1) * l.Floor
}

// LeaseIsRenewable says whether a lease is long enough to be renewed in time in a fleet of so many members.
func (l *Limit) LeaseIsRenewable(members int) bool { return l.LeaseDuration >= 3*int64(members)*apart }

// authority is how long a majority's promises last.
func (l *Limit) authority() int64 { return l.LeaseDuration / 3 }

// Config is what a member is told.
type Config struct {
	Index, Members int
	Voters         int    // the first so many places
	Incarnation    uint64 // another, later one at each start
	Seed           uint64
	DriftPPM       int64 // by how many millionths a clock may run too fast or too slow
	Weight         []int // by place; nil: all alike
	Limits         []Limit
}

// Count is what a member has dropped, by cause.
type Count struct{ Form, Unknown, Place, Late, Unasked int64 }

// Member is one proxy's part. Its Book may be read by any goroutine, all else by one at a time.
type Member struct {
	t      Config
	last   int64 // latest clock handed in
	sure   int64 // time that has surely passed since the start
	limits []*limit
	dice   rng.Source
	todo   []post // emptied by Next
	self   []Item // to itself; emptied before each return
	book   atomic.Pointer[Limiter]
	tick   atomic.Int64 // when the book was looked after
	Count  Count
}

type limit struct {
	Limit
	id   uint32
	rank []int64 // by voter; the lowest stands first, so that limits spread over the voters
	vote vote
	bid  bid
	own  *owner // nil: another owns, or none
	hold holder
}

type post struct {
	to int
	Item
}

// New begins. Nothing is known of an earlier life: what that may have promised is waited for.
func New(t Config, now int64) *Member {
	m := &Member{t: t, last: now, dice: rng.Source{Seed: t.Seed ^ uint64(t.Index+1)<<40 ^ t.Incarnation}}
	m.SetLimits(t.Limits, now)
	return m
}

// SetLimits takes the limits as they are from now on. One whose units alone differ goes on; any other begins
// anew.
func (m *Member) SetLimits(all []Limit, now int64) {
	old := m.limits
	m.limits = nil
	for _, x := range all {
		id := x.ID()
		l := &limit{Limit: x, id: id}
		if i := slices.IndexFunc(old, func(o *limit) bool { return o.id == id }); i >= 0 {
			l = old[i]
			l.Limit = x
		} else {
			l.vote.mute = m.sure + m.lasts(l.authority())
			l.rank = ranks(x.Name, m.t.Voters)
			l.bid.next = l.vote.mute + m.late(l)
			l.hold = holder{owner: -1, end: never, line: newLine(&x)}
		}
		m.limits = append(m.limits, l)
	}
	m.publish(now)
}

// lasts is how long a time that another counts from an earlier moment, by a clock of its own, may last by
// this one's; with room for one jump that is taken for time.
func (m *Member) lasts(d int64) int64 { return d + d*m.t.DriftPPM*3/1e6 + stall }

// ranks orders the voters by a hash of theirs and the limit's.
func ranks(name string, voters int) []int64 {
	all := make([]int64, voters)
	for i := range all {
		mine := rng.Hash(strconv.Itoa(i), name)
		for j := range voters {
			if x := rng.Hash(strconv.Itoa(j), name); x < mine || x == mine && j < i {
				all[i]++
			}
		}
	}
	return all
}

// late is by how much this member waits for those that stand before it.
func (m *Member) late(l *limit) int64 {
	if m.t.Index >= m.t.Voters {
		return 0
	}
	return l.rank[m.t.Index] * standApart
}

// clock lets time pass. A clock that was set back voids all that is held here by it.
func (m *Member) clock(now int64) {
	d := now - m.last
	m.last = now
	if d >= 0 && d <= stall {
		m.sure += d
		return
	}
	for _, l := range m.limits {
		l.hold.paused = true
		if d < 0 {
			l.hold.end = never
			m.resign(l)
		}
	}
}

// Tick does what is due.
func (m *Member) Tick(now int64) {
	m.clock(now)
	for _, l := range m.limits {
		m.stand(l, now)
		m.use(l, now)
	}
	m.settle(now)
	m.tick.Store(now)
}

// Receive takes a datagram of another member; what is late, of another life or of no limit here is dropped and
// counted.
func (m *Member) Receive(d *Datagram, now int64) {
	m.clock(now)
	if d.From == m.t.Index || d.From < 0 || d.From >= m.t.Members {
		m.Count.Place++
		return
	}
	for _, it := range d.Items {
		m.take(d.From, d.Life, it, now)
	}
	m.settle(now)
}

// settle has this member hear what it says to itself.
func (m *Member) settle(now int64) {
	for len(m.self) > 0 {
		it := m.self[0]
		m.self = m.self[1:]
		m.take(m.t.Index, m.t.Incarnation, it, now)
	}
}

func (m *Member) take(from int, life uint64, it Item, now int64) {
	i := slices.IndexFunc(m.limits, func(l *limit) bool { return l.id == it.Limit })
	if i < 0 {
		m.Count.Unknown++
		return
	}
	l := m.limits[i]
	switch it.Kind {
	case Stand:
		m.stood(l, from, life, it)
	case Vote:
		m.voted(l, from, it, now)
	case Refuse:
		l.bid.seen = max(l.bid.seen, it.Term)
	case Free:
		l.vote.freed(from, life, it.Term)
	case Ask:
		m.asked(l, from, life, it, now)
	case Grant:
		m.granted(l, from, it, now)
	case Hint:
		m.hinted(l, it)
	default:
		m.Count.Unknown++
	}
}

func (m *Member) post(to int, l *limit, it Item) {
	it.Limit = l.id
	if to == m.t.Index {
		m.self = append(m.self, it)
	} else {
		m.todo = append(m.todo, post{to, it})
	}
}

// NextDatagram gives the next datagram and for whom it is; false when there is none.
func (m *Member) NextDatagram() (to int, d Datagram, ok bool) {
	if len(m.todo) == 0 {
		return 0, d, false
	}
	to, d = m.todo[0].to, Datagram{From: m.t.Index, Life: m.t.Incarnation}
	m.todo = slices.DeleteFunc(m.todo, func(p post) bool {
		if p.to != to || len(d.Items) == mostItems {
			return false
		}
		d.Items = append(d.Items, p.Item)
		return true
	})
	return to, d, true
}

// Leave gives back what is held and owned, as this process ends.
func (m *Member) Leave(now int64) {
	m.clock(now)
	for _, l := range m.limits {
		l.hold.units, l.hold.want, l.hold.gone = 0, 0, true
		m.show(l, now)
		m.ask(l, now)
		m.resign(l)
	}
	m.settle(now)
}

// Status is how a limit stands here, for operators.
type Status struct {
	Limit       string `json:"limit"`
	Units       int    `json:"units"` // in all
	Held        int    `json:"holds"` // by a lease
	Demand      int    `json:"wants"`
	Owner       int    `json:"owner"` // place; -1: none is known
	Owns        bool   `json:"owns"`
	Granted     int    `json:"out,omitempty"` // at the owner: units that are out
	MaxExcess   int    `json:"over"`          // the bound, in units
	LeaseLeftMs int64  `json:"lease_left_ms"`
}

// Status gives all limits.
func (m *Member) Status(now int64) (all []Status) {
	for _, l := range m.limits {
		h := &l.hold
		s := Status{Limit: l.Name, Units: l.Units, Demand: h.want, Owner: h.owner, MaxExcess: l.MaxExcess(m.t.Members)}
		if now < h.end {
			s.Held, s.LeaseLeftMs = h.units, (h.end-now)/ms
		}
		if m.owns(l, now) {
			s.Owns, s.Granted = true, l.own.out(m.sure)
		}
		all = append(all, s)
	}
	return all
}
