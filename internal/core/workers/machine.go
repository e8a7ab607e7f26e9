// Package workers is the leader's inventory of machines: for each machine its worker's session, the tasks
// that are placed or planned on it, and what the worker's status reports prove about them.
//
// It is part of the core: a pure state machine without clock, socket or goroutine. Times are durations on
// the leader's clock, and every method that needs the time gets it as an argument.
//
// A task that was handed to a machine counts as placed there until it is proved to be gone: by a newer
// report at the current fencing token that lacks it or shows it ended, by a later session of the worker, or
// by the machine's deletion. The lack of reports proves nothing. The table of package reconcile lists all
// differences between the stored and the reported state; this package applies their resolutions.
//
// Terms:
//
//   - A session of a worker begins when it starts, and again when its lease has expired and it has killed and
//     forgotten all its tasks. Reports are numbered within a session.
//   - An incarnation is one run of a machine, from boot to shutdown. A machine that is restarted under its
//     name is a new incarnation: it has lost all state, and counts sessions from the beginning.
//   - A fencing token is a number that the leader issues to a machine. The tokens of a machine only increase,
//     and its worker refuses commands with a token below the highest that it has seen.
//   - A machine is unresolved while the leader does not know which tasks an earlier term has left on it.
//   - A machine is suspect when there are signs that it does not receive the leader's answers, or that it
//     was restarted. It gets no new work until it has reported a token that was issued since.
//   - Token urgency is how urgently a machine needs a higher token.
//   - Orphans are tasks that a machine reports and that should not be on it. They are stopped, and the
//     machine gets no new work until they are gone.
//   - A grant is a durable record that tasks of a job may be on a machine. It is written before the first
//     such task is started, so that the leader of the next term can determine where tasks may be running.
//   - A direct start is pushed to the worker instead of being sent with the answer to its next report. Only
//     the machine's deletion proves that no incarnation of the worker can still carry it out.
package workers

import (
	"cmp"
	"slices"
	"time"

	"bitternmoor/internal/core/resources"
)

// Machine is the leader's record of one machine.
type Machine struct {
	// Identity.
	Index   int32 // position in Inventory.All; it changes when other machines are removed
	Name    string
	Address string // address of its worker, for probes and direct starts
	Type    int32  // index of the machine type
	Zone    int32  // index of the zone
	Spot    bool   // a spot instance, which the cloud may preempt
	Shard   string // name of the controller whose shard the machine is in; empty: none yet

	// Capacity.
	Capacity       resources.Amounts // all its resources
	Free           resources.Amounts // resources not used by placed or planned tasks; may be negative
	UsedWithoutGPU resources.Amounts // resources used by tasks that need no accelerator
	CacheGB        float64           // size of its image cache
	FetchGBPS      float64           // speed at which it fetches images, in gigabytes per second; above 0
	Reserved       bool              // its free resources are reserved for the first job in scheduling order

	// Durable registration and grants.
	Durable            bool            // its registration is durable: tasks may be started on it
	Number             int             // number in the registry; 0: none, so that no grants are recorded for it
	Grants             map[uint64]bool // ids of the jobs that may have tasks on it; true once the grant is durable
	registrationQueued bool            // its registration is being written to the event log

	// grantUnusedSince holds, by job id, since when a job with a grant has had nothing on the machine.
	grantUnusedSince map[uint64]time.Duration

	// Tasks that an earlier term may have left on it.
	Resolved         bool    // they are known: it has reported at its current token, or was rented in this term
	ClaimedByTeams   []int32 // until it is resolved: teams whose tasks may be on it
	ClaimedByAnyTeam bool    // until it is resolved: tasks of any team may be on it

	// Session and heartbeat.
	Up               bool          // it has reported in this term
	UpSince          time.Duration // when it first reported in this term
	Session          uint64        // session of the newest report
	Seq              uint64        // number of the newest report within its session
	LastHeartbeat    time.Duration // when a report last showed that it receives the leader's answers
	UnansweredProbes int           // liveness probes without an answer in a row; negative after an answered one
	UnansweredSince  time.Duration // last heartbeat, or start of the term, since which they are counted

	// Tasks.
	Tasks           map[TaskRef]*Placement // tasks placed or planned on it
	OpenOffers      map[TaskRef]*Placement // tasks offered to it; its next report closes the offers
	ListedWithPlans bool                   // it is in the list of machines whose plans are offered
	Orphans         []uint64               // jobs of the tasks in its newest report that should not be there
	OrphansSince    time.Duration          // since when there are such tasks
	images          []cachedImage          // most recently used first

	// Failures of tasks that were started on it.
	FailuresInARow int           // failed tasks since one completed
	AvoidUntil     time.Duration // it gets no new tasks before this time

	// Renting and return.
	RentedAt           time.Duration // when it was requested, or added to the inventory
	PreemptionNotice   bool          // the cloud has announced that it will take the spot instance back
	PreemptedAt        time.Duration // when it will be taken back
	Draining           bool          // it gets no new tasks, and is returned once it is empty
	NotDrainedBefore   time.Duration // it must not be drained before this time
	Deleting           bool          // its deletion is decided, which is final
	AwaitsReturnRecord bool          // the deletion waits for a durable record that the machine is empty
	DeletionReason     string        // reason for its deletion, shown to operators

	directStarts map[TaskRef]map[uint64]*directStart // starts that were sent directly, by task and attempt
	Dispatching  bool                                // a call with direct starts is in progress

	// Lapse of the worker's first lease, see CanLapse.
	Lapsing    bool          // its reports are not answered
	lapseBegan time.Duration // when the lapse began; 0: there was none in this term

	// Fencing tokens and suspicion.
	Token            uint64 // current token; raised when the machine changes its shard, or by TakeTokenRequest
	highestTokenSeen uint64 // highest token in a report that was applied
	firstTokenOfTerm uint64 // lowest token that it can have in this term
	// SuspectBelow is the token that a report must exceed before the machine gets new work; 0: the machine is
	// not suspect. A call without an answer, a lease that expired although reports arrived, and signs of a
	// restart raise it. A machine that reports a token issued since is running and receives the leader's
	// answers.
	SuspectBelow     uint64
	tokenIssuedAt    time.Duration // when a higher token was first issued to clear the suspicion; 0: not yet
	tokenUrgency     TokenUrgency  // how urgently a higher token is needed
	tokenRequestedAt time.Duration // when TakeTokenRequest last returned true; 0: never
}

// AcceptsPlans reports whether tasks may be planned on the machine. maxSilence is the longest permitted time
// since its last heartbeat.
func (m *Machine) AcceptsPlans(now, maxSilence time.Duration) bool {
	return !m.Draining && m.CanRunTasks(now, maxSilence)
}

// CanRunTasks reports whether the machine could run more tasks, even if it is being drained. maxSilence is
// the longest permitted time since its last heartbeat.
func (m *Machine) CanRunTasks(now, maxSilence time.Duration) bool {
	known := m.Durable && m.Up && m.Resolved
	trusted := m.SuspectBelow == 0 && len(m.Orphans) == 0
	stays := !m.Deleting && !m.PreemptionNotice && !m.Lapsing
	return known && trusted && stays && now >= m.AvoidUntil && now-m.LastHeartbeat <= maxSilence
}

// Unresolved reports whether an earlier term may have left unknown tasks on the machine.
func (m *Machine) Unresolved() bool { return m.Durable && !m.Resolved }

// Quiescent reports whether nothing is in flight to the machine, or on its behalf through the controller of
// its shard: no offer to it is open, it has no orphans, none of its plans is offered to another machine of
// the shard, and all tasks placed on it have been reported. Only then may it be moved to another shard,
// because two controllers could each start the same offer. Found in the benchmark of user requests: both
// shards started a task that was planned on a moved machine.
func (m *Machine) Quiescent() bool {
	if len(m.OpenOffers) > 0 || len(m.Orphans) > 0 {
		return false
	}
	for _, p := range m.Tasks {
		if len(p.Offered) > 0 || (!p.Planned && !p.Reported) {
			return false
		}
	}
	return true
}

// DueStops returns the stop commands that are due on the machine, ordered by job and task. A task that is
// already saving its progress gets another stop command only if it is to be killed without a grace period.
func (m *Machine) DueStops() []Command {
	var commands []Command
	for _, p := range m.Tasks {
		if p.Stopping && !p.Planned && (p.State != Saving || p.GraceSeconds == 0) {
			commands = append(commands, Command{
				Op:      Stop,
				Job:     p.JobID,
				Task:    int(p.Ref.Task),
				Attempt: p.Attempt,
				GraceS:  p.GraceSeconds,
			})
		}
	}
	slices.SortFunc(commands, func(a, b Command) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
	})
	return commands
}
