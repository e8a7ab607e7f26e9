package runtimes

import (
	"slices"

	"github.com/DataDog/sketches-go/ddsketch"
)

const (
	maxNights = 9 // closed nights to keep; one outlier among them hardly moves the median
	// A kind's own history is used once it has at least enoughJobs jobs with enoughTasks tasks
	// in total, or at least enoughJobsAlone jobs with any number of tasks.
	enoughJobs      = 2
	enoughTasks     = 10
	enoughJobsAlone = 4
	maxNightWeight  = 200 // in tasks; more tasks do not increase a night's weight
)

// unknownSpread is the minimum of p90/p50-1 for a kind that was seen in one night only. It is
// divided by the number of nights.
const unknownSpread = .3

// history is the history of one kind.
type history struct {
	nights       []Night // closed nights, ordered by day
	open         *night
	lastRecordAt int64           // Unix time of its last record, in seconds
	summary      *historySummary // of all nights; nil: must be recomputed
}

// historySummary combines all nights of a kind.
type historySummary struct {
	estimate                     Estimate
	ratioP10, ratioP50, ratioP90 float64 // ratio of task times to their owners' estimates: p10, p50, p90
}

// night holds the observations of an open night.
type night struct {
	day                      int32
	jobs, tasks              int
	task, fetch, job, ratios *ddsketch.DDSketch
}

// Night is the summary of a kind's closed night. Times are in seconds.
type Night struct {
	Day                          int32
	Jobs, Tasks                  int
	P50, P90                     float64 // of task times
	Fetch                        float64 // median time from a task's placement to its start
	JobP50, JobP90               float64 // of job times, from acceptance to end
	RatioP10, RatioP50, RatioP90 float64 // of the ratios of task times to their owners' estimates
}

// addRecord adds a record to its night, and closes the open night if the record is of a later one.
// A record of a night that is closed for this kind is ignored because it was already counted.
func (h *history) addRecord(r *RunRecord) {
	if len(h.nights) > 0 && r.Day <= h.nights[len(h.nights)-1].Day {
		return
	}
	if h.open != nil && r.Day < h.open.day {
		return
	}
	if h.open != nil && r.Day > h.open.day {
		h.closeNight()
	}
	if h.open == nil {
		h.open = &night{day: r.Day, task: newSketch(), fetch: newSketch(), job: newSketch(), ratios: newSketch()}
	}
	h.lastRecordAt = max(h.lastRecordAt, r.At)
	h.summary = nil
	open := h.open
	open.jobs++
	open.tasks += r.CountedTasks
	for i, v := range r.TaskQuantiles {
		addToSketch(open.task, v, quantileWeights[i]*float64(r.CountedTasks))
		if r.Estimate > 0 {
			addToSketch(open.ratios, v/r.Estimate, quantileWeights[i]*float64(min(r.CountedTasks, enoughTasks)))
		}
	}
	addToSketch(open.fetch, r.Fetch, 1)
	addToSketch(open.job, r.Job, 1)
}

// closeNight replaces the open night by its summary.
func (h *history) closeNight() {
	if h.open == nil {
		return
	}
	h.nights = append(h.nights, h.open.close())
	if over := len(h.nights) - maxNights; over > 0 {
		h.nights = slices.Delete(h.nights, 0, over)
	}
	h.open, h.summary = nil, nil
}

func (o *night) close() Night {
	return Night{
		Day:      o.day,
		Jobs:     o.jobs,
		Tasks:    o.tasks,
		P50:      quantile(o.task, .5),
		P90:      quantile(o.task, .9),
		Fetch:    quantile(o.fetch, .5),
		JobP50:   quantile(o.job, .5),
		JobP90:   quantile(o.job, .9),
		RatioP10: quantile(o.ratios, .1),
		RatioP50: quantile(o.ratios, .5),
		RatioP90: quantile(o.ratios, .9),
	}
}

// allNights returns all nights, including a summary of the open one so far.
func (h *history) allNights() []Night {
	if h.open == nil {
		return h.nights
	}
	return append(h.nights[:len(h.nights):len(h.nights)], h.open.close())
}

func (h *history) hasEnoughData() bool {
	e := &h.summarize().estimate
	return e.Jobs >= enoughJobs && e.Tasks >= enoughTasks || e.Jobs >= enoughJobsAlone
}

// estimate returns the estimate from a kind's own history.
func (h *history) estimate(k Kind, now int64) Estimate {
	e := h.summarize().estimate
	e.From, e.AgeS = k.Level(), float64(max(0, now-h.lastRecordAt))
	return e
}

// lastDay returns the day of the last closed night, or noDay if there is none.
func (h *history) lastDay() int32 {
	if len(h.nights) == 0 {
		return noDay
	}
	return h.nights[len(h.nights)-1].Day
}

// noDay stands for no night.
const noDay = -1

// summarize returns the summary of all nights, computing it if necessary.
func (h *history) summarize() *historySummary {
	if h.summary != nil {
		return h.summary
	}
	nights := h.allNights()
	e := Estimate{
		Nights: len(nights),
		P50:    median(nights, func(n Night) float64 { return n.P50 }),
		P90:    median(nights, func(n Night) float64 { return n.P90 }),
		Fetch:  median(nights, func(n Night) float64 { return n.Fetch }),
		JobP50: median(nights, func(n Night) float64 { return n.JobP50 }),
		JobP90: median(nights, func(n Night) float64 { return n.JobP90 }),
	}
	for _, n := range nights {
		e.Jobs += n.Jobs
		e.Tasks += n.Tasks
	}
	// A few nights do not show how much nights differ, so widen the interval.
	spread := 1 + unknownSpread/float64(max(1, len(nights)))
	e.P90 = max(e.P90, e.P50*spread)
	// A job's time depends on the free capacity it finds, and a few jobs do not show that variation.
	e.JobP90 = max(e.JobP90, e.JobP50*(spread+1/float64(max(1, e.Jobs))))
	if e.P90 > wideRatio*e.P50 {
		e.Wide = "tasks of this kind differ widely among themselves"
	}
	h.summary = &historySummary{
		estimate: e,
		ratioP10: median(nights, func(n Night) float64 { return n.RatioP10 }),
		ratioP50: median(nights, func(n Night) float64 { return n.RatioP50 }),
		ratioP90: median(nights, func(n Night) float64 { return n.RatioP90 }),
	}
	return h.summary
}
