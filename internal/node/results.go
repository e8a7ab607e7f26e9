package node

import (
	"encoding/json"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/leadership"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/leader/term"
	"bitternmoor/internal/wire"
)

// The results of calls are inputs of the core. Results of calls requested by a term carry its epoch,
// and are dropped if that term has ended.

// inTerm reports whether this node currently leads in the term with the given epoch.
func (c *Core) inTerm(epoch uint64) bool { return c.term != nil && c.term.Epoch == epoch }

// inLoadedTerm reports whether inTerm holds and the term has read the log.
func (c *Core) inLoadedTerm(epoch uint64) bool { return c.inTerm(epoch) && c.term.Loaded() }

// KeysRead handles the result of ReadKeys.
func (c *Core) KeysRead(now time.Duration, sequence uint64, ok bool, view leadership.View) {
	c.emitLeadership(c.elector.KeysRead(now, sequence, ok, view))
	c.advanceTerm(now)
}

// WatchEnded handles the result of WatchKeys.
func (c *Core) WatchEnded(now time.Duration, sequence uint64, ok bool) {
	c.emitLeadership(c.elector.WatchEnded(now, sequence, ok))
	c.advanceTerm(now)
}

// LeaseCreated handles the result of CreateLease.
func (c *Core) LeaseCreated(now time.Duration, sequence uint64, ok bool, leaseID uint64) {
	c.emitLeadership(c.elector.LeaseCreated(now, sequence, ok, leaseID))
	c.advanceTerm(now)
}

// LeadershipClaimed handles the result of ClaimLeadership.
func (c *Core) LeadershipClaimed(now time.Duration, sequence uint64, ok bool, mark uint64) {
	c.emitLeadership(c.elector.LeadershipClaimed(now, sequence, ok, mark))
	c.advanceTerm(now)
}

// LeaseRenewed handles the result of RenewLease; gone means that the lease has expired.
func (c *Core) LeaseRenewed(now time.Duration, sequence uint64, ok, gone bool) {
	c.emitLeadership(c.elector.LeaseRenewed(now, sequence, ok, gone))
	c.advanceTerm(now)
}

// LogLoaded handles the whole event log, read after the term began.
func (c *Core) LogLoaded(now time.Duration, epoch uint64, log term.LoadedLog) {
	if c.inTerm(epoch) && !c.term.Loaded() {
		c.term.Load(now, c.elector.EpochVersion(), log)
	}
	c.advanceTerm(now)
}

// Committed handles the outcome of a commit of the term.
func (c *Core) Committed(
	now time.Duration, epoch, sequence uint64, outcome eventlog.Outcome, mark uint64, failed []string,
) {
	if c.inTerm(epoch) {
		if c.term.Committed(now, c.elector.LeaseValid(now), sequence, outcome, mark, failed) == eventlog.TermLost {
			c.elector.EpochObserved(now, c.elector.Epoch()+1)
		}
	}
	c.advanceTerm(now)
}

// CommitReadBack handles the value that was read to determine the outcome of an unanswered commit.
func (c *Core) CommitReadBack(now time.Duration, epoch uint64, read bool, mark uint64, value json.RawMessage) {
	if c.inTerm(epoch) {
		c.term.ReadBack(now, c.elector.LeaseValid(now), read, mark, value)
	}
	c.advanceTerm(now)
}

// SegmentsRead handles the log's oldest segments, read for compaction: those numbered from first to
// end-1.
func (c *Core) SegmentsRead(now time.Duration, epoch uint64, first, end int, read bool, entries []eventlog.Entry) {
	if c.inLoadedTerm(epoch) {
		c.term.SegmentsRead(now, first, end, read, entries)
	}
	c.advanceTerm(now)
}

// ValuesRead handles a page of a component's own values.
func (c *Core) ValuesRead(now time.Duration, epoch uint64, component string, list []eventlog.ComponentValue, more, ok bool) {
	if c.inLoadedTerm(epoch) {
		c.term.ValuesRead(now, component, list, more, ok)
	}
	c.advanceTerm(now)
}

// MachinesDeleted handles the result of deleting machines.
func (c *Core) MachinesDeleted(now time.Duration, epoch uint64, list []string, ok bool) {
	if c.inTerm(epoch) {
		c.term.MachinesDeleted(now, list, ok)
	}
	c.advanceTerm(now)
}

// WorkerProbed handles the result of probing a silent worker.
func (c *Core) WorkerProbed(now time.Duration, epoch uint64, machine string, answered bool) {
	if c.inTerm(epoch) {
		c.term.WorkerProbed(machine, answered)
	}
	c.advanceTerm(now)
}

// Dispatched handles a worker's report after start commands were sent directly to it. A nil report
// means that the outcome of the commands is unknown.
func (c *Core) Dispatched(
	now time.Duration, epoch uint64, machine string, token uint64, starts []workers.Command, report *workers.Report,
) {
	if c.inTerm(epoch) {
		c.term.Dispatched(now, c.elector.LeaseValid(now), machine, token, starts, report)
	}
	c.advanceTerm(now)
}

// RentalAnswered handles the result of a rental request.
func (c *Core) RentalAnswered(now time.Duration, epoch uint64, name string, machines []string, result wire.RentResult) {
	if c.inTerm(epoch) {
		c.term.RentalAnswered(now, name, machines, result)
	}
	c.advanceTerm(now)
}

// MachineTypesListed handles the cloud's list of machine types. An empty list means that the call
// failed.
func (c *Core) MachineTypesListed(now time.Duration, epoch uint64, list []eventlog.MachineType) {
	if c.inLoadedTerm(epoch) {
		c.term.MachineTypesListed(now, list)
	}
	c.advanceTerm(now)
}

// MachinesListed handles the cloud's list of machines.
func (c *Core) MachinesListed(now time.Duration, epoch uint64, list []wire.ListedMachine, ok bool) {
	if c.inTerm(epoch) {
		c.term.MachinesListed(now, list, ok)
	}
	c.advanceTerm(now)
}
