package autoscaler

import (
	"math"
	"slices"
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

const (
	// urgentPriority is the lowest priority at which a job is urgent.
	urgentPriority = 2

	milliCPUs = 1000 // per processor; the unit of team limits
)

// machineGroup is a group of machines that is scaled by its own demand. If there are machine
// types both with and without accelerators, each kind forms a group.
type machineGroup struct {
	accelerated bool // machines with accelerators
	onlyGroup   bool // there is only one group

	// The peak demands over the retention window, in processors.
	onDemandPeak     peak
	spotPeak         peak
	onDemandOnlyPeak peak // of jobs that may not use spot machines
}

// includesType reports whether machines of a type with this many accelerators belong to the
// group.
func (g *machineGroup) includesType(gpus float64) bool {
	return g.onlyGroup || (gpus > 0) == g.accelerated
}

// serves reports whether a job's work is meant for machines of this group.
func (g *machineGroup) serves(j *jobs.Job) bool {
	return g.onlyGroup || (j.Need.GPU > 0 || !j.FitsWithoutGPU) == g.accelerated
}

// peak tracks the maximum demand over a sliding window. A sample is dropped once a later one is
// at least as high.
type peak struct {
	times   []time.Duration
	samples []float64
}

// add records a sample and drops those older than the window.
func (p *peak) add(now, window time.Duration, demand float64) {
	n := len(p.samples)
	for n > 0 && p.samples[n-1] <= demand {
		n--
	}
	p.times, p.samples = append(p.times[:n], now), append(p.samples[:n], demand)
	for now-p.times[0] > window {
		p.times, p.samples = p.times[1:], p.samples[1:]
	}
}

// value returns the highest sample of the window, or 0 if there is none.
func (p *peak) value() float64 {
	if len(p.samples) == 0 {
		return 0
	}
	return p.samples[0]
}

// openJobs returns the unfinished jobs whose work is for a group. Until it is known what runs
// after a cold start, it returns only urgent jobs. Machines that have not reported count as
// present then, so machines are rented only for urgent work that even the whole fleet could not
// hold.
func (c *Component) openJobs(now time.Duration, group *machineGroup) []*jobs.Job {
	settled := c.Permits(now, cluster.Rent)
	var open []*jobs.Job
	for _, j := range c.Jobs.All() {
		if j == nil || j.Phase != jobs.Open || j.Finished >= len(j.Tasks) || !group.serves(j) {
			continue
		}
		if settled || j.Priority >= urgentPriority {
			open = append(open, j)
		}
	}
	return open
}

// cpuDemand returns how many processors are needed to finish the open jobs' work within the
// horizon, in seconds, subject to team limits. With keepRunning, running tasks count in full, so
// that machines stay as long as they are in use. Without it, running tasks count half, which is
// what is left of them on average, and each job has the horizon of its class.
func (c *Component) cpuDemand(open []*jobs.Job, horizon float64, keepRunning bool) float64 {
	perTeam := make([]float64, len(c.Scheduler.Limits))
	for _, j := range open {
		perTeam[j.Team] += c.tasksInParallel(j, horizon, keepRunning) * j.CPUShare
	}
	var sum float64
	for team, cpus := range perTeam {
		if limit := c.Scheduler.Limits[team].CPU; limit > 0 {
			cpus = min(cpus, float64(limit)/milliCPUs)
		}
		sum += cpus
	}
	return sum
}

// tasksInParallel returns how many tasks of a job must run in parallel to finish its work within
// the horizon. All tasks of a gang or service run at once.
func (c *Component) tasksInParallel(j *jobs.Job, horizon float64, keepRunning bool) float64 {
	left := float64(len(j.Tasks) - j.Finished)
	tasks := left
	switch {
	case j.Record.Kind != jobs.Array:
	case keepRunning:
		tasks = max(float64(j.Placed), min(left, math.Ceil(left*j.MeanRunSeconds()/horizon)))
	default:
		tasks = min(left, (left-float64(j.Placed)/2)*j.MeanRunSeconds()/c.backlogHorizon(j))
	}
	if len(j.Record.Counted) > 0 { // machines for tasks without units would be idle
		tasks = min(tasks, float64(j.Placed+c.availableUnits(j)))
	}
	return tasks
}

// availableUnits returns how many more tasks of a job that needs counted units could get them.
func (c *Component) availableUnits(j *jobs.Job) int {
	if c.Pools == nil {
		return 0
	}
	return c.Pools.StartableTasks(j)
}

// backlogHorizon returns the time, in seconds, within which a job's work should be done even if
// that takes on-demand machines. It is a share of the shortest time that the objectives of its
// class leave.
func (c *Component) backlogHorizon(j *jobs.Job) float64 {
	shortest := 0.0
	for _, o := range c.Cfg.Deployment.Objectives {
		if o.Class != j.Record.Class {
			continue
		}
		var seconds float64
		switch o.Kind {
		case settings.ObjectiveWait:
			seconds = o.WithinS
		case settings.ObjectiveFinished:
			seconds = o.WithinS - j.MeanRunSeconds()
		case settings.ObjectiveDeadline:
			seconds = j.Record.DeadlineS - j.MeanRunSeconds()
		}
		if seconds > 0 && (shortest == 0 || seconds < shortest) {
			shortest = seconds
		}
	}
	if shortest == 0 {
		return c.Cfg.Tunables.OnDemandBacklogS
	}
	return max(c.Cfg.Tunables.ObjectiveShare*shortest, c.Cfg.Tunables.DrainBacklogS)
}

// retentionWindow returns for how long capacity must not have been needed before it is returned.
// If a class should start faster than any machine boots, machines returned now cannot be
// replaced in time later. On days with services that should start within a second, machines were
// returned between two bursts, and the replicas on them were stopped for that.
func (c *Component) retentionWindow(seconds float64) time.Duration {
	if c.needsStandbyRoom() {
		seconds = max(seconds, c.Cfg.Tunables.ReadyWindowS)
	}
	return settings.Seconds(seconds)
}

// needsStandbyRoom reports whether some class should start faster than the fastest machine type
// boots.
func (c *Component) needsStandbyRoom() bool {
	quickestBoot := math.Inf(1)
	for _, t := range c.Types {
		quickestBoot = min(quickestBoot, t.BootS)
	}
	return slices.ContainsFunc(c.Cfg.Deployment.Objectives, func(o settings.Objective) bool {
		return o.Kind == settings.ObjectiveWait && o.WithinS < quickestBoot
	})
}

// cpusUsedBySpotJobs returns how many processors of on-demand machines are used by jobs that
// could use spot machines. It returns 0 unless a job that may not use spot machines has waited
// to begin for half of the setting begin_within; the caller then treats that capacity as missing
// for such jobs. In a test, a service waited for five minutes because the on-demand machine was
// full of array tasks for which the spot machines had room.
func (c *Component) cpusUsedBySpotJobs(
	now time.Duration, machines []*workers.Machine, onDemandOnly []*jobs.Job,
) float64 {
	wait := settings.Seconds(c.Cfg.Tunables.BeginWithinS / 2)
	waitsTooLong := func(j *jobs.Job) bool { return j.Waiting > 0 && !j.HasStarted() && now-j.AcceptedAt > wait }
	if wait == 0 || !slices.ContainsFunc(onDemandOnly, waitsTooLong) {
		return 0
	}
	var sum float64
	for _, m := range machines {
		if m.Spot || m.Deleting || m.PreemptionNotice || m.Draining {
			continue
		}
		for _, p := range m.Tasks {
			if j := c.Jobs.ByIndex(p.Ref.Job); j.UseSpot {
				sum += j.CPUShare
			}
		}
	}
	return sum
}
