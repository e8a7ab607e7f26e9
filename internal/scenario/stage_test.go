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

// playDays runs a randomized simulation with so many seeds in parallel. It fails if an effect
// in must occurred in none of them; the runs count effects with sim.saw.
func playDays(t *testing.T, days int, day func(t *testing.T, seed uint64) *sim, must ...string) map[string]int {
	t.Helper()
	var mu sync.Mutex
	seen := map[string]int{}
	t.Run("days", func(t *testing.T) {
		for seed := range uint64(days) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				s := day(t, seed)
				mu.Lock()
				defer mu.Unlock()
				for what, n := range s.seen {
					seen[what] += n
				}
			})
		}
	})
	for _, what := range must {
		t.Logf("%s: %d times", what, seen[what])
		if seen[what] == 0 {
			t.Errorf("%s: never occurred", what)
		}
	}
	return seen
}

// stage is a simulation for one test, with a random source and a fault injector.
type stage struct {
	*sim
	t  *testing.T
	r  *rand.Rand
	tr *troubles
}

// stageControllers is the number of controllers that newStage creates.
const stageControllers = 3

// newStage returns a simulation for a test; conf, if not nil, changes its settings.
func newStage(t *testing.T, seed uint64, conf func(c *settings.Settings)) *stage {
	c := baseSettings()
	if conf != nil {
		conf(&c)
	}
	s := newSim(c, seed, stageControllers, false)
	r := rand.New(rand.NewPCG(seed, 17))
	return &stage{sim: s, t: t, r: r, tr: &troubles{s: s, r: r, say: func(string, ...any) {}}}
}

// add submits a job now and retries at the controllers in turn for up to 60 seconds. It fills
// in the fields that the description leaves out.
func (d *stage) add(run time.Duration, job eventlog.Job) *userJob {
	if job.ID == 0 {
		job.ID = uint64(len(d.jobs) + 1)
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
	j := &userJob{id: job.ID, run: run, spec: wire.Submission{ID: job.ID, HasID: true, Job: &job}}
	d.jobs[j.id] = j
	first := d.now
	d.submit(j, int(j.id), func() bool { return d.now-first < 60*time.Second })
	return j
}

// startsDirectly changes the settings so that starts are sent directly to workers.
func startsDirectly(c *settings.Settings) {
	c.Deployment.Workers.ReportS, c.Deployment.Workers.LeaseS = 4, 18
	c.Tunables.PushDispatches, c.Tunables.ReadyWindowS = 8, 600
	c.Deployment.Objectives = []settings.Objective{{Kind: settings.ObjectiveWait, Class: "class", WithinS: 1}}
}

// warmUp runs a first job to completion, so that machines are rented and kept ready.
func (d *stage) warmUp(run time.Duration, job eventlog.Job) {
	d.t.Helper()
	j := d.add(run, job)
	d.askAll(2 * time.Second)
	if !d.until(60*time.Second, func() bool { return d.check.over(j.id) }) {
		d.t.Fatal("the first job did not complete within 60 seconds")
	}
}

// addAt is add after a delay.
func (d *stage) addAt(after, run time.Duration, job eventlog.Job) {
	job.ID = uint64(len(d.jobs) + 1)
	d.jobs[job.ID] = &userJob{id: job.ID, spec: wire.Submission{ID: job.ID, HasID: true, Job: &eventlog.Job{}}}
	d.after(after, func() { d.add(run, job) })
}

// runs waits until at least so many tasks of a job run.
func (d *stage) runs(j *userJob, tasks int) {
	d.t.Helper()
	if !d.until(2*time.Minute, func() bool { return d.running(j.id) >= tasks }) {
		d.t.Fatalf("%d of %d tasks of %d run", d.running(j.id), tasks, j.id)
	}
}

// leads waits until there is a leader and returns it.
func (d *stage) leads() *controller {
	d.t.Helper()
	if !d.until(40*time.Second, func() bool { return d.leader() != nil }) {
		d.t.Fatal("no leader within 40 seconds")
	}
	return d.leader()
}

// endLeader crashes the leader, if there is one, and restarts it after a delay.
func (d *stage) endLeader(back time.Duration) {
	if l := d.leader(); l != nil {
		l.crash()
		d.tr.back(l, back)
	}
}

// cancel cancels an accepted job, unless its user has done so already.
func (d *stage) cancel(j *userJob, at int) {
	if j.accepted && !j.asked {
		d.abort(j, at)
	}
}

// busy returns the machines with tasks of a job.
func (d *stage) busy(j *userJob) []*worker {
	return slices.DeleteFunc(d.machines(), func(w *worker) bool {
		return !slices.ContainsFunc(w.on(), func(t task) bool { return t.job == j.id })
	})
}

// trouble injects a fault of a named kind into machines: a partition, a one-way partition, a
// hang, or added latency.
func (d *stage) trouble(what string, list []*worker, length time.Duration) {
	for _, w := range list {
		switch what {
		case "cut":
			d.cuts = append(d.cuts, &cut{host: w.name})
		case "held":
			d.cuts = append(d.cuts, &cut{host: w.name, hold: true})
		case "deaf":
			d.deaf[w.name] = true
		case "hung":
			w.hung = true
		case "mute":
			d.mute[w.name] = true
		case "slow":
			d.slow[w.name] = 6 * time.Second
		default:
			d.t.Fatalf("%s: unknown fault", what)
		}
		d.after(length, func() {
			w.hung = false
			delete(d.deaf, w.name)
			delete(d.mute, w.name)
			delete(d.slow, w.name)
			d.heal(w.name)
		})
	}
}

// over marks the end of fault injection and waits until every job has ended.
func (d *stage) over(limit time.Duration) *sim {
	d.t.Helper()
	d.check.calm = d.now
	d.allEnd(d.t, limit)
	return d.sim
}

// TestServedAgain injects each kind of fault by itself into a steady stream of small jobs. It
// measures the longest time without an accepted submission, an answered query and a started
// task, and checks that service resumes after the fault.
func TestServedAgain(t *testing.T) {
	for kind := range kindsOfTrouble {
		t.Run(troubleNames[kind], func(t *testing.T) {
			t.Parallel()
			d := newStage(t, 7, nil)
			d.run(3 * time.Second)
			const begins, ends = 40 * time.Second, 140 * time.Second
			for i := range 320 {
				d.addAt(time.Duration(i)*400*time.Millisecond, time.Duration(2+i%5)*time.Second, eventlog.Job{Priority: 1, Spot: true})
			}
			d.askAll(time.Second)
			d.after(begins, func() {
				who := 0
				if l := d.leader(); l != nil {
					who = l.index
				}
				d.tr.begin(kind, 15*time.Second, who)
			})
			var accepted, started, answered []time.Duration
			starts, total := 0, 0
			for at := begins; at < ends; at += 100 * time.Millisecond {
				d.run(at - d.now)
				if n := d.check.starts; n > starts {
					starts, started = n, append(started, at)
				}
				n := 0
				for _, j := range d.jobs {
					if j.accepted {
						n++
					}
				}
				if n > total {
					total, accepted = n, append(accepted, at)
				}
				for _, last := range d.check.answered {
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
			t.Logf("| %s | %.1f | %.1f | %.1f |", troubleNames[kind], gap(accepted).Seconds(), gap(answered).Seconds(), gap(started).Seconds())
			if len(accepted) == 0 || len(answered) == 0 || len(started) == 0 || accepted[len(accepted)-1] < 100*time.Second {
				t.Errorf("service did not resume after %s: %d acceptances, %d answers, %d starts", troubleNames[kind], len(accepted), len(answered), len(started))
			}
			d.over(5 * time.Minute)
		})
	}
}
