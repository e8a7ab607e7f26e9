package standin

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"bitternmoor/internal/scaletest/traffic"
)

// Fleet simulates the workers of a cloud's machines. Each worker reports to one controller at a time
// and carries out its commands; the fleet checks the platform's rules on running tasks.
type Fleet struct {
	Controllers    []string // base URLs of the controllers, which are named n0, n1, …
	ReportInterval time.Duration
	Lease          time.Duration
	// ReportsChangesAtOnce makes workers report changes at once, but no sooner than half a second
	// after the last report, and varies the intervals by up to a quarter, as the protocol requires.
	ReportsChangesAtOnce bool
	// Fetch is the time that a machine takes to fetch an image that is not in its cache.
	Fetch time.Duration
	// Image returns the image of a job; nil: tasks need no image.
	Image func(job string) string
	// JobDuration returns the run time of a job's tasks, and the jobs that must be done first.
	JobDuration func(job string) (time.Duration, []string)
	// TaskDuration, if set, returns the run time of each task and replaces that of JobDuration.
	TaskDuration func(task string) time.Duration
	// TaskCount returns the number of tasks in a job.
	TaskCount func(job string) int
	// PoolUnits, if set, returns how many units of which pools each task of a job holds while it
	// runs. Holding more than SetPoolLimit allows is a broken rule.
	PoolUnits func(job string) map[string]int
	// Team, if set, returns the team of a job, how many processors each of its tasks uses, and how
	// many the team may use; 0: no limit.
	Team func(job string) (team string, cpus, limit float64)
	// CancelWithin is how long tasks of a job may keep running after its user was notified of the
	// cancellation.
	CancelWithin time.Duration
	// Record, if set, receives the starts and ends of tasks instead of the fleet itself.
	Record Recorder
	// Observe, if set, is called for each event while the fleet's lock is held, so it must not
	// call the fleet.
	Observe func(Event)
	// Reaches, if set, reports whether a zone's workers can reach a controller, and the one-way
	// latency.
	Reaches func(zone string, controller int) (ok bool, latency time.Duration)
	// Traffic counts the traffic with each controller, as workers see it; nil: it is not counted.
	Traffic []*traffic.Meter
	// Direct counts the traffic of controllers' direct requests to workers.
	Direct traffic.Meter

	mu             sync.Mutex
	workers        map[string]*worker
	paused         map[string]time.Time // by machine: its worker sends no reports until then
	answersDropped map[string]time.Time // by machine: answers to its reports are lost until then
	copyDelay      time.Duration        // largest delay of copied reports; 0: no copies
	lateCopies     int                  // number of copies that arrived
	gone           map[string]bool
	audit
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	TaskStarted   EventKind = iota // Task has started on Machine
	TaskCompleted                  // Task has completed on Machine
	TaskLost                       // Task has ended on Machine without completing
)

// Event is a start or an end of a task on a machine.
type Event struct {
	Kind          EventKind
	Task, Machine string
	At            time.Time
}

// StartWorker starts the worker of a machine, which runs until StopWorker.
func (f *Fleet) StartWorker(m Machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.gone == nil {
		f.gone, f.workers = map[string]bool{}, map[string]*worker{}
	}
	f.beginAudit()
	w := newWorker(f, m)
	f.workers[m.Name] = w
	go w.run()
}

// StopWorker stops the worker of a machine and all tasks on it.
func (f *Fleet) StopWorker(m Machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[m.Name]; w != nil {
		close(w.stopped)
		delete(f.workers, m.Name)
	}
	if f.gone != nil {
		f.gone[m.Name] = true
	}
	for t, on := range f.runningOn {
		if on == m.Name {
			f.ended(t, on, false)
		}
	}
}

// Workers returns the number of workers that are up.
func (f *Fleet) Workers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.workers)
}

// Handler returns the HTTP handler of a machine's worker, or nil if it has no worker.
func (f *Fleet) Handler(machine string) http.Handler {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[machine]; w != nil {
		return w
	}
	return nil
}

// PauseWorker stops the reports of a machine's worker for the duration d. Its tasks keep running
// until its lease expires.
func (f *Fleet) PauseWorker(machine string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.paused == nil {
		f.paused = map[string]time.Time{}
	}
	f.paused[machine] = time.Now().Add(d)
}

// DropAnswers loses the answers to a machine's reports for the duration d; the reports still arrive.
func (f *Fleet) DropAnswers(machine string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answersDropped == nil {
		f.answersDropped = map[string]time.Time{}
	}
	f.answersDropped[machine] = time.Now().Add(d)
}

// DuplicateReports sends a copy of one in four reports to a random controller, up to the given time
// after the original.
func (f *Fleet) DuplicateReports(within time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copyDelay = within
}

// LateCopies returns how many copies of reports have arrived.
func (f *Fleet) LateCopies() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lateCopies
}

// faults are the faults that currently affect a machine's worker.
type faults struct {
	gone, paused, answersDropped bool
	copyDelay                    time.Duration
}

func (f *Fleet) currentFaults(machine string) faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	return faults{f.gone[machine], now.Before(f.paused[machine]), now.Before(f.answersDropped[machine]), f.copyDelay}
}

func (f *Fleet) recorder() Recorder {
	if f.Record != nil {
		return f.Record
	}
	return f
}

// controllerNumber returns the index of the controller with the given name, and false if there is none.
func (f *Fleet) controllerNumber(name string) (int, bool) {
	number, ok := strings.CutPrefix(name, "n")
	i, err := strconv.Atoi(number)
	return i, ok && err == nil && i >= 0 && i < len(f.Controllers)
}

// traffic returns the meter of the traffic with a controller, or an unused one if none is set.
func (f *Fleet) traffic(controller int) *traffic.Meter {
	if controller < len(f.Traffic) {
		return f.Traffic[controller]
	}
	return &traffic.Meter{}
}
