package wire

import (
	"slices"
	"strings"
	"testing"

	"bitternmoor/internal/core/workers"
)

// validSubmission is a submission with an unknown field and with every field but follows and counted.
const validSubmission = `{"name_id":"j-000412","herd":"train","keeper":"vision","gait":"gang","urgency":"urgent","head":16,
 "vcpus":8.0,"gpus":1.0,"memory_gb":64.0,"brand":"img-07","size_gb":6.2,"breeds":["g8"],"pasture":null,"together":true,
 "scatter":false,"loaned_stock":true,"trek_s":240.0,"waypoint_s":30.0,"stow_s":4.0,"market_s":900.0,"new_field":1}`

// replaced returns the body of the submission with one part replaced.
func replaced(t *testing.T, part, by string) []byte {
	t.Helper()
	if !strings.Contains(validSubmission, part) {
		t.Fatalf("the submission has no %s", part)
	}
	return []byte(strings.Replace(validSubmission, part, by, 1))
}

// A submission is decoded with all its fields, and an unknown field is ignored.
func TestSubmission(t *testing.T) {
	s := ParseSubmission([]byte(validSubmission), true)
	if s.Bad != "" || s.Job == nil || s.ID != 412 {
		t.Fatalf("read as %+v, %+v", s, s.Job)
	}
	j := s.Job
	if j.Tasks != 16 || j.Kind != 1 || j.Priority != 2 || !j.OneZone || j.DeadlineS != 900 {
		t.Fatalf("read as %+v, %+v", s, j)
	}
}

// A submission with an invalid field is refused, but its id is still returned.
func TestMalformedSubmission(t *testing.T) {
	for _, c := range [][2]string{
		{`"head":16`, `"head":0`}, {`"head":16`, `"head":100001`}, {`"head":16`, `"head":1.5`}, {`"head":16`, `"head":"16"`},
		{`"vcpus":8.0`, `"vcpus":-1`}, {`"memory_gb":64.0`, `"memory_gb":null`}, {`"memory_gb":64.0`, `"memory_gb":1e999`},
		{`"gait":"gang"`, `"gait":"band"`}, {`"urgency":"urgent"`, `"urgency":""`}, {`"brand":"img-07",`, ``},
		{`"together":true`, `"together":"yes"`}, {`"breeds":["g8"]`, `"breeds":[]`}, {`"market_s":900.0`, `"market_s":0`},
		{`"vcpus":8.0,"gpus":1.0`, `"vcpus":0,"gpus":0`},
	} {
		t.Run(c[1], func(t *testing.T) {
			if s := ParseSubmission(replaced(t, c[0], c[1]), true); s.Bad == "" || !s.HasID {
				t.Errorf("accepted, or the id is missing: %+v", s)
			}
		})
	}
}

// Optional fields may be left out.
func TestOptionalFields(t *testing.T) {
	for _, optional := range []string{`"breeds":["g8"],`, `"pasture":null,`, `,"market_s":900.0`} {
		t.Run(optional, func(t *testing.T) {
			if s := ParseSubmission(replaced(t, optional, ""), true); s.Bad != "" {
				t.Errorf("refused without it: %s", s.Bad)
			}
		})
	}
}

// The list of jobs that a job follows may be empty, must hold well-formed ids, and is stored without
// duplicates.
func TestDependencies(t *testing.T) {
	following := func(v string) Submission {
		return ParseSubmission(replaced(t, `"new_field":1`, `"follows":`+v), true)
	}
	good := map[string][]uint64{
		"null": nil, "[]": nil, `["j-000398"]`: {398},
		`["j-000405","j-000398","j-000405"]`: {405, 398},
	}
	for v, want := range good {
		if s := following(v); s.Bad != "" || !slices.Equal(s.Job.Follows, want) {
			t.Errorf("%s is decoded as %v, %q", v, s.Job, s.Bad)
		}
	}
	bad := []string{
		`"j-000398"`, `{}`, `[398]`, `["j-398"]`, `[null]`, `["j-000398",""]`, `[["j-000398"]]`,
	}
	for _, v := range bad {
		if s := following(v); s.Bad == "" || !s.HasID {
			t.Errorf("%s is accepted, or the id is missing", v)
		}
	}
}

// Each number has exactly one valid id.
func TestIDs(t *testing.T) {
	for _, good := range []string{"j-000412", "j-1234567"} {
		if n, ok := ParseID(good); !ok || FormatID(n) != good {
			t.Errorf("%q is refused as an id", good)
		}
	}
	wrong := []string{
		"", "j-412", "j-0000412", "k-000412", "j-00041x", "j-", "j--00412", "j-99999999999999999999",
	}
	for _, bad := range wrong {
		if _, ok := ParseID(bad); ok {
			t.Errorf("%q is accepted as an id", bad)
		}
	}
}

// A report and the response to it use the platform's field names.
func TestReport(t *testing.T) {
	r, err := ParseReport([]byte(`{"stall":"host-000231","address":"10.1.0.232:9000","breed":"g8","pasture":"a","loaned_stock":true,
	 "watch":1,"tally":88,"crook":41,"recall_s":7.5,
	 "head":[{"beast":"j-000412/3","try":2,"standing":"running"},
	  {"beast":"j-000398/0","try":1,"standing":"ended","cause":"stopped","kept":true}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if !r.Notice || r.NoticeS != 7.5 || len(r.Tasks) != 2 {
		t.Fatalf("read as %+v", r)
	}
	running, ended := r.Tasks[0], r.Tasks[1]
	if running.Job != 412 || running.Task != 3 || ended.Reason != workers.Stopped || !ended.Saved {
		t.Errorf("read as %+v", r)
	}
	got := string(EncodeReportAnswer(41, []workers.Command{
		{Op: workers.Start, Job: 412, Task: 4, Attempt: 2},
		{Op: workers.Stop, Job: 377, Task: 1, Attempt: 1, GraceS: 10},
		{Op: workers.Reap, Job: 398, Attempt: 1},
	}))
	want := `{"crook":41,"calls":[{"call":"start","beast":"j-000412/4","try":2},` +
		`{"call":"stop","beast":"j-000377/1","try":1,"settle_s":10},` +
		`{"call":"reap","beast":"j-000398/0","try":1}]}`
	if got != want {
		t.Errorf("response is %s", got)
	}
	if got := string(RedirectAnswer("")); got != "{}" {
		t.Errorf("redirect without a node: %s", got)
	}
}

// No submission makes the decoder panic, and an accepted one has a valid job.
func FuzzSubmission(f *testing.F) {
	f.Add([]byte(validSubmission))
	f.Add([]byte(`{"name_id":"j-000001"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		s := ParseSubmission(body, true)
		if (s.Job == nil) == (s.Bad == "") {
			t.Errorf("both or neither of job and error: %+v", s)
		}
		if s.Job != nil && (s.Job.Tasks < 1 || s.Job.ID != s.ID || !(s.Job.CPUs >= 0)) {
			t.Errorf("accepted an invalid job: %+v", s.Job)
		}
	})
}

// No report makes the decoder panic, and an accepted one has valid tasks.
func FuzzReport(f *testing.F) {
	f.Add([]byte(`{"stall":"h","watch":1,"tally":1,"head":[{"beast":"j-000412/3","try":2,"standing":"fetching"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := ParseReport(body)
		if err != nil {
			return
		}
		for _, x := range r.Tasks {
			if x.Task < 0 || x.State > workers.Ended {
				t.Errorf("accepted an invalid task: %+v", x)
			}
		}
	})
}

// Units of pools are decoded and validated only if the installation has pools.
func TestPoolUnits(t *testing.T) {
	asking := func(v string, pools bool) Submission {
		return ParseSubmission(replaced(t, `"new_field":1`, `"counted":`+v), pools)
	}
	s := asking(`[{"pool":"p","units":2,"per":"task"},{"pool":"p","units":1,"per":"job"}]`, true)
	if s.Bad != "" || len(s.Job.Counted) != 2 {
		t.Fatalf("%+v", s)
	}
	if units := s.Job.Counted; units[0].PerJob || !units[1].PerJob || units[0].Units != 2 {
		t.Errorf("%+v", s)
	}
	wrong := map[string]string{
		`7`:                                     "counted",
		`[7]`:                                   "counted",
		`[{}]`:                                  "counted[0].pool",
		`[{"pool":"p"}]`:                        "counted[0].units",
		`[{"pool":"p","units":0,"per":"task"}]`: "counted[0].units",
		`[{"pool":"p","units":1}]`:              "counted[0].per",
		`[{"pool":"p","units":1,"per":"day"}]`:  "counted[0].per",
		`[{"pool":"p","units":1,"per":"job"},{"pool":"p","units":1,"per":"job"}]`: "counted[1].pool",
	}
	for v, field := range wrong {
		if s := asking(v, true); !strings.HasPrefix(s.Bad, field) {
			t.Errorf("%s: %q", v, s.Bad)
		}
		if s := asking(v, false); s.Bad != "" || !s.Overlooked || len(s.Job.Counted) != 0 {
			t.Errorf("%s in an installation without pools: %+v", v, s)
		}
	}
	if s := asking(`null`, false); s.Overlooked || s.Bad != "" {
		t.Errorf("%+v", s)
	}
}
