package runtimes

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/wire"
)

const (
	// Jobs are looked at for lateness this often at best, and no more often than
	// leaves lookRest after each job that is looked at.
	lateCheckInterval = time.Second
	lateCheckPerJob   = 5 * time.Millisecond
	// warnShare of the learned time before a job's learned deadline it is warned of
	// at the latest, if it will not make it.
	minLeadShare = 0.2
)

// Forecast says when an open job should begin and end at the present rate. Times
// are seconds from now.
type Forecast struct {
	Job      string   `json:"job"`
	Kind     string   `json:"kind"`
	Waiting  int      `json:"waiting"`
	Placed   int      `json:"placed"`
	BeginS   float64  `json:"begin_s"`
	EndS     float64  `json:"end_s"`
	EndP90S  float64  `json:"end_p90_s"`
	LearnedS float64  `json:"learned_deadline_s,omitempty"` // until its learned deadline; 0: none was learned
	Misses   []string `json:"misses,omitempty"`
	Estimate Estimate `json:"estimate"`
	After    []string `json:"after,omitempty"` // jobs that it waits for

	job *jobs.Job
}

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

// forecasts goes through the order as the planner does: what stands ahead of a job
// takes the machines that report first.
func (d *Component) forecasts(now time.Duration) []Forecast {
	cpus := max(d.CPUs(), 1)
	w := d.Snapshot(now)
	var out []Forecast
	at := map[int32]int{} // by job index
	ahead := 0.0          // processor seconds
	for _, i := range d.Scheduler.JobOrder(&w) {
		j := d.Jobs.At(i)
		f, work := d.forecastJob(now, j, ahead/cpus, cpus)
		ahead += work
		at[i] = len(out)
		out = append(out, f)
	}
	// Jobs that are held begin when the last of those that they follow ends. Each is
	// settled once all of them are; a job never follows a later one.
	var held []*jobs.Job
	for _, j := range d.Jobs.All() {
		if j != nil && j.Phase == jobs.Held && len(j.Dependencies) > 0 {
			held = append(held, j)
		}
	}
	for len(held) > 0 {
		before := len(held)
		held = slices.DeleteFunc(held, func(j *jobs.Job) bool {
			begin, p90 := 0.0, 0.0
			for _, a := range j.Dependencies {
				n, known := at[a]
				if !known {
					return false
				}
				begin, p90 = max(begin, out[n].EndS), max(p90, out[n].EndP90S)
			}
			f, _ := d.forecastJob(now, j, begin, cpus)
			f.EndP90S += p90 - begin
			for _, a := range j.Dependencies {
				f.After = append(f.After, wire.FormatID(d.Jobs.At(a).Record.ID))
			}
			slices.Sort(f.After)
			at[j.Index] = len(out)
			out = append(out, f)
			return true
		})
		if len(held) == before {
			break // they wait for a job that has no end, a service
		}
	}
	return out
}

// forecastJob is that of one job that may begin so many seconds from now on, and how
// much work it is, in processor seconds.
func (d *Component) forecastJob(now time.Duration, j *jobs.Job, begin, cpus float64) (Forecast, float64) {
	e := d.estimateJob(now, j)
	f := Forecast{Job: wire.FormatID(j.Record.ID), Kind: d.kindOfJob(j).String(), Waiting: j.Waiting, Placed: j.Placed, Estimate: e, BeginS: begin, job: j}
	each := max(j.Share, j.Need.CPUs(), 0.001)
	if l := d.Scheduler.Limits[j.Team].CPU; l > 0 {
		cpus = min(cpus, float64(l)/1000)
	}
	abreast := max(1, min(float64(j.Waiting+j.Placed), cpus/each))
	// Half of what is placed is done, on average.
	tasks := float64(j.Waiting) + float64(j.Placed)/2
	rounds := max(1, tasks/abreast)
	if j.Placed > 0 {
		f.BeginS = 0
		if j.Waiting == 0 {
			rounds = .5
		}
	}
	if j.Waiting+j.Placed == 0 {
		rounds = 0
	}
	wait := 0.0
	if j.Waiting > 0 {
		wait = begin
	}
	f.EndS = wait + rounds*e.P50 + e.Fetch
	f.EndP90S = wait + max(rounds*e.P50, e.P90) + 2*e.Fetch
	if e.JobP90 > 0 {
		f.LearnedS = (j.AcceptedAt + d.learnedDeadline(e) - now).Seconds()
		if f.EndS > f.LearnedS {
			f.Misses = append(f.Misses, "its learned deadline")
		}
	}
	age := (now - j.AcceptedAt).Seconds()
	if j.Record.DeadlineS > 0 && age+f.EndS > j.Record.DeadlineS {
		f.Misses = append(f.Misses, "its deadline")
	}
	for _, o := range d.Cfg.Deployment.Objectives {
		if o.Class == j.Record.Class && o.Kind == settings.AimFinished && age+f.EndS > o.WithinS {
			f.Misses = append(f.Misses, fmt.Sprintf("its class's aim of %v s", o.WithinS))
		}
	}
	return f, tasks * e.P50 * each
}

// learnedDeadline is the learned time of jobs like one, with the operators' margin.
func (d *Component) learnedDeadline(e Estimate) time.Duration {
	return time.Duration(e.JobP90 * d.lateMargin * float64(time.Second))
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

// webhookNotice is what the webhook is sent of a warning.
type webhookNotice struct {
	What string `json:"what"` // raised, done or over
	Late
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

// shownKind is one kind as operators see it.
type shownKind struct {
	Name string `json:"name"`
	Kind
	Estimate Estimate      `json:"estimate"`
	Nights   [][11]float64 `json:"nights"`
}

// Show gives, as JSON, a list of kinds with their estimates and nights, or with the
// view "forecast" the open jobs in their order, or with "late" the warnings.
func (d *Component) Show(now time.Duration, view string) (json.RawMessage, error) {
	var out any
	switch view {
	case "forecast":
		out = append([]Forecast{}, d.forecasts(now)...)
	case "late":
		list := []Late{}
		for _, l := range d.lateJobs {
			list = append(list, *l)
		}
		slices.SortFunc(list, func(a, b Late) int {
			return cmp.Or(cmp.Compare(a.RaisedMS, b.RaisedMS), cmp.Compare(a.Job, b.Job))
		})
		out = list
	case "ahead":
		out = d.expectedDemand(now)
	case "":
		list := []shownKind{}
		for k, m := range d.model.histories {
			s := shownKind{Name: k.String(), Kind: k, Estimate: m.estimate(k, d.wallClock(now).Unix())}
			for _, n := range m.allNights() {
				s.Nights = append(s.Nights, n.numbers())
			}
			list = append(list, s)
		}
		slices.SortFunc(list, func(a, b shownKind) int { return cmp.Compare(a.Name, b.Name) })
		out = list
	default:
		return nil, cluster.ErrUnknownView
	}
	raw, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("run-times: %w", err)
	}
	return raw, nil
}
