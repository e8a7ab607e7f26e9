package reconfig

import (
	"slices"
	"time"

	"bitternmoor/internal/core/config"
	"bitternmoor/internal/leader/cluster"
)

// controller is what the leader knows of the configuration that another one has.
type controller struct {
	heardAt     time.Duration // when it last reported its revision; 0: never in this term
	revision    uint64
	hasSince    time.Duration // when it first reported that revision
	behindSince time.Duration // since when it lacks a durable revision; 0: it has them all
}

// durableRevision is a revision that is durable, by its number.
type durableRevision struct {
	revision uint64
	at       time.Duration
}

// maxSpreading bounds the revisions that are not in force everywhere: a controller may be
// down for long.
const maxSpreading = 1000

// propagationBounds are the buckets, in seconds, of how long a change takes to be in force.
var propagationBounds = []float64{0.1, 0.25, 0.5, 1, 1.5, 2, 3, 5, 8, 11, 20, 60}

// revisionDurable notes that a revision is durable, and who lacks it now.
func (d *Component) revisionDurable(now time.Duration, revision uint64) {
	d.spreading = append(d.spreading, durableRevision{revision: revision, at: now})
	d.spreading = slices.Delete(d.spreading, 0, max(0, len(d.spreading)-maxSpreading))
	for _, c := range d.controllers {
		if c.behindSince == 0 {
			c.behindSince = now
		}
	}
}

// UpdateFor is what another controller is sent with the next heartbeat.
func (d *Component) UpdateFor(name string) *config.Update {
	has := uint64(0)
	if c := d.controllers[name]; c != nil {
		has = c.revision
	}
	u := d.document.Update(has)
	return &u
}

// Acknowledged notes the revision that another controller reports to have in force.
func (d *Component) Acknowledged(now time.Duration, name string, revision uint64) {
	c := d.controllers[name]
	if c == nil {
		return
	}
	if revision > d.document.Revision() {
		d.noteMissing(revision)
	}
	if revision != c.revision || c.heardAt == 0 {
		c.hasSince = now
	}
	for _, w := range d.spreading {
		if w.revision > c.revision && w.revision <= revision && c.heardAt > 0 {
			d.propagation.Observe(name, (now - w.at).Seconds())
		}
	}
	c.heardAt, c.revision = now, revision
	if revision >= d.document.Revision() {
		c.behindSince = 0
	}
	d.spreading = slices.DeleteFunc(d.spreading, func(w durableRevision) bool { return d.inForceEverywhere(w.revision) })
}

// inForceEverywhere reports whether all controllers have a revision.
func (d *Component) inForceEverywhere(revision uint64) bool {
	for _, c := range d.controllers {
		if c.revision < revision {
			return false
		}
	}
	return true
}

// lag is for how many seconds a controller has lacked a durable revision.
func (c *controller) lag(now time.Duration) float64 {
	if c.behindSince == 0 {
		return 0
	}
	return (now - c.behindSince).Seconds()
}

// Gauges returns the revision and the lag of each controller.
func (d *Component) Gauges(now time.Duration) []cluster.Gauge {
	revisions := map[string]float64{d.Cfg.Node: float64(d.document.Revision())}
	lags := map[string]float64{d.Cfg.Node: 0}
	for name, c := range d.controllers {
		revisions[name], lags[name] = float64(c.revision), c.lag(now)
	}
	return []cluster.Gauge{
		{
			Name:   "bitternmoor_config_revision",
			Help:   "Revision of the configuration that a controller has in force.",
			Label:  "controller",
			Values: revisions,
		},
		{
			Name:   "bitternmoor_config_lag_seconds",
			Help:   "For how long a controller has lacked a durable change of the configuration.",
			Label:  "controller",
			Values: lags,
		},
	}
}
