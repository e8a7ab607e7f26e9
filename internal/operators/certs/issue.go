package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// MakeCA creates a certificate that signs others, in DIR/ca.pem and DIR/ca.key. It overwrites no file.
func MakeCA(dir, name string, lifetime time.Duration) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	ca, err := newTemplate(name, lifetime)
	if err != nil {
		return err
	}
	ca.IsCA, ca.BasicConstraintsValid = true, true
	ca.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	return sign(dir, "ca", request{cert: ca, key: key}, ca, key)
}

// Issue creates a certificate for a name, signed by the CA in DIR, in DIR/NAME.pem and DIR/NAME.key. It
// overwrites no file. hosts are names and addresses at which the holder may serve; without any, the
// certificate is only valid for clients. The certificate expires no later than the CA.
func Issue(dir, name string, hosts []string, lifetime time.Duration) error {
	if name == "" || name == "ca" || filepath.Base(name) != name {
		return fmt.Errorf("certs: invalid name for a certificate: %q", name)
	}
	ca, caKey, err := readCA(dir)
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	cert, err := newTemplate(name, min(lifetime, time.Until(ca.NotAfter)))
	if err != nil {
		return err
	}
	cert.KeyUsage = x509.KeyUsageDigitalSignature
	cert.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	addHosts(cert, hosts)
	return sign(dir, name, request{cert: cert, key: key}, ca, caKey)
}

// readCA reads the CA that MakeCA created.
func readCA(dir string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, "ca.pem"), filepath.Join(dir, "ca.key"))
	if err != nil {
		return nil, nil, fmt.Errorf("certs: the CA in %s: %w", dir, err)
	}
	ca, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return nil, nil, fmt.Errorf("certs: %w", err)
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, errors.New("certs: the CA's key is not an ECDSA key; certs ca creates such keys")
	}
	return ca, key, nil
}

// addHosts adds the names and addresses at which the holder of a certificate may serve.
func addHosts(cert *x509.Certificate, hosts []string) {
	if len(hosts) > 0 {
		cert.ExtKeyUsage = append(cert.ExtKeyUsage, x509.ExtKeyUsageServerAuth)
	}
	for _, host := range hosts {
		if ip := net.ParseIP(host); ip != nil {
			cert.IPAddresses = append(cert.IPAddresses, ip)
		} else {
			cert.DNSNames = append(cert.DNSNames, host)
		}
	}
}

const (
	serialBits = 120
	// clockSkew is the tolerated difference between the clocks of two machines: certificates are valid from
	// this long before they are created.
	clockSkew = 5 * time.Minute
)

// newTemplate returns an unsigned certificate for a name.
func newTemplate(name string, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("certs: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(lifetime),
	}, nil
}

// request is a certificate to be signed, and its private key.
type request struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// sign signs a certificate and writes it to DIR/NAME.pem and its key to DIR/NAME.key.
func sign(dir, name string, r request, ca *x509.Certificate, caKey *ecdsa.PrivateKey) error {
	cert, err := x509.CreateCertificate(rand.Reader, r.cert, ca, &r.key.PublicKey, caKey)
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	key, err := x509.MarshalPKCS8PrivateKey(r.key)
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	path := filepath.Join(dir, name)
	if err := writePEM(path+".key", "PRIVATE KEY", key, 0o600); err != nil {
		return err
	}
	return writePEM(path+".pem", "CERTIFICATE", cert, 0o644)
}

// writePEM writes a new PEM file; it fails if the file exists.
func writePEM(path, kind string, der []byte, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	err = pem.Encode(file, &pem.Block{Type: kind, Bytes: der})
	if err := errors.Join(err, file.Close()); err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	return nil
}
