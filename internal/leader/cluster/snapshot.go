package cluster

import (
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/scheduler"
	"bitternmoor/internal/core/workers"
)

// Snapshot returns the scheduler's view of the state. It shares the state's tables.
func (s *State) Snapshot(now time.Duration) scheduler.Snapshot {
	snapshot := scheduler.Snapshot{
		Now:                    now,
		SuspectAfter:           s.SuspectAfter(),
		Jobs:                   s.Jobs,
		Inventory:              s.Inventory,
		Estimator:              s.Estimator,
		UnresolvedUse:          s.unresolvedUse,
		AnyJobMayRunUnreported: s.unresolvedWithoutNumber > 0,
		Zone:                   s.Zones.Index,
		Pools:                  s.Pools,
		AcceleratedNeed:        s.Scheduler.LargestAcceleratedNeed(now, s.Jobs),
	}
	if s.StartPacer != nil {
		snapshot.MayStart = func(j *jobs.Job, m *workers.Machine) bool {
			return s.StartPacer.Allows(now, j, m)
		}
	}
	return snapshot
}
