// Package reconfig is the component of a leader's term that changes the configuration while
// controllers run: teams, and tunables that are read each time they are used.
// docs/configuration.md has the design and the operators' page.
//
// Each log entry is one revision with all its changes, so a revision becomes durable as a whole
// or not at all, and before it is confirmed to anyone. A lower limit takes effect when its entry
// is appended to the log, a higher one once it is durable, so that the limits of the next leader
// always cover what was started.
package reconfig

import (
	"encoding/json"
	"slices"
	"time"

	"bitternmoor/internal/core/config"
	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

// Name is the key of the component and of its log entries.
const Name = "config"

// storedEntry is the content of a log entry: either a revision, or the items that are still set
// by revisions that are no longer in the history.
type storedEntry struct {
	Revision *config.Revision   `json:"r,omitempty"`
	Sets     []config.ItemValue `json:"s,omitempty"`
}

// Component changes the configuration in a term.
type Component struct {
	cluster.NopComponent
	*cluster.State

	// From the settings.
	historyLimit     int // number of revisions kept in the history
	settingsTunables settings.Tunables
	settingsTeams    map[string]settings.Team

	// Revisions.
	document        config.Document   // what all durable revisions together set
	history         []config.Revision // most recent durable revisions, oldest first, without gaps
	pending         []config.Revision // not durable yet, oldest first
	missingRevision uint64            // a revision that was in force but is missing from the log; 0: none

	// Compaction of the log.
	compactedSets []config.ItemValue // to be written again by the running compaction
	liveBytes     int                // approximate size of what Compact would write for the whole log

	// Other controllers.
	controllers map[string]*controller
	propagating []durableRevision // not yet in force on all controllers, oldest first
	propagation *cluster.Histogram
}

// New creates the component for a term.
func New(s *cluster.State) *Component {
	d := &Component{
		State:            s,
		historyLimit:     s.Cfg.Tunables.ConfigHistory,
		settingsTunables: s.Cfg.Tunables,
		settingsTeams:    map[string]settings.Team{},
		controllers:      map[string]*controller{},
		propagation: s.Metrics.Histogram("bitternmoor_config_in_force_seconds",
			"Time from when a configuration change was durable until a controller had it in force.",
			"controller", propagationBounds),
	}
	for _, t := range s.Cfg.Deployment.Teams {
		d.settingsTeams[t.Name] = t
	}
	for _, p := range s.Cfg.Peers {
		d.controllers[p.Node] = &controller{}
	}
	return d
}

// decode returns the content of an entry; false: the entry is not one of this component or cannot
// be decoded.
func decode(e eventlog.Entry) (x storedEntry, ok bool) {
	return x, e.Component != nil && e.Component.Name == Name && json.Unmarshal(e.Component.Data, &x) == nil
}

// Replay applies an entry. An entry may occur twice, because of an unfinished compaction.
func (d *Component) Replay(_ time.Duration, e eventlog.Entry) {
	x, ok := decode(e)
	if !ok {
		return
	}
	for _, s := range x.Sets {
		d.document.Put(s)
	}
	if x.Revision != nil {
		d.addRevision(*x.Revision)
	}
}

// addRevision applies a durable revision to the document and adds it to the history.
func (d *Component) addRevision(r config.Revision) {
	d.document.Apply(&r)
	byNumber := func(o config.Revision, n uint64) int { return int(o.Number) - int(n) }
	i, known := slices.BinarySearchFunc(d.history, r.Number, byNumber)
	if known {
		return
	}
	d.history = slices.Insert(d.history, i, r)
	d.history = slices.Delete(d.history, 0, max(0, len(d.history)-d.historyLimit))
}

// Begin puts the replayed configuration in force.
func (d *Component) Begin(now time.Duration) {
	for _, s := range d.document.All() {
		d.apply(s.Item)
	}
	d.updateLiveBytes()
	if d.Config != nil {
		if had := d.Config.Revision(); had > d.document.Revision() {
			d.recordMissing(had)
		}
		d.Config.CopyFrom(now, &d.document)
	}
	for _, c := range d.controllers {
		c.behindSince = now
	}
}

// recordMissing records that revisions which were in force are missing from the log.
func (d *Component) recordMissing(revision uint64) {
	if revision <= d.missingRevision {
		return
	}
	d.missingRevision = revision
	d.LogMessage(effects.Error, "configuration changes missing from event log, further changes refused",
		"revision", d.document.Revision(), "was", revision)
}

// EntryDurable puts a revision in force once its entry is durable.
func (d *Component) EntryDurable(now time.Duration, _ bool, e eventlog.Entry) {
	x, ok := decode(e)
	if !ok || x.Revision == nil {
		return
	}
	r := *x.Revision
	d.pending = slices.DeleteFunc(d.pending, func(o config.Revision) bool { return o.Number == r.Number })
	d.addRevision(r)
	for _, c := range r.Changes {
		d.apply(c.Item)
	}
	d.updateLiveBytes()
	if d.Config != nil {
		d.Config.CopyFrom(now, &d.document)
	}
	d.revisionDurable(now, r.Number)
	d.LogMessage(effects.Info, "configuration changed",
		"revision", r.Number, "by", r.By, "changes", len(r.Changes), "note", r.Note)
}

// apply puts the durable setting of an item in force.
func (d *Component) apply(i config.Item) {
	if i.Team != "" {
		d.applyTeam(i.Team)
		return
	}
	v, _ := d.settingsTunables.Number(i.Tunable)
	if set := d.document.Get(i).Value.Number; set != nil {
		v = *set
	}
	d.Cfg.Tunables.SetNumber(i.Tunable, v)
	d.NeedsCycle = true
}

// applyTeam puts a team's limits in force: the lowest of its durable limits and those of
// revisions that are not durable yet.
func (d *Component) applyTeam(name string) {
	t, known := d.resolveTeam(name, d.document.Get(config.Item{Team: name}).Value)
	for _, r := range d.pending {
		for _, c := range r.Changes {
			if c.Item.Team == name && c.Value.Limits != nil {
				t.CPUsMax = lowerLimit(t.CPUsMax, c.Value.Limits.CPUsMax)
				t.GPUsMax = lowerLimit(t.GPUsMax, c.Value.Limits.GPUsMax)
			}
		}
	}
	t.CPUs, t.GPUs = capGuarantee(t.CPUs, t.CPUsMax), capGuarantee(t.GPUs, t.GPUsMax)
	d.SetTeam(t)
	if !known {
		d.RemoveTeam(name)
	}
}

// resolveTeam returns a team as set by a value, or else by the settings, and whether it may submit jobs.
func (d *Component) resolveTeam(name string, v config.Value) (settings.Team, bool) {
	if v.Limits != nil {
		return v.Limits.ToSettings(name), !v.Removed
	}
	t, known := d.settingsTeams[name]
	t.Name = name
	return t, known && !v.Removed
}

// lowerLimit returns the lower of two limits; 0 means no limit.
func lowerLimit(a, b float64) float64 {
	if a == 0 || b == 0 {
		return a + b
	}
	return min(a, b)
}

// capGuarantee returns a guarantee reduced to a limit; 0 means no limit.
func capGuarantee(v, limit float64) float64 {
	if limit == 0 {
		return v
	}
	return min(v, limit)
}

// updateLiveBytes estimates the size of what Compact would write.
func (d *Component) updateLiveBytes() {
	d.liveBytes = d.document.Len() * setBytes
	for i := range d.history {
		d.liveBytes += revisionBytes + len(d.history[i].Changes)*setBytes
	}
}

// Approximate sizes in the log of a set item, and of a revision without its changes.
const (
	setBytes      = 120
	revisionBytes = 120
)

// LiveBytes returns approximately how many bytes Compact would write for the whole log.
func (d *Component) LiveBytes() int { return d.liveBytes }

// inHistory reports whether a revision is in the history.
func (d *Component) inHistory(revision uint64) bool {
	return len(d.history) > 0 && revision >= d.history[0].Number
}

// Compact appends an entry again if it is a revision in the history. Of any other entry it
// collects the items that are still set by it, for CompactionDone.
func (d *Component) Compact(_ time.Duration, e eventlog.Entry) {
	x, ok := decode(e)
	switch {
	case !ok:
	case x.Revision != nil && d.inHistory(x.Revision.Number):
		d.EventLog.Append(e)
	case x.Revision != nil:
		for _, c := range x.Revision.Changes {
			d.collectSet(config.ItemValue{Change: c, Revision: x.Revision.Number})
		}
	default:
		for _, s := range x.Sets {
			d.collectSet(s)
		}
	}
}

// collectSet collects an item whose current setting still comes from the given revision, if that
// revision is not in the history.
func (d *Component) collectSet(s config.ItemValue) {
	if d.document.Get(s.Item).Revision == s.Revision && !d.inHistory(s.Revision) {
		d.compactedSets = append(d.compactedSets, s)
	}
}

// CompactionDone appends the collected items, split into entries that fit the log.
func (d *Component) CompactionDone() {
	for len(d.compactedSets) > 0 {
		n := len(d.compactedSets)
		for n > 1 && !d.EventLog.Fits(eventlog.NewComponentEntry(Name, storedEntry{Sets: d.compactedSets[:n]})) {
			n /= 2
		}
		d.EventLog.Append(eventlog.NewComponentEntry(Name, storedEntry{Sets: d.compactedSets[:n]}))
		d.compactedSets = d.compactedSets[n:]
	}
	d.compactedSets = nil
}
