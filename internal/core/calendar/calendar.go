// Package calendar tells to which night a moment belongs, as operators count
// nights: in their time zone, from one beginning to the next as a cron expression
// says, whatever the clocks do in between. Some nights are holidays.
//
// Zones come with the program (time/tzdata), since a machine may have none.
package calendar

import (
	"fmt"
	"slices"
	"strings"
	"time"
	_ "time/tzdata" // controllers run on machines without zone files

	"github.com/robfig/cron/v3"
)

// DateForm is how dates are written.
const DateForm = "2006-01-02"

// longest is the longest that a night lasts. Where the clocks skip the hour at
// which one begins, cron leaves that beginning out: it is put where it would have
// been.
const maxNight = 26 * time.Hour

// Calendar divides time into nights.
type Calendar struct {
	location    *time.Location
	nightStarts cron.Schedule
	holidays    []string

	cachedFrom, cachedTo time.Time // the night that was asked for last
	cached               Night
}

// Night is one night.
type Night struct {
	Day     int32 // days since 1970-01-01 of the local date on which it begins
	Date    string
	Holiday bool
}

// FieldError names the part of a calendar that is wrong.
type FieldError struct{ Field, Why string }

func (e *FieldError) Error() string { return e.Field + ": " + e.Why }

// New makes a calendar: zone is a name of the IANA database, begins a cron
// expression of five fields that comes true once a day, and holidays are dates on
// which such nights begin.
func New(zone, begins string, holidays []string) (*Calendar, error) {
	loc, err := time.LoadLocation(zone)
	if err != nil || zone == "" || zone == "Local" {
		return nil, &FieldError{"time_zone", fmt.Sprintf("not a time zone of the IANA database: %q", zone)}
	}
	s, err := cron.ParseStandard(begins)
	if err != nil {
		return nil, &FieldError{"night", fmt.Sprintf("not a cron expression: %q", begins)}
	}
	c := &Calendar{location: loc, nightStarts: s}
	// Once a day, on a day on which no clock is changed and on the one after it.
	at := time.Date(2026, 1, 14, 0, 0, 0, 0, loc)
	one := s.Next(at.Add(-time.Second))
	two := s.Next(one)
	if one.Sub(at) >= 24*time.Hour || two.Sub(one) != 24*time.Hour {
		return nil, &FieldError{"night", fmt.Sprintf("%q does not come true once a day", begins)}
	}
	for _, h := range holidays {
		if _, err := time.Parse(DateForm, h); err != nil {
			return nil, &FieldError{"holidays", fmt.Sprintf("not a date like %s: %q", DateForm, h)}
		}
		c.holidays = append(c.holidays, h)
	}
	return c, nil
}

// Dates splits a list of dates.
func Dates(list string) []string {
	var out []string
	for d := range strings.SplitSeq(list, ",") {
		if d = strings.TrimSpace(d); d != "" {
			out = append(out, d)
		}
	}
	return out
}

// At is the night to which a moment belongs.
func (c *Calendar) At(t time.Time) Night {
	if !c.cachedFrom.IsZero() && !t.Before(c.cachedFrom) && t.Before(c.cachedTo) {
		return c.cached
	}
	t = t.In(c.location)
	// The last beginning up to t, each local date counting once: where the clocks
	// go back over the hour, the second one is of the same night.
	from := c.nextStart(t.Add(-2 * maxNight))
	for {
		to := c.nextStart(from)
		for sameDate(from, to) {
			to = c.nextStart(to)
		}
		if to.After(t) {
			c.cachedFrom, c.cachedTo = from, to
			break
		}
		from = to
	}
	y, m, d := c.cachedFrom.Date()
	date := c.cachedFrom.Format(DateForm)
	c.cached = Night{Day: int32(time.Date(y, m, d, 0, 0, 0, 0, time.UTC).Unix() / 86400), Date: date, Holiday: slices.Contains(c.holidays, date)}
	return c.cached
}

// nextStart is the first beginning after a moment.
func (c *Calendar) nextStart(t time.Time) time.Time {
	n := c.nightStarts.Next(t)
	if n.Sub(t) > maxNight {
		n = n.AddDate(0, 0, -1) // skipped by the clocks; Go puts it behind the gap
		if !n.After(t) {
			n = c.nightStarts.Next(t)
		}
	}
	return n
}

func sameDate(a, b time.Time) bool { return a.Format(DateForm) == b.Format(DateForm) }

// Quarter is the beginning of the quarter of an hour in which a moment lies.
func (c *Calendar) Quarter(t time.Time) time.Time {
	t = t.In(c.location)
	return t.Add(-time.Duration(t.Minute()%15)*time.Minute - time.Duration(t.Second())*time.Second - time.Duration(t.Nanosecond()))
}

// Slot numbers the quarters of an hour of a day by the local clock: 0 to 95. Those of
// an hour that the clocks repeat have the same numbers twice.
func (c *Calendar) Slot(t time.Time) int {
	t = t.In(c.location)
	return t.Hour()*4 + t.Minute()/15
}

// Clock is the local time of day.
func (c *Calendar) Clock(t time.Time) string { return t.In(c.location).Format("15:04") }
