package node

import (
	"context"
	"time"

	"bitternmoor/internal/core/leadership"
	"bitternmoor/internal/settings"
)

const (
	// watchDuration is how long the state service holds a watch open without a change.
	watchDuration = 10 * time.Second
	// watchGrace is how much longer the call may take.
	watchGrace = 2 * time.Second
)

// executeLeadership makes one call of the leader election to the state service, and feeds its
// result to the core.
func (n *Node) executeLeadership(request leadership.Request) {
	timeout := stateTimeout
	if request.Action == leadership.WatchKeys {
		timeout = watchDuration + watchGrace
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	switch request.Action {
	case leadership.ReadKeys:
		view, err := n.state.ReadLeadership(ctx)
		sleepAfterFailure(err == nil)
		n.enqueue(func(now time.Duration) { n.core.KeysRead(now, request.Sequence, err == nil, view) })
	case leadership.WatchKeys:
		ok := n.state.Watch(ctx, leadership.Prefix, request.Revision, watchDuration)
		n.enqueue(func(now time.Duration) { n.core.WatchEnded(now, request.Sequence, ok) })
	case leadership.CreateLease:
		id, ok := n.state.CreateLease(ctx, settings.Seconds(n.settings.Tunables.LeaderHoldS))
		sleepAfterFailure(ok)
		n.enqueue(func(now time.Duration) { n.core.LeaseCreated(now, request.Sequence, ok, id) })
	case leadership.ClaimLeadership:
		ok, mark := n.state.Claim(ctx, n.settings.Node, request.View, request.LeaseID)
		sleepAfterFailure(ok)
		n.enqueue(func(now time.Duration) { n.core.LeadershipClaimed(now, request.Sequence, ok, mark) })
	case leadership.RenewLease:
		ok, gone := n.state.RenewLease(ctx, request.LeaseID)
		n.enqueue(func(now time.Duration) { n.core.LeaseRenewed(now, request.Sequence, ok, gone) })
	case leadership.ReleaseLease:
		n.state.ReleaseLease(ctx, request.LeaseID)
	}
}
