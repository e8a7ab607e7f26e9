// Package ratelimit bounds how fast a leader acts, for each receiver apart: calls of the cloud,
// and starts of tasks by zone and by image.
//
// Like all of internal/core the package is pure: times are passed in, as durations on a monotonic
// clock. Nothing is queued here: what a budget does not allow now is computed anew at the next
// attempt, in the order that holds then.
package ratelimit

import "time"

// Bucket is a token bucket: a budget that refills at a steady rate. The zero value allows nothing.
type Bucket struct {
	Rate  float64 // tokens a second
	Burst float64 // the most tokens that are saved up

	tokens     float64
	refilledAt time.Duration
}

// NewBucket makes a full bucket.
func NewBucket(now time.Duration, rate, burst float64) Bucket {
	return Bucket{Rate: rate, Burst: burst, tokens: burst, refilledAt: now}
}

// Has refills the bucket and says whether it has n tokens. A clock that goes back refills nothing.
func (b *Bucket) Has(now time.Duration, n float64) bool {
	elapsed := max(0, (now - b.refilledAt).Seconds())
	b.tokens = min(b.Burst, b.tokens+elapsed*b.Rate)
	b.refilledAt = max(b.refilledAt, now)
	return b.tokens >= n
}

// Take spends n tokens if the bucket has them.
func (b *Bucket) Take(now time.Duration, n float64) bool {
	if !b.Has(now, n) {
		return false
	}
	b.tokens -= n
	return true
}
