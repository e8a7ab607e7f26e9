package placement

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

const (
	jobTasks      = 100  // tasks of each job
	maxValueBytes = 2048 // maximum bytes of an entry's value
)

// newTermComponent returns the component of a term of this epoch, with jobs of jobTasks tasks
// each.
func newTermComponent(epoch uint64, noteTasks int, jobCount int) *Component {
	cfg := &settings.Settings{Tunables: settings.Defaults()}
	cfg.Tunables.WriteMarks = noteTasks
	state := cluster.New(cluster.TermStart{Cfg: cfg, Epoch: epoch, Counts: &cluster.Counts{}})
	limits := eventlog.Limits{WriteRPS: 1e6, ValueBytes: maxValueBytes, TxnOps: 4}
	state.EventLog = eventlog.NewLog(limits, "lead/epoch", 1, 0, 0)
	for id := range jobCount {
		addOpenJob(state, uint64(id+1))
	}
	return New(state)
}

func addOpenJob(state *cluster.State, id uint64) {
	state.Jobs.Add(eventlog.Job{ID: id, Tasks: jobTasks}).Phase = jobs.Open
}

// beginTerm returns the component of a term that has replayed a log and begun.
func beginTerm(epoch uint64, noteTasks, jobCount int, log []eventlog.Entry) *Component {
	component := newTermComponent(epoch, noteTasks, jobCount)
	for _, entry := range log {
		component.Replay(0, entry)
	}
	component.Begin(0)
	return component
}

// commitAll commits everything that a component wants to write, and returns the entries.
func commitAll(t *testing.T, component *Component) (out []eventlog.Entry) {
	t.Helper()
	component.AppendEntries(0)
	for revision := uint64(1); component.EventLog.PendingCount() > 0; revision++ {
		now := time.Duration(revision) * time.Second
		txn := component.EventLog.NextTransaction(now)
		for _, w := range txn.Writes {
			if len(w.Value) > maxValueBytes {
				t.Fatalf("value of %d bytes is larger than the limit", len(w.Value))
			}
		}
		entries, _ := component.EventLog.CommitResult(now, txn.Sequence, eventlog.Applied, revision, nil)
		for _, entry := range entries {
			component.EntryDurable(now, true, entry)
		}
		out = append(out, entries...)
	}
	return out
}

// planJob3 plans a task of the job that logOfTwoTerms adds in its second term.
func planJob3(component *Component, task int32) *workers.Placement {
	ref := workers.TaskRef{Job: component.Jobs.ByID(3).Index, Task: task}
	plan := &workers.Placement{Ref: ref, JobID: 3}
	component.markPlan(plan)
	return plan
}

func unassignedFrom(component *Component, id uint64) int {
	return component.Jobs.ByID(id).UnassignedFrom
}

// logOfTwoTerms returns the log of two terms. The first term leaves marks for two jobs. In the
// second term, tasks 0 and 8 of job 3 may be offered; the mark for its task 9 is never written.
func logOfTwoTerms(t *testing.T) []eventlog.Entry {
	t.Helper()
	first := beginTerm(1, 1, 2, nil)
	if got := unassignedFrom(first, 1); got != jobTasks {
		t.Errorf("without marks of earlier terms, job 1 counts as unassigned from task %d on", got)
	}
	log := commitAll(t, first)

	second := beginTerm(2, 1, 2, log)
	addOpenJob(second.State, 3)
	plan0, plan8 := planJob3(second, 0), planJob3(second, 8)
	if plan0.IntentDurable || plan8.IntentDurable {
		t.Error("a plan may be offered before its mark is durable")
	}
	log = append(log, commitAll(t, second)...)
	if !plan0.IntentDurable || !plan8.IntentDurable {
		t.Error("a plan may not be offered although its mark is durable")
	}
	if planJob3(second, 9).IntentDurable {
		t.Error("a task beyond the mark may be offered")
	}
	return log
}

// A task may be offered once a mark beyond it is durable. From the marks the next term
// determines which tasks were never handed out.
func TestNextTermRestoresUnassignedTasksFromMarks(t *testing.T) {
	next := beginTerm(3, 1, 3, logOfTwoTerms(t))
	if a, b := unassignedFrom(next, 1), unassignedFrom(next, 3); a != jobTasks || b != 9 {
		t.Errorf("jobs 1 and 3 count as unassigned from tasks %d and %d on, want %d and 9", a, b, jobTasks)
	}
}

// If the span of terms that wrote marks is broken, all tasks count as handed out.
func TestBrokenSpanCountsAllTasksAsHandedOut(t *testing.T) {
	log := logOfTwoTerms(t)
	unreadable := eventlog.Entry{Component: &eventlog.ComponentEntry{Name: Name, Data: json.RawMessage(`7`)}}
	for name, component := range map[string]*Component{
		"a term in between without marks": beginTerm(4, 1, 3, log),
		"an unreadable entry":             beginTerm(3, 1, 3, append(log[:len(log):len(log)], unreadable)),
	} {
		t.Run(name, func(t *testing.T) {
			for id := uint64(1); id <= 3; id++ {
				if got := unassignedFrom(component, id); got != jobTasks {
					t.Errorf("job %d counts as unassigned from task %d on", id, got)
				}
			}
		})
	}
}

// With marks switched off, nothing is written and no plan waits.
func TestMarksSwitchedOff(t *testing.T) {
	off := beginTerm(3, 0, 3, logOfTwoTerms(t))
	if plan := planJob3(off, 50); !plan.IntentDurable || len(commitAll(t, off)) != 0 {
		t.Error("marks are switched off, but an entry is written or a plan waits")
	}
}

// After a compaction the log has the marks and the one span of the term that compacted it.
func TestCompactionKeepsMarksAndOneSpan(t *testing.T) {
	log := logOfTwoTerms(t)
	next := beginTerm(3, 1, 3, log)
	commitAll(t, next)
	for _, entry := range log {
		next.Compact(0, entry)
	}
	next.CompactionDone()
	kept := commitAll(t, next)
	spans := 0
	for _, entry := range kept {
		var own markEntry
		if err := json.Unmarshal(entry.Component.Data, &own); err != nil {
			t.Fatal(err)
		}
		if own.To > 0 {
			spans++
		}
	}
	if after := beginTerm(4, 1, 3, kept); spans != 1 || unassignedFrom(after, 3) != 9 {
		t.Errorf("after the compaction: %d spans, job 3 counts as unassigned from task %d on", spans, unassignedFrom(after, 3))
	}
}

// Marks of many jobs are written in parts that fit into an entry.
func TestMarksOfManyJobsAreWrittenInParts(t *testing.T) {
	component := newTermComponent(2, 1, 500)
	component.Begin(0)
	if got := commitAll(t, component); len(got) < 3 {
		t.Errorf("%d entries, want at least 3", len(got))
	}
	for id, mark := range component.marks.durable {
		if mark != jobTasks {
			t.Fatalf("job %d has mark %d", id, mark)
		}
	}
}

// An unresolved machine counts against the teams whose tasks it may have, and against all teams
// if those are not known.
func TestUnresolvedMachinesCountAgainstTeams(t *testing.T) {
	state := newTermComponent(2, 1, 0).State
	for _, team := range []string{"a", "b", "c"} {
		state.Teams.Index(team)
		state.Scheduler.AddTeam()
	}
	for id := range 3 {
		state.Jobs.Add(eventlog.Job{ID: uint64(id + 1), Tasks: 1}).Team = int32(id)
	}
	state.Jobs.RecordFinalPhase(8, jobs.Done)
	state.Jobs.RecordFinalPhase(9, jobs.Cancelled)
	for n := range 5 {
		m := state.Inventory.Add(&workers.Machine{Name: fmt.Sprint(n), Number: n + 1, Durable: true})
		m.Capacity.CPU = 1 << n
		if n == 4 {
			m.Number = 0 // registered by a version that writes no grants
		}
	}
	component := New(state)
	for n, grants := range [][]uint64{{}, {1}, {1, 2, 8}, {9}} {
		for _, id := range grants {
			component.Replay(0, eventlog.Entry{Grant: &eventlog.Grant{Job: id, Machines: []int{n + 1}}})
		}
	}
	component.Begin(0)
	for team, want := range []int64{2 + 4 + 8 + 16, 4 + 8 + 16, 8 + 16} {
		if got := state.Snapshot(0).UnresolvedUse[team].CPU; got != want {
			t.Errorf("unresolved use of team %d is %d, want %d", team, got, want)
		}
	}
	for _, m := range state.Inventory.All() {
		state.RemoveUnresolved(m)
	}
	for team, use := range state.Snapshot(0).UnresolvedUse {
		if use.CPU != 0 {
			t.Errorf("unresolved use of team %d is %d after all machines were resolved", team, use.CPU)
		}
	}
}
