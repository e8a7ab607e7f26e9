package runtimes

import (
	"encoding/json"
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
)

// LateJob is a warning about a job that is expected to miss its learned deadline.
type LateJob struct {
	Job      string  `json:"job"`
	Class    string  `json:"class"`
	Team     string  `json:"team"`
	Why      string  `json:"why"`
	RaisedMS int64   `json:"raised_at_ms"`       // Unix time in milliseconds
	LeadS    float64 `json:"lead_s"`             // time from the warning to the learned deadline
	AgeS     float64 `json:"age_s"`              // at the last check, from its acceptance or release
	LearnedS float64 `json:"learned_deadline_s"` // from its acceptance or release
	EndS     float64 `json:"end_s"`              // expected, from its acceptance or release
}

const (
	// Jobs are checked for lateness at most once per lateCheckInterval, and with many jobs
	// at most once per lateCheckPerJob times the number of jobs.
	lateCheckInterval = time.Second
	lateCheckPerJob   = 5 * time.Millisecond
	// minLeadShare delays warnings: a job that is expected to miss its learned deadline is
	// reported only when at most this share of the learned time is left.
	minLeadShare = 0.2
	// slowTaskFactor is how many times the learned 90th percentile a task must run to count as slow.
	slowTaskFactor = 2
)

// Values of webhookNotice.What.
const (
	warningRaised     = "raised"
	endedByCompletion = "done"
	endedByRemoval    = "over"
)

// webhookNotice is the body of a webhook message about a warning.
type webhookNotice struct {
	What string `json:"what"` // raised, done or over
	LateJob
}

// checkLateJobs raises and updates the warnings of all open jobs that have a learned deadline.
func (d *Component) checkLateJobs(now time.Duration) {
	for _, f := range d.forecasts(now) {
		if f.Estimate.JobP90 > 0 && f.job.Phase != jobs.Held {
			d.checkLateJob(now, f)
		}
	}
}

func (d *Component) checkLateJob(now time.Duration, f Forecast) {
	j := f.job
	learned := d.learnedDeadline(f.Estimate)
	left := j.AcceptedAt + learned - now
	warning := d.lateJobs[j.Record.ID]
	onTime := f.EndS <= left.Seconds() || float64(left) > minLeadShare*float64(learned)
	if warning == nil && onTime {
		return
	}
	age := (now - j.AcceptedAt).Seconds()
	why := d.delayReason(now, j, f)
	isNew := warning == nil
	if isNew {
		warning = d.raiseWarning(now, f, left)
		d.leadTimes.Observe(why, max(0, left.Seconds()))
		d.LogMessage(effects.Warn, "job runs late", "job", f.Job, "class", j.Record.Class, "team", j.Record.Team,
			"why", why, "age", roundDigits(age), "learned_deadline", roundDigits(learned.Seconds()),
			"expected_end", roundDigits(age+f.EndS), "from", f.Estimate.From)
	}
	warning.Why = why
	warning.AgeS = roundDigits(age)
	warning.LearnedS = roundDigits(learned.Seconds())
	warning.EndS = roundDigits(age + f.EndS)
	if isNew {
		d.notifyWebhook(*warning, warningRaised)
	}
}

func (d *Component) raiseWarning(now time.Duration, f Forecast, left time.Duration) *LateJob {
	warning := &LateJob{
		Job:      f.Job,
		Class:    f.job.Record.Class,
		Team:     f.job.Record.Team,
		RaisedMS: d.wallClock(now).UnixMilli(),
		LeadS:    left.Seconds(),
	}
	d.lateJobs[f.job.Record.ID] = warning
	return warning
}

// learnedDeadline returns the learned 90th percentile of the job time, times the late margin of the
// settings.
func (d *Component) learnedDeadline(e Estimate) time.Duration {
	return time.Duration(e.JobP90 * d.lateMargin * float64(time.Second))
}

// notifyWebhook sends a warning to the operators' webhook. Each leader sends one message for each
// event of a job. A new leader may send it again under the same id, because it does not have
// its predecessor's warnings.
func (d *Component) notifyWebhook(l LateJob, what string) {
	if d.Cfg.Tunables.WebhookURL == "" {
		return
	}
	raw, err := json.Marshal(webhookNotice{what, l})
	if err != nil {
		return // all numbers are finite
	}
	d.Emit(effects.Notify{ID: "late/" + l.Job + "/" + what, Body: raw})
}

// clearWarning removes a job's warning, if there is one, notifies the webhook and logs it.
func (d *Component) clearWarning(id uint64, how string) {
	if l := d.lateJobs[id]; l != nil {
		delete(d.lateJobs, id)
		d.notifyWebhook(*l, how)
		d.LogMessage(effects.Info, "late job ended", "job", l.Job, "class", l.Class, "how", how)
	}
}

// delayReason returns why a job is late. The most important reason takes precedence.
func (d *Component) delayReason(now time.Duration, j *jobs.Job, f Forecast) string {
	if d.MayRunUnreported(j) && j.Waiting > 0 {
		return "held back"
	}
	tasks := d.countPlacedTasks(now, j, f.Estimate.P90)
	switch {
	case j.Waiting > 0 && j.Waiting >= tasks.running:
		return "more work than room"
	case tasks.fetching > tasks.running:
		return "slow image"
	case tasks.slow > 0:
		return "slow machine"
	case j.Waiting > 0:
		return "more work than room"
	}
	return "it takes longer than its kind"
}

// placedTasks counts a job's placed tasks. Slow tasks are also counted as running.
type placedTasks struct{ running, slow, fetching int }

// countPlacedTasks counts a job's placed tasks. p90 is the learned 90th percentile of their run time
// in seconds.
func (d *Component) countPlacedTasks(now time.Duration, j *jobs.Job, p90 float64) (n placedTasks) {
	for k, s := range j.Tasks {
		if s != jobs.Placed {
			continue
		}
		p := d.Placements[workers.TaskRef{Job: j.Index, Task: int32(k)}]
		switch {
		case p == nil || p.Planned:
		case p.IsRunning():
			n.running++
			if d.isSlow(p.Machine.Name) || (now-p.RunningSince).Seconds() > slowTaskFactor*p90 {
				n.slow++
			}
		case p.State == workers.Fetching:
			n.fetching++
		}
	}
	return n
}
