// Package aggregate sums up the loads of all members, so that each member has the total without hearing from every
// other one. The members' indexes form blocks of 1, 2, 4 and so on, as in a tournament. At each level a member
// needs one sum, that of its sibling block. The package is free of I/O. It never counts a member twice, nor one
// that is gone.
//
// The method is aggregation over a hierarchy (van Renesse, Birman, Vogels: Astrolabe, 2003) with blocks fixed by
// index, so that no two sums overlap and the newest sum of a block replaces the one before.
package aggregate

import (
	"encoding/binary"
	"math"
	"math/bits"
	"slices"

	"ivybank/fleet/peer"
)

// Classes is the maximum number of request classes that a load distinguishes.
const Classes = 24

// Load is the load of a member or a block. Each figure is a rate per second except Limit and LimitCount.
type Load struct {
	First         float64 // first dispatches of requests
	Retries       float64 // dispatches after the first of a request
	RetriesWanted float64 // retries that were wanted, whether or not they were allowed
	Probes        float64
	Refused       float64 // dispatches refused by servers
	TimedOut      float64 // dispatches without an answer in time
	Failed        float64 // dispatches with any outcome other than served
	// Cost of requests that were admitted, not served in time, and not retried by their clients.
	Unserved   float64
	Served     float64          // cost of requests that were served in time
	Limit      float64          // sum of the members' estimates of what the fleet can bear, in cost per second
	LimitCount float64          // number of members with such an estimate
	ServerTime float64          // seconds per second that served dispatches took at servers
	Offered    [Classes]float64 // cost of received requests by class, without clients' retries
}

// fixedFigures is the number of figures of a load before its classes.
const fixedFigures = 12

func (l *Load) figures() [fixedFigures]*float64 {
	return [fixedFigures]*float64{&l.First, &l.Retries, &l.RetriesWanted, &l.Probes, &l.Refused, &l.TimedOut,
		&l.Failed, &l.Unserved, &l.Served, &l.Limit, &l.LimitCount, &l.ServerTime}
}

// Add adds a fraction of another load.
func (l *Load) Add(x *Load, part float64) {
	to, from := l.figures(), x.figures()
	for i := range to {
		*to[i] += *from[i] * part
	}
	for i := range l.Offered {
		l.Offered[i] += x.Offered[i] * part
	}
}

// TotalOffered returns the cost offered in all classes.
func (l *Load) TotalOffered() (sum float64) {
	for _, x := range l.Offered {
		sum += x
	}
	return sum
}

// An encoded figure takes two bytes: a logarithm in steps of a 256th of an octave, 0.3%, from 0.004 up.
const (
	stepsPerOctave = 256
	stepOffset     = 8*stepsPerOctave + 1
)

func pack(b []byte, x float64) []byte {
	n := uint16(0)
	if x > 0 {
		n = uint16(max(1, min(math.MaxUint16, math.Round(stepsPerOctave*math.Log2(x))+stepOffset)))
	}
	return binary.BigEndian.AppendUint16(b, n)
}

func unpack(n uint16) float64 {
	if n == 0 {
		return 0
	}
	return math.Exp2((float64(n) - stepOffset) / stepsPerOctave)
}

// Bytes encodes a load. Classes of zero at the end are left out.
func (l *Load) Bytes() []byte {
	b := make([]byte, 0, 2*(fixedFigures+Classes))
	for _, x := range l.figures() {
		b = pack(b, *x)
	}
	for _, x := range l.Offered {
		b = pack(b, x)
	}
	for len(b) > 0 && b[len(b)-1] == 0 && b[len(b)-2] == 0 {
		b = b[:len(b)-2]
	}
	return b
}

// Parse decodes a load. It returns false if the encoding is cut short or has too many figures.
func Parse(b []byte) (l Load, ok bool) {
	if len(b) > 2*(fixedFigures+Classes) || len(b)%2 != 0 {
		return l, false
	}
	figures := l.figures()
	for i := 0; i < len(b); i += 2 {
		x := unpack(binary.BigEndian.Uint16(b[i:]))
		if i/2 < fixedFigures {
			*figures[i/2] = x
		} else {
			l.Offered[i/2-fixedFigures] = x
		}
	}
	return l, true
}

// Config is the configuration of an Aggregate. Times are in nanoseconds.
type Config struct {
	Index, Members int
	MaxAge         int64   // an older sum does not count; from half of this age on its weight falls
	MaxMemberRate  float64 // cost per second above which a member's report is not believed
}

type blockSum struct {
	measuredAt  int64 // time of the measurement; never: there is none
	members     int
	incarnation uint64 // level 0: of the member
	load        Load
}

// Aggregate is one member's view of the fleet's load.
type Aggregate struct {
	cfg         Config
	siblings    []blockSum // sum of the sibling block at each level; expires with age
	Own         Load
	Implausible int // sums that were not believed
}

// Levels returns the number of sibling blocks of a member in a fleet of a size.
func Levels(members int) int { return bits.Len(uint(members - 1)) }

// New returns an Aggregate without sums.
func New(cfg Config) *Aggregate {
	a := &Aggregate{cfg: cfg, siblings: make([]blockSum, Levels(cfg.Members))}
	a.Reset()
	return a
}

// Levels returns the number of sibling blocks.
func (a *Aggregate) Levels() int { return len(a.siblings) }

// Sibling returns the range [from, to) of indexes of the sibling block at a level.
func (a *Aggregate) Sibling(level int) (from, to int) {
	block := a.cfg.Index>>level ^ 1
	return block << level, min(a.cfg.Members, (block+1)<<level)
}

// weight returns the weight of a sum by its age, from 0 to 1.
func (a *Aggregate) weight(s *blockSum, now int64) float64 {
	left := float64(s.measuredAt+a.cfg.MaxAge-now) / float64(a.cfg.MaxAge)
	return max(0, min(1, 2*left))
}

// ownBlock returns the sum of the member's own block at a level: its own load and the sibling sums below that
// level.
func (a *Aggregate) ownBlock(level int, now int64) blockSum {
	total := blockSum{measuredAt: now, members: 1, load: a.Own}
	age := 0.0
	for i := range a.siblings[:level] {
		s := &a.siblings[i]
		if w := a.weight(s, now); w > 0 {
			total.load.Add(&s.load, w)
			total.members += s.members
			age += float64(now-s.measuredAt) * float64(s.members)
		}
	}
	total.measuredAt = now - int64(age/float64(total.members)) // mean age of the members
	return total
}

// FleetLoad returns the load of all counted members and their number.
func (a *Aggregate) FleetLoad(now int64) (Load, int) {
	total := a.ownBlock(len(a.siblings), now)
	return total.load, total.members
}

// Age returns the mean age of the counted loads in nanoseconds.
func (a *Aggregate) Age(now int64) int64 { return now - a.ownBlock(len(a.siblings), now).measuredAt }

// SumsFor returns the sums for a member of the sibling block at a level: that of the own block, and those of
// siblings at higher levels, which are the other member's siblings too. The newest come first.
func (a *Aggregate) SumsFor(level int, incarnation uint64, room *peer.Room, now int64) (sums []peer.LoadSum) {
	add := func(level, block int, s *blockSum) {
		b := s.load.Bytes()
		if room.LoadSum(len(b)) {
			x := peer.LoadSum{Level: uint8(level), Block: block, Members: s.members,
				Age: peer.Hundredths(now - s.measuredAt), Load: b}
			if level == 0 {
				x.Incarnation = s.incarnation
			}
			sums = append(sums, x)
		}
	}
	own := a.ownBlock(level, now)
	own.incarnation = incarnation
	add(level, a.cfg.Index>>level, &own)
	var higher []int
	for i := level + 1; i < len(a.siblings); i++ {
		if a.weight(&a.siblings[i], now) == 1 {
			higher = append(higher, i)
		}
	}
	slices.SortStableFunc(higher,
		func(x, y int) int { return int(min(1, max(-1, a.siblings[y].measuredAt-a.siblings[x].measuredAt))) })
	for _, i := range higher {
		add(i, a.cfg.Index>>i^1, &a.siblings[i])
	}
	return sums
}

// Receive stores sums. A sum is ignored if it is not of a sibling block, older than the stored one, or
// implausible.
func (a *Aggregate) Receive(sums []peer.LoadSum, now int64) {
	for _, x := range sums {
		level := int(x.Level)
		if level >= len(a.siblings) || x.Block != a.cfg.Index>>level^1 || x.Members > 1<<level {
			continue
		}
		load, ok := Parse(x.Load)
		if !ok || !a.plausible(&load, x.Members) {
			a.Implausible++
			continue
		}
		s := &a.siblings[level]
		if at := now - peer.Nanoseconds(x.Age); at > s.measuredAt || level == 0 && x.Incarnation > s.incarnation {
			*s = blockSum{measuredAt: at, members: x.Members, incarnation: x.Incarnation, load: load}
		}
	}
}

// plausible reports whether so many members could have such a load. It allows for rounding and for momentary
// swings of rates.
func (a *Aggregate) plausible(load *Load, members int) bool {
	const slack = 1.3
	limit := a.cfg.MaxMemberRate * float64(members) * slack
	return load.TotalOffered() <= limit && load.Served <= limit && load.First <= limit && load.Unserved <= limit &&
		load.Retries <= limit &&
		load.LimitCount <= float64(members)*slack && load.Limit <= limit
}

// DropGone drops the sums of blocks without an alive member, and that of a member which has been restarted.
func (a *Aggregate) DropGone(alive func(index int) bool, incarnation func(index int) uint64) {
	for i := range a.siblings {
		from, to := a.Sibling(i)
		anyAlive := false
		for p := from; p < to && !anyAlive; p++ {
			anyAlive = alive(p)
		}
		if !anyAlive || i == 0 && incarnation(from) > a.siblings[0].incarnation {
			a.siblings[i] = blockSum{measuredAt: never}
		}
	}
}

// Reset drops all received sums.
func (a *Aggregate) Reset() {
	for i := range a.siblings {
		a.siblings[i] = blockSum{measuredAt: never}
	}
}

const never = -1 << 62
