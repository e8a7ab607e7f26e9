package ratelimit

import (
	"math"
	"time"
)

// zoneBurstSeconds is the burst of a zone's bucket, in seconds at its rate.
const zoneBurstSeconds = 1

// StartLimits holds the limits on starting tasks during a cold start.
type StartLimits struct {
	ZoneStartsPerSecond float64 // starts a second in one zone; 0: no limit
	MaxImageFetches     int     // images that a machine may fetch at once; 0: no limit
}

// StartLimiter limits the rate of task starts. A scheduling cycle calls Allows for each task and
// machine; a machine that may not be given a task now is skipped in this cycle.
type StartLimiter struct {
	limits StartLimits
	zones  map[int32]*Bucket // by zone index
}

// NewStartLimiter returns a limiter with full buckets.
func NewStartLimiter(limits StartLimits) *StartLimiter {
	return &StartLimiter{limits: limits, zones: map[int32]*Bucket{}}
}

// Allows reports whether a task may be started now on a machine in a zone. hasImage reports whether
// the machine has the task's image, and fetching is the number of images that it is fetching. Allows
// takes no tokens.
func (s *StartLimiter) Allows(now time.Duration, zone int32, hasImage bool, fetching int) bool {
	if !hasImage && s.limits.MaxImageFetches > 0 && fetching >= s.limits.MaxImageFetches {
		return false // tasks that need the same image share a fetch, but two fetches share the bandwidth
	}
	return s.limits.ZoneStartsPerSecond == 0 || s.zoneBucket(now, zone).Has(now, 1)
}

// Spend takes the token for a start in a zone.
func (s *StartLimiter) Spend(now time.Duration, zone int32) {
	if s.limits.ZoneStartsPerSecond > 0 {
		s.zoneBucket(now, zone).Take(now, 1)
	}
}

// zoneBucket returns the bucket of a zone, and creates it, full, on the first call.
func (s *StartLimiter) zoneBucket(now time.Duration, zone int32) *Bucket {
	bucket := s.zones[zone]
	if bucket == nil {
		full := NewBucket(now, s.limits.ZoneStartsPerSecond, math.Max(1, s.limits.ZoneStartsPerSecond*zoneBurstSeconds))
		bucket = &full
		s.zones[zone] = bucket
	}
	return bucket
}
