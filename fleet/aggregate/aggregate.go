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
const fixed = 12

func (l *Load) figures() [fixed]*float64 {
	return [fixed]*float64{&l.First, &l.Retries, &l.RetriesWanted, &l.Probes, &l.Refused, &l.TimedOut, &l.Failed, &l.Unserved, &l.Served, &l.Limit, &l.LimitCount, &l.ServerTime}
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
	steps = 256
	shift = 8*steps + 1
)

func pack(b []byte, x float64) []byte {
	n := uint16(0)
	if x > 0 {
		n = uint16(max(1, min(math.MaxUint16, math.Round(steps*math.Log2(x))+shift)))
	}
	return binary.BigEndian.AppendUint16(b, n)
}

func unpack(n uint16) float64 {
	if n == 0 {
		return 0
	}
	return math.Exp2((float64(n) - shift) / steps)
}

// Bytes is a load as it stands on the wire; classes at the end that have nothing are left out.
func (l *Load) Bytes() []byte {
	b := make([]byte, 0, 2*(fixed+Classes))
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
	if len(b) > 2*(fixed+Classes) || len(b)%2 != 0 {
		return l, false
	}
	f := l.figures()
	for i := 0; i < len(b); i += 2 {
		x := unpack(binary.BigEndian.Uint16(b[i:]))
		if i/2 < fixed {
			*f[i/2] = x
		} else {
			l.Offered[i/2-fixed] = x
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

type sum struct {
	at   int64 // when it was measured; long ago: none
	of   int
	life uint64 // level 0: of the member
	load Load
}

// Fold is one member's picture.
type Aggregate struct {
	t          Config
	beside     []sum // by level: of the block beside one's own; emptied as they age
	Own        Load
	Impossible int // sums not believed
}

// Levels is how many blocks there are beside the own one among so many places.
func Levels(of int) int { return bits.Len(uint(of - 1)) }

// New begins without a picture.
func New(t Config) *Aggregate {
	f := &Aggregate{t: t, beside: make([]sum, Levels(t.Members))}
	f.Forget()
	return f
}

// Levels is how many blocks there are beside one's own.
func (f *Aggregate) Levels() int { return len(f.beside) }

// Beside gives the places of the block beside one's own at a level: from, to.
func (f *Aggregate) Beside(level int) (from, to int) {
	b := f.t.Index>>level ^ 1
	return b << level, min(f.t.Members, (b+1)<<level)
}

// weight is what a sum still counts for.
func (f *Aggregate) weight(s *sum, now int64) float64 {
	left := float64(s.at+f.t.MaxAge-now) / float64(f.t.MaxAge)
	return max(0, min(1, 2*left))
}

// whole is the sum of one's own block at a level: one's own load and the sums beside it below that level.
func (f *Aggregate) whole(level int, now int64) sum {
	all := sum{at: now, of: 1, load: f.Own}
	age := 0.0
	for i := range f.beside[:level] {
		s := &f.beside[i]
		if w := f.weight(s, now); w > 0 {
			all.load.Add(&s.load, w)
			all.of += s.of
			age += float64(now-s.at) * float64(s.of)
		}
	}
	all.at = now - int64(age/float64(all.of)) // its members' mean age
	return all
}

// Picture is the load of all members that are counted, and how many they are.
func (f *Aggregate) Picture(now int64) (Load, int) {
	all := f.whole(len(f.beside), now)
	return all.load, all.of
}

// Age is the mean age of what the picture counts.
func (f *Aggregate) Age(now int64) int64 { return now - f.whole(len(f.beside), now).at }

// Tell gives what one of the block beside one's own at a level is told: the sum of one's own block, and those of higher blocks
// beside it, which stand beside the other's as well. Fresh ones come first.
func (f *Aggregate) Tell(level int, life uint64, room *peer.Room, now int64) (sums []peer.LoadSum) {
	add := func(level, block int, s *sum) {
		b := s.load.Bytes()
		if room.LoadSum(len(b)) {
			x := peer.LoadSum{Level: uint8(level), Block: block, Members: s.of, Age: peer.Hundredths(now - s.at), Load: b}
			if level == 0 {
				x.Incarnation = s.life
			}
			sums = append(sums, x)
		}
	}
	own := f.whole(level, now)
	own.life = life
	add(level, f.t.Index>>level, &own)
	var higher []int
	for i := level + 1; i < len(f.beside); i++ {
		if f.weight(&f.beside[i], now) == 1 {
			higher = append(higher, i)
		}
	}
	slices.SortStableFunc(higher, func(x, y int) int { return int(min(1, max(-1, f.beside[y].at-f.beside[x].at))) })
	for _, i := range higher {
		add(i, f.t.Index>>i^1, &f.beside[i])
	}
	return sums
}

// Heard takes sums. One that is not of a block beside one's own, older than the one held, or impossible says nothing.
func (f *Aggregate) Heard(sums []peer.LoadSum, now int64) {
	for _, x := range sums {
		level := int(x.Level)
		if level >= len(f.beside) || x.Block != f.t.Index>>level^1 || x.Members > 1<<level {
			continue
		}
		load, ok := Parse(x.Load)
		if !ok || !f.possible(&load, x.Members) {
			f.Impossible++
			continue
		}
		s := &f.beside[level]
		if at := now - peer.Nanoseconds(x.Age); at > s.at || level == 0 && x.Incarnation > s.life {
			*s = sum{at: at, of: x.Members, life: x.Incarnation, load: load}
		}
	}
}

// possible says whether so many members could have such a load. Figures are rounded, and rates of a moment swing.
func (f *Aggregate) possible(l *Load, of int) bool {
	const slack = 1.3
	most := f.t.MaxMemberRate * float64(of) * slack
	return l.TotalOffered() <= most && l.Served <= most && l.First <= most && l.Unserved <= most && l.Retries <= most &&
		l.LimitCount <= float64(of)*slack && l.Limit <= most
}

// Gone drops the sums of blocks in which nobody is alive, and that of one whose process is another by now.
func (f *Aggregate) Gone(alive func(place int) bool, life func(place int) uint64) {
	for i := range f.beside {
		from, to := f.Beside(i)
		any := false
		for p := from; p < to && !any; p++ {
			any = alive(p)
		}
		if !any || i == 0 && life(from) > f.beside[0].life {
			f.beside[i] = sum{at: longAgo}
		}
	}
}

// Forget drops all that was heard.
func (f *Aggregate) Forget() {
	for i := range f.beside {
		f.beside[i] = sum{at: longAgo}
	}
}

const longAgo = -1 << 62
