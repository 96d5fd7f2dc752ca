// Package lease enforces limits that apply to a whole fleet of proxies. Each limit is divided into whole units. A
// member uses only units for which it holds a lease (Gray, Cheriton, 1989); one owner per limit grants the leases,
// and it is elected by promises of a majority of voters, which expire by themselves. The package does no I/O: it
// is driven by ticks, datagrams and a clock reading passed in.
//
// This file defines limits, the two clocks of a member, and the dispatch to its parts. A time that others rely on
// must never end early, and one that this member uses itself must never end late: what others hold is judged by
// Member.elapsed, which leaves out every stop and jump, and what is held here by the clock as it is.
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

	// TickInterval is how often Tick is to be called, in ns.
	TickInterval = 20 * ms
	maxEventGap  = 250 * ms // between events: a longer gap was a stop or a jump of the clock, and counts as no time
)

// Kind says what a limit counts.
type Kind uint8

// The kinds of limit.
const (
	Rate     Kind = iota // admitted reqs
	InFlight             // concurrent reqs
)

// Limit is one fleet-wide limit. Durations are in ns.
type Limit struct {
	Name               string
	RuleSet, Tenant    string // the reqs it applies to; empty: all
	Kind               Kind
	Units              int   // in the whole fleet. Rate: each admits one req in Period, and saves up at most one
	Period             int64 // Rate only
	Strict             bool  // without a lease nothing is admitted; otherwise Floor units are usable
	Floor              int
	LeaseDuration      int64
	MaxRequestDuration int64 // InFlight only: a req may run so long after its proxy died; the longest client timeout
}

// ID identifies a limit on the wire. The number of units, the floor and the mode may change while leases are out;
// a change of anything else makes another limit.
func (l *Limit) ID() uint32 {
	b := []byte(l.Name + "\x00" + l.RuleSet + "\x00" + l.Tenant)
	for _, x := range [...]int64{int64(l.Kind), l.Period, l.LeaseDuration, l.MaxRequestDuration} {
		b = strconv.AppendInt(append(b, 0), x, 36)
	}
	return crc32.ChecksumIEEE(b)
}

// MaxExcess bounds by how many units a fleet of that many members may exceed the limit when any of them may be cut
// off: 0 if it is strict; otherwise at least one member holds a lease while the others use their floors.
func (l *Limit) MaxExcess(members int) int {
	if l.Strict {
		return 0
	}
	return (members - 1) * l.Floor
}

// LeaseIsRenewable reports whether a lease is long enough to be renewed in time in a fleet of that many members.
func (l *Limit) LeaseIsRenewable(members int) bool {
	return l.LeaseDuration >= 3*int64(members)*minRequestGap
}

// ownershipDuration is how long the promises of a majority last, in ns.
func (l *Limit) ownershipDuration() int64 { return l.LeaseDuration / 3 }

// Config configures a member.
type Config struct {
	Index, Members int
	Voters         int    // the first so many members vote
	Incarnation    uint64 // greater at each start of the process
	Seed           uint64
	DriftPPM       int64 // by how many parts per million a clock may run too fast or too slow
	Weight         []int // by member; nil: all equal
	Limits         []Limit
}

// DropCounts counts the items and datagrams that a member dropped, by cause.
type DropCounts struct{ Malformed, Unknown, BadSender, Stale, Unsolicited int64 }

// Member is the part of one proxy. Its Limiter is safe for concurrent use, nothing else is.
type Member struct {
	cfg       Config
	lastClock int64 // latest clock reading passed in
	elapsed   int64 // ns that have certainly passed since the start: without stops and jumps
	limits    []*limitState
	random    rng.Source
	outbox    []outgoing // emptied by NextDatagram
	selfInbox []Item     // items to itself; emptied before each return
	limiter   atomic.Pointer[Limiter]
	lastTick  atomic.Int64 // when usable units were last refreshed
	Drops     DropCounts
}

type limitState struct {
	Limit
	id        uint32
	rank      []int64 // by voter; the lowest campaigns first, which spreads the limits over the voters
	vote      vote
	candidacy candidacy
	ownership *ownership // nil: another member is the owner, or none
	holder    holder
}

type outgoing struct {
	to int
	Item
}

// New starts a member. It knows nothing of an earlier incarnation, so it waits until promises of that have expired.
func New(t Config, now int64) *Member {
	m := &Member{cfg: t, lastClock: now, random: rng.Source{Seed: t.Seed ^ uint64(t.Index+1)<<40 ^ t.Incarnation}}
	m.SetLimits(t.Limits, now)
	return m
}

// SetLimits replaces the limits. A limit with the same ID keeps its state; any other starts anew.
func (m *Member) SetLimits(limits []Limit, now int64) {
	previous := m.limits
	m.limits = nil
	for _, limit := range limits {
		id := limit.ID()
		l := &limitState{Limit: limit, id: id}
		if i := slices.IndexFunc(previous, func(o *limitState) bool { return o.id == id }); i >= 0 {
			l = previous[i]
			l.Limit = limit
		} else {
			l.vote.silentUntil = m.elapsed + m.worstCaseDuration(l.ownershipDuration())
			l.rank = voterRanks(limit.Name, m.cfg.Voters)
			l.candidacy.nextAt = l.vote.silentUntil + m.candidacyDelay(l)
			l.holder = holder{owner: -1, expires: never, local: newLocalLimit(&limit)}
		}
		m.limits = append(m.limits, l)
	}
	m.publishLimiter(now)
}

// worstCaseDuration bounds how long, by this member's clock, a duration may last that another member counts from an
// earlier moment by its own clock. It allows for one jump that is taken for elapsed time.
func (m *Member) worstCaseDuration(d int64) int64 { return d + d*m.cfg.DriftPPM*3/1e6 + maxEventGap }

// voterRanks orders the voters by a hash of their index and the name of the limit.
func voterRanks(name string, voters int) []int64 {
	ranks := make([]int64, voters)
	for i := range ranks {
		hash := rng.Hash(strconv.Itoa(i), name)
		for j := range voters {
			if x := rng.Hash(strconv.Itoa(j), name); x < hash || x == hash && j < i {
				ranks[i]++
			}
		}
	}
	return ranks
}

// candidacyDelay is how long this member leaves voters of lower rank the first try, in ns.
func (m *Member) candidacyDelay(l *limitState) int64 {
	if m.cfg.Index >= m.cfg.Voters {
		return 0
	}
	return l.rank[m.cfg.Index] * candidacyStagger
}

// advanceClock takes a new clock reading. A clock that was set back voids all leases and ownerships held here.
func (m *Member) advanceClock(now int64) {
	d := now - m.lastClock
	m.lastClock = now
	if d >= 0 && d <= maxEventGap {
		m.elapsed += d
		return
	}
	for _, l := range m.limits {
		l.holder.timeSkipped = true
		if d < 0 {
			l.holder.expires = never
			m.stepDown(l)
		}
	}
}

// Tick does what is due at the clock reading now. It is to be called each TickInterval.
func (m *Member) Tick(now int64) {
	m.advanceClock(now)
	for _, l := range m.limits {
		m.campaign(l, now)
		m.maintainLease(l, now)
	}
	m.deliverToSelf(now)
	m.lastTick.Store(now)
}

// Receive handles a datagram of another member. Items that are stale, of another incarnation or of an unknown limit
// are dropped and counted.
func (m *Member) Receive(d *Datagram, now int64) {
	m.advanceClock(now)
	if d.From == m.cfg.Index || d.From < 0 || d.From >= m.cfg.Members {
		m.Drops.BadSender++
		return
	}
	for _, it := range d.Items {
		m.handleItem(d.From, d.Incarnation, it, now)
	}
	m.deliverToSelf(now)
}

// deliverToSelf handles the items that this member sent to itself.
func (m *Member) deliverToSelf(now int64) {
	for len(m.selfInbox) > 0 {
		it := m.selfInbox[0]
		m.selfInbox = m.selfInbox[1:]
		m.handleItem(m.cfg.Index, m.cfg.Incarnation, it, now)
	}
}

func (m *Member) handleItem(from int, incarnation uint64, it Item, now int64) {
	i := slices.IndexFunc(m.limits, func(l *limitState) bool { return l.id == it.Limit })
	if i < 0 {
		m.Drops.Unknown++
		return
	}
	l := m.limits[i]
	switch it.Kind {
	case VoteRequest:
		m.handleVoteRequest(l, from, incarnation, it)
	case Vote:
		m.handleVote(l, from, it, now)
	case VoteRefusal:
		l.candidacy.highestTerm = max(l.candidacy.highestTerm, it.Term)
	case VoteRelease:
		l.vote.release(from, incarnation, it.Term)
	case LeaseRequest:
		m.handleLeaseRequest(l, from, incarnation, it, now)
	case LeaseGrant:
		m.handleGrant(l, from, it, now)
	case OwnerHint:
		m.handleOwnerHint(l, it)
	default:
		m.Drops.Unknown++
	}
}

func (m *Member) send(to int, l *limitState, it Item) {
	it.Limit = l.id
	if to == m.cfg.Index {
		m.selfInbox = append(m.selfInbox, it)
	} else {
		m.outbox = append(m.outbox, outgoing{to, it})
	}
}

// NextDatagram returns the next datagram to send and the index of its recipient; ok is false if there is none.
func (m *Member) NextDatagram() (to int, d Datagram, ok bool) {
	if len(m.outbox) == 0 {
		return 0, d, false
	}
	to, d = m.outbox[0].to, Datagram{From: m.cfg.Index, Incarnation: m.cfg.Incarnation}
	m.outbox = slices.DeleteFunc(m.outbox, func(p outgoing) bool {
		if p.to != to || len(d.Items) == maxItems {
			return false
		}
		d.Items = append(d.Items, p.Item)
		return true
	})
	return to, d, true
}

// Leave returns all leases and ownerships, before the process ends.
func (m *Member) Leave(now int64) {
	m.advanceClock(now)
	for _, l := range m.limits {
		l.holder.units, l.holder.want, l.holder.leaving = 0, 0, true
		m.publishUnits(l, now)
		m.requestLease(l, now)
		m.stepDown(l)
	}
	m.deliverToSelf(now)
}

// Status describes the local state of a limit, for operators.
type Status struct {
	Limit       string `json:"limit"`
	Units       int    `json:"units"` // in the whole fleet
	Held        int    `json:"holds"` // leased to this member
	Demand      int    `json:"wants"`
	Owner       int    `json:"owner"` // index of the owner; -1: unknown
	Owns        bool   `json:"owns"`
	Granted     int    `json:"out,omitempty"` // on the owner: units that may be in use
	MaxExcess   int    `json:"over"`          // by how many units the fleet may exceed the limit
	LeaseLeftMs int64  `json:"lease_left_ms"`
}

// Status returns the status of all limits.
func (m *Member) Status(now int64) (all []Status) {
	for _, l := range m.limits {
		h := &l.holder
		s := Status{Limit: l.Name, Units: l.Units, Demand: h.want, Owner: h.owner, MaxExcess: l.MaxExcess(m.cfg.Members)}
		if now < h.expires {
			s.Held, s.LeaseLeftMs = h.units, (h.expires-now)/ms
		}
		if m.owns(l, now) {
			s.Owns, s.Granted = true, l.ownership.unitsOut(m.elapsed)
		}
		all = append(all, s)
	}
	return all
}
