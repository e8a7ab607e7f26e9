// Server side of the cloud's protocol, used by the stand-ins for the cloud.

package wire

import (
	"encoding/json"
	"fmt"

	"bitternmoor/internal/core/eventlog"
)

// EncodeMachineTypes encodes the response that lists the cloud's machine types.
func EncodeMachineTypes(types []eventlog.MachineType) []byte {
	var out machineTypes
	for _, t := range types {
		out.Types = append(out.Types, machineType{
			Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB, CacheGB: t.CacheGB,
			Fetch: t.FetchGBPS, Price: t.Price, SpotPrice: t.SpotPrice, BootS: t.BootS, Zones: t.Zones,
		})
	}
	return encode(out)
}

// ParseRental decodes a rental request.
func ParseRental(body []byte) (eventlog.Rental, error) {
	var in rentalRequest
	if err := json.Unmarshal(body, &in); err != nil || in.Request == "" {
		return eventlog.Rental{}, fmt.Errorf("wire: a rental request that cannot be read")
	}
	return eventlog.Rental{Name: in.Request, Type: in.Type, Zone: in.Zone, Spot: in.Spot, Count: in.Count}, nil
}

// RentalAnswer encodes the response with the names of the rented machines.
func RentalAnswer(names []string) []byte { return encode(machineNames{Machines: names}) }

// ParseMachineNames decodes the names of the machines that are to be deleted.
func ParseMachineNames(body []byte) ([]string, error) {
	var in machineNames
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, fmt.Errorf("wire: machine names that cannot be read: %w", err)
	}
	return in.Machines, nil
}

// NoCapacityBody encodes the response with which the cloud refuses a rental for lack of machines.
func NoCapacityBody() []byte { return ErrorBody(noCapacityError) }

// EncodeMachineList encodes one page of the cloud's machine list; more is set if further pages follow.
func EncodeMachineList(list []ListedMachine, more bool) []byte {
	out := machineList{Machines: make([]listedMachine, len(list)), More: more}
	for i, l := range list {
		m := l.Machine
		out.Machines[i] = listedMachine{
			Name: m.Name, Address: m.Address, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
			State: machineRunning, HeldS: l.RentedForS,
		}
		if l.Failed {
			out.Machines[i].State = machineFailed
		}
	}
	return encode(out)
}
