package runtimes

import (
	"fmt"
	"slices"
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/wire"
)

// Forecast is when an open job is expected to begin and end at the present rate. Times
// are in seconds from now.
type Forecast struct {
	Job      string   `json:"job"`
	Kind     string   `json:"kind"`
	Waiting  int      `json:"waiting"` // number of waiting tasks
	Placed   int      `json:"placed"`  // number of placed tasks
	BeginS   float64  `json:"begin_s"`
	EndS     float64  `json:"end_s"`
	EndP90S  float64  `json:"end_p90_s"`
	LearnedS float64  `json:"learned_deadline_s,omitempty"` // until its learned deadline; 0: there is none
	Misses   []string `json:"misses,omitempty"`             // deadlines that it is expected to miss
	Estimate Estimate `json:"estimate"`
	After    []string `json:"after,omitempty"` // jobs that it depends on

	job *jobs.Job
}

// forecasts returns the forecasts of the open jobs in the scheduler's order, then those of the held
// jobs. An open job begins once the work before it is done on the machines that report.
func (d *Component) forecasts(now time.Duration) []Forecast {
	list := &forecastList{byJob: map[int32]int{}}
	cpus := max(d.CPUs(), 1)
	snapshot := d.Snapshot(now)
	ahead := 0.0 // work of the jobs before this one, in CPU seconds
	for _, i := range d.Scheduler.JobOrder(&snapshot) {
		f, work := d.forecastJob(now, d.Jobs.ByIndex(i), ahead/cpus, cpus)
		ahead += work
		list.add(f)
	}
	d.forecastHeld(now, cpus, list)
	return list.forecasts
}

// forecastList collects forecasts.
type forecastList struct {
	forecasts []Forecast
	byJob     map[int32]int // position in forecasts, by job index
}

func (l *forecastList) add(f Forecast) {
	l.byJob[f.job.Index] = len(l.forecasts)
	l.forecasts = append(l.forecasts, f)
}

// latestEnd returns when the last of the listed jobs ends, as median and 90th percentile. known is
// false if one of them has no forecast.
func (l *forecastList) latestEnd(list []int32) (end, p90 float64, known bool) {
	for _, i := range list {
		n, known := l.byJob[i]
		if !known {
			return 0, 0, false
		}
		end, p90 = max(end, l.forecasts[n].EndS), max(p90, l.forecasts[n].EndP90S)
	}
	return end, p90, true
}

// forecastHeld adds the held jobs, which begin when the last of their dependencies ends.
// A job is forecast once all of its dependencies are. Dependencies cannot form a cycle, because
// a job never depends on a later one.
func (d *Component) forecastHeld(now time.Duration, cpus float64, list *forecastList) {
	var held []*jobs.Job
	for _, j := range d.Jobs.All() {
		if j != nil && j.Phase == jobs.Held && len(j.Dependencies) > 0 {
			held = append(held, j)
		}
	}
	for len(held) > 0 {
		before := len(held)
		held = slices.DeleteFunc(held, func(j *jobs.Job) bool {
			begin, p90, known := list.latestEnd(j.Dependencies)
			if !known {
				return false
			}
			f, _ := d.forecastJob(now, j, begin, cpus)
			f.EndP90S += p90 - begin
			for _, dependency := range j.Dependencies {
				f.After = append(f.After, wire.FormatID(d.Jobs.ByIndex(dependency).Record.ID))
			}
			slices.Sort(f.After)
			list.add(f)
			return true
		})
		if len(held) == before {
			return // they depend on a job that has no end, such as a service
		}
	}
}

// minTaskCPUs is the minimum number of processors that a task counts for.
const minTaskCPUs = 0.001

// milliPerCPU is the number of the scheduler's CPU units per processor.
const milliPerCPU = 1000

// forecastJob returns the forecast of a job that can begin in the given number of seconds, and
// its remaining work in CPU seconds.
func (d *Component) forecastJob(now time.Duration, j *jobs.Job, begin, cpus float64) (Forecast, float64) {
	e := d.estimateJob(now, j)
	f := Forecast{
		Job:      wire.FormatID(j.Record.ID),
		Kind:     d.kindOfJob(j).String(),
		Waiting:  j.Waiting,
		Placed:   j.Placed,
		Estimate: e,
		BeginS:   begin,
		job:      j,
	}
	if j.Placed > 0 {
		f.BeginS = 0
	}
	perTask := max(j.CPUShare, j.Need.CPUs(), minTaskCPUs)
	if limit := d.Scheduler.Limits[j.Team].CPU; limit > 0 {
		cpus = min(cpus, float64(limit)/milliPerCPU)
	}
	tasks, rounds := remainingRounds(j, cpus/perTask)
	wait := 0.0
	if j.Waiting > 0 {
		wait = begin
	}
	f.EndS = wait + rounds*e.P50 + e.Fetch
	f.EndP90S = wait + max(rounds*e.P50, e.P90) + 2*e.Fetch
	if e.JobP90 > 0 {
		f.LearnedS = (j.AcceptedAt + d.learnedDeadline(e) - now).Seconds()
	}
	f.Misses = d.missedDeadlines(now, &f)
	return f, tasks * e.P50 * perTask
}

// remainingRounds returns how many tasks of a job are left, and in how many successive rounds they
// run if at most the given number run in parallel.
func remainingRounds(j *jobs.Job, parallel float64) (tasks, rounds float64) {
	parallelTasks := max(1, min(float64(j.Waiting+j.Placed), parallel))
	// A placed task is half done on average.
	tasks = float64(j.Waiting) + float64(j.Placed)/2
	switch {
	case j.Waiting+j.Placed == 0:
		rounds = 0
	case j.Waiting == 0:
		rounds = .5
	default:
		rounds = max(1, tasks/parallelTasks)
	}
	return tasks, rounds
}

// missedDeadlines lists the deadlines that a job is expected to miss.
func (d *Component) missedDeadlines(now time.Duration, f *Forecast) (misses []string) {
	j := f.job
	if f.Estimate.JobP90 > 0 && f.EndS > f.LearnedS {
		misses = append(misses, "its learned deadline")
	}
	age := (now - j.AcceptedAt).Seconds()
	if j.Record.DeadlineS > 0 && age+f.EndS > j.Record.DeadlineS {
		misses = append(misses, "its deadline")
	}
	for _, o := range d.Cfg.Deployment.Objectives {
		if o.Class == j.Record.Class && o.Kind == settings.ObjectiveFinished && age+f.EndS > o.WithinS {
			misses = append(misses, fmt.Sprintf("its class's aim of %v s", o.WithinS))
		}
	}
	return misses
}
