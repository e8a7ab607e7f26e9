// Package registry is the component of a leader's term that looks after machines: it
// applies the heartbeats of their workers, assigns each machine to a controller's shard,
// registers it durably before its first start, and decommissions machines that fail. It
// alone writes the log's entries of machines.
//
// Heartbeats are applied in heartbeat.go, their effects on tasks in task_events.go;
// registration.go has what makes and removes a machine, failure_detector.go what gives one up.
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

// machineEntryBytes is the rough size of a machine's entry in the log.
const machineEntryBytes = 100

// Name is the key of the component's own entries.
const Name = "roster"

// Component looks after the machines of a term.
type Component struct {
	cluster.NopComponent
	*cluster.State

	// Controllers that relay heartbeats, by node name.
	controllerIncarnations map[string]int64
	controllerLastHeard    map[string]time.Duration

	// Heartbeats that are applied and not answered yet, in the order in which they came.
	pendingReplies   []*pendingReply
	pendingByMachine map[*workers.Machine]*pendingReply
	lastOfferSerial  uint64

	// The failure detector.
	lastCheckAt   time.Duration
	zoneOutages   []zoneOutage // by zone
	zoneReachable []bool       // by zone; nil where silent machines are not probed

	// While the log is replayed.
	replayedMachines map[string]eventlog.Machine
	replayedReturns  []returnRecord

	returnsToRecord []string // empty machines on their way out, to be recorded as such
}

// returnRecord records in which term machines were to be returned on which nothing ran any
// more, before they are deleted. The next term need not wait for their heartbeats. It holds
// for that term alone: one in between may not have known of it and have started tasks there.
type returnRecord struct {
	Epoch    uint64   `json:"e"`
	Machines []string `json:"m"`
}

// New makes the component of a term.
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
func (d *Component) Replay(_ time.Duration, e eventlog.Entry) {
	switch {
	case e.Machine != nil:
		d.replayedMachines[e.Machine.Name] = *e.Machine
	case e.DeletedMachines != nil:
		for _, name := range e.DeletedMachines {
			d.Inventory.Remove(name)
			delete(d.replayedMachines, name)
		}
	case e.Component != nil:
		d.replayReturns(e.Component.Data)
	}
}

// replayReturns keeps a record of returns if the term directly before this one wrote it.
func (d *Component) replayReturns(data json.RawMessage) {
	var record returnRecord
	if err := json.Unmarshal(data, &record); err != nil {
		d.LogMessage(effects.Warn, "unreadable record of returned machines skipped", "error", err)
		return
	}
	if record.Epoch == d.Epoch-1 {
		d.replayedReturns = append(d.replayedReturns, record)
	}
}

// Begin enters the registered machines. What earlier terms left on them is not known before
// they report, except on those that the term before had recorded as empty.
func (d *Component) Begin(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(d.replayedMachines)) {
		entry := d.replayedMachines[name]
		if m := d.AddMachine(now, entry); m != nil {
			m.Durable, m.Number = true, entry.Number
			d.LastMachineNumber = max(d.LastMachineNumber, entry.Number)
		}
	}
	for _, record := range d.replayedReturns {
		for _, name := range record.Machines {
			if m := d.Inventory.Find(name); m != nil {
				m.Resolved = true
				d.Decommission(now, m, cluster.Return, "not needed, as the term before has noted")
				d.returnsToRecord = append(d.returnsToRecord, name) // for the term after this one
			}
		}
	}
	d.replayedMachines, d.replayedReturns = nil, nil
}

// HandleEvent has an empty machine recorded as returned before it is deleted.
func (d *Component) HandleEvent(e cluster.Event) {
	if e.Kind == cluster.MachineReturnable && d.Cfg.Tunables.NoteReturns == 1 {
		e.Machine.ReturnUnrecorded = true
		d.returnsToRecord = append(d.returnsToRecord, e.Machine.Name)
	}
}

// AppendEntries appends the records of machines that are to be returned.
func (d *Component) AppendEntries(time.Duration) {
	if len(d.returnsToRecord) == 0 {
		return
	}
	for _, names := range eventlog.SplitNames(d.returnsToRecord, d.EventLog.MaxEntryBytes()-2*eventlog.EntryOverheadBytes) {
		d.EventLog.AppendTracked(eventlog.NewComponentEntry(Name, returnRecord{Epoch: d.Epoch, Machines: names}))
	}
	d.returnsToRecord = nil
}

// EntryDurable lets tasks start on a machine that is now registered durably, and lets
// machines be deleted that are now recorded as empty.
func (d *Component) EntryDurable(_ time.Duration, _ bool, e eventlog.Entry) {
	switch {
	case e.Component != nil:
		d.returnsDurable(e.Component.Data)
	case e.Machine != nil:
		if m := d.Inventory.Find(e.Machine.Name); m != nil {
			m.Durable = true
			d.NeedsCycle = true
		}
	}
}

// returnsDurable lets the machines of a durable record be deleted.
func (d *Component) returnsDurable(data json.RawMessage) {
	var record returnRecord
	if json.Unmarshal(data, &record) != nil {
		return // cannot happen: this term wrote it
	}
	for _, name := range record.Machines {
		if m := d.Inventory.Find(name); m != nil {
			m.ReturnUnrecorded = false
		}
	}
}

// Tick runs the failure detector at its interval.
func (d *Component) Tick(now time.Duration, leaseValid bool) {
	if now-d.lastCheckAt >= checkInterval {
		d.lastCheckAt = now
		d.detectFailures(now, leaseValid)
	}
}

// LiveBytes is roughly how many bytes Compact would write for the whole log.
func (d *Component) LiveBytes() int { return len(d.Inventory.All()) * machineEntryBytes }

// Compact writes an entry anew if its machine is still in the inventory.
func (d *Component) Compact(_ time.Duration, e eventlog.Entry) {
	if e.Machine != nil && d.Inventory.Find(e.Machine.Name) != nil {
		d.EventLog.Append(eventlog.Entry{Machine: e.Machine})
	}
}
