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

// Usable says whether tasks may be planned on the machine.
func (m *Machine) Usable(now, quiet time.Duration) bool { return !m.Draining && m.Serves(now, quiet) }

// Serves says whether it could run more tasks, even if it is to be returned.
func (m *Machine) Serves(now, quiet time.Duration) bool {
	return m.Durable && m.Up && m.Resolved && m.SuspectBelow == 0 && !m.Quarantined && !m.Deleting && !m.PreemptionNotice && len(m.Orphans) == 0 && now >= m.AvoidUntil && now-m.LastHeartbeat <= quiet
}

// Unresolved says whether an earlier term may have left something on the machine that is
// not known.
func (m *Machine) Unresolved() bool { return m.Durable && !m.Resolved }

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
