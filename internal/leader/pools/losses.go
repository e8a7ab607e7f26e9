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
// Units of such a task stay in use for that long (hold_after_loss) after it is proved
// gone.

// loss is some units that stay in use after a loss.
type loss struct {
	Pool  string `json:"p"`
	Team  string `json:"m"`
	Units int64  `json:"u"`
	Until int64  `json:"t"` // time of day, in milliseconds
}

// clockSlack is how far the times of day of two controllers may differ.
const clockSlack = time.Second

// wallClockMS is the time of day, in milliseconds.
func (d *Component) wallClockMS(now time.Duration) int64 { return d.ClockZeroMS + now.Milliseconds() }

// lossesNotDurable reports whether losses are known that a new leader would not know of.
// Until they are durable no unit is allocated of a pool that has a hold after losses: the
// tasks that died are still waiting then, and the new leader counts them as lost itself.
// Found by a random day with two crashes in ten seconds: the first leader had started
// them anew elsewhere, and the second took their units as free.
func (d *Component) lossesNotDurable() bool {
	return d.store.lossesDirty || d.store.writes.HasPending(func(w poolWrite) bool { return w.pool == nil })
}

// holdAfterLoss keeps the units of so many tasks of a job in use where their pool says
// so. Units that the job holds as a whole stay with it, unless it is over.
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

// addLoss keeps units in use after a loss, where their pool says so. The team may be
// unknown.
func (d *Component) addLoss(now time.Duration, p *pool, team string, units int64) {
	hold := settings.Seconds(p.conf.HoldAfterLossS)
	if hold <= 0 {
		return
	}
	until := d.wallClockMS(now + hold + clockSlack)
	d.losses = append(d.losses, loss{Pool: p.name, Team: team, Units: units, Until: until})
	d.store.lossesDirty = true
}

// expireLosses drops the losses whose time is over.
func (d *Component) expireLosses(now time.Duration) {
	at := d.wallClockMS(now)
	before := len(d.losses)
	d.losses = slices.DeleteFunc(d.losses, func(l loss) bool { return l.Until <= at })
	if len(d.losses) < before {
		d.NeedsCycle = true
		d.store.lossesDirty = true
	}
}

// holdUnseenAfterLoss is holdAfterLoss for what may have been on a machine that is gone,
// or whose agent started anew, before it ever reported in this term.
func (d *Component) holdUnseenAfterLoss(now time.Duration, m *workers.Machine) {
	for _, h := range d.holders {
		if !m.MayHaveTasksOf(h.job.Record.ID) {
			continue
		}
		if n := min(mayBeRunning(h.job), scheduler.TasksThatFit(h.job.Need, m.Capacity)); n > 0 {
			d.holdAfterLoss(now, h.job, h.requirements, int64(n))
		}
	}
}

// dropOrphans forgets the orphans of a machine that is gone. Their units stay in use
// where their pool says so.
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
