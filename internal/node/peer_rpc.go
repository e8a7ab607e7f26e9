package node

import (
	"errors"
	"time"

	"bitternmoor/internal/core/config"
	"bitternmoor/internal/core/leadership"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/wire"
)

// Controller is the net/rpc service that peers call. Its method names and the fields of their
// arguments and results are part of the protocol between versions: controllers of older versions
// call them, and gob matches fields by name.
type Controller struct{ node *Node }

// UserRequest is a user's request as one controller forwards it to another.
type UserRequest struct {
	Op         string // one of the operations below
	ID         uint64 // of the job
	Submission wire.Submission
	// Whole is set if the controller that received the request parsed all of its fields. Older
	// versions, which do not support pools, leave it out.
	Whole bool
}

// Operations of a UserRequest.
const (
	opSubmit = "submit"
	opQuery  = "query"
	opAbort  = "abort"
)

// PreviousLeaderAnswer reports whether a controller ever heard from an earlier leader, how long ago
// it last did, for how long it heard from that leader (both in milliseconds), and the fleet
// knowledge that the leader last reported.
type PreviousLeaderAnswer struct {
	Ever            bool
	AgoMS, LastedMS int64
	Fleet           leadership.FleetKnowledge
}

// HeartbeatMessage names the leader and its epoch.
type HeartbeatMessage struct {
	Node  string
	Epoch uint64
	Fleet leadership.FleetKnowledge // gob omits FleetUnspecified, the zero value
}

// ConfigHeartbeatMessage is a heartbeat with configuration changes.
type ConfigHeartbeatMessage struct {
	Heartbeat HeartbeatMessage
	Update    config.Update
}

// ConfigAnswer is the configuration revision in force on a controller.
type ConfigAnswer struct{ Revision uint64 }

// Here answers a probe.
func (c *Controller) Here(struct{}, *bool) error { return nil }

// Ask serves a user's request that another controller forwarded. It is never forwarded a second
// time.
func (c *Controller) Ask(in UserRequest, out *effects.Answer) error {
	if err := c.node.countRejection(c.node.checkUserRequest(in)); err != nil {
		return err
	}
	if in.Op == opSubmit && !in.Whole && len(c.node.settings.Tunables.Pools) > 0 {
		// The controller that received the submission may have ignored the job's pool units.
		*out = effects.Unavailable("the controller that took this knows nothing of pools")
		return nil
	}
	*out = c.node.serveLocally(in)
	return nil
}

// AskCounted serves a submission that needs units of pools. It is a separate method so that a
// leader of a version without pools rejects the call.
func (c *Controller) AskCounted(in UserRequest, out *effects.Answer) error { return c.Ask(in, out) }

// LedBefore returns to a new leader this controller's record of the last leader of an earlier epoch.
func (c *Controller) LedBefore(epoch uint64, out *PreviousLeaderAnswer) error {
	return c.node.runOnLoop(func(now time.Duration) {
		previous := c.node.core.PreviousLeader(epoch)
		*out = PreviousLeaderAnswer{
			Ever:     previous.Known,
			AgoMS:    (now - previous.Until).Milliseconds(),
			LastedMS: (previous.Until - previous.Since).Milliseconds(),
			Fleet:    previous.Fleet,
		}
	})
}

// Hail handles the leader's heartbeat. Older versions call it by this name.
func (c *Controller) Hail(in HeartbeatMessage, _ *bool) error {
	if err := c.node.countRejection(c.node.checkHeartbeat(in)); err != nil {
		return err
	}
	return c.node.tryEnqueue(func(now time.Duration) {
		c.node.core.HeartbeatReceived(now, in.Node, in.Epoch, in.Fleet)
	})
}

// ConfigHeartbeat handles the leader's heartbeat with configuration changes.
func (c *Controller) ConfigHeartbeat(in ConfigHeartbeatMessage, out *ConfigAnswer) error {
	err := errors.Join(c.node.checkHeartbeat(in.Heartbeat), c.node.checkConfig(in.Update))
	if err := c.node.countRejection(err); err != nil {
		return err
	}
	return c.node.runOnLoop(func(now time.Duration) {
		c.node.core.HeartbeatReceived(now, in.Heartbeat.Node, in.Heartbeat.Epoch, in.Heartbeat.Fleet)
		out.Revision = c.node.core.ApplyConfig(now, in.Heartbeat.Node, in.Update)
	})
}

// Relay serves a worker's heartbeat that another controller relayed. It is never relayed a second
// time.
func (c *Controller) Relay(in effects.RelayedHeartbeat, out *effects.HeartbeatAnswer) error {
	if err := c.node.countRejection(c.node.checkRelayedHeartbeat(in)); err != nil {
		return err
	}
	answer, err := c.node.awaitHeartbeatAnswer(func(now time.Duration, to effects.RequestID) {
		c.node.core.HandleRelayedHeartbeat(now, to, in)
	})
	*out = answer
	return err
}

// Status returns this node's status to a peer, on behalf of an operator.
func (c *Controller) Status(_ struct{}, out *Status) error {
	return c.node.runOnLoop(func(now time.Duration) { *out = c.node.core.Status(now) })
}

// Explain returns the explanation of a job to a peer, on behalf of an operator.
func (c *Controller) Explain(id uint64, out *Explanation) error {
	known := false
	err := c.node.runOnLoop(func(now time.Duration) { *out, known = c.node.core.Explain(now, id) })
	if err != nil {
		return err
	}
	if !known {
		return errLeaderUnknown
	}
	return nil
}
