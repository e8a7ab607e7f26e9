// Package receipts signs and verifies receipts for the units of pools that a task holds: a JSON Web Token (RFC 7519)
// with HMAC-SHA256, so that a licence server in any language can refuse a holder that was replaced. Keys are files
// that the controllers and the licence server share; several are valid at once, so that they can be rotated.
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

// PoolUnits are the units of one pool that a receipt is for.
type PoolUnits struct {
	Pool    string  `json:"pool"`
	Numbers []int64 `json:"numbers"`           // of the units
	PerJob  bool    `json:"per_job,omitempty"` // held by the job as a whole, rather than by the task
}

// Claims are what a receipt certifies: the task is its subject (JOB/TASK). Attempts of a task only grow, as fencing
// tokens do: a licence server that has seen a higher one refuses a lower.
type Claims struct {
	jwt.RegisteredClaims
	Attempt uint64      `json:"attempt"`
	Epoch   uint64      `json:"epoch"` // of the leader that gave the units out
	Units   []PoolUnits `json:"units"`
}

// Keys are the valid keys; the first one signs.
type Keys []Key

// Key is a secret with a public name.
type Key struct {
	ID     string // the first digits of a hash, which do not reveal the secret
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

// Sign makes a receipt that is valid from now on for a lifetime.
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

// Verify checks a receipt at a moment, and returns what it certifies and the name of the key that has signed it.
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
