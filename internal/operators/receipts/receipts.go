// Package receipts signs and verifies receipts for the pool units that a task holds. A receipt is a JSON
// Web Token (RFC 7519) with HMAC-SHA256, so that a licence server in any language can refuse a holder that
// was replaced. Keys are files shared by the controllers and the licence server; several are valid at once
// to allow rotation.
package receipts

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/golang-jwt/jwt/v5"

	"bitternmoor/internal/operators/secretfile"
)

const issuer = "bitternmoor"

// PoolUnits are the units of one pool that a receipt covers.
type PoolUnits struct {
	Pool    string  `json:"pool"`
	Numbers []int64 `json:"numbers"`           // numbers of the units
	PerJob  bool    `json:"per_job,omitempty"` // held by the job as a whole, rather than by the task
}

// Claims are the claims of a receipt, whose subject is the task (JOB/TASK). The attempt number of a task
// only grows and serves as a fencing token: a licence server that has seen a higher one refuses a lower
// one.
type Claims struct {
	jwt.RegisteredClaims
	Attempt uint64      `json:"attempt"`
	Epoch   uint64      `json:"epoch"` // epoch of the leader that granted the units
	Units   []PoolUnits `json:"units"`
}

// Keys are the valid keys; the first one signs.
type Keys []Key

// Key is a secret with a public id.
type Key struct {
	ID     string // first digits of a hash of the secret, which do not reveal it
	secret []byte
}

// Read reads keys from files. An error names the file.
func Read(files []string) (Keys, error) {
	var out Keys
	for _, file := range files {
		secret, err := secretfile.Read(file)
		if err != nil {
			return nil, fmt.Errorf("receipts: %w", err)
		}
		sum := sha256.Sum256(append([]byte("receipt key "), secret...))
		out = append(out, Key{ID: hex.EncodeToString(sum[:4]), secret: secret})
	}
	return out, nil
}

// Sign returns a signed receipt that is valid for a lifetime from now on.
func (k Keys) Sign(c Claims, now time.Time, lifetime time.Duration) (string, error) {
	if len(k) == 0 {
		return "", errors.New("receipts: there is no key")
	}
	c.Issuer, c.IssuedAt, c.ExpiresAt = issuer, jwt.NewNumericDate(now), jwt.NewNumericDate(now.Add(lifetime))
	token := jwt.NewWithClaims(jwt.SigningMethodHS256, c)
	token.Header["kid"] = k[0].ID
	out, err := token.SignedString(k[0].secret)
	if err != nil {
		return "", fmt.Errorf("receipts: %w", err)
	}
	return out, nil
}

// Verify checks a receipt at a given time, and returns its claims and the id of the key that signed it.
func (k Keys) Verify(token string, now time.Time) (c Claims, key string, err error) {
	findKey := func(t *jwt.Token) (any, error) {
		id, _ := t.Header["kid"].(string)
		for _, candidate := range k {
			if candidate.ID == id {
				key = id
				return candidate.secret, nil
			}
		}
		return nil, fmt.Errorf("signed with a key that is not known: %q", id)
	}
	_, err = jwt.ParseWithClaims(token, &c, findKey,
		jwt.WithValidMethods([]string{jwt.SigningMethodHS256.Alg()}),
		jwt.WithIssuer(issuer),
		jwt.WithExpirationRequired(),
		jwt.WithTimeFunc(func() time.Time { return now }))
	if err != nil {
		return Claims{}, "", fmt.Errorf("receipts: %w", err)
	}
	return c, key, nil
}
