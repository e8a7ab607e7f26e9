package settings

import "slices"

// Objective is a service-level objective that users have stated for a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"` // time limit, seconds
	Share   float64 `toml:"share"`    // share of the jobs that should meet it
	Times   float64 `toml:"times"`    // for deadlines: multiple of a job's deadline that is allowed
}

// Kinds of objectives on which the scheduler acts.
const (
	ObjectiveWait     = "wait"
	ObjectiveFinished = "finished"
	ObjectiveDeadline = "deadline"
)

// objectiveKinds lists all known kinds; the scheduler does not act on those without a constant.
var objectiveKinds = []string{ObjectiveWait, ObjectiveFinished, ObjectiveDeadline, "guarantee"}

// UnknownObjectives returns the kinds of objectives that this version does not support, without duplicates.
func (p *Platform) UnknownObjectives() (out []string) {
	for _, o := range p.Deployment.Objectives {
		if !slices.Contains(objectiveKinds, o.Kind) && !slices.Contains(out, o.Kind) {
			out = append(out, o.Kind)
		}
	}
	return out
}

// NeedsDispatch reports whether an objective limits the wait to less than a report interval. Tasks must then
// be pushed to idle workers, because a start that waits for a worker's next report could miss it.
func (s *Settings) NeedsDispatch(o Objective) bool {
	return o.Kind == ObjectiveWait && o.WithinS < s.Deployment.Workers.ReportS
}

// AnyNeedsDispatch reports whether any objective needs push dispatch.
func (s *Settings) AnyNeedsDispatch() bool {
	return slices.ContainsFunc(s.Deployment.Objectives, s.NeedsDispatch)
}
