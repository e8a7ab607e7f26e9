// Package wire speaks the platform's protocols: to users, workers, the cloud
// and the state service. It is the only place that knows their words; the
// rest of the program uses the field's own.
package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"bitternmoor/internal/core/eventlog"
)

// MaxBody is the largest request body.
const MaxBody = 64 << 10

// MaxName is how many bytes a name of a job may have, and MaxTasks how many tasks a job.
const (
	MaxName  = 256
	MaxTasks = 100_000
)

// Kinds and priorities of jobs, in the order of their numbers.
var (
	kindWords     = []string{"sweep", "gang", "service"}
	priorityWords = []string{"best_effort", "normal", "urgent", "critical"}
)

// KnownKind and KnownPriority say whether there is a kind, or a priority, of that number.
func KnownKind(k uint8) bool     { return int(k) < len(kindWords) }
func KnownPriority(p uint8) bool { return int(p) < len(priorityWords) }

// PriorityWord is the word for a priority.
func PriorityWord(p uint8) string { return priorityWords[min(int(p), len(priorityWords)-1)] }

// Paths of the users' and workers' doors.
const (
	PathJobs    = "/api/jobs"
	PathJob     = "/api/jobs/{id}"
	PathAbort   = "/api/jobs/{id}/abort"
	PathHealth  = "/healthz"
	PathReports = "/checkin"
)

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

	Counted json.RawMessage `json:"counted"` // read only where there are pools
}

type unitRequest struct {
	Pool  *string `json:"pool"`
	Units *int    `json:"units"`
	Per   *string `json:"per"`
}

// ParseID reads a job's id, which has exactly one form for each number.
func ParseID(s string) (uint64, bool) {
	digits, ok := strings.CutPrefix(s, "j-")
	if !ok || len(digits) < 6 || len(digits) > 18 {
		return 0, false
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return 0, false
		}
	}
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, err == nil && FormatID(n) == s
}

// FormatID writes a job's id.
func FormatID(n uint64) string { return fmt.Sprintf("j-%06d", n) }

// Submission is what a body asked for. Bad says why it is malformed; the id
// may be known all the same, since a known job is answered whatever the body.
type Submission struct {
	ID    uint64
	HasID bool
	Job   *eventlog.Job
	Bad   string
	// Overlooked says that it asks for units of pools which were not read: there are
	// no pools here.
	Overlooked bool
}

// ParseSubmission reads and checks the body of a submission. Units of pools are read
// only where there are pools: otherwise the field means nothing, as any other that is
// not known.
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
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			out.Bad = te.Field + ": of the wrong type"
		} else {
			out.Bad = "not valid JSON"
		}
		return out
	}
	job, err := s.check(out.ID)
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

const countedMost = 16 // pools of a job

// parsePoolUnits reads the units of pools that a job needs.
func (s *submission) parsePoolUnits(j *eventlog.Job) error {
	var list []unitRequest
	if len(s.Counted) > 0 {
		if err := json.Unmarshal(s.Counted, &list); err != nil {
			return errors.New("counted: not a list of pools with their units")
		}
	}
	if len(list) > countedMost {
		return fmt.Errorf("counted: more than %d pools", countedMost)
	}
	for i, c := range list {
		field := fmt.Sprintf("counted[%d].", i)
		switch {
		case c.Pool == nil || *c.Pool == "" || len(*c.Pool) > MaxName:
			return fmt.Errorf("%spool: missing, empty or over %d bytes", field, MaxName)
		case c.Units == nil || *c.Units < 1 || *c.Units > eventlog.UnitsMost:
			return fmt.Errorf("%sunits: missing or not between 1 and %d", field, eventlog.UnitsMost)
		case c.Per == nil || (*c.Per != "task" && *c.Per != "job"):
			return fmt.Errorf("%sper: neither \"task\" nor \"job\"", field)
		}
		x := eventlog.PoolUnits{Pool: *c.Pool, Units: *c.Units, PerJob: *c.Per == "job"}
		for _, o := range j.Counted {
			if o.Pool == x.Pool && o.PerJob == x.PerJob {
				return fmt.Errorf("%spool: %s is there twice", field, x.Pool)
			}
		}
		j.Counted = append(j.Counted, x)
	}
	return nil
}

func (s *submission) check(id uint64) (*eventlog.Job, error) {
	names := []struct {
		field string
		value *string
	}{{"herd", s.Class}, {"keeper", s.Team}, {"gait", s.Kind}, {"urgency", s.Priority}, {"brand", s.Image}}
	for _, n := range names {
		if n.value == nil || *n.value == "" || len(*n.value) > MaxName {
			return nil, fmt.Errorf("%s: missing, empty or over %d bytes", n.field, MaxName)
		}
	}
	amounts := []struct {
		field    string
		value    *float64
		min, max float64
	}{
		{"vcpus", s.CPUs, 0, 1e6}, {"gpus", s.GPUs, 0, 1e6}, {"memory_gb", s.MemoryGB, 0, 1e9}, {"size_gb", s.ImageGB, 0, 1e9},
		{"trek_s", s.EstimateS, 0, 1e12}, {"waypoint_s", s.Checkpoint, 0, 1e12}, {"stow_s", s.SaveS, 0, 1e12},
	}
	for _, a := range amounts {
		if a.value == nil || !(*a.value >= a.min) || *a.value > a.max || math.IsInf(*a.value, 0) {
			return nil, fmt.Errorf("%s: missing or not an amount between %v and %v", a.field, a.min, a.max)
		}
	}
	if *s.CPUs == 0 && *s.GPUs == 0 {
		return nil, errors.New("vcpus: a task must take some of its machine")
	}
	if s.Tasks == nil || *s.Tasks < 1 || *s.Tasks > MaxTasks {
		return nil, fmt.Errorf("head: missing or not between 1 and %d", MaxTasks)
	}
	flags := []struct {
		field string
		value *bool
	}{{"together", s.OneZone}, {"scatter", s.Spread}, {"loaned_stock", s.Spot}}
	for _, f := range flags {
		if f.value == nil {
			return nil, fmt.Errorf("%s: missing", f.field)
		}
	}
	kind, ok := indexOf(kindWords, *s.Kind)
	if !ok {
		return nil, errors.New("gait: not a known kind")
	}
	priority, ok := indexOf(priorityWords, *s.Priority)
	if !ok {
		return nil, errors.New("urgency: not a known priority")
	}
	j := &eventlog.Job{
		ID: id, Class: *s.Class, Team: *s.Team, Kind: kind, Priority: priority, Tasks: *s.Tasks,
		CPUs: *s.CPUs, GPUs: *s.GPUs, MemoryGB: *s.MemoryGB, Image: *s.Image, ImageGB: *s.ImageGB, Types: s.Types,
		OneZone: *s.OneZone, Spread: *s.Spread, Spot: *s.Spot,
		EstimateS: *s.EstimateS, Checkpoint: *s.Checkpoint, SaveS: *s.SaveS,
	}
	if s.Zone != nil {
		if *s.Zone == "" || len(*s.Zone) > MaxName {
			return nil, errors.New("pasture: empty or too long")
		}
		j.Zone = *s.Zone
	}
	if s.Types != nil && len(s.Types) == 0 {
		return nil, errors.New("breeds: an empty list")
	}
	for _, t := range s.Types {
		if t == "" || len(t) > MaxName {
			return nil, errors.New("breeds: an empty name or one too long")
		}
	}
	if s.DeadlineS != nil {
		if !(*s.DeadlineS > 0) || *s.DeadlineS > 1e12 {
			return nil, errors.New("market_s: not a positive number of seconds")
		}
		j.DeadlineS = *s.DeadlineS
	}
	named := map[uint64]bool{}
	for _, f := range s.Follows {
		n, ok := ParseID(f)
		if !ok {
			return nil, errors.New("follows: not a list of job ids")
		}
		if !named[n] {
			named[n] = true
			j.Follows = append(j.Follows, n)
		}
	}
	return j, nil
}

func indexOf(list []string, s string) (uint8, bool) {
	for i, v := range list {
		if v == s {
			return uint8(i), true
		}
	}
	return 0, false
}

// JobState is a job's state as users know it.
type JobState uint8

// States of a job.
const (
	Queued JobState = iota
	Running
	Done
	Cancelled
)

var jobStateWords = []string{"queued", "running", "done", "aborted"}

type jobAnswer struct {
	ID      string `json:"name_id"`
	State   string `json:"standing"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
}

type errorBody struct {
	Error string `json:"error"`
}

// JobAnswer is the body that tells a user a job's state.
func JobAnswer(id uint64, s JobState, counts bool, done, running int) []byte {
	a := jobAnswer{ID: FormatID(id), State: jobStateWords[s]}
	if counts {
		a.Done, a.Running = &done, &running
	}
	return encode(a)
}

// ErrorBody is the body of an answer that is a refusal.
func ErrorBody(why string) []byte { return encode(errorBody{why}) }

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("wire: a message that cannot be written: %v", err)) // all amounts are checked at the door
	}
	return b
}

// ReadBody reads a request's body up to the limit.
func ReadBody(r io.Reader) ([]byte, error) {
	var buf bytes.Buffer
	n, err := buf.ReadFrom(io.LimitReader(r, MaxBody+1))
	if err != nil {
		return nil, fmt.Errorf("wire: reading a body: %w", err)
	}
	if n > MaxBody {
		return nil, ErrTooLarge
	}
	return buf.Bytes(), nil
}

// ErrTooLarge is returned for a body over MaxBody.
var ErrTooLarge = errors.New("wire: body over 64 KiB")
