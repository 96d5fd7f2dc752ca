// Package aggregate adds up what all members see into one picture that each of them holds, without any of them hearing from all. Places
// form blocks of 1, 2, 4 and so on, as in a tournament: at each level a member needs one sum, that of the block beside its own.
// It owns these sums, at most one for each level, and their ages. Free of I/O. It must never count a member twice, nor one that
// has gone.
//
// The way is that of aggregation over a hierarchy (van Renesse, Birman, Vogels: Astrolabe, 2003), with blocks fixed by place, so
// that no two sums overlap and the newest of a block simply replaces the one before.
package aggregate

import (
	"encoding/binary"
	"math"
	"math/bits"
	"slices"

	"ivybank/fleet/peer"
)

// Classes is how many classes of reqs a load tells apart at the most.
const Classes = 24

// Load is what is told of a member or a block, each a rate in a second but for Limit and Limits.
type Load struct {
	First         float64 // reqs dispatched for the first time
	Retries       float64 // dispatches beyond a req's first
	RetriesWanted float64 // further dispatches that were wanted, whether or not they were allowed
	Probes        float64
	Refused       float64          // dispatches turned away by servers
	TimedOut      float64          // dispatches without an answer in time
	Failed        float64          // dispatches that ended otherwise than served
	Unserved      float64          // cost of reqs that were let in, were not served in time, and whose clients have not come again
	Served        float64          // cost of reqs that were served in time
	Limit         float64          // sum of what members hold the fleet can bear, cost a second,
	LimitCount    float64          // and how many hold one
	ServerTime    float64          // seconds that dispatches which were served took at servers, in a second
	Offered       [Classes]float64 // cost of reqs that came, by class, clients' retries left out
}

// fixed is how many figures of a load come before its classes.
const fixedFigures = 12

func (l *Load) figures() [fixedFigures]*float64 {
	return [fixedFigures]*float64{&l.First, &l.Retries, &l.RetriesWanted, &l.Probes, &l.Refused, &l.TimedOut, &l.Failed, &l.Unserved, &l.Served, &l.Limit, &l.LimitCount, &l.ServerTime}
}

// Add adds a part of another load.
func (l *Load) Add(x *Load, part float64) {
	to, from := l.figures(), x.figures()
	for i := range to {
		*to[i] += *from[i] * part
	}
	for i := range l.Offered {
		l.Offered[i] += x.Offered[i] * part
	}
}

// All is the cost offered over all classes.
func (l *Load) TotalOffered() (sum float64) {
	for _, x := range l.Offered {
		sum += x
	}
	return sum
}

// A figure takes two bytes: steps of a 256th of an octave, 0.3%, from 0.004 up.
const (
	stepsPerOctave = 256
	stepOffset = 8*stepsPerOctave + 1
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

// Bytes is a load as it stands on the wire; classes at the end that have nothing are left out.
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

// Parse reads one; false where it is cut or has more figures than there are.
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

// Terms is what a member's fold goes by. Times are nanoseconds.
type Config struct {
	Index, Members int
	MaxAge         int64   // a sum older than this counts no more; from half of it on it counts less and less
	MaxMemberRate  float64 // cost a second past which no single member's word is believed
}

type blockSum struct {
	measuredAt   int64 // when it was measured; long ago: none
	members   int
	incarnation uint64 // level 0: of the member
	load Load
}

// Fold is one member's picture.
type Aggregate struct {
	cfg          Config
	siblings     []blockSum // by level: of the block beside one's own; emptied as they age
	Own        Load
	Implausible int // sums not believed
}

// Levels is how many blocks there are beside the own one among so many places.
func Levels(members int) int { return bits.Len(uint(members - 1)) }

// New begins without a picture.
func New(cfg Config) *Aggregate {
	a := &Aggregate{cfg: cfg, siblings: make([]blockSum, Levels(cfg.Members))}
	a.Reset()
	return a
}

// Levels is how many blocks there are beside one's own.
func (a *Aggregate) Levels() int { return len(a.siblings) }

// Beside gives the places of the block beside one's own at a level: from, to.
func (a *Aggregate) Sibling(level int) (from, to int) {
	block := a.cfg.Index>>level ^ 1
	return block << level, min(a.cfg.Members, (block+1)<<level)
}

// weight is what a sum still counts for.
func (a *Aggregate) weight(s *blockSum, now int64) float64 {
	left := float64(s.measuredAt+a.cfg.MaxAge-now) / float64(a.cfg.MaxAge)
	return max(0, min(1, 2*left))
}

// whole is the sum of one's own block at a level: one's own load and the sums beside it below that level.
func (a *Aggregate) ownBlock(level int, now int64) blockSum {
	all := blockSum{measuredAt: now, members: 1, load: a.Own}
	age := 0.0
	for i := range a.siblings[:level] {
		s := &a.siblings[i]
		if w := a.weight(s, now); w > 0 {
			all.load.Add(&s.load, w)
			all.members += s.members
			age += float64(now-s.measuredAt) * float64(s.members)
		}
	}
	all.measuredAt = now - int64(age/float64(all.members)) // its members' mean age
	return all
}

// Picture is the load of all members that are counted, and how many they are.
func (a *Aggregate) FleetLoad(now int64) (Load, int) {
	all := a.ownBlock(len(a.siblings), now)
	return all.load, all.members
}

// Age is the mean age of what the picture counts.
func (a *Aggregate) Age(now int64) int64 { return now - a.ownBlock(len(a.siblings), now).measuredAt }

// Tell gives what one of the block beside one's own at a level is told: the sum of one's own block, and those of higher blocks
// beside it, which stand beside the other's as well. Fresh ones come first.
func (a *Aggregate) SumsFor(level int, incarnation uint64, room *peer.Room, now int64) (sums []peer.LoadSum) {
	add := func(level, block int, s *blockSum) {
		b := s.load.Bytes()
		if room.LoadSum(len(b)) {
			x := peer.LoadSum{Level: uint8(level), Block: block, Members: s.members, Age: peer.Hundredths(now - s.measuredAt), Load: b}
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
	slices.SortStableFunc(higher, func(x, y int) int { return int(min(1, max(-1, a.siblings[y].measuredAt-a.siblings[x].measuredAt))) })
	for _, i := range higher {
		add(i, a.cfg.Index>>i^1, &a.siblings[i])
	}
	return sums
}

// Heard takes sums. One that is not of a block beside one's own, older than the one held, or impossible says nothing.
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

// possible says whether so many members could have such a load. Figures are rounded, and rates of a moment swing.
func (a *Aggregate) plausible(l *Load, members int) bool {
	const slack = 1.3
	limit := a.cfg.MaxMemberRate * float64(members) * slack
	return l.TotalOffered() <= limit && l.Served <= limit && l.First <= limit && l.Unserved <= limit && l.Retries <= limit &&
		l.LimitCount <= float64(members)*slack && l.Limit <= limit
}

// Gone drops the sums of blocks in which nobody is alive, and that of one whose process is another by now.
func (a *Aggregate) DropGone(alive func(place int) bool, life func(place int) uint64) {
	for i := range a.siblings {
		from, to := a.Sibling(i)
		any := false
		for p := from; p < to && !any; p++ {
			any = alive(p)
		}
		if !any || i == 0 && life(from) > a.siblings[0].incarnation {
			a.siblings[i] = blockSum{measuredAt: never}
		}
	}
}

// Forget drops all that was heard.
func (a *Aggregate) Reset() {
	for i := range a.siblings {
		a.siblings[i] = blockSum{measuredAt: never}
	}
}

const never = -1 << 62
