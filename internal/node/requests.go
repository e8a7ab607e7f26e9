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

// admissionKind is the kind that admission control counts an operation of a UserRequest as.
func admissionKind(op string) admission.Kind {
	if op == opQuery {
		return admission.Poll
	}
	return admission.Submit
}

// admitRequest says whether admission control lets a request about a job into the loop's queue.
func (n *Node) admitRequest(kind admission.Kind, job uint64) bool {
	if n.admission == nil {
		return true
	}
	n.admissionMu.Lock()
	defer n.admissionMu.Unlock()
	return n.admission.Admit(time.Since(n.start), kind, job, len(n.inputs), cap(n.inputs))
}

// spreadRetry sets Retry-After so that clients rejected together do not retry together. The
// answer is final, and goes out at once all the same.
func (n *Node) spreadRetry(in UserRequest, answer effects.Answer) effects.Answer {
	if n.admission == nil || answer.RetryAfter <= 0 {
		return answer
	}
	n.admissionMu.Lock()
	defer n.admissionMu.Unlock()
	answer.RetryAfter = n.admission.Reject(time.Since(n.start), admissionKind(in.Op), in.ID, answer.RetryAfter)
	return answer
}

// serveOrForward serves a user's request here, or forwards it to the leader: one hop at most.
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
	// Not the request's context: a user that goes does not mean that the leader is not reached.
	if err := leader.call(context.Background(), forwardMethod(in), in, &answer); err != nil {
		n.log.Debug("leader not reached", "leader", snapshot.leader, "error", err)
		var remote rpc.ServerError
		if !errors.As(err, &remote) {
			// Dropped while the loop is behind: the next request or probe shows the same.
			_ = n.tryEnqueue(func(now time.Duration) { n.core.PeerReached(now, snapshot.leader, false) })
		}
		return effects.Unavailable("the leader does not answer")
	}
	return answer
}

// forwardMethod is the RPC method by which a request is forwarded: one that an older leader,
// which knows nothing of pools, does not have when the job needs units of them.
func forwardMethod(in UserRequest) string {
	if in.Submission.Job != nil && len(in.Submission.Job.Counted) > 0 {
		return "Controller.AskCounted"
	}
	return "Controller.Ask"
}

// serveLocally answers a user's request from this node's core, whoever leads.
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

// awaitAnswer runs a user's request on the loop, if admission control and the loop's queue
// allow, and waits for its answer.
func (n *Node) awaitAnswer(
	in UserRequest, request func(now time.Duration, to effects.RequestID),
) effects.Answer {
	pending := make(chan effects.Answer, 1)
	var id effects.RequestID // touched on the loop alone
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
		if exceeded(began, answerTimeout) {
			return effects.Unavailable("the answer came too late")
		}
		return answer
	case <-timer.C:
		// The final answer goes out now; the user learns the job's state by asking again. While
		// the loop is behind, its entry stays until the answer comes.
		_ = n.tryEnqueue(func(time.Duration) { delete(n.pendingUsers, id) })
		return effects.Unavailable("not durable in time")
	}
}

// awaitHeartbeatAnswer runs a worker's heartbeat on the loop and waits for its answer, which
// the core always gives: relays to the leader have a deadline.
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
