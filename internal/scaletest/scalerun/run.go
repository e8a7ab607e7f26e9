package scalerun

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"bitternmoor/internal/scaletest/experiment"
)

const (
	sampleInterval = time.Second
	// machineStartSpread is the time over which the starts of the machines are spread. The load begins one
	// report interval later.
	machineStartSpread = 3 * time.Second
)

// Run runs an experiment with the given number of workers and seed, and returns the measured result.
func Run(ctx context.Context, e *experiment.Experiment, size int, seed uint64, o Options) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, err := newTestbed(ctx, e, size, seed, o)
	if err != nil {
		return nil, err
	}
	defer w.close()
	for _, c := range w.controllers {
		if err := w.start(c); err != nil {
			return nil, err
		}
	}
	if err := w.awaitLeader(); err != nil {
		return nil, err
	}
	if err := w.startMachines(); err != nil {
		return nil, err
	}
	r := &Result{Experiment: e.Name, Size: size, Seed: seed, Counts: w.counts}
	if err := w.runPhases(r); err != nil {
		return nil, err
	}
	return r, nil
}

// startMachines starts all machines and waits for one report interval.
func (w *testbed) startMachines() error {
	for k := range w.size {
		w.cloud.AddMachine(machineType, w.zoneOf(k), false)
		if err := w.sleep(machineStartSpread / time.Duration(w.size)); err != nil {
			return err
		}
	}
	return w.sleep(seconds(w.exp.Workers.ReportS))
}

func (w *testbed) sleep(d time.Duration) error {
	select {
	case <-w.ctx.Done():
		return w.ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// runPhases runs all phases and waits until all jobs are over or drain_s has passed.
func (w *testbed) runPhases(r *Result) error {
	stop, end := context.WithCancel(w.ctx)
	defer end()
	w.users = &users{net: w.network, fleet: w.fleet, work: &w.work, latency: w.latency, poll: seconds(w.exp.Load.PollS), begin: time.Now(), stop: stop}
	for _, c := range w.controllers {
		w.users.controllers = append(w.users.controllers, c.client)
	}
	var openJobs sync.WaitGroup
	for _, j := range w.jobs {
		openJobs.Go(func() { w.users.runJob(j) })
	}
	go w.failMachines(stop)
	changesCtx, endChanges := context.WithCancel(stop)
	defer endChanges()
	if w.operators != nil {
		go w.operators.run(changesCtx)
		go w.operators.watchRevisions(stop)
	}
	for _, p := range w.exp.Phases {
		measured, err := w.runPhase(p)
		if err != nil {
			return err
		}
		r.Phases = append(r.Phases, measured)
	}
	endChanges()
	if err := w.drain(&openJobs); err != nil {
		return err
	}
	w.operators.awaitApplied(stop)
	w.users.recheckFinalStates(w.jobs)
	r.Changes, r.Waiting = w.operators.counts()
	end()
	openJobs.Wait()
	r.Accepted, r.Over = w.users.accepted.Load(), w.users.over.Load()
	r.Broken = append([]string{}, w.fleet.BrokenRules()...)
	if o, err := w.observe(); err == nil {
		for _, what := range o.Refused {
			r.Broken = append(r.Broken, "over the state service's limits: "+what)
		}
	}
	return nil
}

// drain waits until all users have been notified of the end of their jobs, for drain_s at most.
func (w *testbed) drain(openJobs *sync.WaitGroup) error {
	over := make(chan struct{})
	go func() { openJobs.Wait(); close(over) }()
	select {
	case <-over:
	case <-time.After(seconds(w.exp.DrainS)):
	case <-w.ctx.Done():
		return w.ctx.Err()
	}
	return nil
}

// runPhase runs and measures one phase.
func (w *testbed) runPhase(p experiment.Phase) (Phase, error) {
	if _, err := w.watch(p, false, seconds(p.SettleS)); err != nil {
		return Phase{}, err
	}
	w.latency.takePhase()
	w.options.Log.Info("measuring", "size", w.size, "seed", w.seed, "phase", p.Name, "event", p.Event)
	undo := w.applyEvent(p)
	samples, err := w.watch(p, true, seconds(p.MeasureS))
	undo()
	if err != nil {
		return Phase{}, err
	}
	return summarize(p.Name, w.exp.Load.Teams, samples, w.latency.takePhase()), nil
}

// watch samples the run for the given duration and checks for overdue tasks of cancelled jobs.
func (w *testbed) watch(p experiment.Phase, measured bool, duration time.Duration) (samples []Sample, err error) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		s := w.sample(w.users.begin, p.Name, measured)
		if err := w.writeSample(s); err != nil {
			return nil, err
		}
		samples = append(samples, s)
		w.fleet.CheckOverdue()
		if err := w.sleep(min(sampleInterval, time.Until(end))); err != nil {
			return nil, err
		}
		if n := len(samples); n%10 == 0 {
			w.options.Log.Info("playing", "size", w.size, "phase", p.Name, "running", s.Running, "workers", s.Up+len(s.Workers), "starts", s.Starts, "leader", s.Leader)
		}
	}
	if duration > 0 {
		samples = append(samples, w.sample(w.users.begin, p.Name, measured))
	}
	return samples, nil
}

// applyEvent injects the event of a phase. It returns a function that ends a partition or an outage
// that still lasts at the end of the phase.
func (w *testbed) applyEvent(p experiment.Phase) (undo func()) {
	undo = func() {}
	duration := seconds(p.EventS)
	if duration == 0 {
		duration = seconds(p.MeasureS)
	}
	switch p.Event {
	case experiment.KillLeader:
		if o, err := w.observe(); err == nil {
			for _, c := range w.controllers {
				if c.name == o.Leader {
					w.restart(c, seconds(w.exp.Controllers.RestartS))
				}
			}
		}
	case experiment.KillAll:
		for _, c := range w.controllers {
			w.restart(c, seconds(w.exp.Controllers.RestartS))
		}
	case experiment.CutZone, experiment.CutRegions:
		w.network.setPartition(p.Zone, p.Event == experiment.CutRegions)
		heal := time.AfterFunc(duration, func() { w.network.setPartition(noZone, false) })
		undo = func() {
			if heal.Stop() {
				w.network.setPartition(noZone, false)
			}
		}
	case experiment.LoseZone:
		for _, c := range w.controllers {
			if c.zone == p.Zone {
				w.restart(c, duration)
			}
		}
		w.loseMachines(w.inZone(p.Zone), duration)
	case experiment.LoseRack:
		machines := w.inZone(p.Zone)
		w.loseMachines(machines[:min(w.exp.Workers.Rack, len(machines))], duration)
	case experiment.StateOutage:
		w.setOutage(true)
		restore := time.AfterFunc(duration, func() { w.setOutage(false) })
		undo = func() {
			if restore.Stop() {
				w.setOutage(false)
			}
		}
	}
	return undo
}

func (w *testbed) setOutage(down bool) {
	flag := "0"
	if down {
		flag = "1"
	}
	resp, err := http.Get("http://" + w.stateAddr + pathOutage + "?down=" + flag)
	if err != nil {
		w.options.Log.Error("request to the state service failed", "error", err)
		return
	}
	_ = resp.Body.Close() // the answer has no body
}

// restart kills a controller and starts it again after the given delay.
func (w *testbed) restart(c *controller, after time.Duration) {
	c.kill()
	time.AfterFunc(after, func() {
		if w.ctx.Err() == nil {
			if err := w.start(c); err != nil {
				w.options.Log.Error("failed to restart a controller", "node", c.name, "error", err)
			}
		}
	})
}

func (w *testbed) inZone(zone string) (names []string) {
	for _, m := range w.cloud.Machines() {
		if m.Zone == zone {
			names = append(names, m.Name)
		}
	}
	return names
}

// loseMachines stops machines and all tasks on them, and adds replacements after the given delay.
func (w *testbed) loseMachines(machines []string, replaced time.Duration) {
	w.latency.markFailed(machines...)
	zones := map[string]string{}
	for _, m := range w.cloud.Machines() {
		zones[m.Name] = m.Zone
	}
	for _, m := range machines {
		w.cloud.FailMachine(m)
	}
	time.AfterFunc(replaced, func() {
		for _, m := range machines {
			if w.ctx.Err() == nil && w.cloud.FreeCapacity(zones[m]) > 0 {
				w.cloud.AddMachine(machineType, zones[m], false)
			}
		}
	})
}

// failMachines loses and restarts single machines at random, at the rates of the experiment.
func (w *testbed) failMachines(ctx context.Context) {
	f := w.exp.Failures
	perSecond := (f.LossesPerDay + f.RestartsPerDay) * f.Speed * w.exp.Share(w.size) / (24 * time.Hour).Seconds()
	if perSecond == 0 {
		return
	}
	rng := rand.New(rand.NewPCG(w.seed, uint64(w.size)+1))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(seconds(rng.ExpFloat64() / perSecond)):
		}
		machines := w.cloud.Machines()
		if len(machines) <= w.exp.Workers.Processes {
			continue
		}
		m := machines[w.exp.Workers.Processes+rng.IntN(len(machines)-w.exp.Workers.Processes)]
		if rng.Float64()*(f.LossesPerDay+f.RestartsPerDay) < f.LossesPerDay {
			w.loseMachines([]string{m.Name}, seconds(f.ReplacedS))
			continue
		}
		w.latency.markFailed(m.Name)
		w.cloud.PreemptMachine(m.Name)
		w.cloud.AddMachine(m.Type, m.Zone, m.Spot)
	}
}

// MakeDir creates the directory for the settings files and logs of one run, and returns its path.
func MakeDir(parent string, name string) (string, error) {
	dir := filepath.Join(parent, name)
	return dir, os.MkdirAll(dir, 0o700)
}
