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
	// Jobs are looked at for lateness this often at best, and no more often than
	// leaves lookRest after each job that is looked at.
	lateCheckInterval = time.Second
	lateCheckPerJob   = 5 * time.Millisecond
	// warnShare of the learned time before a job's learned deadline it is warned of
	// at the latest, if it will not make it.
	minLeadShare = 0.2
)

// webhookNotice is what the webhook is sent of a warning.
type webhookNotice struct {
	What string `json:"what"` // raised, done or over
	Late
}

// checkLateJobs raises, updates and clears warnings.
func (d *Component) checkLateJobs(now time.Duration) {
	for _, f := range d.forecasts(now) {
		j := f.job
		if f.Estimate.JobP90 <= 0 || j.Phase == jobs.Held {
			continue
		}
		learned := d.learnedDeadline(f.Estimate)
		left := j.AcceptedAt + learned - now
		l := d.lateJobs[j.Record.ID]
		if l == nil && (f.EndS <= left.Seconds() || float64(left) > minLeadShare*float64(learned)) {
			continue
		}
		age := (now - j.AcceptedAt).Seconds()
		why := d.delayReason(now, j, f)
		raised := l == nil
		if raised {
			l = &Late{Job: f.Job, Class: j.Record.Class, Team: j.Record.Team, RaisedMS: d.wallClock(now).UnixMilli(), LeadS: left.Seconds()}
			d.lateJobs[j.Record.ID] = l
			d.leadTimes.Observe(why, max(0, left.Seconds()))
			d.LogMessage(effects.Warn, "a job runs late", "job", f.Job, "class", j.Record.Class, "team", j.Record.Team, "why", why, "age", roundDigits(age), "learned_deadline", roundDigits(learned.Seconds()),
				"expected_end", roundDigits(age+f.EndS), "from", f.Estimate.From)
		}
		l.Why, l.AgeS, l.LearnedS, l.EndS = why, roundDigits(age), roundDigits(learned.Seconds()), roundDigits(age+f.EndS)
		if raised {
			d.notifyWebhook(*l, "raised")
		}
	}
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
		d.LogMessage(effects.Info, "a late job is over", "job", l.Job, "class", l.Class, "how", how)
	}
}

// delayReason says what a late job waits for, the worst first.
func (d *Component) delayReason(now time.Duration, j *jobs.Job, f Forecast) string {
	if d.MayRunUnseen(j) && j.Waiting > 0 {
		return "held back"
	}
	slow, fetching, running := 0, 0, 0
	for k, s := range j.Tasks {
		if s != jobs.Placed {
			continue
		}
		p := d.Placements[workers.Ref{Job: j.Index, Task: int32(k)}]
		switch {
		case p == nil || p.Planned:
		case p.Runs():
			running++
			if d.isSlow(p.Machine.Name) || (now-p.RanAt).Seconds() > 2*f.Estimate.P90 {
				slow++
			}
		case p.State == workers.Fetching:
			fetching++
		}
	}
	switch {
	case j.Waiting > 0 && j.Waiting >= running:
		return "more work than room"
	case fetching > running:
		return "slow image"
	case slow > 0:
		return "slow machine"
	case j.Waiting > 0:
		return "more work than room"
	}
	return "it takes longer than its kind"
}
