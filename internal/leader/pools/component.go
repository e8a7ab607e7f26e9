// Package pools is the component of a leader's term that counts scarce resources which
// tasks need besides room on a machine, such as licences. Each pool has a number of units,
// and never more of them are in use than it has, whatever fails. docs/pools.md describes
// the design, the argument for its safety, and how operators use it.
//
// A unit is in use from before the leader sends the start of its task until the task is
// proved gone, by the same proofs as for the task itself. So nothing is written when units
// are allocated or released: the units in use follow from the placements of tasks, which a
// new leader derives from grants and heartbeats. Only operators' changes and units that
// stay in use after a loss are written, to the component's own values, and receipts, to
// the log.
package pools

import (
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/leader/valuestore"
	"bitternmoor/internal/settings"
)

// Name is the name of the component in its log entries and its values.
const Name = "pools"

// firstSession is the session number of an agent that has never lost its tasks.
const firstSession = 1

// Component counts the units in use during a term.
type Component struct {
	cluster.NopComponent
	*cluster.State

	pools  []*pool
	byName map[string]int32 // index in pools

	// Jobs that need units.
	holders               []*holder // in the order in which they were added
	candidates            []*holder // could start a task in this cycle if they had units and room, in order
	byJob                 map[int32]*holder
	cancelledRequirements map[uint64][]requirement // of cancelled jobs of earlier terms, by job ID

	// Tasks on machines that have no placement there.
	orphans           map[*workers.Machine]*orphanedUnits
	allocationBlocked bool // no unit is allocated, since a machine may have units of any pool

	// Losses of machines and of agents' sessions.
	losses       []loss
	restarted    map[*workers.Machine]bool // unresolved machines whose agent has restarted
	justResolved *workers.Machine          // resolved by the heartbeat that is being applied

	// Stored state.
	store    valueStore
	receipts receiptIndex
}

// New returns the component of a term, with the pools of the operators' settings, and sets s.Pools
// to it.
func New(s *cluster.State) *Component {
	d := &Component{
		State:                 s,
		byName:                map[string]int32{},
		byJob:                 map[int32]*holder{},
		cancelledRequirements: map[uint64][]requirement{},
		orphans:               map[*workers.Machine]*orphanedUnits{},
		restarted:             map[*workers.Machine]bool{},
		store:                 valueStore{writes: valuestore.Writer[poolWrite]{Component: Name}},
		receipts:              receiptIndex{byJob: map[uint64]map[receiptKey]*issuedReceipt{}},
	}
	for _, c := range s.Cfg.Tunables.Pools {
		p := d.pool(c.Name)
		p.conf, p.inSettings, p.size = c, true, int64(c.Units)
		for _, share := range c.Shares {
			team := s.Teams.Index(share.Team)
			if p.shares == nil {
				p.shares, p.teams = map[int32]int64{}, map[int32]*usage{}
			}
			p.shares[team], p.teams[team] = int64(share.Units), &usage{}
		}
	}
	s.Pools = d
	return d
}

// pool returns the pool of the given name, which need not be in the settings, and adds it if it is
// missing.
func (d *Component) pool(name string) *pool {
	i, ok := d.byName[name]
	if !ok {
		i = int32(len(d.pools))
		d.byName[name] = i
		d.pools = append(d.pools, &pool{name: name, index: i})
	}
	return d.pools[i]
}

// Replay records the receipts in the log and the requirements of all jobs in it, since tasks of jobs that
// are over by the end of the log may still be running.
func (d *Component) Replay(_ time.Duration, e eventlog.Entry) {
	switch {
	case e.Component != nil:
		d.replayReceipt(e.Component)
	case e.Job != nil:
		record := *e.Job
		record.DecodePoolUnits()
		if len(record.Counted) > 0 {
			d.cancelledRequirements[record.ID], _ = d.requirementsOf(record.Counted)
		}
	}
}

// Begin adds the jobs that are in the job table. Of the replayed requirements it keeps only those of
// cancelled jobs.
func (d *Component) Begin(time.Duration) {
	for id := range d.cancelledRequirements {
		if p, _ := d.Jobs.FinalPhase(id); p != jobs.Cancelled {
			delete(d.cancelledRequirements, id)
		}
	}
	for _, j := range d.Jobs.All() {
		if j != nil {
			d.addJob(j)
		}
	}
}

func (d *Component) requirementsOf(list []eventlog.PoolUnits) (out []requirement, unknownPool string) {
	for _, c := range list {
		p := d.pool(c.Pool) // units of a pool that was removed from the settings may be in use
		if !p.inSettings {
			unknownPool = c.Pool
		}
		out = append(out, requirement{pool: p.index, units: int64(c.Units), perJob: c.PerJob})
	}
	return out, unknownPool
}

func (d *Component) addJob(j *jobs.Job) {
	if len(j.Record.Counted) == 0 || d.byJob[j.Index] != nil {
		return
	}
	requirements, unknownPool := d.requirementsOf(j.Record.Counted)
	h := newHolder(j, requirements, unknownPool)
	d.holders = append(d.holders, h)
	d.byJob[j.Index] = h
}

// HandleEvent processes the events of jobs, tasks and machines.
func (d *Component) HandleEvent(e cluster.Event) {
	switch e.Kind {
	case cluster.JobEnqueued:
		d.addJob(e.Job)
	case cluster.JobRemoved:
		d.jobRemoved(e.Job)
	case cluster.TaskPlaced:
		if h := d.byJob[e.Job.Index]; h != nil {
			h.started = true
		}
	case cluster.TaskDone:
		d.dropReceipts(e.Job.Record.ID, e.Task)
	case cluster.TaskGone:
		d.taskGone(e)
	case cluster.OfferLost:
		if h := d.byJob[e.Job.Index]; h != nil {
			d.holdAfterLoss(e.At, h.job, h.requirements, 1)
		}
	case cluster.HeartbeatApplied:
		d.heartbeatApplied(e)
	case cluster.MachineResolved:
		d.machineResolved(e)
	case cluster.MachineProvedGone:
		d.machineProvedGone(e)
	}
}

func (d *Component) jobRemoved(j *jobs.Job) {
	if h := d.byJob[j.Index]; h != nil && h.job == j {
		delete(d.byJob, j.Index)
		d.removeReferences(h)
		d.holders = slices.DeleteFunc(d.holders, func(o *holder) bool { return o == h })
	}
	d.dropReceipts(j.Record.ID, wholeJobTask)
}

// removeReferences removes a job from the candidates and from the reservations.
func (d *Component) removeReferences(h *holder) {
	d.candidates = slices.DeleteFunc(d.candidates, func(o *holder) bool { return o == h })
	for _, r := range h.requirements {
		p := d.pools[r.pool]
		if p.reservedFor == h {
			p.reservedFor = nil
		}
		if t := p.teams[h.job.Team]; t != nil && t.reservedFor == h {
			t.reservedFor = nil
		}
	}
}

func (d *Component) taskGone(e cluster.Event) {
	d.dropReceipts(e.Job.Record.ID, e.Task)
	if h := d.byJob[e.Job.Index]; h != nil && e.WorkerDied {
		d.holdAfterLoss(e.At, h.job, h.requirements, 1)
	}
}

func (d *Component) heartbeatApplied(e cluster.Event) {
	m := e.Machine
	d.recordOrphans(m, e.Report)
	// An agent that may have tasks of an earlier term got a token in that term, so an agent
	// without a token has restarted.
	if e.Report.Token == 0 && m.Unresolved() {
		d.restarted[m] = true
	}
	if d.justResolved == m && (m.Session > firstSession || d.restarted[m]) {
		// The agent of an earlier session or incarnation may have died while tasks were running.
		d.holdUnreportedAfterLoss(e.At, m)
	}
	if !m.Unresolved() {
		delete(d.restarted, m)
	}
	d.justResolved = nil
}

func (d *Component) machineResolved(e cluster.Event) {
	d.justResolved = e.Machine // the tasks in its heartbeat are counted first
	if d.Inventory.Find(e.Machine.Name) == nil {
		d.holdUnreportedAfterLoss(e.At, e.Machine)
		d.justResolved = nil
	}
}

func (d *Component) machineProvedGone(e cluster.Event) {
	delete(d.restarted, e.Machine)
	d.dropOrphans(e.At, e.Machine)
	// The losses are appended to the log before the entry that the machine is gone: otherwise
	// a new leader would count these units as free.
	d.writeLosses()
}

// Tick reads and writes the stored values, removes expired losses, and decommissions silent machines
// early if they hold units that other jobs wait for. It does nothing without a valid lease.
func (d *Component) Tick(now time.Duration, leaseValid bool) {
	if !leaseValid {
		return
	}
	d.syncStore(now)
	d.expireLosses(now)
	if after := d.Cfg.Tunables.PoolSilentAfterS; after > 0 {
		d.decommissionSilent(now, settings.Seconds(after))
	}
}
