// Package config holds the part of the configuration that may change while controllers run: the teams
// with their guarantees and limits, and some tunables. Its revisions have ascending numbers.
//
// The package contains only data types and their rules: which changes are valid, what a revision
// changes, the document in force at a revision, and the replica with which a controller follows the
// leader's document. Package reconfig, a component of the leader, makes the changes. Like all of
// internal/core, the package has no clock and does no network I/O: times are passed in.
//
// Errors about operators' requests are of type *settings.FieldError, which names the field.
package config

import (
	"fmt"

	"bitternmoor/internal/settings"
)

// Limits of changes.
const (
	MaxChanges = 64   // changes of one revision
	MaxItems   = 2000 // items that have ever been changed

	maxTeamNameBytes = 64
	maxIDBytes       = 64
	maxNoteBytes     = 200
)

// fieldError returns an error about a field, with a formatted reason.
func fieldError(field, why string, args ...any) error {
	return &settings.FieldError{Field: field, Why: fmt.Sprintf(why, args...)}
}
