package pools

import (
	"slices"
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/scheduler"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/settings"
)

// A licence server may go on counting a holder for a while that died without a word.
// Units of such a task stay out for that long after it is proved gone.

// loss is some units that stay out after a loss.
type loss struct {
	Pool  string `json:"p"`
	Team  string `json:"m"`
	Units int64  `json:"u"`
	Until int64  `json:"t"` // time of day, in milliseconds
}

// lossesNotDurable says whether losses are known that a new leader would not know of. Until
// they are written no unit of a pool that waits for them goes out: the tasks that died
// still wait then, and the new leader counts them as lost itself. Found by a random day
// with two crashes in ten seconds: the first leader had started them anew elsewhere, and
// the second took their units for free.
func (d *Component) lossesNotDurable() bool {
	return d.store.lossesDirty || slices.ContainsFunc(d.store.pending, func(w *pendingWrite) bool { return w.pool == nil })
}

// clockSlack is how far the times of day of two controllers may differ.
const clockSlack = time.Second

func (d *Component) wallClockMS(now time.Duration) int64 { return d.ClockZeroMS + now.Milliseconds() }

// holdAfterLoss has the units of so many tasks of a job stay out where their pool says so.
// Units that the job holds as a whole stay with it, unless it is over.
func (d *Component) holdAfterLoss(now time.Duration, j *jobs.Job, needs []requirement, tasks int64) {
	for _, n := range needs {
		if n.perJob && (j.Phase == jobs.Open || j.Placed > 1) {
			continue
		}
		units := n.units
		if !n.perJob {
			units *= tasks
		}
		d.addLoss(now, d.pools[n.pool], d.Teams.Name(j.Team), units)
	}
}

// addLoss has units stay out after a loss, where their pool says so. The team may be
// unknown.
func (d *Component) addLoss(now time.Duration, p *pool, team string, units int64) {
	if after := settings.Seconds(p.conf.HoldAfterLossS); after > 0 {
		d.losses = append(d.losses, loss{p.name, team, units, d.wallClockMS(now + after + clockSlack)})
		d.store.lossesDirty = true
	}
}

// holdUnseenAfterLoss does so for what may have been on a machine that is gone, or whose worker
// began anew, before it was ever heard in this term.
func (d *Component) holdUnseenAfterLoss(now time.Duration, m *workers.Machine) {
	for _, h := range d.holders {
		if !m.MayHaveTasksOf(h.job.Record.ID) {
			continue
		}
		if n := min(mayBeRunning(h.job), scheduler.TasksThatFit(h.job.Need, m.Cap)); n > 0 {
			d.holdAfterLoss(now, h.job, h.requirements, int64(n))
		}
	}
}

// dropOrphans forgets the strays of a machine that is gone; their units stay out where
// their pool says so.
func (d *Component) dropOrphans(now time.Duration, m *workers.Machine) {
	s := d.orphans[m]
	delete(d.orphans, m)
	if s == nil {
		return
	}
	for _, n := range s.requirements {
		d.addLoss(now, d.pools[n.pool], "", n.units)
	}
}
