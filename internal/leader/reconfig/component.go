// Package reconfig is the component of a leader's term that changes the configuration while
// controllers run: teams, and tunables that are read each time they are used.
// docs/configuration.md has the design and the operators' page.
//
// One entry of the log is one revision, with all its changes, so that it is durable whole or
// not at all, before anybody is told. A lower limit counts from when it is handed to the
// log, a higher one once it is durable: whoever leads next never allows less than what was
// started.
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

// Name is that of the component and of its entries.
const Name = "config"

// storedEntry is an entry: a revision, or what is still set by revisions that are not in the
// history any more.
type storedEntry struct {
	Revision *config.Revision `json:"r,omitempty"`
	Sets     []config.Set     `json:"s,omitempty"`
}

// Component changes the configuration in a term.
type Component struct {
	cluster.NopComponent
	*cluster.State

	// From the settings.
	historyLimit     int // revisions
	settingsTunables settings.Tunables
	settingsTeams    map[string]settings.Team

	// Revisions.
	document        config.Document   // what is durable
	history         []config.Revision // the last ones that are durable, oldest first, without gaps
	pending         []config.Revision // not durable yet, oldest first
	missingRevision uint64            // one that was in force and is not in the log; 0: none

	// Compaction of the log.
	compactedSets []config.Set // to be written anew by the compaction that is going on
	liveBytes     int          // roughly what Compact would write for the whole log

	// Other controllers.
	controllers map[string]*controller
	spreading   []durableRevision // not in force everywhere yet, oldest first
	propagation *cluster.Histogram
}

// New makes the component of a term.
func New(s *cluster.State) *Component {
	d := &Component{
		State:            s,
		historyLimit:     s.Cfg.Tunables.ConfigHistory,
		settingsTunables: s.Cfg.Tunables,
		settingsTeams:    map[string]settings.Team{},
		controllers:      map[string]*controller{},
		propagation: s.Metrics.Histogram("bitternmoor_config_in_force_seconds",
			"From when a change of the configuration was durable until a controller had it in force.",
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

// decode decodes an entry of the component's own; false: it is of another kind.
func decode(e eventlog.Entry) (x storedEntry, ok bool) {
	return x, e.Component != nil && e.Component.Name == Name && json.Unmarshal(e.Component.Data, &x) == nil
}

// Replay applies an entry. While the log is compacted an entry may be there twice.
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

// addRevision applies a durable revision.
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

// Begin puts in force what is set.
func (d *Component) Begin(now time.Duration) {
	for _, s := range d.document.All() {
		d.apply(s.Item)
	}
	d.updateLiveBytes()
	if d.Config != nil {
		if had := d.Config.Revision(); had > d.document.Revision() {
			d.noteMissing(had)
		}
		d.Config.CopyFrom(now, &d.document)
	}
	for _, c := range d.controllers {
		c.behindSince = now
	}
}

// noteMissing notes that the log has lost revisions that were in force.
func (d *Component) noteMissing(revision uint64) {
	if revision <= d.missingRevision {
		return
	}
	d.missingRevision = revision
	d.LogMessage(effects.Error, "configuration changes missing from event log, further changes refused",
		"revision", d.document.Revision(), "was", revision)
}

// EntryDurable puts a revision in force.
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

// apply puts an item in force as it is set.
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

// applyTeam puts a team's limits in force: the lower ones of what is durable and what is not
// yet.
func (d *Component) applyTeam(name string) {
	t, known := d.teamWith(name, d.document.Get(config.Item{Team: name}).Value)
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

// teamWith is a team with a value, and whether it may submit jobs.
func (d *Component) teamWith(name string, v config.Value) (settings.Team, bool) {
	if v.Limits != nil {
		return v.Limits.Team(name), !v.Removed
	}
	t, known := d.settingsTeams[name]
	t.Name = name
	return t, known && !v.Removed
}

// lowerLimit is the lower of two limits; 0 is no limit.
func lowerLimit(a, b float64) float64 {
	if a == 0 || b == 0 {
		return a + b
	}
	return min(a, b)
}

// capGuarantee is a guarantee that does not go beyond a limit; 0 is no limit.
func capGuarantee(v, limit float64) float64 {
	if limit == 0 {
		return v
	}
	return min(v, limit)
}

// updateLiveBytes estimates what Compact would write.
func (d *Component) updateLiveBytes() {
	d.liveBytes = d.document.Len() * setBytes
	for i := range d.history {
		d.liveBytes += revisionBytes + len(d.history[i].Changes)*setBytes
	}
}

// Roughly what a set item, and a revision beside its changes, take in the log.
const (
	setBytes      = 120
	revisionBytes = 120
)

// LiveBytes is roughly how many bytes Compact would write for the whole log.
func (d *Component) LiveBytes() int { return d.liveBytes }

// remembers reports whether a revision is in the history.
func (d *Component) remembers(revision uint64) bool {
	return len(d.history) > 0 && revision >= d.history[0].Number
}

// Compact writes revisions anew that are in the history, and gathers what others have set.
func (d *Component) Compact(_ time.Duration, e eventlog.Entry) {
	x, ok := decode(e)
	switch {
	case !ok:
	case x.Revision != nil && d.remembers(x.Revision.Number):
		d.EventLog.Append(e)
	case x.Revision != nil:
		for _, c := range x.Revision.Changes {
			d.gatherSet(config.Set{Change: c, Revision: x.Revision.Number})
		}
	default:
		for _, s := range x.Sets {
			d.gatherSet(s)
		}
	}
}

// gatherSet notes an item that is still set as it was, by a revision that is not in the
// history.
func (d *Component) gatherSet(s config.Set) {
	if d.document.Get(s.Item).Revision == s.Revision && !d.remembers(s.Revision) {
		d.compactedSets = append(d.compactedSets, s)
	}
}

// CompactionDone writes anew what was gathered.
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
