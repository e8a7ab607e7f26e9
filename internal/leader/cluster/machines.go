package cluster

import (
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
)

// minFetchGBPS is the least rate at which a machine counts as fetching images, so that the
// time that takes is finite.
const minFetchGBPS = 0.001

// AddMachine enters a machine; nil if it is there already, is gone for good, or is of a
// type that is not known.
func (s *State) AddMachine(now time.Duration, m eventlog.Machine) *workers.Machine {
	if s.Inventory.WasDeleted(m.Name) || s.Inventory.Find(m.Name) != nil {
		return nil
	}
	index, known := s.TypeNames.Lookup(m.Type)
	if !known {
		return nil
	}
	machineType := s.Types[index]
	return s.Inventory.Add(&workers.Machine{
		Name:          m.Name,
		Address:       m.Address,
		Type:          index,
		Zone:          s.Zones.Index(m.Zone),
		Spot:          m.Spot,
		Capacity:      resources.Room(machineType.CPUs, machineType.GPUs, machineType.MemoryGB),
		CacheGB:       machineType.CacheGB,
		FetchGBPS:     max(machineType.FetchGBPS, minFetchGBPS),
		Token:         s.Token,
		RentedAt:      now,
		LastHeartbeat: now,
	})
}

// Decommission decides, for good, that a machine is to be deleted: it is returned, or given
// up.
func (s *State) Decommission(now time.Duration, m *workers.Machine, a Action, why string) {
	if m.Deleting {
		return
	}
	m.Deleting, m.DeletionReason = true, why
	s.CancelPlans(m)
	s.NeedsCycle = true
	if len(m.Tasks) > 0 {
		s.Counts.MachinesLost++
	}
	s.LogMessage(effects.Info, "machine decommissioned", "machine", m.Name, "why", why, "tasks", len(m.Tasks))
	s.Publish(Event{Kind: MachineDecommissioned, At: now, Machine: m, Action: a})
}

// CPUs is the processors of the machines that report.
func (s *State) CPUs() float64 {
	var sum float64
	for _, m := range s.Inventory.All() {
		if m.Up && !m.Deleting {
			sum += m.Capacity.CPUs()
		}
	}
	return sum
}
