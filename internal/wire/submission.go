package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"bitternmoor/internal/core/eventlog"
)

// The protocol's names of kinds and priorities of jobs, indexed by their numbers.
var (
	kindNames     = []string{"sweep", "gang", "service"}
	priorityNames = []string{"best_effort", "normal", "urgent", "critical"}
)

// KnownKind reports whether kind is the number of a kind of jobs.
func KnownKind(kind uint8) bool { return int(kind) < len(kindNames) }

// KnownPriority reports whether priority is the number of a priority.
func KnownPriority(priority uint8) bool { return int(priority) < len(priorityNames) }

// PriorityName returns the protocol's name of a priority. A number that is too large gives the name of the
// highest priority.
func PriorityName(priority uint8) string {
	return priorityNames[min(int(priority), len(priorityNames)-1)]
}

// submission is the body of a submission. Its fields are pointers to distinguish a missing field from a
// zero value. The package comment lists the meaning of the JSON names.
type submission struct {
	ID         *string  `json:"name_id"`
	Class      *string  `json:"herd"`
	Team       *string  `json:"keeper"`
	Kind       *string  `json:"gait"`
	Priority   *string  `json:"urgency"`
	Tasks      *int     `json:"head"`
	CPUs       *float64 `json:"vcpus"`
	GPUs       *float64 `json:"gpus"`
	MemoryGB   *float64 `json:"memory_gb"`
	Image      *string  `json:"brand"`
	ImageGB    *float64 `json:"size_gb"`
	Types      []string `json:"breeds"`
	Zone       *string  `json:"pasture"`
	OneZone    *bool    `json:"together"`
	Spread     *bool    `json:"scatter"`
	Spot       *bool    `json:"loaned_stock"`
	EstimateS  *float64 `json:"trek_s"`
	Checkpoint *float64 `json:"waypoint_s"`
	SaveS      *float64 `json:"stow_s"`
	DeadlineS  *float64 `json:"market_s"`
	Follows    []string `json:"follows"`

	Counted json.RawMessage `json:"counted"` // list of unitRequest; read only if the installation has pools
}

// unitRequest is a request for units of one pool, for each task or once for the whole job.
type unitRequest struct {
	Pool  *string `json:"pool"`
	Units *int    `json:"units"`
	Per   *string `json:"per"` // "task" or "job"
}

// Submission is a decoded submission. Controllers forward it to the leader.
type Submission struct {
	// ID is the job's id, valid if HasID is set. It may be set for a malformed body too, because a job
	// that is already known gets its answer whatever else the body contains.
	ID    uint64
	HasID bool

	Job *eventlog.Job // nil if the body is malformed
	Bad string        // why the body is malformed, as a message for the user; empty if it is well-formed

	// Overlooked is set if the job requests units of pools that were not read, because this installation
	// has no pools.
	Overlooked bool
}

// ParseSubmission decodes and validates the body of a submission. If pools is not set, units of pools are
// ignored like any unknown field.
func ParseSubmission(body []byte, pools bool) Submission {
	var out Submission
	var probe struct {
		ID json.RawMessage `json:"name_id"`
	}
	if err := json.Unmarshal(body, &probe); err != nil {
		out.Bad = "not a JSON object"
		return out
	}
	var id string
	if json.Unmarshal(probe.ID, &id) == nil {
		out.ID, out.HasID = ParseID(id)
	}
	if !out.HasID {
		out.Bad = "name_id: missing or not a job id"
		return out
	}
	var s submission
	if err := json.Unmarshal(body, &s); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			out.Bad = typeError.Field + ": of the wrong type"
		} else {
			out.Bad = "not valid JSON"
		}
		return out
	}
	job, err := s.parseJob(out.ID)
	if err == nil && pools {
		err = s.parsePoolUnits(job)
	}
	out.Overlooked = !pools && len(s.Counted) > 0 && string(s.Counted) != "null"
	if err != nil {
		out.Bad = err.Error()
		return out
	}
	out.Job = job
	return out
}

// Largest amounts in a submission.
const (
	maxProcessors = 1e6  // CPUs or GPUs of a task
	maxGB         = 1e9  // memory of a task, or size of its image
	maxSeconds    = 1e12 // any duration
)

// parseJob validates a submission and returns the job that it describes. The error is meant for the user
// and begins with the protocol's name of the first invalid field. Units of pools are left to
// parsePoolUnits.
func (s *submission) parseJob(id uint64) (*eventlog.Job, error) {
	if err := s.checkRequired(); err != nil {
		return nil, err
	}
	kind, known := indexOf(kindNames, *s.Kind)
	if !known {
		return nil, errors.New("gait: not a known kind")
	}
	priority, known := indexOf(priorityNames, *s.Priority)
	if !known {
		return nil, errors.New("urgency: not a known priority")
	}
	job := &eventlog.Job{
		ID: id, Class: *s.Class, Team: *s.Team, Kind: kind, Priority: priority, Tasks: *s.Tasks,
		CPUs: *s.CPUs, GPUs: *s.GPUs, MemoryGB: *s.MemoryGB, Image: *s.Image, ImageGB: *s.ImageGB, Types: s.Types,
		OneZone: *s.OneZone, Spread: *s.Spread, Spot: *s.Spot,
		EstimateS: *s.EstimateS, Checkpoint: *s.Checkpoint, SaveS: *s.SaveS,
	}
	for _, parse := range []func(*eventlog.Job) error{s.parseZone, s.checkTypes, s.parseDeadline, s.parseDependencies} {
		if err := parse(job); err != nil {
			return nil, err
		}
	}
	return job, nil
}

// checkRequired returns an error for the first field that every job must have and that is missing or out
// of bounds.
func (s *submission) checkRequired() error {
	if err := s.checkNames(); err != nil {
		return err
	}
	if err := s.checkAmounts(); err != nil {
		return err
	}
	if *s.CPUs == 0 && *s.GPUs == 0 {
		return errors.New("vcpus: a task must take some of its machine")
	}
	if s.Tasks == nil || *s.Tasks < 1 || *s.Tasks > MaxTasks {
		return fmt.Errorf("head: missing or not between 1 and %d", MaxTasks)
	}
	return s.checkFlags()
}

func (s *submission) checkNames() error {
	names := []struct {
		field string
		value *string
	}{
		{"herd", s.Class}, {"keeper", s.Team}, {"gait", s.Kind}, {"urgency", s.Priority}, {"brand", s.Image},
	}
	for _, name := range names {
		if name.value == nil || *name.value == "" || len(*name.value) > MaxName {
			return fmt.Errorf("%s: missing, empty or over %d bytes", name.field, MaxName)
		}
	}
	return nil
}

func (s *submission) checkAmounts() error {
	amounts := []struct {
		field    string
		value    *float64
		min, max float64
	}{
		{"vcpus", s.CPUs, 0, maxProcessors}, {"gpus", s.GPUs, 0, maxProcessors},
		{"memory_gb", s.MemoryGB, 0, maxGB}, {"size_gb", s.ImageGB, 0, maxGB},
		{"trek_s", s.EstimateS, 0, maxSeconds}, {"waypoint_s", s.Checkpoint, 0, maxSeconds},
		{"stow_s", s.SaveS, 0, maxSeconds},
	}
	for _, a := range amounts {
		// The comparison is negated so that NaN is refused as well.
		if a.value == nil || !(*a.value >= a.min) || *a.value > a.max || math.IsInf(*a.value, 0) {
			return fmt.Errorf("%s: missing or not an amount between %v and %v", a.field, a.min, a.max)
		}
	}
	return nil
}

func (s *submission) checkFlags() error {
	flags := []struct {
		field string
		value *bool
	}{
		{"together", s.OneZone}, {"scatter", s.Spread}, {"loaned_stock", s.Spot},
	}
	for _, flag := range flags {
		if flag.value == nil {
			return fmt.Errorf("%s: missing", flag.field)
		}
	}
	return nil
}

func (s *submission) parseZone(job *eventlog.Job) error {
	if s.Zone == nil {
		return nil
	}
	if *s.Zone == "" || len(*s.Zone) > MaxName {
		return errors.New("pasture: empty or too long")
	}
	job.Zone = *s.Zone
	return nil
}

// checkTypes validates the machine types, which parseJob has already copied to the job.
func (s *submission) checkTypes(*eventlog.Job) error {
	if s.Types != nil && len(s.Types) == 0 {
		return errors.New("breeds: an empty list")
	}
	for _, name := range s.Types {
		if name == "" || len(name) > MaxName {
			return errors.New("breeds: an empty name or one too long")
		}
	}
	return nil
}

func (s *submission) parseDeadline(job *eventlog.Job) error {
	if s.DeadlineS == nil {
		return nil
	}
	if !(*s.DeadlineS > 0) || *s.DeadlineS > maxSeconds {
		return errors.New("market_s: not a positive number of seconds")
	}
	job.DeadlineS = *s.DeadlineS
	return nil
}

// parseDependencies adds the jobs that must be done before this one, without duplicates.
func (s *submission) parseDependencies(job *eventlog.Job) error {
	seen := map[uint64]bool{}
	for _, text := range s.Follows {
		id, ok := ParseID(text)
		if !ok {
			return errors.New("follows: not a list of job ids")
		}
		if !seen[id] {
			seen[id] = true
			job.Follows = append(job.Follows, id)
		}
	}
	return nil
}

// maxUnitRequests is the most entries of a job's list of unit requests.
const maxUnitRequests = 16

// parsePoolUnits adds the units of pools that a submission requests to its job.
func (s *submission) parsePoolUnits(job *eventlog.Job) error {
	var list []unitRequest
	if len(s.Counted) > 0 {
		if err := json.Unmarshal(s.Counted, &list); err != nil {
			return errors.New("counted: not a list of pools with their units")
		}
	}
	if len(list) > maxUnitRequests {
		return fmt.Errorf("counted: more than %d pools", maxUnitRequests)
	}
	for i, request := range list {
		field := fmt.Sprintf("counted[%d].", i)
		units, err := request.parse(field)
		if err != nil {
			return err
		}
		for _, other := range job.Counted {
			if other.Pool == units.Pool && other.PerJob == units.PerJob {
				return fmt.Errorf("%spool: %s is there twice", field, units.Pool)
			}
		}
		job.Counted = append(job.Counted, units)
	}
	return nil
}

// parse validates a request for units; field is the prefix of field names in its errors.
func (r *unitRequest) parse(field string) (eventlog.PoolUnits, error) {
	var none eventlog.PoolUnits
	switch {
	case r.Pool == nil || *r.Pool == "" || len(*r.Pool) > MaxName:
		return none, fmt.Errorf("%spool: missing, empty or over %d bytes", field, MaxName)
	case r.Units == nil || *r.Units < 1 || *r.Units > eventlog.MaxPoolUnits:
		return none, fmt.Errorf("%sunits: missing or not between 1 and %d", field, eventlog.MaxPoolUnits)
	case r.Per == nil || (*r.Per != "task" && *r.Per != "job"):
		return none, fmt.Errorf("%sper: neither \"task\" nor \"job\"", field)
	}
	return eventlog.PoolUnits{Pool: *r.Pool, Units: *r.Units, PerJob: *r.Per == "job"}, nil
}

// EncodeSubmission encodes the body with which a user submits a job. It leaves out units of pools.
func EncodeSubmission(job *eventlog.Job) []byte {
	id := FormatID(job.ID)
	s := submission{
		ID: &id, Class: &job.Class, Team: &job.Team,
		Kind: &kindNames[job.Kind], Priority: &priorityNames[job.Priority], Tasks: &job.Tasks,
		CPUs: &job.CPUs, GPUs: &job.GPUs, MemoryGB: &job.MemoryGB,
		Image: &job.Image, ImageGB: &job.ImageGB, Types: job.Types,
		OneZone: &job.OneZone, Spread: &job.Spread, Spot: &job.Spot,
		EstimateS: &job.EstimateS, Checkpoint: &job.Checkpoint, SaveS: &job.SaveS,
	}
	if job.Zone != "" {
		s.Zone = &job.Zone
	}
	if job.DeadlineS > 0 {
		s.DeadlineS = &job.DeadlineS
	}
	for _, dependency := range job.Follows {
		s.Follows = append(s.Follows, FormatID(dependency))
	}
	return encode(s)
}
