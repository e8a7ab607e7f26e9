package scheduler

import (
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/workers"
)

// TestReplicasPreferMachinesThatStartSoonest guards against replicas that are placed where they wait for a report
// although another machine can start them earlier: directly, or with a report that is due sooner.
func TestReplicasPreferMachinesThatStartSoonest(t *testing.T) {
	const reportInterval = 4 * time.Second
	heard := func(ago time.Duration) time.Duration { return time.Minute - ago }
	tests := []struct {
		name string
		kind uint8
		want string
	}{
		{"service", jobs.Service, "later session"},
		{"array", jobs.Array, "tightest fit"}, // its starts are sent directly in any session
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			snap := emptySnapshot(time.Minute, time.Hour, 1)
			add := func(name string, session uint64, lastReport time.Duration, cpus float64) *workers.Machine {
				m := snap.Inventory.Add(&workers.Machine{Name: name, Session: session, LastHeartbeat: lastReport,
					Capacity: resources.Room(cpus, 0, 64), FetchGBPS: 1, Durable: true, Up: true, Resolved: true})
				m.UseImage(0, 0, snap.Now)
				return m
			}
			s := New([]Limit{{}}, 1)
			s.ReportInterval = reportInterval
			job := snap.Jobs.Add(eventlog.Job{ID: 1, Kind: test.kind, Tasks: 1, CPUs: 1})
			job.PushDispatch, job.Need = true, resources.Room(1, 0, 1)
			list := []*workers.Machine{
				add("tightest fit", workers.FirstSession, heard(0), 2),
				add("report due", workers.FirstSession, heard(reportInterval-time.Millisecond), 4),
				add("later session", workers.FirstSession+1, heard(0), 4),
			}
			if best := s.bestMachine(&snap, job, list); best.Name != test.want {
				t.Errorf("the task is placed on the machine %q, want %q", best.Name, test.want)
			}
			if test.kind != jobs.Service {
				return
			}
			if best := s.bestMachine(&snap, job, list[:2]); best.Name != "report due" {
				t.Errorf("without a later session, the task is placed on the machine %q", best.Name)
			}
		})
	}
}
