package eventlog

import (
	"encoding/json"
	"fmt"
)

// Entry is one durable fact; exactly one field is set. What duties beyond those
// of the first version store goes into Own, each under its own name, so that a
// new one needs no field here.
type Entry struct {
	Job             *Job            `json:"j,omitempty"`
	Cancel          *uint64         `json:"c,omitempty"`
	CompletedTasks  *CompletedTasks `json:"t,omitempty"`
	FinalSize       *FinalSize      `json:"s,omitempty"`
	Machine         *Machine        `json:"m,omitempty"`
	DeletedMachines []string        `json:"x,omitempty"`
	Rental          *Rental         `json:"r,omitempty"`
	RentalAnswer    *RentalAnswer   `json:"a,omitempty"`
	MachineTypes    []MachineType   `json:"y,omitempty"`
	FinalStates     *FinalStates    `json:"f,omitempty"`
	Grant           *Grant          `json:"g,omitempty"`
	Dependencies    *Dependencies   `json:"v,omitempty"`
	Component       *ComponentEntry `json:"o,omitempty"`

	// Unknown is an entry in which nothing that this version knows is set: it is
	// kept as it was read.
	Unknown json.RawMessage `json:"-"`
}

// ComponentEntry is an entry that only the duty of that name reads and writes.
type ComponentEntry struct {
	Duty string          `json:"d"`
	Data json.RawMessage `json:"v"`
}

// NewComponentEntry is a duty's own entry that holds a value as JSON.
func NewComponentEntry[T any](duty string, v T) Entry {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("ledger: an entry of %s that cannot be written: %v", duty, err)) // no duty stores such a value
	}
	return Entry{Component: &ComponentEntry{Duty: duty, Data: raw}}
}

// recognized says whether anything is set that this version knows.
func (e *Entry) recognized() bool {
	return e.Job != nil || e.Cancel != nil || e.CompletedTasks != nil || e.FinalSize != nil || e.Machine != nil || e.DeletedMachines != nil || e.Rental != nil ||
		e.RentalAnswer != nil || e.MachineTypes != nil || e.FinalStates != nil || e.Grant != nil || e.Dependencies != nil || e.Component != nil
}

// encode is an entry as it is written.
func (e *Entry) encode() ([]byte, error) {
	if e.Unknown != nil {
		return e.Unknown, nil
	}
	return json.Marshal(e)
}

// Dependencies lists jobs that a job follows, where they are too many for its own
// entry. It belongs to the job's entry of the same time of acceptance.
type Dependencies struct {
	ID   uint64   `json:"i"`
	AtMS int64    `json:"a"`
	Jobs []uint64 `json:"f"`
}

// Grant notes, before the first start, that machines may have tasks of a job.
// A successor knows from it whose tasks a machine that it cannot hear may have.
// Back takes such a grant back, once no task of the job is on the machine any
// more and none is on offer to it; the next start there needs a new grant.
type Grant struct {
	Job      uint64 `json:"i"`
	Machines []int  `json:"m"` // their numbers
	Revoked  bool   `json:"x,omitempty"`
}

// FinalStates keeps the final states of jobs once their own entries are gone.
type FinalStates struct {
	Done      []uint64 `json:"d,omitempty"`
	Cancelled []uint64 `json:"c,omitempty"`
}

// Job is an accepted job, by names.
type Job struct {
	ID         uint64   `json:"i"`
	Class      string   `json:"h"`
	Team       string   `json:"k"`
	Kind       uint8    `json:"g"`
	Priority   uint8    `json:"u"`
	Tasks      int      `json:"n"`
	CPUs       float64  `json:"c"`
	GPUs       float64  `json:"p,omitempty"`
	MemoryGB   float64  `json:"m"`
	Image      string   `json:"b"`
	ImageGB    float64  `json:"z"`
	Types      []string `json:"t,omitempty"`
	Zone       string   `json:"o,omitempty"`
	OneZone    bool     `json:"1,omitempty"`
	Spread     bool     `json:"2,omitempty"`
	Spot       bool     `json:"l,omitempty"`
	EstimateS  float64  `json:"e"`
	Checkpoint float64  `json:"w,omitempty"`
	SaveS      float64  `json:"s,omitempty"`
	DeadlineS  float64  `json:"d,omitempty"`
	AtMS       int64    `json:"a"` // time of day of the acceptance

	Follows    []uint64 `json:"f,omitempty"` // jobs to be done before any task of this one starts
	Rest       int      `json:"q,omitempty"` // so many of them stand in entries of their own
	ReleasedMS int64    `json:"r,omitempty"` // time of day when the last of them was done; then they are left out

	Counted []PoolUnits `json:"-"` // units of pools that it needs; written by way of Guard
}

// CompletedTasks notes completed tasks of a job as ranges [from, to), and the run
// time of those whose time is known. For a job that others wait for it has the
// time of day, from which theirs counts.
type CompletedTasks struct {
	ID      uint64   `json:"i"`
	Ranges  [][2]int `json:"r"`
	Seconds float64  `json:"s,omitempty"`
	Known   int      `json:"n,omitempty"`
	AtMS    int64    `json:"a,omitempty"`
}

// Add adds a task to the ranges; tasks in ascending order make few of them.
func (t *CompletedTasks) Add(k int) {
	if n := len(t.Ranges); n > 0 && t.Ranges[n-1][1] == k {
		t.Ranges[n-1][1] = k + 1
	} else {
		t.Ranges = append(t.Ranges, [2]int{k, k + 1})
	}
}

// FinalSize notes a job's final size.
type FinalSize struct {
	ID   uint64  `json:"i"`
	Size float64 `json:"s"`
}

// Machine notes a machine, before any task is started on it.
type Machine struct {
	Name    string `json:"n"`
	Address string `json:"a"`
	Type    string `json:"t"`
	Zone    string `json:"z"`
	Spot    bool   `json:"s,omitempty"`
	Number  int    `json:"i,omitempty"` // stands for it in grants; never given twice
}

// Rental notes a request's name, before it is sent.
type Rental struct {
	Name  string `json:"n"`
	Type  string `json:"t"`
	Zone  string `json:"z"`
	Spot  bool   `json:"s,omitempty"`
	Count int    `json:"c"`
}

// RentalAnswer notes that a rental request had its answer.
type RentalAnswer struct {
	Name     string   `json:"n"`
	Machines []string `json:"m,omitempty"`
}

// MachineType is a machine type as the cloud gave it.
type MachineType struct {
	Name      string   `json:"n"`
	CPUs      float64  `json:"c"`
	GPUs      float64  `json:"g,omitempty"`
	MemoryGB  float64  `json:"m"`
	CacheGB   float64  `json:"l"`
	FetchGBPS float64  `json:"f"`
	Price     float64  `json:"p"`
	SpotPrice float64  `json:"q"`
	BootS     float64  `json:"b"`
	Zones     []string `json:"z"`
	More      bool     `json:"w,omitempty"` // these zones are further ones of the type
}
