package node

import (
	"errors"
	"time"

	"bitternmoor/internal/core/config"
	"bitternmoor/internal/core/leadership"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/wire"
)

// Controller is what peers may call over net/rpc. The names of its methods, and the fields of
// their arguments and results, are part of the protocol between versions: older controllers
// call them, and gob matches fields by name.
type Controller struct{ node *Node }

// UserRequest is a user's request as one controller forwards it to another.
type UserRequest struct {
	Op         string // one of the operations below
	ID         uint64 // of the job
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

// PreviousLeaderAnswer says how long ago, in milliseconds, a controller last heard a leader, if
// it ever did, for how long it heard that one, and what that one said of its fleet.
type PreviousLeaderAnswer struct {
	Ever            bool
	AgoMS, LastedMS int64
	Fleet           leadership.FleetKnowledge
}

// HeartbeatMessage says who leads, and in which epoch.
type HeartbeatMessage struct {
	Node  string
	Epoch uint64
	Fleet leadership.FleetKnowledge // left out where nothing is said
}

// ConfigHeartbeatMessage is a heartbeat with changes of the configuration.
type ConfigHeartbeatMessage struct {
	Heartbeat HeartbeatMessage
	Update    config.Update
}

// ConfigAnswer is the revision of the configuration that a controller has in force.
type ConfigAnswer struct{ Revision uint64 }

// Here answers a probe.
func (c *Controller) Here(struct{}, *bool) error { return nil }

// Ask serves a request that another controller's user made. It is never forwarded a second
// time.
func (c *Controller) Ask(in UserRequest, out *effects.Answer) error {
	if err := c.node.countRefusal(c.node.checkUserRequest(in)); err != nil {
		return err
	}
	if in.Op == opSubmit && !in.Whole && len(c.node.settings.Tunables.Pools) > 0 {
		// What the job needs of pools may have been overlooked by the controller that took it.
		*out = effects.Unavailable("the controller that took this knows nothing of pools")
		return nil
	}
	*out = c.node.serveLocally(in)
	return nil
}

// AskCounted serves a submission that needs units of pools. It has a name of its own so that
// a leader that knows nothing of pools refuses it.
func (c *Controller) AskCounted(in UserRequest, out *effects.Answer) error { return c.Ask(in, out) }

// LedBefore tells a new leader when this controller last heard one of an earlier epoch.
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

// Hail takes the leader's heartbeat. Its name is the one that older versions call.
func (c *Controller) Hail(in HeartbeatMessage, _ *bool) error {
	if err := c.node.countRefusal(c.node.checkHeartbeat(in)); err != nil {
		return err
	}
	return c.node.tryEnqueue(func(now time.Duration) {
		c.node.core.HeartbeatReceived(now, in.Node, in.Epoch, in.Fleet)
	})
}

// ConfigHeartbeat takes the leader's heartbeat with changes of the configuration.
func (c *Controller) ConfigHeartbeat(in ConfigHeartbeatMessage, out *ConfigAnswer) error {
	err := errors.Join(c.node.checkHeartbeat(in.Heartbeat), c.node.checkConfig(in.Update))
	if err := c.node.countRefusal(err); err != nil {
		return err
	}
	return c.node.runOnLoop(func(now time.Duration) {
		c.node.core.HeartbeatReceived(now, in.Heartbeat.Node, in.Heartbeat.Epoch, in.Heartbeat.Fleet)
		out.Revision = c.node.core.ApplyConfig(now, in.Heartbeat.Node, in.Update)
	})
}

// Relay serves a worker's heartbeat that another controller received. It is never relayed a
// second time.
func (c *Controller) Relay(in effects.RelayedHeartbeat, out *effects.HeartbeatAnswer) error {
	if err := c.node.countRefusal(c.node.checkRelay(in)); err != nil {
		return err
	}
	answer, err := c.node.awaitHeartbeatAnswer(func(now time.Duration, to effects.RequestID) {
		c.node.core.HandleRelayedHeartbeat(now, to, in)
	})
	*out = answer
	return err
}

// Status serves a peer's operator who asks for the leader's status.
func (c *Controller) Status(_ struct{}, out *Status) error {
	return c.node.runOnLoop(func(now time.Duration) { *out = c.node.core.Status(now) })
}

// Explain serves a peer's operator who asks where a job stands.
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
