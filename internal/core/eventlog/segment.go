package eventlog

import (
	"bytes"
	"encoding/json"
)

// A segment's value is its entries, comma separated, between these.
const (
	segmentStart = `{"e":[`
	segmentEnd   = "]}"
)

// segment is a segment as a commit would leave it.
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

// encodeSegment makes the value of a segment from its body.
func encodeSegment(body []byte) json.RawMessage {
	out := make([]byte, 0, len(segmentStart)+len(body)+len(segmentEnd))
	out = append(out, segmentStart...)
	out = append(out, body...)
	return append(out, segmentEnd...)
}

// segmentHolds says whether a value that was read is that of a segment with the body.
func segmentHolds(value json.RawMessage, body []byte) bool {
	var compact bytes.Buffer
	return json.Compact(&compact, value) == nil && bytes.Equal(compact.Bytes(), encodeSegment(body))
}
