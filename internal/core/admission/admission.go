// Package admission decides which user requests a controller accepts when it receives more than it
// can serve. For a rejected request it computes when to retry, spread out so that requests rejected
// at the same time are not all repeated at the same time.
//
// Like all of internal/core the package is pure: times are passed in. A rejection is final and is
// sent at once; rejected requests are not queued.
package admission

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is the kind of a request. Requests of a lower kind are admitted to a fuller queue.
type Kind uint8

// Kinds of requests.
const (
	Submit Kind = iota // submissions and cancellations
	Poll               // status requests for a job
	kindCount
)

const (
	maxRetrySeconds = 30 // users retry after this time even if they were given a longer one

	// Rejected requests are counted per time slice, over a window of four seconds.
	sliceCount  = 8
	sliceLength = time.Second / 2

	// Hashes are mapped to this many steps in [0, 1).
	hashSteps = 1024
)

// queueShare is the share of a bounded queue's places that may be taken for a request of each kind
// to be admitted. Submissions are still admitted when polls are not, and some places are always left
// for workers' reports and results of calls.
var queueShare = [kindCount]float64{Submit: 0.75, Poll: 0.5}

// outOfTurnShare is the part of the queue share of polls that is left to jobs out of their turn.
const outOfTurnShare = 0.25

// Controller decides which requests are admitted, counts those that it rejected recently, and spreads
// their retries.
type Controller struct {
	rate            float64 // requests a second that can be served
	wallClockAtZero time.Duration

	rejected     [kindCount][sliceCount]float64
	currentSlice int64

	turnsUntil time.Duration // until when jobs take turns
}

// NewController returns a controller that can serve rate requests a second, but at least one.
// wallClockAtZero is the wall clock time at time 0. Turns are computed from the wall clock, so that
// all controllers agree on them as closely as their clocks do.
func NewController(rate float64, wallClockAtZero time.Duration) *Controller {
	return &Controller{rate: max(rate, 1), wallClockAtZero: wallClockAtZero}
}

// Admit reports whether a request about a job may enter a queue in which taken of the places are
// taken.
func (c *Controller) Admit(now time.Duration, kind Kind, job uint64, taken, places int) bool {
	c.expireSlices(now)
	share := queueShare[kind]
	if kind == Poll && now < c.turnsUntil && c.secondsUntilTurn(now, job) > 0 {
		share *= outOfTurnShare
	}
	return float64(taken) < share*float64(places)
}

// Reject records that a request about a job is rejected, and returns after how many seconds, usually
// 1 to 30, it should be retried. minSeconds is the least that the reason of the rejection asks for.
//
// The requests rejected in the last four seconds are expected to be retried. The retries are spread
// over as many seconds as it takes to serve them at the controller's rate: submissions over the
// first of these seconds, polls over those that follow.
func (c *Controller) Reject(now time.Duration, kind Kind, job uint64, minSeconds int) int {
	c.expireSlices(now)
	c.rejected[kind][c.currentSlice%sliceCount]++
	before, span := 0.0, c.secondsToServe(Submit)
	if kind == Poll {
		before, span = span-1, c.secondsToServe(Poll)
		c.updateTurns(now, span)
		if now < c.turnsUntil {
			wait := c.secondsUntilTurnRetry(now, job)
			if wait <= maxRetrySeconds {
				return max(minSeconds, wait)
			}
			// If the turn begins later than users wait, the job reaches it with another retry, by
			// which time jobs may have stopped taking turns.
			before, span = float64(wait-maxRetrySeconds), float64(2*maxRetrySeconds-wait)
		}
	}
	return min(maxRetrySeconds, max(minSeconds, 1)+int(before+spreadFraction(now, job)*span))
}

// spreadFraction returns the position of a retry within its span, in [0, 1), from a hash of the job
// and the time. It needs no randomness, and differs from one attempt to the next, so that two jobs
// whose retries coincide once do not coincide forever.
func spreadFraction(now time.Duration, job uint64) float64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:], job)
	binary.LittleEndian.PutUint64(key[8:], uint64(now/time.Millisecond))
	return float64(xxhash.Sum64(key[:])%hashSteps) / hashSteps
}

// secondsToServe returns how many seconds it takes to serve the requests of a kind that were
// rejected recently, at least one.
func (c *Controller) secondsToServe(kind Kind) float64 {
	sum := 0.0
	for _, n := range c.rejected[kind] {
		sum += n
	}
	return math.Max(1, math.Ceil(sum/c.rate))
}

// expireSlices clears the counts of slices that are no longer in the window.
func (c *Controller) expireSlices(now time.Duration) {
	slice := int64(now / sliceLength)
	for n := min(slice-c.currentSlice, sliceCount); n > 0; n-- {
		for kind := range c.rejected {
			c.rejected[kind][(slice-n+1)%sliceCount] = 0
		}
	}
	c.currentSlice = max(c.currentSlice, slice)
}
