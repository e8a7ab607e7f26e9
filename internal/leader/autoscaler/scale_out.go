package autoscaler

import (
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/scheduler"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
)

// scaling is the state of one group in one run of the autoscaler; amounts are in processors.
type scaling struct {
	now      time.Duration
	group    *machineGroup
	machines []*workers.Machine // of the group
	open     []*jobs.Job        // whose work is for the group

	// Demand.
	fullDemand     float64 // to finish the work soon; spot machines are rented for it
	onDemandDemand float64 // to meet the objectives; on-demand machines are rented for it

	// Capacity.
	total    float64 // of machines that exist, boot or are requested
	up       float64 // of machines that are up
	onDemand float64 // of on-demand machines that exist or boot
}

// scaleGroup rents machines for a group's work, and returns capacity that was not needed for a
// while. Machines are drained first, and deleted once empty.
func (d *Component) scaleGroup(now time.Duration, group *machineGroup) {
	s := d.newScaling(now, group)
	d.undrainForDemand(s)
	requests := d.rentForDemand(s)
	d.recordRentals("renting", requests)
	restricted := slices.DeleteFunc(d.restrictedJobs(), func(j *jobs.Job) bool { return !group.serves(j) })
	d.undrainOnlyHosts(restricted)
	stuck := d.stuckJobs(s.open)
	if len(requests) == 0 && len(stuck) > 0 {
		requests = d.rentForStuckJobs(s, stuck)
		d.recordRentals("renting for jobs that fit nowhere", requests)
	}
	// Jobs that fit nowhere retain only the machines that they could use. On one day, on-demand
	// machines were refused as long as idle spot machines existed, and those were retained for a
	// gang that may not use them.
	if s.fullDemand <= s.total && (len(stuck) == 0 || len(requests) == 0) && d.Permits(now, cluster.Return) {
		d.scaleIn(s, restricted, stuck)
	}
}

// newScaling measures a group's demand and capacity.
func (d *Component) newScaling(now time.Duration, group *machineGroup) *scaling {
	s := &scaling{now: now, group: group, machines: slices.Clone(d.Inventory.All())}
	if !group.single {
		s.machines = slices.DeleteFunc(s.machines, func(m *workers.Machine) bool {
			return !group.includesType(d.Types[m.Type].GPUs)
		})
	}
	s.open = d.openJobs(now, group)
	s.fullDemand = d.cpuDemand(s.open, d.Cfg.Tunables.DrainBacklogS, true)
	s.onDemandDemand = d.cpuDemand(s.open, 0, false)
	group.onDemandPeak.add(now, d.retentionWindow(d.Cfg.Tunables.IdleReturnS), s.fullDemand)
	group.spotPeak.add(now, d.retentionWindow(d.Cfg.Tunables.SpotReturnS), s.fullDemand)
	d.measureCapacity(s)
	return s
}

// measureCapacity sums the processors of the machines that stay and of requests without an
// answer. Machines of an avoided zone count only if they are up.
func (d *Component) measureCapacity(s *scaling) {
	for _, m := range s.machines {
		if m.Deleting || m.PreemptionNotice || m.Draining {
			continue
		}
		if !m.Up && d.provisioner.ZoneAvoided(s.now, d.Zones.Name(m.Zone)) {
			continue
		}
		s.total += m.Capacity.CPUs()
		if m.Up {
			s.up += m.Capacity.CPUs()
		}
		if !m.Spot {
			s.onDemand += m.Capacity.CPUs()
		}
	}
	s.total += d.provisioner.UnansweredCPUs(func(typeName string) float64 {
		if i, ok := d.TypeNames.Lookup(typeName); ok && s.group.includesType(d.Types[i].GPUs) {
			return d.Types[i].CPUs
		}
		return 0
	})
}

// undrainForDemand stops draining machines as long as capacity is missing.
func (d *Component) undrainForDemand(s *scaling) {
	for _, m := range s.machines {
		if s.fullDemand > s.total && m.Draining && !m.Deleting {
			m.Draining = false
			s.total += m.Capacity.CPUs()
			s.up += m.Capacity.CPUs()
			d.NeedsCycle = true
		}
	}
}

// rentForDemand requests machines for the demand that is not covered: spot machines if jobs may
// use them, on-demand machines if none of those can be requested, and on-demand machines for
// jobs that may not use spot machines, however much room there is on those.
func (d *Component) rentForDemand(s *scaling) []eventlog.Rental {
	onDemandOnly := slices.DeleteFunc(slices.Clone(s.open), func(j *jobs.Job) bool { return j.UseSpot })
	var requests []eventlog.Rental
	if len(onDemandOnly) < len(s.open) && s.fullDemand > s.total {
		requests = d.rent(s, s.fullDemand-s.total, true, s.open)
	}
	needed := d.cpuDemand(onDemandOnly, d.Cfg.Tunables.DrainBacklogS, true)
	for _, m := range s.machines {
		if needed > s.onDemand && m.Draining && !m.Deleting && !m.Spot {
			m.Draining = false
			s.onDemand += m.Capacity.CPUs()
			d.NeedsCycle = true
		}
	}
	s.group.onDemandOnlyPeak.add(s.now, d.retentionWindow(d.Cfg.Tunables.IdleReturnS), needed)
	if len(requests) == 0 && s.onDemandDemand > s.total {
		requests = d.rent(s, s.onDemandDemand-s.total, false, s.open)
	}
	if len(requests) > 0 {
		return requests
	}
	if free := s.onDemand - d.cpusUsedBySpotJobs(s.now, s.machines, onDemandOnly); needed > free {
		requests = d.rent(s, needed-free, false, onDemandOnly)
	}
	return requests
}

// rentForStuckJobs requests machines for jobs that would not fit even if all machines were
// empty: spot machines if all of the jobs may use them, and on-demand machines otherwise or if
// there is no spot offer.
func (d *Component) rentForStuckJobs(s *scaling, stuck []*jobs.Job) []eventlog.Rental {
	var cpus float64
	for _, j := range stuck {
		cpus += float64(j.Waiting) * j.CPUShare
	}
	needsOnDemand := slices.ContainsFunc(stuck, func(j *jobs.Job) bool { return !j.UseSpot })
	requests := d.rent(s, cpus, !needsOnDemand, stuck)
	if len(requests) == 0 {
		requests = d.rent(s, cpus, false, stuck)
	}
	return requests
}

// rent lets the provisioner choose requests for this many processors that suit the jobs.
func (d *Component) rent(s *scaling, cpus float64, spot bool, forJobs []*jobs.Job) []eventlog.Rental {
	return d.provisioner.Rent(s.now, d.Types, d.demandFor(s.group, cpus, spot, forJobs))
}

// demandFor returns the demand of this many processors for a group's jobs.
func (d *Component) demandFor(group *machineGroup, cpus float64, spot bool, forJobs []*jobs.Job) Demand {
	cpusByZone := map[string]float64{}
	for _, m := range d.Inventory.All() {
		cpusByZone[d.Zones.Name(m.Zone)] += m.Capacity.CPUs()
	}
	return Demand{
		CPUs:       cpus,
		Spot:       spot,
		CPUsByZone: cpusByZone,
		UsualStayS: d.Cfg.Tunables.UsualStayS,
		Fits: func(t eventlog.MachineType, zone string, spot bool) bool {
			return d.suitsAnyJob(group, t, zone, spot, forJobs)
		},
	}
}

// suitsAnyJob reports whether a machine of a type, zone and kind would help one of the jobs.
func (d *Component) suitsAnyJob(
	group *machineGroup, t eventlog.MachineType, zone string, spot bool, forJobs []*jobs.Job,
) bool {
	i, known := d.TypeNames.Lookup(t.Name)
	if !known || !group.includesType(t.GPUs) {
		return false
	}
	m := &workers.Machine{
		Type:     i,
		Zone:     d.Zones.Index(zone),
		Spot:     spot,
		Capacity: resources.Room(t.CPUs, t.GPUs, t.MemoryGB),
	}
	return slices.ContainsFunc(forJobs, func(j *jobs.Job) bool {
		return j.Need.Fits(m.Capacity) && scheduler.Allowed(j, m, d.Zones.Index) && d.zoneHelps(j, m.Zone)
	})
}

// zoneHelps reports whether another machine in a zone would help a job. It does not help a
// spread job if the zone already has room for its share of the tasks.
func (d *Component) zoneHelps(j *jobs.Job, zone int32) bool {
	if !j.HasZoneRule() {
		return true
	}
	return j.ZoneAllows(zone) && (!j.Record.Spread || d.slotsByZone(j)[zone] < j.MaxTasksPerZone())
}

// recordRentals appends rental requests to the log. They are sent once that is durable, so that
// a request is idempotent under its name for any later leader too.
func (d *Component) recordRentals(message string, requests []eventlog.Rental) {
	for _, r := range requests {
		d.EventLog.AppendTracked(eventlog.Entry{Rental: &r})
		d.LogMessage(effects.Info, message,
			"request", r.Name, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "count", r.Count)
	}
}
