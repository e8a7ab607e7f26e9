// Package config is the part of the configuration that may change while controllers run: the teams
// with their guarantees and limits, and some tunables. It has revisions whose numbers only rise.
//
// The package is data alone: what may be changed, what a revision changes, what is in force at
// one, and the replica of a controller that follows the leader's. The leader's component is
// package reconfig. Like all of internal/core it is pure: times are passed in.
//
// Errors about what operators ask for are *settings.FieldError, which name the field.
package config

import (
	"fmt"

	"bitternmoor/internal/settings"
)

// Bounds of what may be changed.
const (
	MaxChanges = 64   // of one revision
	MaxItems   = 2000 // that ever were changed

	maxTeamNameBytes = 64
	maxIDBytes       = 64
	maxNoteBytes     = 200
)

// fieldError is an error about a field, with a formatted reason.
func fieldError(field, why string, args ...any) error {
	return &settings.FieldError{Field: field, Why: fmt.Sprintf(why, args...)}
}
