package scenario

import (
	"maps"
	"slices"
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
)

// machineCPUs is the number of CPUs of the only machine type.
const machineCPUs = 4

// task identifies a task by its job and its index in the job.
type task struct {
	job   uint64
	index int
}

// taskAttempt is an attempt to run a task on a machine.
type taskAttempt struct {
	attempt uint64
	state   workers.TaskState
	reason  workers.Reason
	saved   bool
}

// worker simulates a machine and its worker process.
type worker struct {
	sim             *sim
	name            string
	zone            string
	spot            bool
	up              bool
	hung            bool // sends no reports, executes no direct commands and completes no tasks
	session         uint64
	incarnation     int // number of restarts of its process
	seq             uint64
	token           uint64 // of the latest answer or direct command that it accepted
	tasks           map[task]*taskAttempt
	ended           []endedAttempt // not yet reaped by the leader
	controllerIndex int            // index of the controller that it reports to
	reportInFlight  bool
	lastReport      time.Duration
	leaseRenewedAt  time.Duration // when the last report that was answered was sent
	reclaimAt       time.Duration // when the cloud reclaims it; 0: no notice given
	scheduledReport int           // number of the latest scheduled report; earlier ones are not sent
	faulty          bool          // every task that starts on it fails
	everUsed        bool          // it has been assigned a task
	healthySince    time.Duration // since when it has been neither hung nor partitioned
}

type endedAttempt struct {
	task
	taskAttempt
}

func (w *worker) boot() {
	if w.sim.cloud.machines[w.name] != w {
		return
	}
	if !w.sim.cloud.rentalAnswered[w.name] {
		w.sim.cover("a machine up before its rental was answered")
	}
	w.up = true
	w.leaseRenewedAt = w.sim.now
	w.watchLease()
	w.scheduledReport++
	w.sendReport(w.scheduledReport)
}

// terminate removes the machine with everything that runs on it.
func (w *worker) terminate() {
	w.countLostResults()
	for t := range w.tasks {
		w.loseTask(t, workers.Vanished)
	}
	w.up = false
}

// watchLease schedules the check of the worker's lease. When the lease expires, the worker
// discards its tasks and starts a new session.
func (w *worker) watchLease() {
	length := settingsSeconds(w.sim.cfg.Deployment.Workers.LeaseS)
	w.sim.after(w.leaseRenewedAt+length-w.sim.now+time.Millisecond, func() {
		if !w.up {
			return
		}
		if w.sim.now-w.leaseRenewedAt > length {
			for t := range w.tasks {
				w.loseTask(t, workers.Vanished)
			}
			w.countLostResults()
			w.tasks = map[task]*taskAttempt{}
			w.ended = nil
			w.session++
			w.leaseRenewedAt = w.sim.now
			w.reportSoon()
		}
		w.watchLease()
	})
}

// reportSoon schedules a report after a change, at least 500 ms after the previous one.
func (w *worker) reportSoon() {
	w.scheduleReport(max(0, w.lastReport+500*time.Millisecond-w.sim.now))
}

func (w *worker) scheduleReport(delay time.Duration) {
	w.scheduledReport++
	scheduled := w.scheduledReport
	w.sim.after(delay, func() { w.sendReport(scheduled) })
}

func (w *worker) sendReport(scheduled int) {
	if !w.up || scheduled != w.scheduledReport {
		return
	}
	if w.reportInFlight || w.hung {
		w.scheduleReport(200 * time.Millisecond)
		return
	}
	w.reportInFlight = true
	w.lastReport = w.sim.now
	report := w.snapshot()
	target := w.sim.nodes[w.controllerIndex%len(w.sim.nodes)]
	w.sim.maybeDuplicate(func() {
		if other := w.sim.nodes[w.sim.rng.IntN(len(w.sim.nodes))]; other.up {
			switch {
			case report.Session < w.session:
				w.sim.cover("duplicate report of an earlier session")
			case report.Seq < w.seq:
				w.sim.cover("duplicate report after newer ones")
			}
			if leader := w.sim.leader(); leader != nil && leader.core.Epoch() > report.Token>>cluster.TokenBits {
				w.sim.cover("duplicate report of an earlier term")
			}
			other.core.HandleHeartbeat(other.clock(), 0, report) // the answer is discarded
			other.drain()
		}
	})
	if w.sim.replayShare > 0 && w.sim.rng.Float64() < w.sim.replayShare {
		w.sim.replayReports = append(w.sim.replayReports, report)
	}
	sent, session, incarnation := w.sim.now, w.session, w.incarnation
	failOver := func() {
		w.sim.redirects = append(w.sim.redirects, w.sim.now)
		w.controllerIndex++
		w.scheduleReport(time.Second)
	}
	if w.sim.reportsLost[w.name] {
		w.sim.cover("report of a machine lost in a one-way partition")
		w.reportInFlight = false
		failOver()
		return
	}
	call(w.sim, w.name, target.name, 4*time.Second, func(reply func(effects.HeartbeatAnswer)) {
		if !target.up {
			return
		}
		target.lastRequest++
		target.reportReplies[target.lastRequest] = reply
		w.sim.loadStats.timeInput("reports", func() { target.core.HandleHeartbeat(target.clock(), target.lastRequest, report) })
		target.drain()
	}, func(answer effects.HeartbeatAnswer, ok bool) {
		if incarnation != w.incarnation {
			return // the process that sent the report has ended
		}
		w.reportInFlight = false
		if !w.up {
			return
		}
		switch {
		case !ok:
			failOver()
		case answer.Status == 421:
			for i, other := range w.sim.nodes {
				if other.name == answer.Node && other != target {
					w.sim.redirects = append(w.sim.redirects, w.sim.now)
					w.controllerIndex = i
					w.scheduleReport(100 * time.Millisecond)
					return
				}
			}
			failOver()
		case answer.Status != 200:
			failOver()
		default:
			w.scheduleReport(settingsSeconds(w.sim.cfg.Deployment.Workers.ReportS * (0.75 + 0.5*w.sim.rng.Float64())))
			if answer.Token < w.token || session != w.session {
				w.sim.cover("an answer dropped for its token or session")
				return
			}
			if w.sim.now-sent > time.Second && len(answer.Commands) > 0 {
				w.sim.cover("delayed commands executed")
			}
			changed := answer.Token > w.token
			w.token, w.leaseRenewedAt = answer.Token, sent
			for _, cmd := range answer.Commands {
				changed = w.execute(cmd) || changed
			}
			if changed {
				w.reportSoon()
			}
		}
	})
}

// taskList returns the tasks that are on the machine.
func (w *worker) taskList() []task { return slices.Collect(maps.Keys(w.tasks)) }

// snapshot returns a report of the worker's current state, with the next sequence number.
func (w *worker) snapshot() *workers.Report {
	w.seq++
	report := &workers.Report{
		Machine: w.name, Address: w.name, Type: "m4", Zone: w.zone, Spot: w.spot,
		Session: w.session, Seq: w.seq, Token: w.token,
	}
	if w.reclaimAt > 0 {
		report.Notice, report.NoticeS = true, (w.reclaimAt - w.sim.now).Seconds()
	}
	for t, run := range w.tasks {
		report.Tasks = append(report.Tasks, workers.TaskReport{Job: t.job, Task: t.index, Attempt: run.attempt, State: run.state})
	}
	for _, run := range w.ended {
		report.Tasks = append(report.Tasks, workers.TaskReport{
			Job: run.job, Task: run.index, Attempt: run.attempt, State: workers.Ended, Reason: run.reason, Saved: run.saved,
		})
	}
	slices.SortFunc(report.Tasks, func(a, b workers.TaskReport) int {
		return int(int64(a.Job)-int64(b.Job))*1000 + a.Task - b.Task
	})
	return report
}

// handleDirect handles commands that were sent directly to the worker. A hung worker may execute
// them later, when their sender has given up on them.
func (w *worker) handleDirect(token, session uint64, cmds []workers.Command, reply func(*workers.Report)) {
	switch {
	case !w.up:
	case w.hung:
		w.sim.cover("direct command to a hung machine")
		w.sim.after(500*time.Millisecond, func() { w.handleDirect(token, session, cmds, reply) })
	case token < w.token || session != w.session:
		w.sim.cover("direct command rejected for its token or session")
		reply(nil)
	default:
		if w.sim.reportsLost[w.name] {
			w.sim.cover("direct command reached a machine whose reports are lost")
		}
		w.token = token
		for _, cmd := range cmds {
			if w.execute(cmd) {
				w.reportSoon()
			}
		}
		reply(w.snapshot())
	}
}

// restartEmpty restarts the machine at once under the same name, with all its state lost.
func (w *worker) restartEmpty() {
	w.terminate()
	w.incarnation++
	w.tasks, w.ended = map[task]*taskAttempt{}, nil
	w.up, w.hung, w.reportInFlight = true, false, false
	w.session, w.seq, w.token, w.leaseRenewedAt = 1, 0, 0, w.sim.now
	w.scheduledReport++
	w.sendReport(w.scheduledReport)
}

// execute executes a command and reports whether that changed the worker's state.
func (w *worker) execute(command workers.Command) bool {
	t := task{command.Job, command.Task}
	switch command.Op {
	case workers.Start:
		return w.startTask(t, command.Attempt)
	case workers.Stop:
		run := w.tasks[t]
		if run == nil || run.attempt != command.Attempt {
			return false
		}
		if j := w.sim.jobs[t.job]; !j.cancelRequested && run.state == workers.Running {
			w.sim.check.countUnnecessary(stoppedRunning)
			if w.sim.onPreempt != nil && w.reclaimAt == 0 {
				w.sim.onPreempt(j, w)
			}
		}
		w.endTask(t, workers.Stopped)
		return true
	default:
		before := len(w.ended)
		w.ended = slices.DeleteFunc(w.ended, func(run endedAttempt) bool { return run.task == t && run.attempt == command.Attempt })
		return before != len(w.ended)
	}
}

// startTask starts an attempt of a task, or records why it cannot. It reports whether the worker's state
// changed.
func (w *worker) startTask(t task, attempt uint64) bool {
	j := w.sim.jobs[t.job]
	if run := w.tasks[t]; run != nil {
		if run.attempt != attempt {
			w.ended = append(w.ended, endedAttempt{t, taskAttempt{attempt: attempt, reason: workers.Busy}})
		}
		return run.attempt != attempt
	}
	if slices.ContainsFunc(w.ended, func(run endedAttempt) bool { return run.task == t && run.attempt == attempt }) {
		return false
	}
	if j == nil || j.spec.Job == nil {
		w.ended = append(w.ended, endedAttempt{t, taskAttempt{attempt: attempt, reason: workers.UnknownTask}})
		return true
	}
	used := j.spec.Job.CPUs
	for other := range w.tasks {
		used += w.sim.jobs[other.job].spec.Job.CPUs
	}
	if used > machineCPUs {
		w.ended = append(w.ended, endedAttempt{t, taskAttempt{attempt: attempt, reason: workers.InsufficientResources}})
		return true
	}
	w.sim.reachStep("before the start carried out")
	w.everUsed = true
	defer w.sim.reachStep("after the start carried out")
	run := &taskAttempt{attempt: attempt, state: workers.Fetching}
	w.tasks[t] = run
	session := w.session
	w.sim.after(w.sim.imageFetch, func() {
		if w.tasks[t] != run || w.session != session {
			return
		}
		w.sim.check.taskStarted(t, w)
		if w.sim.check.completedTasks[t] {
			w.endTask(t, workers.Completed) // the result of an earlier run is still stored
			return
		}
		if w.faulty {
			w.endTask(t, workers.Failed)
			return
		}
		if j.spec.Job.Kind == jobs.Gang {
			w.gather(t, run)
			return
		}
		run.state = workers.Running
		w.reportSoon()
		if j.spec.Job.Kind == jobs.Service {
			return
		}
		w.sim.runEnds[t] = w.sim.now + j.taskRunTime(t.index)
		w.sim.after(j.taskRunTime(t.index), func() { w.complete(t, run) })
	})
	return true
}

// complete ends a task with a result; on a hung machine it does so when the machine resumes.
func (w *worker) complete(t task, run *taskAttempt) {
	if w.tasks[t] != run {
		return
	}
	if w.hung {
		w.sim.after(time.Second, func() { w.complete(t, run) })
		return
	}
	w.sim.check.taskCompleted(t)
	if j := w.sim.jobs[t.job]; w.sim.cancelAtEndShare > 0 && w.sim.check.allCompleted(t.job) && !j.cancelRequested &&
		w.sim.rng.Float64() < w.sim.cancelAtEndShare {
		w.sim.cover("cancellation at the completion of the last task")
		w.sim.cancel(j, w.sim.rng.IntN(len(w.sim.nodes)))
	}
	if spec := w.sim.jobs[t.job].spec.Job; spec.Kind == jobs.Gang {
		for index := range spec.Tasks { // a gang completes as a whole when one of its tasks does
			w.sim.check.taskCompleted(task{t.job, index})
		}
	}
	w.endTask(t, workers.Completed)
}

// gather starts a gang's tasks once all of them wait at the barrier; a task that waits for
// longer than GangWaitS ends with GangIncomplete.
func (w *worker) gather(t task, run *taskAttempt) {
	j := w.sim.jobs[t.job]
	run.state = workers.Gathering
	w.reportSoon()
	var starts []func()
	found := map[int]bool{}
	for _, other := range w.sim.cloud.machines {
		for otherTask, otherRun := range other.tasks {
			if otherTask.job == t.job && otherRun.attempt == run.attempt && otherRun.state == workers.Gathering {
				found[otherTask.index] = true
				starts = append(starts, func() {
					otherRun.state = workers.Running
					other.reportSoon()
					w.sim.after(j.runTime, func() { other.complete(otherTask, otherRun) })
				})
			}
		}
	}
	if len(found) == j.spec.Job.Tasks {
		for _, start := range starts {
			start()
		}
		return
	}
	w.sim.after(settingsSeconds(w.sim.cfg.Deployment.Workers.GangWaitS), func() {
		if w.tasks[t] == run && run.state == workers.Gathering {
			w.endTask(t, workers.GangIncomplete)
		}
	})
}

// endTask ends a task, which stays in the reports until the leader reaps it.
func (w *worker) endTask(t task, reason workers.Reason) {
	run := w.tasks[t]
	delete(w.tasks, t)
	ended := *run
	ended.state, ended.reason = workers.Ended, reason
	w.ended = append(w.ended, endedAttempt{t, ended})
	w.sim.check.taskRemoved(t, w)
	if j := w.sim.jobs[t.job]; reason != workers.Completed && run.state == workers.Running && j.spec.Job.Kind == jobs.Gang {
		w.endPeers(t, run.attempt)
	}
	w.reportSoon()
}

// loseTask removes a task without a report of its end.
func (w *worker) loseTask(t task, _ workers.Reason) {
	run := w.tasks[t]
	delete(w.tasks, t)
	w.sim.check.taskLost(t, w)
	w.sim.check.taskRemoved(t, w)
	if w.sim.jobs[t.job].spec.Job.Kind == jobs.Gang && run.state == workers.Running {
		w.endPeers(t, run.attempt)
	}
}

// endPeers ends the other tasks of a running gang, GangPeerS after one of its tasks was lost.
func (w *worker) endPeers(t task, attempt uint64) {
	w.sim.after(settingsSeconds(w.sim.cfg.Deployment.Workers.GangPeerS), func() {
		for _, other := range w.sim.cloud.machines {
			for otherTask, otherRun := range other.tasks {
				if otherTask.job == t.job && otherRun.attempt == attempt && otherRun.state == workers.Running {
					other.endTask(otherTask, workers.PeersLost)
				}
			}
		}
	})
}
