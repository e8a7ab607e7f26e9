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

// Inputs that concern one component are routed to it; those for a component that is
// switched off, and most that come before the log is replayed, are ignored.

// HandleHeartbeat takes in a worker's heartbeat that a controller has received.
func (t *Term) HandleHeartbeat(now time.Duration, leaseValid bool, to effects.RequestID, in effects.RelayedHeartbeat) {
	if !t.loaded {
		t.Emit(effects.ReplyHeartbeat{To: to, Answer: effects.HeartbeatAnswer{Status: 200, Token: t.Token}})
		return
	}
	t.registry.HandleHeartbeat(now, leaseValid, to, in)
}

// OffersStarted notes offers that a worker of the leader's own shard has taken up.
func (t *Term) OffersStarted(now time.Duration, machine string, offers []workers.Offer) {
	t.registry.OffersStarted(now, machine, offers)
}

// WorkerProbed takes whether a silent worker has answered a liveness probe.
func (t *Term) WorkerProbed(machine string, ok bool) {
	if t.probe != nil && t.loaded {
		t.probe.WorkerProbed(machine, ok)
	}
}

// Dispatched takes a worker's heartbeat in answer to starts that were pushed to it; nil:
// there was no answer.
func (t *Term) Dispatched(
	now time.Duration, leaseValid bool, machine string, token uint64, starts []workers.Command, r *workers.Report,
) {
	if t.dispatch != nil && t.loaded {
		t.dispatch.Dispatched(now, machine, token, starts, r)
		t.dispatch.AfterCycle(now, leaseValid)
	}
}

// MachinesDeleted takes the result of a deletion.
func (t *Term) MachinesDeleted(now time.Duration, machines []string, ok bool) {
	t.autoscaler.MachinesDeleted(now, ok)
	if ok {
		t.registry.MachinesDeleted(now, machines)
	}
}

// RentalAnswered takes the result of a rental request, by the name of the request.
func (t *Term) RentalAnswered(now time.Duration, name string, machines []string, res wire.RentResult) {
	t.autoscaler.RentalAnswered(now, name, machines, res)
}

// MachineTypesListed takes the cloud's machine types; an empty list is a failure.
func (t *Term) MachineTypesListed(now time.Duration, list []eventlog.MachineType) {
	if t.loaded {
		t.autoscaler.MachineTypesListed(now, list)
	}
}

// MachinesListed takes the cloud's list of machines.
func (t *Term) MachinesListed(now time.Duration, list []wire.ListedMachine, ok bool) {
	t.autoscaler.MachinesListed(now, list, ok)
}

// ConfigFor is what another controller is to be told of the configuration; nil: nothing.
func (t *Term) ConfigFor(peer string) *config.Update {
	if t.reconfig == nil || !t.loaded {
		return nil
	}
	return t.reconfig.UpdateFor(peer)
}

// ConfigAcknowledged takes the revision that another controller says it has in force.
func (t *Term) ConfigAcknowledged(now time.Duration, peer string, revision uint64) {
	if t.reconfig != nil && t.loaded {
		t.reconfig.Acknowledged(now, peer, revision)
	}
}

// PreviousLeaderReported takes what another controller says of the leader before this one:
// when it last heard from it, if it knows.
func (t *Term) PreviousLeaderReported(now time.Duration, peer string, led leadership.LeaderRecord, known bool) {
	if t.coldStart != nil && t.loaded {
		t.coldStart.PreviousLeaderReported(now, peer, led, known)
	}
}

// FleetKnowledge is what this leader tells the other controllers of whether it knows what
// its machines do.
func (t *Term) FleetKnowledge() leadership.FleetKnowledge {
	switch {
	case t.coldStart == nil:
		return leadership.FleetUnspecified
	case !t.loaded:
		return leadership.FleetReconciling
	}
	return t.coldStart.Fleet()
}
