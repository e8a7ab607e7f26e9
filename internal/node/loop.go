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

// loop is the only goroutine that touches the core. It runs until the context ends.
func (n *Node) loop(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			n.stopCore()
			return
		case in := <-n.inputs:
			in(time.Since(n.start))
		case <-tick.C:
			n.core.Tick(time.Since(n.start))
		}
		for _, e := range n.core.TakeEffects() {
			n.execute(e)
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
func (n *Node) stopCore() {
	n.core.Stop(time.Since(n.start))
	for _, effect := range n.core.TakeEffects() {
		switch e := effect.(type) {
		case effects.LeadershipRequest:
			if e.Request.Action == leadership.ReleaseLease {
				n.executeLeadership(e.Request)
			}
		case effects.Reply:
			n.execute(e)
		}
	}
	n.log.Info("ended", "node", n.settings.Node)
}

// enqueue feeds an input to the loop, and waits while its queue is full.
func (n *Node) enqueue(in input) { n.inputs <- in }

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
