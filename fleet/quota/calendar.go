package quota

import (
	"fmt"
	"time"

	_ "time/tzdata" // time zones, if the machine has no database
)

// Kind is the kind of windows of a quota.
type Kind uint8

// The kinds of windows. Sliding bounds any period of Length: it is divided into Steps windows, and each counts together
// with the Steps windows before it.
const (
	Minute Kind = iota
	Hour
	Day
	Month
	Sliding
)

// Calendar computes windows. Zone is nil only for Sliding.
type Calendar struct {
	Kind   Kind
	Zone   *time.Location `cbor:"-"`
	Name   string         // of the time zone
	Length int64          // Sliding only, ns
	// Sliding only; steady demand can use at most Steps/(Steps+1) of the quota's rate
	Steps int64
}

// NewCalendar returns a calendar. It fails for an unknown time zone and for a sliding window without a valid length
// and number of steps.
func NewCalendar(k Kind, zone string, length, steps int64) (Calendar, error) {
	c := Calendar{Kind: k, Name: zone, Length: length, Steps: steps}
	if k == Sliding {
		if length <= 0 || steps <= 0 || length < steps {
			return c, fmt.Errorf("invalid sliding window of %d ns in %d steps", length, steps)
		}
		return c, nil
	}
	if k > Sliding {
		return c, fmt.Errorf("unknown window kind %d", k)
	}
	z, err := time.LoadLocation(zone)
	c.Zone = z
	return c, err
}

// stepsBefore returns how many preceding windows count together with a window.
func (c *Calendar) stepsBefore() int {
	if c.Kind == Sliding {
		return int(c.Steps)
	}
	return 0
}

// At returns the window that contains a time, in Unix ns, the end exclusive. The start identifies a window: starts grow
// and are unique, on a day of 25 hours too. Windows leave no gap. An hour or minute that a change of the UTC offset
// divides is two windows.
func (c *Calendar) At(wall int64) (start, end int64) {
	if c.Kind == Sliding {
		step := c.Length / c.Steps
		start = wall - ((wall%step)+step)%step
		return start, start + step
	}
	t := time.Unix(0, wall).In(c.Zone)
	y, m, d := t.Date()
	switch c.Kind {
	case Day:
		return c.startOfDate(y, m, d).UnixNano(), c.startOfDate(y, m, d+1).UnixNano()
	case Month:
		return c.startOfDate(y, m, 1).UnixNano(), c.startOfDate(y, m+1, 1).UnixNano()
	}
	elapsed, length := time.Duration(t.Second())*time.Second+time.Duration(t.Nanosecond()), time.Minute
	if c.Kind == Hour {
		elapsed, length = elapsed+time.Duration(t.Minute())*time.Minute, time.Hour
	}
	from := t.Add(-elapsed)
	to := from.Add(length)
	zoneStart, zoneEnd := t.ZoneBounds()
	if !zoneStart.IsZero() && zoneStart.After(from) {
		from = zoneStart
	}
	if !zoneEnd.IsZero() && zoneEnd.Before(to) {
		to = zoneEnd
	}
	return from.UnixNano(), to.UnixNano()
}

// startOfDate returns the first time that belongs to a date or a later one, in a zone whose clock may skip midnight,
// repeat it, or skip the date.
func (c *Calendar) startOfDate(y int, m time.Month, d int) time.Time {
	date := time.Date(y, m, d, 0, 0, 0, 0, time.UTC) // normalizes months and days out of range
	t := time.Date(y, m, d, 0, 0, 0, 0, c.Zone)
	if dateOf(t).Before(date) { // the clock skipped midnight
		_, t = t.ZoneBounds()
		return t
	}
	if zoneStart, _ := t.ZoneBounds(); !zoneStart.IsZero() {
		before := zoneStart.Add(-1)
		if !dateOf(before).Before(date) { // midnight also occurred before the clock was set back
			_, offset := before.Zone()
			return date.Add(-time.Duration(offset) * time.Second).In(c.Zone)
		}
	}
	return t
}

func dateOf(t time.Time) time.Time {
	y, m, d := t.Date()
	return time.Date(y, m, d, 0, 0, 0, 0, time.UTC)
}
