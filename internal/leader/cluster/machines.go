package cluster

import (
	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"time"
)

// AddMachine enters a machine; nil if it is there already, is gone for good, or
// is of a type that is not known.
func (s *State) AddMachine(now time.Duration, m eventlog.Machine) *workers.Machine {
	if s.Inventory.WasDeleted(m.Name) || s.Inventory.Find(m.Name) != nil {
		return nil
	}
	i, ok := s.TypeNames.Lookup(m.Type)
	if !ok {
		return nil
	}
	ty := s.Types[i]
	return s.Inventory.Add(&workers.Machine{Name: m.Name, Address: m.Address, Type: i, Zone: s.Zones.Index(m.Zone), Spot: m.Spot,
		Cap: resources.Room(ty.CPUs, ty.GPUs, ty.MemoryGB), CacheGB: ty.CacheGB, FetchGBPS: max(ty.FetchGBPS, 0.001), Token: s.Token, RentedAt: now, LastHeartbeat: now})
}

// Decommission decides, for good, that a machine is to be deleted: it is returned, or given up.
func (s *State) Decommission(now time.Duration, m *workers.Machine, o Action, why string) {
	if m.Deleting {
		return
	}
	m.Deleting, m.Why = true, why
	s.CancelPlans(m)
	s.NeedsCycle = true
	if len(m.Tasks) > 0 {
		s.Counts.MachinesLost++
	}
	s.LogMessage(effects.Info, "machine returned", "machine", m.Name, "why", why, "tasks", len(m.Tasks))
	s.Publish(Event{Kind: MachineDecommissioned, At: now, Machine: m, Action: o})
}

// CPUs is the processors of the machines that report.
func (s *State) CPUs() float64 {
	var sum float64
	for _, m := range s.Inventory.All() {
		if m.Up && !m.Deleting {
			sum += m.Cap.CPUs()
		}
	}
	return sum
}
