package node

import (
	"context"
	"errors"
	"time"

	"bitternmoor/internal/core/leadership"
	"bitternmoor/internal/effects"
)

const (
	tickInterval = 50 * time.Millisecond
	// answerTimeout bounds how long a request waits for the loop's answer.
	answerTimeout = time.Second
)

// errLoopBusy says that the loop's input queue is full, or that the loop has not got to an
// input in time.
var errLoopBusy = errors.New("node: the loop is behind")

// input is the result of a call or a request, as it is fed to the core on the loop. The time
// is the one since the controller started.
type input = func(now time.Duration)

// leadershipSnapshot is what request handlers read of the core's state between turns of the
// loop, without waiting for it.
type leadershipSnapshot struct {
	leading     bool
	leader      string        // name of the leader, if known
	partitioned bool          // somebody leads, but is not reached from here
	takenAt     time.Duration // when the loop's last turn ended
}

// runLoop runs the loop until the context ends, and then ends the calls that it has begun. They
// outlive the context for as long as the loop takes to give up leadership.
func (n *Node) runLoop(ctx context.Context) {
	callsCtx, cancelCalls := context.WithCancel(context.WithoutCancel(ctx))
	n.loop(ctx, callsCtx)
	cancelCalls()
	n.calls.Wait()
	for _, p := range n.peers {
		p.close()
	}
}

// loop is the only goroutine that touches the core. It runs until ctx ends; the calls it begins
// run in callsCtx.
func (n *Node) loop(ctx, callsCtx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			n.stopCore(callsCtx)
			return
		case in := <-n.inputs:
			in(time.Since(n.start))
		case <-tick.C:
			n.core.Tick(time.Since(n.start))
		}
		for _, e := range n.core.TakeEffects() {
			n.execute(callsCtx, e)
		}
		n.takeSnapshot()
	}
}

func (n *Node) takeSnapshot() {
	leading, leader := n.core.Leading()
	now := time.Since(n.start)
	n.snapshot.Store(&leadershipSnapshot{
		leading:     leading,
		leader:      leader,
		partitioned: n.core.Partitioned(now),
		takenAt:     now,
	})
}

// stopCore gives up leadership and answers the users who wait. Other effects are dropped: as
// after a crash, the next leader's term starts from the log.
func (n *Node) stopCore(ctx context.Context) {
	n.core.Stop(time.Since(n.start))
	for _, effect := range n.core.TakeEffects() {
		switch e := effect.(type) {
		case effects.LeadershipRequest:
			if e.Request.Action == leadership.ReleaseLease {
				n.executeLeadership(ctx, e.Request)
			}
		case effects.Reply:
			n.execute(ctx, e)
		}
	}
	n.log.Info("ended", "node", n.settings.Node)
}

// enqueue feeds an input to the loop, and waits while its queue is full. The input is dropped
// when the context ends: nobody reads the queue then.
func (n *Node) enqueue(ctx context.Context, in input) {
	select {
	case n.inputs <- in:
	case <-ctx.Done():
	}
}

// tryEnqueue feeds an input to the loop, or returns errLoopBusy when its queue is full.
func (n *Node) tryEnqueue(in input) error {
	select {
	case n.inputs <- in:
		return nil
	default:
		return errLoopBusy
	}
}

// runOnLoop runs a function on the loop and waits for it, for answerTimeout at most.
func (n *Node) runOnLoop(f input) error {
	done := make(chan struct{})
	err := n.tryEnqueue(func(now time.Duration) {
		f(now)
		close(done)
	})
	if err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-time.After(answerTimeout):
		return errLoopBusy
	}
}
