package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func calendar(t interface{ Fatal(...any) }, k Kind, zone string) Calendar {
	c, err := NewCalendar(k, zone, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestWindowsOfHardDays(t *testing.T) {
	for _, x := range []struct {
		kind     Kind
		zone, at string
		long     time.Duration
	}{
		{Day, "Europe/Berlin", "2026-10-25T12:00:00Z", 25 * time.Hour},
		{Day, "Europe/Berlin", "2026-03-29T12:00:00Z", 23 * time.Hour},
		{Day, "UTC", "2028-02-29T23:59:59Z", 24 * time.Hour},
		{Month, "UTC", "2028-02-29T23:59:59Z", 29 * 24 * time.Hour},
		{Month, "UTC", "2027-02-28T23:59:59Z", 28 * 24 * time.Hour},
		{Month, "Europe/Berlin", "2026-10-31T22:59:59Z", 31*24*time.Hour + time.Hour},
		{Month, "America/New_York", "2027-01-01T04:59:59Z", 31 * 24 * time.Hour},
		{Hour, "Europe/Berlin", "2026-10-25T00:30:00Z", time.Hour}, // 02:30, first occurrence
		{Hour, "Europe/Berlin", "2026-10-25T01:30:00Z", time.Hour}, // 02:30, second occurrence
		{Hour, "Asia/Kolkata", "2026-05-01T00:29:59Z", time.Hour},  // from 23:30 to 00:30 of UTC
		// set back by half an hour: second occurrence of 01:30 to 02:00
		{Hour, "Australia/Lord_Howe", "2026-04-04T15:10:00Z", time.Hour / 2},
		{Day, "America/Sao_Paulo", "2018-11-04T12:00:00Z", 23 * time.Hour}, // no midnight
		{Day, "America/Havana", "2026-11-01T12:00:00Z", 25 * time.Hour},    // two midnights
		{Day, "Pacific/Apia", "2011-12-30T09:59:59Z", 24 * time.Hour},      // the next date is skipped
		// the last minute before the clock is set back
		{Minute, "Europe/Berlin", "2026-10-25T00:59:59.999Z", 60 * time.Second},
	} {
		at, err := time.Parse(time.RFC3339Nano, x.at)
		if err != nil {
			t.Fatal(err)
		}
		c := calendar(t, x.kind, x.zone)
		start, end := c.At(at.UnixNano())
		if time.Duration(end-start) != x.long {
			t.Errorf("%s %s: got %s, want %s", x.zone, x.at, time.Duration(end-start), x.long)
		}
	}
	if _, err := NewCalendar(Day, "Europe/Nowhere", 0, 0); err == nil {
		t.Error("accepted an unknown time zone")
	}
	if _, err := NewCalendar(Sliding, "", 10, 0); err == nil {
		t.Error("accepted a sliding window without steps")
	}
}

// Windows leave no gap, do not overlap, and are the same for each time within them, in zones with all kinds of offset
// changes.
func TestWindowsTile(t *testing.T) {
	zones := []string{"UTC", "Europe/Berlin", "America/New_York", "Australia/Lord_Howe", "Asia/Kolkata",
		"America/Sao_Paulo", "America/Havana", "Pacific/Apia", "Africa/Cairo", "Asia/Beirut", "Atlantic/Azores",
		"America/St_Johns", "Africa/Casablanca"}
	rapid.Check(t, func(t *rapid.T) {
		c := calendar(t, Kind(rapid.IntRange(0, 3).Draw(t, "kind")), rapid.SampledFrom(zones).Draw(t, "zone"))
		wall := rapid.Int64Range(0, 2.2e9).Draw(t, "second") * 1e9
		if near := time.Unix(0, wall).In(c.Zone); rapid.Bool().Draw(t, "near a change") {
			if _, change := near.ZoneBounds(); !change.IsZero() {
				wall = change.UnixNano() + rapid.Int64Range(-7200, 7200).Draw(t, "off")*1e9
			}
		}
		start, end := c.At(wall)
		if start > wall || end <= wall {
			t.Fatalf("%d is not in [%d, %d)", wall, start, end)
		}
		for _, x := range []int64{start, end - 1, start + (end-start)/2} {
			if s, e := c.At(x); s != start || e != end {
				t.Fatalf("%d gives [%d, %d), %d gives [%d, %d)", wall, start, end, x, s, e)
			}
		}
		if s, _ := c.At(end); s != end {
			t.Fatalf("the next after [%d, %d) starts at %d", start, end, s)
		}
		a, b := time.Unix(0, start).In(c.Zone), time.Unix(0, end-1).In(c.Zone)
		if same := a.Month() == b.Month() && (c.Kind == Month || a.Day() == b.Day()); !same {
			t.Fatalf("a window from %s to %s", a, b)
		}
	})
}
