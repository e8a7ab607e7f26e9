package workers

import (
	"cmp"
	"slices"
	"time"

	"bitternmoor/internal/core/resources"
)

// Ref names a task by its job's dense index.
type Ref struct{ Job, Task int32 }

// NoRef is no task's name: that of one whose job has left the table.
var NoRef = Ref{-1, -1}

// Placement is a task that counts as being on a machine.
type Placement struct {
	Ref     Ref
	JobID   uint64
	Image   int32
	Need    resources.Amounts
	Attempt uint64
	Planned bool // not known to be anywhere yet: Home's room is kept for it
	Machine *Machine
	// A planned task is offered to the controller that holds Home's block,
	// with the answers to reports of machines of that block. The controller
	// starts it on one of them. Until a newer report of a machine it was
	// offered to has come, it may be there.
	Offered            map[*Machine]bool
	offeredUnderSerial map[*Machine]bool // machines it was offered to under this serial
	Serial             uint64            // of the offer; a controller starts a serial once
	BoundToHome        bool              // bound to Home: tasks of gangs and of jobs with rules on zones
	IntentDurable      bool              // it is noted that tasks up to its number may be handed out
	NotOfferedAgain    bool              // not offered again before no offer is open
	Withdrawn          bool              // to be taken back once no offer is open
	lastReportSeq      uint64
	StartNow           bool // its class should start sooner than an idle worker reports
	State              TaskState
	Seen               bool
	RanAt              time.Duration
	Stopping           bool
	GraceSeconds       float64
}

// Runs says whether the task was running when it was last reported.
func (p *Placement) Runs() bool { return p.Seen && p.State == Running }

// Plan gives a task to the machine, to be sent with its next answer.
func (m *Machine) Plan(p *Placement) {
	p.Planned, p.Machine = true, m
	m.addPlacement(p)
}

// placePlanned makes a planned task one that is on the machine.
func (m *Machine) placePlanned(p *Placement) {
	p.Machine.RemovePlacement(p.Ref)
	p.Planned, p.Machine = false, m
	m.addPlacement(p)
}

func (m *Machine) addPlacement(p *Placement) {
	m.Tasks[p.Ref] = p
	m.Free = m.Free.Minus(p.Need)
	if p.Need.GPU == 0 {
		m.UsedWithoutGPU = m.UsedWithoutGPU.Plus(p.Need)
	}
}

// RemovePlacement removes a placement.
func (m *Machine) RemovePlacement(ref Ref) {
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

// PlannedHere lists the tasks planned on the machine, those planned last first.
func (m *Machine) PlannedHere() []*Placement {
	var out []*Placement
	for _, p := range m.Tasks {
		if p.Planned {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *Placement) int {
		if c := cmp.Compare(b.Ref.Job, a.Ref.Job); c != 0 {
			return c
		}
		return cmp.Compare(b.Ref.Task, a.Ref.Task)
	})
	return out
}
