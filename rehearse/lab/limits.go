package lab

// This file owns the judge of limits that hold for a fleet: what the stand-ins' own count says of them. It
// must never ask a proxy.

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"ivybank/conf"
)

// Arrival is the first dispatch of a req at a stand-in. Its proxy let it in at some moment between Asked and At.
type Arrival struct {
	Asked   int64 // when its client began to send it; ns of the rig's clock
	At      int64 // when it came to the stand-in
	Proxy   int
	RuleSet string
	Tenant  string
}

// OverLimit is what came of a limit of a rate.
type OverLimit struct {
	Name    string
	Let     int     // reqs
	Used    float64 // part of the amount, after the warm-up
	Over    float64 // reqs more than the amount and the burst of any stretch of time
	Bound   float64 // reqs more than that which the file allows a second, by its floors
	Breach  float64 // reqs more than with all floors in force all the time
	Seconds []int   // let in each second
}

// JudgeLimit holds arrivals against a limit, in a fleet of so many members; from is when the load began.
func JudgeLimit(all []Arrival, l conf.Limit, members int, from int64) (x OverLimit) {
	x.Name = l.Name
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

// most is by how many reqs at the most a rate and its burst were passed in any stretch of time, whenever each req was let in
// between being asked for and arriving: what was asked for and came within a stretch was let in within it. So a req that
// was long on its way, on a busy machine, counts against no stretch that it may not belong to, and one that was fast
// against the shortest. all is in the order of arrival.
func most(all []Arrival, rate float64, burst conf.Duration) (over float64) {
	size := rate * time.Duration(burst).Seconds()
	for _, first := range all {
		within := 0.0
		for _, a := range all {
			if a.Asked < first.Asked {
				continue
			}
			within++
			stretch := time.Duration(a.At - first.Asked)
			over = max(over, within-size-rate*stretch.Seconds())
		}
	}
	return over
}

func (x *OverLimit) said() string {
	return fmt.Sprintf("limit %s: over by %.1f reqs, allowed %.0f a second (past that %.1f); used %.3f; by seconds %v", x.Name,
		x.Over, x.Bound, x.Breach, x.Used, x.Seconds)
}

// judgeLimits holds what came to the stand-ins against the limits of the variant's file or, where it has none, of the experiment's.
func (r *rig) judgeLimits(v Variant) (all []OverLimit, err error) {
	if r.e.Limits == "" {
		return nil, nil
	}
	o, err := conf.LoadOperator(r.e.beside(cmp.Or(v.Operator, r.e.Limits)))
	if err == nil && (o.Fleet == nil || o.Fleet.Limits == nil) {
		o, err = conf.LoadOperator(r.e.beside(r.e.Limits))
	}
	if err != nil {
		return nil, err
	}
	if o.Fleet == nil || o.Fleet.Limits == nil {
		return nil, fmt.Errorf("%s: limits: the file has no [fleet.limits]", r.e.Limits)
	}
	for _, l := range o.Fleet.Limits.All {
		if l.Kind != "rate" {
			continue
		}
		var x OverLimit
		r.clock.Do(func() { x = JudgeLimit(r.met.firsts, l, len(r.procs), r.played) })
		warm, end := int(time.Duration(r.e.Warm).Seconds()), int(time.Duration(r.e.Length).Seconds())
		for i := warm; i < min(end, len(x.Seconds)); i++ {
			x.Used += float64(x.Seconds[i]) / l.Amount / float64(end-warm)
		}
		all = append(all, x)
	}
	return all, nil
}

// limitTable prints what came of limits, where there are any: the most over, the bound beside it, and what was used.
func (r *Result) limitTable(w io.Writer) {
	for _, v := range r.Variants {
		var over, breach, bound float64
		var used []float64
		for _, f := range r.Runs {
			for _, x := range f.Limits {
				if f.Variant == v {
					over, breach, bound, used = max(over, x.Over), max(breach, x.Breach), x.Bound, append(used, x.Used)
				}
			}
		}
		if len(used) > 0 {
			fmt.Fprintf(w, "%-14s limits: over by %.1f reqs, allowed %.0f a second (past that %.1f), used %.3f (%.3f to %.3f)\n", v, over,
				bound, breach, median(used), slices.Min(used), slices.Max(used))
		}
	}
}

// Limit is what the stand-ins have seen of a limit in the load that was played.
func (x *Rehearsal) Limit(l conf.Limit) (o OverLimit) {
	x.r.clock.Do(func() { o = JudgeLimit(x.r.met.firsts, l, len(x.r.procs), x.r.played) })
	return o
}

// Struck is when in the play a kind of fault was struck last: on a busy machine that is later than its timetable says.
func (x *Rehearsal) Struck(kind string) (at time.Duration) {
	x.r.clock.Do(func() { at = time.Duration(x.r.met.struck[kind] - x.r.played) })
	return at
}

// LetIn is how many reqs one proxy has surely let in between two times of the play: they were asked for after the first,
// and came to a server before the second.
func (x *Rehearsal) LetIn(proxy int, ruleSet string, from, to time.Duration) (n int) {
	x.r.clock.Do(func() {
		for _, a := range x.r.met.firsts {
			asked, at := time.Duration(a.Asked-x.r.played), time.Duration(a.At-x.r.played)
			if a.Proxy == proxy && a.RuleSet == ruleSet && asked >= from && at < to {
				n++
			}
		}
	})
	return n
}
