package charter

// This file owns moments: windows that come back each week, beginnings and ends, and when several are open at
// once. Times are Unix ns, UTC.

import (
	"math"
	"slices"
	"time"
)

const (
	forever = math.MaxInt64
	minute  = int64(time.Minute)
	weekly  = 7 * 24 * 60 * minute
	monday  = 3 * 24 * 60 * minute // the epoch was a Thursday
)

// part is a part of the week, in ns from Monday 00:00.
type part struct{ from, until int64 }

var days = []string{"mon", "tue", "wed", "thu", "fri", "sat", "sun"}

// week reads a window; it names the field that is wrong.
func week(w *Window) (all []part, bad string) {
	clock := func(text string) int64 {
		t, err := time.Parse("15:04", text)
		if err != nil {
			return -1
		}
		return int64(60*t.Hour()+t.Minute()) * minute
	}
	from, until := clock(w.From), clock(w.Until)
	switch {
	case from < 0:
		return nil, "from"
	case until < 0 || until == from:
		return nil, "until"
	case until < from:
		until += weekly / 7
	}
	for i, day := range days {
		if len(w.Days) > 0 && !slices.Contains(w.Days, day) {
			continue
		}
		d := int64(i) * weekly / 7
		if a, b := d+from, d+until; b <= weekly {
			all = append(all, part{a, b})
		} else {
			all = append(all, part{a, weekly}, part{0, b - weekly})
		}
	}
	for _, d := range w.Days {
		if !slices.Contains(days, d) {
			return nil, "days"
		}
	}
	return all, ""
}

// span is when something is in force: from a moment to before another, within a window where it has one.
type span struct {
	from, to int64
	window   *Window // nil: always
}

func (s span) open(at int64) bool {
	if at < s.from || at >= s.to {
		return false
	}
	if s.window == nil {
		return true
	}
	in := ((at+monday)%weekly + weekly) % weekly
	return slices.ContainsFunc(s.window.week, func(p part) bool { return in >= p.from && in < p.until })
}

// openings calls with the first moment of each opening of a window at a moment or later, within a week.
func (s span) openings(at int64, f func(int64)) {
	if s.window == nil {
		return
	}
	start := at - ((at+monday)%weekly+weekly)%weekly
	for _, p := range s.window.week {
		t := start + p.from
		if t < at {
			t += weekly
		}
		f(t)
	}
}

// first is the earliest moment from now on at which all are open. Windows come back each week, so that a week
// from the latest beginning shows all there is, and something opens at the earliest moment.
func first(now int64, all ...span) (int64, bool) {
	at, end := now, int64(forever)
	for _, s := range all {
		at, end = max(at, s.from), min(end, s.to)
	}
	best := int64(forever)
	try := func(t int64) {
		if t < best && t < end && !slices.ContainsFunc(all, func(s span) bool { return !s.open(t) }) {
			best = t
		}
	}
	try(at)
	for _, s := range all {
		s.openings(at, try)
	}
	return best, best < forever
}

// moments are moments such that whatever can be open together from now on is open together at one of them:
// each beginning, and the first opening of each window after it.
func moments(now int64, all []span) (found []int64) {
	starts, windows := []int64{now}, map[*Window]bool{}
	for _, s := range all {
		if s.from > now {
			starts = append(starts, s.from)
		}
		windows[s.window] = true
	}
	slices.Sort(starts)
	for _, at := range slices.Compact(starts) {
		found = append(found, at)
		for w := range windows {
			span{window: w}.openings(at, func(t int64) { found = append(found, t) })
		}
	}
	slices.Sort(found)
	return slices.Compact(found)
}
