package standin

import (
	"fmt"
	"iter"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Recorder records the start and end of each task on a machine before the worker reports it to a
// controller.
type Recorder interface {
	Started(task, machine string, attempt uint64)
	Ended(task, machine string, done bool)
}

// audit records which tasks actually run, to check the platform's rules. The fleet's mutex guards it.
type audit struct {
	runningOn   map[string]string // task -> machine
	attempts    map[string]uint64 // by running task
	done        map[string]bool   // completed tasks
	cpusUsed    map[string]float64
	cancelledAt map[string]time.Time // by job: when its user was first notified of its cancellation
	poolLimits  map[string]int       // number of units by pool
	poolPeaks   map[string]int
	brokenRules []string
}

func (f *Fleet) beginAudit() {
	if f.runningOn == nil {
		f.runningOn, f.attempts, f.done = map[string]string{}, map[string]uint64{}, map[string]bool{}
		f.cpusUsed, f.cancelledAt = map[string]float64{}, map[string]time.Time{}
	}
}

func (f *Fleet) ruleBroken(rule string, args ...any) {
	f.brokenRules = append(f.brokenRules, fmt.Sprintf(rule, args...))
}

// JobOf returns the name of the job that a task belongs to.
func JobOf(task string) string {
	job, _, _ := strings.Cut(task, "/")
	return job
}

// Started records the start of a task and checks the rules on starts.
func (f *Fleet) Started(task, machine string, attempt uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.gone[machine] {
		return // the machine was removed while the answer was in flight
	}
	f.beginAudit()
	job := JobOf(task)
	if on := f.runningOn[task]; on != "" {
		f.ruleBroken("ran_twice: %s on %s while on %s", task, machine, on)
	}
	if f.JobDuration != nil {
		_, before := f.JobDuration(job)
		for _, b := range before {
			if !f.finished(b) {
				f.ruleBroken("too_early: %s before %s was done", task, b)
			}
		}
	}
	if at, notified := f.cancelledAt[job]; notified && time.Since(at) > f.CancelWithin {
		f.ruleBroken("ran_cancelled: %s started %v after its user was told", task, time.Since(at).Round(time.Millisecond))
	}
	f.runningOn[task], f.attempts[task] = machine, attempt
	f.countTeam(job, 1)
	if f.PoolUnits != nil {
		f.countUnits(task)
	}
	if f.Observe != nil {
		f.Observe(Event{Kind: TaskStarted, Task: task, Machine: machine, At: time.Now()})
	}
}

// Ended records that a task no longer runs on a machine.
func (f *Fleet) Ended(task, machine string, done bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended(task, machine, done)
}

func (f *Fleet) ended(task, machine string, done bool) {
	if f.runningOn[task] != machine {
		return
	}
	delete(f.runningOn, task)
	f.countTeam(JobOf(task), -1)
	kind := TaskLost
	if done {
		f.done[task] = true
		kind = TaskCompleted
	}
	if f.Observe != nil {
		f.Observe(Event{Kind: kind, Task: task, Machine: machine, At: time.Now()})
	}
}

// countTeam updates the number of processors that a team uses, and checks it against the team's limit.
func (f *Fleet) countTeam(job string, by float64) {
	if f.Team == nil {
		return
	}
	team, cpus, limit := f.Team(job)
	f.cpusUsed[team] += by * cpus
	if by > 0 && limit > 0 && f.cpusUsed[team] > limit {
		f.ruleBroken("quota: the tasks of %s use %.1f processors, of %.1f", team, f.cpusUsed[team], limit)
	}
}

// countUnits counts the units that running tasks hold, and checks them against the limits of the
// pools that the newly started task needs.
func (f *Fleet) countUnits(started string) {
	held := map[string]int{}
	for t := range f.runningOn {
		for pool, n := range f.PoolUnits(JobOf(t)) {
			held[pool] += n
		}
	}
	for pool := range f.PoolUnits(JobOf(started)) {
		f.poolPeaks[pool] = max(f.poolPeaks[pool], held[pool])
		if held[pool] > f.poolLimits[pool] {
			f.ruleBroken("overdrawn: %d units of %s are held, there are %d", held[pool], pool, f.poolLimits[pool])
		}
	}
}

// Cancelled records that a user was notified of a job's cancellation. None of its tasks may run once
// CancelWithin has passed.
func (f *Fleet) Cancelled(job string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.beginAudit()
	if _, notified := f.cancelledAt[job]; !notified {
		f.cancelledAt[job] = time.Now()
	}
}

// CheckOverdue checks that no task of a cancelled job runs for longer than CancelWithin.
func (f *Fleet) CheckOverdue() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for task, machine := range f.runningOn {
		if at, notified := f.cancelledAt[JobOf(task)]; notified && time.Since(at) > f.CancelWithin {
			f.ruleBroken("ran_cancelled: %s on %s %v after its user was told", task, machine, time.Since(at).Round(time.Millisecond))
		}
	}
}

// RuleBroken records a broken rule that was detected outside the fleet.
func (f *Fleet) RuleBroken(rule string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.brokenRules = append(f.brokenRules, rule)
}

// BrokenRules returns the broken rules recorded so far.
func (f *Fleet) BrokenRules() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.brokenRules)
}

// SetPoolLimit sets the number of units in a pool.
func (f *Fleet) SetPoolLimit(pool string, units int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.poolLimits == nil {
		f.poolLimits, f.poolPeaks = map[string]int{}, map[string]int{}
	}
	f.poolLimits[pool] = units
}

// PoolPeak returns the largest number of units of a pool held at the same time.
func (f *Fleet) PoolPeak(pool string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.poolPeaks[pool]
}

// Running returns the number of running tasks.
func (f *Fleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.runningOn)
}

// BusyMachines lists the machine of each running task, in no particular order.
func (f *Fleet) BusyMachines() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Values(f.runningOn))
}

// MachinesRunning lists the machine of each running task of a job.
func (f *Fleet) MachinesRunning(job string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for t, m := range f.runningOn {
		if JobOf(t) == job {
			out = append(out, m)
		}
	}
	return out
}

// Finished reports whether all tasks of a job have completed.
func (f *Fleet) Finished(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.finished(job)
}

func (f *Fleet) finished(job string) bool {
	for k := range f.TaskCount(job) {
		if !f.done[job+"/"+strconv.Itoa(k)] {
			return false
		}
	}
	return true
}

// Attempts returns the running tasks with their attempt numbers.
func (f *Fleet) Attempts() iter.Seq2[string, uint64] {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := map[string]uint64{}
	for t := range f.runningOn {
		list[t] = f.attempts[t]
	}
	return maps.All(list)
}
