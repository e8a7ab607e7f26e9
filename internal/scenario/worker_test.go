package scenario

import (
	"maps"
	"slices"
	"time"

	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
)

// machineCPUs is the number of CPUs of the only machine type.
const machineCPUs = 4

type task struct {
	job uint64
	k   int
}

// run is an attempt to run a task on a machine.
type run struct {
	attempt uint64
	state   workers.TaskState
	reason  workers.Reason
	saved   bool
}

// worker simulates a machine and its worker process.
type worker struct {
	s         *sim
	name      string
	zone      string
	spot      bool
	up        bool
	hung      bool
	session   uint64
	life      int // number of restarts of its process
	seq       uint64
	token     uint64
	tasks     map[task]*run
	ended     []endedRun
	at        int // index of the controller that it reports to
	flight    bool
	last      time.Duration
	renewed   time.Duration // when the last report that was answered was sent
	notice    time.Duration // when the cloud reclaims it; 0: no notice given
	plan      int           // number of the latest scheduled report; earlier ones are not sent
	faulty    bool
	used      bool          // it has been assigned a task
	fineSince time.Duration // since when it has been neither hung nor partitioned
}

type endedRun struct {
	task
	run
}

func (w *worker) boot() {
	if w.s.cloud.machines[w.name] != w {
		return
	}
	if !w.s.cloud.told[w.name] {
		w.s.saw("a machine up before its rental was answered")
	}
	w.up = true
	w.renewed = w.s.now
	w.lease()
	w.plan++
	w.report(w.plan)
}

// vanish removes the machine with everything that runs on it.
func (w *worker) vanish() {
	w.results()
	for t := range w.tasks {
		w.end(t, workers.Vanished)
	}
	w.up = false
}

// lease schedules the check of the worker's lease. When the lease expires, the worker discards
// its tasks and starts a new session.
func (w *worker) lease() {
	life := settingsSeconds(w.s.cfg.Deployment.Workers.LeaseS)
	w.s.after(w.renewed+life-w.s.now+time.Millisecond, func() {
		if !w.up {
			return
		}
		if w.s.now-w.renewed > life {
			for t := range w.tasks {
				w.end(t, workers.Vanished)
			}
			w.results()
			w.tasks = map[task]*run{}
			w.ended = nil
			w.session++
			w.renewed = w.s.now
			w.soon()
		}
		w.lease()
	})
}

// soon schedules a report after a change, at least 500 ms after the previous one.
func (w *worker) soon() {
	w.schedule(max(0, w.last+500*time.Millisecond-w.s.now))
}

func (w *worker) schedule(d time.Duration) {
	w.plan++
	p := w.plan
	w.s.after(d, func() { w.report(p) })
}

func (w *worker) report(plan int) {
	if !w.up || plan != w.plan {
		return
	}
	if w.flight || w.hung {
		w.schedule(200 * time.Millisecond)
		return
	}
	w.flight = true
	w.last = w.s.now
	r := w.snapshot()
	c := w.s.nodes[w.at%len(w.s.nodes)]
	w.s.copies(func() {
		if o := w.s.nodes[w.s.rng.IntN(len(w.s.nodes))]; o.up {
			switch {
			case r.Session < w.session:
				w.s.saw("duplicate report of an earlier session")
			case r.Seq < w.seq:
				w.s.saw("duplicate report after newer ones")
			}
			if l := w.s.leader(); l != nil && l.core.Epoch() > r.Token>>cluster.TokenBits {
				w.s.saw("duplicate report of an earlier term")
			}
			o.core.HandleHeartbeat(o.clock(), 0, r) // the answer is discarded
			o.drain()
		}
	})
	if w.s.keep > 0 && w.s.rng.Float64() < w.s.keep {
		w.s.kept = append(w.s.kept, r)
	}
	sent, session, life := w.s.now, w.session, w.life
	next := func() {
		w.s.moved = append(w.s.moved, w.s.now)
		w.at++
		w.schedule(time.Second)
	}
	if w.s.mute[w.name] {
		w.s.saw("report of a machine lost in a one-way partition")
		w.flight = false
		next()
		return
	}
	call(w.s, w.name, c.name, 4*time.Second, func(reply func(effects.HeartbeatAnswer)) {
		if !c.up {
			return
		}
		c.asker++
		c.reports[c.asker] = reply
		w.s.scale.time("reports", func() { c.core.HandleHeartbeat(c.clock(), c.asker, r) })
		c.drain()
	}, func(a effects.HeartbeatAnswer, ok bool) {
		if life != w.life {
			return // the process that sent the report has ended
		}
		w.flight = false
		if !w.up {
			return
		}
		switch {
		case !ok:
			next()
		case a.Status == 421:
			for i, o := range w.s.nodes {
				if o.name == a.Node && o != c {
					w.s.moved = append(w.s.moved, w.s.now)
					w.at = i
					w.schedule(100 * time.Millisecond)
					return
				}
			}
			next()
		case a.Status != 200:
			next()
		default:
			w.schedule(settingsSeconds(w.s.cfg.Deployment.Workers.ReportS * (0.75 + 0.5*w.s.rng.Float64())))
			if a.Token < w.token || session != w.session {
				w.s.saw("an answer dropped for its token or session")
				return
			}
			if w.s.now-sent > time.Second && len(a.Commands) > 0 {
				w.s.saw("delayed commands executed")
			}
			changed := a.Token > w.token
			w.token, w.renewed = a.Token, sent
			for _, cmd := range a.Commands {
				changed = w.execute(cmd) || changed
			}
			if changed {
				w.soon()
			}
		}
	})
}

// on returns the tasks that are on the machine.
func (w *worker) on() []task { return slices.Collect(maps.Keys(w.tasks)) }

// snapshot returns a report of the worker's current state.
func (w *worker) snapshot() *workers.Report {
	w.seq++
	r := &workers.Report{Machine: w.name, Address: w.name, Type: "m4", Zone: w.zone, Spot: w.spot, Session: w.session, Seq: w.seq, Token: w.token}
	if w.notice > 0 {
		r.Notice, r.NoticeS = true, (w.notice - w.s.now).Seconds()
	}
	for t, x := range w.tasks {
		r.Tasks = append(r.Tasks, workers.TaskReport{Job: t.job, Task: t.k, Attempt: x.attempt, State: x.state})
	}
	for _, x := range w.ended {
		r.Tasks = append(r.Tasks, workers.TaskReport{Job: x.job, Task: x.k, Attempt: x.attempt, State: workers.Ended, Reason: x.reason, Saved: x.saved})
	}
	slices.SortFunc(r.Tasks, func(a, b workers.TaskReport) int {
		return int(int64(a.Job)-int64(b.Job))*1000 + a.Task - b.Task
	})
	return r
}

// direct handles commands that were sent directly to the worker. A hung worker may execute
// them later, when their sender has given up on them.
func (w *worker) direct(token, session uint64, cmds []workers.Command, reply func(*workers.Report)) {
	switch {
	case !w.up:
	case w.hung:
		w.s.saw("direct command to a hung machine")
		w.s.after(500*time.Millisecond, func() { w.direct(token, session, cmds, reply) })
	case token < w.token || session != w.session:
		w.s.saw("direct command rejected for its token or session")
		reply(nil)
	default:
		if w.s.mute[w.name] {
			w.s.saw("direct command reached a machine whose reports are lost")
		}
		w.token = token
		for _, cmd := range cmds {
			if w.execute(cmd) {
				w.soon()
			}
		}
		reply(w.snapshot())
	}
}

// reborn restarts the machine at once under the same name, with all its state lost.
func (w *worker) reborn() {
	w.vanish()
	w.life++
	w.tasks, w.ended = map[task]*run{}, nil
	w.up, w.hung, w.flight = true, false, false
	w.session, w.seq, w.token, w.renewed = 1, 0, 0, w.s.now
	w.plan++
	w.report(w.plan)
}

func (w *worker) execute(c workers.Command) bool {
	t := task{c.Job, c.Task}
	switch c.Op {
	case workers.Start:
		return w.startTask(t, c.Attempt)
	case workers.Stop:
		x := w.tasks[t]
		if x == nil || x.attempt != c.Attempt {
			return false
		}
		if j := w.s.jobs[t.job]; !j.asked && x.state == workers.Running {
			w.s.check.count(stopped)
			if w.s.preempted != nil && w.notice == 0 {
				w.s.preempted(j, w)
			}
		}
		w.finish(t, workers.Stopped)
		return true
	default:
		n := len(w.ended)
		w.ended = slices.DeleteFunc(w.ended, func(x endedRun) bool { return x.task == t && x.attempt == c.Attempt })
		return n != len(w.ended)
	}
}

func (w *worker) startTask(t task, attempt uint64) bool {
	j := w.s.jobs[t.job]
	if x := w.tasks[t]; x != nil {
		if x.attempt != attempt {
			w.ended = append(w.ended, endedRun{t, run{attempt: attempt, reason: workers.Busy}})
		}
		return x.attempt != attempt
	}
	if slices.ContainsFunc(w.ended, func(x endedRun) bool { return x.task == t && x.attempt == attempt }) {
		return false
	}
	if j == nil || j.spec.Job == nil {
		w.ended = append(w.ended, endedRun{t, run{attempt: attempt, reason: workers.UnknownTask}})
		return true
	}
	used := j.spec.Job.CPUs
	for o := range w.tasks {
		used += w.s.jobs[o.job].spec.Job.CPUs
	}
	if used > machineCPUs {
		w.ended = append(w.ended, endedRun{t, run{attempt: attempt, reason: workers.InsufficientResources}})
		return true
	}
	w.s.comes("before the start carried out")
	w.used = true
	defer w.s.comes("after the start carried out")
	x := &run{attempt: attempt, state: workers.Fetching}
	w.tasks[t] = x
	session := w.session
	w.s.after(300*time.Millisecond, func() {
		if w.tasks[t] != x || w.session != session {
			return
		}
		w.s.check.started(t, w)
		if w.s.check.completeN[t] {
			w.finish(t, workers.Completed) // the result of an earlier run is still stored
			return
		}
		if w.faulty {
			w.finish(t, workers.Failed)
			return
		}
		if j.spec.Job.Kind == 1 {
			w.gather(t, x)
			return
		}
		x.state = workers.Running
		w.soon()
		if j.spec.Job.Kind == 2 {
			return
		}
		w.s.ends[t] = w.s.now + j.runs(t.k)
		w.s.after(j.runs(t.k), func() { w.complete(t, x) })
	})
	return true
}

func (w *worker) complete(t task, x *run) {
	if w.tasks[t] != x {
		return
	}
	if w.hung {
		w.s.after(time.Second, func() { w.complete(t, x) })
		return
	}
	w.s.check.completed(t)
	if j := w.s.jobs[t.job]; w.s.atEnd > 0 && w.s.check.over(t.job) && !j.asked && w.s.rng.Float64() < w.s.atEnd {
		w.s.saw("cancellation at the completion of the last task")
		w.s.abort(j, w.s.rng.IntN(len(w.s.nodes)))
	}
	if spec := w.s.jobs[t.job].spec.Job; spec.Kind == 1 {
		for k := range spec.Tasks { // a gang completes as a whole when one of its tasks does
			w.s.check.completed(task{t.job, k})
		}
	}
	w.finish(t, workers.Completed)
}

// gather starts a gang's tasks once all of them wait at the barrier; a task that waits for
// longer than GangWaitS ends with GangIncomplete.
func (w *worker) gather(t task, x *run) {
	j := w.s.jobs[t.job]
	x.state = workers.Gathering
	w.soon()
	var all []func()
	found := map[int]bool{}
	for _, o := range w.s.cloud.machines {
		for ot, ox := range o.tasks {
			if ot.job == t.job && ox.attempt == x.attempt && ox.state == workers.Gathering {
				found[ot.k] = true
				all = append(all, func() {
					ox.state = workers.Running
					o.soon()
					w.s.after(j.run, func() { o.complete(ot, ox) })
				})
			}
		}
	}
	if len(found) == j.spec.Job.Tasks {
		for _, f := range all {
			f()
		}
		return
	}
	w.s.after(settingsSeconds(w.s.cfg.Deployment.Workers.GangWaitS), func() {
		if w.tasks[t] == x && x.state == workers.Gathering {
			w.finish(t, workers.GangIncomplete)
		}
	})
}

// finish ends a task, which stays in the reports until the leader reaps it.
func (w *worker) finish(t task, why workers.Reason) {
	x := w.tasks[t]
	delete(w.tasks, t)
	ended := *x
	ended.state, ended.reason = workers.Ended, why
	w.ended = append(w.ended, endedRun{t, ended})
	w.s.check.left(t, w)
	if j := w.s.jobs[t.job]; why != workers.Completed && x.state == workers.Running && j.spec.Job.Kind == 1 {
		w.peers(t, x.attempt)
	}
	w.soon()
}

// end removes a task without a report of its end.
func (w *worker) end(t task, _ workers.Reason) {
	x := w.tasks[t]
	delete(w.tasks, t)
	w.s.check.died(t, w)
	w.s.check.left(t, w)
	if w.s.jobs[t.job].spec.Job.Kind == 1 && x.state == workers.Running {
		w.peers(t, x.attempt)
	}
}

// peers ends the other tasks of a running gang, GangPeerS after one of its tasks was lost.
func (w *worker) peers(t task, attempt uint64) {
	w.s.after(settingsSeconds(w.s.cfg.Deployment.Workers.GangPeerS), func() {
		for _, o := range w.s.cloud.machines {
			for ot, ox := range o.tasks {
				if ot.job == t.job && ox.attempt == attempt && ox.state == workers.Running {
					o.finish(ot, workers.PeersLost)
				}
			}
		}
	})
}
