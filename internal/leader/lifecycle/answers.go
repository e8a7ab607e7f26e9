package lifecycle

import (
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/wire"
)

// Query answers a request for a job's state.
func (c *Component) Query(to effects.RequestID, id uint64) {
	if state, known := c.jobState(id); known {
		c.reply(to, state)
		return
	}
	if c.Jobs.ByID(id) != nil {
		c.reply(to, effects.Unavailable("being accepted"))
		return
	}
	c.reply(to, effects.Answer{Status: statusNotFound, Why: "no such job"})
}

// jobState returns the state of a job as reported to users. It returns false for a job that is
// unknown or whose acceptance is not durable.
func (c *Component) jobState(id uint64) (effects.Answer, bool) {
	if phase, final := c.Jobs.FinalPhase(id); final {
		state := wire.Done
		if phase == jobs.Cancelled {
			state = wire.Cancelled
		}
		return effects.Answer{Status: statusOK, ID: id, State: state}, true
	}
	j := c.Jobs.ByID(id)
	if j == nil || j.Phase == jobs.Accepting {
		return effects.Answer{}, false
	}
	state := wire.Queued
	if j.Running > 0 {
		state = wire.Running
	}
	return effects.Answer{
		Status:  statusOK,
		ID:      id,
		State:   state,
		Counts:  true,
		Done:    j.DurableCount,
		Running: j.Running,
	}, true
}

// answerSubmissions answers the requests that wait for a job's acceptance: the first created
// the job, the others are repeated submissions.
func (c *Component) answerSubmissions(leaseValid bool, id uint64) {
	state, _ := c.jobState(id)
	state.Status, state.Counts = statusCreated, false
	for _, to := range c.submitRequests[id] {
		c.answer(leaseValid, to, state)
		state.Status = statusOK
	}
	delete(c.submitRequests, id)
}

// answerCancellations answers the requests that wait for a job's cancellation.
func (c *Component) answerCancellations(leaseValid bool, id uint64) {
	state, _ := c.jobState(id)
	for _, to := range c.cancelRequests[id] {
		c.answer(leaseValid, to, state)
	}
	delete(c.cancelRequests, id)
}

// answer replies with a state that has become durable. If the lease may have expired, it
// replies that the service is unavailable, because another leader may have a newer state.
func (c *Component) answer(leaseValid bool, to effects.RequestID, state effects.Answer) {
	if !leaseValid {
		state = effects.Unavailable("leadership is in doubt")
	}
	c.reply(to, state)
}

// reply emits the answer to a request.
func (c *Component) reply(to effects.RequestID, answer effects.Answer) {
	c.Emit(effects.Reply{To: to, Answer: answer})
}
