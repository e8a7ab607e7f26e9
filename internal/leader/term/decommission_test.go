package term

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/leader/registry"
)

// deletedMachines returns the machines that a term has deleted since its effects were last
// drained.
func deletedMachines(term *Term) []string {
	var out []string
	for _, e := range term.DrainEffects() {
		if d, ok := e.(effects.DeleteMachines); ok {
			out = append(out, d.Machines...)
		}
	}
	return out
}

// A machine that is returned empty is deleted only once a note of its return is durable. The
// next leader then neither waits for the machine nor holds jobs back because of it. A leader
// after that one does, because a term in between may have started tasks there.
func TestReturnedMachineIsDeletedOnceNoted(t *testing.T) {
	job := eventlog.Job{ID: 1, Team: "team", Tasks: 9, CPUs: 1, MemoryGB: 1}
	log := []eventlog.Entry{
		smallMachineType(),
		{Machine: &eventlog.Machine{Name: "host", Type: "m", Zone: "a", Number: 1}},
		{Job: &job},
		{Grant: &eventlog.Grant{Job: 1, Machines: []int{1}}},
	}
	term := newSmallTerm(log)
	m := term.Inventory.Find("host")
	if n, _ := term.Unresolved(); n != 1 || term.Jobs.ByID(1).UnresolvedMachines != 1 {
		t.Fatal("the machine is resolved from the start: the test would check nothing")
	}
	term.Decommission(0, m, cluster.Return, "not needed")
	term.Publish(cluster.Event{Kind: cluster.MachineReturnable, Machine: m})
	term.Tick(time.Second, true)
	if got := deletedMachines(term); len(got) != 0 {
		t.Errorf("deleted before the note is durable: %v", got)
	}
	now := time.Second
	noted := drainLog(t, term, &now)
	term.Tick(now+time.Second, true)
	if got := deletedMachines(term); len(got) != 1 {
		t.Errorf("machines deleted once the note is durable: %v, want one", got)
	}
	for termsBefore, resolved := range []bool{true, false} {
		t.Run(fmt.Sprintf("noted %d terms before", 1+termsBefore), func(t *testing.T) {
			next := newSmallTerm(slices.Concat(log, notedInEpoch(noted, 1-termsBefore))) // of epoch 2
			unresolved, _ := next.Unresolved()
			next.Tick(time.Second, true)
			deleted := len(deletedMachines(next)) == 1
			heldBack := next.Jobs.ByID(1).UnresolvedMachines != 0
			if deleted != resolved || (unresolved == 0) != resolved || heldBack == resolved {
				t.Errorf("deleted at once: %v, unresolved machines: %d, job held back: %v; want true, 0, false one term later only",
					deleted, unresolved, heldBack)
			}
		})
	}
}

// notedInEpoch returns a copy of the entries in which the registry's note of the returned
// machine carries the given epoch.
func notedInEpoch(entries []eventlog.Entry, epoch int) []eventlog.Entry {
	out := slices.Clone(entries)
	for i, e := range out {
		if e.Component != nil && e.Component.Name == registry.Name {
			note := json.RawMessage(fmt.Sprintf(`{"e":%d,"m":["host"]}`, epoch))
			out[i] = eventlog.Entry{Component: &eventlog.ComponentEntry{Name: registry.Name, Data: note}}
		}
	}
	return out
}

// A machine that has reported, but not with the new token, is drained and deleted without a
// note. Only its deletion proves that nothing of an earlier term is left on it.
func TestUnresolvedMachineIsDeletedWithoutNote(t *testing.T) {
	for _, resolved := range []bool{true, false} {
		t.Run(fmt.Sprintf("resolved %v", resolved), func(t *testing.T) {
			term := newSmallTerm([]eventlog.Entry{
				{MachineTypes: []eventlog.MachineType{
					{Name: "m", CPUs: 8, MemoryGB: 64, Price: 1, SpotPrice: 1, Zones: []string{"a"}},
				}},
				{Machine: &eventlog.Machine{Name: "host", Type: "m", Zone: "a", Number: 1}},
			})
			report := workers.Report{Machine: "host", Address: "x", Type: "m", Zone: "a", Session: 1, Seq: 1}
			if resolved {
				report.Token = term.Token
			}
			heartbeat := effects.RelayedHeartbeat{Via: "n", Life: 1, Report: report}
			term.HandleHeartbeat(0, true, 1, heartbeat)
			if noted, deleted := runUntilDeleted(term); !deleted || noted != resolved {
				t.Errorf("noted %v, deleted %v; want the machine deleted, and noted only if it is resolved", noted, deleted)
			}
		})
	}
}

// runUntilDeleted runs a term with one machine, which is not silent, until the term deletes
// the machine, for at most 15 seconds. noted reports whether the registry wrote a note first.
func runUntilDeleted(term *Term) (noted, deleted bool) {
	now := time.Duration(0)
	for range 60 {
		now += 250 * time.Millisecond
		term.Inventory.All()[0].LastHeartbeat = now
		term.Tick(now, true)
		term.Flush(now)
		for _, e := range term.DrainEffects() {
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
	return noted, deleted
}
