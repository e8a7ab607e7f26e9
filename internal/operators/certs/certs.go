// Package certs reads the certificates with which operators and controllers authenticate each other,
// reloads them when their files change, warns before they expire, and issues them for small installations.
package certs

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"
)

// Files are the paths of PEM files.
type Files struct {
	Cert string // certificate
	Key  string // its private key
	CA   string // CA certificates that the other side's certificate is verified against
}

// Credentials are the parsed contents of Files.
type Credentials struct {
	Cert     tls.Certificate
	Pool     *x509.CertPool // the CA certificates
	NotAfter time.Time      // when the certificate expires
}

// Read reads the files. An error names the file.
func (f Files) Read() (*Credentials, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, fmt.Errorf("certs: %s with %s: %w", f.Cert, f.Key, err)
	}
	leaf, err := x509.ParseCertificate(cert.Certificate[0])
	if err != nil {
		return nil, fmt.Errorf("certs: %s: %w", f.Cert, err)
	}
	raw, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, fmt.Errorf("certs: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, fmt.Errorf("certs: %s contains no certificate", f.CA)
	}
	return &Credentials{Cert: cert, Pool: pool, NotAfter: leaf.NotAfter}, nil
}

// checkInterval is how often files are checked for a change.
const checkInterval = time.Second

// Store holds the contents of files and reloads them when the files change. If a reload fails, the former
// contents stay in force.
type Store struct {
	files Files
	log   *slog.Logger

	mu          sync.Mutex // guards the fields below
	credentials *Credentials
	loadedStamp string
	checkedAt   time.Time
}

// NewStore reads the files and returns a store of them.
func NewStore(files Files, log *slog.Logger) (*Store, error) {
	s := &Store{files: files, log: log}
	credentials, err := files.Read()
	if err != nil {
		return nil, err
	}
	s.credentials, s.loadedStamp, s.checkedAt = credentials, files.stamp(), time.Now()
	return s, nil
}

// stamp returns a string that changes when the size or modification time of a file changes. Missing files
// are left out.
func (f Files) stamp() (out string) {
	for _, name := range []string{f.Cert, f.Key, f.CA} {
		if info, err := os.Stat(name); err == nil {
			out += fmt.Sprint(info.ModTime().UnixNano(), info.Size(), ";")
		}
	}
	return out
}

// Current returns the certificates in force. It checks the files at most once per checkInterval.
func (s *Store) Current() *Credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.checkedAt) < checkInterval {
		return s.credentials
	}
	s.checkedAt = now
	stamp := s.files.stamp()
	if stamp == s.loadedStamp {
		return s.credentials
	}
	credentials, err := s.files.Read()
	if err != nil {
		s.log.Error("changed certificates cannot be read, former ones stay in force", "error", err)
		return s.credentials
	}
	s.credentials, s.loadedStamp = credentials, stamp
	s.log.Info("certificates reloaded", "cert", s.files.Cert, "ends", credentials.NotAfter.UTC().Format(time.RFC3339))
	return s.credentials
}

// Server returns the configuration of a listener that accepts only clients whose certificate is signed by a
// CA in the CA file. Each connection uses the certificates that are in force when it begins.
func (s *Store) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			credentials := s.Current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{credentials.Cert},
				ClientCAs:    credentials.Pool,
				ClientAuth:   tls.RequireAndVerifyClientCert,
				NextProtos:   []string{"h2", "http/1.1"},
			}, nil
		},
	}
}

// Client returns the configuration of a client.
func (c *Credentials) Client() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{c.Cert}, RootCAs: c.Pool}
}

// Time before expiry from which a warning is logged, and the interval between warnings.
const (
	warnBefore   = 30 * 24 * time.Hour
	warnInterval = 12 * time.Hour
)

// Expiry returns a warning if the certificate expires soon or has expired, and an empty string otherwise.
func (c *Credentials) Expiry(now time.Time) string {
	left := c.NotAfter.Sub(now)
	switch {
	case left <= 0:
		return "the controller's certificate has expired: nobody can change anything"
	case left < warnBefore:
		return fmt.Sprintf("the controller's certificate expires in %d days", int(left.Hours()/24))
	}
	return ""
}

// Watch logs the warnings of Expiry until the context ends.
func (s *Store) Watch(ctx context.Context) {
	for {
		credentials := s.Current()
		if warning := credentials.Expiry(time.Now()); warning != "" {
			s.log.Warn(warning, "cert", s.files.Cert, "ends", credentials.NotAfter.UTC().Format(time.RFC3339))
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(warnInterval):
		}
	}
}
