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

// fixture is a leader with pools and unlimited room for tasks. It keeps the values that are written to
// the state service.
type fixture struct {
	t         *testing.T
	pools     []settings.Pool
	values    map[string]json.RawMessage
	now       time.Duration
	epoch     uint64
	component *Component
	machine   *workers.Machine
	ids       uint64
}

func newFixture(t *testing.T, pools ...settings.Pool) *fixture {
	t.Helper()
	w := &fixture{t: t, pools: pools, values: map[string]json.RawMessage{}, now: time.Second}
	w.startTerm(true)
	return w
}

// startTerm starts a term and, if read is true, reads the stored values.
func (w *fixture) startTerm(read bool) {
	w.t.Helper()
	cfg := &settings.Settings{Tunables: settings.Defaults()}
	cfg.Tunables.Pools = w.pools
	cfg.Deployment.Teams = []settings.Team{{Name: "a"}, {Name: "b"}}
	cfg.Deployment.Workers.ReportS = 1
	w.epoch++
	s := cluster.New(cluster.TermStart{Cfg: cfg, Epoch: w.epoch, TermBegan: w.now, Counts: &cluster.Counts{}})
	w.component = New(s)
	s.EventLog = eventlog.NewLog(eventlog.Limits{WriteRPS: 1e6, ValueBytes: 8192, TxnOps: 9}, "lead/epoch", 1, int(w.epoch)*1000, 0)
	s.Zones.Index("z")
	w.machine = s.Inventory.Add(&workers.Machine{Name: "m", Durable: true, Resolved: true, Up: true})
	w.component.Begin(w.now)
	if read {
		w.read()
	}
}

func (w *fixture) read() {
	w.component.Tick(w.now, true)
	w.component.ValuesRead(w.now, nil, true, false) // the first attempt fails
	w.now += 2 * time.Second
	w.component.Tick(w.now, true)
	var list []eventlog.ComponentValue
	for _, k := range slices.Sorted(func(yield func(string) bool) {
		for k := range w.values {
			if strings.HasPrefix(k, eventlog.ComponentValuesPrefix) && !yield(k) {
				return
			}
		}
	}) {
		list = append(list, eventlog.ComponentValue{Key: k, Data: w.values[k]})
	}
	w.component.ValuesRead(w.now, list, false, true)
}

// write makes all pending writes durable.
func (w *fixture) write() {
	for range 20 {
		w.now += time.Second
		w.component.Tick(w.now, true)
		txn := w.component.EventLog.NextTransaction(w.now)
		if txn == nil {
			continue
		}
		for _, op := range txn.Writes {
			w.values[op.Key] = op.Value
		}
		durable, _ := w.component.EventLog.CommitResult(w.now, txn.Sequence, eventlog.Applied, uint64(w.now), nil)
		for _, e := range durable {
			w.component.EntryDurable(w.now, true, e)
		}
	}
}

// job adds a job with the given number of tasks.
func (w *fixture) job(team string, tasks int, priority uint8, kind uint8, counted ...eventlog.PoolUnits) *jobs.Job {
	w.ids++
	j := w.component.Jobs.Add(eventlog.Job{ID: w.ids, Team: team, Tasks: tasks, CPUs: 1, Kind: kind, Priority: priority, Counted: counted})
	j.Team, j.Phase = w.component.Teams.Index(team), jobs.Open
	w.component.HandleEvent(cluster.Event{Kind: cluster.JobOrdered, At: w.now, Job: j})
	return j
}

func perTask(pool string, units int) eventlog.PoolUnits {
	return eventlog.PoolUnits{Pool: pool, Units: units}
}

func wholeJob(pool string, units int) eventlog.PoolUnits {
	return eventlog.PoolUnits{Pool: pool, Units: units, PerJob: true}
}

// schedule allocates units to the jobs in this order and returns how many tasks of each got them.
// Gangs get the units of all tasks or none.
func (w *fixture) schedule(list ...*jobs.Job) (out []int) {
	waiting := slices.DeleteFunc(slices.Clone(list), func(j *jobs.Job) bool { return j.Waiting == 0 })
	w.component.BeginCycle(w.now, waiting)
	for _, j := range list {
		n := 0
		for j.Waiting > 0 && w.component.Allows(j, j.GangSize()) {
			for range j.GangSize() {
				k := j.NextWaiting(len(j.Tasks))
				j.Place(k)
				ref := workers.TaskRef{Job: j.Index, Task: int32(k)}
				p := &workers.Placement{Ref: ref, JobID: j.Record.ID, Machine: w.machine, Attempt: w.component.NextAttempt()}
				w.component.Placements[ref], w.machine.Tasks[ref] = p, p
				w.component.TaskPlaced(j)
				n++
			}
		}
		out = append(out, n)
	}
	return out
}

// completeTask completes a placed task.
func (w *fixture) completeTask(j *jobs.Job, k int) {
	ref := workers.TaskRef{Job: j.Index, Task: int32(k)}
	delete(w.component.Placements, ref)
	delete(w.machine.Tasks, ref)
	j.Complete(k)
	w.component.HandleEvent(cluster.Event{Kind: cluster.TaskDone, At: w.now, Job: j, Task: k, Machine: w.machine})
	if j.Finished == len(j.Tasks) {
		j.Phase = jobs.Done
		w.component.Jobs.RecordFinalPhase(j.Record.ID, jobs.Done)
		w.component.RemoveIfFinished(j)
	}
}

func (w *fixture) inUse(pool string) int64 {
	w.component.recount(w.now)
	return w.component.pools[w.component.byName[pool]].inUse
}

func expect(t *testing.T, what string, got any, want any) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%s: %v instead of %v", what, got, want)
	}
}

func TestUnitsReserveAndShares(t *testing.T) {
	w := newFixture(t, settings.Pool{Name: "p", Units: 10, Reserve: 2},
		settings.Pool{Name: "q", Units: 3, Shares: []settings.PoolShare{{Team: "b", Units: 1}}})
	one := w.job("a", 20, 1, jobs.Array, perTask("p", 1))
	expect(t, "all but the reserve", w.schedule(one), "[8]")
	urgentJob := w.job("a", 5, 2, jobs.Array, perTask("p", 1))
	expect(t, "the reserve", w.schedule(urgentJob, one), "[2 0]")
	w.completeTask(one, 0)
	expect(t, "a released unit goes to the first job in order", w.schedule(urgentJob, one), "[1 0]")
	b := w.job("b", 5, 1, jobs.Array, perTask("q", 1))
	a := w.job("a", 5, 1, jobs.Array, perTask("q", 1))
	expect(t, "one team gets its share, the other one the rest", w.schedule(b, a), "[1 2]")
	if why := w.component.WaitReason(b); !strings.Contains(why, "q") || !strings.Contains(why, "its team has 1 of its 1") {
		t.Errorf("wait reason: %s", why)
	}
	for name, impossible := range map[string]struct {
		counted eventlog.PoolUnits
		why     string
	}{
		"unknown pool":         {counted: perTask("none", 1), why: "no such pool"},
		"more than unreserved": {counted: perTask("p", 9), why: "more than the 8"},
		"more than the pool":   {counted: wholeJob("q", 4), why: "more than the 3"},
	} {
		t.Run(name, func(t *testing.T) {
			job := &eventlog.Job{Team: "a", Tasks: 1, Priority: 1, Counted: []eventlog.PoolUnits{impossible.counted}}
			if why := w.component.Unsatisfiable(job); !strings.Contains(why, impossible.why) {
				t.Errorf("%+v: %s", impossible.counted, why)
			}
		})
	}
	if why := w.component.Unsatisfiable(&eventlog.Job{Team: "b", Tasks: 3, Kind: jobs.Gang, Counted: []eventlog.PoolUnits{perTask("q", 1)}}); !strings.Contains(why, "its team") {
		t.Errorf("a gang's tasks need their units together: %s", why)
	}
}

// The units that a task needs, also of several pools, are allocated together or not at all, and are
// reserved for the first job in order, so that small demands do not starve it.
func TestFirstInOrderIsNotStarved(t *testing.T) {
	w := newFixture(t, settings.Pool{Name: "p", Units: 5}, settings.Pool{Name: "q", Units: 5})
	small := w.job("a", 1000, 1, jobs.Array, perTask("p", 1))
	w.schedule(small)
	big := w.job("a", 1, 1, jobs.Array, perTask("p", 5), perTask("q", 1))
	other := w.job("a", 9, 1, jobs.Array, perTask("q", 5)) // would leave no unit of q
	for k := range 5 {
		expect(t, "no job overtakes the first one", w.schedule(big, small, other), "[0 0 0]")
		w.completeTask(small, k)
	}
	expect(t, "the first job gets all five units", w.schedule(big, small, other), "[1 0 0]")
	w.completeTask(big, 0)
	expect(t, "then the other jobs", w.schedule(small, other), "[5 1]")
}

// Per-job units that a job holds never prevent another job with per-job units from continuing.
func TestJobsHoldingUnitsDoNotDeadlock(t *testing.T) {
	w := newFixture(t, settings.Pool{Name: "p", Units: 2}, settings.Pool{Name: "q", Units: 2})
	a := w.job("a", 3, 1, jobs.Array, wholeJob("p", 1), perTask("q", 1))
	b := w.job("a", 3, 1, jobs.Array, wholeJob("q", 1), perTask("p", 1))
	c := w.job("a", 3, 1, jobs.Array, wholeJob("p", 1), perTask("q", 1))
	got := w.schedule(a, b, c)
	if got[0] == 0 {
		t.Fatalf("%v", got)
	}
	for step := 0; a.Finished+b.Finished+c.Finished < 9; step++ {
		if step > 60 {
			t.Fatalf("stuck: %d %d %d done, %s; %s", a.Finished, b.Finished, c.Finished, w.component.WaitReason(a), w.component.WaitReason(b))
		}
		for _, j := range []*jobs.Job{a, b, c} {
			for k, s := range j.Tasks {
				if s == jobs.Placed {
					w.completeTask(j, k)
					break
				}
			}
		}
		w.schedule(slices.DeleteFunc([]*jobs.Job{a, b, c}, func(j *jobs.Job) bool { return j.Waiting == 0 })...)
	}
	expect(t, "all units are released", []int64{w.inUse("p"), w.inUse("q")}, "[0 0]")
}

// Thousands of random runs with varied demands: the running tasks never hold more units than there
// are, no job waits for ever, and no job waits while enough units are free for it and no other job is
// before it in the order.
func TestRandomDemandsStayWithinLimitsAndComplete(t *testing.T) {
	days := 3000
	if testing.Short() {
		days = 100
	}
	longest := 0
	for seed := range uint64(days) {
		r := rand.New(rand.NewPCG(seed, 3))
		var pools []settings.Pool
		for i := range 1 + r.IntN(3) {
			pools = append(pools, settings.Pool{Name: fmt.Sprint("p", i), Units: 2 + r.IntN(6)})
		}
		w := newFixture(t, pools...)
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
			if len(counted) == 0 || w.component.Unsatisfiable(rec) != "" {
				continue
			}
			list = append(list, w.job("a", tasks, 1, kind, counted...))
		}
		open := func(j *jobs.Job) bool { return j.Finished < len(j.Tasks) }
		for step := 0; slices.ContainsFunc(list, open); step++ {
			if step > 500 {
				for _, j := range list {
					t.Logf("%+v: %d of %d done, %d placed; %s", j.Record.Counted, j.Finished, len(j.Tasks), j.Placed, w.component.WaitReason(j))
				}
				t.Fatalf("seed %d: stuck", seed)
			}
			longest = max(longest, step)
			left := slices.DeleteFunc(slices.Clone(list), func(j *jobs.Job) bool { return !open(j) })
			r.Shuffle(len(left), func(i, k int) {
				if r.IntN(3) == 0 {
					left[i], left[k] = left[k], left[i] // the order changes as sizes age
				}
			})
			w.schedule(left...)
			w.verify(seed, list)
			w.nobodyWaitsInVain(seed, left)
			if running := slices.IndexFunc(left, func(j *jobs.Job) bool { return j.Placed > 0 }); running < 0 {
				t.Fatalf("seed %d: nothing runs, and %d jobs wait: %s", seed, len(left), w.component.WaitReason(left[0]))
			}
			for _, j := range left {
				for k, s := range j.Tasks {
					if s == jobs.Placed && (r.IntN(2) == 0 || j.Record.Kind == jobs.Gang) {
						w.completeTask(j, k)
					}
				}
			}
		}
	}
	t.Logf("the longest run had %d steps", longest)
}

// nobodyWaitsInVain checks, after a scheduling cycle, that the first job in order that still waits
// lacks units that are in use, or needs per-job units that it does not hold yet.
func (w *fixture) nobodyWaitsInVain(seed uint64, left []*jobs.Job) {
	w.t.Helper()
	for _, h := range w.component.candidates {
		j := h.job
		if !slices.Contains(left, j) || j.Waiting == 0 {
			continue
		}
		lacks := h.needsJobUnits && !h.holdsJobUnits
		for _, n := range h.requirements {
			p := w.component.pools[n.pool]
			lacks = lacks || p.inUse+h.nextUnits(n) > p.size
		}
		if !lacks {
			w.t.Fatalf("seed %d: %+v waits although all units that it needs are free", seed, j.Record.Counted)
		}
		return
	}
}

// verify compares the units counted as in use with those that the placed and finished tasks imply.
func (w *fixture) verify(seed uint64, list []*jobs.Job) {
	w.t.Helper()
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
	for _, p := range w.pools {
		if sums[p.Name] > int64(p.Units) {
			w.t.Fatalf("seed %d: %d of %d units of %s are in use", seed, sums[p.Name], p.Units, p.Name)
		}
		if got := w.inUse(p.Name); got != sums[p.Name] {
			w.t.Fatalf("seed %d: %d units of %s count as in use, %d are", seed, got, p.Name, sums[p.Name])
		}
	}
}

// After a takeover, the units that an unresolved machine may have by its grants count as in use until
// it reports or is gone.
func TestUnheardMachinesCountAsInUseAfterTakeover(t *testing.T) {
	w := newFixture(t, settings.Pool{Name: "p", Units: 4, HoldAfterLossS: 30})
	w.startTerm(true)
	m := w.component.Inventory.Add(&workers.Machine{Name: "old", Durable: true, Number: 7, Session: 1, Capacity: resources.Room(4, 0, 16)})
	w.component.AddUnresolved(m)
	j := w.job("a", 8, 1, jobs.Array, perTask("p", 1))
	j.FromEarlierTerm, j.UnresolvedMachines, j.UnassignedFrom = true, 1, 3
	m.Grants[j.Record.ID] = true
	other := w.job("a", 8, 1, jobs.Array, perTask("p", 1))
	expect(t, "three tasks may be on the unresolved machine", w.inUse("p"), 3)
	expect(t, "one unit is left", w.schedule(other), "[1]")
	w.component.pools[0].drained = false
	if raw, err := w.component.Show(w.now, "p"); err != nil || !strings.Contains(string(raw), `"uncertain":3`) || !strings.Contains(string(raw), "machines not heard") {
		t.Errorf("%s %v", raw, err)
	}
	// It is gone without a report: units that it may have had stay in use for a while.
	w.component.Inventory.Remove("old")
	w.component.RemoveUnresolved(m)
	j.UnresolvedMachines--
	w.component.HandleEvent(cluster.Event{Kind: cluster.MachineResolved, At: w.now, Machine: m})
	w.component.HandleEvent(cluster.Event{Kind: cluster.MachineProvedGone, At: w.now, Machine: m})
	expect(t, "held after the loss", w.inUse("p"), 4)
	w.write()
	w.startTerm(true)
	expect(t, "held by the next leader too", w.inUse("p"), 3)
	w.now += 40 * time.Second
	expect(t, "released after the hold", w.inUse("p"), 0)
}

// A task that was on offer to a machine whose worker died may have run there, while its plan continues
// elsewhere: its units stay in use in addition to those of the plan.
func TestLostOfferHoldsUnits(t *testing.T) {
	w := newFixture(t, settings.Pool{Name: "p", Units: 4, HoldAfterLossS: 30}, settings.Pool{Name: "q", Units: 4})
	j := w.job("a", 1, 1, jobs.Array, perTask("p", 1), perTask("q", 1))
	w.schedule(j)
	w.component.HandleEvent(cluster.Event{Kind: cluster.OfferLost, At: w.now, Job: j, Task: 0, Machine: w.machine})
	expect(t, "units of the plan and of the loss", []int64{w.inUse("p"), w.inUse("q")}, "[2 1]")
	other := w.job("a", 9, 1, jobs.Array, perTask("p", 1))
	expect(t, "none before the loss is written", w.schedule(other), "[0]")
	w.write()
	expect(t, "then the other job", w.schedule(other), "[2]")
}

// A task of a cancelled job keeps its units while a machine still reports it as running.
func TestOrphansKeepTheirUnits(t *testing.T) {
	w := newFixture(t, settings.Pool{Name: "p", Units: 4})
	rec := eventlog.Job{ID: 77, Team: "a", Tasks: 3, CPUs: 1, Counted: []eventlog.PoolUnits{perTask("p", 2)}}
	rec.HideFromOlderVersions()
	w.startTerm(false)
	w.component.Replay(w.now, eventlog.Entry{Job: &rec})
	w.component.Jobs.RecordFinalPhase(77, jobs.Cancelled)
	w.component.Begin(w.now)
	w.read()
	r := &workers.Report{Machine: "m", Tasks: []workers.TaskReport{{Job: 77, Task: 1, Attempt: 5, State: workers.Running}}}
	w.component.HandleEvent(cluster.Event{Kind: cluster.HeartbeatApplied, At: w.now, Machine: w.machine, Report: r})
	expect(t, "the orphan still runs", w.inUse("p"), 2)
	r.Tasks[0].State = workers.Ended
	w.component.HandleEvent(cluster.Event{Kind: cluster.HeartbeatApplied, At: w.now, Machine: w.machine, Report: r})
	expect(t, "the orphan has ended", w.inUse("p"), 0)
	// A task of an unknown job blocks the allocation from all pools while it is there.
	r.Tasks[0].Job, r.Tasks[0].State = 999, workers.Running
	w.component.HandleEvent(cluster.Event{Kind: cluster.HeartbeatApplied, At: w.now, Machine: w.machine, Report: r})
	j := w.job("a", 1, 1, jobs.Array, perTask("p", 1))
	expect(t, "closed", w.schedule(j), "[0]")
	w.component.HandleEvent(cluster.Event{Kind: cluster.MachineProvedGone, At: w.now, Machine: w.machine})
	expect(t, "gone", w.schedule(j), "[1]")
}

// A smaller size takes effect at once, a larger one when it is durable. A repeated change gets the
// same answer, one planned for another version is refused, and the next leader reads the changes.
func TestChangesAreIdempotentAndVersioned(t *testing.T) {
	w := newFixture(t, settings.Pool{Name: "p", Units: 4})
	ask := func(body string) (Changed, error) {
		raw, err := w.component.Change(w.now, json.RawMessage(`{"change":`+body+`}`))
		var out Changed
		if err == nil {
			err = json.Unmarshal(raw, &out)
		}
		return out, err
	}
	more, err := ask(`{"id":"x1","pool":"p","version":0,"units":6}`)
	if err != nil || more.Durable || more.Pool.Units != 4 || more.Pool.Pending != 6 {
		t.Errorf("%+v %v", more, err)
	}
	if _, err := ask(`{"id":"x2","pool":"p","version":0,"units":9}`); err == nil || !strings.Contains(err.Error(), "version") {
		t.Errorf("planned for an earlier version: %v", err)
	}
	w.write()
	if again, err := ask(`{"id":"x1","pool":"p","version":0,"units":6}`); err != nil || !again.Durable || again.Version != 1 || again.Pool.Units != 6 {
		t.Errorf("%+v %v", again, err)
	}
	j := w.job("a", 9, 1, jobs.Array, perTask("p", 1))
	expect(t, "six", w.schedule(j), "[6]")
	if less, err := ask(`{"id":"x3","pool":"p","version":1,"units":2}`); err != nil || less.Pool.Units != 2 || less.Pool.Out != 6 {
		t.Errorf("%+v %v", less, err)
	}
	for k := range 4 {
		w.completeTask(j, k)
		expect(t, "none while more units are in use than the pool has", w.schedule(j), "[0]")
	}
	w.completeTask(j, 4)
	expect(t, "one", w.schedule(j), "[1]")
	if _, err := ask(`{"id":"x4","pool":"p","version":2,"drain":true}`); err != nil {
		t.Error(err)
	}
	w.completeTask(j, 5)
	expect(t, "none from a drained pool", w.schedule(j), "[0]")
	w.write()
	w.startTerm(false)
	j = w.job("a", 9, 1, jobs.Array, perTask("p", 1))
	expect(t, "none before the changes are read", w.schedule(j), "[0]")
	w.read()
	expect(t, "none from a drained pool after a takeover", w.schedule(j), "[0]")
	if undo, err := ask(`{"id":"x5","pool":"p","version":3,"drain":false,"units":-1}`); err != nil || undo.Version != 4 {
		t.Errorf("%+v %v", undo, err)
	}
	w.write()
	expect(t, "as many as in the settings", w.schedule(j), "[4]")
	for _, refused := range []struct{ names, body string }{
		{names: "pool", body: `{"id":"y","pool":"none","version":0,"units":1}`},
		{names: "id", body: `{"pool":"p","version":4,"units":1}`},
		{names: "neither", body: `{"id":"y","pool":"p","version":4}`},
		{names: "units", body: `{"id":"y","pool":"p","version":4,"units":2000000000}`},
	} {
		t.Run("refused for "+refused.names, func(t *testing.T) {
			_, err := ask(refused.body)
			if err == nil || !strings.Contains(err.Error(), refused.names) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s: %v", refused.body, err)
			}
		})
	}
	// A value of a later format version cannot be interpreted.
	w.values[eventlog.ComponentValueKey(Name, 9)] = json.RawMessage(`{"v":2}`)
	w.startTerm(true)
	expect(t, "closed", w.schedule(w.job("a", 1, 1, jobs.Array, perTask("p", 1))), "[0]")
	said := false
	for _, e := range w.component.DrainEffects() {
		if n, ok := e.(effects.LogMessage); ok && n.Level == effects.Error {
			said = true
		}
	}
	if !said {
		t.Error("no error is logged for the value of a later version")
	}
}

// The numbers of units in a receipt are not given to another holder while theirs may be running.
func TestReceiptsNumberUnitsUniquely(t *testing.T) {
	w := newFixture(t, settings.Pool{Name: "p", Units: 5}, settings.Pool{Name: "q", Units: 3})
	a := w.job("a", 3, 1, jobs.Array, perTask("p", 2), wholeJob("q", 1))
	w.schedule(a)
	ask := func(j *jobs.Job, k int, attempt uint64) (r Receipt, err error) {
		body, _ := json.Marshal(Request{Receipt: &Holding{j.Record.ID, k, attempt}})
		raw, err := w.component.Change(w.now, body)
		if err == nil {
			err = json.Unmarshal(raw, &r)
		}
		return r, err
	}
	at := func(j *jobs.Job, k int) *workers.Placement {
		return w.component.Placements[workers.TaskRef{Job: j.Index, Task: int32(k)}]
	}
	if _, err := ask(a, 0, 1); err == nil {
		t.Error("another attempt gets a receipt")
	}
	one, err := ask(a, 0, at(a, 0).Attempt)
	if err != nil || one.Durable {
		t.Fatalf("%+v %v", one, err)
	}
	w.write()
	one, _ = ask(a, 0, at(a, 0).Attempt)
	two, _ := ask(a, 1, at(a, 1).Attempt)
	w.write()
	if !one.Durable || fmt.Sprint(one.Units) != "[{p [1 2] false} {q [1] true}]" || fmt.Sprint(two.Units) != "[{p [3 4] false} {q [1] true}]" {
		t.Errorf("%+v and %+v", one, two)
	}
	w.completeTask(a, 0)
	w.schedule(a)
	if third, err := ask(a, 2, at(a, 2).Attempt); err != nil || fmt.Sprint(third.Units[0].Numbers) != "[1 2]" {
		t.Errorf("%+v %v", third, err)
	}
}

// A silent machine that holds a unit which another job waits for is decommissioned early, if the
// setting is not 0.
func TestSilentMachineIsDecommissionedEarly(t *testing.T) {
	for _, setting := range []float64{0, 5} {
		w := newFixture(t, settings.Pool{Name: "p", Units: 1})
		w.component.Cfg.Tunables.UnitsSilentS = setting
		a, b := w.job("a", 1, 1, jobs.Array, perTask("p", 1)), w.job("a", 1, 1, jobs.Array, perTask("p", 1))
		w.machine.LastHeartbeat = w.now
		w.schedule(a, b)
		w.now += 7 * time.Second
		w.schedule(b)
		w.component.Tick(w.now, true)
		if w.machine.Deleting != (setting > 0) {
			t.Errorf("with a setting of %v s, decommissioned: %v", setting, w.machine.Deleting)
		}
	}
}

// A job that holds per-job units and is not ready for a moment, since its task has failed, must find
// the units that it needs when it is ready again. Otherwise it would wait for a job that started
// meanwhile, whose next task waits for the units that are reserved for the first job.
func TestNoRingOfWholeJobs(t *testing.T) {
	w := newFixture(t, settings.Pool{Name: "p", Units: 3}, settings.Pool{Name: "q", Units: 3}, settings.Pool{Name: "s", Units: 1})
	x := w.job("a", 2, 1, jobs.Array, wholeJob("s", 1), perTask("p", 2), perTask("q", 3))
	w.schedule(x)
	w.completeTask(x, 0)
	z := w.job("a", 2, 1, jobs.Array, wholeJob("q", 1), perTask("p", 2))
	expect(t, "while the first is not ready", w.schedule(z), "[0]")
	expect(t, "then", w.schedule(x, z), "[1 0]")
	w.completeTask(x, 1)
	expect(t, "then the other job", w.schedule(z), "[1]")
}
