package node

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"bitternmoor/internal/effects"
	"bitternmoor/internal/wire"
)

// loopStallLimit is how long the loop may make no progress before the health check fails. It is
// long because a health check that flaps costs far more than single rejected requests.
const loopStallLimit = 4 * time.Second

// publicHandler returns the handler of the public address, for users, the load balancer and workers.
func (n *Node) publicHandler() http.Handler {
	router := chi.NewRouter()
	router.Post(wire.PathJobs, n.handleSubmit)
	router.Get(wire.PathJob, func(w http.ResponseWriter, r *http.Request) { n.handleJob(w, r, opQuery) })
	router.Post(wire.PathAbort, func(w http.ResponseWriter, r *http.Request) { n.handleJob(w, r, opAbort) })
	router.Get(wire.PathHealth, n.handleHealth)
	router.Post(wire.PathReports, n.handleHeartbeat)
	if len(n.settings.Tunables.Pools) > 0 && len(n.settings.Tunables.ReceiptKeys()) > 0 {
		router.Post(PathReceipts, n.handleReceipt)
	}
	return router
}

func (n *Node) handleSubmit(w http.ResponseWriter, r *http.Request) {
	body, err := wire.ReadBody(r.Body)
	if err != nil {
		why := "body not readable"
		if errors.Is(err, wire.ErrTooLarge) {
			why = "body over 64 KiB"
		}
		writeAnswer(w, effects.Answer{Status: http.StatusBadRequest, Why: why})
		return
	}
	submission := wire.ParseSubmission(body, len(n.settings.Tunables.Pools) > 0)
	if !submission.HasID {
		writeAnswer(w, effects.Answer{Status: http.StatusBadRequest, Why: submission.Bad})
		return
	}
	n.answerUser(w, UserRequest{
		Op:         opSubmit,
		ID:         submission.ID,
		Submission: submission,
		Whole:      !submission.Overlooked,
	})
}

// handleJob serves a request about one existing job; op is opQuery or opAbort.
func (n *Node) handleJob(w http.ResponseWriter, r *http.Request, op string) {
	id, ok := wire.ParseID(chi.URLParam(r, "id"))
	if !ok {
		writeAnswer(w, effects.Answer{Status: http.StatusNotFound, Why: "no such job"})
		return
	}
	n.answerUser(w, UserRequest{Op: op, ID: id})
}

func (n *Node) answerUser(w http.ResponseWriter, in UserRequest) {
	writeAnswer(w, n.spreadRetry(in, n.serveOrForward(in)))
}

// handleHealth serves the load balancer's health check.
func (n *Node) handleHealth(w http.ResponseWriter, _ *http.Request) {
	snapshot := n.snapshot.Load()
	stalled := time.Since(n.start)-snapshot.takenAt > loopStallLimit
	// A node that cannot reach the leader cannot serve any request. The load balancer should send
	// users to the leader or to a controller that can reach it.
	if snapshot.partitioned || stalled {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// handleHeartbeat serves a worker's heartbeat, which carries the worker's report.
func (n *Node) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := wire.ReadBody(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	report, err := wire.ParseReport(body)
	if err != nil {
		n.log.Warn("malformed heartbeat rejected", "error", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	answer, err := n.awaitHeartbeatAnswer(func(now time.Duration, to effects.RequestID) {
		n.core.HandleHeartbeat(now, to, report)
	})
	switch {
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	case answer.Status == http.StatusOK:
		writeBody(w, answer.Status, wire.EncodeReportAnswer(answer.Token, answer.Commands))
	default:
		writeBody(w, answer.Status, wire.RedirectAnswer(answer.Node))
	}
}

// writeAnswer writes the answer to a user's request.
func writeAnswer(w http.ResponseWriter, a effects.Answer) {
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(a.RetryAfter))
	}
	if a.Status == http.StatusOK || a.Status == http.StatusCreated {
		writeBody(w, a.Status, wire.EncodeJobAnswer(a.ID, a.State, a.Counts, a.Done, a.Running))
		return
	}
	writeBody(w, a.Status, wire.ErrorBody(a.Why))
}

func writeBody(w http.ResponseWriter, status int, body []byte) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // fails only if the client has disconnected
}
