package placement

import (
	"maps"
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
)

const (
	grantIdleTimeout  = 8 * time.Second // after this time with nothing on a machine, a job's grant is revoked
	maxMachineBytes   = 10              // upper bound for the bytes of a machine in an entry
	usualMachineBytes = 5               // usual number of bytes of a machine in an entry
	entryOverhead     = 6               // size of the rest of an entry, in units of maxMachineBytes
)

// replayGrant records which machines a grant names or revokes.
func (c *Component) replayGrant(grant *eventlog.Grant) {
	machines := c.replayedGrants[grant.Job]
	if machines == nil {
		machines = map[int]bool{}
		c.replayedGrants[grant.Job] = machines
	}
	for _, number := range grant.Machines {
		machines[number] = !grant.Revoked
	}
}

// recoverGrants restores the replayed grants on the machines that are not resolved.
func (c *Component) recoverGrants() {
	byNumber := c.machinesByNumber()
	for id, machines := range c.replayedGrants {
		for number, granted := range machines {
			c.LastMachineNumber = max(c.LastMachineNumber, number)
			machine := byNumber[number]
			if granted && machine != nil && !machine.Resolved && number != 0 {
				c.recoverGrant(id, machine)
			}
		}
	}
	c.replayedGrants = nil
}

// recoverGrant restores a job's grant on a machine and counts the machine against the job's
// team, since tasks of the job may be there.
func (c *Component) recoverGrant(id uint64, machine *workers.Machine) {
	job := c.Jobs.ByID(id)
	if job == nil {
		// The team of a cancelled job is no longer known, and its tasks may still be on the
		// machine. A job that is done has no tasks anywhere.
		if phase, _ := c.Jobs.FinalPhase(id); phase != jobs.Done {
			machine.ClaimedByAnyTeam = true
		}
		return
	}
	machine.Grants[id] = true
	c.grants[id] = append(c.grants[id], machine)
	job.UnresolvedMachines++
	if !slices.Contains(machine.ClaimedByTeams, job.Team) {
		machine.ClaimedByTeams = append(machine.ClaimedByTeams, job.Team)
	}
}

func (c *Component) machinesByNumber() map[int]*workers.Machine {
	machines := map[int]*workers.Machine{}
	for _, machine := range c.Inventory.All() {
		machines[machine.Number] = machine
	}
	return machines
}

// requestGrant queues a grant for the first plan of a job on a machine.
func (c *Component) requestGrant(plan *workers.Placement) {
	machine, id := plan.Machine, plan.JobID
	if _, known := machine.Grants[id]; known {
		return
	}
	machine.Grants[id] = false
	c.newGrants[id] = append(c.newGrants[id], machine)
	c.grants[id] = append(c.grants[id], machine)
}

// writeGrants appends new and revoked grants to the log, in parts that fit into an entry.
func (c *Component) writeGrants() {
	machinesPerEntry := max(1, c.EventLog.MaxEntryBytes()/maxMachineBytes-entryOverhead)
	// Revocations come first, since the same machine may have been granted again.
	for _, id := range slices.Sorted(maps.Keys(c.revoked)) {
		for numbers := range slices.Chunk(c.revoked[id], machinesPerEntry) {
			c.EventLog.Append(eventlog.Entry{Grant: &eventlog.Grant{Job: id, Machines: numbers, Revoked: true}})
		}
	}
	clear(c.revoked)
	for _, id := range slices.Sorted(maps.Keys(c.newGrants)) {
		for machines := range slices.Chunk(c.newGrants[id], machinesPerEntry) {
			grant := eventlog.Grant{Job: id}
			for _, machine := range machines {
				grant.Machines = append(grant.Machines, machine.Number)
			}
			c.grantsInFlight = append(c.grantsInFlight, machines)
			c.EventLog.AppendTracked(eventlog.Entry{Grant: &grant})
		}
	}
	clear(c.newGrants)
}

// grantDurable allows the job's tasks to start on the machines of the first grant in flight,
// which is now durable.
func (c *Component) grantDurable(grant *eventlog.Grant) {
	machines := c.grantsInFlight[0]
	c.grantsInFlight = c.grantsInFlight[1:]
	if c.Jobs.ByID(grant.Job) == nil {
		return
	}
	for _, machine := range machines {
		machine.Grants[grant.Job] = true
	}
}

// forgetGrants drops all grants of a job that was removed.
func (c *Component) forgetGrants(id uint64) {
	for _, machine := range c.grants[id] {
		machine.RevokeGrant(id)
	}
	delete(c.revoked, id)
	delete(c.grants, id)
	delete(c.newGrants, id)
}

// revokeIdleGrants revokes the grants of jobs that have had nothing on a machine for
// grantIdleTimeout. A later leader that gets no reports from the machine then holds back only
// the jobs that still have a grant.
func (c *Component) revokeIdleGrants(now time.Duration, machine *workers.Machine, report *workers.Report) {
	for _, id := range machine.UnusedGrants(now, grantIdleTimeout, report) {
		machine.RevokeGrant(id)
		c.grants[id] = slices.DeleteFunc(c.grants[id], func(other *workers.Machine) bool { return other == machine })
		c.revoked[id] = append(c.revoked[id], machine.Number)
	}
}

// LiveBytes estimates how many bytes Compact would write for the whole log.
func (c *Component) LiveBytes() int {
	live := 0
	for _, machines := range c.grants {
		live += len(machines) * usualMachineBytes
	}
	return live
}

// compactGrant rewrites a grant with those of its machines that may still have tasks of the job.
func (c *Component) compactGrant(grant *eventlog.Grant) {
	if c.compactedMachines == nil {
		c.compactedMachines = c.machinesByNumber()
	}
	live := eventlog.Grant{Job: grant.Job}
	for _, number := range grant.Machines {
		machine := c.compactedMachines[number]
		if machine != nil && (machine.Grants[live.Job] || !machine.Resolved) {
			live.Machines = append(live.Machines, number)
		}
	}
	if len(live.Machines) > 0 {
		c.EventLog.Append(eventlog.Entry{Grant: &live})
	}
}
