package charter

// This file holds the computation of times: weekly windows, starts and ends, and when several are open at once. Times
// are in Unix ns, UTC.

import (
	"math"
	"slices"
	"time"
)

const (
	forever      = math.MaxInt64
	minute       = int64(time.Minute)
	weekLength   = 7 * 24 * 60 * minute
	mondayOffset = 3 * 24 * 60 * minute // the epoch was a Thursday
)

// weekSpan is a part of the week, in ns from Monday 00:00.
type weekSpan struct{ from, until int64 }

var dayNames = []string{"mon", "tue", "wed", "thu", "fri", "sat", "sun"}

// parseWeek parses a window. If a field is invalid it returns the field's name.
func parseWeek(w *Window) (all []weekSpan, badField string) {
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
		until += weekLength / 7
	}
	for i, day := range dayNames {
		if len(w.Days) > 0 && !slices.Contains(w.Days, day) {
			continue
		}
		d := int64(i) * weekLength / 7
		if a, b := d+from, d+until; b <= weekLength {
			all = append(all, weekSpan{a, b})
		} else {
			all = append(all, weekSpan{a, weekLength}, weekSpan{0, b - weekLength})
		}
	}
	for _, d := range w.Days {
		if !slices.Contains(dayNames, d) {
			return nil, "days"
		}
	}
	return all, ""
}

// span is the time at which something is in force: from from until before to, and only within the window if there is
// one.
type span struct {
	from, to int64
	window   *Window // nil: no window
}

// open reports whether the span is open at a time.
func (s span) open(at int64) bool {
	if at < s.from || at >= s.to {
		return false
	}
	if s.window == nil {
		return true
	}
	in := ((at+mondayOffset)%weekLength + weekLength) % weekLength
	return slices.ContainsFunc(s.window.weekSpans, func(p weekSpan) bool { return in >= p.from && in < p.until })
}

// eachOpening calls f with each time at which the span's window opens within the week from a time on.
func (s span) eachOpening(at int64, f func(int64)) {
	if s.window == nil {
		return
	}
	start := at - ((at+mondayOffset)%weekLength+weekLength)%weekLength
	for _, p := range s.window.weekSpans {
		t := start + p.from
		if t < at {
			t += weekLength
		}
		f(t)
	}
}

// firstOpen returns the earliest time from now on at which all spans are open. Windows repeat each week, so it is
// enough to look at one week from the latest start, at that start and at the times at which a window opens.
func firstOpen(now int64, all ...span) (int64, bool) {
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
		s.eachOpening(at, try)
	}
	return best, best < forever
}

// candidateTimes returns times such that whichever spans can be open together from now on are open together at one of
// them: each start, and the first opening of each window after it.
func candidateTimes(now int64, all []span) (found []int64) {
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
			span{window: w}.eachOpening(at, func(t int64) { found = append(found, t) })
		}
	}
	slices.Sort(found)
	return slices.Compact(found)
}
