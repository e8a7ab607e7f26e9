package placement

import (
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

// Grants of more machines than fit into an entry of 2 KiB are written in parts, revocations
// first. A part that becomes durable allows starts on exactly its own machines.
func TestGrantsAreWrittenInParts(t *testing.T) {
	cfg := &settings.Settings{Tunables: settings.Defaults()}
	state := cluster.New(cluster.TermStart{Cfg: cfg, Epoch: 2, Counts: &cluster.Counts{}})
	limits := eventlog.Limits{WriteRPS: 1e6, ValueBytes: maxValueBytes, TxnOps: 1}
	state.EventLog = eventlog.NewLog(limits, "lead/epoch", 1, 0, 0)
	component := New(state)
	state.Jobs.Add(eventlog.Job{ID: 1, Tasks: 1})
	var all []*workers.Machine
	for n := range 900 {
		machine := &workers.Machine{Number: 900000000 + n, Grants: map[uint64]bool{1: false}}
		all = append(all, machine)
		component.revoked[1] = append(component.revoked[1], machine.Number)
		component.newGrants[1] = append(component.newGrants[1], machine)
		component.grants[1] = append(component.grants[1], machine)
	}
	component.AppendEntries(0)
	durable := 0
	for revision := uint64(1); state.EventLog.PendingCount() > 0; revision++ {
		now := time.Duration(revision) * time.Second
		txn := state.EventLog.NextTransaction(now)
		if len(txn.Writes[0].Value) > maxValueBytes {
			t.Fatalf("value of %d bytes is larger than the limit", len(txn.Writes[0].Value))
		}
		entries, _ := state.EventLog.CommitResult(now, txn.Sequence, eventlog.Applied, revision, nil)
		for _, entry := range entries {
			component.EntryDurable(now, true, entry)
			durable += len(entry.Grant.Machines)
		}
		for i, machine := range all {
			if machine.Grants[1] != (i < durable) {
				t.Fatalf("with %d grants durable, machine %d may start tasks: %v", durable, i, machine.Grants[1])
			}
		}
	}
	if durable != 900 {
		t.Errorf("%d of 900 grants became durable", durable)
	}
}
