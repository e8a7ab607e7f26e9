// Package admission decides which requests of users a controller takes in when more come than it
// can serve, and tells those that it rejects when to retry, spread out so that those who were
// rejected together do not all come back together.
//
// Like all of internal/core the package is pure: times are passed in. A rejection is final and is
// sent at once: no request is held back.
package admission

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind of a request, in the order in which they are admitted.
type Kind uint8

// Kinds.
const (
	Submit Kind = iota // submissions and cancellations
	Poll               // questions about a job
	kindCount
)

const (
	maxRetrySeconds = 30 // users wait no longer, whatever they are told

	// Rejected requests are counted by slices of time, over a window of four seconds.
	sliceCount  = 8
	sliceLength = time.Second / 2

	// Hashes are mapped to [0, 1) in so many steps.
	hashSteps = 1024
)

// queueShare is how full a bounded queue may be, as a share of its places, for a request of a kind
// to be admitted: submissions find room where polls do not, and workers' reports and results of
// calls always find some.
var queueShare = [kindCount]float64{Submit: 0.75, Poll: 0.5}

// outOfTurnShare is the share of that of polls that is left to jobs whose turn it is not.
const outOfTurnShare = 0.25

// Controller counts the requests that were rejected lately, and spreads their retries.
type Controller struct {
	rate            float64 // requests a second that can be served
	wallClockAtZero time.Duration

	rejected     [kindCount][sliceCount]float64
	currentSlice int64

	turnsUntil time.Duration // until when jobs take turns
}

// NewController makes a controller that can serve rate requests a second, at least one.
// wallClockAtZero is the time of day at time 0: turns go by that, so that all controllers agree on
// them within the bound of their clocks.
func NewController(rate float64, wallClockAtZero time.Duration) *Controller {
	return &Controller{rate: max(rate, 1), wallClockAtZero: wallClockAtZero}
}

// Admit says whether a request about a job may enter a queue in which so many of the places are
// taken.
func (c *Controller) Admit(now time.Duration, kind Kind, job uint64, taken, places int) bool {
	c.expireSlices(now)
	share := queueShare[kind]
	if kind == Poll && now < c.turnsUntil && c.secondsUntilTurn(now, job) > 0 {
		share *= outOfTurnShare
	}
	return float64(taken) < share*float64(places)
}

// Reject notes that a request about a job is rejected, and gives after how many seconds, 1 to 30,
// it should be retried. minSeconds is what the reason of the rejection itself asks for.
//
// Those who were rejected in the last four seconds are the ones who will come back. They are
// spread over as many seconds as it takes to serve them at the controller's rate, submissions over
// the first of them and polls over those that follow.
func (c *Controller) Reject(now time.Duration, kind Kind, job uint64, minSeconds int) int {
	c.expireSlices(now)
	c.rejected[kind][c.currentSlice%sliceCount]++
	before, span := 0.0, c.secondsToServe(Submit)
	if kind == Poll {
		before, span = span-1, c.secondsToServe(Poll)
		c.updateTurns(now, span)
		if now < c.turnsUntil {
			wait := c.secondsIntoNextTurn(now, job)
			if wait <= maxRetrySeconds {
				return max(minSeconds, wait)
			}
			// A turn that is further off than users wait is reached by way of another retry, which
			// may find that turns are over.
			before, span = float64(wait-maxRetrySeconds), float64(2*maxRetrySeconds-wait)
		}
	}
	return min(maxRetrySeconds, max(minSeconds, 1)+int(before+spreadFraction(now, job)*span))
}

// spreadFraction is where in its span a retry falls, in [0, 1): the hash of its job and of the
// time. It differs from try to try, so that two who met once do not meet for ever, and needs no
// randomness.
func spreadFraction(now time.Duration, job uint64) float64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:], job)
	binary.LittleEndian.PutUint64(key[8:], uint64(now/time.Millisecond))
	return float64(xxhash.Sum64(key[:])%hashSteps) / hashSteps
}

// secondsToServe is how long it takes to serve those of a kind that were rejected lately, at least
// one second.
func (c *Controller) secondsToServe(kind Kind) float64 {
	sum := 0.0
	for _, n := range c.rejected[kind] {
		sum += n
	}
	return math.Max(1, math.Ceil(sum/c.rate))
}

// expireSlices clears the counts of slices that have left the window.
func (c *Controller) expireSlices(now time.Duration) {
	slice := int64(now / sliceLength)
	for n := min(slice-c.currentSlice, sliceCount); n > 0; n-- {
		for kind := range c.rejected {
			c.rejected[kind][(slice-n+1)%sliceCount] = 0
		}
	}
	c.currentSlice = max(c.currentSlice, slice)
}
