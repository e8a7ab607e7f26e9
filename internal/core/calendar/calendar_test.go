package calendar

import (
	"errors"
	"testing"
	"time"
)

func TestNightOfMoment(t *testing.T) {
	for _, c := range []struct {
		name, zone, nightCron, at, want string
		holiday                         bool
	}{
		{"just before the start at noon", "Europe/Sofia", "0 12 * * *", "2026-12-01T11:59:59+02:00", "2026-11-30", false},
		{"at the start at noon", "Europe/Sofia", "0 12 * * *", "2026-12-01T12:00:00+02:00", "2026-12-01", false},
		{"by the operators' time zone, not UTC", "America/Jamaica", "0 20 * * *", "2026-12-02T00:59:00Z", "2026-11-30", false},
		{"a holiday", "Europe/Sofia", "0 18 * * *", "2026-12-25T03:00:00+02:00", "2026-12-24", true},
		{"the start is skipped: before it", "Europe/Sofia", "30 3 * * *", "2026-03-29T02:59:00+02:00", "2026-03-28", false},
		{"the start is skipped: after it", "Europe/Sofia", "30 3 * * *", "2026-03-29T06:00:00+03:00", "2026-03-29", false},
		{"the start is skipped: the day after", "Europe/Sofia", "30 3 * * *", "2026-03-30T03:29:00+03:00", "2026-03-29", false},
		{"the start hour is repeated: the first time", "Europe/Sofia", "30 3 * * *", "2026-10-25T03:35:00+03:00", "2026-10-25", false},
		{"the start hour is repeated: the second time", "Europe/Sofia", "30 3 * * *", "2026-10-25T03:35:00+02:00", "2026-10-25", false},
		{"the start hour is repeated: between the two starts", "Europe/Sofia", "30 3 * * *", "2026-10-25T03:10:00+02:00", "2026-10-25", false},
		{"the start hour is repeated: the day after", "Europe/Sofia", "30 3 * * *", "2026-10-26T03:10:00+02:00", "2026-10-25", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			calendar, err := New(c.zone, c.nightCron, SplitDates("2026-12-24, 2027-01-01,"))
			if err != nil {
				t.Fatal(err)
			}
			at, err := time.Parse(time.RFC3339, c.at)
			if err != nil {
				t.Fatal(err)
			}
			if night := calendar.NightAt(at); night.Date != c.want || night.Holiday != c.holiday {
				t.Errorf("night is %+v, want %s, holiday %v", night, c.want, c.holiday)
			}
		})
	}
}

// Over two years, each night follows the previous one by a day, and a calendar with a cached night
// returns the same as a new one.
func TestNightsAreConsecutive(t *testing.T) {
	newCalendar := func(t *testing.T, nightCron string) *Calendar {
		t.Helper()
		calendar, err := New("America/New_York", nightCron, nil)
		if err != nil {
			t.Fatal(err)
		}
		return calendar
	}
	for _, nightCron := range []string{"0 12 * * *", "30 3 * * *", "30 2 * * *", "0 0 * * *"} {
		t.Run(nightCron, func(t *testing.T) {
			calendar := newCalendar(t, nightCron)
			lastDay := int32(-1)
			for at := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC); at.Year() < 2028; at = at.Add(97 * time.Minute) {
				night := calendar.NightAt(at)
				if lastDay >= 0 && night.Day != lastDay && night.Day != lastDay+1 {
					t.Fatalf("at %v night %s follows the night of day %d", at, night.Date, lastDay)
				}
				lastDay = night.Day
				if fresh := newCalendar(t, nightCron).NightAt(at); fresh != night {
					t.Fatalf("at %v the calendar returns %+v, a new one %+v", at, night, fresh)
				}
			}
		})
	}
}

func TestErrorsNameTheField(t *testing.T) {
	for _, c := range []struct{ zone, nightCron, holidays, field string }{
		{"Europe/Nowhere", "0 12 * * *", "", "time_zone"},
		{"", "0 12 * * *", "", "time_zone"},
		{"Local", "0 12 * * *", "", "time_zone"},
		{"UTC", "noon", "", "night"},
		{"UTC", "0 */6 * * *", "", "night"},
		{"UTC", "0 12 * * 1", "", "night"},
		{"UTC", "0 12 * * *", "2026-13-01", "holidays"},
	} {
		_, err := New(c.zone, c.nightCron, SplitDates(c.holidays))
		var wrong *FieldError
		if !errors.As(err, &wrong) || wrong.Field != c.field {
			t.Errorf("New with %+v returns error %v, want a *FieldError that names the field", c, err)
		}
	}
}
