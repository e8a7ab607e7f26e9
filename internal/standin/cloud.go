package standin

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
)

// Machine is a machine as the cloud lists it.
type Machine struct {
	Name     string  `json:"name_id"`
	Address  string  `json:"address"`
	Type     string  `json:"breed"`
	Zone     string  `json:"pasture"`
	Spot     bool    `json:"loaned_stock"`
	Standing string  `json:"standing"`
	HeldS    float64 `json:"held_s"`
}

// Cloud rents machines of one type, in zone a. Up is called for each that is
// rented and Down for each that is deleted, where they are set.
type Cloud struct {
	Up, Down func(m Machine)

	mu       sync.Mutex
	rented   map[string][]string // by request
	machines map[string]Machine
	made     int
}

// ServeHTTP serves one request.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_ = json.NewEncoder(w).Encode(c.serve(r))
}

func (c *Cloud) serve(r *http.Request) any {
	var in struct {
		Hire   string   `json:"hire"`
		Zone   string   `json:"pasture"`
		Spot   bool     `json:"loaned_stock"`
		Count  int      `json:"count"`
		Stalls []string `json:"stalls"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rented == nil {
		c.rented, c.machines = map[string][]string{}, map[string]Machine{}
	}
	switch {
	case r.URL.Path == "/machine_types":
		return json.RawMessage(`{"breeds":[{"label":"m4","vcpus":4,"gpus":0,"memory_gb":16,"local_gb":20,"fetch_gb_per_s":1,"price":1,"spot_price":0.3,"ready_s":5,"pastures":["a"]}]}`)
	case r.URL.Path == "/rentals" && r.Method == http.MethodGet:
		list := []Machine{}
		for _, n := range slices.Sorted(maps.Keys(c.machines)) {
			if n > r.URL.Query().Get("since") {
				list = append(list, c.machines[n])
			}
		}
		return map[string]any{"stalls": list, "has_next": false}
	case r.URL.Path == "/rentals":
		names, again := c.rented[in.Hire]
		for n := 0; !again && n < in.Count; n++ {
			c.made++
			m := Machine{Name: fmt.Sprintf("host-%06d", c.made), Address: "127.0.0.1:1", Type: "m4", Zone: "a", Spot: in.Spot, Standing: "running"}
			c.machines[m.Name] = m
			names = append(names, m.Name)
			if c.Up != nil {
				c.Up(m)
			}
		}
		c.rented[in.Hire] = names
		return map[string]any{"stalls": names}
	}
	for _, n := range in.Stalls {
		if m, ok := c.machines[n]; ok {
			delete(c.machines, n)
			if c.Down != nil {
				c.Down(m)
			}
		}
	}
	return struct{}{}
}

// Take has the cloud take a machine back, without a word to its worker's controllers.
func (c *Cloud) Take(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m, ok := c.machines[name]; ok {
		delete(c.machines, name)
		c.Down(m)
	}
}
