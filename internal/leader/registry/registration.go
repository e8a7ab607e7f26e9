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
func (c *Component) register(now time.Duration, m *workers.Machine, report *workers.Report) {
	m.Resolved = true
	entry := machineEntry(report)
	entry.Number = c.LastMachineNumber + 1
	if !c.EventLog.Fits(eventlog.Entry{Machine: &entry}) {
		c.Decommission(now, m, cluster.Delete, "its names are too long to be stored")
		return
	}
	if m.QueueRegistration() {
		c.LastMachineNumber++
		m.Number = c.LastMachineNumber
		c.EventLog.AppendTracked(eventlog.Entry{Machine: &entry})
	}
}

// assignShard determines to which controller's shard a machine belongs after a heartbeat from it
// was relayed. It returns the controller to which the worker must report instead, or an empty
// string if the relaying controller is the right one.
func (c *Component) assignShard(now time.Duration, m *workers.Machine, relayed effects.RelayedHeartbeat) string {
	if incarnation, known := c.controllerIncarnations[relayed.Via]; known && incarnation != relayed.Life {
		// The controller has restarted and lost the offers that it had accepted. Tasks on offer
		// through it are not offered again until those offers are closed.
		for _, other := range c.Inventory.All() {
			if other.Shard == relayed.Via {
				c.suspendOffers(other)
			}
		}
	}
	c.controllerIncarnations[relayed.Via] = relayed.Life
	c.controllerLastHeard[relayed.Via] = now
	switch {
	case m.Shard == relayed.Via:
		return ""
	case m.Shard != "" && now-m.LastHeartbeat < reassignAfter && now-c.controllerLastHeard[m.Shard] < reassignAfter:
		return m.Shard
	case m.Shard != "":
		c.suspendOffers(m)
		m.Token = c.NextToken() // makes the worker reject the former controller
	}
	m.Shard = relayed.Via
	return ""
}

// suspendOffers prevents tasks planned on a machine from being offered again while an offer of
// them is open.
func (c *Component) suspendOffers(m *workers.Machine) {
	for _, p := range m.Tasks {
		if p.Planned && len(p.Offered) > 0 {
			p.NoNewOffers = true
		}
	}
}

// machineResolved records that the leader has learned which tasks earlier terms left on a
// machine.
func (c *Component) machineResolved(now time.Duration, m *workers.Machine) {
	c.NeedsCycle = true
	c.RemoveUnresolved(m)
	for id := range m.Grants {
		if j := c.Jobs.ByID(id); j != nil && j.UnresolvedMachines > 0 {
			j.UnresolvedMachines--
		}
	}
	c.Publish(cluster.Event{Kind: cluster.MachineResolved, At: now, Machine: m})
	if n, _ := c.Unresolved(); n == 0 {
		after := (now - c.TermBegan).Round(10 * time.Millisecond)
		c.LogMessage(effects.Info, "all machines resolved", "epoch", c.Epoch, "after", after)
	}
}

// OffersStarted records offers that the leader's own shard has accepted.
func (c *Component) OffersStarted(now time.Duration, machine string, offers []workers.Offer) {
	m := c.Inventory.Find(machine)
	if m == nil {
		return
	}
	for _, o := range offers {
		j := c.Jobs.ByID(o.Start.Job)
		if j == nil {
			continue
		}
		if m.TaskStarted(workers.TaskRef{Job: j.Index, Task: int32(o.Start.Task)}) {
			c.Publish(cluster.Event{Kind: cluster.TaskPlaced, At: now, Job: j, Task: o.Start.Task, Machine: m})
		}
	}
}

// MachinesDeleted removes machines whose deletion the cloud has confirmed, and everything on
// them.
func (c *Component) MachinesDeleted(now time.Duration, names []string) {
	for _, name := range names {
		if m := c.Inventory.Find(name); m != nil {
			c.removeMachine(now, m)
		}
	}
	for _, part := range eventlog.SplitNames(names, c.EventLog.MaxEntryBytes()-eventlog.EntryOverheadBytes) {
		c.EventLog.Append(eventlog.Entry{DeletedMachines: part})
	}
	c.NeedsCycle = true
}

// removeMachine removes one machine that is proved gone. It closes the machine's offers, applies
// the loss of its tasks, and marks it as resolved if it was not.
func (c *Component) removeMachine(now time.Duration, m *workers.Machine) {
	c.publishLostOffers(now, m)
	m.ConfirmDeleted()
	for _, p := range c.RestartsOn(m) {
		c.ReleasePlacement(p.Ref)
	}
	for _, p := range m.CloseOffers() {
		closed := workers.Event{
			Kind:      workers.EventOfferClosed,
			Ref:       p.Ref,
			JobID:     p.JobID,
			Attempt:   p.Attempt,
			Placement: p,
		}
		c.applyTaskEvent(now, m, closed)
	}
	for ref, p := range m.Tasks {
		if p.Planned && p.MoveToOfferedMachine() {
			c.TrackMachineWithPlans(p.Machine)
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
		c.applyTaskEvent(now, m, gone)
	}
	c.Inventory.Remove(m.Name)
	if m.Unresolved() {
		c.machineResolved(now, m)
	}
	c.Publish(cluster.Event{Kind: cluster.MachineProvedGone, At: now, Machine: m})
}
