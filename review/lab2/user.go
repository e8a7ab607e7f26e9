package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// The users' patience, from the protocol.
const (
	submitWait  = 5 * time.Second
	pollWait    = 2 * time.Second
	retryFor    = 60 * time.Second
	maxRetryGap = 30 * time.Second
)

// request sends one request to a controller.
func (l *lab) request(n *node, method, path string, body []byte, wait time.Duration) (int, []byte, error) {
	status, _, answer, err := l.requestHeader(n, method, path, body, wait)
	return status, answer, err
}

func (l *lab) requestHeader(n *node, method, path string, body []byte, wait time.Duration) (int, http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.public+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	resp, err := l.users.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }() // it has been read, or its read error is returned
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, answer, err
}

// pick chooses a healthy controller, as the load balancer does for a new connection.
func (l *lab) pick() *node {
	first := rand.IntN(len(l.nodes))
	for i := range l.nodes {
		if n := l.nodes[(first+i)%len(l.nodes)]; n.isHealthy() {
			return n
		}
	}
	return l.nodes[first]
}

// untilAnswered repeats a request as users do, until it has an answer that is not to be repeated or the time
// for repeats is over. It returns the last status, 0 for none, and the standing in the answer.
func (l *lab) untilAnswered(what, path string, body []byte, quiet bool) (int, string) {
	began := time.Now()
	for {
		n := l.pick()
		status, header, answer, err := l.requestHeader(n, http.MethodPost, path, body, submitWait)
		if err != nil {
			status = 0
		}
		if !quiet || (status != http.StatusCreated && status != http.StatusOK) {
			l.note("user: %s at %s: %d %.160s", what, n.name, status, answer)
		}
		switch status {
		case http.StatusOK, http.StatusCreated, http.StatusBadRequest, http.StatusUnprocessableEntity:
			return status, standing(answer)
		}
		gap := time.Second
		if s, err := strconv.Atoi(header.Get("Retry-After")); err == nil {
			gap = min(max(gap, time.Duration(s)*time.Second), maxRetryGap)
		}
		if time.Since(began)+gap > retryFor {
			return status, ""
		}
		time.Sleep(gap)
	}
}

func (l *lab) submit(j *job, body []byte, quiet bool) int {
	l.addJob(j)
	status, _ := l.untilAnswered("submit "+j.id, "/api/jobs", body, quiet)
	return status
}

func (l *lab) cancel(id string) (int, string) {
	return l.untilAnswered("abort "+id, "/api/jobs/"+id+"/abort", nil, false)
}

// poll asks once for a job's state. The standing is empty if there was no answer.
func (l *lab) poll(id string) (int, string) {
	n := l.pick()
	status, answer, err := l.request(n, http.MethodGet, "/api/jobs/"+id, nil, pollWait)
	if err != nil {
		status = 0
	}
	l.note("user: poll %s at %s: %d %.160s", id, n.name, status, answer)
	return status, standing(answer)
}

func standing(answer []byte) string {
	var in struct {
		Standing string `json:"standing"`
	}
	_ = json.Unmarshal(answer, &in) // the standing stays empty
	return in.Standing
}
