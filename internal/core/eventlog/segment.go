package eventlog

import (
	"bytes"
	"encoding/json"
)

// Start and end of a segment's value, with the comma-separated entries between them.
const (
	segmentStart = `{"e":[`
	segmentEnd   = "]}"
)

// segment is a segment as a commit leaves it.
type segment struct {
	number int
	body   []byte // its entries, comma separated
}

func (s *segment) append(raw []byte) {
	if len(s.body) > 0 {
		s.body = append(s.body, ',')
	}
	s.body = append(s.body, raw...)
}

// encodeSegment returns the value of a segment with the given body.
func encodeSegment(body []byte) json.RawMessage {
	out := make([]byte, 0, len(segmentStart)+len(body)+len(segmentEnd))
	out = append(out, segmentStart...)
	out = append(out, body...)
	return append(out, segmentEnd...)
}

// segmentHolds reports whether a value that was read is that of a segment with the given body.
func segmentHolds(value json.RawMessage, body []byte) bool {
	var compact bytes.Buffer
	return json.Compact(&compact, value) == nil && bytes.Equal(compact.Bytes(), encodeSegment(body))
}
