// Package ratelimit bounds how fast a leader orders, for each receiver apart: the cloud's
// calls, and starts by zone and by image. It is pure; the time comes in. Nothing is
// queued here: what a budget does not let pass now is computed anew at the next try,
// in the order that holds then.
package ratelimit

import (
	"math"
	"time"
)

// Bucket is a budget that refills at a steady rate. The zero value lets nothing pass.
type Bucket struct {
	Rate       float64 // a second
	Burst      float64 // most that may have gathered
	tokens     float64
	refilledAt time.Duration
}

// NewBucket makes one that is full.
func NewBucket(now time.Duration, rate, burst float64) Bucket {
	return Bucket{Rate: rate, Burst: burst, tokens: burst, refilledAt: now}
}

// Has says whether there is as much as n.
func (b *Bucket) Has(now time.Duration, n float64) bool {
	b.tokens = min(b.Burst, b.tokens+max(0, (now-b.refilledAt).Seconds())*b.Rate)
	b.refilledAt = max(b.refilledAt, now)
	return b.tokens >= n
}

// Take spends n if there is as much.
func (b *Bucket) Take(now time.Duration, n float64) bool {
	if !b.Has(now, n) {
		return false
	}
	b.tokens -= n
	return true
}

// Adaptive is a budget whose rate is halved when its receiver refuses, hangs or errs,
// and grows again by a steady step while it answers: additive increase, multiplicative
// decrease. Several leaders' worth of callers that share a receiver come to share it
// evenly that way, which a fixed pause after each failure does not do.
type Adaptive struct {
	Bucket
	maxRate   float64 // the rate that is announced or agreed on
	failedAt  time.Duration
	hasFailed bool
	grownAt   time.Duration
}

const (
	minRateShare   = 1.0 / 4         // of the top rate
	fullGrowthTime = 8 * time.Second // from nothing to the top rate
	failureWindow  = time.Second     // failures this close together are one
	growthHoldOff  = 2 * time.Second // after a failure the rate does not grow yet
)

// NewAdaptive makes a full budget at its top rate.
func NewAdaptive(now time.Duration, top, burst float64) Adaptive {
	return Adaptive{Bucket: NewBucket(now, top, burst), maxRate: top, grownAt: now}
}

// Failure notes that the receiver refused, did not answer in time, or was in trouble.
func (a *Adaptive) Failure(now time.Duration) {
	if a.hasFailed && now-a.failedAt < failureWindow {
		return
	}
	a.hasFailed, a.failedAt, a.grownAt = true, now, now
	a.Rate = max(a.maxRate*minRateShare, a.Rate/2)
	a.tokens = min(a.tokens, 1)
}

// Success notes an answer.
func (a *Adaptive) Success(now time.Duration) {
	if a.hasFailed && now-a.failedAt < growthHoldOff {
		a.grownAt = now
		return
	}
	a.Rate = min(a.maxRate, a.Rate+a.maxRate*(now-a.grownAt).Seconds()/fullGrowthTime.Seconds())
	a.grownAt = now
}

// Limits says how fast tasks may be started while a leader catches up.
type Limits struct {
	Zone   float64 // starts a second in one zone; 0: any number
	Images int     // images that a machine may be fetching at once; 0: any number
}

// StartLimiter is the budget of starts. A pass asks it for each place that it would give; a
// machine that may not take a task now is left out for this pass.
type StartLimiter struct {
	limits Limits
	zones  map[int32]*Bucket
}

// zoneBurst is for how many seconds' worth a zone's starts may gather.
const zoneBurstSeconds = 1

// NewStartLimiter makes a full budget.
func NewStartLimiter(l Limits) *StartLimiter {
	return &StartLimiter{limits: l, zones: map[int32]*Bucket{}}
}

// Allows says whether a task may be started in a zone, on a machine that is fetching so
// many images and has the task's or not. It spends nothing.
func (s *StartLimiter) Allows(now time.Duration, zone int32, has bool, fetching int) bool {
	if !has && s.limits.Images > 0 && fetching >= s.limits.Images {
		return false // one fetch is shared by all who wait for it; two share the rate
	}
	return s.limits.Zone == 0 || s.zoneBucket(now, zone).Has(now, 1)
}

// Spend counts a start.
func (s *StartLimiter) Spend(now time.Duration, zone int32) {
	if s.limits.Zone > 0 {
		s.zoneBucket(now, zone).Take(now, 1)
	}
}

func (s *StartLimiter) zoneBucket(now time.Duration, zone int32) *Bucket {
	b := s.zones[zone]
	if b == nil {
		x := NewBucket(now, s.limits.Zone, math.Max(1, s.limits.Zone*zoneBurstSeconds))
		b = &x
		s.zones[zone] = b
	}
	return b
}
