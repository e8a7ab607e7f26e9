package standin

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"bitternmoor/internal/scaletest/traffic"
)

// Fleet plays the workers of a cloud's machines: each reports to one controller at a time and
// runs what it is told to, and the rules that concern a start are checked.
type Fleet struct {
	Controllers       []string // base addresses of the controllers, which are called n0, n1, …
	HeartbeatInterval time.Duration
	Lease             time.Duration
	// ReportsChangesAtOnce has changes reported at once, though half a second after the last report at the
	// soonest, and intervals differ by a quarter, as the protocol has it.
	ReportsChangesAtOnce bool
	// Fetch is how long a machine takes to get an image that it does not have.
	Fetch time.Duration
	// Image names the image of a job; nil: no machine has to get any.
	Image func(job string) string
	// JobDuration says how long tasks of a job run, and which jobs must be done before.
	JobDuration func(job string) (time.Duration, []string)
	// TaskDuration, where it is set, says it for each task instead.
	TaskDuration func(task string) time.Duration
	// TaskCount is how many tasks a job has.
	TaskCount func(job string) int
	// PoolUnits, where it is set, says how many units of which pools each task of a job
	// holds while it runs; more than SetPoolLimit allows are a broken rule.
	PoolUnits func(job string) map[string]int
	// Team, where it is set, says whose a job is, how many processors each of its tasks uses,
	// and how many the team may use; 0: any number.
	Team func(job string) (team string, cpus, limit float64)
	// CancelWithin is how long tasks of a job may run on after its user was told.
	CancelWithin time.Duration
	// Record is told of starts and ends in place of the fleet itself.
	Record Recorder
	// Observe, where it is set, hears what happens. It must not call the fleet.
	Observe func(Event)
	// Reaches, where it is set, says whether a zone's workers reach a controller, and how
	// long a message takes one way.
	Reaches func(zone string, controller int) (ok bool, latency time.Duration)
	// Traffic counts what is sent to each controller; nil: it is not counted.
	Traffic []*traffic.Meter
	// Direct counts what controllers send to workers.
	Direct traffic.Meter

	mu             sync.Mutex
	workers        map[string]*worker
	paused         map[string]time.Time // machines whose workers make no reports until then
	answersDropped map[string]time.Time // machines that answers do not reach until then
	copyDelay      time.Duration        // a copy of one in four reports arrives so much later at most; 0: none
	lateCopies     int                  // copies that did arrive
	gone           map[string]bool
	audit
}

// EventKind says what has happened on a machine.
type EventKind uint8

// Kinds of events.
const (
	TaskStarted   EventKind = iota // Task runs on Machine
	TaskCompleted                  // and is done
	TaskLost                       // and is gone from it without being done
)

// Event is something that has happened on a machine.
type Event struct {
	Kind          EventKind
	Task, Machine string
	At            time.Time
}

// StartWorker begins a machine's worker, which ends with StopWorker.
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

// StopWorker has a machine's worker end, with all that is on it.
func (f *Fleet) StopWorker(m Machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[m.Name]; w != nil {
		close(w.down)
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

// Workers counts those that are up.
func (f *Fleet) Workers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.workers)
}

// Handler is what a machine's worker serves at its address; nil: there is none.
func (f *Fleet) Handler(machine string) http.Handler {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[machine]; w != nil {
		return w
	}
	return nil
}

// PauseWorker has a machine's worker make no reports for a while; what runs there runs on
// until its lease is over.
func (f *Fleet) PauseWorker(machine string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.paused == nil {
		f.paused = map[string]time.Time{}
	}
	f.paused[machine] = time.Now().Add(d)
}

// DropAnswers has a machine's reports arrive, and no answer reach it, for a while.
func (f *Fleet) DropAnswers(machine string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answersDropped == nil {
		f.answersDropped = map[string]time.Time{}
	}
	f.answersDropped[machine] = time.Now().Add(d)
}

// RepeatHeartbeats has a copy of one in four reports arrive at some controller, so much later at most.
func (f *Fleet) RepeatHeartbeats(within time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copyDelay = within
}

// LateCopies counts the copies of reports that arrived.
func (f *Fleet) LateCopies() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lateCopies
}

// troubles is what a machine's worker meets now.
type troubles struct {
	gone, paused, answersDropped bool
	copyDelay                    time.Duration
}

func (f *Fleet) troubles(machine string) troubles {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	return troubles{f.gone[machine], now.Before(f.paused[machine]), now.Before(f.answersDropped[machine]), f.copyDelay}
}

func (f *Fleet) recorder() Recorder {
	if f.Record != nil {
		return f.Record
	}
	return f
}

// controllerNumber is the controller with a name.
func (f *Fleet) controllerNumber(name string) (int, bool) {
	number, ok := strings.CutPrefix(name, "n")
	i, err := strconv.Atoi(number)
	return i, ok && err == nil && i >= 0 && i < len(f.Controllers)
}

// traffic counts what is sent to a controller.
func (f *Fleet) traffic(controller int) *traffic.Meter {
	if controller < len(f.Traffic) {
		return f.Traffic[controller]
	}
	return &traffic.Meter{}
}
