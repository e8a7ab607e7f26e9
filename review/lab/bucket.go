package main

import "time"

// bucket limits a rate; a burst may use the limit of one second at once. It is used under the lock of its owner.
type bucket struct {
	rate, left float64
	filledAt   time.Time
}

func newBucket(rate float64) *bucket { return &bucket{rate: rate, left: rate, filledAt: time.Now()} }

// AllowN takes n from the bucket, and reports whether there were as many.
func (b *bucket) AllowN(now time.Time, n int) bool {
	b.left = min(b.rate, b.left+now.Sub(b.filledAt).Seconds()*b.rate)
	b.filledAt = now
	if b.left < float64(n) {
		return false
	}
	b.left -= float64(n)
	return true
}

// Allow takes one.
func (b *bucket) Allow() bool { return b.AllowN(time.Now(), 1) }
