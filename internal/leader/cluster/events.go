package cluster

import (
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
)

// Subscriber receives the events of a term as they occur.
type Subscriber interface{ HandleEvent(Event) }

// EventKind is the kind of an event.
type EventKind uint8

// Kinds of events. Job, Task, Machine, Report, RunSeconds and Action are fields of Event.
const (
	JobRemoved            EventKind = iota // Job is over, and none of its tasks is left on any machine
	TaskPlaced                             // this leader started Task of Job on Machine; it may not run yet
	TaskBegan                              // a heartbeat showed Task of Job running on Machine
	TaskDone                               // Task of Job completed after RunSeconds; negative: unknown
	HeartbeatApplied                       // Report of Machine, newer than all before it, was applied
	TaskGone                               // Task of Job is no longer on Machine and has not completed
	JobDone                                // the completion of every task of Job is durable
	MachineReturnable                      // Machine is empty and will be returned; it gets no more tasks
	MachineResolved                        // it is known which tasks earlier terms left on Machine
	JobEnqueued                            // Job has entered the scheduling order, with a first size unless it is a service
	OfferLost                              // Machine's worker died with Task of Job on offer to it; Task may have run
	MachineProvedGone                      // Machine is proved gone, after TaskGone for every task on it
	TaskAdopted                            // Task of Job, which an earlier leader started, was found on Machine
	TaskStopped                            // Task of Job on Machine is being stopped because of Action
	MachineRented                          // Machine was rented by a request of this term
	MachineDecommissioned                  // the deletion of Machine has been decided because of Action
)

// Event describes something that happened in the term. Fields other than Kind and At are set
// only for the kinds whose comments name them.
type Event struct {
	Kind         EventKind
	At           time.Duration
	Job          *jobs.Job
	Task         int
	RunSeconds   float64
	FromThisTerm bool // for TaskDone: this leader started the attempt and saw it running
	WorkerDied   bool // for TaskGone: the worker died while it had the task
	Action       Action
	Machine      *workers.Machine
	Report       *workers.Report
}

// Subscribe adds a subscriber. It receives each event after the subscribers added before it.
func (s *State) Subscribe(subscriber Subscriber) { s.subscribers = append(s.subscribers, subscriber) }

// Publish delivers an event to all subscribers, in the order in which they subscribed.
func (s *State) Publish(e Event) {
	for _, subscriber := range s.subscribers {
		subscriber.HandleEvent(e)
	}
}
