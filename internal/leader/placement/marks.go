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

// What a new leader may start while machines are silent. Grants tell it which
// jobs a machine that it cannot hear may have; marks tell it which of their
// tasks. Tasks get room in the order of their numbers, so one number a job is
// enough: before a task is offered, it is noted that tasks below some number
// beyond its own may have been handed out. What lies above that no earlier term
// can have started, and it need not wait for any machine.
//
// A mark holds for as long as every term since was one that notes marks. A term
// of another version, or with marks switched off, leaves none behind: so each
// term that does notes an unbroken span of terms up to itself. Where the span
// does not reach up to the term before, all tasks of all jobs count as handed
// out, as they do without marks.

// Name is that of the duty's own entries.
const Name = "placing"

const (
	minMarkMargin   = 8  // a mark is beyond the task that needs it by so many tasks at least,
	markMarginShare = 8  // or by one in so many of those before it: few starts wait for a mark
	maxMarkBytes    = 32 // upper bound for what a job's mark takes in an entry
)

// markEntry is one of the duty's own: marks of some jobs, or the span of terms that
// noted theirs.
type markEntry struct {
	Epoch uint64      `json:"e,omitempty"`
	Marks [][2]uint64 `json:"m,omitempty"` // id of a job, and its mark
	From  uint64      `json:"a,omitempty"`
	To    uint64      `json:"b,omitempty"`
}

type intentMarks struct {
	enabled       bool
	spanStart     uint64                          // the first term of the unbroken span up to this one
	durable       map[uint64]int                  // by job id: tasks below may be handed out
	requested     map[uint64]int                  // the same, noted or being noted
	unwritten     map[uint64]int                  // to be noted
	waitingPlans  map[uint64][]*workers.Placement // plans that need a higher mark
	inFlight      [][][2]uint64                   // on their way to the log, in their order; the span of terms is an empty one
	spanPending   bool                            // the span is to be noted
	spanCompacted bool                            // it has been, by the cleaning under way

	replayed   []markEntry // while the log is replayed
	unreadable bool        // an entry could not be read
}

func newMarks() intentMarks {
	return intentMarks{durable: map[uint64]int{}, requested: map[uint64]int{}, unwritten: map[uint64]int{}, waitingPlans: map[uint64][]*workers.Placement{}}
}

func (m *intentMarks) forgetJob(id uint64) {
	delete(m.durable, id)
	delete(m.requested, id)
	delete(m.unwritten, id)
	delete(m.waitingPlans, id)
}

func (d *Component) replayMarks(own *eventlog.ComponentEntry) {
	var e markEntry
	if err := json.Unmarshal(own.Data, &e); err != nil {
		// Without its mark a job would count as never handed out.
		d.LogMessage(effects.Error, "what was handed out cannot be read: all tasks of all jobs count as handed out", "error", err)
		d.marks.unreadable = true
		return
	}
	d.marks.replayed = append(d.marks.replayed, e)
}

// recoverMarks settles what earlier terms can have handed out.
func (d *Component) recoverMarks() {
	m := &d.marks
	m.enabled = d.Cfg.Tunables.NoteTasks == 1
	for _, e := range m.replayed {
		if e.To == d.Epoch-1 && e.From > 0 {
			m.spanStart = e.From
		}
	}
	whole := m.spanStart > 0 && !m.unreadable
	for _, e := range m.replayed {
		for _, x := range e.Marks {
			if j := d.Jobs.Find(x[0]); whole && j != nil && e.Epoch >= m.spanStart {
				m.durable[x[0]] = max(m.durable[x[0]], int(min(x[1], uint64(len(j.Tasks)))))
			}
		}
	}
	m.replayed = nil
	if !whole {
		m.spanStart = d.Epoch
	}
	for _, j := range d.Jobs.All() {
		if j == nil {
			continue
		}
		id := j.Record.ID
		if !whole {
			m.durable[id] = len(j.Tasks)
			m.unwritten[id] = len(j.Tasks)
		}
		m.requested[id] = m.durable[id]
		j.FreshFrom = m.durable[id]
	}
	if !m.enabled {
		clear(m.unwritten)
	}
	m.spanPending = m.enabled
}

// markPlan settles whether a plan may be offered, and raises its job's mark if not.
func (d *Component) markPlan(p *workers.Placement) {
	m, id, k := &d.marks, p.JobID, int(p.Ref.Task)
	if p.IntentDurable = !m.enabled || k < m.durable[id]; p.IntentDurable {
		return
	}
	m.waitingPlans[id] = append(m.waitingPlans[id], p)
	if k < m.requested[id] {
		return
	}
	j := d.Jobs.At(p.Ref.Job)
	to := len(j.Tasks)
	if j.Record.Kind == jobs.Array {
		to = min(to, k+1+max(minMarkMargin, (k+1)/markMarginShare))
	}
	m.requested[id], m.unwritten[id] = to, to
}

// writeMarks hands raised marks to the log, and first of all those of jobs that
// earlier terms may have handed out, with the span of terms behind them.
func (d *Component) writeMarks() {
	m := &d.marks
	var list [][2]uint64
	for _, id := range slices.Sorted(maps.Keys(m.unwritten)) {
		list = append(list, [2]uint64{id, uint64(m.unwritten[id])})
	}
	clear(m.unwritten)
	for part := range slices.Chunk(list, max(1, (d.EventLog.MaxEntryBytes()-eventlog.EntryBytes)/maxMarkBytes)) {
		d.appendMarks(markEntry{Epoch: d.Epoch, Marks: part}, part)
	}
	if m.spanPending {
		m.spanPending = false
		d.appendMarks(markEntry{From: m.spanStart, To: d.Epoch}, nil)
	}
}

func (d *Component) appendMarks(e markEntry, marks [][2]uint64) {
	d.marks.inFlight = append(d.marks.inFlight, marks)
	d.EventLog.AppendTracked(eventlog.NewComponentEntry(Name, e))
}

// marksDurable lets the plans be offered that the marks which are durable now cover.
func (d *Component) marksDurable() {
	m := &d.marks
	list := m.inFlight[0]
	m.inFlight = m.inFlight[1:]
	for _, x := range list {
		id := x[0]
		if d.Jobs.Find(id) == nil {
			continue
		}
		m.durable[id] = max(m.durable[id], int(x[1]))
		m.waitingPlans[id] = slices.DeleteFunc(m.waitingPlans[id], func(p *workers.Placement) bool {
			p.IntentDurable = int(p.Ref.Task) < m.durable[id]
			return p.IntentDurable
		})
	}
}

// compactMarks writes anew what is live of an entry.
func (d *Component) compactMarks(own *eventlog.ComponentEntry) {
	m := &d.marks
	var e markEntry
	if !m.enabled || json.Unmarshal(own.Data, &e) != nil {
		return
	}
	if e.To > 0 && !m.spanCompacted {
		m.spanCompacted = true
		d.appendMarks(markEntry{From: m.spanStart, To: d.Epoch}, nil)
	}
	var list [][2]uint64
	for _, x := range e.Marks {
		if d.Jobs.Find(x[0]) != nil {
			list = append(list, [2]uint64{x[0], uint64(m.requested[x[0]])})
		}
	}
	if len(list) > 0 {
		d.appendMarks(markEntry{Epoch: d.Epoch, Marks: list}, list)
	}
}
