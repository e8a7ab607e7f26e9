package runtimes

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"

	"bitternmoor/internal/calendar"
	"bitternmoor/internal/cluster"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/jobs"
	"bitternmoor/internal/ledger"
	"bitternmoor/internal/workers"
)

// Name is that of the duty, and of its entries.
const Name = "run-times"

const (
	writeEvery = 500 * time.Millisecond // summaries of closed nights, one at a time, when nothing else waits
	kindBytes  = 600                    // rough sizes of a summary,
	factBytes  = 150                    // and of a fact
	slowAfter  = 4                      // tasks of which a machine is known to be slow
	slowRatio  = 1.7                    // from which on it is
	seenDays   = 2                      // for how long ids of facts are remembered
)

// Duty learns in a term.
type Duty struct {
	cluster.Plain
	*cluster.State
	cal    *calendar.Calendar
	book   *Book
	margin float64

	runs     map[uint64]*run // open jobs of which something was seen, by id
	placedAt map[workers.Ref]time.Duration
	speeds   map[string]*speed // by machine
	seen     map[uint64]int32  // jobs whose fact is counted, and its night
	today    calendar.Night
	facts    int     // entries of facts that may have to be kept
	replayed []*Fact // while the log is replayed

	closing   []Kind         // with a night that is closed and not written
	wrote     map[Kind]int32 // the last night of each kind that is written
	writtenAt time.Duration
	kept      map[Kind]bool // by the cleaning under way

	late     map[uint64]*Late
	lookedAt time.Duration
	leads    *cluster.Histogram
}

// run is what is known of an open job's tasks.
type run struct {
	kind        Kind
	est         Estimate
	task, fetch *ddsketch.DDSketch
	n           int
	disturbed   map[int]bool // tasks that were started more than once, or moved
}

// speed is how slow a machine's tasks are, as a mean of logarithms.
type speed struct {
	n   int
	log float64
}

// New makes the duty of a term. How many kinds of work it knows, by which calendar
// it counts nights and what it takes for late is in the operators' settings.
func New(s *cluster.State) *Duty {
	x := s.Cfg.Tunables
	cal, err := x.NewCalendar()
	if err != nil {
		panic(err) // settings are checked when they are read
	}
	return &Duty{State: s, cal: cal, margin: x.LateMargin, book: NewBook(x.RunTimesKinds), runs: map[uint64]*run{}, placedAt: map[workers.Ref]time.Duration{},
		speeds: map[string]*speed{}, seen: map[uint64]int32{}, wrote: map[Kind]int32{}, late: map[uint64]*Late{},
		leads: s.Measures.Histogram("bitternmoor_late_job_lead_seconds", "How long before its learned deadline a job was warned of, by why it is late.", "why", []float64{0, 5, 15, 30, 60, 120, 300, 900, 3600})}
}

// entry is one of the duty's own: what a job has shown, or what a kind has in the
// nights that are over.
type entry struct {
	Fact *storedFact `json:"f,omitempty"`
	Kind *storedKind `json:"s,omitempty"`
}

type storedFact struct {
	ID       uint64     `json:"i"`
	At       int64      `json:"a"`
	Day      int32      `json:"d"`
	Kind     [4]string  `json:"k"`
	Holiday  bool       `json:"h,omitempty"`
	N        int        `json:"n"`
	Task     [5]float64 `json:"t"`
	Fetch    float64    `json:"x,omitempty"`
	Job      float64    `json:"j"`
	Estimate float64    `json:"e,omitempty"`
}

type storedKind struct {
	Kind    [4]string     `json:"k"`
	Holiday bool          `json:"h,omitempty"`
	At      int64         `json:"a"`
	Nights  [][11]float64 `json:"n"` // the fields of Night, in their order
}

// round keeps three digits: no estimate is better than that.
func round(v float64) float64 {
	if v == 0 || math.IsInf(v, 0) || math.IsNaN(v) {
		return 0
	}
	scale := math.Pow(10, 2-math.Floor(math.Log10(math.Abs(v))))
	return math.Round(v*scale) / scale
}

func names(k Kind) [4]string { return [4]string{k.Class, k.Team, k.Image, k.Shape} }

func kindOf(n [4]string, holiday bool) Kind { return Kind{n[0], n[1], n[2], n[3], holiday} }

func (f *storedFact) fact() *Fact {
	return &Fact{ID: f.ID, At: f.At, Day: f.Day, Kind: kindOf(f.Kind, f.Holiday), N: f.N, Task: f.Task, Fetch: f.Fetch, Job: f.Job, Estimate: f.Estimate}
}

func (n Night) numbers() [11]float64 {
	return [11]float64{float64(n.Day), float64(n.Jobs), float64(n.N), round(n.P50), round(n.P90), round(n.Fetch), round(n.JobP50), round(n.JobP90), round(n.RatioP10), round(n.RatioP50), round(n.RP90)}
}

func nightOf(x [11]float64) Night {
	return Night{int32(x[0]), int(x[1]), int(x[2]), x[3], x[4], x[5], x[6], x[7], x[8], x[9], x[10]}
}

func (d *Duty) decode(e ledger.Entry) (out entry, ok bool) {
	if e.Own == nil {
		return out, false
	}
	if err := json.Unmarshal(e.Own.Data, &out); err != nil {
		d.Note(effects.Warn, "an entry of learned run times cannot be read: it is left out, and learning goes on", "error", err)
		return out, false
	}
	return out, true
}

func (d *Duty) append(e entry) bool {
	own := ledger.NewOwn(Name, e) // round leaves no number that cannot be written
	if !d.Log.Fits(own) {
		return false
	}
	d.Log.Append(own)
	return true
}

// Replay takes an entry of its own. A fact counts for a kind only if its night is
// later than those that the kind's summary holds, and once for each job: so
// nothing is counted twice.
func (d *Duty) Replay(_ time.Duration, e ledger.Entry) {
	x, ok := d.decode(e)
	switch {
	case !ok:
	case x.Fact != nil:
		d.replayed = append(d.replayed, x.Fact.fact())
	case x.Kind != nil:
		d.restore(x.Kind)
	}
}

// written says whether a kind's summary up to a night is written.
func (d *Duty) written(k Kind, day int32) bool {
	last, ok := d.wrote[k]
	return ok && last >= day
}

func (d *Duty) count(f *Fact) {
	if _, seen := d.seen[f.ID]; seen {
		return
	}
	d.seen[f.ID] = f.Day
	d.closing = append(d.closing, d.book.Take(f)...)
}

func (d *Duty) restore(s *storedKind) {
	k := kindOf(s.Kind, s.Holiday)
	if len(s.Nights) == 0 {
		return
	}
	last := int32(s.Nights[len(s.Nights)-1][0])
	if d.written(k, last) {
		return
	}
	m := d.book.models[k]
	if m == nil {
		m = &model{}
		d.book.models[k] = m
	}
	m.at = max(m.at, s.At)
	m.nights = nil
	for _, n := range s.Nights {
		m.nights = append(m.nights, nightOf(n))
	}
	d.wrote[k] = last
	for len(d.book.models) > d.book.most {
		d.book.drop()
	}
}

// Begin counts the facts, in the order of their nights: cleaning may have left an
// older one behind a newer one. Then it settles which nights are closed and not
// written.
func (d *Duty) Begin(now time.Duration) {
	slices.SortStableFunc(d.replayed, func(a, b *Fact) int { return cmp.Or(cmp.Compare(a.Day, b.Day), cmp.Compare(a.At, b.At)) })
	for _, f := range d.replayed {
		d.count(f)
	}
	d.facts, d.replayed = len(d.replayed), nil
	d.closing = nil
	for k, m := range d.book.models {
		if n := len(m.nights); n > 0 && !d.written(k, m.nights[n-1].Day) {
			d.closing = append(d.closing, k)
		}
	}
	slices.SortFunc(d.closing, func(a, b Kind) int { return cmp.Compare(a.String(), b.String()) })
	d.newDay(now)
}

// time is the time of day.
func (d *Duty) time(now time.Duration) time.Time { return time.UnixMilli(d.Zero + now.Milliseconds()) }

// newDay notes which night it is. Those before it are closed for all kinds.
func (d *Duty) newDay(now time.Duration) {
	today := d.cal.At(d.time(now))
	if today == d.today {
		return
	}
	d.today = today
	for id, day := range d.seen {
		if day < today.Day-seenDays {
			delete(d.seen, id)
		}
	}
	for k, m := range d.book.models {
		if m.open != nil && m.open.day < today.Day {
			m.close()
			d.closing = append(d.closing, k)
		}
	}
	for name := range d.speeds {
		if d.Yard.Find(name) == nil {
			delete(d.speeds, name)
		}
	}
}

func (d *Duty) kind(j *jobs.Job) Kind {
	return Kind{Class: j.Rec.Class, Team: j.Rec.Team, Image: j.Rec.Image, Shape: shape(len(j.Tasks), j.Need.CPU), Holiday: d.today.Holiday}
}

// estimate is what is expected of a job.
func (d *Duty) estimate(now time.Duration, j *jobs.Job) Estimate {
	return d.book.Estimate(d.kind(j), j.Rec.EstimateS, d.time(now).Unix())
}

func (d *Duty) run(now time.Duration, j *jobs.Job) *run {
	r := d.runs[j.Rec.ID]
	if r == nil {
		r = &run{kind: d.kind(j), est: d.estimate(now, j), task: newSketch(), fetch: newSketch(), disturbed: map[int]bool{}}
		d.runs[j.Rec.ID] = r
	}
	return r
}

// Hear learns. Only tasks that this leader has started, that ran from their start
// to their end in one go, and not on a machine known to be slow, tell how long
// their kind takes.
func (d *Duty) Hear(e cluster.Event) {
	switch e.Kind {
	case cluster.TaskPlaced:
		d.placedAt[workers.Ref{Job: e.Job.Index, Task: int32(e.Task)}] = e.At
	case cluster.TaskBegan:
		ref := workers.Ref{Job: e.Job.Index, Task: int32(e.Task)}
		if at, ok := d.placedAt[ref]; ok {
			delete(d.placedAt, ref)
			add(d.run(e.At, e.Job).fetch, (e.At - at).Seconds(), 1)
		}
	case cluster.TaskGone:
		delete(d.placedAt, workers.Ref{Job: e.Job.Index, Task: int32(e.Task)})
		if e.Job.Rec.Kind == jobs.Array {
			d.run(e.At, e.Job).disturbed[e.Task] = true
		}
	case cluster.TaskDone:
		delete(d.placedAt, workers.Ref{Job: e.Job.Index, Task: int32(e.Task)})
		d.done(e)
	case cluster.JobDone:
		d.finished(e.At, e.Job)
	case cluster.JobLeft:
		delete(d.runs, e.Job.Rec.ID)
		d.clear(e.Job.Rec.ID, "over")
	}
}

func (d *Duty) done(e cluster.Event) {
	if e.Took <= 0 || !e.Mine || e.Job.Rec.Kind != jobs.Array {
		return
	}
	r := d.run(e.At, e.Job)
	if r.disturbed[e.Task] || e.Job.Saved[int32(e.Task)] > 0 {
		return
	}
	if d.slow(r, e) {
		return
	}
	add(r.task, e.Took, 1)
	r.n++
}

// slow notes how a machine's task went against what was expected, and says
// whether the machine is known to be slow.
func (d *Duty) slow(r *run, e cluster.Event) bool {
	if r.est.Tasks == 0 || r.est.P50 <= 0 {
		return false
	}
	s := d.speeds[e.Machine.Name]
	if s == nil {
		s = &speed{}
		d.speeds[e.Machine.Name] = s
	}
	s.n++
	s.log += (math.Log(e.Took/r.est.P50) - s.log) / float64(min(s.n, 2*slowAfter))
	return d.isSlow(e.Machine.Name)
}

// isSlow says whether a machine is far slower than the others: not when all of
// them are.
func (d *Duty) isSlow(machine string) bool {
	s := d.speeds[machine]
	if s == nil || s.n < slowAfter || s.log < math.Log(slowRatio) {
		return false
	}
	slow, known := 0, 0
	for _, o := range d.speeds {
		if o.n >= slowAfter {
			known++
			if o.log >= math.Log(slowRatio) {
				slow++
			}
		}
	}
	return slow*4 <= known
}

// finished makes a fact of a job that is durably done.
func (d *Duty) finished(now time.Duration, j *jobs.Job) {
	r := d.runs[j.Rec.ID]
	delete(d.runs, j.Rec.ID)
	d.clear(j.Rec.ID, "done")
	if r == nil || r.n == 0 {
		return
	}
	d.newDay(now)
	s := storedFact{ID: j.Rec.ID, At: d.time(now).Unix(), Day: d.today.Day, Kind: names(r.kind), Holiday: d.today.Holiday, N: r.n,
		Fetch: round(quantile(r.fetch, .5)), Job: round((now - j.AcceptedAt).Seconds()), Estimate: round(j.Rec.EstimateS)}
	for i, q := range points {
		s.Task[i] = round(quantile(r.task, q))
	}
	if d.append(entry{Fact: &s}) {
		d.count(s.fact())
		d.facts++
	}
}

// Tick writes what nights have shown, one kind at a time and only while nothing
// else waits to be written, and looks after jobs that run late.
func (d *Duty) Tick(now time.Duration, sure bool) {
	if !sure {
		return
	}
	if now-d.lookedAt >= lookEvery {
		d.lookedAt = now
		d.newDay(now)
		d.look(now)
	}
	if len(d.closing) > 0 && now-d.writtenAt >= writeEvery && d.Log.Pending() == 0 {
		d.writtenAt = now
		k := d.closing[0]
		d.closing = d.closing[1:]
		d.writeKind(k)
	}
}

func (d *Duty) writeKind(k Kind) {
	m := d.book.models[k]
	if m == nil || len(m.nights) == 0 {
		return
	}
	s := storedKind{Kind: names(k), Holiday: k.Holiday, At: m.at}
	for _, n := range m.nights {
		s.Nights = append(s.Nights, n.numbers())
	}
	for ; len(s.Nights) > 0; s.Nights = s.Nights[1:] { // in small values the oldest nights go first
		if d.append(entry{Kind: &s}) {
			d.wrote[k] = m.nights[len(m.nights)-1].Day
			return
		}
	}
}

// Live is roughly how many bytes Keep would write for the whole log.
func (d *Duty) Live() int { return len(d.wrote)*kindBytes + d.facts*factBytes }

// Keep writes anew a fact that is in no summary yet, and the summary of a kind as
// it is now.
func (d *Duty) Keep(_ time.Duration, e ledger.Entry) {
	x, ok := d.decode(e)
	switch {
	case !ok:
	case x.Fact != nil:
		for _, k := range kindOf(x.Fact.Kind, x.Fact.Holiday).levels() {
			if m := d.book.models[k]; m != nil && !d.written(k, x.Fact.Day) {
				d.Log.Append(e)
				return
			}
		}
		d.facts = max(0, d.facts-1)
	case x.Kind != nil:
		k := kindOf(x.Kind.Kind, x.Kind.Holiday)
		if d.kept == nil {
			d.kept = map[Kind]bool{}
		}
		if !d.kept[k] {
			d.kept[k] = true
			d.writeKind(k)
		}
	}
}

// Kept ends a cleaning.
func (d *Duty) Kept() { d.kept = nil }
