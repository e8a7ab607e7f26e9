package pools

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

// fixture is a leader with pools and unlimited room for tasks. It stores the values that the leader
// writes to the state service.
type fixture struct {
	t         *testing.T
	pools     []settings.Pool
	values    map[string]json.RawMessage
	now       time.Duration
	epoch     uint64
	component *Component
	machine   *workers.Machine
	lastJobID uint64
}

func newFixture(t *testing.T, pools ...settings.Pool) *fixture {
	t.Helper()
	f := &fixture{t: t, pools: pools, values: map[string]json.RawMessage{}, now: time.Second}
	f.startTerm(true)
	return f
}

// startTerm starts a term and, if read is true, reads the stored values.
func (f *fixture) startTerm(read bool) {
	f.t.Helper()
	cfg := &settings.Settings{Tunables: settings.Defaults()}
	cfg.Tunables.Pools = f.pools
	cfg.Deployment.Teams = []settings.Team{{Name: "a"}, {Name: "b"}}
	cfg.Deployment.Workers.ReportS = 1
	f.epoch++
	s := cluster.New(cluster.TermStart{Cfg: cfg, Epoch: f.epoch, TermBegan: f.now, Counts: &cluster.Counts{}})
	f.component = New(s)
	s.EventLog = eventlog.NewLog(eventlog.Limits{WriteRPS: 1e6, ValueBytes: 8192, TxnOps: 9}, "lead/epoch", 1, int(f.epoch)*1000, 0)
	s.Zones.Index("z")
	f.machine = s.Inventory.Add(&workers.Machine{Name: "m", Durable: true, Resolved: true, Up: true})
	f.component.Begin(f.now)
	if read {
		f.readValues()
	}
}

func (f *fixture) readValues() {
	f.component.Tick(f.now, true)
	f.component.ValuesRead(f.now, nil, true, false) // the first attempt fails
	f.now += 2 * time.Second
	f.component.Tick(f.now, true)
	var list []eventlog.ComponentValue
	for _, k := range slices.Sorted(func(yield func(string) bool) {
		for k := range f.values {
			if strings.HasPrefix(k, eventlog.ComponentValuesPrefix) && !yield(k) {
				return
			}
		}
	}) {
		list = append(list, eventlog.ComponentValue{Key: k, Data: f.values[k]})
	}
	f.component.ValuesRead(f.now, list, false, true)
}

// commitWrites makes all pending writes durable.
func (f *fixture) commitWrites() {
	for range 20 {
		f.now += time.Second
		f.component.Tick(f.now, true)
		txn := f.component.EventLog.NextTransaction(f.now)
		if txn == nil {
			continue
		}
		for _, op := range txn.Writes {
			f.values[op.Key] = op.Value
		}
		durable, _ := f.component.EventLog.CommitResult(f.now, txn.Sequence, eventlog.Applied, uint64(f.now), nil)
		for _, e := range durable {
			f.component.EntryDurable(f.now, true, e)
		}
	}
}

// addJob adds a job with the given number of tasks.
func (f *fixture) addJob(team string, tasks int, priority uint8, kind uint8, counted ...eventlog.PoolUnits) *jobs.Job {
	f.lastJobID++
	j := f.component.Jobs.Add(eventlog.Job{ID: f.lastJobID, Team: team, Tasks: tasks, CPUs: 1, Kind: kind, Priority: priority, Counted: counted})
	j.Team, j.Phase = f.component.Teams.Index(team), jobs.Open
	f.component.HandleEvent(cluster.Event{Kind: cluster.JobEnqueued, At: f.now, Job: j})
	return j
}

func perTask(pool string, units int) eventlog.PoolUnits {
	return eventlog.PoolUnits{Pool: pool, Units: units}
}

func perJobUnits(pool string, units int) eventlog.PoolUnits {
	return eventlog.PoolUnits{Pool: pool, Units: units, PerJob: true}
}

// schedule allocates units to the jobs in this order and returns how many tasks of each got them.
// Gangs get the units of all tasks or none.
func (f *fixture) schedule(list ...*jobs.Job) (out []int) {
	waiting := slices.DeleteFunc(slices.Clone(list), func(j *jobs.Job) bool { return j.Waiting == 0 })
	f.component.BeginCycle(f.now, waiting)
	for _, j := range list {
		n := 0
		for j.Waiting > 0 && f.component.AllowsStart(j, j.GangSize()) {
			for range j.GangSize() {
				k := j.NextWaiting(len(j.Tasks))
				j.Place(k)
				ref := workers.TaskRef{Job: j.Index, Task: int32(k)}
				p := &workers.Placement{Ref: ref, JobID: j.Record.ID, Machine: f.machine, Attempt: f.component.NextAttempt()}
				f.component.Placements[ref], f.machine.Tasks[ref] = p, p
				f.component.TaskPlaced(j)
				n++
			}
		}
		out = append(out, n)
	}
	return out
}

// completeTask completes a placed task.
func (f *fixture) completeTask(j *jobs.Job, k int) {
	ref := workers.TaskRef{Job: j.Index, Task: int32(k)}
	delete(f.component.Placements, ref)
	delete(f.machine.Tasks, ref)
	j.Complete(k)
	f.component.HandleEvent(cluster.Event{Kind: cluster.TaskDone, At: f.now, Job: j, Task: k, Machine: f.machine})
	if j.Finished == len(j.Tasks) {
		j.Phase = jobs.Done
		f.component.Jobs.RecordFinalPhase(j.Record.ID, jobs.Done)
		f.component.RemoveIfFinished(j)
	}
}

func (f *fixture) inUse(pool string) int64 {
	f.component.recount(f.now)
	return f.component.pools[f.component.byName[pool]].inUse
}

func expect(t *testing.T, what string, got any, want any) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%s: %v instead of %v", what, got, want)
	}
}

func TestUnitsReserveAndShares(t *testing.T) {
	f := newFixture(t, settings.Pool{Name: "p", Units: 10, Reserve: 2},
		settings.Pool{Name: "q", Units: 3, Shares: []settings.PoolShare{{Team: "b", Units: 1}}})
	one := f.addJob("a", 20, 1, jobs.Array, perTask("p", 1))
	expect(t, "all but the reserve", f.schedule(one), "[8]")
	urgentJob := f.addJob("a", 5, 2, jobs.Array, perTask("p", 1))
	expect(t, "the reserve", f.schedule(urgentJob, one), "[2 0]")
	f.completeTask(one, 0)
	expect(t, "a released unit goes to the first job in order", f.schedule(urgentJob, one), "[1 0]")
	b := f.addJob("b", 5, 1, jobs.Array, perTask("q", 1))
	a := f.addJob("a", 5, 1, jobs.Array, perTask("q", 1))
	expect(t, "one team gets its share, the other one the rest", f.schedule(b, a), "[1 2]")
	if why := f.component.WaitReason(b); !strings.Contains(why, "q") || !strings.Contains(why, "its team has 1 of its 1") {
		t.Errorf("wait reason: %s", why)
	}
	for name, impossible := range map[string]struct {
		counted eventlog.PoolUnits
		why     string
	}{
		"unknown pool":         {counted: perTask("none", 1), why: "no such pool"},
		"more than unreserved": {counted: perTask("p", 9), why: "more than the 8"},
		"more than the pool":   {counted: perJobUnits("q", 4), why: "more than the 3"},
	} {
		t.Run(name, func(t *testing.T) {
			job := &eventlog.Job{Team: "a", Tasks: 1, Priority: 1, Counted: []eventlog.PoolUnits{impossible.counted}}
			if why := f.component.UnsatisfiableReason(job); !strings.Contains(why, impossible.why) {
				t.Errorf("%+v: %s", impossible.counted, why)
			}
		})
	}
	if why := f.component.UnsatisfiableReason(&eventlog.Job{Team: "b", Tasks: 3, Kind: jobs.Gang, Counted: []eventlog.PoolUnits{perTask("q", 1)}}); !strings.Contains(why, "its team") {
		t.Errorf("a gang's tasks need their units together: %s", why)
	}
}

// The units that a task needs, also of several pools, are allocated together or not at all, and are
// reserved for the first job in order, so that small demands do not starve it.
func TestFirstInOrderIsNotStarved(t *testing.T) {
	f := newFixture(t, settings.Pool{Name: "p", Units: 5}, settings.Pool{Name: "q", Units: 5})
	small := f.addJob("a", 1000, 1, jobs.Array, perTask("p", 1))
	f.schedule(small)
	big := f.addJob("a", 1, 1, jobs.Array, perTask("p", 5), perTask("q", 1))
	other := f.addJob("a", 9, 1, jobs.Array, perTask("q", 5)) // would leave no unit of q
	for k := range 5 {
		expect(t, "no job overtakes the first one", f.schedule(big, small, other), "[0 0 0]")
		f.completeTask(small, k)
	}
	expect(t, "the first job gets all five units", f.schedule(big, small, other), "[1 0 0]")
	f.completeTask(big, 0)
	expect(t, "then the other jobs", f.schedule(small, other), "[5 1]")
}

// Per-job units that a job holds never prevent another job with per-job units from continuing.
func TestJobsHoldingUnitsDoNotDeadlock(t *testing.T) {
	f := newFixture(t, settings.Pool{Name: "p", Units: 2}, settings.Pool{Name: "q", Units: 2})
	a := f.addJob("a", 3, 1, jobs.Array, perJobUnits("p", 1), perTask("q", 1))
	b := f.addJob("a", 3, 1, jobs.Array, perJobUnits("q", 1), perTask("p", 1))
	c := f.addJob("a", 3, 1, jobs.Array, perJobUnits("p", 1), perTask("q", 1))
	got := f.schedule(a, b, c)
	if got[0] == 0 {
		t.Fatalf("%v", got)
	}
	for step := 0; a.Finished+b.Finished+c.Finished < 9; step++ {
		if step > 60 {
			t.Fatalf("stuck: %d %d %d done, %s; %s", a.Finished, b.Finished, c.Finished, f.component.WaitReason(a), f.component.WaitReason(b))
		}
		for _, j := range []*jobs.Job{a, b, c} {
			for k, s := range j.Tasks {
				if s == jobs.Placed {
					f.completeTask(j, k)
					break
				}
			}
		}
		f.schedule(slices.DeleteFunc([]*jobs.Job{a, b, c}, func(j *jobs.Job) bool { return j.Waiting == 0 })...)
	}
	expect(t, "all units are released", []int64{f.inUse("p"), f.inUse("q")}, "[0 0]")
}

// Thousands of random runs with varied demands: the running tasks never hold more units than there
// are, no job waits for ever, and no job waits while enough units are free for it and no other job is
// before it in the order.
func TestRandomDemandsStayWithinLimitsAndComplete(t *testing.T) {
	runs := 3000
	if testing.Short() {
		runs = 100
	}
	maxSteps := 0
	for seed := range uint64(runs) {
		r := rand.New(rand.NewPCG(seed, 3))
		var pools []settings.Pool
		for i := range 1 + r.IntN(3) {
			pools = append(pools, settings.Pool{Name: fmt.Sprint("p", i), Units: 2 + r.IntN(6)})
		}
		f := newFixture(t, pools...)
		var list []*jobs.Job
		for range 3 + r.IntN(9) {
			var counted []eventlog.PoolUnits
			for _, p := range pools {
				if r.IntN(3) == 0 {
					continue
				}
				counted = append(counted, eventlog.PoolUnits{Pool: p.Name, Units: 1 + r.IntN(p.Units), PerJob: r.IntN(3) == 0})
			}
			kind, tasks := jobs.Array, 1+r.IntN(4)
			if r.IntN(4) == 0 {
				kind = jobs.Gang
			}
			rec := &eventlog.Job{Team: "a", Tasks: tasks, Kind: kind, Counted: counted}
			if len(counted) == 0 || f.component.UnsatisfiableReason(rec) != "" {
				continue
			}
			list = append(list, f.addJob("a", tasks, 1, kind, counted...))
		}
		open := func(j *jobs.Job) bool { return j.Finished < len(j.Tasks) }
		for step := 0; slices.ContainsFunc(list, open); step++ {
			if step > 500 {
				for _, j := range list {
					t.Logf("%+v: %d of %d done, %d placed; %s", j.Record.Counted, j.Finished, len(j.Tasks), j.Placed, f.component.WaitReason(j))
				}
				t.Fatalf("seed %d: stuck", seed)
			}
			maxSteps = max(maxSteps, step)
			left := slices.DeleteFunc(slices.Clone(list), func(j *jobs.Job) bool { return !open(j) })
			r.Shuffle(len(left), func(i, k int) {
				if r.IntN(3) == 0 {
					left[i], left[k] = left[k], left[i] // the order changes as job sizes change with age
				}
			})
			f.schedule(left...)
			f.checkUnitsInUse(seed, list)
			f.checkFirstWaitingJobLacksUnits(seed, left)
			if running := slices.IndexFunc(left, func(j *jobs.Job) bool { return j.Placed > 0 }); running < 0 {
				t.Fatalf("seed %d: nothing runs, and %d jobs wait: %s", seed, len(left), f.component.WaitReason(left[0]))
			}
			for _, j := range left {
				for k, s := range j.Tasks {
					if s == jobs.Placed && (r.IntN(2) == 0 || j.Record.Kind == jobs.Gang) {
						f.completeTask(j, k)
					}
				}
			}
		}
	}
	t.Logf("the longest run had %d steps", maxSteps)
}

// checkFirstWaitingJobLacksUnits checks, after a scheduling cycle, that the first job in order that
// still waits lacks units that are in use, or needs per-job units that it does not hold yet.
func (f *fixture) checkFirstWaitingJobLacksUnits(seed uint64, left []*jobs.Job) {
	f.t.Helper()
	for _, h := range f.component.candidates {
		j := h.job
		if !slices.Contains(left, j) || j.Waiting == 0 {
			continue
		}
		lacks := h.needsJobUnits && !h.holdsJobUnits
		for _, n := range h.requirements {
			p := f.component.pools[n.pool]
			lacks = lacks || p.inUse+h.nextUnits(n) > p.size
		}
		if !lacks {
			f.t.Fatalf("seed %d: %+v waits although all units that it needs are free", seed, j.Record.Counted)
		}
		return
	}
}

// checkUnitsInUse compares the units counted as in use with those that the placed and finished tasks imply.
func (f *fixture) checkUnitsInUse(seed uint64, list []*jobs.Job) {
	f.t.Helper()
	sums := map[string]int64{}
	for _, j := range list {
		for _, c := range j.Record.Counted {
			switch {
			case !c.PerJob:
				sums[c.Pool] += int64(c.Units * j.Placed)
			case (j.Placed > 0 || j.Finished > 0) && j.Finished < len(j.Tasks):
				sums[c.Pool] += int64(c.Units)
			}
		}
	}
	for _, p := range f.pools {
		if sums[p.Name] > int64(p.Units) {
			f.t.Fatalf("seed %d: %d of %d units of %s are in use", seed, sums[p.Name], p.Units, p.Name)
		}
		if got := f.inUse(p.Name); got != sums[p.Name] {
			f.t.Fatalf("seed %d: %d units of %s count as in use, %d are", seed, got, p.Name, sums[p.Name])
		}
	}
}

// After a takeover, the units that an unresolved machine may have by its grants count as in use until
// it reports or is gone.
func TestUnresolvedMachinesCountAsInUseAfterTakeover(t *testing.T) {
	f := newFixture(t, settings.Pool{Name: "p", Units: 4, HoldAfterLossS: 30})
	f.startTerm(true)
	m := f.component.Inventory.Add(&workers.Machine{Name: "old", Durable: true, Number: 7, Session: 1, Capacity: resources.Room(4, 0, 16)})
	f.component.AddUnresolved(m)
	j := f.addJob("a", 8, 1, jobs.Array, perTask("p", 1))
	j.FromEarlierTerm, j.UnresolvedMachines, j.UnassignedFrom = true, 1, 3
	m.Grants[j.Record.ID] = true
	other := f.addJob("a", 8, 1, jobs.Array, perTask("p", 1))
	expect(t, "three tasks may be on the unresolved machine", f.inUse("p"), 3)
	expect(t, "one unit is left", f.schedule(other), "[1]")
	f.component.pools[0].drained = false
	if raw, err := f.component.Show(f.now, "p"); err != nil || !strings.Contains(string(raw), `"uncertain":3`) || !strings.Contains(string(raw), "machines not heard") {
		t.Errorf("the view lacks the uncertain units or their holder: %s %v", raw, err)
	}
	// It is gone without a report: units that it may have had stay in use for a while.
	f.component.Inventory.Remove("old")
	f.component.RemoveUnresolved(m)
	j.UnresolvedMachines--
	f.component.HandleEvent(cluster.Event{Kind: cluster.MachineResolved, At: f.now, Machine: m})
	f.component.HandleEvent(cluster.Event{Kind: cluster.MachineProvedGone, At: f.now, Machine: m})
	expect(t, "held after the loss", f.inUse("p"), 4)
	f.commitWrites()
	f.startTerm(true)
	expect(t, "held by the next leader too", f.inUse("p"), 3)
	f.now += 40 * time.Second
	expect(t, "released after the hold", f.inUse("p"), 0)
}

// A task that was on offer to a machine whose worker died may have run there, while its plan continues
// elsewhere: its units stay in use in addition to those of the plan.
func TestLostOfferHoldsUnits(t *testing.T) {
	f := newFixture(t, settings.Pool{Name: "p", Units: 4, HoldAfterLossS: 30}, settings.Pool{Name: "q", Units: 4})
	j := f.addJob("a", 1, 1, jobs.Array, perTask("p", 1), perTask("q", 1))
	f.schedule(j)
	f.component.HandleEvent(cluster.Event{Kind: cluster.OfferLost, At: f.now, Job: j, Task: 0, Machine: f.machine})
	expect(t, "units of the plan and of the loss", []int64{f.inUse("p"), f.inUse("q")}, "[2 1]")
	other := f.addJob("a", 9, 1, jobs.Array, perTask("p", 1))
	expect(t, "none before the loss is written", f.schedule(other), "[0]")
	f.commitWrites()
	expect(t, "then the other job", f.schedule(other), "[2]")
}

// A task of a cancelled job keeps its units while a machine still reports it as running.
func TestOrphansKeepTheirUnits(t *testing.T) {
	f := newFixture(t, settings.Pool{Name: "p", Units: 4})
	rec := eventlog.Job{ID: 77, Team: "a", Tasks: 3, CPUs: 1, Counted: []eventlog.PoolUnits{perTask("p", 2)}}
	rec.EncodePoolUnits()
	f.startTerm(false)
	f.component.Replay(f.now, eventlog.Entry{Job: &rec})
	f.component.Jobs.RecordFinalPhase(77, jobs.Cancelled)
	f.component.Begin(f.now)
	f.readValues()
	r := &workers.Report{Machine: "m", Tasks: []workers.TaskReport{{Job: 77, Task: 1, Attempt: 5, State: workers.Running}}}
	f.component.HandleEvent(cluster.Event{Kind: cluster.HeartbeatApplied, At: f.now, Machine: f.machine, Report: r})
	expect(t, "the orphan still runs", f.inUse("p"), 2)
	r.Tasks[0].State = workers.Ended
	f.component.HandleEvent(cluster.Event{Kind: cluster.HeartbeatApplied, At: f.now, Machine: f.machine, Report: r})
	expect(t, "the orphan has ended", f.inUse("p"), 0)
	// A task of an unknown job blocks the allocation from all pools while it is there.
	r.Tasks[0].Job, r.Tasks[0].State = 999, workers.Running
	f.component.HandleEvent(cluster.Event{Kind: cluster.HeartbeatApplied, At: f.now, Machine: f.machine, Report: r})
	j := f.addJob("a", 1, 1, jobs.Array, perTask("p", 1))
	expect(t, "closed", f.schedule(j), "[0]")
	f.component.HandleEvent(cluster.Event{Kind: cluster.MachineProvedGone, At: f.now, Machine: f.machine})
	expect(t, "gone", f.schedule(j), "[1]")
}

// A smaller size takes effect at once, a larger one when it is durable. A repeated change gets the
// same answer, one planned for another version is refused, and the next leader reads the changes.
func TestChangesAreIdempotentAndVersioned(t *testing.T) {
	f := newFixture(t, settings.Pool{Name: "p", Units: 4})
	applyChange := func(body string) (ChangeResult, error) {
		raw, err := f.component.Change(f.now, json.RawMessage(`{"change":`+body+`}`))
		var out ChangeResult
		if err == nil {
			err = json.Unmarshal(raw, &out)
		}
		return out, err
	}
	more, err := applyChange(`{"id":"x1","pool":"p","version":0,"units":6}`)
	if err != nil || more.Durable || more.Pool.Units != 4 || more.Pool.Pending != 6 {
		t.Errorf("a larger size must be pending until it is durable: %+v %v", more, err)
	}
	if _, err := applyChange(`{"id":"x2","pool":"p","version":0,"units":9}`); err == nil || !strings.Contains(err.Error(), "version") {
		t.Errorf("a change planned for an earlier version is not refused for its version: %v", err)
	}
	f.commitWrites()
	if again, err := applyChange(`{"id":"x1","pool":"p","version":0,"units":6}`); err != nil || !again.Durable || again.Version != 1 || again.Pool.Units != 6 {
		t.Errorf("the repeated change must be durable and get the same version: %+v %v", again, err)
	}
	j := f.addJob("a", 9, 1, jobs.Array, perTask("p", 1))
	expect(t, "six", f.schedule(j), "[6]")
	if less, err := applyChange(`{"id":"x3","pool":"p","version":1,"units":2}`); err != nil || less.Pool.Units != 2 || less.Pool.Out != 6 {
		t.Errorf("a smaller size must take effect at once: %+v %v", less, err)
	}
	for k := range 4 {
		f.completeTask(j, k)
		expect(t, "none while more units are in use than the pool has", f.schedule(j), "[0]")
	}
	f.completeTask(j, 4)
	expect(t, "one", f.schedule(j), "[1]")
	if _, err := applyChange(`{"id":"x4","pool":"p","version":2,"drain":true}`); err != nil {
		t.Error(err)
	}
	f.completeTask(j, 5)
	expect(t, "none from a drained pool", f.schedule(j), "[0]")
	f.commitWrites()
	f.startTerm(false)
	j = f.addJob("a", 9, 1, jobs.Array, perTask("p", 1))
	expect(t, "none before the changes are read", f.schedule(j), "[0]")
	f.readValues()
	expect(t, "none from a drained pool after a takeover", f.schedule(j), "[0]")
	if restored, err := applyChange(`{"id":"x5","pool":"p","version":3,"drain":false,"units":-1}`); err != nil || restored.Version != 4 {
		t.Errorf("restoring the size of the settings: %+v %v", restored, err)
	}
	f.commitWrites()
	expect(t, "as many as in the settings", f.schedule(j), "[4]")
	for _, refused := range []struct{ field, body string }{
		{field: "pool", body: `{"id":"y","pool":"none","version":0,"units":1}`},
		{field: "id", body: `{"pool":"p","version":4,"units":1}`},
		{field: "neither", body: `{"id":"y","pool":"p","version":4}`},
		{field: "units", body: `{"id":"y","pool":"p","version":4,"units":2000000000}`},
	} {
		t.Run("refused for "+refused.field, func(t *testing.T) {
			_, err := applyChange(refused.body)
			if err == nil || !strings.Contains(err.Error(), refused.field) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s: %v", refused.body, err)
			}
		})
	}
	// A value of a later format version cannot be interpreted.
	f.values[eventlog.ComponentValueKey(Name, 9)] = json.RawMessage(`{"v":2}`)
	f.startTerm(true)
	expect(t, "closed", f.schedule(f.addJob("a", 1, 1, jobs.Array, perTask("p", 1))), "[0]")
	errorLogged := false
	for _, e := range f.component.DrainEffects() {
		if n, ok := e.(effects.LogMessage); ok && n.Level == effects.Error {
			errorLogged = true
		}
	}
	if !errorLogged {
		t.Error("no error is logged for the value of a later version")
	}
}

// The numbers of units in a receipt are not given to another holder while theirs may be running.
func TestReceiptsNumberUnitsUniquely(t *testing.T) {
	f := newFixture(t, settings.Pool{Name: "p", Units: 5}, settings.Pool{Name: "q", Units: 3})
	a := f.addJob("a", 3, 1, jobs.Array, perTask("p", 2), perJobUnits("q", 1))
	f.schedule(a)
	requestReceipt := func(j *jobs.Job, k int, attempt uint64) (r Receipt, err error) {
		body, _ := json.Marshal(Request{Receipt: &ReceiptRequest{j.Record.ID, k, attempt}})
		raw, err := f.component.Change(f.now, body)
		if err == nil {
			err = json.Unmarshal(raw, &r)
		}
		return r, err
	}
	placementOf := func(j *jobs.Job, k int) *workers.Placement {
		return f.component.Placements[workers.TaskRef{Job: j.Index, Task: int32(k)}]
	}
	if _, err := requestReceipt(a, 0, 1); err == nil {
		t.Error("a receipt is issued for an attempt that does not hold the units")
	}
	one, err := requestReceipt(a, 0, placementOf(a, 0).Attempt)
	if err != nil || one.Durable {
		t.Fatalf("the first receipt must not be durable yet: %+v %v", one, err)
	}
	f.commitWrites()
	one, _ = requestReceipt(a, 0, placementOf(a, 0).Attempt)
	two, _ := requestReceipt(a, 1, placementOf(a, 1).Attempt)
	f.commitWrites()
	if !one.Durable || fmt.Sprint(one.Units) != "[{p [1 2] false} {q [1] true}]" || fmt.Sprint(two.Units) != "[{p [3 4] false} {q [1] true}]" {
		t.Errorf("receipts of two tasks are not durable or have wrong numbers: %+v and %+v", one, two)
	}
	f.completeTask(a, 0)
	f.schedule(a)
	if third, err := requestReceipt(a, 2, placementOf(a, 2).Attempt); err != nil || fmt.Sprint(third.Units[0].Numbers) != "[1 2]" {
		t.Errorf("the third task must get the numbers that the first one released: %+v %v", third, err)
	}
}

// A silent machine that holds a unit which another job waits for is decommissioned early, if the
// setting is not 0.
func TestSilentMachineIsDecommissionedEarly(t *testing.T) {
	for _, setting := range []float64{0, 5} {
		f := newFixture(t, settings.Pool{Name: "p", Units: 1})
		f.component.Cfg.Tunables.PoolSilentAfterS = setting
		a, b := f.addJob("a", 1, 1, jobs.Array, perTask("p", 1)), f.addJob("a", 1, 1, jobs.Array, perTask("p", 1))
		f.machine.LastHeartbeat = f.now
		f.schedule(a, b)
		f.now += 7 * time.Second
		f.schedule(b)
		f.component.Tick(f.now, true)
		if f.machine.Deleting != (setting > 0) {
			t.Errorf("with a setting of %v s, decommissioned: %v", setting, f.machine.Deleting)
		}
	}
}

// A job that holds per-job units and is not ready for a moment, since its task has failed, must find
// the units that it needs when it is ready again. Otherwise it would wait for a job that started
// meanwhile, whose next task waits for the units that are reserved for the first job.
func TestUnreadyJobWithPerJobUnitsIsNotBlocked(t *testing.T) {
	f := newFixture(t, settings.Pool{Name: "p", Units: 3}, settings.Pool{Name: "q", Units: 3}, settings.Pool{Name: "s", Units: 1})
	x := f.addJob("a", 2, 1, jobs.Array, perJobUnits("s", 1), perTask("p", 2), perTask("q", 3))
	f.schedule(x)
	f.completeTask(x, 0)
	z := f.addJob("a", 2, 1, jobs.Array, perJobUnits("q", 1), perTask("p", 2))
	expect(t, "while the first is not ready", f.schedule(z), "[0]")
	expect(t, "then", f.schedule(x, z), "[1 0]")
	f.completeTask(x, 1)
	expect(t, "then the other job", f.schedule(z), "[1]")
}
