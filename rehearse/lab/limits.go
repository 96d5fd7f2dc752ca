package lab

// This file holds the check of fleet-wide limits against the requests that the emulated servers counted. It must never
// use what a proxy reports.

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"ivybank/conf"
)

// Arrival is the first dispatch of a request at an emulated server. Its proxy admitted it at some time between Asked
// and At.
type Arrival struct {
	Asked   int64 // when its client began to send it; ns of the rig's clock
	At      int64 // when it reached the emulated server; ns
	Proxy   int
	RuleSet string
	Tenant  string
}

// OverLimit is the result of checking one rate limit.
type OverLimit struct {
	Name    string
	Let     int     // requests admitted
	Used    float64 // fraction of the amount that was used after the warm-up
	Over    float64 // most requests above amount and burst in any interval
	Bound   float64 // requests per second above the amount that the file's floors allow
	Breach  float64 // most requests above amount, burst and Bound in any interval
	Seconds []int   // requests admitted in each second
}

// JudgeLimit checks arrivals against a rate limit in a fleet of the given number of members; from is when the load
// began, in ns.
func JudgeLimit(all []Arrival, l conf.Limit, members int, from int64) (x OverLimit) {
	x.Name = l.Name
	all = slices.DeleteFunc(slices.Clone(all), func(a Arrival) bool {
		return l.RuleSet != "" && l.RuleSet != a.RuleSet || l.Tenant != "" && l.Tenant != a.Tenant
	})
	slices.SortFunc(all, func(x, y Arrival) int { return cmp.Compare(x.At, y.At) })
	x.Bound = float64(members-1) * l.Floor
	x.Let, x.Over, x.Breach = len(all), maxExcess(all, l.Amount, l.Burst), maxExcess(all, l.Amount+x.Bound, l.Burst)
	for _, a := range all {
		i := int((a.At - from) / int64(time.Second))
		for len(x.Seconds) <= max(0, i) {
			x.Seconds = append(x.Seconds, 0)
		}
		x.Seconds[max(0, i)]++
	}
	return x
}

// maxExcess returns the largest number of requests by which a rate and its burst were exceeded in any interval. A
// request counts only in intervals that hold both its sending and its arrival, because it was admitted at an unknown
// time between the two. So a request that was delayed on a busy machine counts in no interval in which it may not have
// been admitted, and a fast one counts in the shortest. all is sorted by arrival.
func maxExcess(all []Arrival, rate float64, burst conf.Duration) (over float64) {
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

func (x *OverLimit) summary() string {
	return fmt.Sprintf("limit %s: over by %.1f reqs, allowed %.0f a second (past that %.1f); used %.3f; by seconds %v", x.Name,
		x.Over, x.Bound, x.Breach, x.Used, x.Seconds)
}

// checkLimits checks the arrivals at the emulated servers against the limits in the variant's operator file or, if that
// has none, in the experiment's.
func (r *rig) checkLimits(v Variant) (all []OverLimit, err error) {
	if r.e.Limits == "" {
		return nil, nil
	}
	o, err := conf.LoadOperator(r.e.resolvePath(cmp.Or(v.Operator, r.e.Limits)))
	if err == nil && (o.Fleet == nil || o.Fleet.Limits == nil) {
		o, err = conf.LoadOperator(r.e.resolvePath(r.e.Limits))
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
		r.clock.Do(func() { x = JudgeLimit(r.observed.firsts, l, len(r.procs), r.loadStart) })
		warm, end := int(time.Duration(r.e.Warm).Seconds()), int(time.Duration(r.e.Length).Seconds())
		for i := warm; i < min(end, len(x.Seconds)); i++ {
			x.Used += float64(x.Seconds[i]) / l.Amount / float64(end-warm)
		}
		all = append(all, x)
	}
	return all, nil
}

// limitTable prints, for each variant with limits, the largest excess, the allowed bound and the used fraction.
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

// Limit checks the load that was played against a limit, by the arrivals at the emulated servers.
func (x *Rehearsal) Limit(l conf.Limit) (o OverLimit) {
	x.r.clock.Do(func() { o = JudgeLimit(x.r.observed.firsts, l, len(x.r.procs), x.r.loadStart) })
	return o
}

// LastInjected returns when a kind of fault was last injected, from the start of the load: on a busy machine that is
// later than the schedule says.
func (x *Rehearsal) LastInjected(kind string) (at time.Duration) {
	x.r.clock.Do(func() { at = time.Duration(x.r.observed.injectedAt[kind] - x.r.loadStart) })
	return at
}

// AdmittedBetween returns how many requests one proxy certainly admitted between two times, from the start of the load:
// they were sent at or after the first and reached a server before the second.
func (x *Rehearsal) AdmittedBetween(proxy int, ruleSet string, from, to time.Duration) (n int) {
	x.r.clock.Do(func() {
		for _, a := range x.r.observed.firsts {
			asked, at := time.Duration(a.Asked-x.r.loadStart), time.Duration(a.At-x.r.loadStart)
			if a.Proxy == proxy && a.RuleSet == ruleSet && asked >= from && at < to {
				n++
			}
		}
	})
	return n
}
