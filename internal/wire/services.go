package wire

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/leadership"
	"bitternmoor/internal/core/workers"
)

// Client calls one of the platform's services over HTTP.
type Client struct {
	base string
	http *http.Client
}

// NewClient makes a client for the service at addr.
func NewClient(addr string, conns int) *Client {
	dial := &net.Dialer{Timeout: time.Second, KeepAlive: -1}
	return &Client{"http://" + addr, &http.Client{Transport: &http.Transport{
		DialContext: dial.DialContext, MaxIdleConnsPerHost: conns, MaxConnsPerHost: conns,
		IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}}}
}

// callJSON decodes the answer into out and returns the status, or an error when
// there was no whole response.
func (c *Client) callJSON(ctx context.Context, method, path string, in, out any) (int, error) {
	status, data, err := c.exchange(ctx, method, path, in)
	if err != nil {
		return 0, err
	}
	if out != nil && len(data) > 0 && (status == 200 || status == 409 || status == 404) {
		if err := json.Unmarshal(data, out); err != nil {
			return 0, fmt.Errorf("wire: %s %s: %w", method, path, err)
		}
	}
	return status, nil
}

const maxResponseBody = 4 << 20

// StateClient is the state service.
type StateClient struct{ c *Client }

// NewStateClient makes a client of the state service.
func NewStateClient(addr string) *StateClient { return &StateClient{NewClient(addr, 6)} }

type storedItem struct {
	Key   string          `json:"k"`
	Value json.RawMessage `json:"data"`
	Mark  uint64          `json:"entry_mark"`
}

// Item is one key of the state service.
type Item struct {
	Key   string
	Value json.RawMessage
	Mark  uint64
}

// Get reads a key; a missing one has mark 0.
func (s *StateClient) Get(ctx context.Context, key string) (Item, error) {
	var it storedItem
	status, err := s.c.callJSON(ctx, "GET", PathKeys+"/"+key, nil, &it)
	if err != nil {
		return Item{}, err
	}
	switch status {
	case 200:
		return Item(it), nil
	case 404:
		return Item{Key: key}, nil
	}
	return Item{}, fmt.Errorf("wire: state service: status %d", status)
}

// List reads one page of the keys with a prefix, after the key since.
func (s *StateClient) List(ctx context.Context, prefix, since string, most int) (items []Item, more bool, rev uint64, err error) {
	q := url.Values{"starts": {prefix}, "most": {strconv.Itoa(most)}}
	if since != "" {
		q.Set("since", since)
	}
	var out itemPage
	status, err := s.c.callJSON(ctx, "GET", PathKeys+"?"+q.Encode(), nil, &out)
	if err != nil {
		return nil, false, 0, err
	}
	if status != 200 {
		return nil, false, 0, fmt.Errorf("wire: state service: status %d", status)
	}
	for _, r := range out.Items {
		items = append(items, Item(r))
	}
	return items, out.More, out.Revision, nil
}

type condition struct {
	Key     string `json:"k"`
	Version uint64 `json:"entry_mark"`
}

type transactionWrite struct {
	Put     string          `json:"write,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	LeaseID uint64          `json:"tether,omitempty"`
	Delete  string          `json:"remove,omitempty"`
}

type transaction struct {
	Conditions []condition        `json:"when"`
	Writes     []transactionWrite `json:"writes"`
}

type transactionAnswer struct {
	Revision uint64   `json:"ledger_mark"`
	Failed   []string `json:"failed"`
}

func (s *StateClient) transact(ctx context.Context, t transaction) (eventlog.Outcome, uint64, []string) {
	var out transactionAnswer
	status, err := s.c.callJSON(ctx, "POST", PathTransactions, t, &out)
	switch {
	case err != nil:
		return eventlog.Unknown, 0, nil
	case status == 200:
		return eventlog.Applied, out.Revision, nil
	case status == 409:
		return eventlog.Conflict, 0, out.Failed
	case status == 429 || status == 503:
		return eventlog.Refused, 0, nil
	case status == 400:
		return eventlog.Invalid, 0, nil
	}
	return eventlog.Unknown, 0, nil
}

// Commit runs a transaction of the ledger.
func (s *StateClient) Commit(ctx context.Context, t eventlog.Transaction) (eventlog.Outcome, uint64, []string) {
	var x transaction
	for _, c := range t.Conditions {
		x.Conditions = append(x.Conditions, condition{c.Key, c.Version})
	}
	for _, w := range t.Writes {
		if w.Remove {
			x.Writes = append(x.Writes, transactionWrite{Delete: w.Key})
		} else {
			x.Writes = append(x.Writes, transactionWrite{Put: w.Key, Value: w.Value})
		}
	}
	return s.transact(ctx, x)
}

// ReadLeadership reads the two keys of leadership.
func (s *StateClient) ReadLeadership(ctx context.Context) (leadership.View, error) {
	items, _, rev, err := s.List(ctx, leadership.Prefix, "", 10)
	if err != nil {
		return leadership.View{}, err
	}
	v := leadership.View{Revision: rev}
	for _, it := range items {
		var h leadership.LeaseHolder
		if err := json.Unmarshal(it.Value, &h); err != nil {
			return v, fmt.Errorf("wire: key %s: %w", it.Key, err)
		}
		switch it.Key {
		case leadership.HolderKey:
			v.Holder, v.HolderVersion = &h, it.Mark
		case leadership.EpochKey:
			v.Epoch, v.EpochNode, v.EpochVersion = h.Epoch, h.Node, it.Mark
		}
	}
	return v, nil
}

// Claim takes leadership if the view still holds.
func (s *StateClient) Claim(ctx context.Context, node string, v leadership.View, hold uint64) (bool, uint64) {
	value := encode(leadership.LeaseHolder{Node: node, Epoch: v.Epoch + 1})
	out, rev, _ := s.transact(ctx, transaction{
		Conditions: []condition{{leadership.HolderKey, 0}, {leadership.EpochKey, v.EpochVersion}},
		Writes:     []transactionWrite{{Put: leadership.HolderKey, Value: value, LeaseID: hold}, {Put: leadership.EpochKey, Value: value}},
	})
	return out == eventlog.Applied, rev
}

// Watch waits for a change of keys with a prefix; it says whether it waited
// or saw one rather than failing.
func (s *StateClient) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) bool {
	q := url.Values{"starts": {prefix}, "since": {strconv.FormatUint(since, 10)}, "hold_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	status, err := s.c.callJSON(ctx, "GET", PathFollow+"?"+q.Encode(), nil, nil)
	return err == nil && (status == 200 || status == 410)
}

// CreateLease makes a hold.
func (s *StateClient) CreateLease(ctx context.Context, life time.Duration) (uint64, bool) {
	var out leaseAnswer
	status, err := s.c.callJSON(ctx, "POST", PathHolds, leaseRequest{life.Milliseconds()}, &out)
	return out.ID, err == nil && status == 200
}

// RenewLease renews a hold; gone says that it has ended.
func (s *StateClient) RenewLease(ctx context.Context, id uint64) (ok, gone bool) {
	status, err := s.c.callJSON(ctx, "POST", PathHolds+"/"+strconv.FormatUint(id, 10)+"/renew", struct{}{}, nil)
	return err == nil && status == 200, err == nil && status == 404
}

// ReleaseLease ends a hold.
func (s *StateClient) ReleaseLease(ctx context.Context, id uint64) {
	_, _ = s.c.callJSON(ctx, "DELETE", PathHolds+"/"+strconv.FormatUint(id, 10), nil, nil) // it ends by itself otherwise
}

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

func (c *Client) exchange(ctx context.Context, method, path string, in any) (int, []byte, error) {
	var body io.Reader
	if in != nil {
		body = bytes.NewReader(encode(in))
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return 0, nil, fmt.Errorf("wire: %w", err)
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("wire: %w", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBody))
	if err != nil {
		return 0, nil, fmt.Errorf("wire: %w", err)
	}
	return resp.StatusCode, data, nil
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

// WorkerClient reaches workers directly.
type WorkerClient struct{ c *http.Client }

// NewWorkerClient makes a client for workers. Connections are not kept: a worker
// is called this way rarely.
func NewWorkerClient() *WorkerClient {
	dial := &net.Dialer{Timeout: time.Second, KeepAlive: -1}
	return &WorkerClient{&http.Client{Transport: &http.Transport{DialContext: dial.DialContext, DisableKeepAlives: true, DisableCompression: true}}}
}

// Probe says whether the worker at addr answers.
func (w *WorkerClient) Probe(ctx context.Context, addr string) bool {
	status, _, err := (&Client{"http://" + addr, w.c}).exchange(ctx, "GET", PathShow, nil)
	return err == nil && status == http.StatusOK
}

// SendCommands sends direct commands to the worker at addr, and returns its report after them.
// They may be carried out late whatever comes back.
func (w *WorkerClient) SendCommands(ctx context.Context, addr string, body []byte) (*workers.Report, error) {
	status, data, err := (&Client{"http://" + addr, w.c}).exchange(ctx, "POST", PathCommands, json.RawMessage(body))
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("wire: the worker at %s carried nothing out: status %d", addr, status)
	}
	return ParseReport(data)
}
