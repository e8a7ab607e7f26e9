package autoscaler

import (
	"slices"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/scheduler"
	"bitternmoor/internal/core/workers"
)

// This file determines which machines could run which jobs, regardless of what else runs there
// now.

// restrictedJobs returns the unfinished jobs that may not use every machine, including those
// about to be released. Capacity that is sufficient in total may be unusable for them.
func (c *Component) restrictedJobs() []*jobs.Job {
	var out []*jobs.Job
	for _, j := range c.Jobs.All() {
		if j == nil || j.Waiting <= 0 {
			continue
		}
		restricted := !j.UseSpot || j.AllowedTypes != nil || j.Record.Zone != ""
		if restricted && (j.Phase == jobs.Open || c.releasedSoon(j)) {
			out = append(out, j)
		}
	}
	return out
}

// releasedSoon reports whether a held job will be released soon: all tasks of the jobs that it
// depends on are placed, and run on average for no longer than a machine is usually kept. No
// capacity is kept for a job that waits for hours.
func (c *Component) releasedSoon(j *jobs.Job) bool {
	if j.Phase != jobs.Held || len(j.Dependencies) == 0 {
		return false
	}
	for _, index := range j.Dependencies {
		dependency := c.Jobs.ByIndex(index)
		placed := dependency.Phase == jobs.Open && dependency.Waiting <= 0
		if !placed || dependency.MeanRunSeconds() > c.Cfg.Tunables.UsualRentalS {
			return false
		}
	}
	return true
}

// mayHost reports whether a machine is allowed to have tasks of a job.
func (c *Component) mayHost(j *jobs.Job, m *workers.Machine) bool {
	if m.Deleting || m.PreemptionNotice || !scheduler.Allowed(j, m, c.Zones.Index) {
		return false
	}
	return !j.Record.OneZone || j.ZoneAllows(m.Zone)
}

// canHost reports whether a machine could take a task of a job if it were empty.
func (c *Component) canHost(j *jobs.Job, m *workers.Machine) bool {
	return c.mayHost(j, m) && j.Need.Fits(m.Capacity)
}

// hasPlaceFor reports whether a machine that stays may take another task of a job. In a test
// with a spread array, one zone had its half of the tasks and nothing was rented in the other
// zone, so the rest waited until the first half was done.
func (c *Component) hasPlaceFor(j *jobs.Job) bool {
	return slices.ContainsFunc(c.Inventory.All(), func(m *workers.Machine) bool {
		return !m.Draining && c.canHost(j, m) && j.ZoneAllows(m.Zone)
	})
}

// countHosts returns how many machines that stay may take tasks of a job.
func (c *Component) countHosts(j *jobs.Job) int {
	n := 0
	for _, m := range c.Inventory.All() {
		if !m.Draining && c.canHost(j, m) {
			n++
		}
	}
	return n
}

// slotsByZone returns how many tasks of a job the machines of each zone could take if they were
// empty.
func (c *Component) slotsByZone(j *jobs.Job) map[int32]int {
	zones := map[int32]int{}
	for _, m := range c.Inventory.All() {
		if c.mayHost(j, m) {
			zones[m.Zone] += scheduler.TasksThatFit(j.Need, m.Capacity)
		}
	}
	return zones
}

// fitsFleet reports whether the machines that exist or are requested have room for a job: for
// one task of an array, or for all tasks of a gang or service.
func (c *Component) fitsFleet(j *jobs.Job) bool {
	if len(c.pendingRentals) > 0 {
		return true // further machines may be added
	}
	if j.Record.Kind == jobs.Array {
		return c.hasPlaceFor(j)
	}
	total, largest, spread := 0, 0, 0
	for _, slots := range c.slotsByZone(j) {
		total += slots
		largest = max(largest, slots)
		spread += min(slots, j.MaxTasksPerZone())
	}
	available := total
	if j.Record.OneZone {
		available = largest
	}
	if j.Record.Spread {
		available = spread
	}
	return available >= len(j.Tasks)-j.Finished
}

// unplaceableJobs returns the open jobs with waiting tasks that would not fit even if all machines
// were empty, except those that lack counted units.
func (c *Component) unplaceableJobs(open []*jobs.Job) []*jobs.Job {
	return slices.DeleteFunc(slices.Clone(open), func(j *jobs.Job) bool {
		lacksUnits := len(j.Record.Counted) > 0 && c.availableUnits(j) == 0
		return j.Waiting == 0 || lacksUnits || c.fitsFleet(j)
	})
}
