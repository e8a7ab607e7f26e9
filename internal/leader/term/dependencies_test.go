package term

import (
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
)

// A job's deadlines count from the completion of the last job that it depends on. That time
// must survive takeovers and log compaction: it is stored with the completion first, and with
// the dependent job once the completion has been compacted away.
func TestReleaseTimeOutlivesTakeovers(t *testing.T) {
	first := eventlog.Job{ID: 1, Team: "team", Tasks: 2, CPUs: 1, MemoryGB: 1, AtMS: 1000}
	second := first
	second.ID, second.AtMS, second.Follows = 2, 2000, []uint64{1}
	third := first
	third.ID, third.AtMS, third.Follows = 3, 70000, []uint64{1} // submitted long after job 1 was done
	done := eventlog.CompletedTasks{ID: 1, Ranges: [][2]int{{0, 2}}, Seconds: 4, Known: 2, AtMS: 50000}
	log := []eventlog.Entry{
		smallMachineType(),
		{Job: &first},
		{Job: &second},
		{CompletedTasks: &done},
		{Job: &third},
	}
	check := func(name string, entries []eventlog.Entry) *Term {
		t.Helper()
		term := newSmallTermAt(90*time.Second, entries)
		for id, want := range map[uint64]time.Duration{2: 50 * time.Second, 3: 70 * time.Second} {
			if j := term.Jobs.ByID(id); j == nil || j.Phase != jobs.Open || j.AcceptedAt != want {
				t.Errorf("%s: job %d is restored as %+v, want it released at %v", name, id, j, want)
			}
		}
		return term
	}
	term := check("as written", log)
	compactAll(t, term, log)
	now := 100 * time.Second
	compacted := drainLog(t, term, &now)
	for _, e := range compacted {
		timeKept := e.CompletedTasks != nil && e.CompletedTasks.AtMS != 0
		dependenciesKept := e.Job != nil && e.Job.Follows != nil
		if timeKept || dependenciesKept {
			t.Errorf("the compacted log still has %+v", e)
		}
	}
	check("compacted", compacted)
}

// If the dependencies of a held job are missing from the log, as after a compaction by an
// older version, it is unknown whether the job may start, and so it is not started.
func TestJobWithLostDependenciesIsNotStarted(t *testing.T) {
	job := eventlog.Job{ID: 2, Team: "team", Tasks: 1, CPUs: 1, MemoryGB: 1, AtMS: 1000}
	unknown, short := job, job
	unknown.Follows = []uint64{1}
	short.ID, short.Rest = 3, 4
	ofAnotherAcceptance := eventlog.Dependencies{ID: 3, AcceptedMS: 999, Jobs: []uint64{7}}
	term := newSmallTerm([]eventlog.Entry{{Job: &unknown}, {Job: &short}, {Dependencies: &ofAnotherAcceptance}})
	for _, id := range []uint64{2, 3} {
		if j := term.Jobs.ByID(id); j == nil || j.Phase != jobs.Held {
			t.Errorf("job %d is restored as %+v, want it held", id, j)
		}
	}
}
