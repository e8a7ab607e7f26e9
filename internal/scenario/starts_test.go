package scenario

import (
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/settings"
)

// TestStartsWaitForGrants guards against starts without a durable grant, which the next leader would not
// find. The state service refuses only the leader just before machines become free, so the next job's
// grants cannot be written. Then the leader crashes, and its successor does not hear one of the machines
// for a while: no task may have been started there.
func TestStartsWaitForGrants(t *testing.T) {
	runSeeds(t, 12, func(t *testing.T, seed uint64) *sim {
		h := newHarness(t, seed, nil)
		h.cloud.capacity = 4
		first := h.submitJob(60*time.Second, eventlog.Job{Tasks: 4, CPUs: 4, Priority: 1, Spot: true})
		h.pollAll(time.Second)
		h.awaitRunning(first, 4)
		nextJob := h.submitJob(60*time.Second, eventlog.Job{Tasks: 4, CPUs: 2, Priority: 1, Spot: true})
		h.run(3 * time.Second)
		h.cloud.capacity, h.cloud.bootTime = 12, 0 // so that the next job can start elsewhere
		firstEnd := time.Hour
		for k := range 4 {
			firstEnd = min(firstEnd, h.runEnds[task{first.id, k}])
		}
		h.run(firstEnd - h.now - time.Duration(seed%4*150)*time.Millisecond)
		leader := h.awaitLeader()
		h.state.refused[leader.name] = true
		h.run(1700 * time.Millisecond)
		if h.check.allCompleted(first.id) || h.runningTasks(first.id) < 4 {
			h.cover("machines free while the leader is refused")
		}
		h.injectMachineFault("packets held", append(h.machinesWithTasks(nextJob), h.machines()...)[:1], 12*time.Second)
		leader.crash()
		h.state.refused = map[string]bool{}
		h.faults.restartAfter(leader, 8*time.Second)
		h.run(20 * time.Second)
		return h.endFaultsAndSettle(5 * time.Minute)
	}, "machines free while the leader is refused")
}

// TestBlockHolderRestart guards against offers that are taken up twice. Controllers that hold blocks restart
// within a tenth of a second, while they start tasks on machines of their block other than those with
// reserved room. The new process does not know which offers the previous one has taken up.
func TestBlockHolderRestart(t *testing.T) {
	runSeeds(t, 16, func(t *testing.T, seed uint64) *sim {
		h := newHarness(t, seed, func(c *settings.Settings) {
			c.Deployment.Workers.ReportS, c.Deployment.Workers.LeaseS = 5, 26.5
		})
		h.cloud.capacity = 40
		first := h.submitJob(50*time.Second, eventlog.Job{Tasks: 60, Priority: 1, Spot: true})
		h.pollAll(2 * time.Second)
		h.awaitRunning(first, 40)
		for i := range 160 {
			h.submitJobAfter(time.Duration(i)*200*time.Millisecond, time.Duration(2000+h.random.IntN(4000))*time.Millisecond, eventlog.Job{
				Tasks: 1 + i%4, Priority: uint8(i % 3), Spot: true,
			})
		}
		for i := range 50 { // reports of machines with newly started tasks are lost for a moment
			h.after(time.Duration(i)*650*time.Millisecond, func() {
				for _, w := range h.faults.pickMachines(5) {
					h.injectMachineFault("outbound loss", []*worker{w}, 2500*time.Millisecond)
				}
			})
		}
		for i := range 40 {
			h.after(time.Duration(i)*800*time.Millisecond+time.Duration(h.random.IntN(500))*time.Millisecond, func() {
				leader := h.leader()
				for _, n := range h.nodes {
					if n != leader && n.up && h.random.IntN(2) == 0 {
						n.crash()
						h.faults.restartAfter(n, 100*time.Millisecond)
						h.cover("a block holder restarted at once")
					}
				}
			})
		}
		h.run(40 * time.Second)
		return h.endFaultsAndSettle(5 * time.Minute)
	}, "a block holder restarted at once")
}

// TestRepeatedStartAfterReap guards against tasks that start again after they were reaped. Duplicates of
// starts sent directly to workers arrive after the jobs were cancelled and their ended tasks reaped.
func TestRepeatedStartAfterReap(t *testing.T) {
	runSeeds(t, 8, func(t *testing.T, seed uint64) *sim {
		h := newHarness(t, seed, directDispatchSettings)
		h.warmUp(5*time.Second, eventlog.Job{Tasks: 24, CPUs: 2, Priority: 1, Spot: true})
		h.duplicateDelay = 9 * time.Second
		for i := range 40 {
			h.after(time.Duration(i)*600*time.Millisecond, func() {
				j := h.submitJob(20*time.Second, eventlog.Job{Tasks: 1 + i%3, Priority: 1, Spot: true})
				sent := h.directDispatches
				h.after(time.Duration(700+h.random.IntN(1500))*time.Millisecond, func() {
					if h.directDispatches > sent && j.accepted {
						h.cover("cancelled after it was sent directly to a worker")
						h.cancelJob(j, i)
					}
				})
			})
		}
		h.run(45 * time.Second)
		h.duplicateDelay = 0
		return h.endFaultsAndSettle(5 * time.Minute)
	}, "cancelled after it was sent directly to a worker")
}
