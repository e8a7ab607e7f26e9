package workers

import (
	"cmp"
	"slices"
	"time"

	"bitternmoor/internal/core/resources"
)

// TaskRef identifies a task by its job's dense index and its number within the job.
type TaskRef struct{ Job, Task int32 }

// NoTaskRef stands for a task whose job has left the job table.
var NoTaskRef = TaskRef{-1, -1}

// Placement is a task that is planned on a machine, or that counts as placed there.
type Placement struct {
	// The task and the resources that it takes.
	Ref     TaskRef
	JobID   uint64
	Image   int32 // index of its image
	Need    resources.Amounts
	Attempt uint64 // number of the attempt; 0: none was assigned yet

	// Location.
	Machine *Machine // where it is placed or, while it is planned, which keeps room for it
	Planned bool     // it was not handed to a machine yet, except possibly by an open offer

	// Offers. A planned task is offered to the controller of its machine's shard with the answers to reports
	// of machines of that shard, and the controller starts it on one of them. The task may be on a machine
	// to which it was offered until a newer report of that machine has been applied.
	Offered            map[*Machine]bool // machines to which it is offered at present
	offeredUnderSerial map[*Machine]bool // machines to which it was offered under the current serial
	Serial             uint64            // number of the offer; a controller starts each serial at most once
	BoundToMachine     bool              // offered only to its own machine: gangs, jobs with zone rules, restarts
	IntentDurable      bool              // a durable record allows the job's tasks up to this one to be started
	NoNewOffers        bool              // it is not offered again until all its offers are closed
	Withdrawn          bool              // the plan is withdrawn once all its offers are closed
	PushDispatch       bool              // to be started directly, without waiting for an idle worker's report

	// AwaitsMachineSince is set while the task may start again only on its machine, and cannot be planned there
	// although its job may start tasks: since when.
	AwaitsMachineSince time.Duration

	// State as reported.
	State         TaskState
	Reported      bool          // a report, or the answer to a direct start, has listed it
	RunningSince  time.Duration // when a report first showed it running
	lastReportSeq uint64        // newest report that listed it, or the last one before its start

	// Preemption and cancellation.
	Stopping     bool    // it is to be stopped
	GraceSeconds float64 // time that it gets to save its progress before it is killed
}

// IsRunning reports whether the task was running when it was last reported.
func (p *Placement) IsRunning() bool { return p.Reported && p.State == Running }

// Plan plans a task on the machine, which reserves resources for it until it is started.
func (m *Machine) Plan(p *Placement) {
	p.Planned, p.Machine = true, m
	m.addPlacement(p)
}

// placePlanned places a planned task on this machine, which may differ from the one on which it was planned.
func (m *Machine) placePlanned(p *Placement) {
	p.Machine.RemovePlacement(p.Ref)
	p.Planned, p.Machine = false, m
	m.addPlacement(p)
}

// addPlacement adds a placement and subtracts its resources from the free ones.
func (m *Machine) addPlacement(p *Placement) {
	m.Tasks[p.Ref] = p
	m.KeepRoom(p.Need)
}

// KeepRoom subtracts resources from the free ones.
func (m *Machine) KeepRoom(need resources.Amounts) {
	m.Free = m.Free.Minus(need)
	if need.GPU == 0 {
		m.UsedWithoutGPU = m.UsedWithoutGPU.Plus(need)
	}
}

// ReturnRoom reverses KeepRoom.
func (m *Machine) ReturnRoom(need resources.Amounts) {
	m.Free = m.Free.Plus(need)
	if need.GPU == 0 {
		m.UsedWithoutGPU = m.UsedWithoutGPU.Minus(need)
	}
}

// PrepareRestart resets a placement whose task is gone from its machine, so that it can be planned again, on
// the same machine only and without another direct start. A start that vanished is repeated with the same
// attempt: if the first one arrives after all, it does nothing. An attempt that has ended is not repeated.
func (p *Placement) PrepareRestart(sameAttempt bool) {
	attempt := p.Attempt
	if !sameAttempt {
		attempt = 0
	}
	*p = Placement{
		Ref:            p.Ref,
		JobID:          p.JobID,
		Image:          p.Image,
		Need:           p.Need,
		Attempt:        attempt,
		Machine:        p.Machine,
		BoundToMachine: true,
	}
}

// RemovePlacement removes a task's placement, if the machine has one, and frees its resources.
func (m *Machine) RemovePlacement(ref TaskRef) {
	if p := m.Tasks[ref]; p != nil {
		m.ReturnRoom(p.Need)
		delete(m.Tasks, ref)
	}
}

// HasPlans reports whether tasks are planned on the machine.
func (m *Machine) HasPlans() bool {
	for _, p := range m.Tasks {
		if p.Planned {
			return true
		}
	}
	return false
}

// PlannedHere returns the tasks planned on the machine, with the highest job index and task number first.
func (m *Machine) PlannedHere() []*Placement {
	var planned []*Placement
	for _, p := range m.Tasks {
		if p.Planned {
			planned = append(planned, p)
		}
	}
	slices.SortFunc(planned, func(a, b *Placement) int {
		return cmp.Or(cmp.Compare(b.Ref.Job, a.Ref.Job), cmp.Compare(b.Ref.Task, a.Ref.Task))
	})
	return planned
}
