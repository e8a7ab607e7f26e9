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

func files(dir, name string) Files {
	return Files{filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key"), filepath.Join(dir, "ca.pem")}
}

// Certificates are taken up anew when their files change, those that cannot be read
// leave the ones before in force, and their end is said in time.
func TestStore(t *testing.T) {
	dir := t.TempDir()
	if err := MakeCA(dir, "test CA", 24*time.Hour); err != nil {
		t.Fatal(err)
	}
	if err := Issue(dir, "n0", []string{"127.0.0.1", "localhost"}, 12*time.Hour); err != nil {
		t.Fatal(err)
	}
	if err := Issue(dir, "n0", nil, time.Hour); err == nil {
		t.Error("a certificate is written over")
	}
	var said bytes.Buffer
	s, err := NewStore(files(dir, "n0"), slog.New(slog.NewTextHandler(&said, nil)))
	if err != nil {
		t.Fatal(err)
	}
	first := s.Pair()
	if !strings.Contains(first.Expiry(time.Now()), "expires in 0 days") || !strings.Contains(first.Expiry(time.Now().Add(13*time.Hour)), "has expired") {
		t.Errorf("said of its end: %q", first.Expiry(time.Now()))
	}
	for _, f := range []string{"n0.pem", "n0.key"} {
		if err := os.Remove(filepath.Join(dir, f)); err != nil {
			t.Fatal(err)
		}
	}
	s.checkedAt = time.Time{}
	if s.Pair() != first || !strings.Contains(said.String(), "stay in force") {
		t.Errorf("without its files: %s", said.String())
	}
	if err := Issue(dir, "n0", []string{"127.0.0.1"}, 10*time.Hour); err != nil {
		t.Fatal(err)
	}
	s.checkedAt = time.Time{}
	if p := s.Pair(); p == first || bytes.Equal(p.Cert.Certificate[0], first.Cert.Certificate[0]) {
		t.Error("a new certificate is not taken up")
	}
	conf, err := s.Server().GetConfigForClient(nil)
	if err != nil || conf.ClientAuth != tls.RequireAndVerifyClientCert {
		t.Errorf("callers without a certificate: %v %v", conf.ClientAuth, err)
	}
	for _, bad := range []Files{{"none", "none", "none"}, {files(dir, "n0").Cert, files(dir, "ca").Key, files(dir, "n0").CA}, {files(dir, "n0").Cert, files(dir, "n0").Key, files(dir, "n0").Key}} {
		if _, err := bad.Read(); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v: %v", bad, err)
		}
	}
}
