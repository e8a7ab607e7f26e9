package dispatch

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
)

// Which task is sent to which machine is recorded durably before it is sent. A later incarnation of that
// machine's worker may carry the start out in any later term, so the next leader too must start the
// task on no other machine. A start that was sent in a worker's first session is moreover carried out again after a
// restart, so that a cancellation waits for the machine's deletion; the record tells whether it may have been.
// A record stays until its job is over or its machine is deleted. It is
// withdrawn if the task was not sent after all; where that is not durable, the next leader takes the
// record as it is.

const (
	maxRangeBytes      = 64 // upper bound for the bytes of a range in an entry
	usualBytesPerStart = 8  // usual number of bytes of a recorded task
)

// recordEntry is one of the component's own entries.
type recordEntry struct {
	Ranges []taskRange `json:"r"`
}

// taskRange names a machine to which tasks [From, To) of a job may be sent, or withdraws their records.
type taskRange struct {
	Job     uint64 `json:"j"`
	Machine int    `json:"m"` // number of the machine; noMachine: the records are withdrawn
	From    int    `json:"f"`
	To      int    `json:"t"`
	// LaterSession is true if the tasks are sent only in a session after the worker's first one. Versions that do
	// not write it send in any session.
	LaterSession bool `json:"l,omitempty"`
}

// follows reports whether a range continues another one by the next task.
func (r taskRange) follows(previous taskRange) bool {
	return r.Job == previous.Job && r.Machine == previous.Machine && r.LaterSession == previous.LaterSession && r.From == previous.To
}

// noMachine is the number of no machine.
const noMachine = 0

// record is the latest record of a task. It is replaced, not changed, when the task is recorded again.
type record struct {
	machine      *workers.Machine // nil: the record is withdrawn
	laterSession bool             // it does not allow the start in the worker's first session
	durable      bool
}

// covers reports whether a start on a machine, in its worker's present session, needs no other record.
func (r *record) covers(m *workers.Machine) bool {
	return r.machine == m && (!r.laterSession || !m.InFirstSession())
}

// number returns the number of the record's machine, or noMachine.
func (r *record) number() int {
	if r == nil || r.machine == nil {
		return noMachine
	}
	return r.machine.Number
}

// records holds the records of a term.
type records struct {
	byTask   map[workers.TaskRef]*record
	unsent   []workers.TaskRef                 // tasks whose records are to be withdrawn
	inFlight [][]*record                       // records of each entry in flight to the log, in order
	replayed map[uint64]map[int]replayedRecord // by job id and task, while the log is replayed
	numbers  map[int]*workers.Machine          // machines by number, while the log is compacted
	ofJob    map[int32][]workers.TaskRef       // recorded tasks, by job index; a task may be listed twice
}

// replayedRecord is the latest record of a task in the log.
type replayedRecord struct {
	machine      int // its number
	laterSession bool
}

func newRecords() records {
	return records{
		byTask:   map[workers.TaskRef]*record{},
		replayed: map[uint64]map[int]replayedRecord{},
		ofJob:    map[int32][]workers.TaskRef{},
	}
}

// set replaces a task's record.
func (r *records) set(ref workers.TaskRef, replacement record) {
	if _, known := r.byTask[ref]; !known {
		r.ofJob[ref.Job] = append(r.ofJob[ref.Job], ref)
	}
	r.byTask[ref] = &replacement
}

// allows reports whether a durable record allows a start of a task on a machine in its worker's present session.
func (r *records) allows(ref workers.TaskRef, m *workers.Machine) bool {
	known, ok := r.byTask[ref]
	return ok && known.durable && known.covers(m)
}

// withdraw withdraws the record of a task that was not sent to the machine that it names.
func (r *records) withdraw(ref workers.TaskRef) {
	known, ok := r.byTask[ref]
	if ok && known.machine != nil && !known.machine.MayStartLate(ref) {
		r.byTask[ref] = &record{}
		r.unsent = append(r.unsent, ref)
	}
}

// takeUnsent returns the tasks whose records are to be withdrawn and have not been replaced since.
func (r *records) takeUnsent() []workers.TaskRef {
	unsent := slices.DeleteFunc(r.unsent, func(ref workers.TaskRef) bool {
		known, ok := r.byTask[ref]
		return !ok || known.machine != nil
	})
	r.unsent = nil
	return unsent
}

// current returns the current records of tasks.
func (r *records) current(refs []workers.TaskRef) []*record {
	list := make([]*record, 0, len(refs))
	for _, ref := range refs {
		list = append(list, r.byTask[ref])
	}
	return list
}

// forgetJob drops the records and the starts of a job that was removed, given by its index.
func (c *Component) forgetJob(job int32) {
	for m := range c.machinesOf[job] {
		m.ForgetDirectStarts(job)
	}
	delete(c.machinesOf, job)
	delete(c.FirstSessionStarts, job)
	for _, ref := range c.records.ofJob[job] {
		delete(c.records.byTask, ref)
		delete(c.SentTo, ref)
	}
	delete(c.records.ofJob, job)
}

// forgetMachine records that a machine is deleted: no start is carried out on it any more.
func (c *Component) forgetMachine(m *workers.Machine) {
	for job, machines := range c.FirstSessionStarts {
		delete(machines, m)
		if len(machines) == 0 {
			delete(c.FirstSessionStarts, job)
		}
	}
}

// Replay reads the records of earlier terms.
func (c *Component) Replay(_ time.Duration, e eventlog.Entry) {
	if e.Component == nil {
		return
	}
	var entry recordEntry
	if err := json.Unmarshal(e.Component.Data, &entry); err != nil {
		c.LogMessage(effects.Error, "unreadable record of direct starts skipped", "error", err)
		return
	}
	for _, r := range entry.Ranges {
		if c.records.replayed[r.Job] == nil {
			c.records.replayed[r.Job] = map[int]replayedRecord{}
		}
		for task := r.From; task < r.To; task++ {
			c.records.replayed[r.Job][task] = replayedRecord{r.Machine, r.LaterSession}
		}
	}
}

// Begin binds the unfinished tasks that earlier terms may have sent to machines that still exist.
func (c *Component) Begin(time.Duration) {
	machines := c.machinesByNumber()
	for id, tasks := range c.records.replayed {
		job := c.Jobs.ByID(id)
		if job == nil {
			continue
		}
		for task, replayed := range tasks {
			m := machines[replayed.machine]
			if m == nil || replayed.machine == noMachine || task >= len(job.Tasks) {
				continue
			}
			c.resume(job, task, record{machine: m, laterSession: replayed.laterSession, durable: true})
		}
	}
	c.records.replayed = nil
}

// resume continues from the record of a task that an earlier term may have sent. A task that is done starts nowhere
// again, but its record still counts if the job is cancelled.
func (c *Component) resume(job *jobs.Job, task int, earlier record) {
	ref := workers.TaskRef{Job: job.Index, Task: int32(task)}
	unfinished := job.Tasks[task] == jobs.Waiting
	if !unfinished && earlier.laterSession {
		return
	}
	c.records.set(ref, earlier)
	if !earlier.laterSession {
		c.addFirstSessionStart(job.Index, earlier.machine)
	}
	if unfinished {
		c.rememberMachine(job.Index, earlier.machine)
		c.BindToMachine(job, task, earlier.machine)
	}
}

func (c *Component) machinesByNumber() map[int]*workers.Machine {
	machines := map[int]*workers.Machine{}
	for _, m := range c.Inventory.All() {
		machines[m.Number] = m
	}
	return machines
}

// AppendEntries records the planned tasks that are to be sent to their machines, and withdraws the records of
// those that were not sent.
func (c *Component) AppendEntries(time.Duration) {
	refs := c.records.takeUnsent()
	for _, p := range c.DispatchQueue {
		known, recorded := c.records.byTask[p.Ref]
		if !p.Planned || c.Placements[p.Ref] != p || p.Machine.Number == noMachine || (recorded && known.covers(p.Machine)) {
			continue
		}
		if !c.Jobs.ByIndex(p.Ref.Job).MayPushTo(p.Machine.InFirstSession()) {
			continue // the worker was restarted since the task was planned
		}
		c.records.set(p.Ref, record{machine: p.Machine, laterSession: !p.Machine.InFirstSession()})
		refs = append(refs, p.Ref)
	}
	c.appendRecords(refs)
}

// appendRecords appends the current records of tasks to the log, in parts that fit into an entry.
func (c *Component) appendRecords(refs []workers.TaskRef) {
	slices.SortFunc(refs, func(a, b workers.TaskRef) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
	})
	tasksPerEntry := max(1, (c.EventLog.MaxEntryBytes()-eventlog.EntryOverheadBytes)/maxRangeBytes)
	for part := range slices.Chunk(refs, tasksPerEntry) {
		entry := eventlog.NewComponentEntry(Name, recordEntry{Ranges: c.rangesOf(part)})
		c.records.inFlight = append(c.records.inFlight, c.records.current(part))
		c.EventLog.AppendTracked(entry)
	}
}

// rangesOf returns the current records of tasks, which must be sorted.
func (c *Component) rangesOf(refs []workers.TaskRef) []taskRange {
	var ranges []taskRange
	for _, ref := range refs {
		current := c.records.byTask[ref]
		next := taskRange{
			Job:          c.Jobs.ByIndex(ref.Job).Record.ID,
			Machine:      current.number(),
			From:         int(ref.Task),
			To:           int(ref.Task) + 1,
			LaterSession: current.laterSession,
		}
		if n := len(ranges) - 1; n >= 0 && next.follows(ranges[n]) {
			ranges[n].To = next.To
			continue
		}
		ranges = append(ranges, next)
	}
	return ranges
}

// EntryDurable allows the tasks of the first entry in flight, which is now durable, to be sent.
func (c *Component) EntryDurable(_ time.Duration, _ bool, e eventlog.Entry) {
	if e.Component == nil {
		return
	}
	for _, r := range c.records.inFlight[0] {
		r.durable = true
	}
	c.records.inFlight = c.records.inFlight[1:]
}

// LiveBytes estimates how many bytes Compact would write for the whole log.
func (c *Component) LiveBytes() int { return len(c.records.byTask) * usualBytesPerStart }

// Compact rewrites the records of an entry that are still needed.
func (c *Component) Compact(_ time.Duration, e eventlog.Entry) {
	var entry recordEntry
	if e.Component == nil || json.Unmarshal(e.Component.Data, &entry) != nil {
		return
	}
	if c.records.numbers == nil {
		c.records.numbers = c.machinesByNumber()
	}
	var live []workers.TaskRef
	for _, r := range entry.Ranges {
		job := c.Jobs.ByID(r.Job)
		if job == nil || r.Machine == noMachine || c.records.numbers[r.Machine] == nil {
			continue
		}
		for task := r.From; task < min(r.To, len(job.Tasks)); task++ {
			ref := workers.TaskRef{Job: job.Index, Task: int32(task)}
			current := c.records.byTask[ref]
			switch {
			case job.Tasks[task] == jobs.FinishedDurably && (current == nil || current.laterSession):
				delete(c.records.byTask, ref)
				delete(c.SentTo, ref)
			case current.number() == r.Machine:
				live = append(live, ref)
			}
		}
	}
	c.appendRecords(live)
}

// CompactionDone drops the state of the compaction.
func (c *Component) CompactionDone() { c.records.numbers = nil }
