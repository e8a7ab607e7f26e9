// Package ratelimit limits how fast a leader acts on each receiver: how fast it calls the cloud,
// and how fast it starts tasks per zone and per image.
//
// Like all of internal/core the package is pure: times are passed in, as durations on a monotonic
// clock. Nothing is queued here: callers try again later what a limit does not allow now, in the
// order that applies then.
package ratelimit

import "time"

// Bucket is a token bucket, which refills at a steady rate. The zero value allows nothing.
type Bucket struct {
	Rate  float64 // tokens added a second
	Burst float64 // the largest number of tokens in the bucket

	tokens     float64
	refilledAt time.Duration
}

// NewBucket returns a full bucket.
func NewBucket(now time.Duration, rate, burst float64) Bucket {
	return Bucket{Rate: rate, Burst: burst, tokens: burst, refilledAt: now}
}

// Has refills the bucket and reports whether it has n tokens. If now is earlier than in a previous
// call, it adds nothing.
func (b *Bucket) Has(now time.Duration, n float64) bool {
	elapsed := max(0, (now - b.refilledAt).Seconds())
	b.tokens = min(b.Burst, b.tokens+elapsed*b.Rate)
	b.refilledAt = max(b.refilledAt, now)
	return b.tokens >= n
}

// Take removes n tokens if the bucket has them, and reports whether it did.
func (b *Bucket) Take(now time.Duration, n float64) bool {
	if !b.Has(now, n) {
		return false
	}
	b.tokens -= n
	return true
}
