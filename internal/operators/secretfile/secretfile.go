// Package secretfile reads the secret keys, of webhooks and receipts, that operators keep in files.
package secretfile

import (
	"bytes"
	"fmt"
	"os"
)

// minKeyBytes is how long a key must be at least, in bytes.
const minKeyBytes = 16

// Read reads the key in a file, without the white space around it. An error names the
// file.
func Read(file string) ([]byte, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err // it names the file
	}
	key := bytes.TrimSpace(raw)
	if len(key) < minKeyBytes {
		return nil, fmt.Errorf("%s holds a key of less than %d bytes", file, minKeyBytes)
	}
	return key, nil
}
