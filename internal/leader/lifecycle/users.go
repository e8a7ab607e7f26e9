package lifecycle

import (
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/scheduler"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/wire"
)

// What users ask of the leader.

// Submit takes a submission.
func (d *Component) Submit(now time.Duration, to effects.RequestID, s wire.Submission) {
	if j := d.Jobs.Find(s.ID); j != nil && j.Phase == jobs.Accepting {
		d.submitRequests[s.ID] = append(d.submitRequests[s.ID], to)
		return
	}
	if a, ok := d.jobState(s.ID); ok {
		d.Emit(effects.Reply{To: to, Answer: a})
		return
	}
	if s.Job == nil {
		d.Emit(effects.Reply{To: to, Answer: effects.Answer{Status: 400, Why: s.Bad}})
		return
	}
	if len(d.Types) == 0 {
		d.Emit(effects.Reply{To: to, Answer: effects.Unavailable("the machine types are not known yet")})
		return
	}
	if why := d.rejectionReason(s.Job); why != "" {
		d.Emit(effects.Reply{To: to, Answer: effects.Answer{Status: 422, Why: why}})
		return
	}
	if len(s.Job.Counted) > 0 {
		if d.Pools == nil {
			d.Emit(effects.Reply{To: to, Answer: effects.Unavailable("counted: the leader has no pools in its settings")})
			return
		}
		if why := d.Pools.Never(s.Job); why != "" {
			d.Emit(effects.Reply{To: to, Answer: effects.Answer{Status: 422, Why: why}})
			return
		}
	}
	if why, known := d.dependencyProblem(s.Job); !known {
		d.Emit(effects.Reply{To: to, Answer: effects.Unavailable(why)})
		return
	} else if why != "" {
		d.Emit(effects.Reply{To: to, Answer: effects.Answer{Status: 422, Why: why}})
		return
	}
	s.Job.AtMS = d.ClockZeroMS + now.Milliseconds()
	if rec, _ := d.storedForm(*s.Job); !d.EventLog.Fits(eventlog.Entry{Job: &rec}) {
		d.Emit(effects.Reply{To: to, Answer: effects.Answer{Status: 400, Why: "breeds and other names: too long to be stored"}})
		return
	}
	if d.EventLog.Pending() > 2000 {
		d.Emit(effects.Reply{To: to, Answer: effects.Answer{Status: 429, Why: "too much is waiting to be written", RetryAfter: 2}})
		return
	}
	j := d.addJob(*s.Job, now)
	d.resolveTypes(j)
	d.submitRequests[s.ID] = append(d.submitRequests[s.ID], to)
	d.EventLog.AppendTracked(d.acceptanceEntry(j))
}

// rejectionReason says why a job can never run, or nothing.
func (d *Component) rejectionReason(j *eventlog.Job) string {
	team, ok := d.Teams.Lookup(j.Team)
	if !ok || !d.HasTeam(team) {
		return "keeper: no such team"
	}
	need := resources.Need(j.CPUs, j.GPUs, j.MemoryGB)
	fits := slices.ContainsFunc(d.Types, func(ty eventlog.MachineType) bool {
		return need.Fits(resources.Room(ty.CPUs, ty.GPUs, ty.MemoryGB)) &&
			(j.Types == nil || slices.Contains(j.Types, ty.Name)) && (j.Zone == "" || slices.Contains(ty.Zones, j.Zone))
	})
	if !fits {
		return "a task fits no allowed machine type"
	}
	all := need
	if j.Kind != jobs.Array {
		all = need.Times(j.Tasks)
	}
	l := d.Scheduler.Limits[team]
	if (l.CPU > 0 && all.CPU > l.CPU) || (l.GPU > 0 && all.GPU > l.GPU) {
		return "more than the team's limit"
	}
	return ""
}

// cpuShare is how many processors of a machine a task takes up, counting those
// that its memory or accelerators leave unusable, on the type that suits it
// best.
func (d *Component) cpuShare(j *jobs.Job) float64 {
	best := j.Record.CPUs
	found := false
	for i, ty := range d.Types {
		if n := scheduler.TasksThatFit(j.Need, resources.Room(ty.CPUs, ty.GPUs, ty.MemoryGB)); n > 0 && (j.Types == nil || (i < len(j.Types) && j.Types[i])) {
			if s := ty.CPUs / float64(n); !found || s < best {
				best, found = s, true
			}
		}
	}
	return max(best, j.Record.CPUs)
}

// jobState is what users may be told of a job.
func (d *Component) jobState(id uint64) (effects.Answer, bool) {
	if p, ok := d.Jobs.Final(id); ok {
		s := wire.Done
		if p == jobs.Cancelled {
			s = wire.Cancelled
		}
		return effects.Answer{Status: 200, ID: id, State: s}, true
	}
	j := d.Jobs.Find(id)
	if j == nil || j.Phase == jobs.Accepting {
		return effects.Answer{}, false
	}
	s := wire.Queued
	if j.Running > 0 {
		s = wire.Running
	}
	return effects.Answer{Status: 200, ID: id, State: s, Counts: true, Done: j.DurableCount, Running: j.Running}, true
}

// Query answers for a job's state.
func (d *Component) Query(to effects.RequestID, id uint64) {
	if a, ok := d.jobState(id); ok {
		d.Emit(effects.Reply{To: to, Answer: a})
		return
	}
	if d.Jobs.Find(id) != nil {
		d.Emit(effects.Reply{To: to, Answer: effects.Unavailable("being accepted")})
		return
	}
	d.Emit(effects.Reply{To: to, Answer: effects.Answer{Status: 404, Why: "no such job"}})
}

// mostAskers bounds those who wait to be told of one cancellation: each is told to come back
// after a second.
const maxCancelRequests = 64

// Cancel cancels a job: its tasks are stopped at once, and its user is told once nothing of
// it is left anywhere. A user who cannot be told in time asks again.
func (d *Component) Cancel(now time.Duration, to effects.RequestID, id uint64) {
	if _, over := d.Jobs.Final(id); over {
		a, _ := d.jobState(id)
		d.Emit(effects.Reply{To: to, Answer: a})
		return
	}
	j := d.Jobs.Find(id)
	if j == nil {
		d.Emit(effects.Reply{To: to, Answer: effects.Answer{Status: 404, Why: "no such job"}})
		return
	}
	if list := d.cancelRequests[id]; len(list) >= maxCancelRequests {
		d.cancelRequests[id] = slices.Delete(list, 0, 1) // it was told to come back long ago
	}
	d.cancelRequests[id] = append(d.cancelRequests[id], to)
	if j.Phase == jobs.Cancelling || j.Finished == len(j.Tasks) {
		return // answered with what becomes durable first
	}
	j.CancelAskedAt = now
	if j.Phase == jobs.Accepting {
		if !j.CancelPending { // it has no task before its acceptance is durable
			d.writeCancellation(now, j)
		}
		return
	}
	j.Phase = jobs.Cancelling
	d.cancelling[id] = j
	d.stopTasks(j)
}

func (d *Component) answer(sure bool, to effects.RequestID, a effects.Answer) {
	if !sure {
		a = effects.Unavailable("leadership is in doubt")
	}
	d.Emit(effects.Reply{To: to, Answer: a})
}

func (d *Component) answerCancellations(sure bool, id uint64) {
	a, _ := d.jobState(id)
	for _, to := range d.cancelRequests[id] {
		d.answer(sure, to, a)
	}
	delete(d.cancelRequests, id)
}
