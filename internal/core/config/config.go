// Package config is the part of the configuration that may change while controllers run: the
// teams with their guarantees and limits, and some tunables. It has revisions that only rise.
//
// The package is data alone: what may be changed, what a revision changes, what stands at one,
// and what a controller has that is told of them. The leader's duty is package reconfig.
package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"bitternmoor/internal/settings"
)

// Item is one thing that may change: a team, or a tunable by SECTION.KEY. One field is set.
type Item struct {
	Team    string `json:"team,omitempty"`
	Tunable string `json:"tunable,omitempty"`
}

func (i Item) String() string {
	if i.Team != "" {
		return "team " + i.Team
	}
	return i.Tunable
}

func compareItems(a, b Item) int {
	return cmp.Or(strings.Compare(a.Team, b.Team), strings.Compare(a.Tunable, b.Tunable))
}

// Limits are a team's guarantee and limit; zero means none.
type Limits struct {
	CPUs    float64 `json:"cpus,omitempty"`
	CPUsMax float64 `json:"cpus_max,omitempty"`
	GPUs    float64 `json:"gpus,omitempty"`
	GPUsMax float64 `json:"gpus_max,omitempty"`
}

// LimitsOf are those of a team of the settings.
func LimitsOf(t settings.Team) Limits { return Limits{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} }

// Team is a team of that name with these limits.
func (l Limits) Team(name string) settings.Team {
	return settings.Team{Name: name, CPUs: l.CPUs, CPUsMax: l.CPUsMax, GPUs: l.GPUs, GPUsMax: l.GPUsMax}
}

// Value is what an item is set to. Where no field is set it is as the settings say.
type Value struct {
	Limits  *Limits  `json:"limits,omitempty"`  // of a team
	Removed bool     `json:"removed,omitempty"` // a team takes no jobs any more
	Number  *float64 `json:"number,omitempty"`  // of a tunable
}

// AsSettings says whether the value is what the settings say.
func (v Value) AsSettings() bool { return v.Limits == nil && !v.Removed && v.Number == nil }

// Equal says whether two values are the same.
func (v Value) Equal(o Value) bool {
	return v.Removed == o.Removed && equalPointees(v.Limits, o.Limits) && equalPointees(v.Number, o.Number)
}

func equalPointees[T comparable](a, b *T) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

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

// Change sets one item.
type Change struct {
	Item  Item  `json:"item"`
	Value Value `json:"value"`
}

// Bounds of what may be changed.
const (
	MostChanges      = 64   // of one revision
	MostItems        = 2000 // that ever were changed
	maxTeamNameBytes = 64   // bytes of a team's name
	maxIDBytes       = 64   // bytes of an id
	maxNoteBytes     = 200  // bytes of a note
)

// Check says what is wrong with changes by the settings' own rules, naming the field.
func Check(changes []Change, p *settings.Platform) error {
	if len(changes) == 0 {
		return &settings.FieldError{Field: "changes", Why: "there are none"}
	}
	if len(changes) > MostChanges {
		return &settings.FieldError{Field: "changes", Why: fmt.Sprintf("%d are more than %d at once", len(changes), MostChanges)}
	}
	seen := map[Item]bool{}
	for _, c := range changes {
		if err := c.check(p); err != nil {
			return err
		}
		if seen[c.Item] {
			return &settings.FieldError{Field: c.Item.String(), Why: "is changed twice at once"}
		}
		seen[c.Item] = true
	}
	return nil
}

func (c *Change) check(p *settings.Platform) error {
	wrong := func(field, why string, args ...any) error {
		return &settings.FieldError{Field: field, Why: fmt.Sprintf(why, args...)}
	}
	switch i, v := c.Item, c.Value; {
	case (i.Team == "") == (i.Tunable == ""):
		return wrong("item", "must be a team or a tunable")
	case i.Tunable != "" && (v.Limits != nil || v.Removed):
		return wrong(i.Tunable, "a tunable has a number")
	case i.Tunable != "" && v.Number != nil:
		return settings.CheckLive(i.Tunable, *v.Number)
	case i.Tunable != "" && settings.EffectOfChange(i.Tunable) == "":
		return wrong(i.Tunable, "no such tunable")
	case i.Tunable != "" && settings.EffectOfChange(i.Tunable) == settings.NeedsRestart:
		return wrong(i.Tunable, "cannot change while controllers run: it needs a restart")
	case i.Tunable != "":
		return nil
	case len(i.Team) > maxTeamNameBytes || strings.ContainsAny(i.Team, "/\"\\ \t\r\n"):
		return wrong("team", "a name has 1 to %d bytes, without spaces, slashes and quotes", maxTeamNameBytes)
	case v.Number != nil || (v.Removed && v.Limits != nil):
		return wrong(i.String(), "a team has limits, or is removed")
	case v.Limits != nil:
		if err := v.Limits.Team(i.Team).Check(i.String()); err != nil {
			return err
		}
		return p.CarriesTeam(i.Team)
	}
	return nil
}

// Revision is one bundle of changes, whole or not at all.
type Revision struct {
	Number  uint64   `json:"revision"`
	ID      string   `json:"id"` // by which a repeat is known
	By      string   `json:"by,omitempty"`
	AtMS    int64    `json:"at_ms"` // time of day
	Note    string   `json:"note,omitempty"`
	Changes []Change `json:"changes"`
	Before  []Value  `json:"before"` // what stood before each of them
}

// CheckWords says what is wrong with an id and a note.
func CheckWords(id, note string) error {
	switch {
	case id == "" || len(id) > maxIDBytes:
		return &settings.FieldError{Field: "id", Why: fmt.Sprintf("has 1 to %d bytes", maxIDBytes)}
	case len(note) > maxNoteBytes:
		return &settings.FieldError{Field: "note", Why: fmt.Sprintf("has at most %d bytes", maxNoteBytes)}
	}
	return nil
}

// Undo is the changes that go back to what stood at a revision, from a history without gaps that
// ends at the present, oldest first.
func Undo(history []Revision, to uint64) ([]Change, error) {
	first := slices.IndexFunc(history, func(r Revision) bool { return r.Number == to+1 })
	if first < 0 {
		return nil, &settings.FieldError{Field: "revision", Why: fmt.Sprintf("%d is not one before the last, or the changes since are not remembered any more", to)}
	}
	before := map[Item]Value{}
	now := map[Item]Value{}
	for _, r := range history[first:] {
		for i, c := range r.Changes {
			if _, known := before[c.Item]; !known {
				before[c.Item] = r.Before[i]
			}
			now[c.Item] = c.Value
		}
	}
	var out []Change
	for item, v := range before {
		if !v.Equal(now[item]) {
			out = append(out, Change{item, v})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return compareItems(a.Item, b.Item) })
	return out, nil
}
