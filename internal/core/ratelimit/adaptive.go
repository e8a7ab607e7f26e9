package ratelimit

import "time"

const (
	minRateShare   = 1.0 / 4         // lower bound of the rate, as a share of the highest rate
	fullGrowthTime = 8 * time.Second // time in which the rate would grow from zero to the highest rate
	failureWindow  = time.Second     // further failures within this time of a counted one do not count
	growthHoldOff  = 2 * time.Second // how long the rate does not grow after a failure
)

// Adaptive is a token bucket with additive increase and multiplicative decrease: its rate is halved
// when the receiver refuses, hangs or fails, and grows at a steady pace while the receiver answers.
// Several leaders that call the same receiver thereby come to share it evenly, which a fixed pause
// after each failure does not achieve.
type Adaptive struct {
	Bucket
	maxRate   float64       // the rate that is announced or agreed on
	hasFailed bool          // whether failedAt is set
	failedAt  time.Duration // time of the last failure that counted
	grownAt   time.Duration // the time up to which growth has been added
}

// NewAdaptive returns a full bucket with the highest rate.
func NewAdaptive(now time.Duration, maxRate, burst float64) Adaptive {
	return Adaptive{Bucket: NewBucket(now, maxRate, burst), maxRate: maxRate, grownAt: now}
}

// RecordFailure records that the receiver refused a call, did not answer in time, or failed. It halves the
// rate, down to its lower bound, unless an earlier failure counted less than failureWindow ago.
func (a *Adaptive) RecordFailure(now time.Duration) {
	if a.hasFailed && now-a.failedAt < failureWindow {
		return
	}
	a.hasFailed, a.failedAt, a.grownAt = true, now, now
	a.Rate = max(a.maxRate*minRateShare, a.Rate/2)
	a.tokens = min(a.tokens, 1)
}

// RecordSuccess records that the receiver answered. It raises the rate, up to the highest rate, by the growth
// since the last success or failure, unless a failure counted less than growthHoldOff ago.
func (a *Adaptive) RecordSuccess(now time.Duration) {
	if !a.hasFailed || now-a.failedAt >= growthHoldOff {
		growth := a.maxRate * (now - a.grownAt).Seconds() / fullGrowthTime.Seconds()
		a.Rate = min(a.maxRate, a.Rate+growth)
	}
	a.grownAt = now
}
