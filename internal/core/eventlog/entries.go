package eventlog

import (
	"encoding/json"
	"fmt"
)

// Entry is one durable fact; exactly one field is set. With each field stands the component that
// writes it (a package of internal/leader). What components store beyond these goes into
// Component, so that a new one needs no field here.
//
// Every entry is written by the component when the fact comes up, and again by the same component
// when the segment that has it is compacted while the fact still matters.
type Entry struct {
	// The order of the fields is that of the stored form, which internal/contract pins.

	Job             *Job            `json:"j,omitempty"` // lifecycle
	Cancel          *uint64         `json:"c,omitempty"` // lifecycle: the id of a job that is cancelled
	CompletedTasks  *CompletedTasks `json:"t,omitempty"` // lifecycle
	FinalSize       *FinalSize      `json:"s,omitempty"` // fairshare; lifecycle when compacted
	Machine         *Machine        `json:"m,omitempty"` // registry
	DeletedMachines []string        `json:"x,omitempty"` // registry: their names
	Rental          *Rental         `json:"r,omitempty"` // autoscaler
	RentalAnswer    *RentalAnswer   `json:"a,omitempty"` // autoscaler
	MachineTypes    []MachineType   `json:"y,omitempty"` // autoscaler
	FinalStates     *FinalStates    `json:"f,omitempty"` // lifecycle; an empty one, by term, ends a compaction
	Grant           *Grant          `json:"g,omitempty"` // placement
	Dependencies    *Dependencies   `json:"v,omitempty"` // lifecycle
	Component       *ComponentEntry `json:"o,omitempty"` // the component that it names

	// Unknown is an entry in which nothing that this version knows is set: it is kept as it was
	// read.
	Unknown json.RawMessage `json:"-"`
}

// ComponentEntry is an entry that only the component of that name reads and writes.
type ComponentEntry struct {
	Name string          `json:"d"` // the component's name
	Data json.RawMessage `json:"v"`
}

// NewComponentEntry is a component's own entry that holds a value as JSON. A value that cannot be
// encoded is a fault of the program: it panics.
func NewComponentEntry[T any](component string, value T) Entry {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("event log: entry of %s not encodable: %v", component, err))
	}
	return Entry{Component: &ComponentEntry{Name: component, Data: raw}}
}

// recognized says whether anything is set that this version knows.
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

// encode is an entry as it is written.
func (e *Entry) encode() ([]byte, error) {
	if e.Unknown != nil {
		return e.Unknown, nil
	}
	return json.Marshal(e)
}

// Job is an accepted job: its submission, with names instead of numbers. Lifecycle writes it when
// the job is accepted, and again when its dependencies are done.
type Job struct {
	ID       uint64 `json:"i"`
	Class    string `json:"h"` // of jobs with similar run times
	Team     string `json:"k"`
	Kind     uint8  `json:"g"` // a job array, a gang, …: jobs.Array and the like
	Priority uint8  `json:"u"`
	Tasks    int    `json:"n"`

	// What each task needs.
	CPUs     float64 `json:"c"`
	GPUs     float64 `json:"p,omitempty"`
	MemoryGB float64 `json:"m"`
	Image    string  `json:"b"`
	ImageGB  float64 `json:"z"`

	// Where tasks may run.
	Types   []string `json:"t,omitempty"` // machine types; none: any
	Zone    string   `json:"o,omitempty"` // empty: any
	OneZone bool     `json:"1,omitempty"` // all tasks in one zone
	Spread  bool     `json:"2,omitempty"` // tasks spread over the zones
	Spot    bool     `json:"l,omitempty"` // on spot instances too

	// Times in seconds.
	EstimateS  float64 `json:"e"`           // run time of a task
	Checkpoint float64 `json:"w,omitempty"` // between checkpoints; 0: none are made
	SaveS      float64 `json:"s,omitempty"` // to save a task's state
	DeadlineS  float64 `json:"d,omitempty"` // 0: none
	AtMS       int64   `json:"a"`           // time of day of the acceptance, in ms

	// Dependencies.
	Follows    []uint64 `json:"f,omitempty"` // jobs to be done before any task of this one starts
	Rest       int      `json:"q,omitempty"` // how many of them stand in Dependencies entries
	ReleasedMS int64    `json:"r,omitempty"` // time of day, in ms, when the last of them was done; they are then left out

	// Counted is what the job needs of pools; it is stored by way of HideFromOlderVersions.
	Counted []PoolUnits `json:"-"`
}

// Dependencies lists jobs on which a job depends, where they are too many for its own entry. It
// belongs to the job's entry with the same time of acceptance. Lifecycle writes it before that.
type Dependencies struct {
	ID         uint64   `json:"i"` // the job that depends on them
	AcceptedMS int64    `json:"a"` // the time of day of its acceptance, in ms
	Jobs       []uint64 `json:"f"`
}

// CompletedTasks notes completed tasks of a job, and the run time of those whose time is known.
// Lifecycle writes it.
type CompletedTasks struct {
	ID      uint64   `json:"i"`
	Ranges  [][2]int `json:"r"`           // of tasks, [from, to)
	Seconds float64  `json:"s,omitempty"` // the sum of the run times that are known
	Known   int      `json:"n,omitempty"` // how many are known
	AtMS    int64    `json:"a,omitempty"` // time of day, in ms, for a job on which others depend: theirs counts from it
}

// Add adds a task to the ranges; tasks in ascending order make few of them.
func (t *CompletedTasks) Add(task int) {
	if n := len(t.Ranges); n > 0 && t.Ranges[n-1][1] == task {
		t.Ranges[n-1][1] = task + 1
	} else {
		t.Ranges = append(t.Ranges, [2]int{task, task + 1})
	}
}

// FinalSize notes a job's final size, which the scheduler no longer estimates. Fairshare writes it
// when the size is settled.
type FinalSize struct {
	ID   uint64  `json:"i"`
	Size float64 `json:"s"`
}

// FinalStates keeps the final states of jobs once their own entries are gone. Lifecycle writes it
// when segments are compacted.
type FinalStates struct {
	Done      []uint64 `json:"d,omitempty"`
	Cancelled []uint64 `json:"c,omitempty"`
}

// Machine notes a machine, before any task is started on it. Registry writes it.
type Machine struct {
	Name    string `json:"n"`
	Address string `json:"a"`
	Type    string `json:"t"`
	Zone    string `json:"z"`
	Spot    bool   `json:"s,omitempty"`
	Number  int    `json:"i,omitempty"` // stands for it in grants; no number is used twice
}

// Grant notes, before the first start, that machines may have tasks of a job. A successor knows
// from it whose tasks a machine that it cannot reach may have. With Revoked it takes such a grant
// back, once no task of the job is on the machine any more and none is on offer to it; the next
// start there needs a new grant. Placement writes it.
type Grant struct {
	Job      uint64 `json:"i"`
	Machines []int  `json:"m"` // their numbers
	Revoked  bool   `json:"x,omitempty"`
}

// Rental notes a request to the cloud for machines, before it is sent: it is idempotent by its
// name, and a successor sends it again. Autoscaler writes it.
type Rental struct {
	Name  string `json:"n"`
	Type  string `json:"t"`
	Zone  string `json:"z"`
	Spot  bool   `json:"s,omitempty"`
	Count int    `json:"c"`
}

// RentalAnswer notes that a rental was answered, and with which machines. Autoscaler writes it.
type RentalAnswer struct {
	Name     string   `json:"n"` // of the rental
	Machines []string `json:"m,omitempty"`
}

// MachineType is a machine type as the cloud described it. Autoscaler writes it.
type MachineType struct {
	Name         string   `json:"n"`
	CPUs         float64  `json:"c"`
	GPUs         float64  `json:"g,omitempty"`
	MemoryGB     float64  `json:"m"`
	CacheGB      float64  `json:"l"` // room for images
	FetchGBPS    float64  `json:"f"` // rate at which images are fetched, GB a second
	Price        float64  `json:"p"` // on demand
	SpotPrice    float64  `json:"q"`
	BootS        float64  `json:"b"` // seconds from the rental until it is ready
	Zones        []string `json:"z"`
	FurtherZones bool     `json:"w,omitempty"` // these zones are further ones of a type that another entry describes
}
