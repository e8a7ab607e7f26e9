package reconfig

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"bitternmoor/internal/core/config"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

// View is the configuration as operators see it.
type View struct {
	Revision    uint64       `json:"revision"`          // durable
	Pending     int          `json:"pending,omitempty"` // changes that are not
	Missing     uint64       `json:"missing,omitempty"` // a revision that was in force and is lost
	Controllers []Controller `json:"controllers"`
	Teams       []Team       `json:"teams"`
	Tunables    []Tunable    `json:"tunables"`
}

// Controller is what one controller has in force.
type Controller struct {
	Name     string  `json:"name"`
	Leads    bool    `json:"leads,omitempty"`
	Heard    bool    `json:"heard"` // in this term
	Revision uint64  `json:"revision"`
	SinceS   float64 `json:"since_s"` // seconds ago it was first heard to have it
	LagS     float64 `json:"lag_s"`   // for so many seconds it has lacked something
}

// Team is a team's guarantee and limit in force.
type Team struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision,omitempty"` // that set it; 0: the settings did
	Removed  bool   `json:"removed,omitempty"`
	config.Limits
}

// Tunable is one that may change while controllers run.
type Tunable struct {
	Key      string          `json:"key"`
	Value    float64         `json:"value"`
	Settings float64         `json:"in_settings"`
	Revision uint64          `json:"revision,omitempty"`
	Effect   settings.Effect `json:"effect"`
}

// Views of the component, beside the empty one.
const (
	ViewHistory = "history"
	ViewHere    = "here" // what one controller has; answered by it alone
)

// Show returns, as JSON, the configuration as a View, or with ViewHistory its history, the
// newest revision first.
func (d *Component) Show(now time.Duration, view string) (json.RawMessage, error) {
	var out any
	switch view {
	case "":
		out = d.view(now)
	case ViewHistory:
		list := slices.Clone(d.history)
		slices.Reverse(list)
		out = list
	default:
		return nil, cluster.ErrUnknownView
	}
	raw, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return raw, nil
}

func (d *Component) view(now time.Duration) View {
	return View{
		Revision:    d.document.Revision(),
		Pending:     len(d.pending),
		Missing:     d.missingRevision,
		Controllers: d.controllerViews(now),
		Teams:       d.teamViews(),
		Tunables:    d.tunableViews(),
	}
}

// controllerViews are this controller, then the others by name.
func (d *Component) controllerViews(now time.Duration) []Controller {
	self := Controller{Name: d.Cfg.Node, Leads: true, Heard: true, Revision: d.document.Revision(), SinceS: d.sinceS(now)}
	views := []Controller{self}
	for _, name := range slices.Sorted(maps.Keys(d.controllers)) {
		c := d.controllers[name]
		v := Controller{Name: name, Heard: c.heardAt > 0, Revision: c.revision, LagS: c.lag(now)}
		if v.Heard {
			v.SinceS = (now - c.hasSince).Seconds()
		}
		views = append(views, v)
	}
	return views
}

// teamViews are the teams of the settings, and those that were ever changed, by name.
func (d *Component) teamViews() []Team {
	names := maps.Clone(d.settingsTeams)
	for _, s := range d.document.All() {
		if s.Item.Team != "" {
			names[s.Item.Team] = settings.Team{}
		}
	}
	views := []Team{}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		s := d.document.Get(config.Item{Team: name})
		t, known := d.teamWith(name, s.Value)
		views = append(views, Team{Name: name, Revision: s.Revision, Removed: !known, Limits: config.LimitsOf(t)})
	}
	return views
}

func (d *Component) tunableViews() []Tunable {
	views := []Tunable{}
	for _, key := range settings.LiveTunables() {
		v := Tunable{
			Key:      key,
			Revision: d.document.Get(config.Item{Tunable: key}).Revision,
			Effect:   settings.EffectOfChange(key),
		}
		v.Value, _ = d.Cfg.Tunables.Number(key)
		v.Settings, _ = d.settingsTunables.Number(key)
		views = append(views, v)
	}
	return views
}

// sinceS is for how many seconds this controller has had its revision.
func (d *Component) sinceS(now time.Duration) float64 {
	if d.Config == nil {
		return 0
	}
	return (now - d.Config.RevisionSince()).Seconds()
}

// LocalView is what one controller has, by its own word. It decides nothing by it.
type LocalView struct {
	Node     string       `json:"node"`
	Leads    bool         `json:"leads,omitempty"`
	Leader   string       `json:"leader,omitempty"`
	Revision uint64       `json:"revision"`
	SinceS   float64      `json:"since_s"` // it has had this revision for so long
	AgeS     float64      `json:"age_s"`   // a leader last told so long ago; below 0: never
	Sets     []config.Set `json:"sets"`
}
