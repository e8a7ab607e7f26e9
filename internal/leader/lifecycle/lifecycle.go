// Package lifecycle is the duty that takes jobs from their submission to their
// end: it accepts, links, releases, cancels and completes them, and answers
// their users. It alone writes entries of jobs, of what they follow, of their
// completed tasks, cancellations and final states.
package lifecycle

import (
	"maps"
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

// Upper bounds for what one item takes in an entry of the log, and rough sizes
// that tell how much of the log is live.
const (
	maxRangeBytes   = 16
	maxIDBytes      = 21
	openJobBytes    = 400
	finalStateBytes = 9
)

// Component is the life of all jobs in a term.
type Component struct {
	cluster.NopComponent
	*cluster.State

	// tasks completed but not yet handed to the log, by job id
	completed      map[uint64]*eventlog.CompletedTasks
	submitRequests map[uint64][]effects.RequestID
	cancelRequests map[uint64][]effects.RequestID // askers of a cancellation
	cancelling     map[uint64]*jobs.Job           // jobs whose cancellation waits until nothing of them is anywhere

	cancelSeconds        *cluster.Histogram
	replayedDependencies map[uint64][]eventlog.Dependencies // while the log is replayed
	replayedDoneAt       map[uint64]int64
	compactedFinals      eventlog.FinalStates // final states to be written anew by the cleaning under way
}

// New makes the duty of a term.
func New(s *cluster.State) *Component {
	return &Component{State: s, cancelSeconds: s.Metrics.Histogram("bitternmoor_cancel_seconds", "Time from a user's wish to cancel a job until nothing of it was left anywhere, by its class.",
		"class", []float64{0.05, 0.2, 0.5, 1, 2, 4, 8, 15, 30, 60}), completed: map[uint64]*eventlog.CompletedTasks{}, submitRequests: map[uint64][]effects.RequestID{}, cancelRequests: map[uint64][]effects.RequestID{},
		cancelling: map[uint64]*jobs.Job{}, replayedDependencies: map[uint64][]eventlog.Dependencies{}, replayedDoneAt: map[uint64]int64{}}
}

// Replay takes an entry of the log.
func (d *Component) Replay(now time.Duration, e eventlog.Entry) {
	switch {
	case e.FinalStates != nil:
		for _, id := range e.FinalStates.Done {
			d.replayFinalState(id, jobs.Done)
		}
		for _, id := range e.FinalStates.Cancelled {
			d.replayFinalState(id, jobs.Cancelled)
		}
	case e.Job != nil:
		if _, over := d.Jobs.Final(e.Job.ID); !over && d.Jobs.Find(e.Job.ID) == nil {
			d.addJob(*e.Job, now)
		}
	case e.Cancel != nil:
		if j := d.Jobs.Find(*e.Cancel); j != nil {
			d.replayFinalState(j.Record.ID, jobs.Cancelled)
		}
	case e.CompletedTasks != nil:
		if e.CompletedTasks.AtMS != 0 {
			d.replayedDoneAt[e.CompletedTasks.ID] = max(d.replayedDoneAt[e.CompletedTasks.ID], e.CompletedTasks.AtMS)
		}
		j := d.Jobs.Find(e.CompletedTasks.ID)
		if j == nil {
			return
		}
		for _, r := range e.CompletedTasks.Ranges {
			for k := r[0]; k < r[1] && k < len(j.Tasks); k++ {
				j.MarkDurable(k)
			}
		}
		j.RunSeconds += e.CompletedTasks.Seconds
		j.RunCount += e.CompletedTasks.Known
		if j.DurableCount == len(j.Tasks) {
			d.Estimator.RestoreHistory(j.RunSeconds, j.RunCount)
			d.replayFinalState(j.Record.ID, jobs.Done)
		}
	case e.Dependencies != nil:
		d.replayedDependencies[e.Dependencies.ID] = append(d.replayedDependencies[e.Dependencies.ID], *e.Dependencies)
	}
}

// Begin settles what every job waits for and enters the open ones into the
// order.
func (d *Component) Begin(now time.Duration) {
	d.restoreDependencies(now, d.replayedDependencies, d.replayedDoneAt)
	d.replayedDependencies, d.replayedDoneAt = nil, nil
	for _, j := range d.Jobs.All() {
		if j == nil {
			continue
		}
		d.resolveTypes(j)
		if j.Record.Kind == jobs.Service || j.Phase == jobs.Held {
			continue
		}
		d.Estimator.Add(j.Index, j.Team, len(j.Tasks), j.Record.CPUs, j.Record.Kind == jobs.Gang)
		took := -1.0
		if j.RunCount > 0 {
			took = j.RunSeconds / float64(j.RunCount)
		}
		for k, s := range j.Tasks {
			if s == jobs.DoneDurably {
				d.Estimator.Completed(j.Index, k, took)
			}
		}
	}
}

// EntryDurable acts on an entry that has become durable.
func (d *Component) EntryDurable(now time.Duration, sure bool, e eventlog.Entry) {
	switch {
	case e.Job != nil:
		d.acceptanceDurable(now, sure, e.Job.ID)
	case e.Cancel != nil:
		id := *e.Cancel
		if j := d.Jobs.Find(id); j != nil && j.Phase != jobs.Done && j.Phase != jobs.Cancelled {
			d.applyCancellation(sure, j)
		}
		d.answerCancellations(sure, id)
	case e.CompletedTasks != nil:
		d.completionsDurable(now, sure, e.CompletedTasks)
	}
}

// acceptanceDurable acts on an acceptance that is durable: its user is told, and the job
// enters the order unless it follows others.
func (d *Component) acceptanceDurable(now time.Duration, sure bool, id uint64) {
	j := d.Jobs.Find(id)
	j.Phase = jobs.Open
	if len(d.cancelRequests[id]) > 0 {
		j.Phase = jobs.Cancelling
	}
	switch linked := d.resolveDependencies(j); {
	case !linked:
		d.applyCancellation(sure, j)
		d.Counts.CancelSpread++
		d.LogMessage(effects.Info, "job cancelled on arrival: it follows a cancelled one", "job", id)
	case len(j.Dependencies) == 0:
		d.enqueue(now, j)
	case j.Phase == jobs.Open:
		j.Phase = jobs.Held
	}
	a, _ := d.jobState(id)
	a.Status, a.Counts = 201, false
	for _, to := range d.submitRequests[id] {
		d.answer(sure, to, a)
		a.Status = 200
	}
	delete(d.submitRequests, id)
	if j.Phase == jobs.Cancelled {
		d.answerCancellations(sure, id)
	}
}

// completionsDurable acts on completions that are durable.
func (d *Component) completionsDurable(now time.Duration, sure bool, done *eventlog.CompletedTasks) {
	j := d.Jobs.Find(done.ID)
	if j == nil {
		return
	}
	for _, r := range done.Ranges {
		for k := r[0]; k < r[1]; k++ {
			j.MarkDurable(k)
		}
	}
	if j.DurableCount < len(j.Tasks) {
		return
	}
	j.Phase = jobs.Done
	d.Jobs.Finish(done.ID, jobs.Done)
	d.Estimator.Remove(j.Index, true, j.RunSeconds, j.RunCount)
	d.Publish(cluster.Event{Kind: cluster.JobDone, At: now, Job: j})
	d.LogMessage(effects.Debug, "job done", "job", j.Record.ID, "class", j.Record.Class, "tasks", len(j.Tasks), "mean", j.Mean(), "estimate", j.Record.EstimateS,
		"first_start", (j.FirstAt - j.AcceptedAt).Round(100*time.Millisecond), "last_start", (j.LastAt - j.AcceptedAt).Round(100*time.Millisecond), "after", (now - j.AcceptedAt).Round(100*time.Millisecond))
	for _, f := range d.Jobs.RemoveDependency(j) {
		if len(f.Dependencies) == 0 && f.Phase == jobs.Held {
			d.release(now, f)
		}
	}
	d.RemoveIfFinished(j)
	d.answerCancellations(sure, done.ID)
}

// HandleEvent collects completed tasks for one entry of the log.
func (d *Component) HandleEvent(e cluster.Event) {
	if e.Kind != cluster.TaskDone {
		return
	}
	id := e.Job.Record.ID
	b := d.completed[id]
	if b == nil {
		b = &eventlog.CompletedTasks{ID: id}
		d.completed[id] = b
	}
	b.Add(e.Task)
	if e.RunSeconds >= 0 {
		b.Seconds = float64(int64((b.Seconds+e.RunSeconds)*100)) / 100
		b.Known++
	}
}

// AppendEntries hands completed tasks to the log, and cancellations of which nothing is left.
//
// A cancellation becomes durable, and its user is told, only once nothing of the job is on
// any machine, nor can be. Found on days on which the state service refused the leader
// alone and then everybody: another leader had confirmed cancellations, the old one kept
// its workers alive, and nobody who knew of the one could reach the other. Whatever fails
// after the user was told, and whoever then leads, answers workers or knows of nothing:
// there is nothing left that could run.
func (d *Component) AppendEntries(now time.Duration) {
	d.appendCompleted(now)
	for _, id := range slices.Sorted(maps.Keys(d.cancelling)) {
		switch j := d.cancelling[id]; {
		case j.Finished == len(j.Tasks): // done before it could be stopped
			delete(d.cancelling, id)
		case d.Quiescent(j):
			delete(d.cancelling, id)
			d.writeCancellation(now, j)
		}
	}
}

// writeCancellation has a cancellation written.
func (d *Component) writeCancellation(now time.Duration, j *jobs.Job) {
	j.CancelPending = true
	d.cancelSeconds.Observe(j.Record.Class, (now - j.CancelAskedAt).Seconds())
	d.LogMessage(effects.Debug, "nothing of a job that is to be cancelled is left", "job", j.Record.ID, "class", j.Record.Class, "after", (now - j.CancelAskedAt).Round(time.Millisecond))
	d.EventLog.AppendTracked(eventlog.Entry{Cancel: &j.Record.ID})
}

// appendCompleted hands completed tasks to the log.
func (d *Component) appendCompleted(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(d.completed)) {
		d.appendTasks(now, *d.completed[id])
	}
	clear(d.completed)
}

// LiveBytes is roughly how many bytes Keep would write for the whole log.
func (d *Component) LiveBytes() int {
	return d.Jobs.Len()*openJobBytes + d.Jobs.Finals()*finalStateBytes
}

// Compact writes anew what is live of an entry.
func (d *Component) Compact(now time.Duration, e eventlog.Entry) {
	switch {
	case e.Dependencies != nil:
		// One for one, beside the job's own entry: the two may be in different
		// segments, and what a waiting job follows must never be lost.
		if j := d.Jobs.Find(e.Dependencies.ID); j != nil && j.Record.AtMS == e.Dependencies.AtMS {
			d.EventLog.Append(e)
		}
	case e.Job != nil:
		if _, over := d.Jobs.Final(e.Job.ID); over {
			d.compactFinalState(e.Job.ID)
		} else if j := d.Jobs.Find(e.Job.ID); j != nil {
			d.compactOpenJob(now, j)
		}
	case e.FinalStates != nil:
		for _, id := range e.FinalStates.Done {
			d.compactFinalState(id)
		}
		for _, id := range e.FinalStates.Cancelled {
			d.compactFinalState(id)
		}
	}
}

// CompactionDone writes the final states gathered meanwhile.
func (d *Component) CompactionDone() { d.appendFinalStates(1) }

func (d *Component) compactFinalState(id uint64) {
	switch p, _ := d.Jobs.Final(id); p {
	case jobs.Done:
		d.compactedFinals.Done = append(d.compactedFinals.Done, id)
	case jobs.Cancelled:
		d.compactedFinals.Cancelled = append(d.compactedFinals.Cancelled, id)
	}
	d.appendFinalStates(max(1, d.EventLog.MaxEntryBytes()/maxIDBytes-2))
}

func (d *Component) appendFinalStates(least int) {
	if len(d.compactedFinals.Done)+len(d.compactedFinals.Cancelled) >= least {
		o := d.compactedFinals
		d.EventLog.Append(eventlog.Entry{FinalStates: &o})
		d.compactedFinals = eventlog.FinalStates{}
	}
}

// End answers everybody who still waits; the next leader knows more.
func (d *Component) End() {
	for _, waiting := range []map[uint64][]effects.RequestID{d.submitRequests, d.cancelRequests} {
		for _, list := range waiting {
			for _, to := range list {
				d.Emit(effects.Reply{To: to, Answer: effects.Unavailable("leadership has changed")})
			}
		}
	}
	d.submitRequests, d.cancelRequests = nil, nil
}

// stopTasks stops all tasks of a job that is to be cancelled.
func (d *Component) stopTasks(j *jobs.Job) {
	on := map[*workers.Machine]bool{}
	for k, s := range j.Tasks {
		ref := workers.Ref{Job: j.Index, Task: int32(k)}
		if p := d.Placements[ref]; s == jobs.Placed && p != nil {
			if p.Planned {
				d.CancelPlan(p)
			} else {
				p.Stopping, p.GraceSeconds = true, 0
				on[p.Machine] = true
			}
		}
	}
	for m := range on {
		d.SendStops(m)
	}
}

// replayFinalState notes a final state while replaying, whatever stood before it.
func (d *Component) replayFinalState(id uint64, p jobs.Phase) {
	d.Jobs.Finish(id, p)
	if j := d.Jobs.Find(id); j != nil {
		d.Jobs.Remove(j)
	}
}

func (d *Component) addJob(rec eventlog.Job, now time.Duration) *jobs.Job {
	rec.RevealPoolUnits()
	j := d.Jobs.Add(rec)
	j.Team = d.TeamIndex(rec.Team) // of an earlier configuration, perhaps: its jobs stay accepted
	j.Image = d.Images.Index(rec.Image)
	j.Spot = rec.Spot && (rec.Checkpoint > 0 || rec.EstimateS <= d.Cfg.Tunables.SpotTaskS)
	d.setDeadlines(j, d.toClock(rec.AtMS, now))
	return j
}

// toClock is a time of day on this node's clock; none is later than now.
func (d *Component) toClock(ms int64, now time.Duration) time.Duration {
	return min(now, time.Duration(ms-d.ClockZeroMS)*time.Millisecond)
}

// setDeadlines settles the times that count from a job's arrival, or from its
// release.
func (d *Component) setDeadlines(j *jobs.Job, at time.Duration) {
	j.AcceptedAt = at
	j.PriorityWindows, j.LastAim, j.LostUntil = nil, 0, 0
	j.BehindUntil = at + d.deferral(j)
	for _, o := range d.Cfg.Deployment.Objectives {
		if o.Class != j.Record.Class {
			continue
		}
		if o.Kind == settings.AimFinished {
			d.addStartDeadline(j, at, o.WithinS)
			j.LastAim = max(j.LastAim, at+settings.Seconds(o.WithinS))
			j.LostUntil = max(j.LostUntil, at+settings.Seconds(o.WithinS*d.Cfg.Tunables.LostBehind))
		}
		if o.Kind == settings.AimWait && d.Cfg.Tunables.WaitLeadS > 0 {
			d.addPriorityWindow(j, at, o.WithinS)
		}
		if o.Kind == settings.AimWait && d.Cfg.Tunables.DirectStarts > 0 && j.Record.Kind != jobs.Gang && d.Cfg.NeedsDispatch(o) {
			j.Prompt = true
		}
	}
}

// addStartDeadline has a best-effort job, which goes behind the order at first, go
// ahead of it in time for an aim for its end, and at once where that cannot be
// made: such jobs set the end of the day.
func (d *Component) addStartDeadline(j *jobs.Job, at time.Duration, within float64) {
	if j.Priority > 0 || d.Cfg.Tunables.WaitLeadS == 0 {
		return
	}
	latest := within - overrunFactor*j.Record.EstimateS - placingSeconds
	if latest <= 0 {
		j.PriorityWindows = append(j.PriorityWindows, [2]time.Duration{at, at + settings.Seconds(within)})
		j.BehindUntil = 0
		return
	}
	j.BehindUntil = min(j.BehindUntil, d.addPriorityWindow(j, at, latest))
}

// addPriorityWindow has a job's waiting tasks go ahead of the order for a while before
// the latest time at which they should start, and says from when on.
func (d *Component) addPriorityWindow(j *jobs.Job, at time.Duration, latest float64) time.Duration {
	from := at + settings.Seconds(latest-min(d.Cfg.Tunables.WaitLeadS, maxLeadShare*latest))
	j.PriorityWindows = append(j.PriorityWindows, [2]time.Duration{from, at + settings.Seconds(latest)})
	return from
}

// What startBy leaves for tasks that run longer than estimated, and for
// placing all of a job.
const (
	overrunFactor  = 1.2
	placingSeconds = 10

	maxLeadShare = 0.7 // of an aim that is short: not all of its class goes ahead from the start
)

// resolveTypes settles which machine types a job may use and what a task takes up on
// them. It is called once the types are known: while the log is replayed they
// may come after the job.
func (d *Component) resolveTypes(j *jobs.Job) {
	if j.Record.Types != nil {
		j.Types = make([]bool, max(d.TypeNames.Len(), 1))
		for _, n := range j.Record.Types {
			if i, ok := d.TypeNames.Lookup(n); ok {
				j.Types[i] = true
			}
		}
	}
	j.Share = d.cpuShare(j)
	j.FitsWithoutGPU = false
	for i, ty := range d.Types {
		j.FitsWithoutGPU = j.FitsWithoutGPU || (ty.GPUs == 0 && (j.Types == nil || (i < len(j.Types) && j.Types[i])) && (j.Record.Zone == "" || slices.Contains(ty.Zones, j.Record.Zone)) &&
			j.Need.Fits(resources.Room(ty.CPUs, 0, ty.MemoryGB)))
	}
}

// deferral is how long a job goes behind the order: best-effort work until
// some time before its class's tightest aim, so that small jobs of it do not
// jump the queue of those that are in more of a hurry.
func (d *Component) deferral(j *jobs.Job) time.Duration {
	if j.Priority > 0 {
		return 0
	}
	tightest := 0.0
	for _, o := range d.Cfg.Deployment.Objectives {
		if o.Class == j.Record.Class && o.WithinS > 0 && (tightest == 0 || o.WithinS < tightest) {
			tightest = o.WithinS
		}
	}
	if d.Cfg.Tunables.LowLeadS == 0 {
		return 0
	}
	return settings.Seconds(max(0, tightest-d.Cfg.Tunables.LowLeadS))
}

// acceptanceEntry is what is durable of a job's acceptance. What it follows may take
// entries of its own, which are appended and kept beside it from then on.
func (d *Component) acceptanceEntry(j *jobs.Job) eventlog.Entry {
	rec, parts := d.storedForm(j.Record)
	if j.Record.Rest == 0 {
		for _, p := range parts {
			d.EventLog.Append(p)
		}
	}
	j.Record.Rest = rec.Rest
	return eventlog.Entry{Job: &rec}
}

// appendTasks appends completed tasks, in as many entries as they need, with
// the time of day for a job that others wait for.
func (d *Component) appendTasks(now time.Duration, b eventlog.CompletedTasks) {
	if j := d.Jobs.Find(b.ID); j != nil && len(j.Dependents) > 0 {
		b.AtMS = d.ClockZeroMS + now.Milliseconds()
	}
	most := max(1, d.EventLog.MaxEntryBytes()/maxRangeBytes-4)
	for len(b.Ranges) > most {
		part := eventlog.CompletedTasks{ID: b.ID, Ranges: b.Ranges[:most], AtMS: b.AtMS}
		d.EventLog.AppendTracked(eventlog.Entry{CompletedTasks: &part})
		b.Ranges = b.Ranges[most:]
	}
	d.EventLog.AppendTracked(eventlog.Entry{CompletedTasks: &b})
}

// compactOpenJob appends what is known of an open job. Completed tasks that are on
// their way to the log are in it too: their own entry will stand before the job
// that is written here, and be replayed without it.
func (d *Component) compactOpenJob(now time.Duration, j *jobs.Job) {
	d.EventLog.Append(d.acceptanceEntry(j))
	noted := eventlog.CompletedTasks{ID: j.Record.ID, Seconds: j.RunSeconds, Known: j.RunCount}
	for k, s := range j.Tasks {
		if s == jobs.DoneDurably || s == jobs.Finished {
			noted.Add(k)
		}
	}
	if len(noted.Ranges) > 0 {
		d.appendTasks(now, noted)
	}
	if size, final := d.Estimator.Size(j.Index); final && size > 0 {
		d.EventLog.Append(eventlog.Entry{FinalSize: &eventlog.FinalSize{ID: j.Record.ID, Size: size}})
	}
}

// CanCompact says whether all that is live of these entries can be written anew.
// What was stored under larger limits may be too large now: then it stays
// where it is until the job is over. A cancellation on its way to the log would
// stand before the job that is written anew, and be replayed without it.
func (d *Component) CanCompact(entries []eventlog.Entry) bool {
	for _, e := range entries {
		if e.Job == nil {
			continue
		}
		if j := d.Jobs.Find(e.Job.ID); j != nil {
			if rec, _ := d.storedForm(j.Record); j.CancelPending || !d.EventLog.Fits(eventlog.Entry{Job: &rec}) {
				return false
			}
		}
	}
	return true
}
