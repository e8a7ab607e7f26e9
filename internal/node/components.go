package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/rpc"
	"strings"
	"time"

	"bitternmoor/internal/operators/control"
)

// errLeaderUnknown says that neither this node can answer, nor a leader it knows of.
var errLeaderUnknown = errors.New("no leader is known at present")

// refusedPrefix marks the error of a component that refuses a change, on its way to a peer:
// net/rpc carries no more of an error than its text.
const refusedPrefix = "refused: "

// componentCall asks a component of this node's term; known is false on a node that cannot
// answer for it, and raw nil where there is no such component.
type componentCall = func(now time.Duration) (raw json.RawMessage, known bool, err error)

// ChangeRequest is a change that an operator asks of a component, as one controller forwards
// it to another.
type ChangeRequest struct {
	Duty string // name of the component
	Body []byte // JSON
	By   string // who asks, by the certificate; older controllers leave it out
}

// ShowComponent returns a view of a component, from here or from the leader. Its errors are those
// of ChangeComponent.
func (n *Node) ShowComponent(what string) (json.RawMessage, error) {
	return n.askComponent("Controller.Show", what, n.showCall(what))
}

// ChangeComponent has a component make a change that somebody asks for, here or on the leader.
// Errors are control.ErrUnknown where there is no such component, one that wraps
// control.ErrRefused where the component refuses, and any other where nobody can tell now.
func (n *Node) ChangeComponent(by, component string, body json.RawMessage) (json.RawMessage, error) {
	in := ChangeRequest{Duty: component, Body: body, By: by}
	return n.askComponent("Controller.Change", in, n.changeCall(in))
}

func (n *Node) showCall(what string) componentCall {
	return func(now time.Duration) (json.RawMessage, bool, error) { return n.core.Show(now, what) }
}

func (n *Node) changeCall(in ChangeRequest) componentCall {
	return func(now time.Duration) (json.RawMessage, bool, error) {
		return n.core.Change(now, in.Duty, in.By, in.Body)
	}
}

// askComponent asks a component, here or on the leader.
func (n *Node) askComponent(method string, in any, local componentCall) (json.RawMessage, error) {
	var raw []byte
	var refused error
	err := n.callLocalOrLeader(method, in, &raw, func(now time.Duration) bool {
		var known bool
		raw, known, refused = local(now)
		return known
	})
	var remote rpc.ServerError
	switch {
	case errors.As(err, &remote) && strings.HasPrefix(remote.Error(), refusedPrefix):
		return nil, fmt.Errorf("%s (%w)", strings.TrimPrefix(remote.Error(), refusedPrefix), control.ErrRefused)
	case err != nil:
		return nil, err
	case refused != nil:
		return nil, fmt.Errorf("%s (%w)", refused.Error(), control.ErrRefused)
	case raw == nil:
		return nil, control.ErrUnknown
	}
	return raw, nil
}

// callLocalOrLeader answers on this node's loop if local says that it can, and otherwise calls
// the leader, within peerTimeout: in and out are the RPC's.
func (n *Node) callLocalOrLeader(method string, in, out any, local func(now time.Duration) (answered bool)) error {
	var answered bool
	if err := n.runOnLoop(func(now time.Duration) { answered = local(now) }); err != nil {
		return err
	}
	if answered {
		return nil
	}
	leader := n.peers[n.snapshot.Load().leader]
	if leader == nil {
		return errLeaderUnknown
	}
	return leader.call(context.Background(), method, in, out)
}

// Show serves a peer's operator who looks at a component.
func (c *Controller) Show(name string, out *[]byte) error {
	return c.onComponent(out, c.node.showCall(name))
}

// Change serves a peer's operator who changes something of a component.
func (c *Controller) Change(in ChangeRequest, out *[]byte) error {
	return c.onComponent(out, c.node.changeCall(in))
}

func (c *Controller) onComponent(out *[]byte, call componentCall) error {
	known := false
	var refused error
	err := c.node.runOnLoop(func(now time.Duration) {
		var raw json.RawMessage
		raw, known, refused = call(now)
		*out = raw
	})
	switch {
	case err != nil:
		return err
	case !known:
		return errLeaderUnknown
	case refused != nil:
		return errors.New(refusedPrefix + refused.Error())
	}
	return nil
}
