package placement

import (
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

// Grants of more machines than an entry of 2 KiB has room for are written in
// parts, those taken back first; a part that is durable lets exactly its own
// machines start.
func TestGrantsAreWrittenInParts(t *testing.T) {
	s := cluster.New(cluster.TermStart{Cfg: &settings.Settings{Tunables: settings.Defaults()}, Epoch: 2, Counts: &cluster.Counts{}})
	s.EventLog = eventlog.NewLog(eventlog.Limits{WriteRPS: 1e6, ValueBytes: 2048, TxnOps: 1}, "lead/epoch", 1, 0, 0)
	d := New(s)
	s.Jobs.Add(eventlog.Job{ID: 1, Tasks: 1})
	var all []*workers.Machine
	for n := range 900 {
		m := &workers.Machine{Number: 900000000 + n, Grants: map[uint64]bool{1: false}}
		all = append(all, m)
		d.revoked[1] = append(d.revoked[1], m.Number)
		d.newGrants[1], d.grants[1] = append(d.newGrants[1], m), append(d.grants[1], m)
	}
	d.AppendEntries(0)
	durable := 0
	for mark := uint64(1); s.EventLog.Pending() > 0; mark++ {
		now := time.Duration(mark) * time.Second
		txn := s.EventLog.NextTransaction(now)
		if len(txn.Writes[0].Value) > 2048 {
			t.Fatalf("a value of %d bytes", len(txn.Writes[0].Value))
		}
		facts, _ := s.EventLog.CommitResult(now, txn.Sequence, eventlog.Applied, mark, nil)
		for _, e := range facts {
			d.EntryDurable(now, true, e)
			durable += len(e.Grant.Machines)
		}
		for i, m := range all {
			if m.Grants[1] != (i < durable) {
				t.Fatalf("with %d grants durable, machine %d may start tasks: %v", durable, i, m.Grants[1])
			}
		}
	}
	if durable != 900 {
		t.Errorf("%d of 900 grants", durable)
	}
}
