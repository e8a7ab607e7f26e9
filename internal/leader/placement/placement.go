// Package placement is the duty that gives room: it has the planner place waiting
// tasks, notes before a job's first start on a machine that its tasks may be
// there, and takes that back. It alone writes entries of grants.
package placement

import (
	"maps"
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/leader/cluster"
)

const (
	minCyclePause    = 20 * time.Millisecond // between a pass and one that a commit asks for
	preemptInterval  = 500 * time.Millisecond
	grantIdleTimeout = 8 * time.Second // a job with nothing on a machine for so long has its grant taken back

	maxMachineBytes   = 10 // upper bound for what a machine takes in an entry
	usualMachineBytes = 5  // what one takes usually
)

// Component gives room in a term.
type Component struct {
	cluster.NopComponent
	*cluster.State
	newGrants      map[uint64][]*workers.Machine // grants to be noted, by job id
	grants         map[uint64][]*workers.Machine // grants noted or being noted
	revoked        map[uint64][]int              // grants to be taken back, by job id: numbers of machines
	grantsInFlight [][]*workers.Machine          // of the grants on their way to the log, in their order
	planned        []*workers.Placement          // by the pass under way
	cycledAt       time.Duration
	preemptedAt    time.Duration

	marks intentMarks

	replayedGrants    map[uint64]map[int]bool  // while the log is replayed
	compactedMachines map[int]*workers.Machine // while the log is cleaned
}

// New makes the duty of a term.
func New(s *cluster.State) *Component {
	return &Component{State: s, newGrants: map[uint64][]*workers.Machine{}, grants: map[uint64][]*workers.Machine{}, revoked: map[uint64][]int{},
		marks: newMarks(), replayedGrants: map[uint64]map[int]bool{}}
}

// Replay takes an entry of the log.
func (d *Component) Replay(_ time.Duration, e eventlog.Entry) {
	if e.Component != nil {
		d.replayMarks(e.Component)
	}
	if e.Grant == nil {
		return
	}
	g := d.replayedGrants[e.Grant.Job]
	if g == nil {
		g = map[int]bool{}
		d.replayedGrants[e.Grant.Job] = g
	}
	for _, n := range e.Grant.Machines {
		g[n] = !e.Grant.Revoked
	}
}

// Begin settles which machines may have tasks of which jobs. Until such a
// machine is resolved, what is not seen of the job may be there.
func (d *Component) Begin(time.Duration) {
	byNumber := d.machinesByNumber()
	for id, list := range d.replayedGrants {
		j := d.Jobs.Find(id)
		for n, open := range list {
			d.LastMachineNumber = max(d.LastMachineNumber, n)
			m := byNumber[n]
			switch {
			case !open || m == nil || m.Resolved || n == 0:
			case j != nil:
				m.Grants[id] = true
				d.grants[id] = append(d.grants[id], m)
				j.UnresolvedMachines++
				if !slices.Contains(m.ClaimedByTeams, j.Team) {
					m.ClaimedByTeams = append(m.ClaimedByTeams, j.Team)
				}
			default:
				// A cancelled job, whose team is not known any more: its tasks may be
				// there yet. One that is done has none anywhere.
				if p, _ := d.Jobs.Final(id); p != jobs.Done {
					m.ClaimedByAnyTeam = true
				}
			}
		}
	}
	d.replayedGrants = nil
	for _, m := range d.Inventory.All() {
		if m.Unresolved() {
			d.AddUnresolved(m)
		}
	}
	d.recoverMarks()
}

func (d *Component) machinesByNumber() map[int]*workers.Machine {
	out := map[int]*workers.Machine{}
	for _, m := range d.Inventory.All() {
		out[m.Number] = m
	}
	return out
}

// EntryDurable lets the tasks of a grant that is noted start.
func (d *Component) EntryDurable(_ time.Duration, _ bool, e eventlog.Entry) {
	if e.Component != nil {
		d.marksDurable()
	}
	if e.Grant == nil {
		return
	}
	machines := d.grantsInFlight[0]
	d.grantsInFlight = d.grantsInFlight[1:]
	if d.Jobs.Find(e.Grant.Job) == nil {
		return
	}
	for _, m := range machines {
		m.Grants[e.Grant.Job] = true
	}
}

// HandleEvent forgets the grants of a job that has left, and takes those back that a
// report shows to be of no use any more.
func (d *Component) HandleEvent(e cluster.Event) {
	switch e.Kind {
	case cluster.JobRemoved:
		id := e.Job.Record.ID
		for _, m := range d.grants[id] {
			m.RevokeGrant(id)
		}
		delete(d.revoked, id)
		delete(d.grants, id)
		delete(d.newGrants, id)
		d.marks.forgetJob(id)
	case cluster.HeartbeatApplied:
		if e.Report.Token == e.Machine.Token {
			d.revokeIdleGrants(e.At, e.Machine, e.Report)
		}
	}
}

// RunCycle gives room if anything has changed, and stops tasks for others that go
// ahead of them.
func (d *Component) RunCycle(now time.Duration) {
	if !d.NeedsCycle {
		return
	}
	d.runCycle(now)
	if d.Cfg.Tunables.Preempt == 1 && now-d.preemptedAt >= preemptInterval && d.Permits(now, cluster.Preempt) {
		d.preemptedAt = now
		d.StopAll(now, d.Scheduler.Preempt(d.Snapshot(now)), cluster.Preempt)
	}
}

// RequestCycle gives room after a commit, unless it was given just now.
func (d *Component) RequestCycle(now time.Duration) {
	if d.NeedsCycle && now-d.cycledAt >= minCyclePause {
		d.runCycle(now)
	}
}

// LiveBytes is roughly how many bytes Keep would write for the whole log.
func (d *Component) LiveBytes() int {
	live := 0
	for _, list := range d.grants {
		live += len(list) * usualMachineBytes
	}
	return live
}

// Compact writes anew what is live of an entry.
func (d *Component) Compact(_ time.Duration, e eventlog.Entry) {
	if e.Component != nil {
		d.compactMarks(e.Component)
	}
	if e.Grant == nil || e.Grant.Revoked {
		return
	}
	if d.compactedMachines == nil {
		d.compactedMachines = d.machinesByNumber()
	}
	g := eventlog.Grant{Job: e.Grant.Job}
	for _, number := range e.Grant.Machines {
		if m := d.compactedMachines[number]; m != nil && (m.Grants[g.Job] || !m.Resolved) {
			g.Machines = append(g.Machines, number)
		}
	}
	if len(g.Machines) > 0 {
		d.EventLog.Append(eventlog.Entry{Grant: &g})
	}
}

// CompactionDone forgets what the cleaning needed.
func (d *Component) CompactionDone() {
	d.compactedMachines = nil
	d.marks.spanCompacted = false
}

// runCycle gives room to waiting tasks. What gets a place on a machine for the first
// time of its job is granted there.
func (d *Component) runCycle(now time.Duration) {
	d.NeedsCycle = false
	d.cycledAt = now
	d.planned = d.planned[:0]
	w := d.Snapshot(now)
	w.Place = func(j *jobs.Job, k int, m *workers.Machine) {
		ref := workers.Ref{Job: j.Index, Task: int32(k)}
		j.Place(k)
		j.CountInZone(m.Zone, 1)
		p := &workers.Placement{Ref: ref, JobID: j.Record.ID, Image: j.Image, Need: j.Need, BoundToHome: j.Record.Kind == jobs.Gang || j.ZoneRule(), StartNow: j.Prompt}
		d.Placements[ref] = p
		if j.Record.Kind == jobs.Gang {
			if j.GangAttempt == 0 {
				j.GangAttempt = d.NextAttempt()
			}
			p.Attempt = j.GangAttempt
		}
		m.Plan(p)
		d.planned = append(d.planned, p)
		if d.StartPacer != nil {
			d.StartPacer.TaskStarted(now, m)
		}
		if d.Pools != nil {
			d.Pools.TaskPlaced(j)
		}
		m.UseImage(j.Image, j.Record.ImageGB, now)
	}
	w.Unplace = func(j *jobs.Job, k int) {
		d.CancelPlan(d.Placements[workers.Ref{Job: j.Index, Task: int32(k)}])
		if d.Pools != nil {
			d.Pools.TaskRemoved(j)
		}
	}
	d.Counts.LeftWaiting += uint64(d.Scheduler.RunCycle(w))
	d.MachinesWithPlans = slices.DeleteFunc(d.MachinesWithPlans, func(m *workers.Machine) bool {
		m.HasPlansListed = m.HasPlans()
		return !m.HasPlansListed
	})
	for _, p := range d.planned {
		if m := p.Machine; d.Placements[p.Ref] == p {
			d.ListMachineWithPlans(m)
			if p.StartNow {
				d.DispatchQueue = append(d.DispatchQueue, p)
			}
			d.markPlan(p)
			if _, noted := m.Grants[p.JobID]; !noted {
				m.Grants[p.JobID] = false
				d.newGrants[p.JobID] = append(d.newGrants[p.JobID], m)
				d.grants[p.JobID] = append(d.grants[p.JobID], m)
			}
		}
	}
}

// AppendEntries hands new grants, and those taken back, to the log.
func (d *Component) AppendEntries(time.Duration) {
	most := max(1, d.EventLog.MaxEntryBytes()/maxMachineBytes-6)
	// First what is taken back: the same machine may have been granted anew.
	for _, id := range slices.Sorted(maps.Keys(d.revoked)) {
		for part := range slices.Chunk(d.revoked[id], most) {
			d.EventLog.Append(eventlog.Entry{Grant: &eventlog.Grant{Job: id, Machines: part, Revoked: true}})
		}
	}
	clear(d.revoked)
	for _, id := range slices.Sorted(maps.Keys(d.newGrants)) {
		for part := range slices.Chunk(d.newGrants[id], most) {
			g := eventlog.Grant{Job: id}
			for _, m := range part {
				g.Machines = append(g.Machines, m.Number)
			}
			d.grantsInFlight = append(d.grantsInFlight, part)
			d.EventLog.AppendTracked(eventlog.Entry{Grant: &g})
		}
	}
	clear(d.newGrants)
	d.writeMarks()
}

// revokeIdleGrants takes back the grants of jobs that have had nothing on a machine for
// a while, so that a successor that cannot hear it holds back only those that
// have.
func (d *Component) revokeIdleGrants(now time.Duration, m *workers.Machine, r *workers.Report) {
	for _, id := range m.UnusedGrants(now, grantIdleTimeout, r) {
		m.RevokeGrant(id)
		d.grants[id] = slices.DeleteFunc(d.grants[id], func(o *workers.Machine) bool { return o == m })
		d.revoked[id] = append(d.revoked[id], m.Number)
	}
}
