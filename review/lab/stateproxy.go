package main

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
)

// serveState passes a request to the stand-in of the state service. The answer may be
// lost; then the connection ends without one.
func (c *cluster) serveState(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the controller has disconnected
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	answer := httptest.NewRecorder()
	c.state.ServeHTTP(answer, r)
	if c.answerDoor != nil && !c.answerDoor(r, body, answer.Code) {
		panic(http.ErrAbortHandler)
	}
	out := answer.Body.Bytes()
	if c.rewrite != nil {
		out = c.rewrite(r, answer.Code, out)
	}
	maps.Copy(w.Header(), answer.Header())
	w.WriteHeader(answer.Code)
	_, _ = w.Write(out) // the controller may have disconnected
}
