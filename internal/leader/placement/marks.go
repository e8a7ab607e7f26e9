package placement

import (
	"encoding/json"
	"maps"
	"slices"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
)

// Name is the key of the component's own entries in the event log.
const Name = "placing"

// Marks bound the tasks that a new leader must assume to be on silent machines. Grants record
// which jobs a silent machine may have; marks record which of their tasks. Tasks are placed in
// the order of their numbers, so one number per job is enough: before a task is offered, a mark
// beyond its number is made durable, which means that tasks below the mark may have been handed
// out. No earlier term can have started a task at or above the mark, so the new leader can start
// it without waiting for any machine.
//
// A mark is valid only if every term since has written marks. A term of another version, or one
// with marks switched off, writes none. So each term that writes marks also records the unbroken
// span of such terms up to itself. If no span reaches up to the previous term, all tasks of all
// jobs count as handed out, as they do without marks.
const (
	// A mark is set beyond the task that needs it, so that few starts wait for a mark. The margin
	// is minMarkMargin tasks, or the number of tasks up to that task divided by
	// markMarginDivisor if that is more.
	minMarkMargin     = 8
	markMarginDivisor = 8

	maxMarkBytes = 32 // upper bound for the bytes of a job's mark in an entry
)

// markEntry is one of the component's own entries. It has the marks of some jobs, or the span of
// terms that wrote marks.
type markEntry struct {
	Epoch uint64    `json:"e,omitempty"`
	Marks []jobMark `json:"m,omitempty"`
	From  uint64    `json:"a,omitempty"` // first epoch of the span
	To    uint64    `json:"b,omitempty"` // last epoch of the span; 0: the entry has marks
}

// jobMark is the id of a job and its mark: tasks with lower numbers may have been handed out.
type jobMark [2]uint64

func (m jobMark) jobID() uint64 { return m[0] }
func (m jobMark) mark() uint64  { return m[1] }

// intentMarks holds the marks of a term.
type intentMarks struct {
	enabled bool

	// Marks, by job id.

	durable      map[uint64]int                  // tasks below may be handed out
	requested    map[uint64]int                  // the same, including marks that are not durable yet
	unwritten    map[uint64]int                  // to be written
	waitingPlans map[uint64][]*workers.Placement // plans that need a higher mark

	inFlight [][]jobMark // marks of each entry in flight to the log, in order; none for a span

	// The span of terms that wrote marks.

	spanStart     uint64 // first epoch of the unbroken span up to this term
	spanPending   bool   // the span is to be written
	spanCompacted bool   // the compaction under way has written the span

	// Used only while the log is replayed.

	replayed   []markEntry
	unreadable bool // an entry could not be read
}

func newMarks() intentMarks {
	return intentMarks{
		durable:      map[uint64]int{},
		requested:    map[uint64]int{},
		unwritten:    map[uint64]int{},
		waitingPlans: map[uint64][]*workers.Placement{},
	}
}

// forgetJob drops everything kept for a job that was removed.
func (m *intentMarks) forgetJob(id uint64) {
	delete(m.durable, id)
	delete(m.requested, id)
	delete(m.unwritten, id)
	delete(m.waitingPlans, id)
}

// replayMarks keeps an entry until the whole log is replayed.
func (c *Component) replayMarks(own *eventlog.ComponentEntry) {
	var entry markEntry
	if err := json.Unmarshal(own.Data, &entry); err != nil {
		// Without its mark, a job's tasks would count as never handed out.
		c.LogMessage(effects.Error, "unreadable entry of marks, treating all tasks of all jobs as handed out", "error", err)
		c.marks.unreadable = true
		return
	}
	c.marks.replayed = append(c.marks.replayed, entry)
}

// recoverMarks determines which tasks earlier terms may have handed out.
func (c *Component) recoverMarks() {
	marks := &c.marks
	marks.enabled = c.Cfg.Tunables.WriteMarks == 1
	marks.recoverSpan(c.Epoch)
	trusted := marks.spanStart > 0 && !marks.unreadable
	if trusted {
		c.recoverReplayedMarks()
	} else {
		marks.spanStart = c.Epoch
	}
	marks.replayed = nil
	for _, job := range c.Jobs.All() {
		if job == nil {
			continue
		}
		id := job.Record.ID
		if !trusted {
			marks.durable[id] = len(job.Tasks)
			marks.unwritten[id] = len(job.Tasks)
		}
		marks.requested[id] = marks.durable[id]
		job.UnassignedFrom = marks.durable[id]
	}
	if !marks.enabled {
		clear(marks.unwritten)
	}
	marks.spanPending = marks.enabled
}

// recoverSpan restores the span of terms that reaches up to the one before this epoch.
func (m *intentMarks) recoverSpan(epoch uint64) {
	for _, entry := range m.replayed {
		if entry.To == epoch-1 && entry.From > 0 {
			m.spanStart = entry.From
		}
	}
}

// recoverReplayedMarks restores the highest mark of each job within the span.
func (c *Component) recoverReplayedMarks() {
	for _, entry := range c.marks.replayed {
		if entry.Epoch < c.marks.spanStart {
			continue
		}
		for _, m := range entry.Marks {
			if job := c.Jobs.ByID(m.jobID()); job != nil {
				mark := int(min(m.mark(), uint64(len(job.Tasks))))
				c.marks.durable[m.jobID()] = max(c.marks.durable[m.jobID()], mark)
			}
		}
	}
}

// markPlan determines whether a plan may be offered, and raises its job's mark if it may not.
func (c *Component) markPlan(plan *workers.Placement) {
	marks, id, task := &c.marks, plan.JobID, int(plan.Ref.Task)
	plan.IntentDurable = !marks.enabled || task < marks.durable[id]
	if plan.IntentDurable {
		return
	}
	marks.waitingPlans[id] = append(marks.waitingPlans[id], plan)
	if task < marks.requested[id] {
		return
	}
	job := c.Jobs.ByIndex(plan.Ref.Job)
	mark := len(job.Tasks)
	if job.Record.Kind == jobs.Array {
		mark = min(mark, task+1+max(minMarkMargin, (task+1)/markMarginDivisor))
	}
	marks.requested[id], marks.unwritten[id] = mark, mark
}

// writeMarks appends raised marks to the log. The first call of a term writes its span as well,
// after the marks of jobs whose tasks all count as handed out by earlier terms.
func (c *Component) writeMarks() {
	marks := &c.marks
	var raised []jobMark
	for _, id := range slices.Sorted(maps.Keys(marks.unwritten)) {
		raised = append(raised, jobMark{id, uint64(marks.unwritten[id])})
	}
	clear(marks.unwritten)
	marksPerEntry := max(1, (c.EventLog.MaxEntryBytes()-eventlog.EntryOverheadBytes)/maxMarkBytes)
	for part := range slices.Chunk(raised, marksPerEntry) {
		c.appendMarks(part)
	}
	if marks.spanPending {
		marks.spanPending = false
		c.appendSpan()
	}
}

// appendMarks appends an entry of marks to the log.
func (c *Component) appendMarks(list []jobMark) {
	c.appendMarkEntry(markEntry{Epoch: c.Epoch, Marks: list})
}

// appendSpan appends the entry of the span up to this term to the log.
func (c *Component) appendSpan() {
	c.appendMarkEntry(markEntry{From: c.marks.spanStart, To: c.Epoch})
}

func (c *Component) appendMarkEntry(entry markEntry) {
	c.marks.inFlight = append(c.marks.inFlight, entry.Marks)
	c.EventLog.AppendTracked(eventlog.NewComponentEntry(Name, entry))
}

// marksDurable handles that the first entry in flight has become durable: the plans that its
// marks cover may now be offered.
func (c *Component) marksDurable() {
	marks := &c.marks
	list := marks.inFlight[0]
	marks.inFlight = marks.inFlight[1:]
	for _, m := range list {
		id := m.jobID()
		if c.Jobs.ByID(id) == nil {
			continue
		}
		marks.durable[id] = max(marks.durable[id], int(m.mark()))
		marks.waitingPlans[id] = slices.DeleteFunc(marks.waitingPlans[id], func(plan *workers.Placement) bool {
			plan.IntentDurable = int(plan.Ref.Task) < marks.durable[id]
			return plan.IntentDurable
		})
	}
}

// compactMarks rewrites the part of an entry that is still needed.
func (c *Component) compactMarks(own *eventlog.ComponentEntry) {
	marks := &c.marks
	var entry markEntry
	if !marks.enabled || json.Unmarshal(own.Data, &entry) != nil {
		return // nothing of an unreadable entry is needed: recoverMarks has replaced it
	}
	if entry.To > 0 && !marks.spanCompacted {
		marks.spanCompacted = true
		c.appendSpan()
	}
	var live []jobMark
	for _, m := range entry.Marks {
		if id := m.jobID(); c.Jobs.ByID(id) != nil {
			live = append(live, jobMark{id, uint64(marks.requested[id])})
		}
	}
	if len(live) > 0 {
		c.appendMarks(live)
	}
}
