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

// View is the configuration as shown to operators.
type View struct {
	Revision    uint64       `json:"revision"`          // durable
	Pending     int          `json:"pending,omitempty"` // changes that are not durable yet
	Missing     uint64       `json:"missing,omitempty"` // a revision that was in force and is missing from the log
	Controllers []Controller `json:"controllers"`
	Teams       []Team       `json:"teams"`
	Tunables    []Tunable    `json:"tunables"`
}

// Controller is the configuration in force on one controller.
type Controller struct {
	Name     string  `json:"name"`
	Leads    bool    `json:"leads,omitempty"`
	Heard    bool    `json:"heard"` // it has reported in this term
	Revision uint64  `json:"revision"`
	SinceS   float64 `json:"since_s"` // seconds since it first reported this revision
	LagS     float64 `json:"lag_s"`   // seconds for which it has lacked a durable revision
}

// Team is a team's durable guarantee and limit.
type Team struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision,omitempty"` // revision that set it; 0: it comes from the settings
	Removed  bool   `json:"removed,omitempty"`
	config.Limits
}

// Tunable is a tunable that may be changed while controllers run.
type Tunable struct {
	Key      string          `json:"key"`
	Value    float64         `json:"value"`
	Settings float64         `json:"in_settings"`        // value in the settings
	Revision uint64          `json:"revision,omitempty"` // revision that set it; 0: it comes from the settings
	Effect   settings.Effect `json:"effect"`             // when a change of it takes effect
}

// Names of the views of the component, besides the default one, whose name is empty.
const (
	ViewHistory = "history"
	ViewLocal   = "here" // what one controller has in force; answered by that controller itself
)

// Show returns, as JSON, the configuration as a View or, for ViewHistory, the list of revisions,
// the newest first.
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

// controllerViews returns the views of this controller, then of the others by name.
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

// teamViews returns the teams in the settings and those that were ever changed, by name.
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
		t, known := d.resolveTeam(name, s.Value)
		views = append(views, Team{Name: name, Revision: s.Revision, Removed: !known, Limits: config.LimitsFromSettings(t)})
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

// sinceS returns for how many seconds this controller has had its revision.
func (d *Component) sinceS(now time.Duration) float64 {
	if d.Config == nil {
		return 0
	}
	return (now - d.Config.RevisionSince()).Seconds()
}

// LocalView is the configuration in force on a controller, as reported by itself. It is only for
// display.
type LocalView struct {
	Node     string             `json:"node"`
	Leads    bool               `json:"leads,omitempty"`
	Leader   string             `json:"leader,omitempty"`
	Revision uint64             `json:"revision"`
	SinceS   float64            `json:"since_s"` // seconds for which it has had this revision
	AgeS     float64            `json:"age_s"`   // seconds since a leader last sent an update; negative: never
	Sets     []config.ItemValue `json:"sets"`
}
