package failover

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

// newComponent returns the component of a term that has replayed ten registered machines and a job
// that may have tasks on all of them.
func newComponent(metrics *cluster.Metrics) *Component {
	s := cluster.New(cluster.TermStart{
		Cfg:                   &settings.Settings{Tunables: settings.Defaults()},
		ClockOriginUnixMS:     1e6,
		Epoch:                 7,
		LastLeaderHeartbeatAt: 9 * time.Second,
		LeaderLossDetectedAt:  10 * time.Second,
		TermBegan:             11 * time.Second,
		Counts:                &cluster.Counts{},
		Metrics:               metrics,
	})
	s.EventLog = eventlog.NewLog(eventlog.Limits{WriteRPS: 1e6, ValueBytes: 8192, TxnOps: 4}, "lead/epoch", 1, 0, 0)
	j := s.Jobs.Add(eventlog.Job{ID: 1, Tasks: 20})
	j.Phase, j.FromEarlierTerm, j.UnresolvedMachines = 2, true, 10
	for n := range 10 {
		s.Inventory.Add(&workers.Machine{Name: fmt.Sprint(n), Durable: true, Number: n + 1})
	}
	d := New(s, 3)
	for _, epoch := range []uint64{3, 4, 5, 5, 6} { // 5 occurs twice, as after an unfinished compaction
		d.Replay(0, entryWith(`{"e":%d,"n":"n1","s":[1,2,3,4,5,6,-1,7]}`, epoch))
	}
	d.Begin(12 * time.Second)
	return d
}

// entryWith returns an entry of the component with a record given as JSON.
func entryWith(format string, args ...any) eventlog.Entry {
	data := json.RawMessage(fmt.Sprintf(format, args...))
	return eventlog.Entry{Component: &eventlog.ComponentEntry{Name: Name, Data: data}}
}

// showRecords returns the records that operators see.
func showRecords(t *testing.T, d *Component) []Record {
	t.Helper()
	raw, err := d.Show(0, "")
	if err != nil {
		t.Fatal(err)
	}
	var list []Record
	if err := json.Unmarshal(raw, &list); err != nil {
		t.Fatal(err)
	}
	return list
}

// Each step of a failover is recorded with its time. In the end one entry is written, one line
// is logged, and each step is observed once in the histogram.
func TestFailoverIsRecordedStepByStep(t *testing.T) {
	var metrics cluster.Metrics
	d := newComponent(&metrics)
	at := func(s int) time.Duration { return time.Duration(s) * time.Second }
	all := d.Inventory.All()
	for i, m := range all {
		report := &workers.Report{Token: m.Token}
		d.HandleEvent(cluster.Event{Kind: cluster.HeartbeatApplied, At: at(13 + i), Machine: m, Report: report})
		m.Resolved = true
		d.Jobs.ByID(1).UnresolvedMachines--
		d.HandleEvent(cluster.Event{Kind: cluster.MachineResolved, At: at(13 + i), Machine: m})
		d.Tick(at(13+i), true)
		if n := d.EventLog.PendingCount(); n != 0 {
			t.Fatalf("%d entries were written after %d machines, want none yet", n, i+1)
		}
	}
	d.HandleEvent(cluster.Event{Kind: cluster.TaskPlaced, At: at(24), Machine: all[0]})
	d.Tick(at(25), true)
	d.Tick(at(26), true)
	if n := d.EventLog.PendingCount(); n != 1 {
		t.Fatalf("%d entries were written, want one", n)
	}
	list := showRecords(t, d)
	if len(list) != 3 || list[0].Epoch != 7 || list[1].Epoch != 6 || list[2].Epoch != 5 {
		t.Fatalf("records are %+v, want epochs 7, 6, 5", list)
	}
	got := list[0]
	if got.Machines != 10 || got.Jobs != 1 || got.HeldBack != 1 || got.SilentMS != 1000 || got.AtMS != 1e6+10e3 {
		t.Errorf("unexpected record: %+v", got)
	}
	wantSeconds := map[Step]int64{
		Elected:        1,
		LogRead:        2,
		FirstHeartbeat: 3,
		HalfResolved:   7,
		NinetyResolved: 11,
		AllResolved:    12,
		FirstStart:     14,
		JobsUnblocked:  12,
	}
	for s, want := range wantSeconds {
		if ms := got.After[s.String()]; ms != want*1000 {
			t.Errorf("%v was reached after %d ms, want %d s", s, ms, want)
		}
	}
	h := metrics.All()
	if len(h) != 1 || len(h[0].Series) != int(stepCount) || h[0].Series[0].Count != 1 {
		t.Errorf("unexpected histogram: %+v", h)
	}
	logged := 0
	for _, e := range d.DrainEffects() {
		if n, ok := e.(effects.LogMessage); ok && n.Message == "takeover" {
			logged++
		}
	}
	if logged != 1 {
		t.Errorf("%d lines were logged, want one", logged)
	}
}

// The record is completed, without the missing steps, even if machines are never resolved or
// no task is waiting to be started.
func TestRecordIsCompletedWithoutMissingSteps(t *testing.T) {
	d := newComponent(&cluster.Metrics{})
	d.Tick(12*time.Second+maxRecordingTime, true)
	if list := showRecords(t, d); d.EventLog.PendingCount() != 1 || len(list[0].After) != 2 {
		t.Errorf("%d entries were written, want one; record is %+v", d.EventLog.PendingCount(), list[0])
	}
	d = newComponent(&cluster.Metrics{})
	for _, m := range d.Inventory.All() {
		m.Resolved = true
		d.HandleEvent(cluster.Event{Kind: cluster.MachineResolved, At: 14 * time.Second, Machine: m})
	}
	first := d.Inventory.All()[0]
	d.HandleEvent(cluster.Event{Kind: cluster.HeartbeatApplied, At: 14 * time.Second, Machine: first, Report: &workers.Report{}})
	d.Jobs.ByID(1).UnresolvedMachines = 0
	d.Tick(14*time.Second, true)
	if d.EventLog.PendingCount() != 0 {
		t.Error("record was completed before the first start could happen")
	}
	d.Tick(14*time.Second+firstStartTimeout, false)
	if d.EventLog.PendingCount() != 0 {
		t.Error("record was completed by a leader without a valid lease")
	}
	d.Tick(14*time.Second+firstStartTimeout, true)
	if list := showRecords(t, d); d.EventLog.PendingCount() != 1 || len(list[0].After) != int(stepCount)-1 {
		t.Errorf("%d entries were written, want one; record is %+v", d.EventLog.PendingCount(), list[0])
	}
}

// Compaction keeps only the records that the component keeps. An entry that cannot be read is
// logged and dropped.
func TestCompactionKeepsTheLastRecords(t *testing.T) {
	d := newComponent(&cluster.Metrics{})
	for epoch := range 8 {
		d.Compact(0, entryWith(`{"e":%d}`, epoch))
	}
	if n := d.EventLog.PendingCount(); n != 3 {
		t.Errorf("%d records were kept, want 3", n)
	}
	d.DrainEffects()
	d.Compact(0, entryWith(`{"e":"x"}`))
	out := d.DrainEffects()
	if len(out) != 1 || !strings.Contains(out[0].(effects.LogMessage).Message, "cannot be read") {
		t.Errorf("unexpected effects: %+v", out)
	}
	if n := d.EventLog.PendingCount(); n != 3 {
		t.Errorf("%d records were kept after an unreadable one, want 3", n)
	}
}
