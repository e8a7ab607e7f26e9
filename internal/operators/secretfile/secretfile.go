// Package secretfile reads the secret keys of webhooks and receipts from files.
package secretfile

import (
	"bytes"
	"fmt"
	"os"
)

// minKeyBytes is the minimum length of a key in bytes.
const minKeyBytes = 16

// Read reads the key in a file and trims surrounding white space. An error names the file.
func Read(file string) ([]byte, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err // it names the file
	}
	key := bytes.TrimSpace(raw)
	if len(key) < minKeyBytes {
		return nil, fmt.Errorf("%s contains a key of less than %d bytes", file, minKeyBytes)
	}
	return key, nil
}
