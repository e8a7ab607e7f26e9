package node

import (
	"context"
	"time"

	"bitternmoor/internal/core/leadership"
	"bitternmoor/internal/settings"
)

const (
	// watchDuration is how long the state service keeps a watch open if nothing changes.
	watchDuration = 10 * time.Second
	// watchGrace is how much longer than watchDuration the call may take.
	watchGrace = 2 * time.Second
)

// executeLeadership makes one leader election call to the state service and passes its result to
// the core.
func (n *Node) executeLeadership(ctx context.Context, request leadership.Request) {
	timeout := stateTimeout
	if request.Action == leadership.WatchKeys {
		timeout = watchDuration + watchGrace
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	switch request.Action {
	case leadership.ReadKeys:
		view, err := n.state.ReadLeadership(callCtx)
		sleepAfterFailure(ctx, err == nil)
		n.enqueue(ctx, func(now time.Duration) { n.core.KeysRead(now, request.Sequence, err == nil, view) })
	case leadership.WatchKeys:
		ok := n.state.Watch(callCtx, leadership.Prefix, request.Revision, watchDuration)
		n.enqueue(ctx, func(now time.Duration) { n.core.WatchEnded(now, request.Sequence, ok) })
	case leadership.CreateLease:
		id, ok := n.state.CreateLease(callCtx, settings.Seconds(n.settings.Tunables.LeaderLeaseS))
		sleepAfterFailure(ctx, ok)
		n.enqueue(ctx, func(now time.Duration) { n.core.LeaseCreated(now, request.Sequence, ok, id) })
	case leadership.ClaimLeadership:
		ok, mark := n.state.Claim(callCtx, n.settings.Node, request.View, request.LeaseID)
		sleepAfterFailure(ctx, ok)
		n.enqueue(ctx, func(now time.Duration) { n.core.LeadershipClaimed(now, request.Sequence, ok, mark) })
	case leadership.RenewLease:
		ok, gone := n.state.RenewLease(callCtx, request.LeaseID)
		n.enqueue(ctx, func(now time.Duration) { n.core.LeaseRenewed(now, request.Sequence, ok, gone) })
	case leadership.ReleaseLease:
		n.state.ReleaseLease(callCtx, request.LeaseID)
	}
}
