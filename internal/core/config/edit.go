package config

import (
	"strconv"
	"strings"

	"gopkg.in/ini.v1"

	"bitternmoor/internal/settings"
)

// Edit is one assignment that an operator requests: of a field of a team or, if Field is empty, of a
// whole item.
type Edit struct {
	Item  Item
	Field string
	Value string
}

// Keywords that may be given as values.
const (
	valueRemoved  = "removed"  // removes a team
	valueSettings = "settings" // resets an item to its value from the settings file
)

const (
	teamPrefix   = "team" // precedes a team's name in a path or in a section
	wholeItemKey = "is"   // key of a team's section that sets the whole team
)

// ParseEdit parses team/NAME/FIELD=VALUE, team/NAME=removed or SECTION.KEY=VALUE. The value
// "settings" resets team/NAME or SECTION.KEY to its value from the settings file.
func ParseEdit(text string) (Edit, error) {
	name, value, ok := strings.Cut(text, "=")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	if !ok || value == "" {
		return Edit{}, fieldError(text, "not of the form team/NAME/FIELD=VALUE, team/NAME=removed or SECTION.KEY=VALUE")
	}
	parts := strings.Split(name, "/")
	if len(parts) == 1 {
		return Edit{Item: Item{Tunable: name}, Value: value}, nil
	}
	if parts[0] != teamPrefix || parts[1] == "" || len(parts) > 3 {
		return Edit{}, fieldError(text, "not a team: team/NAME or team/NAME/FIELD")
	}
	edit := Edit{Item: Item{Team: parts[1]}, Value: value}
	if len(parts) == 3 {
		edit.Field = parts[2]
	}
	return edit, nil
}

// ReadEditsFile reads edits from an INI file that has sections [team NAME], with fields or with the key
// "is", and sections of tunables.
func ReadEditsFile(path string) ([]Edit, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, fieldError(path, "cannot be read: %s", strings.ReplaceAll(err.Error(), "\n", " "))
	}
	var edits []Edit
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			edits = append(edits, editOfKey(section.Name(), key))
		}
	}
	return edits, nil
}

// editOfKey returns the edit for one key of a file's section.
func editOfKey(section string, key *ini.Key) Edit {
	team, ok := strings.CutPrefix(section, teamPrefix+" ")
	if !ok {
		return Edit{Item: Item{Tunable: section + "." + key.Name()}, Value: key.Value()}
	}
	edit := Edit{Item: Item{Team: strings.TrimSpace(team)}, Value: key.Value()}
	if key.Name() != wholeItemKey {
		edit.Field = key.Name()
	}
	return edit
}

// CombineEdits combines edits into one change per item, in the order in which the edits first name the
// items. Fields of a team that no edit names keep the values that limits returns.
func CombineEdits(edits []Edit, limits func(team string) Limits) ([]Change, error) {
	var changes []Change
	indexOf := map[Item]int{}
	for _, edit := range edits {
		index, alreadyEdited := indexOf[edit.Item]
		if !alreadyEdited {
			index = len(changes)
			indexOf[edit.Item] = index
			changes = append(changes, Change{Item: edit.Item})
		}
		if err := edit.applyTo(&changes[index].Value, alreadyEdited, limits); err != nil {
			return nil, err
		}
	}
	return changes, nil
}

// applyTo applies the edit to its item's value; alreadyEdited means that another edit of the item has
// been applied before.
func (e *Edit) applyTo(value *Value, alreadyEdited bool, limits func(team string) Limits) error {
	if alreadyEdited && (e.Field == "" || value.Limits == nil) {
		return e.errorf("is changed twice at once")
	}
	switch {
	case e.Field != "":
		return e.applyField(value, limits)
	case e.Value == valueSettings:
		return nil
	case e.Item.Team != "":
		value.Removed = e.Value == valueRemoved
		if !value.Removed {
			return e.errorf("must be %q or %q, is %q", valueRemoved, valueSettings, e.Value)
		}
		return nil
	default:
		return e.applyTunable(value)
	}
}

func (e *Edit) applyTunable(value *Value) error {
	number, err := settings.ParseLiveValue(e.Item.Tunable, e.Value)
	value.Number = &number
	return err
}

// applyField sets one field of a team's limits.
func (e *Edit) applyField(value *Value, limits func(team string) Limits) error {
	if value.Limits == nil {
		current := limits(e.Item.Team)
		value.Limits = &current
	}
	field := value.Limits.field(e.Field)
	if field == nil {
		return e.errorf("no such field of a team: there are cpus, cpus_max, gpus and gpus_max")
	}
	number, err := strconv.ParseFloat(e.Value, 64)
	if err != nil {
		return e.errorf("not a number: %q", e.Value)
	}
	*field = number
	return nil
}

// field returns a pointer to the field with a name, or nil if there is none.
func (l *Limits) field(name string) *float64 {
	switch name {
	case "cpus":
		return &l.CPUs
	case "cpus_max":
		return &l.CPUsMax
	case "gpus":
		return &l.GPUs
	case "gpus_max":
		return &l.GPUsMax
	}
	return nil
}

// errorf returns an error about the item or field that the edit names.
func (e *Edit) errorf(why string, args ...any) error {
	return fieldError(strings.TrimSuffix(e.Item.String()+"."+e.Field, "."), why, args...)
}
