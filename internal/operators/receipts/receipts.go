// Package receipts signs and checks what a task is certified to hold: a JSON Web
// Token (RFC 7519) with HMAC-SHA256, so that a licence server in any language can
// refuse a holder that was replaced. Keys are files that the controllers and the
// licence server share; several are good at once, so that they can be changed.
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

// PoolUnits are those of one pool.
type PoolUnits struct {
	Pool    string  `json:"pool"`
	Numbers []int64 `json:"numbers"`
	PerJob  bool    `json:"per_job,omitempty"`
}

// Claims are what a receipt says: the task is its subject (JOB/TASK). Attempts of a
// task only grow: a licence server that has seen a higher one refuses a lower.
type Claims struct {
	jwt.RegisteredClaims
	Attempt uint64      `json:"attempt"`
	Epoch   uint64      `json:"epoch"`
	Units   []PoolUnits `json:"units"`
}

// Keys are the keys that are good; the first one signs.
type Keys []Key

// Key is one of them, with a name that says nothing of it.
type Key struct {
	ID     string
	secret []byte
}

// Read reads keys from files. An error names the file.
func Read(files []string) (Keys, error) {
	var out Keys
	for _, f := range files {
		secret, err := secretfile.Read(f)
		if err != nil {
			return nil, fmt.Errorf("receipts: %w", err)
		}
		sum := sha256.Sum256(append([]byte("receipt key "), secret...))
		out = append(out, Key{hex.EncodeToString(sum[:4]), secret})
	}
	return out, nil
}

// Sign signs claims that are good from now on for some time.
func (k Keys) Sign(c Claims, now time.Time, life time.Duration) (string, error) {
	if len(k) == 0 {
		return "", errors.New("receipts: there is no key")
	}
	c.Issuer, c.IssuedAt, c.ExpiresAt = issuer, jwt.NewNumericDate(now), jwt.NewNumericDate(now.Add(life))
	t := jwt.NewWithClaims(jwt.SigningMethodHS256, c)
	t.Header["kid"] = k[0].ID
	out, err := t.SignedString(k[0].secret)
	if err != nil {
		return "", fmt.Errorf("receipts: %w", err)
	}
	return out, nil
}

// Verify checks a receipt at a moment, and says which key has signed it.
func (k Keys) Verify(token string, now time.Time) (c Claims, key string, err error) {
	_, err = jwt.ParseWithClaims(token, &c, func(t *jwt.Token) (any, error) {
		id, _ := t.Header["kid"].(string)
		for _, x := range k {
			if x.ID == id {
				key = id
				return x.secret, nil
			}
		}
		return nil, fmt.Errorf("signed with a key that is not known: %q", id)
	}, jwt.WithValidMethods([]string{jwt.SigningMethodHS256.Alg()}), jwt.WithIssuer(issuer), jwt.WithExpirationRequired(), jwt.WithTimeFunc(func() time.Time { return now }))
	if err != nil {
		return Claims{}, "", fmt.Errorf("receipts: %w", err)
	}
	return c, key, nil
}
