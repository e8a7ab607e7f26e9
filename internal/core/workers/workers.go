// Package workers keeps what is known of each machine: its session, the
// tasks that count as being on it, and what its reports prove.
//
// A task given to a machine counts there until it is proved gone: by a newer
// report at the current token without it or with it ended, by a later
// session, or by the machine's deletion. Silence proves nothing.
package workers

import (
	"cmp"
	"slices"
	"time"

	"bitternmoor/internal/core/resources"
)

type cachedImage struct {
	id   int32
	gb   float64
	used time.Duration
}

// Machine is one machine.
type Machine struct {
	Index          int32
	Name, Address  string
	Type, Zone     int32
	Spot           bool
	Cap, Free      resources.Amounts
	UsedWithoutGPU resources.Amounts // of what is not free: taken by tasks that need no accelerator
	CacheGB        float64
	FetchGBPS      float64
	Number         int             // in the registry
	Grants         map[uint64]bool // jobs, by id, that may have tasks here; true once that is durable
	Durable        bool            // in the registry: tasks may be started
	Up             bool            // has reported in this term
	Resolved       bool            // what an earlier term left on it is known
	// Claims are the teams whose tasks of earlier terms it may have while it is not
	// resolved; AnyTeam says that they may be anybody's.
	ClaimedByTeams   []int32
	ClaimedByAnyTeam bool
	Session, Seq     uint64
	LastHeartbeat    time.Duration
	RentedAt         time.Duration
	PreemptionNotice bool
	PreemptedAt      time.Duration
	Draining         bool          // gets no new tasks, to be returned when empty
	KeptUntil        time.Duration // it is not to be drained before
	Deleting         bool          // its deletion has been decided, for good
	ReturnUnrecorded bool          // and waits until it is noted that nothing is on it
	Why              string
	Tasks            map[Ref]*Placement
	Orphans          []uint64 // jobs of tasks that should not be there and are still shown
	OrphansSince     time.Duration
	UpSince          time.Duration
	Errors           int
	AvoidUntil       time.Duration
	Token            uint64             // raised when the machine goes to another controller
	Shard            string             // the controller whose block it is in
	OpenOffers       map[Ref]*Placement // open offers: what a newer report does not show was not started
	HasPlansListed   bool               // among the machines whose plans are offered
	Reserved         bool               // room is held here for the first job in order
	images           []cachedImage
	grantUnusedSince map[uint64]time.Duration // since when a job with a grant has had nothing here
	registryQueued   bool

	// Starts sent straight to the worker, by attempt. Until it has seen a higher token than
	// theirs they may be carried out, or once more.
	directStarts map[attemptKey]*directStart
	Dispatching  bool // one of them is under way
	// Tainted: the worker has begun a later session or a new life while a start sent straight
	// to it had no answer. It gets nothing more and is to be deleted: the start may be carried
	// out by a life that has seen no token, and until the deletion is answered its task counts
	// as being here. Found in a random day in which a start was held up past its session, its
	// task started elsewhere, and the machine began anew under its name.
	Quarantined bool
	// Doubt is a token above which one must be seen before the machine gets new work; 0:
	// there is none. A call that had no answer, a lease that ran out while the machine was
	// heard, and signs that it began anew give rise to it: whoever then reports a token
	// given out since hears us, and lives.
	SuspectBelow     uint64
	tokenGivenAt     time.Duration // when it was first given one; 0: not yet
	highestTokenSeen uint64        // highest token in a report that was taken in
	firstTokenOfTerm uint64        // lowest token of this term
	Unanswered       int           // times that it was asked since it was last heard, and did not answer
	UnansweredAt     time.Duration // when it was last heard before that
	tokenUrgency     TokenUrgency  // whether a higher token is asked for
	tokenRequestedAt time.Duration
}

type attemptKey struct {
	ref Ref
	n   uint64
}

// directStart is a start that was sent straight to the worker.
type directStart struct {
	token     uint64
	confirmed bool // the worker has answered it, or shown its task
}

// TokenUrgency says how much a higher token is wanted on a machine.
type TokenUrgency uint8

// Not at all; for ended attempts that are only to be reaped; for a task that waits for it.
const (
	TokenNotNeeded TokenUrgency = iota
	TokenEventually
	TokenNow
)

// Pauses between two tokens given to one machine: a worker reports a higher one at once
// only now and then, and tokens of a term are bounded.
const (
	urgentTokenInterval   = 2 * time.Second
	eventualTokenInterval = 60 * time.Second
)

// Usable says whether tasks may be planned on the machine.
func (m *Machine) Usable(now, quiet time.Duration) bool { return !m.Draining && m.Serves(now, quiet) }

// Serves says whether it could run more tasks, even if it is to be returned.
func (m *Machine) Serves(now, quiet time.Duration) bool {
	return m.Durable && m.Up && m.Resolved && m.SuspectBelow == 0 && !m.Quarantined && !m.Deleting && !m.PreemptionNotice && len(m.Orphans) == 0 && now >= m.AvoidUntil && now-m.LastHeartbeat <= quiet
}

// Unresolved says whether an earlier term may have left something on the machine that is
// not known.
func (m *Machine) Unresolved() bool { return m.Durable && !m.Resolved }

// MayHaveTasksOf says whether tasks of a job may be on a machine that is unresolved: it has a
// grant, or none were noted there at all.
func (m *Machine) MayHaveTasksOf(job uint64) bool { return m.Grants[job] || m.Number == 0 }

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
	m.images = append(m.images, cachedImage{id, gb, now})
	slices.SortFunc(m.images, func(a, b cachedImage) int { return int(b.used - a.used) })
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
	p.Planned, p.Machine = true, m
	m.addPlacement(p)
}

func (m *Machine) addPlacement(p *Placement) {
	m.Tasks[p.Ref] = p
	m.Free = m.Free.Minus(p.Need)
	if p.Need.GPU == 0 {
		m.UsedWithoutGPU = m.UsedWithoutGPU.Plus(p.Need)
	}
}

// RemovePlacement removes a placement.
func (m *Machine) RemovePlacement(ref Ref) {
	if p := m.Tasks[ref]; p != nil {
		m.Free = m.Free.Plus(p.Need)
		if p.Need.GPU == 0 {
			m.UsedWithoutGPU = m.UsedWithoutGPU.Minus(p.Need)
		}
		delete(m.Tasks, ref)
	}
}

// Offer is a planned task that a controller may start on the machine whose
// report it answers. Here says that room is kept on that machine.
type Offer struct {
	Start  Command
	Serial uint64
	Need   resources.Amounts
	Here   bool
}

// offersAtOnce bounds the offers for other machines' tasks in one answer.
const maxForeignOffers = 8

// Offer makes the offers for an answer to the machine's last report: the
// tasks planned here, and such planned on machines of the same block, type,
// zone and kind as would fit here with their image at hand. serial gives
// numbers to offers, attempt to tasks that have none.
func (m *Machine) Offer(planned []*Machine, serial, attempt func() uint64) []Offer {
	var out []Offer
	add := func(p *Placement, here bool) {
		if !m.Grants[p.JobID] || !p.IntentDurable {
			return // a successor must be able to know first
		}
		if p.NotOfferedAgain || p.Withdrawn || (len(p.Offered) > 0 && p.offeredUnderSerial[m]) {
			return
		}
		if len(p.Offered) == 0 {
			p.Serial, p.offeredUnderSerial = serial(), map[*Machine]bool{}
			p.Offered = map[*Machine]bool{}
			if p.Attempt == 0 {
				p.Attempt = attempt()
			}
		}
		p.Offered[m], p.offeredUnderSerial[m] = true, true
		if m.OpenOffers == nil {
			m.OpenOffers = map[Ref]*Placement{}
		}
		m.OpenOffers[p.Ref] = p
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
		if o == m || o.Shard != m.Shard || o.Type != m.Type || o.Zone != m.Zone || o.Spot != m.Spot || m.Reserved {
			continue
		}
		for _, p := range o.Tasks {
			if len(out)-here >= maxForeignOffers {
				break
			}
			if m.Cap.GPU > 0 && p.Need.GPU == 0 {
				continue // how much of them it may have was looked at where they are planned
			}
			if p.Planned && !p.BoundToHome && p.Need.Fits(m.Free) && m.HasImage(p.Image) {
				add(p, false)
			}
		}
	}
	slices.SortFunc(out, func(a, b Offer) int { return cmp.Compare(a.Serial, b.Serial) })
	return out
}

// placePlanned makes a planned task one that is on the machine.
func (m *Machine) placePlanned(p *Placement) {
	p.Machine.RemovePlacement(p.Ref)
	p.Planned, p.Machine = false, m
	m.addPlacement(p)
}

// TaskStarted notes that an offered task was sent with the answer to the
// machine's last report.
func (m *Machine) TaskStarted(ref Ref) bool {
	p := m.OpenOffers[ref]
	if p == nil || !p.Planned {
		return false
	}
	delete(m.OpenOffers, ref)
	delete(p.Offered, m)
	m.placePlanned(p)
	p.lastReportSeq = m.Seq
	return true
}

// resolveOffers closes the machine's open offers by a newer report.
func (m *Machine) resolveOffers(r *Report) []Event {
	var events []Event
	for ref, p := range m.OpenOffers {
		delete(m.OpenOffers, ref)
		delete(p.Offered, m)
		if !p.Planned {
			continue
		}
		shown := slices.ContainsFunc(r.Tasks, func(t TaskReport) bool {
			return t.Job == p.JobID && t.Task == int(ref.Task) && t.Attempt == p.Attempt
		})
		switch {
		case shown:
			m.placePlanned(p)
			events = append(events, Event{Kind: EventPlaced, Ref: ref, JobID: p.JobID, Attempt: p.Attempt, Placement: p})
		case len(p.Offered) == 0:
			events = append(events, Event{Kind: EventOfferClosed, Ref: ref, JobID: p.JobID, Attempt: p.Attempt, Placement: p})
		}
	}
	return events
}

// CloseOffers ends the open offers of a machine that is gone, and returns
// the plans that have no other one.
func (m *Machine) CloseOffers() []*Placement {
	var over []*Placement
	for ref, p := range m.OpenOffers {
		delete(m.OpenOffers, ref)
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
		p.Machine.RemovePlacement(p.Ref)
		p.Machine = m
		m.addPlacement(p)
		return true
	}
	return false
}

// QueueRegistry says, once, that the machine has to be registered.
func (m *Machine) QueueRegistry() bool {
	if m.Durable || m.registryQueued {
		return false
	}
	m.registryQueued = true
	return true
}

// AwaitsDurability says whether something must become durable before the machine can be
// told to start what is planned on it.
func (m *Machine) AwaitsDurability() bool {
	if !m.Durable {
		return m.registryQueued
	}
	for _, p := range m.Tasks {
		if p.Planned && (!m.Grants[p.JobID] || !p.IntentDurable) {
			return true
		}
	}
	return false
}

// UnusedGrants returns the jobs whose grants may be taken back: for a while now
// neither a task of theirs counts as being here, nor is one planned or on offer
// here, nor does the report just taken in, which is at the current token, show
// any, wanted or not.
func (m *Machine) UnusedGrants(now, after time.Duration, r *Report) []uint64 {
	var used, out []uint64
	for _, p := range m.Tasks {
		used = append(used, p.JobID)
	}
	for _, p := range m.OpenOffers {
		used = append(used, p.JobID)
	}
	for _, t := range r.Tasks {
		used = append(used, t.Job)
	}
	slices.Sort(used)
	for id, durable := range m.Grants {
		if _, found := slices.BinarySearch(used, id); found || !durable {
			delete(m.grantUnusedSince, id)
			continue
		}
		since, known := m.grantUnusedSince[id]
		switch {
		case !known:
			if m.grantUnusedSince == nil {
				m.grantUnusedSince = map[uint64]time.Duration{}
			}
			m.grantUnusedSince[id] = now
		case now-since >= after:
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// RevokeGrant forgets that a job may have tasks here.
func (m *Machine) RevokeGrant(job uint64) {
	delete(m.Grants, job)
	delete(m.grantUnusedSince, job)
}

// Settled says whether nothing is on its way to the machine, nor by way of its block's
// controller on behalf of it: no offer to it is open, none of its plans is on offer to
// another machine of the block, and all that counts here has been seen. Only then may it be
// moved to another block: a controller starts an offer once, two controllers would twice.
// Found on the users' bench, where a task planned on a machine that was moved was started
// by both blocks.
func (m *Machine) Settled() bool {
	if len(m.OpenOffers) > 0 || len(m.Orphans) > 0 {
		return false
	}
	for _, p := range m.Tasks {
		if len(p.Offered) > 0 || (!p.Planned && !p.Seen) {
			return false
		}
	}
	return true
}

// HasPlans says whether tasks are planned on the machine.
func (m *Machine) HasPlans() bool {
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
		if p.Stopping && !p.Planned && (p.State != Saving || p.GraceSeconds == 0) {
			cmds = append(cmds, Command{Op: Stop, Job: p.JobID, Task: int(p.Ref.Task), Attempt: p.Attempt, GraceS: p.GraceSeconds})
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
