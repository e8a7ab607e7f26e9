package eventlog

import (
	"encoding/json"
	"fmt"
)

// Entry is one durable fact; exactly one field is set. The comment of each field names the component
// (a package of internal/leader) that writes it. All other data of components is stored in Component,
// so that a new component needs no field here.
//
// A component writes an entry when the fact arises, and again when the segment that contains it is
// compacted while the fact is still needed.
type Entry struct {
	// The order of the fields is that of the stored form, which the tests of internal/contract check.

	Job             *Job            `json:"j,omitempty"` // lifecycle
	Cancel          *uint64         `json:"c,omitempty"` // lifecycle: the id of a cancelled job
	CompletedTasks  *CompletedTasks `json:"t,omitempty"` // lifecycle
	FinalSize       *FinalSize      `json:"s,omitempty"` // fairshare; lifecycle when compacted
	Machine         *Machine        `json:"m,omitempty"` // registry
	DeletedMachines []string        `json:"x,omitempty"` // registry: their names
	Rental          *Rental         `json:"r,omitempty"` // autoscaler
	RentalAnswer    *RentalAnswer   `json:"a,omitempty"` // autoscaler
	MachineTypes    []MachineType   `json:"y,omitempty"` // autoscaler
	FinalStates     *FinalStates    `json:"f,omitempty"` // lifecycle; term ends a compaction with an empty one
	Grant           *Grant          `json:"g,omitempty"` // placement
	Dependencies    *Dependencies   `json:"v,omitempty"` // lifecycle
	Component       *ComponentEntry `json:"o,omitempty"` // the component named in it

	// Unknown is the raw form of an entry in which this version recognizes no field: it is written
	// again as it was read.
	Unknown json.RawMessage `json:"-"`
}

// ComponentEntry is an entry that only the component with this name reads and writes.
type ComponentEntry struct {
	Name string          `json:"d"` // the component's name
	Data json.RawMessage `json:"v"`
}

// NewComponentEntry returns an entry of a component that holds a value as JSON. It panics if the value
// cannot be encoded, which is a programming error.
func NewComponentEntry[T any](component string, value T) Entry {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("event log: entry of %s not encodable: %v", component, err))
	}
	return Entry{Component: &ComponentEntry{Name: component, Data: raw}}
}

// recognized reports whether any field that this version defines is set.
func (e *Entry) recognized() bool {
	return e.Job != nil ||
		e.Dependencies != nil ||
		e.Cancel != nil ||
		e.CompletedTasks != nil ||
		e.FinalSize != nil ||
		e.FinalStates != nil ||
		e.Machine != nil ||
		e.DeletedMachines != nil ||
		e.Grant != nil ||
		e.Rental != nil ||
		e.RentalAnswer != nil ||
		e.MachineTypes != nil ||
		e.Component != nil
}

// encode returns the stored form of an entry.
func (e *Entry) encode() ([]byte, error) {
	if e.Unknown != nil {
		return e.Unknown, nil
	}
	return json.Marshal(e)
}

// Job records an accepted job: its submission, with names instead of numbers. Lifecycle writes it
// when the job is accepted, and again when its dependencies are done.
type Job struct {
	ID       uint64 `json:"i"`
	Class    string `json:"h"` // class of jobs with similar run times
	Team     string `json:"k"`
	Kind     uint8  `json:"g"` // jobs.Array, jobs.Gang, …
	Priority uint8  `json:"u"`
	Tasks    int    `json:"n"`

	// Resources of each task.
	CPUs     float64 `json:"c"`
	GPUs     float64 `json:"p,omitempty"`
	MemoryGB float64 `json:"m"`
	Image    string  `json:"b"`
	ImageGB  float64 `json:"z"`

	// Where tasks may run.
	Types   []string `json:"t,omitempty"` // allowed machine types; none: any
	Zone    string   `json:"o,omitempty"` // empty: any
	OneZone bool     `json:"1,omitempty"` // all tasks in one zone
	Spread  bool     `json:"2,omitempty"` // tasks spread over the zones
	Spot    bool     `json:"l,omitempty"` // spot instances are allowed too

	// Times in seconds.
	EstimateS  float64 `json:"e"`           // run time of a task
	Checkpoint float64 `json:"w,omitempty"` // interval between checkpoints; 0: none are made
	SaveS      float64 `json:"s,omitempty"` // time to save a task's state
	DeadlineS  float64 `json:"d,omitempty"` // 0: none
	AtMS       int64   `json:"a"`           // time of day of the acceptance, in ms

	// Dependencies.
	Follows []uint64 `json:"f,omitempty"` // jobs that must be done before any task of this job starts
	Rest    int      `json:"q,omitempty"` // number of them that Dependencies entries list
	// ReleasedMS is the time of day, in ms, when the last of them was done. Follows is then left out.
	ReleasedMS int64 `json:"r,omitempty"`

	// Counted lists the units of pools that the job needs. EncodePoolUnits encodes them for storage.
	Counted []PoolUnits `json:"-"`
}

// Dependencies lists jobs on which a job depends if they are too many for the job's own entry. It
// belongs to the job entry with the same acceptance time and is written before it by lifecycle.
type Dependencies struct {
	ID         uint64   `json:"i"` // the job that depends on them
	AcceptedMS int64    `json:"a"` // time of day of that job's acceptance, in ms
	Jobs       []uint64 `json:"f"`
}

// CompletedTasks records completed tasks of a job, and the run time of those whose run time is known.
// Lifecycle writes it.
type CompletedTasks struct {
	ID      uint64   `json:"i"`
	Ranges  [][2]int `json:"r"`           // of tasks, [from, to)
	Seconds float64  `json:"s,omitempty"` // sum of the known run times
	Known   int      `json:"n,omitempty"` // number of known run times
	// AtMS is the time of day, in ms. It is set if other jobs depend on this one: their times count from it.
	AtMS int64 `json:"a,omitempty"`
}

// Add adds a task to the ranges; adding tasks in ascending order yields the fewest ranges.
func (t *CompletedTasks) Add(task int) {
	if n := len(t.Ranges); n > 0 && t.Ranges[n-1][1] == task {
		t.Ranges[n-1][1] = task + 1
	} else {
		t.Ranges = append(t.Ranges, [2]int{task, task + 1})
	}
}

// FinalSize records a job's final size, which the scheduler no longer re-estimates. Fairshare writes it
// when the size becomes final.
type FinalSize struct {
	ID   uint64  `json:"i"`
	Size float64 `json:"s"`
}

// FinalStates records the final states of jobs whose own entries are removed. Lifecycle writes it when
// segments are compacted.
type FinalStates struct {
	Done      []uint64 `json:"d,omitempty"`
	Cancelled []uint64 `json:"c,omitempty"`
}

// Machine records a machine before any task is started on it. Registry writes it.
type Machine struct {
	Name    string `json:"n"`
	Address string `json:"a"`
	Type    string `json:"t"`
	Zone    string `json:"z"`
	Spot    bool   `json:"s,omitempty"`
	Number  int    `json:"i,omitempty"` // identifies the machine in grants; no number is used twice
}

// Grant records, before the first start, that machines may have tasks of a job. It shows the next
// leader whose tasks an unreachable machine may have. With Revoked set it revokes such a grant, once no
// task of the job is on the machine or on offer to it any more; the next start there needs a new grant.
// Placement writes it.
type Grant struct {
	Job      uint64 `json:"i"`
	Machines []int  `json:"m"` // their numbers
	Revoked  bool   `json:"x,omitempty"`
}

// Rental records a request to the cloud for machines before it is sent. The request is idempotent by
// its name, and a new leader sends it again. Autoscaler writes it.
type Rental struct {
	Name  string `json:"n"`
	Type  string `json:"t"`
	Zone  string `json:"z"`
	Spot  bool   `json:"s,omitempty"`
	Count int    `json:"c"`
}

// RentalAnswer records that a rental was answered, and with which machines. Autoscaler writes it.
type RentalAnswer struct {
	Name     string   `json:"n"` // name of the rental
	Machines []string `json:"m,omitempty"`
}

// MachineType records a machine type as described by the cloud. Autoscaler writes it.
type MachineType struct {
	Name         string   `json:"n"`
	CPUs         float64  `json:"c"`
	GPUs         float64  `json:"g,omitempty"`
	MemoryGB     float64  `json:"m"`
	CacheGB      float64  `json:"l"` // disk space for images
	FetchGBPS    float64  `json:"f"` // rate at which images are fetched, in GB/s
	Price        float64  `json:"p"` // of an on-demand instance
	SpotPrice    float64  `json:"q"`
	BootS        float64  `json:"b"` // seconds from the rental until the machine is ready
	Zones        []string `json:"z"`
	FurtherZones bool     `json:"w,omitempty"` // the entry only adds Zones to the type of an earlier one
}
