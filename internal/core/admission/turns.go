package admission

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Turns limit how long a job's polls stay unanswered under overload. With random retries alone, some
// polls would stay unanswered for minutes. Therefore each job has a turn once a cycle, in which its
// polls are admitted before others and in which rejected polls should be retried. At any time so few
// jobs are in their turn that all of them can be answered; at 600 answers a second this holds for
// about 30,000 jobs.
const (
	// cycleSeconds is the time from one turn of a job to the next. Together with the time that an
	// answer takes, it is less than the 75 s after which a job is forgotten.
	cycleSeconds = 60
	// turnSeconds is how long a turn lasts.
	turnSeconds = 3
	// turnsThresholdSeconds is the time needed to serve the rejected polls above which jobs begin
	// to take turns. They stop one cycle after the rejected polls could be served within a second.
	turnsThresholdSeconds = 10
)

// updateTurns begins or extends the period in which jobs take turns. span is how many seconds it
// takes to serve the polls that were rejected recently.
func (c *Controller) updateTurns(now time.Duration, span float64) {
	if span > turnsThresholdSeconds || (span > 1 && now < c.turnsUntil) {
		c.turnsUntil = now + cycleSeconds*time.Second
	}
}

// secondsUntilTurn returns in how many seconds a job's next turn begins, or 0 during its turn.
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

// secondsUntilTurnRetry returns after how many seconds a rejected poll of a job should be retried: one
// second after its next turn begins, since clocks differ. A poll rejected during the job's turn,
// which happens when even those in their turn are too many to serve, is retried in the next turn.
func (c *Controller) secondsUntilTurnRetry(now time.Duration, job uint64) int {
	wait := c.secondsUntilTurn(now, job) + 1
	if wait == 1 {
		return cycleSeconds
	}
	return wait
}
