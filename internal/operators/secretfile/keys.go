// Package secretfile reads secret keys from files.
package secretfile

import (
	"bytes"
	"fmt"
	"os"
)

// least is how long a key must be, in bytes.
const minKeyBytes = 16

// Read reads the key in a file, without the white space around it. An error names the
// file.
func Read(file string) ([]byte, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err // it names the file
	}
	if key := bytes.TrimSpace(raw); len(key) >= minKeyBytes {
		return key, nil
	}
	return nil, fmt.Errorf("%s holds a key of less than %d bytes", file, minKeyBytes)
}
