// Package certs reads the certificates with which operators and controllers know one
// another, takes them up anew when their files change, says before they expire, and
// makes them for a small installation.
package certs

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Files are where a certificate, its key, and those who sign the other side's are.
type Files struct{ Cert, Key, CA string }

// Pair is what was read of them.
type Pair struct {
	Cert tls.Certificate
	Pool *x509.CertPool
	Ends time.Time // of the certificate's time
}

// Read reads files once. An error names the file.
func (f Files) Read() (*Pair, error) {
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
		return nil, fmt.Errorf("certs: %s holds no certificate", f.CA)
	}
	return &Pair{cert, pool, leaf.NotAfter}, nil
}

// lookEvery is how often files are looked at for a change.
const checkInterval = time.Second

// Store keeps what files hold, and takes it up anew when they change. What cannot be
// read then leaves what was read before in force.
type Store struct {
	files Files
	log   *slog.Logger

	mu          sync.Mutex
	pair        *Pair
	loadedStamp string
	checkedAt   time.Time
}

// NewStore reads files.
func NewStore(files Files, log *slog.Logger) (*Store, error) {
	s := &Store{files: files, log: log}
	pair, err := files.Read()
	if err != nil {
		return nil, err
	}
	s.pair, s.loadedStamp, s.checkedAt = pair, files.stamp(), time.Now()
	return s, nil
}

// stamp changes when a file does.
func (f Files) stamp() (out string) {
	for _, name := range []string{f.Cert, f.Key, f.CA} {
		if i, err := os.Stat(name); err == nil {
			out += fmt.Sprint(i.ModTime().UnixNano(), i.Size(), ";")
		}
	}
	return out
}

// Pair is what is in force.
func (s *Store) Pair() *Pair {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.checkedAt) < checkInterval {
		return s.pair
	}
	s.checkedAt = now
	stamp := s.files.stamp()
	if stamp == s.loadedStamp {
		return s.pair
	}
	pair, err := s.files.Read()
	if err != nil {
		s.log.Error("certificates have changed and cannot be read: the ones before stay in force", "error", err)
		return s.pair
	}
	s.pair, s.loadedStamp = pair, stamp
	s.log.Info("certificates taken up anew", "cert", s.files.Cert, "ends", pair.Ends.UTC().Format(time.RFC3339))
	return s.pair
}

// Server is the settings of a listener that takes only those whose certificate is
// signed by one of the CA file.
func (s *Store) Server() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		p := s.Pair()
		return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{p.Cert}, ClientCAs: p.Pool, ClientAuth: tls.RequireAndVerifyClientCert,
			NextProtos: []string{"h2", "http/1.1"}}, nil
	}}
}

// Client is the settings of a caller.
func (p *Pair) Client() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{p.Cert}, RootCAs: p.Pool}
}

const (
	warnBefore   = 30 * 24 * time.Hour
	warnInterval = 12 * time.Hour
)

// Expiry says what is to be said of a certificate's end; empty: nothing yet.
func (p *Pair) Expiry(now time.Time) string {
	switch left := p.Ends.Sub(now); {
	case left <= 0:
		return "the controller's certificate has expired: nobody can change anything"
	case left < warnBefore:
		return fmt.Sprintf("the controller's certificate expires in %d days", int(left.Hours()/24))
	}
	return ""
}

// Watch says, until the context ends, when a certificate is about to expire.
func (s *Store) Watch(ctx context.Context) {
	for {
		p := s.Pair()
		if said := p.Expiry(time.Now()); said != "" {
			s.log.Warn(said, "cert", s.files.Cert, "ends", p.Ends.UTC().Format(time.RFC3339))
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(warnInterval):
		}
	}
}

// MakeCA makes a certificate that signs others, in DIR/ca.pem and DIR/ca.key. It
// writes over nothing.
func MakeCA(dir, name string, life time.Duration) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	t, err := newTemplate(name, life)
	if err != nil {
		return err
	}
	t.IsCA, t.BasicConstraintsValid, t.KeyUsage = true, true, x509.KeyUsageCertSign|x509.KeyUsageCRLSign
	return sign(dir, "ca", t, t, key, key)
}

// Issue makes a certificate for a name, signed by the CA in DIR, in DIR/NAME.pem and
// DIR/NAME.key. hosts are names and addresses at which it may serve; none: it only
// calls.
func Issue(dir, name string, hosts []string, life time.Duration) error {
	if name == "" || name == "ca" || filepath.Base(name) != name {
		return fmt.Errorf("certs: not a name for a certificate: %q", name)
	}
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, "ca.pem"), filepath.Join(dir, "ca.key"))
	if err != nil {
		return fmt.Errorf("certs: the CA in %s: %w", dir, err)
	}
	ca, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	caKey, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return errors.New("certs: the CA's key is not one that was made here")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	t, err := newTemplate(name, min(life, time.Until(ca.NotAfter)))
	if err != nil {
		return err
	}
	t.KeyUsage, t.ExtKeyUsage = x509.KeyUsageDigitalSignature, []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	if len(hosts) > 0 {
		t.ExtKeyUsage = append(t.ExtKeyUsage, x509.ExtKeyUsageServerAuth)
	}
	for _, h := range hosts {
		if ip := net.ParseIP(h); ip != nil {
			t.IPAddresses = append(t.IPAddresses, ip)
		} else {
			t.DNSNames = append(t.DNSNames, h)
		}
	}
	return sign(dir, name, t, ca, key, caKey)
}

func newTemplate(name string, life time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, fmt.Errorf("certs: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-5 * time.Minute), NotAfter: now.Add(life)}, nil
}

func sign(dir, name string, t, by *x509.Certificate, key, byKey *ecdsa.PrivateKey) error {
	der, err := x509.CreateCertificate(rand.Reader, t, by, &key.PublicKey, byKey)
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	for _, f := range []struct {
		name, kind string
		der        []byte
		mode       os.FileMode
	}{{name + ".key", "PRIVATE KEY", raw, 0o600}, {name + ".pem", "CERTIFICATE", der, 0o644}} {
		out, err := os.OpenFile(filepath.Join(dir, f.name), os.O_WRONLY|os.O_CREATE|os.O_EXCL, f.mode)
		if err != nil {
			return fmt.Errorf("certs: %w", err)
		}
		err = pem.Encode(out, &pem.Block{Type: f.kind, Bytes: f.der})
		if err := errors.Join(err, out.Close()); err != nil {
			return fmt.Errorf("certs: %w", err)
		}
	}
	return nil
}
