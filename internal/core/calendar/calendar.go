// Package calendar determines the night to which a time belongs. A night lasts from one time that a
// cron expression matches in the operators' time zone to the next, even if the clocks change in
// between. Some nights are holidays.
//
// Like all of internal/core the package is pure: times are passed in. The time zone database is
// linked into the program (time/tzdata), since a machine may have none.
package calendar

import (
	"fmt"
	"slices"
	"strings"
	"time"
	_ "time/tzdata" // controllers also run on machines without a time zone database

	"github.com/robfig/cron/v3"
)

// DateLayout is the layout of dates, see time.Layout.
const DateLayout = "2006-01-02"

// clockLayout is the layout of times of day.
const clockLayout = "15:04"

// maxNight is the longest time that a night may last. If the clocks skip the hour at which a night
// starts, the cron schedule omits that start; a longer gap between starts shows this, and
// nextNightStart inserts the start.
const maxNight = 26 * time.Hour

const (
	hoursPerDay       = 24
	secondsPerDay     = hoursPerDay * 60 * 60
	minutesPerQuarter = 15
	quartersPerHour   = 60 / minutesPerQuarter
	oneDay            = hoursPerDay * time.Hour
	nightLookback     = 2 * maxNight // from any time back to the start of the previous night, at most
)

// Calendar divides time into nights. It is not safe for concurrent use, because it caches the last
// result of At.
type Calendar struct {
	location    *time.Location
	nightStarts cron.Schedule
	holidays    []string // dates on which holiday nights start

	cachedFrom, cachedTo time.Time // the start of the cached night and of the next one
	cached               Night
}

// Night identifies a night by the local date on which it starts.
type Night struct {
	Day     int32  // the date in days since 1970-01-01
	Date    string // the date in DateLayout
	Holiday bool
}

// FieldError reports that a setting of a calendar is invalid.
type FieldError struct{ Field, Why string }

func (e *FieldError) Error() string { return e.Field + ": " + e.Why }

// New returns a calendar. zone is the name of a time zone in the IANA database, nightCron a cron
// expression of five fields that matches at the start of each night, once a day, and holidays the
// dates on which holiday nights start. Its errors are of type *FieldError.
func New(zone, nightCron string, holidays []string) (*Calendar, error) {
	location, err := time.LoadLocation(zone)
	if err != nil || zone == "" || zone == "Local" {
		return nil, newFieldError("time_zone", "not a time zone of the IANA database: %q", zone)
	}
	schedule, err := cron.ParseStandard(nightCron)
	if err != nil {
		return nil, newFieldError("night", "not a cron expression: %q", nightCron)
	}
	if !matchesOnceADay(schedule, location) {
		return nil, newFieldError("night", "%q does not come true once a day", nightCron)
	}
	for _, date := range holidays {
		if _, err := time.Parse(DateLayout, date); err != nil {
			return nil, newFieldError("holidays", "not a date like %s: %q", DateLayout, date)
		}
	}
	return &Calendar{
		location:    location,
		nightStarts: schedule,
		holidays:    slices.Clone(holidays),
	}, nil
}

func newFieldError(field, why string, args ...any) error {
	return &FieldError{Field: field, Why: fmt.Sprintf(why, args...)}
}

// matchesOnceADay reports whether a schedule matches once a day. It tests a day without a clock
// change and the day after it.
func matchesOnceADay(schedule cron.Schedule, location *time.Location) bool {
	midnight := time.Date(2026, 1, 14, 0, 0, 0, 0, location)
	first := schedule.Next(midnight.Add(-time.Second))
	second := schedule.Next(first)
	return first.Sub(midnight) < oneDay && second.Sub(first) == oneDay
}

// SplitDates splits a comma-separated list of dates. It does not check the dates.
func SplitDates(list string) []string {
	var dates []string
	for date := range strings.SplitSeq(list, ",") {
		if date = strings.TrimSpace(date); date != "" {
			dates = append(dates, date)
		}
	}
	return dates
}

// NightAt returns the night to which a time belongs.
func (c *Calendar) NightAt(moment time.Time) Night {
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

// bounds returns the last start of a night at or before a local time, and the next start after it.
// Each local date has one night: if the start hour is repeated because the clocks go back, the
// second start belongs to the same night.
func (c *Calendar) bounds(moment time.Time) (from, to time.Time) {
	from = c.nextNightStart(moment.Add(-nightLookback))
	for {
		to = c.nextNightStart(from)
		for sameDate(from, to) {
			to = c.nextNightStart(to)
		}
		if to.After(moment) {
			return from, to
		}
		from = to
	}
}

// nextNightStart returns the first start of a night after a local time.
func (c *Calendar) nextNightStart(moment time.Time) time.Time {
	start := c.nightStarts.Next(moment)
	if start.Sub(moment) <= maxNight {
		return start
	}
	skipped := start.AddDate(0, 0, -1) // the clocks skip this start; AddDate returns a time after the gap
	if skipped.After(moment) {
		return skipped
	}
	return start
}

func sameDate(a, b time.Time) bool { return a.Format(DateLayout) == b.Format(DateLayout) }

// StartOfQuarterHour returns the start of the quarter of an hour that contains a time, in local time.
func (c *Calendar) StartOfQuarterHour(moment time.Time) time.Time {
	local := moment.In(c.location)
	return local.Add(-time.Duration(local.Minute()%minutesPerQuarter)*time.Minute -
		time.Duration(local.Second())*time.Second -
		time.Duration(local.Nanosecond()))
}

// QuarterHourOfDay returns the number of the quarter of an hour that contains a time within its local day, from
// 0 to 95. If the clocks repeat an hour, its numbers occur twice.
func (c *Calendar) QuarterHourOfDay(moment time.Time) int {
	local := moment.In(c.location)
	return local.Hour()*quartersPerHour + local.Minute()/minutesPerQuarter
}

// LocalTime returns the local time of day as hours and minutes.
func (c *Calendar) LocalTime(moment time.Time) string {
	return moment.In(c.location).Format(clockLayout)
}
