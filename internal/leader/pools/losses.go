package pools

import (
	"slices"
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/scheduler"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/settings"
)

// After a holder has died without releasing its units, a licence server may continue to count it for
// a while. The units of such a task stay in use for that long (hold_after_loss) after the task is
// proved gone.

// loss is a number of units that stay in use after a task, or the machine that ran it, was lost.
type loss struct {
	Pool  string `json:"p"`
	Team  string `json:"m"`
	Units int64  `json:"u"`
	Until int64  `json:"t"` // wall-clock time in milliseconds
}

// maxClockSkew is the maximum difference between the wall clocks of two controllers.
const maxClockSkew = time.Second

// wallClockMS returns the wall-clock time in milliseconds.
func (d *Component) wallClockMS(now time.Duration) int64 {
	return d.ClockOriginUnixMS + now.Milliseconds()
}

// lossesNotDurable reports whether there are losses that a new leader could not read. Until they
// are durable, a pool that has a hold after losses allocates no units: the lost tasks then still
// wait, and a new leader counts them as lost itself. A random test with two crashes in ten seconds
// found the fault: the first leader had restarted the tasks elsewhere, and the second leader counted
// the units of the lost ones as free.
func (d *Component) lossesNotDurable() bool {
	return d.store.lossesDirty || d.store.writes.HasPending(func(w poolWrite) bool { return w.pool == nil })
}

// holdAfterLoss keeps the units of the given number of a job's tasks in use if their pool has a hold
// after losses. Per-job units are not held while the job is open or has other tasks placed, since
// the job still has them.
func (d *Component) holdAfterLoss(now time.Duration, j *jobs.Job, requirements []requirement, tasks int64) {
	for _, r := range requirements {
		if r.perJob && (j.Phase == jobs.Open || j.Placed > 1) {
			continue
		}
		units := r.units
		if !r.perJob {
			units *= tasks
		}
		d.addLoss(now, d.pools[r.pool], d.Teams.Name(j.Team), units)
	}
}

// addLoss keeps units in use after a loss if their pool has a hold after losses. The team may be
// unknown.
func (d *Component) addLoss(now time.Duration, p *pool, team string, units int64) {
	hold := settings.Seconds(p.conf.HoldAfterLossS)
	if hold <= 0 {
		return
	}
	until := d.wallClockMS(now + hold + maxClockSkew)
	d.losses = append(d.losses, loss{Pool: p.name, Team: team, Units: units, Until: until})
	d.store.lossesDirty = true
}

// expireLosses removes the losses whose hold has ended.
func (d *Component) expireLosses(now time.Duration) {
	at := d.wallClockMS(now)
	before := len(d.losses)
	d.losses = slices.DeleteFunc(d.losses, func(l loss) bool { return l.Until <= at })
	if len(d.losses) < before {
		d.NeedsCycle = true
		d.store.lossesDirty = true
	}
}

// holdUnreportedAfterLoss calls holdAfterLoss for the tasks that may have been on a machine that was
// lost, or whose agent restarted, before it reported in this term.
func (d *Component) holdUnreportedAfterLoss(now time.Duration, m *workers.Machine) {
	awaiting := map[int32]int{} // tasks that may start only on this machine, by job index
	for _, p := range d.RestartsOn(m) {
		awaiting[p.Ref.Job]++
	}
	for _, h := range d.holders {
		if !m.MayHaveTasksOf(h.job.Record.ID) {
			continue
		}
		if n := min(countPossiblyRunning(h.job)+awaiting[h.job.Index], scheduler.TasksThatFit(h.job.Need, m.Capacity)); n > 0 {
			d.holdAfterLoss(now, h.job, h.requirements, int64(n))
		}
	}
}

// dropOrphans removes the orphans of a machine that is gone. Their units stay in use if their pool
// has a hold after losses.
func (d *Component) dropOrphans(now time.Duration, m *workers.Machine) {
	s := d.orphans[m]
	delete(d.orphans, m)
	if s == nil {
		return
	}
	for _, r := range s.requirements {
		d.addLoss(now, d.pools[r.pool], "", r.units)
	}
}
