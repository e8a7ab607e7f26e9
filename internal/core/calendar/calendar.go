// Package calendar tells to which night a moment belongs, as operators count nights: in their time
// zone, from one start to the next as a cron expression says, whatever the clocks do in between.
// Some nights are holidays.
//
// Like all of internal/core the package is pure: moments are passed in. Time zones come with the
// program (time/tzdata), since a machine may have none.
package calendar

import (
	"fmt"
	"slices"
	"strings"
	"time"
	_ "time/tzdata" // controllers run on machines without zone files

	"github.com/robfig/cron/v3"
)

// DateLayout is the layout in which dates are written, see time.Layout.
const DateLayout = "2006-01-02"

// clockLayout is that of times of day.
const clockLayout = "15:04"

// maxNight is the longest that a night lasts. Where the clocks skip the hour at which one starts,
// cron leaves that start out: it is put where it would have been.
const maxNight = 26 * time.Hour

const (
	hoursPerDay       = 24
	secondsPerDay     = hoursPerDay * 60 * 60
	minutesPerQuarter = 15
	quartersPerHour   = 60 / minutesPerQuarter
	oneDay            = hoursPerDay * time.Hour
	nightLookback     = 2 * maxNight // there is a start of a night between this and a moment, before its own
)

// Calendar divides time into nights. It is not safe for concurrent use: it remembers the night
// that was asked for last.
type Calendar struct {
	location    *time.Location
	nightStarts cron.Schedule
	holidays    []string // dates on which such nights start

	cachedFrom, cachedTo time.Time // the start of the cached night and of the one after it
	cached               Night
}

// Night is one night.
type Night struct {
	Day     int32  // days since 1970-01-01 of the local date on which it starts
	Date    string // that date, as DateLayout
	Holiday bool
}

// FieldError names the setting of a calendar that is wrong, and why.
type FieldError struct{ Field, Why string }

func (e *FieldError) Error() string { return e.Field + ": " + e.Why }

// New makes a calendar: zone is a name of the IANA database, begins a cron expression of five
// fields that comes true once a day, and holidays are dates on which such nights start. An error
// is a *FieldError.
func New(zone, begins string, holidays []string) (*Calendar, error) {
	location, err := time.LoadLocation(zone)
	if err != nil || zone == "" || zone == "Local" {
		return nil, wrongField("time_zone", "not a time zone of the IANA database: %q", zone)
	}
	schedule, err := cron.ParseStandard(begins)
	if err != nil {
		return nil, wrongField("night", "not a cron expression: %q", begins)
	}
	if !onceADay(schedule, location) {
		return nil, wrongField("night", "%q does not come true once a day", begins)
	}
	for _, date := range holidays {
		if _, err := time.Parse(DateLayout, date); err != nil {
			return nil, wrongField("holidays", "not a date like %s: %q", DateLayout, date)
		}
	}
	return &Calendar{
		location:    location,
		nightStarts: schedule,
		holidays:    slices.Clone(holidays),
	}, nil
}

func wrongField(field, why string, args ...any) error {
	return &FieldError{Field: field, Why: fmt.Sprintf(why, args...)}
}

// onceADay says whether a schedule comes true once a day, by a day on which no clock is changed
// and the one after it.
func onceADay(schedule cron.Schedule, location *time.Location) bool {
	midnight := time.Date(2026, 1, 14, 0, 0, 0, 0, location)
	first := schedule.Next(midnight.Add(-time.Second))
	second := schedule.Next(first)
	return first.Sub(midnight) < oneDay && second.Sub(first) == oneDay
}

// Dates splits a list of dates at its commas.
func Dates(list string) []string {
	var dates []string
	for date := range strings.SplitSeq(list, ",") {
		if date = strings.TrimSpace(date); date != "" {
			dates = append(dates, date)
		}
	}
	return dates
}

// At is the night to which a moment belongs.
func (c *Calendar) At(moment time.Time) Night {
	if !c.cachedFrom.IsZero() && !moment.Before(c.cachedFrom) && moment.Before(c.cachedTo) {
		return c.cached
	}
	from, to := c.bounds(moment.In(c.location))
	c.cachedFrom, c.cachedTo = from, to
	year, month, day := from.Date()
	date := from.Format(DateLayout)
	c.cached = Night{
		Day:     int32(time.Date(year, month, day, 0, 0, 0, 0, time.UTC).Unix() / secondsPerDay),
		Date:    date,
		Holiday: slices.Contains(c.holidays, date),
	}
	return c.cached
}

// bounds are the last start of a night up to a local moment, and the next one. Each local date
// counts once: where the clocks go back over the hour, the second start is of the same night.
func (c *Calendar) bounds(moment time.Time) (from, to time.Time) {
	from = c.nextStart(moment.Add(-nightLookback))
	for {
		to = c.nextStart(from)
		for sameDate(from, to) {
			to = c.nextStart(to)
		}
		if to.After(moment) {
			return from, to
		}
		from = to
	}
}

// nextStart is the first start of a night after a local moment.
func (c *Calendar) nextStart(moment time.Time) time.Time {
	start := c.nightStarts.Next(moment)
	if start.Sub(moment) <= maxNight {
		return start
	}
	skipped := start.AddDate(0, 0, -1) // skipped by the clocks; Go puts it behind the gap
	if skipped.After(moment) {
		return skipped
	}
	return start
}

func sameDate(a, b time.Time) bool { return a.Format(DateLayout) == b.Format(DateLayout) }

// Quarter is the beginning of the quarter of an hour in which a moment lies, in local time.
func (c *Calendar) Quarter(moment time.Time) time.Time {
	local := moment.In(c.location)
	return local.Add(-time.Duration(local.Minute()%minutesPerQuarter)*time.Minute -
		time.Duration(local.Second())*time.Second -
		time.Duration(local.Nanosecond()))
}

// Slot numbers the quarters of an hour of a day by the local clock: 0 to 95. Those of an hour that
// the clocks repeat have the same numbers twice.
func (c *Calendar) Slot(moment time.Time) int {
	local := moment.In(c.location)
	return local.Hour()*quartersPerHour + local.Minute()/minutesPerQuarter
}

// LocalTime is the local time of day, as hours and minutes.
func (c *Calendar) LocalTime(moment time.Time) string {
	return moment.In(c.location).Format(clockLayout)
}
