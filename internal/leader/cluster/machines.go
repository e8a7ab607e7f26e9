package cluster

import (
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
)

// minFetchGBPS is the lower bound of the rate at which a machine is assumed to fetch images.
// It keeps the computed fetch time finite.
const minFetchGBPS = 0.001

// AddMachine adds a machine to the inventory. It returns nil if the machine is already
// there, was deleted, or is of an unknown type.
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

// Decommission marks a machine for deletion, which is final. The action is Return for a
// machine that is returned, and Delete for one that is lost or cannot be used.
func (s *State) Decommission(now time.Duration, m *workers.Machine, action Action, reason string) {
	if m.Deleting {
		return
	}
	m.Deleting, m.DeletionReason = true, reason
	s.CancelPlans(m)
	s.NeedsCycle = true
	if len(m.Tasks) > 0 {
		s.Counts.MachinesLost++
	}
	s.LogMessage(effects.Info, "machine decommissioned", "machine", m.Name, "why", reason, "tasks", len(m.Tasks))
	s.Publish(Event{Kind: MachineDecommissioned, At: now, Machine: m, Action: action})
}

// CPUs returns the number of processors of the machines that report.
func (s *State) CPUs() float64 {
	var sum float64
	for _, m := range s.Inventory.All() {
		if m.Up && !m.Deleting {
			sum += m.Capacity.CPUs()
		}
	}
	return sum
}
