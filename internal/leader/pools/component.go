// Package pools is the component of a leader's term that counts scarce resources which
// tasks need besides room on a machine, such as licences. They come in pools of so many
// units, of which never more are in use than there are, whatever fails. docs/pools.md
// has the design, the argument for its safety, and the operators' page.
//
// A unit is in use from before its task's start leaves the leader until the task is
// proved gone, by the same proofs as for the task itself. So nothing is written when
// units are allocated or released: what is in use follows from where tasks count as
// being, which grants and heartbeats tell a new leader as well. Only operators' changes,
// and units that stay in use after a loss, are written, to values of the component's own.
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

// Name is that of the component, of its entries and of its values.
const Name = "pools"

// firstSession is the number of an agent's session that never lost its tasks.
const firstSession = 1

// Component counts units in a term.
type Component struct {
	cluster.NopComponent
	*cluster.State

	pools  []*pool
	byName map[string]int32 // index in pools

	// Jobs that need units.
	holders        []*holder // in the order in which they came
	candidates     []*holder // those that could start a task in this scheduling cycle, in order
	byJob          map[int32]*holder
	cancelledNeeds map[uint64][]requirement // of cancelled jobs of earlier terms, by job id

	// What is on machines beside the tasks that count as being there.
	orphans           map[*workers.Machine]*orphanedUnits
	allocationBlocked bool // a machine may have units of any pool

	// Losses of machines and of agents' sessions.
	losses       []loss
	restarted    map[*workers.Machine]bool // agents that started anew under their names; not resolved yet
	justResolved *workers.Machine          // by the heartbeat that is being applied

	// What is written.
	store    valueStore
	receipts receiptIndex
}

// New makes the component of a term, with the pools of the operators' settings.
func New(s *cluster.State) *Component {
	d := &Component{
		State:          s,
		byName:         map[string]int32{},
		byJob:          map[int32]*holder{},
		cancelledNeeds: map[uint64][]requirement{},
		orphans:        map[*workers.Machine]*orphanedUnits{},
		restarted:      map[*workers.Machine]bool{},
		store:          valueStore{writes: valuestore.Writer[poolWrite]{Component: Name}},
		receipts:       receiptIndex{byJob: map[uint64]map[receiptKey]*issuedReceipt{}},
	}
	for _, c := range s.Cfg.Tunables.Pools {
		p := d.pool(c.Name)
		p.conf, p.known, p.size = c, true, int64(c.Units)
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

// pool returns the pool of that name, which need not be in the settings.
func (d *Component) pool(name string) *pool {
	i, ok := d.byName[name]
	if !ok {
		i = int32(len(d.pools))
		d.byName[name] = i
		d.pools = append(d.pools, &pool{name: name, index: i})
	}
	return d.pools[i]
}

// Replay notes the needs of all jobs of the log: of those that are over by its end,
// tasks may still be running somewhere.
func (d *Component) Replay(_ time.Duration, e eventlog.Entry) {
	switch {
	case e.Component != nil:
		d.replayReceipt(e.Component)
	case e.Job != nil:
		record := *e.Job
		record.RevealPoolUnits()
		if len(record.Counted) > 0 {
			d.cancelledNeeds[record.ID], _ = d.requirementsOf(record.Counted)
		}
	}
}

// Begin adds the open jobs.
func (d *Component) Begin(time.Duration) {
	for id := range d.cancelledNeeds {
		if p, _ := d.Jobs.FinalPhase(id); p != jobs.Cancelled {
			delete(d.cancelledNeeds, id)
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
		p := d.pool(c.Pool) // units may be in use of one that is not in the settings any more
		if !p.known {
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

// HandleEvent follows jobs, tasks and machines.
func (d *Component) HandleEvent(e cluster.Event) {
	switch e.Kind {
	case cluster.JobOrdered:
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

// removeReferences takes a job that was removed out of all that refers to it.
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
	d.noteOrphans(m, e.Report)
	// An agent that may have tasks of an earlier term was given a token in that term.
	if e.Report.Token == 0 && m.Unresolved() {
		d.restarted[m] = true
	}
	if d.justResolved == m && (m.Session > firstSession || d.restarted[m]) {
		// An agent of an earlier session or incarnation may have died under its tasks.
		d.holdUnseenAfterLoss(e.At, m)
	}
	if !m.Unresolved() {
		delete(d.restarted, m)
	}
	d.justResolved = nil
}

func (d *Component) machineResolved(e cluster.Event) {
	d.justResolved = e.Machine // what its heartbeat shows is counted first
	if d.Inventory.Find(e.Machine.Name) == nil {
		d.holdUnseenAfterLoss(e.At, e.Machine)
		d.justResolved = nil
	}
}

func (d *Component) machineProvedGone(e cluster.Event) {
	delete(d.restarted, e.Machine)
	d.dropOrphans(e.At, e.Machine)
	// The losses go to the log before the entry that the machine is gone: otherwise a new
	// leader would take these units as free.
	d.writeLosses()
}

// Tick reads and writes values, lets losses expire, and has silent machines deleted early
// that keep units which others wait for.
func (d *Component) Tick(now time.Duration, leaseValid bool) {
	if !leaseValid {
		return
	}
	d.syncStore(now)
	d.expireLosses(now)
	if after := d.Cfg.Tunables.UnitsSilentS; after > 0 {
		d.decommissionSilent(now, settings.Seconds(after))
	}
}
