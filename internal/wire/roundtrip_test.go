package wire

import (
	"net/url"
	"reflect"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/workers"
)

// A report is unchanged after encoding and decoding.
func TestReportRoundTrip(t *testing.T) {
	r := &workers.Report{
		Machine: "host-000001", Address: "a:1", Type: "m", Zone: "z", Spot: true,
		Session: 2, Seq: 3, Token: 4, Notice: true, NoticeS: 9,
		Tasks: []workers.TaskReport{
			{Job: 1, Task: 2, Attempt: 3, State: workers.Running},
			{Job: 4, Attempt: 5, State: workers.Ended, Reason: workers.Completed, Saved: true},
		},
	}
	if got, err := ParseReport(EncodeReport(r)); err != nil || !reflect.DeepEqual(got, r) {
		t.Errorf("report decoded as %+v, error %v", got, err)
	}
}

// Commands, in the response to a report and sent directly, and redirects are unchanged after encoding and
// decoding.
func TestCommandsRoundTrip(t *testing.T) {
	commands := []workers.Command{
		{Op: workers.Start, Job: 1, Task: 2, Attempt: 3},
		{Op: workers.Stop, Job: 1, Attempt: 4, GraceS: 5},
		{Op: workers.Reap, Job: 2, Attempt: 6},
	}
	token, got, err := ParseReportAnswer(EncodeReportAnswer(7, commands))
	if err != nil || token != 7 || !reflect.DeepEqual(got, commands) {
		t.Errorf("response to a report: %d %+v %v", token, got, err)
	}
	direct, err := ParseDirectCommands(EncodeDirectCommands(7, 8, commands))
	if err != nil || !reflect.DeepEqual(direct, DirectCommands{Token: 7, Session: 8, Commands: commands}) {
		t.Errorf("direct commands: %+v %v", direct, err)
	}
	if got := ParseRedirect(RedirectAnswer("n1")); got != "n1" {
		t.Errorf("redirect: %q", got)
	}
}

// A submission and a job's state are unchanged after encoding and decoding.
func TestJobRoundTrip(t *testing.T) {
	j := &eventlog.Job{
		ID: 1, Class: "c", Team: "t", Priority: 2, Tasks: 3, CPUs: 1, MemoryGB: 2, Image: "i", ImageGB: .5,
		Types: []string{"m"}, Zone: "z", Spot: true, EstimateS: 9, DeadlineS: 10, Follows: []uint64{7},
	}
	if got := ParseSubmission(EncodeSubmission(j), false); got.Bad != "" || !reflect.DeepEqual(got.Job, j) {
		t.Errorf("submission: %+v", got)
	}
	if got, err := ParseJobAnswer(EncodeJobAnswer(1, Cancelled, true, 2, 3)); err != nil || got != Cancelled {
		t.Errorf("job state: %v %v", got, err)
	}
}

// A malformed response to a report, or one with an unknown command, gives an error.
func TestMalformedReportAnswer(t *testing.T) {
	for _, bad := range []string{
		"", "[]",
		`{"calls":[{"call":"dance","beast":"j-000001/0"}]}`,
		`{"calls":[{"call":"stop","beast":"j-1"}]}`,
	} {
		if _, _, err := ParseReportAnswer([]byte(bad)); err == nil {
			t.Errorf("%q was accepted as a response to a report", bad)
		}
	}
}

// A query of the state service is decoded, and a number that cannot be parsed is refused.
func TestStateQuery(t *testing.T) {
	q, err := ParseStateQuery(url.Values{"starts": {"c/"}, "since": {"431"}, "most": {"20"}, "hold_ms": {"1500"}})
	want := StateQuery{Prefix: "c/", After: "431", Limit: 20, Since: 431, Wait: 1500 * time.Millisecond}
	if err != nil || q != want {
		t.Errorf("query decoded as %+v, error %v", q, err)
	}
	if _, err := ParseStateQuery(url.Values{"most": {"many"}}); err == nil {
		t.Error("a limit that is not a number was accepted")
	}
}
