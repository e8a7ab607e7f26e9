package eventlog

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Decode decodes the entries of one segment from its value.
func Decode(value json.RawMessage) ([]Entry, error) {
	var decoded struct {
		Entries []Entry `json:"e"`
	}
	if err := json.Unmarshal(value, &decoded); err != nil {
		return nil, segmentError(err)
	}
	for i := range decoded.Entries {
		if !decoded.Entries[i].recognized() {
			return decoded.Entries, keepUnknownEntries(value, decoded.Entries)
		}
	}
	return decoded.Entries, nil
}

// keepUnknownEntries sets Unknown of the entries in which this version recognizes nothing.
func keepUnknownEntries(value json.RawMessage, entries []Entry) error {
	var decoded struct {
		Entries []json.RawMessage `json:"e"`
	}
	if err := json.Unmarshal(value, &decoded); err != nil {
		return segmentError(err)
	}
	for i := range entries {
		if entries[i].recognized() {
			continue
		}
		// Compact JSON, as this program writes it: values are compared when they are read back.
		var compact bytes.Buffer
		if err := json.Compact(&compact, decoded.Entries[i]); err != nil {
			return segmentError(err)
		}
		entries[i].Unknown = compact.Bytes()
	}
	return nil
}

func segmentError(err error) error { return fmt.Errorf("event log: unreadable segment: %w", err) }
