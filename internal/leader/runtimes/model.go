// Package runtimes is the duty that learns how long each kind of work usually
// takes, from its own history, and says with it when open jobs should begin and
// end and which of them will be late. It is pure: facts and times come in;
// estimates, warnings and entries of the log come out. docs/run-times.md is its
// design note and the operators' page.
package runtimes

import (
	"cmp"
	"fmt"
	"math"
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
)

// Kind is what is taken for the same work. Ids of jobs are unique, so history goes
// by what jobs have in common, finer or coarser.
type Kind struct {
	Class   string `json:"class"`
	Team    string `json:"team,omitempty"`
	Image   string `json:"image,omitempty"`
	Shape   string `json:"shape,omitempty"` // tasks and processors, to a power of two
	Holiday bool   `json:"holiday,omitempty"`
}

// shape buckets how many tasks a job has and how many thousandths of a processor
// each takes.
func shape(tasks int, milliCPU int64) string {
	return fmt.Sprintf("%dx%d", bits.Len(uint(max(tasks, 1))), bits.Len64(uint64(max(milliCPU, 1))))
}

// levels lists a kind and the coarser ones that stand in for it while it has too
// little history, the finest first.
func (k Kind) levels() []Kind {
	out := []Kind{k, {k.Class, "", k.Image, k.Shape, k.Holiday}, {k.Class, "", k.Image, "", k.Holiday}, {k.Class, k.Team, "", "", k.Holiday}, {k.Class, "", "", "", k.Holiday}}
	return slices.Compact(out)
}

// Level names how fine a kind is.
func (k Kind) Level() string {
	var parts []string
	for _, p := range []struct {
		set  bool
		name string
	}{{k.Class != "", "class"}, {k.Team != "", "team"}, {k.Image != "", "image"}, {k.Shape != "", "shape"}, {k.Holiday, "holiday"}} {
		if p.set {
			parts = append(parts, p.name)
		}
	}
	return strings.Join(parts, "+")
}

func (k Kind) String() string {
	s := k.Class
	for _, p := range []string{k.Team, k.Image, k.Shape} {
		s += "/" + p
	}
	if k.Holiday {
		s += "/holiday"
	}
	return s
}

// Points of a distribution that a fact carries; each stands for as many values as
// lie nearest to it.
var (
	recordQuantiles = [5]float64{.05, .25, .5, .75, .95}
	quantileWeights = [5]float64{.15, .225, .25, .225, .15}
)

// RunRecord is what one job has shown, once it is done. Times are in seconds.
type RunRecord struct {
	ID       uint64
	At       int64 // time of day, in seconds
	Day      int32 // of the night it belongs to
	Kind     Kind
	N        int // tasks whose time counts
	Task     [5]float64
	Fetch    float64 // the median of what passed between a task's start and its running; 0: none was seen
	Job      float64 // from its acceptance, or release, to its end
	Estimate float64 // its owner's, of one task
	Work     float64 // of all its tasks, in processor seconds
}

// accepted is when its job was accepted, or released.
func (f *RunRecord) accepted() time.Time {
	return time.Unix(f.At, 0).Add(-time.Duration(f.Job * float64(time.Second)))
}

// mean is the mean of a job's tasks by what is kept of them.
func mean(task [5]float64) float64 {
	sum := 0.0
	for i, v := range task {
		sum += quantileWeights[i] * v
	}
	return sum
}

const (
	accuracy       = 0.02 // of sketches, relative
	maxNights      = 9    // closed ones: a freak one among them moves no median
	enoughJobs     = 2    // for a kind to speak for itself,
	enoughTasks    = 10   // with so many tasks,
	soloJobs       = 4    // or so many jobs, however few their tasks
	evictionShare  = 16   // of a full book one in so many kinds is forgotten at once
	maxNightWeight = 200  // tasks: more give a night no more weight
)

// Night is what a kind has shown in one night: all that is kept of it once it is
// over. Times are in seconds.
type Night struct {
	Day                      int32
	Jobs, N                  int
	P50, P90                 float64 // of tasks
	Fetch                    float64 // median
	JobP50, JobP90           float64 // of jobs, from acceptance to end
	RatioP10, RatioP50, RP90 float64 // of tasks, against their owners' estimates
}

// history is the history of one kind.
type history struct {
	nights       []Night // closed ones, by day
	open         *night
	lastRecordAt int64           // of its last fact
	summary      *historySummary // what they come to; nil: to be worked out anew
}

// historySummary is what all nights of a kind come to.
type historySummary struct {
	est            Estimate
	low, mid, high float64 // tasks against their owners' estimates
}

// night is one that is going on.
type night struct {
	day                      int32
	jobs, n                  int
	task, fetch, job, ratios *ddsketch.DDSketch
}

func newSketch() *ddsketch.DDSketch {
	s, err := ddsketch.LogCollapsingLowestDenseDDSketch(accuracy, 512)
	if err != nil {
		panic(err) // the accuracy is a constant within its range
	}
	return s
}

// addToSketch counts a value; one that no sketch can hold is left out.
func addToSketch(s *ddsketch.DDSketch, v, count float64) {
	if v > 1e-6 && v < 1e9 && count > 0 {
		_ = s.AddWithCount(v, count)
	}
}

func quantile(s *ddsketch.DDSketch, q float64) float64 {
	v, err := s.GetValueAtQuantile(q)
	if err != nil {
		return 0 // it is empty
	}
	return v
}

// addRecord counts a fact. One of a night that is closed for this kind has been
// counted.
func (m *history) addRecord(f *RunRecord) {
	if len(m.nights) > 0 && f.Day <= m.nights[len(m.nights)-1].Day {
		return
	}
	if m.open != nil && f.Day < m.open.day {
		return
	}
	if m.open != nil && f.Day > m.open.day {
		m.closeNight()
	}
	if m.open == nil {
		m.open = &night{day: f.Day, task: newSketch(), fetch: newSketch(), job: newSketch(), ratios: newSketch()}
	}
	m.lastRecordAt = max(m.lastRecordAt, f.At)
	m.summary = nil
	o := m.open
	o.jobs++
	o.n += f.N
	for i, v := range f.Task {
		addToSketch(o.task, v, quantileWeights[i]*float64(f.N))
		if f.Estimate > 0 {
			addToSketch(o.ratios, v/f.Estimate, quantileWeights[i]*float64(min(f.N, enoughTasks)))
		}
	}
	addToSketch(o.fetch, f.Fetch, 1)
	addToSketch(o.job, f.Job, 1)
}

// closeNight ends the open night.
func (m *history) closeNight() {
	if m.open == nil {
		return
	}
	m.nights = append(m.nights, m.open.close())
	if over := len(m.nights) - maxNights; over > 0 {
		m.nights = slices.Delete(m.nights, 0, over)
	}
	m.open, m.summary = nil, nil
}

func (o *night) close() Night {
	return Night{Day: o.day, Jobs: o.jobs, N: o.n, P50: quantile(o.task, .5), P90: quantile(o.task, .9), Fetch: quantile(o.fetch, .5),
		JobP50: quantile(o.job, .5), JobP90: quantile(o.job, .9), RatioP10: quantile(o.ratios, .1), RatioP50: quantile(o.ratios, .5), RP90: quantile(o.ratios, .9)}
}

// allNights lists the nights, the open one as it stands.
func (m *history) allNights() []Night {
	if m.open == nil {
		return m.nights
	}
	return append(m.nights[:len(m.nights):len(m.nights)], m.open.close())
}

func (m *history) hasEnough() bool {
	e := &m.summarize().est
	return e.Jobs >= enoughJobs && e.Tasks >= enoughTasks || e.Jobs >= soloJobs
}

// median is the weighted median of a value over nights: a night's weight is
// bounded, and one freak night among several moves it to a neighbour at most.
func median(nights []Night, of func(Night) float64) float64 {
	type point struct{ v, w float64 }
	var list []point
	total := 0.0
	for _, n := range nights {
		if v := of(n); v > 0 {
			w := float64(min(n.N, maxNightWeight))
			list = append(list, point{v, w})
			total += w
		}
	}
	if len(list) == 0 {
		return 0
	}
	slices.SortFunc(list, func(a, b point) int { return cmp.Compare(a.v, b.v) })
	// Between the two nights that the middle lies between, in proportion: so that an
	// even number of nights does not jump.
	sum := 0.0
	for i, p := range list {
		mid := sum + p.w/2
		if mid >= total/2 {
			if i == 0 {
				return p.v
			}
			q := list[i-1]
			from := sum - q.w/2
			return q.v + (p.v-q.v)*(total/2-from)/(mid-from)
		}
		sum += p.w
	}
	return list[len(list)-1].v
}

// Estimate is how long tasks and jobs of a kind should take, as an interval.
// Times are in seconds.
type Estimate struct {
	P50    float64 `json:"task_p50_s"`
	P90    float64 `json:"task_p90_s"`
	Fetch  float64 `json:"fetch_p50_s"`
	JobP50 float64 `json:"job_p50_s,omitempty"` // from acceptance to end; 0: not known
	JobP90 float64 `json:"job_p90_s,omitempty"`
	Jobs   int     `json:"jobs"`
	Tasks  int     `json:"tasks"`
	Nights int     `json:"nights"`
	AgeS   float64 `json:"age_s"`          // since the last of them
	From   string  `json:"from"`           // the history that it comes from
	Wide   string  `json:"wide,omitempty"` // why the interval is wide, where it is
}

const (
	wideRatio = 2.5 // p90 over p50, from which on a kind is said to vary
	// Without any history of the class: what owners are usually off by.
	ownerLowFactor, ownerHighFactor = 1.0, 2.0
	normalP90                       = 1.2816 // of the standard normal distribution
)

// Mean is the mean of tasks, in seconds, taking them for lognormal: the interval
// has their median and how far they spread.
func (e Estimate) Mean() float64 {
	if e.P50 <= 0 {
		return 0
	}
	sigma := math.Log(max(1, e.P90/e.P50)) / normalP90
	return min(e.P90, e.P50*math.Exp(sigma*sigma/2))
}

// estimate makes an estimate of a kind's own history.
func (m *history) estimate(k Kind, now int64) Estimate {
	e := m.summarize().est
	e.From, e.AgeS = k.Level(), float64(max(0, now-m.lastRecordAt))
	return e
}

// summarize is what all nights come to.
func (m *history) summarize() *historySummary {
	if m.summary != nil {
		return m.summary
	}
	nights := m.allNights()
	e := Estimate{Nights: len(nights),
		P50: median(nights, func(n Night) float64 { return n.P50 }), P90: median(nights, func(n Night) float64 { return n.P90 }),
		Fetch:  median(nights, func(n Night) float64 { return n.Fetch }),
		JobP50: median(nights, func(n Night) float64 { return n.JobP50 }), JobP90: median(nights, func(n Night) float64 { return n.JobP90 })}
	for _, n := range nights {
		e.Jobs += n.Jobs
		e.Tasks += n.N
	}
	// Few nights have not shown how much one differs from another.
	spread := 1 + .3/float64(max(1, len(nights)))
	e.P90 = max(e.P90, e.P50*spread)
	// A job's time depends on the room it found, which a few jobs have not shown.
	e.JobP90 = max(e.JobP90, e.JobP50*(spread+1/float64(max(1, e.Jobs))))
	if e.P90 > wideRatio*e.P50 {
		e.Wide = "tasks of this kind differ widely among themselves"
	}
	m.summary = &historySummary{est: e, low: median(nights, func(n Night) float64 { return n.RatioP10 }), mid: median(nights, func(n Night) float64 { return n.RatioP50 }),
		high: median(nights, func(n Night) float64 { return n.RP90 })}
	return m.summary
}

// Model is all history.
type Model struct {
	maxKinds    int // kinds
	histories   map[Kind]*history
	forgottenAt map[Kind]int64 // facts up to then, in seconds, count no more for a kind
	evicted     []Kind         // dropped for want of room since they were last asked for
	openKinds   []Kind         // with a night that goes on, in the order in which it began; some of them are closed or gone
}

// NewModel makes an empty book of at most so many kinds.
func NewModel(most int) *Model {
	return &Model{maxKinds: most, histories: map[Kind]*history{}, forgottenAt: map[Kind]int64{}}
}

// AddRun counts a fact for its kind and the coarser ones. It returns the kinds for
// which that has closed a night.
func (b *Model) AddRun(f *RunRecord) (closed []Kind) {
	for _, k := range f.Kind.levels() {
		if at, ok := b.forgottenAt[k]; ok && f.At <= at {
			continue
		}
		m := b.histories[k]
		if m == nil {
			m = &history{}
			b.histories[k] = m
		}
		before, was := len(m.nights), m.open
		last := int32(-1)
		if before > 0 {
			last = m.nights[before-1].Day
		}
		m.addRecord(f)
		if m.open != was {
			b.openKinds = append(b.openKinds, k)
		}
		if n := len(m.nights); n > 0 && m.nights[n-1].Day != last {
			closed = append(closed, k)
		}
	}
	b.evict()
	return closed
}

// evict makes room in a book that is too full, a share of it at once, so that it
// costs each fact little. The least useful kinds go: of those that are finest, the
// ones that were not seen for longest. Coarser ones speak for many.
func (b *Model) evict() {
	if len(b.histories) <= b.maxKinds {
		return
	}
	type known struct {
		k    Kind
		name string
		fine int
		at   int64
	}
	list := make([]known, 0, len(b.histories))
	for k, m := range b.histories {
		list = append(list, known{k, k.String(), len(k.levels()), m.lastRecordAt})
	}
	slices.SortFunc(list, func(x, y known) int {
		return cmp.Or(cmp.Compare(y.fine, x.fine), cmp.Compare(x.at, y.at), cmp.Compare(x.name, y.name))
	})
	for _, x := range list[:len(list)-(b.maxKinds-b.maxKinds/evictionShare)] {
		delete(b.histories, x.k)
		b.evicted = append(b.evicted, x.k)
	}
}

// kindsEndedBefore gives the kinds whose night is over on a day.
func (b *Model) kindsEndedBefore(day int32) (out []Kind) {
	b.openKinds = slices.DeleteFunc(b.openKinds, func(k Kind) bool {
		m := b.histories[k]
		if m != nil && m.open != nil && m.open.day >= day {
			return false
		}
		if m != nil && m.open != nil {
			out = append(out, k)
		}
		return true
	})
	return out
}

// takeEvicted gives the kinds that were dropped since the last call.
func (b *Model) takeEvicted() []Kind {
	out := b.evicted
	b.evicted = nil
	return out
}

// Len is the number of kinds.
func (b *Model) Len() int { return len(b.histories) }

// Estimate estimates work of a kind. owner is the owner's estimate of one task, in
// seconds; it is used where there is no history, corrected by what this class's
// owners have been off by.
func (b *Model) Estimate(k Kind, owner float64, now int64) Estimate {
	kinds := k.levels()
	if k.Holiday {
		ordinary := k
		ordinary.Holiday = false
		kinds = append(kinds, ordinary.levels()...)
	}
	fresh := k.Image != ""
	for _, l := range kinds {
		m := b.histories[l]
		if m == nil || !m.hasEnough() {
			continue
		}
		e := m.estimate(l, now)
		if fresh && l.Image == "" && owner > 0 {
			// A new image of a class that is known: the class's own range, about what
			// the owner says of this one.
			return correctedEstimate(m, e, owner)
		}
		return e
	}
	if owner <= 0 {
		return Estimate{From: "nothing", Wide: "neither history nor an owner's estimate"}
	}
	return Estimate{P50: owner * ownerLowFactor, P90: owner * ownerHighFactor, From: "owner's estimate", Wide: "no history: the owner's estimate alone"}
}

// correctedEstimate is an owner's estimate, corrected by what owners of the class were off
// by.
func correctedEstimate(m *history, class Estimate, owner float64) Estimate {
	s := m.summarize()
	if s.mid <= 0 {
		return class
	}
	e := class
	e.From = "owner's estimate, corrected by " + class.From
	e.P50, e.P90 = owner*s.mid, max(owner*s.high, owner*s.mid*1.3)
	e.JobP50, e.JobP90 = 0, 0
	e.Wide = fmt.Sprintf("this image has no history: owners of the class are off by %.2g to %.2g times", s.low, s.high)
	return e
}
