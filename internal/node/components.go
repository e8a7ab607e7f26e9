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

// errLeaderUnknown is returned if this node cannot answer itself and no peer is known to lead.
var errLeaderUnknown = errors.New("no leader is known at present")

// refusedPrefix marks, in an RPC answer, an error with which a component refused the request.
// net/rpc transmits only the text of an error, so the error's type cannot mark it.
const refusedPrefix = "refused: "

// componentCall calls a component of this node's term. known is false if this node cannot answer
// for the component, raw is nil if there is no such component, and err is the component's own error.
type componentCall = func(now time.Duration) (raw json.RawMessage, known bool, err error)

// ChangeRequest is an operator's request to change a component, as one controller forwards it to
// another.
type ChangeRequest struct {
	Duty string // name of the component
	Body []byte // JSON
	By   string // name in the operator's certificate; empty without one or from older controllers
}

// ShowComponent returns a view of a component, named as for Core.Show, from this node or from the
// leader. It returns the same errors as ChangeComponent.
func (n *Node) ShowComponent(view string) (json.RawMessage, error) {
	return n.askComponent("Controller.Show", view, n.showCall(view))
}

// ChangeComponent makes a component apply a requested change, on this node or on the leader. The
// error is control.ErrUnknown if there is no such component, wraps control.ErrRefused if the
// component refuses the change, and is any other error if no node can answer now.
func (n *Node) ChangeComponent(by, component string, body json.RawMessage) (json.RawMessage, error) {
	in := ChangeRequest{Duty: component, Body: body, By: by}
	return n.askComponent("Controller.Change", in, n.changeCall(in))
}

func (n *Node) showCall(view string) componentCall {
	return func(now time.Duration) (json.RawMessage, bool, error) { return n.core.Show(now, view) }
}

func (n *Node) changeCall(in ChangeRequest) componentCall {
	return func(now time.Duration) (json.RawMessage, bool, error) {
		return n.core.Change(now, in.Duty, in.By, in.Body)
	}
}

// askComponent calls a component on this node with local, or on the leader with the RPC method.
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

// callLocalOrLeader runs local on this node's loop. If local returns false, it calls the RPC
// method on the leader with the argument in and the result out, within peerTimeout.
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

// Show returns a view of a component to a peer, on behalf of an operator.
func (c *Controller) Show(view string, out *[]byte) error {
	return c.serveComponentCall(out, c.node.showCall(view))
}

// Change applies a change of a component for a peer, on behalf of an operator.
func (c *Controller) Change(in ChangeRequest, out *[]byte) error {
	return c.serveComponentCall(out, c.node.changeCall(in))
}

func (c *Controller) serveComponentCall(out *[]byte, call componentCall) error {
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
