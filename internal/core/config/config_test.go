package config

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"bitternmoor/internal/settings"
)

func number(v float64) Value { return Value{Number: &v} }

func limit(cpusMax float64) Value { return Value{Limits: &Limits{CPUsMax: cpusMax}} }

var (
	idleReturn = Item{Tunable: "fleet.idle_return"}
	red        = Item{Team: "red"}
	green      = Item{Team: "green"}
)

func platform() *settings.Platform {
	p := &settings.Platform{}
	p.Deployment.State.ValueKB = 8
	return p
}

// Invalid changes are rejected with an error that names the field.
func TestCheck(t *testing.T) {
	valid := []Change{
		{idleReturn, number(5)},
		{red, limit(9)},
		{green, Value{Removed: true}},
		{Item{Tunable: "fleet.spot_return"}, Value{}},
	}
	if err := Check(valid, platform()); err != nil {
		t.Error(err)
	}
	for field, changes := range map[string][]Change{
		"changes":           nil,
		"item":              {{Item{}, number(1)}},
		"fleet.idle_return": {{idleReturn, number(-1)}},
		"fleet.no_such":     {{Item{Tunable: "fleet.no_such"}, number(1)}},
		"leadership.hold":   {{Item{Tunable: "leadership.hold"}, number(3)}},
		"calendar.night":    {{Item{Tunable: "calendar.night"}, Value{}}},
		"team":              {{Item{Team: "a b"}, limit(1)}},
		"team red":          {{red, number(3)}},
		"team red.cpus":     {{red, Value{Limits: &Limits{CPUs: 5, CPUsMax: 4}}}},
		"team green":        {{green, limit(1)}, {green, limit(2)}},
		"fleet.spot_return": {{Item{Tunable: "fleet.spot_return"}, limit(3)}},
	} {
		t.Run(field, func(t *testing.T) {
			err := Check(changes, platform())
			var fieldErr *settings.FieldError
			if !errors.As(err, &fieldErr) || fieldErr.Field != field || strings.Contains(err.Error(), "\n") {
				t.Errorf("%v: %v, want an error that names %s", changes, err, field)
			}
		})
	}
	if err := Check(make([]Change, MaxChanges+1), platform()); err == nil {
		t.Error("more than MaxChanges changes were accepted")
	}
	small := platform()
	small.Deployment.State.ValueKB = 0.45
	if err := Check([]Change{{Item{Team: strings.Repeat("t", 60)}, limit(1)}}, small); err == nil {
		t.Error("a team was accepted whose jobs are too large to be stored")
	}
}

// ChangesToRestore returns changes to the earlier values and returns an error for a revision that the history does not cover.
func TestUndo(t *testing.T) {
	history := []Revision{
		{Number: 4, Changes: []Change{{idleReturn, number(5)}}, Before: []Value{{}}},
		{Number: 5, Changes: []Change{{red, limit(9)}, {idleReturn, number(6)}}, Before: []Value{limit(3), number(5)}},
		{Number: 6, Changes: []Change{{red, limit(3)}}, Before: []Value{limit(9)}},
	}
	for to, want := range map[uint64][]Change{
		3: {{idleReturn, Value{}}},
		4: {{idleReturn, number(5)}},
		5: {{red, limit(9)}},
	} {
		if got, err := ChangesToRestore(history, to); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("undo to %d: changes %v, error %v, want %v", to, got, err, want)
		}
	}
	for _, to := range []uint64{1, 6, 7} {
		if _, err := ChangesToRestore(history, to); err == nil {
			t.Errorf("undo to %d was accepted", to)
		}
	}
}

// A replica applies new updates once, ignores updates with a gap, and never returns to an older revision.
func TestReplica(t *testing.T) {
	var d Document
	d.Apply(&Revision{Number: 1, Changes: []Change{{idleReturn, number(5)}, {red, limit(9)}}})
	first := d.Update(0)
	d.Apply(&Revision{Number: 2, Changes: []Change{{red, limit(3)}}})
	second := d.Update(1)
	if len(second.Sets) != 1 || len(d.Update(2).Sets) != 0 || len(d.Update(7).Sets) != 0 {
		t.Errorf("update from revision 1: %+v", second)
	}
	var r Replica
	r.Apply(1, second)
	if r.Revision() != 0 || r.UpdatedAt() != 1 {
		t.Error("an update with a gap was applied")
	}
	for now, u := range []Update{first, second, first, second} {
		r.Apply(2, u)
		if want := min(uint64(now)+1, 2); r.Revision() != want {
			t.Errorf("after %d updates the replica has revision %d", now+1, r.Revision())
		}
	}
	if !reflect.DeepEqual(r.All(), d.All()) {
		t.Errorf("the replica has %v, want %v", r.All(), d.All())
	}
	var old Document
	old.Apply(&Revision{Number: 1, Changes: []Change{{idleReturn, number(5)}}})
	r.CopyFrom(3, &old)
	if r.Revision() != 2 {
		t.Error("the replica returned to an older revision")
	}
}
