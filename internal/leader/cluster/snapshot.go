package cluster

import (
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/scheduler"
	"bitternmoor/internal/core/workers"
	"time"
)

// Snapshot is what the planner looks at.
func (s *State) Snapshot(now time.Duration) scheduler.Snapshot {
	w := scheduler.Snapshot{Now: now, SuspectAfter: s.SuspectAfter(), Jobs: s.Jobs, Inventory: s.Inventory, Estimator: s.Estimator, UnresolvedUse: s.unresolvedUse, UnknownGrants: s.unresolvedUnnumbered > 0, Zone: s.Zones.Index, Pools: s.Pools, AcceleratedNeed: s.Scheduler.Accelerated(now, s.Jobs)}
	if s.StartPacer != nil {
		w.MayStart = func(j *jobs.Job, m *workers.Machine) bool { return s.StartPacer.Allows(now, j, m) }
	}
	return w
}
