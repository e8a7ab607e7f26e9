package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bitternmoor/internal/operators/certs"
)

type backend struct {
	calls     atomic.Int32
	failFirst int32 // number of calls that fail at the start
}

func (b *backend) ShowComponent(what string) (json.RawMessage, error) {
	if what == "none" {
		return nil, ErrUnknown
	}
	return json.RawMessage(fmt.Sprintf("%q", what)), nil
}

func (b *backend) ChangeComponent(by, duty string, body json.RawMessage) (json.RawMessage, error) {
	if b.calls.Add(1) <= b.failFirst {
		return nil, errors.New("no leader is known at present")
	}
	if by != "operator" && by != "boss" { // by must be the name in the caller's certificate
		return nil, fmt.Errorf("asked by %q (%w)", by, ErrRefused)
	}
	if string(body) == `"bad"` {
		return nil, fmt.Errorf("units: more than there may be (%w)", ErrRefused)
	}
	return body, nil
}

// TestRoles checks that only holders of a valid certificate may call, each within its role, and that a call
// is repeated if no leader is known but not if it is refused.
func TestRoles(t *testing.T) {
	dir, otherCA := t.TempDir(), t.TempDir()
	for _, d := range []string{dir, otherCA} {
		if err := certs.MakeCA(d, "test CA", time.Hour); err != nil {
			t.Fatal(err)
		}
		for _, name := range []string{"looker", "operator", "boss", "stranger"} {
			if err := certs.Issue(d, name, nil, time.Hour); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := certs.Issue(dir, "n0", []string{"127.0.0.1"}, time.Hour); err != nil {
		t.Fatal(err)
	}
	filesOf := func(d, name string) certs.Files {
		return certs.Files{
			Cert: filepath.Join(d, name+".pem"),
			Key:  filepath.Join(d, name+".key"),
			CA:   filepath.Join(dir, "ca.pem"),
		}
	}
	store, err := certs.NewStore(filesOf(dir, "n0"), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	b := &backend{failFirst: 2}
	roles := Roles{
		Read: []string{"looker"}, Operate: []string{"operator"}, Admin: []string{"boss"},
		Operable: []string{"pools"},
	}
	srv := httptest.NewUnstartedServer(Handler(b, roles))
	srv.TLS = store.Server()
	srv.StartTLS()
	t.Cleanup(srv.Close)
	client := func(d, name string) *Client {
		credentials, err := filesOf(d, name).Read()
		if err != nil {
			t.Fatal(err)
		}
		return NewClient(srv.Listener.Addr().String(), credentials.Client())
	}
	ctx := t.Context()
	for _, c := range []struct {
		name, component string
		show, change    bool
	}{
		{"looker", "pools", true, false},
		{"operator", "pools", true, true},
		{"operator", "run-times", true, false},
		{"boss", "run-times", true, true},
		{"stranger", "pools", false, false},
	} {
		t.Run(c.name+" "+c.component, func(t *testing.T) {
			_, err := client(dir, c.name).Show(ctx, c.component)
			if (err == nil) != c.show {
				t.Errorf("Show: %v", err)
			}
			raw, err := client(dir, c.name).Change(ctx, c.component, json.RawMessage(`{"id":"x"}`))
			if (err == nil) != c.change || (c.change && string(raw) != `{"id":"x"}`) {
				t.Errorf("Change: %s %v", raw, err)
			}
		})
	}
	if _, err := client(otherCA, "boss").Show(ctx, "pools"); err == nil {
		t.Error("a certificate of another CA was accepted")
	}
	if _, err := http.Get("https://" + srv.Listener.Addr().String() + procedureShow); err == nil {
		t.Error("a caller without a certificate was accepted")
	}
	before := b.calls.Load()
	_, err = client(dir, "boss").Change(ctx, "pools", json.RawMessage(`"bad"`))
	if err == nil || !strings.Contains(err.Error(), "units: more") || b.calls.Load() != before+1 {
		t.Errorf("refused: %v, after %d calls", err, b.calls.Load()-before)
	}
	if _, err := client(dir, "boss").Show(ctx, "none"); err == nil || !strings.Contains(err.Error(), "no such duty") {
		t.Errorf("unknown: %v", err)
	}
}
