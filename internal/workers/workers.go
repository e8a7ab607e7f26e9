// Package workers keeps what is known of each machine: its session, the
// tasks that count as being on it, and what its reports prove.
//
// A task given to a machine counts there until it is proved gone: by a newer
// report at the current token without it or with it ended, by a later
// session, or by the machine's deletion. Silence proves nothing.
package workers

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bitternmoor/internal/amounts"
	"bitternmoor/internal/squaring"
)

// TaskState is a task's state as its worker reports it.
type TaskState uint8

// States of a task on a machine.
const (
	Fetching TaskState = iota
	Gathering
	Running
	Saving
	Ended
)

// Reason is why a task ended.
type Reason uint8

// Reasons of an end; Vanished is a task that a report no longer shows.
const (
	Vanished Reason = iota
	Completed
	Stopped
	PeersLost
	Alone
	Failed
	NoRoom
	Busy
	UnknownTask
)

var reasonWords = [...]string{"vanished", "done", "stopped", "a peer was lost", "gang not complete", "failed", "no room", "busy", "unknown task"}

func (r Reason) String() string { return reasonWords[r] }

// Report is a worker's report.
type Report struct {
	Machine, Address, Type, Zone string
	Spot                         bool
	Session, Seq, Token          uint64
	Notice                       bool
	NoticeS                      float64
	Tasks                        []TaskReport
}

// TaskReport is one task of a report.
type TaskReport struct {
	Job     uint64
	Task    int
	Attempt uint64
	State   TaskState
	Reason  Reason
	Saved   bool
}

// Op is a command's verb.
type Op uint8

// Commands.
const (
	Start Op = iota
	Stop
	Reap
)

// Command is a command to a worker.
type Command struct {
	Op      Op
	Job     uint64
	Task    int
	Attempt uint64
	GraceS  float64
}

// Ref names a task by its job's dense index.
type Ref struct{ Job, Task int32 }

// NoRef is no task's name: that of one whose job has left the table.
var NoRef = Ref{-1, -1}

// Placement is a task that counts as being on a machine.
type Placement struct {
	Ref     Ref
	JobID   uint64
	Image   int32
	Need    amounts.Amounts
	Attempt uint64
	Planned bool // not known to be anywhere yet: Home's room is kept for it
	Home    *Machine
	// A planned task is offered to the controller that holds Home's block,
	// with the answers to reports of machines of that block. The controller
	// starts it on one of them. Until a newer report of a machine it was
	// offered to has come, it may be there.
	Offered   map[*Machine]bool
	past      map[*Machine]bool // machines it was offered to under this serial
	Serial    uint64            // of the offer; a controller starts a serial once
	Once      bool              // bound to Home: tasks of gangs and of jobs with rules on zones
	Noted     bool              // it is noted that tasks up to its number may be handed out
	Frozen    bool              // not offered again before no offer is open
	Withdrawn bool              // to be taken back once no offer is open
	seq       uint64
	Prompt    bool // its class should start sooner than an idle worker reports
	State     TaskState
	Seen      bool
	RanAt     time.Duration
	Stopping  bool
	GraceS    float64
}

// Runs says whether the task was running when it was last reported.
func (p *Placement) Runs() bool { return p.Seen && p.State == Running }

type image struct {
	id   int32
	gb   float64
	used time.Duration
}

// Machine is one machine.
type Machine struct {
	Index         int32
	Name, Address string
	Type, Zone    int32
	Spot          bool
	Cap, Free     amounts.Amounts
	Plain         amounts.Amounts // of what is not free: taken by tasks that need no accelerator
	CacheGB       float64
	FetchGBPS     float64
	Number        int             // in the registry
	Grants        map[uint64]bool // jobs, by id, that may have tasks here; true once that is durable
	Durable       bool            // in the registry: tasks may be started
	Up            bool            // has reported in this term
	Resolved      bool            // what an earlier term left on it is known
	// Claims are the teams whose tasks of earlier terms it may have while it is not
	// resolved; AnyTeam says that they may be anybody's.
	Claims         []int32
	AnyTeam        bool
	Session, Seq   uint64
	Heard          time.Duration
	RentedAt       time.Duration
	Notice         bool
	TakenAt        time.Duration
	Draining       bool          // gets no new tasks, to be returned when empty
	KeptUntil      time.Duration // it is not to be drained before
	Leaving        bool          // its deletion has been decided, for good
	Unwritten      bool          // and waits until it is noted that nothing is on it
	Why            string
	Tasks          map[Ref]*Placement
	Strays         []uint64 // jobs of tasks that should not be there and are still shown
	StraysSince    time.Duration
	UpSince        time.Duration
	Errors         int
	ShunUntil      time.Duration
	Token          uint64             // raised when the machine goes to another controller
	Holder         string             // the controller whose block it is in
	Offers         map[Ref]*Placement // open offers: what a newer report does not show was not started
	Listed         bool               // among the machines whose plans are offered
	Held           bool               // room is held here for the first job in order
	images         []image
	idle           map[uint64]time.Duration // since when a job with a grant has had nothing here
	registryQueued bool

	// Starts sent straight to the worker, by attempt. Until it has seen a higher token than
	// theirs they may be carried out, or once more.
	directs map[attempt]*directStart
	Calling bool // one of them is under way
	// Tainted: the worker has begun a later session or a new life while a start sent straight
	// to it had no answer. It gets nothing more and is to be deleted: the start may be carried
	// out by a life that has seen no token, and until the deletion is answered its task counts
	// as being here. Found in a random day in which a start was held up past its session, its
	// task started elsewhere, and the machine began anew under its name.
	Tainted bool
	// Doubt is a token above which one must be seen before the machine gets new work; 0:
	// there is none. A call that had no answer, a lease that ran out while the machine was
	// heard, and signs that it began anew give rise to it: whoever then reports a token
	// given out since hears us, and lives.
	Doubt        uint64
	told         time.Duration // when it was first given one; 0: not yet
	seen         uint64        // highest token in a report that was taken in
	first        uint64        // lowest token of this term
	Unanswered   int           // times that it was asked since it was last heard, and did not answer
	UnansweredAt time.Duration // when it was last heard before that
	raise        Raise         // whether a higher token is asked for
	raised       time.Duration
}

type attempt struct {
	ref Ref
	n   uint64
}

// directStart is a start that was sent straight to the worker.
type directStart struct {
	token   uint64
	arrived bool // the worker has answered it, or shown its task
}

// Raise says how much a higher token is wanted on a machine.
type Raise uint8

// Not at all; for ended attempts that are only to be reaped; for a task that waits for it.
const (
	NoRaise Raise = iota
	RaiseSometime
	RaiseNow
)

// Pauses between two tokens given to one machine: a worker reports a higher one at once
// only now and then, and tokens of a term are bounded.
const (
	raiseNowPause      = 2 * time.Second
	raiseSometimePause = 60 * time.Second
)

// Usable says whether tasks may be planned on the machine.
func (m *Machine) Usable(now, quiet time.Duration) bool { return !m.Draining && m.Serves(now, quiet) }

// Serves says whether it could run more tasks, even if it is to be returned.
func (m *Machine) Serves(now, quiet time.Duration) bool {
	return m.Durable && m.Up && m.Resolved && m.Doubt == 0 && !m.Tainted && !m.Leaving && !m.Notice && len(m.Strays) == 0 && now >= m.ShunUntil && now-m.Heard <= quiet
}

// Unresolved says whether an earlier term may have left something on the machine that is
// not known.
func (m *Machine) Unresolved() bool { return m.Durable && !m.Resolved }

// MayHave says whether tasks of a job may be on a machine that is unresolved: it has a
// grant, or none were noted there at all.
func (m *Machine) MayHave(job uint64) bool { return m.Grants[job] || m.Number == 0 }

// HasImage says whether the machine has or is fetching an image.
func (m *Machine) HasImage(id int32) bool {
	for _, im := range m.images {
		if im.id == id {
			return true
		}
	}
	return false
}

// Fetching counts the images that the machine is fetching, or will once what is planned
// on it starts.
func (m *Machine) Fetching() int {
	var under, there []int32
	for _, p := range m.Tasks {
		if p.Planned || p.State == Fetching {
			under = append(under, p.Image)
		} else {
			there = append(there, p.Image)
		}
	}
	slices.Sort(under)
	n := 0
	for _, id := range slices.Compact(under) {
		if !slices.Contains(there, id) {
			n++
		}
	}
	return n
}

// UseImage notes that an image is on, or on its way to, the machine; the
// least recently used ones are taken to be dropped when the cache is full.
func (m *Machine) UseImage(id int32, gb float64, now time.Duration) {
	for i := range m.images {
		if m.images[i].id == id {
			m.images[i].used = now
			return
		}
	}
	m.images = append(m.images, image{id, gb, now})
	slices.SortFunc(m.images, func(a, b image) int { return int(b.used - a.used) })
	var sum float64
	for i, im := range m.images {
		if sum += im.gb; sum > m.CacheGB && i > 0 {
			m.images = m.images[:i]
			break
		}
	}
}

// Plan gives a task to the machine, to be sent with its next answer.
func (m *Machine) Plan(p *Placement) {
	p.Planned, p.Home = true, m
	m.add(p)
}

func (m *Machine) add(p *Placement) {
	m.Tasks[p.Ref] = p
	m.Free = m.Free.Minus(p.Need)
	if p.Need.GPU == 0 {
		m.Plain = m.Plain.Plus(p.Need)
	}
}

// Take removes a placement.
func (m *Machine) Take(ref Ref) {
	if p := m.Tasks[ref]; p != nil {
		m.Free = m.Free.Plus(p.Need)
		if p.Need.GPU == 0 {
			m.Plain = m.Plain.Minus(p.Need)
		}
		delete(m.Tasks, ref)
	}
}

// Offer is a planned task that a controller may start on the machine whose
// report it answers. Here says that room is kept on that machine.
type Offer struct {
	Start  Command
	Serial uint64
	Need   amounts.Amounts
	Here   bool
}

// offersAtOnce bounds the offers for other machines' tasks in one answer.
const offersAtOnce = 8

// Offer makes the offers for an answer to the machine's last report: the
// tasks planned here, and such planned on machines of the same block, type,
// zone and kind as would fit here with their image at hand. serial gives
// numbers to offers, attempt to tasks that have none.
func (m *Machine) Offer(planned []*Machine, serial, attempt func() uint64) []Offer {
	var out []Offer
	add := func(p *Placement, here bool) {
		if !m.Grants[p.JobID] || !p.Noted {
			return // a successor must be able to know first
		}
		if p.Frozen || p.Withdrawn || (len(p.Offered) > 0 && p.past[m]) {
			return
		}
		if len(p.Offered) == 0 {
			p.Serial, p.past = serial(), map[*Machine]bool{}
			p.Offered = map[*Machine]bool{}
			if p.Attempt == 0 {
				p.Attempt = attempt()
			}
		}
		p.Offered[m], p.past[m] = true, true
		if m.Offers == nil {
			m.Offers = map[Ref]*Placement{}
		}
		m.Offers[p.Ref] = p
		out = append(out, Offer{Command{Op: Start, Job: p.JobID, Task: int(p.Ref.Task), Attempt: p.Attempt}, p.Serial, p.Need, here})
	}
	for _, p := range m.Tasks {
		if p.Planned {
			add(p, true)
		}
	}
	here := len(out)
	for _, o := range planned {
		if m.Draining {
			break // it is to become empty
		}
		if o == m || o.Holder != m.Holder || o.Type != m.Type || o.Zone != m.Zone || o.Spot != m.Spot || m.Held {
			continue
		}
		for _, p := range o.Tasks {
			if len(out)-here >= offersAtOnce {
				break
			}
			if m.Cap.GPU > 0 && p.Need.GPU == 0 {
				continue // how much of them it may have was looked at where they are planned
			}
			if p.Planned && !p.Once && p.Need.Fits(m.Free) && m.HasImage(p.Image) {
				add(p, false)
			}
		}
	}
	slices.SortFunc(out, func(a, b Offer) int { return cmp.Compare(a.Serial, b.Serial) })
	return out
}

// moveIn makes a planned task one that is on the machine.
func (m *Machine) moveIn(p *Placement) {
	p.Home.Take(p.Ref)
	p.Planned, p.Home = false, m
	m.add(p)
}

// Started notes that an offered task was sent with the answer to the
// machine's last report.
func (m *Machine) Started(ref Ref) bool {
	p := m.Offers[ref]
	if p == nil || !p.Planned {
		return false
	}
	delete(m.Offers, ref)
	delete(p.Offered, m)
	m.moveIn(p)
	p.seq = m.Seq
	return true
}

// StartDirect notes that a task planned here is sent straight to the worker. From now on
// it counts as being here, until a report at a higher token shows that it is not: the
// command may be carried out late.
func (m *Machine) StartDirect(p *Placement) {
	m.moveIn(p)
	p.seq = m.Seq
	if m.directs == nil {
		m.directs = map[attempt]*directStart{}
	}
	m.directs[attempt{p.Ref, p.Attempt}] = &directStart{token: m.Token}
}

// Launched takes the worker's answer to starts sent straight to it, under a token: its
// report after them, nil if there was none or it does not say that they were carried out.
// Of the report only the tasks that were sent are looked at: it may overtake the answer to
// a report, and what is absent or newer in it proves nothing here.
func (m *Machine) Launched(now time.Duration, token uint64, refs []Ref, r *Report) {
	m.Calling = false
	for _, ref := range refs {
		p := m.Tasks[ref]
		if p == nil || p.Planned || p.Seen {
			continue // a report has shown more meanwhile
		}
		s := m.directOf(p)
		if s == nil || s.token != token {
			continue // likewise
		}
		if r == nil || r.Machine != m.Name || r.Session != m.Session || !slices.ContainsFunc(r.Tasks, func(t TaskReport) bool {
			return t.Job == p.JobID && t.Task == int(ref.Task) && t.Attempt == p.Attempt
		}) {
			m.doubt(now, token)
			continue
		}
		p.Seen, p.State, p.seq = true, Fetching, max(p.seq, r.Seq)
		s.arrived = true
	}
}

// directOf is the start of a task that counts as being here, if that was sent straight to
// the worker; nil: it was not.
func (m *Machine) directOf(p *Placement) *directStart { return m.directs[attempt{p.Ref, p.Attempt}] }

// unanswered says whether a task that counts as being here was sent straight to the worker,
// and nothing has shown that it arrived.
func (m *Machine) unanswered(p *Placement) bool {
	s := m.directOf(p)
	return s != nil && !s.arrived
}

// doubt has the machine get nothing new until it has seen a token above this one, which it
// is given with its next report.
func (m *Machine) doubt(now time.Duration, token uint64) {
	if m.Doubt == 0 {
		m.told = 0
	}
	m.Doubt, m.raise = max(m.Doubt, token), RaiseNow
}

// Stale takes a report that is older than one taken in, though nothing newer has come for
// longer than a worker is silent: the machine may have begun anew.
func (m *Machine) Stale(now, silent time.Duration) {
	if m.Up && m.Doubt == 0 && now-m.Heard > silent {
		m.doubt(now, m.Token)
	}
}

// Deaf says whether the machine has been heard since it was given a higher token for being
// in doubt, and has not shown it for so long. Time in which nobody could give it one, as in
// an outage, does not count.
func (m *Machine) Deaf(now, limit time.Duration) bool {
	return m.Doubt > 0 && m.told > 0 && m.Heard > m.told && now-m.told > limit
}

// Seen is the highest token that the machine has shown.
func (m *Machine) Seen() uint64 { return m.seen }

// WantsToken says whether the machine should be given a higher token now, and takes it
// that it will be.
func (m *Machine) WantsToken(now time.Duration) bool {
	pause := raiseSometimePause
	if m.raise == RaiseNow {
		pause = raiseNowPause
	}
	if m.raise == NoRaise || (m.raised > 0 && now-m.raised < pause) {
		return false
	}
	m.raise, m.raised = NoRaise, now
	if m.Doubt > 0 && m.told == 0 {
		m.told = now
	}
	return true
}

// direct says whether an attempt was sent straight to the worker and may still begin, or
// begin once more, when the worker has seen no higher token than this one.
func (m *Machine) direct(ref Ref, n, token uint64) bool {
	s := m.directs[attempt{ref, n}]
	return s != nil && token <= s.token
}

// WasSent says whether a task that counts as being here was sent straight to the worker.
func (m *Machine) WasSent(ref Ref) bool {
	p := m.Tasks[ref]
	return p != nil && m.directOf(p) != nil
}

// settleOffers closes the machine's open offers by a newer report.
func (m *Machine) settleOffers(r *Report) []Event {
	var events []Event
	for ref, p := range m.Offers {
		delete(m.Offers, ref)
		delete(p.Offered, m)
		if !p.Planned {
			continue
		}
		shown := slices.ContainsFunc(r.Tasks, func(t TaskReport) bool {
			return t.Job == p.JobID && t.Task == int(ref.Task) && t.Attempt == p.Attempt
		})
		switch {
		case shown:
			m.moveIn(p)
			events = append(events, Event{Kind: EvPlaced, Ref: ref, JobID: p.JobID, Attempt: p.Attempt, Placement: p})
		case len(p.Offered) == 0:
			events = append(events, Event{Kind: EvOfferOver, Ref: ref, JobID: p.JobID, Attempt: p.Attempt, Placement: p})
		}
	}
	return events
}

// CloseOffers ends the open offers of a machine that is gone, and returns
// the plans that have no other one.
func (m *Machine) CloseOffers() []*Placement {
	var over []*Placement
	for ref, p := range m.Offers {
		delete(m.Offers, ref)
		delete(p.Offered, m)
		if p.Planned && len(p.Offered) == 0 {
			over = append(over, p)
		}
	}
	return over
}

// Rehome moves a plan from a machine that is gone to one that it is on offer
// to, if there is any.
func (p *Placement) Rehome() bool {
	for m := range p.Offered {
		p.Home.Take(p.Ref)
		p.Home = m
		m.add(p)
		return true
	}
	return false
}

// Yard holds all machines.
type Yard struct {
	byName map[string]*Machine
	all    []*Machine
	gone   map[string]bool // deleted ones; their late reports mean nothing
}

// NewYard makes an empty yard.
func NewYard() *Yard { return &Yard{byName: map[string]*Machine{}, gone: map[string]bool{}} }

// Find returns a machine by name.
func (y *Yard) Find(name string) *Machine { return y.byName[name] }

// Gone says whether a machine is known to be deleted.
func (y *Yard) Gone(name string) bool { return y.gone[name] }

// Add enters a machine.
func (y *Yard) Add(m *Machine) *Machine {
	m.Index = int32(len(y.all))
	m.Free, m.first = m.Cap, m.Token
	m.Tasks = map[Ref]*Placement{}
	m.Grants = map[uint64]bool{}
	y.all = append(y.all, m)
	y.byName[m.Name] = m
	return m
}

// Remove takes a deleted machine out.
func (y *Yard) Remove(name string) {
	y.gone[name] = true
	if m := y.byName[name]; m != nil {
		delete(y.byName, name)
		last := y.all[len(y.all)-1]
		y.all[m.Index] = last
		last.Index = m.Index
		y.all = y.all[:len(y.all)-1]
	}
}

// All returns the machines.
func (y *Yard) All() []*Machine { return y.all }

// QueueRegistry says, once, that the machine has to be registered.
func (m *Machine) QueueRegistry() bool {
	if m.Durable || m.registryQueued {
		return false
	}
	m.registryQueued = true
	return true
}

// Known is what the leader knows of a reported task.
type Known struct {
	Ref       Ref
	Need      amounts.Amounts
	Image     int32
	ImageGB   float64
	Open      bool // the job is open and the task not finished
	Noted     bool // the task's end is durable, or the job is over
	Cancelled bool // the job is, and Ref is NoRef
	Held      bool // the job waits for others
	Elsewhere bool // it counts as being on another machine
}

// EventKind is what a report told.
type EventKind uint8

// Events of a report.
const (
	EvBegan EventKind = iota // began to run
	EvAdopted
	EvPlaced    // an offered task turned out to be on the machine
	EvOfferOver // no offer of a planned task is open any more
	EvCompleted
	EvGone
)

// Event is something a report told.
type Event struct {
	Kind      EventKind
	Ref       Ref
	JobID     uint64
	Attempt   uint64
	Reason    Reason
	Ran       time.Duration // how long it ran; negative: not known
	Running   bool          // it was running
	Died      bool          // of EvGone: the worker was lost with it
	Placement *Placement    // of EvAdopted, EvPlaced and EvOfferOver
}

// Fresh says whether a report is newer than all that were taken in.
func (m *Machine) Fresh(r *Report) bool {
	return r.Session > m.Session || (r.Session == m.Session && r.Seq > m.Seq)
}

// Absorb takes in a fresh report. known tells what the leader knows of a
// task that is here, or whose result is; tally counts the differences found and may
// be nil. It returns the events and the commands that follow from the report
// alone: reaps and the stops of tasks that should not be there. What follows from
// which difference is package squaring's table.
func (m *Machine) Absorb(now time.Duration, r *Report, token uint64, tally *squaring.Tally, known func(job uint64, task int, here bool) (Known, bool)) ([]Event, []Command) {
	var events []Event
	var cmds []Command
	gone := func(p *Placement, why Reason) *Event {
		ran := time.Duration(-1)
		if p.Runs() {
			ran = now - p.RanAt
		}
		events = append(events, Event{Kind: EvGone, Ref: p.Ref, JobID: p.JobID, Attempt: p.Attempt, Reason: why, Ran: ran, Running: p.Runs()})
		m.Take(p.Ref)
		return &events[len(events)-1]
	}
	reborn, doubted := !m.Fresh(r), m.Doubt > 0
	if (r.Session > m.Session && m.Session != 0) || reborn {
		for _, p := range m.Tasks {
			if p.Planned {
				continue
			}
			if tally.Found(squaring.Absent(true, m.unanswered(p), false)).Settlement() == squaring.Leave {
				gone(p, Vanished).Died = true
			} else {
				m.Tainted = true
			}
		}
		m.images = nil
		maps.DeleteFunc(m.directs, func(_ attempt, s *directStart) bool { return s.arrived }) // the others name the session too, and a new life may be in it
		if m.Up && !reborn {
			// It was heard, and its lease ran out all the same: it may not hear us.
			m.doubt(now, m.Token)
		}
	}
	if r.Token > m.Doubt {
		m.Doubt = 0
	}
	m.seen = r.Token
	if !m.Up || r.Token >= m.first {
		m.Heard = now // a machine that goes on reporting without the token of this term does not hear us
	}
	events = append(events, m.settleOffers(r)...)
	m.Session, m.Seq = r.Session, r.Seq
	m.Up = true
	if r.Notice {
		m.Notice = true
		m.TakenAt = now + time.Duration(r.NoticeS*float64(time.Second))
	} else {
		m.Notice = false
	}
	current := r.Token == token
	m.Resolved = m.Resolved || current
	var strays []uint64
	for _, t := range r.Tasks {
		k, ok := known(t.Job, t.Task, t.State != Ended || t.Reason == Completed)
		var p *Placement
		if ok {
			if p = m.Tasks[k.Ref]; p != nil && p.Planned {
				p = nil
			}
			if t.State != Fetching && t.State != Ended && k.Ref != NoRef {
				m.UseImage(k.Image, k.ImageGB, now)
			}
		}
		st := squaring.Stored{Known: ok, Open: k.Open, Durable: k.Noted, Cancelled: k.Cancelled, Held: k.Held, Elsewhere: k.Elsewhere, Here: p != nil}
		if p != nil {
			st.Attempt = p.Attempt
		}
		st.Direct = ok && m.direct(k.Ref, t.Attempt, r.Token)
		diff := tally.Found(squaring.Task(st, squaring.Shown{Attempt: t.Attempt, Ended: t.State == Ended, Done: t.State == Ended && t.Reason == Completed, Saved: t.Saved, Saving: t.State == Saving}))
		switch diff.Settlement() {
		case squaring.Complete:
			ev := Event{Kind: EvCompleted, Ref: k.Ref, JobID: t.Job, Attempt: t.Attempt, Ran: -1}
			if diff == squaring.Completed && p.Runs() {
				ev.Ran, ev.Running = now-p.RanAt, true
			}
			m.Take(k.Ref)
			events = append(events, ev)
		case squaring.Wait:
			if diff == squaring.EndedDirect {
				if m.raise = max(m.raise, RaiseSometime); p != nil && p.Attempt == t.Attempt {
					m.raise, p.Seen, p.seq = RaiseNow, true, r.Seq
				}
			}
		case squaring.LeaveReap:
			delete(m.directs, attempt{k.Ref, t.Attempt})
			gone(p, t.Reason)
			cmds = append(cmds, Command{Op: Reap, Job: t.Job, Task: t.Task, Attempt: t.Attempt})
		case squaring.Reap:
			delete(m.directs, attempt{k.Ref, t.Attempt})
			cmds = append(cmds, Command{Op: Reap, Job: t.Job, Task: t.Task, Attempt: t.Attempt})
		case squaring.Stop:
			strays = append(strays, t.Job)
			cmds = append(cmds, Command{Op: Stop, Job: t.Job, Task: t.Task, Attempt: t.Attempt})
		case squaring.Adopt:
			p = &Placement{Ref: k.Ref, JobID: t.Job, Image: k.Image, Need: k.Need, Attempt: t.Attempt, Home: m, State: Fetching}
			m.add(p)
			events = append(events, Event{Kind: EvAdopted, Ref: k.Ref, JobID: t.Job, Attempt: t.Attempt, Placement: p})
			fallthrough
		case squaring.Keep:
			if t.State == Running && (!p.Seen || p.State != Running) {
				p.RanAt = now
				events = append(events, Event{Kind: EvBegan, Ref: p.Ref, JobID: t.Job, Attempt: t.Attempt})
			}
			p.State, p.Seen, p.seq = t.State, true, r.Seq
			if s := m.directOf(p); s != nil {
				s.arrived = true
			}
		}
	}
	for _, p := range m.Tasks {
		// Sent with an earlier answer and not shown by this report.
		if p.Planned || p.seq >= r.Seq {
			continue
		}
		late := !p.Seen && m.direct(p.Ref, p.Attempt, r.Token)
		tainted := m.Tainted && m.unanswered(p)
		if tally.Found(squaring.Absent(tainted, late || tainted, current)).Settlement() == squaring.Leave {
			delete(m.directs, attempt{p.Ref, p.Attempt})
			gone(p, Vanished).Died = doubted // it may have begun anew, and have counted on past what we knew
		}
	}
	if len(strays) > 0 && len(m.Strays) == 0 {
		m.StraysSince = now
	}
	m.Strays = strays
	return events, cmds
}

// Stands says whether an attempt of a task is the one that counts as being here.
func (m *Machine) Stands(ref Ref, attempt uint64) bool {
	p := m.Tasks[ref]
	return p != nil && !p.Planned && squaring.Task(squaring.Stored{Known: true, Here: true, Attempt: p.Attempt}, squaring.Shown{Attempt: attempt}) == squaring.AsStored
}

// Awaits says whether something must become durable before the machine can be
// told to start what is planned on it.
func (m *Machine) Awaits() bool {
	if !m.Durable {
		return m.registryQueued
	}
	for _, p := range m.Tasks {
		if p.Planned && (!m.Grants[p.JobID] || !p.Noted) {
			return true
		}
	}
	return false
}

// Unused returns the jobs whose grants may be taken back: for a while now
// neither a task of theirs counts as being here, nor is one planned or on offer
// here, nor does the report just taken in, which is at the current token, show
// any, wanted or not.
func (m *Machine) Unused(now, after time.Duration, r *Report) []uint64 {
	var used, out []uint64
	for _, p := range m.Tasks {
		used = append(used, p.JobID)
	}
	for _, p := range m.Offers {
		used = append(used, p.JobID)
	}
	for _, t := range r.Tasks {
		used = append(used, t.Job)
	}
	slices.Sort(used)
	for id, durable := range m.Grants {
		if _, found := slices.BinarySearch(used, id); found || !durable {
			delete(m.idle, id)
			continue
		}
		since, known := m.idle[id]
		switch {
		case !known:
			if m.idle == nil {
				m.idle = map[uint64]time.Duration{}
			}
			m.idle[id] = now
		case now-since >= after:
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Withdraw forgets that a job may have tasks here.
func (m *Machine) Withdraw(job uint64) {
	delete(m.Grants, job)
	delete(m.idle, job)
}

// Still says whether nothing is on its way to the machine, nor by way of its block's
// controller on behalf of it: no offer to it is open, none of its plans is on offer to
// another machine of the block, and all that counts here has been seen. Only then may it be
// moved to another block: a controller starts an offer once, two controllers would twice.
// Found on the users' bench, where a task planned on a machine that was moved was started
// by both blocks.
func (m *Machine) Still() bool {
	if len(m.Offers) > 0 || len(m.Strays) > 0 {
		return false
	}
	for _, p := range m.Tasks {
		if len(p.Offered) > 0 || (!p.Planned && !p.Seen) {
			return false
		}
	}
	return true
}

// Plans says whether tasks are planned on the machine.
func (m *Machine) Plans() bool {
	for _, p := range m.Tasks {
		if p.Planned {
			return true
		}
	}
	return false
}

// PlannedHere lists the tasks planned on the machine, those planned last first.
func (m *Machine) PlannedHere() []*Placement {
	var out []*Placement
	for _, p := range m.Tasks {
		if p.Planned {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *Placement) int {
		if c := cmp.Compare(b.Ref.Job, a.Ref.Job); c != 0 {
			return c
		}
		return cmp.Compare(b.Ref.Task, a.Ref.Task)
	})
	return out
}

// Stops returns the stops due on the machine.
func (m *Machine) Stops() []Command {
	var cmds []Command
	for _, p := range m.Tasks {
		if p.Stopping && !p.Planned && (p.State != Saving || p.GraceS == 0) {
			cmds = append(cmds, Command{Op: Stop, Job: p.JobID, Task: int(p.Ref.Task), Attempt: p.Attempt, GraceS: p.GraceS})
		}
	}
	slices.SortFunc(cmds, func(a, b Command) int {
		if c := cmp.Compare(a.Job, b.Job); c != 0 {
			return c
		}
		return cmp.Compare(a.Task, b.Task)
	})
	return cmds
}
