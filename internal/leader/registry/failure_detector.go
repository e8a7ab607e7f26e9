package registry

import (
	"slices"
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

const (
	checkInterval = 500 * time.Millisecond

	// bootGracePeriod is added to the usual time of a machine's boot before it is given up.
	bootGracePeriod = 20 * time.Second

	// lostLeaseFactor is the share of the workers' lease after which a worker that hears
	// nothing has certainly lost it.
	lostLeaseFactor = 1.2

	// overdueStopShare is the share of the time within which a cancellation must be
	// done, after which tasks that were told to stop and are still there are overdue.
	overdueStopShare = 0.5

	// A checkpointed task on a spot machine that will be taken is saved and stopped this long
	// before, beside the time it takes to save: a fixed reserve, and heartbeat intervals.
	saveReserveSeconds   = 2
	saveReserveIntervals = 1.5
)

// failureCheck holds what is the same for all machines in one run of the failure detector.
type failureCheck struct {
	now               time.Duration
	leaseValid        bool
	mostSilent        bool          // most machines of the fleet are silent
	silenceLimit      time.Duration // a machine silent for longer is given up
	overdueStop       time.Duration // a stop that takes longer is overdue
	lateCancellations []*jobs.Job   // cancelled jobs whose tasks should have stopped by now
}

// verdict is what the failure detector decides on a machine; without a reason it stays.
type verdict struct {
	action cluster.Action
	reason string
}

// detectFailures checks every machine: silent ones, boots that take too long, notices of
// spot machines to be taken, tasks that were to be stopped and are still there.
func (d *Component) detectFailures(now time.Duration, leaseValid bool) {
	check := d.newFailureCheck(now, leaseValid)
	for _, m := range slices.Clone(d.Inventory.All()) {
		if m.Deleting {
			continue
		}
		if now-d.lastHeard(m) > d.SuspectAfter() {
			d.CancelPlans(m)
		}
		if v := d.judge(check, m); v.reason != "" {
			d.Decommission(now, m, v.action, v.reason)
		}
		if m.PreemptionNotice || m.Draining {
			d.evacuate(now, m)
		}
	}
}

// newFailureCheck takes stock of the fleet and of the cancellations under way.
func (d *Component) newFailureCheck(now time.Duration, leaseValid bool) failureCheck {
	w := d.Cfg.Deployment.Workers
	check := failureCheck{
		now:          now,
		leaseValid:   leaseValid,
		silenceLimit: d.GiveUpAfter(),
		mostSilent:   d.MostMachinesSilent(now),
		overdueStop:  settings.Seconds(overdueStopShare * w.CancelS),
	}
	if check.mostSilent {
		// Most of them at once: the fault is more likely on the leader's side.
		check.silenceLimit = max(check.silenceLimit, settings.Seconds(lostLeaseFactor*w.LeaseS))
	}
	d.trackZoneOutages(now, check.mostSilent)
	d.zoneReachable = d.reachableZones(now)
	for _, j := range d.Jobs.All() {
		if j != nil && j.Phase == jobs.Cancelling && now-j.CancelAskedAt > check.overdueStop {
			check.lateCancellations = append(check.lateCancellations, j)
		}
	}
	return check
}

// lastHeard is when the machine was last heard in this term, or the term's beginning.
func (d *Component) lastHeard(m *workers.Machine) time.Duration {
	return max(m.LastHeartbeat, d.TermBegan)
}

// judge decides whether a machine is decommissioned. The rules apply in this order; the
// first that matches decides.
func (d *Component) judge(check failureCheck, m *workers.Machine) verdict {
	if check.leaseValid {
		if v := d.judgeCancellation(check, m); v.reason != "" {
			return v
		}
		if v, decided := d.judgeSilence(check, m); decided {
			return v
		}
		if v := d.judgeDelivery(check.now, m); v.reason != "" {
			return v
		}
	}
	switch {
	case m.PreemptionNotice && check.now > m.PreemptedAt:
		return verdict{cluster.Return, "taken by the cloud"}
	case m.PreemptionNotice && len(m.Tasks) == 0:
		return verdict{cluster.Return, "to be taken by the cloud"}
	case len(m.Orphans) > 0 && check.now-m.OrphansSince > check.overdueStop:
		return verdict{cluster.Delete, "tasks that do not stop"}
	}
	return verdict{}
}

// judgeCancellation gives up a machine that keeps a cancellation from its end. The deletion
// proves that the tasks are gone. Without a valid lease the user could not be told so.
func (d *Component) judgeCancellation(check failureCheck, m *workers.Machine) verdict {
	mayHaveTask := func(j *jobs.Job) bool { return d.mayHaveTaskOn(j, m) }
	silent := check.now-d.lastHeard(m) > d.SuspectAfter()
	switch {
	case slices.ContainsFunc(check.lateCancellations, mayHaveTask):
		return verdict{cluster.Delete, "a cancelled job's task not proved gone"}
	case !check.mostSilent && silent && d.hasOnlyCancelledTasks(m):
		return verdict{cluster.Delete, "silent, with nothing but cancelled jobs' tasks"}
	}
	return verdict{}
}

// judgeSilence gives up a machine that was silent for too long or never booted. decided with
// an empty verdict means that the machine is waited for whatever else is found.
func (d *Component) judgeSilence(check failureCheck, m *workers.Machine) (v verdict, decided bool) {
	now, heard := check.now, d.lastHeard(m)
	overLimit := (m.Up || m.Durable) && now-heard > check.silenceLimit
	switch {
	case !m.Up && m.Durable && now-d.TermBegan <= d.SilenceAllowance():
		return verdict{}, true // its worker may live, and be on its way to this leader
	case overLimit && d.toleratesSilence(now, m):
		return verdict{}, true // it is waited for with its whole zone
	case m.Durable && d.probesUnanswered(m, heard):
		return verdict{cluster.Delete, "does not answer"}, true
	case overLimit:
		return verdict{cluster.Delete, "silent"}, true
	case !m.Up && !m.Durable && now-m.RentedAt > d.bootLimit(m):
		return verdict{cluster.Delete, "never came up"}, true
	}
	return verdict{}, false
}

// bootLimit is how long after its rental a machine may report for the first time.
func (d *Component) bootLimit(m *workers.Machine) time.Duration {
	return settings.Seconds(d.Cfg.Tunables.BootGiveUpTimes*d.Types[m.Type].BootS) + bootGracePeriod
}

// judgeDelivery gives up a machine that commands may reach too late or not at all.
func (d *Component) judgeDelivery(now time.Duration, m *workers.Machine) verdict {
	switch {
	case m.Quarantined:
		return verdict{cluster.Delete, "a start sent to it may be carried out by its next life"}
	case m.Unreachable(now, settings.Seconds(lostLeaseFactor*d.Cfg.Deployment.Workers.LeaseS)):
		return verdict{cluster.Delete, "does not hear"}
	}
	return verdict{}
}

// evacuate stops the tasks of a machine that is to be taken or returned where they gain by
// it: services, which are replaced elsewhere, and checkpointed tasks just before the end.
func (d *Component) evacuate(now time.Duration, m *workers.Machine) {
	w := d.Cfg.Deployment.Workers
	for _, p := range m.Tasks {
		if p.Planned || p.Stopping {
			continue
		}
		j := d.Jobs.ByIndex(p.Ref.Job)
		switch {
		case j.Record.Kind == jobs.Service:
			p.Stopping, p.GraceSeconds = true, j.Record.SaveS // replaced elsewhere once it is gone
		case m.PreemptionNotice && j.Record.Checkpoint > 0 && p.State == workers.Running:
			saveTime := settings.Seconds(j.Record.SaveS + saveReserveSeconds + saveReserveIntervals*w.ReportS + d.GangNotifySeconds(j))
			if m.PreemptedAt-now < saveTime {
				d.SaveAndStop(now, j, p)
			}
		}
	}
}

// mayHaveTaskOn says whether a job may have a task on a machine, as far as is proved.
func (d *Component) mayHaveTaskOn(j *jobs.Job, m *workers.Machine) bool {
	if m.Unresolved() {
		return d.MayRunUnseen(j) && m.MayHaveTasksOf(j.Record.ID)
	}
	for _, p := range m.Tasks {
		if p.Ref.Job == j.Index && !p.Planned {
			return true
		}
	}
	return false
}

// hasOnlyCancelledTasks says whether all that counts as being on a machine belongs to jobs
// that are being cancelled: then nothing is lost with it, and their users wait.
func (d *Component) hasOnlyCancelledTasks(m *workers.Machine) bool {
	if len(m.Tasks) == 0 || m.Unresolved() {
		return false
	}
	for _, p := range m.Tasks {
		if d.Jobs.ByIndex(p.Ref.Job).Phase != jobs.Cancelling {
			return false
		}
	}
	return true
}

// probesUnanswered says whether enough liveness probes of a silent machine went unanswered
// while its zone is reachable: it is then given up before others.
func (d *Component) probesUnanswered(m *workers.Machine, heard time.Duration) bool {
	limit := d.Cfg.Tunables.ProbeSilent
	if limit <= 0 || m.UnansweredProbes < limit || m.UnansweredSince < heard {
		return false
	}
	return int(m.Zone) < len(d.zoneReachable) && d.zoneReachable[m.Zone]
}
