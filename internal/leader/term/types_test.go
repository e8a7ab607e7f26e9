package term

import (
	"testing"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

// A compaction can move machine types behind the jobs that name them in the log. The types
// that a job may use are therefore resolved only after the whole log has been replayed.
func TestReplayResolvesTypesAfterJobs(t *testing.T) {
	c := &settings.Settings{Tunables: settings.Defaults()}
	c.Deployment.Teams = []settings.Team{{Name: "team"}}
	c.Deployment.State.WriteRPS, c.Deployment.State.ValueKB, c.Deployment.State.TxnOps = 10, 8, 12
	term := New(cluster.TermStart{Cfg: c, Epoch: 2, Counts: &cluster.Counts{}})
	job := &eventlog.Job{ID: 1, Team: "team", Tasks: 2, CPUs: 1, MemoryGB: 8, Types: []string{"large"}}
	term.Load(0, 1, LoadedLog{First: 1, Last: 2, Entries: []eventlog.Entry{
		{Job: job},
		{MachineTypes: []eventlog.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8}}},
		{MachineTypes: []eventlog.MachineType{{Name: "large", CPUs: 16, MemoryGB: 64}}},
	}})
	j := term.Jobs.ByID(1)
	if len(j.AllowedTypes) != 2 || j.AllowedTypes[0] || !j.AllowedTypes[1] {
		t.Errorf("the job may use %v, want only the second type", j.AllowedTypes)
	}
	if j.CPUShare != 2 { // 8 of the 64 GB leave 8 tasks for 16 processors
		t.Errorf("a task takes up %v processors, want 2", j.CPUShare)
	}
}
