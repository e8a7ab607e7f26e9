package cluster

import (
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/effects"
)

// askAgain is how long a page of values that could not be read is left alone.
const retryAfter = time.Second

// ValueReader reads a duty's own values, page by page, after its term has begun.
type ValueReader struct {
	Done      bool // all of them
	requested bool
	lastKey   string
	retryAt   time.Duration
}

// RequestNext asks for the next page when it is due.
func (r *ValueReader) RequestNext(s *State, now time.Duration, duty string) {
	if !r.Done && !r.requested && now >= r.retryAt {
		r.requested = true
		s.Emit(effects.ReadValues{Duty: duty, Since: r.lastKey})
	}
}

// TakePage takes a page, and says whether it was the one that was asked for. After the
// last one Read is set.
func (r *ValueReader) TakePage(now time.Duration, list []eventlog.Value, more, ok bool) bool {
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
