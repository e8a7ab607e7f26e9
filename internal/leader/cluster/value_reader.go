package cluster

import (
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/effects"
)

// retryAfter is how long to wait before a page of values that could not be read is requested
// again.
const retryAfter = time.Second

// ValueReader reads a component's own values, page by page, after its term has begun. The
// component gives it the name under which its values are stored.
type ValueReader struct {
	Done bool // all of them are read

	requested bool          // a page, which has not come yet
	lastKey   string        // of the last value read
	retryAt   time.Duration // no page is requested before
}

// RequestNext requests the next page when it is due.
func (r *ValueReader) RequestNext(to Emitter, now time.Duration, component string) {
	if !r.Done && !r.requested && now >= r.retryAt {
		r.requested = true
		to.Emit(effects.ReadValues{Component: component, AfterKey: r.lastKey})
	}
}

// PageRead takes a page, and says whether it was the one that was requested and could be
// read. After the last one Done is set.
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
