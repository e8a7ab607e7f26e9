package scalerun

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bitternmoor/internal/scaletest/standin"
	"bitternmoor/internal/scaletest/traffic"
	"bitternmoor/internal/wire"
)

// Timing and limits of users and their load balancer, as the protocol defines them.
const (
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	retryPause    = time.Second
	maxRetryPause = 30 * time.Second
	giveUpAfter   = 60 * time.Second
	skipDuration  = 3 * time.Second
	answerBytes   = 64 << 10
)

// controllerClient is the users' HTTP client of one controller.
type controllerClient struct {
	url     string
	zone    string
	client  *http.Client
	traffic traffic.Meter

	mu        sync.Mutex
	skipUntil time.Time // the load balancer sends no requests there until then
}

// users submits jobs, polls them until they are over, and cancels some of them.
type users struct {
	net         *network
	controllers []*controllerClient
	next        atomic.Uint64
	fleet       *standin.Fleet
	work        *workload
	latency     *latencies
	poll        time.Duration
	begin       time.Time
	stop        context.Context // when it is cancelled, jobs that are not over are abandoned
	accepted    atomic.Uint64
	over        atomic.Uint64
	finalStates sync.Map // job -> final wire.JobState
}

func newControllerClient(addr, zone string) *controllerClient {
	d := &controllerClient{url: "http://" + addr, zone: zone}
	d.client = &http.Client{Transport: &http.Transport{DialContext: d.traffic.DialContext(&net.Dialer{Timeout: 500 * time.Millisecond}),
		MaxIdleConnsPerHost: 64, IdleConnTimeout: 20 * time.Second, DisableCompression: true}}
	return d
}

// reply is the answer to a user's request; status 0: there was no answer.
type reply struct {
	status int
	body   []byte
	after  time.Duration // delay from the Retry-After header
}

// request sends a request to the next controller, in rotation.
func (u *users) request(method, path string, body []byte, timeout time.Duration) reply {
	ctx, cancel := context.WithTimeout(u.stop, timeout)
	defer cancel()
	d := u.pickController()
	if !u.net.reaches(noZone, d.zone) {
		d.skipTemporarily()
		return reply{}
	}
	req, err := http.NewRequestWithContext(ctx, method, d.url+path, bytes.NewReader(body))
	if err != nil {
		return reply{}
	}
	resp, err := d.client.Do(req)
	if err != nil {
		d.skipTemporarily()
		return reply{}
	}
	defer func() { _ = resp.Body.Close() }() // read errors are handled below
	raw, err := io.ReadAll(io.LimitReader(resp.Body, answerBytes))
	if err != nil {
		return reply{}
	}
	d.traffic.Message()
	after, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return reply{resp.StatusCode, raw, time.Duration(after) * time.Second}
}

// pickController returns the next controller that is not skipped, as the load balancer does.
func (u *users) pickController() *controllerClient {
	var d *controllerClient
	for range u.controllers {
		d = u.controllers[u.next.Add(1)%uint64(len(u.controllers))]
		d.mu.Lock()
		skipped := time.Now().Before(d.skipUntil)
		d.mu.Unlock()
		if !skipped {
			break
		}
	}
	return d
}

func (d *controllerClient) skipTemporarily() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.skipUntil = time.Now().Add(skipDuration)
}

// sleep waits for the duration d. It returns false if the run is over.
func (u *users) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-u.stop.Done():
		return false
	}
}

// requestUntilAnswered repeats a request until it has a final answer. It returns status 0 if there is
// none in time.
func (u *users) requestUntilAnswered(method, path string, body []byte) reply {
	for end := time.Now().Add(giveUpAfter); time.Now().Before(end); {
		r := u.request(method, path, body, submitTimeout)
		switch r.status {
		case http.StatusOK, http.StatusCreated, http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusNotFound:
			return r
		}
		if !u.sleep(min(max(retryPause, r.after), maxRetryPause)) {
			break
		}
	}
	return reply{}
}

// runJob submits one job and follows it until it is over.
func (u *users) runJob(j job) {
	if !u.sleep(time.Until(u.begin.Add(j.at))) {
		return
	}
	id := j.name()
	u.latency.submitted(id, j.urgent)
	r := u.requestUntilAnswered(http.MethodPost, wire.PathJobs, wire.EncodeSubmission(j.describe(u.work)))
	switch r.status {
	case 0:
		return // the job was never accepted
	case http.StatusOK, http.StatusCreated:
	default:
		u.fleet.RuleBroken(fmt.Sprintf("refused: %s is answered %d: %s", id, r.status, r.body))
		return
	}
	u.accepted.Add(1)
	var cancel <-chan time.Time
	if j.cancelAfter > 0 {
		cancel = time.After(j.cancelAfter)
	}
	for {
		select {
		case <-u.stop.Done():
			return
		case <-cancel:
			u.cancel(j.id)
			cancel = nil
		case <-time.After(u.poll):
		}
		if u.queryJob(j.id) {
			u.over.Add(1)
			return
		}
	}
}

// queryJob requests the state of a job and reports whether the job is over.
func (u *users) queryJob(id uint64) bool {
	r := u.request(http.MethodGet, wire.JobPath(id), nil, pollTimeout)
	if r.status == http.StatusNotFound {
		u.fleet.RuleBroken("forgotten: " + wire.FormatID(id))
	}
	if r.status != http.StatusOK {
		return false
	}
	return u.checkAnswer(id, r.body)
}

// checkAnswer checks and records the state of a job in an answer, and reports whether the job is over.
func (u *users) checkAnswer(id uint64, body []byte) bool {
	name := wire.FormatID(id)
	state, err := wire.ParseJobAnswer(body)
	if err != nil {
		u.fleet.RuleBroken("unreadable: " + name + ": " + err.Error())
		return false
	}
	if before, ok := u.finalStates.Load(name); ok && before != state {
		u.fleet.RuleBroken(fmt.Sprintf("went_back: %s was in state %v and is in %v", name, before, state))
	}
	switch state {
	case wire.Done:
		if !u.fleet.Finished(name) {
			u.fleet.RuleBroken("not_done: " + name)
		}
	case wire.Cancelled:
		u.fleet.Cancelled(name)
	default:
		return false
	}
	u.finalStates.Store(name, state)
	return true
}

func (u *users) cancel(id uint64) {
	requestedAt := time.Now()
	if r := u.requestUntilAnswered(http.MethodPost, wire.AbortPath(id), nil); r.status == http.StatusOK {
		u.latency.cancelled(time.Since(requestedAt))
		u.checkAnswer(id, r.body)
	}
}

// recheckFinalStates queries every job that is over once more, to check that its state has not changed.
func (u *users) recheckFinalStates(jobs []job) {
	for _, j := range jobs {
		if _, over := u.finalStates.Load(j.name()); over {
			u.queryJob(j.id)
		}
	}
}
