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
	// answerTimeout is how long a request waits for the loop's answer.
	answerTimeout = time.Second
)

// errLoopBusy is returned if the loop's input queue is full, or if the loop has not processed an
// input in time.
var errLoopBusy = errors.New("node: the loop is behind")

// input passes a request or the result of a call to the core. It runs on the loop; now is the time
// since the controller started.
type input = func(now time.Duration)

// leadershipSnapshot is a copy of the core's leadership state, which request handlers read without
// waiting for the loop.
type leadershipSnapshot struct {
	leading     bool
	leader      string        // name of the leader, if known
	partitioned bool          // another node leads, but this one cannot reach it
	takenAt     time.Duration // when the loop's last iteration ended
}

// runLoop runs the loop until the context ends. Calls that the loop has started may go on while it
// gives up leadership; then they are cancelled, and runLoop waits for them.
func (n *Node) runLoop(ctx context.Context) {
	callsCtx, cancelCalls := context.WithCancel(context.WithoutCancel(ctx))
	n.loop(ctx, callsCtx)
	cancelCalls()
	n.calls.Wait()
	for _, p := range n.peers {
		p.close()
	}
}

// loop processes inputs and ticks until ctx ends. Only its goroutine accesses the core. The calls
// that it starts use callsCtx.
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

// stopCore gives up leadership and answers the waiting users. Other effects are dropped, because
// the next leader's term starts from the log, as after a crash.
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

// enqueue adds an input to the loop's queue, and waits while the queue is full. The input is
// dropped if the context ends, since nothing reads the queue then.
func (n *Node) enqueue(ctx context.Context, in input) {
	select {
	case n.inputs <- in:
	case <-ctx.Done():
	}
}

// tryEnqueue adds an input to the loop's queue, or returns errLoopBusy if the queue is full.
func (n *Node) tryEnqueue(in input) error {
	select {
	case n.inputs <- in:
		return nil
	default:
		return errLoopBusy
	}
}

// runOnLoop runs a function on the loop and waits until it returns, for at most answerTimeout.
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
