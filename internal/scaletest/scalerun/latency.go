package scalerun

import (
	"sync"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"

	"bitternmoor/internal/scaletest/standin"
)

// sketchError is the relative error of the quantiles.
const sketchError = 0.01

// Latency summarizes a distribution of durations in seconds.
type Latency struct {
	Count  int     `json:"count"`
	Median float64 `json:"median_s"`
	P99    float64 `json:"p99_s"`
	Max    float64 `json:"max_s"`
}

// histogram collects durations of one kind.
type histogram struct{ sketch *ddsketch.DDSketch }

func newHistogram() *histogram {
	s, err := ddsketch.NewDefaultDDSketch(sketchError)
	if err != nil {
		panic("scalerun: " + err.Error()) // it fails only for an invalid sketchError, which is a constant
	}
	return &histogram{s}
}

func (h *histogram) add(d time.Duration) { _ = h.sketch.Add(max(0, d.Seconds())) } // fails only for non-finite values

func (h *histogram) latency() Latency {
	l := Latency{Count: int(h.sketch.GetCount())}
	if l.Count == 0 {
		return l
	}
	l.Median, _ = h.sketch.GetValueAtQuantile(0.5) // the quantiles fail only on an empty sketch
	l.P99, _ = h.sketch.GetValueAtQuantile(0.99)
	l.Max, _ = h.sketch.GetMaxValue()
	return l
}

// times are the histograms and counters of one phase.
type times struct {
	urgent, other, cancel, recovery, changed, inForce *histogram
	prompt                                            int // urgent tasks that started within the time limit
	lost                                              int // tasks that ended without completing
}

func newTimes() *times {
	return &times{urgent: newHistogram(), other: newHistogram(), cancel: newHistogram(), recovery: newHistogram(), changed: newHistogram(), inForce: newHistogram()}
}

// promptShare returns the share of urgent tasks that started within the time limit.
func (t *times) promptShare() float64 {
	n := t.urgent.sketch.GetCount()
	if n == 0 {
		return 0
	}
	return float64(t.prompt) / n
}

// latencies collects the latencies of each phase: of task starts after the submission of the job or the
// loss of the task, of cancellations, and of configuration changes.
type latencies struct {
	urgentLimit   time.Duration // time limit for the start of an urgent task
	mu            sync.Mutex
	phase         *times
	jobs          map[string]submitted
	seenTasks     map[string]bool
	lost          map[string]time.Time // by task: when it was lost with its machine
	failed        map[string]bool      // machines that were lost or restarted
	starts, ended uint64
}

type submitted struct {
	at     time.Time
	urgent bool
}

func newLatencies(urgentLimit time.Duration) *latencies {
	return &latencies{urgentLimit: urgentLimit, phase: newTimes(), jobs: map[string]submitted{}, seenTasks: map[string]bool{}, lost: map[string]time.Time{}, failed: map[string]bool{}}
}

// submitted records the time of the first attempt to submit a job.
func (l *latencies) submitted(job string, urgent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[job] = submitted{time.Now(), urgent}
}

// cancelled records the time from a user's decision to cancel a job to the answer.
func (l *latencies) cancelled(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.phase.cancel.add(took)
}

// changed records the time from the request for a configuration change until it was durable.
func (l *latencies) changed(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.phase.changed.add(took)
}

// inForce records the time from when a change was durable until all controllers had applied it.
func (l *latencies) inForce(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.phase.inForce.add(took)
}

// markFailed records that machines are about to be lost or restarted.
func (l *latencies) markFailed(machines ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range machines {
		l.failed[m] = true
	}
}

// observe processes a start or an end of a task.
func (l *latencies) observe(e standin.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch e.Kind {
	case standin.TaskStarted:
		l.started(e)
	case standin.TaskCompleted:
		l.ended++
	case standin.TaskLost:
		l.ended++
		l.phase.lost++
		if l.failed[e.Machine] {
			l.lost[e.Task] = e.At
		}
	}
}

func (l *latencies) started(e standin.Event) {
	l.starts++
	if at, ok := l.lost[e.Task]; ok {
		l.phase.recovery.add(e.At.Sub(at))
		delete(l.lost, e.Task)
	}
	if l.seenTasks[e.Task] {
		return
	}
	l.seenTasks[e.Task] = true
	j := l.jobs[standin.JobOf(e.Task)]
	took := e.At.Sub(j.at)
	if !j.urgent {
		l.phase.other.add(took)
		return
	}
	l.phase.urgent.add(took)
	if took <= l.urgentLimit {
		l.phase.prompt++
	}
}

// takePhase returns the histograms collected so far and begins new ones.
func (l *latencies) takePhase() *times {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.phase
	l.phase = newTimes()
	return t
}

func (l *latencies) counts() (starts, ended uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts, l.ended
}
