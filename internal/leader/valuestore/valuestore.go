// Package valuestore handles a component's own values, which are stored next to the
// leader's log. It decodes values of earlier terms and tracks the writes of the current
// term until they are durable or refused. The components with such values (pools,
// runtimes) share it; cluster.ValueReader reads the values page by page. The package has
// no clock, socket or goroutine.
package valuestore

import (
	"encoding/json"
	"fmt"
	"slices"

	"bitternmoor/internal/core/eventlog"
)

// VersionError reports that a value has a format version that this program does not support.
type VersionError struct{ Version int }

func (e *VersionError) Error() string {
	return fmt.Sprintf("format version %d is not known to this controller", e.Version)
}

// NoNumber is the number that Decode returns for a value whose key has none.
const NoNumber = -1

// Versioned is implemented by the contents of a value, which include its format version.
type Versioned interface{ FormatVersion() int }

// Decode decodes a component's value into contents and returns the value's number. The
// number is returned, and counts as used, even if the contents cannot be decoded; it is
// NoNumber if the key has none. If the format version differs from the given one, the error
// is a *VersionError.
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

// Writer tracks a component's writes of values through the log. T holds the details of a
// write that the component gets back once the outcome is known.
type Writer[T any] struct {
	Component string // name of the component, which is part of its keys
	pending   []pendingWrite[T]
}

type pendingWrite[T any] struct {
	number   int
	position int // the outcome is known once this many entries of the log are durable
	details  T
}

// Append appends a value to the log, together with the entry that announces it. If the value
// is too large, it writes nothing and returns false.
func (w *Writer[T]) Append(log *eventlog.Log, announcement any, number int, data json.RawMessage, details T) bool {
	entry := eventlog.NewComponentEntry(w.Component, announcement)
	if !log.AppendWithValue(entry, eventlog.ComponentValueKey(w.Component, number), data) {
		return false
	}
	w.pending = append(w.pending, pendingWrite[T]{number: number, position: log.AppendedCount(), details: details})
	return true
}

// TakeRefused removes the writes that the state service has refused and returns their
// details, oldest first. A write is refused if the log is durable up to its position and
// TakeDurable has not returned it.
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

// TakeDurable removes the oldest pending write of a value whose announcement is durable, and
// returns its details. found is false if there is no such write.
func (w *Writer[T]) TakeDurable(number int) (details T, found bool) {
	i := slices.IndexFunc(w.pending, func(p pendingWrite[T]) bool { return p.number == number })
	if i < 0 {
		return details, false
	}
	details = w.pending[i].details
	w.pending = slices.Delete(w.pending, i, i+1)
	return details, true
}

// HasPending reports whether the details of some pending write match.
func (w *Writer[T]) HasPending(match func(T) bool) bool {
	return slices.ContainsFunc(w.pending, func(p pendingWrite[T]) bool { return match(p.details) })
}

// Len returns the number of pending writes.
func (w *Writer[T]) Len() int { return len(w.pending) }
