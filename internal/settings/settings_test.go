package settings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gopkg.in/ini.v1"
)

const validTOML = `
node = "n0"
domain = "a"
public_addr = "10.0.0.1:8080"
internal_addr = "10.0.0.1:8081"
something_new = 7
[[others]]
node = "n1"
domain = "b"
endpoint = "10.0.0.2:8081"
[external]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[deployment]
count = 2
[[deployment.teams]]
name = "team"
cpus = 4.0
cpus_max = 8.0
[deployment.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 30.0
[deployment.state]
rps = 200.0
write_rps = 15.0
value_kb = 8.0
txn_ops = 12
[deployment.cloud]
rps = 2.0
[deployment.machine_limits]
ram_mb = 98.0
fd_limit = 900
`

func load(t *testing.T, toml, iniText string) (*Settings, error) {
	t.Helper()
	dir := t.TempDir()
	path, iniPath := filepath.Join(dir, "s.toml"), ""
	if err := os.WriteFile(path, []byte(toml), 0o600); err != nil {
		t.Fatal(err)
	}
	if iniText != "" {
		iniPath = filepath.Join(dir, "t.ini")
		if err := os.WriteFile(iniPath, []byte(iniText), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return Load(path, iniPath)
}

// Valid settings are read, and unknown fields of the platform's file are ignored.
func TestLoad(t *testing.T) {
	s, err := load(t, validTOML, "[sizing]\ntraining_tasks = 7\n")
	if err != nil {
		t.Fatal(err)
	}
	if s.Tunables.TrainingTasks != 7 || s.Tunables.TrainingAtOnce != 10 || s.Peers[0].Endpoint != "10.0.0.2:8081" {
		t.Errorf("read as %+v", s)
	}
}

// Announced limits are respected from the start: of each limit the smaller value applies, and a limit that
// is not announced keeps its value.
func TestNextLimits(t *testing.T) {
	for _, c := range []struct {
		next string
		want StateLimits
	}{
		{"", StateLimits{15, 8, 12}},
		{"value_kb = 2.0\ntxn_ops = 4\nwrite_rps = 15.0", StateLimits{15, 2, 4}},
		{"value_kb = 64.0\nwrite_rps = 5.0", StateLimits{5, 8, 12}},
	} {
		text := validTOML
		if c.next != "" {
			text = strings.Replace(validTOML, "txn_ops = 12", "txn_ops = 12\n[deployment.state.next]\n"+c.next, 1)
		}
		s, err := load(t, text, "")
		if err != nil {
			t.Fatal(err)
		}
		if got := s.WriteLimits(); got != c.want {
			t.Errorf("next %q: %+v, want %+v", c.next, got, c.want)
		}
	}
}

// checkField fails the test unless err is a FieldError of one line for a field.
func checkField(t *testing.T, err error, field string) {
	t.Helper()
	var fieldError *FieldError
	if !errors.As(err, &fieldError) || fieldError.Field != field || strings.Contains(err.Error(), "\n") {
		t.Errorf("error %v, want one line for the field %s", err, field)
	}
}

// An invalid setting gives an error of one line that names it.
func TestInvalidSettings(t *testing.T) {
	cases := []struct{ from, to, ini, field string }{
		{`node = "n0"`, "", "", "node"},
		{`"10.0.0.1:8081"`, `"10.0.0.1"`, "", "internal_addr"},
		{`"10.0.0.1:8081"`, `"10.0.0.1:8080"`, "", "internal_addr"},
		{`node = "n1"`, `node = "n0"`, "", "others[0].node"},
		{"write_rps = 15.0", "write_rps = -1.0", "", "deployment.state.write_rps"},
		{"txn_ops = 12", "txn_ops = 1", "", "deployment.state.txn_ops"},
		{"txn_ops = 12", "txn_ops = 12\n[deployment.state.next]\nvalue_kb = 0.0", "", "deployment.state.next.value_kb"},
		{"txn_ops = 12", "txn_ops = 12\n[deployment.state.next]\nvalue_kb = 0.2", "", "deployment.state.next.value_kb"},
		{"txn_ops = 12", "txn_ops = 12\n[deployment.state.next]\ntxn_ops = 2", "", "deployment.state.next.txn_ops"},
		{"txn_ops = 12", "txn_ops = 12\n[deployment.state.next]\nwrite_rps = -1.0", "", "deployment.state.next.write_rps"},
		{"lease_s = 10.0", "lease_s = 0.5", "", "deployment.workers.lease_s"},
		{"cpus = 4.0", "cpus = 9.0", "", "deployment.teams[0].cpus"},
		{"", "", "[sizing]\ntraining_tasks = 0\n", "sizing.training_tasks"},
		{"", "", "[sizing]\ntraining_tasks = 1.5\n", "sizing.training_tasks"},
		{"", "", "[sizing]\nno_such = 1\n", "sizing.no_such"},
		{"", "", "[leadership]\nhold = soon\n", "leadership.hold"},
		{"", "", "[calendar]\ntime_zone = Sofia\n", "calendar.time_zone"},
		{"", "", "[calendar]\nnight = 25 o'clock\n", "calendar.night"},
		{"", "", "[calendar]\nholidays = 2026-12-24, soon\n", "calendar.holidays"},
		{"", "", "[run-times]\nkinds = -1\n", "run-times.kinds"},
		{"", "", "[webhook]\nurl = mailto:us\n", "webhook.url"},
		{"", "", "[webhook]\nurl = http://127.0.0.1:9/hook\n", "webhook.key_file"},
		{"", "", "[webhook]\nurl = http://127.0.0.1:9/hook\nkey_file = ../../LICENSES\n", "webhook.key_file"},
		{"", "", "[webhook]\nurl = http://127.0.0.1:9/hook\nkey_file = ../../.gitignore\n", "webhook.key_file"},
	}
	for _, c := range cases {
		t.Run(c.field+" "+c.to+c.ini, func(t *testing.T) {
			_, err := load(t, strings.Replace(validTOML, c.from, c.to, 1), c.ini)
			checkField(t, err, c.field)
		})
	}
}

// CheckServable names settings with which a controller starts but cannot serve the fleet well.
func TestCheckServable(t *testing.T) {
	longName := strings.Repeat("c", 100)
	for _, c := range []struct{ from, to, field string }{
		{"", "", ""},
		{"lease_s = 10.0", "lease_s = 2.9", "deployment.workers.lease_s"},
		{"lease_s = 10.0", "lease_s = 3.0", ""},
		{`name = "team"`, `name = "` + strings.Repeat("t", 400) + `"` + "\n#", ""},
		{"value_kb = 8.0", "value_kb = 0.5", ""},
		{`value_kb = 8.0`, "value_kb = 0.5\n[[deployment.objectives]]\nkind = \"wait\"\nclass = \"" + longName +
			"\"\n[deployment.state_]", "deployment.state.value_kb"},
		{"txn_ops = 12", "txn_ops = 12\n[deployment.state.next]\nvalue_kb = 0.5\n[[deployment.objectives]]\nclass = \"" +
			longName + "\"", "deployment.state.next.value_kb"},
	} {
		text := strings.Replace(validTOML, c.from, c.to, 1)
		if strings.Contains(text, "[deployment.state_]") {
			text = strings.Replace(text, "txn_ops = 12\n", "", 1)
			text = strings.Replace(text, "value_kb = 0.5\n", "value_kb = 0.5\ntxn_ops = 12\n", 1)
		}
		s, err := load(t, text, "")
		if err != nil {
			t.Fatal(err)
		}
		err = s.CheckServable()
		switch {
		case c.field != "":
			checkField(t, err, c.field)
		case err != nil:
			t.Errorf("%.60q: %v", c.to, err)
		}
	}
}

// The example file contains every tunable with its default, and no other keys.
func TestExample(t *testing.T) {
	f, err := ini.Load("../../deploy/bitternmoor.ini.example")
	if err != nil {
		t.Fatal(err)
	}
	d := Defaults()
	n := 0
	for _, k := range numberSettings {
		if got := f.Section(k.Section).Key(k.Key).String(); got != fmt.Sprint(k.get(&d)) {
			t.Errorf("%s.%s is %q in the example, %v by default", k.Section, k.Key, got, k.get(&d))
		}
		n++
	}
	for _, k := range textSettings {
		if got := f.Section(k.Section).Key(k.Key).String(); got != k.Default {
			t.Errorf("%s.%s is %q in the example, %q by default", k.Section, k.Key, got, k.Default)
		}
		n++
	}
	for _, s := range f.Sections() {
		n -= len(s.Keys())
	}
	if n != 0 {
		t.Errorf("the example has %d keys that do not exist", -n)
	}
	if err := d.read(f); err != nil {
		t.Error(err)
	}
}

// TestWriteExample generates the example file if WRITE_EXAMPLE is set.
func TestWriteExample(t *testing.T) {
	if os.Getenv("WRITE_EXAMPLE") == "" {
		t.Skip("WRITE_EXAMPLE is not set")
	}
	d := Defaults()
	var b strings.Builder
	b.WriteString("# The operators' settings, each at its default. Give the file with --tunables.\n")
	section := ""
	for _, k := range numberSettings {
		if k.Section != section {
			section = k.Section
			fmt.Fprintf(&b, "\n[%s]\n", section)
		}
		fmt.Fprintf(&b, "# %s (%s, %v to %v)\n%s = %v\n", k.Help, k.Unit, k.Min, k.Max, k.Key, k.get(&d))
	}
	for _, k := range textSettings {
		if k.Section != section {
			section = k.Section
			fmt.Fprintf(&b, "\n[%s]\n", section)
		}
		fmt.Fprintf(&b, "# %s\n%s = %s\n", k.Help, k.Key, k.Default)
	}
	if err := os.WriteFile("../../deploy/bitternmoor.ini.example", []byte(b.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}

// The number of push dispatches is checked against the file descriptor limit, and only an objective shorter
// than a report interval needs them. An objective of an unknown kind is accepted and listed.
func TestPushDispatch(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.toml")
	text := validTOML + "\n[[deployment.objectives]]\nkind = \"brightness\"\nclass = \"never-comes\"\nshare = 0.5\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Load(path, "", "exceptions.direct_starts=8")
	if err != nil || s.AnyNeedsDispatch() || !slices.Equal(s.UnknownObjectives(), []string{"brightness"}) {
		t.Fatalf("%v: %+v", err, s)
	}
	tight := Objective{Kind: ObjectiveWait, Class: "c", WithinS: s.Deployment.Workers.ReportS / 2}
	s.Deployment.Objectives = append(s.Deployment.Objectives, tight)
	if !s.AnyNeedsDispatch() {
		t.Error("an objective of half a report interval does not need push dispatch")
	}
	_, err = Load(path, "", "exceptions.direct_starts=1000")
	if err == nil || !strings.Contains(err.Error(), "exceptions.direct_starts") {
		t.Errorf("more push dispatches than a quarter of the file descriptors: %v", err)
	}
}

// A setting on the command line overrides that of the file and is checked in the same way.
func TestCommandLineSettings(t *testing.T) {
	dir := t.TempDir()
	path, iniPath := filepath.Join(dir, "s.toml"), filepath.Join(dir, "t.ini")
	if err := os.WriteFile(path, []byte(validTOML), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(iniPath, []byte("[fleet]\nidle_return = 9\nspot_return = 8\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Load(path, iniPath, "fleet.idle_return=5", "cold-start.listen=1", "calendar.time_zone=Europe/Sofia")
	if err != nil {
		t.Fatal(err)
	}
	tunables := &s.Tunables
	if tunables.IdleReturnS != 5 || tunables.SpotReturnS != 8 || tunables.ColdStartCensus != 1 || tunables.TimeZone != "Europe/Sofia" {
		t.Errorf("%+v", tunables)
	}
	wrong := map[string]string{
		"fleet.idle_return":   "SECTION.KEY=VALUE",
		"idle_return=3":       "SECTION.KEY=VALUE",
		"fleet.idle=3":        "fleet.idle",
		"fleet.idle_return=x": "fleet.idle_return",
		"cold-start.listen=2": "cold-start.listen",
	}
	for set, want := range wrong {
		t.Run(set, func(t *testing.T) {
			if _, err := Load(path, "", set); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("error %v, want one that contains %s", err, want)
			}
		})
	}
}
