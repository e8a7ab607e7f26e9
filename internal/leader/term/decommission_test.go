package term

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
	"bitternmoor/internal/leader/registry"
)

// deletedMachines lists the machines that a term has deleted since.
func deletedMachines(term *Term) []string {
	var out []string
	for _, e := range term.TakeEffects() {
		if d, ok := e.(effects.DeleteMachines); ok {
			out = append(out, d.Machines...)
		}
	}
	return out
}

// A machine that is returned empty is deleted only once that is noted, and the
// next leader neither waits for it nor holds jobs back for what it may have. A
// later one does: a term in between may have started tasks there.
func TestReturnedMachineIsDeletedOnceNoted(t *testing.T) {
	job := eventlog.Job{ID: 1, Team: "team", Tasks: 9, CPUs: 1, MemoryGB: 1}
	log := []eventlog.Entry{{MachineTypes: []eventlog.MachineType{{Name: "m", CPUs: 8, MemoryGB: 64, Zones: []string{"a"}}}},
		{Machine: &eventlog.Machine{Name: "host", Type: "m", Zone: "a", Number: 1}}, {Job: &job}, {Grant: &eventlog.Grant{Job: 1, Machines: []int{1}}}}
	term := newSmallTerm(log)
	m := term.Inventory.Find("host")
	if n, _ := term.Unresolved(); n != 1 || term.Jobs.Find(1).UnresolvedMachines != 1 {
		t.Fatal("the machine is not waited for: the test tests nothing")
	}
	term.Decommission(0, m, cluster.Return, "not needed")
	term.Publish(cluster.Event{Kind: cluster.MachineReturnable, Machine: m})
	term.Tick(time.Second, true)
	if got := deletedMachines(term); len(got) != 0 {
		t.Errorf("deleted before it is noted: %v", got)
	}
	now := time.Second
	noted := drainLog(t, term, &now)
	term.Tick(now+time.Second, true)
	if got := deletedMachines(term); len(got) != 1 {
		t.Errorf("once it is noted, %v is deleted", got)
	}
	for back, free := range []bool{true, false} {
		again := append([]eventlog.Entry{}, log...)
		for _, e := range noted {
			if e.Component != nil && e.Component.Duty == registry.Name {
				e = eventlog.Entry{Component: &eventlog.ComponentEntry{Duty: registry.Name, Data: json.RawMessage(fmt.Sprintf(`{"e":%d,"m":["host"]}`, 1-back))}}
			}
			again = append(again, e)
		}
		next := newSmallTerm(again) // of epoch 2
		n, _ := next.Unresolved()
		next.Tick(time.Second, true)
		if gone := len(deletedMachines(next)) == 1; gone != free || (n == 0) != free || (next.Jobs.Find(1).UnresolvedMachines == 0) != free {
			t.Errorf("noted %d terms before: deleted at once %v, %d machines are waited for", 1+back, gone, n)
		}
	}
}

// A machine that has reported, but not at the new token, is drained and deleted
// without a note: only the deletion proves what an earlier term left on it.
func TestUnresolvedIsNotNotedAsEmpty(t *testing.T) {
	for _, resolved := range []bool{true, false} {
		log := []eventlog.Entry{{MachineTypes: []eventlog.MachineType{{Name: "m", CPUs: 8, MemoryGB: 64, Price: 1, SpotPrice: 1, Zones: []string{"a"}}}},
			{Machine: &eventlog.Machine{Name: "host", Type: "m", Zone: "a", Number: 1}}}
		term := newSmallTerm(log)
		r := workers.Report{Machine: "host", Address: "x", Type: "m", Zone: "a", Session: 1, Seq: 1}
		if resolved {
			r.Token = term.Token
		}
		now := time.Duration(0)
		term.HandleHeartbeat(now, true, 1, effects.RelayedHeartbeat{Via: "n", Life: 1, Report: r})
		noted, deleted := false, false
		for range 60 {
			now += 250 * time.Millisecond
			term.Inventory.All()[0].LastHeartbeat = now // it is not silent
			term.Tick(now, true)
			term.Flush(now)
			for _, e := range term.TakeEffects() {
				switch e := e.(type) {
				case effects.DeleteMachines:
					deleted = true
				case effects.Commit:
					for _, w := range e.Txn.Writes {
						noted = noted || strings.Contains(string(w.Value), `"d":"roster"`)
					}
					term.Committed(now, true, e.Txn.Sequence, eventlog.Applied, uint64(now), nil)
				}
			}
			if deleted {
				break
			}
		}
		if !deleted || noted != resolved {
			t.Errorf("resolved %v: noted %v, deleted %v", resolved, noted, deleted)
		}
	}
}
