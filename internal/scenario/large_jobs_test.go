package scenario

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/wire"
)

// simulateLargestJobs simulates small jobs that arrive for six and a half minutes at a fifth above the
// capacity. After the first minute come two gangs that each need most of the machines, a wide array of
// large tasks, and a gang that must run in one zone.
func simulateLargestJobs(beginWithinS float64) *sim {
	c := baseSettings()
	c.Deployment.State.WriteRPS = 60
	c.Tunables.BeginWithinS = beginWithinS
	s := newSim(c, 3, 3, false)
	s.cloud.capacity = 12
	r := rand.New(rand.NewPCG(3, 33))
	add := func(at time.Duration, job eventlog.Job, run time.Duration) {
		job.ID, job.Team, job.Priority, job.MemoryGB, job.Image, job.ImageGB, job.Spot, job.EstimateS = uint64(len(s.jobs)+1), "team", 1, 1, job.Class, 0.3, true, run.Seconds()
		j := &userJob{id: job.ID, runTime: run, spec: wire.Submission{ID: job.ID, HasID: true, Job: &job}}
		s.jobs[job.ID] = j
		s.after(at, func() { s.submit(j, r.IntN(3), func() bool { return true }) })
	}
	for at := 10 * time.Second; at < 400*time.Second; at += time.Second {
		add(at, eventlog.Job{Class: "small", Tasks: 4, CPUs: 1}, time.Duration(10+r.IntN(9))*time.Second)
	}
	add(60*time.Second, eventlog.Job{Class: "gang", Kind: jobs.Gang, Tasks: 9, CPUs: 4}, 40*time.Second)
	add(62*time.Second, eventlog.Job{Class: "gang", Kind: jobs.Gang, Tasks: 10, CPUs: 4}, 40*time.Second)
	add(64*time.Second, eventlog.Job{Class: "wide", Tasks: 60, CPUs: 3}, 30*time.Second)
	add(66*time.Second, eventlog.Job{Class: "zone", Kind: jobs.Gang, Tasks: 5, CPUs: 4, OneZone: true}, 30*time.Second)
	s.run(700 * time.Second)
	s.check.checkStartDelay(s.now)
	return s
}

// TestLargestJobsStart checks that the largest jobs start within four minutes although smaller ones keep
// arriving. Without the begin_within exception some of them do not.
func TestLargestJobsStart(t *testing.T) {
	late := func(s *sim) bool {
		return slices.ContainsFunc(s.check.violations, func(b string) bool { return strings.HasPrefix(b, "begins_late") })
	}
	if s := simulateLargestJobs(0); !late(s) {
		t.Error("without the exception, all jobs start in time: the load is too low for this test")
	}
	s := simulateLargestJobs(120)
	if len(s.check.violations) > 0 {
		t.Errorf("violated invariants: %s", strings.Join(s.check.violations, "\n"))
	}
	small, done := 0, 0
	for _, j := range s.jobs {
		if j.spec.Job.Class == "small" {
			small++
			if s.check.allCompleted(j.id) {
				done++
			}
		}
	}
	if done*2 < small {
		t.Errorf("only %d of %d small jobs are done", done, small)
	}
}
