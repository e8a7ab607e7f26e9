package ratelimit

import "time"

const (
	minRateShare   = 1.0 / 4         // of the highest rate: it is never lowered below
	fullGrowthTime = 8 * time.Second // from nothing to the highest rate
	failureWindow  = time.Second     // failures this close together count as one
	growthHoldOff  = 2 * time.Second // after a failure the rate does not grow for so long
)

// Adaptive is a bucket whose rate is halved when its receiver refuses, hangs or fails, and grows
// again by a steady step while it answers: additive increase, multiplicative decrease. Callers of
// several leaders that share a receiver come to share it evenly that way, which a fixed pause
// after each failure does not achieve.
type Adaptive struct {
	Bucket
	maxRate   float64       // the rate that is announced or agreed on
	hasFailed bool          // failedAt is set
	failedAt  time.Duration // of the last failure that counted
	grownAt   time.Duration // up to when growth has been added
}

// NewAdaptive makes a full bucket at its highest rate.
func NewAdaptive(now time.Duration, maxRate, burst float64) Adaptive {
	return Adaptive{Bucket: NewBucket(now, maxRate, burst), maxRate: maxRate, grownAt: now}
}

// Failure notes that the receiver refused, did not answer in time, or failed.
func (a *Adaptive) Failure(now time.Duration) {
	if a.hasFailed && now-a.failedAt < failureWindow {
		return
	}
	a.hasFailed, a.failedAt, a.grownAt = true, now, now
	a.Rate = max(a.maxRate*minRateShare, a.Rate/2)
	a.tokens = min(a.tokens, 1)
}

// Success notes that the receiver answered.
func (a *Adaptive) Success(now time.Duration) {
	if !a.hasFailed || now-a.failedAt >= growthHoldOff {
		growth := a.maxRate * (now - a.grownAt).Seconds() / fullGrowthTime.Seconds()
		a.Rate = min(a.maxRate, a.Rate+growth)
	}
	a.grownAt = now
}
