package config

import (
	"cmp"
	"fmt"
	"strings"

	"bitternmoor/internal/settings"
)

// Item identifies what may be changed: a team, or a tunable by SECTION.KEY. Exactly one field is set.
type Item struct {
	Team    string `json:"team,omitempty"`
	Tunable string `json:"tunable,omitempty"`
}

// String returns the item's name as it is shown to operators.
func (i Item) String() string {
	if i.Team != "" {
		return "team " + i.Team
	}
	return i.Tunable
}

func compareItems(a, b Item) int {
	return cmp.Or(strings.Compare(a.Team, b.Team), strings.Compare(a.Tunable, b.Tunable))
}

// Limits are the guaranteed and the maximum numbers of CPUs and GPUs of a team; zero means none.
type Limits struct {
	CPUs    float64 `json:"cpus,omitempty"`     // guaranteed
	CPUsMax float64 `json:"cpus_max,omitempty"` // maximum
	GPUs    float64 `json:"gpus,omitempty"`     // guaranteed
	GPUsMax float64 `json:"gpus_max,omitempty"` // maximum
}

// LimitsFromSettings returns the limits that the settings give a team.
func LimitsFromSettings(team settings.Team) Limits {
	return Limits{CPUs: team.CPUs, CPUsMax: team.CPUsMax, GPUs: team.GPUs, GPUsMax: team.GPUsMax}
}

// ToSettings returns a team with a name and these limits in the form that the settings use.
func (l Limits) ToSettings(name string) settings.Team {
	return settings.Team{Name: name, CPUs: l.CPUs, CPUsMax: l.CPUsMax, GPUs: l.GPUs, GPUsMax: l.GPUsMax}
}

// Value is the value of an item. If no field is set, the value from the settings file applies.
type Value struct {
	Limits  *Limits  `json:"limits,omitempty"`  // of a team
	Removed bool     `json:"removed,omitempty"` // the team accepts no jobs any more
	Number  *float64 `json:"number,omitempty"`  // of a tunable
}

// IsUnset reports whether the value from the settings file applies.
func (v Value) IsUnset() bool { return v.Limits == nil && !v.Removed && v.Number == nil }

// Equal reports whether two values are the same.
func (v Value) Equal(other Value) bool {
	return v.Removed == other.Removed &&
		equalPointees(v.Limits, other.Limits) &&
		equalPointees(v.Number, other.Number)
}

func equalPointees[T comparable](a, b *T) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// String returns the value as it is shown to operators.
func (v Value) String() string {
	switch {
	case v.Removed:
		return "removed"
	case v.Limits != nil:
		l := *v.Limits
		return fmt.Sprintf("cpus %v of at most %v, gpus %v of at most %v", l.CPUs, l.CPUsMax, l.GPUs, l.GPUsMax)
	case v.Number != nil:
		return fmt.Sprint(*v.Number)
	}
	return "as the settings say"
}
