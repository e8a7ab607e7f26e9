// Package admission says to users who cannot be served now when to come back, so that
// those who were all turned away at once do not all come back at once. It is pure; the
// time comes in. The answer itself is final and goes out at once: nobody is held.
package admission

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind of a request, in the order in which they are let in.
type Kind uint8

// Kinds.
const (
	Submit Kind = iota // submissions and cancellations
	Poll
	kindCount
)

const (
	maxRetrySeconds = 30 // seconds; users wait no longer, whatever they are told
	sliceCount      = 8  // of the window over which those turned away are counted
	sliceLength     = time.Second / 2
)

// Controller counts who was turned away lately, and spreads them out.
type Controller struct {
	rate            float64 // requests a second that are taken when all goes well
	rejected        [kindCount][sliceCount]float64
	currentSlice    int64         // the current slice
	wallClockAtZero time.Duration // time of day at time 0
	turnsUntil      time.Duration // until when jobs take turns
}

// NewController makes a door behind which so many requests a second can be taken. zero is the
// time of day at time 0: turns go by that, so that all controllers agree on them within
// the bound of their clocks.
func NewController(rate float64, zero time.Duration) *Controller {
	return &Controller{rate: max(rate, 1), wallClockAtZero: zero}
}

// Turns: where far more is asked than can be answered, chance alone would leave some
// question unanswered for minutes. So each job has a turn of its own, once a cycle, in which
// its questions are let in before others, and is told to come back in it. Of a cycle's jobs
// only so many are in their turn that all of them can be answered: at 600 answers a second
// that holds for some 30,000 jobs.
const (
	cycleSeconds          = 60 // seconds; with the time that an answer takes, less than the 75 after which a job is forgotten
	turnSeconds           = 3  // seconds that a turn lasts
	turnsThresholdSeconds = 10 // seconds' worth of questions turned away, above which jobs take turns, until a cycle after the crowd has gone
)

// secondsUntilTurn is in how many seconds a job's turn begins, 0 while it is under way.
func (d *Controller) secondsUntilTurn(now time.Duration, job uint64) int {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], job)
	slot := int64(xxhash.Sum64(key[:]) % cycleSeconds)
	past := (int64((d.wallClockAtZero+now)/time.Second) + cycleSeconds - slot) % cycleSeconds
	if past < turnSeconds {
		return 0
	}
	return int(cycleSeconds - past)
}

// Reject notes that a request about a job is turned away, and gives after how many
// seconds, 1 to 30, it should come back. least is what the refusal itself asks for.
//
// Those who were turned away in the last four seconds are the ones who will come back.
// They are spread over as many seconds as it takes to serve them at the door's rate,
// submissions over the first of them and polls over those that follow. Where in its span
// a request falls is the hash of its job and of the time: it differs from try to try, so
// that two who met once do not meet for ever, and needs no randomness.
func (d *Controller) Reject(now time.Duration, kind Kind, job uint64, least int) int {
	d.expireSlices(now)
	d.rejected[kind][d.currentSlice%sliceCount]++
	before, span := 0.0, d.secondsToServe(Submit)
	if kind == Poll {
		before, span = span-1, d.secondsToServe(Poll)
		if span > turnsThresholdSeconds || (span > 1 && now < d.turnsUntil) {
			d.turnsUntil = now + cycleSeconds*time.Second
		}
		if now < d.turnsUntil {
			// A second into it, since clocks differ. In the middle of a turn there are more than
			// even turns can serve: the next one. What is further off than users wait is reached
			// by way of another try, which may find the crowd gone.
			wait := d.secondsUntilTurn(now, job) + 1
			if wait == 1 {
				wait = cycleSeconds
			}
			if wait <= maxRetrySeconds {
				return max(least, wait)
			}
			before, span = float64(wait-maxRetrySeconds), float64(2*maxRetrySeconds-wait)
		}
	}
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:], job)
	binary.LittleEndian.PutUint64(key[8:], uint64(now/time.Millisecond))
	pick := float64(xxhash.Sum64(key[:])%1024) / 1024
	return min(maxRetrySeconds, max(least, 1)+int(before+pick*span))
}

// secondsToServe is how long those turned away take to be served.
func (d *Controller) secondsToServe(kind Kind) float64 {
	sum := 0.0
	for _, n := range d.rejected[kind] {
		sum += n
	}
	return math.Max(1, math.Ceil(sum/d.rate))
}

// expireSlices forgets what is over.
func (d *Controller) expireSlices(now time.Duration) {
	at := int64(now / sliceLength)
	for n := min(at-d.currentSlice, sliceCount); n > 0; n-- {
		for k := range d.rejected {
			d.rejected[k][(at-n+1)%sliceCount] = 0
		}
	}
	d.currentSlice = max(d.currentSlice, at)
}

// Shares of a bounded queue, by kind: a request is turned away where more is in it, so
// that submissions find room where polls do not, and workers' reports and results of
// calls find some always.
var queueShare = [kindCount]float64{Submit: 0.75, Poll: 0.5}

// outOfTurn is the share of that of polls which those get whose turn it is not.
const outOfTurnShare = 0.25

// Admit says whether a request about a job may enter a queue of so many places with so many
// taken.
func (d *Controller) Admit(now time.Duration, kind Kind, job uint64, taken, places int) bool {
	d.expireSlices(now)
	share := queueShare[kind]
	if kind == Poll && now < d.turnsUntil && d.secondsUntilTurn(now, job) > 0 {
		share *= outOfTurnShare
	}
	return float64(taken) < share*float64(places)
}
