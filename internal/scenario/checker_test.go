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

// checker watches the platform's rules all the time.
type checker struct {
	s         *sim
	on        map[task]map[string]bool // machines that have a task, once it has its image
	zones     map[string]string
	completeN map[task]bool
	broken    []string
	starts    int
	calm      time.Duration              // when the last trouble is over; 0: not yet
	answered  map[*userJob]time.Duration // when a question about a job was last answered
	begun     map[uint64]time.Duration   // when a job's first task began; of a gang, its last
	ghosts    []ghost
	began     map[string]int     // how many units there were when a job began, by job and pool
	use       map[string]float64 // processors that each team's tasks have, kept up start by start
	idle      map[idleKind]int   // what really happened, for needless orders: see cold_test.go
}

func (c *checker) fail(rule, format string, a ...any) {
	c.broken = append(c.broken, fmt.Sprintf("%s at %v: %s", rule, c.s.now.Round(time.Millisecond), fmt.Sprintf(format, a...)))
}

func (c *checker) started(t task, w *worker) {
	c.starts++
	j := c.s.jobs[t.job]
	j.lastStart = c.s.now
	if j.gone && !j.byProduction {
		c.fail("ran_cancelled", "%d/%d started on %s after its user was told that it is cancelled", t.job, t.k, w.name)
	}
	if c.begun == nil {
		c.begun = map[uint64]time.Duration{}
	}
	if _, ok := c.begun[t.job]; !ok || (j.spec.Job.Kind == 1 && !c.completeN[t]) {
		c.begun[t.job] = c.s.now
	}
	for m := range c.on[t] {
		if m != w.name {
			c.fail("ran_twice", "%d/%d on %s while on %s", t.job, t.k, w.name, m)
		}
	}
	spec := j.spec.Job
	if (w.spot && !spec.Spot) || (spec.Zone != "" && spec.Zone != w.zone) {
		c.fail("wrong_place", "%d/%d on %s", t.job, t.k, w.name)
	}
	for _, f := range spec.Follows {
		if !c.over(f) {
			c.fail("too_early", "%d/%d started before %d was done", t.job, t.k, f)
		}
	}
	if c.completeN[t] {
		c.count(startedDone)
	}
	inZone := 0
	tasks := spec.Tasks
	if !spec.OneZone && !spec.Spread {
		tasks = 0 // nobody asks where the others are
	}
	for k := range tasks {
		for m := range c.on[task{t.job, k}] {
			z := c.zones[m]
			if spec.OneZone && z != w.zone && k != t.k {
				c.fail("wrong_place", "%d in zones %s and %s", t.job, z, w.zone)
			}
			if z == w.zone && k != t.k {
				inZone++
			}
		}
	}
	if spec.Spread && inZone+1 > (spec.Tasks+1)/2 {
		c.fail("wrong_place", "%d of %d tasks of %d in zone %s", inZone+1, spec.Tasks, t.job, w.zone)
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
		c.fail("ran_cancelled", "%d/%d started on %s", t.job, t.k, w.name)
	}
	units := c.units()
	for _, x := range spec.Counted { // more may be out only of a pool that was made smaller, and then none goes out
		most := c.s.poolUnits[x.Pool]
		if x.PerJob { // a job that began when there were more keeps what it has
			key := fmt.Sprint(t.job, x.Pool)
			if c.began == nil {
				c.began = map[string]int{}
			}
			c.began[key] = max(c.began[key], most)
			most = c.began[key]
		}
		if units[x.Pool] > most {
			c.fail("overdrawn", "%d units of %s are out, there are %d: %d/%d on %s", units[x.Pool], x.Pool, most, t.job, t.k, w.name)
		}
	}
	for _, team := range c.s.cfg.Deployment.Teams {
		if limit := c.s.teamLimit(team); limit > 0 && c.use[team.Name] > limit && (team.Name == spec.Team || len(c.s.configs.limits) == 0) {
			c.fail("quota", "%s uses %v of %v", team.Name, c.use[team.Name], limit)
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

// served holds what each class and each team got against what it asked for: a day on
// which less than half of the accepted jobs of any one of them are done has failed.
// Jobs that their users cancelled do not count, nor those that came after a time.
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

// asked holds a question about a job against the rule that none is forgotten: once all
// troubles are over, one of 75 seconds is answered, however others fare.
func (c *checker) asked(j *userJob) {
	since := max(c.calm, c.answered[j], j.acceptedAt)
	if c.calm > 0 && j.accepted && !j.asked && !j.gone && c.s.now-since > forgottenAfter {
		c.fail("forgotten", "no question about %d was answered since %v", j.id, since.Round(time.Second))
	}
}

const (
	forgottenAfter = 75 * time.Second
	beginsWithin   = 4 * time.Minute
	leftWaiting    = 90 * time.Second

	// olderMost is how long after a newer answer an older one may reach its user: it was on
	// its way to the controller that the user had asked, which gives such a call up.
	olderMost = wait + 50*time.Millisecond
)

// What an answer tells of a job: nothing, that it is accepted, or how it ended.
const (
	nothing = iota
	accepted
	final
)

// inOrder holds an answer, when it reaches its user, against all that any controller has
// told that user before.
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
			c.s.saw("an answer that a newer one had overtaken")
			if c.s.now-at > olderMost {
				c.fail("older_answer", "%d: an answer made at %v comes %v after a newer one", j.id, a.made.Round(time.Millisecond), (c.s.now - at).Round(time.Millisecond))
			}
		}
	}
	for less := tells; less > nothing && j.newest[less] == 0; less-- {
		j.newest[less] = c.s.now
	}
}

// unfit takes the answer to a submission of a job that can never run, or is malformed.
func (c *checker) unfit(id uint64, spec wire.Submission, a answer, ok bool) {
	switch {
	case !ok || a.Status == 429 || a.Status == 503:
	case spec.Job == nil && a.Status != 400, spec.Job != nil && a.Status != 422:
		c.fail("accepted_unfit", "%d gets %d", id, a.Status)
	default:
		c.s.saw("an odd submission refused")
	}
}

// stillWaiting looks for jobs that are left waiting: troubles over, one of which a task waits while
// a machine that fits it has room and its team is under its limit, for all of the time, and
// none of whose tasks starts. What machines have is looked up on the machines.
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
			c.fail("left_waiting", "%d has waited since %v beside a machine with room", j.id, since.Round(time.Second))
			j.roomSince = 0
		}
	}
}

// waits says whether a task of a job could start now but for room; of a gang all of them.
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
	for _, w := range c.s.cloud.machines { // fetching its image
		for t, x := range w.tasks {
			if t.job == j.id && x.state == workers.Fetching && len(c.on[t]) == 0 {
				n--
			}
		}
	}
	return n
}

// hasRoom says whether machines that a job may use have room for one more of its tasks, or
// for all of a gang, with its team under its limit.
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

// largest picks a class's largest jobs: the tenth with most work, and the widest.
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

// beginInTime holds the largest jobs of each class against the time in which they must
// begin. Jobs that came after a time do not count.
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
				c.fail("begins_late", "%d, of the largest of class %s, %d tasks, accepted at %v, began at %v", j.id, class, j.spec.Job.Tasks, j.acceptedAt.Round(time.Second), at.Round(time.Second))
			}
		}
	}
}

// over says whether all tasks of a job have completed.
func (c *checker) over(id uint64) bool {
	for k := range c.s.jobs[id].spec.Job.Tasks {
		if !c.completeN[task{id, k}] {
			return false
		}
	}
	return true
}

// before lists the jobs that a job needs, directly or through others.
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

// told takes an answer to a request that was sent at a time: one sent before
// another answer was told may be overtaken by it.
func (c *checker) told(j *userJob, a effects.Answer, sent time.Duration) {
	if a.Status == 200 || a.Status == 201 {
		if c.answered == nil {
			c.answered = map[*userJob]time.Duration{}
		}
		c.answered[j] = c.s.now
	}
	switch {
	case a.Status == 404 && j.accepted:
		c.fail("forgotten", "%d gets 404", j.id)
	case (a.Status == 200 || a.Status == 201) && j.spec.Job == nil:
		c.fail("invented", "%d gets %d", j.id, a.Status)
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
		c.fail("went_back", "%d was done, is %s", j.id, j.state)
	}
	if j.gone && sent > j.goneAt && a.State != wire.Cancelled {
		c.fail("went_back", "%d was cancelled, is %s", j.id, j.state)
	}
	limit := settingsSeconds(c.s.cfg.Deployment.Workers.CancelS)
	mayEnd := j.asked
	for _, b := range c.before(j) {
		mayEnd = mayEnd || b.asked
		if b.gone && sent > b.goneAt+limit && (a.State == wire.Queued || a.State == wire.Running) {
			c.fail("orphaned", "%d is %s, though %d is cancelled", j.id, j.state, b.id)
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
				c.fail("not_done", "%d is called done without task %d", j.id, k)
			}
		}
	case wire.Cancelled:
		if !mayEnd {
			c.fail("went_back", "%d was not cancelled by its user", j.id)
		}
		if !j.gone {
			if n := c.s.somewhere(j.id); n > 0 && !j.byProduction {
				c.fail("told_early", "%d is called cancelled while %d of its tasks are on machines", j.id, n)
			}
			j.gone, j.goneAt = true, c.s.now
			c.s.look(j, false)
			c.s.after(limit, func() {
				for k := range j.spec.Job.Tasks {
					for m := range c.on[task{j.id, k}] {
						c.fail("ran_cancelled", "%d/%d is still on %s", j.id, k, m)
					}
				}
			})
		}
	}
}
