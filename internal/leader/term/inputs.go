package term

import (
	"time"

	"bitternmoor/internal/core/config"
	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/leadership"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/wire"
)

// Inputs that concern one component are routed to it. Inputs for a disabled component are
// ignored, and so are most that arrive before the log is replayed.

// HandleHeartbeat handles a worker's heartbeat that a controller has received.
func (t *Term) HandleHeartbeat(now time.Duration, leaseValid bool, to effects.RequestID, in effects.RelayedHeartbeat) {
	if !t.loaded {
		t.Emit(effects.ReplyHeartbeat{To: to, Answer: effects.HeartbeatAnswer{Status: 200, Token: t.Token}})
		return
	}
	t.registry.HandleHeartbeat(now, leaseValid, to, in)
}

// OffersStarted records offers that were started on a machine of the leader's own shard.
func (t *Term) OffersStarted(now time.Duration, machine string, offers []workers.Offer) {
	t.registry.OffersStarted(now, machine, offers)
}

// WorkerProbed handles the result of a liveness probe of a silent worker.
func (t *Term) WorkerProbed(machine string, ok bool) {
	if t.probe != nil && t.loaded {
		t.probe.WorkerProbed(machine, ok)
	}
}

// Dispatched handles the heartbeat with which a worker answers starts that were pushed to it.
// report is nil if there was no answer.
func (t *Term) Dispatched(
	now time.Duration, leaseValid bool, machine string, token uint64, starts []workers.Command, report *workers.Report,
) {
	if t.dispatch != nil && t.loaded {
		t.dispatch.Dispatched(now, machine, token, starts, report)
		t.dispatch.AfterCycle(now, leaseValid)
	}
}

// MachinesDeleted handles the result of a deletion request to the cloud.
func (t *Term) MachinesDeleted(now time.Duration, machines []string, ok bool) {
	t.autoscaler.MachinesDeleted(now, ok)
	if ok {
		t.registry.MachinesDeleted(now, machines)
	}
}

// RentalAnswered handles the result of the rental request with the given name.
func (t *Term) RentalAnswered(now time.Duration, name string, machines []string, res wire.RentResult) {
	t.autoscaler.RentalAnswered(now, name, machines, res)
}

// MachineTypesListed handles the cloud's list of machine types. An empty list means failure.
func (t *Term) MachineTypesListed(now time.Duration, list []eventlog.MachineType) {
	if t.loaded {
		t.autoscaler.MachineTypesListed(now, list)
	}
}

// MachinesListed handles the cloud's list of machines.
func (t *Term) MachinesListed(now time.Duration, list []wire.ListedMachine, ok bool) {
	t.autoscaler.MachinesListed(now, list, ok)
}

// ConfigFor returns the configuration update to send to another controller, or nil if there is
// none.
func (t *Term) ConfigFor(peer string) *config.Update {
	if t.reconfig == nil || !t.loaded {
		return nil
	}
	return t.reconfig.UpdateFor(peer)
}

// ConfigAcknowledged handles the configuration revision that another controller reports as in
// force.
func (t *Term) ConfigAcknowledged(now time.Duration, peer string, revision uint64) {
	if t.reconfig != nil && t.loaded {
		t.reconfig.RevisionAcknowledged(now, peer, revision)
	}
}

// PreviousLeaderReported handles another controller's record of the preceding leader, with the
// times at which it heard from it. known is false if it has no such record.
func (t *Term) PreviousLeaderReported(now time.Duration, peer string, record leadership.LeaderRecord, known bool) {
	if t.coldStart != nil && t.loaded {
		t.coldStart.PreviousLeaderReported(now, peer, record, known)
	}
}

// FleetKnowledge returns whether this leader has established the state of its machines. The
// value is sent to the other controllers.
func (t *Term) FleetKnowledge() leadership.FleetKnowledge {
	switch {
	case t.coldStart == nil:
		return leadership.FleetUnspecified
	case !t.loaded:
		return leadership.FleetReconciling
	}
	return t.coldStart.FleetKnowledge()
}
