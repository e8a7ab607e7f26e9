package cluster

import (
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
)

// Subscriber hears what happens in a term, while it happens.
type Subscriber interface{ HandleEvent(Event) }

// EventKind says what has happened.
type EventKind uint8

// What subscribers hear. Job, Task, Machine, Report, RunSeconds and Action are fields of Event.
const (
	JobRemoved            EventKind = iota // Job is over, and nothing of it is left anywhere
	TaskPlaced                             // Task of Job is on Machine, or on its way there: this leader started it
	TaskBegan                              // Task of Job was seen to run on Machine
	TaskDone                               // Task of Job has completed, after RunSeconds, or below 0: after an unknown time
	HeartbeatApplied                       // Report of Machine, newer than all before, was taken in
	TaskGone                               // Task of Job is not on Machine any more, and has not completed
	JobDone                                // all tasks of Job are durably done
	MachineReturnable                      // Machine, which is empty, is to be returned: nothing will be started on it
	MachineResolved                        // what earlier terms left on Machine is known
	JobOrdered                             // Job has entered the order, with a first size, or is a service
	OfferLost                              // Task of Job was on offer to Machine, whose worker died: it may have run there
	MachineProvedGone                      // Machine is proved gone; TaskGone of all that was on it came before
	TaskAdopted                            // Task of Job, which an earlier leader had started, was found on Machine
	TaskStopped                            // Task of Job on Machine is told to stop, by Action
	MachineRented                          // Machine was rented by a request of this term
	MachineDecommissioned                  // the deletion of Machine is decided, by Action
)

// Event is something that has happened. Fields that the comment on its kind does not name
// are not set.
type Event struct {
	Kind         EventKind
	At           time.Duration
	Job          *jobs.Job
	Task         int
	RunSeconds   float64
	FromThisTerm bool // of TaskDone: this leader has started the attempt, and seen it begin
	WorkerDied   bool // of TaskGone: its worker has died under it
	Action       Action
	Machine      *workers.Machine
	Report       *workers.Report
}

// Subscribe has a subscriber hear everything from now on, after those before it.
func (s *State) Subscribe(l Subscriber) { s.subscribers = append(s.subscribers, l) }

// Publish tells all subscribers what has happened, in the order in which they subscribed.
func (s *State) Publish(e Event) {
	for _, l := range s.subscribers {
		l.HandleEvent(e)
	}
}
