package node

import (
	"errors"
	"fmt"
	"net/rpc"
	"sync/atomic"
	"time"

	"bitternmoor/internal/core/config"
	"bitternmoor/internal/core/leadership"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/wire"
)

// peer is another controller, called over net/rpc.
type peer struct {
	address string
	client  atomic.Pointer[rpc.Client]
}

const peerTimeout = 1200 * time.Millisecond

// exceeded says whether a call has taken longer than it may. A process that stood still finds
// its answer and its deadline side by side when it goes on: the answer may be as old as that
// lasted, and its user may have been told something newer elsewhere.
func exceeded(began time.Time, limit time.Duration) bool { return time.Since(began) > limit }

// call makes one call with a deadline, which net/rpc itself does not have. A
// connection that missed one is closed.
func (p *peer) call(method string, in, out any) error {
	began := time.Now()
	deadline := time.NewTimer(peerTimeout)
	defer deadline.Stop()
	c := p.client.Load()
	if c == nil {
		fresh, err := dialPeer(p.address)
		if err != nil {
			return err
		}
		if p.client.CompareAndSwap(nil, fresh) {
			c = fresh
		} else {
			_ = fresh.Close()
			if c = p.client.Load(); c == nil {
				return errors.New("node: the peer's connection was just lost")
			}
		}
	}
	call := c.Go(method, in, out, make(chan *rpc.Call, 1))
	var err error
	select {
	case <-call.Done:
		if err = call.Error; err == nil && exceeded(began, peerTimeout) {
			err = fmt.Errorf("node: %s: the answer came too late", p.address)
		}
	case <-deadline.C:
		err = fmt.Errorf("node: %s: no answer in %v", p.address, peerTimeout)
	}
	var remote rpc.ServerError
	if err != nil && !errors.As(err, &remote) && p.client.CompareAndSwap(c, nil) {
		_ = c.Close()
	}
	return err
}

// reachable says whether a peer answers. Whether it knows the question does not
// matter: an error of its own is an answer too.
func (p *peer) reachable() bool {
	err := p.call("Controller.Here", struct{}{}, new(bool))
	var remote rpc.ServerError
	return err == nil || errors.As(err, &remote)
}

// Here answers a probe.
func (c *Controller) Here(struct{}, *bool) error { return nil }

// UserRequest is a user's request as one controller hands it to another.
type UserRequest struct {
	Op         string
	ID         uint64
	Submission wire.Submission
	// Whole says that the controller which took the request has read all that it asks
	// for. Older ones, which do not know of pools, leave it out.
	Whole bool
}

// Operations of a UserRequest.
const (
	opSubmit = "submit"
	opQuery  = "query"
	opAbort  = "abort"
)

// Controller is what peers may call.
type Controller struct{ node *Node }

// Ask serves a request that another controller's user made. It is never
// handed on a second time.
func (c *Controller) Ask(in UserRequest, out *effects.Answer) error {
	if err := c.node.countRefusal(c.node.checkUserRequest(in)); err != nil {
		return err
	}
	if in.Op == opSubmit && !in.Whole && len(c.node.settings.Tunables.Pools) > 0 {
		// What the job needs of pools may have been overlooked at the door.
		*out = effects.Unavailable("the controller that took this knows nothing of pools")
		return nil
	}
	*out = c.node.serveLocally(in)
	return nil
}

// AskCounted serves a submission that needs units of pools. It has a name of its own
// so that a leader that knows nothing of them refuses it.
func (c *Controller) AskCounted(in UserRequest, out *effects.Answer) error { return c.Ask(in, out) }

// PreviousLeaderAnswer says how long ago a controller last heard a leader, if it ever did, for how
// long it heard that one, and what that said of its fleet.
type PreviousLeaderAnswer struct {
	Ever            bool
	AgoMS, LastedMS int64
	Fleet           leadership.FleetKnowledge
}

// LedBefore tells a new leader when this controller last heard one of an earlier epoch.
func (c *Controller) LedBefore(epoch uint64, out *PreviousLeaderAnswer) error {
	return c.node.runOnLoop(func(now time.Duration) {
		led := c.node.core.PreviousLeader(epoch)
		*out = PreviousLeaderAnswer{led.Ever, (now - led.Until).Milliseconds(), (led.Until - led.Since).Milliseconds(), led.Fleet}
	})
}

// HeartbeatMessage says who leads, and in which epoch.
type HeartbeatMessage struct {
	Node  string
	Epoch uint64
	Fleet leadership.FleetKnowledge // left out where nothing is said
}

// Hail takes the leader's heartbeat. Its name is the one that older versions call.
func (c *Controller) Hail(in HeartbeatMessage, _ *bool) error {
	if err := c.node.countRefusal(c.node.checkHeartbeat(in)); err != nil {
		return err
	}
	return c.node.tryEnqueue(func(now time.Duration) { c.node.core.HeartbeatReceived(now, in.Node, in.Epoch, in.Fleet) })
}

// ConfigHeartbeatMessage is a heartbeat that tells of the configuration besides.
type ConfigHeartbeatMessage struct {
	Heartbeat HeartbeatMessage
	Update    config.Update
}

// ConfigAnswer is the revision that a controller has in force.
type ConfigAnswer struct{ Revision uint64 }

// ConfigHeartbeat takes the leader's word that it leads, and what it tells of the configuration.
func (c *Controller) ConfigHeartbeat(in ConfigHeartbeatMessage, out *ConfigAnswer) error {
	if err := c.node.countRefusal(errors.Join(c.node.checkHeartbeat(in.Heartbeat), c.node.checkConfig(in.Update))); err != nil {
		return err
	}
	return c.node.runOnLoop(func(now time.Duration) {
		c.node.core.HeartbeatReceived(now, in.Heartbeat.Node, in.Heartbeat.Epoch, in.Heartbeat.Fleet)
		out.Revision = c.node.core.ApplyConfig(now, in.Heartbeat.Node, in.Update)
	})
}

// Relay serves a report that another controller received. It is never handed
// on a second time.
func (c *Controller) Relay(in effects.RelayedHeartbeat, out *effects.HeartbeatAnswer) error {
	if err := c.node.countRefusal(c.node.checkRelay(in)); err != nil {
		return err
	}
	a, err := c.node.awaitHeartbeatAnswer(func(now time.Duration, to effects.RequestID) { c.node.core.HandleRelayedHeartbeat(now, to, in) })
	*out = a
	return err
}
