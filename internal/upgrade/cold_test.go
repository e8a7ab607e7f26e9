//go:build upgrade

package upgrade

import (
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"path/filepath"
	"testing"
	"time"

	"bitternmoor/internal/leader/coldstart"
	"bitternmoor/internal/leader/rebalance"
	"bitternmoor/internal/scaletest/standin"
)

// testbed has three controllers of the current version with the settings for cold starts, and simulated
// workers, cloud and state service.
type testbed struct {
	*cluster
	fleet  *standin.Fleet
	store  *standin.StateService
	cloud  *standin.Cloud
	binary string
}

// newTestbed starts a testbed; args are further arguments of the controllers.
func newTestbed(t *testing.T, args ...string) *testbed {
	tb := newStoppedTestbed(t, args...)
	for i := range 3 {
		tb.start(i, tb.binary)
	}
	tb.leader()
	return tb
}

// newStoppedTestbed returns a testbed whose controllers are not started yet.
func newStoppedTestbed(t *testing.T, args ...string) *testbed {
	tb := &testbed{store: &standin.StateService{}, cloud: &standin.Cloud{}, binary: filepath.Join(t.TempDir(), "bitternmoor")}
	runCommand(t, root, "go", "build", "-o", tb.binary, "./cmd/bitternmoor")
	state, clouds := httptest.NewServer(tb.store), httptest.NewServer(tb.cloud)
	t.Cleanup(state.Close)
	t.Cleanup(clouds.Close)
	tb.cluster = newCluster(t, state.Listener.Addr().String(), clouds.Listener.Addr().String())
	tb.extraArgs = func(int) []string {
		return append([]string{"--tunables", filepath.Join(root, "deploy/cold-start.ini")}, args...)
	}
	tb.fleet = &standin.Fleet{ReportInterval: 500 * time.Millisecond, Lease: 10 * time.Second,
		JobDuration: func(id string) (time.Duration, []string) { return tb.job(id).run, nil },
		TaskCount:   func(id string) int { return tb.job(id).tasks }}
	for _, d := range tb.publicAddrs {
		tb.fleet.Controllers = append(tb.fleet.Controllers, "http://"+d)
	}
	tb.cloud.OnMachineUp, tb.cloud.OnMachineDeleted = tb.fleet.StartWorker, tb.fleet.StopWorker
	return tb
}

// TestColdStarts kills all three controllers at once under load, ten times, for less and for longer than a
// lease. Meanwhile a third of the busy workers is preempted or paused, some for longer than their lease.
// The controllers come back one by one. No task may run twice, every job must be done, no reachable worker
// may be given up, and reports must be spread evenly afterwards.
func TestColdStarts(t *testing.T) {
	tb := newTestbed(t, "--set", "spread.moves=4", "--set", "served.window=120", "--set", "exceptions.served_floor=0.5")
	c, fleet, store, cloud, binary := tb.cluster, tb.fleet, tb.store, tb.cloud, tb.binary
	r := rand.New(rand.NewPCG(1, 22))
	var ids []string
	n, disrupted := 0, 0
	for round := range 10 {
		for range 8 {
			n++
			ids = append(ids, c.submit(n, 8, time.Duration(2+r.IntN(8))*time.Second))
		}
		time.Sleep(3 * time.Second)
		for i := range 3 {
			c.kill(i)
		}
		seen := map[string]bool{}
		for _, m := range fleet.BusyMachines() {
			if seen[m] {
				continue
			}
			if seen[m] = true; len(seen)%3 != 0 {
				continue
			}
			switch disrupted++; r.IntN(3) {
			case 0: // preempted by the cloud, and no longer in its list
				cloud.PreemptMachine(m)
			case 1:
				fleet.PauseWorker(m, 3*time.Second)
			default:
				fleet.PauseWorker(m, 13*time.Second) // longer than its lease
			}
		}
		time.Sleep([]time.Duration{time.Second, 4 * time.Second, 12 * time.Second}[round%3])
		for _, i := range r.Perm(3) {
			c.start(i, binary)
			time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
		}
		c.leader()
	}
	for _, id := range ids {
		c.eventually(id+" is done", 120*time.Second, func() bool { return c.state(id) == "done" })
	}
	for _, b := range append(fleet.BrokenRules(), store.RefusedTransactions()...) {
		t.Error(b)
	}
	var loads []rebalance.View
	n++
	ids = append(ids, c.submit(n, 120, 20*time.Second)) // its machines report to the controller they reach first
	c.eventually("reports are spread evenly", 60*time.Second, func() bool {
		if getJSON(fmt.Sprintf("http://%s/duties/%s", c.internalAddrs[c.leader()], rebalance.Name), &loads) != 200 || len(loads) != 3 {
			return false
		}
		machines, most := 0, 0.0
		for _, l := range loads {
			machines += l.Machines
			most = max(most, l.Load)
		}
		return machines >= 8 && most <= 1.4 // with a dozen machines, one more changes the load much
	})
	t.Logf("spread: %+v", loads)
	var list []coldstart.Record
	c.eventually("the record of the cold start", 10*time.Second, func() bool {
		return getJSON(fmt.Sprintf("http://%s/duties/%s", c.internalAddrs[c.leader()], coldstart.Name), &list) == 200 && len(list) > 0
	})
	t.Logf("%d jobs, %d workers preempted or paused; the last cold start: %+v", len(ids), disrupted, list[0])
	if list[0].Needless[coldstart.DeletedAlive] > 0 || disrupted < 20 {
		t.Errorf("workers given up although alive: %v; %d workers preempted or paused", list[0].Needless, disrupted)
	}
}
