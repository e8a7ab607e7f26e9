package jobs

import (
	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/resources"
)

// Table holds the jobs by dense index, and the final phases of those that are over by id.
type Table struct {
	byID        map[uint64]int32
	jobs        []*Job           // by index; nil where the index is free
	freeIndexes []int32          // used again, the last one first
	finalPhases map[uint64]Phase // of jobs that are over, by id
}

// NewTable makes an empty table.
func NewTable() *Table {
	return &Table{byID: map[uint64]int32{}, finalPhases: map[uint64]Phase{}}
}

// Add enters a job, with all its tasks waiting, and returns it.
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

// ByID returns the job with an id; nil if it is not in the table.
func (t *Table) ByID(id uint64) *Job {
	if i, ok := t.byID[id]; ok {
		return t.jobs[i]
	}
	return nil
}

// ByIndex returns the job with an index; nil if it has left the table.
func (t *Table) ByIndex(i int32) *Job { return t.jobs[i] }

// All returns the jobs by index, nil where a job has left. The list is the table's own: it must not be changed.
func (t *Table) All() []*Job { return t.jobs }

// FinalPhase returns the final phase of a job that is over, by its id.
func (t *Table) FinalPhase(id uint64) (Phase, bool) {
	p, ok := t.finalPhases[id]
	return p, ok
}

// RecordFinalPhase notes a job's final phase, by its id. The first one stays.
func (t *Table) RecordFinalPhase(id uint64, p Phase) {
	if _, ok := t.finalPhases[id]; !ok {
		t.finalPhases[id] = p
	}
}

// FinalCount is the number of jobs that are over.
func (t *Table) FinalCount() int { return len(t.finalPhases) }

// Len is the number of jobs in the table.
func (t *Table) Len() int { return len(t.byID) }

// Remove takes a job out of the table; its index will be used again. For a job that has left already it does
// nothing: freeing its index twice would give the index to two jobs at once.
func (t *Table) Remove(j *Job) {
	if t.jobs[j.Index] != j {
		return
	}
	delete(t.byID, j.Record.ID)
	t.jobs[j.Index] = nil
	t.freeIndexes = append(t.freeIndexes, j.Index)
}
