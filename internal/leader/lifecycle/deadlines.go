package lifecycle

import (
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/settings"
)

const (
	// What addStartDeadline leaves for tasks that run longer than estimated, and for
	// placing all of a job.
	overrunFactor  = 1.2
	placingSeconds = 10

	// maxLeadShare is the largest share of a short objective in which a class's tasks go
	// ahead of the order: not all of the class goes ahead from the start.
	maxLeadShare = 0.7
)

// setDeadlines settles the times that count from a job's arrival, or from its release.
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

// applyFinishObjective settles the times that follow from an objective for a job's end.
func (c *Component) applyFinishObjective(j *jobs.Job, at time.Duration, objective settings.Objective) {
	c.addStartDeadline(j, at, objective.WithinS)
	j.Deadline = max(j.Deadline, at+settings.Seconds(objective.WithinS))
	j.LowRankAfterMissUntil = max(j.LowRankAfterMissUntil, at+settings.Seconds(objective.WithinS*c.Cfg.Tunables.LostBehind))
}

// applyWaitObjective settles the times that follow from an objective for a job's wait, and
// whether its starts are pushed to workers.
func (c *Component) applyWaitObjective(j *jobs.Job, at time.Duration, objective settings.Objective) {
	if c.Cfg.Tunables.WaitLeadS > 0 {
		c.addPriorityWindow(j, at, objective.WithinS)
	}
	if c.Cfg.Tunables.PushDispatches > 0 && j.Record.Kind != jobs.Gang && c.Cfg.NeedsDispatch(objective) {
		j.StartDirectly = true
	}
}

// addStartDeadline has a best-effort job, which goes behind the order at first, go ahead of
// it in time for an objective for its end, withinSeconds after at, and at once where that
// cannot be met: such jobs set the end of the day.
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

// addPriorityWindow has a job's waiting tasks go ahead of the order for a while before the
// latest time at which they should start, latestSeconds after at, and says from when on.
func (c *Component) addPriorityWindow(j *jobs.Job, at time.Duration, latestSeconds float64) time.Duration {
	from := at + settings.Seconds(latestSeconds-min(c.Cfg.Tunables.WaitLeadS, maxLeadShare*latestSeconds))
	window := [2]time.Duration{from, at + settings.Seconds(latestSeconds)}
	j.PriorityWindows = append(j.PriorityWindows, window)
	return from
}

// deferral is how long a job goes behind the order: best-effort work until some time before
// its class's tightest objective, so that small jobs of it do not jump the queue of those
// that are more urgent.
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
