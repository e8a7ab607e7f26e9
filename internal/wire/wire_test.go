package wire

import (
	"slices"
	"strings"
	"testing"

	"bitternmoor/internal/core/workers"
)

const job = `{"name_id":"j-000412","herd":"train","keeper":"vision","gait":"gang","urgency":"urgent","head":16,
 "vcpus":8.0,"gpus":1.0,"memory_gb":64.0,"brand":"img-07","size_gb":6.2,"breeds":["g8"],"pasture":null,"together":true,
 "scatter":false,"loaned_stock":true,"trek_s":240.0,"waypoint_s":30.0,"stow_s":4.0,"market_s":900.0,"new_field":1}`

func TestSubmission(t *testing.T) {
	s := ParseSubmission([]byte(job), true)
	if s.Bad != "" || s.Job == nil || s.Job.Tasks != 16 || s.Job.Kind != 1 || s.Job.Priority != 2 || !s.Job.OneZone || s.Job.DeadlineS != 900 || s.ID != 412 {
		t.Fatalf("read as %+v, %+v", s, s.Job)
	}
	for _, c := range [][2]string{
		{`"head":16`, `"head":0`}, {`"head":16`, `"head":100001`}, {`"head":16`, `"head":1.5`}, {`"head":16`, `"head":"16"`},
		{`"vcpus":8.0`, `"vcpus":-1`}, {`"memory_gb":64.0`, `"memory_gb":null`}, {`"memory_gb":64.0`, `"memory_gb":1e999`},
		{`"gait":"gang"`, `"gait":"band"`}, {`"urgency":"urgent"`, `"urgency":""`}, {`"brand":"img-07",`, ``},
		{`"together":true`, `"together":"yes"`}, {`"breeds":["g8"]`, `"breeds":[]`}, {`"market_s":900.0`, `"market_s":0`},
		{`"vcpus":8.0,"gpus":1.0`, `"vcpus":0,"gpus":0`},
	} {
		if s := ParseSubmission([]byte(strings.Replace(job, c[0], c[1], 1)), true); s.Bad == "" || !s.HasID {
			t.Errorf("%s is taken for good, or its id is lost: %+v", c[1], s)
		}
	}
	for _, optional := range []string{`"breeds":["g8"],`, `"pasture":null,`, `,"market_s":900.0`} {
		if s := ParseSubmission([]byte(strings.Replace(job, optional, "", 1)), true); s.Bad != "" {
			t.Errorf("without %s: %s", optional, s.Bad)
		}
	}
}

// What a job follows: nothing, or well-formed ids, each counted once.
func TestFollows(t *testing.T) {
	with := func(v string) Submission {
		return ParseSubmission([]byte(strings.Replace(job, `"new_field":1`, `"follows":`+v, 1)), true)
	}
	for v, want := range map[string][]uint64{"null": nil, "[]": nil, `["j-000398"]`: {398}, `["j-000405","j-000398","j-000405"]`: {405, 398}} {
		if s := with(v); s.Bad != "" || !slices.Equal(s.Job.Follows, want) {
			t.Errorf("%s is read as %v, %q", v, s.Job, s.Bad)
		}
	}
	for _, v := range []string{`"j-000398"`, `{}`, `[398]`, `["j-398"]`, `[null]`, `["j-000398",""]`, `[["j-000398"]]`} {
		if s := with(v); s.Bad == "" || !s.HasID {
			t.Errorf("%s is taken for good, or the id is lost", v)
		}
	}
}

func TestIDs(t *testing.T) {
	for _, good := range []string{"j-000412", "j-1234567"} {
		if n, ok := ParseID(good); !ok || FormatID(n) != good {
			t.Errorf("%q is not an id", good)
		}
	}
	for _, bad := range []string{"", "j-412", "j-0000412", "k-000412", "j-00041x", "j-", "j--00412", "j-99999999999999999999"} {
		if _, ok := ParseID(bad); ok {
			t.Errorf("%q is an id", bad)
		}
	}
}

func TestReport(t *testing.T) {
	r, err := ParseReport([]byte(`{"stall":"host-000231","address":"10.1.0.232:9000","breed":"g8","pasture":"a","loaned_stock":true,
	 "watch":1,"tally":88,"crook":41,"recall_s":7.5,
	 "head":[{"beast":"j-000412/3","try":2,"standing":"running"},{"beast":"j-000398/0","try":1,"standing":"ended","cause":"stopped","kept":true}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if !r.Notice || r.NoticeS != 7.5 || len(r.Tasks) != 2 || r.Tasks[0].Job != 412 || r.Tasks[0].Task != 3 || r.Tasks[1].Reason != workers.Stopped || !r.Tasks[1].Saved {
		t.Errorf("read as %+v", r)
	}
	got := string(ReportAnswer(41, []workers.Command{{Op: workers.Start, Job: 412, Task: 4, Attempt: 2}, {Op: workers.Stop, Job: 377, Task: 1, Attempt: 1, GraceS: 10}, {Op: workers.Reap, Job: 398, Attempt: 1}}))
	want := `{"crook":41,"calls":[{"call":"start","beast":"j-000412/4","try":2},{"call":"stop","beast":"j-000377/1","try":1,"settle_s":10},{"call":"reap","beast":"j-000398/0","try":1}]}`
	if got != want {
		t.Errorf("answer is %s", got)
	}
	if got := string(RedirectAnswer("")); got != "{}" {
		t.Errorf("without a node: %s", got)
	}
}

// What the decoders take must be usable: no panic, and a job that was taken
// for good can be stored and named.
func FuzzSubmission(f *testing.F) {
	f.Add([]byte(job))
	f.Add([]byte(`{"name_id":"j-000001"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		s := ParseSubmission(body, true)
		if (s.Job == nil) == (s.Bad == "") {
			t.Errorf("neither good nor bad: %+v", s)
		}
		if s.Job != nil && (s.Job.Tasks < 1 || s.Job.ID != s.ID || !(s.Job.CPUs >= 0)) {
			t.Errorf("taken for good: %+v", s.Job)
		}
	})
}

func FuzzReport(f *testing.F) {
	f.Add([]byte(`{"stall":"h","watch":1,"tally":1,"head":[{"beast":"j-000412/3","try":2,"standing":"fetching"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := ParseReport(body)
		if err != nil {
			return
		}
		for _, x := range r.Tasks {
			if x.Task < 0 || x.State > workers.Ended {
				t.Errorf("taken for good: %+v", x)
			}
		}
	})
}

// Units of pools are read, and checked, only where there are pools.
func TestCounted(t *testing.T) {
	with := func(v string, pools bool) Submission {
		return ParseSubmission([]byte(strings.Replace(job, `"new_field":1`, `"counted":`+v, 1)), pools)
	}
	s := with(`[{"pool":"p","units":2,"per":"task"},{"pool":"p","units":1,"per":"job"}]`, true)
	if s.Bad != "" || len(s.Job.Counted) != 2 || s.Job.Counted[0].PerJob || !s.Job.Counted[1].PerJob || s.Job.Counted[0].Units != 2 {
		t.Errorf("%+v", s)
	}
	for v, field := range map[string]string{`7`: "counted", `[7]`: "counted", `[{}]`: "counted[0].pool", `[{"pool":"p"}]`: "counted[0].units", `[{"pool":"p","units":0,"per":"task"}]`: "counted[0].units",
		`[{"pool":"p","units":1}]`: "counted[0].per", `[{"pool":"p","units":1,"per":"day"}]`: "counted[0].per", `[{"pool":"p","units":1,"per":"job"},{"pool":"p","units":1,"per":"job"}]`: "counted[1].pool"} {
		if s := with(v, true); !strings.HasPrefix(s.Bad, field) {
			t.Errorf("%s: %q", v, s.Bad)
		}
		if s := with(v, false); s.Bad != "" || !s.Overlooked || len(s.Job.Counted) != 0 {
			t.Errorf("%s without pools: %+v", v, s)
		}
	}
	if s := with(`null`, false); s.Overlooked || s.Bad != "" {
		t.Errorf("%+v", s)
	}
}
