package scenario

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/wire"
)

// checker checks the platform's invariants throughout a simulation.
type checker struct {
	s         *sim
	on        map[task]map[string]bool // machines that run a task, after its image was fetched
	zones     map[string]string
	completeN map[task]bool
	broken    []string
	starts    int
	calm      time.Duration              // when fault injection ended; 0: not yet
	answered  map[*userJob]time.Duration // when a query about a job was last answered
	begun     map[uint64]time.Duration   // when a job's first task started; for a gang, its last
	ghosts    []ghost
	began     map[string]int     // largest pool size since a job started, by job and pool
	use       map[string]float64 // CPUs in use by each team's tasks, updated at each start and end
	idle      map[idleKind]int   // number of unnecessary commands by kind, see cold_test.go
}

func (c *checker) fail(rule, format string, a ...any) {
	c.broken = append(c.broken, fmt.Sprintf("%s at %v: %s", rule, c.s.now.Round(time.Millisecond), fmt.Sprintf(format, a...)))
}

func (c *checker) started(t task, w *worker) {
	c.starts++
	j := c.s.jobs[t.job]
	j.lastStart = c.s.now
	if j.gone && !j.byProduction {
		c.fail("ran_cancelled", "task %d/%d started on %s after its user was told that the job is cancelled", t.job, t.k, w.name)
	}
	if c.begun == nil {
		c.begun = map[uint64]time.Duration{}
	}
	if _, ok := c.begun[t.job]; !ok || (j.spec.Job.Kind == 1 && !c.completeN[t]) {
		c.begun[t.job] = c.s.now
	}
	for m := range c.on[t] {
		if m != w.name {
			c.fail("ran_twice", "task %d/%d runs on %s while it runs on %s", t.job, t.k, w.name, m)
		}
	}
	spec := j.spec.Job
	if (w.spot && !spec.Spot) || (spec.Zone != "" && spec.Zone != w.zone) {
		c.fail("wrong_place", "task %d/%d runs on %s", t.job, t.k, w.name)
	}
	for _, f := range spec.Follows {
		if !c.over(f) {
			c.fail("too_early", "task %d/%d started before job %d was done", t.job, t.k, f)
		}
	}
	if c.completeN[t] {
		c.count(startedDone)
	}
	inZone := 0
	tasks := spec.Tasks
	if !spec.OneZone && !spec.Spread {
		tasks = 0 // the places of the other tasks do not matter
	}
	for k := range tasks {
		for m := range c.on[task{t.job, k}] {
			z := c.zones[m]
			if spec.OneZone && z != w.zone && k != t.k {
				c.fail("wrong_place", "job %d runs in zones %s and %s", t.job, z, w.zone)
			}
			if z == w.zone && k != t.k {
				inZone++
			}
		}
	}
	if spec.Spread && inZone+1 > (spec.Tasks+1)/2 {
		c.fail("wrong_place", "%d of %d tasks of job %d run in zone %s", inZone+1, spec.Tasks, t.job, w.zone)
	}
	if c.on[t] == nil {
		c.on[t] = map[string]bool{}
	}
	if c.zones == nil {
		c.zones = map[string]string{}
	}
	if c.use == nil {
		c.use = map[string]float64{}
	}
	if !c.on[t][w.name] {
		c.use[spec.Team] += spec.CPUs
	}
	c.on[t][w.name] = true
	c.zones[w.name] = w.zone
	if j.gone && c.s.now > j.goneAt+settingsSeconds(c.s.cfg.Deployment.Workers.CancelS) {
		c.fail("ran_cancelled", "task %d/%d started on %s", t.job, t.k, w.name)
	}
	units := c.units()
	// Only a pool that was shrunk may be over its size, and then no task that needs it starts.
	for _, x := range spec.Counted {
		most := c.s.poolUnits[x.Pool]
		if x.PerJob { // a job that started when the pool was larger keeps its units
			key := fmt.Sprint(t.job, x.Pool)
			if c.began == nil {
				c.began = map[string]int{}
			}
			c.began[key] = max(c.began[key], most)
			most = c.began[key]
		}
		if units[x.Pool] > most {
			c.fail("overdrawn", "%d units of pool %s are in use of %d: task %d/%d on %s", units[x.Pool], x.Pool, most, t.job, t.k, w.name)
		}
	}
	for _, team := range c.s.cfg.Deployment.Teams {
		if limit := c.s.teamLimit(team); limit > 0 && c.use[team.Name] > limit && (team.Name == spec.Team || len(c.s.configs.limits) == 0) {
			c.fail("quota", "team %s uses %v CPUs of %v", team.Name, c.use[team.Name], limit)
		}
	}
}

func (c *checker) left(t task, w *worker) {
	if c.on[t][w.name] {
		spec := c.s.jobs[t.job].spec.Job
		c.use[spec.Team] -= spec.CPUs
		delete(c.on[t], w.name)
	}
}

// served checks that at least half of the accepted jobs of each class and of each team are
// done. Services, cancelled jobs and jobs accepted after the given time do not count.
func (c *checker) served(until time.Duration) {
	type sum struct{ asked, done int }
	by := map[string]*sum{}
	for _, j := range c.s.jobs {
		if j.spec.Job == nil || !j.accepted || j.asked || j.gone || j.spec.Job.Kind == 2 || j.acceptedAt > until {
			continue
		}
		for _, who := range []string{"class " + j.spec.Job.Class, "team " + j.spec.Job.Team} {
			if by[who] == nil {
				by[who] = &sum{}
			}
			by[who].asked++
			if j.toldDone {
				by[who].done++
			}
		}
	}
	for who, n := range by {
		if n.done*2 < n.asked {
			c.fail("served", "%d of %d jobs of %s are done", n.done, n.asked, who)
		}
	}
}

// asked checks at each query that an accepted job is not forgotten: once fault injection has
// ended, a query about it is answered at least every 75 seconds.
func (c *checker) asked(j *userJob) {
	since := max(c.calm, c.answered[j], j.acceptedAt)
	if c.calm > 0 && j.accepted && !j.asked && !j.gone && c.s.now-since > forgottenAfter {
		c.fail("forgotten", "no query about job %d was answered since %v", j.id, since.Round(time.Second))
	}
}

const (
	forgottenAfter = 75 * time.Second
	beginsWithin   = 4 * time.Minute
	leftWaiting    = 90 * time.Second

	// olderMost is how long after a newer answer an older one may reach its user. It may be on
	// its way to the controller that forwarded the request, which times out after that long.
	olderMost = wait + 50*time.Millisecond
)

// Information levels of an answer about a job: none, that it is accepted, or how it ended.
const (
	nothing = iota
	accepted
	final
)

// inOrder checks that an answer does not reach its user more than olderMost after an answer
// of a higher information level from any controller.
func (c *checker) inOrder(j *userJob, a answer) {
	tells := nothing
	switch {
	case a.Status == 404:
	case a.Status != 200 && a.Status != 201:
		return
	case a.State == wire.Done || a.State == wire.Cancelled:
		tells = final
	default:
		tells = accepted
	}
	for more := tells + 1; more <= final; more++ {
		if at := j.newest[more]; at > 0 {
			c.s.saw("answer overtaken by a newer one")
			if c.s.now-at > olderMost {
				c.fail("older_answer", "job %d: an answer created at %v arrives %v after a newer one", j.id, a.made.Round(time.Millisecond), (c.s.now - at).Round(time.Millisecond))
			}
		}
	}
	for less := tells; less > nothing && j.newest[less] == 0; less-- {
		j.newest[less] = c.s.now
	}
}

// unfit checks the answer to a submission that is malformed or can never run.
func (c *checker) unfit(id uint64, spec wire.Submission, a answer, ok bool) {
	switch {
	case !ok || a.Status == 429 || a.Status == 503:
	case spec.Job == nil && a.Status != 400, spec.Job != nil && a.Status != 422:
		c.fail("accepted_unfit", "job %d is answered with %d", id, a.Status)
	default:
		c.s.saw("invalid submission rejected")
	}
}

// stillWaiting checks for starvation after fault injection has ended: a job has a waiting task,
// a suitable machine has room and its team is under its limit, all for the whole time, and
// none of its tasks starts. The state of machines is read from the machines themselves.
func (c *checker) stillWaiting() {
	if c.calm == 0 {
		return
	}
	for _, j := range c.s.jobs {
		if !c.waits(j) || !c.hasRoom(j) {
			j.roomSince = 0
			continue
		}
		if j.roomSince == 0 {
			j.roomSince = c.s.now
		}
		if since := max(j.roomSince, j.lastStart, c.calm); c.s.now-since > leftWaiting {
			c.fail("left_waiting", "job %d has waited since %v although machines have room", j.id, since.Round(time.Second))
			j.roomSince = 0
		}
	}
}

// waits reports whether a job has a task that could start now if there is room; for a gang, all
// tasks must wait.
func (c *checker) waits(j *userJob) bool {
	spec := j.spec.Job
	if spec == nil || !j.accepted || j.asked || j.gone || j.toldDone || len(spec.Counted) > 0 {
		return false
	}
	for _, f := range spec.Follows {
		if !c.over(f) {
			return false
		}
	}
	waiting := c.waiting(j)
	return waiting > 0 && (spec.Kind != 1 || waiting == spec.Tasks)
}

// waiting counts a job's tasks that have not completed and are on no machine.
func (c *checker) waiting(j *userJob) int {
	n := 0
	for k := range j.spec.Job.Tasks {
		if t := (task{j.id, k}); !c.completeN[t] && len(c.on[t]) == 0 {
			n++
		}
	}
	for _, w := range c.s.cloud.machines { // a task that fetches its image does not wait
		for t, x := range w.tasks {
			if t.job == j.id && x.state == workers.Fetching && len(c.on[t]) == 0 {
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
	if spec.Kind == 1 {
		need = spec.Tasks
	}
	for _, team := range c.s.cfg.Deployment.Teams {
		if team.Name == spec.Team && team.CPUsMax > 0 && c.use[team.Name]+float64(need)*spec.CPUs > team.CPUsMax {
			return false
		}
	}
	inZone, places := map[string]int{}, map[string]int{}
	for k := range spec.Tasks {
		for m := range c.on[task{j.id, k}] {
			inZone[c.zones[m]]++
		}
	}
	for _, w := range c.s.cloud.machines {
		if !w.up || w.hung || w.notice > 0 || (w.spot && !spec.Spot) || (spec.Zone != "" && spec.Zone != w.zone) {
			continue
		}
		free := float64(machineCPUs)
		for t := range w.tasks {
			free -= c.s.jobs[t.job].spec.Job.CPUs
		}
		places[w.zone] += int(free / spec.CPUs)
	}
	all, most := 0, 0
	for zone, n := range places {
		if spec.OneZone && len(inZone) > 0 && inZone[zone] == 0 {
			continue
		}
		if spec.Spread {
			n = min(n, (spec.Tasks+1)/2-inZone[zone])
		}
		all, most = all+n, max(most, n)
	}
	if spec.OneZone {
		all = most
	}
	return all >= need
}

// largest returns a class's largest jobs: the tenth with the most work, and the one with the most
// tasks.
func largest(class []*userJob) []*userJob {
	work := func(j *userJob) float64 { return float64(j.spec.Job.Tasks) * j.run.Seconds() }
	n := (len(class) + 9) / 10
	slices.SortFunc(class, func(a, b *userJob) int { return cmp.Compare(work(b), work(a)) })
	out := slices.Clone(class[:n])
	slices.SortFunc(class, func(a, b *userJob) int { return cmp.Compare(b.spec.Job.Tasks, a.spec.Job.Tasks) })
	if !slices.Contains(out, class[0]) {
		out = append(out, class[0])
	}
	return out
}

// beginInTime checks that the largest jobs of each class started within beginsWithin. Jobs
// accepted after the given time do not count.
func (c *checker) beginInTime(until time.Duration) {
	by := map[string][]*userJob{}
	for _, j := range c.s.jobs {
		if j.spec.Job != nil && j.accepted && !j.asked && !j.gone && j.acceptedAt <= until {
			by[j.spec.Job.Class] = append(by[j.spec.Job.Class], j)
		}
	}
	for class, list := range by {
		for _, j := range largest(list) {
			if at, ok := c.begun[j.id]; !ok || at-j.acceptedAt > beginsWithin {
				c.fail("begins_late", "job %d, one of the largest of class %s, with %d tasks, accepted at %v, started at %v", j.id, class, j.spec.Job.Tasks, j.acceptedAt.Round(time.Second), at.Round(time.Second))
			}
		}
	}
}

// over reports whether all tasks of a job have completed.
func (c *checker) over(id uint64) bool {
	for k := range c.s.jobs[id].spec.Job.Tasks {
		if !c.completeN[task{id, k}] {
			return false
		}
	}
	return true
}

// before returns the jobs that a job depends on, directly and transitively.
func (c *checker) before(j *userJob) []*userJob {
	var out []*userJob
	if j.spec.Job == nil {
		return nil
	}
	for _, f := range j.spec.Job.Follows {
		if b := c.s.jobs[f]; b != nil && b.id != j.id {
			out = append(append(out, b), c.before(b)...)
		}
	}
	return out
}

func (c *checker) completed(t task) {
	if c.completeN == nil {
		c.completeN = map[task]bool{}
	}
	c.completeN[t] = true
}

// told checks an answer to a request that was sent at the given time. An answer to a request
// sent before the job's end was reported may be out of date, and its state is not checked.
func (c *checker) told(j *userJob, a effects.Answer, sent time.Duration) {
	if a.Status == 200 || a.Status == 201 {
		if c.answered == nil {
			c.answered = map[*userJob]time.Duration{}
		}
		c.answered[j] = c.s.now
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
	if (j.toldDone || j.gone) && sent <= j.goneAt {
		return
	}
	j.state = []string{"queued", "running", "done", "cancelled"}[a.State]
	if j.toldDone && sent > j.goneAt && a.State != wire.Done {
		c.fail("went_back", "job %d was reported done and is now %s", j.id, j.state)
	}
	if j.gone && sent > j.goneAt && a.State != wire.Cancelled {
		c.fail("went_back", "job %d was reported cancelled and is now %s", j.id, j.state)
	}
	limit := settingsSeconds(c.s.cfg.Deployment.Workers.CancelS)
	mayEnd := j.asked
	for _, b := range c.before(j) {
		mayEnd = mayEnd || b.asked
		if b.gone && sent > b.goneAt+limit && (a.State == wire.Queued || a.State == wire.Running) {
			c.fail("orphaned", "job %d is %s although job %d is cancelled", j.id, j.state, b.id)
		}
	}
	switch a.State {
	case wire.Done:
		if !j.toldDone {
			j.toldDone, j.goneAt = true, c.s.now
			c.s.look(j, false)
		}
		for k := range j.spec.Job.Tasks {
			if !c.completeN[task{j.id, k}] {
				c.fail("not_done", "job %d is reported done without task %d", j.id, k)
			}
		}
	case wire.Cancelled:
		if !mayEnd {
			c.fail("went_back", "job %d is reported cancelled, but its user did not cancel it", j.id)
		}
		if !j.gone {
			if n := c.s.somewhere(j.id); n > 0 && !j.byProduction {
				c.fail("told_early", "job %d is reported cancelled while %d of its tasks are on machines", j.id, n)
			}
			j.gone, j.goneAt = true, c.s.now
			c.s.look(j, false)
			c.s.after(limit, func() {
				for k := range j.spec.Job.Tasks {
					for m := range c.on[task{j.id, k}] {
						c.fail("ran_cancelled", "task %d/%d is still on %s after the cancellation deadline", j.id, k, m)
					}
				}
			})
		}
	}
}
