package scalerun

import (
	"sync"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"

	"bitternmoor/internal/scaletest/standin"
)

// sketchError is the relative error of the quantiles.
const sketchError = 0.01

// Latency is a distribution of times, in seconds.
type Latency struct {
	Count  int     `json:"count"`
	Median float64 `json:"median_s"`
	P99    float64 `json:"p99_s"`
	Max    float64 `json:"max_s"`
}

// histogram gathers times of one kind.
type histogram struct{ sketch *ddsketch.DDSketch }

func newHistogram() *histogram {
	s, err := ddsketch.NewDefaultDDSketch(sketchError)
	if err != nil {
		panic("scalerun: " + err.Error()) // the error is a constant
	}
	return &histogram{s}
}

func (h *histogram) add(d time.Duration) { _ = h.sketch.Add(max(0, d.Seconds())) } // times are finite

func (h *histogram) latency() Latency {
	l := Latency{Count: int(h.sketch.GetCount())}
	if l.Count == 0 {
		return l
	}
	l.Median, _ = h.sketch.GetValueAtQuantile(0.5) // it is not empty
	l.P99, _ = h.sketch.GetValueAtQuantile(0.99)
	l.Max, _ = h.sketch.GetMaxValue()
	return l
}

// times are the histograms of one phase.
type times struct {
	urgent, other, cancel, recovery, changed, inForce *histogram
	prompt                                            int // urgent starts that were soon enough
	lost                                              int // tasks that went without being done
}

func newTimes() *times {
	return &times{urgent: newHistogram(), other: newHistogram(), cancel: newHistogram(), recovery: newHistogram(), changed: newHistogram(), inForce: newHistogram()}
}

// promptShare is the share of urgent starts that were soon enough.
func (t *times) promptShare() float64 {
	n := t.urgent.sketch.GetCount()
	if n == 0 {
		return 0
	}
	return float64(t.prompt) / n
}

// latencies follows jobs from their submission, and tasks from a loss, to their starts.
type latencies struct {
	soon          time.Duration // within which an urgent task should start
	mu            sync.Mutex
	phase         *times
	jobs          map[string]submitted
	begun         map[string]bool
	lost          map[string]time.Time // tasks whose machine was lost
	failed        map[string]bool      // machines
	starts, ended uint64
}

type submitted struct {
	at     time.Time
	urgent bool
}

func newLatencies(soon time.Duration) *latencies {
	return &latencies{soon: soon, phase: newTimes(), jobs: map[string]submitted{}, begun: map[string]bool{}, lost: map[string]time.Time{}, failed: map[string]bool{}}
}

// submitted notes the first attempt to submit a job.
func (l *latencies) submitted(job string, urgent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[job] = submitted{time.Now(), urgent}
}

func (l *latencies) cancelled(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.phase.cancel.add(took)
}

// changed notes how long a change of the configuration took to be durable, inForce how long after
// that all controllers had it.
func (l *latencies) changed(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.phase.changed.add(took)
}

func (l *latencies) inForce(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.phase.inForce.add(took)
}

// fail notes that machines are about to be lost.
func (l *latencies) fail(machines ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range machines {
		l.failed[m] = true
	}
}

// observe hears what happens on machines.
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
	if l.begun[e.Task] {
		return
	}
	l.begun[e.Task] = true
	j := l.jobs[standin.JobOf(e.Task)]
	took := e.At.Sub(j.at)
	if !j.urgent {
		l.phase.other.add(took)
		return
	}
	l.phase.urgent.add(took)
	if took <= l.soon {
		l.phase.prompt++
	}
}

// turn gives the histograms gathered so far and begins new ones.
func (l *latencies) turn() *times {
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
