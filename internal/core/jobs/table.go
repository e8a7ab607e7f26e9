package jobs

import (
	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/resources"
)

// Table holds all jobs by dense index, and the final states by id.
type Table struct {
	byID        map[uint64]int32
	jobs        []*Job
	freeIndexes []int32
	finalPhases map[uint64]Phase
}

// NewTable makes an empty table.
func NewTable() *Table {
	return &Table{byID: map[uint64]int32{}, finalPhases: map[uint64]Phase{}}
}

// Add enters a job.
func (t *Table) Add(rec eventlog.Job) *Job {
	j := &Job{Record: rec, Need: resources.Need(rec.CPUs, rec.GPUs, rec.MemoryGB), Priority: rec.Priority, Tasks: make([]TaskState, rec.Tasks), Waiting: rec.Tasks}
	if n := len(t.freeIndexes); n > 0 {
		j.Index = t.freeIndexes[n-1]
		t.freeIndexes = t.freeIndexes[:n-1]
		t.jobs[j.Index] = j
	} else {
		j.Index = int32(len(t.jobs))
		t.jobs = append(t.jobs, j)
	}
	t.byID[rec.ID] = j.Index
	return j
}

// Find returns the job with an id, if it is in the table.
func (t *Table) Find(id uint64) *Job {
	if i, ok := t.byID[id]; ok {
		return t.jobs[i]
	}
	return nil
}

// At returns the job with an index; nil when it has left.
func (t *Table) At(i int32) *Job { return t.jobs[i] }

// All returns the table's jobs; some may be nil.
func (t *Table) All() []*Job { return t.jobs }

// Final returns the final state of a job that is over.
func (t *Table) Final(id uint64) (Phase, bool) {
	p, ok := t.finalPhases[id]
	return p, ok
}

// Finish notes a job's final state; it stays so.
func (t *Table) Finish(id uint64, p Phase) {
	if _, ok := t.finalPhases[id]; !ok {
		t.finalPhases[id] = p
	}
}

// Finals is the number of jobs that are over.
func (t *Table) Finals() int { return len(t.finalPhases) }

// Len is the number of jobs in the table.
func (t *Table) Len() int { return len(t.byID) }

// Remove takes a job out of the table; its index will be used again. A job
// that has left already stays as it is: freeing its index twice would give
// it to two jobs at once.
func (t *Table) Remove(j *Job) {
	if t.jobs[j.Index] != j {
		return
	}
	delete(t.byID, j.Record.ID)
	t.jobs[j.Index] = nil
	t.freeIndexes = append(t.freeIndexes, j.Index)
}
