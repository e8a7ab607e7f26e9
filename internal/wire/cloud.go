package wire

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/url"

	"bitternmoor/internal/core/eventlog"
)

// CloudClient is the cloud that rents machines.
type CloudClient struct{ c *Client }

// NewCloudClient makes a client of the cloud.
func NewCloudClient(addr string) *CloudClient { return &CloudClient{NewClient(addr, 4)} }

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

type machineTypes struct {
	Types []machineType `json:"breeds"`
}

// Types reads the machine types.
func (c *CloudClient) Types(ctx context.Context) ([]eventlog.MachineType, error) {
	var out machineTypes
	status, err := c.c.callJSON(ctx, "GET", PathMachineTypes, nil, &out)
	if err != nil {
		return nil, err
	}
	if status != 200 {
		return nil, fmt.Errorf("wire: cloud: status %d", status)
	}
	var types []eventlog.MachineType
	for _, t := range out.Types {
		if t.Name == "" || !(t.CPUs > 0) || math.IsInf(t.CPUs, 0) {
			continue
		}
		types = append(types, eventlog.MachineType{Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB, CacheGB: t.CacheGB,
			FetchGBPS: t.Fetch, Price: t.Price, SpotPrice: t.SpotPrice, BootS: t.BootS, Zones: t.Zones})
	}
	return types, nil
}

// RentResult is what became of a rental request.
type RentResult uint8

// Results of a rental request.
const (
	Rented RentResult = iota
	NoCapacity
	Malformed
	NoAnswer // outage, rate limit or no response: the same request must be repeated
)

// noCapacity is the word of a refusal for want of machines.
const noCapacityWord = "no capacity"

type rentalRequest struct {
	Request string `json:"hire"`
	Type    string `json:"breed"`
	Zone    string `json:"pasture"`
	Spot    bool   `json:"loaned_stock"`
	Count   int    `json:"count"`
}

type machineNames struct {
	Machines []string `json:"stalls"`
}

// Rent sends a rental request.
func (c *CloudClient) Rent(ctx context.Context, r eventlog.Rental) ([]string, RentResult) {
	in := rentalRequest{r.Name, r.Type, r.Zone, r.Spot, r.Count}
	var out machineNames
	var refused errorBody
	status, body, err := c.c.exchange(ctx, "POST", PathRentals, in)
	if err != nil {
		return nil, NoAnswer
	}
	switch status {
	case 200:
		if json.Unmarshal(body, &out) != nil {
			return nil, NoAnswer
		}
		return out.Machines, Rented
	case 400:
		return nil, Malformed
	case 503:
		if json.Unmarshal(body, &refused) == nil && refused.Error == noCapacityWord {
			return nil, NoCapacity
		}
	}
	return nil, NoAnswer
}

// Delete returns machines; true means that they are gone.
func (c *CloudClient) Delete(ctx context.Context, names []string) bool {
	status, err := c.c.callJSON(ctx, "POST", PathDelete, machineNames{names}, nil)
	return err == nil && status == 200
}

// ListedMachine is a machine of the cloud's list, which lags.
type ListedMachine struct {
	Machine eventlog.Machine
	Failed  bool
	HeldS   float64
}

const failedWord = "failed"

type listedMachine struct {
	Name    string  `json:"name_id"`
	Address string  `json:"address"`
	Type    string  `json:"breed"`
	Zone    string  `json:"pasture"`
	Spot    bool    `json:"loaned_stock"`
	State   string  `json:"standing"`
	HeldS   float64 `json:"held_s"`
}

type machineList struct {
	Machines []listedMachine `json:"stalls"`
	More     bool            `json:"has_next"`
}

// List reads the whole list of machines.
func (c *CloudClient) List(ctx context.Context) ([]ListedMachine, error) {
	var all []ListedMachine
	since := ""
	for {
		q := url.Values{"most": {"500"}}
		if since != "" {
			q.Set("since", since)
		}
		var out machineList
		status, err := c.c.callJSON(ctx, "GET", PathRentals+"?"+q.Encode(), nil, &out)
		if err != nil {
			return nil, err
		}
		if status != 200 {
			return nil, fmt.Errorf("wire: cloud: status %d", status)
		}
		for _, m := range out.Machines {
			all = append(all, ListedMachine{eventlog.Machine{Name: m.Name, Address: m.Address, Type: m.Type, Zone: m.Zone, Spot: m.Spot}, m.State == failedWord, m.HeldS})
			since = m.Name
		}
		if !out.More || len(out.Machines) == 0 {
			return all, nil
		}
	}
}
