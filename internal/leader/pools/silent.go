package pools

import (
	"slices"
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
)

// decommissionSilent decommissions machines early that have been silent for longer than after and
// SuspectAfter while jobs wait for units that their tasks may hold. With the setting for after, operators
// weigh the price of a machine against the wait.
func (d *Component) decommissionSilent(now, after time.Duration) {
	scarce := d.scarcePools()
	if scarce == nil || d.MostMachinesSilent(now) {
		return
	}
	for _, m := range slices.Clone(d.Inventory.All()) {
		if m.Deleting || !m.Durable {
			continue
		}
		silentFor := now - max(m.LastHeartbeat, d.TermBegan)
		if silentFor <= max(after, d.SuspectAfter()) || !d.mayHoldUnits(m, scarce) {
			continue
		}
		d.LogMessage(effects.Info, "silent machine decommissioned early for its pool units", "machine", m.Name)
		d.Decommission(now, m, cluster.Delete, "silent, and others wait for counted units there")
	}
}

// scarcePools marks the pools of which the job with the reservation needs more units than are left.
// It returns nil if no waiting job has a reservation.
func (d *Component) scarcePools() (scarce []bool) {
	for i, p := range d.pools {
		h := p.reservedFor
		if h == nil || h.job.Waiting == 0 {
			continue
		}
		if scarce == nil {
			scarce = make([]bool, len(d.pools))
		}
		for _, r := range h.requirements {
			if int(r.pool) == i && p.inUse+h.nextUnits(r) > p.limitFor(h.job) {
				scarce[r.pool] = true
			}
		}
	}
	return scarce
}

// mayHoldUnits reports whether tasks of a machine hold units of one of the marked pools, or may hold
// some by the machine's grants if it is not resolved.
func (d *Component) mayHoldUnits(m *workers.Machine, pools []bool) bool {
	holds := func(j *jobs.Job) bool {
		h := d.byJob[j.Index]
		return h != nil && slices.ContainsFunc(h.requirements, func(r requirement) bool { return pools[r.pool] })
	}
	for _, p := range m.Tasks {
		if !p.Planned && holds(d.Jobs.ByIndex(p.Ref.Job)) {
			return true
		}
	}
	if m.Resolved {
		return false
	}
	for id := range m.Grants {
		if j := d.Jobs.ByID(id); j != nil && holds(j) {
			return true
		}
	}
	return false
}
