// Package valuestore keeps a component's own values, which the leader's log stores
// beside its entries: it decodes those of earlier terms and follows the writes of this
// one until they are durable or refused. It is shared by the components of a leader's
// term that have such values (pools, runtimes); reading them page by page is
// cluster.ValueReader's part. It has no clock, socket or goroutine.
package valuestore

import (
	"encoding/json"
	"fmt"
	"slices"

	"bitternmoor/internal/core/eventlog"
)

// VersionError says that a value has a format version that this program does not know.
type VersionError struct{ Version int }

func (e *VersionError) Error() string {
	return fmt.Sprintf("format version %d is not known to this controller", e.Version)
}

// NoNumber is what Decode returns for a value whose key has no number.
const NoNumber = -1

// Versioned is the contents of a value, which carries its format version.
type Versioned interface{ FormatVersion() int }

// Decode decodes a component's value into contents and returns its number, which is in
// use even if the contents cannot be decoded; it is NoNumber if the key has none. A
// format version other than the one given is a *VersionError.
func Decode(component string, value eventlog.ComponentValue, version int, contents Versioned) (int, error) {
	number, err := eventlog.ComponentValueNumber(component, value.Key)
	if err != nil {
		return NoNumber, err
	}
	if err := json.Unmarshal(value.Data, contents); err != nil {
		return number, err
	}
	if found := contents.FormatVersion(); found != version {
		return number, &VersionError{Version: found}
	}
	return number, nil
}

// Writer follows a component's writes of values on their way through the log. T is what
// the component wants to know of a write once its outcome is known.
type Writer[T any] struct {
	Component string // the name of the component, which its keys begin with
	pending   []pendingWrite[T]
}

type pendingWrite[T any] struct {
	number   int
	position int // the outcome is known once so many entries of the log are durable
	details  T
}

// Append hands a value to the log, together with the entry that announces it. It returns
// false if the value is larger than may be written; nothing is written then.
func (w *Writer[T]) Append(log *eventlog.Log, announcement any, number int, data json.RawMessage, details T) bool {
	entry := eventlog.NewComponentEntry(w.Component, announcement)
	if !log.AppendWithValue(entry, eventlog.ComponentValueKey(w.Component, number), data) {
		return false
	}
	w.pending = append(w.pending, pendingWrite[T]{number: number, position: log.AppendedCount(), details: details})
	return true
}

// TakeRefused removes the writes that the state service has refused and returns their
// details, oldest first: the log has passed them, and TakeDurable was never called.
func (w *Writer[T]) TakeRefused(log *eventlog.Log) (refused []T) {
	w.pending = slices.DeleteFunc(w.pending, func(p pendingWrite[T]) bool {
		if log.DurableCount() < p.position {
			return false
		}
		refused = append(refused, p.details)
		return true
	})
	return refused
}

// TakeDurable removes the oldest pending write of a value, whose announcement is
// durable, and returns its details; false if there is none.
func (w *Writer[T]) TakeDurable(number int) (details T, found bool) {
	i := slices.IndexFunc(w.pending, func(p pendingWrite[T]) bool { return p.number == number })
	if i < 0 {
		return details, false
	}
	details = w.pending[i].details
	w.pending = slices.Delete(w.pending, i, i+1)
	return details, true
}

// HasPending reports whether a write is pending whose details match.
func (w *Writer[T]) HasPending(match func(T) bool) bool {
	return slices.ContainsFunc(w.pending, func(p pendingWrite[T]) bool { return match(p.details) })
}

// Len is the number of pending writes.
func (w *Writer[T]) Len() int { return len(w.pending) }
