package node

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/rpc"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/leadership"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/operators/webhook"
	"bitternmoor/internal/wire"
)

// Timeouts of calls.
const (
	stateTimeout    = 1200 * time.Millisecond
	cloudTimeout    = 5 * time.Second
	dispatchTimeout = time.Second
	stopsTimeout    = 2 * time.Second
)

// maxFailureDelay bounds the random delay after a failed call to the state service.
const maxFailureDelay = 60 * time.Millisecond

// execute carries out an effect. It runs on the loop and never blocks: calls are made on
// goroutines that end with the context, and their results are fed to the loop as inputs.
func (n *Node) execute(ctx context.Context, effect effects.Effect) {
	switch e := effect.(type) {
	case effects.Reply:
		n.replyToUser(e)
	case effects.ReplyHeartbeat:
		n.replyToHeartbeat(e)
	case effects.RelayHeartbeat:
		n.relayHeartbeat(ctx, e)
	case effects.Heartbeat:
		n.sendHeartbeat(ctx, e)
	case effects.ProbePeer:
		n.probePeer(ctx, e)
	case effects.AskPreviousLeader:
		n.askPreviousLeader(ctx, e)
	case effects.LeadershipRequest:
		n.calls.Go(func() { n.executeLeadership(ctx, e.Request) })
	case effects.LoadLog:
		n.calls.Go(func() { n.loadLog(ctx, e.Epoch) })
	case effects.SendStops:
		n.sendStops(ctx, e)
	case effects.Notify:
		n.notify(e)
	case effects.LogMessage:
		n.logMessage(ctx, e)
	default:
		n.executeForTerm(ctx, n.core.Epoch(), effect)
	}
}

// executeForTerm carries out an effect of the term with the given epoch. The result carries the
// epoch, so that the core can drop results of an earlier term.
func (n *Node) executeForTerm(ctx context.Context, epoch uint64, effect effects.Effect) {
	switch e := effect.(type) {
	case effects.Commit:
		n.commit(ctx, epoch, e)
	case effects.ReadBack:
		n.readBack(ctx, epoch, e)
	case effects.ReadSegments:
		n.readBackSegments(ctx, epoch, e)
	case effects.ReadValues:
		n.readComponentValues(ctx, epoch, e)
	case effects.ProbeWorker:
		n.probeWorker(ctx, epoch, e)
	case effects.Dispatch:
		n.dispatch(ctx, epoch, e)
	case effects.RentMachines:
		n.rentMachines(ctx, epoch, e)
	case effects.DeleteMachines:
		n.deleteMachines(ctx, epoch, e)
	case effects.ListMachines:
		n.listMachines(ctx, epoch)
	case effects.ListMachineTypes:
		n.listMachineTypes(ctx, epoch)
	}
}

// callExternal makes a call with a timeout on a goroutine. The call returns the input that passes
// its result to the core.
func (n *Node) callExternal(ctx context.Context, timeout time.Duration, call func(ctx context.Context) input) {
	n.calls.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		n.enqueue(ctx, call(callCtx))
	})
}

// sleepAfterFailure adds a random delay after a failed call. The core itself uses no randomness,
// so controllers would otherwise all retry at the same time.
func sleepAfterFailure(ctx context.Context, ok bool) {
	if !ok {
		sleep(ctx, rand.N(maxFailureDelay))
	}
}

// sleep waits until the duration has passed or the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (n *Node) replyToUser(e effects.Reply) {
	if pending := n.pendingUsers[e.To]; pending != nil {
		pending <- e.Answer
		delete(n.pendingUsers, e.To)
	}
}

func (n *Node) replyToHeartbeat(e effects.ReplyHeartbeat) {
	if pending := n.pendingHeartbeats[e.To]; pending != nil {
		pending <- e.Answer
		delete(n.pendingHeartbeats, e.To)
	}
}

func (n *Node) notify(e effects.Notify) {
	if n.notifier != nil {
		n.notifier.Send(webhook.Message{ID: e.ID, Body: e.Body})
	}
}

func (n *Node) logMessage(ctx context.Context, e effects.LogMessage) {
	levels := [...]slog.Level{
		effects.Debug: slog.LevelDebug,
		effects.Info:  slog.LevelInfo,
		effects.Warn:  slog.LevelWarn,
		effects.Error: slog.LevelError,
	}
	n.log.Log(ctx, levels[e.Level], e.Message, e.Args...)
}

// relayHeartbeat relays a worker's heartbeat to the leader.
func (n *Node) relayHeartbeat(ctx context.Context, e effects.RelayHeartbeat) {
	leader := n.peers[e.Leader]
	n.calls.Go(func() {
		var answer effects.HeartbeatAnswer
		ok := leader != nil
		if ok {
			if err := leader.call(ctx, "Controller.Relay", e.Report, &answer); err != nil {
				n.log.Debug("leader not reached", "leader", e.Leader, "error", err)
				ok = false
			}
		}
		n.enqueue(ctx, func(now time.Duration) { n.core.RelayAnswered(now, e.To, answer, ok) })
	})
}

// sendHeartbeat sends the leader's heartbeat to a peer, together with any configuration changes
// that the peer lacks.
func (n *Node) sendHeartbeat(ctx context.Context, e effects.Heartbeat) {
	p := n.peers[e.Peer]
	if p == nil {
		return
	}
	message := HeartbeatMessage{Node: n.settings.Node, Epoch: e.Epoch, Fleet: e.Fleet}
	n.calls.Go(func() {
		if e.Config == nil || n.sendConfigHeartbeat(ctx, p, e, message) {
			n.sendPlainHeartbeat(ctx, p, e.Peer, message)
		}
	})
}

// sendConfigHeartbeat sends a heartbeat with configuration changes. It reports whether a plain
// heartbeat has to follow, because a peer of an older version does not have this RPC method.
func (n *Node) sendConfigHeartbeat(
	ctx context.Context, p *peer, e effects.Heartbeat, message HeartbeatMessage,
) (plainToo bool) {
	var answer ConfigAnswer
	in := ConfigHeartbeatMessage{Heartbeat: message, Update: *e.Config}
	if err := p.call(ctx, "Controller.ConfigHeartbeat", in, &answer); err != nil {
		var remote rpc.ServerError
		return errors.As(err, &remote)
	}
	n.enqueue(ctx, func(now time.Duration) {
		n.core.HeartbeatAnswered(now, e.Peer)
		n.core.ConfigAcknowledged(now, e.Epoch, e.Peer, answer.Revision)
	})
	return false
}

func (n *Node) sendPlainHeartbeat(ctx context.Context, p *peer, name string, message HeartbeatMessage) {
	if err := p.call(ctx, "Controller.Hail", message, new(bool)); err == nil {
		n.enqueue(ctx, func(now time.Duration) { n.core.HeartbeatAnswered(now, name) })
	}
}

func (n *Node) probePeer(ctx context.Context, e effects.ProbePeer) {
	p := n.peers[e.Peer]
	if p == nil {
		return
	}
	n.calls.Go(func() {
		ok := p.reachable(ctx)
		n.enqueue(ctx, func(now time.Duration) { n.core.LeaderContactResult(now, e.Peer, ok) })
	})
}

// askPreviousLeader asks a peer about the last leader before this epoch. The answer's times are
// relative to now, and are converted to this node's clock.
func (n *Node) askPreviousLeader(ctx context.Context, e effects.AskPreviousLeader) {
	p := n.peers[e.Peer]
	if p == nil {
		return
	}
	n.calls.Go(func() {
		var answer PreviousLeaderAnswer
		err := p.call(ctx, "Controller.LedBefore", e.Epoch, &answer)
		n.enqueue(ctx, func(now time.Duration) {
			until := now - time.Duration(answer.AgoMS)*time.Millisecond
			n.core.PreviousLeaderReported(now, e.Epoch, e.Peer, leadership.LeaderRecord{
				Known: answer.Ever,
				Since: until - time.Duration(answer.LastedMS)*time.Millisecond,
				Until: until,
				Fleet: answer.Fleet,
			}, err == nil)
		})
	})
}

// sendStops sends stop commands directly to a worker. It drops them if maxDirectCalls calls are
// already in progress, because the answer to the worker's next heartbeat contains them too.
func (n *Node) sendStops(ctx context.Context, e effects.SendStops) {
	select {
	case n.directCalls <- struct{}{}:
	default:
		return
	}
	n.calls.Go(func() {
		defer func() { <-n.directCalls }()
		callCtx, cancel := context.WithTimeout(ctx, stopsTimeout)
		defer cancel()
		body := wire.EncodeDirectCommands(e.Token, e.Session, e.Stops)
		if _, err := n.workers.SendCommands(callCtx, e.Address, body); err != nil {
			n.log.Debug("stop commands not delivered to worker", "address", e.Address, "error", err)
		}
	})
}

func (n *Node) commit(ctx context.Context, epoch uint64, e effects.Commit) {
	n.callExternal(ctx, stateTimeout, func(ctx context.Context) input {
		outcome, mark, failed := n.state.Commit(ctx, e.Txn)
		sleepAfterFailure(ctx, outcome == eventlog.Applied || outcome == eventlog.Conflict)
		return func(now time.Duration) { n.core.Committed(now, epoch, e.Txn.Sequence, outcome, mark, failed) }
	})
}

func (n *Node) readBack(ctx context.Context, epoch uint64, e effects.ReadBack) {
	n.callExternal(ctx, stateTimeout, func(ctx context.Context) input {
		item, err := n.state.Get(ctx, e.Key)
		return func(now time.Duration) { n.core.CommitReadBack(now, epoch, err == nil, item.Version, item.Value) }
	})
}

func (n *Node) readBackSegments(ctx context.Context, epoch uint64, e effects.ReadSegments) {
	end := e.First + e.Count
	n.callExternal(ctx, stateTimeout, func(ctx context.Context) input {
		entries, err := n.readSegments(ctx, e.First, end)
		return func(now time.Duration) { n.core.SegmentsRead(now, epoch, e.First, end, err == nil, entries) }
	})
}

func (n *Node) readComponentValues(ctx context.Context, epoch uint64, e effects.ReadValues) {
	n.callExternal(ctx, stateTimeout, func(ctx context.Context) input {
		values, more, err := n.readValues(ctx, e.Component, e.AfterKey)
		if err != nil {
			n.log.Debug("component values not read", "component", e.Component, "error", err)
		}
		return func(now time.Duration) { n.core.ValuesRead(now, epoch, e.Component, values, more, err == nil) }
	})
}

func (n *Node) probeWorker(ctx context.Context, epoch uint64, e effects.ProbeWorker) {
	n.callExternal(ctx, dispatchTimeout, func(ctx context.Context) input {
		ok := n.workers.Probe(ctx, e.Address)
		return func(now time.Duration) { n.core.WorkerProbed(now, epoch, e.Machine, ok) }
	})
}

// dispatch sends start commands directly to a worker. The core limits how many are in progress.
func (n *Node) dispatch(ctx context.Context, epoch uint64, e effects.Dispatch) {
	n.callExternal(ctx, dispatchTimeout, func(ctx context.Context) input {
		body := wire.EncodeDirectCommands(e.Token, e.Session, e.Starts)
		report, err := n.workers.SendCommands(ctx, e.Address, body)
		if err != nil {
			n.log.Debug("start commands not delivered to worker", "address", e.Address, "error", err)
		}
		return func(now time.Duration) { n.core.Dispatched(now, epoch, e.Machine, e.Token, e.Starts, report) }
	})
}

func (n *Node) rentMachines(ctx context.Context, epoch uint64, e effects.RentMachines) {
	n.callExternal(ctx, cloudTimeout, func(ctx context.Context) input {
		machines, result := n.cloud.Rent(ctx, e.Rental)
		return func(now time.Duration) { n.core.RentalAnswered(now, epoch, e.Rental.Name, machines, result) }
	})
}

func (n *Node) deleteMachines(ctx context.Context, epoch uint64, e effects.DeleteMachines) {
	n.callExternal(ctx, cloudTimeout, func(ctx context.Context) input {
		ok := n.cloud.Delete(ctx, e.Machines)
		return func(now time.Duration) { n.core.MachinesDeleted(now, epoch, e.Machines, ok) }
	})
}

func (n *Node) listMachines(ctx context.Context, epoch uint64) {
	n.callExternal(ctx, cloudTimeout, func(ctx context.Context) input {
		machines, err := n.cloud.List(ctx)
		return func(now time.Duration) { n.core.MachinesListed(now, epoch, machines, err == nil) }
	})
}

func (n *Node) listMachineTypes(ctx context.Context, epoch uint64) {
	n.callExternal(ctx, cloudTimeout, func(ctx context.Context) input {
		types, err := n.cloud.Types(ctx)
		if err != nil {
			n.log.Debug("machine types not read from the cloud", "error", err)
		}
		return func(now time.Duration) { n.core.MachineTypesListed(now, epoch, types) }
	})
}
