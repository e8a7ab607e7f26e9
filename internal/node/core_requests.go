package node

import (
	"encoding/json"
	"time"

	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/leader/reconfig"
	"bitternmoor/internal/wire"
)

// Submit handles the submission of a job.
func (c *Core) Submit(now time.Duration, to effects.RequestID, submission wire.Submission) {
	if !c.canServe(now) {
		c.replyNoLeader(to)
		return
	}
	c.term.Lifecycle.Submit(now, to, submission)
	c.advanceTerm(now)
}

// Query replies with a job's state.
func (c *Core) Query(now time.Duration, to effects.RequestID, id uint64) {
	if !c.canServe(now) {
		c.replyNoLeader(to)
		return
	}
	c.term.Lifecycle.Query(to, id)
	c.advanceTerm(now)
}

// Cancel handles a user's request to cancel a job.
func (c *Core) Cancel(now time.Duration, to effects.RequestID, id uint64) {
	if !c.canServe(now) {
		c.replyNoLeader(to)
		return
	}
	c.term.Lifecycle.Cancel(now, to, id)
	c.advanceTerm(now)
}

func (c *Core) replyNoLeader(to effects.RequestID) {
	c.emit(effects.Reply{To: to, Answer: effects.Unavailable("no leader at present")})
}

// Show returns a view of a component for operators, as JSON. The view is named by the component
// alone or as COMPONENT/VIEW. known is false on a node that cannot answer, raw is nil if there is
// no such view, and err is the component's own error.
func (c *Core) Show(now time.Duration, view string) (raw json.RawMessage, known bool, err error) {
	if view == reconfig.Name+"/"+reconfig.ViewLocal && c.settings.Tunables.ConfigHistory > 0 {
		raw, err = json.Marshal(c.LocalConfig(now)) // this node's own, whether or not it leads
		return raw, true, err
	}
	if c.term == nil || !c.term.Loaded() {
		return nil, false, nil
	}
	raw, _, err = c.term.Show(now, view)
	return raw, true, err
}

// Change makes a component apply a change requested by an operator. known is false on a node that
// does not lead with a valid lease and a loaded log, raw is nil if there is no such component, and
// err is the component's own error.
func (c *Core) Change(
	now time.Duration, component, by string, body json.RawMessage,
) (raw json.RawMessage, known bool, err error) {
	if !c.canServe(now) {
		return nil, false, nil
	}
	raw, _, err = c.term.Change(now, component, by, body)
	c.advanceTerm(now)
	return raw, true, err
}

// LocalConfig returns this node's copy of the configuration, with the ages of its revision and of
// its last update.
func (c *Core) LocalConfig(now time.Duration) reconfig.LocalView {
	leading, leader := c.Leading()
	return reconfig.LocalView{
		Node:     c.settings.Node,
		Leads:    leading,
		Leader:   leader,
		Revision: c.config.Revision(),
		SinceS:   (now - c.config.RevisionSince()).Seconds(),
		AgeS:     c.configAgeS(now),
		Sets:     c.config.All(),
	}
}

// configAgeS returns how many seconds ago this node last received the configuration in force: 0 on
// a serving leader, -1 if it never did.
func (c *Core) configAgeS(now time.Duration) float64 {
	if c.canServe(now) {
		return 0
	}
	if heardAt := c.config.UpdatedAt(); heardAt > 0 {
		return (now - heardAt).Seconds()
	}
	return -1
}

// Histograms returns the components' measurements since the process started.
func (c *Core) Histograms() []cluster.Histogram { return c.measures.All() }

// Gauges returns the components' gauges on the leader, and nil on other nodes.
func (c *Core) Gauges(now time.Duration) []cluster.Gauge {
	if c.term == nil || !c.term.Loaded() {
		return nil
	}
	return c.term.Gauges(now)
}
