package runtimes

import (
	"slices"

	"github.com/DataDog/sketches-go/ddsketch"
)

// history is the history of one kind.
type history struct {
	nights       []Night // closed ones, by day
	open         *night
	lastRecordAt int64           // of its last fact
	summary      *historySummary // what they come to; nil: to be worked out anew
}

// historySummary is what all nights of a kind come to.
type historySummary struct {
	est            Estimate
	low, mid, high float64 // tasks against their owners' estimates
}

// night is one that is going on.
type night struct {
	day                      int32
	jobs, n                  int
	task, fetch, job, ratios *ddsketch.DDSketch
}

// Night is what a kind has shown in one night: all that is kept of it once it is
// over. Times are in seconds.
type Night struct {
	Day                      int32
	Jobs, N                  int
	P50, P90                 float64 // of tasks
	Fetch                    float64 // median
	JobP50, JobP90           float64 // of jobs, from acceptance to end
	RatioP10, RatioP50, RP90 float64 // of tasks, against their owners' estimates
}

// addRecord counts a fact. One of a night that is closed for this kind has been
// counted.
func (m *history) addRecord(f *RunRecord) {
	if len(m.nights) > 0 && f.Day <= m.nights[len(m.nights)-1].Day {
		return
	}
	if m.open != nil && f.Day < m.open.day {
		return
	}
	if m.open != nil && f.Day > m.open.day {
		m.closeNight()
	}
	if m.open == nil {
		m.open = &night{day: f.Day, task: newSketch(), fetch: newSketch(), job: newSketch(), ratios: newSketch()}
	}
	m.lastRecordAt = max(m.lastRecordAt, f.At)
	m.summary = nil
	o := m.open
	o.jobs++
	o.n += f.N
	for i, v := range f.Task {
		addToSketch(o.task, v, quantileWeights[i]*float64(f.N))
		if f.Estimate > 0 {
			addToSketch(o.ratios, v/f.Estimate, quantileWeights[i]*float64(min(f.N, enoughTasks)))
		}
	}
	addToSketch(o.fetch, f.Fetch, 1)
	addToSketch(o.job, f.Job, 1)
}

// closeNight ends the open night.
func (m *history) closeNight() {
	if m.open == nil {
		return
	}
	m.nights = append(m.nights, m.open.close())
	if over := len(m.nights) - maxNights; over > 0 {
		m.nights = slices.Delete(m.nights, 0, over)
	}
	m.open, m.summary = nil, nil
}

func (o *night) close() Night {
	return Night{Day: o.day, Jobs: o.jobs, N: o.n, P50: quantile(o.task, .5), P90: quantile(o.task, .9), Fetch: quantile(o.fetch, .5),
		JobP50: quantile(o.job, .5), JobP90: quantile(o.job, .9), RatioP10: quantile(o.ratios, .1), RatioP50: quantile(o.ratios, .5), RP90: quantile(o.ratios, .9)}
}

// allNights lists the nights, the open one as it stands.
func (m *history) allNights() []Night {
	if m.open == nil {
		return m.nights
	}
	return append(m.nights[:len(m.nights):len(m.nights)], m.open.close())
}

func (m *history) hasEnough() bool {
	e := &m.summarize().est
	return e.Jobs >= enoughJobs && e.Tasks >= enoughTasks || e.Jobs >= soloJobs
}

// estimate makes an estimate of a kind's own history.
func (m *history) estimate(k Kind, now int64) Estimate {
	e := m.summarize().est
	e.From, e.AgeS = k.Level(), float64(max(0, now-m.lastRecordAt))
	return e
}

// summarize is what all nights come to.
func (m *history) summarize() *historySummary {
	if m.summary != nil {
		return m.summary
	}
	nights := m.allNights()
	e := Estimate{Nights: len(nights),
		P50: median(nights, func(n Night) float64 { return n.P50 }), P90: median(nights, func(n Night) float64 { return n.P90 }),
		Fetch:  median(nights, func(n Night) float64 { return n.Fetch }),
		JobP50: median(nights, func(n Night) float64 { return n.JobP50 }), JobP90: median(nights, func(n Night) float64 { return n.JobP90 })}
	for _, n := range nights {
		e.Jobs += n.Jobs
		e.Tasks += n.N
	}
	// Few nights have not shown how much one differs from another.
	spread := 1 + .3/float64(max(1, len(nights)))
	e.P90 = max(e.P90, e.P50*spread)
	// A job's time depends on the room it found, which a few jobs have not shown.
	e.JobP90 = max(e.JobP90, e.JobP50*(spread+1/float64(max(1, e.Jobs))))
	if e.P90 > wideRatio*e.P50 {
		e.Wide = "tasks of this kind differ widely among themselves"
	}
	m.summary = &historySummary{est: e, low: median(nights, func(n Night) float64 { return n.RatioP10 }), mid: median(nights, func(n Night) float64 { return n.RatioP50 }),
		high: median(nights, func(n Night) float64 { return n.RP90 })}
	return m.summary
}
