package lifecycle

import (
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/settings"
)

const (
	// Margins of addStartDeadline: a factor for tasks that run longer than estimated, and the
	// time for placing all tasks of a job.
	overrunFactor  = 1.2
	placingSeconds = 10

	// maxLeadShare is the largest share of the time before a job's latest start for which its
	// rank is raised. It prevents a short objective from raising the rank of all jobs of its
	// class from their arrival on.
	maxLeadShare = 0.7
)

// setDeadlines computes the times that are relative to a job's arrival or release: its deadline,
// and the times at which its rank is raised or lowered. In the scheduling order, jobs of raised
// rank precede, and jobs of lowered rank follow, all ordinary jobs.
func (c *Component) setDeadlines(j *jobs.Job, at time.Duration) {
	j.AcceptedAt = at
	j.PriorityWindows, j.Deadline, j.LowRankAfterMissUntil = nil, 0, 0
	j.LowRankUntil = at + c.deferral(j)
	for _, objective := range c.Cfg.Deployment.Objectives {
		if objective.Class != j.Record.Class {
			continue
		}
		switch objective.Kind {
		case settings.ObjectiveFinished:
			c.applyFinishObjective(j, at, objective)
		case settings.ObjectiveWait:
			c.applyWaitObjective(j, at, objective)
		}
	}
}

// applyFinishObjective computes the times that follow from an objective for a job's end.
func (c *Component) applyFinishObjective(j *jobs.Job, at time.Duration, objective settings.Objective) {
	c.addStartDeadline(j, at, objective.WithinS)
	j.Deadline = max(j.Deadline, at+settings.Seconds(objective.WithinS))
	j.LowRankAfterMissUntil = max(j.LowRankAfterMissUntil, at+settings.Seconds(objective.WithinS*c.Cfg.Tunables.LostBehind))
}

// applyWaitObjective computes the times that follow from an objective for a job's waiting
// time, and decides whether its starts are pushed to workers.
func (c *Component) applyWaitObjective(j *jobs.Job, at time.Duration, objective settings.Objective) {
	if c.Cfg.Tunables.WaitLeadS > 0 {
		c.addPriorityWindow(j, at, objective.WithinS)
	}
	if c.Cfg.Tunables.MaxPushDispatches > 0 && mayPushStarts(j) && c.Cfg.NeedsDispatch(objective) {
		j.PushDispatch = true
	}
}

// mayPushStarts reports whether starts of a job may be pushed to workers. The tasks of a gang start together. A
// late copy of the start of a task that is done could break the zone rule of an array whose other tasks run
// elsewhere by then; replicas of services are never done.
func mayPushStarts(j *jobs.Job) bool {
	return j.Record.Kind == jobs.Service || (j.Record.Kind == jobs.Array && !j.HasZoneRule())
}

// addStartDeadline adds a window in which the rank of a best-effort job, which is lowered at
// first, is raised so that the job ends within withinSeconds after at. If the estimate leaves no
// time for that, the window begins at once, because such jobs determine when the day's work
// ends.
func (c *Component) addStartDeadline(j *jobs.Job, at time.Duration, withinSeconds float64) {
	if j.Priority > 0 || c.Cfg.Tunables.WaitLeadS == 0 {
		return
	}
	latest := withinSeconds - overrunFactor*j.Record.EstimateS - placingSeconds
	if latest <= 0 {
		window := [2]time.Duration{at, at + settings.Seconds(withinSeconds)}
		j.PriorityWindows = append(j.PriorityWindows, window)
		j.LowRankUntil = 0
		return
	}
	j.LowRankUntil = min(j.LowRankUntil, c.addPriorityWindow(j, at, latest))
}

// addPriorityWindow adds a window in which the rank of a job is raised. The window ends at the
// latest time at which the job's tasks should start, latestSeconds after at. The function
// returns the beginning of the window.
func (c *Component) addPriorityWindow(j *jobs.Job, at time.Duration, latestSeconds float64) time.Duration {
	from := at + settings.Seconds(latestSeconds-min(c.Cfg.Tunables.WaitLeadS, maxLeadShare*latestSeconds))
	window := [2]time.Duration{from, at + settings.Seconds(latestSeconds)}
	j.PriorityWindows = append(j.PriorityWindows, window)
	return from
}

// deferral returns for how long a job's rank is lowered: for best-effort work, until LowLeadS
// seconds before its class's tightest objective. Otherwise small best-effort jobs would be
// ordered before more urgent ones.
func (c *Component) deferral(j *jobs.Job) time.Duration {
	if j.Priority > 0 || c.Cfg.Tunables.LowLeadS == 0 {
		return 0
	}
	tightest := 0.0
	for _, objective := range c.Cfg.Deployment.Objectives {
		if objective.Class != j.Record.Class || objective.WithinS <= 0 {
			continue
		}
		if tightest == 0 || objective.WithinS < tightest {
			tightest = objective.WithinS
		}
	}
	return settings.Seconds(max(0, tightest-c.Cfg.Tunables.LowLeadS))
}
