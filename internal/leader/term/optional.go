package term

import (
	"encoding/json"
	"errors"
	"strings"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/leader/coldstart"
	"bitternmoor/internal/leader/dispatch"
	"bitternmoor/internal/leader/failover"
	"bitternmoor/internal/leader/pools"
	"bitternmoor/internal/leader/rebalance"
	"bitternmoor/internal/leader/reconfig"
	"bitternmoor/internal/leader/runtimes"
	"bitternmoor/internal/leader/slo"
)

// The optional interfaces of components are found by type assertions, which would silently
// stop matching if a method were renamed. These declarations let the compiler check them.
var (
	_ viewer = (*failover.Component)(nil)
	_ viewer = (*coldstart.Component)(nil)
	_ viewer = (*dispatch.Component)(nil)
	_ viewer = (*rebalance.Component)(nil)
	_ viewer = (*slo.Component)(nil)
	_ viewer = (*pools.Component)(nil)
	_ viewer = (*runtimes.Component)(nil)
	_ viewer = (*reconfig.Component)(nil)

	_ gauger = (*coldstart.Component)(nil)
	_ gauger = (*rebalance.Component)(nil)
	_ gauger = (*slo.Component)(nil)
	_ gauger = (*pools.Component)(nil)
	_ gauger = (*reconfig.Component)(nil)

	_ configurable        = (*pools.Component)(nil)
	_ configurable        = (*runtimes.Component)(nil)
	_ auditedConfigurable = (*reconfig.Component)(nil)

	_ valueReceiver = (*pools.Component)(nil)
	_ valueReceiver = (*runtimes.Component)(nil)

	_ peerListener = (*coldstart.Component)(nil)
	_ peerListener = (*rebalance.Component)(nil)
)

// viewer is a component that provides views for operators.
type viewer interface {
	// Show returns a view as a JSON value, or cluster.ErrUnknownView if there is none by
	// that name.
	Show(now time.Duration, view string) (json.RawMessage, error)
}

// Show returns a view for operators. path is the NAME of a component, or NAME/VIEW if it has
// several views. ok is false if there is no such view or the component is disabled.
func (t *Term) Show(now time.Duration, path string) (raw json.RawMessage, ok bool, err error) {
	name, view, _ := strings.Cut(path, "/")
	c, ok := t.componentsByName[name].(viewer)
	if !ok {
		return nil, false, nil
	}
	raw, err = c.Show(now, view)
	if errors.Is(err, cluster.ErrUnknownView) {
		return nil, false, nil
	}
	return raw, true, err
}

// gauger is a component that exports gauges as metrics.
type gauger interface {
	Gauges(now time.Duration) []cluster.Gauge
}

// Gauges returns the gauges of all components, in the order of the components.
func (t *Term) Gauges(now time.Duration) []cluster.Gauge {
	var gauges []cluster.Gauge
	for _, c := range t.components {
		if g, ok := c.(gauger); ok {
			gauges = append(gauges, g.Gauges(now)...)
		}
	}
	return gauges
}

// configurable is a component with settings that operators may change.
type configurable interface {
	Change(now time.Duration, body json.RawMessage) (json.RawMessage, error)
}

// auditedConfigurable is a configurable component that records who requested the change.
type auditedConfigurable interface {
	ChangeBy(now time.Duration, by string, body json.RawMessage) (json.RawMessage, error)
}

// Change passes an operator's change request to the component with the given name. ok is
// false if there is no such component, it is disabled, or it accepts no changes.
func (t *Term) Change(
	now time.Duration, name, by string, body json.RawMessage,
) (raw json.RawMessage, ok bool, err error) {
	switch c := t.componentsByName[name].(type) {
	case configurable:
		raw, err = c.Change(now, body)
	case auditedConfigurable:
		raw, err = c.ChangeBy(now, by, body)
	default:
		return nil, false, nil
	}
	return raw, true, err
}

// valueReceiver is a component that reads its own stored values after its term has begun.
type valueReceiver interface {
	// ValuesRead handles a page of values, in the order of their keys. ok is false for a page
	// that could not be read.
	ValuesRead(now time.Duration, list []eventlog.ComponentValue, more, ok bool)
}

// ValuesRead passes a page of a component's own values to it.
func (t *Term) ValuesRead(now time.Duration, component string, list []eventlog.ComponentValue, more, ok bool) {
	if c, known := t.componentsByName[component].(valueReceiver); known {
		c.ValuesRead(now, list, more, ok)
	}
}

// peerListener is a component that is notified when other controllers answer the leader's
// heartbeats.
type peerListener interface {
	PeerHeard(now time.Duration, peer string, elapsed time.Duration)
}

// PeerHeard notifies the components that another controller has answered a heartbeat, and how
// long that took.
func (t *Term) PeerHeard(now time.Duration, peer string, elapsed time.Duration) {
	for _, c := range t.components {
		if l, ok := c.(peerListener); ok {
			l.PeerHeard(now, peer, elapsed)
		}
	}
}
