package config

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

func currentLimits(string) Limits { return Limits{CPUs: 1, CPUsMax: 8} }

// Edits of one team become one change, which keeps the fields that no edit names.
func TestEdits(t *testing.T) {
	var edits []Edit
	for _, s := range []string{
		"team/red/cpus_max=9",
		"fleet.idle_return=5",
		"team/red/gpus=2",
		"team/green=removed",
		"fleet.spot_return=settings",
	} {
		e, err := ParseEdit(s)
		if err != nil {
			t.Fatal(err)
		}
		edits = append(edits, e)
	}
	want := []Change{
		{red, Value{Limits: &Limits{CPUs: 1, CPUsMax: 9, GPUs: 2}}},
		{idleReturn, number(5)},
		{green, Value{Removed: true}},
		{Item{Tunable: "fleet.spot_return"}, Value{}},
	}
	if got, err := CombineEdits(edits, currentLimits); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("changes %v, error %v", got, err)
	}
	path := filepath.Join(t.TempDir(), "changes.ini")
	text := "[team red]\ncpus_max = 9\ngpus = 2\n[fleet]\nidle_return = 5\nspot_return = settings\n[team green]\nis = removed\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	edits, err := ReadEditsFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := CombineEdits(edits, currentLimits); err != nil || len(got) != 4 || !reflect.DeepEqual(got[0], want[0]) {
		t.Errorf("changes %v, error %v", got, err)
	}
}

// changesError parses edits, combines them into changes and returns the error.
func changesError(texts []string) error {
	var edits []Edit
	for _, text := range texts {
		edit, err := ParseEdit(text)
		if err != nil {
			return err
		}
		edits = append(edits, edit)
	}
	_, err := CombineEdits(edits, currentLimits)
	return err
}

// An invalid edit is reported in a single line that starts with the field.
func TestInvalidEdits(t *testing.T) {
	for list, field := range map[string]string{
		"team/red":                                "team/red",
		"teams/red/cpus=1":                        "teams/red/cpus=1",
		"team/red/size=1":                         "team red.size",
		"team/red/cpus=many":                      "team red.cpus",
		"team/red=gone":                           "team red",
		"fleet.idle_return=x":                     "fleet.idle_return",
		"leadership.hold=3":                       "leadership.hold",
		"fleet.none=3":                            "fleet.none",
		"team/red=removed team/red/cpus=1":        "team red.cpus",
		"fleet.idle_return=1 fleet.idle_return=2": "fleet.idle_return",
	} {
		t.Run(list, func(t *testing.T) {
			err := changesError(strings.Fields(list))
			if err == nil || !strings.HasPrefix(err.Error(), field+":") || strings.Contains(err.Error(), "\n") {
				t.Errorf("%v, want an error that starts with %s", err, field)
			}
		})
	}
	if _, err := ReadEditsFile("none.ini"); err == nil {
		t.Error("a missing file was read without an error")
	}
}
