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
		d := newHarness(t, seed, nil)
		d.cloud.capacity = 4
		first := d.submitJob(60*time.Second, eventlog.Job{Tasks: 4, CPUs: 4, Priority: 1, Spot: true})
		d.pollAll(time.Second)
		d.awaitRunning(first, 4)
		next := d.submitJob(60*time.Second, eventlog.Job{Tasks: 4, CPUs: 2, Priority: 1, Spot: true})
		d.run(3 * time.Second)
		d.cloud.capacity, d.cloud.bootTime = 12, 0 // so that the next job can start elsewhere
		end := time.Hour
		for k := range 4 {
			end = min(end, d.runEnds[task{first.id, k}])
		}
		d.run(end - d.now - time.Duration(seed%4*150)*time.Millisecond)
		l := d.awaitLeader()
		d.state.refused[l.name] = true
		d.run(1700 * time.Millisecond)
		if d.check.allCompleted(first.id) || d.runningTasks(first.id) < 4 {
			d.cover("machines free while the leader is refused")
		}
		d.injectMachineFault("packets held", append(d.machinesWithTasks(next), d.machines()...)[:1], 12*time.Second)
		l.crash()
		d.state.refused = map[string]bool{}
		d.faults.restartAfter(l, 8*time.Second)
		d.run(20 * time.Second)
		return d.endFaultsAndSettle(5 * time.Minute)
	}, "machines free while the leader is refused")
}

// TestHolderBackAtOnce guards against offers that are taken up twice. Controllers that hold blocks restart
// within a tenth of a second, while they start tasks on machines of their block other than those with
// reserved room. The new process does not know which offers the previous one has taken up.
func TestHolderBackAtOnce(t *testing.T) {
	runSeeds(t, 16, func(t *testing.T, seed uint64) *sim {
		d := newHarness(t, seed, func(c *settings.Settings) {
			c.Deployment.Workers.ReportS, c.Deployment.Workers.LeaseS = 5, 26.5
		})
		d.cloud.capacity = 40
		warm := d.submitJob(50*time.Second, eventlog.Job{Tasks: 60, Priority: 1, Spot: true})
		d.pollAll(2 * time.Second)
		d.awaitRunning(warm, 40)
		for i := range 160 {
			d.submitJobAfter(time.Duration(i)*200*time.Millisecond, time.Duration(2000+d.random.IntN(4000))*time.Millisecond, eventlog.Job{Tasks: 1 + i%4, Priority: uint8(i % 3), Spot: true})
		}
		for i := range 50 { // reports of machines with newly started tasks are lost for a moment
			d.after(time.Duration(i)*650*time.Millisecond, func() {
				for _, w := range d.faults.pickMachines(5) {
					d.injectMachineFault("outbound loss", []*worker{w}, 2500*time.Millisecond)
				}
			})
		}
		for i := range 40 {
			d.after(time.Duration(i)*800*time.Millisecond+time.Duration(d.random.IntN(500))*time.Millisecond, func() {
				l := d.leader()
				for _, n := range d.nodes {
					if n != l && n.up && d.random.IntN(2) == 0 {
						n.crash()
						d.faults.restartAfter(n, 100*time.Millisecond)
						d.cover("a block holder restarted at once")
					}
				}
			})
		}
		d.run(40 * time.Second)
		return d.endFaultsAndSettle(5 * time.Minute)
	}, "a block holder restarted at once")
}

// TestRepeatedStartAfterReap guards against tasks that start again after they were reaped. Duplicates of
// starts sent directly to workers arrive after the jobs were cancelled and their ended tasks reaped.
func TestRepeatedStartAfterReap(t *testing.T) {
	runSeeds(t, 8, func(t *testing.T, seed uint64) *sim {
		d := newHarness(t, seed, directDispatchSettings)
		d.warmUp(5*time.Second, eventlog.Job{Tasks: 24, CPUs: 2, Priority: 1, Spot: true})
		d.duplicateDelay = 9 * time.Second
		for i := range 40 {
			d.after(time.Duration(i)*600*time.Millisecond, func() {
				j := d.submitJob(20*time.Second, eventlog.Job{Tasks: 1 + i%3, Priority: 1, Spot: true})
				sent := d.directDispatches
				d.after(time.Duration(700+d.random.IntN(1500))*time.Millisecond, func() {
					if d.directDispatches > sent && j.accepted {
						d.cover("cancelled after it was sent directly to a worker")
						d.cancelJob(j, i)
					}
				})
			})
		}
		d.run(45 * time.Second)
		d.duplicateDelay = 0
		return d.endFaultsAndSettle(5 * time.Minute)
	}, "cancelled after it was sent directly to a worker")
}
