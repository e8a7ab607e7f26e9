package settings

import (
	"maps"
	"slices"
	"strconv"
)

// Effect is when a change of a tunable takes effect if it is made while controllers run.
type Effect string

// Effects of a change.
const (
	NeedsRestart Effect = "needs a restart"
	AtOnce       Effect = "at once"
	LaterJobs    Effect = "for jobs that come later"
)

// liveTunables holds the tunables that may change while controllers run: those that the leader reads each
// time it uses them. All others are read once, at the start of a term or of the process.
var liveTunables = map[string]Effect{
	"fleet.drain_backlog":    AtOnce,
	"fleet.dear_backlog":     AtOnce,
	"fleet.idle_return":      AtOnce,
	"fleet.spot_return":      AtOnce,
	"fleet.usual_stay":       AtOnce,
	"fleet.boot_give_up":     AtOnce,
	"fleet.move_saved":       AtOnce,
	"exceptions.preempt":     AtOnce,
	"exceptions.wait_lead":   LaterJobs,
	"exceptions.low_lead":    LaterJobs,
	"exceptions.lost_behind": LaterJobs,
}

// LiveTunables returns the sorted keys, SECTION.KEY, of the tunables that may change while controllers run.
func LiveTunables() []string { return slices.Sorted(maps.Keys(liveTunables)) }

// EffectOfChange returns when a change of a key takes effect. It is empty if there is no such key.
func EffectOfChange(key string) Effect {
	if e, ok := liveTunables[key]; ok {
		return e
	}
	if findNumber(key) != nil || findText(key) != nil {
		return NeedsRestart
	}
	return ""
}

// CheckLive returns an error if a tunable may not be set to a value while controllers run.
func CheckLive(key string, value float64) error {
	switch EffectOfChange(key) {
	case "":
		return newFieldError(key, "no such tunable")
	case NeedsRestart:
		return newFieldError(key, "cannot change while controllers run: it needs a restart")
	}
	return findNumber(key).check(value)
}

// ParseLiveValue parses and checks a new value of a tunable that may change while controllers run.
func ParseLiveValue(key, value string) (float64, error) {
	v, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return 0, newFieldError(key, "not a number: %q", value)
	}
	return v, CheckLive(key, v)
}

// Number returns the value of a tunable. It returns false if there is no numeric tunable with this key.
func (t *Tunables) Number(key string) (float64, bool) {
	if number := findNumber(key); number != nil {
		return number.get(t), true
	}
	return 0, false
}

// SetNumber sets a numeric tunable to a value that has already been checked.
func (t *Tunables) SetNumber(key string, v float64) {
	if number := findNumber(key); number != nil {
		number.set(t, v)
	}
}
