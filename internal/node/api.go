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

// stuckAfter is how long the loop may be silent before the node calls itself
// unhealthy. A flap costs far more than single refusals, so it is long.
const loopStallLimit = 4 * time.Second

// publicHandler is what users, the load balancer and workers reach.
func (n *Node) publicHandler() http.Handler {
	r := chi.NewRouter()
	r.Post(wire.PathJobs, n.handleSubmit)
	r.Get(wire.PathJob, func(w http.ResponseWriter, r *http.Request) { n.handleJob(w, r, opQuery) })
	r.Post(wire.PathAbort, func(w http.ResponseWriter, r *http.Request) { n.handleJob(w, r, opAbort) })
	r.Get(wire.PathHealth, n.handleHealth)
	r.Post(wire.PathReports, n.handleHeartbeat)
	if len(n.settings.Tunables.Pools) > 0 && len(n.settings.Tunables.ReceiptKeys()) > 0 {
		r.Post(PathReceipts, n.handleReceipt)
	}
	return r
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
	s := wire.ParseSubmission(body, len(n.settings.Tunables.Pools) > 0)
	if !s.HasID {
		writeAnswer(w, effects.Answer{Status: http.StatusBadRequest, Why: s.Bad})
		return
	}
	n.answerUser(w, UserRequest{Op: opSubmit, ID: s.ID, Submission: s, Whole: !s.Overlooked})
}

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

func (n *Node) handleHealth(w http.ResponseWriter, _ *http.Request) {
	// Where the leader is not reached no request can be taken: users are better
	// served by it, or by a node that reaches it.
	if s := n.snapshot.Load(); s.partitioned || time.Since(n.start)-s.takenAt > loopStallLimit {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (n *Node) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := wire.ReadBody(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	rep, err := wire.ParseReport(body)
	if err != nil {
		n.log.Warn("report not understood", "error", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a, err := n.awaitHeartbeatAnswer(func(now time.Duration, to effects.RequestID) { n.core.HandleHeartbeat(now, to, rep) })
	switch {
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	case a.Status == http.StatusOK:
		writeBody(w, a.Status, wire.ReportAnswer(a.Token, a.Commands))
	default:
		writeBody(w, a.Status, wire.RedirectAnswer(a.Node))
	}
}

func writeAnswer(w http.ResponseWriter, a effects.Answer) {
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(a.RetryAfter))
	}
	if a.Status == http.StatusOK || a.Status == http.StatusCreated {
		writeBody(w, a.Status, wire.JobAnswer(a.ID, a.State, a.Counts, a.Done, a.Running))
		return
	}
	writeBody(w, a.Status, wire.ErrorBody(a.Why))
}

func writeBody(w http.ResponseWriter, status int, body []byte) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // a client that has gone is no fault of ours
}
