// Package experiment reads the files that define a scale run: the numbers of workers, zones and
// teams, the load, the failures, and the phases in which they occur.
package experiment

import (
	"fmt"
	"math"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"
)

// Event is a fault that is injected when the measurement of a phase begins.
type Event string

// Events that a phase may have.
const (
	NoEvent     Event = ""
	KillLeader  Event = "kill-leader"  // kills the leader's process, which restarts after restart_s
	LoseZone    Event = "lose-zone"    // stops the machines and controllers of a zone
	CutZone     Event = "cut-zone"     // partitions a zone from everything else
	LoseRack    Event = "lose-rack"    // stops as many machines of one zone as a rack holds
	CutRegions  Event = "cut-regions"  // partitions the regions from one another
	KillAll     Event = "kill-all"     // kills all controllers, which restart after restart_s
	StateOutage Event = "state-outage" // makes the state service refuse all requests
)

var events = []Event{NoEvent, KillLeader, LoseZone, CutZone, LoseRack, CutRegions, KillAll, StateOutage}

// Region is a named group of zones. The first region of an experiment hosts the state service and
// the cloud.
type Region struct {
	Name  string
	Zones []string
}

// Phase is a part of a run that is measured separately.
type Phase struct {
	Name     string
	SettleS  float64 // duration before the measurement begins
	MeasureS float64
	Load     float64 // multiplier of the experiment's load; 1 is the peak load
	Event    Event
	EventS   float64 // duration of the partition, loss or outage; 0: until the measurement ends
	Zone     string  // zone that the event affects, if it affects one zone
}

// Controllers configures the controllers and the machine limits that their settings declare.
type Controllers struct {
	Count         int
	RoundTripMS   float64 // between regions
	RestartS      float64 // delay after which a killed controller restarts
	CPU, RAMMB    float64 // cores; MiB
	FDLimit       int
	Set           []string // operators' settings as SECTION.KEY=VALUE
	LeaderWithinS float64  // time limit for the election of the first leader; then the run fails
}

// Workers configures the machines and their workers.
type Workers struct {
	Plan      int // number of workers that the load is given for
	Processes int // number of workers that have a process each
	CPUs      float64
	MemoryGB  float64
	ReportS   float64 // time between two reports of a worker
	LeaseS    float64 // time without an answer to a report after which a worker ends its tasks
	CancelS   float64 // time limit for the end of all tasks of a cancelled job
	FetchS    float64 // time to fetch an image
	Images    int     // number of different images
	Rack      int     // number of machines in a rack
}

// Load describes the users' requests, for the planned number of workers.
type Load struct {
	Teams         int
	TeamShare     float64 // share of all processors that one team may use
	Starts        float64 // task starts per second
	Running       float64 // tasks running at the same time
	JobTasks      int     // mean number of tasks in a job
	UrgentShare   float64 // share of jobs that are urgent
	UrgentTasks   int     // mean number of tasks in an urgent job
	UrgentWithinS float64 // time limit for the start of an urgent task
	CancelShare   float64 // share of jobs that are cancelled
	PollS         float64 // time between two queries of a job's state
}

// State holds the limits of the state service: requests and changes per second, the size of a value
// in KiB, and the number of changes in a transaction.
type State struct {
	RPS, WriteRPS, ValueKB float64
	TxnOps                 int
}

// Failures gives the rates of everyday machine failures, for the planned number of workers.
type Failures struct {
	LossesPerDay, RestartsPerDay float64
	Speed                        float64 // multiplier of both rates
	ReplacedS                    float64 // delay after which a lost machine is replaced
}

// Config describes how often operators change the configuration while controllers run.
type Config struct {
	EveryS  float64 // time between two bursts; 0: no changes
	Burst   int     // number of changes in a burst, made one after the other
	History int     // number of changes that controllers keep
}

// Experiment is the content of one experiment file.
type Experiment struct {
	Name        string
	Sizes       []int // numbers of workers
	Seeds       []uint64
	DrainS      float64 // time limit for jobs to end after the last phase
	Regions     []Region
	Controllers Controllers
	Workers     Workers
	Load        Load
	State       State
	Failures    Failures
	Config      Config
	Phases      []Phase
}

// Error reports an invalid field of an experiment file.
type Error struct{ File, Field, Why string }

func (e *Error) Error() string { return e.File + ": " + e.Field + ": " + e.Why }

// key is a key of a section with the function that parses its value.
type key struct {
	name string
	read func(string) error
}

func parseFloat(to *float64, minimum, maximum float64) func(string) error {
	return func(s string) error {
		v, err := strconv.ParseFloat(s, 64)
		if err != nil || math.IsNaN(v) || v < minimum || v > maximum {
			return fmt.Errorf("must be a number between %v and %v, got %q", minimum, maximum, s)
		}
		*to = v
		return nil
	}
}

func parseInt(to *int, minimum, maximum int) func(string) error {
	return func(s string) error {
		v, err := strconv.Atoi(s)
		if err != nil || v < minimum || v > maximum {
			return fmt.Errorf("must be an integer between %d and %d, got %q", minimum, maximum, s)
		}
		*to = v
		return nil
	}
}

// splitList splits a comma-separated list and drops empty parts.
func splitList(s string) (out []string) {
	for part := range strings.SplitSeq(s, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

// ParseSizes parses a comma-separated list of numbers of workers.
func ParseSizes(s string) ([]int, error) {
	var sizes []int
	for _, part := range splitList(s) {
		n := 0
		if err := parseInt(&n, 1, MaxWorkers)(part); err != nil {
			return nil, err
		}
		sizes = append(sizes, n)
	}
	if len(sizes) == 0 {
		return nil, fmt.Errorf("must list at least one size")
	}
	return sizes, nil
}

// ParseSeeds parses a comma-separated list of seeds.
func ParseSeeds(s string) ([]uint64, error) {
	var seeds []uint64
	for _, part := range splitList(s) {
		n, err := strconv.ParseUint(part, 10, 63)
		if err != nil {
			return nil, fmt.Errorf("must be non-negative integers below 2^63, got %q", part)
		}
		seeds = append(seeds, n)
	}
	if len(seeds) == 0 {
		return nil, fmt.Errorf("must list at least one seed")
	}
	return seeds, nil
}

// Defaults returns the values of keys that a file omits. Regions and phases have no defaults.
func Defaults() Experiment {
	return Experiment{
		Sizes: []int{100}, Seeds: []uint64{1}, DrainS: 60,
		Controllers: Controllers{Count: 3, RestartS: 8, CPU: 1, RAMMB: 512, FDLimit: 4000, LeaderWithinS: 20},
		Workers:     Workers{Plan: 100, CPUs: 8, MemoryGB: 32, ReportS: 5, LeaseS: 26.5, CancelS: 51.5, FetchS: 2, Images: 8, Rack: 40},
		Load:        Load{Teams: 1, Starts: 10, Running: 100, JobTasks: 20, UrgentTasks: 4, UrgentWithinS: 1.6, PollS: 5},
		State:       State{RPS: 250, WriteRPS: 100, ValueKB: 16, TxnOps: 16},
		Failures:    Failures{Speed: 1, ReplacedS: 60},
		Config:      Config{Burst: 20, History: 100},
	}
}

const maxSeconds = 86400

// keys lists the keys of a section with a fixed name; nil means that there is no such section.
func (e *Experiment) keys(section string) []key {
	c, w, l, s, f := &e.Controllers, &e.Workers, &e.Load, &e.State, &e.Failures
	switch section {
	case "experiment":
		return []key{
			{"sizes", func(v string) (err error) { e.Sizes, err = ParseSizes(v); return err }},
			{"seeds", func(v string) (err error) { e.Seeds, err = ParseSeeds(v); return err }},
			{"drain_s", parseFloat(&e.DrainS, 0, maxSeconds)},
		}
	case "controllers":
		return []key{
			{"count", parseInt(&c.Count, 1, 17)}, {"round_trip_ms", parseFloat(&c.RoundTripMS, 0, 1000)}, {"restart_s", parseFloat(&c.RestartS, 0, maxSeconds)},
			{"cpu", parseFloat(&c.CPU, 0.01, 64)}, {"ram_mb", parseFloat(&c.RAMMB, 16, 1e6)}, {"fd_limit", parseInt(&c.FDLimit, 100, 1e6)},
			{"set", func(v string) error { c.Set = splitList(v); return nil }},
		}
	case "workers":
		return []key{
			{"plan", parseInt(&w.Plan, 1, MaxWorkers)}, {"processes", parseInt(&w.Processes, 0, MaxProcesses)}, {"cpus", parseFloat(&w.CPUs, 0.1, 1e4)},
			{"memory_gb", parseFloat(&w.MemoryGB, 0.1, 1e5)}, {"report_s", parseFloat(&w.ReportS, 0.5, 600)}, {"lease_s", parseFloat(&w.LeaseS, 1, maxSeconds)},
			{"cancel_s", parseFloat(&w.CancelS, 1, maxSeconds)}, {"fetch_s", parseFloat(&w.FetchS, 0, 600)}, {"images", parseInt(&w.Images, 1, 10000)}, {"rack", parseInt(&w.Rack, 1, MaxWorkers)},
		}
	case "load":
		return []key{
			{"teams", parseInt(&l.Teams, 1, 10000)}, {"team_share", parseFloat(&l.TeamShare, 0, 1)}, {"starts", parseFloat(&l.Starts, 0.1, 1e5)}, {"running", parseFloat(&l.Running, 1, 1e6)},
			{"job_tasks", parseInt(&l.JobTasks, 1, 50000)}, {"urgent_share", parseFloat(&l.UrgentShare, 0, 1)}, {"urgent_tasks", parseInt(&l.UrgentTasks, 1, 50000)},
			{"urgent_within_s", parseFloat(&l.UrgentWithinS, 0.1, maxSeconds)}, {"cancel_share", parseFloat(&l.CancelShare, 0, 1)}, {"poll_s", parseFloat(&l.PollS, 0.5, 600)},
		}
	case "state":
		return []key{{"rps", parseFloat(&s.RPS, 1, 1e6)}, {"write_rps", parseFloat(&s.WriteRPS, 1, 1e6)}, {"value_kb", parseFloat(&s.ValueKB, 0.5, 1e6)}, {"txn_ops", parseInt(&s.TxnOps, 3, 10000)}}
	case "config":
		return []key{{"every_s", parseFloat(&e.Config.EveryS, 0, maxSeconds)}, {"burst", parseInt(&e.Config.Burst, 1, 1000)}, {"history", parseInt(&e.Config.History, 1, 1000)}}
	case "failures":
		return []key{{"losses_per_day", parseFloat(&f.LossesPerDay, 0, 1e6)}, {"restarts_per_day", parseFloat(&f.RestartsPerDay, 0, 1e6)}, {"speed", parseFloat(&f.Speed, 1, 1e5)}, {"replaced_s", parseFloat(&f.ReplacedS, 0, maxSeconds)}}
	}
	return nil
}

const (
	regionPrefix = "region "
	phasePrefix  = "phase "
)

// LoadFile reads and validates an experiment file.
func LoadFile(path string) (*Experiment, error) {
	file, err := ini.LoadSources(ini.LoadOptions{Insensitive: false}, path)
	if err != nil {
		return nil, &Error{path, "file", strings.ReplaceAll(err.Error(), "\n", " ")}
	}
	e := Defaults()
	e.Name = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	for _, section := range file.Sections() {
		if err := e.readSection(section); err != nil {
			err.File = path
			return nil, err
		}
	}
	if err := e.check(); err != nil {
		err.File = path
		return nil, err
	}
	return &e, nil
}

func (e *Experiment) readSection(section *ini.Section) *Error {
	name := section.Name()
	if region, ok := strings.CutPrefix(name, regionPrefix); ok {
		r := Region{Name: region}
		err := readKeys(section, []key{{"zones", func(v string) error { r.Zones = splitList(v); return nil }}})
		e.Regions = append(e.Regions, r)
		return err
	}
	if phase, ok := strings.CutPrefix(name, phasePrefix); ok {
		p := Phase{Name: phase, Load: 1}
		err := readKeys(section, p.keys())
		e.Phases = append(e.Phases, p)
		return err
	}
	known := e.keys(name)
	if known == nil && (name != ini.DefaultSection || len(section.Keys()) > 0) {
		return &Error{Field: name, Why: "unknown section"}
	}
	return readKeys(section, known)
}

func (p *Phase) keys() []key {
	return []key{
		{"settle_s", parseFloat(&p.SettleS, 0, maxSeconds)}, {"measure_s", parseFloat(&p.MeasureS, 1, maxSeconds)}, {"load", parseFloat(&p.Load, 0, 100)},
		{"event_s", parseFloat(&p.EventS, 0, maxSeconds)}, {"zone", func(v string) error { p.Zone = v; return nil }},
		{"event", func(v string) error {
			p.Event = Event(v)
			if !slices.Contains(events, p.Event) {
				return fmt.Errorf("must be one of %v, got %q", events[1:], v)
			}
			return nil
		}},
	}
}

func readKeys(section *ini.Section, known []key) *Error {
	for _, k := range section.Keys() {
		field := section.Name() + "." + k.Name()
		i := slices.IndexFunc(known, func(o key) bool { return o.name == k.Name() })
		if i < 0 {
			return &Error{Field: field, Why: "unknown key"}
		}
		if err := known[i].read(k.Value()); err != nil {
			return &Error{Field: field, Why: err.Error()}
		}
	}
	return nil
}

// check validates the values against one another and returns the first error.
func (e *Experiment) check() *Error {
	fieldError := func(field, why string, args ...any) *Error {
		return &Error{Field: field, Why: fmt.Sprintf(why, args...)}
	}
	if len(e.Regions) == 0 {
		return fieldError("region", "at least one region section is required")
	}
	if len(e.Phases) == 0 {
		return fieldError("phase", "at least one phase section is required")
	}
	seenZones := map[string]bool{}
	for _, r := range e.Regions {
		if len(r.Zones) == 0 {
			return fieldError(regionPrefix+r.Name+".zones", "must list at least one zone")
		}
		for _, z := range r.Zones {
			if seenZones[z] {
				return fieldError(regionPrefix+r.Name+".zones", "zone %s is listed twice", z)
			}
			seenZones[z] = true
		}
	}
	if w := e.Workers; w.LeaseS < 3*w.ReportS {
		return fieldError("workers.lease_s", "must be at least three times report_s, which is %v, got %v", 3*w.ReportS, w.LeaseS)
	}
	for _, p := range e.Phases {
		field := phasePrefix + p.Name
		zonal := p.Event == LoseZone || p.Event == CutZone || p.Event == LoseRack
		switch {
		case p.MeasureS == 0:
			return fieldError(field+".measure_s", "missing")
		case zonal && !seenZones[p.Zone]:
			return fieldError(field+".zone", "must be a zone of a region, got %q", p.Zone)
		case zonal && p.Zone == e.Regions[0].Zones[0] && e.Workers.Processes > 0:
			return fieldError(field+".zone", "%s contains the workers with a process each, which cannot be cut off", p.Zone)
		case p.Event == CutRegions && len(e.Regions) < 2:
			return fieldError(field+".event", "requires at least two regions")
		}
	}
	return nil
}

// Zones lists the zones of all regions, taking one zone of each region in turn, so that
// controllers are spread over the regions first.
func (e *Experiment) Zones() (out []string) {
	for i := 0; ; i++ {
		more := false
		for _, r := range e.Regions {
			if i < len(r.Zones) {
				out = append(out, r.Zones[i])
				more = true
			}
		}
		if !more {
			return out
		}
	}
}

// RegionOf returns the index of the region that a zone belongs to, or -1.
func (e *Experiment) RegionOf(zone string) int {
	return slices.IndexFunc(e.Regions, func(r Region) bool { return slices.Contains(r.Zones, zone) })
}

// Share returns the share of the planned load that a number of workers gets.
func (e *Experiment) Share(workers int) float64 { return float64(workers) / float64(e.Workers.Plan) }

// TaskS returns the mean run time of a task in seconds that yields the configured number of running
// tasks at the configured start rate.
func (e *Experiment) TaskS() float64 { return e.Load.Running / e.Load.Starts }
