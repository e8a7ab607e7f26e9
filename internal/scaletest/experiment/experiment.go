// Package experiment reads the files that say what a scale run plays: how many workers, zones
// and teams, what load, what fails, and in which phases.
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

// Event is something that is done at the beginning of a phase's measurement.
type Event string

// Events of a phase.
const (
	NoEvent     Event = ""
	KillLeader  Event = "kill-leader"  // the leader's process; it is back after restart_s
	LoseZone    Event = "lose-zone"    // machines and controllers of a zone stop
	CutZone     Event = "cut-zone"     // a zone is cut off from everything
	LoseRack    Event = "lose-rack"    // rack machines of one zone stop
	CutRegions  Event = "cut-regions"  // the regions do not reach one another
	KillAll     Event = "kill-all"     // all controllers; they are back after restart_s
	StateOutage Event = "state-outage" // the state service answers nobody
)

var events = []Event{NoEvent, KillLeader, LoseZone, CutZone, LoseRack, CutRegions, KillAll, StateOutage}

// Region is a part of the world with zones of its own. The first region of an experiment has the
// state service and the cloud.
type Region struct {
	Name  string
	Zones []string
}

// Phase is a part of a run that is measured by itself.
type Phase struct {
	Name     string
	SettleS  float64 // played before, not measured
	MeasureS float64
	Load     float64 // of the load; 1: the peak
	Event    Event
	EventS   float64 // for how long something is cut, lost or out
	Zone     string  // of a zone's event
}

// Controllers says how many there are and what they are told of their machines.
type Controllers struct {
	Count        int
	RoundTripMS  float64 // between regions
	RestartS     float64 // a controller that was killed is back after so long
	CPU, RAMMB   float64 // of a core; MiB
	FDLimit      int
	Set          []string // operators' settings, SECTION.KEY=VALUE
	HealthyWithS float64  // a run begins once somebody leads, within so long
}

// Workers describes machines and their workers.
type Workers struct {
	Plan      int // the number for which the load is given
	Processes int // of them, with a process each
	CPUs      float64
	MemoryGB  float64
	ReportS   float64
	LeaseS    float64
	CancelS   float64
	FetchS    float64
	Images    int
	Rack      int // machines of a rack
}

// Load is what users ask, at the plan's number of workers.
type Load struct {
	Teams         int
	TeamShare     float64 // of all processors, that one team may use
	Starts        float64 // of tasks a second
	Running       float64 // tasks at once
	JobTasks      int     // mean number of a job's tasks
	UrgentShare   float64 // of jobs
	UrgentTasks   int     // mean number of an urgent job's tasks
	UrgentWithinS float64
	CancelShare   float64 // of jobs
	PollS         float64
}

// State has the limits of the state service.
type State struct {
	RPS, WriteRPS, ValueKB float64
	TxnOps                 int
}

// Failures are those of ordinary days, at the plan's number of workers.
type Failures struct {
	LossesPerDay, RestartsPerDay float64
	Speed                        float64 // so many times as fast
	ReplacedS                    float64 // a machine that was lost has its place taken after so long
}

// Config says how often operators change the configuration while controllers run.
type Config struct {
	EveryS  float64 // between two bursts; 0: never
	Burst   int     // changes, one after the other
	History int     // that are remembered
}

// Experiment is what one file says.
type Experiment struct {
	Name        string
	Sizes       []int // numbers of workers
	Seeds       []uint64
	DrainS      float64 // how long jobs may take to end after the last phase
	Regions     []Region
	Controllers Controllers
	Workers     Workers
	Load        Load
	State       State
	Failures    Failures
	Config      Config
	Phases      []Phase
}

// Error names a file and a field that is wrong.
type Error struct{ File, Field, Why string }

func (e *Error) Error() string { return e.File + ": " + e.Field + ": " + e.Why }

// key is one of a section's: it reads a value, or says why it cannot.
type key struct {
	name string
	read func(string) error
}

func number(to *float64, least, most float64) func(string) error {
	return func(s string) error {
		v, err := strconv.ParseFloat(s, 64)
		if err != nil || math.IsNaN(v) || v < least || v > most {
			return fmt.Errorf("must be a number between %v and %v, is %q", least, most, s)
		}
		*to = v
		return nil
	}
}

func whole(to *int, least, most int) func(string) error {
	return func(s string) error {
		v, err := strconv.Atoi(s)
		if err != nil || v < least || v > most {
			return fmt.Errorf("must be a whole number between %d and %d, is %q", least, most, s)
		}
		*to = v
		return nil
	}
}

// list splits a list at commas.
func list(s string) (out []string) {
	for part := range strings.SplitSeq(s, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

// ParseSizes reads a list of numbers of workers.
func ParseSizes(s string) ([]int, error) {
	var sizes []int
	for _, part := range list(s) {
		n := 0
		if err := whole(&n, 1, MostWorkers)(part); err != nil {
			return nil, err
		}
		sizes = append(sizes, n)
	}
	if len(sizes) == 0 {
		return nil, fmt.Errorf("names no size")
	}
	return sizes, nil
}

// ParseSeeds reads a list of seeds.
func ParseSeeds(s string) ([]uint64, error) {
	var seeds []uint64
	for _, part := range list(s) {
		n, err := strconv.ParseUint(part, 10, 63)
		if err != nil {
			return nil, fmt.Errorf("must be whole numbers, has %q", part)
		}
		seeds = append(seeds, n)
	}
	if len(seeds) == 0 {
		return nil, fmt.Errorf("names no seed")
	}
	return seeds, nil
}

// Defaults are the values of what a file leaves out; it must give regions and phases.
func Defaults() Experiment {
	return Experiment{
		Sizes: []int{100}, Seeds: []uint64{1}, DrainS: 60,
		Controllers: Controllers{Count: 3, RestartS: 8, CPU: 1, RAMMB: 512, FDLimit: 4000, HealthyWithS: 20},
		Workers:     Workers{Plan: 100, CPUs: 8, MemoryGB: 32, ReportS: 5, LeaseS: 26.5, CancelS: 51.5, FetchS: 2, Images: 8, Rack: 40},
		Load:        Load{Teams: 1, Starts: 10, Running: 100, JobTasks: 20, UrgentTasks: 4, UrgentWithinS: 1.6, PollS: 5},
		State:       State{RPS: 250, WriteRPS: 100, ValueKB: 16, TxnOps: 16},
		Failures:    Failures{Speed: 1, ReplacedS: 60},
		Config:      Config{Burst: 20, History: 100},
	}
}

const maxSeconds = 86400

// keys lists what each fixed section may have.
func (e *Experiment) keys(section string) []key {
	c, w, l, s, f := &e.Controllers, &e.Workers, &e.Load, &e.State, &e.Failures
	switch section {
	case "experiment":
		return []key{
			{"sizes", func(v string) (err error) { e.Sizes, err = ParseSizes(v); return err }},
			{"seeds", func(v string) (err error) { e.Seeds, err = ParseSeeds(v); return err }},
			{"drain_s", number(&e.DrainS, 0, maxSeconds)},
		}
	case "controllers":
		return []key{
			{"count", whole(&c.Count, 1, 17)}, {"round_trip_ms", number(&c.RoundTripMS, 0, 1000)}, {"restart_s", number(&c.RestartS, 0, maxSeconds)},
			{"cpu", number(&c.CPU, 0.01, 64)}, {"ram_mb", number(&c.RAMMB, 16, 1e6)}, {"fd_limit", whole(&c.FDLimit, 100, 1e6)},
			{"set", func(v string) error { c.Set = list(v); return nil }},
		}
	case "workers":
		return []key{
			{"plan", whole(&w.Plan, 1, MostWorkers)}, {"processes", whole(&w.Processes, 0, MostProcesses)}, {"cpus", number(&w.CPUs, 0.1, 1e4)},
			{"memory_gb", number(&w.MemoryGB, 0.1, 1e5)}, {"report_s", number(&w.ReportS, 0.5, 600)}, {"lease_s", number(&w.LeaseS, 1, maxSeconds)},
			{"cancel_s", number(&w.CancelS, 1, maxSeconds)}, {"fetch_s", number(&w.FetchS, 0, 600)}, {"images", whole(&w.Images, 1, 10000)}, {"rack", whole(&w.Rack, 1, MostWorkers)},
		}
	case "load":
		return []key{
			{"teams", whole(&l.Teams, 1, 10000)}, {"team_share", number(&l.TeamShare, 0, 1)}, {"starts", number(&l.Starts, 0.1, 1e5)}, {"running", number(&l.Running, 1, 1e6)},
			{"job_tasks", whole(&l.JobTasks, 1, 50000)}, {"urgent_share", number(&l.UrgentShare, 0, 1)}, {"urgent_tasks", whole(&l.UrgentTasks, 1, 50000)},
			{"urgent_within_s", number(&l.UrgentWithinS, 0.1, maxSeconds)}, {"cancel_share", number(&l.CancelShare, 0, 1)}, {"poll_s", number(&l.PollS, 0.5, 600)},
		}
	case "state":
		return []key{{"rps", number(&s.RPS, 1, 1e6)}, {"write_rps", number(&s.WriteRPS, 1, 1e6)}, {"value_kb", number(&s.ValueKB, 0.5, 1e6)}, {"txn_ops", whole(&s.TxnOps, 3, 10000)}}
	case "config":
		return []key{{"every_s", number(&e.Config.EveryS, 0, maxSeconds)}, {"burst", whole(&e.Config.Burst, 1, 1000)}, {"history", whole(&e.Config.History, 1, 1000)}}
	case "failures":
		return []key{{"losses_per_day", number(&f.LossesPerDay, 0, 1e6)}, {"restarts_per_day", number(&f.RestartsPerDay, 0, 1e6)}, {"speed", number(&f.Speed, 1, 1e5)}, {"replaced_s", number(&f.ReplacedS, 0, maxSeconds)}}
	}
	return nil
}

const (
	regionPrefix = "region "
	phasePrefix  = "phase "
)

// LoadFile reads a file and checks it.
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
		err := readKeys(section, []key{{"zones", func(v string) error { r.Zones = list(v); return nil }}})
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
		return &Error{Field: name, Why: "no such section"}
	}
	return readKeys(section, known)
}

func (p *Phase) keys() []key {
	return []key{
		{"settle_s", number(&p.SettleS, 0, maxSeconds)}, {"measure_s", number(&p.MeasureS, 1, maxSeconds)}, {"load", number(&p.Load, 0, 100)},
		{"event_s", number(&p.EventS, 0, maxSeconds)}, {"zone", func(v string) error { p.Zone = v; return nil }},
		{"event", func(v string) error {
			p.Event = Event(v)
			if !slices.Contains(events, p.Event) {
				return fmt.Errorf("must be one of %v, is %q", events[1:], v)
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
			return &Error{Field: field, Why: "no such key"}
		}
		if err := known[i].read(k.Value()); err != nil {
			return &Error{Field: field, Why: err.Error()}
		}
	}
	return nil
}

// check says what does not go together.
func (e *Experiment) check() *Error {
	wrong := func(field, why string, args ...any) *Error {
		return &Error{Field: field, Why: fmt.Sprintf(why, args...)}
	}
	if len(e.Regions) == 0 {
		return wrong("region", "there is none")
	}
	if len(e.Phases) == 0 {
		return wrong("phase", "there is none")
	}
	named := map[string]bool{}
	for _, r := range e.Regions {
		if len(r.Zones) == 0 {
			return wrong(regionPrefix+r.Name+".zones", "names no zone")
		}
		for _, z := range r.Zones {
			if named[z] {
				return wrong(regionPrefix+r.Name+".zones", "%s is named twice", z)
			}
			named[z] = true
		}
	}
	if w := e.Workers; w.LeaseS < 3*w.ReportS {
		return wrong("workers.lease_s", "must be at least three times report_s, %v, is %v", 3*w.ReportS, w.LeaseS)
	}
	for _, p := range e.Phases {
		field := phasePrefix + p.Name
		zonal := p.Event == LoseZone || p.Event == CutZone || p.Event == LoseRack
		switch {
		case p.MeasureS == 0:
			return wrong(field+".measure_s", "missing")
		case zonal && !named[p.Zone]:
			return wrong(field+".zone", "must be a zone of a region, is %q", p.Zone)
		case zonal && p.Zone == e.Regions[0].Zones[0] && e.Workers.Processes > 0:
			return wrong(field+".zone", "%s has the workers with a process each, which cannot be cut off", p.Zone)
		case p.Event == CutRegions && len(e.Regions) < 2:
			return wrong(field+".event", "there is one region")
		}
	}
	return nil
}

// Zones lists the zones of all regions, in turn one of each, so that controllers are spread
// over regions first.
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

// RegionOf is the number of the region that a zone belongs to.
func (e *Experiment) RegionOf(zone string) int {
	return slices.IndexFunc(e.Regions, func(r Region) bool { return slices.Contains(r.Zones, zone) })
}

// Share is which share of the plan's load a number of workers gets.
func (e *Experiment) Share(workers int) float64 { return float64(workers) / float64(e.Workers.Plan) }

// TaskS is the mean run time of a task, in seconds, by which so many run at so many starts a second.
func (e *Experiment) TaskS() float64 { return e.Load.Running / e.Load.Starts }
