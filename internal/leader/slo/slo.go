// Package slo is the duty that sees to it that every class and every team gets some
// of its work done in time, however much of another's comes. It measures, by class and
// by team in a sliding window, how many jobs were due and how many of them were done by
// then; and where a share is about to fall below a floor, it has jobs at their last
// chance go ahead of everything: the exception `served_floor`. docs/spread.md is its
// design note, with the bound on what it costs others, and the operators' page.
package slo

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

// Name is that of the duty. It writes nothing.
const Name = "served"

const (
	checkInterval = 500 * time.Millisecond
	// longRun and placing are what a job needs beyond its mean run time: tasks that run
	// longer, and the time until all have their place.
	runTimeSlack  = 1.25
	placementTime = 8 * time.Second
	// chance is how long before its last moment a job is looked at: room comes free by
	// the end of others' tasks.
	leadTime = 10 * time.Second
	// few: a class or a team of which so many were due, and less than the floor was met,
	// goes ahead of urgent jobs too.
	minOutcomes = 4
)

// group is a class or a team.
type group struct {
	name string
	team bool
}

// groupStats is what is known of a class or a team.
type groupStats struct {
	group
	outcomes     []outcome // in the window, by when they were due
	boosted      int       // jobs under way that the exception has gone ahead
	boostedTotal uint64
	missed       uint64 // since the term began
	met          uint64
	atRisk       int // jobs at their last chance, this look
	openJobs     int // jobs that are open
}

type outcome struct {
	at     time.Duration
	met    bool
	tasks  int
	work   float64       // of all of its tasks, in processor seconds
	waited time.Duration // until it began; where it has not, until it was due
}

// trackedJob is an open job that has a time by which it is due.
type trackedJob struct {
	job     *jobs.Job
	due     time.Duration
	groups  [2]*groupStats
	boosted bool
}

// Component measures and guards.
type Component struct {
	cluster.NopComponent
	*cluster.State
	window      time.Duration
	floor       float64
	groups      []*groupStats
	open        []*trackedJob // by when they are due
	byJob       map[*jobs.Job]*trackedJob
	lastCheckAt time.Duration
}

// New makes the duty of a term.
func New(s *cluster.State) *Component {
	t := &s.Cfg.Tunables
	return &Component{State: s, window: settings.Seconds(t.ServedWindowS), floor: t.ServedFloor, byJob: map[*jobs.Job]*trackedJob{}}
}

// Begin takes up the jobs of earlier terms. What they had served is not known; a new
// window begins.
func (d *Component) Begin(now time.Duration) {
	for _, j := range d.Jobs.All() {
		if j != nil && j.Phase == jobs.Open {
			d.trackJob(now, j)
		}
	}
}

// HandleEvent follows jobs.
func (d *Component) HandleEvent(e cluster.Event) {
	switch e.Kind {
	case cluster.JobOrdered:
		d.trackJob(e.At, e.Job)
	case cluster.JobDone:
		d.jobEnded(e.At, e.Job, true)
	case cluster.JobRemoved:
		d.jobEnded(0, e.Job, false) // cancelled: it is nobody's loss
	}
}

// dueTime is by when a job should have ended: the last of its class's aims for that, or its
// deadline, or as the operators say where its class has neither.
func (d *Component) dueTime(j *jobs.Job) time.Duration {
	latest := 0.0
	for _, o := range d.Cfg.Deployment.Objectives {
		if o.Class != j.Record.Class {
			continue
		}
		switch o.Kind {
		case settings.AimFinished:
			latest = max(latest, o.WithinS)
		case settings.AimDeadline:
			latest = max(latest, j.Record.DeadlineS*max(1, o.Times))
		}
	}
	if latest == 0 {
		latest = max(d.Cfg.Tunables.ServedWithinS, 2*j.Record.EstimateS)
	}
	return j.AcceptedAt + settings.Seconds(latest)
}

func (d *Component) statsOf(w group) *groupStats {
	for _, s := range d.groups {
		if s.group == w {
			return s
		}
	}
	s := &groupStats{group: w}
	d.groups = append(d.groups, s)
	return s
}

func byDue(a *trackedJob, due time.Duration) int { return cmp.Compare(a.due, due) }

func (d *Component) trackJob(now time.Duration, j *jobs.Job) {
	if j.Record.Kind == jobs.Service || d.byJob[j] != nil {
		return
	}
	e := &trackedJob{job: j, due: d.dueTime(j), groups: [2]*groupStats{d.statsOf(group{name: j.Record.Class}), d.statsOf(group{name: j.Record.Team, team: true})}}
	if e.due <= now {
		return // it was lost before this term began
	}
	d.byJob[j] = e
	i, _ := slices.BinarySearchFunc(d.open, e.due, byDue)
	d.open = slices.Insert(d.open, i, e)
	for _, s := range e.groups {
		s.openJobs++
	}
}

// jobEnded takes a job out, done in time or not at all.
func (d *Component) jobEnded(now time.Duration, j *jobs.Job, done bool) {
	e := d.byJob[j]
	if e == nil {
		return
	}
	d.untrack(e)
	if done {
		d.recordOutcome(now, e, true)
	}
}

func (d *Component) untrack(e *trackedJob) {
	delete(d.byJob, e.job)
	i, _ := slices.BinarySearchFunc(d.open, e.due, byDue)
	for d.open[i] != e {
		i++
	}
	d.open = slices.Delete(d.open, i, i+1)
	e.job.Boost = jobs.NoBoost
	for _, s := range e.groups {
		s.openJobs--
		if e.boosted {
			s.boosted--
		}
	}
}

func (d *Component) recordOutcome(now time.Duration, e *trackedJob, met bool) {
	j := e.job
	began := j.FirstAt
	if began == 0 || (j.Record.Kind == jobs.Gang && !j.GangBegan && !met) {
		began = now
	}
	o := outcome{now, met, len(j.Tasks), float64(len(j.Tasks)) * j.Mean() * j.Share, began - j.AcceptedAt}
	for _, s := range e.groups {
		s.outcomes = append(s.outcomes, o)
		if met {
			s.met++
		} else {
			s.missed++
		}
	}
}

// attainmentIf is how much of a class or a team was served of what was due in the window, if
// those that go ahead make it and so many more do not.
func (s *groupStats) attainmentIf(lost int) float64 {
	all := len(s.outcomes) + s.boosted + lost
	if all == 0 {
		return 1
	}
	return float64(s.metCount()+s.boosted) / float64(all)
}

// metCount is how many of those due in the window were done by then.
func (s *groupStats) metCount() (n int) {
	for _, o := range s.outcomes {
		if o.met {
			n++
		}
	}
	return n
}

// largest are the largest of those due in the window: the tenth with most work, and the
// widest.
func (s *groupStats) largest() []outcome {
	if len(s.outcomes) == 0 {
		return nil
	}
	list := slices.Clone(s.outcomes)
	slices.SortStableFunc(list, func(a, b outcome) int { return cmp.Compare(b.work, a.work) })
	n := (len(list) + 9) / 10
	widest := slices.MaxFunc(list, func(a, b outcome) int { return cmp.Compare(a.tasks, b.tasks) })
	if slices.ContainsFunc(list[:n], func(o outcome) bool { return o.tasks == widest.tasks }) {
		return list[:n]
	}
	return append(list[:n:n], widest)
}

// Tick counts what was missed, and has jobs at their last chance go ahead where their
// class or team would fall below the floor without them.
func (d *Component) Tick(now time.Duration, _ bool) {
	if now-d.lastCheckAt < checkInterval {
		return
	}
	d.lastCheckAt = now
	for _, s := range d.groups {
		s.atRisk = 0
		if n := slices.IndexFunc(s.outcomes, func(o outcome) bool { return now-o.at <= d.window }); n != 0 {
			if n < 0 {
				n = len(s.outcomes)
			}
			s.outcomes = slices.Delete(s.outcomes, 0, n)
		}
	}
	for len(d.open) > 0 && d.open[0].due < now {
		e := d.open[0]
		d.untrack(e)
		d.recordOutcome(now, e, false)
	}
	if d.floor == 0 {
		return
	}
	cpus := max(d.CPUs(), 1)
	ahead := 0.0 // work of those that go ahead already: what comes after waits for it
	for _, e := range d.open {
		if !e.boosted {
			continue
		}
		ahead += remainingWork(e.job)
		if before := e.job.Boost; d.belowFloor(e) != (before == jobs.BoostFirst) {
			e.job.Boost = jobs.BoostBehindUrgent
			if before != jobs.BoostFirst {
				e.job.Boost = jobs.BoostFirst
			}
			d.NeedsCycle = true
		}
	}
	for _, e := range d.open {
		j := e.job
		if e.boosted || j.Waiting == 0 || j.Phase != jobs.Open {
			continue
		}
		needs := settings.Seconds(runTimeSlack*j.Mean()+(ahead+remainingWork(j))/cpus) + placementTime
		if now+needs > e.due {
			continue // it can no longer make it: room given to it would be lost
		}
		if now+needs+leadTime < e.due {
			continue // there is time yet
		}
		for _, s := range e.groups {
			s.atRisk++
		}
		// This one and all that stand where it does count as lost unless they go ahead.
		if e.groups[0].attainmentIf(e.groups[0].atRisk) >= d.floor && e.groups[1].attainmentIf(e.groups[1].atRisk) >= d.floor {
			continue
		}
		e.boosted, j.Boost = true, jobs.BoostBehindUrgent
		ahead += remainingWork(j)
		d.NeedsCycle = true
		for _, s := range e.groups {
			s.atRisk--
			s.boosted++
			s.boostedTotal++
		}
		d.LogMessage(effects.Debug, "job goes ahead of everything: less than the floor of its class or team would be served", "job", j.Record.ID, "class", j.Record.Class, "team", j.Record.Team, "due_in", (e.due - now).Round(time.Second).String())
	}
}

// belowFloor says whether a job's class or team has been served less than the floor already.
func (d *Component) belowFloor(e *trackedJob) bool {
	return slices.ContainsFunc(e.groups[:], func(s *groupStats) bool {
		return len(s.outcomes) >= minOutcomes && float64(s.metCount()) < d.floor*float64(len(s.outcomes))
	})
}

// remainingWork is what a job's waiting tasks take, in processor seconds.
func remainingWork(j *jobs.Job) float64 { return float64(j.Waiting) * j.Mean() * j.Share }

// View is what operators see of a class or a team.
type View struct {
	Name   string  `json:"name"`
	Team   bool    `json:"team"`
	Due    int     `json:"due"`    // jobs due in the window
	Met    int     `json:"met"`    // of them, done by then
	Share  float64 `json:"share"`  // 1 where none was due
	Open   int     `json:"open"`   // jobs not due yet
	Kept   int     `json:"kept"`   // of them, those that go ahead of everything
	Missed uint64  `json:"missed"` // since the leader began
	Helped uint64  `json:"kept_ever"`
	// Of those due, the largest: the tenth with most work, and the widest.
	Largest     int     `json:"largest"`
	LargestMet  int     `json:"largest_met"`
	LargestWait float64 `json:"largest_began_after_s"` // the longest of them
}

// Show gives classes and teams, as a JSON list of View.
func (d *Component) Show(_ time.Duration, view string) (json.RawMessage, error) {
	if view != "" {
		return nil, cluster.ErrUnknownView
	}
	raw, err := json.Marshal(d.views())
	if err != nil {
		return nil, fmt.Errorf("served: %w", err)
	}
	return raw, nil
}

func (d *Component) views() []View {
	out := []View{}
	for _, s := range d.groups {
		v := View{Name: s.name, Team: s.team, Due: len(s.outcomes), Open: s.openJobs, Kept: s.boosted, Missed: s.missed, Helped: s.boostedTotal, Met: s.metCount(), Share: 1}
		if v.Due > 0 {
			v.Share = float64(v.Met) / float64(v.Due)
		}
		for _, o := range s.largest() {
			v.Largest++
			if o.met {
				v.LargestMet++
			}
			v.LargestWait = max(v.LargestWait, o.waited.Seconds())
		}
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b View) int {
		if a.Team != b.Team {
			if a.Team {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return out
}

// mostNamed bounds the labels of metrics; the rest is left out.
const maxLabels = 100

// Gauges gives the share of each class and team.
func (d *Component) Gauges(time.Duration) []cluster.Gauge {
	g := [4]cluster.Gauge{
		{Name: "bitternmoor_served_share_of_class", Help: "Share of the jobs due in the window that were done by then.", Label: "class", Values: map[string]float64{}},
		{Name: "bitternmoor_served_share_of_team", Help: "Share of the jobs due in the window that were done by then.", Label: "team", Values: map[string]float64{}},
		{Name: "bitternmoor_served_share_of_largest", Help: "The same of the class's largest jobs.", Label: "class", Values: map[string]float64{}},
		{Name: "bitternmoor_largest_began_seconds", Help: "Longest time that one of a class's largest jobs waited to begin.", Label: "class", Values: map[string]float64{}},
	}
	for _, v := range d.views() {
		i := 0
		if v.Team {
			i = 1
		}
		if len(g[i].Values) < maxLabels {
			g[i].Values[v.Name] = v.Share
			if !v.Team && v.Largest > 0 {
				g[2].Values[v.Name] = float64(v.LargestMet) / float64(v.Largest)
				g[3].Values[v.Name] = v.LargestWait
			}
		}
	}
	return g[:]
}
