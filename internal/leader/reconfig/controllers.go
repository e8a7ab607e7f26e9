package reconfig

import (
	"maps"
	"slices"
	"time"

	"bitternmoor/internal/core/config"
	"bitternmoor/internal/leader/cluster"
)

// controller is what the leader knows of the configuration that another one has.
type controller struct {
	heardAt     time.Duration // when it last said so, 0: never in this term
	revision    uint64
	hasSince    time.Duration // when it was first heard to have it
	behindSince time.Duration // since when it lacks something; 0: it lacks nothing
}

// durableRevision is a revision that is durable.
type durableRevision struct {
	revision uint64
	at       time.Duration
}

// writtenMost bounds the revisions that are not in force everywhere: a controller may be down for
// long.
const maxSpreading = 1000

// inForceBounds are the buckets, in seconds, of how long a change takes to be in force.
var inForceBounds = []float64{0.1, 0.25, 0.5, 1, 1.5, 2, 3, 5, 8, 11, 20, 60}

// revisionDurable notes that a revision is durable, and who lacks it now.
func (d *Component) revisionDurable(now time.Duration, revision uint64) {
	d.spreading = append(d.spreading, durableRevision{revision, now})
	d.spreading = slices.Delete(d.spreading, 0, max(0, len(d.spreading)-maxSpreading))
	for _, c := range d.controllers {
		if c.behindSince == 0 {
			c.behindSince = now
		}
	}
}

// UpdateFor is what another controller is to be told with the next heartbeat.
func (d *Component) UpdateFor(name string) *config.Update {
	has := uint64(0)
	if c := d.controllers[name]; c != nil {
		has = c.revision
	}
	u := d.document.Update(has)
	return &u
}

// Acknowledged takes another controller's word on the revision that it has in force.
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

// inForceEverywhere says whether all controllers have a revision.
func (d *Component) inForceEverywhere(revision uint64) bool {
	for _, c := range d.controllers {
		if c.revision < revision {
			return false
		}
	}
	return true
}

// lag is for how long a controller has lacked something.
func (c *controller) lag(now time.Duration) float64 {
	if c.behindSince == 0 {
		return 0
	}
	return (now - c.behindSince).Seconds()
}

// Gauges gives the revision and the lag of each controller.
func (d *Component) Gauges(now time.Duration) []cluster.Gauge {
	revisions, lags := map[string]float64{d.Cfg.Node: float64(d.document.Revision())}, map[string]float64{d.Cfg.Node: 0}
	for _, name := range slices.Sorted(maps.Keys(d.controllers)) {
		c := d.controllers[name]
		revisions[name], lags[name] = float64(c.revision), c.lag(now)
	}
	return []cluster.Gauge{
		{Name: "bitternmoor_config_revision", Help: "Revision of the configuration that a controller has in force.", Label: "controller", Values: revisions},
		{Name: "bitternmoor_config_lag_seconds", Help: "For how long a controller has lacked a durable change of the configuration.", Label: "controller", Values: lags},
	}
}
