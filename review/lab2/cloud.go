package main

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/wire"
)

// machine is a machine in the cloud's list.
type machine = eventlog.Machine

// machinesPerPage is the maximum number of machines in one page of the list.
const machinesPerPage = 500

// cloud is a copy of the project's own stand-in. It is a simulated cloud that rents machines. The zero value has one machine type in zone a and
// unlimited capacity.
type cloud struct {
	// OnMachineUp is called for each machine that has booted, and OnMachineDeleted for each one that is deleted or
	// fails. Either may be nil.
	OnMachineUp, OnMachineDeleted func(m machine)
	// Address returns the address of a machine's worker. If it is nil, machines get an address
	// that nothing listens on.
	Address  func(m machine) string
	Types    []eventlog.MachineType // empty: one type with 4 processors in zone a
	Capacity map[string]int         // maximum number of machines by zone; nil: unlimited
	Boot     time.Duration          // time from a rental until OnMachineUp is called

	mu       sync.Mutex
	rented   map[string][]string // machine names by the name of the rental request
	machines map[string]*rental
	created  int
}

// rental is a rented machine, its time of rental, and whether it has failed.
type rental struct {
	machine
	rentedAt time.Time
	failed   bool
}

func (c *cloud) initialize() {
	if c.rented != nil {
		return
	}
	c.rented, c.machines = map[string][]string{}, map[string]*rental{}
	if len(c.Types) == 0 {
		c.Types = []eventlog.MachineType{{Name: "m4", CPUs: 4, MemoryGB: 16, CacheGB: 20, FetchGBPS: 1, Price: 1, SpotPrice: 0.3, BootS: 5, Zones: []string{"a"}}}
	}
}

// ServeHTTP serves one request.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBody))
	if err != nil {
		return // the client has disconnected
	}
	out := c.serve(r, body)
	w.WriteHeader(out.status)
	_, _ = w.Write(out.body)
}

func (c *cloud) serve(r *http.Request, body []byte) reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.initialize()
	switch {
	case r.URL.Path == wire.PathMachineTypes:
		return reply{http.StatusOK, wire.EncodeMachineTypes(c.Types)}
	case r.URL.Path == wire.PathRentals && r.Method == http.MethodGet:
		return c.list(r.URL.Query().Get("since"), r.URL.Query().Get("most"))
	case r.URL.Path == wire.PathRentals:
		req, err := wire.ParseRental(body)
		if err != nil {
			return refusal(http.StatusBadRequest, err.Error())
		}
		return c.rent(req)
	case r.URL.Path == wire.PathDelete:
		names, err := wire.ParseMachineNames(body)
		if err != nil {
			return refusal(http.StatusBadRequest, err.Error())
		}
		for _, n := range names {
			c.removeMachine(n)
		}
		return reply{http.StatusOK, []byte("{}")}
	}
	return refusal(http.StatusNotFound, "no such path")
}

func (c *cloud) list(since, most string) reply {
	limit := machinesPerPage
	if n, err := strconv.Atoi(most); err == nil && n > 0 {
		limit = min(limit, n)
	}
	var list []wire.ListedMachine
	for _, n := range slices.Sorted(maps.Keys(c.machines)) {
		if n <= since {
			continue
		}
		if len(list) == limit {
			return reply{http.StatusOK, wire.EncodeMachineList(list, true)}
		}
		m := c.machines[n]
		list = append(list, wire.ListedMachine{Machine: m.machine, Failed: m.failed, RentedForS: time.Since(m.rentedAt).Seconds()})
	}
	return reply{http.StatusOK, wire.EncodeMachineList(list, false)}
}

func (c *cloud) rent(req eventlog.Rental) reply {
	names, again := c.rented[req.Name]
	if again {
		return reply{http.StatusOK, wire.RentalAnswer(names)}
	}
	count := req.Count
	if c.Capacity != nil {
		count = min(count, c.freeCapacity(req.Zone))
	}
	if count <= 0 {
		return reply{http.StatusServiceUnavailable, wire.NoCapacityBody()}
	}
	for range count {
		names = append(names, c.add(req.Type, req.Zone, req.Spot, c.Boot).Name)
	}
	c.rented[req.Name] = names
	return reply{http.StatusOK, wire.RentalAnswer(names)}
}

// freeCapacity returns how many more machines a zone can provide. The caller holds the lock.
func (c *cloud) freeCapacity(zone string) int {
	left := c.Capacity[zone]
	for _, m := range c.machines {
		if m.Zone == zone && !m.failed {
			left--
		}
	}
	return left
}

func (c *cloud) add(typeName, zone string, spot bool, boot time.Duration) machine {
	c.created++
	m := machine{Name: fmt.Sprintf("host-%06d", c.created), Address: "127.0.0.1:1", Type: typeName, Zone: zone, Spot: spot}
	if c.Address != nil {
		m.Address = c.Address(m)
	}
	c.machines[m.Name] = &rental{machine: m, rentedAt: time.Now()}
	switch {
	case c.OnMachineUp == nil:
	case boot == 0:
		c.OnMachineUp(m)
	default:
		time.AfterFunc(boot, func() { c.booted(m) })
	}
	return m
}

func (c *cloud) booted(m machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machines[m.Name] != nil {
		c.OnMachineUp(m)
	}
}

// AddMachine adds a machine that runs at once and belongs to no recorded rental request. To controllers
// it looks like a machine of a request whose answer was lost.
func (c *cloud) AddMachine(typeName, zone string, spot bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.initialize()
	c.add(typeName, zone, spot, 0)
}

func (c *cloud) removeMachine(name string) {
	m := c.machines[name]
	if m == nil {
		return
	}
	delete(c.machines, name)
	if c.OnMachineDeleted != nil {
		c.OnMachineDeleted(m.machine)
	}
}
