package runtimes

import (
	"fmt"
	"slices"
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/wire"
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
