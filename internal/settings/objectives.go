package settings

import "slices"

// Objective is a service-level objective that users stated for a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
}

// Kinds of objectives that code acts upon.
const (
	ObjectiveWait     = "wait"
	ObjectiveFinished = "finished"
	ObjectiveDeadline = "deadline"
)

// objectiveKinds are all kinds that there are; nothing follows from the others of them here.
var objectiveKinds = []string{ObjectiveWait, ObjectiveFinished, ObjectiveDeadline, "guarantee"}

// UnknownObjectives lists the kinds of objectives that this version does not know, once each.
func (p *Platform) UnknownObjectives() (out []string) {
	for _, o := range p.Deployment.Objectives {
		if !slices.Contains(objectiveKinds, o.Kind) && !slices.Contains(out, o.Kind) {
			out = append(out, o.Kind)
		}
	}
	return out
}

// NeedsDispatch says whether an objective is so tight that a start which waits for an idle worker's next report
// would miss it, so that tasks must be pushed to workers.
func (s *Settings) NeedsDispatch(o Objective) bool {
	return o.Kind == ObjectiveWait && o.WithinS < s.Deployment.Workers.ReportS
}

// AnyNeedsDispatch says whether any objective needs push dispatch.
func (s *Settings) AnyNeedsDispatch() bool {
	return slices.ContainsFunc(s.Deployment.Objectives, s.NeedsDispatch)
}
