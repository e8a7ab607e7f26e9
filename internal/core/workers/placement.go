package workers

import (
	"cmp"
	"slices"
	"time"

	"bitternmoor/internal/core/resources"
)

// TaskRef names a task by its job's dense index and its number within the job.
type TaskRef struct{ Job, Task int32 }

// NoTaskRef stands for a task whose job has left the job table.
var NoTaskRef = TaskRef{-1, -1}

// Placement is a task that is planned on a machine, or that counts as being placed there.
type Placement struct {
	// The task and what it takes.
	Ref     TaskRef
	JobID   uint64
	Image   int32 // index of its image
	Need    resources.Amounts
	Attempt uint64 // number of the attempt; 0: none was given yet

	// Where it is.
	Machine *Machine // on which it is placed, or whose room is kept for it while it is planned
	Planned bool     // it is not known to be anywhere yet

	// Offers. A planned task is offered to the controller of its machine's shard, with the answers to reports
	// of machines of that shard, and the controller starts it on one of them. Until a newer report has come
	// from each machine that it was offered to, it may be there.
	Offered            map[*Machine]bool // machines to which an offer is open
	offeredUnderSerial map[*Machine]bool // machines to which it was offered under the current serial
	Serial             uint64            // of the offer; a controller starts a serial at most once
	BoundToMachine     bool              // only offered to its own machine: tasks of gangs and of jobs with zone rules
	IntentDurable      bool              // it is durable that tasks of the job up to its number may be handed out
	NoNewOffers        bool              // it is not offered again before no offer is open
	Withdrawn          bool              // the plan is withdrawn once no offer is open
	StartDirectly      bool              // to be started directly: sooner than an idle worker reports

	// What reports have shown.
	State         TaskState
	Seen          bool          // a report has shown it on its machine
	RunningSince  time.Duration // when a report first showed it running
	lastReportSeq uint64        // newest report that shows it, or to which the start was the answer

	// Preemption and cancellation.
	Stopping     bool    // it is to be stopped
	GraceSeconds float64 // time that it gets to save its progress before
}

// IsRunning says whether the task was running when it was last reported.
func (p *Placement) IsRunning() bool { return p.Seen && p.State == Running }

// Plan plans a task on the machine: room is kept for it until it is started.
func (m *Machine) Plan(p *Placement) {
	p.Planned, p.Machine = true, m
	m.addPlacement(p)
}

// placePlanned places a planned task on this machine, which may be another one than it was planned on.
func (m *Machine) placePlanned(p *Placement) {
	p.Machine.RemovePlacement(p.Ref)
	p.Planned, p.Machine = false, m
	m.addPlacement(p)
}

// addPlacement enters a placement and takes its resources.
func (m *Machine) addPlacement(p *Placement) {
	m.Tasks[p.Ref] = p
	m.Free = m.Free.Minus(p.Need)
	if p.Need.GPU == 0 {
		m.UsedWithoutGPU = m.UsedWithoutGPU.Plus(p.Need)
	}
}

// RemovePlacement removes a placement, if the machine has it, and frees its resources.
func (m *Machine) RemovePlacement(ref TaskRef) {
	if p := m.Tasks[ref]; p != nil {
		m.Free = m.Free.Plus(p.Need)
		if p.Need.GPU == 0 {
			m.UsedWithoutGPU = m.UsedWithoutGPU.Minus(p.Need)
		}
		delete(m.Tasks, ref)
	}
}

// HasPlans says whether tasks are planned on the machine.
func (m *Machine) HasPlans() bool {
	for _, p := range m.Tasks {
		if p.Planned {
			return true
		}
	}
	return false
}

// PlannedHere lists the tasks planned on the machine, with the highest job index and task number first.
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
