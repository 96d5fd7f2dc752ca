package lab

// This file owns the judge of limits that hold for a fleet: what the stand-ins' own count says of them. It
// must never ask a proxy.

import (
	"cmp"
	"slices"
	"time"

	"ivybank/conf"
)

// Arrival is the first dispatch of a req at a stand-in.
type Arrival struct {
	At      int64 // ns of the rig's clock
	Proxy   int
	RuleSet string
	Tenant  string
}

// OverLimit is what came of a limit of a rate.
type OverLimit struct {
	Let     int     // reqs
	Over    float64 // reqs more than the amount and the burst of any stretch of time
	Bound   float64 // reqs more than that which the file allows a second, by its floors
	Breach  float64 // reqs more than with all floors in force all the time
	Seconds []int   // let in each second
}

// wayApart is by how much a req's way from its admission to a server may be longer than another's, in ns: so
// many more may come together.
const wayApart = 50e6

// JudgeLimit holds arrivals against a limit, in a fleet of so many members; from is when the load began.
func JudgeLimit(all []Arrival, l conf.Limit, members int, from int64) (x OverLimit) {
	all = slices.DeleteFunc(slices.Clone(all), func(a Arrival) bool {
		return l.RuleSet != "" && l.RuleSet != a.RuleSet || l.Tenant != "" && l.Tenant != a.Tenant
	})
	slices.SortFunc(all, func(x, y Arrival) int { return cmp.Compare(x.At, y.At) })
	x.Bound = float64(members-1) * l.Floor
	x.Let, x.Over, x.Breach = len(all), most(all, l.Amount, l.Burst), most(all, l.Amount+x.Bound, l.Burst)
	for _, a := range all {
		i := int((a.At - from) / int64(time.Second))
		for len(x.Seconds) <= max(0, i) {
			x.Seconds = append(x.Seconds, 0)
		}
		x.Seconds[max(0, i)]++
	}
	return x
}

// most is by how many reqs at the most a rate and its burst were passed in any stretch of time.
func most(all []Arrival, rate float64, burst conf.Duration) (over float64) {
	size := rate * float64(int64(burst)+wayApart) / 1e9
	level, at := size, int64(0)
	for _, a := range all {
		level = min(size, level+rate*float64(a.At-at)/1e9)
		at = a.At
		level--
		over = max(over, -level)
	}
	return over
}

// Limit is what the stand-ins have seen of a limit in the load that was played.
func (x *Rehearsal) Limit(l conf.Limit) (o OverLimit) {
	x.r.clock.Do(func() { o = JudgeLimit(x.r.met.firsts, l, len(x.r.procs), x.r.played) })
	return o
}

// Arrivals is what came from one proxy between two times of the play.
func (x *Rehearsal) Arrivals(proxy int, ruleSet string, from, to time.Duration) (n int) {
	x.r.clock.Do(func() {
		for _, a := range x.r.met.firsts {
			at := time.Duration(a.At - x.r.played)
			if a.Proxy == proxy && a.RuleSet == ruleSet && at >= from && at < to {
				n++
			}
		}
	})
	return n
}
