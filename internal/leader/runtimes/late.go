package runtimes

import (
	"encoding/json"
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
)

// Late is a warning of a job that runs well past what its kind has shown.
type Late struct {
	Job      string  `json:"job"`
	Class    string  `json:"class"`
	Team     string  `json:"team"`
	Why      string  `json:"why"`
	RaisedMS int64   `json:"raised_at_ms"`
	LeadS    float64 `json:"lead_s"` // before its learned deadline it was raised
	AgeS     float64 `json:"age_s"`
	LearnedS float64 `json:"learned_deadline_s"` // from its acceptance or release
	EndS     float64 `json:"end_s"`              // expected, from its acceptance or release
}

const (
	// Jobs are checked for lateness this often at best, and no more often than leaves
	// lateCheckPerJob after each job that is checked.
	lateCheckInterval = time.Second
	lateCheckPerJob   = 5 * time.Millisecond
	// minLeadShare: a job that will not make its learned deadline is warned of at the
	// latest when this share of the learned time is left.
	minLeadShare = 0.2
	// slowTaskFactor times the learned 90th percentile a task must run to count as slow.
	slowTaskFactor = 2
)

// What a webhook is told of a warning.
const (
	warningRaised     = "raised"
	endedByCompletion = "done"
	endedByRemoval    = "over"
)

// webhookNotice is what the webhook is sent of a warning.
type webhookNotice struct {
	What string `json:"what"` // raised, done or over
	Late
}

// checkLateJobs raises and updates warnings.
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

func (d *Component) raiseWarning(now time.Duration, f Forecast, left time.Duration) *Late {
	warning := &Late{
		Job:      f.Job,
		Class:    f.job.Record.Class,
		Team:     f.job.Record.Team,
		RaisedMS: d.wallClock(now).UnixMilli(),
		LeadS:    left.Seconds(),
	}
	d.lateJobs[f.job.Record.ID] = warning
	return warning
}

// learnedDeadline is the learned time of jobs like one, with the operators' margin.
func (d *Component) learnedDeadline(e Estimate) time.Duration {
	return time.Duration(e.JobP90 * d.lateMargin * float64(time.Second))
}

// notifyWebhook sends a warning to the operators' webhook. A job is told of once each way,
// and again under the same id by a new leader, which does not know that it was.
func (d *Component) notifyWebhook(l Late, what string) {
	if d.Cfg.Tunables.WebhookURL == "" {
		return
	}
	raw, err := json.Marshal(webhookNotice{what, l})
	if err != nil {
		return // all numbers are finite
	}
	d.Emit(effects.Notify{ID: "late/" + l.Job + "/" + what, Body: raw})
}

// clearWarning ends a warning.
func (d *Component) clearWarning(id uint64, how string) {
	if l := d.lateJobs[id]; l != nil {
		delete(d.lateJobs, id)
		d.notifyWebhook(*l, how)
		d.LogMessage(effects.Info, "late job ended", "job", l.Job, "class", l.Class, "how", how)
	}
}

// delayReason says what a late job waits for, the worst first.
func (d *Component) delayReason(now time.Duration, j *jobs.Job, f Forecast) string {
	if d.MayRunUnseen(j) && j.Waiting > 0 {
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

// placedTasks counts a job's placed tasks. The slow ones are running too.
type placedTasks struct{ running, slow, fetching int }

// countPlacedTasks counts them, at a learned 90th percentile of their run time in seconds.
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
