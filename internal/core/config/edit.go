package config

import (
	"fmt"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"

	"bitternmoor/internal/settings"
)

// Edit is one thing that an operator wants: a field of a team or, without a field, a whole item.
type Edit struct {
	Item  Item
	Field string
	Value string
}

// Values that are words.
const (
	valueRemoved  = "removed"  // of a team
	valueSettings = "settings" // as the settings say
)

const teamPrefix = "team"

// ParseEdit reads team/NAME/FIELD=VALUE, team/NAME=removed or SECTION.KEY=VALUE; team/NAME and
// SECTION.KEY may be set to what the settings say.
func ParseEdit(s string) (Edit, error) {
	name, value, ok := strings.Cut(s, "=")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	wrong := func(why string) (Edit, error) { return Edit{}, &settings.FieldError{Field: s, Why: why} }
	if !ok || value == "" {
		return wrong("not of the form team/NAME/FIELD=VALUE, team/NAME=removed or SECTION.KEY=VALUE")
	}
	parts := strings.Split(name, "/")
	switch {
	case len(parts) == 1:
		return Edit{Item{Tunable: name}, "", value}, nil
	case parts[0] != teamPrefix || parts[1] == "" || len(parts) > 3:
		return wrong("not a team: team/NAME or team/NAME/FIELD")
	case len(parts) == 3:
		return Edit{Item{Team: parts[1]}, parts[2], value}, nil
	}
	return Edit{Item{Team: parts[1]}, "", value}, nil
}

// FileEdits reads a file of changes in INI: sections [team NAME] with fields, or with the key
// "is", and sections of tunables.
func FileEdits(path string) ([]Edit, error) {
	f, err := ini.Load(path)
	if err != nil {
		return nil, &settings.FieldError{Field: path, Why: "cannot be read: " + strings.ReplaceAll(err.Error(), "\n", " ")}
	}
	var edits []Edit
	for _, section := range f.Sections() {
		for _, key := range section.Keys() {
			e := Edit{Item{Tunable: section.Name() + "." + key.Name()}, "", key.Value()}
			if team, ok := strings.CutPrefix(section.Name(), teamPrefix+" "); ok {
				e.Item, e.Field = Item{Team: strings.TrimSpace(team)}, key.Name()
				if key.Name() == "is" {
					e.Field = ""
				}
			}
			edits = append(edits, e)
		}
	}
	return edits, nil
}

// Changes makes one change of each item that edits name. Fields of a team that no edit names stay
// as limits has them.
func Changes(edits []Edit, limits func(team string) Limits) ([]Change, error) {
	var out []Change
	at := map[Item]int{}
	for _, e := range edits {
		i, known := at[e.Item]
		if !known {
			i = len(out)
			at[e.Item] = i
			out = append(out, Change{Item: e.Item})
		}
		if err := e.applyTo(&out[i].Value, known, limits); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func (e *Edit) applyTo(v *Value, again bool, limits func(team string) Limits) error {
	wrong := func(why string, args ...any) error {
		return &settings.FieldError{Field: strings.TrimSuffix(e.Item.String()+"."+e.Field, "."), Why: fmt.Sprintf(why, args...)}
	}
	switch {
	case e.Field == "" && again, e.Field != "" && again && v.Limits == nil:
		return wrong("is changed twice at once")
	case e.Field == "" && e.Value == valueSettings:
		return nil
	case e.Field == "" && e.Item.Team != "":
		if v.Removed = e.Value == valueRemoved; !v.Removed {
			return wrong("must be %q or %q, is %q", valueRemoved, valueSettings, e.Value)
		}
		return nil
	case e.Field == "":
		n, err := settings.ParseLive(e.Item.Tunable, e.Value)
		v.Number = &n
		return err
	}
	if v.Limits == nil {
		l := limits(e.Item.Team)
		v.Limits = &l
	}
	field := map[string]*float64{"cpus": &v.Limits.CPUs, "cpus_max": &v.Limits.CPUsMax, "gpus": &v.Limits.GPUs, "gpus_max": &v.Limits.GPUsMax}[e.Field]
	if field == nil {
		return wrong("no such field of a team: there are cpus, cpus_max, gpus and gpus_max")
	}
	n, err := strconv.ParseFloat(e.Value, 64)
	if err != nil {
		return wrong("not a number: %q", e.Value)
	}
	*field = n
	return nil
}
