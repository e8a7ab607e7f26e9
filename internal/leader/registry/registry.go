// Package registry is the component of a leader's term that manages machines: it applies the
// heartbeats of their workers, assigns each machine to a controller's shard, registers it
// durably before its first start, and decommissions machines that fail. Only this component
// writes log entries of machines.
//
// heartbeat.go applies heartbeats, and task_events.go applies their effects on tasks.
// registration.go adds and removes machines, failure_detector.go decommissions failed ones, cancellations.go
// decides which machines delay the end of a cancellation, and lapse.go lets the first lease of workers expire.
package registry

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
)

// machineEntryBytes is the approximate size of a machine's entry in the log.
const machineEntryBytes = 100

// Name is the key of the component's own entries in the event log.
const Name = "roster"

// Component manages the machines of a term.
type Component struct {
	cluster.NopComponent
	*cluster.State

	// Controllers that relay heartbeats, by node name.
	controllerIncarnations map[string]int64
	controllerLastHeard    map[string]time.Duration

	// Heartbeats that are applied but not answered yet, in order of arrival.
	pendingReplies   []*pendingReply
	pendingByMachine map[*workers.Machine]*pendingReply
	lastOfferSerial  uint64

	// State of the failure detector.
	lastCheckAt   time.Duration
	zoneOutages   []zoneOutage // by zone
	zoneReachable []bool       // by zone; nil where silent machines are not probed

	// Used only while the log is replayed.
	replayedMachines map[string]eventlog.Machine
	replayedReturns  []returnRecord

	lapsing   int  // number of machines whose lease is left to lapse, see lapses
	workWaits bool // a job has waited for longer than a lease, so that no further lapse begins

	returnsToRecord []string // empty machines whose return is to be recorded before they are deleted
}

// returnRecord lists empty machines that a term is about to return; it is durable before they
// are deleted. The next term need not wait for their heartbeats. Later terms ignore the record,
// since a term in between may not have read it and may have started tasks on the machines.
type returnRecord struct {
	Epoch    uint64   `json:"e"`
	Machines []string `json:"m"`
}

// New returns the component of a term.
func New(s *cluster.State) *Component {
	return &Component{
		State:                  s,
		controllerIncarnations: map[string]int64{},
		controllerLastHeard:    map[string]time.Duration{},
		pendingByMachine:       map[*workers.Machine]*pendingReply{},
		replayedMachines:       map[string]eventlog.Machine{},
	}
}

// Replay applies an entry of the log.
func (c *Component) Replay(_ time.Duration, e eventlog.Entry) {
	switch {
	case e.Machine != nil:
		c.replayedMachines[e.Machine.Name] = *e.Machine
	case e.DeletedMachines != nil:
		for _, name := range e.DeletedMachines {
			c.Inventory.Remove(name)
			delete(c.replayedMachines, name)
		}
	case e.Component != nil:
		c.replayReturns(e.Component.Data)
	}
}

// replayReturns keeps a record of returns if the term directly before this one wrote it.
func (c *Component) replayReturns(data json.RawMessage) {
	var record returnRecord
	if err := json.Unmarshal(data, &record); err != nil {
		c.LogMessage(effects.Warn, "unreadable record of returned machines skipped", "error", err)
		return
	}
	if record.Epoch == c.Epoch-1 {
		c.replayedReturns = append(c.replayedReturns, record)
	}
}

// Begin adds the registered machines to the inventory. What earlier terms left on them is
// unknown until they report, except on those that the previous term recorded as empty.
func (c *Component) Begin(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(c.replayedMachines)) {
		entry := c.replayedMachines[name]
		if m := c.AddMachine(now, entry); m != nil {
			m.Durable, m.Number = true, entry.Number
			c.LastMachineNumber = max(c.LastMachineNumber, entry.Number)
		}
	}
	for _, record := range c.replayedReturns {
		for _, name := range record.Machines {
			if m := c.Inventory.Find(name); m != nil {
				m.Resolved = true
				c.Decommission(now, m, cluster.Return, "not needed, as the term before has noted")
				c.returnsToRecord = append(c.returnsToRecord, name) // for the term after this one
			}
		}
	}
	c.replayedMachines, c.replayedReturns = nil, nil
}

// HandleEvent queues the record of an empty machine's return, which must be durable before the
// machine is deleted.
func (c *Component) HandleEvent(e cluster.Event) {
	if e.Kind == cluster.MachineReturnable && c.Cfg.Tunables.RecordReturns == 1 {
		e.Machine.AwaitsReturnRecord = true
		c.returnsToRecord = append(c.returnsToRecord, e.Machine.Name)
	}
}

// AppendEntries appends the records of machines that will be returned.
func (c *Component) AppendEntries(time.Duration) {
	if len(c.returnsToRecord) == 0 {
		return
	}
	for _, names := range eventlog.SplitNames(c.returnsToRecord, c.EventLog.MaxEntryBytes()-2*eventlog.EntryOverheadBytes) {
		c.EventLog.AppendTracked(eventlog.NewComponentEntry(Name, returnRecord{Epoch: c.Epoch, Machines: names}))
	}
	c.returnsToRecord = nil
}

// EntryDurable allows tasks to start on a machine whose registration is now durable, and allows
// machines to be deleted whose return record is now durable.
func (c *Component) EntryDurable(_ time.Duration, _ bool, e eventlog.Entry) {
	switch {
	case e.Component != nil:
		c.returnsDurable(e.Component.Data)
	case e.Machine != nil:
		if m := c.Inventory.Find(e.Machine.Name); m != nil {
			m.Durable = true
			c.NeedsCycle = true
		}
	}
}

// returnsDurable allows the machines of a durable record to be deleted.
func (c *Component) returnsDurable(data json.RawMessage) {
	var record returnRecord
	if json.Unmarshal(data, &record) != nil {
		return // cannot happen: this term wrote it
	}
	for _, name := range record.Machines {
		if m := c.Inventory.Find(name); m != nil {
			m.AwaitsReturnRecord = false
		}
	}
}

// Tick runs the failure detector at its interval.
func (c *Component) Tick(now time.Duration, leaseValid bool) {
	if now-c.lastCheckAt >= checkInterval {
		c.lastCheckAt = now
		c.detectFailures(now, leaseValid)
	}
}

// LiveBytes estimates how many bytes Compact would write for the whole log.
func (c *Component) LiveBytes() int { return len(c.Inventory.All()) * machineEntryBytes }

// Compact rewrites an entry if its machine is still in the inventory.
func (c *Component) Compact(_ time.Duration, e eventlog.Entry) {
	if e.Machine != nil && c.Inventory.Find(e.Machine.Name) != nil {
		c.EventLog.Append(eventlog.Entry{Machine: e.Machine})
	}
}
