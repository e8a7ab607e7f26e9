// Package slo is the component of a leader's term that protects service-level objectives:
// every class and every team gets some of its work done in time, however much work others
// submit. It measures, per class and per team in a sliding window, how many jobs were due and
// how many of them were done in time. Where this share is about to fall below a floor, it
// boosts jobs at their last chance, that is shortly before they can no longer be in time. They
// then go ahead of the scheduling order (its exception `served_floor`). docs/spread.md has the
// design, with the bound on its cost to other jobs, and the operators' page.
package slo

import (
	"cmp"
	"slices"
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

// Name is the key of the component. It writes no log entries.
const Name = "served"

const (
	checkInterval = 500 * time.Millisecond
	// runTimeSlack and placementTime allow for what a job needs beyond its mean run time: some
	// tasks run longer, and it takes some time until all are placed.
	runTimeSlack  = 1.25
	placementTime = 8 * time.Second
	// leadTime is how long before the last possible moment a job is considered, since capacity
	// becomes free only as other tasks end.
	leadTime = 10 * time.Second
	// minOutcomes is how many jobs of a class or team must have been due in the window before
	// its boosted jobs go ahead of urgent jobs too, which they do while it is below the floor.
	minOutcomes = 4
	// minDueEstimates is the least time until a job is due, in its owner's estimates of one task,
	// if its class has no objective that sets a due time.
	minDueEstimates = 2
	// largestDivisor sets how many outcomes count as the largest: one in largestDivisor.
	largestDivisor = 10
)

// group is a class or a team.
type group struct {
	name string
	team bool // it is a team, not a class
}

// groupStats holds the statistics of a class or a team.
type groupStats struct {
	group
	outcomes []outcome // in the window, oldest first

	// Open jobs.
	openJobs int
	boosted  int // those that are boosted
	atRisk   int // those at their last chance and not boosted, as of the current check

	// Since the term began.
	met          uint64
	missed       uint64
	boostedTotal uint64
}

// outcome is the result of a job that was due: met or missed.
type outcome struct {
	at     time.Duration
	met    bool
	tasks  int
	work   float64       // work of all its tasks, in CPU seconds
	waited time.Duration // until it began, or was recorded as missed if it had not begun
}

// trackedJob is an open job with a due time.
type trackedJob struct {
	job     *jobs.Job
	due     time.Duration
	groups  [2]*groupStats // its class and its team
	boosted bool
}

// Component measures and protects objectives in a term.
type Component struct {
	cluster.NopComponent
	*cluster.State
	window      time.Duration
	floor       float64 // 0: it only measures
	groups      []*groupStats
	open        []*trackedJob // sorted by due time
	byJob       map[*jobs.Job]*trackedJob
	lastCheckAt time.Duration
}

// New creates the component for a term.
func New(s *cluster.State) *Component {
	t := &s.Cfg.Tunables
	return &Component{
		State:  s,
		window: settings.Seconds(t.ServedWindowS),
		floor:  t.ServedFloor,
		byJob:  map[*jobs.Job]*trackedJob{},
	}
}

// Begin tracks the open jobs of earlier terms. Which earlier jobs were done in time is not
// stored, so a new window begins.
func (d *Component) Begin(now time.Duration) {
	for _, j := range d.Jobs.All() {
		if j != nil && j.Phase == jobs.Open {
			d.trackJob(now, j)
		}
	}
}

// HandleEvent tracks jobs from when they enter the scheduling order until they end.
func (d *Component) HandleEvent(e cluster.Event) {
	switch e.Kind {
	case cluster.JobEnqueued:
		d.trackJob(e.At, e.Job)
	case cluster.JobDone:
		d.jobEnded(e.At, e.Job, true)
	case cluster.JobRemoved:
		d.jobEnded(0, e.Job, false) // cancelled: this counts as neither met nor missed
	}
}

// dueTime returns when a job should have ended: the latest time that its class's objectives for
// the end or the deadline allow. If there are none, it is due after the configured default time,
// but not before minDueEstimates times its owner's estimate of one task.
func (d *Component) dueTime(j *jobs.Job) time.Duration {
	latest := 0.0
	for _, o := range d.Cfg.Deployment.Objectives {
		if o.Class != j.Record.Class {
			continue
		}
		switch o.Kind {
		case settings.ObjectiveFinished:
			latest = max(latest, o.WithinS)
		case settings.ObjectiveDeadline:
			latest = max(latest, j.Record.DeadlineS*max(1, o.Times))
		}
	}
	if latest == 0 {
		latest = max(d.Cfg.Tunables.ServedDefaultDueS, minDueEstimates*j.Record.EstimateS)
	}
	return j.AcceptedAt + settings.Seconds(latest)
}

// statsOf returns the statistics of a class or a team, and creates them if there are none.
func (d *Component) statsOf(g group) *groupStats {
	for _, s := range d.groups {
		if s.group == g {
			return s
		}
	}
	s := &groupStats{group: g}
	d.groups = append(d.groups, s)
	return s
}

func compareDue(a *trackedJob, due time.Duration) int { return cmp.Compare(a.due, due) }

// trackJob starts tracking a job, unless it is a service or already past its due time.
func (d *Component) trackJob(now time.Duration, j *jobs.Job) {
	if j.Record.Kind == jobs.Service || d.byJob[j] != nil {
		return
	}
	class, team := d.statsOf(group{name: j.Record.Class}), d.statsOf(group{name: j.Record.Team, team: true})
	t := &trackedJob{job: j, due: d.dueTime(j), groups: [2]*groupStats{class, team}}
	if t.due <= now {
		return // it was missed before this term began
	}
	d.byJob[j] = t
	i, _ := slices.BinarySearchFunc(d.open, t.due, compareDue)
	d.open = slices.Insert(d.open, i, t)
	for _, s := range t.groups {
		s.openJobs++
	}
}

// jobEnded stops tracking a job that is done in time or was cancelled.
func (d *Component) jobEnded(now time.Duration, j *jobs.Job, done bool) {
	t := d.byJob[j]
	if t == nil {
		return
	}
	d.untrack(t)
	if done {
		d.recordOutcome(now, t, true)
	}
}

// untrack stops tracking a job and ends its boost.
func (d *Component) untrack(t *trackedJob) {
	delete(d.byJob, t.job)
	i, _ := slices.BinarySearchFunc(d.open, t.due, compareDue)
	for d.open[i] != t {
		i++
	}
	d.open = slices.Delete(d.open, i, i+1)
	t.job.Boost = jobs.NoBoost
	for _, s := range t.groups {
		s.openJobs--
		if t.boosted {
			s.boosted--
		}
	}
}

// recordOutcome adds a job's outcome to the statistics of its class and its team.
func (d *Component) recordOutcome(now time.Duration, t *trackedJob, met bool) {
	j := t.job
	began := j.FirstRunAt
	if began == 0 || (j.Record.Kind == jobs.Gang && !j.GangStarted && !met) {
		began = now
	}
	o := outcome{
		at:     now,
		met:    met,
		tasks:  len(j.Tasks),
		work:   float64(len(j.Tasks)) * j.MeanRunSeconds() * j.CPUShare,
		waited: began - j.AcceptedAt,
	}
	for _, s := range t.groups {
		s.outcomes = append(s.outcomes, o)
		if met {
			s.met++
		} else {
			s.missed++
		}
	}
}

// attainmentIf returns the share of the jobs due in the window that were done in time, on the
// assumption that all boosted jobs will be in time and that the given number of others will not.
func (s *groupStats) attainmentIf(lost int) float64 {
	all := len(s.outcomes) + s.boosted + lost
	if all == 0 {
		return 1
	}
	return float64(s.metCount()+s.boosted) / float64(all)
}

// metCount returns how many of the jobs due in the window were done in time.
func (s *groupStats) metCount() (n int) {
	for _, o := range s.outcomes {
		if o.met {
			n++
		}
	}
	return n
}

// Tick records missed jobs, and boosts jobs at their last chance if their class or team would
// fall below the floor without them.
func (d *Component) Tick(now time.Duration, _ bool) {
	if now-d.lastCheckAt < checkInterval {
		return
	}
	d.lastCheckAt = now
	d.expireOutcomes(now)
	d.recordMissed(now)
	if d.floor == 0 {
		return
	}
	workAhead := d.updateBoosted()
	d.boostAtRisk(now, workAhead)
}

// expireOutcomes drops the outcomes that have left the window, and resets the counts of jobs at risk.
func (d *Component) expireOutcomes(now time.Duration) {
	for _, s := range d.groups {
		s.atRisk = 0
		n := slices.IndexFunc(s.outcomes, func(o outcome) bool { return now-o.at <= d.window })
		if n < 0 {
			n = len(s.outcomes)
		}
		s.outcomes = slices.Delete(s.outcomes, 0, n)
	}
}

// recordMissed records as missed the jobs that were due before now and are still open.
func (d *Component) recordMissed(now time.Duration) {
	for len(d.open) > 0 && d.open[0].due < now {
		missed := d.open[0]
		d.untrack(missed)
		d.recordOutcome(now, missed, false)
	}
}

// updateBoosted moves boosted jobs ahead of urgent ones if their class or team is below the floor,
// and behind them otherwise. It returns the remaining work of all boosted jobs, in CPU seconds:
// jobs that are boosted later have to wait for it.
func (d *Component) updateBoosted() (workAhead float64) {
	for _, t := range d.open {
		if !t.boosted {
			continue
		}
		workAhead += remainingWork(t.job)
		wasFirst := t.job.Boost == jobs.BoostFirst
		if d.belowFloor(t) == wasFirst {
			continue
		}
		t.job.Boost = jobs.BoostBehindUrgent
		if !wasFirst {
			t.job.Boost = jobs.BoostFirst
		}
		d.NeedsCycle = true
	}
	return workAhead
}

// boostAtRisk boosts the jobs at their last chance whose class or team would fall below the floor
// without them, in order of their due times.
func (d *Component) boostAtRisk(now time.Duration, workAhead float64) {
	cpus := max(d.CPUs(), 1)
	for _, t := range d.open {
		j := t.job
		if t.boosted || j.Waiting == 0 || j.Phase != jobs.Open {
			continue
		}
		needs := settings.Seconds(runTimeSlack*j.MeanRunSeconds()+(workAhead+remainingWork(j))/cpus) + placementTime
		if now+needs > t.due {
			continue // it can no longer be in time, so boosting it would waste capacity
		}
		if now+needs+leadTime < t.due {
			continue // there is still time
		}
		for _, s := range t.groups {
			s.atRisk++
		}
		if d.keepsFloorWithout(t) {
			continue
		}
		d.boost(now, t)
		workAhead += remainingWork(j)
	}
}

// keepsFloorWithout reports whether a job's class and team would both stay at or above the floor
// if this job and all others found at risk so far were missed.
func (d *Component) keepsFloorWithout(t *trackedJob) bool {
	for _, s := range t.groups {
		if s.attainmentIf(s.atRisk) < d.floor {
			return false
		}
	}
	return true
}

// boost puts a job at risk ahead of others, at first behind urgent ones.
func (d *Component) boost(now time.Duration, t *trackedJob) {
	t.boosted, t.job.Boost = true, jobs.BoostBehindUrgent
	d.NeedsCycle = true
	for _, s := range t.groups {
		s.atRisk--
		s.boosted++
		s.boostedTotal++
	}
	record := t.job.Record
	d.LogMessage(effects.Debug, "job boosted, service floor at risk",
		"job", record.ID, "class", record.Class, "team", record.Team, "due_in", (t.due - now).Round(time.Second).String())
}

// belowFloor reports whether a job's class or team is below the floor already, with at least
// minOutcomes jobs due.
func (d *Component) belowFloor(t *trackedJob) bool {
	return slices.ContainsFunc(t.groups[:], func(s *groupStats) bool {
		return len(s.outcomes) >= minOutcomes && float64(s.metCount()) < d.floor*float64(len(s.outcomes))
	})
}

// remainingWork returns the expected work of a job's waiting tasks, in CPU seconds.
func remainingWork(j *jobs.Job) float64 { return float64(j.Waiting) * j.MeanRunSeconds() * j.CPUShare }
