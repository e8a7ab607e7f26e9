package pools

import (
	"slices"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/settings"
)

// urgentPriority is the lowest priority that may use the reserve of a pool.
const urgentPriority = 2

// nobody stands for the team of units that belong to no known team.
const nobody = -1

// pool is one pool, and what the last recount has found of it.
type pool struct {
	name  string
	index int32 // in Component.pools

	// From the operators' settings.
	conf   settings.Pool
	known  bool            // there is such a pool in the settings
	shares map[int32]int64 // the most units that a team may have in use

	// Changed by operators while the leader runs.
	size           int64 // units in force
	pendingSize    int64 // a larger size that is not durable yet; 0: none
	sizeOverridden bool  // the size is not that of the settings
	drained        bool
	changeVersion  uint64          // counts the changes; 0: there was none
	durableVersion uint64          // the last of them that is durable
	changes        []appliedChange // the last ones, so that repeats are answered alike
	valueNumber    int             // of the value that keeps the changes; 0: none yet

	// Found by the last recount.
	usage
	teams     map[int32]*usage // of teams with a share
	uncertain int64            // of the units in use: on machines that have not reported in this term
	lost      int64            // of the units in use: held after a loss
	waiting   int64            // units that waiting tasks need
}

// usage is what is in use of a pool, or of a team's share of it.
type usage struct {
	inUse       int64
	heldByJobs  int64   // of the units in use: those that jobs hold as a whole
	largestTask int64   // the most units that one start needs of a job that holds units as a whole
	reservedFor *holder // the first in order that could start a task but for units
}

// requirement is what a job needs of a pool.
type requirement struct {
	pool   int32
	units  int64
	perJob bool // for the job as a whole, else for each task
}

// holder is a job that needs units.
type holder struct {
	job           *jobs.Job
	requirements  []requirement
	unknownPool   string // a pool that it needs and that does not exist; empty: none
	started       bool   // this leader has started a task of it
	holdsJobUnits bool   // it holds what it needs as a whole
	needsJobUnits bool   // it needs something as a whole
}

// newHolder makes the holder of a job with these requirements.
func newHolder(job *jobs.Job, requirements []requirement, unknownPool string) *holder {
	return &holder{
		job:           job,
		requirements:  requirements,
		unknownPool:   unknownPool,
		needsJobUnits: slices.ContainsFunc(requirements, func(r requirement) bool { return r.perJob }),
	}
}

// wantsMore reports whether a job still needs units of a pool to start a task.
func (h *holder) wantsMore(r requirement) bool { return h.job.Waiting > 0 && h.nextUnits(r) > 0 }

// nextUnits is what a job needs of a pool to start the next of its tasks.
func (h *holder) nextUnits(r requirement) int64 {
	switch {
	case !r.perJob && h.job.Record.Kind == jobs.Gang:
		return r.units * int64(h.job.Waiting)
	case r.perJob && h.holdsJobUnits:
		return 0
	}
	return r.units
}

// limitFor is how many units of a pool may be in use for a job to start.
func (p *pool) limitFor(j *jobs.Job) int64 {
	if j.Priority >= urgentPriority {
		return p.size
	}
	return p.size - int64(p.conf.Reserve)
}

// addInUse counts units as in use, for a team or for nobody.
func (p *pool) addInUse(team int32, units int64) {
	p.inUse += units
	if t := p.teams[team]; t != nil {
		t.inUse += units
	}
}

// addHeldByJob counts units as held by a job as a whole. They are in use too.
func (p *pool) addHeldByJob(team int32, units int64) {
	p.heldByJobs += units
	if t := p.teams[team]; t != nil {
		t.heldByJobs += units
	}
}

// raiseLargestTask counts what one start needs of a job that holds units as a whole.
func (p *pool) raiseLargestTask(team int32, units int64) {
	p.largestTask = max(p.largestTask, units)
	if t := p.teams[team]; t != nil {
		t.largestTask = max(t.largestTask, units)
	}
}

// startedTogether is how many of a job's tasks start together.
func startedTogether(j *jobs.Job) int64 {
	if j.Record.Kind == jobs.Gang {
		return int64(len(j.Tasks))
	}
	return 1
}
