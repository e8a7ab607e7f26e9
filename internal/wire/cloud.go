package wire

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"strconv"

	"bitternmoor/internal/core/eventlog"
)

const (
	cloudConnections = 4   // most connections of one controller
	machinesPerPage  = 500 // page size of the machine list
)

// CloudClient is a client of the cloud API, which rents machines.
type CloudClient struct{ client *Client }

// NewCloudClient returns a client for the cloud API at addr, host:port.
func NewCloudClient(addr string) *CloudClient {
	return &CloudClient{client: NewClient(addr, cloudConnections)}
}

// machineType is a machine type as the cloud lists it.
type machineType struct {
	Name      string   `json:"label"`
	CPUs      float64  `json:"vcpus"`
	GPUs      float64  `json:"gpus"`
	MemoryGB  float64  `json:"memory_gb"`
	CacheGB   float64  `json:"local_gb"`
	Fetch     float64  `json:"fetch_gb_per_s"`
	Price     float64  `json:"price"`
	SpotPrice float64  `json:"spot_price"`
	BootS     float64  `json:"ready_s"`
	Zones     []string `json:"pastures"`
}

// machineTypes is the body in which the cloud lists its machine types.
type machineTypes struct {
	Types []machineType `json:"breeds"`
}

// Types fetches the machine types. Types without a name or without a finite, positive number of CPUs are
// left out.
func (c *CloudClient) Types(ctx context.Context) ([]eventlog.MachineType, error) {
	var out machineTypes
	status, err := c.client.callJSON(ctx, http.MethodGet, PathMachineTypes, nil, &out)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("wire: cloud: status %d", status)
	}
	var types []eventlog.MachineType
	for _, t := range out.Types {
		if t.Name == "" || !(t.CPUs > 0) || math.IsInf(t.CPUs, 0) {
			continue
		}
		types = append(types, eventlog.MachineType{
			Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB, CacheGB: t.CacheGB,
			FetchGBPS: t.Fetch, Price: t.Price, SpotPrice: t.SpotPrice, BootS: t.BootS, Zones: t.Zones,
		})
	}
	return types, nil
}

// RentResult is the result of a rental request.
type RentResult uint8

// Results of a rental request.
const (
	Rented     RentResult = iota
	NoCapacity            // the cloud has no such machines at present
	Malformed             // the cloud rejects the request as invalid
	NoAnswer              // outage, rate limit or no response: the same request must be repeated
)

// noCapacityError is the error text with which the cloud refuses a rental for lack of machines.
const noCapacityError = "no capacity"

// rentalRequest is a request for machines. Its name makes it idempotent.
type rentalRequest struct {
	Request string `json:"hire"`
	Type    string `json:"breed"`
	Zone    string `json:"pasture"`
	Spot    bool   `json:"loaned_stock"`
	Count   int    `json:"count"`
}

// machineNames is a list of machines that were rented or are to be returned.
type machineNames struct {
	Machines []string `json:"stalls"`
}

// Rent sends a rental request and returns the names of the rented machines. The request is idempotent: if
// it is repeated, the cloud returns the same machines.
func (c *CloudClient) Rent(ctx context.Context, r eventlog.Rental) ([]string, RentResult) {
	in := rentalRequest{Request: r.Name, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: r.Count}
	var out machineNames
	var refused errorBody
	status, body, err := c.client.do(ctx, http.MethodPost, PathRentals, in)
	if err != nil {
		return nil, NoAnswer
	}
	switch status {
	case http.StatusOK:
		if json.Unmarshal(body, &out) != nil {
			return nil, NoAnswer
		}
		return out.Machines, Rented
	case http.StatusBadRequest:
		return nil, Malformed
	case http.StatusServiceUnavailable:
		if json.Unmarshal(body, &refused) == nil && refused.Error == noCapacityError {
			return nil, NoCapacity
		}
	}
	return nil, NoAnswer
}

// Delete returns machines to the cloud. It reports whether the cloud confirmed that they are deleted.
func (c *CloudClient) Delete(ctx context.Context, names []string) bool {
	status, err := c.client.callJSON(ctx, http.MethodPost, PathDelete, machineNames{Machines: names}, nil)
	return err == nil && status == http.StatusOK
}

// ListedMachine is a machine in the cloud's list, which lags behind the actual state.
type ListedMachine struct {
	Machine    eventlog.Machine
	Failed     bool
	RentedForS float64 // seconds since it was rented
}

// States of a machine in the cloud's list.
const (
	machineRunning = "running"
	machineFailed  = "failed"
)

// listedMachine is a machine as the cloud lists it.
type listedMachine struct {
	Name    string  `json:"name_id"`
	Address string  `json:"address"`
	Type    string  `json:"breed"`
	Zone    string  `json:"pasture"`
	Spot    bool    `json:"loaned_stock"`
	State   string  `json:"standing"`
	HeldS   float64 `json:"held_s"` // seconds since it was rented
}

// machineList is one page of the machine list.
type machineList struct {
	Machines []listedMachine `json:"stalls"`
	More     bool            `json:"has_next"`
}

func (m *listedMachine) machine() ListedMachine {
	return ListedMachine{
		Machine:    eventlog.Machine{Name: m.Name, Address: m.Address, Type: m.Type, Zone: m.Zone, Spot: m.Spot},
		Failed:     m.State == machineFailed,
		RentedForS: m.HeldS,
	}
}

// List fetches the whole machine list, page by page.
func (c *CloudClient) List(ctx context.Context) ([]ListedMachine, error) {
	var all []ListedMachine
	since := ""
	for {
		q := url.Values{"most": {strconv.Itoa(machinesPerPage)}}
		if since != "" {
			q.Set("since", since)
		}
		var out machineList
		status, err := c.client.callJSON(ctx, http.MethodGet, PathRentals+"?"+q.Encode(), nil, &out)
		if err != nil {
			return nil, err
		}
		if status != http.StatusOK {
			return nil, fmt.Errorf("wire: cloud: status %d", status)
		}
		for _, m := range out.Machines {
			all = append(all, m.machine())
			since = m.Name
		}
		if !out.More || len(out.Machines) == 0 {
			return all, nil
		}
	}
}
