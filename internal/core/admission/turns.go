package admission

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Turns: where far more is asked than can be answered, chance alone would leave some question
// unanswered for minutes. So each job has a turn of its own, once a cycle, in which its polls are
// admitted before others, and is told to come back in it. Of a cycle's jobs only so many are in
// their turn that all of them can be answered: at 600 answers a second that holds for some 30,000
// jobs.
const (
	// cycleSeconds is how often a job has its turn: with the time that an answer takes, less than
	// the 75 s after which a job is forgotten.
	cycleSeconds = 60
	// turnSeconds is how long a turn lasts.
	turnSeconds = 3
	// turnsThresholdSeconds is how many seconds' worth of rejected polls make jobs take turns,
	// until a cycle after all of them could be served at once.
	turnsThresholdSeconds = 10
)

// updateTurns begins or extends the time in which jobs take turns; span is how many seconds it
// takes to serve the polls that were rejected lately.
func (c *Controller) updateTurns(now time.Duration, span float64) {
	if span > turnsThresholdSeconds || (span > 1 && now < c.turnsUntil) {
		c.turnsUntil = now + cycleSeconds*time.Second
	}
}

// secondsUntilTurn is in how many seconds a job's turn begins, 0 while it is under way.
func (c *Controller) secondsUntilTurn(now time.Duration, job uint64) int {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], job)
	slot := int64(xxhash.Sum64(key[:]) % cycleSeconds)
	second := int64((c.wallClockAtZero + now) / time.Second)
	sinceBegin := (second + cycleSeconds - slot) % cycleSeconds
	if sinceBegin < turnSeconds {
		return 0
	}
	return int(cycleSeconds - sinceBegin)
}

// secondsIntoNextTurn is after how many seconds a job that was rejected comes back in its turn: a
// second into it, since clocks differ. One that was rejected in the middle of its turn, when there
// are more than even turns can serve, comes back in the next.
func (c *Controller) secondsIntoNextTurn(now time.Duration, job uint64) int {
	wait := c.secondsUntilTurn(now, job) + 1
	if wait == 1 {
		return cycleSeconds
	}
	return wait
}
