package autoscaler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/scheduler"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

// unbounded is later than the end of any task.
const unbounded = time.Duration(math.MaxInt64)

// undrainOnlyHosts stops draining a machine if only draining machines could take a waiting job.
// On a day with pipelines, the last on-demand machine was draining for minutes because the spot
// machines had enough room, and jobs that may not use those waited until it was gone.
func (c *Component) undrainOnlyHosts(restricted []*jobs.Job) {
	for _, j := range restricted {
		if j.Phase != jobs.Open || c.hasPlaceFor(j) {
			continue
		}
		for _, m := range c.Inventory.All() {
			if m.Draining && c.canHost(j, m) {
				m.Draining = false
				c.NeedsCycle = true
				break
			}
		}
	}
}

// scaleIn drains machines whose capacity was not needed for a while, returns those that are
// empty, and moves checkpointed tasks off draining ones. It counts only machines that are up:
// requested or booting ones may never come up, for example during an outage of the cloud.
func (c *Component) scaleIn(s *scalingRun, restricted, unplaceable []*jobs.Job) {
	c.drainExcess(s, c.drainCandidates(s, unplaceable), restricted)
	c.returnEmpty(s)
	if c.Cfg.Tunables.MoveSaved == 1 && c.Permits(s.now, cluster.Move) {
		c.StopAll(s.now, c.Scheduler.PlanMigrations(c.Snapshot(s.now)), cluster.Move)
	}
}

// drainCandidates returns the machines that may be drained, in the order in which they are
// drained.
func (c *Component) drainCandidates(s *scalingRun, unplaceable []*jobs.Job) []*workers.Machine {
	minStay := settings.Seconds(c.Cfg.Tunables.IdleReturnS)
	candidates := slices.DeleteFunc(slices.Clone(s.machines), func(m *workers.Machine) bool {
		if m.Deleting || !m.Up || m.PreemptionNotice || m.Draining {
			return true
		}
		if s.now < m.NotDrainedBefore || s.now-m.UpSince < minStay {
			return true
		}
		return slices.ContainsFunc(unplaceable, func(j *jobs.Job) bool { return c.mayHost(j, m) })
	})
	busyUntil := map[*workers.Machine]time.Duration{}
	for _, m := range candidates {
		busyUntil[m] = c.busyUntil(s.now, m)
	}
	slices.SortFunc(candidates, func(a, b *workers.Machine) int {
		return cmp.Or(
			compareOnDemandFirst(a, b),
			// Prefer the machine that becomes empty first: until then its remaining room costs
			// money and is unused.
			cmp.Compare(busyUntil[a], busyUntil[b]),
			cmp.Compare(c.pricePerCPU(b), c.pricePerCPU(a)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return candidates
}

// compareOnDemandFirst orders on-demand machines before spot ones.
func compareOnDemandFirst(a, b *workers.Machine) int {
	switch {
	case a.Spot == b.Spot:
		return 0
	case b.Spot:
		return -1
	}
	return 1
}

// drainExcess drains the candidates that the peak demand does not need, except the only host of
// a restricted job.
func (c *Component) drainExcess(s *scalingRun, candidates []*workers.Machine, restricted []*jobs.Job) {
	hosts := make([]int, len(restricted)) // number of machines that could run each job
	for i, j := range restricted {
		hosts[i] = c.countHosts(j)
	}
	isOnlyHost := func(m *workers.Machine) bool {
		for i, j := range restricted {
			if hosts[i] == 1 && c.canHost(j, m) {
				return true
			}
		}
		return false
	}
	for _, m := range candidates {
		if !s.exceedsDemand(m) || isOnlyHost(m) {
			continue
		}
		s.up -= m.Capacity.CPUs()
		if !m.Spot {
			s.onDemand -= m.Capacity.CPUs()
		}
		m.Draining = true
		for i, j := range restricted {
			if c.canHost(j, m) {
				hosts[i]--
			}
		}
		c.CancelPlans(m)
	}
}

// exceedsDemand reports whether the peak demand is covered without a machine.
func (s *scalingRun) exceedsDemand(m *workers.Machine) bool {
	needed := s.group.onDemandPeak.value()
	if m.Spot {
		needed = s.group.spotPeak.value()
	}
	if s.up-m.Capacity.CPUs() < needed {
		return false
	}
	return m.Spot || s.onDemand-m.Capacity.CPUs() >= s.group.onDemandOnlyPeak.value()
}

// returnEmpty returns the draining machines that are empty.
func (c *Component) returnEmpty(s *scalingRun) {
	for _, m := range s.machines {
		empty := len(m.Tasks) == 0 && len(m.OpenOffers) == 0 && len(m.Orphans) == 0
		if !m.Draining || m.Deleting || !empty {
			continue
		}
		c.Decommission(s.now, m, cluster.Return, "not needed")
		if m.Resolved { // otherwise only its deletion proves that no task of an earlier term is there
			c.Publish(cluster.Event{Kind: cluster.MachineReturnable, At: s.now, Machine: m})
		}
	}
}

// busyUntil returns when the last of a machine's tasks will probably have ended, to the second.
func (c *Component) busyUntil(now time.Duration, m *workers.Machine) time.Duration {
	end := now
	for _, p := range m.Tasks {
		if p.Planned {
			continue // it can still be placed elsewhere
		}
		j := c.Jobs.ByIndex(p.Ref.Job)
		if j.Record.Kind == jobs.Service {
			return unbounded // a service runs until it is stopped
		}
		end = max(end, now+scheduler.RemainingTime(now, j, p))
	}
	return end.Round(time.Second)
}

// pricePerCPU returns the price of one processor of a machine, in the unit of the cloud's
// prices.
func (c *Component) pricePerCPU(m *workers.Machine) float64 {
	t := c.Types[m.Type]
	if m.Spot {
		return t.SpotPrice / t.CPUs
	}
	return t.Price / t.CPUs
}
