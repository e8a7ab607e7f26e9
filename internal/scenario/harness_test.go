package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/wire"
)

// runSeeds runs a randomized simulation in parallel with each seed below seeds. The runs count effects of
// faults with sim.cover; runSeeds returns the sums, and fails if a required effect occurred in no run.
func runSeeds(t *testing.T, seeds int, simulate func(t *testing.T, seed uint64) *sim, required ...string) map[string]int {
	t.Helper()
	var mu sync.Mutex
	seen := map[string]int{}
	t.Run("days", func(t *testing.T) {
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				s := simulate(t, seed)
				mu.Lock()
				defer mu.Unlock()
				for what, n := range s.coverage {
					seen[what] += n
				}
			})
		}
	})
	for _, what := range required {
		t.Logf("%s: %d times", what, seen[what])
		if seen[what] == 0 {
			t.Errorf("%s: never occurred", what)
		}
	}
	return seen
}

// harness is a simulation for one test, with a random source and a fault injector.
type harness struct {
	*sim
	t      *testing.T
	random *rand.Rand
	faults *faultInjector
}

// harnessControllers is the number of controllers that newHarness creates.
const harnessControllers = 3

// newHarness returns a simulation for a test; conf, if not nil, changes its settings.
func newHarness(t *testing.T, seed uint64, conf func(c *settings.Settings)) *harness {
	c := baseSettings()
	if conf != nil {
		conf(&c)
	}
	s := newSim(c, seed, harnessControllers, false)
	r := rand.New(rand.NewPCG(seed, 17))
	return &harness{sim: s, t: t, random: r, faults: &faultInjector{sim: s, random: r, logf: func(string, ...any) {}}}
}

// submitJob submits a job now and retries at the controllers in turn for up to 60 seconds. It
// fills in the fields that the description leaves out.
func (h *harness) submitJob(run time.Duration, job eventlog.Job) *userJob {
	if job.ID == 0 {
		job.ID = uint64(len(h.jobs) + 1)
	}
	if job.Class == "" {
		job.Class = "class"
	}
	if job.Team == "" {
		job.Team = "team"
	}
	if job.CPUs == 0 {
		job.CPUs = 1
	}
	job.Tasks, job.MemoryGB, job.Image, job.ImageGB, job.EstimateS = max(job.Tasks, 1), 1, "image", 0.3, max(1, run.Seconds())
	j := &userJob{id: job.ID, runTime: run, spec: wire.Submission{ID: job.ID, HasID: true, Job: &job}}
	h.jobs[j.id] = j
	first := h.now
	h.submit(j, int(j.id), func() bool { return h.now-first < 60*time.Second })
	return j
}

// directDispatchSettings changes the settings so that starts are sent directly to workers.
func directDispatchSettings(c *settings.Settings) {
	c.Deployment.Workers.ReportS, c.Deployment.Workers.LeaseS = 4, 18
	c.Tunables.MaxPushDispatches, c.Tunables.ReadyWindowS = 8, 600
	c.Deployment.Objectives = []settings.Objective{{Kind: settings.ObjectiveWait, Class: "class", WithinS: 1}}
}

// warmUp runs a first job to completion, so that machines are rented and kept ready.
func (h *harness) warmUp(run time.Duration, job eventlog.Job) {
	h.t.Helper()
	j := h.submitJob(run, job)
	h.pollAll(2 * time.Second)
	if !h.runUntil(60*time.Second, func() bool { return h.check.allCompleted(j.id) }) {
		h.t.Fatal("the first job did not complete within 60 seconds")
	}
}

// submitJobAfter reserves the next job id and submits the job after a delay.
func (h *harness) submitJobAfter(after, run time.Duration, job eventlog.Job) {
	job.ID = uint64(len(h.jobs) + 1)
	h.jobs[job.ID] = &userJob{id: job.ID, spec: wire.Submission{ID: job.ID, HasID: true, Job: &eventlog.Job{}}}
	h.after(after, func() { h.submitJob(run, job) })
}

// awaitRunning waits until at least the given number of a job's tasks run.
func (h *harness) awaitRunning(j *userJob, tasks int) {
	h.t.Helper()
	if !h.runUntil(2*time.Minute, func() bool { return h.runningTasks(j.id) >= tasks }) {
		h.t.Fatalf("%d of %d tasks of job %d run", h.runningTasks(j.id), tasks, j.id)
	}
}

// awaitLeader waits until there is a leader and returns it.
func (h *harness) awaitLeader() *controller {
	h.t.Helper()
	if !h.runUntil(40*time.Second, func() bool { return h.leader() != nil }) {
		h.t.Fatal("no leader within 40 seconds")
	}
	return h.leader()
}

// restartLeader crashes the leader, if there is one, and restarts it after a delay.
func (h *harness) restartLeader(back time.Duration) {
	if l := h.leader(); l != nil {
		l.crash()
		h.faults.restartAfter(l, back)
	}
}

// cancelJob cancels an accepted job, unless its user has done so already.
func (h *harness) cancelJob(j *userJob, at int) {
	if j.accepted && !j.cancelRequested {
		h.cancel(j, at)
	}
}

// machinesWithTasks returns the machines with tasks of a job.
func (h *harness) machinesWithTasks(j *userJob) []*worker {
	return slices.DeleteFunc(h.machines(), func(w *worker) bool {
		return !slices.ContainsFunc(w.taskList(), func(t task) bool { return t.job == j.id })
	})
}

// injectMachineFault injects a fault of a named kind into machines for the given time: a partition, a
// one-way partition, a hang, or added latency.
func (h *harness) injectMachineFault(what string, list []*worker, length time.Duration) {
	for _, w := range list {
		switch what {
		case "partitioned":
			h.partitions = append(h.partitions, &partition{host: w.name})
		case "packets held":
			h.partitions = append(h.partitions, &partition{host: w.name, holdPackets: true})
		case "inbound loss":
			h.inboundLost[w.name] = true
		case "hung":
			w.hung = true
		case "outbound loss":
			h.reportsLost[w.name] = true
		case "slow":
			h.latency[w.name] = 6 * time.Second
		default:
			h.t.Fatalf("%s: unknown fault", what)
		}
		h.after(length, func() {
			w.hung = false
			delete(h.inboundLost, w.name)
			delete(h.reportsLost, w.name)
			delete(h.latency, w.name)
			h.heal(w.name)
		})
	}
}

// endFaultsAndSettle marks the end of fault injection and waits until every job has ended.
func (h *harness) endFaultsAndSettle(limit time.Duration) *sim {
	h.t.Helper()
	h.check.faultsEndedAt = h.now
	h.awaitQuiescence(h.t, limit)
	return h.sim
}

// TestServedAgain injects each kind of fault by itself into a steady stream of small jobs. It
// measures the longest time without an accepted submission, an answered query and a started
// task, and checks that service resumes after the fault.
func TestServedAgain(t *testing.T) {
	for kind := range numFaultKinds {
		t.Run(faultNames[kind], func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, 7, nil)
			h.run(3 * time.Second)
			const begins, ends = 40 * time.Second, 140 * time.Second
			for i := range 320 {
				h.submitJobAfter(time.Duration(i)*400*time.Millisecond, time.Duration(2+i%5)*time.Second, eventlog.Job{Priority: 1, Spot: true})
			}
			h.pollAll(time.Second)
			h.after(begins, func() {
				leaderIndex := 0
				if l := h.leader(); l != nil {
					leaderIndex = l.index
				}
				h.faults.inject(kind, 15*time.Second, leaderIndex)
			})
			var accepted, started, answered []time.Duration
			starts, total := 0, 0
			for at := begins; at < ends; at += 100 * time.Millisecond {
				h.run(at - h.now)
				if n := h.check.starts; n > starts {
					starts, started = n, append(started, at)
				}
				n := 0
				for _, j := range h.jobs {
					if j.accepted {
						n++
					}
				}
				if n > total {
					total, accepted = n, append(accepted, at)
				}
				for _, last := range h.check.lastAnswer {
					if at-last < 100*time.Millisecond {
						answered = append(answered, at)
						break
					}
				}
			}
			gap := func(list []time.Duration) time.Duration {
				longest, last := time.Duration(0), begins
				for _, at := range list {
					longest, last = max(longest, at-last), at
				}
				return longest
			}
			t.Logf("| %s | %.1f | %.1f | %.1f |", faultNames[kind], gap(accepted).Seconds(), gap(answered).Seconds(), gap(started).Seconds())
			if len(accepted) == 0 || len(answered) == 0 || len(started) == 0 || accepted[len(accepted)-1] < 100*time.Second {
				t.Errorf("service did not resume after %s: %d acceptances, %d answers, %d starts", faultNames[kind], len(accepted), len(answered), len(started))
			}
			h.endFaultsAndSettle(5 * time.Minute)
		})
	}
}
