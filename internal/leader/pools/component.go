// Package pools is the duty that counts scarce things which tasks need besides
// room, such as licences: pools of so many units, of which never more are out than
// there are, whatever fails. docs/pools.md is its design note, the argument for its
// safety, and the operators' page.
//
// A unit is out from before its task's start leaves the leader until the task is
// proved gone, by the same proofs as for the task itself. So nothing is written
// when units are given or come back: what is out follows from where tasks count as
// being, which grants and reports tell a new leader as well. Only what operators
// change, and units that stay out after a loss, is written, in values of the duty's
// own.
package pools

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

// Name is that of the duty, its entries and its values.
const Name = "pools"

// firstSession is that of a worker that never lost its tasks.
const firstSession = 1

// urgent is the priority from which on the reserve of a pool may be used.
const urgentPriority = 2

// pool is one pool, and what a count has found of it.
type pool struct {
	name           string
	index          int32
	conf           settings.Pool
	known          bool // in the operators' settings
	size           int64
	drained        bool
	shares         map[int32]int64 // most units a team may have out
	pendingSize    int64           // a larger size that is not durable yet; 0: none
	sizeOverridden bool            // the size is not that of the settings
	changeVersion  uint64          // of what operators changed; 0: nothing
	durableVersion uint64          // the version that is durable
	changes        []appliedChange // the last ones, for repeats
	valueNumber    int             // that keeps it; 0: none yet

	usage
	teams     map[int32]*usage // of teams with a share
	uncertain int64            // of what is out: on machines that have not reported in this term
	lost      int64            // of what is out: held after a loss
	waiting   int64            // units that waiting tasks need
}

// usage is what is out of a pool, or of a team's share of it.
type usage struct {
	inUse       int64
	heldByJobs  int64   // of what is out: for whole jobs
	largestTask int64   // that a task needs of a job which holds units as a whole
	reservedFor *holder // the first in the order that could start a task but for units
}

// requirement is what a job needs of a pool.
type requirement struct {
	pool   int32
	units  int64
	perJob bool
}

// holder is a job that needs units.
type holder struct {
	job           *jobs.Job
	requirements  []requirement
	unknownPool   string // a pool that it needs and that there is not; empty: none
	started       bool   // this leader has started a task of it
	holdsJobUnits bool   // it holds what it needs as a whole
	needsJobUnits bool   // it needs something as a whole
}

// Component counts units in a term.
type Component struct {
	cluster.NopComponent
	*cluster.State
	pools  []*pool
	byName map[string]int32

	holders           []*holder // in the order in which they came
	candidates        []*holder // those that could start a task in this pass, the first ones first
	byJob             map[int32]*holder
	cancelledNeeds    map[uint64][]requirement // what cancelled jobs of earlier terms need, by id
	orphans           map[*workers.Machine]*orphanedUnits
	allocationBlocked bool // a machine may have units of any pool

	losses       []loss
	restarted    map[*workers.Machine]bool // machines that began anew under their names and are not resolved yet
	justResolved *workers.Machine          // by the report that is being taken in
	store        valueStore
	receipts     receiptIndex
}

// New makes the duty of a term.
func New(s *cluster.State) *Component {
	d := &Component{State: s, byName: map[string]int32{}, byJob: map[int32]*holder{}, cancelledNeeds: map[uint64][]requirement{}, orphans: map[*workers.Machine]*orphanedUnits{}, restarted: map[*workers.Machine]bool{}}
	d.receipts.byJob = map[uint64]map[receiptKey]*issuedReceipt{}
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

// pool gives the pool with a name, which may be in no settings.
func (d *Component) pool(name string) *pool {
	i, ok := d.byName[name]
	if !ok {
		i = int32(len(d.pools))
		d.byName[name] = i
		d.pools = append(d.pools, &pool{name: name, index: i})
	}
	return d.pools[i]
}

// Replay notes what jobs need that are over by the end of the log: their tasks may
// be somewhere yet.
func (d *Component) Replay(now time.Duration, e eventlog.Entry) {
	switch {
	case e.Component != nil:
		d.replayReceipt(e.Component)
	case e.Job != nil:
		rec := *e.Job
		rec.RevealPoolUnits()
		if len(rec.Counted) > 0 {
			d.cancelledNeeds[rec.ID], _ = d.requirementsOf(rec.Counted)
		}
	}
}

// Begin enters the open jobs.
func (d *Component) Begin(time.Duration) {
	for id := range d.cancelledNeeds {
		if p, _ := d.Jobs.Final(id); p != jobs.Cancelled {
			delete(d.cancelledNeeds, id)
		}
	}
	for _, j := range d.Jobs.All() {
		if j != nil {
			d.addJob(j)
		}
	}
}

func (d *Component) requirementsOf(list []eventlog.PoolUnits) (out []requirement, unknown string) {
	for _, c := range list {
		p := d.pool(c.Pool) // it may be in no settings any more, and units of it out
		if !p.known {
			unknown = c.Pool
		}
		out = append(out, requirement{p.index, int64(c.Units), c.PerJob})
	}
	return out, unknown
}

func (d *Component) addJob(j *jobs.Job) {
	if len(j.Record.Counted) == 0 || d.byJob[j.Index] != nil {
		return
	}
	h := &holder{job: j}
	h.requirements, h.unknownPool = d.requirementsOf(j.Record.Counted)
	h.needsJobUnits = slices.ContainsFunc(h.requirements, func(n requirement) bool { return n.perJob })
	d.holders = append(d.holders, h)
	d.byJob[j.Index] = h
}

// HandleEvent follows jobs and what is lost.
func (d *Component) HandleEvent(e cluster.Event) {
	switch e.Kind {
	case cluster.JobOrdered:
		d.addJob(e.Job)
	case cluster.JobRemoved:
		if h := d.byJob[e.Job.Index]; h != nil && h.job == e.Job {
			delete(d.byJob, e.Job.Index)
			d.removeReferences(h)
			d.holders = slices.DeleteFunc(d.holders, func(o *holder) bool { return o == h })
		}
		d.dropReceipts(e.Job.Record.ID, -1)
	case cluster.TaskPlaced:
		if h := d.byJob[e.Job.Index]; h != nil {
			h.started = true
		}
	case cluster.TaskDone:
		d.dropReceipts(e.Job.Record.ID, e.Task)
	case cluster.TaskGone:
		d.dropReceipts(e.Job.Record.ID, e.Task)
		if h := d.byJob[e.Job.Index]; h != nil && e.WorkerDied {
			d.holdAfterLoss(e.At, h.job, h.requirements, 1)
		}
	case cluster.OfferLost:
		if h := d.byJob[e.Job.Index]; h != nil {
			d.holdAfterLoss(e.At, h.job, h.requirements, 1)
		}
	case cluster.HeartbeatApplied:
		d.noteOrphans(e.Machine, e.Report)
		// A machine that may have tasks of an earlier term has had a token then.
		if e.Report.Token == 0 && e.Machine.Unresolved() {
			d.restarted[e.Machine] = true
		}
		if d.justResolved == e.Machine && (e.Machine.Session > firstSession || d.restarted[e.Machine]) {
			d.holdUnseenAfterLoss(e.At, e.Machine) // a worker of an earlier session, or life, may have died under its tasks
		}
		if !e.Machine.Unresolved() {
			delete(d.restarted, e.Machine)
		}
		d.justResolved = nil
	case cluster.MachineResolved:
		d.justResolved = e.Machine // what its report shows is counted first
		if d.Inventory.Find(e.Machine.Name) == nil {
			d.holdUnseenAfterLoss(e.At, e.Machine)
			d.justResolved = nil
		}
	case cluster.MachineProvedGone:
		delete(d.restarted, e.Machine)
		d.dropOrphans(e.At, e.Machine)
		// Before it is written that the machine is gone: a new leader would take
		// these units for free.
		d.writeLosses()
	}
}

// removeReferences takes a job that has left out of all that refers to it.
func (d *Component) removeReferences(h *holder) {
	d.candidates = slices.DeleteFunc(d.candidates, func(o *holder) bool { return o == h })
	for _, n := range h.requirements {
		p := d.pools[n.pool]
		if p.reservedFor == h {
			p.reservedFor = nil
		}
		if t := p.teams[h.job.Team]; t != nil && t.reservedFor == h {
			t.reservedFor = nil
		}
	}
}

// Tick reads and writes values, lets losses run out, and has machines deleted early
// that keep units which others wait for.
func (d *Component) Tick(now time.Duration, sure bool) {
	if !sure {
		return
	}
	d.syncStore(now)
	at := d.wallClockMS(now)
	before := len(d.losses)
	d.losses = slices.DeleteFunc(d.losses, func(l loss) bool { return l.Until <= at })
	if len(d.losses) < before {
		d.NeedsCycle = true
		d.store.lossesDirty = true
	}
	if after := d.Cfg.Tunables.UnitsSilentS; after > 0 {
		d.decommissionSilent(now, settings.Seconds(after))
	}
}

// decommissionSilent gives machines up early that are silent while others wait for units which
// their tasks keep: the setting weighs the machine's price against the wait.
func (d *Component) decommissionSilent(now, after time.Duration) {
	var wanted []bool
	for i, p := range d.pools {
		if h := p.reservedFor; h != nil && h.job.Waiting > 0 {
			if wanted == nil {
				wanted = make([]bool, len(d.pools))
			}
			for _, n := range h.requirements {
				wanted[n.pool] = wanted[n.pool] || (int(n.pool) == i && p.inUse+h.nextUnits(n) > p.limitFor(h.job))
			}
		}
	}
	if wanted == nil || d.MostMachinesSilent(now) {
		return
	}
	keeps := func(j *jobs.Job) bool {
		h := d.byJob[j.Index]
		return h != nil && slices.ContainsFunc(h.requirements, func(n requirement) bool { return wanted[n.pool] })
	}
	for _, m := range slices.Clone(d.Inventory.All()) {
		if m.Deleting || !m.Durable || now-max(m.LastHeartbeat, d.TermBegan) <= max(after, d.SuspectAfter()) {
			continue
		}
		on := false
		for _, p := range m.Tasks {
			on = on || (!p.Planned && keeps(d.Jobs.At(p.Ref.Job)))
		}
		if !m.Resolved {
			for id := range m.Grants {
				if j := d.Jobs.Find(id); j != nil {
					on = on || keeps(j)
				}
			}
		}
		if on {
			d.LogMessage(effects.Info, "a silent machine is given up early: others wait for counted units there", "machine", m.Name)
			d.Decommission(now, m, cluster.Delete, "silent, and others wait for counted units there")
		}
	}
}

// Why says what a job waits for, in plain words; empty: it does not wait for units.
func (d *Component) Why(j *jobs.Job) string {
	h := d.byJob[j.Index]
	switch {
	case h == nil:
		return ""
	case h.unknownPool != "":
		return fmt.Sprintf("it needs units of the pool %s, which is not in the leader's settings", h.unknownPool)
	case !d.store.loaded:
		return "what operators have changed of pools is being read: no units are given out before"
	case d.allocationBlocked:
		return "a machine that has not reported yet may have units of any pool: none are given out before it is heard or gone"
	}
	x, ok := d.blockingRequirement(j, startedTogether(j))
	if ok {
		return ""
	}
	p := d.pools[x.pool]
	if p.drained {
		return fmt.Sprintf("it needs %d units of %s, which is drained", h.nextUnits(x), p.name)
	}
	if p.conf.HoldAfterLossS > 0 && d.lossesNotDurable() {
		return fmt.Sprintf("it needs %d units of %s; none go out before it is written which are lost", h.nextUnits(x), p.name)
	}
	why := fmt.Sprintf("it waits for units of %s: it needs %d, and %d of %d are out", p.name, h.nextUnits(x), p.inUse, p.size)
	if p.uncertain > 0 {
		why += fmt.Sprintf(", %d of them perhaps, on machines that have not reported yet", p.uncertain)
	}
	if p.lost > 0 {
		why += fmt.Sprintf(", %d of them for a while after the loss of a machine", p.lost)
	}
	if j.Priority < urgentPriority && p.conf.Reserve > 0 {
		why += fmt.Sprintf("; %d are for urgent jobs", p.conf.Reserve)
	}
	if t := p.teams[j.Team]; t != nil {
		why += fmt.Sprintf("; its team has %d of its %d", t.inUse, p.shares[j.Team])
	}
	for _, c := range []*holder{p.reservedFor, teamReservation(p, j)} {
		if c != nil && c != h {
			return why + fmt.Sprintf("; job %s is before it in the order, and its next units are kept for it", idOf(c.job))
		}
	}
	return why
}

func teamReservation(p *pool, j *jobs.Job) *holder {
	if t := p.teams[j.Team]; t != nil {
		return t.reservedFor
	}
	return nil
}

// Gauges gives the numbers of each pool; those of many pools are summed up, so that
// their labels stay few.
func (d *Component) Gauges(now time.Duration) []cluster.Gauge {
	d.recount(now)
	out := []cluster.Gauge{{Name: "bitternmoor_pool_units", Help: "Units that a pool has."}, {Name: "bitternmoor_pool_units_out", Help: "Units that are out, or may be."},
		{Name: "bitternmoor_pool_units_waiting", Help: "Units that waiting tasks need."}, {Name: "bitternmoor_pool_units_uncertain", Help: "Units that are out only perhaps: on machines that have not reported since the last takeover."}}
	list := slices.SortedFunc(slices.Values(d.pools), func(a, b *pool) int { return cmp.Compare(a.name, b.name) })
	for i := range out {
		out[i].Label, out[i].Values = "pool", map[string]float64{}
	}
	for n, p := range list {
		name := p.name
		if n >= maxLabels {
			name = "others"
		}
		for i, v := range []int64{p.size, p.inUse, p.waiting, p.uncertain} {
			out[i].Values[name] += float64(v)
		}
	}
	return out
}

// labelsMost is how many pools have numbers of their own.
const maxLabels = 100
