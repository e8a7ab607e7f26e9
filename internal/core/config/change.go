package config

import (
	"strings"

	"bitternmoor/internal/settings"
)

// Change sets one item.
type Change struct {
	Item  Item  `json:"item"`
	Value Value `json:"value"`
}

// Check returns an error that names the field if a change breaks the rules of the settings file, if an
// item is changed twice, or if there are no changes or more than MaxChanges.
func Check(changes []Change, platform *settings.Platform) error {
	if len(changes) == 0 {
		return fieldError("changes", "there are none")
	}
	if len(changes) > MaxChanges {
		return fieldError("changes", "%d are more than %d at once", len(changes), MaxChanges)
	}
	seen := map[Item]bool{}
	for _, change := range changes {
		if err := change.check(platform); err != nil {
			return err
		}
		if seen[change.Item] {
			return fieldError(change.Item.String(), "is changed twice at once")
		}
		seen[change.Item] = true
	}
	return nil
}

func (c *Change) check(platform *settings.Platform) error {
	switch {
	case (c.Item.Team == "") == (c.Item.Tunable == ""):
		return fieldError("item", "must be a team or a tunable")
	case c.Item.Tunable != "":
		return c.checkTunable()
	default:
		return c.checkTeam(platform)
	}
}

func (c *Change) checkTunable() error {
	tunable := c.Item.Tunable
	if c.Value.Limits != nil || c.Value.Removed {
		return fieldError(tunable, "a tunable has a number")
	}
	if c.Value.Number != nil {
		return settings.CheckLive(tunable, *c.Value.Number)
	}
	switch settings.EffectOfChange(tunable) {
	case "":
		return fieldError(tunable, "no such tunable")
	case settings.NeedsRestart:
		return fieldError(tunable, "cannot change while controllers run: it needs a restart")
	}
	return nil
}

func (c *Change) checkTeam(platform *settings.Platform) error {
	team, value := c.Item.Team, c.Value
	if len(team) > maxTeamNameBytes || strings.ContainsAny(team, "/\"\\ \t\r\n") {
		return fieldError("team", "a name has 1 to %d bytes, without spaces, slashes and quotes", maxTeamNameBytes)
	}
	if value.Number != nil || (value.Removed && value.Limits != nil) {
		return fieldError(c.Item.String(), "a team has limits, or is removed")
	}
	if value.Limits == nil {
		return nil
	}
	if err := value.Limits.ToSettings(team).Check(c.Item.String()); err != nil {
		return err
	}
	return platform.CheckTeamName(team)
}
