// Package workers is the leader's inventory of machines: for each machine its worker's session, the tasks
// that are placed or planned on it, and what the worker's status reports prove about them.
//
// It is part of the core: a pure state machine without clock, socket or goroutine. Times are durations on the
// leader's clock, and every method that needs the time is given it.
//
// A task that was handed to a machine counts as being placed there until it is proved gone: by a newer report
// at the current fencing token that lacks it or shows it ended, by a later session of the worker, or by the
// machine's deletion. Silence proves nothing. Package reconcile has the table of all differences between
// what is stored and what is reported; this package does what follows from them.
//
// The terms:
//
//   - A session begins when a worker starts, or when its lease has expired: it has then killed and forgotten
//     all tasks. Within a session reports are numbered.
//   - An incarnation is one life of a machine. A machine that is restarted under its name is a new
//     incarnation: it remembers nothing, and counts sessions from the beginning.
//   - A machine is suspect when there is a sign that it does not hear the leader, or that it was restarted. It
//     gets no new work until it has reported a token that was given out since.
//   - Token urgency is how urgently such a higher token is wanted on a machine.
//   - A machine is quarantined when a start may yet be carried out on it by a session or incarnation that
//     cannot be told apart from the current one. It gets nothing any more, and is deleted.
//   - Orphans are tasks that a machine reports and that should not be on it. They are stopped, and the machine
//     gets nothing new until they are gone.
//   - A grant is a durable note that tasks of a job may be on a machine. It is written before the first such
//     task is started, so that the leader of the next term knows where to expect tasks.
//   - A direct start is pushed straight to the worker, instead of with the answer to its next report.
package workers

import (
	"cmp"
	"slices"
	"time"

	"bitternmoor/internal/core/resources"
)

// Machine is what the leader knows of one machine.
type Machine struct {
	// Identity.
	Index   int32 // position in Inventory.All; it changes when other machines are removed
	Name    string
	Address string // of its worker, for probes and direct starts
	Type    int32  // index of the machine type
	Zone    int32  // index of the zone
	Spot    bool   // a spot instance, which the cloud may preempt
	Shard   string // controller whose part of the machines it is in; empty: none yet

	// Capacity.
	Capacity       resources.Amounts // all that it has
	Free           resources.Amounts // what neither placed nor planned tasks take; may be negative
	UsedWithoutGPU resources.Amounts // what tasks take that need no accelerator
	CacheGB        float64           // size of its image cache
	FetchGBPS      float64           // gigabytes a second at which it fetches images; above 0
	Reserved       bool              // its room is reserved for the first job in scheduling order

	// Durable registration and grants.
	Durable        bool            // its registration is durable: tasks may be started on it
	Number         int             // number in the registry; 0: none, and then no grants are noted for it
	Grants         map[uint64]bool // jobs, by id, that may have tasks on it; true once the grant is durable
	registryQueued bool            // its registration is on its way to the log

	// Since when a job with a grant has had nothing on the machine, by job id.
	grantUnusedSince map[uint64]time.Duration

	// What an earlier term may have left on it.
	Resolved         bool    // that is known: it has reported at its current token, or was rented in this term
	ClaimedByTeams   []int32 // until then: teams whose tasks may be on it
	ClaimedByAnyTeam bool    // until then: tasks of any team may be on it

	// Session and heartbeat.
	Up               bool          // it has reported in this term
	UpSince          time.Duration // when it first did
	Session          uint64        // session of the newest report
	Seq              uint64        // number of the newest report within its session
	LastHeartbeat    time.Duration // when it was last heard by a report that shows that it hears the leader
	UnansweredProbes int           // liveness probes without answer since it was last heard; below 0 after one with an answer
	UnansweredSince  time.Duration // the heartbeat since which these probes count

	// Tasks.
	Tasks           map[TaskRef]*Placement // placed and planned on it
	OpenOffers      map[TaskRef]*Placement // offered to it and not resolved: what a newer report lacks was not started
	ListedWithPlans bool                   // it is in the list of machines whose plans are offered
	Orphans         []uint64               // jobs of the tasks in its newest report that should not be there
	OrphansSince    time.Duration          // since when there are such tasks
	images          []cachedImage          // most recently used first

	// FailuresInARow of tasks that were started on it.
	FailuresInARow int           // failed tasks since one completed
	AvoidUntil     time.Duration // it gets no new tasks before

	// Renting and return.
	RentedAt         time.Duration // when it was asked for, or entered
	PreemptionNotice bool          // the cloud has announced that it takes the spot instance back
	PreemptedAt      time.Duration // when it will
	Draining         bool          // it gets no new tasks, and is returned once it is empty
	NotDrainedBefore time.Duration // it is not drained before
	Deleting         bool          // its deletion is decided; that is final
	ReturnUnrecorded bool          // the deletion waits until it is durably noted that nothing is on the machine
	DeletionReason   string        // reason of its deletion, for operators

	// Direct starts. Until the worker has seen a higher token than that of a start, the start may be carried
	// out, or carried out once more.
	directStarts map[attemptKey]*directStart
	Dispatching  bool // a call with direct starts is under way
	// Quarantined: the worker has begun a later session or a new incarnation while a direct start had no
	// answer. The machine gets nothing more and is to be deleted: the start may be carried out by an
	// incarnation that has seen no token, and until the deletion is answered its task counts as being placed
	// here. Found in a random day in which a start was held up past its session, its task started elsewhere,
	// and the machine restarted under its name.
	Quarantined bool

	// Fencing tokens and suspicion.
	Token            uint64 // current token; raised when the machine changes its shard, or by NeedsToken
	highestTokenSeen uint64 // highest token in a report that was applied
	firstTokenOfTerm uint64 // lowest token that it can have in this term
	// SuspectBelow: a token above this one must be seen before the machine gets new work; 0: it is not
	// suspect. A call without an answer, a lease that expired while the machine was heard, and signs of a
	// restart raise it. Whoever then reports a token that was given out since hears the leader, and is alive.
	SuspectBelow     uint64
	tokenGivenAt     time.Duration // when a higher token was first given out for that; 0: not yet
	tokenUrgency     TokenUrgency  // how urgently a higher token is wanted
	tokenRequestedAt time.Duration // when one was last asked for; 0: never
}

// AcceptsPlans says whether tasks may be planned on the machine. quiet is how long it may be silent for that.
func (m *Machine) AcceptsPlans(now, quiet time.Duration) bool {
	return !m.Draining && m.CanRunTasks(now, quiet)
}

// CanRunTasks says whether the machine could run more tasks, even if it is being drained. quiet is how long it may
// be silent for that.
func (m *Machine) CanRunTasks(now, quiet time.Duration) bool {
	known := m.Durable && m.Up && m.Resolved
	trusted := m.SuspectBelow == 0 && !m.Quarantined && len(m.Orphans) == 0
	stays := !m.Deleting && !m.PreemptionNotice
	return known && trusted && stays && now >= m.AvoidUntil && now-m.LastHeartbeat <= quiet
}

// Unresolved says whether an earlier term may have left something on the machine that is not known.
func (m *Machine) Unresolved() bool { return m.Durable && !m.Resolved }

// Settled says whether nothing is on its way to the machine, nor through the controller of its shard on
// behalf of it: no offer to it is open, none of its plans is on offer to another machine of the shard, and
// all that is placed on it has been seen. Only then may it be moved to another shard: one controller starts
// an offer once, but two controllers would start it twice. Found on the users' bench, where a task planned on
// a machine that was moved was started by both shards.
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

// DueStops returns the stop commands that are due on the machine, ordered by job and task. A task that is saving
// already is stopped again only without grace.
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
