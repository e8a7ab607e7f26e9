package jobs

import (
	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/resources"
)

// Table holds the jobs by dense index, and the final phases of those that are over by id.
type Table struct {
	byID        map[uint64]int32
	jobs        []*Job           // by index; nil where the index is free
	freeIndexes []int32          // free indexes, reused from the end
	finalPhases map[uint64]Phase // final phases of jobs that are over, by id
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{byID: map[uint64]int32{}, finalPhases: map[uint64]Phase{}}
}

// Add adds a job, with all its tasks waiting, and returns it.
func (t *Table) Add(record eventlog.Job) *Job {
	j := &Job{
		Record:   record,
		Need:     resources.Need(record.CPUs, record.GPUs, record.MemoryGB),
		Priority: record.Priority,
		Tasks:    make([]TaskState, record.Tasks),
		Waiting:  record.Tasks,
	}
	if n := len(t.freeIndexes); n > 0 {
		j.Index = t.freeIndexes[n-1]
		t.freeIndexes = t.freeIndexes[:n-1]
		t.jobs[j.Index] = j
	} else {
		j.Index = int32(len(t.jobs))
		t.jobs = append(t.jobs, j)
	}
	t.byID[record.ID] = j.Index
	return j
}

// ByID returns the job with an id, or nil if it is not in the table.
func (t *Table) ByID(id uint64) *Job {
	if i, ok := t.byID[id]; ok {
		return t.jobs[i]
	}
	return nil
}

// ByIndex returns the job with an index, or nil if it was removed.
func (t *Table) ByIndex(i int32) *Job { return t.jobs[i] }

// All returns the jobs by index, with nil for free indexes. The slice belongs to the table and must not be
// modified.
func (t *Table) All() []*Job { return t.jobs }

// FinalPhase returns the final phase of a job, given by its id, and whether the job is over.
func (t *Table) FinalPhase(id uint64) (Phase, bool) {
	p, ok := t.finalPhases[id]
	return p, ok
}

// RecordFinalPhase stores the final phase of a job, given by its id. A phase that was stored before is kept.
func (t *Table) RecordFinalPhase(id uint64, p Phase) {
	if _, ok := t.finalPhases[id]; !ok {
		t.finalPhases[id] = p
	}
}

// FinalCount returns the number of jobs that are over.
func (t *Table) FinalCount() int { return len(t.finalPhases) }

// Len returns the number of jobs in the table.
func (t *Table) Len() int { return len(t.byID) }

// Remove removes a job from the table and frees its index for reuse. It does nothing if the job was already
// removed, since freeing an index twice would give it to two jobs at once.
func (t *Table) Remove(j *Job) {
	if t.jobs[j.Index] != j {
		return
	}
	delete(t.byID, j.Record.ID)
	t.jobs[j.Index] = nil
	t.freeIndexes = append(t.freeIndexes, j.Index)
}
