package cluster

import (
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/effects"
)

// retryAfter is the delay before a page of values that could not be read is requested again.
const retryAfter = time.Second

// ValueReader reads a component's own values, page by page, after its term has begun. The
// component passes the name under which its values are stored.
type ValueReader struct {
	Done bool // all values have been read

	requested bool          // a page has been requested and not yet received
	lastKey   string        // key of the last value read
	retryAt   time.Duration // no page is requested before this time
}

// RequestNext requests the next page of values if one is due.
func (r *ValueReader) RequestNext(emitter Emitter, now time.Duration, component string) {
	if !r.Done && !r.requested && now >= r.retryAt {
		r.requested = true
		emitter.Emit(effects.ReadValues{Component: component, AfterKey: r.lastKey})
	}
}

// PageRead accepts a page and reports whether it was requested and could be read. It sets
// Done after the last page.
func (r *ValueReader) PageRead(now time.Duration, list []eventlog.ComponentValue, more, ok bool) bool {
	if r.Done || !r.requested {
		return false
	}
	r.requested = false
	if !ok {
		r.retryAt = now + retryAfter
		return false
	}
	if len(list) > 0 {
		r.lastKey = list[len(list)-1].Key
	}
	r.Done = !more
	return true
}
