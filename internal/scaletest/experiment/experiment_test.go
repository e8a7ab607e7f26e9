package experiment

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validExperiment = `
[experiment]
sizes = 30, 60
[region east]
zones = east-a, east-b
[region west]
zones = west-a
[phase peak]
measure_s = 5
event = cut-zone
zone = west-a
`

func load(t *testing.T, text string) (*Experiment, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "x.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadFile(path)
}

// TestExperimentFiles checks that an error is one line that names the file and the invalid field.
func TestExperimentFiles(t *testing.T) {
	e, err := load(t, validExperiment)
	if err != nil || e.Sizes[1] != 60 || e.Phases[0].Zone != "west-a" || strings.Join(e.Zones(), " ") != "east-a west-a east-b" || e.RegionOf("west-a") != 1 {
		t.Fatalf("%+v %v", e, err)
	}
	for text, field := range map[string]string{
		validExperiment + "[load]\nstars = 3\n":                                                              "load.stars",
		validExperiment + "[load]\nstarts = fast\n":                                                          "load.starts",
		validExperiment + "[loads]\nstarts = 3\n":                                                            "loads",
		strings.Replace(validExperiment, "30, 60", "30, 999999", 1):                                          "experiment.sizes",
		strings.Replace(validExperiment, "west-a\n[phase", "east-a\n[phase", 1):                              "region west.zones",
		strings.Replace(validExperiment, "zone = west-a", "zone = moon", 1):                                  "phase peak.zone",
		strings.Replace(validExperiment, "cut-zone", "dance", 1):                                             "phase peak.event",
		strings.Replace(validExperiment, "measure_s = 5", "settle_s = 5", 1):                                 "phase peak.measure_s",
		validExperiment + "[workers]\nreport_s = 5\nlease_s = 9\n":                                           "workers.lease_s",
		strings.Replace(validExperiment, "zone = west-a", "zone = east-a", 1) + "[workers]\nprocesses = 2\n": "phase peak.zone",
	} {
		_, err := load(t, text)
		var wrong *Error
		if !errors.As(err, &wrong) || wrong.Field != field || strings.Contains(err.Error(), "\n") || !strings.Contains(err.Error(), "x.ini") {
			t.Errorf("got error %v, want one that names the field %s", err, field)
		}
	}
}

// TestNeeds checks that a run that needs more than the machine has is refused before it starts.
func TestNeeds(t *testing.T) {
	e, err := load(t, validExperiment)
	if err != nil {
		t.Fatal(err)
	}
	n := e.Needs(2000)
	if err := n.CheckLimits(16<<30, 20000); err != nil {
		t.Error(err)
	}
	for _, err := range []error{n.CheckLimits(1<<30, 20000), n.CheckLimits(16<<30, 1000), Needs{Processes: 301}.CheckLimits(16<<30, 20000)} {
		if err == nil {
			t.Error("a run that needs more than the machine has was not refused")
		}
	}
}

// TestRepositoryExperiments checks that the experiment files in the repository are valid.
func TestRepositoryExperiments(t *testing.T) {
	files, err := filepath.Glob("../../../experiments/*.ini")
	if err != nil || len(files) < 2 {
		t.Fatalf("%v %v", files, err)
	}
	for _, f := range files {
		if _, err := LoadFile(f); err != nil {
			t.Error(err)
		}
	}
}
