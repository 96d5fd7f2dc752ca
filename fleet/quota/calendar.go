package quota

import (
	"fmt"
	"time"

	_ "time/tzdata" // the zones, where the machine has none
)

// Kind is how a quota's windows follow one another.
type Kind uint8

// Kinds. Sliding counts any span of Length: it is cut into Steps windows, and each counts together with the
// Steps before it.
const (
	Minute Kind = iota
	Hour
	Day
	Month
	Sliding
)

// Calendar gives windows. Zone is nil only for Sliding.
type Calendar struct {
	Kind   Kind
	Zone   *time.Location `cbor:"-"`
	Name   string         // of the zone
	Length int64          // of Sliding, ns
	// of Sliding; a quota is used to at most Steps/(Steps+1) of its rate in steady demand
	Steps int64
}

// NewCalendar gives a calendar. It fails for a zone that is not known and for a sliding window that has no
// length or step.
func NewCalendar(k Kind, zone string, length, steps int64) (Calendar, error) {
	c := Calendar{Kind: k, Name: zone, Length: length, Steps: steps}
	if k == Sliding {
		if length <= 0 || steps <= 0 || length < steps {
			return c, fmt.Errorf("sliding window of %d ns in %d steps", length, steps)
		}
		return c, nil
	}
	if k > Sliding {
		return c, fmt.Errorf("window kind %d", k)
	}
	z, err := time.LoadLocation(zone)
	c.Zone = z
	return c, err
}

// span is how many windows before one count with it.
func (c *Calendar) span() int {
	if c.Kind == Sliding {
		return int(c.Steps)
	}
	return 0
}

// At gives the window that holds a moment, both in Unix ns, the end exclusive. A window's start is its
// number: it grows, and no two are the same, on a day of 25 hours as well. Windows leave no gap. An hour or
// minute that a change of the clock cuts is two windows.
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
		return c.dawn(y, m, d).UnixNano(), c.dawn(y, m, d+1).UnixNano()
	case Month:
		return c.dawn(y, m, 1).UnixNano(), c.dawn(y, m+1, 1).UnixNano()
	}
	into, long := time.Duration(t.Second())*time.Second+time.Duration(t.Nanosecond()), time.Minute
	if c.Kind == Hour {
		into, long = into+time.Duration(t.Minute())*time.Minute, time.Hour
	}
	from := t.Add(-into)
	to := from.Add(long)
	zs, ze := t.ZoneBounds()
	if !zs.IsZero() && zs.After(from) {
		from = zs
	}
	if !ze.IsZero() && ze.Before(to) {
		to = ze
	}
	return from.UnixNano(), to.UnixNano()
}

// dawn is the first moment that is of a date or later, in a zone whose clock may skip midnight, have it
// twice, or skip the date.
func (c *Calendar) dawn(y int, m time.Month, d int) time.Time {
	date := time.Date(y, m, d, 0, 0, 0, 0, time.UTC) // with months and days past the end carried
	t := time.Date(y, m, d, 0, 0, 0, 0, c.Zone)
	if day(t).Before(date) { // the clock skipped midnight
		_, t = t.ZoneBounds()
		return t
	}
	if zs, _ := t.ZoneBounds(); !zs.IsZero() {
		before := zs.Add(-1)
		if !day(before).Before(date) { // midnight came before the clock was set back, too
			_, offset := before.Zone()
			return date.Add(-time.Duration(offset) * time.Second).In(c.Zone)
		}
	}
	return t
}

func day(t time.Time) time.Time {
	y, m, d := t.Date()
	return time.Date(y, m, d, 0, 0, 0, 0, time.UTC)
}
