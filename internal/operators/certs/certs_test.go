package certs

import (
	"bytes"
	"crypto/tls"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func testFiles(dir, name string) Files {
	return Files{
		Cert: filepath.Join(dir, name+".pem"),
		Key:  filepath.Join(dir, name+".key"),
		CA:   filepath.Join(dir, "ca.pem"),
	}
}

// TestStore checks that certificates are reloaded when their files change, that unreadable files leave the
// former certificates in force, and that a warning is given before expiry.
func TestStore(t *testing.T) {
	dir := t.TempDir()
	if err := MakeCA(dir, "test CA", 24*time.Hour); err != nil {
		t.Fatal(err)
	}
	if err := Issue(dir, "n0", []string{"127.0.0.1", "localhost"}, 12*time.Hour); err != nil {
		t.Fatal(err)
	}
	if err := Issue(dir, "n0", nil, time.Hour); err == nil {
		t.Error("an existing certificate was overwritten")
	}
	var logged bytes.Buffer
	s, err := NewStore(testFiles(dir, "n0"), slog.New(slog.NewTextHandler(&logged, nil)))
	if err != nil {
		t.Fatal(err)
	}
	first := s.Current()
	if warning := first.Expiry(time.Now()); !strings.Contains(warning, "expires in 0 days") {
		t.Errorf("on its last day: %q", warning)
	}
	if warning := first.Expiry(time.Now().Add(13 * time.Hour)); !strings.Contains(warning, "has expired") {
		t.Errorf("after its expiry: %q", warning)
	}
	for _, f := range []string{"n0.pem", "n0.key"} {
		if err := os.Remove(filepath.Join(dir, f)); err != nil {
			t.Fatal(err)
		}
	}
	s.checkedAt = time.Time{}
	if s.Current() != first || !strings.Contains(logged.String(), "stay in force") {
		t.Errorf("without its files: %s", logged.String())
	}
	if err := Issue(dir, "n0", []string{"127.0.0.1"}, 10*time.Hour); err != nil {
		t.Fatal(err)
	}
	s.checkedAt = time.Time{}
	if p := s.Current(); p == first || bytes.Equal(p.Cert.Certificate[0], first.Cert.Certificate[0]) {
		t.Error("the new certificate was not loaded")
	}
	conf, err := s.Server().GetConfigForClient(nil)
	if err != nil || conf.ClientAuth != tls.RequireAndVerifyClientCert {
		t.Errorf("client authentication: %v %v", conf.ClientAuth, err)
	}
	right := testFiles(dir, "n0")
	for name, wrong := range map[string]Files{
		"no files":         {Cert: "none", Key: "none", CA: "none"},
		"another's key":    {Cert: right.Cert, Key: testFiles(dir, "ca").Key, CA: right.CA},
		"a key for the CA": {Cert: right.Cert, Key: right.Key, CA: right.Key},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := wrong.Read(); err == nil || strings.Contains(err.Error(), "\n") {
				t.Errorf("%v, want an error in one line", err)
			}
		})
	}
}
