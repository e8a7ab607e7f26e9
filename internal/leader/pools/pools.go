package pools

import (
	"slices"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/settings"
)

// urgentPriority is the lowest priority that may use the reserve of a pool.
const urgentPriority = 2

// noTeam is the team index of units whose team is not known.
const noTeam = -1

// pool is the state of one pool, with the result of the last recount.
type pool struct {
	name  string
	index int32 // in Component.pools

	// From the operators' settings.
	conf       settings.Pool
	inSettings bool            // the pool is in the settings
	shares     map[int32]int64 // the most units that a team may have in use

	// Changed by operators at run time.
	size           int64 // units that the pool has now
	pendingSize    int64 // a larger size that is not durable yet; 0: none
	sizeOverridden bool  // an operator's change replaces the size in the settings
	drained        bool
	changeVersion  uint64          // number of changes
	durableVersion uint64          // changeVersion of the last durable change
	changes        []appliedChange // the last maxStoredChanges changes
	valueNumber    int             // number of the value that stores the changes; 0: none yet

	// Found by the last recount.
	usage
	teams     map[int32]*usage // of teams with a share
	uncertain int64            // part of inUse: may be on machines that have not reported in this term
	lost      int64            // part of inUse: held after a loss
	waiting   int64            // units that waiting tasks need
}

// usage counts the units in use of a pool, or of a team's share of it.
type usage struct {
	inUse        int64
	heldByJobs   int64   // part of inUse: per-job units
	largestStart int64   // the most units that one start of a job with per-job units needs
	reservedFor  *holder // the first job in order that lacks only units to start a task
}

// requirement is a number of units that a job needs of a pool.
type requirement struct {
	pool   int32
	units  int64
	perJob bool // the units are for the whole job, otherwise for each task
}

// holder is a job that needs units.
type holder struct {
	job           *jobs.Job
	requirements  []requirement
	unknownPool   string // a pool that it needs and that is not in the settings; empty: none
	started       bool   // a task of it was placed in this term
	holdsJobUnits bool   // it has its per-job units
	needsJobUnits bool   // it has requirements for per-job units
}

// newHolder returns the holder for a job with the given requirements.
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

// nextUnits returns how many more units of a pool a job needs to start its next task, or, if it is a
// gang, all its waiting tasks.
func (h *holder) nextUnits(r requirement) int64 {
	switch {
	case !r.perJob && h.job.Record.Kind == jobs.Gang:
		return r.units * int64(h.job.Waiting)
	case r.perJob && h.holdsJobUnits:
		return 0
	}
	return r.units
}

// limitFor returns how many units of a pool may be in use after a job's start. Only urgent jobs may
// use the reserve.
func (p *pool) limitFor(j *jobs.Job) int64 {
	if j.Priority >= urgentPriority {
		return p.size
	}
	return p.size - int64(p.conf.Reserve)
}

// addInUse counts units as in use by a team, which may be noTeam.
func (p *pool) addInUse(team int32, units int64) {
	p.inUse += units
	if t := p.teams[team]; t != nil {
		t.inUse += units
	}
}

// addHeldByJob counts per-job units of a job. The caller counts them with addInUse too.
func (p *pool) addHeldByJob(team int32, units int64) {
	p.heldByJobs += units
	if t := p.teams[team]; t != nil {
		t.heldByJobs += units
	}
}

// raiseLargestStart raises largestStart to the units that one start of a job with per-job units needs.
func (p *pool) raiseLargestStart(team int32, units int64) {
	p.largestStart = max(p.largestStart, units)
	if t := p.teams[team]; t != nil {
		t.largestStart = max(t.largestStart, units)
	}
}

// tasksPerStart returns how many of a job's tasks start together.
func tasksPerStart(j *jobs.Job) int64 {
	if j.Record.Kind == jobs.Gang {
		return int64(len(j.Tasks))
	}
	return 1
}
