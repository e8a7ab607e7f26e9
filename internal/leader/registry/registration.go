package registry

import (
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
)

// reassignAfter is how long a machine's controller must have relayed no heartbeat, either from
// this machine or from any, before the machine is reassigned to another controller's shard.
const reassignAfter = 2 * time.Second

// machineEntry returns the log entry of a machine as described in its report; it has no number
// yet.
func machineEntry(report *workers.Report) eventlog.Machine {
	return eventlog.Machine{
		Name:    report.Machine,
		Address: report.Address,
		Type:    report.Type,
		Zone:    report.Zone,
		Spot:    report.Spot,
	}
}

// register appends a machine's entry to the log, once. No task is ever started on a machine
// before its entry is durable, so no task of an earlier term can be there.
func (d *Component) register(now time.Duration, m *workers.Machine, report *workers.Report) {
	m.Resolved = true
	entry := machineEntry(report)
	entry.Number = d.LastMachineNumber + 1
	if !d.EventLog.Fits(eventlog.Entry{Machine: &entry}) {
		d.Decommission(now, m, cluster.Delete, "its names are too long to be stored")
		return
	}
	if m.QueueRegistry() {
		d.LastMachineNumber++
		m.Number = d.LastMachineNumber
		d.EventLog.AppendTracked(eventlog.Entry{Machine: &entry})
	}
}

// assignShard determines to which controller's shard a machine belongs after a heartbeat from it
// was relayed. It returns the controller to which the worker must report instead, or an empty
// string if the relaying controller is the right one.
func (d *Component) assignShard(now time.Duration, m *workers.Machine, relayed effects.RelayedHeartbeat) string {
	if incarnation, known := d.controllerIncarnations[relayed.Via]; known && incarnation != relayed.Life {
		// The controller has restarted and lost the offers that it had accepted. Tasks on offer
		// through it are not offered again until those offers are closed.
		for _, other := range d.Inventory.All() {
			if other.Shard == relayed.Via {
				d.suspendOffers(other)
			}
		}
	}
	d.controllerIncarnations[relayed.Via] = relayed.Life
	d.controllerLastHeard[relayed.Via] = now
	switch {
	case m.Shard == relayed.Via:
		return ""
	case m.Shard != "" && now-m.LastHeartbeat < reassignAfter && now-d.controllerLastHeard[m.Shard] < reassignAfter:
		return m.Shard
	case m.Shard != "":
		d.suspendOffers(m)
		m.Token = d.NextToken() // makes the worker reject the former controller
	}
	m.Shard = relayed.Via
	return ""
}

// suspendOffers prevents tasks planned on a machine from being offered again while an offer of
// them is open.
func (d *Component) suspendOffers(m *workers.Machine) {
	for _, p := range m.Tasks {
		if p.Planned && len(p.Offered) > 0 {
			p.NoNewOffers = true
		}
	}
}

// machineResolved records that the leader has learned which tasks earlier terms left on a
// machine.
func (d *Component) machineResolved(now time.Duration, m *workers.Machine) {
	d.NeedsCycle = true
	d.RemoveUnresolved(m)
	for id := range m.Grants {
		if j := d.Jobs.ByID(id); j != nil && j.UnresolvedMachines > 0 {
			j.UnresolvedMachines--
		}
	}
	d.Publish(cluster.Event{Kind: cluster.MachineResolved, At: now, Machine: m})
	if n, _ := d.Unresolved(); n == 0 {
		after := (now - d.TermBegan).Round(10 * time.Millisecond)
		d.LogMessage(effects.Info, "all machines resolved", "epoch", d.Epoch, "after", after)
	}
}

// OffersStarted records offers that the leader's own shard has accepted.
func (d *Component) OffersStarted(now time.Duration, machine string, offers []workers.Offer) {
	m := d.Inventory.Find(machine)
	if m == nil {
		return
	}
	for _, o := range offers {
		j := d.Jobs.ByID(o.Start.Job)
		if j == nil {
			continue
		}
		if m.TaskStarted(workers.TaskRef{Job: j.Index, Task: int32(o.Start.Task)}) {
			d.Publish(cluster.Event{Kind: cluster.TaskPlaced, At: now, Job: j, Task: o.Start.Task, Machine: m})
		}
	}
}

// MachinesDeleted removes machines whose deletion the cloud has confirmed, and everything on
// them.
func (d *Component) MachinesDeleted(now time.Duration, names []string) {
	for _, name := range names {
		if m := d.Inventory.Find(name); m != nil {
			d.removeMachine(now, m)
		}
	}
	for _, part := range eventlog.SplitNames(names, d.EventLog.MaxEntryBytes()-eventlog.EntryOverheadBytes) {
		d.EventLog.Append(eventlog.Entry{DeletedMachines: part})
	}
	d.NeedsCycle = true
}

// removeMachine removes one machine that is proved gone. It closes the machine's offers, applies
// the loss of its tasks, and marks it as resolved if it was not.
func (d *Component) removeMachine(now time.Duration, m *workers.Machine) {
	d.publishLostOffers(now, m)
	for _, p := range m.CloseOffers() {
		closed := workers.Event{
			Kind:      workers.EventOfferClosed,
			Ref:       p.Ref,
			JobID:     p.JobID,
			Attempt:   p.Attempt,
			Placement: p,
		}
		d.applyTaskEvent(now, m, closed)
	}
	for ref, p := range m.Tasks {
		if p.Planned && p.Rehome() {
			d.ListMachineWithPlans(p.Machine)
			p.Withdrawn = true // a machine that it was offered to may have started it
			continue
		}
		gone := workers.Event{
			Kind:       workers.EventGone,
			Ref:        ref,
			JobID:      p.JobID,
			Attempt:    p.Attempt,
			Reason:     workers.Vanished,
			RunTime:    -1,
			WasRunning: p.IsRunning(),
			WorkerLost: true,
		}
		m.RemovePlacement(ref)
		d.applyTaskEvent(now, m, gone)
	}
	d.Inventory.Remove(m.Name)
	if m.Unresolved() {
		d.machineResolved(now, m)
	}
	d.Publish(cluster.Event{Kind: cluster.MachineProvedGone, At: now, Machine: m})
}
