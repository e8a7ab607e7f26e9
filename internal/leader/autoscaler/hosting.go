package autoscaler

import (
	"slices"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/scheduler"
	"bitternmoor/internal/core/workers"
)

// Which machines could run which jobs, whatever else runs there now.

// restrictedJobs lists the unfinished jobs that may not use every machine, those about to be
// released among them: capacity that is enough on the whole may be none for them.
func (d *Component) restrictedJobs() []*jobs.Job {
	var out []*jobs.Job
	for _, j := range d.Jobs.All() {
		if j == nil || j.Waiting <= 0 {
			continue
		}
		restricted := !j.UseSpot || j.AllowedTypes != nil || j.Record.Zone != ""
		if restricted && (j.Phase == jobs.Open || d.releasedSoon(j)) {
			out = append(out, j)
		}
	}
	return out
}

// releasedSoon says whether a held job will be released before long: all tasks that it
// depends on are placed and run for no longer than a machine is usually kept. Nothing is
// kept for one that waits for hours.
func (d *Component) releasedSoon(j *jobs.Job) bool {
	if j.Phase != jobs.Held || len(j.Dependencies) == 0 {
		return false
	}
	for _, index := range j.Dependencies {
		dependency := d.Jobs.ByIndex(index)
		placed := dependency.Phase == jobs.Open && dependency.Waiting <= 0
		if !placed || dependency.MeanRunSeconds() > d.Cfg.Tunables.UsualStayS {
			return false
		}
	}
	return true
}

// mayHost says whether a machine may have tasks of a job.
func (d *Component) mayHost(j *jobs.Job, m *workers.Machine) bool {
	if m.Deleting || m.PreemptionNotice || !scheduler.Allowed(j, m, d.Zones.Index) {
		return false
	}
	return !j.Record.OneZone || j.ZoneAllows(m.Zone)
}

// canHost says whether a machine could take a task of a job if it were free.
func (d *Component) canHost(j *jobs.Job, m *workers.Machine) bool {
	return d.mayHost(j, m) && j.Need.Fits(m.Capacity)
}

// hasPlaceFor says whether a machine that stays may take one more task of a job. Found in a
// test with a spread array of which one zone had its half: nothing was rented in the other,
// and the rest waited until the first half was done.
func (d *Component) hasPlaceFor(j *jobs.Job) bool {
	return slices.ContainsFunc(d.Inventory.All(), func(m *workers.Machine) bool {
		return !m.Draining && d.canHost(j, m) && j.ZoneAllows(m.Zone)
	})
}

// countHosts is how many machines that stay may take tasks of a job.
func (d *Component) countHosts(j *jobs.Job) int {
	n := 0
	for _, m := range d.Inventory.All() {
		if !m.Draining && d.canHost(j, m) {
			n++
		}
	}
	return n
}

// slotsByZone is how many tasks of a job each zone's machines could take if they were free.
func (d *Component) slotsByZone(j *jobs.Job) map[int32]int {
	zones := map[int32]int{}
	for _, m := range d.Inventory.All() {
		if d.mayHost(j, m) {
			zones[m.Zone] += scheduler.TasksThatFit(j.Need, m.Capacity)
		}
	}
	return zones
}

// fitsFleet says whether the machines that are there or are coming have a place for a job:
// for one task of an array, or for all tasks of a gang or service.
func (d *Component) fitsFleet(j *jobs.Job) bool {
	if len(d.pendingRentals) > 0 {
		return true // more may be on the way
	}
	if j.Record.Kind == jobs.Array {
		return d.hasPlaceFor(j)
	}
	total, largest, spread := 0, 0, 0
	for _, slots := range d.slotsByZone(j) {
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

// stuckJobs lists the open jobs with tasks waiting that would not fit if all machines were
// free, those left out that lack counted units.
func (d *Component) stuckJobs(open []*jobs.Job) []*jobs.Job {
	return slices.DeleteFunc(slices.Clone(open), func(j *jobs.Job) bool {
		lacksUnits := len(j.Record.Counted) > 0 && d.availableUnits(j) == 0
		return j.Waiting == 0 || lacksUnits || d.fitsFleet(j)
	})
}
