package scenario

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/wire"
)

// simulateOverloadedClass simulates five minutes in which the jobs of one class of one team exceed the
// capacity, beside two other classes at their usual rates. It returns the share of jobs of each class and
// team whose users were told in time that they are done.
func simulateOverloadedClass(t *testing.T, seed uint64, floor float64, hotPriority uint8) map[string]float64 {
	c := baseSettings()
	c.Deployment.Teams = []settings.Team{{Name: "team"}, {Name: "other"}}
	c.Deployment.State.WriteRPS = 60
	within := map[string]float64{"hot": 90, "slow": 150, "small": 60}
	for class, s := range within {
		c.Deployment.Objectives = append(c.Deployment.Objectives, settings.Objective{Kind: settings.ObjectiveFinished, Class: class, WithinS: s, Share: .9})
	}
	c.Tunables.ServedFloor, c.Tunables.ServedWindowS = floor, 300
	s := newSim(c, seed, 3, false)
	s.cloud.capacity = 12
	r := rand.New(rand.NewPCG(seed, 31))
	id := uint64(0)
	add := func(class, team string, priority uint8, at time.Duration, tasks int, run time.Duration) {
		id++
		i := id
		job := &eventlog.Job{
			ID: i, Class: class, Team: team, Priority: priority, Tasks: tasks, CPUs: 1, MemoryGB: 1,
			Image: class, ImageGB: 0.3, Spot: true, EstimateS: run.Seconds(),
		}
		j := &userJob{id: i, runTime: run, spec: wire.Submission{ID: i, HasID: true, Job: job}}
		s.after(at, func() {
			s.jobs[i] = j
			s.submit(j, r.IntN(3), func() bool { return true })
		})
	}
	for at := 10 * time.Second; at < 310*time.Second; at += time.Second {
		if at%(3*time.Second) == 0 {
			add("hot", "team", hotPriority, at, 20, time.Duration(6+r.IntN(8))*time.Second) // demands 65 CPUs of 48
		}
		if at%(10*time.Second) == 0 {
			add("slow", "other", 0, at, 4, time.Duration(20+r.IntN(10))*time.Second)
			add("small", "other", 1, at, 2, time.Duration(4+r.IntN(4))*time.Second)
		}
	}
	var poll func()
	poll = func() {
		for i, j := range s.jobs {
			if j.accepted && !j.reportedDone {
				s.poll(j, int(i))
			}
		}
		s.after(time.Second, poll)
	}
	s.after(0, poll)
	s.run(460 * time.Second)
	if len(s.check.violations) > 0 {
		t.Errorf("violated invariants: %v", s.check.violations[0])
	}
	submitted, inTime := map[string]float64{}, map[string]float64{}
	for _, j := range s.jobs {
		for _, group := range []string{"class " + j.spec.Job.Class, "team " + j.spec.Job.Team} {
			submitted[group]++
			if j.reportedDone && (j.endReportedAt-j.acceptedAt).Seconds() <= within[j.spec.Job.Class]+2 {
				inTime[group]++
			}
		}
	}
	out := map[string]float64{}
	for group := range submitted {
		out[group] = inTime[group] / submitted[group]
	}
	return out
}

// TestOverloadedClass checks that when one class alone demands more than the capacity, urgent or not,
// every class and team still has at least half of its jobs done in time. Without the served_floor
// exception, an urgent class leaves the others nothing.
func TestOverloadedClass(t *testing.T) {
	for _, priority := range []uint8{1, 2} {
		t.Run(fmt.Sprint("priority ", priority), func(t *testing.T) {
			t.Parallel()
			off, on := simulateOverloadedClass(t, 1, 0, priority), simulateOverloadedClass(t, 1, 0.55, priority)
			t.Logf("without %s, with %s", formatShares(off), formatShares(on))
			for group := range on {
				if on[group] < 0.5 {
					t.Errorf("%s: share done in time %.2f", group, on[group])
				}
				if priority == 2 && group != "class hot" && group != "team team" && off[group] >= 0.5 {
					t.Errorf("%s: share done in time %.2f without the exception: the load is too low for this test", group, off[group])
				}
			}
			if on["class hot"] < off["class hot"]-0.2 { // the others' floor is a seventh of the machines
				t.Errorf("the overloaded class falls from %.2f to %.2f", off["class hot"], on["class hot"])
			}
		})
	}
}

func formatShares(shares map[string]float64) (out string) {
	for _, group := range []string{"class hot", "class slow", "class small", "team team", "team other"} {
		out += fmt.Sprintf(" %s %.2f", group, shares[group])
	}
	return out
}
