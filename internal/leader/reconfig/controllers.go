package reconfig

import (
	"slices"
	"time"

	"bitternmoor/internal/core/config"
	"bitternmoor/internal/leader/cluster"
)

// controller is the last known configuration state of another controller.
type controller struct {
	heardAt     time.Duration // when it last reported its revision; 0: not in this term
	revision    uint64
	hasSince    time.Duration // when it first reported that revision
	behindSince time.Duration // since when it has lacked a durable revision; 0: it has them all
}

// durableRevision is the number of a durable revision, and when it became durable.
type durableRevision struct {
	revision uint64
	at       time.Duration
}

// maxPropagating limits the number of tracked revisions that are not in force on all controllers,
// since a controller may be down for a long time.
const maxPropagating = 1000

// propagationBounds are the upper bounds, in seconds, of the buckets of the propagation histogram.
var propagationBounds = []float64{0.1, 0.25, 0.5, 1, 1.5, 2, 3, 5, 8, 11, 20, 60}

// revisionDurable records that a revision is durable and that the other controllers now lack it.
func (d *Component) revisionDurable(now time.Duration, revision uint64) {
	d.propagating = append(d.propagating, durableRevision{revision: revision, at: now})
	d.propagating = slices.Delete(d.propagating, 0, max(0, len(d.propagating)-maxPropagating))
	for _, c := range d.controllers {
		if c.behindSince == 0 {
			c.behindSince = now
		}
	}
}

// UpdateFor returns the update that another controller is sent with the next heartbeat.
func (d *Component) UpdateFor(name string) *config.Update {
	has := uint64(0)
	if c := d.controllers[name]; c != nil {
		has = c.revision
	}
	u := d.document.Update(has)
	return &u
}

// RevisionAcknowledged records the revision that another controller reports as in force.
func (d *Component) RevisionAcknowledged(now time.Duration, name string, revision uint64) {
	c := d.controllers[name]
	if c == nil {
		return
	}
	if revision > d.document.Revision() {
		d.recordMissing(revision)
	}
	if revision != c.revision || c.heardAt == 0 {
		c.hasSince = now
	}
	for _, r := range d.propagating {
		if r.revision > c.revision && r.revision <= revision && c.heardAt > 0 {
			d.propagation.Observe(name, (now - r.at).Seconds())
		}
	}
	c.heardAt, c.revision = now, revision
	if revision >= d.document.Revision() {
		c.behindSince = 0
	}
	d.propagating = slices.DeleteFunc(d.propagating, func(r durableRevision) bool { return d.inForceEverywhere(r.revision) })
}

// inForceEverywhere reports whether all other controllers have a revision in force.
func (d *Component) inForceEverywhere(revision uint64) bool {
	for _, c := range d.controllers {
		if c.revision < revision {
			return false
		}
	}
	return true
}

// lag returns for how many seconds a controller has lacked a durable revision.
func (c *controller) lag(now time.Duration) float64 {
	if c.behindSince == 0 {
		return 0
	}
	return (now - c.behindSince).Seconds()
}

// Gauges returns the revision and the lag of each controller as metrics.
func (d *Component) Gauges(now time.Duration) []cluster.Gauge {
	revisions := map[string]float64{d.Cfg.Node: float64(d.document.Revision())}
	lags := map[string]float64{d.Cfg.Node: 0}
	for name, c := range d.controllers {
		revisions[name], lags[name] = float64(c.revision), c.lag(now)
	}
	return []cluster.Gauge{
		{
			Name:   "bitternmoor_config_revision",
			Help:   "Revision of the configuration in force on a controller.",
			Label:  "controller",
			Values: revisions,
		},
		{
			Name:   "bitternmoor_config_lag_seconds",
			Help:   "Time for which a controller has lacked a durable configuration change.",
			Label:  "controller",
			Values: lags,
		},
	}
}
