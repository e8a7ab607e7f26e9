package dispatch

import (
	"encoding/json"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

const (
	jobID         = 7
	jobTasks      = 40
	maxValueBytes = 600
)

// newTerm returns the component of a term with one job and two registered machines, numbered 1 and 2.
func newTerm(epoch uint64, log ...eventlog.Entry) *Component {
	cfg := &settings.Settings{Tunables: settings.Defaults()}
	cfg.Deployment.Teams = []settings.Team{{Name: "team"}}
	state := cluster.New(cluster.TermStart{Cfg: cfg, Epoch: epoch, Counts: &cluster.Counts{}})
	limits := eventlog.Limits{WriteRPS: 1e6, ValueBytes: maxValueBytes, TxnOps: 4}
	state.EventLog = eventlog.NewLog(limits, "lead/epoch", 1, 0, 0)
	state.Jobs.Add(eventlog.Job{ID: jobID, Team: "team", Tasks: jobTasks}).Phase = jobs.Open
	for i, name := range []string{"m1", "m2"} {
		state.Inventory.Add(&workers.Machine{Name: name, Number: i + 1, Durable: true, Session: 2, Capacity: resources.Room(64, 0, 64)})
	}
	state.Jobs.ByID(jobID).PushDispatch = true
	c := New(state)
	for _, entry := range log {
		c.Replay(0, entry)
	}
	c.Begin(0)
	return c
}

// plan plans a task on a machine, to be sent directly.
func plan(c *Component, task int32, machine string) *workers.Placement {
	ref := workers.TaskRef{Job: c.Jobs.ByID(jobID).Index, Task: task}
	p := &workers.Placement{Ref: ref, JobID: jobID, PushDispatch: true}
	c.Inventory.Find(machine).Plan(p)
	c.Placements[ref] = p
	c.DispatchQueue = append(c.DispatchQueue, p)
	return p
}

// commit makes everything durable that the component wants to write, and returns the entries.
func commit(t *testing.T, c *Component) (out []eventlog.Entry) {
	t.Helper()
	for revision := uint64(1); c.EventLog.PendingCount() > 0; revision++ {
		now := time.Duration(revision) * time.Second
		txn := c.EventLog.NextTransaction(now)
		for _, w := range txn.Writes {
			if len(w.Value) > maxValueBytes {
				t.Fatalf("a value has %d bytes, more than the limit", len(w.Value))
			}
		}
		entries, _ := c.EventLog.CommitResult(now, txn.Sequence, eventlog.Applied, revision, nil)
		for _, entry := range entries {
			c.EntryDurable(now, true, entry)
		}
		out = append(out, entries...)
	}
	return out
}

// boundTo returns the name of the machine on which a task must start, or "".
func boundTo(c *Component, task int32) string {
	if p := c.AwaitingRestart[workers.TaskRef{Job: c.Jobs.ByID(jobID).Index, Task: task}]; p != nil {
		return p.Machine.Name
	}
	return ""
}

// TestNextTermKnowsWhereTasksWereSent guards against a leader that starts a task elsewhere although its
// predecessor has sent a start of it to a machine that may still carry it out.
func TestNextTermKnowsWhereTasksWereSent(t *testing.T) {
	c := newTerm(2)
	var plans []*workers.Placement
	for task := range int32(jobTasks) {
		plans = append(plans, plan(c, task, []string{"m1", "m2"}[task%2]))
	}
	c.AppendEntries(0)
	if c.records.allows(plans[3].Ref, plans[3].Machine) {
		t.Error("a task may be sent before its record is durable")
	}
	log := commit(t, c)
	for _, p := range plans {
		if !c.records.allows(p.Ref, p.Machine) {
			t.Errorf("task %d may not be sent although its record is durable", p.Ref.Task)
		}
	}
	next := newTerm(3, log...)
	for task := range int32(jobTasks) {
		if got, want := boundTo(next, task), []string{"m1", "m2"}[task%2]; got != want {
			t.Errorf("task %d is bound to %q, want %q", task, got, want)
		}
	}
	if job := next.Jobs.ByID(jobID); job.Waiting != 0 || job.Placed != jobTasks {
		t.Errorf("%d tasks wait and %d are placed", job.Waiting, job.Placed)
	}
}

// TestCompactionKeepsCurrentRecords: a compaction keeps the latest record of each unfinished task, also if an
// older one that names another machine is compacted later, and drops those of deleted machines.
func TestCompactionKeepsCurrentRecords(t *testing.T) {
	c := newTerm(2)
	moved, finished, stays := plan(c, 0, "m1"), plan(c, 1, "m1"), plan(c, 2, "m2")
	c.AppendEntries(0)
	log := commit(t, c)
	c.DispatchQueue = nil
	moved.Machine.RemovePlacement(moved.Ref) // its plan is cancelled before it is sent
	plan(c, 0, "m2")
	c.AppendEntries(0)
	log = append(log, commit(t, c)...)
	c.Jobs.ByID(jobID).MarkDurable(int(finished.Ref.Task))
	for i := len(log) - 1; i >= 0; i-- {
		c.Compact(0, log[i])
	}
	c.CompactionDone()
	kept := commit(t, c)

	next := newTerm(3, kept...)
	if got := []string{boundTo(next, 0), boundTo(next, 1), boundTo(next, stays.Ref.Task)}; got[0] != "m2" || got[1] != "" || got[2] != "m2" {
		t.Errorf("the tasks are bound to %q", got)
	}
	c.Inventory.Remove("m2")
	for _, entry := range kept {
		c.Compact(0, entry)
	}
	if left := commit(t, c); len(left) > 0 {
		t.Errorf("%d records of deleted machines are kept", len(left))
	}
}

// TestNextTermKnowsFirstSessionStarts guards against a leader that reports a job as cancelled although a machine to
// which its predecessor sent a start in the worker's first session still exists, also if the task is done or the log
// was compacted.
func TestNextTermKnowsFirstSessionStarts(t *testing.T) {
	c := newTerm(2)
	c.Inventory.Find("m1").Session = workers.FirstSession
	finished := plan(c, 0, "m1")
	plan(c, 1, "m2")
	c.AppendEntries(0)
	log := commit(t, c)
	awaited := func(c *Component, machine string) bool {
		return c.FirstSessionStarts[c.Jobs.ByID(jobID).Index][c.Inventory.Find(machine)]
	}
	c.Jobs.ByID(jobID).MarkDurable(int(finished.Ref.Task))
	for _, entry := range log {
		c.Compact(0, entry)
	}
	c.CompactionDone()
	for name, entries := range map[string][]eventlog.Entry{"as written": log, "compacted": commit(t, c)} {
		next := newTerm(3, entries...)
		if !awaited(next, "m1") || awaited(next, "m2") {
			t.Errorf("%s: m1 is awaited: %v, m2: %v", name, awaited(next, "m1"), awaited(next, "m2"))
		}
		next.HandleEvent(cluster.Event{Kind: cluster.MachineProvedGone, Machine: next.Inventory.Find("m1")})
		if len(next.FirstSessionStarts) > 0 {
			t.Errorf("%s: a deleted machine is awaited", name)
		}
	}
}

// TestRecordOfEarlierVersion: a record that does not tell the session counts as sent in the first one.
func TestRecordOfEarlierVersion(t *testing.T) {
	entry := eventlog.NewComponentEntry(Name, json.RawMessage(`{"r":[{"j":7,"m":2,"f":0,"t":3}]}`))
	c := newTerm(3, entry)
	if !c.FirstSessionStarts[c.Jobs.ByID(jobID).Index][c.Inventory.Find("m2")] {
		t.Error("a cancellation of the job does not await the machine's deletion")
	}
}

// TestRestartBeforeDispatch guards against a start that is sent in a worker's first session although its record
// allows it only in a later one, since the worker was restarted in between.
func TestRestartBeforeDispatch(t *testing.T) {
	c := newTerm(2)
	p := plan(c, 0, "m1")
	c.AppendEntries(0)
	commit(t, c)
	c.Jobs.ByID(jobID).PushDispatch = false
	if !c.records.allows(p.Ref, p.Machine) {
		t.Error("the start is not allowed although its record is durable")
	}
	p.Machine.Session = workers.FirstSession
	if c.records.allows(p.Ref, p.Machine) {
		t.Error("the start is allowed in the first session")
	}
	c.AppendEntries(0)
	commit(t, c)
	if c.records.allows(p.Ref, p.Machine) {
		t.Error("a start of a job that is not pushed in the first session is allowed")
	}
	c.Jobs.ByID(jobID).PushDispatch = true
	c.AppendEntries(0)
	commit(t, c)
	if !c.records.allows(p.Ref, p.Machine) {
		t.Error("the start is not allowed although a record for the first session is durable")
	}
}
