package registry

import (
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
)

// reassignAfter is how long a machine's own controller must not have heard from it before
// the machine is reassigned to another controller's shard.
const reassignAfter = 2 * time.Second

// machineEntry describes a machine as it reports itself; it has no number yet.
func machineEntry(report *workers.Report) eventlog.Machine {
	return eventlog.Machine{
		Name:    report.Machine,
		Address: report.Address,
		Type:    report.Type,
		Zone:    report.Zone,
		Spot:    report.Spot,
	}
}

// register has a machine's entry written, once. No task is ever started on a machine before
// its entry is durable, so nothing of an earlier term can be there.
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

// assignShard settles to which controller's shard the machine belongs whose heartbeat a
// controller has relayed. It returns the controller to which the worker must go instead, or
// an empty string where the relaying one is right.
func (d *Component) assignShard(now time.Duration, m *workers.Machine, relayed effects.RelayedHeartbeat) string {
	if incarnation, known := d.controllerIncarnations[relayed.Via]; known && incarnation != relayed.Life {
		// The controller has restarted and lost the offers it had accepted: what is on offer
		// by way of it must be settled before it is offered again.
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
		m.Token = d.NextToken() // makes the worker refuse the former controller
	}
	m.Shard = relayed.Via
	return ""
}

// suspendOffers keeps the tasks planned on a machine from being offered again while an
// offer of them is open.
func (d *Component) suspendOffers(m *workers.Machine) {
	for _, p := range m.Tasks {
		if p.Planned && len(p.Offered) > 0 {
			p.NoNewOffers = true
		}
	}
}

// machineResolved notes that what an earlier term left on a machine is known.
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

// OffersStarted notes offers that the leader's own shard has accepted.
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

// MachinesDeleted removes machines that the cloud has proved gone, and all that was on them.
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

// removeMachine removes one machine that is proved gone: its offers are closed, its tasks
// are gone with it, and what an earlier term left there is known.
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
			p.Withdrawn = true // it may yet turn out to be on a machine it was offered to
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
