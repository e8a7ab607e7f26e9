package pools

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/effects"
)

const (
	maxStoredChanges = 16 // per pool; they are stored so that a repeated change gets the same answer
	maxIDBytes       = 64 // of the ID of a change
)

var (
	errNoOperation   = errors.New("pools: neither a change nor a receipt is asked for")
	errNothingToDo   = errors.New("pools: neither units nor drain is to be changed")
	errInvalidID     = fmt.Errorf("pools: id: has 1 to %d bytes", maxIDBytes)
	errTooManyUnits  = fmt.Errorf("pools: units: more than %d", eventlog.MaxPoolUnits)
	errValuesLoading = errors.New("pools: what was changed before is still being read: try again in a second")
)

// Request is a request to the component: one of its fields is set.
type Request struct {
	Change  *Change         `json:"change,omitempty"`
	Receipt *ReceiptRequest `json:"receipt,omitempty"`
}

// Change is an operator's change of a pool. It is idempotent by its ID: a repeat gets the same
// answer. Version is the version of the pool that the change was planned for; the change is refused
// if another one has been applied since.
type Change struct {
	ID      string `json:"id"`
	Pool    string `json:"pool"`
	Version uint64 `json:"version"`
	Units   *int64 `json:"units,omitempty"` // nil: not changed; negative: the number in the settings
	Drain   *bool  `json:"drain,omitempty"` // nil: not changed; a drained pool allocates no units
}

// ChangeResult is the answer to a Change. Until the change is durable, the client has to repeat it.
type ChangeResult struct {
	Durable bool   `json:"durable"`
	Version uint64 `json:"version"` // version of the pool that the change produced
	Pool    View   `json:"pool"`    // as the pool is now
}

// appliedChange is the ID of an applied change and the version of the pool that it produced.
type appliedChange struct {
	ID      string `json:"i"`
	Version uint64 `json:"c"`
}

// Change applies a Request and returns a ChangeResult or a Receipt, as JSON.
func (d *Component) Change(now time.Duration, body json.RawMessage) (json.RawMessage, error) {
	var in Request
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, fmt.Errorf("pools: %w", err)
	}
	var out any
	var err error
	switch {
	case in.Change != nil:
		out, err = d.change(now, in.Change)
	case in.Receipt != nil:
		out, err = d.issueReceipt(now, in.Receipt)
	default:
		err = errNoOperation
	}
	if err != nil {
		return nil, err
	}
	raw, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("pools: %w", err)
	}
	return raw, nil
}

func (d *Component) change(now time.Duration, c *Change) (*ChangeResult, error) {
	i, ok := d.byName[c.Pool]
	if !ok || !d.pools[i].inSettings {
		return nil, fmt.Errorf("pools: pool: no such pool: %q", c.Pool)
	}
	p := d.pools[i]
	if err := d.checkChange(c); err != nil {
		return nil, err
	}
	if n := slices.IndexFunc(p.changes, func(o appliedChange) bool { return o.ID == c.ID }); n >= 0 {
		version := p.changes[n].Version
		return &ChangeResult{Durable: version <= p.durableVersion, Version: version, Pool: d.view(now, p, false)}, nil
	}
	if c.Version != p.changeVersion {
		return nil, fmt.Errorf("pools: version: this was planned for version %d, and another change has made it %d",
			c.Version, p.changeVersion)
	}
	p.apply(c)
	d.store.dirtyPools = append(d.store.dirtyPools, p)
	d.NeedsCycle = true
	d.LogMessage(effects.Info, "pool changed", "pool", p.name, "version", p.changeVersion,
		"units", max(p.size, p.pendingSize), "drained", p.drained)
	return &ChangeResult{Version: p.changeVersion, Pool: d.view(now, p, false)}, nil
}

// checkChange returns an error if a change cannot be applied to any pool: it is not valid, or the stored
// values have not been read.
func (d *Component) checkChange(c *Change) error {
	switch {
	case !d.store.loaded && d.store.unreadableKey != "":
		return fmt.Errorf("pools: %s cannot be read: nothing is changed", d.store.unreadableKey)
	case !d.store.loaded:
		return errValuesLoading
	case c.ID == "" || len(c.ID) > maxIDBytes:
		return errInvalidID
	case c.Units != nil && *c.Units > eventlog.MaxPoolUnits:
		return errTooManyUnits
	case c.Units == nil && c.Drain == nil:
		return errNothingToDo
	}
	return nil
}

// apply applies a change. A smaller size takes effect at once, a larger one when it is durable, so
// that a new leader reads it too.
func (p *pool) apply(c *Change) {
	p.changeVersion++
	p.changes = append(p.changes, appliedChange{ID: c.ID, Version: p.changeVersion})
	p.changes = slices.Delete(p.changes, 0, max(0, len(p.changes)-maxStoredChanges))
	if c.Drain != nil {
		p.drained = *c.Drain
	}
	if c.Units == nil {
		return
	}
	units := *c.Units
	p.sizeOverridden = units >= 0
	if !p.sizeOverridden {
		units = int64(p.conf.Units)
	}
	p.size, p.pendingSize = min(p.size, units), 0
	if units > p.size {
		p.pendingSize = units
	}
}
