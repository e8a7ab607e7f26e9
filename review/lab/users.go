package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// job is a job that users have submitted.
type job struct {
	ID    string  `json:"name_id"`
	Class string  `json:"herd"`
	Team  string  `json:"keeper"`
	Kind  string  `json:"gait"`
	Prio  string  `json:"urgency"`
	Tasks int     `json:"head"`
	CPUs  float64 `json:"vcpus"`
	GPUs  float64 `json:"gpus"`
	Mem   float64 `json:"memory_gb"`
	Image string  `json:"brand"`
	Size  float64 `json:"size_gb"`

	Types    []string `json:"breeds"`
	Zone     *string  `json:"pasture"`
	Together bool     `json:"together"`
	Scatter  bool     `json:"scatter"`
	Spot     bool     `json:"loaned_stock"`
	Run      float64  `json:"trek_s"`
	Every    float64  `json:"waypoint_s"`
	Save     float64  `json:"stow_s"`
	Deadline *float64 `json:"market_s"`
	Follows  []string `json:"follows,omitempty"`
}

// users is an HTTP client that behaves like users: it waits for an answer for as long as they do.
var users = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// request sends one request and returns the status, or 0 without an answer.
func request(method, url string, body []byte, wait time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	resp, err := users.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }() // read errors count as no answer
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, strings.TrimSpace(string(answer))
}

// standingOf returns the standing in an answer.
func standingOf(answer string) string {
	var a struct {
		Standing string `json:"standing"`
	}
	if json.Unmarshal([]byte(answer), &a) != nil {
		return ""
	}
	return a.Standing
}

// submit submits a job as users do, for up to 60 s, and reports whether it was accepted.
func (c *cluster) submit(j *job) bool {
	body, err := json.Marshal(j)
	if err != nil {
		return false
	}
	c.mu.Lock()
	c.jobs[j.ID] = j
	c.mu.Unlock()
	end := time.Now().Add(time.Minute)
	for n := 0; time.Now().Before(end); n++ {
		node := n % len(c.public)
		status, answer := request(http.MethodPost, "http://"+c.public[node]+"/api/jobs", body, 5*time.Second)
		c.rec.add("user: submit %s to %s: %d %s", j.ID, nodeName(node), status, answer)
		switch status {
		case http.StatusCreated, http.StatusOK:
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// poll asks one node for a job's state.
func (c *cluster) poll(node int, id string) (int, string) {
	status, answer := request(http.MethodGet, "http://"+c.public[node]+"/api/jobs/"+id, nil, 2*time.Second)
	c.rec.add("user: ask %s for %s: %d %s", nodeName(node), id, status, answer)
	return status, standingOf(answer)
}

// awaitStanding polls a job until it has the standing, and reports whether it had it in time.
func (c *cluster) awaitStanding(id, standing string, limit time.Duration) bool {
	end := time.Now().Add(limit)
	for n := 0; time.Now().Before(end); n++ {
		if _, now := c.poll(n%len(c.public), id); now == standing {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// awaitServing waits until a controller answers questions about jobs.
func (c *cluster) awaitServing() error {
	const limit = 20 * time.Second
	end := time.Now().Add(limit)
	for n := 0; time.Now().Before(end); n++ {
		if status, _ := c.poll(n%len(c.public), "j-999999"); status == http.StatusNotFound {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("no controller serves after %v", limit)
}
