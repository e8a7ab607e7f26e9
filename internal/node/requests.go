package node

import (
	"context"
	"errors"
	"net/http"
	"net/rpc"
	"time"

	"bitternmoor/internal/core/admission"
	"bitternmoor/internal/effects"
)

// admissionKind returns the kind of request that admission control counts an operation as.
func admissionKind(op string) admission.Kind {
	if op == opQuery {
		return admission.Poll
	}
	return admission.Submit
}

// admitRequest reports whether admission control admits a request about a job to the loop's queue.
func (n *Node) admitRequest(kind admission.Kind, job uint64) bool {
	if n.admission == nil {
		return true
	}
	n.admissionMu.Lock()
	defer n.admissionMu.Unlock()
	return n.admission.Admit(time.Since(n.start), kind, job, len(n.inputs), cap(n.inputs))
}

// spreadRetry sets Retry-After so that clients rejected at the same time do not all retry at the
// same time. It does not delay the answer.
func (n *Node) spreadRetry(in UserRequest, answer effects.Answer) effects.Answer {
	if n.admission == nil || answer.RetryAfter <= 0 {
		return answer
	}
	n.admissionMu.Lock()
	defer n.admissionMu.Unlock()
	answer.RetryAfter = n.admission.Reject(time.Since(n.start), admissionKind(in.Op), in.ID, answer.RetryAfter)
	return answer
}

// serveOrForward serves a user's request on this node or forwards it to the leader, at most once.
func (n *Node) serveOrForward(in UserRequest) effects.Answer {
	snapshot := n.snapshot.Load()
	if snapshot.leading {
		return n.serveLocally(in)
	}
	leader := n.peers[snapshot.leader]
	if leader == nil {
		return effects.Unavailable("no leader at present")
	}
	var answer effects.Answer
	// The call does not use the request's context. Otherwise a user who disconnects would make the
	// leader look unreachable.
	if err := leader.call(context.Background(), forwardMethod(in), in, &answer); err != nil {
		n.log.Debug("leader not reached", "leader", snapshot.leader, "error", err)
		var remote rpc.ServerError
		if !errors.As(err, &remote) {
			// If the loop's queue is full, the input is dropped. The next failed request or probe
			// reports the same.
			_ = n.tryEnqueue(func(now time.Duration) { n.core.LeaderContactResult(now, snapshot.leader, false) })
		}
		return effects.Unavailable("the leader does not answer")
	}
	return answer
}

// forwardMethod returns the RPC method for forwarding a request. A job that needs pool units has a
// separate method, which a leader of a version without pools rejects.
func forwardMethod(in UserRequest) string {
	if in.Submission.Job != nil && len(in.Submission.Job.Counted) > 0 {
		return "Controller.AskCounted"
	}
	return "Controller.Ask"
}

// serveLocally serves a user's request with this node's core, whether or not it leads.
func (n *Node) serveLocally(in UserRequest) effects.Answer {
	return n.awaitAnswer(in, func(now time.Duration, to effects.RequestID) {
		switch in.Op {
		case opSubmit:
			n.core.Submit(now, to, in.Submission)
		case opQuery:
			n.core.Query(now, to, in.ID)
		default:
			n.core.Cancel(now, to, in.ID)
		}
	})
}

// awaitAnswer runs a user's request on the loop, if admission control and the loop's queue allow it,
// and waits for its answer.
func (n *Node) awaitAnswer(
	in UserRequest, request func(now time.Duration, to effects.RequestID),
) effects.Answer {
	pending := make(chan effects.Answer, 1)
	var id effects.RequestID // accessed only on the loop
	err := errLoopBusy
	if n.admitRequest(admissionKind(in.Op), in.ID) {
		err = n.tryEnqueue(func(now time.Duration) {
			n.lastRequestID++
			id = n.lastRequestID
			n.pendingUsers[id] = pending
			request(now, id)
		})
	}
	if err != nil {
		return effects.Answer{Status: http.StatusTooManyRequests, Why: "too many requests at once", RetryAfter: 1}
	}
	began := time.Now()
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case answer := <-pending:
		if limitExceeded(began, answerTimeout) {
			return effects.Unavailable("the answer came too late")
		}
		return answer
	case <-timer.C:
		// The user gets this answer now, and has to ask again for the job's state. If the loop's
		// queue is full, the pending entry stays until the core answers.
		_ = n.tryEnqueue(func(time.Duration) { delete(n.pendingUsers, id) })
		return effects.Unavailable("not durable in time")
	}
}

// awaitHeartbeatAnswer runs a worker's heartbeat on the loop and waits for its answer. The core
// always answers, because relays to the leader have a timeout.
func (n *Node) awaitHeartbeatAnswer(
	heartbeat func(now time.Duration, to effects.RequestID),
) (effects.HeartbeatAnswer, error) {
	pending := make(chan effects.HeartbeatAnswer, 1)
	err := n.tryEnqueue(func(now time.Duration) {
		n.lastRequestID++
		n.pendingHeartbeats[n.lastRequestID] = pending
		heartbeat(now, n.lastRequestID)
	})
	if err != nil {
		return effects.HeartbeatAnswer{}, err
	}
	return <-pending, nil
}
