package ratelimit

import (
	"math"
	"time"
)

// zoneBurstSeconds is for how many seconds' worth a zone's starts may be saved up.
const zoneBurstSeconds = 1

// StartLimits says how fast tasks may be started while a leader catches up.
type StartLimits struct {
	ZoneStartsPerSecond float64 // starts a second in one zone; 0: any number
	MaxImageFetches     int     // images that a machine may be fetching at once; 0: any number
}

// StartLimiter is the budget of starts. A scheduling cycle asks it for each task that it would
// place; a machine that may not take a task now is left out for this cycle.
type StartLimiter struct {
	limits StartLimits
	zones  map[int32]*Bucket // by the zone's number
}

// NewStartLimiter makes a full budget.
func NewStartLimiter(limits StartLimits) *StartLimiter {
	return &StartLimiter{limits: limits, zones: map[int32]*Bucket{}}
}

// Allows says whether a task may be started in a zone, on a machine that has the task's image or
// not and is fetching so many. It spends nothing.
func (s *StartLimiter) Allows(now time.Duration, zone int32, hasImage bool, fetching int) bool {
	if !hasImage && s.limits.MaxImageFetches > 0 && fetching >= s.limits.MaxImageFetches {
		return false // one fetch is shared by all who wait for it; two share the rate
	}
	return s.limits.ZoneStartsPerSecond == 0 || s.zoneBucket(now, zone).Has(now, 1)
}

// Spend counts a start in a zone.
func (s *StartLimiter) Spend(now time.Duration, zone int32) {
	if s.limits.ZoneStartsPerSecond > 0 {
		s.zoneBucket(now, zone).Take(now, 1)
	}
}

// zoneBucket is the bucket of a zone, which is made, full, when it is first asked for.
func (s *StartLimiter) zoneBucket(now time.Duration, zone int32) *Bucket {
	bucket := s.zones[zone]
	if bucket == nil {
		full := NewBucket(now, s.limits.ZoneStartsPerSecond, math.Max(1, s.limits.ZoneStartsPerSecond*zoneBurstSeconds))
		bucket = &full
		s.zones[zone] = bucket
	}
	return bucket
}
