// Package cluster is what a leader knows during its term: jobs, machines, the
// tasks that count as being on them, and the order in which they get room. All
// duties of a leader look at it; each keeps what is its own business to itself.
// It has no clock and does nothing by itself.
package cluster

import (
	"errors"
	"slices"
	"time"

	"bitternmoor/internal/core/config"
	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/intern"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/leadership"
	"bitternmoor/internal/core/reconcile"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/scheduler"
	"bitternmoor/internal/core/sizing"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/settings"
)

// Bits of a token and of an attempt that count within a term.
const (
	TokenBits   = 20
	attemptBits = 24
)

// Counts add up since the process began.
type Counts struct {
	Terms          uint64 `json:"terms"`
	Reports        uint64 `json:"reports"`
	Answered       uint64 `json:"user_requests_answered"`
	Refused        uint64 `json:"user_requests_refused"`
	MachinesLost   uint64 `json:"machines_lost"`
	RentalsRefused uint64 `json:"rentals_refused"`
	TasksDone      uint64 `json:"tasks_done"`
	TasksRerun     uint64 `json:"tasks_rerun"`
	Released       uint64 `json:"jobs_released"`
	CancelSpread   uint64 `json:"cancellations_spread"`
	LeftWaiting    uint64 `json:"left_waiting"`
}

// TermStart is what a term begins with.
type TermStart struct {
	Cfg         *settings.Settings
	ClockZeroMS int64 // time of day at time 0, in milliseconds
	Epoch       uint64
	// LastLed is when this node last heard of a leader, 0 if it never did; Noticed
	// when it found that nobody led, Began when it was elected.
	LastLeaderHeard, LeaderMissedAt, TermBegan time.Duration
	PreviousLeader                             leadership.LeaderRecord // the leader before, as this node heard it
	// Counts, Measures and Config outlive the term.
	Counts  *Counts
	Metrics *Metrics
	Config  *config.Replica // nil: nothing may be changed while controllers run
}

// State is what all duties of a term share.
type State struct {
	TermStart
	Token             uint64 // of machines that have not changed their block
	EventLog          *eventlog.Log
	Jobs              *jobs.Table
	Inventory         *workers.Inventory
	Estimator         *sizing.Estimator
	Scheduler         *scheduler.Scheduler
	NeedsCycle        bool // something has changed that a pass should look at
	LastMachineNumber int  // last one given to a machine
	Teams             intern.Names
	Zones             intern.Names
	Images            intern.Names
	Types             []eventlog.MachineType // by index of TypeNames
	Placements        map[workers.Ref]*workers.Placement
	Pools             scheduler.Pools      // nil: there are no pools
	Gate              Gate                 // nil: nothing is held back
	StartPacer        StartPacer           // nil: starts are not paced
	Rebalancer        Rebalancer           // nil: machines stay where they report
	DispatchQueue     []*workers.Placement // planned tasks that may be sent straight to their workers
	lastAttempt       uint64
	issuedTokens      uint64

	Reconciled *reconcile.Tally // differences between what was stored and reports, in this term

	TypeNames         intern.Names
	MachinesWithPlans []*workers.Machine // all on which tasks may be planned

	configuredTeams []bool // of the configuration, by index: they may submit

	unresolvedMachines, unresolvedUnnumbered int                 // machines, and those without a number among them
	unresolvedUse                            []resources.Amounts // what they may be using, by team

	subscribers    []Subscriber
	pendingEffects []effects.Effect
}

// Subscriber hears what happens in a term, while it happens.
type Subscriber interface{ HandleEvent(Event) }

// EventKind says what has happened.
type EventKind uint8

// What listeners hear.
const (
	JobRemoved            EventKind = iota // Job is over, and nothing of it is left anywhere
	TaskPlaced                             // Task of Job is on Machine, or on its way there: this leader started it
	TaskBegan                              // Task of Job was seen to run on Machine
	TaskDone                               // Task of Job has completed, after Took seconds of running or, below 0, after an unknown time
	HeartbeatApplied                       // Report of Machine, newer than all before, was taken in
	TaskGone                               // Task of Job is not on Machine any more, and has not completed
	JobDone                                // all tasks of Job are durably done
	MachineReturnable                      // Machine, on which nothing is, is to be returned: nothing will be started on it
	MachineResolved                        // what earlier terms left on Machine is known
	JobOrdered                             // Job has entered the order, with a first size, or is a service
	OfferLost                              // Task of Job was on offer to Machine, whose worker has died since: it may have run there
	MachineProvedGone                      // Machine is proved gone; TaskGone of all that was on it came before
	TaskAdopted                            // Task of Job, which an earlier leader had started, was found on Machine
	TaskStopped                            // Task of Job on Machine is told to stop, by Order
	MachineRented                          // Machine was rented by a request of this term
	MachineDecommissioned                  // the deletion of Machine is decided, by Order
)

// Event is something that has happened. What its kind does not name is not set.
type Event struct {
	Kind         EventKind
	At           time.Duration
	Job          *jobs.Job
	Task         int
	RunSeconds   float64
	FromThisTerm bool // of TaskDone: this leader has started the attempt, and seen it begin
	WorkerDied   bool // of TaskGone: its worker has died under it
	Action       Action
	Machine      *workers.Machine
	Report       *workers.Report
}

// Action is a kind of thing that a leader orders.
type Action uint8

// Kinds of orders.
const (
	StartNew   Action = iota // a task that no earlier term can have handed out
	StartAgain               // one that may have been handed out before
	Rent                     // machines
	Return                   // a machine that is not wanted, or that the cloud takes
	Delete                   // a machine that is given up
	Preempt                  // tasks, for others that go ahead of them
	Move                     // tasks, off a machine that is returned
)

var actionNames = [...]string{"start_new", "start_again", "rent", "return", "delete", "preempt", "move"}

func (o Action) String() string { return actionNames[o] }

// Gate holds orders back for a while, after a start in which nobody led before.
type Gate interface {
	// May says whether orders of a kind may be given now.
	Permits(now time.Duration, o Action) bool
	// Patience is how long after the beginning of the term a machine that was not heard
	// in it may be one that lives.
	SilenceAllowance() time.Duration
}

// StartPacer bounds how fast tasks are started.
type StartPacer interface {
	Allows(now time.Duration, j *jobs.Job, m *workers.Machine) bool
	TaskStarted(now time.Duration, m *workers.Machine)
}

// Rebalancer spreads reports over controllers.
type Rebalancer interface {
	// Elsewhere says to which controller a machine that has just reported should go
	// instead; empty: it stays.
	RedirectTo(now time.Duration, m *workers.Machine) string
}

// ErrNoView is what a duty answers that is asked for a view it does not have.
var ErrUnknownView = errors.New("no such view")

// FromThisTerm says whether an attempt was given its number in this term.
func (s *State) FromThisTerm(attempt uint64) bool { return attempt>>attemptBits == s.Epoch }

// New makes the state of a term that knows nothing yet.
func New(start TermStart) *State {
	if start.Cfg.Tunables.ConfigHistory > 0 {
		own := *start.Cfg // tunables may change during the term
		start.Cfg = &own
	}
	cfg := start.Cfg
	if start.Metrics == nil {
		start.Metrics = &Metrics{}
	}
	s := &State{
		TermStart: start, Token: start.Epoch << TokenBits, lastAttempt: start.Epoch << attemptBits,
		Jobs: jobs.NewTable(), Inventory: workers.NewInventory(),
		Estimator: sizing.New(sizing.Params{Train: cfg.Tunables.TrainingTasks,
			Xi: cfg.Tunables.Eagerness, Delta: cfg.Tunables.TrainingLimitS, First: cfg.Tunables.FirstSizeS}),
		Placements: map[workers.Ref]*workers.Placement{}, Reconciled: &reconcile.Tally{},
	}
	s.Scheduler = scheduler.New(nil, cfg.Tunables.TrainingAtOnce)
	for _, team := range cfg.Deployment.Teams {
		s.SetTeam(team)
	}
	s.Scheduler.Locality = settings.Seconds(cfg.Tunables.LocalityS)
	s.Scheduler.Affinity = cfg.Tunables.ZoneAffinityS
	s.Scheduler.BeginWithin = settings.Seconds(cfg.Tunables.BeginWithinS)
	s.Scheduler.UrgentFirst = cfg.Tunables.UrgentFirst == 1
	return s
}

// Subscribe has a listener hear everything from now on.
func (s *State) Subscribe(l Subscriber) { s.subscribers = append(s.subscribers, l) }

// Publish tells all listeners what has happened.
func (s *State) Publish(e Event) {
	for _, l := range s.subscribers {
		l.HandleEvent(e)
	}
}

// TakeEffects returns the effects since the last call.
func (s *State) TakeEffects() []effects.Effect {
	out := s.pendingEffects
	s.pendingEffects = nil
	return out
}

// Emit puts out an effect.
func (s *State) Emit(e effects.Effect) { s.pendingEffects = append(s.pendingEffects, e) }

// LogMessage has something logged.
func (s *State) LogMessage(l effects.Level, text string, args ...any) {
	s.Emit(effects.LogMessage{Level: l, Message: text, Args: args})
}

// CancelPlan takes back a plan. One that is on offer may have been taken up
// already: it counts until no offer is open.
func (s *State) CancelPlan(p *workers.Placement) {
	if len(p.Offered) > 0 {
		p.Withdrawn = true
		return
	}
	p.Machine.RemovePlacement(p.Ref)
	s.Unplace(p.Ref)
}

// CancelPlans takes back all that is planned on a machine.
func (s *State) CancelPlans(m *workers.Machine) {
	for _, p := range m.Tasks {
		if p.Planned {
			s.CancelPlan(p)
		}
	}
}

// Unplace takes a task off its machine in the books of jobs, teams and sizes.
func (s *State) Unplace(ref workers.Ref) {
	p := s.Placements[ref]
	if p == nil {
		return
	}
	delete(s.Placements, ref)
	j := s.Jobs.At(ref.Job)
	j.CountInZone(p.Machine.Zone, -1)
	s.Scheduler.Refund(j.Team, j.Need)
	j.Release(int(ref.Task))
	s.ResetGangIfEmpty(j)
	s.Estimator.Lost(ref.Job, int(ref.Task))
	s.RemoveIfFinished(j)
	s.NeedsCycle = true
}

// RemoveIfFinished takes a job that is over out of the table once none of its tasks
// counts as being anywhere.
func (s *State) RemoveIfFinished(j *jobs.Job) {
	if j.Placed == 0 && (j.Phase == jobs.Cancelled || j.Phase == jobs.Done) {
		s.removeJob(j)
	}
}

// removeJob takes a job out of the table.
func (s *State) removeJob(j *jobs.Job) {
	s.Jobs.Remove(j)
	s.Publish(Event{Kind: JobRemoved, Job: j})
}

// CPUs is the processors of the machines that report.
func (s *State) CPUs() float64 {
	var sum float64
	for _, m := range s.Inventory.All() {
		if m.Up && !m.Deleting {
			sum += m.Cap.CPUs()
		}
	}
	return sum
}

// AddUnresolved counts a machine of which it is not known what an earlier term left on
// it: in full against every team whose tasks it may have.
func (s *State) AddUnresolved(m *workers.Machine) { s.countUnresolved(m, 1) }

// RemoveUnresolved takes back what Expect counted: the machine has reported, or is gone.
func (s *State) RemoveUnresolved(m *workers.Machine) { s.countUnresolved(m, -1) }

func (s *State) countUnresolved(m *workers.Machine, by int) {
	s.unresolvedMachines += by
	if m.Number == 0 {
		s.unresolvedUnnumbered += by
	}
	for len(s.unresolvedUse) < len(s.Scheduler.Limits) {
		s.unresolvedUse = append(s.unresolvedUse, resources.Amounts{})
	}
	for team := range s.unresolvedUse {
		if m.ClaimedByAnyTeam || m.Number == 0 || slices.Contains(m.ClaimedByTeams, int32(team)) {
			s.unresolvedUse[team] = s.unresolvedUse[team].Plus(m.Cap.Times(by))
		}
	}
}

// Unresolved counts the machines of which it is not known what an earlier term
// left on them, and says whether one of them may have tasks of any job, since no
// grants were noted for it.
func (s *State) Unresolved() (machines int, blind bool) {
	return s.unresolvedMachines, s.unresolvedUnnumbered > 0
}

// MayRunUnseen says whether tasks of a job that are not seen may run on machines of which it
// is not known what an earlier term left on them.
func (s *State) MayRunUnseen(j *jobs.Job) bool { return j.MayRunUnseen(s.unresolvedUnnumbered > 0) }

// Quiescent says whether nothing of a job is anywhere, nor can be: no task counts as being on a
// machine, on offer or on its way, none may run unseen, and none is shown where it does not
// count.
func (s *State) Quiescent(j *jobs.Job) bool {
	return j.Placed == 0 && !s.MayRunUnseen(j) && !slices.ContainsFunc(s.Inventory.All(), func(m *workers.Machine) bool { return slices.Contains(m.Orphans, j.Record.ID) })
}

// mostMissing is the share of a team's limit that machines may take of which it is not
// known what they have, before the team is held back by them.
const maxUnresolvedShare = 0.25

// HeldBackByUnresolved says whether machines that are not resolved hold a team back at its limit.
func (s *State) HeldBackByUnresolved() bool {
	for team, x := range s.unresolvedUse {
		if l := s.Scheduler.Limits[team]; (l.CPU > 0 && float64(x.CPU) > maxUnresolvedShare*float64(l.CPU)) || (l.GPU > 0 && float64(x.GPU) > maxUnresolvedShare*float64(l.GPU)) {
			return true
		}
	}
	return false
}

// SendStops sends a machine's stops without waiting for its next report.
func (s *State) SendStops(m *workers.Machine) {
	if m.Address != "" && m.Up && !m.Deleting {
		s.Emit(effects.SendStops{Address: m.Address, Token: m.Token, Session: m.Session, Stops: m.Stops()})
	}
}

// Permits says whether orders of a kind may be given now.
func (s *State) Permits(now time.Duration, o Action) bool {
	return s.Gate == nil || s.Gate.Permits(now, o)
}

// SilenceAllowance is how long a machine may be silent that was not heard in this term yet.
func (s *State) SilenceAllowance() time.Duration {
	if s.Gate == nil {
		return 0
	}
	return s.Gate.SilenceAllowance()
}

var stopMessages = map[Action]string{Preempt: "task stopped for another job", Move: "task moved off a machine that is returned"}

// StopAll stops tasks with time to save, and says why.
func (s *State) StopAll(now time.Duration, list []*workers.Placement, o Action) {
	on := map[*workers.Machine]bool{}
	why := stopMessages[o]
	for _, p := range list {
		j := s.Jobs.At(p.Ref.Job)
		s.SaveAndStop(now, j, p)
		s.Publish(Event{Kind: TaskStopped, At: now, Job: j, Task: int(p.Ref.Task), Machine: p.Machine, Action: o})
		on[p.Machine] = true
		s.LogMessage(effects.Debug, why, "job", p.JobID, "task", p.Ref.Task, "machine", p.Machine.Name)
	}
	for m := range on {
		s.SendStops(m)
	}
}

// SaveAndStop stops a task with time to save; a gang is stopped as a whole,
// for its progress is safe only when all of it is told in time.
func (s *State) SaveAndStop(now time.Duration, j *jobs.Job, p *workers.Placement) {
	grace := j.Record.SaveS + 5 + s.PeerTime(j)
	if j.Record.Kind != jobs.Gang {
		p.Stopping, p.GraceSeconds = true, grace
		if j.Record.Checkpoint > 0 && p.Runs() {
			if j.Saved == nil {
				j.Saved = map[int32]time.Duration{}
			}
			j.Saved[p.Ref.Task] += now - p.RanAt
		}
		return
	}
	for k := range j.Tasks {
		ref := workers.Ref{Job: j.Index, Task: int32(k)}
		if q := s.Placements[ref]; q != nil && !q.Planned && !q.Stopping {
			q.Stopping, q.GraceSeconds = true, grace
		}
	}
}

// PeerTime is how long it may take until all tasks of a gang are told.
func (s *State) PeerTime(j *jobs.Job) float64 {
	if j.Record.Kind != jobs.Gang {
		return 0
	}
	return s.Cfg.Deployment.Workers.GangPeerS
}

// FailGang gives up a gang's launch: what was not sent is taken back, the
// others are stopped, and the next launch waits until all are proved gone.
func (s *State) FailGang(j *jobs.Job) {
	if j.GangFailed || j.Finished > 0 {
		return // one that is done has all of them done
	}
	j.GangFailed = true
	for k, task := range j.Tasks {
		ref := workers.Ref{Job: j.Index, Task: int32(k)}
		p := s.Placements[ref]
		if task != jobs.Placed || p == nil {
			continue
		}
		switch {
		case p.Planned:
			s.CancelPlan(p)
		case !p.Stopping:
			p.Stopping, p.GraceSeconds = true, 0
		}
	}
	s.ResetGangIfEmpty(j)
}

// ResetGangIfEmpty makes a gang ready for its next launch once nothing of the last
// one is left anywhere.
func (s *State) ResetGangIfEmpty(j *jobs.Job) {
	if j.Record.Kind == jobs.Gang && j.Placed == 0 {
		j.GangAttempt, j.GangFailed, j.GangBegan = 0, false, false
	}
}

// Decommission decides, for good, that a machine is to be deleted: it is returned, or given up.
func (s *State) Decommission(now time.Duration, m *workers.Machine, o Action, why string) {
	if m.Deleting {
		return
	}
	m.Deleting, m.Why = true, why
	s.CancelPlans(m)
	s.NeedsCycle = true
	if len(m.Tasks) > 0 {
		s.Counts.MachinesLost++
	}
	s.LogMessage(effects.Info, "machine returned", "machine", m.Name, "why", why, "tasks", len(m.Tasks))
	s.Publish(Event{Kind: MachineDecommissioned, At: now, Machine: m, Action: o})
}

// SilentByZone counts the machines that should be heard, and those of them that are
// silent, by zone.
func (s *State) SilentByZone(now time.Duration) (up, silent []int) {
	up, silent = make([]int, s.Zones.Len()), make([]int, s.Zones.Len())
	for _, m := range s.Inventory.All() {
		if m.Up || m.Durable {
			up[m.Zone]++
			if now-max(m.LastHeartbeat, s.TermBegan) > s.SuspectAfter() {
				silent[m.Zone]++
			}
		}
	}
	return up, silent
}

// MostMachinesSilent says whether most machines are silent at once, and the fault may be on our
// side. Where a zone is heard well it is not: the others are cut off. Found at
// twice the size of a fleet with two zones, of which the larger one was cut: its
// machines were waited for twice as long, and more were rented there.
func (s *State) MostMachinesSilent(now time.Duration) bool {
	up, silent := 0, 0
	byZone, silentIn := s.SilentByZone(now)
	for z := range byZone {
		up += byZone[z]
		silent += silentIn[z]
		if byZone[z] >= minSilentMachines && silentIn[z]*zoneSilenceDivisor <= byZone[z] {
			return false
		}
	}
	return MostSilent(silent, up)
}

// SuspectAfter is how long a worker may be silent before it gets no new tasks.
func (s *State) SuspectAfter() time.Duration {
	return settings.Seconds(2.5 * s.Cfg.Deployment.Workers.ReportS)
}

// GiveUpAfter is how long a worker may be silent before its machine is given up.
func (s *State) GiveUpAfter() time.Duration {
	w := s.Cfg.Deployment.Workers
	return settings.Seconds(max(3*w.ReportS+2, 0.6*w.LeaseS))
}

// Snapshot is what the planner looks at.
func (s *State) Snapshot(now time.Duration) scheduler.Snapshot {
	w := scheduler.Snapshot{Now: now, SuspectAfter: s.SuspectAfter(), Jobs: s.Jobs, Inventory: s.Inventory, Estimator: s.Estimator, UnresolvedUse: s.unresolvedUse, UnknownGrants: s.unresolvedUnnumbered > 0, Zone: s.Zones.Index, Pools: s.Pools, AcceleratedNeed: s.Scheduler.Accelerated(now, s.Jobs)}
	if s.StartPacer != nil {
		w.MayStart = func(j *jobs.Job, m *workers.Machine) bool { return s.StartPacer.Allows(now, j, m) }
	}
	return w
}

// AddMachine enters a machine; nil if it is there already, is gone for good, or
// is of a type that is not known.
func (s *State) AddMachine(now time.Duration, m eventlog.Machine) *workers.Machine {
	if s.Inventory.WasDeleted(m.Name) || s.Inventory.Find(m.Name) != nil {
		return nil
	}
	i, ok := s.TypeNames.Lookup(m.Type)
	if !ok {
		return nil
	}
	ty := s.Types[i]
	return s.Inventory.Add(&workers.Machine{Name: m.Name, Address: m.Address, Type: i, Zone: s.Zones.Index(m.Zone), Spot: m.Spot,
		Cap: resources.Room(ty.CPUs, ty.GPUs, ty.MemoryGB), CacheGB: ty.CacheGB, FetchGBPS: max(ty.FetchGBPS, 0.001), Token: s.Token, RentedAt: now, LastHeartbeat: now})
}

// NextToken is a token that no machine had before.
func (s *State) NextToken() uint64 {
	s.issuedTokens++
	return s.Token + s.issuedTokens
}

// TokensRunLow says whether most tokens of the term are used up: those that are left are for
// machines that change their block.
func (s *State) TokensRunLow() bool { return s.issuedTokens > 3<<(TokenBits-2) }

// TokensExhausted says whether next to no tokens are left: the next one must not be one of a later
// term.
func (s *State) TokensExhausted() bool { return s.issuedTokens > 15<<(TokenBits-4) }

// NextAttempt is a number that no attempt had before.
func (s *State) NextAttempt() uint64 {
	s.lastAttempt++
	return s.lastAttempt
}

// ListMachineWithPlans keeps a machine among those whose plans are offered.
func (s *State) ListMachineWithPlans(m *workers.Machine) {
	if !m.HasPlansListed {
		m.HasPlansListed = true
		s.MachinesWithPlans = append(s.MachinesWithPlans, m)
	}
}

// fewSilent: fewer silent machines are no sign of anything but themselves, nor
// fewer heard ones.
// heardWell: a zone is if at most one in so many of its machines is silent.
const (
	minSilentMachines  = 4
	zoneSilenceDivisor = 5
)

// MostSilent says whether so many of so many machines are silent that the fault is
// not theirs.
func MostSilent(silent, up int) bool { return silent >= minSilentMachines && silent*2 > up }
