package lifecycle

import (
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/wire"
)

// Admission control: while more than maxPendingEntries entries wait to be written, submissions
// are refused with a time after which to retry.
const (
	maxPendingEntries  = 2000
	busyRetryAfterSecs = 2
)

// HTTP statuses of answers.
const (
	statusOK            = 200
	statusCreated       = 201
	statusBadRequest    = 400
	statusNotFound      = 404
	statusUnprocessable = 422
	statusTooMany       = 429
)

// Submit handles a submission. It is idempotent: a repeated submission of a known job is
// answered with the job's state, or once the job's acceptance is durable if it is pending.
func (c *Component) Submit(now time.Duration, to effects.RequestID, s wire.Submission) {
	if j := c.Jobs.ByID(s.ID); j != nil && j.Phase == jobs.Accepting {
		c.submitRequests[s.ID] = append(c.submitRequests[s.ID], to)
		return
	}
	if state, known := c.jobState(s.ID); known {
		c.reply(to, state)
		return
	}
	if refusal := c.refusal(s); refusal != nil {
		c.reply(to, *refusal)
		return
	}
	s.Job.AtMS = c.ClockOriginUnixMS + now.Milliseconds()
	if refusal := c.storageRefusal(s.Job); refusal != nil {
		c.reply(to, *refusal)
		return
	}
	j := c.addJob(*s.Job, now)
	c.resolveTypes(j)
	c.submitRequests[s.ID] = append(c.submitRequests[s.ID], to)
	c.EventLog.AppendTracked(c.acceptanceEntry(j))
}

// refusal returns the answer to a submission that cannot be accepted because of its contents,
// or because its contents cannot be checked yet. It returns nil if it may be accepted.
func (c *Component) refusal(s wire.Submission) *effects.Answer {
	if s.Job == nil {
		return &effects.Answer{Status: statusBadRequest, Why: s.Bad}
	}
	if len(c.Types) == 0 {
		return unavailable("the machine types are not known yet")
	}
	if reason := c.rejectionReason(s.Job); reason != "" {
		return &effects.Answer{Status: statusUnprocessable, Why: reason}
	}
	if refusal := c.poolRefusal(s.Job); refusal != nil {
		return refusal
	}
	reason, known := c.dependencyProblem(s.Job)
	if !known {
		return unavailable(reason)
	}
	if reason != "" {
		return &effects.Answer{Status: statusUnprocessable, Why: reason}
	}
	return nil
}

// poolRefusal returns the answer to a job that needs units of pools which it cannot get, or nil.
func (c *Component) poolRefusal(rec *eventlog.Job) *effects.Answer {
	if len(rec.Counted) == 0 {
		return nil
	}
	if c.Pools == nil {
		return unavailable("counted: the leader has no pools in its settings")
	}
	if reason := c.Pools.UnsatisfiableReason(rec); reason != "" {
		return &effects.Answer{Status: statusUnprocessable, Why: reason}
	}
	return nil
}

// storageRefusal returns the answer to a job that is too large to be stored, or that cannot be
// stored now because too many entries are pending. It returns nil otherwise.
func (c *Component) storageRefusal(rec *eventlog.Job) *effects.Answer {
	if stored, _ := c.storedForm(*rec); !c.EventLog.Fits(eventlog.Entry{Job: &stored}) {
		return &effects.Answer{Status: statusBadRequest, Why: "breeds and other names: too long to be stored"}
	}
	if c.EventLog.PendingCount() > maxPendingEntries {
		return &effects.Answer{
			Status:     statusTooMany,
			Why:        "too much is waiting to be written",
			RetryAfter: busyRetryAfterSecs,
		}
	}
	return nil
}

func unavailable(reason string) *effects.Answer {
	answer := effects.Unavailable(reason)
	return &answer
}

// rejectionReason returns why a job can never run, or "" if it can.
func (c *Component) rejectionReason(rec *eventlog.Job) string {
	team, ok := c.Teams.Lookup(rec.Team)
	if !ok || !c.HasTeam(team) {
		return "keeper: no such team"
	}
	need := resources.Need(rec.CPUs, rec.GPUs, rec.MemoryGB)
	fits := slices.ContainsFunc(c.Types, func(machineType eventlog.MachineType) bool {
		return need.Fits(resources.Room(machineType.CPUs, machineType.GPUs, machineType.MemoryGB)) &&
			(rec.Types == nil || slices.Contains(rec.Types, machineType.Name)) &&
			(rec.Zone == "" || slices.Contains(machineType.Zones, rec.Zone))
	})
	if !fits {
		return "a task fits no allowed machine type"
	}
	atOnce := need
	if rec.Kind != jobs.Array {
		atOnce = need.Times(rec.Tasks)
	}
	limit := c.Scheduler.Limits[team]
	if (limit.CPU > 0 && atOnce.CPU > limit.CPU) || (limit.GPU > 0 && atOnce.GPU > limit.GPU) {
		return "more than the team's limit"
	}
	return ""
}

// addJob adds a submitted or replayed job to the table.
func (c *Component) addJob(rec eventlog.Job, now time.Duration) *jobs.Job {
	rec.DecodePoolUnits()
	j := c.Jobs.Add(rec)
	j.Team = c.TeamIndex(rec.Team) // possibly no longer configured; its jobs stay accepted
	j.Image = c.Images.Index(rec.Image)
	j.UseSpot = rec.Spot && (rec.Checkpoint > 0 || rec.EstimateS <= c.Cfg.Tunables.SpotTaskS)
	c.setDeadlines(j, c.toClock(rec.AtMS, now))
	return j
}

// acceptanceEntry returns the log entry of a job's acceptance. If its dependencies do not fit
// into that entry, it first appends separate entries for them, once for each job.
func (c *Component) acceptanceEntry(j *jobs.Job) eventlog.Entry {
	stored, parts := c.storedForm(j.Record)
	if j.Record.Rest == 0 {
		for _, part := range parts {
			c.EventLog.Append(part)
		}
	}
	j.Record.Rest = stored.Rest
	return eventlog.Entry{Job: &stored}
}

// acceptanceDurable handles a durable acceptance: it answers the submissions, and the job
// enters the order unless it waits for others.
func (c *Component) acceptanceDurable(now time.Duration, leaseValid bool, id uint64) {
	j := c.Jobs.ByID(id)
	j.Phase = jobs.Open
	if len(c.cancelRequests[id]) > 0 {
		j.Phase = jobs.Cancelling
	}
	switch resolved := c.resolveDependencies(j); {
	case !resolved:
		c.applyCancellation(leaseValid, j)
		c.Counts.CancelSpread++
		c.LogMessage(effects.Info, "job cancelled on arrival, dependency cancelled", "job", id)
	case len(j.Dependencies) == 0:
		c.enqueue(now, j)
	case j.Phase == jobs.Open:
		j.Phase = jobs.Held
	}
	c.answerSubmissions(leaseValid, id)
	if j.Phase == jobs.Cancelled {
		c.answerCancellations(leaseValid, id)
	}
}

// enqueue adds a job to the scheduling order.
func (c *Component) enqueue(now time.Duration, j *jobs.Job) {
	c.Estimator.Age(now.Seconds(), c.CPUs())
	if j.Record.Kind != jobs.Service {
		c.Estimator.Add(j.Index, j.Team, len(j.Tasks), j.Record.CPUs, j.Record.Kind == jobs.Gang)
	}
	c.Publish(cluster.Event{Kind: cluster.JobEnqueued, At: now, Job: j})
	c.NeedsCycle = true
}
