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

// scalingRun is the state of one group in one run of the autoscaler; amounts are in processors.
type scalingRun struct {
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
func (c *Component) scaleGroup(now time.Duration, group *machineGroup) {
	s := c.newScalingRun(now, group)
	c.undrainForDemand(s)
	requests := c.rentForDemand(s)
	c.recordRentals("renting", requests)
	restricted := slices.DeleteFunc(c.restrictedJobs(), func(j *jobs.Job) bool { return !group.serves(j) })
	c.undrainOnlyHosts(restricted)
	unplaceable := c.unplaceableJobs(s.open)
	if len(requests) == 0 && len(unplaceable) > 0 {
		requests = c.rentForUnplaceableJobs(s, unplaceable)
		c.recordRentals("renting for jobs that fit nowhere", requests)
	}
	// Jobs that fit nowhere retain only the machines that they could use. On one day, on-demand
	// machines were refused as long as idle spot machines existed, and those were retained for a
	// gang that may not use them.
	if s.fullDemand <= s.total && (len(unplaceable) == 0 || len(requests) == 0) && c.Permits(now, cluster.Return) {
		c.scaleIn(s, restricted, unplaceable)
	}
}

// newScalingRun measures a group's demand and capacity.
func (c *Component) newScalingRun(now time.Duration, group *machineGroup) *scalingRun {
	s := &scalingRun{now: now, group: group, machines: slices.Clone(c.Inventory.All())}
	if !group.onlyGroup {
		s.machines = slices.DeleteFunc(s.machines, func(m *workers.Machine) bool {
			return !group.includesType(c.Types[m.Type].GPUs)
		})
	}
	s.open = c.openJobs(now, group)
	s.fullDemand = c.cpuDemand(s.open, c.Cfg.Tunables.DrainBacklogS, true)
	s.onDemandDemand = c.cpuDemand(s.open, 0, false)
	group.onDemandPeak.add(now, c.retentionWindow(c.Cfg.Tunables.IdleReturnS), s.fullDemand)
	group.spotPeak.add(now, c.retentionWindow(c.Cfg.Tunables.SpotReturnS), s.fullDemand)
	c.measureCapacity(s)
	return s
}

// measureCapacity sums the processors of the machines that stay and of requests without an
// answer. Machines of an avoided zone count only if they are up.
func (c *Component) measureCapacity(s *scalingRun) {
	for _, m := range s.machines {
		if m.Deleting || m.PreemptionNotice || m.Draining {
			continue
		}
		if !m.Up && c.provisioner.ZoneAvoided(s.now, c.Zones.Name(m.Zone)) {
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
	s.total += c.provisioner.UnansweredCPUs(func(typeName string) float64 {
		if i, ok := c.TypeNames.Lookup(typeName); ok && s.group.includesType(c.Types[i].GPUs) {
			return c.Types[i].CPUs
		}
		return 0
	})
}

// undrainForDemand stops draining machines as long as capacity is missing.
func (c *Component) undrainForDemand(s *scalingRun) {
	for _, m := range s.machines {
		if s.fullDemand > s.total && m.Draining && !m.Deleting {
			m.Draining = false
			s.total += m.Capacity.CPUs()
			s.up += m.Capacity.CPUs()
			c.NeedsCycle = true
		}
	}
}

// rentForDemand requests machines for the demand that is not covered: spot machines if jobs may
// use them, on-demand machines if none of those can be requested, and on-demand machines for
// jobs that may not use spot machines, however much room the spot machines have.
func (c *Component) rentForDemand(s *scalingRun) []eventlog.Rental {
	onDemandOnly := slices.DeleteFunc(slices.Clone(s.open), func(j *jobs.Job) bool { return j.UseSpot })
	var requests []eventlog.Rental
	if len(onDemandOnly) < len(s.open) && s.fullDemand > s.total {
		requests = c.rent(s, s.fullDemand-s.total, true, s.open)
	}
	needed := c.cpuDemand(onDemandOnly, c.Cfg.Tunables.DrainBacklogS, true)
	for _, m := range s.machines {
		if needed > s.onDemand && m.Draining && !m.Deleting && !m.Spot {
			m.Draining = false
			s.onDemand += m.Capacity.CPUs()
			c.NeedsCycle = true
		}
	}
	s.group.onDemandOnlyPeak.add(s.now, c.retentionWindow(c.Cfg.Tunables.IdleReturnS), needed)
	if len(requests) == 0 && s.onDemandDemand > s.total {
		requests = c.rent(s, s.onDemandDemand-s.total, false, s.open)
	}
	if len(requests) > 0 {
		return requests
	}
	if free := s.onDemand - c.cpusUsedBySpotJobs(s.now, s.machines, onDemandOnly); needed > free {
		requests = c.rent(s, needed-free, false, onDemandOnly)
	}
	return requests
}

// rentForUnplaceableJobs requests machines for jobs that would not fit even if all machines were
// empty: spot machines if all of the jobs may use them, and on-demand machines otherwise or if
// there is no spot offer.
func (c *Component) rentForUnplaceableJobs(s *scalingRun, unplaceable []*jobs.Job) []eventlog.Rental {
	var cpus float64
	for _, j := range unplaceable {
		cpus += float64(j.Waiting) * j.CPUShare
	}
	needsOnDemand := slices.ContainsFunc(unplaceable, func(j *jobs.Job) bool { return !j.UseSpot })
	requests := c.rent(s, cpus, !needsOnDemand, unplaceable)
	if len(requests) == 0 {
		requests = c.rent(s, cpus, false, unplaceable)
	}
	return requests
}

// rent lets the provisioner choose requests for this many processors that suit the jobs.
func (c *Component) rent(s *scalingRun, cpus float64, spot bool, forJobs []*jobs.Job) []eventlog.Rental {
	return c.provisioner.Rent(s.now, c.Types, c.demandFor(s.group, cpus, spot, forJobs))
}

// demandFor returns the demand of this many processors for a group's jobs.
func (c *Component) demandFor(group *machineGroup, cpus float64, spot bool, forJobs []*jobs.Job) Demand {
	cpusByZone := map[string]float64{}
	for _, m := range c.Inventory.All() {
		cpusByZone[c.Zones.Name(m.Zone)] += m.Capacity.CPUs()
	}
	return Demand{
		CPUs:         cpus,
		Spot:         spot,
		CPUsByZone:   cpusByZone,
		UsualRentalS: c.Cfg.Tunables.UsualRentalS,
		Fits: func(t eventlog.MachineType, zone string, spot bool) bool {
			return c.suitsAnyJob(group, t, zone, spot, forJobs)
		},
	}
}

// suitsAnyJob reports whether a machine of a type, zone and kind would help one of the jobs.
func (c *Component) suitsAnyJob(
	group *machineGroup, t eventlog.MachineType, zone string, spot bool, forJobs []*jobs.Job,
) bool {
	i, known := c.TypeNames.Lookup(t.Name)
	if !known || !group.includesType(t.GPUs) {
		return false
	}
	m := &workers.Machine{
		Type:     i,
		Zone:     c.Zones.Index(zone),
		Spot:     spot,
		Capacity: resources.Room(t.CPUs, t.GPUs, t.MemoryGB),
	}
	return slices.ContainsFunc(forJobs, func(j *jobs.Job) bool {
		return j.Need.Fits(m.Capacity) && scheduler.Allowed(j, m, c.Zones.Index) && c.zoneHelps(j, m.Zone)
	})
}

// zoneHelps reports whether another machine in a zone would help a job. It does not help a
// spread job if the zone already has room for its share of the tasks.
func (c *Component) zoneHelps(j *jobs.Job, zone int32) bool {
	if !j.HasZoneRule() {
		return true
	}
	return j.ZoneAllows(zone) && (!j.Record.Spread || c.slotsByZone(j)[zone] < j.MaxTasksPerZone())
}

// recordRentals appends rental requests to the log. They are sent once that is durable, so that
// a request is idempotent under its name for any later leader too.
func (c *Component) recordRentals(message string, requests []eventlog.Rental) {
	for _, r := range requests {
		c.EventLog.AppendTracked(eventlog.Entry{Rental: &r})
		c.LogMessage(effects.Info, message,
			"request", r.Name, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "count", r.Count)
	}
}
