package scenario

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/wire"
)

// checker checks the platform's invariants throughout a simulation.
type checker struct {
	sim            *sim
	placements     map[task]map[string]bool // machines that run a task, after its image was fetched
	machineZones   map[string]string
	completedTasks map[task]bool
	violations     []string
	starts         int
	faultsEndedAt  time.Duration              // when fault injection ended; 0: not yet
	lastAnswer     map[*userJob]time.Duration // when a query about a job was last answered
	startedAt      map[uint64]time.Duration   // when a job's first task started; for a gang, its last
	orphaned       []orphanedUnits            // units that licence servers still count after a worker was lost
	poolAtStart    map[string]int             // largest pool size since a job started, by job and pool
	cpusInUse      map[string]float64         // CPUs in use by each team's tasks, updated at each start and end
	unnecessary    map[unnecessaryKind]int    // number of unnecessary commands by kind, see cold_start_test.go
}

// fail records a violation of the named invariant.
func (c *checker) fail(rule, format string, a ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%s at %v: %s", rule, c.sim.now.Round(time.Millisecond), fmt.Sprintf(format, a...)))
}

// taskStarted records that a task runs on a machine from now on, after its image was fetched, and checks
// the invariants that concern the start of a task.
func (c *checker) taskStarted(t task, w *worker) {
	c.starts++
	j := c.sim.jobs[t.job]
	spec := j.spec.Job
	j.lastStart = c.sim.now
	if j.reportedCancelled && !j.cancelledByOldVersion {
		c.fail("ran_cancelled", "task %d/%d started on %s after its user was told that the job is cancelled", t.job, t.index, w.name)
	}
	if c.startedAt == nil {
		c.startedAt = map[uint64]time.Duration{}
	}
	if _, ok := c.startedAt[t.job]; !ok || (spec.Kind == jobs.Gang && !c.completedTasks[t]) {
		c.startedAt[t.job] = c.sim.now
	}
	c.checkOnlyMachine(t, w)
	c.checkDependencies(t, spec)
	if c.completedTasks[t] {
		c.countUnnecessary(startedCompleted)
	}
	c.checkPlace(t, w, spec)
	c.addPlacement(t, w, spec)
	if j.reportedCancelled && c.sim.now > j.endReportedAt+settingsSeconds(c.sim.cfg.Deployment.Workers.CancelS) {
		c.fail("ran_cancelled", "task %d/%d started on %s after the cancellation deadline", t.job, t.index, w.name)
	}
	c.checkUnits(t, w, spec)
	c.checkLimits(spec)
}

// checkOnlyMachine checks that a task that starts on a machine runs on no other one.
func (c *checker) checkOnlyMachine(t task, w *worker) {
	for machine := range c.placements[t] {
		if machine != w.name {
			c.fail("ran_twice", "task %d/%d runs on %s while it runs on %s", t.job, t.index, w.name, machine)
		}
	}
}

// checkDependencies checks that all jobs on which a starting task's job depends are done.
func (c *checker) checkDependencies(t task, spec *eventlog.Job) {
	for _, dependency := range spec.Follows {
		if !c.allCompleted(dependency) {
			c.fail("too_early", "task %d/%d started before job %d was done", t.job, t.index, dependency)
		}
	}
}

// checkPlace checks that a starting task's job may use the machine, also given the zones of its other tasks.
func (c *checker) checkPlace(t task, w *worker, spec *eventlog.Job) {
	if (w.spot && !spec.Spot) || (spec.Zone != "" && spec.Zone != w.zone) {
		c.fail("wrong_place", "task %d/%d runs on %s, which its job may not use", t.job, t.index, w.name)
	}
	if !spec.OneZone && !spec.Spread {
		return // the places of the other tasks do not matter
	}
	inZone := 0
	for index := range spec.Tasks {
		for machine := range c.placements[task{t.job, index}] {
			zone := c.machineZones[machine]
			if spec.OneZone && zone != w.zone && index != t.index {
				c.fail("wrong_place", "job %d runs in zones %s and %s", t.job, zone, w.zone)
			}
			if zone == w.zone && index != t.index {
				inZone++
			}
		}
	}
	if spec.Spread && inZone+1 > (spec.Tasks+1)/2 {
		c.fail("wrong_place", "%d of %d tasks of job %d run in zone %s", inZone+1, spec.Tasks, t.job, w.zone)
	}
}

// addPlacement records that a task is on a machine.
func (c *checker) addPlacement(t task, w *worker, spec *eventlog.Job) {
	if c.placements[t] == nil {
		c.placements[t] = map[string]bool{}
	}
	if c.machineZones == nil {
		c.machineZones = map[string]string{}
	}
	if c.cpusInUse == nil {
		c.cpusInUse = map[string]float64{}
	}
	if !c.placements[t][w.name] {
		c.cpusInUse[spec.Team] += spec.CPUs
	}
	c.placements[t][w.name] = true
	c.machineZones[w.name] = w.zone
}

// checkUnits checks that no more units of a pool are in use than it has. Only a pool that was shrunk may be over its
// size, and then no task that needs it starts.
func (c *checker) checkUnits(t task, w *worker, spec *eventlog.Job) {
	units := c.unitsInUse()
	for _, need := range spec.Counted {
		size := c.sim.poolUnits[need.Pool]
		if need.PerJob { // a job that started when the pool was larger keeps its units
			key := fmt.Sprint(t.job, need.Pool)
			if c.poolAtStart == nil {
				c.poolAtStart = map[string]int{}
			}
			c.poolAtStart[key] = max(c.poolAtStart[key], size)
			size = c.poolAtStart[key]
		}
		if units[need.Pool] > size {
			c.fail("overdrawn", "%d units of pool %s are in use, at most %d are allowed: task %d/%d on %s", units[need.Pool], need.Pool, size, t.job, t.index, w.name)
		}
	}
}

// checkLimits checks that no team is above its limit when a task of a job starts.
func (c *checker) checkLimits(spec *eventlog.Job) {
	for _, team := range c.sim.cfg.Deployment.Teams {
		if limit := c.sim.teamLimit(team); limit > 0 && c.cpusInUse[team.Name] > limit && (team.Name == spec.Team || len(c.sim.configs.limits) == 0) {
			c.fail("quota", "team %s uses %v CPUs, its limit is %v", team.Name, c.cpusInUse[team.Name], limit)
		}
	}
}

// checkDispatch checks that no start of a service is sent directly in a worker's first session: services end by being
// cancelled, and the machine would have to be deleted then.
func (c *checker) checkDispatch(e effects.Dispatch) {
	for _, start := range e.Starts {
		if e.Session <= workers.FirstSession && c.sim.jobs[start.Job].spec.Job.Kind == jobs.Service {
			c.fail("pushed_service", "a start of job %d was sent directly to %s in its first session", start.Job, e.Machine)
		}
	}
}

// taskRemoved records that a task no longer runs on a machine.
func (c *checker) taskRemoved(t task, w *worker) {
	if c.placements[t][w.name] {
		spec := c.sim.jobs[t.job].spec.Job
		c.cpusInUse[spec.Team] -= spec.CPUs
		delete(c.placements[t], w.name)
	}
}

// checkServedShare checks that at least half of the accepted jobs of each class and of each team are
// done. Services, cancelled jobs and jobs accepted after the given time do not count.
func (c *checker) checkServedShare(until time.Duration) {
	type share struct{ asked, done int }
	shares := map[string]*share{}
	for _, j := range c.sim.jobs {
		if j.spec.Job == nil || !j.accepted || j.cancelRequested || j.reportedCancelled || j.spec.Job.Kind == jobs.Service || j.acceptedAt > until {
			continue
		}
		for _, group := range []string{"class " + j.spec.Job.Class, "team " + j.spec.Job.Team} {
			if shares[group] == nil {
				shares[group] = &share{}
			}
			shares[group].asked++
			if j.reportedDone {
				shares[group].done++
			}
		}
	}
	for group, n := range shares {
		if n.done*2 < n.asked {
			c.fail("served", "%d of %d jobs of %s are done", n.done, n.asked, group)
		}
	}
}

// checkAnswered checks at each query that an accepted job is not forgotten: once fault injection has
// ended, a query about it is answered at least every 75 seconds.
func (c *checker) checkAnswered(j *userJob) {
	since := max(c.faultsEndedAt, c.lastAnswer[j], j.acceptedAt)
	if c.faultsEndedAt > 0 && j.accepted && !j.cancelRequested && !j.reportedCancelled && c.sim.now-since > maxUnanswered {
		c.fail("forgotten", "no query about job %d was answered since %v", j.id, since.Round(time.Second))
	}
}

const (
	maxUnanswered   = 75 * time.Second // longest time without an answer to a query about a job
	maxStartDelay   = 4 * time.Minute  // longest time from a large job's acceptance to its start
	maxWaitWithRoom = 90 * time.Second // longest time that a job waits although machines have room

	// maxAnswerReordering is how long after a newer answer an older one may reach its user. The older
	// answer may be on its way to the controller that forwarded the request, which waits for callTimeout.
	maxAnswerReordering = callTimeout + 50*time.Millisecond
)

// Information levels of an answer about a job: none, that it is accepted, or how it ended.
const (
	noInformation = iota
	jobAccepted
	jobEnded
)

// checkAnswerOrder checks that an answer does not reach its user more than maxAnswerReordering
// after an answer of a higher information level from any controller.
func (c *checker) checkAnswerOrder(j *userJob, a answer) {
	level := noInformation
	switch {
	case a.Status == 404:
	case a.Status != 200 && a.Status != 201:
		return
	case a.State == wire.Done || a.State == wire.Cancelled:
		level = jobEnded
	default:
		level = jobAccepted
	}
	for higher := level + 1; higher <= jobEnded; higher++ {
		if at := j.firstAtLevel[higher]; at > 0 {
			c.sim.cover("answer overtaken by a newer one")
			if c.sim.now-at > maxAnswerReordering {
				c.fail("older_answer", "job %d: an answer created at %v arrives %v after a newer one",
					j.id, a.createdAt.Round(time.Millisecond), (c.sim.now - at).Round(time.Millisecond))
			}
		}
	}
	for lower := level; lower > noInformation && j.firstAtLevel[lower] == 0; lower-- {
		j.firstAtLevel[lower] = c.sim.now
	}
}

// checkRejected checks the answer to a submission that is malformed or can never run.
func (c *checker) checkRejected(id uint64, spec wire.Submission, a answer, ok bool) {
	switch {
	case !ok || a.Status == 429 || a.Status == 503:
	case spec.Job == nil && a.Status != 400, spec.Job != nil && a.Status != 422:
		c.fail("accepted_unfit", "job %d is answered with %d", id, a.Status)
	default:
		c.sim.cover("invalid submission rejected")
	}
}

// checkStarvation checks for starvation after fault injection has ended: a job has a waiting task,
// a suitable machine has room and its team is under its limit, all for the whole time, and
// none of its tasks starts. The state of machines is read from the machines themselves.
func (c *checker) checkStarvation() {
	if c.faultsEndedAt == 0 {
		return
	}
	for _, j := range c.sim.jobs {
		if !c.waitsForRoom(j) || !c.hasRoom(j) {
			j.roomSince = 0
			continue
		}
		if j.roomSince == 0 {
			j.roomSince = c.sim.now
		}
		if since := max(j.roomSince, j.lastStart, c.faultsEndedAt); c.sim.now-since > maxWaitWithRoom {
			c.fail("left_waiting", "job %d has waited since %v although machines have room", j.id, since.Round(time.Second))
			j.roomSince = 0
		}
	}
}

// waitsForRoom reports whether a job has a task that could start now if there is room; for a
// gang, all tasks must wait.
func (c *checker) waitsForRoom(j *userJob) bool {
	spec := j.spec.Job
	if spec == nil || !j.accepted || j.cancelRequested || j.reportedCancelled || j.reportedDone || len(spec.Counted) > 0 {
		return false
	}
	for _, dependency := range spec.Follows {
		if !c.allCompleted(dependency) {
			return false
		}
	}
	waiting := c.waitingTasks(j)
	return waiting > 0 && (spec.Kind != jobs.Gang || waiting == spec.Tasks)
}

// waitingTasks counts a job's tasks that have not completed and are on no machine.
func (c *checker) waitingTasks(j *userJob) int {
	n := 0
	for index := range j.spec.Job.Tasks {
		if t := (task{j.id, index}); !c.completedTasks[t] && len(c.placements[t]) == 0 {
			n++
		}
	}
	for _, w := range c.sim.cloud.machines { // a task that fetches its image does not wait
		for t, run := range w.tasks {
			if t.job == j.id && run.state == workers.Fetching && len(c.placements[t]) == 0 {
				n--
			}
		}
	}
	return n
}

// hasRoom reports whether the machines that a job may use have room for one more of its tasks,
// or for a whole gang, within its team's limit.
func (c *checker) hasRoom(j *userJob) bool {
	spec := j.spec.Job
	need := 1
	if spec.Kind == jobs.Gang {
		need = spec.Tasks
	}
	for _, team := range c.sim.cfg.Deployment.Teams {
		if team.Name == spec.Team && team.CPUsMax > 0 && c.cpusInUse[team.Name]+float64(need)*spec.CPUs > team.CPUsMax {
			return false
		}
	}
	inZone, slots := map[string]int{}, map[string]int{}
	for index := range spec.Tasks {
		for machine := range c.placements[task{j.id, index}] {
			inZone[c.machineZones[machine]]++
		}
	}
	for _, w := range c.sim.cloud.machines {
		if !w.up || w.hung || w.reclaimAt > 0 || (w.spot && !spec.Spot) || (spec.Zone != "" && spec.Zone != w.zone) {
			continue
		}
		free := float64(machineCPUs)
		for t := range w.tasks {
			free -= c.sim.jobs[t.job].spec.Job.CPUs
		}
		slots[w.zone] += int(free / spec.CPUs)
	}
	total, largest := 0, 0
	for zone, n := range slots {
		if spec.OneZone && len(inZone) > 0 && inZone[zone] == 0 {
			continue
		}
		if spec.Spread {
			n = min(n, (spec.Tasks+1)/2-inZone[zone])
		}
		total, largest = total+n, max(largest, n)
	}
	if spec.OneZone {
		total = largest
	}
	return total >= need
}

// largestJobs returns a class's largest jobs: the tenth of its jobs with the most work, and the job with
// the most tasks.
func largestJobs(class []*userJob) []*userJob {
	work := func(j *userJob) float64 { return float64(j.spec.Job.Tasks) * j.runTime.Seconds() }
	n := (len(class) + 9) / 10
	slices.SortFunc(class, func(a, b *userJob) int { return cmp.Compare(work(b), work(a)) })
	out := slices.Clone(class[:n])
	slices.SortFunc(class, func(a, b *userJob) int { return cmp.Compare(b.spec.Job.Tasks, a.spec.Job.Tasks) })
	if !slices.Contains(out, class[0]) {
		out = append(out, class[0])
	}
	return out
}

// checkStartDelay checks that the largest jobs of each class started within maxStartDelay. Jobs
// accepted after the given time do not count.
func (c *checker) checkStartDelay(until time.Duration) {
	byClass := map[string][]*userJob{}
	for _, j := range c.sim.jobs {
		if j.spec.Job != nil && j.accepted && !j.cancelRequested && !j.reportedCancelled && j.acceptedAt <= until {
			byClass[j.spec.Job.Class] = append(byClass[j.spec.Job.Class], j)
		}
	}
	for class, list := range byClass {
		for _, j := range largestJobs(list) {
			if startedAt, ok := c.startedAt[j.id]; !ok || startedAt-j.acceptedAt > maxStartDelay {
				c.fail("begins_late", "job %d, one of the largest of class %s, with %d tasks, accepted at %v, started at %v",
					j.id, class, j.spec.Job.Tasks, j.acceptedAt.Round(time.Second), startedAt.Round(time.Second))
			}
		}
	}
}

// allCompleted reports whether all tasks of a job have completed.
func (c *checker) allCompleted(id uint64) bool {
	for index := range c.sim.jobs[id].spec.Job.Tasks {
		if !c.completedTasks[task{id, index}] {
			return false
		}
	}
	return true
}

// dependencies returns the jobs that a job depends on, directly and transitively.
func (c *checker) dependencies(j *userJob) []*userJob {
	var out []*userJob
	if j.spec.Job == nil {
		return nil
	}
	for _, id := range j.spec.Job.Follows {
		if dependency := c.sim.jobs[id]; dependency != nil && dependency.id != j.id {
			out = append(append(out, dependency), c.dependencies(dependency)...)
		}
	}
	return out
}

// taskCompleted records that a task has completed.
func (c *checker) taskCompleted(t task) {
	if c.completedTasks == nil {
		c.completedTasks = map[task]bool{}
	}
	c.completedTasks[t] = true
}

// checkAnswer checks an answer to a request that was sent at the given time. An answer to a request
// sent before the job's end was reported may be out of date, and its state is not checked.
func (c *checker) checkAnswer(j *userJob, a effects.Answer, sent time.Duration) {
	if a.Status == 200 || a.Status == 201 {
		if c.lastAnswer == nil {
			c.lastAnswer = map[*userJob]time.Duration{}
		}
		c.lastAnswer[j] = c.sim.now
	}
	switch {
	case a.Status == 404 && j.accepted:
		c.fail("forgotten", "job %d is answered with 404", j.id)
	case (a.Status == 200 || a.Status == 201) && j.spec.Job == nil:
		c.fail("invented", "job %d, which was never submitted, is answered with %d", j.id, a.Status)
	}
	if a.Status == 404 {
		j.state = "unknown"
	}
	if a.Status != 200 && a.Status != 201 {
		return
	}
	if (j.reportedDone || j.reportedCancelled) && sent <= j.endReportedAt {
		return
	}
	j.state = []string{"queued", "running", "done", "cancelled"}[a.State]
	if j.reportedDone && sent > j.endReportedAt && a.State != wire.Done {
		c.fail("went_back", "job %d was reported done and is now %s", j.id, j.state)
	}
	if j.reportedCancelled && sent > j.endReportedAt && a.State != wire.Cancelled {
		c.fail("went_back", "job %d was reported cancelled and is now %s", j.id, j.state)
	}
	limit := settingsSeconds(c.sim.cfg.Deployment.Workers.CancelS)
	mayBeCancelled := j.cancelRequested
	for _, dependency := range c.dependencies(j) {
		mayBeCancelled = mayBeCancelled || dependency.cancelRequested
		if dependency.reportedCancelled && sent > dependency.endReportedAt+limit && (a.State == wire.Queued || a.State == wire.Running) {
			c.fail("orphaned", "job %d is %s although job %d is cancelled", j.id, j.state, dependency.id)
		}
	}
	switch a.State {
	case wire.Done:
		if !j.reportedDone {
			j.reportedDone, j.endReportedAt = true, c.sim.now
			c.sim.pollIntensively(j, false)
		}
		for index := range j.spec.Job.Tasks {
			if !c.completedTasks[task{j.id, index}] {
				c.fail("not_done", "job %d is reported done without task %d", j.id, index)
			}
		}
	case wire.Cancelled:
		if !mayBeCancelled {
			c.fail("went_back", "job %d is reported cancelled without a cancellation request", j.id)
		}
		if !j.reportedCancelled {
			if n := c.sim.tasksOnMachines(j.id); n > 0 && !j.cancelledByOldVersion {
				c.fail("told_early", "job %d is reported cancelled while %d of its tasks are on machines", j.id, n)
			}
			j.reportedCancelled, j.endReportedAt = true, c.sim.now
			c.sim.pollIntensively(j, false)
			c.sim.after(limit, func() {
				for index := range j.spec.Job.Tasks {
					for machine := range c.placements[task{j.id, index}] {
						c.fail("ran_cancelled", "task %d/%d is still on %s after the cancellation deadline", j.id, index, machine)
					}
				}
			})
		}
	}
}
